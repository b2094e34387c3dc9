package scheduler_test

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"sync/atomic"
	"testing"

	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/emulator"
	"github.com/grebedock/grebedock/scheduler"
)

// unknownTaskSeeds is the number of seeds of the tests in this file besides quotaSeeds. A run by hand can play more.
var unknownTaskSeeds = flag.Uint64("unknown-task-seeds", 8, "number of seeds with tasks of cancelled jobs")

// quotaSeeds are seeds with which teams exceeded their limits.
var quotaSeeds = []uint64{24, 168, 233}

// Times of the scenario in milliseconds. Members end together every restartIntervalMS.
const (
	limitFaultWindowMS       = 125_000
	limitScenarioEndMS       = 900_000
	restartIntervalMS        = 16_000
	partitionBeforeRestartMS = 1000 // machines cannot report from this time before the end of the members
	cancelDelayMS            = 3700 // jobs are cancelled this time after the end of the members
	limitedTeam              = "t0"
	limitScenarioJobs        = 90
	limitedTaskCPUs          = 4
	partitionedShare         = 0.5
	cancelledShare           = 0.5
	lateCommandsShare        = 0.8
	lostShare                = 0.1
	limitSimulationSeed      = 60_000 // is added to the scenario's seeds
)

// heartbeatTiming is a ratio of heartbeat interval, lease and time limit of cancellations, in seconds.
type heartbeatTiming struct{ heartbeatS, leaseS, cancelWithinS float64 }

var heartbeatTimings = map[string]heartbeatTiming{
	"long_leases":  {3, 17.5, 42.5},
	"short_leases": {0.8, 6, 20},
}

// limitRun is a simulation with counts of what its members log.
type limitRun struct {
	*testSimulation
	unknownTasks    int // tasks without a job in the first reports to new claims
	refusedStarts   int // starts that workers refused for lack of resources
	overAllocations int // reports of more than a team's allocation
}

// observeReports counts the log lines that reports of machines lead to.
func (run *limitRun) observeReports() {
	run.observeLogs(func(_ *emulator.Member, line scheduler.LogLine) {
		switch line.Message {
		case "machine reconciled", "tasks queried before lease is renewed":
			run.unknownTasks += line.Args[slices.Index(line.Args, any("stopped"))+1].(int)
		case "start refused":
			if slices.Contains(line.Args, any("no_room")) {
				run.refusedStarts++
			}
		case "team uses more than its allocation":
			run.overAllocations++
		}
	})
}

// limitScenario is the teams of a simulation, and its faults besides ends of all members.
type limitScenario struct {
	teams          map[string]scheduler.Team
	cancelledTeams []string // whose jobs are cancelled while machines cannot report
	adjustJob      func(*scheduler.Job, int)
	inject         func(*testSimulation)
}

// limitedNextToUnlimited is a team at its limit next to one without a limit, whose starts do not wait for it.
func limitedNextToUnlimited(seed uint64) limitScenario {
	limit := []float64{50, 70, 105}[seed%3]
	return limitScenario{
		teams:          map[string]scheduler.Team{limitedTeam: {MaxCPUs: limit}, "t1": {}},
		cancelledTeams: []string{limitedTeam},
		adjustJob:      adjustLimitedJob,
		inject:         func(sim *testSimulation) { sim.DelayCommands(lateCommandsShare, limitFaultWindowMS) },
	}
}

// allTeamsLimited has three teams, each at its limit. Commands are late and arrive again, old reports arrive again, and
// responses of the state service and other messages are lost.
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
		inject: func(sim *testSimulation) {
			sim.DelayCommands(lateCommandsShare/2, limitFaultWindowMS)
			sim.DuplicateCommands(lateCommandsShare/2, limitFaultWindowMS)
			sim.ReplayHeartbeats(lostShare, limitFaultWindowMS)
			sim.LoseResponses(lostShare, limitFaultWindowMS)
			sim.MessageLoss = lostShare / 4
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
	sim := &testSimulation{size: size, noRandomFaults: true, adjustJob: scenario.adjustJob}
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
	run := &limitRun{testSimulation: sim}
	run.observeReports()
	for at := int64(restartIntervalMS); at < limitFaultWindowMS; at += restartIntervalMS {
		sim.restartWithCancelledJobs(at, scenario.cancelledTeams)
	}
	sim.runScenario(limitFaultWindowMS, limitScenarioEndMS, limitScenarioJobs)
	return run
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
	sim.After(at-partitionBeforeRestartMS, func() {
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
func TestTeamStaysWithinLimitNextToTasksOfCancelledJobs(t *testing.T) {
	playLimitScenarios(t, limitScenarioSeeds(), limitedNextToUnlimited)
}

// Guards against quota: every team is at its limit, and jobs of all are cancelled, while members end together.
func TestTeamsStayWithinLimitsWhileMembersEndTogether(t *testing.T) {
	playLimitScenarios(t, limitScenarioSeeds(), allTeamsLimited)
}

// playLimitScenarios plays a scenario with each timing and seed. Tasks without a job must occur, members must start
// nothing in their place, and no report may show more than a team's allocation.
func playLimitScenarios(t *testing.T, seeds []uint64, scenario func(seed uint64) limitScenario) {
	t.Helper()
	for name, timing := range heartbeatTimings {
		t.Run(name, func(t *testing.T) {
			var played, unknownTasks atomic.Int64
			t.Cleanup(func() {
				t.Logf("%d tasks without a job in first reports, %d seeds", unknownTasks.Load(), played.Load())
				if played.Load() == int64(len(seeds)) && unknownTasks.Load() < played.Load() {
					t.Errorf("got %d tasks without a job, want at least one for each seed", unknownTasks.Load())
				}
			})
			for _, seed := range seeds {
				t.Run(fmt.Sprint(seed), func(t *testing.T) {
					t.Parallel()
					run := runRestartsWithCancelledJobs(seed, timing, scenario(seed))
					run.checkInvariants(t)
					if run.refusedStarts > 0 || run.overAllocations > 0 {
						t.Errorf("got %d starts refused as full, %d reports of more than an allocation; want none",
							run.refusedStarts, run.overAllocations)
					}
					played.Add(1)
					unknownTasks.Add(int64(run.unknownTasks))
				})
			}
		})
	}
}
