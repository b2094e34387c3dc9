package quota

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"

	"github.com/grebedock/grebedock/access"
	"github.com/grebedock/grebedock/indoubt"
)

// monitorState is a team over some members, each of which may stop what it uses beyond its
// guarantee, and their figures on the way.
type monitorState struct {
	used          []int
	monitors      []*UsageMonitor
	inTransit     [][]UsageSnapshot // from member i to j: at i*n+j
	snapshotsSent []int
	starts        int
}

func (s *monitorState) clone() *monitorState {
	copied := &monitorState{
		used:          slices.Clone(s.used),
		inTransit:     slices.Clone(s.inTransit),
		snapshotsSent: slices.Clone(s.snapshotsSent),
		starts:        s.starts,
	}
	for i, monitor := range s.inTransit {
		copied.inTransit[i] = slices.Clone(monitor)
	}
	for _, monitor := range s.monitors {
		copied.monitors = append(
			copied.monitors,
			&UsageMonitor{
				memberID:          monitor.memberID,
				startVersion:      monitor.startVersion,
				version:           monitor.version,
				peerIDs:           slices.Clone(monitor.peerIDs),
				snapshots:         maps.Clone(monitor.snapshots),
				preemptionBudgets: maps.Clone(monitor.preemptionBudgets),
			},
		)
	}
	return copied
}

func (s *monitorState) hash() uint64 {
	var d digest
	thousandths := func(v float64) int { return int(math.Round(min(v, 1e6) * 1000)) }
	putSnapshot := func(snapshot UsageSnapshot) {
		d.putInts(int(snapshot.Version), thousandths(snapshot.Used[team].CPUs))
		for i := range s.used {
			d.putInts(int(snapshot.ReceivedVersions[shardName(i)]))
		}
	}
	d.putInts(s.used...)
	d.putInts(s.snapshotsSent...)
	for _, monitor := range s.inTransit {
		d.putInts(-1)
		for _, snapshot := range monitor {
			putSnapshot(snapshot)
		}
	}
	for _, monitor := range s.monitors {
		d.putInts(int(monitor.version))
		for i := range s.used {
			putSnapshot(monitor.snapshots[shardName(i)].UsageSnapshot)
		}
		if budget, exists := monitor.preemptionBudgets[team]; exists {
			d.putInts(int(budget.version), thousandths(budget.remaining.CPUs), thousandths(budget.minOwnUsage.CPUs))
		}
	}
	return xxhash.Sum64(d)
}

const team, guaranteedCPUs = "ops", 4

// exploreUsageMonitors goes through all orders in which members tell, hear, start and stop. It
// returns what is wrong, and how many states there are.
func exploreUsageMonitors(used []int, maxSnapshots int, ignoresAcknowledgements bool) (string, int) {
	n := len(used)
	initial := &monitorState{used: used, inTransit: make([][]UsageSnapshot, n*n), snapshotsSent: make([]int, n)}
	for i := range used {
		initial.monitors = append(initial.monitors, NewUsageMonitor(shardName(i), 0))
	}
	seen, queue := map[uint64]bool{}, []*monitorState{initial}
	enqueue := func(s *monitorState) {
		if k := s.hash(); !seen[k] {
			seen[k] = true
			queue = append(queue, s)
		}
	}
	for len(queue) > 0 {
		s := queue[0]
		queue = queue[1:]
		for i := range used {
			if s.snapshotsSent[i] < maxSnapshots {
				next := s.clone()
				next.snapshotsSent[i]++
				snapshot := next.monitors[i].Snapshot(0, map[string]Amounts{team: {CPUs: float64(next.used[i])}}, nil)
				for j := range used {
					if j != i {
						next.inTransit[i*n+j] = append(next.inTransit[i*n+j], snapshot)
					}
				}
				enqueue(next)
			}
			monitor := s.monitors[i]
			if ignoresAcknowledgements { // planted: it does not wait for the others to hear of its stops
				monitor = s.clone().monitors[i]
				clear(monitor.preemptionBudgets)
			}
			ownUsage, guarantee := Amounts{CPUs: float64(s.used[i])}, Amounts{CPUs: guaranteedCPUs}
			preemptible := int(monitor.PreemptibleExcess(team, ownUsage, guarantee, 0).CPUs + roundingTolerance)
			for _, n := range []int{1, preemptible} { // some of what it may stop, or all
				next := s.clone()
				if ignoresAcknowledgements { // planted: it does not wait for the others to hear of its stops
					clear(next.monitors[i].preemptionBudgets)
				}
				if n > preemptible || !next.monitors[i].TryPreempt(team, ownUsage, guarantee, 0, Amounts{CPUs: float64(n)}) {
					continue
				}
				next.used[i] -= n
				total := 0
				for _, u := range next.used {
					total += u
				}
				if total < guaranteedCPUs {
					return fmt.Sprintf("%d left of %d guaranteed: %v", total, guaranteedCPUs, next.used), len(seen)
				}
				enqueue(next)
			}
			if s.used[i] == 0 && s.starts < 1 { // a start
				next := s.clone()
				next.used[i]++
				next.starts++
				enqueue(next)
			}
			for j := range used {
				for position := range s.inTransit[i*n+j] { // any may overtake, or be lost by the end
					next := s.clone()
					next.monitors[j].Receive(0, shardName(i), next.inTransit[i*n+j][position])
					next.inTransit[i*n+j] = slices.Delete(next.inTransit[i*n+j], position, position+1)
					enqueue(next)
				}
			}
		}
	}
	return "", len(seen)
}

