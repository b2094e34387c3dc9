package scheduler

import (
	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/planner"
	"github.com/grebedock/grebedock/quota"
	"github.com/grebedock/grebedock/reconcile"
)

// shard is a claim that this member holds: the machines and task ranges whose
// records name it. Every member has one of its own and may adopt others'.
type shard struct {
	name                string
	nonce               uint64
	claimRev            uint64 // revision of the claim
	token               uint64 // revision that the claim was last raised to; workers obey the highest they saw
	raisingToken        bool
	voidToken           uint64 // commands with this token or a lower one must not run any more
	nextRaiseAt         int64
	ready               bool // progress is read
	requestPending      bool
	progressRead        bool
	attemptIDs          reconcile.AttemptIDs
	reconciler          *reconcile.Claim // what is known of its machines
	mostSilentAt        int64            // when most of its machines were last silent past their lease
	reconciled          bool             // nothing of earlier claims is unseen any more
	pacedAt             int64
	nextReleaseAt       int64 // no idle machine is returned before
	nextProposalAt      int64 // no team's record is written before
	machinesWithOrphans int   // machines with tasks that are not ours to keep
	memory              recoveryState

	disruption shardDisruption
	dirty      bool
	plannedAt  int64
	releasing  bool // being handed back

	// What the shard owns, in order, and what of it is in use: nothing that
	// happens on a report or a tick may look at other shards' machines and
	// jobs, nor at machines times jobs.
	machines              []*machine
	taskRanges            []*taskRange
	usage                 map[string]availability.Resources // by team, of live attempts
	liveAttempts          map[string][]*attempt             // by team, those: what a team asks must not cost all machines
	debts                 map[string]preemptionDebt         // by team, of its limit
	firstTaskReservations map[string]*Job                   // by team, the job for whose first task room of the limit is kept
	reservedTasks         map[*taskRange]int                // for how many tasks room is kept, at the last plan
	reclaimableTeams      map[string]bool                   // teams that had something to cede at this plan; nil: not looked up
	reclaimedUsage        map[string]quota.Amounts          // by team: of use, what is told to stop for others' guarantees
	placeableDemand       map[string]quota.Amounts          // by team with a limit: what of its waiting work had room at the last plan
	remainingWork         map[string]float64                // by team: what they have left to do, in processor milliseconds
	progressRecords       map[string]*recordWriteState

	// Machines that reported and are not listed as up yet.
	newlyLive           []string
	liveListWriting     bool
	nextLiveListWriteAt int64

	// The last plan: the machines it considered, and the groups that waited,
	// in their order.
	clusterView   *planner.ClusterView
	viewMachines  []*machine // by their places on it
	queue         []*taskGroup
	planSteps     int // how much work it was, for the pace of the next one
	planExpedited bool

	// Room that is kept free for jobs with a start aim, in processors.
	reserveCPUs, spareCPUs, meanObjectiveCPUs, meanObjectiveJobCPUs float64
	objectiveCPUs                                                   float64 // processors that tasks with a start aim use
	reserveUpdatedAt                                                int64
	demand                                                          []CapacityDemand
	forecastDemand                                                  []CapacityDemand // of tasks that their machines will not end
}

func (sm *shardManager) newShard(name string, nonce, rev uint64) *shard {
	s := &shard{
		name:        name,
		nonce:       nonce,
		claimRev:    rev,
		token:       rev,
		dirty:       true,
		clusterView: planner.NewClusterView(sm.cache.placementCatalog),
		reconciler: reconcile.NewClaim(
			reconcile.Settings{
				MaxHeartbeatIntervalMS: sm.maxHeartbeatIntervalMS(),
				LeaseMS:                secondsToMS(sm.params.LeaseS),
				MaxClockDrift:          maxClockDriftMS,
				LeaseSlackMS:           leaseSlack,
			},
			rev,
			sm.now.MonotonicMS,
		),
		usage:                 map[string]availability.Resources{},
		liveAttempts:          map[string][]*attempt{},
		remainingWork:         map[string]float64{},
		debts:                 map[string]preemptionDebt{},
		firstTaskReservations: map[string]*Job{},
		reclaimedUsage:        map[string]quota.Amounts{},
		reservedTasks:         map[*taskRange]int{},
		placeableDemand:       map[string]quota.Amounts{},
		progressRecords:       map[string]*recordWriteState{},
	}
	s.attemptIDs.Rebase(rev, sm.now.WallMS)
	return s
}

// recordWriteState is a value of the store with the progress of several ranges of a shard:
// one for each would cost a change each, every few seconds.
type recordWriteState struct {
	rev         uint64
	dirty       bool
	writing     bool
	nextWriteAt int64
}
