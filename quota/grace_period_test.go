package quota

import (
	"testing"

	"github.com/grebedock/grebedock/access"
)

// twoShardLedger models two shards that share a limit of 64. Shard a's next task needs 32, but only 25
// of its allocation are unused. Shard b's tasks need 4 each, and its allocation has room for one.
type twoShardLedger struct {
	ledger   *Ledger
	revision uint64
	nowMS    int64
}

func newTwoShardLedger(gracePeriodMS int64) *twoShardLedger {
	k := &twoShardLedger{ledger: NewLedger(Amounts{CPUs: 64}, "a"), revision: 1}
	k.ledger.GracePeriodMS = gracePeriodMS
	k.ledger.Observe(&Record{Allocations: map[string]Amounts{"a": {CPUs: 57}, "b": {CPUs: 7}}}, k.revision)
	return k
}

// proposeBoth makes both shards propose, and applies their writes.
func (k *twoShardLedger) proposeBoth(demandA Demand, demandB func() Demand) {
	k.nowMS += 250
	k.propose("a", demandA)
	k.propose("b", demandB())
}

func (k *twoShardLedger) propose(shard string, demand Demand) {
	if write := k.ledger.Propose(k.nowMS, shard, demand); write != nil {
		k.ledger.RecordOutcome(access.OK)
		k.revision++
		k.ledger.Observe(&write.Record, k.revision)
	}
}

// smallTaskDemand returns the demand of tasks of size 4 that can start as soon as the allocation has
// room.
func smallTaskDemand(used, pending float64) Demand {
	return Demand{
		Used:           Amounts{CPUs: used},
		Pending:        Amounts{CPUs: pending},
		Startable:      Amounts{CPUs: pending},
		LargestPending: Amounts{CPUs: 4},
	}
}

// fourSmallTasks returns the demand of four tasks in shard b, of which as many run as fit its
// allocation.
func (k *twoShardLedger) fourSmallTasks() Demand {
	used := min(16, float64(int(k.ledger.Allocation("b").CPUs/4)*4))
	return smallTaskDemand(used, 16-used)
}

// An allocation that a shard retains but cannot use is granted to a shard that can use it, after the
// grace period and not before. When it was retained without a time limit, both shards waited; in
// TestInvariantsSurvivePairsOfFaults a job waited for 91 s.
func TestUnusableAllocationIsGrantedAfterGracePeriod(t *testing.T) {
	large := Demand{
		Used:           Amounts{CPUs: 32},
		Pending:        Amounts{CPUs: 32},
		Startable:      Amounts{CPUs: 32},
		LargestPending: Amounts{CPUs: 32},
	}
	const gracePeriodMS = 30_000
	for _, configuredMS := range []int64{0, gracePeriodMS} {
		k := newTwoShardLedger(configuredMS)
		grantedMS := int64(0)
		for k.nowMS < 100_000 && grantedMS == 0 {
			k.proposeBoth(large, k.fourSmallTasks)
			if k.ledger.Allocation("b").CPUs >= 16 {
				grantedMS = k.nowMS
			}
		}
		granted := grantedMS != 0
		onTime := grantedMS > gracePeriodMS && grantedMS <= gracePeriodMS+2000
		if configuredMS == 0 && granted || configuredMS > 0 && !onTime {
			t.Errorf("grace period %d ms: granted after %d ms (0: never), want 0 without a grace period, "+
				"else more than %d and at most %d ms", configuredMS, grantedMS, gracePeriodMS, gracePeriodMS+2000)
		}
		if sum := k.ledger.Allocation("a").Add(k.ledger.Allocation("b")); !(Amounts{CPUs: 64}).Contains(sum) {
			t.Errorf("sum of allocations: got %v, want at most 64 CPUs", sum)
		}
	}
}

// A large task gets the allocation that it needs if other tasks end within the grace period, regardless
// of the number of pending small tasks.
func TestLargeTaskAccumulatesAllocation(t *testing.T) {
	k := newTwoShardLedger(30_000)
	large := Demand{Pending: Amounts{CPUs: 60}, Startable: Amounts{CPUs: 60}, LargestPending: Amounts{CPUs: 60}}
	for k.nowMS < 200_000 && !k.ledger.Allocation("a").Contains(large.LargestPending) {
		k.proposeBoth(large, func() Demand {
			// Small tasks use all of shard b's allocation. One of them ends each second.
			used := float64(int(k.ledger.Allocation("b").CPUs/4) * 4)
			if k.nowMS%1000 == 0 {
				used = max(0, used-4)
			}
			return smallTaskDemand(used, 400)
		})
	}
	if !k.ledger.Allocation("a").Contains(large.LargestPending) {
		t.Errorf("allocation for the large task after %d ms: got %v, want at least 60 CPUs",
			k.nowMS, k.ledger.Allocation("a"))
	}
}

// The grace period begins when other shards request the retained allocation, and begins again after a
// time without requests.
func TestGracePeriodRestartsWithoutRequests(t *testing.T) {
	const gracePeriodMS = 30_000
	k := newTwoShardLedger(gracePeriodMS)
	large := Demand{
		Used:           Amounts{CPUs: 32},
		Pending:        Amounts{CPUs: 32},
		Startable:      Amounts{CPUs: 32},
		LargestPending: Amounts{CPUs: 32},
	}
	for k.nowMS < 20_000 {
		k.proposeBoth(large, k.fourSmallTasks)
	}
	for k.nowMS < 60_000 {
		k.proposeBoth(large, func() Demand { return smallTaskDemand(4, 0) })
	}
	restartedMS := k.nowMS
	for k.nowMS < restartedMS+gracePeriodMS {
		k.proposeBoth(large, k.fourSmallTasks)
		if allocation := k.ledger.Allocation("a"); allocation.CPUs < 57 {
			t.Fatalf("allocation %d ms after the new request: got %v, want at least 57 CPUs",
				k.nowMS-restartedMS, allocation)
		}
	}
}
