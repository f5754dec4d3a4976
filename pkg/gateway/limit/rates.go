package limit

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"
)

const (
	rateShards = 16
	// keysPerShard bounds the memory that many different callers take.
	keysPerShard = 1024
	// rateBurst is how many seconds' worth may come at once.
	rateBurst = 1.0
)

// Rates limits requests a second by key, such as a caller's address or a team.
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

// Allow tells whether one more request of a key is within perSecond; 0 sets no limit.
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

// evictionSample is how many keys are compared when one must go, so that a flood
// of keys costs little.
const evictionSample = 8

// evict drops the key of a few that was used longest ago, when there are too
// many; the caller holds the lock.
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
