package scheduler_test

import (
	"fmt"
	"testing"

	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/emulator"
	"github.com/grebedock/grebedock/internal/platformfake"
	"github.com/grebedock/grebedock/scheduler"
)

// Days with the troubles of the operations deployments (docs/incidents): members cut from
// one side only, processes that stand still, long silence, machines that come up late or
// never, users who ask many times as often, a team without a guarantee, and jobs that
// fail on every machine.

// Classes of the team without a guarantee.
const (
	unguaranteedTeam = "guest"
	idleTimeClass    = "guest-idle"
	batchPassClass   = "guest-pass"
	singleTaskClass  = "guest-small"
)

// incidentTaskRunMS is how long tasks run on these days.
func incidentTaskRunMS(sim *emulator.Simulation, j *emulator.Job, _ string) int64 {
	switch j.Spec.Class {
	case idleTimeClass:
		return 20_000 + sim.Rand.Int64N(20_000)
	case batchPassClass:
		return 50 + sim.Rand.Int64N(100)
	case singleTaskClass:
		return 500 + sim.Rand.Int64N(2500)
	}
	return 1000 + sim.Rand.Int64N(20_000)
}

// countLogs counts what members log, by its text.
func (sim *testSimulation) countLogs(counts map[string]int) {
	sim.observeLogs(func(_ *emulator.Member, line scheduler.LogLine) { counts[line.Message]++ })
}

// submitUnguaranteedJob submits a job of the team without a guarantee at a time.
func (sim *testSimulation) submitUnguaranteedJob(
	at int64,
	id, class string,
	tasks int,
	cpus float64,
	p scheduler.Priority,
) {
	sim.After(at, func() {
		sim.Submit(
			emulator.NewJob(
				scheduler.Job{ID: id, Class: class, Team: unguaranteedTeam, Kind: scheduler.Array, Priority: p, Tasks: tasks,
					Request: availability.Resources{
						CPUs:     cpus,
						MemoryGB: cpus,
						DiskGB:   0.5,
					}, Image: "img-" + class, Spot: true, EstimateS: 5},
			),
		)
	})
}

// cancelPeriodically has users cancel a random job, now and then.
func (sim *testSimulation) cancelPeriodically(intervalMS int64, counts map[string]int) {
	sim.repeatAtRandom(intervalMS, faultWindowMS, func() {
		if len(sim.JobIDs) == 0 {
			return
		}
		if j := sim.Jobs[sim.JobIDs[sim.Rand.IntN(len(sim.JobIDs))]]; j.Accepted && !j.CancelRequested &&
			!j.ObservedState.IsTerminal() {
			counts["cancellations"]++
			sim.CancelJob(j)
		}
	})
}

