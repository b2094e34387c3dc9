package scheduler

import (
	"cmp"
	"slices"
	"strings"

	"github.com/grebedock/grebedock/quota"
)

// attemptKey names one attempt at a task.
type attemptKey struct {
	task    string
	attempt uint64
}

// attempt is a start that is not known to be over. Until then it counts: for its machine's room, its team's
// limit and its job's zones, and its task is started nowhere else.
type attempt struct {
	key       attemptKey
	job       *Job // of its range
	taskRange *taskRange
	claim     *shard
	taskIndex int // in taskRange
	liveIndex int // in its team's live attempts
	machine   *machine

	exited            bool // its end was reported; the result may not be stored yet
	hasStartObjective bool // its class has a start objective

	attemptDelivery
	attemptProgress
	attemptStop
}

// attemptDelivery is what is known of how the start came to the worker.
type attemptDelivery struct {
	incarnation        uint64 // of the worker that it was sent to
	afterHeartbeatSeq  uint64 // the start went with the answer to this heartbeat
	directCommandToken uint64 // the start went as a direct command, with this token, and is unanswered; 0: none
	observed           bool   // a heartbeat named it
	neverStarted       bool   // ended, and there is evidence that it never began
}

// attemptProgress is how far an attempt is, and how long it is expected to go on.
type attemptProgress struct {
	running           bool
	adopted           bool // started under an earlier claim: when it began to run is a guess
	checkpointing     bool
	placedAt          int64 // wall time, ms
	runningSince      int64 // wall time, ms
	expectedRuntimeMS int64
	expectedFetchMS   int64
}

// attemptStop is why an attempt is to be stopped.
type attemptStop struct {
	evicted           bool // its stop was sent, for its machine to be emptied
	reclaimed         bool // for another team's guarantee
	stopRequested     bool // for that, or for a higher priority
	preemptorPriority Priority
}

func (a *attempt) compare(key attemptKey) int {
	return cmp.Or(strings.Compare(a.key.task, key.task), cmp.Compare(a.key.attempt, key.attempt))
}

// isStartUnanswered reports whether the start may still reach the worker as a direct command, though the
// worker knows the token.
func (d *attemptDelivery) isStartUnanswered(token uint64) bool {
	return d.directCommandToken != 0 && d.directCommandToken >= token
}

// isDisprovedBy reports whether a heartbeat that does not name the attempt proves that there is none.
//
// A start goes with a heartbeat's answer, which the worker has carried out or dropped before it sends the
// next one: a newer heartbeat without the attempt is proof. A direct command may be held by the network:
// only its answer, a higher token or a new incarnation settles it.
func (d *attemptDelivery) isDisprovedBy(hb *Heartbeat) bool {
	if d.isStartUnanswered(hb.Token) && d.incarnation == hb.Incarnation {
		return false
	}
	return d.incarnation < hb.Incarnation || d.afterHeartbeatSeq < hb.Seq
}

// expectedEnd is when the attempt is expected to end, in wall time. One that overran is expected to go on
// for a share of what it took so far: what waits behind it must not be planned for now again and again.
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

// removeAllAttempts removes every attempt of a machine on which nothing of them can run any more.
func (am *agentManager) removeAllAttempts(mc *machine) {
	for _, a := range slices.Backward(mc.byKey) {
		am.removeAttempt(mc, a)
	}
}

// removeAttempt frees what an attempt took, once there is evidence that it is over. A loop that goes
// backward over byKey may call this for the attempt that it is at.
func (am *agentManager) removeAttempt(mc *machine, a *attempt) {
	mc.remove(a)
	if !a.exited && !a.neverStarted {
		am.recordLoss(a)
	}
	am.releaseResources(mc, a)
}

// recordLoss accounts for an attempt that is over though the worker did not report its end.
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

// allocateResources counts an attempt: for its machine, its team and its job's zones.
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

// releaseResources takes back, once, what allocateResources counted. The attempt may stay on its machine
// until its result is stored.
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

// removeLiveAttempt takes an attempt off its team's usage and live attempts; the last of these takes its place.
func (s *shard) removeLiveAttempt(a *attempt) {
	team := a.job.Team
	s.usage[team] = s.usage[team].Sub(a.job.Request)
	live := s.liveAttempts[team]
	last := len(live) - 1
	live[a.liveIndex] = live[last]
	live[a.liveIndex].liveIndex = a.liveIndex
	s.liveAttempts[team] = live[:last]
}
