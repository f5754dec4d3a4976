package node

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"sync"

	"github.com/labstack/echo/v4"

	"github.com/gannetwell/gannetwell/pkg/catalog"
	"github.com/gannetwell/gannetwell/pkg/fleetops"
	"github.com/gannetwell/gannetwell/pkg/quota"
	"github.com/gannetwell/gannetwell/service/api"
)

// accountStatus reports the limits and the use of all client accounts to operators.
func (n *Node) accountStatus(c echo.Context) error {
	cat := n.Catalog()
	if cat == nil {
		return c.JSON(http.StatusServiceUnavailable, api.Error{Message: "the configuration is not known yet"})
	}
	pools := n.accountsInPools(c.Request().Context(), cat)
	answer := api.Accounts{CatalogVersion: int(cat.Version), Accounts: []api.AccountStatus{}}
	for i := range cat.Accounts {
		answer.Accounts = append(answer.Accounts, accountStatusOf(&cat.Accounts[i], pools))
	}
	slices.SortFunc(answer.Accounts, func(a, b api.AccountStatus) int { return cmp.Compare(a.Name, b.Name) })
	return c.JSON(http.StatusOK, answer)
}

func accountStatusOf(a *catalog.Account, pools map[string][]api.AccountInPool) api.AccountStatus {
	st := api.AccountStatus{
		Name: a.Name, Keys: []string{}, Weight: a.Weight, Cpu: a.Limit.CPU, MemoryMb: a.Limit.MemoryMB, Gpu: a.Limit.GPU,
		Pools: pools[a.Name],
	}
	for _, k := range a.Keys {
		st.Keys = append(st.Keys, k.Fingerprint())
	}
	if st.Pools == nil {
		st.Pools = []api.AccountInPool{}
	}
	slices.SortFunc(st.Pools, func(a, b api.AccountInPool) int { return cmp.Compare(a.Pool, b.Pool) })
	return st
}

// accountsInPools asks the owner of each pool's shard what its accounts use and demand, by account
// name. Owners that don't answer are left out.
func (n *Node) accountsInPools(ctx context.Context, cat *catalog.Catalog) map[string][]api.AccountInPool {
	var mu sync.Mutex
	var wg sync.WaitGroup
	all := map[string][]api.AccountInPool{}
	for _, pool := range cat.ActivePools() {
		wg.Go(func() {
			reply, ok := n.loadOf(ctx, fleetops.LoadQuery{Pool: pool, Grant: &quota.Grant{Full: true}}) // of term 0 and without shares, so it changes nothing
			if !ok {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			for _, u := range reply.Load.Accounts.Accounts {
				all[u.Account] = append(all[u.Account], api.AccountInPool{
					Pool: pool, Bound: reply.Load.Accounts.Enforced, Running: u.Running, Wanted: u.Demand, Share: u.MaxShare,
				})
			}
		})
	}
	wg.Wait()
	return all
}
