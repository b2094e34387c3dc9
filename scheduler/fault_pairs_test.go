package scheduler_test

import (
	"slices"
	"testing"

	"github.com/grebedock/grebedock/emulator"
	"github.com/grebedock/grebedock/scheduler"
)

// submitBurst submits twelve jobs within 1.5 s.
func (sim *testSimulation) submitBurst() {
	sim.burstCount++
	first := 1000 * sim.burstCount
	for n := range 12 {
		sim.After(sim.Rand.Int64N(1500), func() { sim.submitNthJob(first + n) })
	}
}

// TestInvariantsSurvivePairsOfFaults combines each fault with itself and with each other one. Both are
// injected two or three times at random times. The invariants hold, all jobs end, and all classes and
// teams are served.
func TestInvariantsSurvivePairsOfFaults(t *testing.T) {
	// The burst consists of jobs of this test, so it is not among the emulator's faults.
	faults := append(slices.Clone(emulator.Faults), emulator.Fault{Name: "job burst"})
	taskRunMS := taskRunsFor(1000, 15_000)
	inject := func(sim *testSimulation, fault emulator.Fault) {
		if fault.Inject == nil {
			sim.submitBurst()
		} else {
			fault.Inject(sim.Simulation)
		}
	}
	for i, first := range faults {
		t.Run(first.Name, func(t *testing.T) {
			t.Parallel()
			for offset, second := range faults[i:] {
				for seed := range max(1, *seedCount/24) {
					id := 100_000 + 10_000*i + 100*(i+offset) + seed // value for the -sim flag
					options := emulator.Options{Seed: uint64(id), TaskRunMS: taskRunMS}
					size := simScale{members: 3, capacityPerOffering: 3, maxTasks: 8, teamCPUs: 64}
					sim := newTestSimulationWith(size, options)
					sim.noRandomFaults, sim.TraceEnabled = true, *traceSeed == id
					for range 2 + sim.Rand.IntN(2) {
						sim.After(9000+sim.Rand.Int64N(30_000), func() { inject(sim, first) })
						sim.After(9000+sim.Rand.Int64N(30_000), func() { inject(sim, second) })
					}
					sim.adjustJob = func(j *scheduler.Job, n int) {
						if n >= 1000 {
							j.Tasks = min(j.Tasks, 4)
						}
					}
					sim.runScenario(45_000, 700_000, 24)
					sim.checkInvariants(t)
					sim.checkServed(t)
					if t.Failed() {
						t.Fatalf("faults %q and %q failed; trace with -sim %d", first.Name, second.Name, id)
					}
				}
			}
		})
	}
}