// In no order of messages and stops do members that decide at once push a team below its
// guarantee. Without the wait they do.
func TestConcurrentPreemptionKeepsGuarantee(t *testing.T) {
	for _, used := range [][]int{{5, 5}, {6, 1}, {2, 5}} {
		violation, states := exploreUsageMonitors(used, 2, false)
		if violation != "" {
			t.Errorf("%v: %s", used, violation)
		}
		t.Logf("%v: %d states", used, states)
	}
	if violation, states := exploreUsageMonitors([]int{2, 2, 2}, 1, false); violation != "" {
		t.Error(violation)
	} else {
		t.Logf("three members: %d states", states)
	}
	found := false
	for _, used := range [][]int{{6, 6}, {8, 8}} {
		violation, states := exploreUsageMonitors(used, 2, true)
		if found = found || violation != ""; violation != "" {
			t.Logf("without the wait: %s, after %d states", violation, states)
		}
	}
	if !found {
		t.Error("without the wait, nothing is found")
	}
}

func TestPreemptibleExcessFollowsAcknowledgedUsage(t *testing.T) {
	monitor := NewUsageMonitor("a", 0)
	cpus := func(n float64) map[string]Amounts { return map[string]Amounts{team: {CPUs: n}} }
	guarantee := Amounts{CPUs: 20}
	monitor.Receive(100, "b", UsageSnapshot{Version: 1, Used: cpus(30)})
	if excess := monitor.PreemptibleExcess(team, Amounts{CPUs: 30}, guarantee, 0); excess != (Amounts{}) {
		t.Errorf("before the other heard of it since it started: %v", excess)
	}
	monitor.Receive(100, "b", UsageSnapshot{Version: 2, Used: cpus(30), ReceivedVersions: map[string]int64{"a": 1}})
	for _, c := range []struct {
		name       string
		own, since float64
		expected   float64
	}{
		{"three quarters of the use are elsewhere, and of the excess", 10, 0, 5},
		{"nothing here", 0, 0, 0},
		{"the other was not heard since: it counts as using nothing", 10, 200, 0},
		{"but what is here beyond all of the guarantee", 25, 200, 5},
	} {
		if got := monitor.PreemptibleExcess(team, Amounts{CPUs: c.own}, guarantee, int64(c.since)); math.Abs(
			got.CPUs-c.expected,
		) > roundingTolerance {
			t.Errorf("%s: %g, not %g", c.name, got.CPUs, c.expected)
		}
	}
	if excess := monitor.PreemptibleExcess(team, Amounts{CPUs: 4, GPUs: 2}, Amounts{}, 0); !math.IsInf(excess.CPUs, 1) ||
		!math.IsInf(excess.GPUs, 1) {
		t.Errorf("a team without a guarantee: %v", excess)
	}
	monitor.Snapshot(50, cpus(10), nil)
	if monitor.TryPreempt(team, Amounts{CPUs: 10}, guarantee, 0, Amounts{CPUs: 6}) ||
		!monitor.TryPreempt(team, Amounts{CPUs: 10}, guarantee, 0, Amounts{CPUs: 4}) {
		t.Error("of 5 it may stop 6, or not 4")
	}
	if excess := monitor.PreemptibleExcess(team, Amounts{CPUs: 6}, guarantee, 0); excess.CPUs != 1 {
		t.Errorf("after a stop of which nobody heard: %v", excess)
	}
	if monitor.TryPreempt(team, Amounts{CPUs: 6}, guarantee, 0, Amounts{CPUs: 1}); monitor.PreemptibleExcess(
		team,
		Amounts{CPUs: 5},
		guarantee,
		0,
	).CPUs != 0 {
		t.Error("more than its part before anybody heard")
	}
	snapshot := monitor.Snapshot(60, cpus(5), nil)
	monitor.Receive(
		300,
		"b",
		UsageSnapshot{Version: 3, Used: cpus(30), ReceivedVersions: map[string]int64{"a": snapshot.Version}},
	)
	if excess := monitor.PreemptibleExcess(team, Amounts{CPUs: 5}, guarantee, 0); excess.CPUs <= 0 {
		t.Errorf("after the other heard of the stop: %v", excess)
	}
	monitor.Receive(400, "b", UsageSnapshot{Version: 2, Used: cpus(90)})
	if used, _, age := monitor.PeerUsage(team, 500, 0); used.CPUs != 30 || age != 200 {
		t.Errorf("others use %v, %d ms ago", used, age)
	}
}

