package quota

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/grebedock/grebedock/access"
	"github.com/grebedock/grebedock/indoubt"
)

// Whatever is claimed, no more is granted than the pool has, no claim gets more than its total, nothing is
// left over while a claim could use it, and what can start goes first.
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
				t.Fatalf("claim %v is granted %v", c, grant)
			}
			granted = granted.Add(grants[c.Shard])
			grantedStartable = grantedStartable.Add(grants[c.Shard].Min(c.Startable))
		}
		if expected := pool.Min(requested); !expected.Contains(granted) || !granted.Contains(expected) {
			t.Fatalf("granted %v of %v for %v, want %v", granted, pool, claims, expected)
		}
		if expected := pool.Min(startable); grantedStartable.CPUs < expected.CPUs-roundingTolerance {
			t.Fatalf("%v of %v goes to what can start, want %v: %v", grantedStartable, pool, expected, claims)
		}
		// The oldest claim gets its smallest useful grant, if the pool has that much.
		oldest := slices.MinFunc(claims, func(a, b Claim) int {
			if a.SinceMS != b.SinceMS {
				return int(a.SinceMS - b.SinceMS)
			}
			return int(a.Shard[0]) - int(b.Shard[0])
		})
		increment, got := oldest.MinIncrement.Min(oldest.Startable), grants[oldest.Shard]
		if pool.CPUs >= increment.CPUs && got.CPUs < increment.CPUs-roundingTolerance {
			t.Fatalf("the oldest claim, %v, is granted %v of %v", oldest, got, pool)
		}
	})
}

// What members count on together adds up to the limit, for shards that propose by their demands, over
// several incarnations and with limits that differ from the record's.
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
				t.Fatalf("allocations %v under a limit of %v", ledger.Allocations(), limit)
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
				t.Fatalf("a shard that uses %v keeps %v of %v", demand.Used, after, before)
			}
			_, requested := write.Record.Requests[shard]
			if lacks := demand.Used.Add(demand.Pending).Sub(after); requested && !lacks.isSignificant() {
				t.Fatalf("a shard requests what it has: %+v", write)
			}
			revision++
			record = &write.Record
		}
	})
}

// What the home has no use for is lent to the others, as far as it is of use to them, and they return it
// when the home requests it.
func TestHomeShardLendsIdleLimitAndRequestsItBack(t *testing.T) {
	limit := Amounts{CPUs: 48}
	home, borrower := NewLedger(limit, "a", "b", "c"), NewLedger(limit, "a", "b", "c")
	if write := home.Propose(1, "a", Demand{Used: Amounts{CPUs: 4}, LargestTask: Amounts{CPUs: 9}}); write != nil {
		t.Errorf("loans too small for a task: %+v", write)
	}
	if write := home.Propose(1, "a", Demand{Used: Amounts{CPUs: 25}, LargestTask: Amounts{CPUs: 4}}); write != nil {
		t.Errorf("a loan while more than half is in use: %+v", write)
	}
	write := home.Propose(1, "a", Demand{Used: Amounts{CPUs: 4}, LargestTask: Amounts{CPUs: 4}})
	if write == nil || write.Record.Allocations["a"].CPUs != 32 || write.Record.Allocations["b"].CPUs != 8 ||
		write.Record.Allocations["c"].CPUs != 8 {
		t.Fatalf("loans: got %+v, want 8 for each of two shards", write)
	}
	home.Observe(&write.Record, 1)
	home.RecordOutcome(access.OK)
	if again := home.Propose(2, "a", Demand{Used: Amounts{CPUs: 4}, LargestTask: Amounts{CPUs: 4}}); again != nil {
		t.Errorf("a second loan: %+v", again)
	}
	write = home.Propose(3, "a", Demand{
		Used:           Amounts{CPUs: 32},
		Pending:        Amounts{CPUs: 12},
		Startable:      Amounts{CPUs: 12},
		LargestPending: Amounts{CPUs: 4},
		LargestTask:    Amounts{CPUs: 4},
	})
	if write == nil || write.Record.Requests["a"].CPUs != 12 {
		t.Fatalf("request by the home: %+v", write)
	}
	borrower.Observe(&write.Record, 2)
	write = borrower.Propose(4, "b", Demand{})
	if write == nil || write.Record.Allocations["a"].CPUs != 40 || write.Record.Requests["a"].CPUs != 4 {
		t.Errorf("return by the borrower: %+v", write)
	}
}

// A request is granted once: the write that grants it takes it off the record.
func TestGrantedRequestIsRemovedFromRecord(t *testing.T) {
	a, b := NewLedger(Amounts{CPUs: 10}, "a"), NewLedger(Amounts{CPUs: 10}, "a")
	write := b.Propose(5, "b", Demand{
		Pending:        Amounts{CPUs: 4},
		Startable:      Amounts{CPUs: 4},
		LargestPending: Amounts{CPUs: 2},
	})
	if write == nil || write.Record.Requests["b"].CPUs != 4 || write.Record.Allocations["a"].CPUs != 10 {
		t.Fatalf("request: %+v", write)
	}
	a.Observe(&write.Record, 1)
	write = a.Propose(6, "a", Demand{
		Used:           Amounts{CPUs: 7},
		Pending:        Amounts{CPUs: 1},
		Startable:      Amounts{CPUs: 1},
		LargestPending: Amounts{CPUs: 1},
	})
	if write == nil || a.Allocation("a").CPUs >= 10 || len(write.Record.Requests) != 1 {
		t.Fatalf("grant: %+v, and the grantor counts on %v", write, a.Allocation("a"))
	}
	granted := write.Record.Allocations["b"].CPUs
	if unmet := write.Record.Requests["b"].CPUs; granted < 1 || granted+unmet != 4 {
		t.Errorf("granted %g, still requested %g, want 4 together", granted, unmet)
	}
	// An abandoned write blocks nothing, also if no record ever existed.
	abandoning := NewLedger(Amounts{CPUs: 10}, "a")
	for range 2 {
		if abandoning.Propose(5, "b", Demand{Pending: Amounts{CPUs: 4}}) == nil {
			t.Error("no request after a write was abandoned")
		}
		abandoning.Abandon()
	}
	if again := a.Propose(7, "a", Demand{}); again != nil {
		t.Errorf("a second write beside the first: %+v", again)
	}
	if next := a.RecordOutcome(access.Unknown); next != indoubt.ReadBack {
		t.Errorf("unknown outcome: got %v, want a read", next)
	}
	if next := a.Resolve(access.OK, &write.Record, 2); next != indoubt.Settled {
		t.Errorf("read back as applied: got %v, want settled", next)
	}
	if got := a.Allocation("a").CPUs; got != 10-granted {
		t.Errorf("allocation after the read: got %v, want %v", got, 10-granted)
	}
}
