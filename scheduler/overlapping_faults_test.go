package scheduler_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/grebedock/grebedock/disruption"
	"github.com/grebedock/grebedock/emulator"
	"github.com/grebedock/grebedock/internal/platformfake"
	"github.com/grebedock/grebedock/scheduler"
)

// Troubles that meet (docs/notes/meetings.md): each day has several of them at once,
// over work that runs long enough to be met.

// runRandomOverlappingFaults plays a day of troubles that overlap.
func runRandomOverlappingFaults(sim *testSimulation) {
	for at := int64(10_000); at < 150_000; at += 2000 + sim.Rand.Int64N(9000) {
		if sim.Rand.IntN(3) == 0 {
			sim.After(at, sim.InjectInfrastructureFault)
		} else {
			sim.After(at, sim.InjectRandomFault)
		}
	}
	sim.noRandomFaults = true
	sim.runScenario(150_000, 900_000, 60)
}

func TestInvariantsSurviveRandomOverlappingFaults(t *testing.T) {
	for seed := range uint64(*seedCount) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			sim := newTestSimulation(6000+seed, emulator.InjectedFault{}, smallScale)
			sim.TraceEnabled = *traceSeed == int(seed)
			runRandomOverlappingFaults(sim)
			sim.checkInvariants(t)
			sim.checkServed(t)
		})
	}
}

// repeatAtRandom does something again and again in a day's busy time.
func (sim *testSimulation) repeatAtRandom(ms, until int64, action func()) {
	for at := 12_000 + sim.Rand.Int64N(ms); at < until; at += ms/2 + sim.Rand.Int64N(ms) {
		sim.After(at, action)
	}
}

func (sim *testSimulation) randomMember() *emulator.Member {
	return sim.Members[sim.Rand.IntN(len(sim.Members))]
}

const faultWindowMS = 120_000

// faultScenario is a kind of day on which certain troubles meet. What its days have to have
// shown is summed up over the seeds by name, with the least that makes them worth playing.
type faultScenario struct {
	adjustJob func(w *testSimulation, j *scheduler.Job, n int)
	inject    func(t *testing.T, w *testSimulation, showed map[string]int)
	minCounts map[string]int
}

