package capacity

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"time"

	"github.com/gannetwell/gannetwell/pkg/fleet"
	"github.com/gannetwell/gannetwell/pkg/gateway"
	"github.com/gannetwell/gannetwell/pkg/gateway/balance"
	"github.com/gannetwell/gannetwell/pkg/membership"
	"github.com/gannetwell/gannetwell/pkg/peer"
	"github.com/gannetwell/gannetwell/pkg/platform/fake"
	"github.com/gannetwell/gannetwell/pkg/replica"
	"github.com/gannetwell/gannetwell/pkg/schema"
	"github.com/gannetwell/gannetwell/pkg/table"
)

var (
	workerCounts = []int{50, 100, 425, 1700, 3400}
	serverCounts = []int{10, 50, 200, 800, 1700}
	peerCounts   = []int{2, 5, 11, 25, 50}
)

// measurements lists all costs with their role, units and sizes.
func measurements() []measurement {
	return []measurement{
		{"snapshot_memory", "config distribution", "workers", "KB", workerCounts, snapshotMemory},
		{"apply_entry", "config distribution", "workers", "us", workerCounts, applyEntry},
		{"check_edit", "operators' API", "workers", "us", workerCounts, checkEdit},
		{"view_update", "router", "workers", "us", workerCounts, viewUpdate},
		{"view_memory", "router", "workers", "KB", workerCounts, viewMemory},
		{"pick_server", "router", "servers of a service", "us", serverCounts, pickServer},
		{"decide_idle", "fleet control", "workers", "us", workerCounts, decideIdle},
		{"decide_wave", "wave", "workers", "us", workerCounts, decideWave},
		{"start_bytes", "config distribution", "workers", "bytes", workerCounts, startBytes},
		{"edit_bytes", "config distribution", "rows of an edit", "bytes", []int{1, 2, 5, 10}, editBytes},
		{"sync_bytes", "membership", "drains asked for", "bytes", []int{0, 5, 20, 50}, syncBytes},
		{"sync_time", "membership", "peers in a round", "us", peerCounts, syncTime},
	}
}

// Proportions of the generated fleets.
const (
	workersPerPool = 18
	workersPerRack = 4
	workersPerZone = 100
)

// newFleet builds a table of n workers, each in a pool, a rack and a zone.
func newFleet(n int) *table.Snapshot {
	s := table.Empty()
	s.Revision = 1
	s.Zones, s.Racks = table.Rows[schema.Zone]{}, table.Rows[schema.Rack]{}
	s.Services, s.Pools = table.Rows[schema.Service]{}, table.Rows[schema.Pool]{}
	s.VMs, s.Routes = table.Rows[schema.VM]{}, table.Rows[schema.Route]{}
	s.Waves = table.Rows[schema.Wave]{}
	for i := range n {
		zone, rack := fmt.Sprintf("zone-%d", i/workersPerZone), fmt.Sprintf("rack-%d", i/workersPerRack)
		pool := fmt.Sprintf("pool-%d", i%max(1, n/workersPerPool))
		s.Zones[zone] = table.Row[schema.Zone]{Version: 1, Value: schema.Zone{Region: "r"}}
		s.Racks[rack] = table.Row[schema.Rack]{Version: 1, Value: schema.Rack{Zone: zone}}
		s.Services[pool] = table.Row[schema.Service]{Version: 1, Value: schema.Service{HealthPath: "/healthz", MaxInFlight: 256}}
		s.Routes[pool] = table.Row[schema.Route]{Version: 1, Value: schema.Route{PathPrefix: "/" + pool, Service: pool, Class: schema.ClassClerk, Repeat: schema.RepeatSafe, DeadlineMs: 1000, MaxInFlight: 100}}
		p := s.Pools[pool].Value
		s.Pools[pool] = table.Row[schema.Pool]{Version: 1, Value: schema.Pool{Service: pool, Size: p.Size + 1, MaxUnavailable: 2}}
		s.VMs[fmt.Sprintf("worker-%04d", i)] = table.Row[schema.VM]{Version: 1, Value: schema.VM{
			Rack: rack, Address: fmt.Sprintf("10.%d.%d.1:8080", i/250, i%250), Pool: pool, Phase: schema.PhaseActive,
		}}
	}
	return s
}

// vmEdit returns an edit of one VM row like those that the fleet controller makes.
func vmEdit(s *table.Snapshot) *table.Edit {
	name := s.VMs.Names()[0]
	vm := s.VMs[name].Value
	vm.Phase = schema.PhaseDraining
	return &table.Edit{ID: "e", Actor: "control", Reason: "its turn in wave w", Evidence: "pool has 0 VMs out of service, its budget is 2", Changes: []table.Change{{
		Key: table.Key{Kind: schema.KindVM, Name: name}, Seen: 1, Value: table.MustValue(vm),
	}}}
}

func snapshotMemory(n int) (float64, error) {
	return retainedHeapKB(func() *table.Snapshot { return newFleet(n) }), nil
}

