package catalog

import (
	"strings"
	"time"
)

// Queue accepts the jobs of one route.
type Queue struct {
	Name   string
	Host   string
	Prefix string // of the path, up to the job ID
	Pool   string // pool whose workers run the tasks

	Priority    int  // 0 is the highest
	MaxAttempts int  // failed attempts of a task after which its job fails
	UsesAdvice  bool // the advice service restricts which workers may run a step
	Public      bool // callers need no key

	// A job should finish within TargetLatency plus Stretch times its critical path.
	Stretch       float64
	TargetLatency time.Duration
	Timeout       time.Duration
}

// Pool is a set of worker VMs.
type Pool struct {
	Name            string
	RejectsOverload bool // its workers reject tasks that do not fit
	Spare           bool // its VMs are switched off and available to other pools
	HealthPath      string
}

// Limits bounds the requests of callers.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Catalog is one immutable version of the configuration.
type Catalog struct {
	Version int64
	Queues  []Queue
	Pools   []Pool
	Limits  Limits
	// KeysRequired reports that the deployment has client accounts, even if none is left: queues
	// that are not public then require an account's key.
	KeysRequired bool
	// Accounts are the client accounts that may submit jobs.
	Accounts []Account

	byHost    map[string][]*Queue // longest prefix first
	byName    map[string]*Queue
	byKey     map[KeyHash]*Account
	byAccount map[string]*Account
}

// New returns a catalog indexed for lookups.
func New(c Catalog) *Catalog {
	c.byHost = map[string][]*Queue{}
	c.byName = map[string]*Queue{}
	for i := range c.Queues {
		q := &c.Queues[i]
		c.byName[q.Name] = q
		list := c.byHost[q.Host]
		at := 0
		for at < len(list) && len(list[at].Prefix) >= len(q.Prefix) {
			at++
		}
		list = append(list, nil)
		copy(list[at+1:], list[at:])
		list[at] = q
		c.byHost[q.Host] = list
	}
	c.indexAccounts()
	return &c
}

// Route returns the queue for a request and the rest of its path, or nil.
func (c *Catalog) Route(host, path string) (q *Queue, rest string) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, q := range c.byHost[host] {
		if strings.HasPrefix(path, q.Prefix) {
			return q, path[len(q.Prefix):]
		}
	}
	return nil, ""
}

// Queue returns a queue by name, or nil.
func (c *Catalog) Queue(name string) *Queue { return c.byName[name] }

// SparePool returns the name of the pool of switched-off VMs, empty if there is none.
func (c *Catalog) SparePool() string {
	for _, p := range c.Pools {
		if p.Spare {
			return p.Name
		}
	}
	return ""
}

// ActivePools returns the names of all pools but the spare one.
func (c *Catalog) ActivePools() (names []string) {
	for _, p := range c.Pools {
		if !p.Spare {
			names = append(names, p.Name)
		}
	}
	return names
}
