// Package cluster runs the entry daemons of one simulated deployment in this process,
// over loopback TCP. The demo and the scenarios start, stop and crash entries through it.
package cluster

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/gannetwell/gannetwell/pkg/bench/load"
	"github.com/gannetwell/gannetwell/pkg/bench/standin"
	"github.com/gannetwell/gannetwell/pkg/config"
	"github.com/gannetwell/gannetwell/pkg/entry"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/schema"
	"github.com/gannetwell/gannetwell/service/client"
	"github.com/gannetwell/gannetwell/service/server"
)

// Credentials of the entries, which listen on loopback only.
const (
	token  = "bench-operator-token"
	secret = "bench-peer-secret-0123456789"
)

// Intervals of the entries, in milliseconds: below the defaults, so that a wave takes seconds.
const (
	stepIntervalMs  = 100
	probeIntervalMs = 200
	stopNoticeMs    = 500
)

// runningEntry is one entry daemon.
type runningEntry struct {
	entry  *entry.Entry
	cancel context.CancelFunc
	done   chan error
}

// Entries holds the running entry daemons of a deployment; it is safe for concurrent use.
type Entries struct {
	standin         *standin.Standin
	balancer        *load.Balancer
	log             zerolog.Logger
	gatewaySettings map[string]any // "gateway" section of the settings
	entryOptions    func(zone string) []entry.Option
	onStart         func(zone, peerAddress string)

	mu      sync.Mutex
	running map[string]*runningEntry
}

// Option configures Entries.
type Option func(*Entries)

// WithLogger sets the logger of the daemons.
func WithLogger(l zerolog.Logger) Option { return func(es *Entries) { es.log = l } }

// WithGatewaySettings overrides fields of the daemons' gateway settings.
func WithGatewaySettings(fields map[string]any) Option {
	return func(es *Entries) { maps.Copy(es.gatewaySettings, fields) }
}

// WithEntryOptions creates each daemon with the options that f returns for its zone.
func WithEntryOptions(f func(zone string) []entry.Option) Option {
	return func(es *Entries) { es.entryOptions = f }
}

// WithOnStart calls f for each entry that starts.
func WithOnStart(f func(zone, peerAddress string)) Option {
	return func(es *Entries) { es.onStart = f }
}

// New returns a cluster without entries. It registers entries with the balancer as they start and stop.
func New(s *standin.Standin, b *load.Balancer, opts ...Option) *Entries {
	es := &Entries{
		standin: s, balancer: b, log: zerolog.Nop(), running: map[string]*runningEntry{},
		gatewaySettings: map[string]any{"probe_interval_ms": probeIntervalMs, "stop_notice_ms": stopNoticeMs},
		entryOptions:    func(string) []entry.Option { return nil },
		onStart:         func(string, string) {},
	}
	for _, o := range opts {
		o(es)
	}
	return es
}

// settings returns the settings of the i-th entry; zones are assigned round robin.
func (es *Entries) settings(name string, i int) (s schema.Settings, err error) {
	zones := es.standin.Zones()
	zone := zones[i%len(zones)]
	doc, err := json.Marshal(map[string]any{
		"name": name, "zone": zone,
		"callers": map[string]any{"address": "127.0.0.1:0"},
		"operators": map[string]any{
			"address":  "127.0.0.1:0",
			"accounts": []schema.Account{{Name: "bench", Role: schema.RoleEdit, TokenSha256: server.HashToken(token)}},
		},
		"peers":    map[string]any{"address": "127.0.0.1:0", "secret": secret, "seeds": es.peerAddresses()},
		"platform": map[string]any{"url": es.standin.URL(zone)},
		"gateway":  es.gatewaySettings,
		"control":  map[string]any{"step_interval_ms": stepIntervalMs},
	})
	if err != nil {
		return s, err
	}
	err = config.Decode("settings of "+name, doc, config.TargetSettings, &s)
	return s, err
}

// peerAddresses returns the peer addresses of the running entries.
func (es *Entries) peerAddresses() []string {
	es.mu.Lock()
	defer es.mu.Unlock()
	addresses := []string{}
	for _, r := range es.running {
		addresses = append(addresses, r.entry.PeerAddress())
	}
	return addresses
}

// Start runs an entry and registers it with the platform and the balancer.
func (es *Entries) Start(ctx context.Context, name string, i int) (err error) {
	settings, err := es.settings(name, i)
	if err != nil {
		return err
	}
	e, err := entry.New(settings, append(es.entryOptions(settings.Zone), entry.WithLogger(es.log))...)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	r := &runningEntry{entry: e, cancel: cancel, done: make(chan error, 1)}
	go func() { r.done <- e.Run(ctx) }()
	es.standin.Platform.AddVM(platform.ListedVM{
		Name: name, Zone: settings.Zone, Role: platform.RoleEntry, Address: e.PeerAddress(),
	})
	es.onStart(settings.Zone, e.PeerAddress())
	es.mu.Lock()
	defer es.mu.Unlock()
	es.running[name] = r
	es.updateBalancer()
	return nil
}

// updateBalancer passes the running entries to the balancer; the caller holds the lock.
func (es *Entries) updateBalancer() {
	var addresses []string
	for _, r := range es.running {
		addresses = append(addresses, r.entry.CallerAddress())
	}
	es.balancer.SetEntries(addresses...)
}

const stopTimeout = 30 * time.Second

// Stop stops an entry gracefully and waits until it has ended.
func (es *Entries) Stop(name string) error {
	es.mu.Lock()
	r := es.running[name]
	es.mu.Unlock()
	r.entry.Stop()
	select {
	case err := <-r.done:
		if err != nil {
			return err
		}
	case <-time.After(stopTimeout):
		return errors.Errorf("entry %s did not stop in time", name)
	}
	r.cancel()
	es.mu.Lock()
	defer es.mu.Unlock()
	delete(es.running, name)
	es.updateBalancer()
	es.standin.Platform.Fail(name)
	return nil
}

// Crash ends an entry without notice, as the loss of its VM would; the balancer keeps its address.
func (es *Entries) Crash(name string) {
	es.mu.Lock()
	defer es.mu.Unlock()
	r := es.running[name]
	delete(es.running, name)
	r.cancel()
	es.standin.Platform.Fail(name)
}

// AnyClient returns an operators' client of a random entry, nil without entries.
func (es *Entries) AnyClient() *client.Client {
	es.mu.Lock()
	defer es.mu.Unlock()
	var entries []*runningEntry
	for _, r := range es.running {
		entries = append(entries, r)
	}
	if len(entries) == 0 {
		return nil
	}
	slices.SortFunc(entries, func(a, b *runningEntry) int {
		if a.entry.OperatorAddress() < b.entry.OperatorAddress() {
			return -1
		}
		return 1
	})
	return client.New("http://"+entries[rand.IntN(len(entries))].entry.OperatorAddress(), token)
}

// CloseAll ends all running entries.
func (es *Entries) CloseAll() {
	es.mu.Lock()
	defer es.mu.Unlock()
	for _, r := range es.running {
		r.cancel()
	}
	for _, r := range es.running {
		<-r.done
	}
}
