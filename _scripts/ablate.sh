#!/usr/bin/env bash
# Creates copies of the committed code for ablation measurements, each with one
# scheduling mechanism disabled:
#
#   _scripts/ablate.sh DIR [NAME...]
#
# Writes copies to DIR/NAME; without NAME, all of them. Fails if the edit of a
# mechanism no longer applies, so that no unchanged copy is measured.
set -euo pipefail
cd "$(dirname "$0")/.."
[ $# -ge 1 ] || { sed -n '2,9p' "$0" >&2; exit 2; }
dir=$1
shift

# Name, file and sed script of each mechanism.
mechanisms() {
	cat <<'LIST'
stragglers|pkg/shard/checks.go|/o.checkStragglers(now)/d
penalty|pkg/shard/health.go|s/failurePenalty = 0.35/failurePenalty = 0.0/
packing|pkg/placement/place.go|s/score := -float64(h.Free.CPU)/score := float64(h.Free.CPU)/
late-jobs-last|pkg/placement/place.go|/cmp.Compare(a.latenessRank(now), b.latenessRank(now)),/d
order-by-slack|pkg/placement/place.go|/cmp.Compare(a.latenessRank(now), b.latenessRank(now)),/d;/cmp.Compare(a.Deadline-a.RemainingPath, b.Deadline-b.RemainingPath),/d
trend|pkg/fleetops/demand.go|s/return int(max(0, t.slope) \* forecastHorizon.Seconds())/return 0/
arrivals|pkg/shard/load.go|/l.Arriving = o.arrivals.demand(now)/d
headroom|pkg/fleetops/sizing.go|s/Headroom: 0.15, Reserve: 1/Headroom: 0.0, Reserve: 0/
hedged-commits|pkg/shard/hedge.go|s/maxTries = 3/maxTries = 1/
learned-durations|pkg/shard/estimate.go|s/if ds == nil || ds.count/if true || ds == nil || ds.count/
waiting-for-owners|pkg/node/calls.go|s/callerWait = 2 \* time.Second/callerWait = ownerWait/
handover-names-tasks|pkg/shard/inherited.go|s/if w.ReleaseTerm > 0 \&\& w.ReleaseTerm == o.claim.Term-1/if false/
promised-first|pkg/placement/place.go|/cmp.Compare(a.excessRank(), b.excessRank()),/d
orders-not-sent|pkg/shard/dispatch.go|s/case !platform.IsNotDone(err):/case true:/
room-soon|pkg/shard/evacuate.go|s/ || placement.Reserve(step, e.future)//
LIST
}

wanted() { [ $# -eq 1 ] || [[ " ${*:2} " == *" $1 "* ]]; }

mechanisms | while IFS='|' read -r name file edit; do
	wanted "$name" "$@" || continue
	git clone -q --shared . "$dir/$name"
	sed -i "$edit" "$dir/$name/$file"
	! git -C "$dir/$name" diff --quiet || { echo "$name: the edit matches nothing in $file" >&2; exit 1; }
	(cd "$dir/$name" && go build ./...)
	echo "$dir/$name"
done
