package catalog

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gannetwell/gannetwell/pkg/platform"
)

// Tests Admit for public queues, for queues that need a key, and without accounts.
func TestAdmit(t *testing.T) {
	c := qt.New(t)
	cat := New(Catalog{
		KeysRequired: true,
		Queues:       []Queue{{Name: "closed"}, {Name: "open", Public: true}},
		Accounts: []Account{
			{Name: "north", Keys: []KeyHash{HashKey("k1"), HashKey("k2")}},
			{Name: "south", Keys: []KeyHash{HashKey("k3")}},
			{Name: "none"},
		},
	})
	for _, test := range []struct {
		queue, key, account string
		ok                  bool
	}{
		{"closed", "k1", "north", true},
		{"closed", "k2", "north", true},
		{"closed", "k3", "south", true},
		{"closed", "k4", "", false},
		{"closed", "", "", false},
		{"open", "k3", "south", true},
		{"open", "", "", true},
		{"open", "k4", "", false},
	} {
		account, ok := cat.Admit(cat.Queue(test.queue), test.key)
		c.Check(account, qt.Equals, test.account, qt.Commentf("%+v", test))
		c.Check(ok, qt.Equals, test.ok, qt.Commentf("%+v", test))
	}
	c.Check(cat.Account("none"), qt.IsNotNil)
	without := New(Catalog{Queues: cat.Queues})
	for _, key := range []string{"", "k1"} {
		account, ok := without.Admit(without.Queue("closed"), key)
		c.Check(account, qt.Equals, "")
		c.Check(ok, qt.IsTrue)
	}
	c.Check(cat.Account("west"), qt.IsNil)
}

// Invalid accounts are rejected, and error messages show only key fingerprints.
func TestCheckAccounts(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		accounts []Account
		err      string
	}{
		{[]Account{{Name: "a", Keys: []KeyHash{HashKey("k")}}, {Name: "b"}}, ""},
		{[]Account{{Name: "a", Keys: []KeyHash{HashKey("k"), HashKey("k")}}}, ""},
		{[]Account{{Name: "a"}, {}}, "accounts: account 1 has no name"},
		{[]Account{{Name: "a"}, {Name: "a"}}, "accounts: two accounts are named a"},
		{[]Account{{Name: "a", Keys: []KeyHash{HashKey("")}}}, "accounts: account a has an empty key"},
		{[]Account{{Name: "a", Keys: []KeyHash{HashKey("k")}}, {Name: "b", Keys: []KeyHash{HashKey("k")}}}, "accounts: accounts a and b have the key 8254c329"},
		{[]Account{{Name: "a", Weight: -1}}, "accounts: account a: the weight -1 is negative"},
		{[]Account{{Name: "a", Limit: platform.Resources{MemoryMB: -1}}}, "accounts: account a: the limit .* is negative"},
	} {
		err := CheckAccounts(test.accounts)
		if test.err == "" {
			c.Check(err, qt.IsNil)
			continue
		}
		c.Check(err, qt.ErrorMatches, test.err)
	}
}
