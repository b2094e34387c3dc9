package scheduler_test

import (
	"slices"
	"strings"
	"testing"

	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/emulator"
	"github.com/grebedock/grebedock/scheduler"
)

func (sim *testSimulation) crashAllAt(times ...int64) {
	for _, atMS := range times {
		sim.After(atMS, sim.CrashAll)
	}
}

// slowStoreBetween has the state service take thirty times as long.
func (sim *testSimulation) slowStoreBetween(from, until int64) {
	sim.ExtraDelay = func(a, b string) int64 {
		if (a == "store" || b == "store") && sim.Now > from && sim.Now < until {
			return 200 + sim.Rand.Int64N(200)
		}
		return 0
	}
}

// crashAllWhen ends all members within moments of their doing something, at most so often
// and not again within 15 s, in the busy time.
func (sim *testSimulation) crashAllWhen(crashes *int, trigger func(*emulator.Member, *scheduler.Outputs) bool) {
	nextCrashAt := int64(20_000)
	sim.Observer = func(m *emulator.Member, outputs *scheduler.Outputs) {
		if sim.Now >= nextCrashAt && *crashes < 4 && trigger(m, outputs) {
			*crashes++
			nextCrashAt = sim.Now + 15_000
			sim.After(sim.Rand.Int64N(40), sim.CrashAll)
		}
	}
}

// hasWriteWithPrefix tells whether a member writes a key with a prefix.
func hasWriteWithPrefix(outputs *scheduler.Outputs, prefix string) bool {
	return slices.ContainsFunc(outputs.StoreOps, func(op scheduler.StoreOp) bool {
		return slices.ContainsFunc(
			op.Changes,
			func(c scheduler.Change) bool { return strings.HasPrefix(c.Key, prefix) && c.Value != nil },
		)
	})
}

func hasCloudOp(outputs *scheduler.Outputs, kind scheduler.CloudOpKind) bool {
	return slices.ContainsFunc(outputs.CloudOps, func(op scheduler.CloudOp) bool { return op.Kind == kind })
}

// hasCommand tells whether a member gives a worker such a command.
func hasCommand(outputs *scheduler.Outputs, matches func(scheduler.Command) bool) bool {
	for _, resp := range outputs.HeartbeatResponses {
		if slices.ContainsFunc(resp.Commands, matches) {
			return true
		}
	}
	return slices.ContainsFunc(outputs.DirectCommands, func(directCommand scheduler.DirectCommand) bool {
		return slices.ContainsFunc(directCommand.Commands, matches)
	})
}

// outcomeCheck is what a scenario has to show at its end: how often what it is about happened.
type outcomeCheck func(t *testing.T, w *testSimulation)

func requireAtLeast(n int, description string, count *int) outcomeCheck {
	return func(t *testing.T, _ *testSimulation) {
		if *count < n {
			t.Errorf("%s only %d times", description, *count)
		}
	}
}

// crashAllScenario ends all members where one does something, and asks that it happened so often.
func crashAllScenario(
	n int,
	description string,
	trigger func(*scheduler.Outputs) bool,
) func(*testSimulation) outcomeCheck {
	return func(sim *testSimulation) outcomeCheck {
		crashes := 0
		sim.crashAllWhen(&crashes, func(_ *emulator.Member, outputs *scheduler.Outputs) bool { return trigger(outputs) })
		return requireAtLeast(n, description, &crashes)
	}
}

