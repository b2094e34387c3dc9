package scheduler

import (
	"slices"

	"github.com/grebedock/grebedock/access"
	"github.com/grebedock/grebedock/admission"
)

// pendingSubmission is a valid submission that has not been stored yet.
type pendingSubmission struct {
	replyID uint64
	request UserRequest
}

const (
	// queueWaitDivisor is the divisor of the request timeout that gives the longest time
	// for which a submission waits for its write. Users perceive a response within one
	// second as immediate, and abandon a request after five seconds.
	queueWaitDivisor = 2
	// maxSubmissionRetryAfterS is the longest retry delay that is returned to users. Few
	// users comply with a longer one.
	maxSubmissionRetryAfterS  = 30
	maxSubmissionTxnsInFlight = 4
)

func newSubmissionQueue(params *Params) *admission.Queue[pendingSubmission] {
	return admission.NewQueue[pendingSubmission](admission.Limits{
		ChangesPerSecond: params.StoreChangeRate,
		MaxChanges:       params.MaxTxnOps,
		MaxPreconditions: 4 * params.MaxTxnOps,
		MaxBytes:         maxTxnBytes,
		MaxInFlight:      maxSubmissionTxnsInFlight,
		MaxWaitMS:        access.RequestTimeout.Milliseconds() / queueWaitDivisor,
		MaxRetryAfterS:   maxSubmissionRetryAfterS,
		Priorities:       int(Production) + 1,
	})
}

// maxTxnBytes limits the estimated size of a transaction. The state service accepts
// 64 KiB; the margin is needed because the estimate of names and punctuation is low.
const maxTxnBytes = 60 << 10

// enqueueSubmission queues a submission for its write. Without a rate limit, the submission
// is written immediately in its own transaction.
func (rh *requestHandler) enqueueSubmission(replyID uint64, request UserRequest) {
	submission := pendingSubmission{replyID, request}
	if rh.params.StoreChangeRate == 0 {
		rh.writeSubmission(submission)
		return
	}
	queued := admission.Request[pendingSubmission]{
		Team:          request.Job.Team,
		Priority:      int(Production - request.Job.Priority),
		Changes:       1,
		Preconditions: 2 + len(request.Preconditions),
		Value:         submission,
		Bytes:         rh.maxSubmissionBytes(request.Job),
	}
	for _, rejected := range rh.submissionQueue.Enqueue(rh.now.MonotonicMS, queued, rh.rng.Float64()) {
		rh.shedSubmission(rejected.Request.Value, rejected.RetryAfterS)
	}
	rh.writeQueuedSubmissions()
}

// shedSubmission rejects a submission that exceeds the rate limit of the state service.
func (rh *requestHandler) shedSubmission(submission pendingSubmission, retryAfterS int) {
	rh.Counters.ShedSubmissions++
	rh.completeRequest(submission.replyID, UserResponse{
		Status:      503,
		ID:          submission.request.ID,
		Error:       "more submissions than the state service takes",
		RetryAfterS: retryAfterS,
	})
}

// maxSubmissionBytes returns an upper bound of a submission's size in a transaction. The
// ranges of the job are not known yet. The bound assumes one range per shard, one more,
// and one for each full range.
func (rh *requestHandler) maxSubmissionBytes(j *Job) int {
	ranges := len(rh.memberIDs()) + 1 + j.Tasks/rh.maxRangeTasks()
	return len(mustEncode(j)) + 128*(ranges+4)
}

// writeQueuedSubmissions writes as many queued submissions as the limits of the queue allow.
func (rh *requestHandler) writeQueuedSubmissions() {
	if rh.params.StoreChangeRate == 0 {
		return
	}
	if rh.store.isStoreUnreachable() {
		for _, queued := range rh.submissionQueue.Drain() {
			submission := queued.Value
			response := unavailableResponse(submission.request.ID, storeUnreachableMessage)
			rh.completeRequest(submission.replyID, response)
		}
		return
	}
	for {
		batch := rh.submissionQueue.NextBatch()
		if len(batch) == 0 {
			return
		}
		rh.writeSubmissions(batch)
	}
}

// buildSubmissionWrite assigns the task ranges of a new job to shards and returns the write of its
// record.
func (rh *requestHandler) buildSubmissionWrite(submission pendingSubmission) (Change, []Precondition) {
	j := submission.request.Job
	if pending := rh.pendingRequests[submission.replyID]; pending != nil {
		pending.writeSent = true
	}
	rec := jobRecord{
		Job:          *j,
		AcceptedAtMS: rh.now.WallMS,
		Ranges:       rh.peers.assignRanges(j),
	}
	value := mustEncode(rec)
	if len(value) > rh.params.MaxValueBytes {
		// The record exceeds the value size limit because many peers have capacity for a
		// few tasks each. A single range at the home shard makes it fit.
		rec.Ranges = []Range{{0, j.Tasks, rh.quotas.homeShard(j), false}}
		value = mustEncode(rec)
	}
	preconditions := []Precondition{{jobKey(j.ID), 0}, {terminalKey(j.ID), 0}}
	preconditions = append(preconditions, submission.request.Preconditions...)
	return Change{Key: jobKey(j.ID), Value: value}, preconditions
}

