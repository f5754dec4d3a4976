package fleetops

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/gannetwell/gannetwell/pkg/catalog"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/shard"
)

const (
	// stepInterval is the time between two steps; pools change their demand within a second.
	stepInterval = 250 * time.Millisecond
	// callTimeout bounds a call to the VM service, which answers in milliseconds and up to 60 times slower in trouble.
	callTimeout = 1500 * time.Millisecond
	// tableProgress holds what is done of each wave.
	tableProgress = "maintenance"
)

// Partition is the partition, and the name of the shard, of this work; no pool is called so.
const Partition = "~maintenance"

// Emptier has the owner of a pool's shard move the tasks away from a VM and keep
// it empty for some seconds; it reports whether nothing is left there.
type Emptier func(ctx context.Context, pool, vm string) (empty bool)

// Config is what a Runner works with.
type Config struct {
	Self     shard.Identity
	Rows     platform.Rows
	Machines platform.Machines
	Empty    Emptier
	Load     func(ctx context.Context, pool string) (l shard.Load, ok bool) // of a pool's shard
	Report   func(wave int, completed bool) (platform.Row, error)
	Log      zerolog.Logger
	Since    time.Time
	Pause    time.Duration // after another holder's last order to a VM before we may give one
	Takes    time.Duration // the maintenance of one VM
	OnOver   func(error)
	Sending  func() // called before the takeover's transaction is sent
}

// wave is a wave under way.
type wave struct {
	Wave
	vms       []*VM
	loaded    bool // what was done before was read
	reported  bool
	completed bool
	begun     time.Duration // when this entry saw the request first
	changed   bool          // what is done differs from what is kept
}

// Runner carries the maintenance out while this entry owns the work.
type Runner struct {
	cfg       Config
	claim     shard.Claim
	log       zerolog.Logger
	cancel    context.CancelFunc
	done      chan struct{}
	wake      chan struct{}
	first     time.Duration            // no orders before
	notBefore map[string]time.Duration // no orders for a VM before; used by the run loop only
	lastOrder map[string]time.Duration // of ours for a VM; guarded by mu
	trends    map[string]trend         // of demand, by pool; used by the run loop only
	lastLoads map[string]shard.Load    // by pool; used by the run loop only
	policy    SizingPolicy
	moves     map[string]*move // by VM; used by the run loop only
	surplus   map[string]int   // steps in a row with VMs left over, by pool

	mu          sync.Mutex
	confirmedAt time.Duration
	catalog     *catalog.Catalog
	waves       map[int]*wave
	over        bool
}

// Open takes the work over, if its owner row still has the version seen.
func Open(ctx context.Context, cfg Config, seen int64, cat *catalog.Catalog, waves []Wave) (r *Runner, err error) {
	c, err := shard.TakeOver(ctx, cfg.Rows, Partition, cfg.Self, seen, cfg.Sending)
	if err != nil {
		return nil, err
	}
	now := time.Since(cfg.Since)
	r = &Runner{
		cfg: cfg, claim: c, log: cfg.Log.With().Str("pool", Partition).Int64("term", c.Term).Logger(),
		done: make(chan struct{}), wake: make(chan struct{}, 1), confirmedAt: now, catalog: cat, waves: map[int]*wave{},
		policy: DefaultSizing, moves: map[string]*move{}, surplus: map[string]int{}, trends: map[string]trend{},
		notBefore: map[string]time.Duration{}, lastOrder: map[string]time.Duration{},
	}
	if c.Term > 1 {
		r.afterFormer(ctx, now)
	}
	r.SetWaves(waves)
	runCtx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	go r.run(runCtx)
	r.log.Info().Str("event", "maintenance_owned").Int("waves", len(waves)).Send()
	return r, nil
}

// Term is the term of ownership.
func (r *Runner) Term() int64 { return r.claim.Term }

// RowVersion is the version of the owner row that was written.
func (r *Runner) RowVersion() int64 { return r.claim.OwnerVersion }

// SetCatalog takes a configuration.
func (r *Runner) SetCatalog(c *catalog.Catalog) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.catalog = c
}

// SetWorkers is of no use here.
func (r *Runner) SetWorkers([]platform.Worker) {}

// Confirm notes that this entry was the owner at a time.
func (r *Runner) Confirm(at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirmedAt = max(r.confirmedAt, at)
}

