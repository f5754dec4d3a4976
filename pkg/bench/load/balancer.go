package load

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gannetwell/gannetwell/pkg/entry"
)

const (
	pollInterval = 100 * time.Millisecond
	pollTimeout  = 500 * time.Millisecond
)

// Balancer simulates the platform's load balancer: it picks among the entries whose readiness check succeeds.
type Balancer struct {
	client *http.Client

	mu      sync.Mutex
	entries []string
	ready   []string
}

// NewBalancer returns a balancer without entries.
func NewBalancer() *Balancer {
	return &Balancer{client: &http.Client{Timeout: pollTimeout}}
}

// SetEntries replaces the entries, given by their address for callers.
func (b *Balancer) SetEntries(addresses ...string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries = slices.Clone(addresses)
}

// Run polls the readiness of the entries until ctx is done.
func (b *Balancer) Run(ctx context.Context) {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	defer b.client.CloseIdleConnections()
	for {
		b.poll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (b *Balancer) poll(ctx context.Context) {
	b.mu.Lock()
	known := slices.Clone(b.entries)
	b.mu.Unlock()
	var mu sync.Mutex
	var ready []string
	var wg sync.WaitGroup
	for _, addr := range known {
		wg.Go(func() {
			if b.isReady(ctx, addr) {
				mu.Lock()
				defer mu.Unlock()
				ready = append(ready, addr)
			}
		})
	}
	wg.Wait()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = ready
}

func (b *Balancer) isReady(ctx context.Context, addr string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+entry.ReadyPath, nil)
	if err != nil {
		return false
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// ReadyCount returns the number of ready entries.
func (b *Balancer) ReadyCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.ready)
}

// Pick returns the address of a random ready entry; ok is false when there is none.
func (b *Balancer) Pick() (addr string, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return "", false
	}
	return b.ready[rand.IntN(len(b.ready))], true
}