func TestJobsWithinGuaranteeAreTakenInArrivalOrder(t *testing.T) {
	jobs := []Job{
		{"c", 30, Amounts{CPUs: 1}},
		{"a", 10, Amounts{CPUs: 4}},
		{"b", 10, Amounts{CPUs: 6}},
		{"d", 20, Amounts{CPUs: 1}},
	}
	for _, c := range []struct {
		guarantee float64
		expected  string
	}{{0, "[]"}, {3, "[]"}, {4, "[a]"}, {10, "[a b]"}, {11, "[a b d]"}, {12, "[a b c d]"}} {
		if got := fmt.Sprint(slices.Sorted(maps.Keys(JobsWithinGuarantee(Amounts{CPUs: c.guarantee}, jobs)))); got != c.expected {
			t.Errorf("of %g: %s, not %s", c.guarantee, got, c.expected)
		}
	}
	if JobsWithinGuarantee(Amounts{GPUs: 1}, []Job{{"a", 1, Amounts{CPUs: 1}}})["a"] {
		t.Error("a guarantee of accelerators alone takes processors")
	}
}

func TestDominantShareAndTier(t *testing.T) {
	total := Amounts{CPUs: 100, GPUs: 10}
	if s := DominantShare(Amounts{CPUs: 20, GPUs: 5}, total); s != 0.5 {
		t.Errorf("%g", s)
	}
	if s := DominantShare(Amounts{CPUs: 20}, Amounts{}); s != 0 {
		t.Errorf("of nothing: %g", s)
	}
	for _, c := range []struct {
		used, guarantee Amounts
		expected        int
	}{
		{Amounts{CPUs: 30}, Amounts{CPUs: 30}, 0},
		{Amounts{CPUs: 42}, Amounts{CPUs: 30}, 0},
		{Amounts{CPUs: 42.5}, Amounts{CPUs: 30}, 1}, // half of a quarter
		{Amounts{CPUs: 80}, Amounts{CPUs: 30}, 4},
		{Amounts{CPUs: 5, GPUs: 3}, Amounts{CPUs: 30}, 2},
	} {
		if got := Tier(c.used, c.guarantee, total, 4); got != c.expected {
			t.Errorf("%v beyond %v: level %d, not %d", c.used, c.guarantee, got, c.expected)
		}
	}
}