func applyEntry(n int) (float64, error) {
	s := newFleet(n)
	entry, _, err := s.Prepare(vmEdit(s), 1)
	if err != nil {
		return 0, err
	}
	return medianTimeUs(func() { _, _ = s.Apply(entry) }), nil
}

func checkEdit(n int) (float64, error) {
	s := newFleet(n)
	edit := vmEdit(s)
	return medianTimeUs(func() { _, _, _ = s.Prepare(edit, 1) }), nil
}

func newGateway(s *table.Snapshot) *gateway.Gateway {
	g := gateway.New("entry", "zone-0", schema.GatewaySettings{BufferBodyBytes: 1 << 16, Limits: true, Retries: schema.GatewaySettingsRetriesBudget, Hedging: true})
	g.SetTable(s)
	return g
}

func viewUpdate(n int) (float64, error) {
	s := newFleet(n)
	g := newGateway(s)
	return medianTimeUs(func() { g.SetTable(s) }), nil
}

func viewMemory(n int) (float64, error) {
	s := newFleet(n)
	return retainedHeapKB(func() *gateway.Gateway { return newGateway(s) }), nil
}

// target is a balance.Target with a fixed cost.
type target struct{ cost float64 }

// Usable implements balance.Target.
func (t *target) Usable() bool { return true }

// Cost implements balance.Target.
func (t *target) Cost() float64 { return t.cost }

func pickServer(n int) (float64, error) {
	targets := make([]*target, n)
	for i := range targets {
		targets[i] = &target{cost: float64(i)}
	}
	var p balance.PowerOfTwo[*target]
	none := func(*target) bool { return false }
	return medianTimeUs(func() { _, _ = p.Pick(targets, none) }), nil
}

// healthyState returns the state of a fleet of n healthy workers.
func healthyState(n int) fleet.State {
	s := newFleet(n)
	now := time.Now()
	observed := map[string]fleet.Observation{}
	for name := range s.VMs {
		observed[name] = fleet.Observation{Health: fleet.HealthGood, Since: now}
	}
	return fleet.State{Table: s, Now: now, Observed: observed}
}

func decideIdle(n int) (float64, error) {
	state := healthyState(n)
	return medianTimeUs(func() { fleet.Decide(state, fleet.DefaultLimits()) }), nil
}

func decideWave(n int) (float64, error) {
	state := healthyState(n)
	state.Table.Waves["w"] = table.Row[schema.Wave]{Version: 1, Value: schema.Wave{State: schema.WaveStateRunning, StartedAtMs: 1}}
	return medianTimeUs(func() { fleet.Decide(state, fleet.DefaultLimits()) }), nil
}

// startBytes returns the size of the table that an entry reads when it starts.
func startBytes(n int) (float64, error) {
	raw, err := json.Marshal(newFleet(n).Stored())
	return float64(len(raw)), err
}

// frameSize returns the encoded size of a message between peers.
func frameSize(v any) (float64, error) {
	var buf bytes.Buffer
	_, err := peer.WriteFrame(&buf, v)
	return float64(buf.Len()), err
}

// editBytes returns the size of the message that sends one edit to one peer.
func editBytes(rows int) (float64, error) {
	s := newFleet(100)
	entry, _, err := s.Prepare(vmEdit(s), 1)
	if err != nil {
		return 0, err
	}
	change := entry.Changes[0]
	for len(entry.Changes) < rows {
		entry.Changes = append(entry.Changes, change)
	}
	return frameSize(&schema.PeerRequest{From: selfState(), Entries: []schema.Entry{*entry}})
}

func selfState() schema.PeerState {
	return schema.PeerState{Name: "entry-01", Incarnation: int(time.Now().UnixMilli()), Zone: "zone-0", Address: "10.0.0.1:9090", Revision: 100_000}
}

// syncBytes returns the size of a sync request and its reply without new entries.
func syncBytes(drains int) (float64, error) {
	q := &schema.PeerRequest{From: selfState()}
	reply := &schema.PeerReply{From: selfState(), Entries: []schema.Entry{}, InFlight: []schema.VMInFlight{}}
	for i := range drains {
		vm := fmt.Sprintf("worker-%04d", i)
		q.Drains = append(q.Drains, vm)
		reply.InFlight = append(reply.InFlight, schema.VMInFlight{VM: vm, Count: 1})
	}
	requestSize, err := frameSize(q)
	if err != nil {
		return 0, err
	}
	replySize, err := frameSize(reply)
	return requestSize + replySize, err
}

// syncTime measures one round of exchanges with n peers over loopback.
func syncTime(n int) (float64, error) {
	const secret = "capacity-secret-0123"
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r := replica.New(fake.New().View("z"))
	client := membership.NewPeers(selfState(), secret, r)
	var addresses []string
	for range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return 0, err
		}
		server := membership.NewPeers(schema.PeerState{Name: "peer", Address: ln.Addr().String()}, secret, replica.New(fake.New().View("z")))
		go func() { _ = peer.NewServer(ln, secret, server.Handle).Serve(ctx) }()
		addresses = append(addresses, ln.Addr().String())
	}
	client.SetAddresses(addresses)
	defer client.Close()
	return medianTimeUs(func() { client.SyncAll(ctx) }), nil
}
