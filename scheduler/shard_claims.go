package scheduler

import (
	"encoding/json"
)

// shardManager owns the shards that this member has claimed: their claims,
// failover and hand-back, the task ranges in them and their progress records.
//
// A claim is a record under the owner's store lease, so it ends with the owner.
// The revision that wrote it is the shard's fencing token: workers refuse
// commands with a lower one, so an owner that does not know yet that it lost the
// shard can do no harm. Every change of a shard's records has the claim at that
// token as precondition.
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

// leaseSlackMS is the error of measuring a worker's lease.
const leaseSlackMS = 300

// Pace of operations on a claim, in milliseconds.
const (
	claimRetryMS      = 300 // after a failed try to claim, and as much again at random
	tokenRaiseDelayMS = 500 // between two raises of a token
	shardRetryDelayMS = 500 // between two tries to read the progress or to remove the claim
)

// tickShards ticks the owned shards and claims those that this member should own.
func (sm *shardManager) tickShards() {
	if !sm.store.storeAccess.IsSynced() || sm.store.storeAccess.LeaseID() == 0 {
		return
	}
	for _, name := range sm.memberIDs() {
		sm.trackOwnerless(name)
		if s := sm.ownedShards[name]; s != nil {
			sm.tickShard(s)
			continue
		}
		if sm.canClaimNow(name) && sm.shouldClaim(name) {
			sm.claimShard(name)
		}
	}
}

// trackOwnerless notes since when a shard has no owner.
func (sm *shardManager) trackOwnerless(name string) {
	if _, claimed := sm.cache.shardClaims[name]; claimed {
		delete(sm.ownerlessSinceMS, name)
		return
	}
	if _, known := sm.ownerlessSinceMS[name]; !known {
		sm.ownerlessSinceMS[name] = sm.now.MonotonicMS
	}
}

// canClaimNow reports whether a try to claim a shard is due, and the cache recent enough
// to decide on it.
func (sm *shardManager) canClaimNow(name string) bool {
	now := sm.now.MonotonicMS
	cacheAgeMS := now - sm.store.storeAccess.MirrorReadSentAt()
	return now >= sm.claimRetryAtMS[name] && cacheAgeMS <= sm.store.leaseRenewalIntervalMS()*3
}

// shouldClaim reports whether a shard that this member does not own is its to claim.
func (sm *shardManager) shouldClaim(name string) bool {
	claim, claimed := sm.cache.shardClaims[name]
	if claimed {
		// In our name and not owned: our predecessor's claim, of its own shard
		// or of one that it adopted. That process is dead.
		return claim.Owner == sm.params.MemberID
	}
	// The claim of another member's shard ended with its lease, and the member does not come back.
	return name == sm.params.MemberID || sm.now.MonotonicMS-sm.ownerlessSinceMS[name] > sm.adoptionDelay()
}

// adoptionDelay is how long a shard must have been without an owner before
// another member adopts it, in milliseconds: one renewal interval of the store's
// lease at most. The owner's lease has ended by then; the delay lets the shard's
// own member, which restarts within seconds, come first.
func (sm *shardManager) adoptionDelay() int64 {
	if sm.now.MonotonicMS-sm.startedAtMS < sm.store.leaseTTLMS() {
		return sm.store.leaseTTLMS()
	}
	return sm.store.leaseRenewalIntervalMS()/2 + sm.rng.Int64N(sm.store.leaseRenewalIntervalMS()/2)
}

// claimWrite is a claim whose write is in flight.
type claimWrite struct {
	shard   string
	nonce   uint64
	leaseID uint64 // store lease that the claim is attached to
}

// claimShard writes this member's claim of a shard. Whether a write with an
// unknown outcome took effect shows the nonce in the record.
func (sm *shardManager) claimShard(name string) {
	w := claimWrite{name, sm.rng.Uint64(), sm.store.storeAccess.LeaseID()}
	key := claimKey(name)
	sm.claimRetryAtMS[name] = sm.now.MonotonicMS + 10*sm.store.leaseRenewalIntervalMS()
	value := mustEncode(claimRecord{sm.params.MemberID, w.nonce})
	op := StoreOp{
		Kind:          StoreTxn,
		Urgency:       UrgencyLease,
		Preconditions: []Precondition{{key, sm.cache.keyRevisions[key]}},
		Changes:       []Change{{Key: key, Value: value, LeaseID: w.leaseID}},
	}
	sm.store.sendStore(op, func(r StoreResult) {
		switch r.Outcome {
		case OK:
			sm.ownShard(w, r.Rev)
			sm.cache.applyChange(KeyValue{Key: key, Value: value, Rev: r.Rev})
		case Unknown, Conflict:
			sm.resolveClaim(w)
		default:
			sm.retryClaim(name)
		}
	})
}

