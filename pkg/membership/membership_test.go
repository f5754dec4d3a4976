package membership_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gannetwell/gannetwell/pkg/membership"
	"github.com/gannetwell/gannetwell/pkg/peer"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/platform/fake"
	"github.com/gannetwell/gannetwell/pkg/platform/rest"
	"github.com/gannetwell/gannetwell/pkg/replica"
	"github.com/gannetwell/gannetwell/pkg/schema"
	"github.com/gannetwell/gannetwell/pkg/table"
)

const secret = "0123456789abcdef"

// node is the membership of one entry on loopback addresses.
type node struct {
	*membership.Peers
	replica *replica.Replica
	address string
	cut     atomic.Bool // all its dials fail
}

func start(t *testing.T, store platform.Table, name, address string) *node {
	ln, err := net.Listen("tcp", address)
	qt.Assert(t, err, qt.IsNil)
	n := &node{replica: replica.New(store), address: ln.Addr().String()}
	n.Peers = membership.NewPeers(schema.PeerState{Name: name, Incarnation: 1, Zone: "z", Address: n.address}, secret, n.replica,
		membership.WithInterval(10*time.Millisecond),
		membership.WithInFlight(func(string) int { return 7 }),
		membership.WithPeerDial(func(ctx context.Context, network, addr string) (net.Conn, error) {
			if n.cut.Load() {
				return nil, fmt.Errorf("%s is cut off", name)
			}
			return (&net.Dialer{}).DialContext(ctx, network, addr)
		}))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { _ = peer.NewServer(ln, secret, n.Handle).Serve(ctx) }()
	go func() { _ = n.Run(ctx); close(ended) }()
	t.Cleanup(func() { cancel(); <-ended })
	return n
}

func await(f func() bool) {
	for !f() {
		time.Sleep(2 * time.Millisecond)
	}
}

func edit(t *testing.T, n *node, name string) int {
	e, err := n.replica.Commit(context.Background(), &table.Edit{ID: name, Actor: "a", Changes: []table.Change{{
		Key: table.Key{Kind: schema.KindZone, Name: name}, Value: table.MustValue(schema.Zone{}),
	}}})
	qt.Assert(t, err, qt.IsNil)
	return e.Revision
}

// TestOneWayPartition checks that edits travel both ways when one entry can't dial the others.
func TestOneWayPartition(t *testing.T) {
	c := qt.New(t)
	store := fake.New()
	a, b := start(t, store.View("z"), "a", "127.0.0.1:0"), start(t, store.View("z"), "b", "127.0.0.1:0")
	b.cut.Store(true)
	a.SetAddresses([]string{b.address})
	store.SetRules(fake.Rule{Zone: "nobody", Fault: fake.FaultDown})
	first := edit(t, a, "one")
	await(func() bool { return b.replica.Revision() == first })
	second := edit(t, b, "two")
	await(func() bool { return a.replica.Revision() == second })
	answers := a.InFlight(context.Background(), []string{"w"})
	c.Assert(answers, qt.HasLen, 2)
	c.Check(answers[1].Reached, qt.IsTrue)
	c.Check(answers[1].Counts["w"], qt.Equals, 7)
	c.Check(answers[1].Revision, qt.Equals, second)
	c.Check(b.InFlight(context.Background(), []string{"w"})[1].Reached, qt.IsFalse, qt.Commentf("b knows a, which has sent requests, but can't reach it"))
}

// TestSnapshotCatchUp checks that an entry that lacks more than the log holds catches up by a
// snapshot.
func TestSnapshotCatchUp(t *testing.T) {
	store := fake.New(fake.WithLimits(100_000, 100_000))
	a := start(t, store.View("z"), "a", "127.0.0.1:0")
	last := 0
	for i := range 1100 {
		last = edit(t, a, fmt.Sprint("zone-", i))
	}
	b := start(t, store.View("z"), "b", "127.0.0.1:0")
	b.SetAddresses([]string{a.address})
	await(func() bool { return b.replica.Revision() == last })
	qt.Check(t, fmt.Sprint(b.replica.Snapshot().Stored()), qt.Equals, fmt.Sprint(a.replica.Snapshot().Stored()))
}

