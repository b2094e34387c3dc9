package scheduler

import (
	"github.com/grebedock/grebedock/disruption"
	"github.com/grebedock/grebedock/rollout"
)

// rolloutController drains and replaces machines in steps. It owns the stored record of
// the plan and the records of what each shard stopped for it. Package rollout decides on
// the plan, package disruption on what it may cost the teams; this type gives them what
// they decide by, and stores their records.
//
// The leader of the fleet alone advances the plan's record, issues disruption tokens and
// provisions replacements. Each shard's owner drains its own machines, and alone writes
// the record of what it stopped. An eviction is sent only once its reservation is in the
// store, so a crash of either loses no part of a team's budget.
type rolloutController struct {
	*environment
	cache    *stateCache
	peers    *peerTable
	registry *machineRegistry
	requests *requestHandler
	scaler   *autoscaler
	shards   *shardManager
	store    *storeClient

	rec               *rollout.Record              // as stored; nil without a plan
	disruptionRecords map[string]disruption.Record // by shard, as stored
	writing           bool                         // a write of the plan's record is pending
	machines          []rollout.Machine            // reused by rolloutMachines
	rolloutLeadership
}

// rolloutLeadership is what the leader keeps of the plan beside its record.
type rolloutLeadership struct {
	ledger            *disruption.Ledger // tokens issued; nil until the first tick with a plan
	ledgerPlanID      string             // the plan that the ledger is of
	nextTickAtMS      int64              // monotonic
	provisioning      bool               // requests for replacements are pending
	nextProvisionAtMS int64              // monotonic
	countsHistory     []countsSample     // of all members, for the baseline of the health gates
}

// countsSample is what the health gates counted at a monotonic time.
type countsSample struct {
	atMS   int64
	counts rollout.HealthCounts
}

// maxCountsSamples and countsSampleIntervalMS bound the history of the baseline: five minutes.
const (
	maxCountsSamples       = 30
	countsSampleIntervalMS = 10_000
)

func newRolloutController(env *environment) *rolloutController {
	return &rolloutController{environment: env, disruptionRecords: map[string]disruption.Record{}}
}

// beginLeadership drops what an earlier leadership of this member left; the ledger is
// made anew from the plan's record.
func (rl *rolloutLeadership) beginLeadership() {
	rl.ledger, rl.provisioning = nil, false
}

// sampleCounts adds to the history, every countsSampleIntervalMS.
func (rl *rolloutLeadership) sampleCounts(nowMS int64, counts rollout.HealthCounts) {
	n := len(rl.countsHistory)
	if n > 0 && nowMS-rl.countsHistory[n-1].atMS < countsSampleIntervalMS {
		return
	}
	rl.countsHistory = append(rl.countsHistory[max(0, n-maxCountsSamples+1):], countsSample{nowMS, counts})
}

// Rollout returns the plan as it stands, nil without one.
func (c *Controller) Rollout(now Now) *RolloutStatus { return c.rollouts.status(now) }

// PreviewRollout returns what a plan would do, by what is known now. It stores nothing.
func (c *Controller) PreviewRollout(now Now, p rollout.Plan) RolloutPreview {
	return c.rollouts.preview(now, p)
}

// ApplyRollout stores a plan, for the leader to carry out. The response is among those
// to users, under replyID.
func (c *Controller) ApplyRollout(now Now, replyID uint64, p rollout.Plan) {
	c.rollouts.submitPlan(now, replyID, p)
}

// CommandRollout applies an operator's command to the plan. The response is among those
// to users, under replyID.
func (c *Controller) CommandRollout(now Now, replyID uint64, command rollout.Command) {
	c.rollouts.command(now, replyID, command)
}
