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
func (p *guaranteedRate) take(perSecond float64, now time.Duration) bool {
	burst := max(1, perSecond*guaranteedBurst.Seconds())
	p.tokens = min(burst, p.tokens+perSecond*(now-p.refilledAt).Seconds())
	p.refilledAt = now
	if p.tokens < 1 {
		return false
	}
	p.tokens--
	return true
}

// exceedsGuarantee reports whether a job submitted now is beyond the guaranteed rate of its account.
// For an account without a guaranteed rate every job is.
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
