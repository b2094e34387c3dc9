package scheduler_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/emulator"
	"github.com/grebedock/grebedock/internal/platformfake"
	"github.com/grebedock/grebedock/scheduler"
)

// quotaScenario is a fault scenario for teams' limits and guarantees with several members.
type quotaScenario struct {
	members   int
	teams     map[string]scheduler.Team
	jobs      int
	adjustJob func(sim *testSimulation, j *scheduler.Job, n int) // changes the nth job, whose team is already set
	inject    func(sim *testSimulation) outcomeCheck
	alsoSeeds []uint64 // seeds beyond the first ones that have broken an invariant
}

func equalTeams(n int, t scheduler.Team) map[string]scheduler.Team {
	teams := map[string]scheduler.Team{}
	for i := range n {
		teams[fmt.Sprintf("t%d", i)] = t
	}
	return teams
}

// partitionFromStore partitions a member from the state service only.
func (sim *testSimulation) partitionFromStore(m int, from, ms int64) {
	sim.After(from, func() {
		sim.partition(emulator.Partition{A: sim.Members[m].Name, B: "store", Until: sim.Now + ms})
	})
}

// quotaScenarios are run with the invariants, including the limits, checked on the machines at each
// start. All jobs must end.
var quotaScenarios = map[string]quotaScenario{
	"twelve teams above their limits": {
		members:   3,
		teams:     equalTeams(12, scheduler.Team{CPUs: 16, MaxCPUs: 48}),
		jobs:      70,
		adjustJob: func(_ *testSimulation, j *scheduler.Job, _ int) { j.Tasks = 20 },
	},
	"three hundred teams": {
		members:   3,
		teams:     equalTeams(300, scheduler.Team{MaxCPUs: 8}),
		jobs:      300,
		adjustJob: func(_ *testSimulation, j *scheduler.Job, _ int) { j.Tasks, j.Request.CPUs = 1+j.Tasks%3, 4 },
		inject:    func(sim *testSimulation) outcomeCheck { sim.crashAllAt(40_000); return nil },
	},
	"many small tasks and a huge one": {
		members: 3,
		teams:   map[string]scheduler.Team{"t0": {CPUs: 20, MaxCPUs: 40}, "t1": {CPUs: 64, MaxCPUs: 64}},
		jobs:    50,
		adjustJob: func(_ *testSimulation, j *scheduler.Job, n int) {
			if j.Team == "t1" {
				j.Tasks, j.Request.CPUs = 1, 64
			}
		},
	},
	"limit not divisible by members": {
		members:   5,
		teams:     equalTeams(3, scheduler.Team{CPUs: 30, MaxCPUs: 100}),
		jobs:      60,
		adjustJob: func(_ *testSimulation, j *scheduler.Job, _ int) { j.Request.CPUs = 7 },
		inject:    func(sim *testSimulation) outcomeCheck { sim.partitionFromStore(1, 30_000, 20_000); return nil },
	},
	"GPUs and CPUs short in turn": {
		members: 3,
		teams:   equalTeams(2, scheduler.Team{CPUs: 40, MaxCPUs: 80, GPUs: 2, MaxGPUs: 5}),
		jobs:    60,
		adjustJob: func(_ *testSimulation, j *scheduler.Job, n int) {
			if n%4 < 2 {
				j.Request.GPUs, j.Request.CPUs = 1, 2
			}
		},
		inject: func(sim *testSimulation) outcomeCheck { sim.crashAllAt(50_000); return nil },
	},
	"home shard crashed, partitioned, slow, restarted": {
		members: 3,
		teams:   equalTeams(3, scheduler.Team{CPUs: 40, MaxCPUs: 96}),
		jobs:    80,
		inject: func(sim *testSimulation) outcomeCheck {
			sim.After(15_000, func() { sim.Members[0].Crash(25_000) })
			sim.After(45_000, func() {
				sim.partition(emulator.Partition{A: sim.Members[1].Name, Until: sim.Now + 30_000})
			})
			sim.After(80_000, func() { sim.Lags["m2"] = emulator.Lag{Until: sim.Now + 20_000, MaxDelayMS: 3000} })
			for i, m := range sim.Members {
				sim.After(105_000+int64(i)*4000, func() { m.Crash(3000) })
			}
			return nil
		},
	},
	"stale ledger after a partition": {
		members: 3,
		teams:   equalTeams(3, scheduler.Team{CPUs: 40, MaxCPUs: 96}),
		jobs:    80,
		inject: func(sim *testSimulation) outcomeCheck {
			for i, at := range []int64{20_000, 50_000, 80_000} {
				sim.partitionFromStore(i, at, 18_000)
			}
			return nil
		},
	},
	"different limits during a rolling restart": {
		members: 3,
		teams:   equalTeams(3, scheduler.Team{CPUs: 40, MaxCPUs: 96}),
		jobs:    80,
		inject: func(sim *testSimulation) outcomeCheck {
			// A member has the lower limits from its second start on. The higher limits apply until
			// all members have the lower ones.
			for i, m := range sim.Members {
				sim.After(40_000+int64(i)*8000, func() {
					sim.startsWithLowerLimits[m.Name] = true
					m.Crash(3000)
				})
			}
			return nil
		},
		alsoSeeds: []uint64{12},
	},
	"crash of all members with every allocation transferred": {
		members: 5,
		teams:   equalTeams(5, scheduler.Team{CPUs: 40, MaxCPUs: 120}),
		jobs:    100,
		inject: func(sim *testSimulation) outcomeCheck {
			sim.crashAllAt(30_000, 60_000)
			return nil
		},
	},
	"guarantee above the fleet's capacity": {
		members: 3,
		teams:   equalTeams(3, scheduler.Team{CPUs: 2000, MaxCPUs: 4000}),
		jobs:    60,
	},
	"spot reclaim waves": {
		members: 3,
		teams:   equalTeams(3, scheduler.Team{CPUs: 60, MaxCPUs: 120}),
		jobs:    80,
		inject: func(sim *testSimulation) outcomeCheck {
			for _, at := range []int64{25_000, 55_000, 85_000} {
				sim.After(at, func() {
					for _, worker := range sim.PickLiveWorkers(8) {
						if worker.Instance.Spot {
							sim.Cloud.Reclaim(worker.Instance.ID)
						}
					}
				})
			}
			return nil
		},
	},
	// The member that transfers an allocation crashes while its write is pending. The network delays
	// the write until the member's shard has been adopted.
	"transfer applied late": {
		members: 3,
		teams:   equalTeams(3, scheduler.Team{CPUs: 40, MaxCPUs: 96}),
		jobs:    80,
		inject: func(sim *testSimulation) outcomeCheck {
			crashes, delayedMember := 0, ""
			sim.Observer = func(m *emulator.Member, outputs *scheduler.Outputs) {
				if sim.Now > 15_000 && delayedMember == "" && crashes < 4 && hasWriteWithPrefix(outputs, "l/t/") {
					crashes++
					delayedMember = m.Name
					sim.After(1, func() { m.Crash(30_000) })
					sim.After(25_000, func() { delayedMember = "" })
				}
			}
			sim.ExtraDelay = func(from, to string) int64 {
				if from == delayedMember && to == "store" {
					return 14_000 + sim.Rand.Int64N(8000)
				}
				return 0
			}
			return requireAtLeast(2, "crash while a team's record is written", &crashes)
		},
	},
	"shards change owners while requests are open": {
		members: 3,
		teams:   equalTeams(3, scheduler.Team{CPUs: 40, MaxCPUs: 96}),
		jobs:    80,
		inject: func(sim *testSimulation) outcomeCheck {
			crashes, nextCrashAt := 0, int64(15_000)
			hasOpenRequest := func(c scheduler.Change) bool {
				return strings.HasPrefix(c.Key, "l/t/") && strings.Contains(string(c.Value), `"wants":{"`)
			}
			writesOpenRequest := func(op scheduler.StoreOp) bool {
				return slices.ContainsFunc(op.Changes, hasOpenRequest)
			}
			sim.Observer = func(m *emulator.Member, outputs *scheduler.Outputs) {
				if sim.Now > nextCrashAt && crashes < 4 && slices.ContainsFunc(outputs.StoreOps, writesOpenRequest) {
					crashes++
					nextCrashAt = sim.Now + 20_000
					sim.After(300, func() { m.Crash(25_000) })
				}
			}
			return requireAtLeast(2, "crash of a member with an open request", &crashes)
		},
	},
}

