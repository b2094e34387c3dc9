package scheduler_test

import (
	"slices"
	"testing"

	"github.com/grebedock/grebedock/emulator"
	"github.com/grebedock/grebedock/internal/platformfake"
	"github.com/grebedock/grebedock/scheduler"
)

// fastBootS is the boot time in seconds in the scenario "fast-booting machines and owner crash".
const fastBootS = 1.4

// overlappingMachineFaults are overlapping faults of machines, heartbeats and commands, and overload, while
// shards change owners (docs/notes/meetings.md).
var overlappingMachineFaults = map[string]faultScenario{
	// New machines boot within two seconds and get tasks at once, while writes are delayed. A member crashes
	// while its write of a registry page or of a list of live machines is pending, or right after a start on
	// a machine that is less than 5 s old. The largest jobs belong to the team without a limit.
	"fast-booting machines and owner crash": {
		adjustJob: func(sim *testSimulation, j *scheduler.Job, n int) {
			j.Spread, j.MaxTaskErrors = false, 0
			if j.Request.CPUs > 4 {
				j.Team = "t1"
			}
		},
		inject: func(t *testing.T, sim *testSimulation, counts map[string]int) {
			sim.Cloud.Types = slices.Clone(sim.Cloud.Types)
			for typeIndex := range sim.Cloud.Types {
				sim.Cloud.Types[typeIndex].BootS = fastBootS
			}
			sim.repeatAtRandom(15_000, faultWindowMS, func() { sim.SlowStore(2500, 10_000) })
			sim.repeatAtRandom(25_000, faultWindowMS, func() { sim.DelayWrites(0.2, 6000) })
			sim.repeatAtRandom(30_000, faultWindowMS, sim.submitBurst)
			nextCrashAt := int64(10_000)
			crashSoon := func(m *emulator.Member, reason string) bool {
				if sim.Now < nextCrashAt || sim.Now > faultWindowMS {
					return false
				}
				nextCrashAt = sim.Now + 3000 + sim.Rand.Int64N(6000)
				counts["crashes: "+reason]++
				downMS := 200 + sim.Rand.Int64N(2000)
				if sim.Rand.IntN(2) == 0 {
					downMS = 15_000 + sim.Rand.Int64N(5000) // long enough that its shard is adopted
				}
				sim.After(sim.Rand.Int64N(900), func() { m.Crash(downMS) })
				return true
			}
			sim.Observer = func(m *emulator.Member, outputs *scheduler.Outputs) {
				for _, l := range outputs.Logs {
					counts[l.Message]++
					if l.Message != "start" {
						continue
					}
					worker := sim.Workers[l.Args[5].(string)]
					if worker != nil && sim.Now-worker.Instance.StartedAtMS < 5000 {
						counts["starts on new machines"]++
						if sim.Rand.IntN(3) == 0 {
							crashSoon(m, "a start on a new machine")
						}
					}
				}
			}
			// Half of the writes of a registry page or of a list of live machines may be applied late. The
			// writer of such a write crashes.
			sim.DelaysWrite = func(m *emulator.Member, op scheduler.StoreOp) bool {
				kind := emulator.KeyKind(op.Changes[0].Key)
				if kind != "l/m/" && kind != "l/u/" || op.Changes[0].Value == nil || sim.Rand.IntN(2) == 0 {
					return false
				}
				return crashSoon(m, kind)
			}
		},
		minCounts: map[string]int{
			"starts on new machines":            200,
			"crashes: a start on a new machine": 3,
			"crashes: l/m/":                     4,
			"crashes: l/u/":                     4,
			"shard claimed":                     40,
		},
	},
	// Replayed heartbeats reach every controller when a new owner claims a shard, or shortly after. Many are
	// from an earlier incarnation, since machines are partitioned, some for longer than a lease.
	"heartbeats replayed at a claim": {
		inject: func(t *testing.T, sim *testSimulation, counts map[string]int) {
			sim.ReplayHeartbeatsAtClaim(0.9, faultWindowMS)
			sim.crashMembers(12_000, 300, 16_000)
			sim.repeatAtRandom(45_000, faultWindowMS, sim.CrashAll)
			sim.repeatAtRandom(5000, faultWindowMS, func() {
				sim.SampleLiveWorkers(0.2, func(worker *emulator.Worker) {
					sim.partitionWorker(worker, 4000, 9000)
				})
			})
			sim.repeatAtRandom(20_000, faultWindowMS, func() { sim.reclaimMachines(0.2, "") })
		},
		minCounts: map[string]int{"copies at a claim": 4000, "copies of an earlier incarnation at a claim": 100},
	},
	// A heartbeat gets no response and is delayed until a new owner has sent a command to a worker. It then
	// arrives at the new owner.
	"heartbeats delayed until a new owner acted": {
		inject: func(t *testing.T, sim *testSimulation, counts map[string]int) {
			sim.DelayHeartbeatsUntilNewOwnerActs(0.15, faultWindowMS)
			sim.crashMembers(12_000, 300, 16_000)
			sim.repeatAtRandom(45_000, faultWindowMS, sim.CrashAll)
			sim.repeatAtRandom(20_000, faultWindowMS, func() { sim.reclaimMachines(0.2, "") })
		},
		minCounts: map[string]int{
			"copies after a new owner acted":                           600,
			"copies of an earlier incarnation after a new owner acted": 10,
		},
	},
	// Users submit four one-task jobs per second for two minutes and cancel a quarter of them. The request rate
	// limits of the state service are those of a small site.
	"four one-task jobs a second": {
		adjustJob: func(sim *testSimulation, j *scheduler.Job, n int) {
			if n >= firstSmallJob {
				j.Tasks, j.Request.CPUs, j.MaxTaskErrors = 1, 1, 0
				j.AtMostOnce, j.OneZone, j.Spread = false, false, false
				j.Kind, j.Team = scheduler.Array, "t1"
			}
		},
		inject: func(t *testing.T, sim *testSimulation, counts map[string]int) {
			sim.StoreRPS, sim.StoreWriteRPS = 600, 80
			n := firstSmallJob
			for at := int64(2000); at < faultWindowMS; at += 250 {
				sim.After(at+sim.Rand.Int64N(250), func() {
					sim.submitNthJob(n)
					j := sim.Jobs[sim.JobIDs[len(sim.JobIDs)-1]]
					n++
					counts["jobs"]++
					if sim.Rand.IntN(4) == 0 {
						counts["cancellations"]++
						sim.After(500+sim.Rand.Int64N(9000), func() { sim.CancelJob(j) })
					}
					sim.After(6000, func() {
						if j.Accepted && j.AcceptedAt-j.SubmittedAt <= 1000 {
							counts["accepted within a second"]++
						}
					})
				})
			}
			noCrashes := sim.Rand.IntN(2) == 0
			if !noCrashes {
				sim.crashMembers(30_000, 300, 14_000)
				return
			}
			sim.After(faultWindowMS+20_000, func() {
				acceptedInTime := 0
				for _, id := range sim.JobIDs {
					if j := sim.Jobs[id]; j.Accepted && j.AcceptedAt-j.SubmittedAt <= 1000 {
						acceptedInTime++
					}
				}
				changes := float64(sim.StoreChanges) / float64(len(sim.JobIDs))
				t.Logf("%d of %d jobs accepted within 1 s, %.1f store changes per job",
					acceptedInTime, len(sim.JobIDs), changes)
				if acceptedInTime*100 < 97*len(sim.JobIDs) {
					t.Errorf("got %d of %d jobs accepted within 1 s, want at least 97 %%",
						acceptedInTime, len(sim.JobIDs))
				}
				if changes > maxChangesPerJob {
					t.Errorf("got %.1f store changes per job, want at most %d", changes, maxChangesPerJob)
				}
				counts["runs without crashes"]++
			})
		},
		minCounts: map[string]int{"jobs": 2400, "cancellations": 500, "runs without crashes": 1},
	},
	// All controllers are unavailable for longer than a lease: crashed, paused or partitioned from everything.
	// Jobs are cancelled right before.
	"all controllers unavailable for longer than a lease": {
		inject: func(t *testing.T, sim *testSimulation, counts map[string]int) {
			kind := sim.Rand.IntN(3)
			sim.repeatAtRandom(30_000, faultWindowMS, func() {
				durationMS := func() int64 { return int64(sim.Params.LeaseS*1000) + 500 + sim.Rand.Int64N(9000) }
				sim.CancelRunningJobs(3, 0)
				kind = (kind + 1) % 3
				counts[[]string{"crashed", "paused", "partitioned"}[kind]]++
				sim.After(sim.Rand.Int64N(400), func() {
					for _, m := range sim.Members {
						switch kind {
						case 0:
							m.Crash(durationMS())
						case 1:
							sim.PauseMember(m, durationMS())
						default:
							sim.partition(emulator.Partition{
								A:             m.Name,
								Until:         sim.Now + durationMS(),
								DropsMessages: sim.Rand.IntN(2) == 0,
							})
						}
					}
				})
			})
			sim.countLogs(counts)
		},
		minCounts: map[string]int{"crashed": 3, "paused": 3, "partitioned": 3, "machine in a new incarnation": 10},
	},
	// The workers of a zone and one controller are partitioned from everything else but the users, for longer
	// than a lease. Jobs are cancelled through the other controllers.
	"partitioned zone with workers and a controller": {
		inject: func(t *testing.T, sim *testSimulation, counts map[string]int) {
			sim.repeatAtRandom(35_000, faultWindowMS, func() {
				partitionedMember := sim.randomMember()
				durationMS := int64(sim.Params.LeaseS*1000) + 1000 + sim.Rand.Int64N(20_000)
				zone := []string{"a", "b"}[sim.Rand.IntN(2)]
				sim.PartitionZoneWithMember(zone, partitionedMember, durationMS, sim.Rand.IntN(2) == 0)
				counts["zones partitioned"]++
				for at := int64(500); at < durationMS; at += 1500 {
					sim.After(at, func() { sim.cancelThroughOther(partitionedMember, counts) })
				}
				if sim.Rand.IntN(3) == 0 {
					sim.After(sim.Rand.Int64N(durationMS), func() {
						sim.StartOutage("all", 1000+sim.Rand.Int64N(9000))
					})
				}
				if sim.Rand.IntN(3) == 0 {
					sim.After(sim.Rand.Int64N(durationMS), func() {
						partitionedMember.Crash(300 + sim.Rand.Int64N(3000))
					})
				}
			})
			sim.countLogs(counts)
		},
		minCounts: map[string]int{
			"zones partitioned":            12,
			"cancelled through others":     40,
			"machine in a new incarnation": 12,
			"shard claimed":                30,
		},
	},
	// Owners change ten times in two minutes, also during a store outage. The member with the most tasks
	// crashes, and restarts within a second or after its shard has been adopted.
	"ten owner changes in two minutes": {
		inject: func(t *testing.T, sim *testSimulation, counts map[string]int) {
			for at := int64(12_000); at < faultWindowMS; at += 11_000 {
				sim.After(at+sim.Rand.Int64N(3000), func() {
					downMS := 100 + sim.Rand.Int64N(900)
					if sim.Rand.IntN(3) == 0 {
						downMS = 14_000 + sim.Rand.Int64N(3000)
					}
					sim.busiestMember().Crash(downMS)
					counts["owner crashes"]++
					if sim.OutageUntil["all"] > sim.Now {
						counts["owner crashes during an outage"]++
					}
				})
			}
			for _, at := range []int64{20_000, 75_000} {
				sim.After(at+sim.Rand.Int64N(9000), func() { sim.StartOutage("all", 8000+sim.Rand.Int64N(22_000)) })
			}
			sim.repeatAtRandom(25_000, faultWindowMS, func() { sim.CancelRunningJobs(2, sim.randomBetween(0, 8000)) })
		},
		minCounts: map[string]int{"owner crashes": 60, "owner crashes during an outage": 10},
	},
	// Jobs with zone constraints, arrays and gangs, lose machines in their zones while members crash.
	"zone-bound jobs lose machines": {
		adjustJob: func(sim *testSimulation, j *scheduler.Job, n int) {
			j.Kind, j.OneZone, j.Spread, j.Zone = scheduler.Array, false, false, ""
			switch n % 4 {
			case 0:
				j.OneZone = true
			case 1:
				j.Zone, j.Request.CPUs = []string{"a", "b"}[n/4%2], 4
			case 2:
				j.Kind, j.OneZone, j.Tasks, j.Request.CPUs = scheduler.Gang, true, 2+n%3, 4
				j.AtMostOnce, j.MaxTaskErrors = false, 0
			case 3:
				j.Spread = true
			}
		},
		inject: func(t *testing.T, sim *testSimulation, counts map[string]int) {
			sim.repeatAtRandom(7000, faultWindowMS, func() {
				zone := []string{"a", "b"}[sim.Rand.IntN(2)]
				switch sim.Rand.IntN(3) {
				case 0:
					sim.PartitionZone(zone, 2000+sim.Rand.Int64N(12_000))
				default:
					counts["machines reclaimed"] += sim.reclaimMachines(0.5, zone)
				}
			})
			sim.crashMembers(25_000, 300, 16_000)
			sim.OnTaskDone = func(task *platformfake.Task) {
				if task.Job.OneZone {
					counts["tasks done in one zone"]++
				}
			}
		},
		minCounts: map[string]int{"machines reclaimed": 60, "tasks done in one zone": 200},
	},
	// Urgent and other tasks exceed the capacity, messages are slow, and members crash. Tasks wait for capacity
	// and not for a team's limit, so the largest jobs belong to the team without a limit.
	"overload over slow links": {
		adjustJob: func(sim *testSimulation, j *scheduler.Job, n int) {
			j.AtMostOnce, j.MaxTaskErrors = false, 0
			if j.Request.CPUs > 4 {
				j.Team = "t1"
			}
			if n%3 == 0 {
				j.Class, j.Priority, j.DeadlineS = "quick", scheduler.High, 60
				j.Tasks = min(j.Tasks, 4)
			}
		},
		inject: func(t *testing.T, sim *testSimulation, counts map[string]int) {
			sim.ExtraDelay = func(from, to string) int64 {
				if sim.Now > faultWindowMS+30_000 {
					return 0
				}
				return 100 + sim.Rand.Int64N(700)
			}
			for range 4 {
				sim.After(5000+sim.Rand.Int64N(60_000), sim.submitBurst)
			}
			sim.crashMembers(30_000, 300, 14_000)
			sim.countLogs(counts)
			sim.After(faultWindowMS, func() {
				for _, id := range sim.JobIDs {
					if j := sim.Jobs[id]; j.Accepted && j.FirstStartAt == 0 && !j.CancelRequested {
						counts["waiting at the end of the faults"]++
					}
				}
			})
		},
		minCounts: map[string]int{
			"task stopped for a higher priority": 10,
			"waiting at the end of the faults":   6,
			"start":                              2000,
		},
	},
	// Workers cannot connect to any controller, some for longer than a lease, while direct commands still reach
	// them.
	"outbound partitions": {
		adjustJob: func(sim *testSimulation, j *scheduler.Job, n int) {
			j.Class, j.Priority, j.DeadlineS = "quick", scheduler.High, 60 // started by direct commands
		},
		inject: func(t *testing.T, sim *testSimulation, counts map[string]int) {
			sim.repeatAtRandom(5000, faultWindowMS, func() {
				sim.SampleLiveWorkers(0.4, func(worker *emulator.Worker) {
					sim.PartitionOutbound(worker, 1000+sim.Rand.Int64N(12_000))
				})
			})
			sim.crashMembers(30_000, 300, 12_000)
			sim.repeatAtRandom(9000, faultWindowMS, func() { sim.CancelRunningJobs(1, 0) })
			sim.Observer = func(_ *emulator.Member, outputs *scheduler.Outputs) {
				for _, l := range outputs.Logs {
					counts[l.Message]++
				}
				for _, directCommand := range outputs.DirectCommands {
					if worker := sim.Workers[directCommand.Machine]; worker != nil && len(directCommand.Commands) > 0 &&
						worker.IsOutboundPartitioned(sim.Simulation) {
						counts["commands to outbound-partitioned machines"]++
					}
				}
			}
		},
		minCounts: map[string]int{
			"commands to outbound-partitioned machines": 15,
			"machine in a new incarnation":              40,
			"machine lease expired":                     40,
		},
	},
	// A command of a previous owner, which has crashed or lost its shard, arrives after a command of the new
	// owner.
	"delayed commands of earlier owners": {
		adjustJob: func(sim *testSimulation, j *scheduler.Job, n int) {
			j.Class, j.Priority, j.DeadlineS = "quick", scheduler.High, 60 // started by direct commands
		},
		inject: func(t *testing.T, sim *testSimulation, counts map[string]int) {
			sim.DelayCommands(0.5, faultWindowMS)
			sim.repeatAtRandom(12_000, faultWindowMS, func() {
				if m := sim.busiestMember(); sim.Rand.IntN(2) == 0 {
					m.Crash(100 + sim.Rand.Int64N(900))
				} else {
					sim.PartitionMember(m, 14_000+sim.Rand.Int64N(4000), sim.Rand.IntN(2) == 0)
				}
			})
			sim.countLogs(counts)
		},
		minCounts: map[string]int{"copies late commands": 300, "token raised": 30, "shard claimed": 40},
	},
	// The state service is unavailable to one owner, then to all members for longer than cancel_s, while users
	// cancel and query.
	"store outage of one member, then of all": {
		inject: func(t *testing.T, sim *testSimulation, counts map[string]int) {
			for _, at := range []int64{15_000, 70_000} {
				sim.After(at+sim.Rand.Int64N(10_000), func() {
					refusedAloneMS := 1000 + sim.Rand.Int64N(7000)
					owner := sim.busiestMember()
					sim.StartOutage(owner.Name, refusedAloneMS)
					sim.After(sim.Rand.Int64N(refusedAloneMS), func() {
						sim.StartOutage("all", int64(sim.Params.CancelWithinS*1000)+1000+sim.Rand.Int64N(15_000))
						counts["outages"]++
					})
					for at := int64(0); at < refusedAloneMS; at += 500 {
						sim.After(at, func() { sim.cancelThroughOther(owner, counts) })
					}
				})
			}
			sim.repeatAtRandom(300, faultWindowMS, func() { sim.queryRandomJob(counts) })
			sim.repeatAtRandom(2000, faultWindowMS, func() { sim.cancelThroughOther(nil, counts) })
		},
		minCounts: map[string]int{
			"outages":                  12,
			"cancelled through others": 60,
			"responses":                300,
			"503 responses":            300,
		},
	},
}