// TestStaleStatesIgnored checks that a late state is ignored: of an earlier incarnation, of an
// earlier revision, or after the peer has ended.
func TestStaleStatesIgnored(t *testing.T) {
	c := qt.New(t)
	a := start(t, fake.New().View("z"), "a", "127.0.0.1:0")
	const address = "127.0.0.1:1" // nobody listens there
	report := func(incarnation, revision int, ended bool) {
		a.Handle(context.Background(), &schema.PeerRequest{From: schema.PeerState{
			Name: "b", Incarnation: incarnation, Revision: revision, Address: address, Ended: ended,
		}})
	}
	state := func() (incarnation, revision int) {
		for _, k := range a.Statuses() {
			if k.Address == address {
				return k.State.Incarnation, k.State.Revision
			}
		}
		return 0, 0
	}
	check := func(step string, wantIncarnation, wantRevision int) {
		incarnation, revision := state()
		c.Check([]int{incarnation, revision}, qt.DeepEquals, []int{wantIncarnation, wantRevision}, qt.Commentf("%s", step))
	}
	report(5, 10, false)
	check("a new entry sends its state", 5, 10)
	report(5, 9, false)
	check("an earlier revision", 5, 10)
	report(4, 99, false)
	check("an earlier incarnation, for example resumed after a suspension", 5, 10)
	report(6, 3, false)
	check("a replacement at the same address", 6, 3)
	report(6, 3, true)
	check("it leaves", 0, 0)
	a.SetAddresses([]string{address})
	check("the VM list still names it", 0, 0)
	report(7, 1, false)
	check("another process at the address", 7, 1)
}

// fakeMarker records the last mark of each source.
type fakeMarker struct{ list, leaving, health map[string]bool }

func (m fakeMarker) MarkList(vm string, closed bool)    { m.list[vm] = closed }
func (m fakeMarker) MarkLeaving(vm string, closed bool) { m.leaving[vm] = closed }
func (m fakeMarker) MarkHealth(vm string, closed bool)  { m.health[vm] = closed }

// TestServersMarkedByList checks that servers are marked by the VM list unless their row is newer
// than the list, and that a failed read changes nothing.
func TestServersMarkedByList(t *testing.T) {
	c := qt.New(t)
	backend := httptest.NewServer(http.NotFoundHandler())
	defer backend.Close()
	store := fake.New()
	store.AddVM(platform.ListedVM{Name: "w1", Zone: "z", Role: platform.RoleWorker})
	store.AddVM(platform.ListedVM{Name: "w2", Zone: "z", Role: platform.RoleWorker})
	r := replica.New(store.View("z"))
	vm := func(name string, since int) table.Change {
		return table.Change{Key: table.Key{Kind: schema.KindVM, Name: name}, Value: table.MustValue(schema.VM{
			Rack: "r", Address: fmt.Sprintf("%s%d", strings.TrimPrefix(backend.URL, "http://"), since%10), Phase: schema.PhaseActive, PhaseSinceMs: since,
		})}
	}
	future := int(time.Now().Add(time.Hour).UnixMilli())
	_, err := r.Commit(context.Background(), &table.Edit{ID: "e", Actor: "a", Changes: []table.Change{
		{Key: table.Key{Kind: schema.KindZone, Name: "z"}, Value: table.MustValue(schema.Zone{})},
		{Key: table.Key{Kind: schema.KindRack, Name: "r"}, Value: table.MustValue(schema.Rack{Zone: "z"})},
		vm("w1", 0), vm("w2", future/10*10+1),
	}})
	c.Assert(err, qt.IsNil)
	m := fakeMarker{map[string]bool{}, map[string]bool{}, map[string]bool{}}
	s := membership.NewServers("z", r, store.View("z"), m)
	status, err := store.View("z").VMStatus(context.Background(), "w1")
	c.Assert(err, qt.IsNil)
	c.Assert(store.View("z").Drain(context.Background(), "w1", status.Boot), qt.IsNil)
	c.Assert(store.View("z").Drain(context.Background(), "w2", status.Boot), qt.IsNil)
	s.ReadZone(context.Background())
	c.Check(m.list["w1"], qt.IsTrue)
	_, marked := m.list["w2"]
	c.Check(marked, qt.IsFalse, qt.Commentf("the row of w2 is newer than the list"))
	store.SetRules(fake.Rule{Op: rest.OpListVMs, Fault: fake.FaultDown})
	s.ReadList(context.Background())
	c.Check(m.list["w1"], qt.IsTrue, qt.Commentf("a failed read changes nothing"))
	store.SetRules()
	c.Assert(store.View("z").Undrain(context.Background(), "w1"), qt.IsNil)
	time.Sleep(2 * time.Millisecond)
	s.ReadList(context.Background())
	c.Check(m.list["w1"], qt.IsFalse)
}
