package node

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"sync"

	"github.com/labstack/echo/v4"

	"github.com/gannetwell/gannetwell/pkg/fleetops"
	"github.com/gannetwell/gannetwell/pkg/shard"
	"github.com/gannetwell/gannetwell/service/api"
)

// operatorHandler returns the read-only handler of operators' requests and metrics.
func (n *Node) operatorHandler() http.Handler {
	e := echo.New()
	e.GET("/metrics", echo.WrapHandler(n.metrics.handler()))
	e.GET(api.PathShards, func(c echo.Context) error {
		return c.JSON(http.StatusOK, api.Shards{Shards: n.shardStatus(c.Request().Context())})
	})
	e.GET(api.PathJobs+"/:queue/:id", n.jobStatus)
	e.GET(api.PathAccounts, n.accountStatus)
	e.GET(api.PathZones, func(c echo.Context) error {
		return c.JSON(http.StatusOK, api.Zones{Zones: n.zoneStatus(c.Request().Context())})
	})
	e.GET(api.PathWaves, func(c echo.Context) error {
		return c.JSON(http.StatusOK, n.waveStatus(c.Request().Context()))
	})
	return e
}

// shardStatus returns the owner and the load of each shard.
func (n *Node) shardStatus(ctx context.Context) (all []api.ShardStatus) {
	for _, pool := range n.ownership.Shards() {
		row, _, _ := n.ownership.Owner(pool)
		all = append(all, api.ShardStatus{Pool: pool, Owner: row.Entry, Term: int(row.Term)})
	}
	loads := n.loadsOf(ctx, n.ownership.Shards())
	for i := range all {
		if l, ok := loads[all[i].Pool]; ok {
			st := &all[i]
			st.Loaded, st.Workers, st.TasksWaiting = true, l.Workers, l.Tasks
			st.Cpu, st.CpuUsed, st.CpuWaiting = l.Capacity.CPU, l.Used.CPU, l.Waiting.CPU
		}
	}
	slices.SortFunc(all, func(a, b api.ShardStatus) int { return cmp.Compare(a.Pool, b.Pool) })
	return all
}

// loadsOf asks the owners of shards for their load, by pool; those that don't answer are left out.
func (n *Node) loadsOf(ctx context.Context, pools []string) map[string]shard.Load {
	var mu sync.Mutex
	var wg sync.WaitGroup
	loads := map[string]shard.Load{}
	for _, pool := range pools {
		wg.Go(func() {
			reply, ok := n.loadOf(ctx, fleetops.LoadQuery{Pool: pool})
			if !ok {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			loads[pool] = reply.Load
		})
	}
	wg.Wait()
	return loads
}

// zoneStatus returns the evacuated zones and what still runs there: ZoneLoad.Tasks counts running
// tasks, unlike Load.Tasks, which counts waiting ones.
func (n *Node) zoneStatus(ctx context.Context) []api.ZoneStatus {
	all := []api.ZoneStatus{}
	out := n.evacuations.all()
	cat := n.Catalog()
	if len(out) == 0 || cat == nil {
		return all
	}
	pools := cat.ActivePools()
	loads := n.loadsOf(ctx, pools)
	for zone, since := range out {
		st := api.ZoneStatus{Zone: zone, OutForS: (n.clock.Now() - since).Seconds(), Complete: len(loads) == len(pools)}
		for _, l := range loads {
			st.Workers += l.ZonesOut[zone].Workers
			st.Tasks += l.ZonesOut[zone].Tasks
		}
		all = append(all, st)
	}
	slices.SortFunc(all, func(a, b api.ZoneStatus) int { return cmp.Compare(a.Zone, b.Zone) })
	return all
}

// jobStatus reports a job's state, as callers see it, and the owner of its shard.
func (n *Node) jobStatus(c echo.Context) error {
	cat := n.Catalog()
	if cat == nil {
		return c.JSON(http.StatusServiceUnavailable, api.Error{Message: "the configuration is not known yet"})
	}
	q := cat.Queue(c.Param("queue"))
	if q == nil {
		return c.JSON(http.StatusNotFound, api.Error{Message: "there is no such queue"})
	}
	state, out, pool := n.stateAndPool(c.Request().Context(), q, c.Param("id"), shard.Requester{Operator: true})
	row, _, _ := n.ownership.Owner(pool)
	return c.JSON(http.StatusOK, api.JobStatus{
		Queue: q.Name, ID: c.Param("id"), Outcome: string(out), State: string(state), Pool: pool, Owner: row.Entry,
	})
}
