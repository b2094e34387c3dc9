package scheduler

import (
	"encoding/json"
	"hash/fnv"
	"slices"
	"strconv"
	"strings"

	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/planner"
	"github.com/grebedock/grebedock/quota"
	"github.com/grebedock/grebedock/reconcile"
)

// shardManager owns the shards that this member has claimed: their claims,
// failover and hand-back, the task ranges in them and their progress records.
type shardManager struct {
	*environment
	agents   *agentManager
	cache    *stateCache
	placer   *placementPlanner
	quotas   *quotaManager
	registry *machineRegistry
	requests *requestHandler
	rollouts *rolloutController
	store    *storeClient

	ownedShards      map[string]*shard
	claimRetryAtMS   map[string]int64 // by shard: monotonic time of the next try to claim it
	ownerlessSinceMS map[string]int64 // by shard: monotonic time since which it has no owner
}

func newShardManager(env *environment) *shardManager {
	return &shardManager{
		environment:      env,
		ownedShards:      map[string]*shard{},
		claimRetryAtMS:   map[string]int64{},
		ownerlessSinceMS: map[string]int64{},
	}
}

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

// leaseSlack is what measuring a lease costs, in milliseconds.
const leaseSlack = 300

// taskRange is a range of a job that a shard of ours runs.
type taskRange struct {
	job           *job
	bounds        Range
	shardName     string
	claim         *shard
	done          bitset
	doneCount     int
	assigned      bitset // an attempt has it, running or not known to be over
	assignedCount int
	searchFrom    int
	storedDone    bitset // done, as the store has it
	progressKey   string // of its progress in the store

	// recovered works were run by an earlier claim, so a task of theirs may
	// still run on any machine that has not spoken under our token.
	recovered bool

	dirty           bool // done differs from stored
	writing         bool
	nextWriteAt     int64
	admitted        bool
	retryAt         int64 // after errors: wait until then
	errors          int
	errorsByMachine map[string]int // machine: errors of this job there
	errorsByTask    map[int]int    // task: errors, for jobs that bound them
	reclaimedFor    map[int]string // task: the team that it was last stopped for
	checkpointedMS  map[int]int64  // task: how long it had run when it saved and stopped
	moving          bool
	runningCount    int            // attempts that run
	attemptsByZone  map[string]int // zone: live attempts
	gangStartedAt   int64          // when the last try to start all of a gang began
	gangAttempt     uint64         // its attempt, the same for all tasks
	gangStartsSent  bitset         // the tasks that were started in it
}

func (tr *taskRange) size() int    { return tr.bounds.Hi - tr.bounds.Lo }
func (tr *taskRange) pending() int { return tr.size() - tr.doneCount - tr.assignedCount }

// hasStarted tells whether a task of the range runs or is done.
func (tr *taskRange) hasStarted() bool { return tr.assignedCount > 0 || tr.doneCount > 0 }

// nextTask finds the lowest task that is neither done nor taken. All below low are.
func (tr *taskRange) nextTask() int {
	for ; tr.searchFrom < tr.size(); tr.searchFrom++ {
		if !tr.done.has(tr.searchFrom) && !tr.assigned.has(tr.searchFrom) {
			return tr.searchFrom
		}
	}
	return -1
}

func (sm *shardManager) tickShards() {
	if !sm.store.storeAccess.IsSynced() || sm.store.storeAccess.LeaseID() == 0 {
		return
	}
	now := sm.now.MonotonicMS
	for _, name := range sm.memberIDs() {
		rec, claimed := sm.cache.shardClaims[name]
		if !claimed {
			if _, ok := sm.ownerlessSinceMS[name]; !ok {
				sm.ownerlessSinceMS[name] = now
			}
		} else {
			delete(sm.ownerlessSinceMS, name)
		}
		if s := sm.ownedShards[name]; s != nil {
			sm.tickShard(s)
			continue
		}
		if now < sm.claimRetryAtMS[name] || now-sm.store.storeAccess.MirrorReadSentAt() > sm.store.leaseRenewalIntervalMS()*3 {
			continue
		}
		own := name == sm.params.MemberID
		switch {
		case own && (!claimed || rec.Owner == sm.params.MemberID):
			// Held under our own name and not by us: by our predecessor,
			// which is dead.
		case !claimed && !own && now-sm.ownerlessSinceMS[name] > sm.adoptionDelay():
			// Its hold ended, and its member does not come back.
		case claimed && rec.Owner == sm.params.MemberID:
			// An adoption of our predecessor's.
		default:
			continue
		}
		sm.claimShard(name)
	}
}

