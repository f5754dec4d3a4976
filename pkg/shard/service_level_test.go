package shard

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gannetwell/gannetwell/pkg/catalog"
	"github.com/gannetwell/gannetwell/pkg/jobs"
)

// TestServiceLevelOf guards against jobs that get the highest priority, and need no advice any more, once their queue has
// another name, another pool or no route.
func TestServiceLevelOf(t *testing.T) {
	accepted := &catalog.ServiceLevel{Priority: 5, UsesAdvice: true}
	now := catalog.ServiceLevel{Priority: 2}
	for name, tc := range map[string]struct {
		queues []catalog.Queue
		record jobs.Record
		want   *catalog.ServiceLevel
	}{
		"here under another name": {[]catalog.Queue{{Name: "new", Prefix: "/q/", Pool: "alpha", ServiceLevel: now}}, jobs.Record{Queue: "old", Route: "/q/", ServiceLevel: accepted}, &now},
		"in another pool":         {[]catalog.Queue{{Name: "old", Prefix: "/q/", Pool: "beta", ServiceLevel: now}}, jobs.Record{Queue: "old", Route: "/q/", ServiceLevel: accepted}, accepted},
		"gone":                    {nil, jobs.Record{Queue: "old", Route: "/q/", ServiceLevel: accepted}, accepted},
		"its name used otherwise": {[]catalog.Queue{{Name: "old", Prefix: "/other/", Pool: "alpha", ServiceLevel: now}}, jobs.Record{Queue: "old", Route: "/q/", ServiceLevel: accepted}, accepted},
		"of an earlier version":   {[]catalog.Queue{{Name: "old", Prefix: "/q/", Pool: "beta", ServiceLevel: now}}, jobs.Record{Queue: "old"}, &now},
		"that version, gone":      {nil, jobs.Record{Queue: "old"}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			o := &Owner{cfg: Config{Pool: "alpha"}, catalog: catalog.New(catalog.Catalog{Queues: tc.queues})}
			qt.Check(t, o.serviceLevelOf(&jobs.Job{Record: tc.record}), qt.DeepEquals, tc.want)
		})
	}
}
