package connlimit

import (
	"syscall"

	"github.com/pkg/errors"
)

const (
	// Of each so many descriptors, one is for connections of the kind.
	callersShare   = 2
	peersShare     = 8
	readinessShare = 32
	operatorsShare = 32

	// callersPerMB and peersPerMB bound the memory of idle connections, by MB of the memory limit.
	callersPerMB = 8
	peersPerMB   = 4

	minConns      = 8       // of each listener
	maxChecks     = 256     // of readiness checks, and of operators
	maxDescriptor = 1 << 20 // a higher limit counts as this
)

// Limits are the numbers of connections that the listeners of a process keep open.
type Limits struct {
	Callers    int
	MaxCallers int // that leaves descriptors, whatever the memory is
	Readiness  int
	Operators  int
	Peers      int
}

// AnyMemory is the memory limit of a process without one, in MB.
const AnyMemory = maxDescriptor

// ForProcess returns the limits of this process, whose memory limit is in MB. They leave it descriptors for connections of
// its own.
func ForProcess(memoryMB int) (l Limits, err error) {
	defer func() { err = errors.Wrap(err, "read the descriptor limit") }()
	var r syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r); err != nil {
		return l, err
	}
	return limitsFor(int(min(r.Cur, maxDescriptor)), memoryMB), nil
}

// limitsFor returns the limits of a process with so many descriptors.
func limitsFor(descriptors, memoryMB int) Limits {
	return Limits{
		Callers:    max(minConns, min(descriptors/callersShare, callersPerMB*memoryMB)),
		MaxCallers: max(minConns, descriptors/callersShare),
		Peers:      max(minConns, min(descriptors/peersShare, peersPerMB*memoryMB)),
		Readiness:  max(minConns, min(descriptors/readinessShare, maxChecks)),
		Operators:  max(minConns, min(descriptors/operatorsShare, maxChecks)),
	}
}