// adoptionDelay is how long a shard must have been without a holder before
// another member adopts it, a step of a hold at most. Its hold has ended by then; the rest lets its own
// member, which starts again within seconds, come first.
func (sm *shardManager) adoptionDelay() int64 {
	if sm.now.MonotonicMS-sm.startedAtMS < sm.store.leaseTTLMS() {
		return sm.store.leaseTTLMS()
	}
	return sm.store.leaseRenewalIntervalMS()/2 + sm.rng.Int64N(sm.store.leaseRenewalIntervalMS()/2)
}

func (sm *shardManager) claimShard(name string) {
	nonce := sm.rng.Uint64()
	key := claimKey(name)
	sm.claimRetryAtMS[name] = sm.now.MonotonicMS + 10*sm.store.leaseRenewalIntervalMS()
	leaseID := sm.store.storeAccess.LeaseID()
	takeClaim := func(rev uint64) {
		if sm.store.storeAccess.LeaseID() != leaseID {
			sm.claimRetryAtMS[name] = 0
			return
		}
		delete(sm.claimRetryAtMS, name)
		sm.ownedShards[name] = sm.newShard(name, nonce, rev)
		sm.Counters.Claims++
		sm.log(Info, "shard claimed", "shard", name, "token", rev)
		sm.takeOverShard(sm.ownedShards[name])
	}
	retryLater := func() { sm.claimRetryAtMS[name] = sm.now.MonotonicMS + 300 + sm.rng.Int64N(300) }
	sm.store.sendStore(StoreOp{Kind: StoreTxn, Urgency: UrgencyLease, Preconditions: []Precondition{{key, sm.cache.keyRevisions[key]}},
		Changes: []Change{{Key: key, Value: mustEncode(claimRecord{sm.params.MemberID, nonce}), LeaseID: leaseID}}},
		func(r StoreResult) {
			switch r.Outcome {
			case OK:
				takeClaim(r.Rev)
				sm.cache.applyChange(KeyValue{Key: key, Value: mustEncode(claimRecord{sm.params.MemberID, nonce}), Rev: r.Rev})
			case Unknown, Conflict:
				sm.store.rereadKey(key, func(r StoreResult) {
					retryLater()
					if r.Outcome != OK || len(r.KVs) != 1 {
						return
					}
					var rec claimRecord
					if json.Unmarshal(r.KVs[0].Value, &rec) == nil && rec.Nonce == nonce {
						takeClaim(r.KVs[0].Rev)
					}
				})
			default:
				retryLater()
			}
		})
}

// raiseToken gives a shard a higher token. Once a worker has seen it, commands that
// were sent to it before and never answered can no longer run, however long the
// network held them.
func (sm *shardManager) raiseToken(s *shard) {
	if s.raisingToken || s.releasing || sm.store.storeAccess.LeaseID() == 0 || sm.now.MonotonicMS < s.nextRaiseAt {
		return
	}
	s.raisingToken, s.nextRaiseAt = true, sm.now.MonotonicMS+500
	key := claimKey(s.name)
	rec := claimRecord{sm.params.MemberID, s.nonce}
	sm.store.sendStore(StoreOp{Kind: StoreTxn, Urgency: UrgencyLease, Preconditions: []Precondition{{key, s.token}},
		Changes: []Change{{Key: key, Value: mustEncode(rec), LeaseID: sm.store.storeAccess.LeaseID()}}}, func(r StoreResult) {
		s.raisingToken = false
		if r.Outcome == OK {
			sm.cache.applyChange(KeyValue{Key: key, Value: mustEncode(rec), Rev: r.Rev})
			sm.log(Info, "token raised", "shard", s.name, "token", r.Rev)
			return
		}
		sm.store.rereadKey(key, func(StoreResult) {})
	})
}

