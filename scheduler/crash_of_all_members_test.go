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

// slowStoreBetween makes the state service respond thirty times slower between two times.
func (sim *testSimulation) slowStoreBetween(from, until int64) {
	sim.ExtraDelay = func(a, b string) int64 {
		if (a == "store" || b == "store") && sim.Now > from && sim.Now < until {
			return 200 + sim.Rand.Int64N(200)
		}
		return 0
	}
}

// crashAllWhen crashes all members within 40 ms of an output for which trigger returns true. It does
// so at most four times, and at most once in 15 s.
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

// hasWriteWithPrefix reports whether the outputs write a value to a key with the prefix.
func hasWriteWithPrefix(outputs *scheduler.Outputs, prefix string) bool {
	return slices.ContainsFunc(outputs.StoreOps, func(op scheduler.StoreOp) bool {
		return slices.ContainsFunc(op.Changes, func(c scheduler.Change) bool {
			return strings.HasPrefix(c.Key, prefix) && c.Value != nil
		})
	})
}

func hasCloudOp(outputs *scheduler.Outputs, kind scheduler.CloudOpKind) bool {
	return slices.ContainsFunc(outputs.CloudOps, func(op scheduler.CloudOp) bool { return op.Kind == kind })
}

// hasCommand reports whether the outputs send a matching command to a worker.
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

// outcomeCheck checks at the end of a scenario that the tested condition occurred often enough.
type outcomeCheck func(t *testing.T, sim *testSimulation)

func requireAtLeast(n int, description string, count *int) outcomeCheck {
	return func(t *testing.T, _ *testSimulation) {
		t.Helper()
		if *count < n {
			t.Errorf("%s: got %d times, want at least %d", description, *count, n)
		}
	}
}

// crashAllScenario crashes all members after an output that trigger accepts, and requires at least n
// such crashes.
func crashAllScenario(
	n int,
	description string,
	trigger func(*scheduler.Outputs) bool,
) func(*testSimulation) outcomeCheck {
	return func(sim *testSimulation) outcomeCheck {
		crashes := 0
		sim.crashAllWhen(&crashes, func(_ *emulator.Member, o *scheduler.Outputs) bool { return trigger(o) })
		return requireAtLeast(n, description, &crashes)
	}
}

