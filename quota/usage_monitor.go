package quota

import (
	"cmp"
	"math"
	"slices"
)

// Job is an unfinished job of a team.
type Job struct {
	ID         string
	AcceptedMS int64   // time of day
	Size       Amounts // of all its tasks together
}

// Compare orders jobs by arrival.
func (j Job) Compare(o Job) int {
	return cmp.Or(cmp.Compare(j.AcceptedMS, o.AcceptedMS), cmp.Compare(j.ID, o.ID))
}

// JobsWithinGuarantee returns the IDs of a team's unfinished jobs that are within its guarantee: each
// that fits it together with all that arrived before. Members that see the same jobs agree.
func JobsWithinGuarantee(guarantee Amounts, jobs []Job) map[string]bool {
	if !guarantee.isSignificant() {
		return nil
	}
	jobs = slices.Clone(jobs)
	slices.SortFunc(jobs, Job.Compare)
	within := map[string]bool{}
	var sum Amounts
	for _, j := range jobs {
		if sum = sum.Add(j.Size); !guarantee.Contains(sum) {
			break
		}
		within[j.ID] = true
	}
	return within
}

// UsageSnapshot is a member's figures of what teams use in its shards, as sent to the others.
type UsageSnapshot struct {
	Version          int64              `msgpack:"at"`    // higher in each
	Used             map[string]Amounts `msgpack:"use"`   // by team, without what is being stopped
	Pending          map[string]Amounts `msgpack:"wait"`  // by team
	ReceivedVersions map[string]int64   `msgpack:"heard"` // by member: its newest version received here
}

// UsageMonitor is what a member knows of teams' use over all members, and what it may preempt for
// other teams' guarantees.
type UsageMonitor struct {
	memberID          string
	startVersion      int64 // of this incarnation; those of earlier ones are not above it
	version           int64
	peerIDs           []string // of the members that were heard from, in order
	snapshots         map[string]receivedSnapshot
	preemptionBudgets map[string]preemptionBudget // by team
}

type receivedSnapshot struct {
	UsageSnapshot
	receivedMS int64 // monotonic time
}

// NewUsageMonitor returns the monitor of a member that starts at a time of day and has heard from
// nobody.
func NewUsageMonitor(memberID string, wallMS int64) *UsageMonitor {
	return &UsageMonitor{
		memberID:          memberID,
		startVersion:      wallMS,
		version:           wallMS,
		snapshots:         map[string]receivedSnapshot{},
		preemptionBudgets: map[string]preemptionBudget{},
	}
}

// Snapshot returns the figures to send. Their version follows the time of day, so that those of a
// member that restarted are newer than those before.
func (m *UsageMonitor) Snapshot(wallMS int64, used, pending map[string]Amounts) UsageSnapshot {
	m.version = max(m.version+1, wallMS)
	snapshot := UsageSnapshot{Version: m.version, Used: used, Pending: pending, ReceivedVersions: map[string]int64{}}
	for peerID, received := range m.snapshots {
		snapshot.ReceivedVersions[peerID] = received.Version
	}
	return snapshot
}

// Receive takes another member's figures, unless newer ones overtook them. nowMS is monotonic time.
func (m *UsageMonitor) Receive(nowMS int64, from string, snapshot UsageSnapshot) {
	old, known := m.snapshots[from]
	if snapshot.Version <= old.Version {
		return
	}
	if !known {
		index, _ := slices.BinarySearch(m.peerIDs, from)
		m.peerIDs = slices.Insert(m.peerIDs, index, from)
	}
	m.snapshots[from] = receivedSnapshot{snapshot, nowMS}
}

// PeerUsage returns what a team uses and has pending in the shards of the members that were heard
// from since a monotonic time, and how old the oldest of these figures is.
func (m *UsageMonitor) PeerUsage(team string, nowMS, sinceMS int64) (used, pending Amounts, ageMS int64) {
	for _, peerID := range m.peerIDs {
		snapshot := m.snapshots[peerID]
		if snapshot.receivedMS < sinceMS {
			continue
		}
		used = used.Add(snapshot.Used[team])
		pending = pending.Add(snapshot.Pending[team])
		ageMS = max(ageMS, nowMS-snapshot.receivedMS)
	}
	return used, pending, ageMS
}

