package limit

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"
)

const (
	rateShards = 16
	// keysPerShard bounds the memory used for keys.
	keysPerShard = 1024
	// rateBurst is the burst size, in seconds of the rate.
	rateBurst = 1.0
)

// Rates limits requests per second by key, such as a caller's address or a team.
type Rates struct {
	shards [rateShards]rateShard
}

type rateShard struct {
	mu    sync.Mutex
	byKey map[string]*keyRate
}

type keyRate struct {
	limiter  *rate.Limiter
	lastUsed time.Time
}

// Allow reports whether a request of key at time now is within perSecond; 0 means no limit.
func (r *Rates) Allow(key string, perSecond float64, now time.Time) bool {
	if perSecond <= 0 {
		return true
	}
	s := &r.shards[xxhash.Sum64String(key)%rateShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byKey == nil {
		s.byKey = map[string]*keyRate{}
	}
	k, ok := s.byKey[key]
	if !ok || k.limiter.Limit() != rate.Limit(perSecond) {
		s.evict()
		k = &keyRate{limiter: rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond*rateBurst)))}
		s.byKey[key] = k
	}
	k.lastUsed = now
	return k.limiter.AllowN(now, 1)
}

// evictionSample is the number of keys compared to choose one for eviction.
const evictionSample = 8

// evict removes the least recently used key of a small sample if the shard is full; the caller
// holds mu.
func (s *rateShard) evict() {
	if len(s.byKey) < keysPerShard {
		return
	}
	var oldest string
	var at time.Time
	seen := 0
	for key, k := range s.byKey {
		if oldest == "" || k.lastUsed.Before(at) {
			oldest, at = key, k.lastUsed
		}
		if seen++; seen == evictionSample {
			break
		}
	}
	delete(s.byKey, oldest)
}
