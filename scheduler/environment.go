package scheduler

import (
	"math/rand/v2"
	"slices"

	"github.com/grebedock/grebedock/rollout"
)

// environment is shared by all components of a Controller: the member's parameters, the
// time of the current input, the random number generator, and the pending outputs. It
// contains no cluster state.
type environment struct {
	params        Params
	rng           *rand.Rand
	now           Now // time of the current input
	outputs       Outputs
	startedAtMS   int64 // monotonic time
	lastRequestID uint64

	Counters      Counters
	rolloutCounts rollout.HealthCounts // this member's input to the rollouts' health gates
}

func newEnvironment(params Params, seed uint64, now Now) *environment {
	return &environment{
		params:      params,
		rng:         rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
		now:         now,
		startedAtMS: now.MonotonicMS,
	}
}

// isDebugLogged reports whether debug lines are logged. Code that logs often calls it before it builds the attributes.
func (env *environment) isDebugLogged() bool { return env.params.Debug }

// log appends a log line to the outputs. args are alternating keys and values.
func (env *environment) log(level LogLevel, text string, args ...any) {
	if level == Debug && !env.params.Debug {
		return
	}
	env.outputs.Logs = append(env.outputs.Logs, LogLine{level, text, args})
}

// memberIDs returns the IDs of all members, sorted.
func (env *environment) memberIDs() []string {
	return env.params.MemberIDs()
}

// stopDelay returns the estimated time in milliseconds from sending a stop command until
// the task's resources are free. The member sends the command directly to the worker,
// which reports the exit soon afterwards. With an estimate of two heartbeat intervals, so
// many tasks were expected to exit on their own that no task was stopped for half of the
// time within which a guarantee must be met.
func (env *environment) stopDelay(j *Job) int64 {
	return env.maxHeartbeatIntervalMS()/2 + secondsToMS(j.CheckpointDurationS)
}

// maxHeartbeatIntervalMS returns the longest time between two heartbeats of a healthy machine.
func (env *environment) maxHeartbeatIntervalMS() int64 {
	return secondsToMS(env.params.HeartbeatS*1.25) + 500
}

// isUrgent reports whether a start should be sent without waiting for the machine's next
// heartbeat. It is urgent if the mean wait of half a heartbeat interval exceeds a tenth
// of the start objective of the job's class, or 2 % of the task's own runtime.
func (env *environment) isUrgent(p plannedStart) bool {
	meanDelay := secondsToMS(env.params.HeartbeatS) / 2
	for _, o := range env.params.Objectives[p.taskRange.job.rec.Job.Class] {
		if o.Kind == startObjective && meanDelay*10 > secondsToMS(o.WithinS) {
			return true
		}
	}
	return meanDelay*50 > p.runtimeMS
}

// maxChangesPerBackgroundTxn limits the changes in a background transaction, so that one
// transaction does not exhaust the member's share of the state service's rate limit.
func (env *environment) maxChangesPerBackgroundTxn() int { return max(1, env.params.MaxTxnOps/4) }

// maxMachinesPerPage limits the machines in one registry page so that the record takes
// at most half of the maximum value size. A machine ID takes up to about 20 bytes.
func (env *environment) maxMachinesPerPage() int { return max(1, env.params.MaxValueBytes/2/24) }

// maxRangeTasks limits the tasks in one range so that its progress takes at most half of
// the maximum value size. A base64-encoded bitmap takes one sixth of a byte per task.
func (env *environment) maxRangeTasks() int { return max(64, env.params.MaxValueBytes/2*6) }

// maxJobRanges limits the ranges in a job's record to a quarter of the maximum value
// size. A range takes about 50 bytes.
func (env *environment) maxJobRanges() int { return max(8, env.params.MaxValueBytes/4/50) }

// objectiveDeadlines returns the deadlines that the job's own deadline and the objectives
// of its class set for its completion. They are sorted wall-clock times in milliseconds.
func (env *environment) objectiveDeadlines(j *Job, accepted int64) []int64 {
	var deadlines []int64
	if j.DeadlineS > 0 {
		deadlines = append(deadlines, accepted+secondsToMS(j.DeadlineS))
	}
	for _, o := range env.params.Objectives[j.Class] {
		switch o.Kind {
		case deadlineObjective:
			if j.DeadlineS > 0 && o.DeadlineFactor > 1 {
				deadlines = append(deadlines, accepted+secondsToMS(j.DeadlineS*o.DeadlineFactor))
			}
		case finishObjective:
			deadlines = append(deadlines, accepted+secondsToMS(o.WithinS))
		}
	}
	slices.Sort(deadlines)
	return deadlines
}

// hasStartObjective reports whether the objectives of the job's class include a start objective.
func (env *environment) hasStartObjective(j *Job) bool {
	isStartObjective := func(o Objective) bool { return o.Kind == startObjective }
	return slices.ContainsFunc(env.params.Objectives[j.Class], isStartObjective)
}

// maxEvictionReservations limits the reserved evictions of a shard so that their record takes at
// most half of the maximum value size.
func (env *environment) maxEvictionReservations() int { return max(16, env.params.MaxValueBytes/2/80) }

// progressWriteInterval returns how long progress may remain unwritten, in milliseconds. A
// worker keeps each result until it is stored, so an unwritten result is lost only if the
// machine is lost.
func (env *environment) progressWriteInterval() int64 {
	return max(secondsToMS(env.params.HeartbeatS), 1500)
}

// planInterval returns the minimum time in milliseconds between the last plan of a shard
// and the next one. It follows from the cost of the last plan and the member's CPU share.
func (env *environment) planInterval(s *shard) float64 {
	interval := float64(s.planSteps) * planStepCostMS / planningCPUShare
	if env.params.CPUShare > 0 {
		interval /= env.params.CPUShare
	}
	return interval
}
