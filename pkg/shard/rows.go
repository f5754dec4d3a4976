package shard

import (
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/gannetwell/gannetwell/pkg/packed"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/schema"
)

// The tables of a shard; the partition is the pool's name.
const (
	TableOwner    = "owner"    // owner rows, watched by every entry
	tableCommit   = "commit"   // row that each transaction of the shard rewrites
	tableJob      = "job"      // job records by job ID
	tableProgress = "progress" // progress by job ID; what exceeds a row goes to numbered rows after it
	tableWorkers  = "workers"  // record of boots that may hold a lease, in parts
)

// Bounds of an owner row, so that fencing tokens and attempt numbers of later terms fit, and that a takeover waits
// no longer than any former owner could act.
const (
	maxTerm        = int64(1) << 40
	maxFormerGrace = time.Minute
)

// singleKey is the key in tables that have one row in each partition.
const singleKey = "row"

// sharesKey is the key of the quota shares of accounts. They are in the table of workers so that a
// takeover reads both with one call.
const sharesKey = "shares"

// unreportedLossKey is the key, in the table of workers, of the row that marks that a worker of a former
// owner was lost before it reported to a later one.
const unreportedLossKey = "unheard"

// unreportedLossRow is the value of the row at unreportedLossKey.
type unreportedLossRow struct {
	Term int64 `msgpack:"t"` // of the owner that found the loss
}

// OwnerRow names the owner of a shard.
type OwnerRow struct {
	Entry   string `msgpack:"e"` // empty after a release
	Start   int64  `msgpack:"s"` // tells incarnations of the entry apart
	Address string `msgpack:"a"` // of its peer listener
	Term    int64  `msgpack:"t"` // rises with each takeover
	Next    string `msgpack:"n"` // entry that should take over, set by a release
	// FormerGrace is how long after the row was written a former owner may still act.
	FormerGrace time.Duration `msgpack:"l,omitempty"`
	// StopsEnded, set by a release, tells that no stop of a task whose step limits missing ones may still
	// take effect, whichever owner ordered it.
	StopsEnded bool `msgpack:"o,omitempty"`
	// Stops, set by a release in place of StopsEnded, are the attempts whose stops may still take effect,
	// by task. Neither is set if they are not known.
	Stops map[string]int64 `msgpack:"x,omitempty"`
}

// commitRow is rewritten by each transaction of a shard.
type commitRow struct {
	Entry     string `msgpack:"e"`
	Start     int64  `msgpack:"s"`
	Term      int64  `msgpack:"t"`
	Seq       int64  `msgpack:"q"`           // number of the transaction in the term
	SoleOwner bool   `msgpack:"a,omitempty"` // no former owner can act any more
}

// leasedWorker is a boot with a lease, which may still run tasks.
type leasedWorker struct {
	Boot    string        `msgpack:"b"`
	VM      string        `msgpack:"v"`
	Address string        `msgpack:"a"`
	Misread storedMisread `msgpack:"m,omitempty"`
	// ReleaseTerm is the term of the owner that wrote the row on its release of the shard. Tasks
	// then lists all tasks that may run there, or have ended there without being recorded. If
	// ReleaseTerm is not the term before the present one, any task of the shard may.
	ReleaseTerm int64    `msgpack:"c,omitempty"`
	Tasks       []string `msgpack:"t,omitempty"`
	// MisreadTerm is the term of the owner that wrote the row on its release, whether or not it could list the tasks.
	// MisreadLeft is then for how much longer leases by misread deadlines may be in force, by its clock.
	MisreadTerm int64         `msgpack:"u,omitempty"`
	MisreadLeft time.Duration `msgpack:"w,omitempty"`
}

// storedMisread tells whether orders with deadlines by the clock of an earlier boot may have reached a boot. It is
// empty if an earlier version has written the row, which does not tell.
type storedMisread string

// Values of storedMisread.
const (
	storedMisreadNone   storedMisread = "n"
	storedMisreadLikely storedMisread = "y"
)

func ownerKey(pool string) platform.RowKey {
	return platform.RowKey{Table: TableOwner, Partition: pool, Key: singleKey}
}

func commitKey(pool string) platform.RowKey {
	return platform.RowKey{Table: tableCommit, Partition: pool, Key: singleKey}
}

func sharesRowKey(pool string) platform.RowKey {
	return platform.RowKey{Table: tableWorkers, Partition: pool, Key: sharesKey}
}

func unreportedLossRowKey(pool string) platform.RowKey {
	return platform.RowKey{Table: tableWorkers, Partition: pool, Key: unreportedLossKey}
}

func jobKey(pool, id string) platform.RowKey {
	return platform.RowKey{Table: tableJob, Partition: pool, Key: id}
}

// progressKeys returns the keys of n rows of a job's progress.
func progressKeys(pool, id string, n int) (keys []platform.RowKey) {
	for i := range n {
		key := id
		if i > 0 {
			key += progressRowSeparator + strconv.Itoa(i)
		}
		keys = append(keys, platform.RowKey{Table: tableProgress, Partition: pool, Key: key})
	}
	return keys
}

// progressRowSeparator is between a job's ID and the number of a further row of its progress.
const progressRowSeparator = "~"

func encode(v any) ([]byte, error) {
	raw, err := msgpack.Marshal(v)
	return raw, errors.Wrap(err, "encode row")
}

// EncodeOwner encodes an owner row.
func EncodeOwner(o OwnerRow) ([]byte, error) { return encode(o) }

// DecodeOwner decodes an owner row; it returns an error for one that no owner writes.
func DecodeOwner(raw []byte) (o OwnerRow, err error) {
	defer func() { err = errors.Wrap(err, "decode owner row") }()
	if err := packed.Unmarshal(raw, &o); err != nil {
		return OwnerRow{}, err
	}
	switch {
	case o.Term < 0 || o.Term > maxTerm:
		return OwnerRow{}, errors.Errorf("a term of %d is not possible", o.Term)
	case o.FormerGrace < 0 || o.FormerGrace > maxFormerGrace:
		return OwnerRow{}, errors.Errorf("a former owner can't act for %v", o.FormerGrace)
	}
	return o, nil
}

// OwnerRowFromNews returns the owner row in a message of another entry.
func OwnerRowFromNews(o schema.OwnerNews) platform.Row {
	return platform.Row{RowKey: ownerKey(o.Pool), Value: o.Row, Version: int64(o.Version)}
}
