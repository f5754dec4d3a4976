package fake

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/platform/rest"
)

// Observer is notified of writes in the order in which they take effect.
type Observer interface {
	// Wrote is called for each write of a transaction.
	Wrote(w platform.Write)
}

// store is the in-memory transactional table.
type store struct {
	mu       sync.Mutex
	observer Observer
	revision int64
	items    map[string]platform.Item
	keys     []string // sorted
}

func (s *store) init() { s.items = map[string]platform.Item{} }

func (s *store) get(key string) platform.Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	if it, ok := s.items[key]; ok {
		return it
	}
	return platform.Item{Key: key}
}

func (s *store) scan(from, to string, limit int) (items []platform.Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, _ := slices.BinarySearch(s.keys, from)
	for ; i < len(s.keys) && s.keys[i] < to && len(items) < limit; i++ {
		items = append(items, s.items[s.keys[i]])
	}
	return items
}

func (s *store) commit(txn platform.Txn) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range txn.Conditions {
		if v := s.items[c.Key].Version; v != c.Version {
			return platform.ErrRefused{
				Op: string(rest.OpCommit), Conflict: true,
				Reason: fmt.Sprintf("%s is at version %d, not %d", c.Key, v, c.Version),
			}
		}
	}
	s.revision++
	for _, w := range txn.Writes {
		s.write(w)
	}
	return nil
}

func (s *store) write(w platform.Write) {
	i, found := slices.BinarySearch(s.keys, w.Key)
	switch {
	case w.Remove && found:
		s.keys = slices.Delete(s.keys, i, i+1)
		delete(s.items, w.Key)
	case !w.Remove:
		if !found {
			s.keys = slices.Insert(s.keys, i, w.Key)
		}
		s.items[w.Key] = platform.Item{Key: w.Key, Version: s.revision, Value: w.Value}
	}
	if s.observer != nil {
		s.observer.Wrote(w)
	}
}

// Get implements platform.Table.
func (v *view) Get(ctx context.Context, key string) (item platform.Item, err error) {
	err = v.call(ctx, rest.OpGet, func() error {
		item = v.p.table.get(key)
		return nil
	})
	return item, err
}

// Scan implements platform.Table.
func (v *view) Scan(ctx context.Context, from, to string, limit int) (items []platform.Item, err error) {
	err = v.call(ctx, rest.OpScan, func() error {
		items = v.p.table.scan(from, to, limit)
		return nil
	})
	return items, err
}

// Commit implements platform.Table.
func (v *view) Commit(ctx context.Context, txn platform.Txn) error {
	return v.call(ctx, rest.OpCommit, func() error { return v.p.table.commit(txn) })
}

// objects is the in-memory object store.
type objects struct {
	mu   sync.Mutex
	data map[string][]byte
}

func (o *objects) init() { o.data = map[string][]byte{} }

// PutObject implements platform.Objects.
func (v *view) PutObject(ctx context.Context, name string, data []byte) error {
	return v.call(ctx, rest.OpPutObject, func() error {
		o := &v.p.objects
		o.mu.Lock()
		defer o.mu.Unlock()
		o.data[name] = slices.Clone(data)
		return nil
	})
}

// GetObject implements platform.Objects.
func (v *view) GetObject(ctx context.Context, name string) (data []byte, err error) {
	err = v.call(ctx, rest.OpGetObject, func() error {
		o := &v.p.objects
		o.mu.Lock()
		defer o.mu.Unlock()
		d, ok := o.data[name]
		if !ok {
			return platform.ErrRefused{Op: string(rest.OpGetObject), Reason: "there is no object " + name}
		}
		data = slices.Clone(d)
		return nil
	})
	return data, err
}

// ListObjects implements platform.Objects.
func (v *view) ListObjects(ctx context.Context, prefix string) (names []string, err error) {
	err = v.call(ctx, rest.OpListObjects, func() error {
		o := &v.p.objects
		o.mu.Lock()
		defer o.mu.Unlock()
		for name := range o.data {
			if strings.HasPrefix(name, prefix) {
				names = append(names, name)
			}
		}
		slices.Sort(names)
		return nil
	})
	return names, err
}