// overlappingFaults are those of the page, one after the other; those in the other files
// meetings_*_test.go are played with them.
var overlappingFaults = map[string]faultScenario{
	"writes carried out late": {
		// Groups that fill their shard go to peers, and none runs long: many moves.
		adjustJob: func(sim *testSimulation, j *scheduler.Job, n int) {
			j.OneZone, j.Spread, j.Zone = false, false, ""
			if n%2 == 0 && j.Request.CPUs <= 4 {
				j.Tasks = 6 + n%7
			}
		},
		inject: func(t *testing.T, sim *testSimulation, counts map[string]int) {
			sim.DelayWrites(0.35, faultWindowMS)
			sim.repeatAtRandom(
				3000,
				faultWindowMS,
				func() { sim.StartOutage(sim.randomMember().Name, 300+sim.Rand.Int64N(2500)) },
			)
			sim.repeatAtRandom(25_000, faultWindowMS, func() { sim.randomMember().Crash(300 + sim.Rand.Int64N(12_000)) })
			sim.repeatAtRandom(40_000, faultWindowMS, func() { sim.StartOutage("all", 1000+sim.Rand.Int64N(4000)) })
		},
		minCounts: map[string]int{
			"late l/j/": 20,
			"late f/":   5,
			"late p/":   20,
			"late l/s/": 1,
			"late l/m/": 2,
			"late l/u/": 1,
		},
	},
	// The writer ends with its write under way, and is back within moments: its next life
	// has begun when the write of the last one is carried out.
	"writers that end": {
		adjustJob: func(sim *testSimulation, j *scheduler.Job, n int) { j.OneZone, j.Spread, j.Zone = false, false, "" },
		inject: func(t *testing.T, sim *testSimulation, counts map[string]int) {
			writeCounts, nextFaultAt := map[string]int{
				"l/s/":        0,
				"moves, ends": 0,
				"l/m/":        0,
				"l/u/":        0,
				"l/t/":        0,
				"p/":          0,
			}, int64(
				12_000,
			)
			sim.DelaysWrite = func(m *emulator.Member, op scheduler.StoreOp) bool {
				kind := emulator.KeyKind(op.Changes[0].Key)
				if kind == "l/j/" && op.Changes[0].Value != nil &&
					slices.ContainsFunc(
						op.Preconditions,
						func(precondition scheduler.Precondition) bool { return strings.HasPrefix(precondition.Key, "l/s/") },
					) {
					kind = "moves, ends"
				}
				n, counted := writeCounts[kind]
				if kind == "moves, ends" {
					n /= 3
				}
				if sim.Now < nextFaultAt || sim.Now > faultWindowMS || !counted ||
					n > slices.Min(slices.Collect(maps.Values(writeCounts))) {
					return false
				}
				writeCounts[kind]++
				nextFaultAt = sim.Now + 2500 + sim.Rand.Int64N(4000)
				counts[kind]++
				sim.After(sim.Rand.Int64N(400), func() { m.Crash(150 + sim.Rand.Int64N(1500)) })
				return true
			}
			sim.repeatAtRandom(
				40_000,
				faultWindowMS,
				func() { sim.randomMember().Crash(15_000 + sim.Rand.Int64N(8000)) },
			) // adopted, and handed back
		},
		minCounts: map[string]int{"l/s/": 6, "moves, ends": 12, "l/m/": 4, "l/u/": 4, "l/t/": 2, "p/": 4},
	},
	// A member is back before its own hold ended, adopters end in the middle of an adoption
	// or a hand-back, and late writes and copies of reports come from each earlier life,
	// while the time of day moves within its bound.
	"lives within a second": {
		inject: func(t *testing.T, sim *testSimulation, counts map[string]int) {
			sim.DelayWrites(0.15, faultWindowMS)
			sim.ReplayHeartbeats(0.5, faultWindowMS)
			nextFaultAt := int64(15_000)
			sim.Observer = func(m *emulator.Member, outputs *scheduler.Outputs) {
				for _, l := range outputs.Logs {
					event := l.Message
					if event == "shard claimed" && l.Args[1] != m.Name {
						event = "shard adopted"
					}
					counts[event]++
					if event != "shard adopted" && event != "shard handed back" && event != "shard ready" &&
						event != "leadership acquired" {
						continue
					}
					// A hand-back is rare: each is met.
					if sim.Now > faultWindowMS || sim.Now < nextFaultAt && event != "shard handed back" {
						continue
					}
					nextFaultAt = sim.Now + 1500 + sim.Rand.Int64N(6000)
					counts["ends at "+event]++
					sim.After(sim.Rand.Int64N(60), func() { m.Crash(100 + sim.Rand.Int64N(900)) })
					if sim.Rand.IntN(3) == 0 { // whoever it is of, or another adopter, too
						sim.After(sim.Rand.Int64N(300), func() { sim.randomMember().Crash(100 + sim.Rand.Int64N(900)) })
					}
				}
			}
			sim.repeatAtRandom(20_000, faultWindowMS, func() { sim.randomMember().Crash(15_000 + sim.Rand.Int64N(8000)) })
			sim.repeatAtRandom(60_000, faultWindowMS, sim.CrashAll)
			sim.repeatAtRandom(25_000, faultWindowMS, func() { // a roll while the lead is lost
				for i, m := range sim.Members {
					sim.After(int64(i)*1500, func() { m.Crash(400) })
				}
			})
			sim.repeatAtRandom(2000, faultWindowMS, func() { sim.randomMember().ClockOffsetMS = sim.Rand.Int64N(200) - 100 })
		},
		minCounts: map[string]int{
			"ends at shard adopted":       6,
			"ends at shard handed back":   1,
			"ends at shard ready":         6,
			"ends at leadership acquired": 3,
		},
	},
	// An adopter hands a shard back, nobody answers the removal of its claim, which is carried
	// out late, and the state service refuses it from then on; its workers still report to it.
	"handed back, and not told": {
		inject: func(t *testing.T, sim *testSimulation, counts map[string]int) {
			handedBack := map[*emulator.Member]bool{}
			sim.Observer = func(m *emulator.Member, outputs *scheduler.Outputs) {
				for _, l := range outputs.Logs {
					if l.Message == "shard handed back" {
						handedBack[m] = true
					}
				}
			}
			sim.DelaysWrite = func(m *emulator.Member, op scheduler.StoreOp) bool {
				if !handedBack[m] || op.Changes[0].Value != nil || !strings.HasPrefix(op.Changes[0].Key, "l/s/") {
					return false
				}
				handedBack[m] = false
				counts["not told"]++
				sim.After(1, func() { sim.StartOutage(m.Name, 8000+sim.Rand.Int64N(14_000)) })
				return true
			}
			sim.repeatAtRandom(9000, faultWindowMS, func() {
				if m := sim.randomMember(); sim.OutageUntil[m.Name] < sim.Now {
					m.Crash(14_000 + sim.Rand.Int64N(5000))
				}
			})
		},
		minCounts: map[string]int{"not told": 6},
	},
	// A leader ends while machines with long tasks can't be reached, or don't hear the new
	// leader's answers, for longer than a lease.
	"a leader ends, machines hear nothing": {
		inject: func(t *testing.T, sim *testSimulation, counts map[string]int) {
			// Long enough that a machine that hears nothing reports to each member within it.
			sim.Params.LeaseS, sim.Params.CancelWithinS = 18, 45
			sim.repeatAtRandom(40_000, faultWindowMS, func() {
				durationMS := 5000 + sim.Rand.Int64N(55_000)
				sim.SampleLiveWorkers(0.5, func(worker *emulator.Worker) {
					if sim.Rand.IntN(4) == 0 {
						sim.Partitions = append(
							sim.Partitions,
							emulator.Partition{A: "w" + worker.Instance.ID, Until: sim.Now + durationMS},
						)
					} else {
						sim.PartitionInbound(worker, durationMS)
					}
				})
				downMS := 300 + sim.Rand.Int64N(1500)
				if sim.Rand.IntN(2) == 0 {
					downMS = 30_000
				}
				sim.After(sim.Rand.Int64N(durationMS), func() { sim.randomMember().Crash(downMS) })
			})
			sim.repeatAtRandom(9000, faultWindowMS, func() { // a cancellation reaches them by silence
				if n := len(sim.JobIDs); n > 0 {
					if j := sim.Jobs[sim.JobIDs[sim.Rand.IntN(n)]]; j.Accepted && !j.CancelRequested {
						counts["cancellations"]++
						sim.CancelJob(j)
					}
				}
			})
			sim.Observer = func(m *emulator.Member, outputs *scheduler.Outputs) {
				for _, l := range outputs.Logs {
					counts[l.Message]++
					// No machine holds a shard up for much longer than a lease: the four seconds
					// for which workers wait for an answer, and their round of all members, each
					// four seconds and one.
					if l.Message != "shard reconciled" {
						continue
					}
					if ms := l.Args[3].(int64); float64(ms) > (sim.Params.LeaseS+4+5*float64(len(sim.Members)))*1000+500 {
						t.Errorf("%v is reconciled after %d ms", l.Args[1], ms)
					}
				}
			}
		},
		minCounts: map[string]int{
			"machine in a new incarnation": 20,
			"machine lease expired":        4,
			"cancellations":                20,
			"shard claimed":                20,
		},
	},
	// Jobs of two or three tasks that end far apart, across a change of leader.
	"few tasks that end far apart": {
		adjustJob: func(sim *testSimulation, j *scheduler.Job, n int) {
			j.Tasks, j.Request.CPUs, j.MaxTaskErrors, j.AtMostOnce = 2+n%2, 4, 0, false
			switch n % 5 {
			case 0:
				j.OneZone, j.Spread, j.Zone = true, false, ""
			case 1:
				j.OneZone, j.Spread, j.Zone = false, true, ""
			case 2:
				j.Kind, j.OneZone, j.Spread, j.Zone = scheduler.Gang, false, false, ""
			}
		},
		inject: func(t *testing.T, sim *testSimulation, counts map[string]int) {
			sim.DelayWrites(0.1, faultWindowMS)
			sim.ReplayHeartbeats(0.4, faultWindowMS)
			nextFaultAt := int64(12_000)
			sim.OnTaskDone = func(task *platformfake.Task) {
				j := sim.Jobs[task.Job.ID]
				if sim.Now < nextFaultAt || sim.Now > faultWindowMS || len(j.DoneTasks) == 0 || len(j.DoneTasks) >= j.Spec.Tasks {
					return
				}
				// The first of its tasks is done: its leader ends before or after that is stored.
				nextFaultAt = sim.Now + 4000 + sim.Rand.Int64N(6000)
				counts["ends between"]++
				downMS := 200 + sim.Rand.Int64N(2000)
				if sim.Rand.IntN(3) == 0 {
					downMS = 16_000
				}
				sim.After(sim.Rand.Int64N(4000), func() { sim.randomMember().Crash(downMS) })
			}
		},
		minCounts: map[string]int{"ends between": 20},
	},
	// A leader is cut from the state service and from the other members; its workers and
	// users reach it, and jobs are cancelled through the others. Clocks are at the ends of
	// their drift: the cut one's may be the slowest.
	"a leader cut apart": {
		inject: func(t *testing.T, sim *testSimulation, counts map[string]int) {
			for i, m := range sim.Members {
				m.SetClockRate(1 + 0.0005*float64(1-2*((i+int(sim.Rand.IntN(2)))%2)))
			}
			var partitioned *emulator.Member
			sim.repeatAtRandom(30_000, faultWindowMS, func() {
				partitioned = sim.randomMember()
				durationMS := 6000 + sim.Rand.Int64N(20_000)
				sim.PartitionMember(partitioned, durationMS, sim.Rand.IntN(2) == 0)
				if sim.Rand.IntN(2) == 0 {
					sim.After(durationMS/2, func() { sim.StartOutage("all", 2000+sim.Rand.Int64N(12_000)) })
				}
			})
			sim.repeatAtRandom(400, faultWindowMS, func() {
				if len(sim.JobIDs) == 0 || partitioned == nil || partitioned.Core == nil {
					return
				}
				j := sim.Jobs[sim.JobIDs[sim.Rand.IntN(len(sim.JobIDs))]]
				requestedAt := sim.Now
				if peer := sim.randomMember(); sim.Rand.IntN(8) == 0 && peer != partitioned && peer.Core != nil && j.Accepted &&
					!j.CancelRequested {
					j.CancelRequested = true
					counts["cancelled through others"]++
					sim.SendRequestTo(
						peer,
						scheduler.UserRequest{Kind: scheduler.CancelJob, ID: j.Spec.ID},
						func(resp scheduler.UserResponse, ok bool) {
							if ok {
								sim.ReceiveResponse(j, requestedAt, resp)
							}
							if j.CancelConfirmedAt == 0 {
								sim.CancelJob(j)
							}
						},
					)
					return
				}
				sim.SendRequestTo(
					partitioned,
					scheduler.UserRequest{Kind: scheduler.QueryJob, ID: j.Spec.ID},
					func(resp scheduler.UserResponse, ok bool) {
						if !ok {
							return
						}
						if resp.Status == 503 {
							counts["503 of the one that is cut"]++
						} else if j.ObservedState.IsTerminal() {
							counts["final states from the one that is cut"]++
						}
						sim.ReceiveResponse(j, requestedAt, resp)
					},
				)
			})
		},
		minCounts: map[string]int{
			"cancelled through others":              20,
			"503 of the one that is cut":            100,
			"final states from the one that is cut": 20,
		},
	},
	"commands held up": {
		adjustJob: func(sim *testSimulation, j *scheduler.Job, n int) {
			j.Class, j.Priority, j.DeadlineS = "quick", scheduler.High, 60 // straight to the workers
		},
		inject: func(t *testing.T, sim *testSimulation, counts map[string]int) {
			sim.repeatAtRandom(1500, faultWindowMS, func() {
				sim.SampleLiveWorkers(0.4, func(worker *emulator.Worker) {
					switch sim.Rand.IntN(4) {
					case 0:
						worker.HangUntil = sim.Now + 1000 + sim.Rand.Int64N(9000)
					case 1:
						sim.PartitionInbound(worker, 500+sim.Rand.Int64N(9000))
					default:
						sim.DelayWorkerCommands(worker, 1000+sim.Rand.Int64N(11_000), sim.Rand.IntN(2) == 0)
					}
				})
			})
			sim.repeatAtRandom(30_000, faultWindowMS, func() { sim.randomMember().Crash(300 + sim.Rand.Int64N(12_000)) })
			sim.Observer = func(_ *emulator.Member, outputs *scheduler.Outputs) {
				for _, l := range outputs.Logs {
					counts[l.Message]++
				}
				counts["direct commands"] += len(outputs.DirectCommands)
			}
		},
		minCounts: map[string]int{
			"token raised":                 20,
			"direct commands":              200,
			"machine lease expired":        10,
			"machine in a new incarnation": 10,
		},
	},
	"old reports": {
		inject: func(t *testing.T, sim *testSimulation, counts map[string]int) {
			sim.ReplayHeartbeats(0.9, faultWindowMS+30_000)
			sim.repeatAtRandom(20_000, faultWindowMS, func() { sim.randomMember().Crash(300 + sim.Rand.Int64N(14_000)) })
			sim.repeatAtRandom(45_000, faultWindowMS, sim.CrashAll)
			sim.repeatAtRandom(4000, faultWindowMS, func() {
				sim.SampleLiveWorkers(0.2, func(worker *emulator.Worker) {
					sim.Partitions = append(
						sim.Partitions,
						emulator.Partition{A: "w" + worker.Instance.ID, Until: sim.Now + 4000 + sim.Rand.Int64N(9000)},
					)
				})
			})
		},
		minCounts: map[string]int{
			"copies all":                        2000,
			"copies of an earlier session":      50,
			"copies after an end of the member": 200,
		},
	},
	"slow answers, refusals, users who cancel and ask": {
		inject: func(t *testing.T, sim *testSimulation, counts map[string]int) {
			sim.repeatAtRandom(20_000, faultWindowMS, func() { sim.SlowStore(3500, 12_000) })
			sim.repeatAtRandom(12_000, faultWindowMS, func() {
				sim.StartOutage(sim.randomMember().Name, 2000+sim.Rand.Int64N(6000))
				sim.After(sim.Rand.Int64N(3000), func() { sim.StartOutage("all", 500+sim.Rand.Int64N(6000)) })
			})
			sim.DelayWrites(0.15, faultWindowMS)
			sim.repeatAtRandom(300, faultWindowMS, func() {
				if len(sim.JobIDs) == 0 {
					return
				}
				j := sim.Jobs[sim.JobIDs[sim.Rand.IntN(len(sim.JobIDs))]]
				switch requestedAt := sim.Now; sim.Rand.IntN(6) {
				case 0: // a retry, maybe after its end
					if j.Accepted {
						counts["retries"]++
						sim.SendRequest(
							scheduler.UserRequest{Kind: scheduler.SubmitJob, ID: j.Spec.ID, Job: &j.Spec},
							func(resp scheduler.UserResponse, ok bool) {
								if ok {
									sim.ReceiveResponse(j, requestedAt, resp)
								}
							},
						)
					}
				case 1:
					if j.Accepted && !j.CancelRequested && sim.Rand.IntN(4) == 0 {
						counts["cancellations"]++
						sim.CancelJob(j)
					}
				default:
					sim.SendRequest(
						scheduler.UserRequest{Kind: scheduler.QueryJob, ID: j.Spec.ID},
						func(resp scheduler.UserResponse, ok bool) {
							if ok {
								counts["answers"]++
								sim.ReceiveResponse(j, requestedAt, resp)
							}
						},
					)
				}
			})
		},
		minCounts: map[string]int{"retries": 30, "cancellations": 20, "answers": 300, "relayed": 20},
	},
}

