package membership

import (
	"context"
	"crypto/tls"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/gannetwell/gannetwell/pkg/peer"
	"github.com/gannetwell/gannetwell/pkg/replica"
	"github.com/gannetwell/gannetwell/pkg/schema"
)

const (
	// changesPerMessage bounds the changes of the table in one message.
	changesPerMessage = 64
	// linkRetention is how long after a peer was last heard its link is kept although the VM list
	// no longer names it, and how long the address of a peer that has ended is ignored.
	linkRetention = 30 * time.Second
	// pushFanOut is how many random peers a change is pushed to. Each of them pushes it on, which
	// misses about one peer in 3,000 (e^-8) at a cost that does not grow with their number;
	// periodic exchanges reach the peers that were missed.
	pushFanOut = 8
	// maxConcurrentExchanges bounds the peers that are asked at the same time.
	maxConcurrentExchanges = 16
)

// PeerStatus is what an entry knows of a peer.
type PeerStatus struct {
	Address     string
	State       schema.PeerState // zero until the peer is first heard
	LastContact time.Time        // last answer or request, zero for never
	Err         error            // of the last exchange, nil if it succeeded
}

// Peers tracks the other entries and exchanges state with them.
type Peers struct {
	self     schema.PeerState // revision and stopping are filled in on each use
	replica  *replica.Replica
	inFlight func(vm string) int
	stopping func() bool
	interval time.Duration
	secret   string
	tls      func() *tls.Config
	log      zerolog.Logger
	onBytes  func(sent, received int)

	clientOpts []peer.ClientOption
	ended      atomic.Bool // Leave was called

	mu        sync.Mutex
	links     map[string]*link     // by address
	endedAt   map[string]time.Time // when a peer ended, by address
	nextIndex int                  // of the round-robin exchanges
}

// link is the connection to one peer. Its exchanges run in their own goroutines, so that an
// unresponsive peer delays no other.
type link struct {
	client     *peer.Client
	status     PeerStatus
	pending    atomic.Bool // an exchange is queued, which will carry all changes up to its start
	exchangeMu sync.Mutex  // serializes exchanges
}

// WithPeerDial sets the function that opens connections.
func WithPeerDial(f func(ctx context.Context, network, addr string) (net.Conn, error)) PeersOption {
	return func(p *Peers) { p.clientOpts = append(p.clientOpts, peer.WithDial(f)) }
}

// PeersOption configures [Peers].
type PeersOption func(*Peers)

// WithInFlight sets the function that counts the requests in flight to a VM.
func WithInFlight(f func(vm string) int) PeersOption { return func(p *Peers) { p.inFlight = f } }

// WithStopping sets the function that reports whether this entry is in a planned stop.
func WithStopping(f func() bool) PeersOption { return func(p *Peers) { p.stopping = f } }

// WithInterval sets the time between two periodic exchanges.
func WithInterval(d time.Duration) PeersOption { return func(p *Peers) { p.interval = d } }

// WithPeerTLS sets the TLS configuration of outgoing connections; f may return nil for none.
func WithPeerTLS(f func() *tls.Config) PeersOption { return func(p *Peers) { p.tls = f } }

// WithPeerLogger sets the logger.
func WithPeerLogger(l zerolog.Logger) PeersOption { return func(p *Peers) { p.log = l } }

// WithPeerBytes sets a callback for the bytes of each exchange.
func WithPeerBytes(f func(sent, received int)) PeersOption { return func(p *Peers) { p.onBytes = f } }

const defaultInterval = 250 * time.Millisecond

// NewPeers returns the peers of the entry that self describes, none at first; secret authenticates
// links.
func NewPeers(self schema.PeerState, secret string, r *replica.Replica, opts ...PeersOption) *Peers {
	p := &Peers{
		self: self, replica: r, secret: secret, interval: defaultInterval,
		inFlight: func(string) int { return 0 },
		stopping: func() bool { return false },
		tls:      func() *tls.Config { return nil },
		log:      zerolog.Nop(),
		onBytes:  func(int, int) {},
		links:    map[string]*link{},
		endedAt:  map[string]time.Time{},
	}
	for _, o := range opts {
		o(p)
	}
	return p
}

// Self returns this entry's current state.
func (p *Peers) Self() schema.PeerState {
	s := p.self
	s.Revision = p.replica.Revision()
	s.Stopping = p.stopping()
	s.Ended = p.ended.Load()
	return s
}

