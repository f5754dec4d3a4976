package shard

import "time"

// promiseBurst is the time of which an account may hand in the jobs that it has been
// promised at once.
const promiseBurst = time.Second

// promise is a bucket of the jobs that an account may still hand in within its promise.
type promise struct {
	left float64
	at   time.Duration // when left was last reckoned
}

// take takes one job of a promise of so many jobs a second; it reports whether there was one left.
func (p *promise) take(perSecond float64, now time.Duration) bool {
	most := max(1, perSecond*promiseBurst.Seconds())
	p.left = min(most, p.left+perSecond*(now-p.at).Seconds())
	p.at = now
	if p.left < 1 {
		return false
	}
	p.left--
	return true
}

// beyondPromise tells whether a job that an account hands in now is more than it has
// been promised; an account that has been promised nothing is always beyond.
func (o *Owner) beyondPromise(account string) bool {
	if account == "" || o.catalog == nil {
		return false
	}
	a := o.catalog.Account(account)
	if a == nil || a.Weight <= 0 {
		return a != nil
	}
	p := o.accounts.promised[account]
	if p == nil {
		p = &promise{left: a.Weight * promiseBurst.Seconds(), at: o.now()}
		o.accounts.promised[account] = p
	}
	return !p.take(a.Weight, o.now())
}