// Whatever is claimed, no more is given than there is, nobody gets more than it claims,
// nothing is kept while somebody could use it, and what can start goes first.
func TestDivideServesStartableClaimsFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pool := Amounts{float64(rapid.IntRange(0, 40).Draw(t, "cpus")), float64(rapid.IntRange(0, 4).Draw(t, "gpus"))}
		var claims []Claim
		var requested, startable Amounts
		for i := range rapid.IntRange(1, 5).Draw(t, "claims") {
			c := Claim{Shard: shardName(i), SinceMS: rapid.Int64Range(0, 2).Draw(t, "since")}
			c.Total = Amounts{float64(rapid.IntRange(0, 30).Draw(t, "all")), float64(rapid.IntRange(0, 3).Draw(t, "all gpus"))}
			c.Startable = Amounts{float64(rapid.IntRange(0, int(c.Total.CPUs)).Draw(t, "soon")), 0}
			c.MinIncrement = Amounts{float64(rapid.IntRange(0, int(c.Total.CPUs)).Draw(t, "unit")), 0}
			claims, requested, startable = append(claims, c), requested.Add(c.Total), startable.Add(c.Startable)
		}
		grants := Divide(pool, claims)
		var granted, grantedStartable Amounts
		for _, c := range claims {
			if grant := grants[c.Shard]; !c.Total.Contains(grant) || grant.CPUs < 0 || grant.GPUs < 0 {
				t.Fatalf("%v gets %v", c, grant)
			}
			granted, grantedStartable = granted.Add(grants[c.Shard]), grantedStartable.Add(grants[c.Shard].Min(c.Startable))
		}
		if want := pool.Min(requested); !want.Contains(granted) || !granted.Contains(want) {
			t.Fatalf("%v of %v for %v", granted, pool, claims)
		}
		if want := pool.Min(startable); grantedStartable.CPUs < want.CPUs-roundingTolerance {
			t.Fatalf("%v goes to what can start, of %v: %v", grantedStartable, pool, claims)
		}
		// The oldest claim that can start something has its smallest use, if there is enough.
		oldest := slices.MinFunc(claims, func(a, b Claim) int {
			if a.SinceMS != b.SinceMS {
				return int(a.SinceMS - b.SinceMS)
			}
			return int(a.Shard[0]) - int(b.Shard[0])
		})
		if want := oldest.MinIncrement.Min(oldest.Startable); pool.CPUs >= want.CPUs &&
			grants[oldest.Shard].CPUs < want.CPUs-roundingTolerance {
			t.Fatalf("the oldest, %v, gets %v of %v", oldest, grants[oldest.Shard], pool)
		}
	})
}

// What members count on together never passes the limit, nor do the records' parts, for
// shards that draft what their demands ask for, over several processes' lives and with
// limits that differ from the record's.
func TestAllocationsKeepLimitThatDiffersFromRecord(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Amounts{
			CPUs: float64(rapid.IntRange(1, 30).Draw(t, "limit")),
			GPUs: float64(rapid.IntRange(0, 3).Draw(t, "gpus")),
		}
		rec := &Record{Allocations: map[string]Amounts{}, Requests: map[string]Request{}}
		for i := range 3 {
			rec.Allocations[shardName(i)] = Amounts{
				CPUs: float64(rapid.IntRange(0, 20).Draw(t, "part")),
				GPUs: float64(rapid.IntRange(0, 2).Draw(t, "part")),
			}
		}
		rev := uint64(1)
		for range 20 {
			ledger := NewLedger(limit, "a", []string{"b", "c"}[:rapid.IntRange(0, 2).Draw(t, "others")]...)
			ledger.Observe(rec, rev)
			var sum Amounts
			for i := range 3 {
				sum = sum.Add(ledger.Allocation(shardName(i)))
			}
			if !limit.Contains(sum) || !sum.Contains(limit) {
				t.Fatalf("parts %v under a limit of %v", ledger.Allocations(), limit)
			}
			shard := shardName(rapid.IntRange(0, 2).Draw(t, "s"))
			demand := Demand{
				Used:    Amounts{CPUs: float64(rapid.IntRange(0, 10).Draw(t, "use"))},
				Pending: Amounts{CPUs: float64(rapid.IntRange(0, 40).Draw(t, "wait"))},
			}
			demand.Startable, demand.LargestPending, demand.LargestTask = demand.Pending.Scale(
				0.5,
			), Amounts{
				CPUs: min(2, demand.Pending.CPUs),
			}, Amounts{
				CPUs: 2,
			}
			before := ledger.Allocation(shard)
			write := ledger.Propose(int64(rev), shard, demand)
			if write == nil {
				continue
			}
			if after := write.Record.Allocations[shard]; after.CPUs < min(before.CPUs, demand.Used.CPUs)-roundingTolerance {
				t.Fatalf("it gives %v of %v away and uses %v", after, before, demand.Used)
			}
			if _, requested := write.Record.Requests[shard]; requested &&
				!demand.Used.Add(demand.Pending).Sub(write.Record.Allocations[shard]).isSignificant() {
				t.Fatalf("it asks for what it has: %+v", write)
			}
			rev++
			rec = &write.Record
		}
	})
}

