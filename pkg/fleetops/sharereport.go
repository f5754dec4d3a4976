package fleetops

import (
	"slices"
	"time"

	"github.com/rs/zerolog"
)

// shareLogInterval is the minimum time between two log lines on VMs that are too few.
const shareLogInterval = time.Second

// Shares tells how VMs are shared out when they are too few for the targets of all pools.
type Shares struct {
	Level ShareLevel
	Pools []PoolShare
}

// PoolShare is the share of one pool, in VMs.
type PoolShare struct {
	Pool   string
	Target int
	Share  int
	VMs    int // in the pool or on their way to it
}

// CountBelowTarget returns the number of pools with fewer VMs than their target.
func (s Shares) CountBelowTarget() (n int) {
	for _, p := range s.Pools {
		if p.VMs < p.Target {
			n++
		}
	}
	return n
}

// reportShares passes the shares of all pools to OnShares. It logs them, at most once per
// shareLogInterval, when they change while VMs are too few, and once when VMs suffice again.
func (r *Runner) reportShares(pools []*PoolState, level ShareLevel) {
	shares := Shares{Level: level}
	for _, s := range pools {
		if !s.Spare {
			shares.Pools = append(shares.Pools, PoolShare{Pool: s.Name, Target: s.Need.Target, Share: s.Share, VMs: s.Supply})
		}
	}
	r.cfg.OnShares(shares)
	now := r.now()
	if now-r.sharesLoggedAt < shareLogInterval || r.loggedShares.Level == level && (level == LevelNone || slices.Equal(r.loggedShares.Pools, shares.Pools)) {
		return
	}
	r.loggedShares, r.sharesLoggedAt = shares, now
	r.log.Info().Str("event", "vms_short").Str("level", string(level)).Array("pools", shares.logArray()).Send()
}

func (s Shares) logArray() *zerolog.Array {
	each := zerolog.Arr()
	for _, p := range s.Pools {
		each.Dict(zerolog.Dict().Str("pool", p.Pool).Int("target", p.Target).Int("share", p.Share).Int("vms", p.VMs))
	}
	return each
}
