package scheduler

import (
	"slices"

	"github.com/grebedock/grebedock/access"
	"github.com/grebedock/grebedock/admission"
)

// pendingSubmission is a submission that is in order and not stored yet.
type pendingSubmission struct {
	replyID uint64
	request UserRequest
}

// queueWaitDivisor is the longest that a submission waits in line for its write, as a
// part of a request's time: users count a second as at once, and give up after
// five. Advice reaches as far as users follow it.
const (
	queueWaitDivisor          = 2
	maxSubmissionRetryAfterS  = 30
	maxSubmissionTxnsInFlight = 4
)

func newSubmissionQueue(params *Params) *admission.Queue[pendingSubmission] {
	return admission.NewQueue[pendingSubmission](
		admission.Limits{
			ChangesPerSecond: params.StoreChangeRate,
			MaxChanges:       params.MaxTxnOps,
			MaxPreconditions: 4 * params.MaxTxnOps,
			MaxBytes:         maxTxnBytes,
			MaxInFlight:      maxSubmissionTxnsInFlight,
			MaxWaitMS:        access.RequestTimeout.Milliseconds() / queueWaitDivisor,
			MaxRetryAfterS:   maxSubmissionRetryAfterS,
			Priorities:       int(Production) + 1,
		},
	)
}

// maxTxnBytes bounds a transaction: the state service takes 64 KiB, and names and
// punctuation are counted short here.
const maxTxnBytes = 60 << 10

// enqueueSubmission puts a submission in line for its write. Without a rate each is written
// at once by itself.
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

func (rh *requestHandler) shedSubmission(submission pendingSubmission, retryAfterS int) {
	rh.Counters.ShedSubmissions++
	rh.completeRequest(
		submission.replyID,
		UserResponse{
			Status:      503,
			ID:          submission.request.ID,
			Error:       "more submissions than the state service takes",
			RetryAfterS: retryAfterS,
		},
	)
}

// maxSubmissionBytes is how many bytes a submission takes in a transaction at most:
// its ranges are not known yet, one a shard and one more for each full one.
func (rh *requestHandler) maxSubmissionBytes(j *Job) int {
	ranges := len(rh.memberIDs()) + 1 + j.Tasks/rh.maxRangeTasks()
	return len(mustEncode(j)) + 128*(ranges+4)
}

// writeQueuedSubmissions writes what is next in line.
func (rh *requestHandler) writeQueuedSubmissions() {
	if rh.params.StoreChangeRate == 0 {
		return
	}
	if rh.store.isStoreUnreachable() {
		for _, queued := range rh.submissionQueue.Drain() {
			rh.completeRequest(queued.Value.replyID, unavailableResponse(queued.Value.request.ID, storeUnreachableMessage))
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

func (rh *requestHandler) buildSubmissionWrite(submission pendingSubmission) (Change, []Precondition) {
	id := submission.request.Job.ID
	if pending := rh.pendingRequests[submission.replyID]; pending != nil {
		pending.writeSent = true
	}
	rec := jobRecord{
		Job:          *submission.request.Job,
		AcceptedAtMS: rh.now.WallMS,
		Ranges:       rh.peers.assignRanges(submission.request.Job),
	}
	value := mustEncode(rec)
	if len(value) > rh.params.MaxValueBytes {
		// Too many peers have a little room.
		rec.Ranges = []Range{{0, submission.request.Job.Tasks, rh.quotas.homeShard(submission.request.Job), false}}
		value = mustEncode(rec)
	}
	return Change{
			Key:   jobKey(id),
			Value: value,
		}, append(
			[]Precondition{{jobKey(id), 0}, {terminalKey(id), 0}},
			submission.request.Preconditions...)
}

// writeSubmissions writes several submissions in one transaction. Of those of the same job only
// the first is written: both were answered 201 once.
func (rh *requestHandler) writeSubmissions(batch []admission.Request[pendingSubmission]) {
	var changes []Change
	var preconditions []Precondition
	writtenRequests := map[string]uint64{} // job: the submission that is written
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
			// Only those whose own conditions fail are held up by them.
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
		} else {
			for _, queued := range batch {
				rh.completeBatchedSubmission(queued.Value, result, writtenRequests)
			}
		}
		rh.writeQueuedSubmissions()
	})
}

// completeBatchedSubmission answers a submission whose transaction has ended: of a job's second one it
// only tells that the job is known.
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

func (rh *requestHandler) hasFailedPrecondition(submission pendingSubmission, failedKeys []string) bool {
	id := submission.request.Job.ID
	return slices.Contains(failedKeys, jobKey(id)) || slices.Contains(failedKeys, terminalKey(id)) ||
		slices.ContainsFunc(
			submission.request.Preconditions,
			func(condition Precondition) bool { return slices.Contains(failedKeys, condition.Key) },
		)
}

// writeSubmission writes a submission by itself.
func (rh *requestHandler) writeSubmission(submission pendingSubmission) {
	change, preconditions := rh.buildSubmissionWrite(submission)
	rh.store.sendTxn(
		UrgencyUser,
		preconditions,
		[]Change{change},
		func(result StoreResult) { rh.completeSubmission(submission, result) },
	)
}

// completeSubmission answers a submission whose write has ended.
func (rh *requestHandler) completeSubmission(submission pendingSubmission, result StoreResult) {
	id := submission.request.Job.ID
	switch result.Outcome {
	case OK:
		rh.Counters.Accepted++
		rh.completeRequest(submission.replyID, UserResponse{Status: 201, ID: id, State: Pending})
	case Conflict, Unknown:
		if rh.pendingRequests[submission.replyID] == nil {
			return // its record was read meanwhile, or a peer answered
		}
		rh.readJob(id, UrgencyUser, func(response UserResponse, _ *KeyValue) {
			switch {
			case response.Status == 404 && result.Outcome == Conflict && len(submission.request.Preconditions) > 0:
				response = UserResponse{Status: 409, ID: id, Error: "a condition of the submission does not hold"}
			case response.Status == 404:
				response = unavailableResponse(id, "not stored yet")
			}
			rh.completeRequest(submission.replyID, response)
		})
	case Throttled:
		rh.shedSubmission(submission, max(rh.submissionQueue.RetryAfterS(), int((result.RetryAfterMS+999)/1000)))
	default:
		rh.completeRequest(submission.replyID, unavailableResponse(id, "state service unavailable"))
	}
}

// confirmMirroredSubmissions answers submissions whose write has no answer though answers take less:
// the answer may be lost, and the mirror shows their record. It is read, since it may
// have moved on; that it is not in the mirror tells nothing, so a write that may yet be
// carried out is asked for by nothing but its own end. Each costs one read, in place of
// the one that follows a write without an answer.
func (rh *requestHandler) confirmMirroredSubmissions() {
	for _, pending := range rh.requestsByArrival {
		if rh.now.MonotonicMS-pending.receivedAtMS <= rh.store.storeAccess.TypicalLatencyMS() {
			break
		}
		if pending.completed || pending.readingRecord || !pending.writeSent || rh.cache.jobs[pending.request.ID] == nil {
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
