package fleetops

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/shard"
)

// Runs the planning scripts in testdata: moves between pools, also of evacuated VMs, and the VMs that a wave selects.
func TestPlans(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "moves":
				return planMoves(d.Input)
			case "evacuated":
				return planEvacuated(d.Input)
			case "wave":
				maxDown := 0
				d.ScanArgs(t, "max", &maxDown)
				since := 0
				d.MaybeScanArgs(t, "since", &since)
				return planWave(d.Input, maxDown, time.Duration(since)*time.Second, d.HasArg("waits"))
			default:
				t.Fatalf("unknown command %q", d.Cmd)
				return ""
			}
		})
	})
}

// fields parses a line of a name followed by "key=value" pairs or single keys.
func fields(line string) (name string, values map[string]string) {
	words := strings.Fields(line)
	values = map[string]string{}
	for _, w := range words[1:] {
		k, v, _ := strings.Cut(w, "=")
		values[k] = v
	}
	return words[0], values
}

func number(s string) int {
	n, _ := strconv.Atoi(s)
	return n
}

func planMoves(input string) string {
	var pools []*PoolState
	for _, line := range strings.Split(input, "\n") {
		name, v := fields(line)
		s := &PoolState{Name: name, Supply: number(v["supply"]), SurplusSteps: number(v["surely"])}
		_, s.Spare = v["spare"]
		if v["idle"] != "" {
			s.Movable = strings.Split(v["idle"], ",")
		}
		if v["ending"] != "" {
			s.Ending = strings.Split(v["ending"], ",")
		}
		_, atLimit := v["atlimit"]
		s.Load = shard.Load{
			AtLimit: atLimit, Capacity: platform.Resources{CPU: 1000 * s.Supply},
			Workers: s.Supply, Floor: number(v["floor"]), VMCapacity: platform.Resources{CPU: 1000, MemoryMB: 1000},
			Used:    platform.Resources{CPU: number(v["used"]), MemoryMB: number(v["memory"])},
			Waiting: platform.Resources{CPU: number(v["waiting"])}, Arriving: platform.Resources{CPU: number(v["arriving"])},
			ArrivingExcess: platform.Resources{CPU: number(v["arriving-excess"])},
		}
		if v["late"] != "" || v["excess"] != "" {
			late, excess := platform.Resources{CPU: number(v["late"])}, platform.Resources{CPU: number(v["excess"])}
			s.Load.Held = shard.Demand{Guaranteed: s.Load.Used.Add(s.Load.Waiting).Sub(late).Sub(excess), Excess: excess, Late: late}
		}
		pools = append(pools, s)
	}
	var out strings.Builder
	if level := DefaultSizing.SetShares(pools); level != LevelNone {
		fmt.Fprintf(&out, "short of VMs for %s:", level)
		for _, s := range pools {
			if !s.Spare {
				fmt.Fprintf(&out, " %s %d of %d", s.Name, s.Share, s.Need.Target)
			}
		}
		out.WriteString("\n")
	}
	for _, m := range DefaultSizing.PlanMoves(pools) {
		fmt.Fprintf(&out, "%s: %s -> %s\n", m.VM, m.From, m.To)
	}
	return out.String()
}

func planEvacuated(input string) string {
	var pools []EvacuatedPool
	spare := ""
	for _, line := range strings.Split(input, "\n") {
		name, v := fields(line)
		if _, ok := v["spare"]; ok {
			spare = name
			continue
		}
		p := EvacuatedPool{Name: name, VMs: number(v["vms"]), Deficit: number(v["deficit"]), SurplusSteps: number(v["steps"])}
		if v["idle"] != "" {
			p.Movable = strings.Split(v["idle"], ",")
		}
		pools = append(pools, p)
	}
	var out strings.Builder
	for _, m := range DefaultSizing.PlanEvacuatedMoves(pools, spare) {
		fmt.Fprintf(&out, "%s: %s -> %s\n", m.VM, m.From, m.To)
	}
	return out.String()
}

// planWave returns the VMs that a wave drains next or, if waits is set, what the others wait for.
func planWave(input string, maxDown int, elapsed time.Duration, showWaits bool) string {
	w := Wave{MaxDown: maxDown, Within: 60 * time.Second}
	light, recent, tight, former, other := map[string]bool{}, map[string]bool{}, map[string]bool{}, map[string]bool{}, map[string]bool{}
	var limited []shard.LimitedStep
	var vms []*VM
	machines := map[string]platform.Machine{}
	for _, line := range strings.Split(input, "\n") {
		name, v := fields(line)
		machines[name] = platform.Machine{VM: name, Pool: v["pool"], State: platform.MachineUp}
		_, light[name] = v["light"]
		_, recent[name] = v["recent"]
		_, tight[name] = v["tight"]
		_, former[name] = v["former"]
		_, other[name] = v["other"]
		if v["step"] != "" {
			limited = append(limited, shard.LimitedStep{Step: v["step"], Places: number(v["places"]), VMs: []string{name}})
		}
		if _, down := v["down"]; down {
			m := machines[name]
			m.State = platform.MachineMaintenance
			machines[name] = m
		}
		if v["phase"] != "" {
			vms = append(vms, &VM{Name: name, Phase: Phase(v["phase"])})
		}
	}
	var out strings.Builder
	next, waits := SelectVMs(w, vms, View{Machines: machines, Spare: "spare", Light: light, RecentlyOrdered: recent, SlowToDrain: tight, MaybeDone: former, InOtherWave: other, Limited: limited, Elapsed: elapsed})
	if showWaits {
		for _, reason := range slices.Sorted(maps.Keys(waits)) {
			fmt.Fprintf(&out, "%s: %d\n", reason, waits[reason])
		}
		return out.String()
	}
	for _, v := range next {
		fmt.Fprintf(&out, "%s\n", v.Name)
	}
	return out.String()
}
