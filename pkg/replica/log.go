package replica

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/schema"
	"github.com/gannetwell/gannetwell/pkg/table"
)

// History reads the log entries of up to limit revisions from the store, beginning at revision from. Items that are no
// log entries are left out.
func (r *Replica) History(ctx context.Context, from, limit int) (entries []schema.Entry, err error) {
	last := logKey(from + limit - 1)
	for next := logKey(from); next != "" && next <= last; {
		var items []platform.Item
		if items, next, err = r.scan(ctx, next, prefixLog, limit); err != nil {
			return nil, errors.Wrap(err, "read log")
		}
		for _, it := range items {
			if it.Key > last {
				return entries, nil
			}
			e, err := parseEntry(it)
			if err != nil {
				r.logMalformed(it.Key, err)
				continue
			}
			entries = append(entries, e)
		}
	}
	return entries, nil
}

// scan reads a page of items with a prefix, beginning at the key from; next is the key to go on from, empty at the end.
func (r *Replica) scan(ctx context.Context, from, prefix string, limit int) (items []platform.Item, next string, err error) {
	items, err = r.store.Scan(ctx, from, prefix+prefixEnd, limit)
	if err == nil && len(items) > 0 && len(items) >= limit {
		next = items[len(items)-1].Key + "\x00"
	}
	return items, next, err
}

// parseEntry decodes a log entry.
func parseEntry(it platform.Item) (e schema.Entry, err error) {
	if err := json.Unmarshal(it.Value, &e); err != nil {
		return e, err
	}
	if it.Key != logKey(e.Revision) {
		return e, errors.Errorf("the entry is of revision %d", e.Revision)
	}
	return e, nil
}

// oddEntry returns the version of the item at the key of a revision if that is no log entry, otherwise 0.
func (r *Replica) oddEntry(ctx context.Context, revision int) (version int64, err error) {
	item, err := r.store.Get(ctx, logKey(revision))
	if err != nil || item.Version == 0 {
		return 0, err
	}
	if _, err := parseEntry(item); err != nil {
		r.logMalformed(item.Key, err)
		return item.Version, nil
	}
	return 0, nil
}

func (r *Replica) logMalformed(key string, err error) {
	r.logger.Error().Str("event", "item_malformed").Str("key", key).Err(err).Send()
}

// readRows reads all rows. One that can't be read is as the log up to a revision has it, absent if the log does not
// name it.
func (r *Replica) readRows(ctx context.Context, revision int) (rows []table.StoredRow, err error) {
	odd := map[table.Key]bool{}
	for next := prefixRow; next != ""; {
		var items []platform.Item
		if items, next, err = r.scan(ctx, next, prefixRow, scanLimit); err != nil {
			return nil, errors.Wrap(err, "read rows")
		}
		for _, it := range items {
			row, err := ParseRow(it.Key, it.Value)
			if err == nil {
				_, err = table.Load(revision, []table.StoredRow{row})
			}
			if err != nil {
				r.logMalformed(it.Key, err)
				key, _ := ParseRowKey(it.Key)
				odd[key] = true
				continue
			}
			rows = append(rows, row)
		}
	}
	if len(odd) == 0 {
		return rows, nil
	}
	logged, err := r.rowsOfLog(ctx, odd, revision)
	return append(rows, logged...), err
}

// rowsOfLog returns the given rows as the log up to a revision has them. It returns an error if an entry can't be read,
// which might have changed one of them.
func (r *Replica) rowsOfLog(ctx context.Context, keys map[table.Key]bool, revision int) (rows []table.StoredRow, err error) {
	defer func() { err = errors.Wrap(err, "replace malformed rows") }()
	latest := map[table.Key]table.StoredRow{}
	for at := 0; at < revision; {
		entries, err := r.History(ctx, at+1, scanLimit)
		if err != nil {
			return nil, err
		}
		if len(entries) == 0 {
			return nil, table.ErrGap{Have: at, Got: revision}
		}
		for _, e := range entries {
			if at == revision {
				break
			}
			if e.Revision != at+1 {
				return nil, table.ErrGap{Have: at, Got: e.Revision}
			}
			at = e.Revision
			for _, c := range e.Changes {
				if k := (table.Key{Kind: c.Kind, Name: c.Name}); keys[k] {
					latest[k] = table.StoredRow{Key: k, Version: e.Revision, Value: c.After}
				}
			}
		}
	}
	for _, row := range latest {
		rows = append(rows, row)
	}
	return rows, nil
}
