package emulator

import (
	"slices"
	"testing"

	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/scheduler"
)

// smallClusterOptions returns the options of three members with machines of one type.
func smallClusterOptions(seed uint64, bootS float64, capacity int) Options {
	return Options{
		Seed:                seed,
		Members:             3,
		CapacityPerOffering: capacity,
		MessageLoss:         0.002,
		Types: []scheduler.MachineType{
			{
				Name:           "small",
				Resources:      availability.Resources{CPUs: 16, MemoryGB: 64, DiskGB: 30},
				ImageFetchGBps: 1,
				Price:          0.8,
				SpotPrice:      0.2,
				BootS:          bootS,
				Zones:          []string{"a", "b"},
			},
		},
		Params: scheduler.Params{
			MaxPendingRelays: 16,
			StoreChangeRate:  20,
			HeartbeatS:       0.8,
			LeaseS:           6,
			CancelWithinS:    20,
			MaxValueBytes:    8192,
			MaxTxnOps:        16,
			CloudListLagS:    2,
		},
	}
}

func runRandomScenario(seed uint64) *Simulation {
	const bootS, capacity = 8, 4
	options := smallClusterOptions(seed, bootS, capacity)
	options.Params.Teams = map[string]scheduler.Team{"ops": {MaxCPUs: 96, CPUs: 32}}
	options.Params.Debug = true
	sim := New(options)
	sim.TraceEnabled = true
	for n := range 30 {
		sim.After(500+sim.Rand.Int64N(40_000), func() {
			sim.Submit(
				NewJob(
					scheduler.Job{
						ID:        "job-" + string(rune('1'+n/10)) + string(rune('0'+n%10)),
						Team:      "ops",
						Kind:      scheduler.Array,
						Priority:  scheduler.Normal,
						Tasks:     1 + sim.Rand.IntN(10),
						Request:   availability.Resources{CPUs: 4, MemoryGB: 8},
						Spot:      true,
						EstimateS: 5,
					},
				),
			)
		})
	}
	for at := int64(10_000); at < 60_000; at += 7000 {
		sim.After(at, sim.InjectInfrastructureFault)
	}
	sim.Run(90_000, func() bool { return false })
	return sim
}

// TestSameSeedGivesSameHistory checks that two runs with the same seed give the same trace, line by
// line, with injected faults, and that another seed gives a different trace.
func TestSameSeedGivesSameHistory(t *testing.T) {
	for seed := range uint64(3) {
		a, b := runRandomScenario(seed), runRandomScenario(seed)
		if len(a.TraceLog) < 100 {
			t.Fatalf("seed %d: got %d trace lines, want at least 100", seed, len(a.TraceLog))
		}
		for i := range min(len(a.TraceLog), len(b.TraceLog)) {
			if a.TraceLog[i] != b.TraceLog[i] {
				t.Fatalf("seed %d: runs differ at trace line %d:\n%s\n%s", seed, i, a.TraceLog[i], b.TraceLog[i])
			}
		}
		if len(a.TraceLog) != len(b.TraceLog) || !slices.Equal(a.History, b.History) {
			t.Errorf(
				"seed %d: runs differ: %d and %d trace lines, %d and %d requests in the history",
				seed,
				len(a.TraceLog),
				len(b.TraceLog),
				len(a.History),
				len(b.History),
			)
		}
		if slices.Equal(a.TraceLog, runRandomScenario(seed+100).TraceLog) {
			t.Errorf("seeds %d and %d give the same trace, want different ones", seed, seed+100)
		}
	}
}