// resolveClaim reads back a claim whose write may have taken effect.
func (sm *shardManager) resolveClaim(w claimWrite) {
	sm.store.rereadKey(claimKey(w.shard), func(r StoreResult) {
		sm.retryClaim(w.shard)
		if r.Outcome != OK || len(r.KVs) != 1 {
			return
		}
		var rec claimRecord
		if json.Unmarshal(r.KVs[0].Value, &rec) == nil && rec.Nonce == w.nonce {
			sm.ownShard(w, r.KVs[0].Rev)
		}
	})
}

// ownShard begins to act for a shard whose claim is in the store, unless the lease that
// the claim is attached to has been replaced since.
func (sm *shardManager) ownShard(w claimWrite, rev uint64) {
	if sm.store.storeAccess.LeaseID() != w.leaseID {
		sm.claimRetryAtMS[w.shard] = 0
		return
	}
	delete(sm.claimRetryAtMS, w.shard)
	s := sm.newShard(w.shard, w.nonce, rev)
	sm.ownedShards[w.shard] = s
	sm.Counters.Claims++
	sm.log(Info, "shard claimed", "shard", w.shard, "token", rev)
	sm.takeOverShard(s)
}

func (sm *shardManager) retryClaim(name string) {
	sm.claimRetryAtMS[name] = sm.now.MonotonicMS + claimRetryMS + sm.rng.Int64N(claimRetryMS)
}

// raiseToken writes the claim again and so gives its shard a higher fencing token. Once a
// worker has seen it, commands that were sent to it before and never acknowledged
// cannot take effect any more, however long the network delayed them.
func (sm *shardManager) raiseToken(s *shard) {
	now := sm.now.MonotonicMS
	leaseID := sm.store.storeAccess.LeaseID()
	if s.raisingToken || s.releasing || leaseID == 0 || now < s.nextRaiseAt {
		return
	}
	s.raisingToken, s.nextRaiseAt = true, now+tokenRaiseDelayMS
	key := claimKey(s.name)
	value := mustEncode(claimRecord{sm.params.MemberID, s.nonce})
	op := StoreOp{
		Kind:          StoreTxn,
		Urgency:       UrgencyLease,
		Preconditions: []Precondition{{key, s.token}},
		Changes:       []Change{{Key: key, Value: value, LeaseID: leaseID}},
	}
	sm.store.sendStore(op, func(r StoreResult) {
		s.raisingToken = false
		if r.Outcome != OK {
			sm.store.rereadKey(key, func(StoreResult) {})
			return
		}
		sm.cache.applyChange(KeyValue{Key: key, Value: value, Rev: r.Rev})
		sm.log(Info, "token raised", "shard", s.name, "token", r.Rev)
	})
}

// dropShard forgets a shard whose claim ended, and its task ranges.
func (sm *shardManager) dropShard(s *shard) {
	if sm.ownedShards[s.name] != s {
		return
	}
	delete(sm.ownedShards, s.name)
	for _, j := range sortedByKey(sm.cache.jobs) {
		sm.syncTaskRanges(j, false)
	}
}

// takeOverShard takes over what the cache says that the shard owns. The path is the
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
// the claim still stands, and the record is the one in the cache.
func (sm *shardManager) claimPreconditions(s *shard, j *job) []Precondition {
	return []Precondition{{claimKey(s.name), s.token}, {jobKey(j.rec.Job.ID), j.rev}}
}

// releaseShard hands a shard back to its own member: first this member stops acting for
// it, then the claim is removed. There is no way back once the removal was sent: it
// may take effect late, and the next claim may follow at once.
func (sm *shardManager) releaseShard(s *shard) {
	if s.releasing {
		return
	}
	s.releasing = true
	sm.log(Info, "shard handed back", "shard", s.name)
	sm.removeClaim(s)
}

// removeClaim removes a shard's claim from the store. A failure is retried by the tick; on a
// conflict the claim is another's already.
func (sm *shardManager) removeClaim(s *shard) {
	key := claimKey(s.name)
	s.requestPending = true
	sm.store.sendTxn(UrgencyLease, []Precondition{{key, s.token}}, []Change{{Key: key}}, func(r StoreResult) {
		s.requestPending = false
		if r.Outcome != OK && r.Outcome != Conflict {
			s.requestFailedAt = sm.now.MonotonicMS
			return
		}
		sm.dropShard(s)
		sm.ownerlessSinceMS[s.name] = sm.now.MonotonicMS
	})
}

// applyClaimRecord applies a change of a claim in the store to the cache and to the shard
// that this member owns under it. It returns the decoder's error; nothing is changed then.
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
	if s == nil {
		return nil
	}
	if !removed && rec.Nonce == s.nonce {
		// Our own claim, whose token was raised.
		s.token = max(s.token, kv.Rev)
		s.attemptIDs.Rebase(s.token, sm.now.WallMS)
		return nil
	}
	if kv.Rev > s.token {
		// Another member's claim, or none: the shard is no longer ours.
		sm.log(Warn, "shard lost", "shard", id)
		sm.dropShard(s)
	}
	return nil
}

// markAllShardsDirty has every owned shard planned again soon.
func (sm *shardManager) markAllShardsDirty() {
	for _, s := range sm.ownedShards {
		s.dirty = true
	}
}