// acceleratedMachineType returns a machine type with GPUs.
func acceleratedMachineType() scheduler.MachineType {
	return scheduler.MachineType{
		Name:           "accelerated",
		Resources:      availability.Resources{CPUs: 16, GPUs: 4, MemoryGB: 64, DiskGB: 30},
		ImageFetchGBps: 1,
		Price:          4,
		SpotPrice:      1,
		BootS:          10,
		Zones:          []string{"a", "b"},
	}
}

func TestTeamLimitsSurviveFailures(t *testing.T) {
	for name, scenario := range quotaScenarios {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, seed := range append([]uint64{0, 1}, scenario.alsoSeeds...) {
				t.Run(fmt.Sprint(seed), func(t *testing.T) { scenario.play(t, seed) })
			}
		})
	}
}

// play runs the scenario with a seed and checks the invariants and its outcome.
func (scenario *quotaScenario) play(t *testing.T, seed uint64) {
	sim := &testSimulation{
		size:                  simScale{members: scenario.members, capacityPerOffering: 6, maxTasks: 16},
		noRandomFaults:        true,
		startsWithLowerLimits: map[string]bool{},
	}
	cfg := newParams(96)
	cfg.Teams = scenario.teams
	options := emulator.Options{
		Seed:                4000 + seed,
		Members:             scenario.members,
		Types:               append(slices.Clone(simTypes), acceleratedMachineType()),
		CapacityPerOffering: 6,
		Params:              cfg,
		MessageLoss:         0.002,
		TaskRunMS:           taskRunsFor(2000, 15_000),
	}
	options.InjectedFault.Params = func(cfg *scheduler.Params) {
		if sim.startsWithLowerLimits[cfg.MemberID] {
			cfg.Teams = map[string]scheduler.Team{}
			for teamName, t := range scenario.teams {
				cfg.Teams[teamName] = scheduler.Team{CPUs: t.CPUs, MaxCPUs: t.MaxCPUs / 2}
			}
			sim.UpdatedTeams = cfg.Teams
		}
	}
	sim.Simulation = emulator.New(options)
	var checkOutcome outcomeCheck
	if scenario.inject != nil {
		checkOutcome = scenario.inject(sim)
	}
	teamNames := slices.Sorted(maps.Keys(scenario.teams))
	sim.adjustJob = func(j *scheduler.Job, n int) {
		j.Team = teamNames[n%len(teamNames)]
		j.OneZone, j.Spread, j.Zone, j.MaxTaskErrors = false, false, "", 0
		if scenario.adjustJob != nil {
			scenario.adjustJob(sim, j, n)
		}
	}
	sim.runScenario(110_000, 900_000, scenario.jobs)
	sim.checkInvariants(t)
	if checkOutcome != nil {
		checkOutcome(t, sim)
	}
}

