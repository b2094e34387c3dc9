package scheduler_test

import (
	"testing"

	"github.com/grebedock/grebedock/emulator"
	"github.com/grebedock/grebedock/scheduler"
)

// floodWithQueries makes users query one member about random jobs every intervalMS until the given time. It
// counts the queries, and the queries with a status 200 response within two seconds.
func (sim *testSimulation) floodWithQueries(
	m *emulator.Member,
	intervalMS, until int64,
) (queries, timelyResponses *int) {
	queries, timelyResponses = new(int), new(int)
	for at := int64(15_000); at < until; at += intervalMS {
		sim.After(at, func() {
			if len(sim.JobIDs) == 0 {
				return
			}
			j := sim.randomJob()
			if !j.Accepted {
				return
			}
			*queries++
			sentAt := sim.Now
			query := scheduler.UserRequest{Kind: scheduler.QueryJob, ID: j.Spec.ID}
			sim.sendAndReceive(m, j, query, func(resp scheduler.UserResponse) {
				if resp.Status == 200 && sim.Now-sentAt <= 2000 {
					*timelyResponses++
				}
			})
		})
	}
	return queries, timelyResponses
}

// For two minutes users query one member four times as often as it may read the state service, while jobs are
// accepted, cancelled and end. Nearly all queries get a response within the two seconds for which users wait. No
// job is forgotten, and no response is older than an earlier one.
// A random scenario with 836 one-task jobs of a team without a guarantee found this fault: 162 jobs were
// forgotten.
func TestQueryFloodIsAnsweredInTime(t *testing.T) {
	t.Parallel()
	for seed := range uint64(max(1, *seedCount/12)) {
		taskRunMS := taskRunsFor(5000, 30_000)
		sim := newTestSimulationWith(smallScale, emulator.Options{Seed: 7000 + seed, TaskRunMS: taskRunMS})
		sim.noRandomFaults, sim.StoreRPS, sim.StoreWriteRPS = true, 90, 40
		queries, timelyResponses := sim.floodWithQueries(sim.Members[0], 8, 150_000)
		sim.ReadConcurrently(120_000)
		batches := uint64(0)
		sim.Observer = func(m *emulator.Member, _ *scheduler.Outputs) {
			batches = max(batches, m.Core.Counters.QueryBatches)
		}
		sim.runScenario(120_000, 600_000, 60)
		sim.checkInvariants(t)
		sim.checkServed(t)
		if *queries < 10_000 || *timelyResponses < *queries*19/20 || batches < 200 {
			t.Errorf("seed %d: got a response within 2 s for %d of %d queries, want 95 %% of at least 10000; "+
				"got %d batches, want at least 200",
				seed, *timelyResponses, *queries, batches)
		}
	}
}
