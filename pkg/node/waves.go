package node

import (
	"context"

	"github.com/gannetwell/gannetwell/pkg/fleetops"
	"github.com/gannetwell/gannetwell/pkg/packed"
	"github.com/gannetwell/gannetwell/pkg/schema"
	"github.com/gannetwell/gannetwell/service/api"
)

// waveStatus asks the holder of the fleet operations for the progress of the open waves.
func (n *Node) waveStatus(ctx context.Context) api.Waves {
	waves := api.Waves{Waves: []api.WaveStatus{}}
	reply := n.callOwner(ctx, &schema.Call{Kind: schema.CallKindWaves, Pool: fleetops.Partition})
	if reply.Outcome != schema.CallOutcomeOk {
		return waves
	}
	all, err := decodePart[[]fleetops.WaveStatus](reply.Waves)
	if err != nil {
		n.log.Error().Str("event", "waves_malformed").Err(err).Send()
		return waves
	}
	waves.Complete = true
	for i := range all {
		waves.Waves = append(waves.Waves, waveForOperator(&all[i]))
	}
	return waves
}

// decodePart decodes what a message of another entry holds in encoded form.
func decodePart[T any](raw []byte) (v T, err error) {
	err = packed.Unmarshal(raw, &v)
	return v, err
}

func waveForOperator(st *fleetops.WaveStatus) api.WaveStatus {
	needs := st.Needs.Seconds()
	if st.Blocked() {
		needs = -1
	}
	return api.WaveStatus{
		Wave: st.ID, Waiting: st.Waiting, Draining: st.Draining, Down: st.Down, Done: st.Done,
		ElapsedS: st.Elapsed.Seconds(), WithinS: st.Within.Seconds(), NeedsS: needs,
		Limit: string(st.Limit), LimitOf: st.LimitOf, AtRisk: st.AtRisk,
	}
}