// dropShard forgets a claim that ended.
func (sm *shardManager) dropShard(s *shard) {
	if sm.ownedShards[s.name] != s {
		return
	}
	delete(sm.ownedShards, s.name)
	for _, j := range sortedByKey(sm.cache.jobs) {
		sm.syncTaskRanges(j, false)
	}
}

// takeOverShard takes over what the mirror says the shard owns. The path is the
// same for a first start, a restart, an adoption and a hand-back.
func (sm *shardManager) takeOverShard(s *shard) {
	for _, mc := range sortedByKey(sm.registry.machines) {
		if mc.rec.Shard == s.name {
			sm.registry.resetMachine(mc)
			s.machines = append(s.machines, mc)
		}
	}
	for _, j := range sortedByKey(sm.cache.jobs) {
		sm.syncTaskRanges(j, true)
	}
	sm.readProgress(s)
}

func (sm *shardManager) readProgress(s *shard) {
	if s.requestPending {
		return
	}
	s.requestPending = true
	sm.store.listAll(progressPrefix+s.name+"/", func(kvs []KeyValue, _ uint64, outcome Outcome) {
		s.requestPending = false
		if outcome != OK || sm.ownedShards[s.name] != s {
			s.plannedAt = sm.now.MonotonicMS
			return
		}
		done := map[string][]byte{}
		for _, kv := range kvs {
			if kv.Key == recoveryKey(s.name) {
				sm.agents.restoreRecoveryRecord(s, kv)
				continue
			}
			var rec progressRecord
			if json.Unmarshal(kv.Value, &rec) != nil {
				continue
			}
			s.progressRecord(kv.Key).rev = kv.Rev
			for name, bitmap := range rec.DoneBitmaps {
				done[name] = bitmap
			}
		}
		for _, tr := range s.taskRanges {
			for i := range tr.size() {
				if bitset(done[tr.name()]).has(i) {
					tr.storedDone.set(i)
					tr.markDone(i)
				}
			}
		}
		s.progressRead = true
	})
}

// shrinkTo cuts a work down to what its shard keeps. A machine that was thought
// lost may have told of a result while the move was under way: left in the
// count, it made the work done more often than it has tasks, and its job never
// ended. The peer runs that task once more, or hears the same result.
func (tr *taskRange) shrinkTo(kept Range) {
	for i := kept.Hi - kept.Lo; i < tr.size(); i++ {
		if tr.done.has(i) {
			tr.done.clear(i)
			tr.doneCount--
		}
		tr.storedDone.clear(i)
	}
	tr.bounds = kept
}

func (tr *taskRange) markDone(i int) {
	if !tr.done.has(i) {
		tr.done.set(i)
		tr.doneCount++
	}
}

func (tr *taskRange) assign(i int) {
	if !tr.assigned.has(i) {
		tr.assigned.set(i)
		tr.assignedCount++
	}
}

func (tr *taskRange) unassign(i int) {
	if tr.assigned.has(i) {
		tr.assigned.clear(i)
		tr.assignedCount--
		tr.searchFrom = min(tr.searchFrom, i)
	}
}

// upsertJob follows a live job's record.
func (sm *shardManager) upsertJob(id string, rec jobRecord, rev uint64) {
	j := sm.cache.jobs[id]
	if j == nil {
		j = &job{taskRanges: map[int]*taskRange{}}
		sm.cache.jobs[id] = j
	}
	j.rec, j.rev = rec, rev
	sm.quotas.guaranteeStatus.valid = false
	sm.syncTaskRanges(j, false)
}