// What the home has no use for stands with others, as far as it is of use to them, and
// they give it back when the home asks.
func TestHomeShardLendsIdleLimitAndRequestsItBack(t *testing.T) {
	limit := Amounts{CPUs: 48}
	home, borrower := NewLedger(limit, "a", "b", "c"), NewLedger(limit, "a", "b", "c")
	if write := home.Propose(1, "a", Demand{Used: Amounts{CPUs: 4}, LargestTask: Amounts{CPUs: 9}}); write != nil {
		t.Errorf("parts too small for a task are lent: %+v", write)
	}
	if write := home.Propose(1, "a", Demand{Used: Amounts{CPUs: 25}, LargestTask: Amounts{CPUs: 4}}); write != nil {
		t.Errorf("lent while more than half is in use: %+v", write)
	}
	write := home.Propose(1, "a", Demand{Used: Amounts{CPUs: 4}, LargestTask: Amounts{CPUs: 4}})
	if write == nil || write.Record.Allocations["a"].CPUs != 32 || write.Record.Allocations["b"].CPUs != 8 ||
		write.Record.Allocations["c"].CPUs != 8 {
		t.Fatalf("lends %+v", write)
	}
	home.Observe(&write.Record, 1)
	home.RecordOutcome(access.OK)
	if again := home.Propose(2, "a", Demand{Used: Amounts{CPUs: 4}, LargestTask: Amounts{CPUs: 4}}); again != nil {
		t.Errorf("lends once more: %+v", again)
	}
	write = home.Propose(
		3,
		"a",
		Demand{
			Used:           Amounts{CPUs: 32},
			Pending:        Amounts{CPUs: 12},
			Startable:      Amounts{CPUs: 12},
			LargestPending: Amounts{CPUs: 4},
			LargestTask:    Amounts{CPUs: 4},
		},
	)
	if write == nil || write.Record.Requests["a"].CPUs != 12 {
		t.Fatalf("asks back %+v", write)
	}
	borrower.Observe(&write.Record, 2)
	if write = borrower.Propose(4, "b", Demand{}); write == nil || write.Record.Allocations["a"].CPUs != 40 ||
		write.Record.Requests["a"].CPUs != 4 {
		t.Errorf("gives back %+v", write)
	}
}

// A want that is met is met once: the giver takes it off the record with what it gives.
func TestGrantedRequestIsRemovedFromRecord(t *testing.T) {
	a, b := NewLedger(Amounts{CPUs: 10}, "a"), NewLedger(Amounts{CPUs: 10}, "a")
	write := b.Propose(
		5,
		"b",
		Demand{Pending: Amounts{CPUs: 4}, Startable: Amounts{CPUs: 4}, LargestPending: Amounts{CPUs: 2}},
	)
	if write == nil || write.Record.Requests["b"].CPUs != 4 || write.Record.Allocations["a"].CPUs != 10 {
		t.Fatalf("asks with %+v", write)
	}
	a.Observe(&write.Record, 1)
	write = a.Propose(
		6,
		"a",
		Demand{
			Used:           Amounts{CPUs: 7},
			Pending:        Amounts{CPUs: 1},
			Startable:      Amounts{CPUs: 1},
			LargestPending: Amounts{CPUs: 1},
		},
	)
	if write == nil || a.Allocation("a").CPUs >= 10 || len(write.Record.Requests) != 1 {
		t.Fatalf("gives with %+v, and counts on %v", write, a.Allocation("a"))
	}
	granted := write.Record.Allocations["b"].CPUs
	if unmet := write.Record.Requests["b"].CPUs; granted < 1 || granted+unmet != 4 {
		t.Errorf("%g given, %g still wanted of 4", granted, unmet)
	}
	// A write left behind with its shard holds up nothing, also where no record ever was.
	abandoning := NewLedger(Amounts{CPUs: 10}, "a")
	for range 2 {
		if abandoning.Propose(5, "b", Demand{Pending: Amounts{CPUs: 4}}) == nil {
			t.Error("nothing is asked for after a write was left behind")
		}
		abandoning.Abandon()
	}
	if again := a.Propose(7, "a", Demand{}); again != nil {
		t.Errorf("a second write beside the first: %+v", again)
	}
	if a.RecordOutcome(access.Unknown) != indoubt.ReadBack || a.Resolve(access.OK, &write.Record, 2) != indoubt.Settled ||
		a.Allocation("a").CPUs != 10-granted {
		t.Errorf("read back: part %v", a.Allocation("a"))
	}
}
