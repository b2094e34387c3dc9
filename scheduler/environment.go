package scheduler

import (
	"math/rand/v2"
	"slices"

	"github.com/grebedock/grebedock/rollout"
)

// environment is what all owners of state share: the settings of the member, the
// time and the random numbers of the present input, and where outputs go. It
// holds no state of the cluster.
type environment struct {
	params        Params
	rng           *rand.Rand
	now           Now // of the present input
	outputs       Outputs
	startedAtMS   int64 // monotonic
	lastRequestID uint64

	Counters      Counters
	rolloutCounts rollout.HealthCounts // what the health gates of rollouts count at this member
}

func newEnvironment(params Params, seed uint64, now Now) *environment {
	return &environment{
		params:      params,
		rng:         rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
		now:         now,
		startedAtMS: now.MonotonicMS,
	}
}

func (env *environment) log(level LogLevel, text string, args ...any) {
	if level == Debug && !env.params.Debug {
		return
	}
	env.outputs.Logs = append(env.outputs.Logs, LogLine{level, text, args})
}

// memberIDs lists all members in order.
func (env *environment) memberIDs() []string {
	return env.params.MemberIDs()
}

// stopDelay is how long a stop takes until its room can be used. It goes straight to the
// worker, which tells of its end soon after: counted as for two reports, so many tasks
// were about to end by themselves that nothing was stopped for half of the time that a
// guarantee promises.
func (env *environment) stopDelay(j *Job) int64 {
	return env.maxHeartbeatIntervalMS()/2 + secondsToMS(j.CheckpointDurationS)
}

// maxHeartbeatIntervalMS is the longest time between two reports of a machine that is well.
func (env *environment) maxHeartbeatIntervalMS() int64 {
	return secondsToMS(env.params.HeartbeatS*1.25) + 500
}

// isUrgent tells whether a start should not wait for the machine's next report:
// half an interval is much against the start aim of its class or against the
// task's own length.
func (env *environment) isUrgent(p plannedStart) bool {
	meanDelay := secondsToMS(env.params.HeartbeatS) / 2
	for _, o := range env.params.Objectives[p.taskRange.job.rec.Job.Class] {
		if o.Kind == "wait" && meanDelay*10 > secondsToMS(o.WithinS) {
			return true
		}
	}
	return meanDelay*50 > p.runtimeMS
}

// maxChangesPerBackgroundTxn bounds the changes of one transaction that is not urgent, so
// that it does not use up a member's part of the store's rate at once.
func (env *environment) maxChangesPerBackgroundTxn() int { return max(1, env.params.MaxTxnOps/4) }

// maxMachinesPerPage bounds the machines of a roster, by the bytes that a value takes;
// names take up to some twenty of them.
func (env *environment) maxMachinesPerPage() int { return max(1, env.params.MaxValueBytes/2/24) }

// maxRangeTasks bounds the tasks of one range, so that its progress fits half a
// value: a bitmap in base64 takes a sixth of a byte a task.
func (env *environment) maxRangeTasks() int { return max(64, env.params.MaxValueBytes/2*6) }

// maxJobRanges bounds the ranges of a job's record, a record of some fifty
// bytes each in a quarter of a value.
func (env *environment) maxJobRanges() int { return max(8, env.params.MaxValueBytes/4/50) }

// objectiveDeadlines are the times by which it counts that a job is done, in order.
func (env *environment) objectiveDeadlines(j *Job, accepted int64) []int64 {
	var deadlines []int64
	if j.DeadlineS > 0 {
		deadlines = append(deadlines, accepted+secondsToMS(j.DeadlineS))
	}
	for _, o := range env.params.Objectives[j.Class] {
		switch o.Kind {
		case "deadline":
			if j.DeadlineS > 0 && o.DeadlineFactor > 1 {
				deadlines = append(deadlines, accepted+secondsToMS(j.DeadlineS*o.DeadlineFactor))
			}
		case "finished":
			deadlines = append(deadlines, accepted+secondsToMS(o.WithinS))
		}
	}
	slices.Sort(deadlines)
	return deadlines
}

// hasStartObjective tells whether a job's class has a start aim of its own.
func (env *environment) hasStartObjective(j *Job) bool {
	return slices.ContainsFunc(env.params.Objectives[j.Class], func(o Objective) bool { return o.Kind == "wait" })
}

// maxOpenCharges bounds the charges of a shard that are open, within half a value.
func (env *environment) maxOpenCharges() int { return max(16, env.params.MaxValueBytes/2/80) }

// progressWriteInterval is how long progress may stay unwritten: a result is kept by
// its machine until it is stored, so only a machine's loss costs it.
func (env *environment) progressWriteInterval() int64 {
	return max(secondsToMS(env.params.HeartbeatS), 1500)
}

// planInterval is how long the last plan's cost asks to wait for the next one, in
// milliseconds.
func (env *environment) planInterval(s *shard) float64 {
	interval := float64(s.planSteps) * planStepCostMS / planningCPUShare
	if env.params.CPUShare > 0 {
		interval /= env.params.CPUShare
	}
	return interval
}
