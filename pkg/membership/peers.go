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
	// entriesPerMessage bounds the log entries in one message.
	entriesPerMessage = 64
	// keepHeard is how long a link outlives the platform's list after the peer was heard.
	keepHeard = 30 * time.Second
	// pushFanOut is how many peers an entry tells of a change at once. Each that
	// learns of it does the same, so with 8 all but about one in 3,000 hear it
	// that way (e^-8), at a cost that does not grow with their number; the turn
	// by turn exchange reaches the rest.
	pushFanOut = 8
	// pushWorkers bounds the peers that are told of a change at one time.
	pushWorkers = 16
)

// Known is what an entry knows of a peer.
type Known struct {
	Address string
	State   schema.PeerState // zero until the peer was heard
	Heard   time.Time        // when it was last heard, zero for never
	Err     error            // of the last exchange, nil when it succeeded
}

// Peers are the other entries.
type Peers struct {
	self     schema.PeerState // revision and stopping are filled in at each use
	replica  *replica.Replica
	inFlight func(vm string) int
	stopping func() bool
	interval time.Duration
	secret   string
	tls      func() *tls.Config
	log      zerolog.Logger
	onBytes  func(sent, received int)

	clients []peer.ClientOption
	ended   atomic.Bool

	mu    sync.Mutex
	links map[string]*link     // by address
	gone  map[string]time.Time // when a peer said its last word, by address
	turn  int
}

// link is one peer. Each has goroutines of its own, so that a peer that does
// not answer holds up no other.
type link struct {
	client  *peer.Client
	known   Known
	waiting atomic.Bool // an exchange is about to begin, which will carry everything new
	turn    sync.Mutex  // one exchange at a time
}

// WithPeerDial opens links by f.
func WithPeerDial(f func(ctx context.Context, network, addr string) (net.Conn, error)) PeersOption {
	return func(p *Peers) { p.clients = append(p.clients, peer.WithDial(f)) }
}

// PeersOption changes how Peers are made.
type PeersOption func(*Peers)

// WithInFlight answers peers that ask how many requests are in flight to a VM.
func WithInFlight(f func(vm string) int) PeersOption { return func(p *Peers) { p.inFlight = f } }

// WithStopping tells peers whether this entry is in a planned stop.
func WithStopping(f func() bool) PeersOption { return func(p *Peers) { p.stopping = f } }

// WithInterval sets the time between two exchanges.
func WithInterval(d time.Duration) PeersOption { return func(p *Peers) { p.interval = d } }

// WithPeerTLS dials peers by TLS.
func WithPeerTLS(f func() *tls.Config) PeersOption { return func(p *Peers) { p.tls = f } }

// WithPeerLogger logs peers that come and go.
func WithPeerLogger(l zerolog.Logger) PeersOption { return func(p *Peers) { p.log = l } }

// WithPeerBytes reports the bytes of each exchange.
func WithPeerBytes(f func(sent, received int)) PeersOption { return func(p *Peers) { p.onBytes = f } }

const defaultInterval = 250 * time.Millisecond

// NewPeers returns the peers of an entry that describes itself by self.
func NewPeers(self schema.PeerState, secret string, r *replica.Replica, opts ...PeersOption) *Peers {
	p := &Peers{
		self: self, replica: r, secret: secret, interval: defaultInterval,
		inFlight: func(string) int { return 0 },
		stopping: func() bool { return false },
		tls:      func() *tls.Config { return nil },
		log:      zerolog.Nop(),
		onBytes:  func(int, int) {},
		links:    map[string]*link{},
		gone:     map[string]time.Time{},
	}
	for _, o := range opts {
		o(p)
	}
	return p
}

// Self returns the entry's own state.
func (p *Peers) Self() schema.PeerState {
	s := p.self
	s.Revision = p.replica.Revision()
	s.Stopping = p.stopping()
	s.Ended = p.ended.Load()
	return s
}

// Leave tells every peer that this entry has nothing in flight and takes nothing
// more, so that none waits for it. Its table goes on; its links close with Run.
func (p *Peers) Leave(ctx context.Context) {
	p.ended.Store(true)
	p.SyncAll(ctx)
}

// SetAddresses brings the links to a set of addresses; the entry's own is passed over.
func (p *Peers) SetAddresses(addresses []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, l := range p.links {
		if !slices.Contains(addresses, addr) && time.Since(l.known.Heard) > keepHeard {
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

// add makes a link; the caller holds the lock.
func (p *Peers) add(addr string) {
	_, known := p.links[addr]
	if known || addr == p.self.Address || addr == "" || time.Since(p.gone[addr]) < keepHeard {
		return
	}
	client := peer.NewClient(addr, p.secret, append(p.clients, peer.WithTLS(p.tls), peer.WithBytes(p.onBytes))...)
	p.links[addr] = &link{client: client, known: Known{Address: addr}}
	p.log.Info().Str("event", "peer_added").Str("peer", addr).Send()
}

// remove drops a link; the caller holds the lock.
func (p *Peers) remove(addr string, l *link) {
	go l.client.Close() // may wait for an exchange
	delete(p.links, addr)
	p.log.Info().Str("event", "peer_removed").Str("peer", addr).Send()
}

// Statuses returns what is known of each peer, by address.
func (p *Peers) Statuses() []Known {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := make([]Known, 0, len(p.links))
	for _, addr := range slices.Sorted(maps.Keys(p.links)) {
		known = append(known, p.links[addr].known)
	}
	return known
}

// Run exchanges state with the peers until ctx ends.
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
			for _, l := range sample(p.all(), pushFanOut) {
				p.kick(ctx, &exchanges, l)
			}
		case <-tick.C:
			if l, ok := p.next(); ok {
				p.kick(ctx, &exchanges, l)
			}
		}
	}
}

// sample returns up to n of the links, any of them with the same chance.
func sample(links []*link, n int) []*link {
	if len(links) > n {
		rand.Shuffle(len(links), func(i, j int) { links[i], links[j] = links[j], links[i] })
		links = links[:n]
	}
	return links
}

// kick begins an exchange with a peer, unless one is about to begin.
func (p *Peers) kick(ctx context.Context, exchanges *sync.WaitGroup, l *link) {
	if l.waiting.Swap(true) {
		return
	}
	exchanges.Go(func() {
		l.turn.Lock()
		defer l.turn.Unlock()
		l.waiting.Store(false)
		_, _ = p.exchange(ctx, l, nil) // noted at the link
	})
}

// all returns the links in the order of addresses.
func (p *Peers) all() []*link {
	p.mu.Lock()
	defer p.mu.Unlock()
	links := make([]*link, 0, len(p.links))
	for _, addr := range slices.Sorted(maps.Keys(p.links)) {
		links = append(links, p.links[addr])
	}
	return links
}

// next returns the link whose turn it is; only Run calls it.
func (p *Peers) next() (l *link, ok bool) {
	links := p.all()
	if len(links) == 0 {
		return nil, false
	}
	p.turn++
	return links[p.turn%len(links)], true
}

// SyncAll exchanges state with every peer and waits for the answers; it returns
// the highest revision heard and how many answered.
func (p *Peers) SyncAll(ctx context.Context) (highest, reached int) {
	var g errgroup.Group
	g.SetLimit(pushWorkers)
	var mu sync.Mutex
	for _, l := range p.all() {
		g.Go(func() error {
			reply, err := p.exchange(ctx, l, nil)
			if err != nil {
				return nil // noted at the link; the others go on
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
