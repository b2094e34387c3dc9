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

// unknownTaskSeeds is the number of seeds of the tests in this file besides quotaSeeds. A run by hand can play more.
var unknownTaskSeeds = flag.Uint64("unknown-task-seeds", 8, "number of seeds with tasks of cancelled jobs")

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
	lostShare           = 0.1    // of responses of the state service that are lost, and of heartbeats that arrive again
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
	ranOnMS       map[string]int64 // by job ID: from the confirmed cancellation to the last time at which a task ran
	refusedStarts int              // for lack of resources
}

// countRefusedStarts counts the starts that workers refuse for lack of resources.
func (run *limitRun) countRefusedStarts() {
	run.observeLogs(func(_ *emulator.Member, line scheduler.LogLine) {
		if line.Message == "start refused" && slices.Contains(line.Args, any("no_room")) {
			run.refusedStarts++
		}
	})
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

// limitScenario is the teams of a simulation, and its faults besides ends of all members.
type limitScenario struct {
	teams          map[string]scheduler.Team
	cancelledTeams []string // whose jobs are cancelled while machines cannot report
	adjustJob      func(*scheduler.Job, int)
	inject         func(*limitRun)
}

// limitedBesideUnlimited is a team at its limit next to one without a limit, whose starts do not wait for it.
func limitedBesideUnlimited(seed uint64) limitScenario {
	limit := []float64{50, 70, 105}[seed%3]
	return limitScenario{
		teams:          map[string]scheduler.Team{limitedTeam: {MaxCPUs: limit}, "t1": {}},
		cancelledTeams: []string{limitedTeam},
		adjustJob:      adjustLimitedJob,
		inject:         func(run *limitRun) { run.DelayCommands(lateCommandsShare, limitFaultWindowMS) },
	}
}

// allTeamsLimited has three teams, each at its limit. Commands and reports are late, and responses are lost.
func allTeamsLimited(seed uint64) limitScenario {
	limit := []float64{50, 70, 105}[seed%3]
	teams := equalTeams(3, scheduler.Team{MaxCPUs: limit})
	return limitScenario{
		teams:          teams,
		cancelledTeams: slices.Sorted(maps.Keys(teams)),
		adjustJob: func(j *scheduler.Job, n int) {
			adjustLimitedJob(j, n)
			j.Team = fmt.Sprintf("t%d", n%len(teams))
		},
		inject: func(run *limitRun) {
			run.DelayCommands(lateCommandsShare/2, limitFaultWindowMS)
			run.DuplicateCommands(lateCommandsShare/2, limitFaultWindowMS)
			run.ReplayHeartbeats(lostShare, limitFaultWindowMS)
			run.LoseResponses(lostShare, limitFaultWindowMS)
			run.MessageLoss = lostShare / 4
		},
	}
}

// runRestartsWithCancelledJobs plays a scenario in which all members end again and again while half of the machines
// cannot report, and jobs are cancelled before these machines report again.
func runRestartsWithCancelledJobs(seed uint64, timing heartbeatTiming, scenario limitScenario) *limitRun {
	params := newParams(0)
	params.Teams = scenario.teams
	params.HeartbeatS, params.LeaseS, params.CancelWithinS = timing.heartbeatS, timing.leaseS, timing.cancelWithinS
	size := simScale{members: 3, capacityPerOffering: 12, maxTasks: 12}
	sim := &limitRun{ranOnMS: map[string]int64{}}
	sim.testSimulation = &testSimulation{size: size, noRandomFaults: true, adjustJob: scenario.adjustJob}
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
	sim.After(1, func() { scenario.inject(sim) })
	sim.After(1, sim.observeCancelledJobs)
	sim.countRefusedStarts()
	for at := int64(restartIntervalMS); at < limitFaultWindowMS; at += restartIntervalMS {
		sim.restartWithCancelledJobs(at, scenario.cancelledTeams)
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

// restartWithCancelledJobs ends all members at a time, and cancels jobs of the given teams after they are back.
func (sim *testSimulation) restartWithCancelledJobs(at int64, teams []string) {
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
			if isOpen && slices.Contains(teams, j.Spec.Team) && sim.Rand.Float64() < cancelledShare {
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

// Guards against quota: starts next to tasks of cancelled jobs, which the members do not count, after all members end.
func TestTeamStaysWithinLimitBesideTasksOfCancelledJobs(t *testing.T) {
	playLimitScenarios(t, limitScenarioSeeds(), limitedBesideUnlimited)
}

// Guards against quota: every team is at its limit, and jobs of all are cancelled, while members end together.
func TestTeamsStayWithinLimitsWhileMembersEndTogether(t *testing.T) {
	playLimitScenarios(t, limitScenarioSeeds(), allTeamsLimited)
}

// playLimitScenarios plays a scenario with each timing and seed.
func playLimitScenarios(t *testing.T, seeds []uint64, scenario func(seed uint64) limitScenario) {
	t.Helper()
	for name, timing := range heartbeatTimings {
		t.Run(strings.ReplaceAll(name, " ", "_"), func(t *testing.T) {
			var mutex sync.Mutex
			var ranOnMS []int64
			refusedStarts := 0
			t.Cleanup(func() {
				t.Logf("%d starts refused for lack of resources", refusedStarts)
				checkOccurrences(t, ranOnMS)
			})
			for _, seed := range seeds {
				t.Run(fmt.Sprint(seed), func(t *testing.T) {
					t.Parallel()
					run := runRestartsWithCancelledJobs(seed, timing, scenario(seed))
					run.checkInvariants(t)
					mutex.Lock()
					defer mutex.Unlock()
					ranOnMS = append(ranOnMS, slices.Collect(maps.Values(run.ranOnMS))...)
					refusedStarts += run.refusedStarts
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
