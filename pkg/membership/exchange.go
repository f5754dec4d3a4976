package membership

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/gannetwell/gannetwell/pkg/schema"
	"github.com/gannetwell/gannetwell/pkg/table"
)

// exchange sends a peer the changes of the table that it lacks and applies those in its reply. It
// also asks for the peer's requests in flight to drainingVMs.
func (p *Peers) exchange(ctx context.Context, l *link, drainingVMs []string) (reply *schema.PeerReply, err error) {
	p.mu.Lock()
	theirs, heard := l.status.State.Revision, !l.status.LastContact.IsZero()
	p.mu.Unlock()
	q := &schema.PeerRequest{From: p.Self(), Drains: drainingVMs}
	if heard {
		q.Entries, _ = p.replica.Since(theirs, changesPerMessage)
	}
	reply, err = l.client.Exchange(ctx, q)
	p.recordExchange(l, reply, err)
	if err != nil {
		return nil, err
	}
	p.applyReply(reply)
	return reply, nil
}

// recordExchange records the result of an exchange. The state in a reply is always the current one,
// as only the process at the address can answer.
func (p *Peers) recordExchange(l *link, reply *schema.PeerReply, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if (err == nil) != (l.status.Err == nil) || l.status.LastContact.IsZero() && err == nil {
		p.log.Info().Str("event", "peer_reached").Bool("reached", err == nil).Str("peer", l.status.Address).Err(err).Send()
	}
	l.status.Err = err
	if err == nil {
		l.status.State = reply.From
		l.status.LastContact = time.Now()
	}
}

// applyReply applies the table changes or the snapshot of a reply.
func (p *Peers) applyReply(reply *schema.PeerReply) {
	if reply.Snapshot != nil {
		p.adoptSnapshot(reply.Snapshot)
	}
	if err := p.replica.ApplyEntries(reply.Entries); err != nil {
		p.log.Warn().Str("event", "entries_refused").Str("peer", reply.From.Name).Err(err).Send()
	}
}

func (p *Peers) adoptSnapshot(s *schema.PeerSnapshot) {
	rows := make([]table.StoredRow, 0, len(s.Rows))
	for _, r := range s.Rows {
		rows = append(rows, table.StoredRow{Key: table.Key{Kind: r.Kind, Name: r.Name}, Version: r.Version, Value: r.Value})
	}
	snap, err := table.Load(s.Revision, rows)
	if err != nil {
		p.log.Warn().Str("event", "snapshot_refused").Err(err).Send()
		return
	}
	p.replica.InstallSnapshot(snap)
}

// Handle answers a request of a peer; it is a [peer.Handler].
func (p *Peers) Handle(_ context.Context, q *schema.PeerRequest) *schema.PeerReply {
	p.recordState(q.From)
	if err := p.replica.ApplyEntries(q.Entries); err != nil && !errors.As(err, new(table.ErrGap)) {
		p.log.Warn().Str("event", "entries_refused").Str("peer", q.From.Name).Err(err).Send()
	}
	// The state is read before the counts, so that a count of zero holds for its revision.
	reply := &schema.PeerReply{From: p.Self(), Entries: []schema.Entry{}, InFlight: []schema.VMInFlight{}}
	for _, vm := range q.Drains {
		reply.InFlight = append(reply.InFlight, schema.VMInFlight{VM: vm, Count: p.inFlight(vm)})
	}
	entries, ok := p.replica.Since(q.From.Revision, changesPerMessage)
	if !ok {
		reply.Snapshot = snapshotOf(p.replica.Snapshot())
	}
	reply.Entries = append(reply.Entries, entries...)
	return reply
}

// recordState records the state that a peer reports of itself, unless a newer one is known.
func (p *Peers) recordState(s schema.PeerState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, ok := p.links[s.Address]
	if !ok && !s.Ended {
		delete(p.endedAt, s.Address) // it has sent a request, so it is running
		p.add(s.Address)             // may be missing from the VM list still
		l, ok = p.links[s.Address]
	}
	if !ok {
		return
	}
	old := l.status.State
	stale := s.Incarnation < old.Incarnation ||
		s.Incarnation == old.Incarnation && s.Revision < old.Revision
	if stale {
		return
	}
	if s.Ended {
		p.remove(s.Address, l)
		p.endedAt[s.Address] = time.Now() // the VM list may still name it
		return
	}
	l.status.State = s
	l.status.LastContact = time.Now()
}

func snapshotOf(s *table.Snapshot) *schema.PeerSnapshot {
	out := &schema.PeerSnapshot{Revision: s.Revision, Rows: []schema.PeerRow{}}
	for _, r := range s.Stored() {
		out.Rows = append(out.Rows, schema.PeerRow{Kind: r.Key.Kind, Name: r.Key.Name, Version: r.Version, Value: r.Value})
	}
	return out
}
