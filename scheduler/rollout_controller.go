package scheduler

import (
	"github.com/grebedock/grebedock/disruption"
	"github.com/grebedock/grebedock/rollout"
)

// rolloutController drains and replaces machines in steps. It owns the stored record of the rollout
// plan and the records of the tasks that each shard stopped for it. Package rollout decides how the
// plan advances, and package disruption how many tasks of each team may be stopped. This type
// supplies their input and stores their records.
//
// Only the leader advances the plan's record, issues disruption tokens and provisions replacements.
// Only a shard's owner drains the shard's machines and writes the record of the tasks it stopped. An
// eviction is sent only after its reservation is in the state service. A crash of the leader or the
// owner therefore loses no part of a team's budget.
type rolloutController struct {
	*environment
	cache    *stateCache
	peers    *peerTable
	registry *machineRegistry
	requests *requestHandler
	scaler   *autoscaler
	shards   *shardManager
	store    *storeClient

	rec               *rollout.Record              // stored record of the plan; nil without a plan
	disruptionRecords map[string]disruption.Record // stored records by shard
	writing           bool                         // a write of the plan's record is pending
	machines          []rollout.Machine            // reused by rolloutMachines
	rolloutLeadership
}

// rolloutLeadership is the leader's state of the plan that is not part of the stored record.
type rolloutLeadership struct {
	ledger            *disruption.Ledger // tokens issued; nil until the first tick with a plan
	ledgerPlanID      string             // plan of the ledger
	nextTickAtMS      int64              // monotonic
	provisioning      bool               // requests for replacements are pending
	nextProvisionAtMS int64              // monotonic
	countsHistory     []countsSample     // sums over all members, for the baseline of the health gates
}

// countsSample is the health-gate counts at a monotonic time.
type countsSample struct {
	atMS   int64
	counts rollout.HealthCounts
}

// maxCountsSamples and countsSampleIntervalMS bound the baseline's history to five minutes.
const (
	maxCountsSamples       = 30
	countsSampleIntervalMS = 10_000
)

func newRolloutController(env *environment) *rolloutController {
	return &rolloutController{environment: env, disruptionRecords: map[string]disruption.Record{}}
}

// beginLeadership discards the state of an earlier leadership of this member: the ledger and the
// mark of pending provision requests. The next tick rebuilds the ledger from the plan's record.
func (rl *rolloutLeadership) beginLeadership() {
	rl.ledger, rl.provisioning = nil, false
}

// sampleCounts adds counts to the history, at most once per countsSampleIntervalMS.
func (rl *rolloutLeadership) sampleCounts(nowMS int64, counts rollout.HealthCounts) {
	n := len(rl.countsHistory)
	if n > 0 && nowMS-rl.countsHistory[n-1].atMS < countsSampleIntervalMS {
		return
	}
	rl.countsHistory = append(rl.countsHistory[max(0, n-maxCountsSamples+1):], countsSample{nowMS, counts})
}

// Rollout returns the current state of the plan, or nil if there is none.
func (c *Controller) Rollout(now Now) *RolloutStatus { return c.rollouts.status(now) }

// PreviewRollout returns the expected effect of a plan on the current cluster. It stores nothing.
func (c *Controller) PreviewRollout(now Now, p rollout.Plan) RolloutPreview {
	return c.rollouts.preview(now, p)
}

// ApplyRollout stores a plan, which the leader then carries out. The response is added to the user
// responses under replyID.
func (c *Controller) ApplyRollout(now Now, replyID uint64, p rollout.Plan) {
	c.rollouts.submitPlan(now, replyID, p)
}

// CommandRollout applies an operator's command to the plan. The response is added to the user
// responses under replyID.
func (c *Controller) CommandRollout(now Now, replyID uint64, command rollout.Command) {
	c.rollouts.command(now, replyID, command)
}