// firstSmallJob is the number of the first one-task job. maxChangesPerJob is the allowed average number of
// changes in the state service per job, including all other changes in the same time.
const (
	firstSmallJob    = 100_000
	maxChangesPerJob = 6
)

// reclaimMachines makes the cloud reclaim a random share of the running machines of a zone, or of all zones if
// zone is empty. It returns the number of reclaimed machines.
func (sim *testSimulation) reclaimMachines(share float64, zone string) int {
	reclaimed := 0
	sim.SampleLiveWorkers(share, func(worker *emulator.Worker) {
		if zone == "" || worker.Instance.Zone == zone {
			sim.Cloud.Reclaim(worker.Instance.ID)
			reclaimed++
		}
	})
	return reclaimed
}

// busiestMember returns the running member with the most tasks on the machines that it owns.
func (sim *testSimulation) busiestMember() *emulator.Member {
	tasks := map[string]int{}
	sim.EachTask(func(worker *emulator.Worker, _ *platformfake.Task) { tasks[worker.MemberName(sim.Simulation)]++ })
	busiest := sim.randomMember()
	for _, m := range sim.Members {
		if m.Core != nil && (busiest.Core == nil || tasks[m.Name] > tasks[busiest.Name]) {
			busiest = m
		}
	}
	return busiest
}

