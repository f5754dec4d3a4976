package membership

import (
	"context"
	"sync"
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
	known := p.Known()
	answers := make([]EntryInFlight, len(known))
	var mu sync.Mutex
	var g errgroup.Group
	g.SetLimit(pushWorkers)
	for i, k := range known {
		g.Go(func() error {
			answer := EntryInFlight{Entry: k.State.Name, Address: k.Address, Heard: k.Heard, Counts: map[string]int{}}
			if answer.Entry == "" {
				answer.Entry = k.Address
			}
			reply, err := p.ask(ctx, k.Address, vms)
			if err == nil {
				answer.Entry, answer.Reached, answer.Revision = reply.From.Name, true, reply.From.Revision
				for _, c := range reply.InFlight {
					answer.Counts[c.VM] = c.Count
				}
			}
			mu.Lock()
			defer mu.Unlock()
			answers[i] = answer
			return nil
		})
	}
	_ = g.Wait()
	return append([]EntryInFlight{own}, answers...)
}
