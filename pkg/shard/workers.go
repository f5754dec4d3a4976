package shard

import (
	"context"
	"time"

	"github.com/gannetwell/gannetwell/pkg/platform"
)

// tokensPerTerm is the number of fencing tokens reserved for each term of ownership.
const tokensPerTerm = 1 << 20

// firstToken returns this term's first fencing token for a worker. It is raised to have the worker
// refuse unanswered orders that arrive late.
func (o *Owner) firstToken() int64 { return o.claim.Term*tokensPerTerm + 1 }

// endedBoot is what is kept of a boot whose session has ended.
type endedBoot struct {
	boot           string
	token          int64         // the last
	deadlineSentAt time.Duration // the last, also to earlier boots
}

// addSession creates the session of a boot and starts its poll loop.
func (o *Owner) addSession(ref platform.WorkerRef, vm string) *session {
	ctx, cancel := context.WithCancel(o.ctx)
	worker, _ := platform.ParseBootID(ref.Boot)
	s := &session{
		ref: ref, worker: worker, vm: vm, record: &o.record, attempts: map[string]*workerAttempt{}, foreign: map[foreignKey]*foreignAttempt{}, token: o.firstToken(),
		wake: make(chan struct{}, 1), cancel: cancel, earlierLeasesUntil: o.formerLeasesEnd(o.now()), zoneEvacuated: o.cfg.ZoneEvacuated, inWave: o.waveVMs.names[vm],
	}
	if ended, ok := o.endedBoots[worker]; ok {
		s.token = max(s.token, ended.token)
		if ended.boot != ref.Boot {
			o.noteEarlierBoot(s, ended.deadlineSentAt)
		}
	}
	o.sessions[ref.Boot] = s
	o.currentSessions[worker] = s
	o.sortedSessions = nil
	o.wg.Go(func() { o.pollLoop(ctx, s) })
	return s
}

// SetWorkers replaces the directory's list of current boots, of all pools.
func (o *Owner) SetWorkers(workers []platform.Worker) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.closed {
		o.setWorkers(workers)
	}
}

// setWorkers applies the directory's current boots; the caller holds the lock.
func (o *Owner) setWorkers(workers []platform.Worker) {
	listed := make(map[string]bool, len(workers))
	for _, w := range workers {
		if w.Pool != o.cfg.Pool {
			continue
		}
		if s := o.listWorker(w); s != nil {
			listed[s.ref.Boot] = true
		}
	}
	for _, s := range o.sessionsByBoot() {
		if s.unlistedAt == 0 && !listed[s.ref.Boot] {
			s.listed, s.unlistedAt = false, o.now()
			o.log.Info().Str("event", "worker_unlisted").Str("boot", s.ref.Boot).Send()
		}
		if !s.listed && s.unansweredCalls > 0 {
			o.expireLeases(s)
		}
		o.endIfGone(s)
	}
	if o.record.dirty {
		o.requestCommit()
	}
	o.requestPlacement()
}

// endIfGone ends the session of a boot that is not listed and where nothing is. One that may have misread deadlines is
// kept, since its row may be back before their leases have expired.
func (o *Owner) endIfGone(s *session) {
	if !s.listed && s.unansweredCalls == 0 && s.attemptsKnown && s.idle() && !s.former.pending && !s.mayHaveMisread(o.now()) {
		o.bootEnded(s, "not listed and idle")
	}
}

// listWorker applies a boot's directory entry and returns its session, nil if the entry is
// to be ignored.
func (o *Owner) listWorker(w platform.Worker) *session {
	s, late := o.sessionFor(w)
	if late {
		if s.listed {
			return s // unchanged
		}
		return nil
	}
	coldChanged := w.ColdLeft != s.info.ColdLeft || w.ColdLeft > 0 && w.ClockMs != s.info.ClockMs
	s.listed, s.info, s.vm, s.unlistedAt = true, w, w.VM, 0
	s.inWave = o.waveVMs.names[w.VM]
	if coldChanged {
		o.noteCold(s, o.now())
	}
	s.hostCache = nil
	if w.Draining && !s.draining {
		s.noteDraining(o.now(), 0)
		o.log.Info().Str("event", "worker_draining").Str("boot", w.Boot).Send()
	}
	return s
}

