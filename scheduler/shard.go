package scheduler

import (
	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/planner"
	"github.com/grebedock/grebedock/quota"
	"github.com/grebedock/grebedock/reconcile"
)

// shard is a shard whose claim this member owns: the machines and task ranges
// whose records name it. Every member has a shard of its own name and may adopt
// those of others. It exists from the claim until the claim is lost or removed;
// a later claim of the same shard makes a new one, with nothing carried over.
// Times are monotonic milliseconds unless a field says otherwise.
//
// What happens on a heartbeat or a tick must cost no more than what this shard
// owns: it may look neither at other shards' machines and jobs, nor at the
// product of machines and jobs. Hence the lists and sums kept here.
//
//	claimed    the claim is written            progress is read; heartbeats change nothing
//	ready      progress is read, and the       tasks start on reconciled machines
//	           cache has passed the claim
//	reconciled every machine sent a heartbeat, tasks of earlier claims cannot run
//	           or is known to run nothing      unnoticed any more
//	releasing  removal of the claim was sent   nothing starts or is written; no way back
type shard struct {
	name string
	shardClaim
	shardState
	shardMachines
	liveListWrites
	shardQuota
	planSchedule
	shardPlan
	startObjectiveReserve

	attemptIDs reconcile.AttemptIDs
	reconciler *reconcile.Claim // what is known about its machines since the claim
	recovery   recoveryState
	disruption shardDisruption

	taskRanges      []*taskRange // sorted by taskRange.compare
	progressRecords map[string]*recordWriteState
}

// shardClaim is the claim in the store and the fencing token drawn from it.
type shardClaim struct {
	nonce        uint64 // tells this claim from any other of the same member
	claimRev     uint64 // store revision of the claim
	token        uint64 // revision of the last write of the claim; workers refuse less than they saw
	voidToken    uint64 // commands with this token or a lower one must not take effect any more
	raisingToken bool
	nextRaiseAt  int64
}

// isTokenVoid reports whether commands with the present token must not be sent.
func (c *shardClaim) isTokenVoid() bool { return c.token <= c.voidToken }

// shardState is how far the shard is on its way from claim to release.
type shardState struct {
	progressRead    bool
	requestPending  bool  // the read of the progress or the removal of the claim is in flight
	requestFailedAt int64 // when such a request last failed
	ready           bool
	reconciled      bool
	releasing       bool
	pacedAt         int64 // when the pacer of starts was last updated
}

// shardMachines are the shard's machines and what is counted over them.
type shardMachines struct {
	machines            []*machine // sorted by identifier
	machinesWithOrphans int        // machines with tasks that this claim must stop
	mostSilentAt        int64      // when most machines were last silent for longer than their lease
	nextReleaseAt       int64      // no idle machine is released before
}

// liveListWrites is the writing of machines that sent a heartbeat and are not in
// the list of live machines yet.
type liveListWrites struct {
	newlyLive           []string
	liveListWriting     bool
	nextLiveListWriteAt int64
}

// shardQuota is what the shard's teams use, reserve and wait for. All maps are by team.
type shardQuota struct {
	usage                 map[string]availability.Resources // of live attempts
	liveAttempts          map[string][]*attempt             // so that a team's question does not cost all machines
	debts                 map[string]preemptionDebt         // against the team's limit
	firstTaskReservations map[string]*Job                   // whose first task has room of the limit reserved
	reclaimableTeams      map[string]bool                   // teams with usage to reclaim, at this plan; nil: unknown
	reclaimedUsage        map[string]quota.Amounts          // usage being stopped for others' guarantees
	placeableDemand       map[string]quota.Amounts          // limited teams: waiting work with room, at the last plan
	nextProposalAt        int64                             // no team's record is written before
}

// planSchedule decides when the shard is planned again.
type planSchedule struct {
	dirty         bool  // something changed since the last plan
	planExpedited bool  // a job arrived: plan sooner
	plannedAt     int64 // time of the last plan
	planSteps     int   // cost of the last plan, in planner steps
}

// shardPlan is the last plan: the machines that it considered, the groups that
// waited, in their order, and the capacity that it found missing.
type shardPlan struct {
	clusterView    *planner.ClusterView
	viewMachines   []*machine // by their index in clusterView
	queue          []*taskGroup
	reservedTasks  map[*taskRange]int // tasks for which machines have a reservation
	remainingWork  map[string]float64 // by team: work left in live attempts, in processor milliseconds
	demand         []CapacityDemand
	forecastDemand []CapacityDemand // for tasks that will not end before their machine's notice does
}

// startObjectiveReserve is capacity that is kept free for jobs with a start
// objective, in processors.
type startObjectiveReserve struct {
	objectiveCPUs        float64 // used by tasks with a start objective
	meanObjectiveCPUs    float64 // the same, averaged
	meanObjectiveJobCPUs float64 // averaged size of a job with a start objective
	reserveCPUs          float64
	spareCPUs            float64 // free processors beyond the reserve, at the last plan
	reserveUpdatedAt     int64
}

func (sm *shardManager) newShard(name string, nonce, rev uint64) *shard {
	reconcileSettings := reconcile.Settings{
		MaxHeartbeatIntervalMS: sm.maxHeartbeatIntervalMS(),
		LeaseMS:                secondsToMS(sm.params.LeaseS),
		MaxClockDrift:          maxClockDrift,
		LeaseSlackMS:           leaseSlackMS,
	}
	s := &shard{
		name:            name,
		shardClaim:      shardClaim{nonce: nonce, claimRev: rev, token: rev},
		shardQuota:      newShardQuota(),
		planSchedule:    planSchedule{dirty: true},
		reconciler:      reconcile.NewClaim(reconcileSettings, rev, sm.now.MonotonicMS),
		progressRecords: map[string]*recordWriteState{},
		shardPlan: shardPlan{
			clusterView:   planner.NewClusterView(sm.cache.placementCatalog),
			reservedTasks: map[*taskRange]int{},
			remainingWork: map[string]float64{},
		},
	}
	s.attemptIDs.Rebase(rev, sm.now.WallMS)
	return s
}

func newShardQuota() shardQuota {
	return shardQuota{
		usage:                 map[string]availability.Resources{},
		liveAttempts:          map[string][]*attempt{},
		debts:                 map[string]preemptionDebt{},
		firstTaskReservations: map[string]*Job{},
		reclaimedUsage:        map[string]quota.Amounts{},
		placeableDemand:       map[string]quota.Amounts{},
	}
}

// recordWriteState is the writing of one of a shard's own records in the store.
type recordWriteState struct {
	rev         uint64 // revision of the record; 0: there is none
	dirty       bool   // what it describes has changed
	writing     bool
	nextWriteAt int64 // monotonic milliseconds
}
