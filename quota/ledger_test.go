package quota

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/grebedock/grebedock/access"
	"github.com/grebedock/grebedock/indoubt"
)

// For any claims, the grants do not exceed the pool, no claim gets more than its total, and nothing usable
// remains in the pool. Tasks that can start at once are served first.
func TestDivideServesStartableClaimsFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pool := Amounts{float64(rapid.IntRange(0, 40).Draw(t, "cpus")), float64(rapid.IntRange(0, 4).Draw(t, "gpus"))}
		var claims []Claim
		var requested, startable Amounts
		for i := range rapid.IntRange(1, 5).Draw(t, "claims") {
			c := Claim{Shard: shardName(i), SinceMS: rapid.Int64Range(0, 2).Draw(t, "since")}
			c.Total = Amounts{
				CPUs: float64(rapid.IntRange(0, 30).Draw(t, "total cpus")),
				GPUs: float64(rapid.IntRange(0, 3).Draw(t, "total gpus")),
			}
			c.Startable = Amounts{float64(rapid.IntRange(0, int(c.Total.CPUs)).Draw(t, "startable")), 0}
			c.MinIncrement = Amounts{float64(rapid.IntRange(0, int(c.Total.CPUs)).Draw(t, "increment")), 0}
			claims = append(claims, c)
			requested, startable = requested.Add(c.Total), startable.Add(c.Startable)
		}
		grants := Divide(pool, claims)
		var granted, grantedStartable Amounts
		for _, c := range claims {
			if grant := grants[c.Shard]; !c.Total.Contains(grant) || grant.CPUs < 0 || grant.GPUs < 0 {
				t.Fatalf("grant for claim %+v: got %v, want between 0 and its total", c, grant)
			}
			granted = granted.Add(grants[c.Shard])
			grantedStartable = grantedStartable.Add(grants[c.Shard].Min(c.Startable))
		}
		if expected := pool.Min(requested); !expected.Contains(granted) || !granted.Contains(expected) {
			t.Fatalf("sum of grants from %v for %+v: got %v, want %v", pool, claims, granted, expected)
		}
		if expected := pool.Min(startable); grantedStartable.CPUs < expected.CPUs-roundingTolerance {
			t.Fatalf("startable part of grants from %v for %+v: got %v, want %v",
				pool, claims, grantedStartable, expected)
		}
		// The oldest claim gets its smallest useful grant if the pool is large enough.
		oldest := slices.MinFunc(claims, func(a, b Claim) int {
			if a.SinceMS != b.SinceMS {
				return int(a.SinceMS - b.SinceMS)
			}
			return int(a.Shard[0]) - int(b.Shard[0])
		})
		increment, got := oldest.MinIncrement.Min(oldest.Startable), grants[oldest.Shard]
		if pool.CPUs >= increment.CPUs && got.CPUs < increment.CPUs-roundingTolerance {
			t.Fatalf("grant for the oldest claim %+v from %v: got %v, want at least %v", oldest, pool, got, increment)
		}
	})
}

// The allocations that members use add up to the limit while shards propose writes for random demands. The
// limit may differ from the sum in the record, and each step uses a new ledger.
func TestAllocationsKeepLimitThatDiffersFromRecord(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Amounts{
			CPUs: float64(rapid.IntRange(1, 30).Draw(t, "limit")),
			GPUs: float64(rapid.IntRange(0, 3).Draw(t, "gpus")),
		}
		record := &Record{Allocations: map[string]Amounts{}, Requests: map[string]Request{}}
		for i := range 3 {
			record.Allocations[shardName(i)] = Amounts{
				CPUs: float64(rapid.IntRange(0, 20).Draw(t, "allocation")),
				GPUs: float64(rapid.IntRange(0, 2).Draw(t, "allocation")),
			}
		}
		revision := uint64(1)
		for range 20 {
			ledger := NewLedger(limit, "a", []string{"b", "c"}[:rapid.IntRange(0, 2).Draw(t, "others")]...)
			ledger.Observe(record, revision)
			var sum Amounts
			for i := range 3 {
				sum = sum.Add(ledger.Allocation(shardName(i)))
			}
			if !limit.Contains(sum) || !sum.Contains(limit) {
				t.Fatalf("sum of allocations %v: got %v, want the limit %v", ledger.Allocations(), sum, limit)
			}
			shard := shardName(rapid.IntRange(0, 2).Draw(t, "s"))
			demand := Demand{
				Used:    Amounts{CPUs: float64(rapid.IntRange(0, 10).Draw(t, "use"))},
				Pending: Amounts{CPUs: float64(rapid.IntRange(0, 40).Draw(t, "wait"))},
			}
			demand.Startable = demand.Pending.Scale(0.5)
			demand.LargestPending = Amounts{CPUs: min(2, demand.Pending.CPUs)}
			demand.LargestTask = Amounts{CPUs: 2}
			before := ledger.Allocation(shard)
			write := ledger.Propose(int64(revision), shard, demand)
			if write == nil {
				continue
			}
			after := write.Record.Allocations[shard]
			if after.CPUs < min(before.CPUs, demand.Used.CPUs)-roundingTolerance {
				t.Fatalf("allocation of a shard that uses %v of %v: got %v, want at least its usage",
					demand.Used, before, after)
			}
			_, requested := write.Record.Requests[shard]
			if lacks := demand.Used.Add(demand.Pending).Sub(after); requested && !lacks.isSignificant() {
				t.Fatalf("request of a shard without a shortfall: got %+v, want none", write)
			}
			revision++
			record = &write.Record
		}
	})
}

