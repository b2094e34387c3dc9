package scheduler_test

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/emulator"
	"github.com/grebedock/grebedock/internal/platformfake"
	"github.com/grebedock/grebedock/scheduler"
)

// unknownTaskSeeds is the number of seeds of TestTeamStaysWithinLimitBesideTasksOfCancelledJobs besides quotaSeeds. A
// run by hand can play more.
var unknownTaskSeeds = flag.Uint64("unknown-task-seeds", 8, "number of seeds of simulations with tasks of cancelled jobs")

// quotaSeeds are seeds with which teams exceeded their limits.
var quotaSeeds = []uint64{24, 168, 233}

// Times of the scenario in milliseconds. Members end together every restartIntervalMS.
const (
	limitFaultWindowMS  = 125_000
	limitScenarioEndMS  = 900_000
	restartIntervalMS   = 16_000
	partitionLeadMS     = 1000 // machines cannot report from this time before the end of the members
	cancelDelayMS       = 3700 // jobs are cancelled this time after the end of the members
	limitedTeam         = "t0"
	limitScenarioJobs   = 90
	limitedTaskCPUs     = 4
	partitionedShare    = 0.5 // of the machines
	cancelledShare      = 0.5 // of the limited team's jobs
	lateCommandsShare   = 0.8
	limitSimulationSeed = 60_000 // added to the scenario's seeds
)

// heartbeatTiming is a ratio of heartbeat interval, lease and time limit of cancellations, in seconds.
type heartbeatTiming struct{ heartbeatS, leaseS, cancelWithinS float64 }

var heartbeatTimings = map[string]heartbeatTiming{
	"long leases":  {3, 17.5, 42.5},
	"short leases": {0.8, 6, 20},
}

// limitRun is a simulation with the time that each cancelled job's tasks ran on.
type limitRun struct {
	*testSimulation
	ranOnMS map[string]int64 // by job ID: from the confirmed cancellation to the last time at which a task ran
}

// cancelSamplingMS is the interval at which tasks of cancelled jobs are looked for.
const cancelSamplingMS = 50

// observeCancelledJobs records how long the tasks of cancelled jobs run on.
func (run *limitRun) observeCancelledJobs() {
	run.EachTask(func(_ *emulator.Worker, t *platformfake.Task) {
		if j := run.Jobs[t.Job.ID]; j.CancelConfirmedAt > 0 {
			run.ranOnMS[t.Job.ID] = run.Now - j.CancelConfirmedAt
		}
	})
	run.After(cancelSamplingMS, run.observeCancelledJobs)
}

// runRestartsWithCancelledJobs plays a team at its limit beside one without a limit. All members end again and again
// while half of the machines cannot report, and jobs are cancelled before these machines report again.
func runRestartsWithCancelledJobs(seed uint64, timing heartbeatTiming) *limitRun {
	params := newParams(0)
	limit := []float64{50, 70, 105}[seed%3]
	params.Teams = map[string]scheduler.Team{limitedTeam: {MaxCPUs: limit}, "t1": {}}
	params.HeartbeatS, params.LeaseS, params.CancelWithinS = timing.heartbeatS, timing.leaseS, timing.cancelWithinS
	size := simScale{members: 3, capacityPerOffering: 12, maxTasks: 12}
	sim := &limitRun{ranOnMS: map[string]int64{}}
	sim.testSimulation = &testSimulation{size: size, noRandomFaults: true, adjustJob: adjustLimitedJob}
	sim.Simulation = emulator.New(emulator.Options{
		Seed:                limitSimulationSeed + seed,
		Members:             size.members,
		Types:               simTypes,
		CapacityPerOffering: size.capacityPerOffering,
		Params:              params,
		MessageLoss:         0.002,
		TaskRunMS:           taskRunsFor(10_000, 40_000),
	})
	sim.TraceEnabled = *traceSeed == int(seed)
	sim.After(1, func() { sim.DelayCommands(lateCommandsShare, limitFaultWindowMS) })
	sim.After(1, sim.observeCancelledJobs)
	for at := int64(restartIntervalMS); at < limitFaultWindowMS; at += restartIntervalMS {
		sim.restartWithCancelledJobs(at)
	}
	sim.runScenario(limitFaultWindowMS, limitScenarioEndMS, limitScenarioJobs)
	return sim
}