// writeSubmissions writes several submissions in one transaction. If the batch contains
// several submissions of one job, it writes only the first: without this rule, all of them
// were answered with 201.
func (rh *requestHandler) writeSubmissions(batch []admission.Request[pendingSubmission]) {
	var changes []Change
	var preconditions []Precondition
	writtenRequests := map[string]uint64{} // reply ID of the submission that is written, by job ID
	for _, queued := range batch {
		id := queued.Value.request.Job.ID
		if _, repeated := writtenRequests[id]; repeated {
			continue
		}
		writtenRequests[id] = queued.Value.replyID
		change, conditions := rh.buildSubmissionWrite(queued.Value)
		changes = append(changes, change)
		for _, condition := range conditions {
			if !slices.Contains(preconditions, condition) {
				preconditions = append(preconditions, condition)
			}
		}
	}
	sentAtMS := rh.now.MonotonicMS
	rh.store.sendTxn(UrgencyUser, preconditions, changes, func(result StoreResult) {
		rh.submissionQueue.Complete(batch, rh.now.MonotonicMS-sentAtMS, result.Outcome.ProcessedByService())
		if result.Outcome == Conflict && len(batch) > 1 {
			rh.separateConflicts(batch, result)
		} else {
			for _, queued := range batch {
				rh.completeBatchedSubmission(queued.Value, result, writtenRequests)
			}
		}
		rh.writeQueuedSubmissions()
	})
}

// separateConflicts completes those submissions of a batch whose own preconditions failed,
// and requeues the others. If no submission's own preconditions failed, it writes each
// submission in its own transaction.
func (rh *requestHandler) separateConflicts(batch []admission.Request[pendingSubmission], result StoreResult) {
	var requeued []admission.Request[pendingSubmission]
	for _, queued := range batch {
		if rh.hasFailedPrecondition(queued.Value, result.FailedKeys) {
			rh.completeSubmission(queued.Value, result)
		} else {
			requeued = append(requeued, queued)
		}
	}
	if len(requeued) == len(batch) {
		for _, queued := range batch {
			rh.writeSubmission(queued.Value)
		}
		requeued = nil
	}
	rh.submissionQueue.Requeue(requeued)
}

// completeBatchedSubmission completes a submission whose batch transaction has ended. A
// repeated submission of a job in the batch counts as a conflict, because the job exists.
func (rh *requestHandler) completeBatchedSubmission(
	submission pendingSubmission,
	result StoreResult,
	writtenRequests map[string]uint64,
) {
	if result.Outcome == OK && writtenRequests[submission.request.Job.ID] != submission.replyID {
		result.Outcome = Conflict
	}
	rh.completeSubmission(submission, result)
}

// hasFailedPrecondition reports whether any of the submission's own preconditions failed.
func (rh *requestHandler) hasFailedPrecondition(submission pendingSubmission, failedKeys []string) bool {
	id := submission.request.Job.ID
	if slices.Contains(failedKeys, jobKey(id)) || slices.Contains(failedKeys, terminalKey(id)) {
		return true
	}
	failed := func(condition Precondition) bool { return slices.Contains(failedKeys, condition.Key) }
	return slices.ContainsFunc(submission.request.Preconditions, failed)
}

// writeSubmission writes a submission in its own transaction.
func (rh *requestHandler) writeSubmission(submission pendingSubmission) {
	change, preconditions := rh.buildSubmissionWrite(submission)
	rh.store.sendTxn(UrgencyUser, preconditions, []Change{change}, func(result StoreResult) {
		rh.completeSubmission(submission, result)
	})
}

// completeSubmission answers a submission whose write has ended. After a conflict or an
// unknown outcome, it reads the job to determine the response.
func (rh *requestHandler) completeSubmission(submission pendingSubmission, result StoreResult) {
	id := submission.request.Job.ID
	switch result.Outcome {
	case OK:
		rh.Counters.Accepted++
		written := observation{notBeforeMS: result.notBeforeMS, revision: result.Rev}
		rh.completeRequest(submission.replyID, UserResponse{Status: 201, ID: id, State: Pending, observed: written})
	case Conflict, Unknown:
		if rh.pendingRequests[submission.replyID] == nil {
			return // already answered from its record or by a peer
		}
		rh.readJob(id, UrgencyUser, func(response UserResponse, _ *KeyValue) {
			notStored := response.Status == 404
			switch {
			case notStored && result.Outcome == Conflict && len(submission.request.Preconditions) > 0:
				response = UserResponse{Status: 409, ID: id, Error: "a condition of the submission does not hold"}
			case notStored:
				response = unavailableResponse(id, "not stored yet")
			}
			rh.completeRequest(submission.replyID, response)
		})
	case Throttled:
		rh.shedSubmission(submission, max(rh.submissionQueue.RetryAfterS(), int((result.RetryAfterMS+999)/1000)))
	default:
		rh.completeRequest(submission.replyID, unavailableResponse(id, storeUnavailableMessage))
	}
}

// confirmCachedSubmissions answers submissions whose record is in the state cache although
// their write takes longer than the typical latency: the result of the write may be lost.
// It reads the record from the state service, because the record may have changed. A
// record that is missing from the cache proves nothing, so the other submissions wait for
// the end of their write. Each submission costs one read, which replaces the read after a
// write without a result.
func (rh *requestHandler) confirmCachedSubmissions() {
	for _, pending := range rh.requestsByArrival {
		if rh.now.MonotonicMS-pending.receivedAtMS <= rh.store.storeAccess.TypicalLatencyMS() {
			break
		}
		confirmable := pending.writeSent && !pending.completed && !pending.readingRecord
		if !confirmable || rh.cache.jobs[pending.request.ID] == nil {
			continue
		}
		pending.readingRecord = true
		rh.readJob(pending.request.ID, UrgencyUser, func(response UserResponse, _ *KeyValue) {
			if response.Status == 200 && rh.pendingRequests[pending.replyID] != nil {
				rh.Counters.ConfirmedSubmissions++
				rh.completeRequest(pending.replyID, response)
			}
		})
	}
}
