package catalog

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/pkg/errors"

	"github.com/gannetwell/gannetwell/pkg/platform"
)

// Account is a client account, which submits jobs.
type Account struct {
	Name string
	Keys []KeyHash
	// Weight is the guaranteed rate in jobs per second, and the account's share of a full pool.
	Weight float64
	// Limit bounds the resources of its running tasks over all workers, zero for no limit.
	Limit platform.Resources
}

// KeyHash is the SHA-256 of an API key. Only the hash is stored, so that keys do not appear in
// logs and lookups do not leak them by timing.
type KeyHash [sha256.Size]byte

// fingerprintBytes is the length of the hash prefix shown in logs and to operators.
const fingerprintBytes = 4

// HashKey returns the hash of a key. The empty key is never valid.
func HashKey(key string) KeyHash {
	return sha256.Sum256([]byte(key))
}

// Fingerprint returns a hexadecimal prefix of the hash, which identifies the key without revealing
// it.
func (k KeyHash) Fingerprint() string { return hex.EncodeToString(k[:fingerprintBytes]) }

// CheckAccounts validates the accounts of a configuration.
func CheckAccounts(accounts []Account) (err error) {
	defer func() { err = errors.Wrap(err, "accounts") }()
	names, owners, emptyKey := map[string]bool{}, map[KeyHash]string{}, HashKey("")
	for i := range accounts {
		a := &accounts[i]
		switch {
		case a.Name == "":
			return errors.Errorf("account %d has no name", i)
		case names[a.Name]:
			return errors.Errorf("two accounts are named %s", a.Name)
		case a.Weight < 0:
			return errors.Errorf("account %s: the weight %g is negative", a.Name, a.Weight)
		case a.Limit.CPU < 0 || a.Limit.MemoryMB < 0 || a.Limit.GPU < 0:
			return errors.Errorf("account %s: the limit %+v is negative", a.Name, a.Limit)
		}
		names[a.Name] = true
		for _, k := range a.Keys {
			if k == emptyKey {
				return errors.Errorf("account %s has an empty key", a.Name)
			}
			if other, ok := owners[k]; ok && other != a.Name {
				return errors.Errorf("accounts %s and %s have the key %s", other, a.Name, k.Fingerprint())
			}
			owners[k] = a.Name
		}
	}
	return nil
}

// indexAccounts indexes the accounts by name and key.
func (c *Catalog) indexAccounts() {
	c.byKey, c.byAccount = map[KeyHash]*Account{}, map[string]*Account{}
	for i := range c.Accounts {
		a := &c.Accounts[i]
		c.byAccount[a.Name] = a
		for _, k := range a.Keys {
			c.byKey[k] = a
		}
	}
}

// Account returns an account by name, or nil.
func (c *Catalog) Account(name string) *Account { return c.byAccount[name] }

// Admit returns the account of a caller that presents a key, empty for none; ok is false if the
// queue does not accept the caller. A deployment without accounts accepts any caller.
func (c *Catalog) Admit(q *Queue, key string) (account string, ok bool) {
	if !c.KeysRequired {
		return "", true
	}
	if key == "" {
		return "", q.Public
	}
	if a := c.byKey[HashKey(key)]; a != nil {
		return a.Name, true
	}
	return "", false
}

// LimitedAccounts returns the names of the accounts that have a limit.
func (c *Catalog) LimitedAccounts() (names []string) {
	for i := range c.Accounts {
		if c.Accounts[i].Limit != (platform.Resources{}) {
			names = append(names, c.Accounts[i].Name)
		}
	}
	return names
}

// AccountsWithoutWeight returns the names of the accounts that have no guaranteed rate.
func (c *Catalog) AccountsWithoutWeight() (names []string) {
	for i := range c.Accounts {
		if c.Accounts[i].Weight <= 0 {
			names = append(names, c.Accounts[i].Name)
		}
	}
	return names
}
