package scheduler

import "github.com/grebedock/grebedock/access"

// storeClient sends requests to the state service. It owns the pending requests, the
// member's lease, and the writes with an unknown outcome.
type storeClient struct {
	*environment

	storeAccess    *access.LeaseKeeper
	storeCallbacks map[uint64]func(StoreResult) // by request ID
	delayedSteps   []delayedStep                // delayed continuations of in-doubt writes
	lastStoreLink  access.LinkState             // last logged value
	hadAuthority   bool                         // last logged value
	observeChange  func(KeyValue)               // receives each key state that a completed request returns
	recentWrites   recentWrites
}

// authoritySlackMS is subtracted from the time for which a lease grants authority.
const authoritySlackMS = 50

func newStoreClient(env *environment) *storeClient {
	sc := &storeClient{environment: env, storeCallbacks: map[uint64]func(StoreResult){}}
	sc.storeAccess = access.NewLeaseKeeper(access.Settings{
		LeaseTTLMS:       sc.leaseTTLMS(),
		MaxClockDrift:    maxClockDrift,
		AuthoritySlackMS: authoritySlackMS,
		RequestTimeoutMS: access.RequestTimeout.Milliseconds(),
	})
	return sc
}

// sendStore sends a request. It calls onResult once with the result. The duration of the
// request counts towards the latency of the state service, except for background requests
// and watches that wait.
func (sc *storeClient) sendStore(op StoreOp, onResult func(StoreResult)) {
	sc.lastRequestID++
	op.ID = sc.lastRequestID
	onResult = sc.withNotBefore(onResult)
	if sc.isDebugLogged() && (op.Kind == StoreGet || op.Kind == StoreList) {
		onResult = sc.logRead(op, onResult)
	}
	switch {
	case op.Kind == StoreWatch && op.DurationMS > 0: // a watch waits for changes, so its duration is not a latency
		sc.storeCallbacks[op.ID] = onResult
	case op.Urgency == UrgencyBackground:
		// The request may wait a long time for the rate limit, so its duration
		// does not measure the latency of the state service.
		sc.storeCallbacks[op.ID] = func(r StoreResult) {
			sc.storeAccess.ObserveOutcome(sc.now.MonotonicMS, r.Outcome)
			onResult(r)
		}
	default:
		sentAtMS := sc.now.MonotonicMS
		ticket := sc.storeAccess.BeginRequest(sentAtMS)
		sc.storeCallbacks[op.ID] = func(r StoreResult) {
			sc.storeAccess.CompleteRequest(sc.now.MonotonicMS, ticket, r.QueuedMS, r.Outcome)
			sc.observeWriteLatency(op.Kind, sentAtMS+r.QueuedMS, r.Outcome)
			onResult(r)
		}
	}
	sc.outputs.StoreOps = append(sc.outputs.StoreOps, op)
}

// withNotBefore returns a callback that adds to a result the time before which the service
// cannot have processed the request.
func (sc *storeClient) withNotBefore(onResult func(StoreResult)) func(StoreResult) {
	sentAtMS := sc.now.MonotonicMS
	return func(r StoreResult) {
		r.notBeforeMS = sentAtMS + r.QueuedMS
		onResult(r)
	}
}

// observeWriteLatency records the latency of a write, counted from the time at which it left
// the queue of this member's rate limit.
func (sc *storeClient) observeWriteLatency(kind StoreOpKind, dequeuedAtMS int64, outcome Outcome) {
	isWrite := kind == StoreTxn || kind == StoreGrantLease || kind == StoreRenewLease
	if isWrite && outcome.ProcessedByService() {
		sc.recentWrites.observe(sc.now.MonotonicMS - dequeuedAtMS)
	}
}

// logRead returns a callback that logs the result of a read before it calls onResult.
func (sc *storeClient) logRead(op StoreOp, onResult func(StoreResult)) func(StoreResult) {
	sentAtMS := sc.now.MonotonicMS
	return func(r StoreResult) {
		sc.log(Debug, "state read", "key", op.Key, "outcome", r.Outcome.String(), "revision", r.Rev,
			"items", len(r.KVs), "ms", sc.now.MonotonicMS-sentAtMS)
		onResult(r)
	}
}

// leaseTTLMS returns the TTL of this member's lease: access.LeaseTTLMS, times LeaseTTLRatio if set.
func (sc *storeClient) leaseTTLMS() int64 {
	ttlMS := access.LeaseTTLMS(secondsToMS(sc.params.CancelWithinS), secondsToMS(sc.params.LeaseS))
	if sc.params.LeaseTTLRatio > 0 {
		ttlMS = int64(float64(ttlMS) * min(1, sc.params.LeaseTTLRatio))
	}
	return ttlMS
}

// leaseRenewalIntervalMS returns the interval between lease renewals, which is also the wait of a watch.
func (sc *storeClient) leaseRenewalIntervalMS() int64 { return sc.storeAccess.RenewIntervalMS() }

// hasAuthority reports whether this member may act for its shards. Without authority, it
// starts no tasks, makes no decisions, and sends no response that renews a worker's lease.
func (sc *storeClient) hasAuthority() bool { return sc.storeAccess.HasAuthority(sc.now.MonotonicMS) }

// listAll reads all keys with a prefix, page by page. revision is the revision of the first
// page, so that a watch from this revision misses no changes.
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

// sendTxn sends a transaction. If the transaction is known to have succeeded, sendTxn
// applies its changes to the state cache before it calls onResult.
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

// rereadKey reads a key whose last write has an unknown outcome. It updates the state cache
// before it calls onResult.
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
// does not answer them. Another request could take its full timeout to fail in the same
// way. Lease renewals continue, and a response to one of them ends this state.
func (sc *storeClient) isStoreUnreachable() bool {
	link := sc.storeAccess.Link(sc.now.MonotonicMS)
	return link == access.LinkSilent || link == access.LinkRefused
}