func TestInvariantsSurviveOverlappingFaults(t *testing.T) {
	scenarios := maps.Clone(overlappingFaults)
	maps.Copy(scenarios, overlappingRequestFaults)
	maps.Copy(scenarios, overlappingMachineFaults)
	runFaultScenarios(
		t,
		scenarios,
		6500,
		func(sim *emulator.Simulation, _ *emulator.Job, _ string) int64 { return 1000 + sim.Rand.Int64N(20_000) },
	)
}

// runFaultScenarios plays days of each kind, whose seeds begin at first and whose tasks run for
// so long.
func runFaultScenarios(
	t *testing.T,
	scenarios map[string]faultScenario,
	firstSeed uint64,
	runMS func(*emulator.Simulation, *emulator.Job, string) int64,
) {
	for name, scenario := range scenarios {
		t.Run(strings.ReplaceAll(name, ", ", " "), func(t *testing.T) {
			t.Parallel()
			counts := map[string]int{}
			for seed := range uint64(*seedCount / 4) {
				options := emulator.Options{Seed: firstSeed + seed, TaskRunMS: runMS}
				sim := newTestSimulationWith(smallScale, options)
				sim.noRandomFaults, sim.TraceEnabled = true, *traceSeed == int(seed)
				if scenario.adjustJob != nil {
					sim.adjustJob = func(j *scheduler.Job, n int) { scenario.adjustJob(sim, j, n) }
				}
				scenario.inject(t, sim, counts)
				sim.runScenario(faultWindowMS, 900_000, 60)
				sim.checkInvariants(t)
				sim.checkServed(t)
				if t.Failed() {
					t.Fatalf("with seed %d", seed)
				}
				for k, n := range sim.LateWriteCounts {
					counts["late "+k] += n
				}
				for k, n := range sim.LostResponseKinds {
					counts["lost "+k] += n
				}
				for k, n := range sim.DuplicateCounts {
					counts["copies "+k] += n
				}
				counts["relayed"] += sim.Relayed
				counts["starts after a confirmed cancellation"] += sim.StartsAfterCancel
			}
			for _, k := range slices.Sorted(maps.Keys(scenario.minCounts)) {
				if counts[k] < scenario.minCounts[k] {
					t.Errorf("%s only %d times", k, counts[k])
				}
			}
			t.Logf("%v", counts)
		})
	}
}

