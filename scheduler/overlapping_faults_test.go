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

// Each scenario of overlapping faults (docs/notes/meetings.md) injects several faults at once. Tasks run long
// enough to be affected.

// runRandomOverlappingFaults runs a scenario with random faults that overlap.
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

// faultScenario is a scenario with certain overlapping faults. inject counts events by name, over all seeds.
// The test fails if there are fewer than minCounts, since the intended faults would be too rare.
type faultScenario struct {
	adjustJob func(sim *testSimulation, j *scheduler.Job, n int)
	inject    func(t *testing.T, sim *testSimulation, counts map[string]int)
	minCounts map[string]int
}

// overlappingFaults are the scenarios of docs/notes/meetings.md, in the order of that page. The same test runs
// overlappingRequestFaults and overlappingMachineFaults.
var overlappingFaults = map[string]faultScenario{
	"delayed writes": {
		// Many task ranges move: jobs exceed the capacity of their shard, and tasks run for a short time.
		adjustJob: func(sim *testSimulation, j *scheduler.Job, n int) {
			j.OneZone, j.Spread, j.Zone = false, false, ""
			if n%2 == 0 && j.Request.CPUs <= 4 {
				j.Tasks = 6 + n%7
			}
		},
		inject: func(t *testing.T, sim *testSimulation, counts map[string]int) {
			sim.DelayWrites(0.35, faultWindowMS)
			sim.startMemberOutages(3000, 300, 2500)
			sim.crashMembers(25_000, 300, 12_000)
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
	// The writer crashes while its write is pending, and restarts at once. The write of the previous
	// incarnation is applied after the next one has started.
	"writers crash during their writes": {
		adjustJob: func(_ *testSimulation, j *scheduler.Job, _ int) { j.OneZone, j.Spread, j.Zone = false, false, "" },
		inject: func(t *testing.T, sim *testSimulation, counts map[string]int) {
			writeCounts := map[string]int{"l/s/": 0, "moves and ends": 0, "l/m/": 0, "l/u/": 0, "l/t/": 0, "p/": 0}
			nextFaultAt := int64(12_000)
			needsShardClaim := func(precondition scheduler.Precondition) bool {
				return strings.HasPrefix(precondition.Key, claimKeyPrefix)
			}
			sim.DelaysWrite = func(m *emulator.Member, op scheduler.StoreOp) bool {
				kind := emulator.KeyKind(op.Changes[0].Key)
				isJobUpdate := kind == jobKeyPrefix && op.Changes[0].Value != nil
				if isJobUpdate && slices.ContainsFunc(op.Preconditions, needsShardClaim) {
					kind = "moves and ends"
				}
				n, counted := writeCounts[kind]
				if kind == "moves and ends" {
					n /= 3
				}
				if sim.Now < nextFaultAt || sim.Now > faultWindowMS || !counted {
					return false
				}
				if n > slices.Min(slices.Collect(maps.Values(writeCounts))) {
					return false // prefer the kinds with the fewest faults
				}
				writeCounts[kind]++
				nextFaultAt = sim.Now + 2500 + sim.Rand.Int64N(4000)
				counts[kind]++
				sim.After(sim.Rand.Int64N(400), func() { m.Crash(150 + sim.Rand.Int64N(1500)) })
				return true
			}
			sim.crashMembers(40_000, 15_000, 8000) // long enough that shards are adopted and handed back
		},
		minCounts: map[string]int{"l/s/": 6, "moves and ends": 12, "l/m/": 4, "l/u/": 4, "l/t/": 2, "p/": 4},
	},
	// A member restarts before its own lease expires, and adopters crash during an adoption or a
	// hand-back. Late writes and replayed heartbeats of every earlier incarnation arrive, while wall
	// clocks drift within their bound.
	"members restart within a second": {
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
					// Hand-backs are rare, so each one triggers a crash.
					if sim.Now > faultWindowMS || sim.Now < nextFaultAt && event != "shard handed back" {
						continue
					}
					nextFaultAt = sim.Now + 1500 + sim.Rand.Int64N(6000)
					counts["crashes at "+event]++
					sim.After(sim.Rand.Int64N(60), func() { m.Crash(100 + sim.Rand.Int64N(900)) })
					if sim.Rand.IntN(3) == 0 { // a random member crashes too: the shard's owner or another adopter
						sim.After(sim.Rand.Int64N(300), func() { sim.randomMember().Crash(100 + sim.Rand.Int64N(900)) })
					}
				}
			}
			sim.crashMembers(20_000, 15_000, 8000)
			sim.repeatAtRandom(60_000, faultWindowMS, sim.CrashAll)
			sim.repeatAtRandom(25_000, faultWindowMS, func() { // a rolling restart, which interrupts the leader as well
				for i, m := range sim.Members {
					sim.After(int64(i)*1500, func() { m.Crash(400) })
				}
			})
			sim.repeatAtRandom(2000, faultWindowMS, func() {
				sim.randomMember().ClockOffsetMS = sim.Rand.Int64N(200) - 100
			})
		},
		minCounts: map[string]int{
			"crashes at shard adopted":       6,
			"crashes at shard handed back":   1,
			"crashes at shard ready":         6,
			"crashes at leadership acquired": 3,
		},
	},
	// An adopter hands a shard back. The removal of its claim gets no response and is applied late, and the
	// state service is unavailable to the adopter from then on. Its workers still send it heartbeats.
	"unacknowledged hand-back of a shard": {
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
				counts["unacknowledged hand-backs"]++
				sim.After(1, func() { sim.StartOutage(m.Name, 8000+sim.Rand.Int64N(14_000)) })
				return true
			}
			sim.repeatAtRandom(9000, faultWindowMS, func() {
				if m := sim.randomMember(); sim.OutageUntil[m.Name] < sim.Now {
					m.Crash(14_000 + sim.Rand.Int64N(5000))
				}
			})
		},
		minCounts: map[string]int{"unacknowledged hand-backs": 6},
	},
	// An owner crashes while machines with long tasks are partitioned or inbound-partitioned, some for longer
	// than a lease. An inbound-partitioned machine does not receive the new owner's responses.
	"owner crash with inbound partitions": {
		inject: func(t *testing.T, sim *testSimulation, counts map[string]int) {
			// The lease is long enough for an inbound-partitioned machine to try every member.
			sim.Params.LeaseS, sim.Params.CancelWithinS = 18, 45
			sim.repeatAtRandom(40_000, faultWindowMS, func() {
				durationMS := 5000 + sim.Rand.Int64N(55_000)
				sim.SampleLiveWorkers(0.5, func(worker *emulator.Worker) {
					if sim.Rand.IntN(4) == 0 {
						sim.partition(emulator.Partition{A: "w" + worker.Instance.ID, Until: sim.Now + durationMS})
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
			sim.repeatAtRandom(9000, faultWindowMS, func() { // on partitioned machines, lease expiry ends the tasks
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
					// Reconciliation takes at most a lease, plus the 4 s for which a worker waits for a
					// response, plus 5 s for each member that the worker tries in turn, plus 500 ms.
					if l.Message != "shard reconciled" {
						continue
					}
					maxMS := (sim.Params.LeaseS+4+5*float64(len(sim.Members)))*1000 + 500
					if ms := l.Args[3].(int64); float64(ms) > maxMS {
						t.Errorf("shard %v: got %d ms until reconciled, want at most %.0f ms", l.Args[1], ms, maxMS)
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
	// A shard changes its owner between the ends of the two or three tasks of a job.
	"owner crash between the ends of a job's tasks": {
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
				if sim.Now < nextFaultAt || sim.Now > faultWindowMS {
					return
				}
				if done := len(j.DoneTasks); done == 0 || done >= j.Spec.Tasks {
					return
				}
				// Some but not all tasks of the job are done: a member crashes before or after this is stored.
				nextFaultAt = sim.Now + 4000 + sim.Rand.Int64N(6000)
				counts["crashes between task ends"]++
				downMS := 200 + sim.Rand.Int64N(2000)
				if sim.Rand.IntN(3) == 0 {
					downMS = 16_000
				}
				sim.After(sim.Rand.Int64N(4000), func() { sim.randomMember().Crash(downMS) })
			}
		},
		minCounts: map[string]int{"crashes between task ends": 20},
	},
	// An owner is partitioned from the state service and from the other members, but not from its workers and
	// users. Jobs are cancelled through the other members. Clock rates are at the limits of the allowed
	// drift, so the clock of the partitioned member may be the slowest.
	"partitioned owner": {
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
				j := sim.randomJob()
				requestedAt := sim.Now
				peer := sim.randomMember()
				isCancellable := j.Accepted && !j.CancelRequested
				if sim.Rand.IntN(8) == 0 && peer != partitioned && peer.Core != nil && isCancellable {
					j.CancelRequested = true
					counts["cancelled through others"]++
					cancellation := scheduler.UserRequest{Kind: scheduler.CancelJob, ID: j.Spec.ID}
					sim.SendRequestTo(peer, cancellation, func(resp scheduler.UserResponse, ok bool) {
						if ok {
							sim.ReceiveResponse(j, requestedAt, resp)
						}
						if j.CancelConfirmedAt == 0 {
							sim.CancelJob(j)
						}
					})
					return
				}
				query := scheduler.UserRequest{Kind: scheduler.QueryJob, ID: j.Spec.ID}
				sim.sendAndReceive(partitioned, j, query, func(resp scheduler.UserResponse) {
					if resp.Status == 503 {
						counts["503 responses of the partitioned owner"]++
					} else if j.ObservedState.IsTerminal() {
						counts["final states from the partitioned owner"]++
					}
				})
			})
		},
		minCounts: map[string]int{
			"cancelled through others":                20,
			"503 responses of the partitioned owner":  100,
			"final states from the partitioned owner": 20,
		},
	},
	"delayed direct commands": {
		adjustJob: func(sim *testSimulation, j *scheduler.Job, n int) {
			j.Class, j.Priority, j.DeadlineS = "quick", scheduler.High, 60 // started by direct commands
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
			sim.crashMembers(30_000, 300, 12_000)
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
	"replayed heartbeats": {
		inject: func(t *testing.T, sim *testSimulation, counts map[string]int) {
			sim.ReplayHeartbeats(0.9, faultWindowMS+30_000)
			sim.crashMembers(20_000, 300, 14_000)
			sim.repeatAtRandom(45_000, faultWindowMS, sim.CrashAll)
			sim.repeatAtRandom(4000, faultWindowMS, func() {
				sim.SampleLiveWorkers(0.2, func(worker *emulator.Worker) {
					sim.partitionWorker(worker, 4000, 9000)
				})
			})
		},
		minCounts: map[string]int{
			"copies all":                         2000,
			"copies of an earlier incarnation":   50,
			"copies after a crash of the member": 200,
		},
	},
	"slow store, refusals, cancellations and queries": {
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
				j := sim.randomJob()
				switch requestedAt := sim.Now; sim.Rand.IntN(6) {
				case 0: // a repeated submission, possibly after the job's end
					if j.Accepted {
						counts["repeated submissions"]++
						retry := scheduler.UserRequest{Kind: scheduler.SubmitJob, ID: j.Spec.ID, Job: &j.Spec}
						sim.SendRequest(retry, func(resp scheduler.UserResponse, ok bool) {
							if ok {
								sim.ReceiveResponse(j, requestedAt, resp)
							}
						})
					}
				case 1:
					if j.Accepted && !j.CancelRequested && sim.Rand.IntN(4) == 0 {
						counts["cancellations"]++
						sim.CancelJob(j)
					}
				default:
					query := scheduler.UserRequest{Kind: scheduler.QueryJob, ID: j.Spec.ID}
					sim.SendRequest(query, func(resp scheduler.UserResponse, ok bool) {
						if ok {
							counts["responses"]++
							sim.ReceiveResponse(j, requestedAt, resp)
						}
					})
				}
			})
		},
		minCounts: map[string]int{"repeated submissions": 30, "cancellations": 20, "responses": 300, "relayed": 20},
	},
}

// allOverlappingFaults returns the scenarios of all three maps.
func allOverlappingFaults() map[string]faultScenario {
	scenarios := maps.Clone(overlappingFaults)
	maps.Copy(scenarios, overlappingRequestFaults)
	maps.Copy(scenarios, overlappingMachineFaults)
	return scenarios
}

// overlappingFaultsTaskRunMS returns the run time of a task in the scenarios of overlapping faults.
var overlappingFaultsTaskRunMS = taskRunsFor(1000, 20_000)

func TestInvariantsSurviveOverlappingFaults(t *testing.T) {
	runFaultScenarios(t, allOverlappingFaults(), 6500, overlappingFaultsTaskRunMS)
}

// runFaultScenarios runs each scenario with consecutive seeds, starting with firstSeed. runMS returns the run
// time of a task.
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
				t.Run(fmt.Sprint(seed), func(t *testing.T) {
					options := emulator.Options{Seed: firstSeed + seed, TaskRunMS: runMS}
					scenario.run(t, options, *traceSeed == int(seed), counts)
				})
			}
			for _, k := range slices.Sorted(maps.Keys(scenario.minCounts)) {
				if counts[k] < scenario.minCounts[k] {
					t.Errorf("%s: got %d times, want at least %d", k, counts[k], scenario.minCounts[k])
				}
			}
			if !t.Failed() { // knownred would take the line for a failure
				t.Logf("%v", counts)
			}
		})
	}
}

