package scheduler_test

import (
	"slices"
	"testing"

	"github.com/grebedock/grebedock/emulator"
	"github.com/grebedock/grebedock/scheduler"
)

// runWithLostResponses runs one-task jobs, three to four a second, while a share of the
// transactions get no response, and returns how long each user waited until the job was accepted,
// in milliseconds. With executeImmediately they are applied at once, else seconds later.
func runWithLostResponses(
	t *testing.T,
	seed uint64,
	share float64,
	executeImmediately bool,
) (sim *testSimulation, waits []int64) {
	t.Helper()
	sim = newTestSimulation(seed, emulator.InjectedFault{}, smallScale)
	sim.MessageLoss, sim.noRandomFaults = 0, true
	sim.adjustJob = func(j *scheduler.Job, n int) {
		j.Tasks = 1
		j.OneZone, j.Spread, j.Zone = false, false, ""
	}
	const from, until = 12_000, 75_000
	sim.DelaysWrite = func(m *emulator.Member, op scheduler.StoreOp) bool {
		if sim.Now < from || sim.Now > until || sim.Rand.Float64() >= share {
			return false
		}
		if executeImmediately {
			sim.Store.Apply(sim.Now, op) // applied once more later, its preconditions fail
		}
		return true
	}
	sim.runScenario(70_000, 300_000, 240)
	sim.checkInvariants(t)
	for _, j := range sim.Jobs {
		if j.SubmittedAt >= from {
			waits = append(waits, j.AcceptedAt-j.SubmittedAt)
		}
	}
	slices.Sort(waits)
	return sim, waits
}

// shareWithin is the share of waits that are no longer than a time.
func shareWithin(waits []int64, ms int64) float64 {
	n, _ := slices.BinarySearch(waits, ms+1)
	return float64(n) / float64(len(waits))
}

// Writes that are applied and get no response delay hardly anybody: the record is in the cache
// long before a request times out.
func TestLostStoreResponsesDoNotDelayAcceptance(t *testing.T) {
	for seed := uint64(90); seed < 94; seed++ {
		sim, waits := runWithLostResponses(t, seed, 0.35, true)
		var confirmed uint64
		for _, m := range sim.Members {
			confirmed += m.Core.Status(m.Clock()).Counters.ConfirmedSubmissions
		}
		share := shareWithin(waits, 1000)
		t.Logf("seed %d: %.3f of %d are accepted within a second, %d by their records",
			seed, share, len(waits), confirmed)
		if share < 0.98 || confirmed < 20 {
			t.Errorf("seed %d: %.3f accepted within a second, want 0.98; %d by their records, want 20",
				seed, share, confirmed)
		}
	}
}

// Where writes are applied seconds late, a peer is asked before that: a lost response is no
// reason to skip a peer.
func TestPeersServeRequestsWhileStoreResponsesAreLost(t *testing.T) {
	inTime, total := 0.0, 0.0
	for seed := uint64(90); seed < 94; seed++ {
		_, waits := runWithLostResponses(t, seed, 0.35, false)
		share := shareWithin(waits, 1000)
		t.Logf("seed %d: %.3f of %d are accepted within a second", seed, share, len(waits))
		inTime, total = inTime+share*float64(len(waits)), total+float64(len(waits))
	}
	if inTime < 0.82*total {
		t.Errorf("%.0f of %.0f are accepted within a second", inTime, total)
	}
}
