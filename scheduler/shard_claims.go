package scheduler

import (
	"encoding/json"
)

// shardManager owns the shards that this member has claimed: their claims,
// failover and hand-back, the task ranges in them and their progress records.
//
// A claim is a record attached to the owner's lease in the state service, and is deleted when that lease
// ends. The revision of its last write is the shard's fencing token. Workers refuse commands with a
// lower token, so an owner that has lost the shard without noticing cannot act on it. Every change of a
// shard's records has the claim's revision, which is the token, as a precondition.
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
	claimRetryAtMS   map[string]int64 // by shard: monotonic time before which it is not claimed again
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

// leaseSlackMS is the maximum error in measuring a worker's lease.
const leaseSlackMS = 300

// Delays between operations on a claim, in milliseconds.
const (
	claimRetryMS      = 300  // after a failed claim, plus a random delay of up to the same length
	tokenRaiseDelayMS = 500  // between two updates of a fencing token
	clearRaiseDelayMS = 1000 // between two updates of a fencing token for clears
	shardRetryDelayMS = 500  // before a retry to read the progress or remove the claim
)

// tickShards ticks the owned shards and claims the shards that this member should own.
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

// trackOwnerless records since when a shard has had no owner.
func (sm *shardManager) trackOwnerless(name string) {
	if _, claimed := sm.cache.shardClaims[name]; claimed {
		delete(sm.ownerlessSinceMS, name)
		return
	}
	if _, known := sm.ownerlessSinceMS[name]; !known {
		sm.ownerlessSinceMS[name] = sm.now.MonotonicMS
	}
}

// canClaimNow reports whether a claim of a shard is due, and the cache is recent enough to decide on it.
func (sm *shardManager) canClaimNow(name string) bool {
	now := sm.now.MonotonicMS
	cacheAgeMS := now - sm.store.storeAccess.CacheRefreshSentAt()
	return now >= sm.claimRetryAtMS[name] && cacheAgeMS <= sm.store.leaseRenewalIntervalMS()*3
}

// shouldClaim reports whether this member should claim a shard that it does not own.
func (sm *shardManager) shouldClaim(name string) bool {
	claim, claimed := sm.cache.shardClaims[name]
	if claimed {
		// A claim with this member's ID that is not owned by this process was made by
		// an earlier process of this member, which has ended. The shard is the
		// member's own or one that it adopted.
		return claim.Owner == sm.params.MemberID
	}
	// The claim of another member's shard ended with its lease, and the member has not claimed it again.
	return name == sm.params.MemberID || sm.now.MonotonicMS-sm.ownerlessSinceMS[name] > sm.adoptionDelay()
}

// adoptionDelay returns how long a shard must have been without an owner before another member adopts
// it, in milliseconds. It is at most one renewal interval of the member's lease, or one TTL of it for a
// member that has just started. The owner's lease has already ended; the delay lets the shard's own
// member, which restarts within seconds, claim it first.
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
	leaseID uint64 // member's lease that the claim is attached to
}

// claimShard writes this member's claim of a shard. After an unknown outcome, the nonce in
// the record shows whether the write took effect.
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

// ownShard takes ownership of a shard whose claim is stored, unless the lease that the claim
// is attached to has been replaced since.
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

// raiseReason is why a shard's fencing token is raised.
type raiseReason string

const (
	raiseForUnanswered raiseReason = "unanswered direct command"
	raiseForAttemptIDs raiseReason = "attempt IDs half used"
	raiseForClears     raiseReason = "clears of direct starts"
)

// raiseToken rewrites the claim, which gives the shard a higher fencing token. Once a worker
// has received it, earlier commands without an acknowledgement can no longer take effect,
// however long the network delays them.
func (sm *shardManager) raiseToken(s *shard, reason raiseReason) {
	leaseID := sm.store.storeAccess.LeaseID()
	if s.releasing || leaseID == 0 || !s.tokenRaises.begin(reason, sm.now.MonotonicMS) {
		return
	}
	urgency := UrgencyLease
	if reason == raiseForClears {
		urgency = UrgencyBackground
	}
	key := claimKey(s.name)
	value := mustEncode(claimRecord{sm.params.MemberID, s.nonce})
	oldToken := s.token // the watch may bring the new one before the response
	op := StoreOp{
		Kind:          StoreTxn,
		Urgency:       urgency,
		Preconditions: []Precondition{{key, oldToken}},
		Changes:       []Change{{Key: key, Value: value, LeaseID: leaseID}},
	}
	sm.store.sendStore(op, func(r StoreResult) {
		s.tokenRaises.end(reason)
		if r.Outcome != OK {
			sm.store.rereadKey(key, func(StoreResult) {})
			return
		}
		sm.countRaise(reason)
		sm.log(Info, "token raised", "shard", s.name, "token", r.Rev, "old", oldToken, "reason", reason)
		sm.cache.applyChange(KeyValue{Key: key, Value: value, Rev: r.Rev})
	})
}

