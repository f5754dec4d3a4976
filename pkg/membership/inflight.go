package membership

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"
)

// EntryInFlight holds the requests that one entry has in flight to some VMs.
type EntryInFlight struct {
	Entry       string         // name, or address while the name is unknown
	Address     string         // of its peer listener
	Reached     bool           // it answered
	LastContact time.Time      // last answer or request before this one, zero for never
	Revision    int            // of the entry's table when it counted
	Counts      map[string]int // by VM
}

// InFlight asks every entry, this one included, for its requests in flight to some VMs.
func (p *Peers) InFlight(ctx context.Context, vms []string) []EntryInFlight {
	own := EntryInFlight{Entry: p.self.Name, Address: p.self.Address, Reached: true, Revision: p.replica.Revision(), Counts: map[string]int{}}
	for _, vm := range vms {
		own.Counts[vm] = p.inFlight(vm)
	}
	links := p.allLinks()
	answers := make([]EntryInFlight, len(links))
	var g errgroup.Group
	g.SetLimit(maxConcurrentExchanges)
	for i, l := range links {
		g.Go(func() error {
			answers[i] = p.queryInFlight(ctx, l, vms)
			return nil
		})
	}
	_ = g.Wait()
	return append([]EntryInFlight{own}, answers...)
}

// queryInFlight asks one peer; without an answer Reached stays false.
func (p *Peers) queryInFlight(ctx context.Context, l *link, vms []string) EntryInFlight {
	p.mu.Lock()
	status := l.status
	p.mu.Unlock()
	answer := EntryInFlight{Entry: status.State.Name, Address: status.Address, LastContact: status.LastContact, Counts: map[string]int{}}
	if answer.Entry == "" {
		answer.Entry = status.Address
	}
	reply, err := p.exchange(ctx, l, vms)
	if err != nil {
		return answer
	}
	answer.Entry, answer.Reached, answer.Revision = reply.From.Name, true, reply.From.Revision
	for _, c := range reply.InFlight {
		answer.Counts[c.VM] = c.Count
	}
	return answer
}
