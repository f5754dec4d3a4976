package soak

import (
	"bufio"
	"encoding/json"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/platform/fake"
	"github.com/gannetwell/gannetwell/platform/standin"
)

// Do is what a command tells the process of the stand-in.
type Do string

// Values of Do.
const (
	DoAddVM     Do = "add_vm"
	DoBoot      Do = "boot"
	DoCrash     Do = "crash"
	DoDrain     Do = "drain"
	DoOmit      Do = "omit"       // an item from every N-th report
	DoStore     Do = "store"      // set the faults of the table service
	DoStoreDown Do = "store_down" // take it down if N is 1, whatever other faults are set
	DoSlowStore Do = "slow_store" // set its latency
	DoForget    Do = "forget"     // drop its history of changes
	DoCatalog   Do = "catalog"    // write the configuration anew
	DoMoveQueue Do = "move_queue" // write one that sends the queue to a pool
)

// Command is a line that the process of the stand-in reads.
type Command struct {
	Do    Do          `json:"do"`
	VM    int         `json:"vm,omitempty"`
	Pool  string      `json:"pool,omitempty"`
	N     int         `json:"n,omitempty"`
	Ms    int         `json:"ms,omitempty"`
	Fault fake.Fault  `json:"fault,omitempty"`
	Share float64     `json:"share,omitempty"` // of the calls with the fault
	Add   *standin.VM `json:"add,omitempty"`
}

// Planted is a fault of the stand-in that the checker has to find.
type Planted string

// Values of Planted.
const (
	PlantedNone        Planted = ""
	PlantedNoFencing   Planted = "no_fencing"   // workers accept any fencing token
	PlantedLostWrites  Planted = "lost_writes"  // some transactions are answered and not carried out
	PlantedEarlyForget Planted = "early_forget" // workers forget ends that they have listed once
	PlantedCutLists    Planted = "cut_lists"    // workers list fewer ends than promised
)

// queue is where the callers of a soak submit jobs.
var queue = standin.Queue{Host: "jobs.example", Prefix: "/q/", Pool: "pool", MaxAttempts: maxAttempts}

// otherPool is the second pool of a soak whose queue moves.
const otherPool = "other-pool"

// Times of the stand-in.
const (
	storeLatency  = 2 * time.Millisecond
	orderLatency  = time.Millisecond
	lateDelay     = 2 * time.Second // of calls carried out late
	taskStopTime  = 100 * time.Millisecond
	lostWriteRate = 50 // one transaction in so many, with PlantedLostWrites
	fewListedEnds = 5  // with PlantedCutLists
)

// standinProcess is the stand-in of the platform with the faults that commands set.
type standinProcess struct {
	*standin.Platform
	events *eventWriter

	mu    sync.Mutex
	rnd   *rand.Rand
	fault fake.Fault
	share float64
	down  bool
}

// RunStandin serves the platform until in ends. It writes events to out.
func RunStandin(in io.Reader, out io.Writer, seed uint64, planted Planted) (err error) {
	defer func() { err = errors.Wrap(err, "stand-in of the platform") }()
	p := &standinProcess{events: newEventWriter(out), rnd: rand.New(rand.NewPCG(seed, 1))}
	rows := fake.NewRows(storeLatency, lateDelay)
	b := &behavior{failed: map[string]int{}}
	workers := fake.NewWorkers(orderLatency, lateDelay, taskStopTime, b.work, p.events)
	rows.SetFault(func(_ fake.RowOp, caller string) fake.Fault {
		if caller == fake.Operator {
			return fake.FaultNone // the platform's own writes
		}
		return p.drawFault(planted)
	})
	workers.SetUnfenced(planted == PlantedNoFencing)
	workers.SetForgetListed(planted == PlantedEarlyForget)
	if planted == PlantedCutLists {
		workers.SetMaxListedEnds(fewListedEnds)
	}
	if p.Platform, err = standin.New(rows, workers, queue); err != nil {
		return err
	}
	defer p.Close()
	p.events.write(Event{Kind: EventReady, Address: p.Address()})
	lines := bufio.NewScanner(in)
	for lines.Scan() {
		var c Command
		if err := json.Unmarshal(lines.Bytes(), &c); err != nil {
			return errors.Wrap(err, "decode command")
		}
		if err := p.carryOut(c); err != nil {
			return err
		}
	}
	return lines.Err()
}

// drawFault draws the fault of a call to the table service.
func (p *standinProcess) drawFault(planted Planted) fake.Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return fake.FaultDown
	}
	if planted == PlantedLostWrites && p.rnd.IntN(lostWriteRate) == 0 {
		return fake.FaultPretended
	}
	if p.rnd.Float64() < p.share {
		return p.fault
	}
	return fake.FaultNone
}

func (p *standinProcess) carryOut(c Command) error {
	switch c.Do {
	case DoAddVM:
		return p.AddVM(*c.Add)
	case DoBoot:
		return p.Boot(c.VM)
	case DoCrash:
		p.Crash(c.VM)
	case DoDrain:
		return p.Drain(c.VM, time.Duration(c.Ms)*time.Millisecond)
	case DoOmit:
		p.Workers.SetOmitEvery(c.N)
	case DoStore:
		p.mu.Lock()
		p.fault, p.share = c.Fault, c.Share
		p.mu.Unlock()
	case DoStoreDown:
		p.mu.Lock()
		p.down = c.N == 1
		p.mu.Unlock()
	case DoSlowStore:
		p.Rows.SetLatency(storeLatency + time.Duration(c.Ms)*time.Millisecond)
	case DoForget:
		p.Rows.TruncateHistory()
	case DoCatalog:
		return p.WriteCatalog()
	case DoMoveQueue:
		return p.MoveQueue(c.Pool)
	default:
		return errors.Errorf("unknown command %q", c.Do)
	}
	return nil
}

// workerCapacity is what a worker has room for.
var workerCapacity = platform.Resources{CPU: 4000, MemoryMB: 4096}
