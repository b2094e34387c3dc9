package scheduler_test

import (
	"slices"
	"testing"

	"github.com/grebedock/grebedock/emulator"
	"github.com/grebedock/grebedock/scheduler"
)

// lostAnswers plays a day of one-task jobs, three to four a second, on which a share of
// the transactions get no answer, and returns how long each user waited until the job
// was accepted. With atOnce they are carried out as they come, and else seconds later.
func lostAnswers(t *testing.T, seed uint64, share float64, atOnce bool) (w *world, waits []int64) {
	t.Helper()
	w = newWorld(seed, emulator.Sabotage{}, smallScale)
	w.Loss, w.calm = 0, true
	w.shape = func(j *scheduler.Job, n int) {
		j.Tasks = 1
		j.OneZone, j.Spread, j.Zone = false, false, ""
	}
	const from, until = 12_000, 75_000
	w.LateIf = func(m *emulator.Member, op scheduler.StoreOp) bool {
		if w.Now < from || w.Now > until || w.Rand.Float64() >= share {
			return false
		}
		if atOnce {
			w.State.Do(w.Now, op) // once more later, its conditions fail
		}
		return true
	}
	w.run(70_000, 300_000, 240)
	w.check(t)
	for _, j := range w.Jobs {
		if j.Submitted >= from {
			waits = append(waits, j.AcceptedAt-j.Submitted)
		}
	}
	slices.Sort(waits)
	return w, waits
}

// within is the share of waits that are no longer than that.
func within(waits []int64, ms int64) float64 {
	n, _ := slices.BinarySearch(waits, ms+1)
	return float64(n) / float64(len(waits))
}

// Writes that are carried out and get no answer hold up hardly anybody: the record is
// seen in the mirror long before a request's time is up.
func TestLostAnswersHoldUpNobody(t *testing.T) {
	for seed := uint64(90); seed < 94; seed++ {
		w, waits := lostAnswers(t, seed, 0.35, true)
		var confirmed uint64
		for _, m := range w.Members {
			confirmed += m.Core.Status(m.Clock()).Counters.Confirmed
		}
		share := within(waits, 1000)
		t.Logf("seed %d: %.3f of %d are accepted within a second, %d by their records", seed, share, len(waits), confirmed)
		if share < 0.98 || confirmed < 20 {
			t.Errorf("seed %d: %.3f of %d are accepted within a second, %d by their records", seed, share, len(waits), confirmed)
		}
	}
}

// Writes that are carried out seconds late are asked of a peer before that: an answer
// that is lost is no reason for a peer to be passed over.
func TestPeersServeThoughAnswersAreLost(t *testing.T) {
	inTime, all := 0.0, 0.0
	for seed := uint64(90); seed < 94; seed++ {
		_, waits := lostAnswers(t, seed, 0.35, false)
		share := within(waits, 1000)
		t.Logf("seed %d: %.3f of %d are accepted within a second", seed, share, len(waits))
		inTime, all = inTime+share*float64(len(waits)), all+float64(len(waits))
	}
	if inTime < 0.82*all {
		t.Errorf("%.0f of %.0f are accepted within a second", inTime, all)
	}
}