// SetWaves takes all requests for maintenance.
func (r *Runner) SetWaves(waves []Wave) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range waves {
		if r.waves[w.ID] != nil {
			continue
		}
		state := &wave{Wave: w, begun: r.now()}
		for _, vm := range w.VMs {
			state.vms = append(state.vms, &VM{Name: vm, Phase: PhaseWaiting})
		}
		r.waves[w.ID] = state
		r.log.Info().Str("event", "wave_requested").Int("wave", w.ID).Int("vms", len(w.VMs)).Int("max_down", w.MaxDown).Dur("within", w.Within).Send()
	}
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Close ends the work without letting go of the owner row.
func (r *Runner) Close() {
	r.cancel()
	<-r.done
}

// Release ends the work and lets go of the owner row.
func (r *Runner) Release(ctx context.Context, next string) {
	r.Close()
	err := r.letGo(ctx, next)
	r.log.Info().Str("event", "maintenance_released").Err(err).Send()
}

func (r *Runner) now() time.Duration { return time.Since(r.cfg.Since) }

func (r *Runner) run(ctx context.Context) {
	defer close(r.done)
	for {
		r.step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		case <-time.After(stepInterval):
		}
	}
}

// step carries each wave on and sizes the pools.
func (r *Runner) step(ctx context.Context) {
	machines, err := r.list(ctx)
	if err != nil {
		if ctx.Err() == nil {
			r.log.Warn().Str("event", "machines_not_listed").Err(err).Send()
		}
		return
	}
	for _, w := range r.open() {
		if err := r.advance(ctx, w, machines); err != nil && ctx.Err() == nil {
			r.log.Warn().Str("event", "wave_step_failed").Int("wave", w.ID).Err(err).Send()
		}
	}
	r.resize(ctx, machines)
}

// light returns the VMs with little work, as the last step saw them.
func (r *Runner) light() map[string]bool {
	light := map[string]bool{}
	for _, l := range r.lastLoads {
		for _, vm := range l.Light {
			light[vm] = true
		}
	}
	return light
}

func (r *Runner) holder() platform.Holder {
	return platform.Holder{Name: r.cfg.Self.Entry, Token: r.claim.Term}
}

// list returns the VMs by name.
func (r *Runner) list(ctx context.Context) (machines map[string]platform.Machine, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	list, err := r.cfg.Machines.ListMachines(ctx)
	if err != nil {
		return nil, err
	}
	machines = make(map[string]platform.Machine, len(list))
	for _, m := range list {
		machines[m.VM] = m
	}
	return machines, nil
}

func (r *Runner) open() (open []*wave) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range r.waves {
		if !w.completed {
			open = append(open, w)
		}
	}
	return open
}

// advance takes one wave one step further.
func (r *Runner) advance(ctx context.Context, w *wave, machines map[string]platform.Machine) error {
	if err := r.load(ctx, w); err != nil || w.completed {
		return err
	}
	r.observe(w, machines)
	if r.mayOrder(ctx) {
		for _, v := range Next(w.Wave, w.vms, machines, r.spare(), r.light(), r.now()-w.begun) {
			if r.moves[v.Name] != nil {
				continue
			}
			r.setPhase(w, v, PhaseEmptying, "a place in the wave is free")
		}
	}
	r.empty(ctx, w, machines)
	return r.keep(ctx, w)
}

func (r *Runner) spare() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.catalog.Spare()
}

// mayOrder tells whether this entry is certainly the owner and no order of a former one can come between.
func (r *Runner) mayOrder(ctx context.Context) bool {
	now := r.now()
	if now < r.first {
		return false
	}
	r.mu.Lock()
	confirmed := now-r.confirmedAt < shard.ConfirmedFor/2
	r.mu.Unlock()
	if confirmed {
		return true
	}
	readCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	row, err := shard.ReadOwner(readCtx, r.cfg.Rows, Partition)
	if err != nil {
		return false
	}
	if row.Version != r.claim.OwnerVersion {
		r.giveUp()
		return false
	}
	r.Confirm(now)
	return r.now()-now < shard.ConfirmedFor
}

func (r *Runner) giveUp() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.over {
		return
	}
	r.over = true
	r.log.Warn().Str("event", "maintenance_given_up").Send()
	r.cancel()
	go r.cfg.OnOver(nil)
}

// observe takes the list of VMs into account.
func (r *Runner) observe(w *wave, machines map[string]platform.Machine) {
	for _, v := range w.vms {
		m, ok := machines[v.Name]
		switch {
		case v.Phase == PhaseDone || v.Phase == PhaseGone:
		case !ok:
			r.setPhase(w, v, PhaseGone, "the VM is no longer listed")
		case v.Phase == PhaseOrdered && v.back(m, r.now(), r.cfg.Takes):
			r.setPhase(w, v, PhaseDone, "it is up again")
		}
	}
}

