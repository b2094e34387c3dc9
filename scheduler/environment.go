package scheduler

import (
	"math/rand/v2"
	"slices"

	"github.com/grebedock/grebedock/rollout"
)

// environment is what all owners of state share: the member's parameters, the
// time of the current input, the random numbers, and where outputs go. It holds
// no state of the cluster.
type environment struct {
	params        Params
	rng           *rand.Rand
	now           Now // of the current input
	outputs       Outputs
	startedAtMS   int64 // monotonic time
	lastRequestID uint64

	Counters      Counters
	rolloutCounts rollout.HealthCounts // input of the rollouts' health gates, counted at this member
}

func newEnvironment(params Params, seed uint64, now Now) *environment {
	return &environment{
		params:      params,
		rng:         rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
		now:         now,
		startedAtMS: now.MonotonicMS,
	}
}

// log appends a log line to the outputs. args are keys and values in turn.
func (env *environment) log(level LogLevel, text string, args ...any) {
	if level == Debug && !env.params.Debug {
		return
	}
	env.outputs.Logs = append(env.outputs.Logs, LogLine{level, text, args})
}

// memberIDs lists all members, sorted.
func (env *environment) memberIDs() []string {
	return env.params.MemberIDs()
}

// stopDelay is how many milliseconds pass from a stop until the task's resources can be
// used. The command goes straight to the worker, which reports the end soon after.
// Estimated as two heartbeat intervals, so many tasks were about to end by themselves
// that nothing was stopped for half of the time that a guarantee promises.
func (env *environment) stopDelay(j *Job) int64 {
	return env.maxHeartbeatIntervalMS()/2 + secondsToMS(j.CheckpointDurationS)
}

// maxHeartbeatIntervalMS is the longest time between two heartbeats of a healthy machine.
func (env *environment) maxHeartbeatIntervalMS() int64 {
	return secondsToMS(env.params.HeartbeatS*1.25) + 500
}

// isUrgent reports whether a start should not wait for the machine's next heartbeat:
// half an interval is long against the start objective of its class or against the
// task's own runtime.
func (env *environment) isUrgent(p plannedStart) bool {
	meanDelay := secondsToMS(env.params.HeartbeatS) / 2
	for _, o := range env.params.Objectives[p.taskRange.job.rec.Job.Class] {
		if o.Kind == startObjective && meanDelay*10 > secondsToMS(o.WithinS) {
			return true
		}
	}
	return meanDelay*50 > p.runtimeMS
}

// maxChangesPerBackgroundTxn bounds the changes of a background transaction, so that it
// does not use up the member's share of the store's rate at once.
func (env *environment) maxChangesPerBackgroundTxn() int { return max(1, env.params.MaxTxnOps/4) }

// maxMachinesPerPage bounds the machines of one registry record to half a value of the
// store; a name takes up to about twenty bytes.
func (env *environment) maxMachinesPerPage() int { return max(1, env.params.MaxValueBytes/2/24) }

// maxRangeTasks bounds the tasks of one range, so that its progress fits half a
// value: a bitmap in base64 takes a sixth of a byte per task.
func (env *environment) maxRangeTasks() int { return max(64, env.params.MaxValueBytes/2*6) }

// maxJobRanges bounds the ranges of a job's record to a quarter of a value; a range
// takes about fifty bytes.
func (env *environment) maxJobRanges() int { return max(8, env.params.MaxValueBytes/4/50) }

// objectiveDeadlines are the times of day, in milliseconds and sorted, by which the
// job's deadline and the objectives of its class want it done.
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

// hasStartObjective reports whether a job's class has a start objective of its own.
func (env *environment) hasStartObjective(j *Job) bool {
	isStartObjective := func(o Objective) bool { return o.Kind == startObjective }
	return slices.ContainsFunc(env.params.Objectives[j.Class], isStartObjective)
}

// maxOpenCharges bounds the open charges against a shard's disruption budgets, so that
// their record fits half a value.
func (env *environment) maxOpenCharges() int { return max(16, env.params.MaxValueBytes/2/80) }

// progressWriteInterval is how many milliseconds progress may stay unwritten: a worker
// keeps a result until it is stored, so only the loss of the machine costs it.
func (env *environment) progressWriteInterval() int64 {
	return max(secondsToMS(env.params.HeartbeatS), 1500)
}

// planInterval is how many milliseconds after the last plan the next one may run, by
// the cost of the last one and the member's share of processor time.
func (env *environment) planInterval(s *shard) float64 {
	interval := float64(s.planSteps) * planStepCostMS / planningCPUShare
	if env.params.CPUShare > 0 {
		interval /= env.params.CPUShare
	}
	return interval
}
