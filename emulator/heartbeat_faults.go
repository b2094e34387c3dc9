package emulator

import (
	"slices"

	"github.com/grebedock/grebedock/scheduler"
)

// ReplayHeartbeats delivers copies of a share of the workers' heartbeats again, for ms milliseconds
// from now. The delay is at least 2 s and up to 2 s plus 1.5 times the lease duration.
func (sim *Simulation) ReplayHeartbeats(probability float64, ms int64) {
	sim.heartbeatReplays = faultRate{probability, sim.Now + ms}
}

// replayHeartbeat may deliver a copy of a heartbeat later to the member that received it.
func (sim *Simulation) replayHeartbeat(worker *Worker, m *Member, hb scheduler.Heartbeat) {
	if !sim.heartbeatReplays.occurs(sim) {
		return
	}
	epoch := m.epoch
	sim.After(2000+sim.Rand.Int64N(int64(sim.Params.LeaseS*1500)), func() {
		if m.Core == nil || sim.RefusesConnection != nil && sim.RefusesConnection(m.Name) {
			return
		}
		sim.DuplicateCounts["all"]++
		if hb.Incarnation < worker.Agent.Incarnation {
			sim.DuplicateCounts["of an earlier incarnation"]++
		}
		if epoch != m.epoch {
			sim.DuplicateCounts["after a crash of the member"]++
		}
		m.lastReplyID++ // a new ID, so that the response is discarded
		m.Core.HandleHeartbeat(m.Clock(), m.lastReplyID, hb)
		m.dispatchOutputs()
	})
}

// capturedHeartbeat is a copy of a worker's heartbeat that is delivered later.
type capturedHeartbeat struct {
	worker    *Worker
	heartbeat scheduler.Heartbeat
}

// ReplayHeartbeatsAtClaim keeps copies of a share of the workers' heartbeats until a member claims
// a shard or becomes leader, and then delivers them to every member.
func (sim *Simulation) ReplayHeartbeatsAtClaim(probability float64, ms int64) {
	sim.claimReplays = faultRate{probability, sim.Now + ms}
}

// captureForClaim keeps a copy of a heartbeat for the next claim.
func (sim *Simulation) captureForClaim(worker *Worker, hb scheduler.Heartbeat) {
	if !sim.claimReplays.occurs(sim) {
		return
	}
	if len(sim.claimHeartbeats) == maxCapturedHeartbeats {
		sim.claimHeartbeats = slices.Delete(sim.claimHeartbeats, 0, 1)
	}
	sim.claimHeartbeats = append(sim.claimHeartbeats, capturedHeartbeat{worker, hb})
}

// observeClaim is called with each result of the state service. After a successful claim it
// delivers the captured heartbeats.
func (sim *Simulation) observeClaim(m *Member, op scheduler.StoreOp, result scheduler.StoreResult) {
	if len(sim.claimHeartbeats)+len(sim.ownerHeartbeats) == 0 || op.Kind != scheduler.StoreTxn ||
		result.Outcome != scheduler.OK {
		return
	}
	claims := slices.ContainsFunc(op.Changes, func(c scheduler.Change) bool {
		return c.Value != nil && (KeyKind(c.Key) == "l/s/" || c.Key == "l/lead")
	})
	if !claims {
		return
	}
	if sim.newOwners == nil {
		sim.newOwners = map[string]bool{}
	}
	sim.newOwners[m.Name] = true
	captured := sim.claimHeartbeats
	sim.claimHeartbeats = nil
	sim.replayToAll(captured, "at a claim")
}

// replayToAll delivers heartbeats to every member, each after a random delay below 400 ms.
func (sim *Simulation) replayToAll(captured []capturedHeartbeat, occasion string) {
	for _, capture := range captured {
		for _, m := range sim.Members {
			sim.After(sim.Rand.Int64N(400), func() { sim.deliverDuplicate(m, capture, occasion) })
		}
	}
}

// DelayHeartbeatsUntilNewOwnerActs delays a share of the workers' heartbeats, without a response,
// until a member that claimed a shard or became leader sends its first command to a worker. They
// are then delivered to every member.
func (sim *Simulation) DelayHeartbeatsUntilNewOwnerActs(probability float64, ms int64) {
	sim.ownerReplays = faultRate{probability, sim.Now + ms}
}

// captureForNewOwner may capture a heartbeat for the next owner, and reports whether it did.
func (sim *Simulation) captureForNewOwner(worker *Worker, hb scheduler.Heartbeat) bool {
	if !sim.ownerReplays.occurs(sim) {
		return false
	}
	if len(sim.ownerHeartbeats) == maxCapturedHeartbeats {
		sim.ownerHeartbeats = slices.Delete(sim.ownerHeartbeats, 0, 1)
	}
	sim.ownerHeartbeats = append(sim.ownerHeartbeats, capturedHeartbeat{worker, hb})
	return true
}

// observeFirstCommands delivers the delayed heartbeats when a member that claimed a shard or the
// leadership sends its first command to a worker.
func (sim *Simulation) observeFirstCommands(m *Member, outputs *scheduler.Outputs) {
	if !sim.newOwners[m.Name] {
		return
	}
	hasCommands := slices.ContainsFunc(
		outputs.DirectCommands,
		func(command scheduler.DirectCommand) bool { return len(command.Commands) > 0 },
	)
	for _, resp := range outputs.HeartbeatResponses {
		hasCommands = hasCommands || len(resp.Commands) > 0
	}
	if !hasCommands {
		return
	}
	delete(sim.newOwners, m.Name)
	captured := sim.ownerHeartbeats
	sim.ownerHeartbeats = nil
	sim.replayToAll(captured, "after a new owner acted")
}

// deliverDuplicate delivers a copy of a heartbeat to a member; the response is discarded.
func (sim *Simulation) deliverDuplicate(m *Member, capture capturedHeartbeat, occasion string) {
	if m.Core == nil || sim.RefusesConnection != nil && sim.RefusesConnection(m.Name) {
		return
	}
	sim.DuplicateCounts[occasion]++
	if capture.heartbeat.Incarnation < capture.worker.Agent.Incarnation {
		sim.DuplicateCounts["of an earlier incarnation "+occasion]++
	}
	m.lastReplyID++
	m.Core.HandleHeartbeat(m.Clock(), m.lastReplyID, capture.heartbeat)
	m.dispatchOutputs()
}

// maxCapturedHeartbeats is the maximum number of heartbeats kept for a claim, and of those kept for
// a new owner; newer ones replace the oldest.
const maxCapturedHeartbeats = 60