// Several members stop tasks for guarantees at the same time, while peers are partitioned, slow or
// crashed. No team is left below its guarantee, as counted on the machines. Tasks that ended within the
// last 5 s count as running, because other members may not know of their end yet.
func TestReclaimLeavesEveryTeamItsGuarantee(t *testing.T) {
	stops := 0
	for seed := range uint64(6) {
		sim := runGuaranteeScenario(5000+seed, &stops, false)
		sim.checkInvariants(t)
	}
	if stops < 20 {
		t.Errorf("%d tasks were stopped for a guarantee, want at least 20", stops)
	}
	for seed := range uint64(10) {
		if runGuaranteeScenario(5000+seed, &stops, true).Violations["guarantee"] != "" {
			return
		}
	}
	t.Error("no violation was detected although members did not know a team's guarantee")
}

// runGuaranteeScenario runs teams that fill the fleet together with teams that request within their
// guarantees. With a fault, members do not know the guarantee of one of the teams that fill the fleet.
func runGuaranteeScenario(seed uint64, stops *int, withFault bool) *testSimulation {
	taskEnds := map[string][]int64{}
	sim := &testSimulation{
		size:           simScale{members: 3, capacityPerOffering: 4, maxTasks: 12, teamCPUs: 0},
		noRandomFaults: true,
	}
	cfg := newParams(96)
	cfg.Teams = map[string]scheduler.Team{"t0": {CPUs: 60}, "t1": {CPUs: 100}, "t2": {CPUs: 100}, "t3": {}}
	forgetGuarantee := func(cfg *scheduler.Params) {
		if withFault {
			cfg.Teams = map[string]scheduler.Team{"t0": {}, "t1": {CPUs: 100}, "t2": {CPUs: 100}, "t3": {}}
		}
	}
	sim.Simulation = emulator.New(
		emulator.Options{
			InjectedFault:       emulator.InjectedFault{Params: forgetGuarantee},
			Seed:                seed,
			Members:             3,
			Types:               simTypes,
			CapacityPerOffering: 4,
			Params:              cfg,
			MessageLoss:         0.002,
			TaskRunMS: func(sim *emulator.Simulation, j *emulator.Job, _ string) int64 {
				if j.Spec.Team == "t0" || j.Spec.Team == "t3" {
					return 20_000 + sim.Rand.Int64N(60_000)
				}
				return 3000 + sim.Rand.Int64N(9000)
			},
		},
	)
	stoppedTasks, startedAt := map[string]bool{}, map[string]int64{}
	sim.Observer = func(m *emulator.Member, outputs *scheduler.Outputs) {
		reclaimedFrom := map[string]bool{}
		hasCommand(outputs, func(c scheduler.Command) bool {
			if c.Kind == scheduler.CommandStart {
				startedAt[c.Task] = sim.Now
				delete(stoppedTasks, c.Task)
			}
			return false
		})
		for _, line := range outputs.Logs {
			if line.Message == "task stopped for a guarantee" {
				*stops++
				stoppedTasks[fmt.Sprint(line.Args[1])] = true
				reclaimedFrom[fmt.Sprint(line.Args[5])] = true
			}
		}
		for team := range reclaimedFrom {
			usedCPUs, counted := 0.0, map[string]bool{}
			for _, worker := range sim.Workers {
				if worker.Up && !worker.Gone {
					for _, task := range worker.Agent.Tasks() {
						if task.State != "exited" && task.Job.Team == team && !stoppedTasks[task.Name] {
							usedCPUs += task.Job.Request.CPUs
							counted[task.Name] = true
						}
					}
				}
			}
			for _, at := range taskEnds[team] {
				if sim.Now-at < 5000 {
					usedCPUs += 4
				}
			}
			for task, at := range startedAt { // starts that may not have reached their workers
				isOfTeam := sim.Jobs[task[:strings.IndexByte(task, '/')]].Spec.Team == team
				if isOfTeam && sim.Now-at < 5000 && !counted[task] && !stoppedTasks[task] {
					usedCPUs += 4
				}
			}
			if guarantee := cfg.Teams[team].CPUs; usedCPUs < guarantee {
				sim.Violations["guarantee"] = fmt.Sprintf("at %d ms: %s is left with %g CPUs, want its guarantee of %g",
					sim.Now, team, usedCPUs, guarantee)
			}
		}
	}
	sim.OnTaskDone = func(t *platformfake.Task) { taskEnds[t.Job.Team] = append(taskEnds[t.Job.Team], sim.Now) }
	sim.adjustJob = func(j *scheduler.Job, n int) {
		j.Team = fmt.Sprintf("t%d", n%4)
		j.OneZone, j.Spread, j.Zone, j.MaxTaskErrors, j.AtMostOnce, j.Request.CPUs = false, false, "", 0, false, 4
		if n%4 == 0 || n%4 == 3 {
			j.Tasks, j.EstimateS = 20, 40
		}
	}
	sim.After(30_000, func() { sim.Lags["m1"] = emulator.Lag{Until: sim.Now + 15_000, MaxDelayMS: 2500} })
	sim.After(55_000, func() { sim.partition(emulator.Partition{A: "m2", B: "m", Until: sim.Now + 10_000}) })
	sim.runScenario(110_000, 900_000, 90)
	return sim
}