// run runs the scenario with one seed, and adds its events to counts.
func (scenario *faultScenario) run(t *testing.T, options emulator.Options, trace bool, counts map[string]int) {
	sim := newTestSimulationWith(smallScale, options)
	sim.noRandomFaults, sim.TraceEnabled = true, trace
	if scenario.adjustJob != nil {
		sim.adjustJob = func(j *scheduler.Job, n int) { scenario.adjustJob(sim, j, n) }
	}
	scenario.inject(t, sim, counts)
	sim.runScenario(faultWindowMS, 900_000, 60)
	sim.checkInvariants(t)
	sim.checkServed(t)
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

// requiredPreconditions lists, by kind of key, the kinds of the other keys on which a change needs a
// precondition, besides the revision of its own key. Without them, a write that is applied late could undo
// newer changes (docs/notes/meetings.md).
var requiredPreconditions = map[string][]string{
	"p/": {"l/s/"}, "l/u/": {"l/s/"}, "l/t/": {"l/s/"}, "l/d/": {"l/s/"}, "l/m/": {"l/lead"},
	"l/s/": nil, "l/": nil, "l/j/": nil, "f/": {"l/j/"}, "l/r/": nil,
}

// Every transaction of a member has preconditions: the revisions of its keys, and the claim under which the
// member decided it.
func TestEveryWriteHasPreconditions(t *testing.T) {
	t.Parallel()
	seen := map[string]int{}
	checkWrites := func(m *emulator.Member, outputs *scheduler.Outputs) {
		for _, op := range outputs.StoreOps {
			if op.Kind != scheduler.StoreTxn {
				continue
			}
			preconditions := map[string]bool{} // by key and by kind of key
			creates := map[string]bool{}
			for _, precondition := range op.Preconditions {
				preconditions[precondition.Key] = true
				preconditions[emulator.KeyKind(precondition.Key)] = true
				creates[precondition.Key] = precondition.Revision == 0
			}
			for _, change := range op.Changes {
				kind := emulator.KeyKind(change.Key)
				seen[kind]++
				if kind == "l/n/" {
					if change.LeaseID == 0 {
						t.Errorf("%s: got no lease, want the member's lease", change.Key)
					}
					continue
				}
				required, listed := requiredPreconditions[kind]
				isCancellation := change.Value == nil && !preconditions[claimKeyPrefix] && preconditions["f/"]
				if kind == jobKeyPrefix && !creates[change.Key] && !isCancellation {
					required = []string{claimKeyPrefix} // the end of a job or a move
				}
				if kind == jobKeyPrefix && creates[change.Key] {
					required = []string{"f/" + change.Key[len(jobKeyPrefix):]}
				}
				if change.Key == "l/lead" {
					required = nil
				}
				for _, requiredKey := range append([]string{change.Key}, required...) {
					if !preconditions[requiredKey] {
						t.Errorf("%s: got preconditions %+v, want one on %s",
							change.Key, op.Preconditions, requiredKey)
					}
				}
				if !listed {
					t.Errorf("%s: key kind %s is not in requiredPreconditions", change.Key, kind)
				}
			}
		}
	}
	for seed := range uint64(2) {
		sim := newTestSimulation(6600+seed, emulator.InjectedFault{}, smallScale)
		sim.noRandomFaults, sim.Observer = true, checkWrites
		sim.crashMembers(15_000, 300, 14_000)
		sim.repeatAtRandom(30_000, faultWindowMS, func() { sim.PartitionMember(sim.randomMember(), 9000, false) })
		sim.runScenario(faultWindowMS, 600_000, 50)
		sim.checkInvariants(t)
		rolloutSim := newRolloutSimulation(6600 + seed)
		rolloutSim.noRandomFaults, rolloutSim.Observer = true, checkWrites
		shortDeadlinePlan := replaceAll
		shortDeadlinePlan.DeadlineS = 2
		rolloutSim.applyPlanAt(25_000, disruption.Budget{MaxTasks: 3}, shortDeadlinePlan)
		rolloutSim.runScenario(60_000, 300_000, 30)
	}
	for kind := range requiredPreconditions {
		if seen[kind] == 0 {
			t.Errorf("got no write of key kind %s, want at least 1", kind)
		}
	}
	t.Logf("%v", seen)
}

// A job whose queries are all refused is detected, even if the queries of all other jobs succeed. Its user does
// not cancel it: for a cancelled job no response is expected.
func TestForgottenJobIsDetected(t *testing.T) {
	t.Parallel()
	const forgotten = "job-700000"
	fault := emulator.InjectedFault{UserResponse: func(resp *scheduler.UserResponse) {
		if resp.ID == forgotten && resp.Status == 200 {
			resp.Status = 503
		}
	}}
	sim := newTestSimulation(3, fault, smallScale)
	sim.noRandomFaults = true
	sim.adjustJob = func(j *scheduler.Job, n int) { j.AtMostOnce, j.MaxTaskErrors = false, 0 }
	sim.After(10_000, func() { sim.Submit(newRelayTestJob(forgotten, 7, 4, 5)) })
	sim.runScenario(30_000, 200_000, 20)
	if !strings.Contains(sim.Violations["forgotten"], forgotten) {
		t.Errorf("got violations %v, want %s as forgotten", sim.Violations, forgotten)
	}
}