// crashScenarios are difficult cases of a restart after a crash of all members. The emulator checks the
// invariants from the outside throughout. Among them: no healthy task is stopped, and all jobs end.
var crashScenarios = map[string]func(sim *testSimulation) outcomeCheck{
	"during a store outage": func(sim *testSimulation) outcomeCheck {
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
	"again during recovery": func(sim *testSimulation) outcomeCheck {
		sim.crashAllAt(30_000, 34_500, 39_200, 70_000, 73_900)
		return nil
	},
	"half of the members back, others later": func(sim *testSimulation) outcomeCheck {
		for _, at := range []int64{25_000, 80_000} {
			sim.After(at, func() {
				for i, m := range sim.Members {
					m.Crash(3000 + int64(i%2)*35_000) // the others adopt the shards of the late members
				}
			})
		}
		return nil
	},
	"cancellation stored without a response": func(sim *testSimulation) outcomeCheck {
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
		return requireAtLeast(1, "crash after a stored cancellation", &crashes)
	},
	"while a range moves": func(sim *testSimulation) outcomeCheck {
		crashes := 0
		sim.crashAllWhen(&crashes, func(_ *emulator.Member, outputs *scheduler.Outputs) bool {
			return slices.ContainsFunc(outputs.StoreOps, func(op scheduler.StoreOp) bool {
				return slices.ContainsFunc(op.Changes, func(c scheduler.Change) bool {
					return strings.HasPrefix(c.Key, "l/j/") && strings.Contains(string(c.Value), `"moved":true`)
				})
			})
		})
		return requireAtLeast(1, "crash during a range move", &crashes)
	},
	// A transfer needs a home shard with spare capacity, which not every seed produces.
	"while an allocation is transferred": crashAllScenario(1, "crash at a transfer", func(o *scheduler.Outputs) bool {
		return hasWriteWithPrefix(o, "l/t/")
	}),
	"while a machine is provisioned": crashAllScenario(1, "crash while provisioning", func(o *scheduler.Outputs) bool {
		return hasCloudOp(o, scheduler.CloudProvision)
	}),
	"while a machine is released": crashAllScenario(1, "crash during a release", func(o *scheduler.Outputs) bool {
		return hasCloudOp(o, scheduler.CloudRelease)
	}),
	"while a gang starts": func(sim *testSimulation) outcomeCheck {
		crashes, started := 0, false
		sim.crashAllWhen(&crashes, func(_ *emulator.Member, outputs *scheduler.Outputs) bool {
			return hasCommand(outputs, func(c scheduler.Command) bool {
				return c.Kind == scheduler.CommandStart && strings.HasPrefix(c.Task, "job-7")
			})
		})
		for i := range 8 {
			sim.After(int64(15_000+i*10_000), func() {
				sim.Submit(emulator.NewJob(scheduler.Job{
					ID:        "job-7" + strings.Repeat("0", 4) + string(rune('0'+i)),
					Class:     "batch",
					Team:      "t1",
					Kind:      scheduler.Gang,
					Priority:  scheduler.High,
					Tasks:     5,
					Request:   availability.Resources{CPUs: 8, MemoryGB: 16},
					Spot:      true,
					EstimateS: 5,
				}))
			})
		}
		return func(t *testing.T, sim *testSimulation) {
			for id, j := range sim.Jobs {
				started = started || strings.HasPrefix(id, "job-7") && len(j.DoneTasks) == j.Spec.Tasks
			}
			if crashes == 0 || !started {
				t.Errorf("got %d crashes while a gang started, gang finished: %v; want at least 1 and true",
					crashes, started)
			}
		}
	},
	"late commands and heartbeats of crashed members": func(sim *testSimulation) outcomeCheck {
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
		return requireAtLeast(20, "delayed message", &delayedMessages)
	},
	"worker leases expire while all members are down": func(sim *testSimulation) outcomeCheck {
		for _, at := range []int64{30_000, 80_000} {
			sim.After(at, func() {
				for _, m := range sim.Members {
					m.Crash(int64(sim.Params.LeaseS*1000) - 1500 + sim.Rand.Int64N(3000))
				}
			})
		}
		return nil
	},
	"hung machines resume": func(sim *testSimulation) outcomeCheck {
		hung := 0
		for _, at := range []int64{30_000, 60_000, 90_000} {
			sim.After(at, func() {
				for _, worker := range sim.PickLiveWorkers(6) {
					hung++
					worker.HangUntil = sim.Now + 2000 + sim.Rand.Int64N(9000) // some leases expire, others do not
				}
			})
			sim.After(at+sim.Rand.Int64N(5000), sim.CrashAll)
		}
		return requireAtLeast(6, "hung machine", &hung)
	},
	"at-most-once tasks": func(sim *testSimulation) outcomeCheck {
		for i := range 12 {
			sim.After(int64(10_000+i*8000), func() {
				sim.Submit(emulator.NewJob(scheduler.Job{
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
				}))
			})
		}
		sim.crashAllAt(24_000, 50_000, 90_000)
		return nil
	},
	"replicas of a service": func(sim *testSimulation) outcomeCheck {
		j := emulator.NewJob(scheduler.Job{
			ID:       "job-900000",
			Class:    "batch",
			Team:     "t1",
			Kind:     scheduler.Service,
			Priority: scheduler.Production,
			Tasks:    10,
			Request:  availability.Resources{CPUs: 4, MemoryGB: 8},
		})
		// The lease is longer than the downtime of the members plus one lost heartbeat.
		sim.MessageLoss, sim.Params.LeaseS = 0, 8
		sim.After(1000, func() { sim.Submit(j) })
		sim.crashAllAt(60_000, 80_000, 100_000)
		startsBefore, restarts := 0, 0
		sim.After(59_000, func() {
			for _, starts := range j.StartCounts {
				startsBefore += starts
			}
		})
		sim.After(140_000, func() {
			for _, starts := range j.StartCounts {
				restarts += starts
			}
			restarts -= startsBefore
			sim.CancelJob(j)
		})
		return func(t *testing.T, _ *testSimulation) {
			if startsBefore < 10 || restarts > 0 {
				t.Errorf("got %d replica starts before the crashes, want at least 10; got %d restarts, want 0",
					startsBefore, restarts)
			}
		}
	},
	"machines replaced while all members are down": func(sim *testSimulation) outcomeCheck {
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
		return requireAtLeast(10, "replaced machine", &replaced)
	},
	"clock steps within their bound": func(sim *testSimulation) outcomeCheck {
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
	"connection limit reached": func(sim *testSimulation) outcomeCheck {
		refused := 0
		sim.RefusesConnection = func(string) bool {
			if sim.Now > 25_000 && sim.Now < 100_000 && sim.Rand.IntN(2) == 0 {
				refused++
				return true
			}
			return false
		}
		sim.crashAllAt(30_000, 60_000, 90_000)
		return requireAtLeast(50, "refused heartbeat", &refused)
	},
}

// The invariants hold and every job ends when other faults coincide with a crash of all members.
func TestInvariantsSurviveCrashOfAllMembers(t *testing.T) {
	for name, scenario := range crashScenarios {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(3) {
				size := simScale{members: 3, capacityPerOffering: 12, maxTasks: 40, teamCPUs: 300}
				options := emulator.Options{Seed: 500 + seed, GangWaitMS: 6000, FetchSpread: 0.3, SpeedSpread: 0.1}
				sim := newTestSimulationWith(size, options)
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
