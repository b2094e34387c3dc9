package scheduler

import "github.com/grebedock/grebedock/access"

// The member answers user queries about jobs in batches. It may answer a query from the
// state cache once the cache contains every write that precedes the query. A single watch
// with zero wait, sent after the queries, establishes this for all queued queries. The
// number of requests to the state service is therefore bounded at any query rate, and no
// response is older than an earlier response of another member.

const (
	// batchIntervalDivisor is the divisor of the request timeout that gives the interval
	// between batch reads. Queries that arrive during the interval share the next read.
	batchIntervalDivisor = 20
	// minBatchSize is the smallest number of queries for which a batch is cheaper than one read per query.
	minBatchSize = 3
)

// queryBatches owns the queries that wait for the next batch read.
type queryBatches struct {
	queued        []*pendingRequest
	batchInFlight bool
	nextBatchAtMS int64 // earliest monotonic time of the next batch
}

// enqueueQuery queues a query, and sends a batch immediately if one is allowed.
func (rh *requestHandler) enqueueQuery(pending *pendingRequest) {
	rh.queryBatcher.queued = append(rh.queryBatcher.queued, pending)
	rh.sendQueryBatch()
}

// sendQueryBatch sends the queued queries as a batch, unless a batch is in flight or the
// batch interval has not elapsed.
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
	rh.cache.syncNow(func(result StoreResult) {
		rh.completeBatch(batch, result) // queries that must be read again share the next batch
		batches.batchInFlight = false
		rh.sendQueryBatch()
	})
}

// completeBatch answers the queries of a batch whose read had this result.
func (rh *requestHandler) completeBatch(batch []*pendingRequest, result StoreResult) {
	outcome := result.Outcome
	switch {
	case outcome == Gone || outcome == OK && !rh.store.storeAccess.IsSynced():
		// The cache cannot answer queries until it is reloaded.
		rh.readJobsOneByOne(batch)
	case outcome != OK:
		for _, pending := range batch {
			rh.completeRequest(pending.replyID, unavailableResponse(pending.request.ID, storeUnavailableMessage))
		}
	default:
		for _, pending := range batch {
			rh.completeFromCache(pending, observation{notBeforeMS: result.notBeforeMS, revision: result.Rev})
		}
	}
}

// completeFromCache answers a query from the cache, which is at least as recent as the
// observation of the batch. A job that is not live has ended or was never accepted.
func (rh *requestHandler) completeFromCache(pending *pendingRequest, observed observation) {
	id := pending.request.ID
	j := rh.cache.jobs[id]
	switch {
	case pending.completed: // a peer answered it
	case j != nil:
		observed.revision = rh.cache.keyRevisions[jobKey(id)]
		rh.completeRequest(pending.replyID, rh.liveJobResponse(id, &j.rec, observed))
	case rh.cache.keyRevisions[jobKey(id)] != 0: // its record cannot be decoded
		rh.readJobsOneByOne([]*pendingRequest{pending})
	default:
		rh.readTerminalState(id, UrgencyRead, observed, func(response UserResponse) {
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
