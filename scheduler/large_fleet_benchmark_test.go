package scheduler_test

import (
	"fmt"
	"runtime"
	"slices"
	"testing"

	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/emulator"
	"github.com/grebedock/grebedock/scheduler"
)

// BenchmarkLargeFleet runs twenty members, with all machines present when the members start. The
// members register the machines, divide them among themselves, and run jobs. It runs in simulated time
// and checks the invariants each second. A run with 100,000 machines takes minutes:
//
//	go test -run none -bench 'LargeFleet/100000' -benchtime 1x -timeout 2h ./scheduler
func BenchmarkLargeFleet(b *testing.B) {
	for _, machines := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprint(machines), func(b *testing.B) {
			for b.Loop() {
				runLargeFleet(b, machines)
			}
		})
	}
}

func runLargeFleet(b *testing.B, machines int) {
	b.Helper()
	taskRunMS := taskRunsFor(15_000, 20_000)
	size := simScale{members: 20, capacityPerOffering: 2 * machines}
	sim := newTestSimulationWith(size, emulator.Options{Seed: 7, TaskRunMS: taskRunMS})
	sim.noRandomFaults, sim.SweepIntervalMS, sim.MessageLoss = true, 1000, 0
	sim.StoreRPS, sim.StoreWriteRPS, sim.Store.PageSize = 3000, 1000, 500
	cfg := &sim.Params
	cfg.Debug, cfg.Teams = false, map[string]scheduler.Team{"t0": {}, "t1": {}}
	cfg.HeartbeatS, cfg.LeaseS, cfg.CancelWithinS = 6, 32, 62
	cfg.MaxValueBytes, cfg.StoreChangeRate, cfg.CloudListLagS = 16384, 50, 10
	sim.After(1, func() {
		for _, zone := range []string{"a", "b"} {
			sim.Cloud.Apply(sim.Now, scheduler.CloudOp{
				Kind:           scheduler.CloudProvision,
				IdempotencyKey: "all-" + zone,
				Type:           "small",
				Zone:           zone,
				Spot:           true,
				Count:          machines / 2,
			})
		}
	})
	// Enough tasks for half of the machines. No shard has the capacity for all of them alone.
	const jobs = 200
	submitFrom := int64(40_000)
	var acceptDelays []int64
	for n := range jobs {
		sim.After(submitFrom+int64(n)*100, func() {
			sim.Submit(emulator.NewJob(scheduler.Job{
				ID:        fmt.Sprintf("job-%06d", n),
				Class:     "batch",
				Team:      "t1",
				Kind:      scheduler.Array,
				Priority:  scheduler.Normal,
				Tasks:     max(1, machines*2/jobs),
				Request:   availability.Resources{CPUs: 4, MemoryGB: 8, DiskGB: 1},
				Image:     "img-1",
				Spot:      true,
				EstimateS: 25,
			}))
		})
	}
	listedMachines := 0
	sim.After(submitFrom, func() {
		listedMachines = len(sim.Members[0].Core.Status(sim.Members[0].Clock()).Machines)
		clear(sim.StoreRequests)
		sim.StoreChanges, sim.PeerMessages, sim.SummaryMessages = 0, 0, 0
	})
	sim.Run(submitFrom+60_000, func() bool { return sim.Now > submitFrom+25_000 && sim.IsFinished() })
	for rule, violation := range sim.Violations {
		b.Errorf("%s: %s", rule, violation)
	}
	var startDelays []int64
	done, tasks, requests := 0, 0, 0
	for _, j := range sim.Jobs {
		acceptDelays = append(acceptDelays, j.AcceptedAt-j.SubmittedAt)
		startDelays = append(startDelays, j.FirstStartAt-j.SubmittedAt)
		if j.DoneAt > 0 {
			done++
		}
		tasks += len(j.DoneTasks)
	}
	if done < jobs {
		b.Errorf("%d of %d jobs are done, want all", done, jobs)
	}
	slices.Sort(acceptDelays)
	slices.Sort(startDelays)
	quantile := func(sorted []int64, fraction float64) float64 {
		return float64(sorted[int(fraction*float64(len(sorted)-1))]) / 1000
	}
	var memStats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memStats)
	for _, n := range sim.StoreRequests {
		requests += n
	}
	seconds := float64(sim.Now-submitFrom) / 1000
	for name, v := range map[string]float64{
		"machines":          float64(listedMachines),
		"tasks":             float64(tasks),
		"s_accept_p50":      quantile(acceptDelays, 0.5),
		"s_accept_p99":      quantile(acceptDelays, 0.99),
		"s_start_p50":       quantile(startDelays, 0.5),
		"s_start_p99":       quantile(startDelays, 0.99),
		"requests/s":        float64(requests) / seconds,
		"changes/s":         float64(sim.StoreChanges) / seconds,
		"summaries/message": float64(sim.SummaryMessages) / float64(sim.PeerMessages),
		"MB/member":         float64(memStats.HeapAlloc) / 1e6 / float64(len(sim.Members)), // includes the simulation
	} {
		b.ReportMetric(v, name)
	}
}