// syncTaskRanges makes a job's works those of its ranges that are ours.
func (sm *shardManager) syncTaskRanges(j *job, recovered bool) {
	keep := map[int]bool{}
	for _, r := range j.rec.Ranges {
		s := sm.ownedShards[r.Shard]
		if s == nil {
			continue
		}
		keep[r.Lo] = true
		s.dirty = true
		tr := j.taskRanges[r.Lo]
		if tr == nil || tr.claim != s {
			// A work of a claim that ended must not pass for one of this
			// claim: a shard handed back and a range moved here from it
			// left a range that nobody ran.
			n := r.Hi - r.Lo
			tr = &taskRange{
				job:            j,
				bounds:         r,
				shardName:      r.Shard,
				claim:          s,
				done:           newBitset(n),
				assigned:       newBitset(n),
				storedDone:     newBitset(n),
				recovered:      recovered,
				attemptsByZone: map[string]int{},
			}
			j.taskRanges[r.Lo] = tr
			pos, _ := slices.BinarySearchFunc(s.taskRanges, tr, (*taskRange).compare)
			s.taskRanges = slices.Insert(s.taskRanges, pos, tr)
			s.planExpedited = true
			continue
		}
		if r.Hi != tr.bounds.Hi {
			// The tail went to a peer; none of it was started.
			tr.shrinkTo(r)
		}
	}
	for lo, tr := range j.taskRanges {
		if !keep[lo] {
			sm.dropTaskRange(tr)
			delete(j.taskRanges, lo)
		}
	}
}

// dropTaskRange takes a work off its claim's list.
func (sm *shardManager) dropTaskRange(tr *taskRange) {
	s := tr.claim
	s.dirty = true
	if tr.doneCount == 0 {
		sm.agents.discountMachineFailures(tr)
	}
	if record := s.progressRecords[tr.progressKey]; record != nil && record.rev != 0 &&
		strings.HasSuffix(tr.progressKey, tr.name()) {
		record.dirty = true // a page of its own goes with it
	}
	if pos, ok := slices.BinarySearchFunc(s.taskRanges, tr, (*taskRange).compare); ok && s.taskRanges[pos] == tr {
		s.taskRanges = slices.Delete(s.taskRanges, pos, pos+1)
	}
}

// compare orders works by job and place in it.
func (tr *taskRange) compare(other *taskRange) int {
	if c := strings.Compare(tr.job.rec.Job.ID, other.job.rec.Job.ID); c != 0 {
		return c
	}
	return tr.bounds.Lo - other.bounds.Lo
}

// deleteJob handles the end of a job's live record: it is done or cancelled, and
// whatever still runs of it is stopped when its machine reports.
func (sm *shardManager) deleteJob(id string) {
	j := sm.cache.jobs[id]
	if j == nil {
		return
	}
	delete(sm.cache.jobs, id)
	sm.quotas.guaranteeStatus.valid = false
	for _, tr := range j.taskRanges {
		sm.dropTaskRange(tr)
	}
	clear(j.taskRanges)
}

// taskRangeOf finds the work that a task of ours belongs to.
func (sm *shardManager) taskRangeOf(name string) (*taskRange, int) {
	id, n, ok := parseTaskName(name)
	if !ok {
		return nil, 0
	}
	j := sm.cache.jobs[id]
	if j == nil {
		return nil, 0
	}
	for _, tr := range j.taskRanges {
		if n >= tr.bounds.Lo && n < tr.bounds.Hi {
			return tr, n - tr.bounds.Lo
		}
	}
	return nil, 0
}

// claimPreconditions returns the conditions under which a shard may change a job's record:
// the claim still stands, and the record is the one that we know.
func (sm *shardManager) claimPreconditions(s *shard, j *job) []Precondition {
	return []Precondition{{claimKey(s.name), s.token}, {jobKey(j.rec.Job.ID), j.rev}}
}

