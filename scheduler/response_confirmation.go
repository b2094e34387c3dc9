package scheduler

// After a response of any member that a job is accepted, done or cancelled, no member may
// send an older one. All responses to users pass through respond:
//   - A response with a final state is sent. A final state never changes.
//   - If this member knows the final state, it is sent in place of any other response.
//   - A response that the job is accepted is sent unless the state cache shows that the job
//     has ended, or the observation of the state service is late.
//   - A response that the job is not known (400, 404, 422) is sent unless the state cache
//     shows that the job was accepted, or the observation is late.
//   - A response that reports no state (429, 503) is sent.
//
// A response that is not sent is confirmed by a new read, which usually returns in time.
// After maxConfirmations the request fails with status 503, which a peer may avoid.

// maxConfirmations limits the reads that confirm a response, so that a slow state service
// is not slowed down further.
const maxConfirmations = 3

// lateResponseMessage is the error text of a 503 response for want of a recent observation.
const lateResponseMessage = "state service answers late"

// observation is what a response about a job rests on: a state of the state service.
type observation struct {
	notBeforeMS int64  // monotonic time; the service was in this state at this time or later
	revision    uint64 // revision of the job's record, or of the service if it has none; 0: not known
}

// jobClaim is the state of a job that a response reports. Higher claims are newer.
type jobClaim int

const (
	claimsNothing jobClaim = iota
	claimsUnknown
	claimsAccepted
	claimsEnded
)

// claim returns the state of the job that a response reports.
func (r *UserResponse) claim() jobClaim {
	switch r.Status {
	case 200, 201:
		if r.State.IsTerminal() {
			return claimsEnded
		}
		return claimsAccepted
	case 400, 404, 422:
		return claimsUnknown
	}
	return claimsNothing
}

// respond sends a response to a user, or the final state if this member knows it. A response
// that may be older than an earlier one is confirmed first.
func (rh *requestHandler) respond(pending *pendingRequest, response UserResponse) {
	id := pending.request.ID
	if final, ended := rh.terminalStates[id]; ended && response.claim() != claimsEnded {
		response = final.response(id)
	}
	if pending.unconfirmed != nil {
		response.keepDetails(pending.unconfirmed)
	}
	if id != "" && rh.mustConfirm(pending, &response) {
		rh.confirm(pending, response)
		return
	}
	rh.sendUserResponse(pending, response)
}

// keepDetails copies what a repeated read does not know from an earlier response with the same claim: the reason
// of a rejection, and that this submission created the job.
func (r *UserResponse) keepDetails(unconfirmed *UserResponse) {
	if r.claim() == unconfirmed.claim() && r.claim() != claimsEnded {
		r.Status, r.Error = unconfirmed.Status, unconfirmed.Error
	}
}

// mustConfirm reports whether a response must not be sent before it is confirmed.
func (rh *requestHandler) mustConfirm(pending *pendingRequest, response *UserResponse) bool {
	claim := response.claim()
	if claim != claimsAccepted && claim != claimsUnknown {
		return false
	}
	if rh.cacheContradicts(pending.request.ID, claim, response.observed.revision) {
		return true
	}
	ageMS := rh.now.MonotonicMS - response.observed.notBeforeMS
	if ageMS <= newResponseAgeLimits(0).confirmMS {
		return false // the usual case
	}
	limits := newResponseAgeLimits(rh.peers.fastestWriteOfMembersMS())
	canConfirm := pending.confirmations < maxConfirmations && !rh.store.isStoreUnreachable()
	return ageMS > limits.maxMS || ageMS > limits.confirmMS && canConfirm
}

// cacheContradicts reports whether the state cache shows a newer state of a job than a claim
// at a revision, which is 0 if it is not known.
func (rh *requestHandler) cacheContradicts(id string, claim jobClaim, revision uint64) bool {
	if claim == claimsUnknown {
		return rh.cache.keyRevisions[jobKey(id)] > revision
	}
	return revision != 0 && rh.cache.wasRemovedSince(jobKey(id), revision)
}

// confirm repeats the reads of a request whose response may be too old, or lets a peer repeat
// them if this member cannot. If this member is still handling the request, its own result
// is the response.
func (rh *requestHandler) confirm(pending *pendingRequest, response UserResponse) {
	if pending.pendingLocally {
		return
	}
	id := pending.request.ID
	if pending.confirmations < maxConfirmations && !pending.awaitingPeer {
		pending.relayed = false // if this member cannot read, a peer may
	}
	if pending.unconfirmed == nil {
		pending.unconfirmed = &response
	}
	pending.confirmations++
	rh.Counters.LateResponses++
	rh.log(Debug, "response too old", "job", id, "status", response.Status, "state", response.State,
		"revision", response.observed.revision, "ms", rh.now.MonotonicMS-response.observed.notBeforeMS)
	if pending.confirmations > maxConfirmations || rh.store.isStoreUnreachable() {
		rh.completeRequest(pending.replyID, unavailableResponse(id, lateResponseMessage))
		return
	}
	pending.pendingLocally = true
	switch pending.request.Kind {
	case SubmitJob:
		rh.readJob(id, UrgencyUser, func(response UserResponse, _ *KeyValue) {
			rh.completeRequest(pending.replyID, response)
		})
	case QueryJob:
		rh.enqueueQuery(pending)
	case CancelJob:
		rh.handleCancel(pending.replyID, id, cancelRetries)
	}
}
