package scheduler

import "encoding/json"

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

func (as *autoscaler) claimLeadership() {
	now := as.now.MonotonicMS
	if as.claimPending || now < as.nextClaimAt {
		return
	}
	as.claimPending = true
	nonce := as.rng.Uint64()
	as.nonce = nonce
	rec := claimRecord{as.params.MemberID, nonce}
	as.store.sendStore(
		StoreOp{Kind: StoreTxn, Urgency: UrgencyLease, Preconditions: []Precondition{{leaderKey, as.cache.keyRevisions[leaderKey]}},
			Changes: []Change{{Key: leaderKey, Value: mustEncode(rec), LeaseID: as.store.storeAccess.LeaseID()}}},
		func(r StoreResult) {
			as.claimPending = false
			as.nextClaimAt = as.now.MonotonicMS + 500 + as.rng.Int64N(500)
			if r.Outcome == OK {
				as.cache.applyChange(KeyValue{Key: leaderKey, Value: mustEncode(rec), Rev: r.Rev})
				as.leading, as.leaderRev = true, r.Rev
				as.nextListAt = as.now.MonotonicMS
				clear(as.provisioning)
				as.rollouts.ledger, as.rollouts.provisioning = nil, false
				// What an earlier lead of ours left is the cloud list's to tell.
				as.pendingAdditions, as.unknownMachines, as.registryWriting = nil, nil, false
				clear(as.unrecordedMachines)
				clear(as.pendingRemovals)
				clear(as.pendingReleases)
				as.log(Info, "leading the fleet", "revision", r.Rev)
			} else {
				as.store.rereadKey(leaderKey, func(StoreResult) {})
			}
		},
	)
}

// canActAsLeader tells whether this member leads the fleet and has seen all that its
// predecessors wrote: a machine that it took for unknown would get two owners.
func (as *autoscaler) canActAsLeader() bool {
	return as.leading && as.store.hasAuthority() && as.cache.mirrorRevision >= as.leaderRev
}