func (r *Runner) setPhase(w *wave, v *VM, p Phase, why string) {
	r.log.Info().Str("event", "maintenance").Int("wave", w.ID).Str("vm", v.Name).Str("from", string(v.Phase)).Str("to", string(p)).Str("why", why).Send()
	v.Phase = p
	if p == PhaseDone || p == PhaseGone {
		w.changed = true
	}
}

// empty has VMs emptied and orders the maintenance of those that are.
func (r *Runner) empty(ctx context.Context, w *wave, machines map[string]platform.Machine) {
	var wg sync.WaitGroup
	for _, v := range w.vms {
		m := machines[v.Name]
		switch v.Phase {
		case PhaseEmptying:
			wg.Go(func() { r.emptyOne(ctx, w, v, m) })
		case PhaseOrdered:
			if v.confirmedAt == 0 && m.State == platform.MachineUp && m.Boot == v.Boot {
				wg.Go(func() { r.emptyOne(ctx, w, v, m) }) // the order may not have arrived
			}
		}
	}
	wg.Wait()
}

func (r *Runner) emptyOne(ctx context.Context, w *wave, v *VM, m platform.Machine) {
	if m.Pool != r.spare() && !r.cfg.Empty(ctx, m.Pool, v.Name) {
		return
	}
	if !r.mayOrderFor(v.Name) || !r.mayOrder(ctx) {
		return
	}
	r.noteOrder(v.Name)
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := r.cfg.Machines.MaintainMachine(callCtx, v.Name, w.ID, r.holder())
	r.mu.Lock()
	defer r.mu.Unlock()
	var refused platform.ErrRefused
	var notDone platform.ErrNotDone
	switch {
	case errors.As(err, &refused), errors.As(err, &notDone):
		r.log.Warn().Str("event", "maintenance_refused").Int("wave", w.ID).Str("vm", v.Name).Err(err).Send()
		return
	case err != nil:
		r.log.Warn().Str("event", "maintenance_unanswered").Int("wave", w.ID).Str("vm", v.Name).Err(err).Send()
	}
	if err == nil {
		v.confirmedAt = r.now()
	}
	if v.Phase == PhaseEmptying {
		v.Boot = m.Boot
		r.setPhase(w, v, PhaseOrdered, "it is empty")
	}
}

// kept is what lasts of a wave.
type kept struct {
	Done []string `msgpack:"d"` // VMs that are done or gone
}

func progressKey(id int) platform.RowKey {
	return platform.RowKey{Table: tableProgress, Partition: Partition, Key: strconv.Itoa(id)}
}

// load reads what a former owner has done of a wave.
func (r *Runner) load(ctx context.Context, w *wave) error {
	if w.loaded {
		return nil
	}
	readCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	row, err := shard.ReadOne(readCtx, r.cfg.Rows, progressKey(w.ID))
	if err != nil {
		return err
	}
	var k kept
	if row.Version > 0 {
		if err := msgpack.Unmarshal(row.Value, &k); err != nil {
			return errors.Wrap(err, "decode progress of wave")
		}
	}
	for _, name := range k.Done {
		for _, v := range w.vms {
			if v.Name == name {
				v.Phase = PhaseDone
			}
		}
	}
	if len(k.Done) > 0 {
		w.begun -= w.Within / 2 // a former owner began it, it is not known when
	}
	w.loaded, w.changed = true, true
	return nil
}

// keep writes what is done, and reports to the operator.
func (r *Runner) keep(ctx context.Context, w *wave) error {
	if !w.changed {
		return nil
	}
	var k kept
	finished := true
	for _, v := range w.vms {
		if v.Phase == PhaseDone || v.Phase == PhaseGone {
			k.Done = append(k.Done, v.Name)
		} else {
			finished = false
		}
	}
	raw, err := msgpack.Marshal(k)
	if err != nil {
		return errors.Wrap(err, "encode progress of wave")
	}
	writeCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := r.cfg.Rows.CommitRows(writeCtx, platform.RowTxn{
		Put: []platform.Row{{RowKey: progressKey(w.ID), Value: raw}},
	}); err != nil {
		return err
	}
	w.changed = false
	if w.reported && !finished {
		return nil
	}
	row, err := r.cfg.Report(w.ID, finished)
	if err != nil {
		return err
	}
	if _, err := r.cfg.Rows.CommitRows(writeCtx, platform.RowTxn{Put: []platform.Row{row}}); err != nil {
		w.changed = true
		return err
	}
	w.reported = true
	if finished {
		r.mu.Lock()
		w.completed = true
		r.mu.Unlock()
		r.log.Info().Str("event", "wave_completed").Int("wave", w.ID).Send()
	}
	return nil
}
