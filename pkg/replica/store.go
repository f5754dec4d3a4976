package replica

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/pkg/errors"

	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/schema"
	"github.com/gannetwell/gannetwell/pkg/table"
)

// Items of the table service.
const (
	keyHead    = "head"
	prefixLog  = "log/"
	prefixEdit = "edit/"
	prefixRow  = "row/"

	// scanLimit is the page size of scans.
	scanLimit = 500
)

// prefixEnd sorts after every key with the same prefix.
const prefixEnd = "\xff"

// head is the item that holds the highest revision.
type head struct {
	Revision int `json:"revision"`
}

// rowItem is a row as stored in the table service.
type rowItem struct {
	Version int             `json:"version"`
	Value   json.RawMessage `json:"value"`
}

func logKey(revision int) string { return fmt.Sprintf("%s%016d", prefixLog, revision) }
func editKey(id string) string   { return prefixEdit + id }
func rowKey(k table.Key) string  { return prefixRow + k.String() }
func mustJSON(v any) []byte      { return must(json.Marshal(v)) }
func must(raw []byte, e error) []byte {
	if e != nil {
		panic(e) // only types that always encode are passed
	}
	return raw
}

// ParseRowKey returns the row key of a table service item; ok is false if the item is not a
// row.
func ParseRowKey(item string) (k table.Key, ok bool) {
	rest, ok := strings.CutPrefix(item, prefixRow)
	if !ok {
		return table.Key{}, false
	}
	kind, name, ok := strings.Cut(rest, "/")
	return table.Key{Kind: schema.Kind(kind), Name: name}, ok
}

// ParseRow decodes a row from a table service item.
func ParseRow(item string, value []byte) (row table.StoredRow, err error) {
	key, ok := ParseRowKey(item)
	if !ok {
		return row, errors.Errorf("item %q is not a row", item)
	}
	var it rowItem
	if err := json.Unmarshal(value, &it); err != nil {
		return row, errors.Wrapf(err, "decode item %q", item)
	}
	return table.StoredRow{Key: key, Version: it.Version, Value: it.Value}, nil
}

// readHead returns the highest revision and the version of the head item.
func (r *Replica) readHead(ctx context.Context) (revision int, version int64, err error) {
	item, err := r.store.Get(ctx, keyHead)
	if err != nil {
		return 0, 0, errors.Wrap(err, "read head")
	}
	if item.Version == 0 {
		return 0, 0, nil
	}
	var h head
	if err := json.Unmarshal(item.Value, &h); err != nil {
		return 0, 0, errors.Wrap(err, "decode head")
	}
	return h.Revision, item.Version, nil
}

// CatchUp reads the head and all missing log entries. A replica at revision 0 loads the rows
// first. It returns the revision of the head.
func (r *Replica) CatchUp(ctx context.Context) (revision int, err error) {
	defer func() { err = errors.Wrap(err, "catch up with the store") }()
	revision, _, err = r.readHead(ctx)
	if err != nil {
		return 0, err
	}
	return revision, r.catchUpTo(ctx, revision)
}

// catchUpTo reads all missing log entries up to a revision.
func (r *Replica) catchUpTo(ctx context.Context, revision int) error {
	if r.Revision() == 0 && revision > 0 {
		if err := r.loadRows(ctx, revision); err != nil {
			return err
		}
	}
	for r.Revision() < revision {
		have := r.Revision()
		entries, err := r.History(ctx, have+1, scanLimit)
		if err != nil {
			return err
		}
		if err := r.ApplyEntries(entries); err != nil {
			r.logger.Error().Str("event", "log_not_applied").Int("revision", have).Err(err).Send()
		}
		if r.Revision() > have {
			continue
		}
		if err := r.loadRows(ctx, revision); err != nil { // the next entry can't be read
			return err
		}
		if r.Revision() < revision {
			return errors.Errorf("head is at revision %d, but the log ends at %d", revision, r.Revision())
		}
	}
	return nil
}

// loadRows reads all rows, then the log entries added meanwhile. The pages are not read at one
// revision, so a row may be newer than baseRevision; applying the later entries, which hold
// whole rows, brings all rows to the same revision.
func (r *Replica) loadRows(ctx context.Context, baseRevision int) error {
	last, err := r.store.Get(ctx, logKey(baseRevision))
	if err != nil {
		return errors.Wrap(err, "read log")
	}
	if last.Version == 0 {
		return errors.Errorf("head is at revision %d, which the log lacks", baseRevision)
	}
	rows, err := r.readRows(ctx, baseRevision)
	if err != nil {
		return err
	}
	snap, err := table.Load(baseRevision, rows)
	if err != nil {
		return err
	}
	for more := true; more; {
		entries, err := r.History(ctx, snap.Revision+1, scanLimit)
		if err != nil {
			return err
		}
		more = len(entries) == scanLimit
		for i := range entries {
			next, err := snap.Apply(&entries[i])
			if err != nil { // what follows is read later
				r.logger.Error().Str("event", "log_not_applied").Int("revision", snap.Revision).Err(err).Send()
				more = false
				break
			}
			snap = next
		}
	}
	r.InstallSnapshot(snap)
	return nil
}

// entryTxn returns the transaction that commits a log entry, in place of an odd item of a version, 0 for none.
func entryTxn(e *schema.Entry, headVersion, oddVersion int64) (txn platform.Txn) {
	txn.Conditions = []platform.Condition{
		{Key: keyHead, Version: headVersion},
		{Key: logKey(e.Revision), Version: oddVersion},
		{Key: editKey(e.EditID)},
	}
	txn.Writes = []platform.Write{
		{Key: keyHead, Value: mustJSON(head{Revision: e.Revision})},
		{Key: logKey(e.Revision), Value: mustJSON(e)},
		{Key: editKey(e.EditID), Value: mustJSON(head{Revision: e.Revision})},
	}
	for _, c := range e.Changes {
		w := platform.Write{Key: rowKey(table.Key{Kind: c.Kind, Name: c.Name}), Remove: table.Absent(c.After)}
		if !w.Remove {
			w.Value = mustJSON(rowItem{Version: e.Revision, Value: c.After})
		}
		txn.Writes = append(txn.Writes, w)
	}
	return txn
}
