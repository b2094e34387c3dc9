package scheduler

import "github.com/grebedock/grebedock/access"

// storeClient sends requests to the state service. It owns the pending requests, the
// member's lease there, and writes whose outcome is unknown.
type storeClient struct {
	*environment

	storeAccess    *access.LeaseKeeper
	storeCallbacks map[uint64]func(StoreResult) // by request ID
	delayedSteps   []delayedStep                // of in-doubt writes
	lastStoreLink  access.LinkState             // as it was last logged
	hadAuthority   bool                         // as it was last logged
	observeChange  func(KeyValue)               // receives the state of a key that a completed request shows
}

// authoritySlackMS is subtracted from the time for which a lease gives authority.
const authoritySlackMS = 50

func newStoreClient(env *environment) *storeClient {
	sc := &storeClient{environment: env, storeCallbacks: map[uint64]func(StoreResult){}}
	sc.storeAccess = access.NewLeaseKeeper(access.Settings{
		LeaseTTLMS:       sc.leaseTTLMS(),
		MaxClockDrift:    maxClockDriftMS,
		AuthoritySlackMS: authoritySlackMS,
		RequestTimeoutMS: access.RequestTimeout.Milliseconds(),
	})
	return sc
}

// sendStore sends a request; onResult is called once with its result. Except for watches
// that wait, and for background requests, its duration counts as the store's latency.
func (sc *storeClient) sendStore(op StoreOp, onResult func(StoreResult)) {
	sc.lastRequestID++
	op.ID = sc.lastRequestID
	switch {
	case op.Kind == StoreWatch && op.DurationMS > 0: // waits by its nature
		sc.storeCallbacks[op.ID] = onResult
	case op.Urgency == UrgencyBackground:
		// It may wait long for the rate limit: its duration is no latency of
		// the state service.
		sc.storeCallbacks[op.ID] = func(r StoreResult) {
			sc.storeAccess.ObserveOutcome(sc.now.MonotonicMS, r.Outcome)
			onResult(r)
		}
	default:
		ticket := sc.storeAccess.BeginRequest(sc.now.MonotonicMS)
		sc.storeCallbacks[op.ID] = func(r StoreResult) {
			sc.storeAccess.CompleteRequest(sc.now.MonotonicMS, ticket, r.QueuedMS, r.Outcome)
			onResult(r)
		}
	}
	sc.outputs.StoreOps = append(sc.outputs.StoreOps, op)
}

// leaseTTLMS is the TTL of this member's lease (access.LeaseTTLMS).
func (sc *storeClient) leaseTTLMS() int64 {
	ttlMS := access.LeaseTTLMS(secondsToMS(sc.params.CancelWithinS), secondsToMS(sc.params.LeaseS))
	if sc.params.LeaseTTLRatio > 0 {
		ttlMS = int64(float64(ttlMS) * min(1, sc.params.LeaseTTLRatio))
	}
	return ttlMS
}

// leaseRenewalIntervalMS is the interval between renewals of the lease, and of watches.
func (sc *storeClient) leaseRenewalIntervalMS() int64 { return sc.storeAccess.RenewIntervalMS() }

// hasAuthority reports whether this member may act for its shards. Without it: no starts,
// no decisions, and no response that would renew a worker's lease.
func (sc *storeClient) hasAuthority() bool { return sc.storeAccess.HasAuthority(sc.now.MonotonicMS) }

// listAll reads all keys with a prefix, page by page. revision is that of the first page:
// a watch from there on misses nothing.
func (sc *storeClient) listAll(prefix string, onResult func(kvs []KeyValue, revision uint64, outcome Outcome)) {
	var collected []KeyValue
	var revision uint64
	var readPage func(startAfter string)
	readPage = func(startAfter string) {
		sc.sendStore(StoreOp{Kind: StoreList, Key: prefix, StartAfter: startAfter}, func(r StoreResult) {
			if r.Outcome != OK {
				onResult(nil, 0, r.Outcome)
				return
			}
			if startAfter == "" {
				revision = r.Rev
			}
			collected = append(collected, r.KVs...)
			if r.More && len(r.KVs) > 0 {
				readPage(r.KVs[len(r.KVs)-1].Key)
				return
			}
			onResult(collected, revision, OK)
		})
	}
	readPage("")
}

// sendTxn sends a transaction. If it is known to have succeeded, the cache has its changes
// before onResult is called.
func (sc *storeClient) sendTxn(
	urgency Urgency,
	preconditions []Precondition,
	changes []Change,
	onResult func(StoreResult),
) {
	sc.sendStore(
		StoreOp{Kind: StoreTxn, Urgency: urgency, Preconditions: preconditions, Changes: changes},
		func(result StoreResult) {
			if result.Outcome == OK {
				for _, change := range changes {
					sc.observeChange(KeyValue{Key: change.Key, Value: change.Value, Rev: result.Rev})
				}
			}
			onResult(result)
		},
	)
}

// rereadKey reads a key whose last write has an unknown outcome, and updates the cache
// before onResult is called.
func (sc *storeClient) rereadKey(key string, onResult func(StoreResult)) {
	sc.sendStore(StoreOp{Kind: StoreGet, Urgency: UrgencyUser, Key: key}, func(result StoreResult) {
		if result.Outcome == OK && len(result.KVs) == 1 {
			sc.observeChange(result.KVs[0])
		}
		if result.Outcome == NotFound {
			sc.observeChange(KeyValue{Key: key, Rev: result.Rev})
		}
		onResult(result)
	})
}

// isStoreUnreachable reports whether the state service refuses this member's requests or
// does not answer them. Each further request would take its whole timeout to learn the
// same; renewals of the lease go on, and their answer ends this.
func (sc *storeClient) isStoreUnreachable() bool {
	link := sc.storeAccess.Link(sc.now.MonotonicMS)
	return link == access.LinkSilent || link == access.LinkRefused
}
