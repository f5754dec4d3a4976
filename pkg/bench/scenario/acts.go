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

// scenario is what happens in the fault phase.
type scenario struct {
	about string
	load  float64 // factor of the steady load, 0 for 1
	act   func(st *stage, d time.Duration) error
}

func (s scenario) factor() float64 { return max(1, s.load) }

// slowBy is how much slower the slow server is: ten times its work.
const slowBy = 10 * workUs * time.Microsecond

var scenarios = map[string]scenario{
	"steady":         {about: "half of the capacity, no fault", act: func(*stage, time.Duration) error { return nil }},
	"slow-server":    {about: "one of six servers is ten times slower", act: slowServer},
	"failing-server": {about: "one of six servers answers 503 at once", act: failingServer},
	"overload-2x":    {about: "twice what the servers can answer", load: 4, act: overload},
	"zone-cut":       {about: "a zone is cut off from the others and from the platform", act: zoneCut},
	"platform-down":  {about: "every call of the platform fails", act: platformDown},
	"rolling-leave":  {about: "a maintenance wave takes every server", act: rollingLeave},
	"entry-crash":    {about: "an entry VM is lost", act: entryCrash},
	"retry-storm":    {about: "every server of the service answers 503", act: retryStorm},
	"flash-crowd":    {about: "three times the load for a quarter of the time", load: 3, act: flashCrowd},
}

// About says what a scenario does.
func About(name string) string { return scenarios[name].about }

func workServer(zone, i int) string { return fmt.Sprintf("%s-%d-%d", serviceWork, zone, i) }

func slowServer(st *stage, _ time.Duration) error {
	st.standin.Farm.SlowDown(workServer(1, 1), slowBy)
	return nil
}

func failingServer(st *stage, _ time.Duration) error {
	st.standin.Farm.Unwell(workServer(1, 1), true)
	return nil
}

func overload(st *stage, d time.Duration) error {
	st.more(3, d)
	return nil
}

func zoneCut(st *stage, _ time.Duration) error {
	st.collector.strike()
	st.partition.set(zoneName(0))
	st.standin.Platform.SetRules(fake.Rule{Zone: zoneName(0), Fault: fake.FaultDown})
	return nil
}

func platformDown(st *stage, _ time.Duration) error {
	st.standin.Platform.SetRules(fake.Rule{Fault: fake.FaultDown})
	return nil
}

func rollingLeave(st *stage, _ time.Duration) error {
	_, err := st.entries.Any().Edit(st.ctx, api.EditRequest{ID: "wave", Reason: "the scenario's wave", Changes: []api.RowChange{{
		Kind: string(schema.KindWave), Name: "wave", Value: table.MustValue(schema.Wave{State: schema.WaveStateRunning, Pools: []string{}}),
	}}})
	return err
}

func entryCrash(st *stage, _ time.Duration) error {
	st.collector.strike()
	st.entries.Crash("entry-1")
	return nil
}

func retryStorm(st *stage, _ time.Duration) error {
	for z := range zones {
		for i := range serversPerZone {
			st.standin.Farm.Unwell(workServer(z+1, i+1), true)
		}
	}
	return nil
}

func flashCrowd(st *stage, d time.Duration) error {
	st.more(2, d/4)
	return nil
}

var _ load.Sink = (*collector)(nil)