// sessionFor returns the session of a boot in the directory and creates one for a new boot.
// An entry without a start time belongs to the present boot. late reports an outdated entry,
// of a boot before that of the returned session.
func (o *Owner) sessionFor(w platform.Worker) (s *session, late bool) {
	if s = o.sessions[w.Boot]; s != nil && o.currentSessions[s.worker] == s {
		return s, false // fast path for unchanged entries
	}
	id, bootStart := platform.ParseBootID(w.Boot)
	s = o.currentSessions[id]
	if s != nil && bootStart == 0 {
		return s, false
	}
	if s != nil && (o.endedBoots[id].boot == w.Boot || !startedAfter(w.Boot, s.ref.Boot)) {
		return s, true // the worker's clock may have been set back between the two boots
	}
	ref := platform.WorkerRef{Boot: w.Boot, Address: w.Address}
	o.log.Info().Str("event", "worker_listed").Str("boot", w.Boot).Str("vm", w.VM).Str("address", w.Address).Send()
	o.record.markChanged(id)
	if s == nil {
		s = o.addSession(ref, w.VM)
		o.noteUnnamedBoot(s)
		return s, false
	}
	o.handleRestart(s, ref)
	return o.sessions[w.Boot], false
}

// expireLeases frees the tasks of a worker that does not answer once its leases have expired. Those whose start got
// no answer wait longer, since they may run at the next boot.
func (o *Owner) expireLeases(s *session) {
	now := o.now()
	if s.unansweredCalls == 0 || !s.leasesExpired(now) {
		return
	}
	lost := func(*workerAttempt) bool { return true }
	unanswered := now < o.misreadStartsEnd(s)
	if unanswered {
		lost = func(r *workerAttempt) bool { return !s.mayBeMisread(r) }
	}
	if n := len(sortedKeysWhere(s.attempts, lost)); n > 0 {
		o.log.Warn().Str("event", "leases_lapsed").Str("boot", s.ref.Boot).Int("attempts", n).Int("unanswered", len(s.attempts)-n).
			Int64("lease_until", s.leaseUntil).Dur("heard_ago", now-s.clockAt).Dur("earlier_ended_ago", now-s.earlierLeasesUntil).Send()
	}
	if unanswered {
		o.countLosses(s)
		o.dropLost(s, LossLeasesExpired, lost)
		return
	}
	o.handleLoss(s, LossLeasesExpired)
	clear(s.foreign)
	s.hostCache = nil
	s.outcomeUnknown = false
	s.attemptsKnown = false
	if !s.listed {
		o.bootEnded(s, "not listed and not answering")
		return
	}
	o.resolveFormerWorkers()
}

// bootEnded handles a boot that has certainly ended; the attempts there are lost.
func (o *Owner) bootEnded(s *session, why string) {
	if s.ended {
		return
	}
	o.log.Info().Str("event", "worker_ended").Str("boot", s.ref.Boot).Str("vm", s.vm).Str("why", why).Int("attempts", len(s.attempts)).Send()
	o.handleLoss(s, LossEnded)
	s.ended = true
	o.resolveFormer(s)
	s.cancel()
	delete(o.sessions, s.ref.Boot)
	if o.currentSessions[s.worker] == s {
		delete(o.currentSessions, s.worker)
	}
	// The boot may still run, with only its directory entry expired. It would refuse a lower token,
	// and this owner would take that for a later owner's fencing.
	o.endedBoots[s.worker] = endedBoot{boot: s.ref.Boot, token: s.token, deadlineSentAt: s.deadlineSentAt}
	o.sortedSessions = nil
	o.record.markChanged(s.worker)
	o.resolveFormerWorkers()
	o.requestCommit()
}
