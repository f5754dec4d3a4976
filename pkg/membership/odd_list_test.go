package membership_test

import (
	"bytes"
	"context"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/gannetwell/gannetwell/pkg/membership"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/platform/fake"
	"github.com/gannetwell/gannetwell/pkg/replica"
)

// oneList is a lister with one list.
type oneList platform.VMList

func (l *oneList) ListVMs(context.Context, string) (platform.VMList, error) {
	return platform.VMList(*l), nil
}

// TestListOfTheFuture guards against a VM list after which no other one is newer.
func TestListOfTheFuture(t *testing.T) {
	now := time.Now()
	for name, tc := range map[string]struct {
		asOfMs int64
		want   bool
	}{
		"now":          {now.UnixMilli(), true},
		"clock ahead":  {now.Add(10 * time.Second).UnixMilli(), true},
		"hours ahead":  {now.Add(3 * time.Hour).UnixMilli(), false},
		"never":        {math.MaxInt64, false},
		"before start": {-1, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var log bytes.Buffer
			lister := &oneList{AsOfMs: tc.asOfMs, VMs: []platform.ListedVM{{Name: "w1"}}}
			s := membership.NewServers("z", replica.New(fake.New().View("z")), lister, fakeMarker{}, membership.WithServersLogger(zerolog.New(&log)))
			for _, read := range []func(context.Context){s.ReadList, s.ReadZone} {
				read(context.Background())
				c.Check(len(s.List().VMs) > 0, qt.Equals, tc.want)
			}
			*lister = oneList{AsOfMs: now.Add(time.Minute / 2).UnixMilli(), VMs: []platform.ListedVM{{Name: "w2"}}}
			s.ReadList(context.Background())
			c.Check(s.List().VMs[0].Name, qt.Equals, "w2")
		})
	}
}
