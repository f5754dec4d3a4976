package control

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/gannetwell/gannetwell/pkg/platform"
)

const leaseKey = "lease/control"

// leaseItem is the lease as stored in the table service.
type leaseItem struct {
	Holder  string `json:"holder"`
	UntilMs int64  `json:"until_ms"` // end of validity in Unix milliseconds, by the holder's clock
}

// lease is the state of the lease at one entry.
type lease struct {
	store     platform.Table
	holder    string
	duration  time.Duration
	heldUntil time.Time // zero if this entry does not hold it

	oddVersion int64     // of the last stored lease that no holder has written
	oddSince   time.Time // when it was first read
}

// maxLeaseEnd is how many durations ahead a lease may end, as clocks differ.
const maxLeaseEnd = 2

// acquire acquires or renews the lease and reports whether this entry holds it. The lease is
// renewed when a third of its duration is left.
func (l *lease) acquire(ctx context.Context, now time.Time) (held bool, err error) {
	if l.heldUntil.Sub(now) > l.duration/3 {
		return true, nil
	}
	item, err := l.store.Get(ctx, leaseKey)
	if err != nil {
		return now.Before(l.heldUntil), errors.Wrap(err, "read lease")
	}
	var current leaseItem
	if item.Version != 0 {
		if err := l.decode(item.Value, &current, now); err != nil {
			if !l.outlasts(item.Version, now) {
				return false, errors.Wrap(err, "decode lease")
			}
			current = leaseItem{}
		}
	}
	if current.Holder != l.holder && now.UnixMilli() < current.UntilMs {
		l.heldUntil = time.Time{}
		return false, nil
	}
	return l.write(ctx, item.Version, now)
}

// decode decodes a stored lease; it returns an error for one that no holder writes.
func (l *lease) decode(raw []byte, item *leaseItem, now time.Time) error {
	if err := json.Unmarshal(raw, item); err != nil {
		return err
	}
	if latest := now.Add(maxLeaseEnd * l.duration).UnixMilli(); item.UntilMs > latest {
		return errors.Errorf("a lease until %d ends too late", item.UntilMs)
	}
	return nil
}

// outlasts reports whether the lease that an odd value has replaced, if any, is over.
func (l *lease) outlasts(version int64, now time.Time) bool {
	if l.oddVersion != version {
		l.oddVersion, l.oddSince = version, now
	}
	return now.Sub(l.oddSince) >= l.duration
}

func (l *lease) write(ctx context.Context, version int64, now time.Time) (held bool, err error) {
	until := now.Add(l.duration)
	value, err := json.Marshal(leaseItem{Holder: l.holder, UntilMs: until.UnixMilli()})
	if err != nil {
		return false, err
	}
	err = l.store.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: leaseKey, Version: version}},
		Writes:     []platform.Write{{Key: leaseKey, Value: value}},
	})
	switch {
	case err == nil:
		l.heldUntil = until
		return true, nil
	case platform.IsConflict(err):
		l.heldUntil = time.Time{}
		return false, nil
	}
	return now.Before(l.heldUntil), errors.Wrap(err, "write lease")
}

// release releases the lease so that another entry can take over at once.
func (l *lease) release(ctx context.Context, now time.Time) error {
	if !now.Before(l.heldUntil) {
		return nil
	}
	item, err := l.store.Get(ctx, leaseKey)
	if err != nil {
		return errors.Wrap(err, "read lease")
	}
	var current leaseItem
	if err := json.Unmarshal(item.Value, &current); err != nil || current.Holder != l.holder {
		return nil
	}
	l.heldUntil = time.Time{}
	return l.store.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: leaseKey, Version: item.Version}},
		Writes:     []platform.Write{{Key: leaseKey, Remove: true}},
	})
}
