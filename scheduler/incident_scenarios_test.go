package scheduler_test

import (
	"fmt"
	"testing"

	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/emulator"
	"github.com/grebedock/grebedock/internal/platformfake"
	"github.com/grebedock/grebedock/scheduler"
)

// These scenarios repeat faults of deployments in operation (docs/incidents): members that are
// partitioned from only one kind of peer, paused processes, long partitions, machines that boot late or
// never, query floods, a team without a guarantee, and jobs that fail on every machine.

// The team without a guarantee and its job classes.
const (
	unguaranteedTeam = "guest"
	idleTimeClass    = "guest-idle"
	shortTaskClass   = "guest-pass"
	singleTaskClass  = "guest-small"
)

// incidentTaskRunMS returns the run time of a task in these scenarios.
func incidentTaskRunMS(sim *emulator.Simulation, j *emulator.Job, _ string) int64 {
	switch j.Spec.Class {
	case idleTimeClass:
		return 20_000 + sim.Rand.Int64N(20_000)
	case shortTaskClass:
		return 50 + sim.Rand.Int64N(100)
	case singleTaskClass:
		return 500 + sim.Rand.Int64N(2500)
	}
	return 1000 + sim.Rand.Int64N(20_000)
}

// submitUnguaranteedJob submits a job of the team without a guarantee at the given time.
func (sim *testSimulation) submitUnguaranteedJob(
	at int64,
	id, class string,
	tasks int,
	cpus float64,
	p scheduler.Priority,
) {
	sim.After(at, func() {
		sim.Submit(emulator.NewJob(scheduler.Job{
			ID:        id,
			Class:     class,
			Team:      unguaranteedTeam,
			Kind:      scheduler.Array,
			Priority:  p,
			Tasks:     tasks,
			Request:   availability.Resources{CPUs: cpus, MemoryGB: cpus, DiskGB: 0.5},
			Image:     "img-" + class,
			Spot:      true,
			EstimateS: 5,
		}))
	})
}

// cancelPeriodically cancels a random active job about every intervalMS.
func (sim *testSimulation) cancelPeriodically(intervalMS int64, counts map[string]int) {
	sim.repeatAtRandom(intervalMS, faultWindowMS, func() {
		if len(sim.JobIDs) == 0 {
			return
		}
		j := sim.randomJob()
		if j.Accepted && !j.CancelRequested && !j.ObservedState.IsTerminal() {
			counts["cancellations"]++
			sim.CancelJob(j)
		}
	})
}

