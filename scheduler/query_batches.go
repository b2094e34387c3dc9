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
func (c *Controller) enqueueQuery(pending *pendingRequest) {
	c.queryBatcher.queued = append(c.queryBatcher.queued, pending)
	c.sendQueryBatch()
}

// sendQueryBatch asks what waits, unless the last read was a moment ago.
func (c *Controller) sendQueryBatch() {
	batches := &c.queryBatcher
	if len(batches.queued) == 0 || batches.batchInFlight || c.now.MonotonicMS < batches.nextBatchAtMS {
		return
	}
	batch := batches.queued
	batches.queued = nil
	batches.nextBatchAtMS = c.now.MonotonicMS + access.RequestTimeout.Milliseconds()/batchIntervalDivisor
	if len(batch) < minBatchSize || !c.storeAccess.IsSynced() {
		c.readJobsOneByOne(batch)
		return
	}
	batches.batchInFlight = true
	c.Counters.QueryBatches++
	c.syncMirror(func(outcome Outcome) {
		batches.batchInFlight = false
		c.completeBatch(batch, outcome)
		c.sendQueryBatch()
	})
}

// syncMirror brings the mirror up to everything that was written before now.
func (c *Controller) syncMirror(onResult func(Outcome)) {
	c.sendStore(
		StoreOp{Kind: StoreWatch, Urgency: UrgencyRead, Key: livePrefix, Rev: c.mirrorRevision},
		func(result StoreResult) {
			if result.Outcome == OK && c.storeAccess.IsSynced() {
				c.applyWatchResult(result)
			}
			onResult(result.Outcome)
		},
	)
}

// completeBatch answers questions that came before a read that ended so.
func (c *Controller) completeBatch(batch []*pendingRequest, outcome Outcome) {
	switch {
	case outcome == Gone || outcome == OK && !c.storeAccess.IsSynced():
		// The mirror is read anew: it says nothing for now.
		c.readJobsOneByOne(batch)
	case outcome != OK:
		for _, pending := range batch {
			c.completeRequest(pending.replyID, unavailableResponse(pending.request.ID, "state service unavailable"))
		}
	default:
		for _, pending := range batch {
			c.completeFromMirror(pending)
		}
	}
}

// completeFromMirror answers a question by the mirror, which is as new as the question. A
// job that is not live is over, or was never accepted.
func (c *Controller) completeFromMirror(pending *pendingRequest) {
	id := pending.request.ID
	j := c.jobs[id]
	switch {
	case pending.completed: // by a peer
	case j != nil:
		c.completeRequest(pending.replyID, c.liveJobResponse(id, &j.rec))
	case c.keyRevisions[jobKey(id)] != 0: // its record is unreadable
		c.readJobsOneByOne([]*pendingRequest{pending})
	default:
		c.readTerminalState(id, UrgencyRead, func(response UserResponse) { c.completeRequest(pending.replyID, response) })
	}
}

// readJobsOneByOne asks the state service about each question's job.
func (c *Controller) readJobsOneByOne(batch []*pendingRequest) {
	for _, pending := range batch {
		if !pending.completed {
			c.readJob(
				pending.request.ID,
				UrgencyRead,
				func(response UserResponse, _ *KeyValue) { c.completeRequest(pending.replyID, response) },
			)
		}
	}
}
