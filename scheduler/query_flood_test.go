package scheduler_test

import (
	"testing"

	"github.com/grebedock/grebedock/emulator"
	"github.com/grebedock/grebedock/scheduler"
)

// floodWithQueries has users query one member about random jobs every everyMS until a time; it
// counts the queries, and those that get a state within two seconds.
func (sim *testSimulation) floodWithQueries(m *emulator.Member, everyMS, until int64) (queries, timelyAnswers *int) {
	queries, timelyAnswers = new(int), new(int)
	for at := int64(15_000); at < until; at += everyMS {
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
					*timelyAnswers++
				}
			})
		})
	}
	return queries, timelyAnswers
}

// Users query one member four times as often as it may query the store, for two minutes, while
// jobs are accepted, cancelled and end: nearly all get a response in the two seconds for which they
// wait, no job is forgotten, and no response is older than an earlier one.
// Found in a random scenario with 836 one-task jobs of a team without a guarantee: 162 jobs were
// forgotten.
func TestQueryFloodIsAnsweredInTime(t *testing.T) {
	t.Parallel()
	for seed := range uint64(max(1, *seedCount/12)) {
		taskRunMS := taskRunsFor(5000, 30_000)
		sim := newTestSimulationWith(smallScale, emulator.Options{Seed: 7000 + seed, TaskRunMS: taskRunMS})
		sim.noRandomFaults, sim.StoreRPS, sim.StoreWriteRPS = true, 90, 40
		queries, timelyAnswers := sim.floodWithQueries(sim.Members[0], 8, 150_000)
		sim.ReadConcurrently(120_000)
		batches := uint64(0)
		sim.Observer = func(m *emulator.Member, _ *scheduler.Outputs) {
			batches = max(batches, m.Core.Counters.QueryBatches)
		}
		sim.runScenario(120_000, 600_000, 60)
		sim.checkInvariants(t)
		sim.checkServed(t)
		if *queries < 10_000 || *timelyAnswers < *queries*19/20 || batches < 200 {
			t.Errorf("seed %d: %d of %d queries get a timely response, %d batches",
				seed, *timelyAnswers, *queries, batches)
		}
	}
}
