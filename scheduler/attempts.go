package scheduler

import (
	"cmp"
	"slices"
	"strings"

	"github.com/grebedock/grebedock/quota"
)

// attemptKey identifies one attempt at a task.
type attemptKey struct {
	task    string
	attempt uint64
}

// attempt is one start of a task. Until there is evidence that it has ended, it counts against the
// free resources of its machine, its team's limit and the zones of its job, and its task is not
// started elsewhere.
type attempt struct {
	key       attemptKey
	job       *Job // the job of taskRange
	taskRange *taskRange
	claim     *shard
	taskIndex int // index in taskRange
	liveIndex int // index in its team's live attempts
	machine   *machine

	exited            bool // its end is known and its resources are released; the result may not be stored yet
	hasStartObjective bool // its class has a start objective

	attemptDelivery
	attemptProgress
	attemptStop
}

// attemptDelivery is what is known about the delivery of the start command to the worker.
type attemptDelivery struct {
	incarnation        uint64 // worker incarnation that the start was sent to
	afterHeartbeatSeq  uint64 // newest heartbeat of the worker when the start was sent, often in the response to it
	directCommandToken uint64 // token of the unanswered direct command that contains the start; 0: none
	observed           bool   // the worker has reported the attempt
	neverStarted       bool   // it ended, and there is evidence that it never started
}

// attemptProgress is the progress of an attempt and its expected duration.
type attemptProgress struct {
	running           bool
	adopted           bool // started under an earlier claim; runningSince is an estimate
	checkpointing     bool
	placedAt          int64 // wall-clock time, ms
	runningSince      int64 // wall-clock time, ms
	expectedRuntimeMS int64
	expectedFetchMS   int64
}

// attemptStop is the reason why an attempt must stop.
type attemptStop struct {
	evicted           bool // its stop was sent to drain its machine
	startedByCopy     bool // a late copy of its start command started it again
	reclaimed         bool // its resources are reclaimed for the guarantee of another team
	stopRequested     bool // it must stop because it is reclaimed, or preempted by a higher priority
	preemptorPriority Priority
}

func (a *attempt) compare(key attemptKey) int {
	return cmp.Or(strings.Compare(a.key.task, key.task), cmp.Compare(a.key.attempt, key.attempt))
}

// isStartUnanswered reports whether the start is in an unanswered direct command that a worker with
// this fencing token would still accept.
func (d *attemptDelivery) isStartUnanswered(token uint64) bool {
	return d.directCommandToken != 0 && d.directCommandToken >= token
}

// isDisprovedBy reports whether a heartbeat that does not report the attempt proves that the worker
// does not run it.
//
// A worker carries out or drops the commands of a heartbeat response before it sends the next
// heartbeat. A newer heartbeat without the attempt therefore disproves a start that was sent in a
// heartbeat response. The network may delay a direct command: only its response, a higher token or
// a new incarnation proves that it has no effect any more.
func (d *attemptDelivery) isDisprovedBy(hb *Heartbeat) bool {
	if d.isStartUnanswered(hb.Token) && d.incarnation == hb.Incarnation {
		return false
	}
	return d.incarnation < hb.Incarnation || d.afterHeartbeatSeq < hb.Seq
}

// expectedEnd is the wall-clock time, in milliseconds, at which the attempt is expected to end. An
// attempt that has exceeded its expected runtime is expected to run for another quarter of the time
// that it has taken. Otherwise the planner would repeatedly plan the tasks that wait for its
// resources as if they could start immediately.
func (p *attemptProgress) expectedEnd(wall int64) int64 {
	start := p.placedAt + p.expectedFetchMS
	if p.running {
		start = p.runningSince
	} else if wall > start {
		start = wall
	}
	end := start + p.expectedRuntimeMS
	if end <= wall {
		end = wall + (wall-start)/4 + 1
	}
	return end
}

// removeAllAttempts removes every attempt of a machine on which none of them can still run.
func (am *agentManager) removeAllAttempts(mc *machine) {
	for _, a := range slices.Backward(mc.byKey) {
		am.removeAttempt(mc, a)
	}
}

// removeAttempt removes an attempt and releases its resources once there is evidence that the
// attempt has ended. A loop that iterates backward over byKey may call it for the current attempt.
func (am *agentManager) removeAttempt(mc *machine, a *attempt) {
	mc.remove(a)
	if !a.exited && !a.neverStarted {
		am.recordLoss(a)
	}
	am.releaseResources(mc, a)
}

// recordLoss accounts for an attempt that ended without a report from the worker.
func (am *agentManager) recordLoss(a *attempt) {
	am.shards.failJobOnTaskLoss(a)
	if a.evicted {
		return
	}
	if a.running {
		am.rolloutCounts.Losses++
	}
	if account := a.claim.disruption.account; account != nil {
		account.RecordLoss(a.key.task, a.job.Team)
	}
}

// allocateResources adds an attempt to its machine and counts it against its machine, its team and
// the zones of its job.
func (am *agentManager) allocateResources(mc *machine, a *attempt) {
	s, team := a.claim, a.job.Team
	s.usage[team] = s.usage[team].Add(a.job.Request)
	a.liveIndex, a.machine, a.hasStartObjective = len(s.liveAttempts[team]), mc, am.hasStartObjective(a.job)
	s.liveAttempts[team] = append(s.liveAttempts[team], a)
	a.taskRange.assign(a.taskIndex)
	a.taskRange.attemptsByZone[mc.rec.Zone]++
	mc.add(a)
	mc.allocate(a.job.Request)
}

// releaseResources reverses the counts of allocateResources; repeated calls have no effect. The
// attempt may stay on its machine until its result is stored.
func (am *agentManager) releaseResources(mc *machine, a *attempt) {
	if a.exited {
		return
	}
	a.exited = true
	a.taskRange.unassign(a.taskIndex)
	a.taskRange.attemptsByZone[mc.rec.Zone]--
	if a.running {
		a.taskRange.runningCount--
	}
	a.claim.removeLiveAttempt(a)
	a.claim.dirty = true
	if a.reclaimed {
		reclaimedUsage := a.claim.reclaimedUsage
		reclaimedUsage[a.job.Team] = reclaimedUsage[a.job.Team].Sub(amountsOf(a.job.Request)).Max(quota.Amounts{})
	} else if a.stopRequested {
		am.placer.recordDebt(a.claim, a)
	}
	a.claim.spareCPUs += a.job.Request.CPUs
	mc.release(a.job.Request, am.now.MonotonicMS)
}

// removeLiveAttempt removes an attempt from its team's usage and live attempts. The last live
// attempt moves to the index of the removed one.
func (s *shard) removeLiveAttempt(a *attempt) {
	team := a.job.Team
	s.usage[team] = s.usage[team].Sub(a.job.Request)
	live := s.liveAttempts[team]
	last := len(live) - 1
	live[a.liveIndex] = live[last]
	live[a.liveIndex].liveIndex = a.liveIndex
	s.liveAttempts[team] = live[:last]
}
