package scheduler_test

import (
	"testing"

	"github.com/grebedock/grebedock/emulator"
	"github.com/grebedock/grebedock/scheduler"
)

// floodWithQueries has users ask one member about random jobs, so often, until a time; it counts the
// answers and those that say nothing.
func (sim *testSimulation) floodWithQueries(m *emulator.Member, everyMS, until int64) (queries, timelyAnswers *int) {
	queries, timelyAnswers = new(int), new(int)
	for at := int64(15_000); at < until; at += everyMS {
		sim.After(at, func() {
			if len(sim.JobIDs) == 0 {
				return
			}
			j := sim.Jobs[sim.JobIDs[sim.Rand.IntN(len(sim.JobIDs))]]
			if !j.Accepted {
				return
			}
			*queries++
			sentAt := sim.Now
			sim.SendRequestTo(
				m,
				scheduler.UserRequest{Kind: scheduler.QueryJob, ID: j.Spec.ID},
				func(resp scheduler.UserResponse, ok bool) {
					if !ok {
						return
					}
					sim.ReceiveResponse(j, sentAt, resp)
					if resp.Status == 200 && sim.Now-sentAt <= 2000 {
						*timelyAnswers++
					}
				},
			)
		})
	}
	return queries, timelyAnswers
}

// Users ask one member four times as often as it may ask the state service, for two
// minutes, while jobs are accepted, cancelled and end: nearly all are answered in the two
// seconds for which they wait, nobody is forgotten, and nothing older is told.
// Found on a drawn day with a guest's 836 jobs of one task: 162 jobs were forgotten.
func TestQueryFloodIsAnsweredInTime(t *testing.T) {
	t.Parallel()
	for seed := range uint64(max(1, *seedCount/12)) {
		sim := newTestSimulationWith(
			smallScale,
			emulator.Options{Seed: 7000 + seed, TaskRunMS: func(sim *emulator.Simulation, _ *emulator.Job, _ string) int64 {
				return 5000 + sim.Rand.Int64N(30_000)
			}},
		)
		sim.noRandomFaults, sim.StoreRPS, sim.StoreWriteRPS = true, 90, 40
		queries, timelyAnswers := sim.floodWithQueries(sim.Members[0], 8, 150_000)
		sim.ReadConcurrently(120_000)
		batches := uint64(0)
		sim.Observer = func(m *emulator.Member, _ *scheduler.Outputs) { batches = max(batches, m.Core.Counters.QueryBatches) }
		sim.runScenario(120_000, 600_000, 60)
		sim.checkInvariants(t)
		sim.checkServed(t)
		if *queries < 10_000 || *timelyAnswers < *queries*19/20 || batches < 200 {
			t.Errorf("seed %d: %d of %d questions are answered in time, %d batches", seed, *timelyAnswers, *queries, batches)
		}
	}
}
