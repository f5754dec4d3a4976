package httplimit

import "time"

// SetReleaseTimeout sets the time that a connection waits for those that have to give way.
func (b *Budget) SetReleaseTimeout(d time.Duration) { b.releaseTimeout = d }

// GivingWay returns the number of connections that have to give way and have not released their bytes yet.
func (b *Budget) GivingWay() (n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for e := b.waiting.Front(); e != nil; e = e.Next() {
		if e.Value.(*conn).givesWay {
			n++
		}
	}
	return n
}
