package node

import "github.com/gannetwell/gannetwell/pkg/catalog"

// Admission is what a caller's key is answered with.
type Admission string

// The answers to a key.
const (
	// AdmissionGranted lets the call in.
	AdmissionGranted Admission = "granted"
	// AdmissionUnknownKey refuses a key that no account has, or the lack of one.
	AdmissionUnknownKey Admission = "unknown_key"
	// AdmissionUnsure refuses a key that may have been added since this entry last heard of the configuration.
	AdmissionUnsure Admission = "unsure"
)

// Admit looks a caller's key up, which is empty for none, and returns the account.
// An entry that the table service does not answer may not know the newest keys yet:
// its caller is sent elsewhere rather than told that the key is wrong.
func (n *Node) Admit(cat *catalog.Catalog, q *catalog.Queue, key string) (account string, a Admission) {
	account, ok := cat.Admit(q, key)
	switch {
	case ok:
		return account, AdmissionGranted
	case key != "" && !n.rows.ok():
		a = AdmissionUnsure
	default:
		a = AdmissionUnknownKey
	}
	n.metrics.keys.WithLabelValues(string(a)).Inc()
	fingerprint := ""
	if key != "" {
		fingerprint = catalog.HashKey(key).Fingerprint()
	}
	n.log.Info().Str("event", "key_refused").Str("queue", q.Name).Str("key", fingerprint).
		Int64("catalog", cat.Version).Str("answer", string(a)).Send()
	return "", a
}