var incidentScenarios = map[string]faultScenario{
	"member partitioned from its workers": {
		inject: func(_ *testing.T, sim *testSimulation, counts map[string]int) {
			sim.countLogs(counts)
			sim.partitionMembersFrom("w", 40_000, 15_000, 20_000)
			sim.cancelPeriodically(9000, counts)
		},
		minCounts: map[string]int{"machine lease expired": 20, "machine in a new incarnation": 5, "cancellations": 20},
	},
	"member partitioned from the store": {
		inject: func(_ *testing.T, sim *testSimulation, counts map[string]int) {
			sim.countLogs(counts)
			sim.partitionMembersFrom("store", 40_000, 15_000, 20_000)
			sim.cancelPeriodically(9000, counts)
		},
		minCounts: map[string]int{"shard lost": 5, "shard handed back": 3, "relayed": 20, "cancellations": 20},
	},
	"member refused by the store": {
		inject: func(_ *testing.T, sim *testSimulation, counts map[string]int) {
			sim.countLogs(counts)
			sim.startMemberOutages(40_000, 15_000, 20_000)
			sim.cancelPeriodically(9000, counts)
		},
		minCounts: map[string]int{"shard lost": 5, "shard handed back": 3, "relayed": 20, "cancellations": 20},
	},
	// The member's clocks advance during the pause. Its decisions, responses and starts after the pause
	// must not be based on its state from before the pause.
	"process paused for longer than its lease": {
		inject: func(_ *testing.T, sim *testSimulation, counts map[string]int) {
			sim.countLogs(counts)
			sim.repeatAtRandom(35_000, faultWindowMS, func() {
				m := sim.randomMember()
				pauseMS := int64(25_000)
				if sim.Rand.IntN(3) == 0 {
					pauseMS = 6000
				}
				sim.PauseMember(m, pauseMS)
				// Users query the paused member as it resumes. Other members may have reported newer states.
				for at := pauseMS - 4000; at < pauseMS+2000; at += 100 {
					sim.After(at, func() {
						if len(sim.JobIDs) == 0 {
							return
						}
						j := sim.randomJob()
						query := scheduler.UserRequest{Kind: scheduler.QueryJob, ID: j.Spec.ID}
						countResponse := func(scheduler.UserResponse) { counts["responses around a resume"]++ }
						sim.sendAndReceive(m, j, query, countResponse)
					})
				}
			})
			sim.cancelPeriodically(6000, counts)
		},
		minCounts: map[string]int{
			"shard lost":                5,
			"shard handed back":         3,
			"cancellations":             20,
			"responses around a resume": 100,
		},
	},
	// The member neither sends nor receives. Messages are lost, or are delivered when the partition ends.
	"member partitioned for over a minute": {
		inject: func(_ *testing.T, sim *testSimulation, counts map[string]int) {
			sim.countLogs(counts)
			sim.partitionMembersFrom("", 60_000, 60_000, 30_000)
			sim.cancelPeriodically(9000, counts)
		},
		minCounts: map[string]int{"shard lost": 5, "shard handed back": 3, "cancellations": 20},
	},
	"machines boot late or never": {
		inject: func(_ *testing.T, sim *testSimulation, counts map[string]int) {
			sim.countLogs(counts)
			sim.BootDelay = func(_ *emulator.Worker, usualMS int64) int64 {
				switch sim.Rand.IntN(4) {
				case 0:
					counts["machines that never boot"]++
					return -1
				case 1:
					counts["machines that boot late"]++
					return usualMS + 15_000 + sim.Rand.Int64N(45_000)
				}
				return usualMS
			}
			sim.repeatAtRandom(20_000, faultWindowMS, func() { // the cloud also reclaims running spot machines
				sim.SampleLiveWorkers(0.2, func(worker *emulator.Worker) {
					if worker.Instance.Spot {
						sim.Cloud.Reclaim(worker.Instance.ID)
					}
				})
			})
			sim.crashMembers(50_000, 300, 14_000)
		},
		minCounts: map[string]int{
			"machines that never boot":   20,
			"machines that boot late":    20,
			"machine marked for release": 20,
		},
	},
	// Members are partitioned, are paused or crash during the flood.
	"query flood during faults": {
		inject: func(_ *testing.T, sim *testSimulation, counts map[string]int) {
			sim.StoreRPS, sim.StoreWriteRPS = 90, 40
			sim.floodWithQueries(sim.Members[0], 25, faultWindowMS)
			sim.ReadConcurrently(faultWindowMS)
			sim.Observer = func(_ *emulator.Member, outputs *scheduler.Outputs) {
				for id := range outputs.UserResponses {
					counts[fmt.Sprint("responses with status ", outputs.UserResponses[id].Status)]++
				}
			}
			sim.repeatAtRandom(30_000, faultWindowMS, func() {
				switch m := sim.randomMember(); sim.Rand.IntN(4) {
				case 0:
					sim.PauseMember(m, 6000+sim.Rand.Int64N(19_000))
				case 1:
					sim.StartOutage(m.Name, 4000+sim.Rand.Int64N(16_000))
				case 2:
					until := sim.Now + 4000 + sim.Rand.Int64N(16_000)
					sim.partition(emulator.Partition{A: m.Name, B: "store", Until: until})
				default:
					m.Crash(300 + sim.Rand.Int64N(12_000))
				}
			})
			sim.cancelPeriodically(9000, counts)
		},
		minCounts: map[string]int{"responses with status 200": 5000, "relayed": 50, "cancellations": 20},
	},
	// The team submits long low-priority jobs, one job of 1200 short tasks, and 250 jobs of one task, in
	// addition to the other teams' jobs. Half of each of its classes must be served as well.
	"team without a guarantee": {
		inject: func(_ *testing.T, sim *testSimulation, counts map[string]int) {
			sim.Params.Teams[unguaranteedTeam] = scheduler.Team{}
			sim.SweepIntervalMS = 500
			sim.countLogs(counts)
			for n := range 3 {
				sim.submitUnguaranteedJob(20_000, fmt.Sprintf("job-idle-%d", n), idleTimeClass, 60, 4, scheduler.Low)
			}
			sim.submitUnguaranteedJob(40_000, "job-pass", shortTaskClass, 1200, 0.5, scheduler.Low)
			for n := range 250 {
				at := 50_000 + sim.Rand.Int64N(15_000)
				sim.submitUnguaranteedJob(at, fmt.Sprintf("job-small-%03d", n), singleTaskClass, 1, 1, scheduler.Normal)
			}
			sim.crashMembers(45_000, 300, 12_000)
			sim.OnTaskDone = func(t *platformfake.Task) { counts["tasks of "+t.Job.Class]++ }
		},
		minCounts: map[string]int{
			"tasks of " + idleTimeClass:   600,
			"tasks of " + shortTaskClass:  7200,
			"tasks of " + singleTaskClass: 1500,
		},
	},
	// The tasks of these jobs fail on every machine until their users cancel the jobs.
	"misconfigured jobs": {
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
						counts["misconfigured jobs cancelled"]++
						sim.CancelJob(j)
					}
				}
			})
			sim.crashMembers(45_000, 300, 12_000)
		},
		minCounts: map[string]int{"task failed": 200, "misconfigured jobs cancelled": 30},
	},
}

