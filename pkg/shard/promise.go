package shard

import "time"

// guaranteedBurst is the time of which an account may hand in the jobs that it has been
// promised at once.
const guaranteedBurst = time.Second

// guaranteedRate is a bucket of the jobs that an account may still hand in within its guaranteedRate.
type guaranteedRate struct {
	tokens float64
	refilledAt   time.Duration // when left was last reckoned
}

// take takes one job of a promise of so many jobs a second; it reports whether there was one left.
func (p *guaranteedRate) take(perSecond float64, now time.Duration) bool {
	most := max(1, perSecond*guaranteedBurst.Seconds())
	p.tokens = min(most, p.tokens+perSecond*(now-p.refilledAt).Seconds())
	p.refilledAt = now
	if p.tokens < 1 {
		return false
	}
	p.tokens--
	return true
}

// exceedsGuarantee tells whether a job that an account hands in now is more than it has
// been promised; an account that has been promised nothing is always beyond.
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
