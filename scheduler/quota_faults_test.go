package scheduler_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/emulator"
	"github.com/grebedock/grebedock/internal/platformfake"
	"github.com/grebedock/grebedock/scheduler"
)

// quotaScenario is a hard case of teams' limits and guarantees over several members.
type quotaScenario struct {
	members   int
	teams     map[string]scheduler.Team
	jobs      int
	adjustJob func(w *testSimulation, j *scheduler.Job, n int) // of the nth job, whose team is set
	inject    func(w *testSimulation) outcomeCheck
}

func equalTeams(n int, t scheduler.Team) map[string]scheduler.Team {
	teams := map[string]scheduler.Team{}
	for i := range n {
		teams[fmt.Sprintf("t%d", i)] = t
	}
	return teams
}

// partitionFromStore cuts a member off from the state service alone.
func (sim *testSimulation) partitionFromStore(m int, from, ms int64) {
	sim.After(from, func() {
		sim.Partitions = append(sim.Partitions, emulator.Partition{A: sim.Members[m].Name, B: "store", Until: sim.Now + ms})
	})
}

// quotaScenarios: the rules, quota among them, are checked on the machines at each start, and
// all jobs end.
var quotaScenarios = map[string]quotaScenario{
	"twelve teams that all ask for everything": {
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
	"many small tasks beside one huge": {
		members: 3,
		teams:   map[string]scheduler.Team{"t0": {CPUs: 20, MaxCPUs: 40}, "t1": {CPUs: 64, MaxCPUs: 64}},
		jobs:    50,
		adjustJob: func(_ *testSimulation, j *scheduler.Job, n int) {
			if j.Team == "t1" {
				j.Tasks, j.Request.CPUs = 1, 64
			}
		},
	},
	"a limit that members do not divide": {
		members:   5,
		teams:     equalTeams(3, scheduler.Team{CPUs: 30, MaxCPUs: 100}),
		jobs:      60,
		adjustJob: func(_ *testSimulation, j *scheduler.Job, _ int) { j.Request.CPUs = 7 },
		inject:    func(sim *testSimulation) outcomeCheck { sim.partitionFromStore(1, 30_000, 20_000); return nil },
	},
	"accelerators and processors short in turn": {
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
	"the home away, cut off, slow, rolling": {
		members: 3,
		teams:   equalTeams(3, scheduler.Team{CPUs: 40, MaxCPUs: 96}),
		jobs:    80,
		inject: func(sim *testSimulation) outcomeCheck {
			sim.After(15_000, func() { sim.Members[0].Crash(25_000) })
			sim.After(45_000, func() {
				sim.Partitions = append(sim.Partitions, emulator.Partition{A: sim.Members[1].Name, B: "", Until: sim.Now + 30_000})
			})
			sim.After(80_000, func() { sim.Lags["m2"] = emulator.Lag{Until: sim.Now + 20_000, MaxDelayMS: 3000} })
			for i, m := range sim.Members {
				sim.After(105_000+int64(i)*4000, func() { m.Crash(3000) })
			}
			return nil
		},
	},
	"a member with an old ledger after a cut": {
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
	"settings that differ during a roll": {
		members: 3,
		teams:   equalTeams(3, scheduler.Team{CPUs: 40, MaxCPUs: 96}),
		jobs:    80,
		inject: func(sim *testSimulation) outcomeCheck {
			// The platform's file is lower from the second start on; the larger holds until
			// all have the smaller one.
			for i, m := range sim.Members {
				sim.After(40_000+int64(i)*8000, func() {
					sim.startsWithLowerLimits[m.Name] = true
					m.Crash(3000)
				})
			}
			return nil
		},
	},
	"an end of all with every part lent out": {
		members: 5,
		teams:   equalTeams(5, scheduler.Team{CPUs: 40, MaxCPUs: 120}),
		jobs:    100,
		inject: func(sim *testSimulation) outcomeCheck {
			sim.crashAllAt(30_000, 60_000)
			return nil
		},
	},
	"a guarantee above what the fleet holds": {
		members: 3,
		teams:   equalTeams(3, scheduler.Team{CPUs: 2000, MaxCPUs: 4000}),
		jobs:    60,
	},
	"spot waves": {
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
	// A part's giver ends while its write is under way; the network holds the write until
	// its shard has been adopted.
	"a transfer that is applied late": {
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
			return requireAtLeast(2, "a member ended while it wrote a team's record", &crashes)
		},
	},
	"shards that move while wants are open": {
		members: 3,
		teams:   equalTeams(3, scheduler.Team{CPUs: 40, MaxCPUs: 96}),
		jobs:    80,
		inject: func(sim *testSimulation) outcomeCheck {
			crashes, nextCrashAt := 0, int64(15_000)
			sim.Observer = func(m *emulator.Member, outputs *scheduler.Outputs) {
				if sim.Now > nextCrashAt && crashes < 4 && slices.ContainsFunc(outputs.StoreOps, func(op scheduler.StoreOp) bool {
					return slices.ContainsFunc(op.Changes, func(c scheduler.Change) bool {
						return strings.HasPrefix(c.Key, "l/t/") && strings.Contains(string(c.Value), `"wants":{"`)
					})
				}) {
					crashes++
					nextCrashAt = sim.Now + 20_000
					sim.After(300, func() { m.Crash(25_000) })
				}
			}
			return requireAtLeast(2, "a member that had asked for a part ended", &crashes)
		},
	},
}

func TestTeamLimitsSurviveFailures(t *testing.T) {
	types := append(
		slices.Clone(simTypes),
		scheduler.MachineType{
			Name:           "accelerated",
			Resources:      availability.Resources{CPUs: 16, GPUs: 4, MemoryGB: 64, DiskGB: 30},
			ImageFetchGBps: 1,
			Price:          4,
			SpotPrice:      1,
			BootS:          10,
			Zones:          []string{"a", "b"},
		},
	)
	for name, scenario := range quotaScenarios {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(2) {
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
					Types:               types,
					CapacityPerOffering: 6,
					Params:              cfg,
					MessageLoss:         0.002,
					TaskRunMS:           func(sim *emulator.Simulation, _ *emulator.Job, _ string) int64 { return 2000 + sim.Rand.Int64N(15_000) },
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
				names := slices.Sorted(func(yield func(string) bool) {
					for teamName := range scenario.teams {
						if !yield(teamName) {
							return
						}
					}
				})
				sim.adjustJob = func(j *scheduler.Job, teamName int) {
					j.Team = names[teamName%len(names)]
					j.OneZone, j.Spread, j.Zone, j.MaxTaskErrors = false, false, "", 0
					if scenario.adjustJob != nil {
						scenario.adjustJob(sim, j, teamName)
					}
				}
				sim.runScenario(110_000, 900_000, scenario.jobs)
				sim.checkInvariants(t)
				if checkOutcome != nil {
					checkOutcome(t, sim)
				}
			}
		})
	}
}

// What members stop for guarantees, all at once, with peers that are not heard, slow or
// away: on the machines, no team is below its guarantee by it. Tasks that ended in the
// last moments, of which others may not know yet, count as if they ran.
func TestReclaimLeavesEveryTeamItsGuarantee(t *testing.T) {
	stops := 0
	for seed := range uint64(6) {
		sim := runGuaranteeScenario(5000+seed, &stops, false)
		sim.checkInvariants(t)
	}
	if stops < 20 {
		t.Errorf("only %d tasks were stopped for a guarantee", stops)
	}
	for seed := range uint64(10) {
		if runGuaranteeScenario(5000+seed, &stops, true).Violations["guarantee"] != "" {
			return
		}
	}
	t.Error("members that know of no guarantee of a team stop none of it below that")
}

// runGuaranteeScenario plays a day of teams that fill the fleet beside others that ask within
// their guarantees. With a planted fault members think that one of the former has none.
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
			for task, at := range startedAt { // on their way
				if sim.Jobs[task[:strings.IndexByte(task, '/')]].Spec.Team == team && sim.Now-at < 5000 && !counted[task] &&
					!stoppedTasks[task] {
					usedCPUs += 4
				}
			}
			if guarantee := cfg.Teams[team].CPUs; usedCPUs < guarantee {
				sim.Violations["guarantee"] = fmt.Sprintf("at %d ms: %s is left with %g of %g", sim.Now, team, usedCPUs, guarantee)
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
	sim.After(55_000, func() {
		sim.Partitions = append(sim.Partitions, emulator.Partition{A: "m2", B: "m", Until: sim.Now + 10_000})
	})
	sim.runScenario(110_000, 900_000, 90)
	return sim
}
