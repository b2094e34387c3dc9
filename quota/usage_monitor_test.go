package quota

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
)

// monitorState is the usage of a team in several members' shards, and the snapshots in transit between the
// members. Each member may preempt usage beyond the team's guarantee.
type monitorState struct {
	used          []int
	monitors      []*UsageMonitor
	inTransit     [][]UsageSnapshot // index i*n+j: from member i to member j
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
	for i, snapshots := range s.inTransit {
		copied.inTransit[i] = slices.Clone(snapshots)
	}
	for _, monitor := range s.monitors {
		copied.monitors = append(copied.monitors, monitor.clone())
	}
	return copied
}

func (m *UsageMonitor) clone() *UsageMonitor {
	copied := *m
	copied.peerIDs = slices.Clone(m.peerIDs)
	copied.snapshots = maps.Clone(m.snapshots)
	copied.preemptionBudgets = maps.Clone(m.preemptionBudgets)
	return &copied
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
	for _, snapshots := range s.inTransit {
		d.putInts(-1)
		for _, snapshot := range snapshots {
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

// monitorExplorer visits all orders in which members send and receive snapshots, start tasks and preempt.
type monitorExplorer struct {
	maxSnapshots            int  // maximum number of snapshots that each member sends
	ignoresAcknowledgements bool // planted fault: members do not wait until peers know of their preemptions
	seen                    map[uint64]bool
	queue                   []*monitorState
}

// exploreUsageMonitors returns the first violation, or "" without one, and the number of states visited.
func exploreUsageMonitors(used []int, maxSnapshots int, ignoresAcknowledgements bool) (violation string, states int) {
	n := len(used)
	initial := &monitorState{used: used, inTransit: make([][]UsageSnapshot, n*n), snapshotsSent: make([]int, n)}
	for i := range used {
		initial.monitors = append(initial.monitors, NewUsageMonitor(shardName(i), 0))
	}
	x := &monitorExplorer{
		maxSnapshots:            maxSnapshots,
		ignoresAcknowledgements: ignoresAcknowledgements,
		seen:                    map[uint64]bool{},
		queue:                   []*monitorState{initial},
	}
	for len(x.queue) > 0 {
		state := x.queue[0]
		x.queue = x.queue[1:]
		for member := range used {
			x.sendSnapshot(state, member)
			if violation := x.preempt(state, member); violation != "" {
				return violation, len(x.seen)
			}
			if state.used[member] == 0 && state.starts < 1 {
				next := state.clone()
				next.used[member]++
				next.starts++
				x.enqueue(next)
			}
			x.receiveSnapshots(state, member)
		}
	}
	return "", len(x.seen)
}

func (x *monitorExplorer) enqueue(s *monitorState) {
	if k := s.hash(); !x.seen[k] {
		x.seen[k] = true
		x.queue = append(x.queue, s)
	}
}

func (x *monitorExplorer) sendSnapshot(state *monitorState, from int) {
	if state.snapshotsSent[from] >= x.maxSnapshots {
		return
	}
	next, n := state.clone(), len(state.used)
	next.snapshotsSent[from]++
	snapshot := next.monitors[from].Snapshot(0, map[string]Amounts{team: {CPUs: float64(next.used[from])}}, nil)
	for to := range n {
		if to != from {
			next.inTransit[from*n+to] = append(next.inTransit[from*n+to], snapshot)
		}
	}
	x.enqueue(next)
}

// preempt lets a member preempt a part or all of its preemptible excess.
func (x *monitorExplorer) preempt(state *monitorState, member int) (violation string) {
	monitor := state.monitors[member]
	if x.ignoresAcknowledgements {
		monitor = monitor.clone()
		clear(monitor.preemptionBudgets)
	}
	ownUsage, guarantee := Amounts{CPUs: float64(state.used[member])}, Amounts{CPUs: guaranteedCPUs}
	preemptible := int(monitor.PreemptibleExcess(team, ownUsage, guarantee, 0).CPUs + roundingTolerance)
	for _, cpus := range []int{1, preemptible} {
		next := state.clone()
		if x.ignoresAcknowledgements {
			clear(next.monitors[member].preemptionBudgets)
		}
		if cpus > preemptible ||
			!next.monitors[member].TryPreempt(team, ownUsage, guarantee, 0, Amounts{CPUs: float64(cpus)}) {
			continue
		}
		next.used[member] -= cpus
		total := 0
		for _, used := range next.used {
			total += used
		}
		if total < guaranteedCPUs {
			return fmt.Sprintf("sum of usage %v after preemption: got %d, want at least %d",
				next.used, total, guaranteedCPUs)
		}
		x.enqueue(next)
	}
	return ""
}

// receiveSnapshots delivers each snapshot in transit from a member. Snapshots may be reordered or lost.
func (x *monitorExplorer) receiveSnapshots(state *monitorState, from int) {
	n := len(state.used)
	for to := range n {
		link := from*n + to
		for position, snapshot := range state.inTransit[link] {
			next := state.clone()
			next.monitors[to].Receive(0, shardName(from), snapshot)
			next.inTransit[link] = slices.Delete(next.inTransit[link], position, position+1)
			x.enqueue(next)
		}
	}
}

// Members that decide concurrently never preempt a team below its guarantee, in any order of messages and
// preemptions. Without the wait for acknowledgements they do.
func TestConcurrentPreemptionKeepsGuarantee(t *testing.T) {
	for _, used := range [][]int{{5, 5}, {6, 1}, {2, 5}} {
		violation, states := exploreUsageMonitors(used, 2, false)
		if violation != "" {
			t.Errorf("initial usage %v: %s", used, violation)
		}
		t.Logf("usage %v: explored %d states", used, states)
	}
	if violation, states := exploreUsageMonitors([]int{2, 2, 2}, 1, false); violation != "" {
		t.Error(violation)
	} else {
		t.Logf("three members: explored %d states", states)
	}
	found := false
	for _, used := range [][]int{{6, 6}, {8, 8}} {
		violation, states := exploreUsageMonitors(used, 2, true)
		if found = found || violation != ""; violation != "" {
			t.Logf("without acknowledgements, found after %d states: %s", states, violation)
		}
	}
	if !found {
		t.Error("without acknowledgements: got no violation, want one")
	}
}

func TestPreemptibleExcessFollowsAcknowledgedUsage(t *testing.T) {
	monitor := NewUsageMonitor("a", 0)
	cpus := func(n float64) map[string]Amounts { return map[string]Amounts{team: {CPUs: n}} }
	acknowledged := func(version int64) map[string]int64 { return map[string]int64{"a": version} }
	guarantee := Amounts{CPUs: 20}
	excess := func(own float64) Amounts {
		return monitor.PreemptibleExcess(team, Amounts{CPUs: own}, guarantee, 0)
	}
	tryPreempt := func(own, amount float64) bool {
		return monitor.TryPreempt(team, Amounts{CPUs: own}, guarantee, 0, Amounts{CPUs: amount})
	}

	monitor.Receive(100, "b", UsageSnapshot{Version: 1, Used: cpus(30)})
	if got := excess(30); got != (Amounts{}) {
		t.Errorf("excess before the peer received a snapshot of this incarnation: got %v, want 0", got)
	}
	monitor.Receive(100, "b", UsageSnapshot{Version: 2, Used: cpus(30), ReceivedVersions: acknowledged(1)})
	for _, c := range []struct {
		name       string
		own, since float64
		expected   float64
	}{
		{"three quarters of the usage and excess are on the peer", 10, 0, 5},
		{"no own usage", 0, 0, 0},
		{"peer without a recent snapshot counts as using nothing", 10, 200, 0},
		{"own usage alone exceeds the guarantee", 25, 200, 5},
	} {
		got := monitor.PreemptibleExcess(team, Amounts{CPUs: c.own}, guarantee, int64(c.since))
		if math.Abs(got.CPUs-c.expected) > roundingTolerance {
			t.Errorf("%s: got %g, want %g", c.name, got.CPUs, c.expected)
		}
	}
	unguaranteed := monitor.PreemptibleExcess(team, Amounts{CPUs: 4, GPUs: 2}, Amounts{}, 0)
	if !math.IsInf(unguaranteed.CPUs, 1) || !math.IsInf(unguaranteed.GPUs, 1) {
		t.Errorf("excess of a team without a guarantee: got %v, want +Inf in each dimension", unguaranteed)
	}

	monitor.Snapshot(50, cpus(10), nil)
	if tryPreempt(10, 6) || !tryPreempt(10, 4) {
		t.Error("TryPreempt with an excess of 5 CPUs: want false for 6 CPUs and true for 4")
	}
	if got := excess(6); got.CPUs != 1 {
		t.Errorf("excess after an unacknowledged preemption: got %v, want 1 CPU", got)
	}
	tryPreempt(6, 1)
	if got := excess(5); got.CPUs != 0 {
		t.Errorf("excess after it was all preempted, unacknowledged: got %v, want 0 CPUs", got)
	}
	snapshot := monitor.Snapshot(60, cpus(5), nil)
	monitor.Receive(300, "b", UsageSnapshot{
		Version: 3, Used: cpus(30), ReceivedVersions: acknowledged(snapshot.Version),
	})
	if got := excess(5); got.CPUs <= 0 {
		t.Errorf("excess after the peer acknowledged the preemption: got %v, want more than 0 CPUs", got)
	}
	monitor.Receive(400, "b", UsageSnapshot{Version: 2, Used: cpus(90)})
	if used, _, ageMS := monitor.PeerUsage(team, 500, 0); used.CPUs != 30 || ageMS != 200 {
		t.Errorf("peer usage: got %v, %d ms old, want 30 CPUs, 200 ms old", used, ageMS)
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
		within := JobsWithinGuarantee(Amounts{CPUs: c.guarantee}, jobs)
		if got := fmt.Sprint(slices.Sorted(maps.Keys(within))); got != c.expected {
			t.Errorf("jobs within a guarantee of %g CPUs: got %s, want %s", c.guarantee, got, c.expected)
		}
	}
	if JobsWithinGuarantee(Amounts{GPUs: 1}, []Job{{"a", 1, Amounts{CPUs: 1}}})["a"] {
		t.Error("job of 1 CPU is within a guarantee of 1 GPU, want it outside")
	}
}

func TestDominantShareAndTier(t *testing.T) {
	total := Amounts{CPUs: 100, GPUs: 10}
	if s := DominantShare(Amounts{CPUs: 20, GPUs: 5}, total); s != 0.5 {
		t.Errorf("dominant share: got %g, want 0.5", s)
	}
	if s := DominantShare(Amounts{CPUs: 20}, Amounts{}); s != 0 {
		t.Errorf("dominant share of an empty cluster: got %g, want 0", s)
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
			t.Errorf("tier for usage %v and guarantee %v: got %d, want %d", c.used, c.guarantee, got, c.expected)
		}
	}
}
