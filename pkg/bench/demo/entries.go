package demo

import (
	"context"
	"encoding/json"
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

// The token and the secret of the demo's own entries, which only listen on loopback.
const (
	demoToken  = "demo-operator-token"
	demoSecret = "demo-peer-secret-0123456789"
)

// The pace of the demo's entries: quicker than the defaults, so that a wave takes seconds.
const (
	stepMs   = 100
	probeMs  = 200
	noticeMs = 500
)

// running is one entry daemon.
type running struct {
	entry  *entry.Entry
	cancel context.CancelFunc
	done   chan error
}

// entries are the daemons of a deployment.
type entries struct {
	standin  *standin.Standin
	balancer *load.Balancer
	log      zerolog.Logger

	mu      sync.Mutex
	running map[string]*running
}

func newEntries(s *standin.Standin, b *load.Balancer, log zerolog.Logger) *entries {
	return &entries{standin: s, balancer: b, log: log, running: map[string]*running{}}
}

// settings returns the settings of an entry; zones are taken in turn.
func (es *entries) settings(name string, i int) (s schema.Settings, err error) {
	zones := es.standin.Zones()
	zone := zones[i%len(zones)]
	doc, err := json.Marshal(map[string]any{
		"name": name, "zone": zone,
		"callers": map[string]any{"address": "127.0.0.1:0"},
		"operators": map[string]any{
			"address":  "127.0.0.1:0",
			"accounts": []schema.Account{{Name: "demo", Role: schema.RoleEdit, TokenSha256: server.HashToken(demoToken)}},
		},
		"peers":    map[string]any{"address": "127.0.0.1:0", "secret": demoSecret, "seeds": es.peerAddresses()},
		"platform": map[string]any{"url": es.standin.URL(zone)},
		"gateway":  map[string]any{"probe_interval_ms": probeMs, "stop_notice_ms": noticeMs},
		"control":  map[string]any{"step_interval_ms": stepMs},
	})
	if err != nil {
		return s, err
	}
	err = config.Decode("settings of "+name, doc, config.TargetSettings, &s)
	return s, err
}

// peerAddresses are where the entries that run already are reached.
func (es *entries) peerAddresses() []string {
	es.mu.Lock()
	defer es.mu.Unlock()
	addresses := []string{}
	for _, r := range es.running {
		addresses = append(addresses, r.entry.PeerAddress())
	}
	return addresses
}

// start runs an entry and tells the platform and the balancer of it.
func (es *entries) start(ctx context.Context, name string, i int) (err error) {
	settings, err := es.settings(name, i)
	if err != nil {
		return err
	}
	e, err := entry.New(settings, entry.WithLogger(es.log))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	r := &running{entry: e, cancel: cancel, done: make(chan error, 1)}
	go func() { r.done <- e.Run(ctx) }()
	es.standin.Platform.AddVM(platform.ListedVM{
		Name: name, Zone: settings.Zone, Role: platform.RoleEntry, Address: e.PeerAddress(),
	})
	es.mu.Lock()
	defer es.mu.Unlock()
	es.running[name] = r
	es.tellBalancer()
	return nil
}

// tellBalancer hands over the entries; the caller holds the lock.
func (es *entries) tellBalancer() {
	var addresses []string
	for _, r := range es.running {
		addresses = append(addresses, r.entry.CallerAddress())
	}
	es.balancer.Set(addresses...)
}

const stopTimeout = 30 * time.Second

// stop makes a planned stop of an entry and waits for its end.
func (es *entries) stop(name string) error {
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
		return errors.Errorf("%s does not end", name)
	}
	r.cancel()
	es.mu.Lock()
	defer es.mu.Unlock()
	delete(es.running, name)
	es.tellBalancer()
	es.standin.Platform.Fail(name)
	return nil
}

// any returns an operators' client of some entry.
func (es *entries) any() *client.Client {
	es.mu.Lock()
	defer es.mu.Unlock()
	var ready []*running
	for _, r := range es.running {
		ready = append(ready, r)
	}
	if len(ready) == 0 {
		return nil
	}
	slices.SortFunc(ready, func(a, b *running) int {
		if a.entry.OperatorAddress() < b.entry.OperatorAddress() {
			return -1
		}
		return 1
	})
	return client.New("http://"+ready[rand.IntN(len(ready))].entry.OperatorAddress(), demoToken)
}

// closeAll ends what still runs.
func (es *entries) closeAll() {
	es.mu.Lock()
	defer es.mu.Unlock()
	for _, r := range es.running {
		r.cancel()
	}
	for _, r := range es.running {
		<-r.done
	}
}