var incidentScenarios = map[string]faultScenario{
	"a member cut from its workers alone": {
		inject: func(_ *testing.T, sim *testSimulation, counts map[string]int) {
			sim.countLogs(counts)
			sim.repeatAtRandom(40_000, faultWindowMS, func() {
				sim.Partitions = append(
					sim.Partitions,
					emulator.Partition{
						A:             sim.randomMember().Name,
						B:             "w",
						Until:         sim.Now + 15_000 + sim.Rand.Int64N(20_000),
						DropsMessages: sim.Rand.IntN(2) == 0,
					},
				)
			})
			sim.cancelPeriodically(9000, counts)
		},
		minCounts: map[string]int{"machine lease expired": 20, "machine in a new incarnation": 5, "cancellations": 20},
	},
	"a member cut from the state service alone": {
		inject: func(_ *testing.T, sim *testSimulation, counts map[string]int) {
			sim.countLogs(counts)
			sim.repeatAtRandom(40_000, faultWindowMS, func() {
				sim.Partitions = append(
					sim.Partitions,
					emulator.Partition{
						A:             sim.randomMember().Name,
						B:             "store",
						Until:         sim.Now + 15_000 + sim.Rand.Int64N(20_000),
						DropsMessages: sim.Rand.IntN(2) == 0,
					},
				)
			})
			sim.cancelPeriodically(9000, counts)
		},
		minCounts: map[string]int{"shard lost": 5, "shard handed back": 3, "relayed": 20, "cancellations": 20},
	},
	"a member refused by the state service alone": {
		inject: func(_ *testing.T, sim *testSimulation, counts map[string]int) {
			sim.countLogs(counts)
			sim.repeatAtRandom(
				40_000,
				faultWindowMS,
				func() { sim.StartOutage(sim.randomMember().Name, 15_000+sim.Rand.Int64N(20_000)) },
			)
			sim.cancelPeriodically(9000, counts)
		},
		minCounts: map[string]int{"shard lost": 5, "shard handed back": 3, "relayed": 20, "cancellations": 20},
	},
	// Its clocks run on: what it decides, answers or starts after its wake must not rest on
	// what it knew before.
	"a process stands still for longer than its hold, and wakes": {
		inject: func(_ *testing.T, sim *testSimulation, counts map[string]int) {
			sim.countLogs(counts)
			sim.repeatAtRandom(35_000, faultWindowMS, func() {
				m := sim.randomMember()
				pauseMS := int64(25_000)
				if sim.Rand.IntN(3) == 0 {
					pauseMS = 6000
				}
				sim.PauseMember(m, pauseMS)
				// Users ask it as it wakes, while others were told of newer states.
				for at := pauseMS - 4000; at < pauseMS+2000; at += 100 {
					sim.After(at, func() {
						if len(sim.JobIDs) == 0 {
							return
						}
						j, requestedAt := sim.Jobs[sim.JobIDs[sim.Rand.IntN(len(sim.JobIDs))]], sim.Now
						sim.SendRequestTo(
							m,
							scheduler.UserRequest{Kind: scheduler.QueryJob, ID: j.Spec.ID},
							func(resp scheduler.UserResponse, ok bool) {
								if ok {
									counts["answers around a wake"]++
									sim.ReceiveResponse(j, requestedAt, resp)
								}
							},
						)
					})
				}
			})
			sim.cancelPeriodically(6000, counts)
		},
		minCounts: map[string]int{"shard lost": 5, "shard handed back": 3, "cancellations": 20, "answers around a wake": 100},
	},
	// Nobody hears it or is heard by it; what was sent is lost, or arrives when it is over.
	"a member silent for a minute and longer": {
		inject: func(_ *testing.T, sim *testSimulation, counts map[string]int) {
			sim.countLogs(counts)
			sim.repeatAtRandom(60_000, faultWindowMS, func() {
				sim.Partitions = append(
					sim.Partitions,
					emulator.Partition{
						A:             sim.randomMember().Name,
						Until:         sim.Now + 60_000 + sim.Rand.Int64N(30_000),
						DropsMessages: sim.Rand.IntN(2) == 0,
					},
				)
			})
			sim.cancelPeriodically(9000, counts)
		},
		minCounts: map[string]int{"shard lost": 5, "shard handed back": 3, "cancellations": 20},
	},
	"machines up late or never": {
		inject: func(_ *testing.T, sim *testSimulation, counts map[string]int) {
			sim.countLogs(counts)
			sim.BootDelay = func(_ *emulator.Worker, usualMS int64) int64 {
				switch sim.Rand.IntN(4) {
				case 0:
					counts["machines that never come up"]++
					return -1
				case 1:
					counts["machines that come up late"]++
					return usualMS + 15_000 + sim.Rand.Int64N(45_000)
				}
				return usualMS
			}
			sim.repeatAtRandom(20_000, faultWindowMS, func() { // and those that are there are taken away
				sim.SampleLiveWorkers(0.2, func(worker *emulator.Worker) {
					if worker.Instance.Spot {
						sim.Cloud.Reclaim(worker.Instance.ID)
					}
				})
			})
			sim.repeatAtRandom(50_000, faultWindowMS, func() { sim.randomMember().Crash(300 + sim.Rand.Int64N(14_000)) })
		},
		minCounts: map[string]int{"machines that never come up": 20, "machines that come up late": 20, "machine marked for release": 20},
	},
	// While members are cut off, stand still or end.
	"users ask many times as often": {
		inject: func(_ *testing.T, sim *testSimulation, counts map[string]int) {
			sim.StoreRPS, sim.StoreWriteRPS = 90, 40
			sim.floodWithQueries(sim.Members[0], 25, faultWindowMS)
			sim.ReadConcurrently(faultWindowMS)
			sim.Observer = func(_ *emulator.Member, outputs *scheduler.Outputs) {
				for id := range outputs.UserResponses {
					counts[fmt.Sprint("answers of ", outputs.UserResponses[id].Status)]++
				}
			}
			sim.repeatAtRandom(30_000, faultWindowMS, func() {
				switch m := sim.randomMember(); sim.Rand.IntN(4) {
				case 0:
					sim.PauseMember(m, 6000+sim.Rand.Int64N(19_000))
				case 1:
					sim.StartOutage(m.Name, 4000+sim.Rand.Int64N(16_000))
				case 2:
					sim.Partitions = append(
						sim.Partitions,
						emulator.Partition{A: m.Name, B: "store", Until: sim.Now + 4000 + sim.Rand.Int64N(16_000)},
					)
				default:
					m.Crash(300 + sim.Rand.Int64N(12_000))
				}
			})
			sim.cancelPeriodically(9000, counts)
		},
		minCounts: map[string]int{"answers of 200": 5000, "relayed": 50, "cancellations": 20},
	},
	// Idle-time work, one pass of very many tasks, and hundreds of jobs of one task, beside
	// the teams' own work; each of its classes is served to a half as well.
	"a team without a guarantee": {
		inject: func(_ *testing.T, sim *testSimulation, counts map[string]int) {
			sim.Params.Teams[unguaranteedTeam] = scheduler.Team{}
			sim.SweepIntervalMS = 500
			sim.countLogs(counts)
			for n := range 3 {
				sim.submitUnguaranteedJob(20_000, fmt.Sprintf("job-idle-%d", n), idleTimeClass, 60, 4, scheduler.Low)
			}
			sim.submitUnguaranteedJob(40_000, "job-pass", batchPassClass, 1200, 0.5, scheduler.Low)
			for n := range 250 {
				sim.submitUnguaranteedJob(
					50_000+sim.Rand.Int64N(15_000),
					fmt.Sprintf("job-small-%03d", n),
					singleTaskClass,
					1,
					1,
					scheduler.Normal,
				)
			}
			sim.repeatAtRandom(45_000, faultWindowMS, func() { sim.randomMember().Crash(300 + sim.Rand.Int64N(12_000)) })
			sim.OnTaskDone = func(t *platformfake.Task) { counts["tasks of "+t.Job.Class]++ }
		},
		minCounts: map[string]int{
			"tasks of " + idleTimeClass:   600,
			"tasks of " + batchPassClass:  7200,
			"tasks of " + singleTaskClass: 1500,
		},
	},
	// They fail everywhere until their users cancel them.
	"jobs submitted with a mistake": {
		adjustJob: func(_ *testSimulation, j *scheduler.Job, n int) {
			if n%4 == 0 {
				j.Class, j.Kind, j.AtMostOnce, j.MaxTaskErrors, j.Tasks = "mistaken", scheduler.Array, false, 0, 6+n%7
			}
		},
		inject: func(t *testing.T, sim *testSimulation, counts map[string]int) {
			sim.IsMisconfigured = func(j *emulator.Job) bool { return j.Spec.Class == "mistaken" }
			sim.observeLogs(func(_ *emulator.Member, line scheduler.LogLine) {
				counts[line.Message]++
				if line.Message == "machine draining" && line.Args[len(line.Args)-1] == "tasks of several jobs failed" {
					counts["machines drained for errors"]++
				}
			})
			sim.repeatAtRandom(1000, 3*faultWindowMS, func() {
				for _, id := range sim.JobIDs {
					if j := sim.Jobs[id]; sim.IsMisconfigured(j) && j.Accepted && !j.CancelRequested &&
						sim.Now-j.AcceptedAt > 20_000+sim.Rand.Int64N(60_000) {
						counts["mistaken jobs cancelled"]++
						sim.CancelJob(j)
					}
				}
			})
			sim.repeatAtRandom(45_000, faultWindowMS, func() { sim.randomMember().Crash(300 + sim.Rand.Int64N(12_000)) })
		},
		minCounts: map[string]int{"task failed": 200, "mistaken jobs cancelled": 30},
	},
}