// progressWriteInterval is how long progress may stay unwritten: a result is kept by
// its machine until it is stored, so only a machine's loss costs it.
func (env *environment) progressWriteInterval() int64 {
	return max(secondsToMS(env.params.HeartbeatS), 1500)
}

// tickShard writes results and progress, watches for silent machines, and
// plans when something changed.
func (sm *shardManager) tickShard(s *shard) {
	now := sm.now.MonotonicMS
	if s.releasing {
		if !s.requestPending && now-s.plannedAt > 500 {
			sm.removeClaim(s)
		}
		return
	}
	if !s.ready {
		// The mirror must have passed the claim: a machine that the earlier
		// claim listed as up last of all may run what would start again.
		if s.progressRead && sm.cache.mirrorRevision >= s.claimRev {
			s.ready, s.dirty = true, true
			if sm.params.Recovery && len(s.taskRanges) > 0 {
				s.reconciler.Pacer.Activate(now, len(s.machines), secondsToMS(sm.params.HeartbeatS), secondsToMS(sm.params.LeaseS))
			}
			sm.log(Info, "shard ready", "shard", s.name, "machines", len(s.machines), "ranges", len(s.taskRanges))
		} else if !s.progressRead && !s.requestPending && now-s.plannedAt > 500 {
			sm.readProgress(s)
		}
		return
	}
	if !sm.store.hasAuthority() {
		return
	}
	if s.token <= s.voidToken {
		// Tried until it worked: refused once, in an outage, it left a task
		// waiting for good.
		sm.raiseToken(s)
	}
	if s.attemptIDs.IsHalfExhausted(sm.now.WallMS) {
		sm.raiseToken(s)
	}
	for _, tr := range s.taskRanges {
		if tr.writing || tr.job.recordWritePending || now < tr.nextWriteAt {
			continue
		}
		if tr.job.failureReason != "" {
			sm.failJob(s, tr)
			continue
		}
		if tr.job.awaitingBegunRecord {
			sm.writeBegunRecord(s, tr)
			continue
		}
		if tr.doneCount == tr.size() && tr.job.rec.Job.Kind != Service {
			sm.finishTaskRange(s, tr)
		}
	}
	sm.agents.tickReconcile(s)
	sm.rollouts.tickShardDisruption(s)
	sm.writeProgress(s)
	sm.registry.writeLiveMachines(s)
	if s.mostMachinesSilent() {
		s.mostSilentAt = sm.now.MonotonicMS
	}
	for _, mc := range s.machines {
		sm.agents.tickMachine(s, mc)
	}
	if sm.placer.isPlanDue(s) {
		sm.placer.planShard(s)
		sm.quotas.sendReclaimStops(s)
		sm.agents.sendUrgentStarts(s)
	}
	sm.quotas.proposeAllocations(s)
}

// planStepCostMS is what a step of the planner is taken to cost, in milliseconds of a
// whole processor. It only paces the planner, so a rough figure does.
const planStepCostMS = 20e-6

// planningCPUShare is which part of its processor a member spends on planning at most.
const planningCPUShare = 0.2

// isPlanDue tells whether a shard is to be planned anew: soon when a job arrived,
// otherwise as often as the last plan's cost allows. Machines that report room
// in between take the next task of the queue by themselves.
func (pp *placementPlanner) isPlanDue(s *shard) bool {
	interval := pp.planInterval(s)
	passed := float64(pp.now.MonotonicMS - s.plannedAt)
	switch {
	case s.planExpedited:
		return passed >= max(50, interval/2)
	case s.dirty:
		return passed >= max(50, min(pp.params.HeartbeatS*1000/4, 500), interval)
	}
	return passed >= max(1000, 2*interval)
}

// planInterval is how long the last plan's cost asks to wait for the next one, in
// milliseconds.
func (env *environment) planInterval(s *shard) float64 {
	interval := float64(s.planSteps) * planStepCostMS / planningCPUShare
	if env.params.CPUShare > 0 {
		interval /= env.params.CPUShare
	}
	return interval
}