// cancelThroughOther cancels a random active job through a random member. It does nothing if that member is the
// excluded one or is down.
func (sim *testSimulation) cancelThroughOther(excluded *emulator.Member, counts map[string]int) {
	if len(sim.JobIDs) == 0 {
		return
	}
	j, m := sim.randomJob(), sim.randomMember()
	if m == excluded || m.Core == nil || !j.Accepted || j.CancelRequested || j.ObservedState.IsTerminal() {
		return
	}
	j.CancelRequested = true
	counts["cancelled through others"]++
	requestedAt := sim.Now
	cancellation := scheduler.UserRequest{Kind: scheduler.CancelJob, ID: j.Spec.ID}
	sim.SendRequestTo(m, cancellation, func(resp scheduler.UserResponse, ok bool) {
		if ok {
			sim.ReceiveResponse(j, requestedAt, resp)
		}
		if ok && resp.Status == 200 && resp.State == scheduler.Cancelled {
			j.CancelConfirmedAt = sim.Now
		} else if !ok || resp.Status != 200 {
			sim.CancelJob(j)
		}
	})
}

// queryRandomJob queries a random job through a random member and counts the responses by outcome.
func (sim *testSimulation) queryRandomJob(counts map[string]int) {
	if len(sim.JobIDs) == 0 {
		return
	}
	j, requestedAt := sim.randomJob(), sim.Now
	query := scheduler.UserRequest{Kind: scheduler.QueryJob, ID: j.Spec.ID}
	sim.SendRequest(query, func(resp scheduler.UserResponse, ok bool) {
		switch {
		case !ok:
		case resp.Status == 503:
			counts["503 responses"]++
		default:
			counts["responses"]++
			sim.ReceiveResponse(j, requestedAt, resp)
		}
	})
}
