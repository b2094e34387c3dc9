package scheduler

import "github.com/grebedock/grebedock/access"

// Users' questions about jobs, asked of the state service in batches. A question may be
// answered from the mirror once the mirror has everything that was written before the
// question came: one watch that does not wait, sent after the question, proves that for
// all that wait. So a flood of questions costs a bounded number of requests, and none is
// answered with anything older than what another member has told.

const (
	// batchIntervalDivisor is how long after a read of the state service the next one goes, as a part
	// of a request's time: what comes meanwhile shares it.
	batchIntervalDivisor = 20
	// minBatchSize is from how many questions on a batch is cheaper than one read for each.
	minBatchSize = 3
)

// queryBatches are questions that wait to be asked.
type queryBatches struct {
	queued        []*pendingRequest
	batchInFlight bool  // a batch is under way
	nextBatchAtMS int64 // when the next may go
}

// enqueueQuery puts a question in line.
func (rh *requestHandler) enqueueQuery(pending *pendingRequest) {
	rh.queryBatcher.queued = append(rh.queryBatcher.queued, pending)
	rh.sendQueryBatch()
}

// sendQueryBatch asks what waits, unless the last read was a moment ago.
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
	rh.cache.syncMirror(func(outcome Outcome) {
		batches.batchInFlight = false
		rh.completeBatch(batch, outcome)
		rh.sendQueryBatch()
	})
}

// completeBatch answers questions that came before a read that ended so.
func (rh *requestHandler) completeBatch(batch []*pendingRequest, outcome Outcome) {
	switch {
	case outcome == Gone || outcome == OK && !rh.store.storeAccess.IsSynced():
		// The mirror is read anew: it says nothing for now.
		rh.readJobsOneByOne(batch)
	case outcome != OK:
		for _, pending := range batch {
			rh.completeRequest(pending.replyID, unavailableResponse(pending.request.ID, "state service unavailable"))
		}
	default:
		for _, pending := range batch {
			rh.completeFromMirror(pending)
		}
	}
}

// completeFromMirror answers a question by the mirror, which is as new as the question. A
// job that is not live is over, or was never accepted.
func (rh *requestHandler) completeFromMirror(pending *pendingRequest) {
	id := pending.request.ID
	j := rh.cache.jobs[id]
	switch {
	case pending.completed: // by a peer
	case j != nil:
		rh.completeRequest(pending.replyID, rh.liveJobResponse(id, &j.rec))
	case rh.cache.keyRevisions[jobKey(id)] != 0: // its record is unreadable
		rh.readJobsOneByOne([]*pendingRequest{pending})
	default:
		rh.readTerminalState(id, UrgencyRead, func(response UserResponse) { rh.completeRequest(pending.replyID, response) })
	}
}

// readJobsOneByOne asks the state service about each question's job.
func (rh *requestHandler) readJobsOneByOne(batch []*pendingRequest) {
	for _, pending := range batch {
		if !pending.completed {
			rh.readJob(
				pending.request.ID,
				UrgencyRead,
				func(response UserResponse, _ *KeyValue) { rh.completeRequest(pending.replyID, response) },
			)
		}
	}
}