// recordWriteState is a value of the store with the progress of several ranges of a shard:
// one for each would cost a change each, every few seconds.
type recordWriteState struct {
	rev         uint64
	dirty       bool
	writing     bool
	nextWriteAt int64
}

// sharedProgressRecords is how many values the progress of a shard's small ranges is spread over.
const sharedProgressRecords = 4

func (s *shard) progressRecord(key string) *recordWriteState {
	state := s.progressRecords[key]
	if state == nil {
		state = &recordWriteState{}
		s.progressRecords[key] = state
	}
	return state
}

// name names a range in its page.
func (tr *taskRange) name() string { return taskName(tr.job.rec.Job.ID, tr.bounds.Lo) }

// progressKey is the value that a range's progress is kept in: one of its own for a
// large range, which would fill a shared one.
func (sm *shardManager) progressKey(tr *taskRange) string {
	if tr.progressKey == "" {
		tr.progressKey = progressPrefix + tr.shardName + "/"
		if name := tr.name(); len(tr.done) > sm.params.MaxValueBytes/16 {
			tr.progressKey += name
		} else {
			h := fnv.New32a()
			h.Write([]byte(name))
			tr.progressKey += strconv.Itoa(int(h.Sum32() % sharedProgressRecords))
		}
	}
	return tr.progressKey
}

// writeShardRecord writes a value of a shard's own, or removes it (nil), under its claim and the
// value's revision, and not again before a while. stored says whether the store is known to have it; if
// it may, the revision is read before anything is written again.
func (sm *shardManager) writeShardRecord(
	s *shard,
	key string,
	state *recordWriteState,
	value any,
	interval int64,
	onResult func(ok bool),
) {
	state.writing, state.nextWriteAt = true, sm.now.MonotonicMS+interval
	change := Change{Key: key}
	if value != nil {
		change.Value = mustEncode(value)
	}
	sm.store.sendTxn(
		UrgencyBackground,
		[]Precondition{{claimKey(s.name), s.token}, {key, state.rev}},
		[]Change{change},
		func(r StoreResult) {
			state.writing = false
			if r.Outcome == OK {
				state.rev = r.Rev
			}
			onResult(r.Outcome == OK)
			if r.Outcome == Unknown || r.Outcome == Conflict {
				state.writing = true
				sm.store.rereadKey(key, func(r StoreResult) {
					state.writing = false
					if r.Outcome == OK && len(r.KVs) == 1 {
						state.rev = r.KVs[0].Rev
					} else if r.Outcome == NotFound {
						state.rev = 0
					}
				})
			}
		},
	)
}

// writeProgress writes the pages of a shard that have news.
func (sm *shardManager) writeProgress(s *shard) {
	now := sm.now.MonotonicMS
	for _, tr := range s.taskRanges {
		if tr.dirty {
			s.progressRecord(sm.progressKey(tr)).dirty = true
		}
	}
	for key, state := range sortedByKey(s.progressRecords) {
		if state.dirty && !state.writing && now >= state.nextWriteAt {
			sm.writeProgressRecord(s, key, state)
		}
	}
}

func (sm *shardManager) writeProgressRecord(s *shard, key string, state *recordWriteState) {
	rec := progressRecord{DoneBitmaps: map[string][]byte{}}
	snapshots := map[*taskRange]bitset{}
	size := 0
	for _, tr := range s.taskRanges {
		if tr.doneCount == 0 || sm.progressKey(tr) != key {
			continue
		}
		// What does not fit waits until other ranges end: their machines
		// keep the results.
		if size += len(tr.done)*4/3 + len(tr.name()) + 12; size > sm.params.MaxValueBytes-64 {
			break
		}
		snapshot := append(bitset(nil), tr.done...)
		snapshots[tr], rec.DoneBitmaps[tr.name()] = snapshot, snapshot
		tr.dirty = false
	}
	state.dirty = false
	var value any
	if len(rec.DoneBitmaps) > 0 {
		value = rec
	}
	sm.writeShardRecord(s, key, state, value, sm.progressWriteInterval(), func(ok bool) {
		if !ok {
			state.dirty = true
			for tr := range snapshots {
				tr.dirty = true
			}
			return
		}
		if value == nil {
			delete(s.progressRecords, key)
		}
		for tr, snapshot := range snapshots {
			tr.storedDone = snapshot
		}
	})
}

