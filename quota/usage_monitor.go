package quota

import (
	"cmp"
	"math"
	"slices"
)

// Job is an unfinished job of a team.
type Job struct {
	ID         string
	AcceptedMS int64   // when it came, time of day
	Size       Amounts // of all its tasks
}

// Compare orders jobs as they came.
func (j Job) Compare(o Job) int {
	return cmp.Or(cmp.Compare(j.AcceptedMS, o.AcceptedMS), cmp.Compare(j.ID, o.ID))
}

// JobsWithinGuarantee tells which of a team's unfinished jobs are within its guarantee: each that
// fits it together with all that came before. Members that see the same jobs agree.
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

// UsageSnapshot is what a member tells the others of what teams use in its shards.
type UsageSnapshot struct {
	Version          int64              `msgpack:"at"`    // rises with each
	Used             map[string]Amounts `msgpack:"use"`   // by team, without what is told to stop
	Pending          map[string]Amounts `msgpack:"wait"`  // by team
	ReceivedVersions map[string]int64   `msgpack:"heard"` // by member: the newest of its figures that this one has
}

// UsageMonitor is what a member knows of the use of teams over all members, and what it may
// stop for others' guarantees.
type UsageMonitor struct {
	memberID          string
	startVersion      int64 // figures of an earlier life are not newer
	version           int64
	peerIDs           []string // of the members that were heard, in order
	snapshots         map[string]receivedSnapshot
	preemptionBudgets map[string]preemptionBudget // by team
}

type receivedSnapshot struct {
	UsageSnapshot
	receivedMS int64 // when they came
}

// NewUsageMonitor returns the watch of a member that starts at a time of day, which has heard
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

// Snapshot returns the figures to send. wall is the time of day, which makes those of a
// member that starts again newer than those before.
func (m *UsageMonitor) Snapshot(wallMS int64, used, pending map[string]Amounts) UsageSnapshot {
	m.version = max(m.version+1, wallMS)
	snapshot := UsageSnapshot{Version: m.version, Used: used, Pending: pending, ReceivedVersions: map[string]int64{}}
	for peerID, received := range m.snapshots {
		snapshot.ReceivedVersions[peerID] = received.Version
	}
	return snapshot
}

// Receive takes another member's figures, unless newer ones overtook them.
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

// PeerUsage is what a team uses and waits for in the shards of the members that were heard
// since, and how old the oldest of these figures is.
func (m *UsageMonitor) PeerUsage(team string, nowMS, sinceMS int64) (used, pending Amounts, ageMS int64) {
	for _, peerID := range m.peerIDs {
		if snapshot := m.snapshots[peerID]; snapshot.receivedMS >= sinceMS {
			used, pending, ageMS = used.Add(
				snapshot.Used[team],
			), pending.Add(
				snapshot.Pending[team],
			), max(
				ageMS,
				nowMS-snapshot.receivedMS,
			)
		}
	}
	return used, pending, ageMS
}

// preemptionBudget is what a member has stopped of a team since the others' figures were last
// complete: what else it may, by the figures of then.
type preemptionBudget struct {
	version     int64 // the last of our figures before the last of them
	remaining   Amounts
	minOwnUsage Amounts // as little of it as may be left here
}

// lastPreemption is what was stopped of a team last, and whether each member that was heard since a
// time has told what it uses after it heard of that. One that just started has others hear
// of it first: what its earlier life stopped they may not know.
func (m *UsageMonitor) lastPreemption(team string, sinceMS int64) (budget preemptionBudget, acknowledged bool) {
	budget, stopped := m.preemptionBudgets[team]
	if !stopped {
		budget.version = m.startVersion
	}
	for _, snapshot := range m.snapshots {
		if snapshot.receivedMS >= sinceMS && snapshot.ReceivedVersions[m.memberID] <= budget.version {
			return budget, false
		}
	}
	return budget, true
}

// PreemptibleExcess is what this member may stop of a team that uses so much here, beyond its
// guarantee. Members not heard since a time count as using nothing. In a dimension in
// which nothing is guaranteed there is no bound.
func (m *UsageMonitor) PreemptibleExcess(team string, ownUsage, guarantee Amounts, sinceMS int64) Amounts {
	if budget, acknowledged := m.lastPreemption(team, sinceMS); !acknowledged {
		// What some say, they said before they heard of our last stop: they may stop
		// their parts by figures of before, and so may we, but no more.
		return budget.remaining.Min(ownUsage.Sub(budget.minOwnUsage)).Max(Amounts{})
	}
	peerUsage, _, _ := m.PeerUsage(team, 0, sinceMS)
	total := ownUsage.Add(peerUsage)
	preemptible := func(ownUsage, total, guarantee float64) float64 {
		switch {
		case guarantee <= 0:
			return math.Inf(1)
		case total <= guarantee || ownUsage <= 0:
			return 0
		}
		return (total - guarantee) * ownUsage / total
	}
	return Amounts{
		preemptible(ownUsage.CPUs, total.CPUs, guarantee.CPUs),
		preemptible(ownUsage.GPUs, total.GPUs, guarantee.GPUs),
	}
}

// TryPreempt takes what is to be stopped of a team off what may be, and says whether it may.
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

// DominantShare is a team's dominant share: the larger of what it uses of all processors and
// of all accelerators (Ghodsi et al., "Dominant Resource Fairness", NSDI 2011).
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

// Tier says how far a team is beyond its guarantee, in halves of an equal share of all
// that there is: what is free goes to lower levels first. Within a level deadlines count,
// so that teams that are about even do not cost each other theirs.
func Tier(used, guarantee, total Amounts, teamCount int) int {
	return int(DominantShare(used.Sub(guarantee).Max(Amounts{}), total)*float64(2*teamCount) + roundingTolerance)
}