// Leave tells every peer that this entry has ended: it has nothing in flight and accepts no more
// requests, so that no peer waits for it. Its links stay open until Run ends.
func (p *Peers) Leave(ctx context.Context) {
	p.ended.Store(true)
	p.SyncAll(ctx)
}

// SetAddresses sets the addresses of all entries; this entry's own is ignored.
func (p *Peers) SetAddresses(addresses []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, l := range p.links {
		if !slices.Contains(addresses, addr) && time.Since(l.status.LastContact) > linkRetention {
			p.remove(addr, l)
		}
	}
	for _, addr := range addresses {
		p.add(addr)
	}
}

// Close closes all links.
func (p *Peers) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, l := range p.links {
		p.remove(addr, l)
	}
}

// add creates a link. The caller holds mu.
func (p *Peers) add(addr string) {
	_, known := p.links[addr]
	if known || addr == p.self.Address || addr == "" || time.Since(p.endedAt[addr]) < linkRetention {
		return
	}
	client := peer.NewClient(addr, p.secret, append(p.clientOpts, peer.WithTLS(p.tls), peer.WithBytes(p.onBytes))...)
	p.links[addr] = &link{client: client, status: PeerStatus{Address: addr}}
	p.log.Info().Str("event", "peer_added").Str("peer", addr).Send()
}

// remove drops a link. The caller holds mu.
func (p *Peers) remove(addr string, l *link) {
	go l.client.Close() // waits for an exchange in progress
	delete(p.links, addr)
	p.log.Info().Str("event", "peer_removed").Str("peer", addr).Send()
}

// Statuses returns the status of each peer, sorted by address.
func (p *Peers) Statuses() []PeerStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	statuses := make([]PeerStatus, 0, len(p.links))
	for _, addr := range slices.Sorted(maps.Keys(p.links)) {
		statuses = append(statuses, p.links[addr].status)
	}
	return statuses
}

// Run exchanges state with the peers until ctx ends, then closes all links.
func (p *Peers) Run(ctx context.Context) error {
	tick := time.NewTicker(p.interval)
	defer tick.Stop()
	var exchanges sync.WaitGroup
	defer exchanges.Wait()
	changed := p.replica.Changed()
	for {
		select {
		case <-ctx.Done():
			p.Close()
			return nil
		case <-changed:
			changed = p.replica.Changed()
			for _, l := range sample(p.allLinks(), pushFanOut) {
				p.startExchange(ctx, &exchanges, l)
			}
		case <-tick.C:
			if l, ok := p.nextLink(); ok {
				p.startExchange(ctx, &exchanges, l)
			}
		}
	}
}

// sample returns up to n random links.
func sample(links []*link, n int) []*link {
	if len(links) > n {
		rand.Shuffle(len(links), func(i, j int) { links[i], links[j] = links[j], links[i] })
		links = links[:n]
	}
	return links
}

// startExchange starts an exchange with a peer unless one is queued already.
func (p *Peers) startExchange(ctx context.Context, exchanges *sync.WaitGroup, l *link) {
	if l.pending.Swap(true) {
		return
	}
	exchanges.Go(func() {
		l.exchangeMu.Lock()
		defer l.exchangeMu.Unlock()
		l.pending.Store(false)
		_, _ = p.exchange(ctx, l, nil) // recorded in the link's status
	})
}

// allLinks returns the links sorted by address.
func (p *Peers) allLinks() []*link {
	p.mu.Lock()
	defer p.mu.Unlock()
	links := make([]*link, 0, len(p.links))
	for _, addr := range slices.Sorted(maps.Keys(p.links)) {
		links = append(links, p.links[addr])
	}
	return links
}

// nextLink returns the next link in round-robin order; only Run calls it.
func (p *Peers) nextLink() (l *link, ok bool) {
	links := p.allLinks()
	if len(links) == 0 {
		return nil, false
	}
	p.nextIndex++
	return links[p.nextIndex%len(links)], true
}

// SyncAll exchanges state with every peer and waits for the results; it returns the highest
// revision reported and the number of peers that answered.
func (p *Peers) SyncAll(ctx context.Context) (highest, reached int) {
	var g errgroup.Group
	g.SetLimit(maxConcurrentExchanges)
	var mu sync.Mutex
	for _, l := range p.allLinks() {
		g.Go(func() error {
			reply, err := p.exchange(ctx, l, nil)
			if err != nil {
				return nil // recorded in the link's status
			}
			mu.Lock()
			defer mu.Unlock()
			reached++
			highest = max(highest, reply.From.Revision)
			return nil
		})
	}
	_ = g.Wait()
	return highest, reached
}
