package entry

import (
	"context"
	"io"
	stdlog "log"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/gannetwell/gannetwell/pkg/control"
	"github.com/gannetwell/gannetwell/pkg/explain"
	"github.com/gannetwell/gannetwell/pkg/gateway"
	"github.com/gannetwell/gannetwell/pkg/membership"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/schema"
	"github.com/gannetwell/gannetwell/pkg/table"
	"github.com/gannetwell/gannetwell/service/api"
)

// readersPerZone is the number of entries per zone that read the store's head frequently.
const readersPerZone = 2

// onTable makes a snapshot current in the gateway.
func (e *Entry) onTable(snap *table.Snapshot, entries []schema.Entry) {
	e.gateway.SetTable(snap)
	ev := e.log.Info().Str("event", "table_in_force").Int("revision", snap.Revision)
	if n := len(entries); n > 0 {
		ev = ev.Str("actor", entries[n-1].Actor).Str("edit_id", entries[n-1].EditID)
	}
	ev.Send()
}

// onVMList updates the peers' addresses from the seeds and the platform's VM list.
func (e *Entry) onVMList(list platform.VMList) {
	addresses := slices.Clone(e.settings.Peers.Seeds)
	for _, vm := range list.VMs {
		if vm.Role == platform.RoleEntry && vm.State != platform.VMGone && vm.Address != "" {
			addresses = append(addresses, vm.Address)
		}
	}
	slices.Sort(addresses)
	e.peers.SetAddresses(slices.Compact(addresses))
}

// isReader reports whether this entry reads the store's head for its zone: it is among the
// first by name of the entries heard from recently.
func (e *Entry) isReader() bool {
	const recent = 10 * time.Second
	before := 0
	for _, k := range e.peers.Statuses() {
		s := k.State
		if s.Zone == e.settings.Zone && !s.Stopping && s.Name < e.settings.Name && time.Since(k.LastContact) < recent {
			before++
		}
	}
	return before < readersPerZone
}

// marker adapts the gateway to membership.Marker.
type marker struct{ g *gateway.Gateway }

// MarkList implements membership.Marker.
func (m marker) MarkList(vm string, closed bool) { m.g.SetClosed(vm, gateway.SourceList, closed) }

// MarkLeaving implements membership.Marker.
func (m marker) MarkLeaving(vm string, closed bool) { m.g.SetClosed(vm, gateway.SourceLeaving, closed) }

// MarkHealth implements membership.Marker.
func (m marker) MarkHealth(vm string, closed bool) { m.g.SetClosed(vm, gateway.SourceHealth, closed) }

// kindRequest lets operators ask for an explanation of a request by its ID.
const kindRequest schema.Kind = "request"

// explainer explains rows and recent failed requests.
type explainer struct {
	*explain.Explainer
	entry *Entry
}

// Explain implements server.Explainer.
func (x explainer) Explain(ctx context.Context, kind schema.Kind, name string) (sentences []string, ok bool) {
	if kind != kindRequest {
		return x.Explainer.Explain(ctx, kind, name)
	}
	f, ok := x.entry.gateway.Failure(name)
	if !ok {
		return nil, false
	}
	return f.Sentences(name, x.entry.settings.Name), true
}

// listedEntries queries the entries that may still exist.
type listedEntries struct {
	peers *membership.Peers
	list  func() platform.VMList
}

func (e *Entry) entries() control.Entries {
	return listedEntries{peers: e.peers, list: func() platform.VMList { return e.servers.List() }}
}

// InFlight implements control.Entries. An entry that does not respond is left out only if a VM
// list from after its last message says that its VM is gone. The list may be late but never
// reports a running VM as gone.
func (l listedEntries) InFlight(ctx context.Context, vms []string) []membership.EntryInFlight {
	replies := l.peers.InFlight(ctx, vms)
	list := l.list()
	if list.AsOfMs == 0 {
		return replies
	}
	return slices.DeleteFunc(replies, func(a membership.EntryInFlight) bool {
		return !a.Reached && a.LastContact.UnixMilli() < list.AsOfMs && !slices.ContainsFunc(list.VMs, func(vm platform.ListedVM) bool {
			return vm.State != platform.VMGone && (vm.Address == a.Address || vm.Name == a.Entry)
		})
	})
}

// status returns the status of this entry and its peers.
func (e *Entry) status() api.Status {
	self := e.peers.Self()
	out := api.Status{
		Ready: e.gateway.Ready(), Active: e.gateway.Active(), VMListAgeMs: -1,
		Entries: []api.EntryStatus{entryStatus(self, true, 0)},
	}
	if err := e.follower.Err(); err != nil {
		out.StoreError = err.Error()
	}
	if list := e.servers.List(); list.AsOfMs > 0 {
		out.VMListAgeMs = int(time.Now().UnixMilli() - list.AsOfMs)
	}
	for _, k := range e.peers.Statuses() {
		lastHeardMs := -1
		if !k.LastContact.IsZero() {
			lastHeardMs = int(time.Since(k.LastContact).Milliseconds())
		}
		state := k.State
		state.Address = k.Address
		out.Entries = append(out.Entries, entryStatus(state, k.Err == nil && lastHeardMs >= 0, lastHeardMs))
	}
	return out
}

func entryStatus(s schema.PeerState, reached bool, heardMsAgo int) api.EntryStatus {
	return api.EntryStatus{
		Name: s.Name, Zone: s.Zone, Address: s.Address, Incarnation: s.Incarnation,
		Revision: s.Revision, Stopping: s.Stopping, Reached: reached, HeardMsAgo: heardMsAgo,
	}
}

// controlTraffic counts the bytes exchanged with the platform and with peers.
type controlTraffic struct{ bytes *prometheus.CounterVec }

func newTraffic() *controlTraffic {
	return &controlTraffic{bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "gannetwell_control_bytes_total",
		Help: "Payload bytes exchanged for control, by the other side and direction.",
	}, []string{"with", "direction"})}
}

func (t *controlTraffic) add(with string, sent, received int) {
	t.bytes.WithLabelValues(with, "sent").Add(float64(sent))
	t.bytes.WithLabelValues(with, "received").Add(float64(received))
}

func (t *controlTraffic) store(sent, received int) { t.add("platform", sent, received) }
func (t *controlTraffic) peers(sent, received int) { t.add("peers", sent, received) }

func (t *controlTraffic) collectors() []prometheus.Collector { return []prometheus.Collector{t.bytes} }

// debugLogger forwards the log of net/http to log at debug level.
func debugLogger(log zerolog.Logger) *stdlog.Logger {
	return stdlog.New(logWriter{log}, "", 0)
}

type logWriter struct{ log zerolog.Logger }

// Write implements io.Writer.
func (w logWriter) Write(p []byte) (n int, err error) {
	w.log.Debug().Str("event", "http_server").Str("detail", string(p)).Send()
	return len(p), nil
}

var _ io.Writer = logWriter{}
