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

	ServiceLevel
	MaxAttempts int  // failed attempts of a task after which its job fails
	Public      bool // callers need no key
	Timeout     time.Duration

	// CatalogVersion is the version of the configuration that the queue is part of.
	CatalogVersion int64 `json:"-"`
}

// ServiceLevel is what a queue promises its jobs: a priority, an objective, and whether advice is followed.
type ServiceLevel struct {
	Priority   int  `msgpack:"p,omitempty"` // 0 is the highest
	UsesAdvice bool `msgpack:"a,omitempty"` // the advice service restricts which workers may run a step

	// A job should finish within TargetLatency plus Stretch times its critical path.
	Stretch       float64       `msgpack:"s,omitempty"`
	TargetLatency time.Duration `msgpack:"l,omitempty"`
}

// Route returns what identifies the queue to its callers, whatever its name and its pool are: host and prefix.
func (q *Queue) Route() string { return q.Host + q.Prefix }

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
	byRoute   map[string]*Queue
	byKey     map[KeyHash]*Account
	byAccount map[string]*Account
}

// New returns a catalog indexed for lookups.
func New(c Catalog) *Catalog {
	c.byHost = map[string][]*Queue{}
	c.byName, c.byRoute = map[string]*Queue{}, map[string]*Queue{}
	for i := range c.Queues {
		q := &c.Queues[i]
		q.CatalogVersion = c.Version
		c.byName[q.Name], c.byRoute[q.Route()] = q, q
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

// QueueAt returns the queue of a route, or nil.
func (c *Catalog) QueueAt(route string) *Queue { return c.byRoute[route] }

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
