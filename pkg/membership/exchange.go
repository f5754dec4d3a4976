package membership

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/gannetwell/gannetwell/pkg/schema"
	"github.com/gannetwell/gannetwell/pkg/table"
)

// exchange tells a peer what is new here and takes over what it sends.
func (p *Peers) exchange(ctx context.Context, l *link, drains []string) (reply *schema.PeerReply, err error) {
	p.mu.Lock()
	theirs, heard := l.known.State.Revision, !l.known.Heard.IsZero()
	p.mu.Unlock()
	q := &schema.PeerRequest{From: p.Self(), Drains: drains}
	if heard {
		q.Entries, _ = p.replica.Since(theirs, entriesPerMessage)
	}
	reply, err = l.client.Ask(ctx, q)
	p.note(l, reply, err)
	if err != nil {
		return nil, err
	}
	p.take(reply)
	return reply, nil
}

// note keeps the result of an exchange; the process that answers at an address is the current one.
func (p *Peers) note(l *link, reply *schema.PeerReply, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if (err == nil) != (l.known.Err == nil) || l.known.Heard.IsZero() && err == nil {
		p.log.Info().Str("event", "peer_reached").Bool("reached", err == nil).Str("peer", l.known.Address).Err(err).Send()
	}
	l.known.Err = err
	if err == nil {
		l.known.State = reply.From
		l.known.Heard = time.Now()
	}
}

// take applies the entries or the snapshot of a reply.
func (p *Peers) take(reply *schema.PeerReply) {
	if reply.Snapshot != nil {
		p.adopt(reply.Snapshot)
	}
	if err := p.replica.Offer(reply.Entries); err != nil {
		p.log.Warn().Str("event", "entries_refused").Str("peer", reply.From.Name).Err(err).Send()
	}
}

func (p *Peers) adopt(s *schema.PeerSnapshot) {
	rows := make([]table.StoredRow, 0, len(s.Rows))
	for _, r := range s.Rows {
		rows = append(rows, table.StoredRow{Key: table.Key{Kind: r.Kind, Name: r.Name}, Version: r.Version, Value: r.Value})
	}
	snap, err := table.Load(s.Revision, rows)
	if err != nil {
		p.log.Warn().Str("event", "snapshot_refused").Err(err).Send()
		return
	}
	p.replica.Adopt(snap)
}

// Handle answers a peer; it is a peer.Handler.
func (p *Peers) Handle(_ context.Context, q *schema.PeerRequest) *schema.PeerReply {
	p.heard(q.From)
	if err := p.replica.Offer(q.Entries); err != nil && !errors.As(err, new(table.ErrGap)) {
		p.log.Warn().Str("event", "entries_refused").Str("peer", q.From.Name).Err(err).Send()
	}
	// The state is taken before the counts: a count of zero then holds for its revision.
	reply := &schema.PeerReply{From: p.Self(), Entries: []schema.Entry{}, InFlight: []schema.VMInFlight{}}
	for _, vm := range q.Drains {
		reply.InFlight = append(reply.InFlight, schema.VMInFlight{VM: vm, Count: p.inFlight(vm)})
	}
	entries, ok := p.replica.Since(q.From.Revision, entriesPerMessage)
	if !ok {
		reply.Snapshot = snapshotOf(p.replica.Snapshot())
	}
	reply.Entries = append(reply.Entries, entries...)
	return reply
}

// heard keeps a peer's own word, unless it is older than what is known.
func (p *Peers) heard(s schema.PeerState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, ok := p.links[s.Address]
	if !ok && !s.Ended {
		delete(p.gone, s.Address) // it speaks, so it is there
		p.add(s.Address)          // a new entry that the list does not show yet
		l, ok = p.links[s.Address]
	}
	if !ok {
		return
	}
	old := l.known.State
	stale := s.Incarnation < old.Incarnation ||
		s.Incarnation == old.Incarnation && s.Revision < old.Revision
	if stale {
		return
	}
	if s.Ended {
		p.remove(s.Address, l)
		p.gone[s.Address] = time.Now() // the list may still show it
		return
	}
	l.known.State = s
	l.known.Heard = time.Now()
}

func snapshotOf(s *table.Snapshot) *schema.PeerSnapshot {
	out := &schema.PeerSnapshot{Revision: s.Revision, Rows: []schema.PeerRow{}}
	for _, r := range s.Stored() {
		out.Rows = append(out.Rows, schema.PeerRow{Kind: r.Key.Kind, Name: r.Key.Name, Version: r.Version, Value: r.Value})
	}
	return out
}