// crashScenarios are the hard cases of a start after all members ended. The rules are
// checked from the world's side throughout, that nothing which runs well is stopped
// among them, and all jobs end.
var crashScenarios = map[string]func(sim *testSimulation) outcomeCheck{
	"within an outage": func(sim *testSimulation) outcomeCheck {
		for _, at := range []int64{30_000, 75_000} {
			sim.After(at, func() { sim.StartOutage("all", 14_000) })
			sim.After(at+4000, sim.CrashAll)
		}
		return nil
	},
	"while the store is thirty times slower": func(sim *testSimulation) outcomeCheck {
		sim.slowStoreBetween(25_000, 90_000)
		sim.crashAllAt(30_000, 45_000, 80_000)
		return nil
	},
	"every ten seconds": func(sim *testSimulation) outcomeCheck {
		for at := int64(20_000); at < 110_000; at += 10_000 {
			sim.After(at, sim.CrashAll)
		}
		return nil
	},
	"again while it recovers": func(sim *testSimulation) outcomeCheck {
		sim.crashAllAt(30_000, 34_500, 39_200, 70_000, 73_900)
		return nil
	},
	"half of them back, others later": func(sim *testSimulation) outcomeCheck {
		for _, at := range []int64{25_000, 80_000} {
			sim.After(at, func() {
				for i, m := range sim.Members {
					m.Crash(3000 + int64(i%2)*35_000) // adopted meanwhile
				}
			})
		}
		return nil
	},
	"a cancellation stored and not told": func(sim *testSimulation) outcomeCheck {
		crashes := 0
		sim.crashAllWhen(&crashes, func(_ *emulator.Member, outputs *scheduler.Outputs) bool {
			for _, resp := range outputs.UserResponses {
				if resp.Status == 200 && resp.State == scheduler.Cancelled {
					clear(outputs.UserResponses)
					return true
				}
			}
			return false
		})
		return requireAtLeast(1, "a cancellation was cut short", &crashes)
	},
	"a range moves": func(sim *testSimulation) outcomeCheck {
		crashes := 0
		sim.crashAllWhen(&crashes, func(_ *emulator.Member, outputs *scheduler.Outputs) bool {
			return slices.ContainsFunc(outputs.StoreOps, func(op scheduler.StoreOp) bool {
				return slices.ContainsFunc(op.Changes, func(c scheduler.Change) bool {
					return strings.HasPrefix(c.Key, "l/j/") && strings.Contains(string(c.Value), `"moved":true`)
				})
			})
		})
		return requireAtLeast(1, "a move was cut short", &crashes)
	},
	// Members lend where a home has room to spare, not on each seed.
	"a team's part is handed over": crashAllScenario(
		1,
		"a hand-over was cut short",
		func(outputs *scheduler.Outputs) bool { return hasWriteWithPrefix(outputs, "l/t/") },
	),
	"a machine is rented": crashAllScenario(
		1,
		"a rental was cut short",
		func(outputs *scheduler.Outputs) bool { return hasCloudOp(outputs, scheduler.CloudProvision) },
	),
	"a machine is returned": crashAllScenario(
		1,
		"a return was cut short",
		func(outputs *scheduler.Outputs) bool { return hasCloudOp(outputs, scheduler.CloudRelease) },
	),
	"in the middle of a gang's start": func(sim *testSimulation) outcomeCheck {
		crashes, started := 0, false
		sim.crashAllWhen(&crashes, func(_ *emulator.Member, outputs *scheduler.Outputs) bool {
			return hasCommand(outputs, func(c scheduler.Command) bool {
				return c.Kind == scheduler.CommandStart && strings.HasPrefix(c.Task, "job-7")
			})
		})
		for i := range 8 {
			sim.After(int64(15_000+i*10_000), func() {
				sim.Submit(
					emulator.NewJob(
						scheduler.Job{
							ID:        "job-7" + strings.Repeat("0", 4) + string(rune('0'+i)),
							Class:     "batch",
							Team:      "t1",
							Kind:      scheduler.Gang,
							Priority:  scheduler.High,
							Tasks:     5,
							Request:   availability.Resources{CPUs: 8, MemoryGB: 16},
							Spot:      true,
							EstimateS: 5,
						},
					),
				)
			})
		}
		return func(t *testing.T, sim *testSimulation) {
			for id, j := range sim.Jobs {
				started = started || strings.HasPrefix(id, "job-7") && len(j.DoneTasks) == j.Spec.Tasks
			}
			if crashes == 0 || !started {
				t.Errorf("%d gangs were cut short, one ended: %v", crashes, started)
			}
		}
	},
	"commands and reports of the dead arrive late": func(sim *testSimulation) outcomeCheck {
		delayedMessages := 0
		sim.ExtraDelay = func(from, to string) int64 {
			if (from[0] == 'm' && to[0] == 'w' || from[0] == 'w' && to[0] == 'm') && sim.Rand.IntN(12) == 0 {
				delayedMessages++
				return 3000 + sim.Rand.Int64N(20_000)
			}
			return 0
		}
		for at := int64(25_000); at < 110_000; at += 14_000 {
			sim.After(at, sim.CrashAll)
		}
		return requireAtLeast(20, "a message was late", &delayedMessages)
	},
	"leases end meanwhile": func(sim *testSimulation) outcomeCheck {
		for _, at := range []int64{30_000, 80_000} {
			sim.After(at, func() {
				for _, m := range sim.Members {
					m.Crash(int64(sim.Params.LeaseS*1000) - 1500 + sim.Rand.Int64N(3000))
				}
			})
		}
		return nil
	},
	"hung machines come back": func(sim *testSimulation) outcomeCheck {
		hung := 0
		for _, at := range []int64{30_000, 60_000, 90_000} {
			sim.After(at, func() {
				for _, worker := range sim.PickLiveWorkers(6) {
					hung++
					worker.HangUntil = sim.Now + 2000 + sim.Rand.Int64N(9000) // within and past its lease
				}
			})
			sim.After(at+sim.Rand.Int64N(5000), sim.CrashAll)
		}
		return requireAtLeast(6, "a machine hung", &hung)
	},
	"tasks that begin once": func(sim *testSimulation) outcomeCheck {
		for i := range 12 {
			sim.After(int64(10_000+i*8000), func() {
				sim.Submit(
					emulator.NewJob(
						scheduler.Job{
							ID:         "job-80000" + string(rune('a'+i)),
							Class:      "batch",
							Team:       "t1",
							Kind:       scheduler.Array,
							Priority:   scheduler.Normal,
							Tasks:      6,
							Request:    availability.Resources{CPUs: 4, MemoryGB: 8},
							Spot:       true,
							EstimateS:  5,
							AtMostOnce: true,
						},
					),
				)
			})
		}
		sim.crashAllAt(24_000, 50_000, 90_000)
		return nil
	},
	"replicas of a service": func(sim *testSimulation) outcomeCheck {
		j := emulator.NewJob(
			scheduler.Job{ID: "job-900000", Class: "batch", Team: "t1", Kind: scheduler.Service, Priority: scheduler.Production,
				Tasks: 10, Request: availability.Resources{CPUs: 4, MemoryGB: 8}},
		)
		// A lease that outlasts the members' absence and one lost report.
		sim.MessageLoss, sim.Params.LeaseS = 0, 8
		sim.After(1000, func() { sim.Submit(j) })
		sim.crashAllAt(60_000, 80_000, 100_000)
		before, lost := 0, 0
		sim.After(59_000, func() {
			for _, crashes := range j.StartCounts {
				before += crashes
			}
		})
		sim.After(140_000, func() {
			for _, crashes := range j.StartCounts {
				lost += crashes
			}
			lost -= before
			sim.CancelJob(j)
		})
		return func(t *testing.T, _ *testSimulation) {
			if before < 10 || lost > 0 {
				t.Errorf("%d replicas ran before the ends, %d were started again", before, lost)
			}
		}
	},
	"machines replaced while nobody listened": func(sim *testSimulation) outcomeCheck {
		replaced := 0
		for _, at := range []int64{30_000, 75_000} {
			sim.After(at, func() {
				sim.CrashAll()
				sim.After(500, func() {
					workers := sim.PickLiveWorkers(len(sim.WorkerIDs) / 3)
					replaced += len(workers)
					sim.ReplaceWorkers(workers)
				})
			})
		}
		return requireAtLeast(10, "a machine was replaced", &replaced)
	},
	"clocks stepped within their bound": func(sim *testSimulation) outcomeCheck {
		for at := int64(20_000); at < 110_000; at += 9000 {
			sim.After(at, func() {
				for _, m := range sim.Members {
					m.ClockOffsetMS = sim.Rand.Int64N(401) - 200
				}
			})
		}
		sim.crashAllAt(30_000, 60_000, 90_000)
		return nil
	},
	"sockets at their limit": func(sim *testSimulation) outcomeCheck {
		refused := 0
		sim.RefusesConnection = func(string) bool {
			if sim.Now > 25_000 && sim.Now < 100_000 && sim.Rand.IntN(2) == 0 {
				refused++
				return true
			}
			return false
		}
		sim.crashAllAt(30_000, 60_000, 90_000)
		return requireAtLeast(50, "a report was refused", &refused)
	},
}

// What else fails around an end of all, the rules hold and every job ends.
func TestInvariantsSurviveCrashOfAllMembers(t *testing.T) {
	for name, scenario := range crashScenarios {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(3) {
				sim := newTestSimulationWith(
					simScale{members: 3, capacityPerOffering: 12, maxTasks: 40, teamCPUs: 300},
					emulator.Options{Seed: 500 + seed, GangWaitMS: 6000, FetchSpread: 0.3, SpeedSpread: 0.1},
				)
				sim.noRandomFaults = true
				sim.TraceEnabled = *traceSeed == int(seed)
				checkOutcome := scenario(sim)
				sim.runScenario(120_000, 900_000, 60)
				sim.checkInvariants(t)
				if checkOutcome != nil {
					checkOutcome(t, sim)
				}
			}
		})
	}
}