func TestInvariantsSurviveIncidentScenarios(t *testing.T) {
	runFaultScenarios(t, incidentScenarios, 7500, incidentTaskRunMS)
}

// Misconfigured jobs run one at a time: each is cancelled before the next one is submitted. Their errors
// are caused by the jobs themselves, so no machine is drained because of them.
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
		t.Errorf("got %d drained machines and %d failed tasks, want 0 and at least 100", drained, failed)
	}
	t.Logf("%d tasks failed", failed)
}

// A member is partitioned only from its workers, for longer than one and a half of their leases. The leases
// of most of its machines expire at once, and the machines reconnect after the partition, so they are kept.
// A machine that hangs alone is still released. Only the partitioned member's machines whose lease expires during the
// partition count: another machine that is lost at the same time fails alone.
func TestMemberPartitionedFromWorkersKeepsItsMachines(t *testing.T) {
	t.Parallel()
	expired, drained, reconnected, drainedAfterHang := 0, 0, 0, 0
	for seed := range uint64(*seedCount / 4) {
		sim := newTestSimulationWith(smallScale, emulator.Options{Seed: 7700 + seed, TaskRunMS: incidentTaskRunMS})
		sim.noRandomFaults = true
		const partitionAt, partitionMS = 60_000, 14_000
		partitioned, expiredMachines := "", map[any]bool{}
		sim.After(partitionAt, func() {
			name := sim.randomMember().Name
			partitioned = name
			sim.partition(emulator.Partition{A: name, B: "w", Until: sim.Now + partitionMS, DropsMessages: true})
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
		sim.observeLogs(func(m *emulator.Member, line scheduler.LogLine) {
			duringPartition := sim.Now > partitionAt && sim.Now < hangAt
			switch {
			case line.Message == "machine lease expired" && duringPartition && m.Name == partitioned:
				expired++
				expiredMachines[line.Args[1]] = true
			case line.Message == "machine in a new incarnation" && duringPartition:
				reconnected++
			case line.Message == "machine draining" && line.Args[len(line.Args)-1] == "lease expired" &&
				duringPartition:
				if expiredMachines[line.Args[1]] {
					drained++
				}
			case line.Message == "machine draining" && line.Args[len(line.Args)-1] == "lease expired":
				drainedAfterHang++
			}
		})
		sim.runScenario(150_000, 400_000, 80)
		sim.checkInvariants(t)
		sim.checkServed(t)
	}
	if expired < *seedCount/2 || drained*10 > expired || drainedAfterHang == 0 {
		t.Errorf("got %d expired leases, %d drained and %d reconnected machines; %d drained after a hang; "+
			"want at least %d expired, at most a tenth of them drained, and at least 1 drained after a hang",
			expired, drained, reconnected, drainedAfterHang, *seedCount/2)
	}
	t.Logf("%d leases expired, %d machines drained, %d reconnected, %d drained after a hang",
		expired, drained, reconnected, drainedAfterHang)
}