// The home shard lends the idle part of the limit to the other shards if the loans are large enough for a
// task. The other shards return the loans when the home shard requests them.
func TestHomeShardLendsIdleLimitAndRequestsItBack(t *testing.T) {
	limit := Amounts{CPUs: 48}
	home, borrower := NewLedger(limit, "a", "b", "c"), NewLedger(limit, "a", "b", "c")
	if write := home.Propose(1, "a", Demand{Used: Amounts{CPUs: 4}, LargestTask: Amounts{CPUs: 9}}); write != nil {
		t.Errorf("loans too small for a task: got %+v, want no write", write)
	}
	if write := home.Propose(1, "a", Demand{Used: Amounts{CPUs: 25}, LargestTask: Amounts{CPUs: 4}}); write != nil {
		t.Errorf("loan while more than half of the limit is in use: got %+v, want no write", write)
	}
	write := home.Propose(1, "a", Demand{Used: Amounts{CPUs: 4}, LargestTask: Amounts{CPUs: 4}})
	if write == nil || write.Record.Allocations["a"].CPUs != 32 || write.Record.Allocations["b"].CPUs != 8 ||
		write.Record.Allocations["c"].CPUs != 8 {
		t.Fatalf("loans: got %+v, want 8 CPUs for each of two shards", write)
	}
	home.Observe(&write.Record, 1)
	home.RecordOutcome(access.OK)
	if again := home.Propose(2, "a", Demand{Used: Amounts{CPUs: 4}, LargestTask: Amounts{CPUs: 4}}); again != nil {
		t.Errorf("second loan: got %+v, want no write", again)
	}
	write = home.Propose(3, "a", Demand{
		Used:           Amounts{CPUs: 32},
		Pending:        Amounts{CPUs: 12},
		Startable:      Amounts{CPUs: 12},
		LargestPending: Amounts{CPUs: 4},
		LargestTask:    Amounts{CPUs: 4},
	})
	if write == nil || write.Record.Requests["a"].CPUs != 12 {
		t.Fatalf("request of the home shard: got %+v, want 12 CPUs", write)
	}
	borrower.Observe(&write.Record, 2)
	write = borrower.Propose(4, "b", Demand{})
	if write == nil || write.Record.Allocations["a"].CPUs != 40 || write.Record.Requests["a"].CPUs != 4 {
		t.Errorf("return of the loan: got %+v, want 40 CPUs allocated to a and 4 still requested", write)
	}
}

// A request is granted only once, because the write that grants it removes it from the record.
func TestGrantedRequestIsRemovedFromRecord(t *testing.T) {
	a, b := NewLedger(Amounts{CPUs: 10}, "a"), NewLedger(Amounts{CPUs: 10}, "a")
	write := b.Propose(5, "b", Demand{
		Pending:        Amounts{CPUs: 4},
		Startable:      Amounts{CPUs: 4},
		LargestPending: Amounts{CPUs: 2},
	})
	if write == nil || write.Record.Requests["b"].CPUs != 4 || write.Record.Allocations["a"].CPUs != 10 {
		t.Fatalf("request: got %+v, want 4 CPUs for b, and 10 allocated to a", write)
	}
	a.Observe(&write.Record, 1)
	write = a.Propose(6, "a", Demand{
		Used:           Amounts{CPUs: 7},
		Pending:        Amounts{CPUs: 1},
		Startable:      Amounts{CPUs: 1},
		LargestPending: Amounts{CPUs: 1},
	})
	if write == nil || a.Allocation("a").CPUs >= 10 || len(write.Record.Requests) != 1 {
		t.Fatalf("grant: got %+v and allocation %v, want an allocation below 10 CPUs and 1 request",
			write, a.Allocation("a"))
	}
	granted := write.Record.Allocations["b"].CPUs
	if unmet := write.Record.Requests["b"].CPUs; granted < 1 || granted+unmet != 4 {
		t.Errorf("got %g CPUs granted, %g still requested, want at least 1 granted and a sum of 4", granted, unmet)
	}
	// An abandoned write does not block further writes, even if no record ever existed.
	abandoning := NewLedger(Amounts{CPUs: 10}, "a")
	for range 2 {
		if abandoning.Propose(5, "b", Demand{Pending: Amounts{CPUs: 4}}) == nil {
			t.Error("proposal after an abandoned write: got none, want a request")
		}
		abandoning.Abandon()
	}
	if again := a.Propose(7, "a", Demand{}); again != nil {
		t.Errorf("proposal while a write is pending: got %+v, want none", again)
	}
	if next := a.RecordOutcome(access.Unknown); next != indoubt.ReadBack {
		t.Errorf("next step after an unknown outcome: got %v, want %v", next, indoubt.ReadBack)
	}
	if next := a.Resolve(access.OK, &write.Record, 2); next != indoubt.Settled {
		t.Errorf("next step after reading the applied write: got %v, want %v", next, indoubt.Settled)
	}
	if got := a.Allocation("a").CPUs; got != 10-granted {
		t.Errorf("allocation after the read: got %v CPUs, want %v", got, 10-granted)
	}
}