func TestInvariantsSurviveIncidentScenarios(t *testing.T) {
	runFaultScenarios(t, incidentScenarios, 7500, incidentTaskRunMS)
}

// Jobs that were submitted with a mistake, one after the other, each cancelled before the
// next: their errors are theirs, and no machine is emptied for them.
func TestMisconfiguredJobsDrainNoMachine(t *testing.T) {
	t.Parallel()
	drained, failed := 0, 0
	for seed := range uint64(*seedCount / 4) {
		sim := newTestSimulationWith(smallScale, emulator.Options{Seed: 7600 + seed, TaskRunMS: incidentTaskRunMS})
		sim.noRandomFaults = true
		sim.adjustJob = func(j *scheduler.Job, _ int) { j.AtMostOnce, j.MaxTaskErrors = false, 0 }
		sim.IsMisconfigured = func(j *emulator.Job) bool { return j.Spec.Class == "mistaken" }
		sim.observeLogs(func(_ *emulator.Member, line scheduler.LogLine) {
			switch {
			case line.Message == "task failed":
				failed++
			case line.Message == "machine draining" && line.Args[len(line.Args)-1] == "tasks of several jobs failed":
				drained++
			}
		})
		for n := range 8 {
			sim.After(20_000+int64(n)*15_000, func() {
				j := emulator.NewJob(
					scheduler.Job{
						ID:        fmt.Sprintf("job-mistaken-%d", n),
						Class:     "mistaken",
						Team:      "t1",
						Kind:      scheduler.Array,
						Priority:  scheduler.High,
						Tasks:     12,
						Request:   availability.Resources{CPUs: 4, MemoryGB: 8, DiskGB: 1},
						Image:     "img-0",
						EstimateS: 5,
					},
				)
				sim.Submit(j)
				sim.After(12_000, func() { sim.CancelJob(j) })
			})
		}
		sim.runScenario(150_000, 400_000, 60)
		sim.checkInvariants(t)
		sim.checkServed(t)
	}
	if drained > 0 || failed < 100 {
		t.Errorf("%d machines are drained after %d errors", drained, failed)
	}
	t.Logf("%d tasks failed", failed)
}

