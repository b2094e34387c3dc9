package quota

import (
	"cmp"
	"math"
	"slices"
)

// Job is an unfinished job of a team.
type Job struct {
	ID         string
	AcceptedMS int64   // wall-clock time
	Size       Amounts // sum over all tasks
}

// Compare orders jobs by arrival.
func (j Job) Compare(o Job) int {
	return cmp.Or(cmp.Compare(j.AcceptedMS, o.AcceptedMS), cmp.Compare(j.ID, o.ID))
}

// JobsWithinGuarantee returns the IDs of a team's unfinished jobs that are within its guarantee. A job
// is within the guarantee if it fits together with all earlier jobs. Members that know the same jobs
// compute the same result.
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

// UsageSnapshot is the teams' usage in a member's shards, as sent to the other members.
type UsageSnapshot struct {
	Version          int64              `msgpack:"at"`    // increases with each snapshot
	Used             map[string]Amounts `msgpack:"use"`   // usage by team, without tasks that are being stopped
	Pending          map[string]Amounts `msgpack:"wait"`  // pending work by team
	ReceivedVersions map[string]int64   `msgpack:"heard"` // newest version received from each member
}

// UsageMonitor tracks teams' usage over all members, and how much of it a member may preempt for other
// teams' guarantees.
type UsageMonitor struct {
	memberID          string
	startVersion      int64 // all versions of this incarnation are higher; those of earlier ones are not
	version           int64
	peerIDs           []string                    // members with a received snapshot, sorted
	snapshots         map[string]receivedSnapshot // last snapshot of each peer
	preemptionBudgets map[string]preemptionBudget // budget for each team
}

type receivedSnapshot struct {
	UsageSnapshot
	receivedMS int64 // monotonic time
}

// NewUsageMonitor returns the monitor of a member that starts at a wall-clock time and has received no
// snapshots yet.
func NewUsageMonitor(memberID string, wallMS int64) *UsageMonitor {
	return &UsageMonitor{
		memberID:          memberID,
		startVersion:      wallMS,
		version:           wallMS,
		snapshots:         map[string]receivedSnapshot{},
		preemptionBudgets: map[string]preemptionBudget{},
	}
}

// Snapshot returns the snapshot to send. Its version follows the wall clock, so that snapshots of a
// restarted member are newer than those of its earlier incarnation.
func (m *UsageMonitor) Snapshot(wallMS int64, used, pending map[string]Amounts) UsageSnapshot {
	m.version = max(m.version+1, wallMS)
	snapshot := UsageSnapshot{Version: m.version, Used: used, Pending: pending, ReceivedVersions: map[string]int64{}}
	for peerID, received := range m.snapshots {
		snapshot.ReceivedVersions[peerID] = received.Version
	}
	return snapshot
}

// Receive records another member's snapshot, unless a newer one has already arrived. nowMS is
// monotonic time.
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

// PeerUsage returns a team's usage and pending work in other members' shards, from snapshots received
// since a monotonic time, and the age of the oldest of these snapshots.
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

// preemptionBudget is what a member may still preempt of a team's usage, based on the snapshots that
// were complete before its last preemption.
type preemptionBudget struct {
	version     int64 // version of the last snapshot sent before the last preemption
	remaining   Amounts
	minOwnUsage Amounts // the member's own usage that it must not preempt
}

// lastPreemption returns the budget after the last preemption of a team. acknowledged reports whether
// all peers acknowledged the preemption. That is, each peer's snapshot, if received since a monotonic
// time, was sent after the peer received a snapshot that this member sent after the preemption. A
// member that has just started waits for this too, since the peers may not know what its earlier
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

// PreemptibleExcess returns what this member may preempt of a team that uses ownUsage in its shards:
// its part of the usage beyond the team's guarantee. Members without a snapshot since a monotonic time
// count as using nothing. A dimension without a guarantee is unbounded (+Inf).
func (m *UsageMonitor) PreemptibleExcess(team string, ownUsage, guarantee Amounts, sinceMS int64) Amounts {
	if budget, acknowledged := m.lastPreemption(team, sinceMS); !acknowledged {
		// Some peers sent their snapshots before they knew of this member's last preemption. They may
		// preempt their parts of the earlier excess. This member may do the same, but no more.
		return budget.remaining.Min(ownUsage.Sub(budget.minOwnUsage)).nonNegative()
	}
	peerUsage, _, _ := m.PeerUsage(team, 0, sinceMS)
	total := ownUsage.Add(peerUsage)
	return Amounts{
		ownShareOfExcess(ownUsage.CPUs, total.CPUs, guarantee.CPUs),
		ownShareOfExcess(ownUsage.GPUs, total.GPUs, guarantee.GPUs),
	}
}

// ownShareOfExcess returns the member's part of a team's usage beyond its guarantee, in proportion to
// the member's share of the usage.
func ownShareOfExcess(ownUsage, total, guarantee float64) float64 {
	switch {
	case guarantee <= 0:
		return math.Inf(1)
	case total <= guarantee || ownUsage <= 0:
		return 0
	}
	return (total - guarantee) * ownUsage / total
}

// TryPreempt deducts an amount from what may be preempted of a team, and reports whether the amount
// was available. Only if it returns true may the caller stop tasks of that size.
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

// Tier returns by how much a team exceeds its guarantee, in units of half an equal share of the total.
// Free resources go to lower tiers first. Within a tier, deadlines decide, so that teams with similar
// usage do not make each other miss deadlines.
func Tier(used, guarantee, total Amounts, teamCount int) int {
	excess := used.Sub(guarantee).nonNegative()
	return int(DominantShare(excess, total)*float64(2*teamCount) + roundingTolerance)
}
