package node

import "github.com/gannetwell/gannetwell/pkg/catalog"

// Admission is the result of checking a caller's key.
type Admission string

// The results of checking a key.
const (
	// AdmissionGranted accepts the request.
	AdmissionGranted Admission = "granted"
	// AdmissionUnknownKey rejects a missing key, or one that no account has.
	AdmissionUnknownKey Admission = "unknown_key"
	// AdmissionUndetermined rejects a key that may be newer than the configuration known here.
	AdmissionUndetermined Admission = "unsure"
)

// Admit looks up the account of a caller's key, which is empty for none. While the table service
// does not answer, an unknown key may be new, so the caller is asked to retry instead of being
// told that the key is wrong.
func (n *Node) Admit(cat *catalog.Catalog, q *catalog.Queue, key string) (account string, a Admission) {
	account, ok := cat.Admit(q, key)
	switch {
	case ok:
		return account, AdmissionGranted
	case key != "" && !n.rows.reachable():
		a = AdmissionUndetermined
	default:
		a = AdmissionUnknownKey
	}
	n.metrics.keysRefused.WithLabelValues(string(a)).Inc()
	fingerprint := ""
	if key != "" {
		fingerprint = catalog.HashKey(key).Fingerprint()
	}
	n.log.Info().Str("event", "key_refused").Str("queue", q.Name).Str("key", fingerprint).
		Int64("catalog", cat.Version).Str("answer", string(a)).Send()
	return "", a
}