// A member is cut from its workers alone, for longer than their leases and half of one: most
// of its machines are silent at once, and come back with it. Machines that end by themselves
// are still returned.
func TestMemberPartitionedFromWorkersKeepsItsMachines(t *testing.T) {
	t.Parallel()
	silent, drained, returned, drainedAlone := 0, 0, 0, 0
	for seed := range uint64(*seedCount / 4) {
		sim := newTestSimulationWith(smallScale, emulator.Options{Seed: 7700 + seed, TaskRunMS: incidentTaskRunMS})
		sim.noRandomFaults = true
		const cutAt, cutMS = 60_000, 14_000
		sim.After(cutAt, func() {
			sim.Partitions = append(
				sim.Partitions,
				emulator.Partition{A: sim.randomMember().Name, B: "w", Until: sim.Now + cutMS, DropsMessages: true},
			)
		})
		const hangAt = 110_000
		hangInjected := false
		sim.After(hangAt, func() {
			sim.SampleLiveWorkers(1, func(worker *emulator.Worker) {
				if !hangInjected {
					worker.HangUntil, hangInjected = sim.Now+60_000, true
				}
			})
		})
		sim.observeLogs(func(_ *emulator.Member, line scheduler.LogLine) {
			duringCut := sim.Now > cutAt && sim.Now < hangAt
			switch {
			case line.Message == "machine lease expired" && duringCut:
				silent++
			case line.Message == "machine in a new incarnation" && duringCut:
				returned++
			case line.Message == "machine draining" && line.Args[len(line.Args)-1] == "silent" && duringCut:
				drained++
			case line.Message == "machine draining" && line.Args[len(line.Args)-1] == "silent":
				drainedAlone++
			}
		})
		sim.runScenario(150_000, 400_000, 80)
		sim.checkInvariants(t)
		sim.checkServed(t)
	}
	if silent < *seedCount/2 || drained*10 > silent || drainedAlone == 0 {
		t.Errorf(
			"of %d silent machines %d are drained, %d come back; %d drained that are silent alone",
			silent,
			drained,
			returned,
			drainedAlone,
		)
	}
	t.Logf("%d silent, %d drained, %d back, %d alone", silent, drained, returned, drainedAlone)
}