// requiredPreconditions is which guards a change of a kind of key needs beside its own key's: what a
// late execution of it would undo, were it not refused (docs/notes/meetings.md).
var requiredPreconditions = map[string][]string{
	"p/": {"l/s/"}, "l/u/": {"l/s/"}, "l/t/": {"l/s/"}, "l/d/": {"l/s/"}, "l/m/": {"l/lead"},
	"l/s/": nil, "l/": nil, "l/j/": nil, "f/": {"l/j/"}, "l/r/": nil,
}

// Every transaction that members send is guarded: by its keys' revisions, and by the claim
// under which it is decided.
func TestEveryWriteHasPreconditions(t *testing.T) {
	t.Parallel()
	seen := map[string]int{}
	checkWrites := func(m *emulator.Member, outputs *scheduler.Outputs) {
		for _, op := range outputs.StoreOps {
			if op.Kind != scheduler.StoreTxn {
				continue
			}
			preconditions := map[string]bool{} // keys, and kinds of keys
			creates := map[string]bool{}
			for _, precondition := range op.Preconditions {
				preconditions[precondition.Key], preconditions[emulator.KeyKind(precondition.Key)], creates[precondition.Key] = true, true, precondition.Revision == 0
			}
			for _, change := range op.Changes {
				kind := emulator.KeyKind(change.Key)
				seen[kind]++
				if kind == "l/n/" {
					if change.LeaseID == 0 {
						t.Errorf("%s is no note of a hold", change.Key)
					}
					continue
				}
				required, listed := requiredPreconditions[kind]
				if kind == "l/j/" && !creates[change.Key] &&
					!(change.Value == nil && !preconditions["l/s/"] && preconditions["f/"]) {
					required = []string{"l/s/"} // an end or a move; what is left is accepted or cancelled by its user
				}
				if kind == "l/j/" && creates[change.Key] {
					required = []string{"f/" + change.Key[len("l/j/"):]}
				}
				if change.Key == "l/lead" {
					required = nil
				}
				for _, requiredKey := range append([]string{change.Key}, required...) {
					if !preconditions[requiredKey] {
						t.Errorf("%s is written under %+v, not under %s", change.Key, op.Preconditions, requiredKey)
					}
				}
				if !listed {
					t.Errorf("%s: nobody says what guards it", change.Key)
				}
			}
		}
	}
	for seed := range uint64(2) {
		sim := newTestSimulation(6600+seed, emulator.InjectedFault{}, smallScale)
		sim.noRandomFaults, sim.Observer = true, checkWrites
		sim.repeatAtRandom(15_000, faultWindowMS, func() { sim.randomMember().Crash(300 + sim.Rand.Int64N(14_000)) })
		sim.repeatAtRandom(30_000, faultWindowMS, func() { sim.PartitionMember(sim.randomMember(), 9000, false) })
		sim.runScenario(faultWindowMS, 600_000, 50)
		sim.checkInvariants(t)
		rolloutSim := newRolloutSimulation(6600 + seed)
		rolloutSim.noRandomFaults, rolloutSim.Observer = true, checkWrites
		hasty := replaceAll
		hasty.DeadlineS = 2
		rolloutSim.applyPlanAt(25_000, disruption.Budget{MaxTasks: 3}, hasty)
		rolloutSim.runScenario(60_000, 300_000, 30)
	}
	for kind := range requiredPreconditions {
		if seen[kind] == 0 {
			t.Errorf("no write of %s was seen", kind)
		}
	}
	t.Logf("%v", seen)
}

// A job that nobody can ask about is seen, however the others fare.
func TestForgottenJobIsDetected(t *testing.T) {
	t.Parallel()
	fault := emulator.InjectedFault{UserResponse: func(resp *scheduler.UserResponse) {
		if resp.ID == "job-000007" && resp.Status == 200 {
			resp.Status = 503
		}
	}}
	sim := newTestSimulation(3, fault, smallScale)
	sim.noRandomFaults = true
	sim.adjustJob = func(j *scheduler.Job, n int) { j.AtMostOnce, j.MaxTaskErrors = false, 0 }
	sim.runScenario(30_000, 200_000, 20)
	if !strings.Contains(sim.Violations["forgotten"], "job-000007") {
		t.Errorf("broken: %v", sim.Violations)
	}
}
