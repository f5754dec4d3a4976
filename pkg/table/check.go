package table

import (
	"fmt"

	"github.com/gannetwell/gannetwell/pkg/schema"
)

// Check returns all violations of constraints that involve several rows, sorted by row. Single
// rows have been validated against the schema before.
func (s *Snapshot) Check() (problems []Problem) {
	c := &checker{s: s}
	c.racks()
	c.pools()
	c.vms()
	c.routes()
	c.jobs()
	c.waves()
	return c.problems
}

type checker struct {
	s        *Snapshot
	problems []Problem
}

func (c *checker) add(kind schema.Kind, name, column, format string, args ...any) {
	c.problems = append(c.problems, Problem{
		Key: Key{Kind: kind, Name: name}, Column: column, Message: fmt.Sprintf(format, args...),
	})
}

// checkRef reports a reference to a row that does not exist.
func checkRef[T any](c *checker, kind schema.Kind, name, column string, rows Rows[T], target string) {
	if _, ok := rows[target]; !ok {
		c.add(kind, name, column, "there is no %s %q", column, target)
	}
}

func (c *checker) racks() {
	for _, name := range c.s.Racks.Names() {
		checkRef(c, schema.KindRack, name, "zone", c.s.Zones, c.s.Racks[name].Value.Zone)
	}
}

func (c *checker) pools() {
	for _, name := range c.s.Pools.Names() {
		p := c.s.Pools[name].Value
		checkRef(c, schema.KindPool, name, "service", c.s.Services, p.Service)
		if p.MaxUnavailable >= p.Size {
			c.add(schema.KindPool, name, "max_unavailable",
				"the budget of %d VMs leaves none of the pool's %d in service", p.MaxUnavailable, p.Size)
		}
	}
}

// vms checks references and that no two VMs have the same address.
func (c *checker) vms() {
	owner := map[string]string{}
	for _, name := range c.s.VMs.Names() {
		vm := c.s.VMs[name].Value
		checkRef(c, schema.KindVM, name, "rack", c.s.Racks, vm.Rack)
		if vm.Pool != "" {
			checkRef(c, schema.KindVM, name, "pool", c.s.Pools, vm.Pool)
		}
		if other, ok := owner[vm.Address]; ok {
			c.add(schema.KindVM, name, "address", "%s is the address of VM %q already: one machine would be in two places", vm.Address, other)
			continue
		}
		owner[vm.Address] = name
	}
}

// routes checks references and that no two routes match the same method and path prefix.
func (c *checker) routes() {
	type match struct{ method, prefix string }
	owner := map[match]string{}
	for _, name := range c.s.Routes.Names() {
		r := c.s.Routes[name].Value
		checkRef(c, schema.KindRoute, name, "service", c.s.Services, r.Service)
		m := match{r.Method, r.PathPrefix}
		if other, ok := owner[m]; ok {
			c.add(schema.KindRoute, name, "path_prefix", "route %q takes the same method and path", other)
		}
		owner[m] = name
	}
}

func (c *checker) jobs() {
	for _, name := range c.s.Jobs.Names() {
		j := c.s.Jobs[name].Value
		checkRef(c, schema.KindJob, name, "pool", c.s.Pools, j.Pool)
		checkRef(c, schema.KindJob, name, "team", c.s.Teams, j.Team)
	}
}

func (c *checker) waves() {
	for _, name := range c.s.Waves.Names() {
		for _, pool := range c.s.Waves[name].Value.Pools {
			if _, ok := c.s.Pools[pool]; !ok {
				c.add(schema.KindWave, name, "pools", "there is no pool %q", pool)
			}
		}
	}
}