// finishTaskRange records that all of a range is done. The last range of a job moves
// it to its final record in the same transaction.
func (sm *shardManager) finishTaskRange(s *shard, tr *taskRange) {
	j := tr.job
	id := j.rec.Job.ID
	var preconditions []Precondition
	var changes []Change
	remaining := make([]Range, 0, len(j.rec.Ranges))
	for _, r := range j.rec.Ranges {
		if r.Lo != tr.bounds.Lo {
			remaining = append(remaining, r)
		}
	}
	final := terminalRecord{State: Done, Tasks: j.rec.Job.Tasks, WorkflowRun: j.rec.Job.WorkflowRun}
	if len(remaining) == 0 {
		changes = append(changes, Change{Key: jobKey(id)}, Change{Key: terminalKey(id), Value: mustEncode(final)})
		preconditions = append(preconditions, Precondition{terminalKey(id), 0})
	} else {
		rec := j.rec
		rec.Ranges = remaining
		changes = append(changes, Change{Key: jobKey(id), Value: mustEncode(rec)})
	}
	sm.writeJob(s, tr, changes, preconditions, func() {
		if len(remaining) == 0 {
			sm.Counters.Finished++
			if deadlineS := j.rec.Job.DeadlineS; deadlineS > 0 && sm.now.WallMS > j.rec.AcceptedAtMS+secondsToMS(deadlineS) {
				sm.rolloutCounts.MissedDeadlines++
			}
			sm.requests.cacheTerminalState(id, final)
		}
	})
}

// writeJob changes a job's record under its shard's claim.
func (sm *shardManager) writeJob(
	s *shard,
	tr *taskRange,
	changes []Change,
	preconditions []Precondition,
	onSuccess func(),
) {
	j := tr.job
	tr.writing, j.recordWritePending, tr.nextWriteAt = true, true, sm.now.MonotonicMS
	sm.store.sendTxn(UrgencyUser, append(sm.claimPreconditions(s, j), preconditions...), changes, func(r StoreResult) {
		tr.writing, j.recordWritePending = false, false
		if r.Outcome == OK {
			onSuccess()
			return
		}
		tr.nextWriteAt = sm.now.MonotonicMS + 200 // not before
		if r.Outcome == Unknown || r.Outcome == Conflict {
			tr.writing, j.recordWritePending = true, true
			sm.store.rereadKey(jobKey(j.rec.Job.ID), func(StoreResult) {
				tr.writing, j.recordWritePending = false, false
			})
		}
	})
}

// releaseShard hands a shard back to its own member: first we stop acting for it,
// then the claim is removed. There is no way back once the removal was sent: it
// may be applied late, and the next claim may follow at once.
func (sm *shardManager) releaseShard(s *shard) {
	if s.releasing {
		return
	}
	s.releasing = true
	sm.log(Info, "shard handed back", "shard", s.name)
	sm.removeClaim(s)
}

func (sm *shardManager) removeClaim(s *shard) {
	key := claimKey(s.name)
	s.requestPending = true
	sm.store.sendTxn(UrgencyLease, []Precondition{{key, s.token}}, []Change{{Key: key}}, func(r StoreResult) {
		s.requestPending = false
		s.plannedAt = sm.now.MonotonicMS
		if r.Outcome == OK || r.Outcome == Conflict {
			sm.dropShard(s)
			sm.ownerlessSinceMS[s.name] = sm.now.MonotonicMS
		}
	})
}
