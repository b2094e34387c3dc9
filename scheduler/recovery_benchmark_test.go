package scheduler_test

import (
	"fmt"
	"testing"

	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/emulator"
	"github.com/grebedock/grebedock/scheduler"
)

// BenchmarkRecoveryOfAllMembers crashes all members of a busy fleet at once and restarts them after
// three seconds, in simulated time, within the rate limits of the state service. It reports three times
// from the restart on: to the first accepted submission, to the first start of a task, and to full
// recovery. Full recovery means that 95 % of the machines have had a heartbeat accepted. It also
// reports the number of store operations that the members send until full recovery.
func BenchmarkRecoveryOfAllMembers(b *testing.B) {
	for _, machines := range []int{800, 1500, 10_000} {
		b.Run(fmt.Sprint(machines), func(b *testing.B) {
			for b.Loop() {
				result := measureRecovery(b, machines)
				b.ReportMetric(float64(result.machines), "machines")
				b.ReportMetric(float64(result.firstAcceptanceMS)/1000, "s_to_accept")
				b.ReportMetric(float64(result.firstStartMS)/1000, "s_to_start")
				b.ReportMetric(float64(result.fullRecoveryMS)/1000, "s_to_full")
				b.ReportMetric(float64(result.requests), "requests")
				b.ReportMetric(float64(result.lists), "lists")
				b.ReportMetric(float64(result.changes), "changes")
				b.ReportMetric(float64(result.expiredWorkers), "killed")
			}
		})
	}
}

type recoveryResult struct {
	machines, requests, lists, changes, expiredWorkers int
	firstAcceptanceMS, firstStartMS, fullRecoveryMS    int64
}

func measureRecovery(tb testing.TB, machines int) (result recoveryResult) {
	tb.Helper()
	// Tasks with very different runtimes end continuously, and further tasks wait. Each job fills 2 %
	// of the fleet.
	taskRunMS := taskRunsFor(30_000, 90_000)
	size := simScale{members: 3, capacityPerOffering: machines * 3 / 4}
	sim := newTestSimulationWith(size, emulator.Options{Seed: 5, TaskRunMS: taskRunMS})
	sim.ChecksDisabled, sim.noRandomFaults, sim.MessageLoss = true, true, 0
	sim.StoreRPS, sim.StoreWriteRPS, sim.Store.PageSize = 600, 80, 500
	sim.Params.Debug = false
	sim.Params.Teams = map[string]scheduler.Team{"t0": {}, "t1": {}}
	sim.Params.HeartbeatS, sim.Params.LeaseS, sim.Params.CancelWithinS = 3, 17.5, 42.5
	sim.Params.MaxValueBytes, sim.Params.StoreChangeRate = 16384, 80.0/3
	tasks := machines * 4 / 50
	for n := range 75 {
		sim.After(int64(1000+300*n), func() {
			id := fmt.Sprintf("job-%06d", n)
			sim.Submit(emulator.NewJob(scheduler.Job{
				ID:        id,
				Class:     "batch",
				Team:      "t1",
				Kind:      scheduler.Array,
				Priority:  scheduler.Normal,
				Tasks:     tasks,
				Request:   availability.Resources{CPUs: 4, MemoryGB: 8},
				Types:     []string{"small"},
				Spot:      true,
				EstimateS: 60,
			}))
		})
	}
	crashAt, restartAt := int64(110_000), int64(113_000)
	countAcknowledged := func(since int64) (n, total int) {
		for _, id := range sim.WorkerIDs {
			if worker := sim.Workers[id]; worker.Up && !worker.Gone {
				total++
				if worker.AcknowledgedAt >= since {
					n++
				}
			}
		}
		return n, total
	}
	startsBefore := 0
	renewedIncarnations := func() (n uint64) {
		for _, id := range sim.WorkerIDs {
			if worker := sim.Workers[id]; worker.Agent != nil {
				n += worker.Agent.Incarnation - 1
			}
		}
		return n
	}
	var renewedBefore uint64
	sim.After(crashAt, func() {
		renewedBefore = renewedIncarnations()
		for _, m := range sim.Members {
			m.Crash(restartAt - crashAt)
		}
		for _, j := range sim.Jobs {
			for _, n := range j.StartCounts {
				startsBefore += n
			}
		}
	})
	sim.After(restartAt, func() {
		clear(sim.StoreRequests)
		sim.StoreChanges = 0
		n := 0
		var probe func()
		probe = func() {
			n++
			id := fmt.Sprintf("job-8%05d", n)
			j := emulator.NewJob(scheduler.Job{
				ID:        id,
				Class:     "quick",
				Team:      "t0",
				Kind:      scheduler.Array,
				Priority:  scheduler.High,
				Tasks:     1,
				Request:   availability.Resources{CPUs: 1, MemoryGB: 1},
				Spot:      true,
				EstimateS: 5,
				DeadlineS: 60,
			})
			sim.Jobs[id] = j
			submission := scheduler.UserRequest{Kind: scheduler.SubmitJob, ID: id, Job: &j.Spec}
			sim.SendRequest(submission, func(resp scheduler.UserResponse, ok bool) {
				if ok && resp.Status == 201 && result.firstAcceptanceMS == 0 {
					result.firstAcceptanceMS = sim.Now - restartAt
				}
			})
			if result.firstAcceptanceMS == 0 {
				sim.After(50, probe)
			}
		}
		probe()
		var measure func()
		measure = func() {
			total := 0
			for _, j := range sim.Jobs {
				for _, n := range j.StartCounts {
					total += n
				}
			}
			if total > startsBefore && result.firstStartMS == 0 {
				result.firstStartMS = sim.Now - restartAt
			}
			if n, total := countAcknowledged(restartAt); result.fullRecoveryMS == 0 && n*20 >= total*19 {
				result.fullRecoveryMS, result.machines = sim.Now-restartAt, total
				for k, n := range sim.StoreRequests {
					result.requests += n
					if k == scheduler.StoreList {
						result.lists += n
					}
				}
				result.changes = sim.StoreChanges
			}
			if result.fullRecoveryMS == 0 || result.firstStartMS == 0 || result.firstAcceptanceMS == 0 {
				sim.After(20, measure)
				return
			}
			result.expiredWorkers = int(renewedIncarnations() - renewedBefore)
		}
		measure()
	})
	sim.runScenario(restartAt+5_000, restartAt+40_000, 0)
	return result
}