// adjustLimitedJob makes most jobs urgent, with tasks of one size and without constraints on placement.
func adjustLimitedJob(j *scheduler.Job, n int) {
	j.OneZone, j.Spread, j.Zone, j.AtMostOnce, j.MaxTaskErrors = false, false, "", false, 0
	j.CheckpointIntervalS, j.CheckpointDurationS, j.Spot = 0, 0, true
	j.Request = availability.Resources{CPUs: limitedTaskCPUs, MemoryGB: 8, DiskGB: 1}
	j.Tasks, j.EstimateS = 3+n%9, 10
	if n%5 > 0 {
		j.Class, j.Priority, j.DeadlineS = "quick", scheduler.High, 60
	}
}

// restartWithCancelledJobs ends all members at a time, and cancels jobs of the limited team after they are back.
func (sim *testSimulation) restartWithCancelledJobs(at int64) {
	sim.After(at-partitionLeadMS, func() {
		sim.SampleLiveWorkers(partitionedShare, func(worker *emulator.Worker) {
			sim.PartitionOutbound(worker, sim.randomBetween(5000, 8000))
		})
	})
	sim.After(at, func() {
		for _, m := range sim.Members {
			m.Crash(sim.randomBetween(1500, 3000))
		}
	})
	sim.After(at+cancelDelayMS, func() {
		for _, id := range sim.JobIDs {
			j := sim.Jobs[id]
			isOpen := j.Accepted && !j.CancelRequested && !j.ObservedState.IsTerminal()
			if isOpen && j.Spec.Team == limitedTeam && sim.Rand.Float64() < cancelledShare {
				sim.CancelJob(j)
			}
		}
	})
}

// limitScenarioSeeds returns the seeds to play.
func limitScenarioSeeds() []uint64 {
	seeds := slices.Clone(quotaSeeds)
	for seed := range *unknownTaskSeeds {
		if !slices.Contains(quotaSeeds, seed) {
			seeds = append(seeds, seed)
		}
	}
	return seeds
}

// Guards against quota: starts beside tasks of cancelled jobs, which the members do not count, after all members end.
func TestTeamStaysWithinLimitBesideTasksOfCancelledJobs(t *testing.T) {
	for name, timing := range heartbeatTimings {
		t.Run(strings.ReplaceAll(name, " ", "_"), func(t *testing.T) {
			var mutex sync.Mutex
			var ranOnMS []int64
			t.Cleanup(func() { checkOccurrences(t, ranOnMS) })
			for _, seed := range limitScenarioSeeds() {
				t.Run(fmt.Sprint(seed), func(t *testing.T) {
					t.Parallel()
					run := runRestartsWithCancelledJobs(seed, timing)
					run.checkInvariants(t)
					mutex.Lock()
					defer mutex.Unlock()
					ranOnMS = append(ranOnMS, slices.Collect(maps.Values(run.ranOnMS))...)
				})
			}
		})
	}
}

// checkOccurrences requires that tasks of enough cancelled jobs ran on for longer than a report takes, and logs how
// long they ran on.
func checkOccurrences(t *testing.T, ranOnMS []int64) {
	t.Helper()
	if len(ranOnMS) == 0 {
		return // a single seed of another timing is played
	}
	slices.Sort(ranOnMS)
	late, _ := slices.BinarySearch(ranOnMS, 1000)
	occurrences, sum := len(ranOnMS)-late, int64(0)
	for _, ms := range ranOnMS {
		sum += ms
	}
	t.Logf("%d cancelled jobs with tasks that ran on, %d for over a second; mean %d ms, p50 %d, p90 %d, longest %d",
		len(ranOnMS), occurrences, sum/int64(len(ranOnMS)), ranOnMS[len(ranOnMS)/2], ranOnMS[len(ranOnMS)*9/10],
		ranOnMS[len(ranOnMS)-1])
	if *traceSeed < 0 && occurrences < len(quotaSeeds) {
		t.Errorf("tasks of %d cancelled jobs ran on for over a second, want at least %d", occurrences, len(quotaSeeds))
	}
}
