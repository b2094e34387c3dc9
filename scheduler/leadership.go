package scheduler

import "encoding/json"

// leadership is this member's state in leader election. The leader record is attached to
// the member's lease and is deleted when the lease ends. Its revision is a precondition of
// every write by the leader.
//
//	state                | event                                         | next state
//	follower             | no leader record, authority held              | claim pending
//	follower             | record of an earlier process of this member   | claim pending
//	claim pending        | claim stored                                  | leader
//	claim pending        | conflict, or outcome unknown                  | follower, once the record is read
//	leader               | record with another nonce, or record deleted  | follower
type leadership struct {
	leading       bool
	nonce         uint64 // nonce of the last claim; a record with another nonce belongs to another claim
	leaderRev     uint64 // revision at which this member's last claim was stored
	claimPending  bool
	nextClaimAtMS int64 // monotonic
}

func (as *autoscaler) applyLeaderRecord(kv KeyValue) error {
	var rec claimRecord
	if kv.Value != nil {
		if err := json.Unmarshal(kv.Value, &rec); err != nil {
			return err
		}
	}
	if rec.Nonce != as.nonce {
		as.leading = false
	}
	as.cache.leader = rec.Owner
	return nil
}

// shouldClaimLeadership reports whether there is no leader, or the leader record belongs to
// an earlier process of this member.
func (as *autoscaler) shouldClaimLeadership() bool {
	return as.cache.leader == "" || as.cache.leader == as.params.MemberID && !as.leading
}

func (as *autoscaler) claimLeadership() {
	now := as.now.MonotonicMS
	if as.claimPending || now < as.nextClaimAtMS {
		return
	}
	as.claimPending = true
	as.nonce = as.rng.Uint64()
	value := mustEncode(claimRecord{as.params.MemberID, as.nonce})
	op := StoreOp{
		Kind:          StoreTxn,
		Urgency:       UrgencyLease,
		Preconditions: []Precondition{{leaderKey, as.cache.keyRevisions[leaderKey]}},
		Changes:       []Change{{Key: leaderKey, Value: value, LeaseID: as.store.storeAccess.LeaseID()}},
	}
	as.store.sendStore(op, func(r StoreResult) {
		as.claimPending = false
		as.nextClaimAtMS = as.now.MonotonicMS + 500 + as.rng.Int64N(500)
		if r.Outcome != OK {
			as.store.rereadKey(leaderKey, func(StoreResult) {})
			return
		}
		as.cache.applyChange(KeyValue{Key: leaderKey, Value: value, Rev: r.Rev})
		as.beginLeadership(r.Rev)
	})
}

// beginLeadership discards the state of an earlier leadership of this member. Machines that
// it had not registered yet are found again in the cloud's list.
func (as *autoscaler) beginLeadership(leaderRev uint64) {
	as.leading, as.leaderRev = true, leaderRev
	as.nextListAtMS = as.now.MonotonicMS
	clear(as.provisioning)
	as.rollouts.beginLeadership()
	as.pendingAdditions, as.unregisteredMachines, as.registryWriting = nil, nil, false
	clear(as.machinesBeingRegistered)
	clear(as.pendingRemovals)
	clear(as.pendingReleases)
	as.log(Info, "leadership acquired", "revision", leaderRev)
}

// canActAsLeader reports whether this member is the leader, has authority, and has all
// writes of earlier leaders in its cache. With an older cache it could take a registered
// machine for an unregistered one and assign it to a second shard.
func (as *autoscaler) canActAsLeader() bool {
	return as.leading && as.store.hasAuthority() && as.cache.appliedRevision >= as.leaderRev
}
