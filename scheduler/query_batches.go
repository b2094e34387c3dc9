package scheduler

import "github.com/grebedock/grebedock/access"

// Users' queries about jobs are answered in batches. A query may be answered from the cache
// once the cache has everything that was written before the query came: one watch that
// does not wait, sent after the query, proves that for all queued ones. So a flood of
// queries costs a bounded number of requests, and no response is older than one that
// another member has given.

const (
	// batchIntervalDivisor divides the request timeout to give the interval between reads
	// of the state service: queries that come meanwhile share the next one.
	batchIntervalDivisor = 20
	// minBatchSize is the number of queries from which a batch is cheaper than one read each.
	minBatchSize = 3
)

// queryBatches owns the queries that wait for the next read.
type queryBatches struct {
	queued        []*pendingRequest
	batchInFlight bool
	nextBatchAtMS int64 // monotonic time from which the next may be sent
}

// enqueueQuery queues a query, and sends it at once if the last batch was long enough ago.
func (rh *requestHandler) enqueueQuery(pending *pendingRequest) {
	rh.queryBatcher.queued = append(rh.queryBatcher.queued, pending)
	rh.sendQueryBatch()
}

// sendQueryBatch sends the queued queries, unless a batch is in flight or the last one was
// a moment ago.
func (rh *requestHandler) sendQueryBatch() {
	batches := &rh.queryBatcher
	if len(batches.queued) == 0 || batches.batchInFlight || rh.now.MonotonicMS < batches.nextBatchAtMS {
		return
	}
	batch := batches.queued
	batches.queued = nil
	batches.nextBatchAtMS = rh.now.MonotonicMS + access.RequestTimeout.Milliseconds()/batchIntervalDivisor
	if len(batch) < minBatchSize || !rh.store.storeAccess.IsSynced() {
		rh.readJobsOneByOne(batch)
		return
	}
	batches.batchInFlight = true
	rh.Counters.QueryBatches++
	rh.cache.syncNow(func(outcome Outcome) {
		batches.batchInFlight = false
		rh.completeBatch(batch, outcome)
		rh.sendQueryBatch()
	})
}

// completeBatch answers the queries that came before a read of this outcome.
func (rh *requestHandler) completeBatch(batch []*pendingRequest, outcome Outcome) {
	switch {
	case outcome == Gone || outcome == OK && !rh.store.storeAccess.IsSynced():
		// The cache is loaded anew and cannot answer for now.
		rh.readJobsOneByOne(batch)
	case outcome != OK:
		for _, pending := range batch {
			rh.completeRequest(pending.replyID, unavailableResponse(pending.request.ID, storeUnavailableMessage))
		}
	default:
		for _, pending := range batch {
			rh.completeFromCache(pending)
		}
	}
}

// completeFromCache answers a query from the cache, which is as new as the query. A job
// that is not live is over, or was never accepted.
func (rh *requestHandler) completeFromCache(pending *pendingRequest) {
	id := pending.request.ID
	j := rh.cache.jobs[id]
	switch {
	case pending.completed: // by a peer
	case j != nil:
		rh.completeRequest(pending.replyID, rh.liveJobResponse(id, &j.rec))
	case rh.cache.keyRevisions[jobKey(id)] != 0: // its record is unreadable
		rh.readJobsOneByOne([]*pendingRequest{pending})
	default:
		rh.readTerminalState(id, UrgencyRead, func(response UserResponse) {
			rh.completeRequest(pending.replyID, response)
		})
	}
}

// readJobsOneByOne reads the job of each query from the state service.
func (rh *requestHandler) readJobsOneByOne(batch []*pendingRequest) {
	for _, pending := range batch {
		if pending.completed {
			continue
		}
		rh.readJob(pending.request.ID, UrgencyRead, func(response UserResponse, _ *KeyValue) {
			rh.completeRequest(pending.replyID, response)
		})
	}
}
