package scheduler

import (
	"cmp"
	"slices"
	"strings"

	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/quota"
)

// attemptKey names one attempt at a task.
type attemptKey struct {
	task    string
	attempt uint64
}

func (a *attempt) compare(key attemptKey) int {
	return cmp.Or(strings.Compare(a.key.task, key.task), cmp.Compare(a.key.attempt, key.attempt))
}

// attempt is a start that is not known to be over. Until then it counts: for
// its machine's room, its team's limit and its job's zones, and its task is
// started nowhere else.
type attempt struct {
	key       attemptKey
	job       *Job // of its work
	taskRange *taskRange
	claim     *shard
	taskIndex int // in work
	liveIndex int // in its team's live attempts
	shardName string
	machine   *machine

	incarnation        uint64
	afterHeartbeatSeq  uint64 // the start rode in the answer to this report
	directCommandToken uint64 // the start went straight to the worker, with this token, and was not answered yet
	observed           bool
	running            bool
	adopted            bool // started under an earlier claim: when it began to run is a guess
	exited             bool
	placedAt           int64 // time of day
	runningSince       int64
	expectedRuntimeMS  int64 // expected run time
	expectedFetchMS    int64 // expected fetch time
	checkpointing      bool
	neverStarted       bool // ended, and there is evidence that it never began

	evicted           bool // told to stop, for its machine to be emptied
	hasStartObjective bool // its class has a start aim
	reclaimed         bool // to be stopped for another team's guarantee
	stopRequested     bool // to be stopped, for that or for a higher priority
	preemptorPriority Priority
}

// expectedEnd is when the attempt is expected to end. One that overran is expected to
// go on for a share of what it took so far: a queue behind it must not be told
// that it ends now, again and again.
func (a *attempt) expectedEnd(wall int64) int64 {
	start := a.placedAt + a.expectedFetchMS
	if a.running {
		start = a.runningSince
	} else if wall > start {
		start = wall
	}
	end := start + a.expectedRuntimeMS
	if end <= wall {
		end = wall + (wall-start)/4 + 1
	}
	return end
}

// removeAttempt frees what an attempt held, once there is evidence that it is over.
func (am *agentManager) removeAttempt(mc *machine, a *attempt) {
	delete(mc.attempts, a.key)
	// A loop that goes backward over byKey may call this for the attempt it is at.
	if at, ok := slices.BinarySearchFunc(mc.byKey, a.key, (*attempt).compare); ok {
		mc.byKey = slices.Delete(mc.byKey, at, at+1)
	}
	if !a.exited && !a.neverStarted {
		am.shards.failJobOnTaskLoss(a)
		if a.running && !a.evicted {
			am.rolloutCounts.Losses++
		}
		if account := a.claim.disruption.account; account != nil && !a.evicted {
			account.RecordLoss(a.key.task, a.job.Team)
		}
	}
	am.releaseResources(mc, a)
}

// allocateResources counts an attempt: for its machine, its team, its job's zones.
func (am *agentManager) allocateResources(mc *machine, a *attempt) {
	s, team := a.claim, a.job.Team
	s.usage[team] = s.usage[team].Add(a.job.Request)
	a.liveIndex, a.machine, a.hasStartObjective = len(s.liveAttempts[team]), mc, am.hasStartObjective(a.job)
	s.liveAttempts[team] = append(s.liveAttempts[team], a)
	a.taskRange.assign(a.taskIndex)
	a.taskRange.attemptsByZone[mc.rec.Zone]++
	if mc.attempts == nil {
		// Most machines of the mirror are other members', which run nothing here.
		mc.attempts = map[attemptKey]*attempt{}
	}
	mc.attempts[a.key] = a
	if at, ok := slices.BinarySearchFunc(mc.byKey, a.key, (*attempt).compare); ok {
		mc.byKey[at] = a
	} else {
		mc.byKey = slices.Insert(mc.byKey, at, a)
	}
	mc.liveAttemptCount++
	mc.usage = mc.usage.Add(a.job.Request)
}

// releaseResources takes back what begin counted, once. The attempt may stay on its machine
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
	s, team := a.claim, a.job.Team
	s.usage[team] = s.usage[team].Sub(a.job.Request)
	last := len(s.liveAttempts[team]) - 1
	s.liveAttempts[team][a.liveIndex] = s.liveAttempts[team][last]
	s.liveAttempts[team][a.liveIndex].liveIndex = a.liveIndex
	s.liveAttempts[team] = s.liveAttempts[team][:last]
	s.dirty = true
	if a.reclaimed {
		reclaimedUsage := a.claim.reclaimedUsage
		reclaimedUsage[a.job.Team] = reclaimedUsage[a.job.Team].Sub(amountsOf(a.job.Request)).Max(quota.Amounts{})
	} else if a.stopRequested {
		am.placer.recordDebt(a.claim, a)
	}
	a.claim.spareCPUs += a.job.Request.CPUs
	mc.liveAttemptCount--
	mc.usage = mc.usage.Sub(a.job.Request)
	if mc.liveAttemptCount == 0 {
		mc.usage = availability.Resources{}
		mc.idleSince = am.now.MonotonicMS
	}
}