// begin reports whether a raise for a reason may be sent now, and marks it as pending.
func (raises *tokenRaises) begin(reason raiseReason, now int64) bool {
	if reason == raiseForClears {
		if raises.raisingToken || raises.raisingForClears || now < raises.nextClearRaiseAt {
			return false
		}
		raises.raisingForClears, raises.nextClearRaiseAt = true, now+clearRaiseDelayMS
		return true
	}
	if raises.raisingToken || now < raises.nextRaiseAt {
		return false
	}
	raises.raisingToken, raises.nextRaiseAt = true, now+tokenRaiseDelayMS
	return true
}

// end marks a raise as no longer pending.
func (raises *tokenRaises) end(reason raiseReason) {
	if reason == raiseForClears {
		raises.raisingForClears = false
	} else {
		raises.raisingToken = false
	}
}

func (sm *shardManager) countRaise(reason raiseReason) {
	switch reason {
	case raiseForUnanswered:
		sm.Counters.RaisesForUnanswered++
	case raiseForAttemptIDs:
		sm.Counters.RaisesForAttemptIDs++
	case raiseForClears:
		sm.Counters.RaisesForClears++
	}
}

// dropShard discards a shard whose claim ended, and its task ranges.
func (sm *shardManager) dropShard(s *shard) {
	if sm.ownedShards[s.name] != s {
		return
	}
	delete(sm.ownedShards, s.name)
	for _, j := range sortedByKey(sm.cache.jobs) {
		sm.syncTaskRanges(j)
	}
}

// takeOverShard initializes a claimed shard with its machines and task ranges in the cache,
// and reads its progress. First start, restart, adoption and hand-back share this path.
func (sm *shardManager) takeOverShard(s *shard) {
	for _, mc := range sortedByKey(sm.registry.machines) {
		if mc.rec.Shard == s.name {
			sm.registry.resetMachine(mc)
			s.machines = append(s.machines, mc)
		}
	}
	for _, j := range sortedByKey(sm.cache.jobs) {
		sm.syncTaskRanges(j)
	}
	sm.readProgress(s)
}

// claimPreconditions returns the preconditions for a shard's change of a job's record: the
// claim still has the shard's token, and the record has the cached revision.
func (sm *shardManager) claimPreconditions(s *shard, j *job) []Precondition {
	return []Precondition{{claimKey(s.name), s.token}, {jobKey(j.rec.Job.ID), j.rev}}
}

// releaseShard hands a shard back to its own member. This member first stops acting for the
// shard, then removes the claim. The removal is irreversible once sent: it may take effect
// late, and the next claim may follow immediately.
func (sm *shardManager) releaseShard(s *shard) {
	if s.releasing {
		return
	}
	s.releasing = true
	sm.log(Info, "shard handed back", "shard", s.name)
	sm.removeClaim(s)
}

// removeClaim removes a shard's claim from the state service. tickShard retries a failed removal. A
// conflict means that the claim was removed or replaced already.
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

// applyClaimRecord applies a change of a stored claim to the cache, and to the shard if this member owns
// it. It returns an error, and changes nothing, if the record cannot be decoded.
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
		// This is the shard's own claim with a higher token.
		s.token = max(s.token, kv.Rev)
		s.attemptIDs.Rebase(s.token, sm.now.WallMS)
		return nil
	}
	if kv.Rev > s.token {
		// The claim was removed or replaced by a later one.
		sm.log(Warn, "shard lost", "shard", id)
		sm.dropShard(s)
	}
	return nil
}

// markAllShardsDirty schedules a new plan for every owned shard.
func (sm *shardManager) markAllShardsDirty() {
	for _, s := range sm.ownedShards {
		s.dirty = true
	}
}
