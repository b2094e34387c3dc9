package scheduler

import (
	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/planner"
	"github.com/grebedock/grebedock/quota"
	"github.com/grebedock/grebedock/reconcile"
)

// shard is a shard whose claim this member owns: the machines and task ranges
// whose records refer to it. Every member has a shard of its own name and may
// adopt those of others. The value exists from the claim until the claim is lost
// or removed. A later claim of the same shard creates a new value without any of
// its state. Times are monotonic milliseconds unless a field says otherwise.
//
// A machine is unreported if it may run tasks of earlier claims that this claim does not
// know: it is listed as live, has sent no heartbeat with this claim's token, and may still have
// a lease from an earlier claim (package reconcile). The pacer (reconcile.Pacer) limits the
// rate of commands after a claim.
//
// The cost of a heartbeat or a tick must not exceed the size of this shard. The
// code must iterate neither over other shards' machines and jobs, nor over all
// pairs of machines and jobs. The lists and sums kept here make this possible.
//
//	state      entered when                    effect
//	claimed    the claim is written            progress is being read; heartbeats have no effect
//	ready      progress is read, and the       tasks start on reconciled machines
//	           cache includes the claim
//	reconciled no machine is unreported        every task that may run is known
//	releasing  removal of the claim was sent   no starts and no writes; irreversible
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

	attemptIDs   reconcile.AttemptIDs
	directStarts directStarts
	reconciler   *reconcile.Claim // state of its machines under this claim
	recovery     recoveryState
	disruption   shardDisruption

	taskRanges      []*taskRange // sorted by taskRange.compare
	progressRecords map[string]*recordWriteState
}

// shardClaim is the claim in the state service and the fencing token derived from it.
type shardClaim struct {
	nonce     uint64 // distinguishes this claim from other claims of the same member
	claimRev  uint64 // revision at which the claim was first stored
	token     uint64 // revision of the claim's last write; workers refuse lower tokens than they received
	voidToken uint64 // commands with this token or a lower one must no longer take effect
	tokenRaises
}

// tokenRaises is the state of writes that raise the token. A raise for clears waits behind other requests to the state
// service, so that one for an unanswered command does not wait for it.
type tokenRaises struct {
	raisingToken     bool
	raisingForClears bool
	nextRaiseAt      int64
	nextClearRaiseAt int64
}

// isTokenVoid reports whether commands with the current token must not be sent.
func (c *shardClaim) isTokenVoid() bool { return c.token <= c.voidToken }

// shardState is the progress of the shard from claim to release.
type shardState struct {
	progressRead     bool
	restoredProgress map[string]bitset // done tasks by range name, from their read until the shard is ready
	requestPending   bool              // a read of the progress or removal of the claim is in flight
	requestFailedAt  int64             // when such a request last failed
	ready            bool
	reconciled       bool
	releasing        bool
	pacedAt          int64 // when the pacer's rate was last updated
}

// shardMachines holds the shard's machines and values aggregated over them.
type shardMachines struct {
	machines            []*machine // sorted by ID
	machinesWithOrphans int        // machines with orphaned tasks, which this claim must stop
	mostLeasesExpiredAt int64      // last time at which the leases of most machines had expired
	nextReleaseAt       int64      // no idle machine is released before this time
}

// liveListWrites is the write state of the lists of live machines.
type liveListWrites struct {
	newlyLive           []string // machines that sent a heartbeat and are not listed yet
	liveListWriting     bool
	nextLiveListWriteAt int64
}

// shardQuota holds the usage, reservations and demand of the teams in the shard. All maps
// are by team.
type shardQuota struct {
	usage                 map[string]availability.Resources // usage of live attempts
	liveAttempts          map[string][]*attempt             // so that a lookup by team does not scan all machines
	debts                 map[string]preemptionDebt         // debts against the team's limit
	firstTaskReservations map[string]*Job                   // job for whose first task part of the limit is reserved
	reclaimableTeams      map[string]bool                   // with usage to reclaim, at this plan; nil: not computed
	reclaimedUsage        map[string]quota.Amounts          // usage being reclaimed for other teams' guarantees
	placeableDemand       map[string]quota.Amounts          // limited teams' waiting work that fits, at the last plan
	nextProposalAt        int64                             // no team record is written before this time
	overAllocation        map[string]bool                   // whose reported attempts exceed the allocation
}

// planSchedule determines when the shard is planned next.
type planSchedule struct {
	dirty         bool  // something changed since the last plan
	planExpedited bool  // a change that should be planned sooner, such as a new job or machine
	plannedAt     int64 // time of the last plan
	planSteps     int   // cost of the last plan, in planner steps
}

// shardPlan is the last plan: the machines that it considered, the queue of waiting
// groups, and the capacity demand that it found.
type shardPlan struct {
	clusterView    *planner.ClusterView
	viewMachines   []*machine // by index in clusterView
	queue          []*taskGroup
	reservedTasks  map[*taskRange]int // tasks with a reservation on a machine
	remainingWork  map[string]float64 // by team: remaining work of live attempts, in CPU milliseconds
	demand         []rangeDemand
	forecastDemand []CapacityDemand // for tasks that will not end before their machine terminates
}

// rangeDemand is a capacity demand with the range whose tasks need the capacity. A job may have several
// ranges in a shard, and the demand concerns only this one.
type rangeDemand struct {
	CapacityDemand
	taskRange *taskRange
}

// startObjectiveReserve is the capacity kept free for jobs with a start objective,
// in CPUs.
type startObjectiveReserve struct {
	objectiveCPUs        float64 // used by tasks with a start objective
	meanObjectiveCPUs    float64 // moving average of objectiveCPUs
	meanObjectiveJobCPUs float64 // moving average of the size of a job with a start objective
	reserveCPUs          float64
	spareCPUs            float64 // free CPUs beyond the reserve, at the last plan
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
		overAllocation:        map[string]bool{},
	}
}

// recordWriteState is the write state of one of a shard's own records in the state
// service.
type recordWriteState struct {
	rev         uint64 // revision of the record; 0: it does not exist
	dirty       bool   // the described state has changed
	writing     bool
	nextWriteAt int64 // monotonic milliseconds
}
