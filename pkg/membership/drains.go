package membership

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"
)

// EntryInFlight is one entry's word on the requests that it has in flight.
type EntryInFlight struct {
	Entry    string         // name, or address while the name is not known
	Address  string         // of its peer listener
	Reached  bool           // false when it did not answer
	Heard    time.Time      // when it was last heard before, zero for never
	Revision int            // in force at the entry when it counted
	Counts   map[string]int // by VM
}

// InFlight asks every entry, this one included, about some VMs.
func (p *Peers) InFlight(ctx context.Context, vms []string) []EntryInFlight {
	own := EntryInFlight{Entry: p.self.Name, Address: p.self.Address, Reached: true, Revision: p.replica.Revision(), Counts: map[string]int{}}
	for _, vm := range vms {
		own.Counts[vm] = p.inFlight(vm)
	}
	links := p.all()
	answers := make([]EntryInFlight, len(links))
	var g errgroup.Group
	g.SetLimit(pushWorkers)
	for i, l := range links {
		g.Go(func() error {
			answers[i] = p.askInFlight(ctx, l, vms)
			return nil
		})
	}
	_ = g.Wait()
	return append([]EntryInFlight{own}, answers...)
}

// askInFlight asks one peer; its answer says whether it was reached.
func (p *Peers) askInFlight(ctx context.Context, l *link, vms []string) EntryInFlight {
	p.mu.Lock()
	k := l.known
	p.mu.Unlock()
	answer := EntryInFlight{Entry: k.State.Name, Address: k.Address, Heard: k.Heard, Counts: map[string]int{}}
	if answer.Entry == "" {
		answer.Entry = k.Address
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
