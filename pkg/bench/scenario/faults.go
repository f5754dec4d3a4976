package scenario

import (
	"fmt"
	"time"

	"github.com/gannetwell/gannetwell/pkg/bench/load"
	"github.com/gannetwell/gannetwell/pkg/platform/fake"
	"github.com/gannetwell/gannetwell/pkg/schema"
	"github.com/gannetwell/gannetwell/pkg/table"
	"github.com/gannetwell/gannetwell/service/api"
)

// scenario describes the load and the fault of the fault phase.
type scenario struct {
	about      string
	loadFactor float64 // peak load as a factor of the steady one, for the report; 0 means 1
	inject     func(env *environment, d time.Duration) error
}

func (s scenario) offeredFactor() float64 { return max(1, s.loadFactor) }

// slowServerDelay is added to each request at the slow server.
const slowServerDelay = 10 * workUs * time.Microsecond

var scenarios = map[string]scenario{
	"steady":         {about: "half of the capacity, no fault", inject: func(*environment, time.Duration) error { return nil }},
	"slow-server":    {about: "one of six servers is ten times slower", inject: slowDownServer},
	"failing-server": {about: "one of six servers answers 503 at once", inject: failServer},
	"overload-2x":    {about: "twice what the servers can answer", loadFactor: 4, inject: overload},
	"zone-cut":       {about: "a zone is cut off from the others and from the platform", inject: isolateZone},
	"platform-down":  {about: "every call of the platform fails", inject: failPlatform},
	"rolling-leave":  {about: "a maintenance wave takes every server", inject: startWave},
	"entry-crash":    {about: "an entry VM is lost", inject: crashEntry},
	"retry-storm":    {about: "every server of the service answers 503", inject: failAllServers},
	"flash-crowd":    {about: "three times the load for a quarter of the time", loadFactor: 3, inject: burst},
}

// About returns a one-line description of a scenario.
func About(name string) string { return scenarios[name].about }

func workVM(zone, i int) string { return fmt.Sprintf("%s-%d-%d", serviceWork, zone, i) }

func slowDownServer(env *environment, _ time.Duration) error {
	env.standin.Backends.SetDelay(workVM(1, 1), slowServerDelay)
	return nil
}

func failServer(env *environment, _ time.Duration) error {
	env.standin.Backends.SetUnhealthy(workVM(1, 1), true)
	return nil
}

func overload(env *environment, d time.Duration) error {
	env.addLoad(3, d)
	return nil
}

func isolateZone(env *environment, _ time.Duration) error {
	env.collector.recordFault()
	env.partition.isolate(zoneName(0))
	env.standin.Platform.SetRules(fake.Rule{Zone: zoneName(0), Fault: fake.FaultDown})
	return nil
}

func failPlatform(env *environment, _ time.Duration) error {
	env.standin.Platform.SetRules(fake.Rule{Fault: fake.FaultDown})
	return nil
}

func startWave(env *environment, _ time.Duration) error {
	_, err := env.entries.AnyClient().Edit(env.ctx, api.EditRequest{ID: "wave", Reason: "the scenario's wave", Changes: []api.RowChange{{
		Kind: string(schema.KindWave), Name: "wave", Value: table.MustValue(schema.Wave{State: schema.WaveStateRunning, Pools: []string{}}),
	}}})
	return err
}

func crashEntry(env *environment, _ time.Duration) error {
	env.collector.recordFault()
	env.entries.Crash("entry-1")
	return nil
}

func failAllServers(env *environment, _ time.Duration) error {
	for z := range zones {
		for i := range serversPerZone {
			env.standin.Backends.SetUnhealthy(workVM(z+1, i+1), true)
		}
	}
	return nil
}

func burst(env *environment, d time.Duration) error {
	env.addLoad(2, d/4)
	return nil
}

var _ load.Sink = (*collector)(nil)
