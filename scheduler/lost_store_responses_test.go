package scheduler_test

import (
	"slices"
	"testing"

	"github.com/grebedock/grebedock/emulator"
	"github.com/grebedock/grebedock/scheduler"
)

// runWithLostResponses runs one-task jobs, three to four per second, while a share of the transactions get no
// response. With executeImmediately these transactions are applied at once, otherwise seconds later. It
// returns the sorted waiting times from submission to acceptance, in milliseconds.
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
			sim.Store.Apply(sim.Now, op) // the second execution, later, fails its preconditions
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

// shareWithin returns the share of the sorted waits that are at most ms.
func shareWithin(waits []int64, ms int64) float64 {
	n, _ := slices.BinarySearch(waits, ms+1)
	return float64(n) / float64(len(waits))
}

// A write that is applied without a response rarely delays an acceptance: the state cache receives the job
// record long before the request times out.
func TestLostStoreResponsesDoNotDelayAcceptance(t *testing.T) {
	for seed := uint64(90); seed < 94; seed++ {
		sim, waits := runWithLostResponses(t, seed, 0.35, true)
		var confirmed uint64
		for _, m := range sim.Members {
			confirmed += m.Core.Status(m.Clock()).Counters.ConfirmedSubmissions
		}
		share := shareWithin(waits, 1000)
		t.Logf("seed %d: %.3f of %d jobs accepted within 1 s, %d confirmed by their records",
			seed, share, len(waits), confirmed)
		if share < 0.98 || confirmed < 20 {
			t.Errorf("seed %d: got a share of %.3f accepted within 1 s, want at least 0.98; "+
				"got %d confirmed by their records, want at least 20",
				seed, share, confirmed)
		}
	}
}

// If writes are applied seconds late, the member relays the request to a peer before that. A lost response from
// the state service must not exclude the peer.
func TestPeersServeRequestsWhileStoreResponsesAreLost(t *testing.T) {
	inTime, total := 0.0, 0.0
	for seed := uint64(90); seed < 94; seed++ {
		_, waits := runWithLostResponses(t, seed, 0.35, false)
		share := shareWithin(waits, 1000)
		t.Logf("seed %d: %.3f of %d jobs accepted within 1 s", seed, share, len(waits))
		inTime, total = inTime+share*float64(len(waits)), total+float64(len(waits))
	}
	if inTime < 0.82*total {
		t.Errorf("got %.0f of %.0f jobs accepted within 1 s, want at least 82 %%", inTime, total)
	}
}
