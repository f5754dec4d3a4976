package allowance

// Grant sets the shares of some accounts at one shard.
type Grant struct {
	Term   int64              `msgpack:"t"`           // of the holder's ownership
	Seq    int64              `msgpack:"s"`           // counts the grants of the term to the shard
	Full   bool               `msgpack:"f,omitempty"` // the shard is to report all its accounts
	Shares map[string]float64 `msgpack:"a,omitempty"` // of the accounts' limits, 1 for all of it; those of others stay
}

// Row is what a shard keeps in the table service.
type Row struct {
	Term   int64              `msgpack:"t"`
	Seq    int64              `msgpack:"s"`
	Enforced  bool               `msgpack:"b"` // a holder has granted shares; before, no limit binds
	Shares map[string]float64 `msgpack:"a"`
}

// Usage is what a shard says of an account, in parts of the account's limit.
type Usage struct {
	Account string  `msgpack:"n"`
	Running float64 `msgpack:"r"` // what runs or may run
	Demand  float64 `msgpack:"w"` // that, and what waits
	MinStart    float64 `msgpack:"p"` // the least by which a start would raise Running, 0 if nothing waits
	Share   float64 `msgpack:"h"` // the higher of what is kept and what was granted
}

// Report is what a shard says of its accounts.
type Report struct {
	Term     int64 `msgpack:"t"` // of the holder that is kept
	Seq      int64 `msgpack:"s"` // of the last grant of that term that is kept
	Enforced    bool  `msgpack:"b"`
	Full     bool  `msgpack:"f"` // all accounts are there, not only those with work
	Accounts []Usage `msgpack:"a"`
}
