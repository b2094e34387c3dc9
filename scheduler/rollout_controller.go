package scheduler

import (
	"github.com/grebedock/grebedock/disruption"
	"github.com/grebedock/grebedock/rollout"
)

// rolloutController is what a member knows and, while it leads, decides of the plan.
type rolloutController struct {
	*environment
	cache    *stateCache
	peers    *peerTable
	registry *machineRegistry
	requests *requestHandler
	scaler   *autoscaler
	shards   *shardManager
	store    *storeClient

	rec               *rollout.Record
	disruptionRecords map[string]disruption.Record // by shard, as the store has them
	ledger            *disruption.Ledger           // while it leads
	ledgerPlanID      string                       // the plan that the ledger is of
	nextTickAt        int64
	writing           bool
	provisioning      bool
	nextProvisionAt   int64
	countsHistory     []countsSample // of all members, for what is usual
	machines          []rollout.Machine
}

func newRolloutController(env *environment) *rolloutController {
	return &rolloutController{environment: env, disruptionRecords: map[string]disruption.Record{}}
}

// Rollout returns the plan as it stands, nil without one.
func (c *Controller) Rollout(now Now) *RolloutStatus { return c.rollouts.status(now) }

// PreviewRollout returns what a plan would do, by what is known now.
func (c *Controller) PreviewRollout(now Now, p rollout.Plan) RolloutPreview {
	return c.rollouts.preview(now, p)
}

// ApplyRollout stores a plan, for the leader to carry out; the response is among
// the users' under replyID.
func (c *Controller) ApplyRollout(now Now, replyID uint64, p rollout.Plan) {
	c.rollouts.submitPlan(now, replyID, p)
}

// CommandRollout carries out an operator's command to the plan; the response is
// among the users' under replyID.
func (c *Controller) CommandRollout(now Now, replyID uint64, command rollout.Command) {
	c.rollouts.command(now, replyID, command)
}
