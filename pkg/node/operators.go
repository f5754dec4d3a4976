package node

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"sync"

	"github.com/labstack/echo/v4"

	"github.com/gannetwell/gannetwell/pkg/shard"
	"github.com/gannetwell/gannetwell/service/api"
)

// operators serves what operators ask about the job service; it changes nothing.
func (n *Node) operators() http.Handler {
	e := echo.New()
	e.GET("/metrics", echo.WrapHandler(n.metrics.handler()))
	e.GET(api.PathShards, func(c echo.Context) error {
		return c.JSON(http.StatusOK, api.Shards{Shards: n.shardStatus(c.Request().Context())})
	})
	e.GET(api.PathJobs+"/:queue/:id", n.jobStatus)
	e.GET(api.PathAccounts, n.accountStatus)
	return e
}

// shardStatus tells who owns each shard and how busy it is.
func (n *Node) shardStatus(ctx context.Context) (all []api.ShardStatus) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, pool := range n.keeper.Shards() {
		wg.Go(func() {
			row, _, _ := n.keeper.Owner(pool)
			st := api.ShardStatus{Pool: pool, Owner: row.Entry, Term: int(row.Term)}
			if l, ok := n.loadOf(ctx, pool, nil); ok {
				st.Loaded, st.Workers, st.TasksWaiting = true, l.Workers, l.Tasks
				st.Cpu, st.CpuUsed, st.CpuWaiting = l.Capacity.CPU, l.Used.CPU, l.Waiting.CPU
			}
			mu.Lock()
			defer mu.Unlock()
			all = append(all, st)
		})
	}
	wg.Wait()
	slices.SortFunc(all, func(a, b api.ShardStatus) int { return cmp.Compare(a.Pool, b.Pool) })
	return all
}

// jobStatus tells what callers are told of a job, and who answers for it.
func (n *Node) jobStatus(c echo.Context) error {
	cat := n.Catalog()
	if cat == nil {
		return c.JSON(http.StatusServiceUnavailable, api.Error{Message: "the configuration is not known yet"})
	}
	q := cat.Queue(c.Param("queue"))
	if q == nil {
		return c.JSON(http.StatusNotFound, api.Error{Message: "there is no such queue"})
	}
	state, out := n.State(c.Request().Context(), q, c.Param("id"), shard.Asker{Operator: true})
	row, _, _ := n.keeper.Owner(q.Pool)
	return c.JSON(http.StatusOK, api.JobStatus{
		Queue: q.Name, ID: c.Param("id"), Outcome: string(out), State: string(state), Pool: q.Pool, Owner: row.Entry,
	})
}
