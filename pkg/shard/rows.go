package shard

import (
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/schema"
)

// The tables of a shard; the partition is the pool's name.
const (
	TableOwner    = "owner"    // who owns the shard; followed by every entry
	tableCommit   = "commit"   // chains the shard's transactions
	tableJob      = "job"      // job records by job ID
	tableProgress = "progress" // progress by job ID, in rows behind it what one can't hold
	tableWorkers  = "workers"  // boots that may hold a lease, in parts
)

// singleKey is the key of the one row in a table that has one row a partition.
const singleKey = "row"

// sharesKey is the key of the shares of accounts' limits, beside the leased workers, so
// that a takeover reads both with one call.
const sharesKey = "shares"

// unheardKey is the key, beside the leased workers, of the row that says that a worker was
// lost before any owner after its last one has heard it.
const unheardKey = "unheard"

// unheardRow is what it says.
type unheardRow struct {
	Term int64 `msgpack:"t"` // of the owner that found it
}

// OwnerRow says who owns a shard.
type OwnerRow struct {
	Entry   string `msgpack:"e"` // empty when the last owner has let go
	Start   int64  `msgpack:"s"` // tells incarnations of the entry apart
	Address string `msgpack:"a"` // of its peer listener
	Term    int64  `msgpack:"t"` // rises with each takeover
	Next    string `msgpack:"n"` // entry that should take over, set by an owner that lets go
	// FormerGrace is how long after the row was written an owner before may act still.
	FormerGrace time.Duration `msgpack:"l,omitempty"`
}

// commitRow is rewritten by each transaction of a shard.
type commitRow struct {
	Entry string `msgpack:"e"`
	Start int64  `msgpack:"s"`
	Term  int64  `msgpack:"t"`
	Seq   int64  `msgpack:"q"`           // counts the transactions of the term
	SoleOwner bool   `msgpack:"a,omitempty"` // no owner before that of the term can act any more
}

// leasedWorker is a boot that was given a lease and may still run tasks.
type leasedWorker struct {
	Boot    string `msgpack:"b"`
	VM      string `msgpack:"v"`
	Address string `msgpack:"a"`
	// ReleaseTerm is the term of the owner that wrote the row when it let go of the shard; then
	// Tasks names all that may run there or may have ended there without that being kept.
	// With 0, and after the term that followed, any task of the shard may.
	ReleaseTerm int64    `msgpack:"c,omitempty"`
	Tasks []string `msgpack:"t,omitempty"`
}

func ownerKey(pool string) platform.RowKey {
	return platform.RowKey{Table: TableOwner, Partition: pool, Key: singleKey}
}

func commitKey(pool string) platform.RowKey {
	return platform.RowKey{Table: tableCommit, Partition: pool, Key: singleKey}
}

func sharesRowKey(pool string) platform.RowKey {
	return platform.RowKey{Table: tableWorkers, Partition: pool, Key: sharesKey}
}

func unheardRowKey(pool string) platform.RowKey {
	return platform.RowKey{Table: tableWorkers, Partition: pool, Key: unheardKey}
}

func jobKey(pool, id string) platform.RowKey {
	return platform.RowKey{Table: tableJob, Partition: pool, Key: id}
}

// progressKeys are the keys of a job's progress, of which there may be n rows.
func progressKeys(pool, id string, n int) (keys []platform.RowKey) {
	for i := range n {
		key := id
		if i > 0 {
			key += progressRowSeparator + strconv.Itoa(i)
		}
		keys = append(keys, platform.RowKey{Table: tableProgress, Partition: pool, Key: key})
	}
	return keys
}

// progressRowSeparator parts a job's ID from the number of a further row of its progress.
const progressRowSeparator = "~"

func encode(v any) ([]byte, error) {
	raw, err := msgpack.Marshal(v)
	return raw, errors.Wrap(err, "encode row")
}

// EncodeOwner writes an owner row.
func EncodeOwner(o OwnerRow) ([]byte, error) { return encode(o) }

// DecodeOwner reads an owner row.
func DecodeOwner(raw []byte) (o OwnerRow, err error) {
	err = msgpack.Unmarshal(raw, &o)
	return o, errors.Wrap(err, "decode owner row")
}

// OwnerRowFromNews turns news of an owner row from another entry into the row.
func OwnerRowFromNews(o schema.OwnerNews) platform.Row {
	return platform.Row{RowKey: ownerKey(o.Pool), Value: o.Row, Version: int64(o.Version)}
}
