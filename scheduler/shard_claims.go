package scheduler

import (
	"encoding/json"
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

// leaseSlack is what measuring a lease costs, in milliseconds.
const leaseSlack = 300

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

// claimPreconditions returns the conditions under which a shard may change a job's record:
// the claim still stands, and the record is the one that we know.
func (sm *shardManager) claimPreconditions(s *shard, j *job) []Precondition {
	return []Precondition{{claimKey(s.name), s.token}, {jobKey(j.rec.Job.ID), j.rev}}
}

// planStepCostMS is what a step of the planner is taken to cost, in milliseconds of a
// whole processor. It only paces the planner, so a rough figure does.
const planStepCostMS = 20e-6

// planningCPUShare is which part of its processor a member spends on planning at most.
const planningCPUShare = 0.2

// sharedProgressRecords is how many values the progress of a shard's small ranges is spread over.
const sharedProgressRecords = 4

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

func (sm *shardManager) applyClaimRecord(kv KeyValue) error {
	id := kv.Key[len(claimPrefix):]
	removed := kv.Value == nil
	var rec claimRecord
	if removed {
		delete(sm.cache.shardClaims, id)
	} else {
		if err := json.Unmarshal(kv.Value, &rec); err != nil {
			return err
		}
		sm.cache.shardClaims[id] = rec
	}
	s := sm.ownedShards[id]
	switch {
	case s == nil:
	case !removed && rec.Nonce == s.nonce:
		// Our own claim, whose token we raised.
		s.token = max(s.token, kv.Rev)
		s.attemptIDs.Rebase(s.token, sm.now.WallMS)
	case kv.Rev > s.token:
		// Another member's claim, or none: the shard is no longer ours.
		sm.log(Warn, "shard lost", "shard", id)
		sm.dropShard(s)
	}
	return nil
}

func (sm *shardManager) markAllShardsDirty() {
	for _, s := range sm.ownedShards {
		s.dirty = true
	}
}
