package shard

import "time"

// guaranteedBurst is the size of the token bucket, as a time at the guaranteed rate.
const guaranteedBurst = time.Second

// guaranteedRate is a token bucket of the jobs that an account may submit within its guaranteed rate.
type guaranteedRate struct {
	tokens     float64
	refilledAt time.Duration
}

// take takes a token from a bucket refilled at perSecond; it reports whether there was one.
func (r *guaranteedRate) take(perSecond float64, now time.Duration) bool {
	burst := max(1, perSecond*guaranteedBurst.Seconds())
	r.tokens = min(burst, r.tokens+perSecond*(now-r.refilledAt).Seconds())
	r.refilledAt = now
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}

// exceedsGuarantee reports whether a job submitted now exceeds the guaranteed rate of its account.
// Every job of a known account without a guaranteed rate does.
func (o *Owner) exceedsGuarantee(account string) bool {
	if account == "" || o.catalog == nil {
		return false
	}
	a := o.catalog.Account(account)
	if a == nil || a.Weight <= 0 {
		return a != nil
	}
	p := o.accounts.guaranteed[account]
	if p == nil {
		p = &guaranteedRate{tokens: a.Weight * guaranteedBurst.Seconds(), refilledAt: o.now()}
		o.accounts.guaranteed[account] = p
	}
	return !p.take(a.Weight, o.now())
}