// preemptionBudget is what a member may still preempt of a team by the figures that were complete
// before its last preemption.
type preemptionBudget struct {
	version     int64 // of the last snapshot sent before the last preemption
	remaining   Amounts
	minOwnUsage Amounts // what must remain in use here
}

// lastPreemption returns the budget after the last preemption of a team, and whether every member
// heard from since a monotonic time has reported its use after it received a newer snapshot of ours.
// A member that just started waits for that too: the others may not know what its earlier
// incarnation preempted.
func (m *UsageMonitor) lastPreemption(team string, sinceMS int64) (budget preemptionBudget, acknowledged bool) {
	budget, preempted := m.preemptionBudgets[team]
	if !preempted {
		budget.version = m.startVersion
	}
	for _, snapshot := range m.snapshots {
		if snapshot.receivedMS >= sinceMS && snapshot.ReceivedVersions[m.memberID] <= budget.version {
			return budget, false
		}
	}
	return budget, true
}

// PreemptibleExcess returns what this member may preempt of a team that uses ownUsage here: its
// part of what the team uses beyond its guarantee. Members not heard from since a monotonic time
// count as using nothing. A dimension without a guarantee is unbounded (+Inf).
func (m *UsageMonitor) PreemptibleExcess(team string, ownUsage, guarantee Amounts, sinceMS int64) Amounts {
	if budget, acknowledged := m.lastPreemption(team, sinceMS); !acknowledged {
		// Some figures are from before their senders knew of our last preemption: those members may
		// preempt their parts by the earlier figures, and so may we, but no more.
		return budget.remaining.Min(ownUsage.Sub(budget.minOwnUsage)).nonNegative()
	}
	peerUsage, _, _ := m.PeerUsage(team, 0, sinceMS)
	total := ownUsage.Add(peerUsage)
	return Amounts{
		ownShareOfExcess(ownUsage.CPUs, total.CPUs, guarantee.CPUs),
		ownShareOfExcess(ownUsage.GPUs, total.GPUs, guarantee.GPUs),
	}
}

// ownShareOfExcess divides what a team uses beyond its guarantee in proportion to use.
func ownShareOfExcess(ownUsage, total, guarantee float64) float64 {
	switch {
	case guarantee <= 0:
		return math.Inf(1)
	case total <= guarantee || ownUsage <= 0:
		return 0
	}
	return (total - guarantee) * ownUsage / total
}

// TryPreempt takes an amount off what may be preempted of a team, and reports whether it was within
// that. Only then may the caller stop tasks of that size.
func (m *UsageMonitor) TryPreempt(team string, ownUsage, guarantee Amounts, sinceMS int64, amount Amounts) bool {
	excess := m.PreemptibleExcess(team, ownUsage, guarantee, sinceMS)
	if !excess.Contains(amount) {
		return false
	}
	budget, acknowledged := m.lastPreemption(team, sinceMS)
	if acknowledged {
		budget = preemptionBudget{remaining: excess, minOwnUsage: ownUsage.Sub(excess)}
	}
	budget.version, budget.remaining = m.version, budget.remaining.Sub(amount)
	m.preemptionBudgets[team] = budget
	return true
}

// DominantShare returns a team's dominant share: the larger of its shares of all processors and of
// all accelerators (Ghodsi et al., "Dominant Resource Fairness", NSDI 2011).
func DominantShare(used, total Amounts) float64 {
	share := 0.0
	if total.CPUs > 0 {
		share = used.CPUs / total.CPUs
	}
	if total.GPUs > 0 {
		share = max(share, used.GPUs/total.GPUs)
	}
	return share
}

// Tier returns how far a team is beyond its guarantee, in halves of an equal share of the total: what
// is free goes to lower tiers first. Within a tier deadlines decide, so that teams that are
// about even do not cost each other theirs.
func Tier(used, guarantee, total Amounts, teamCount int) int {
	excess := used.Sub(guarantee).nonNegative()
	return int(DominantShare(excess, total)*float64(2*teamCount) + roundingTolerance)
}
