package scheduler

// Once any member has told a user that a job is accepted, done or cancelled, no member may
// respond with anything older. All responses to users pass through respond, which decides
// this for each of them:
//
//	response                            sent if
//	done, cancelled                     always: a final state never changes
//	any other, and this member knows    never: the final state is sent instead
//	  the final state
//	accepted (200 or 201)               the state cache does not show that the job has ended
//	not known (400, 404, 422)           the state cache does not show that the job was accepted
//	  both: and the observation of the state service is not late
//	no claim about the job (429, 503)   always
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

// jobClaim is what a response says about a job. Higher claims are newer.
type jobClaim int

const (
	claimsNothing jobClaim = iota
	claimsUnknown
	claimsAccepted
	claimsEnded
)

// claim returns what a response says about the job.
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
// that may be older than what a user was told is confirmed first.
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
	if rh.cache.contradicts(pending.request.ID, claim, response.observed.revision) {
		return true
	}
	ageMS := rh.now.MonotonicMS - response.observed.notBeforeMS
	if ageMS <= newResponseAgeLimits(0).confirmMS {
		return false // the usual case: nothing is late
	}
	limits := newResponseAgeLimits(rh.peers.fastestWriteOfMembersMS())
	canConfirm := pending.confirmations < maxConfirmations && !rh.store.isStoreUnreachable()
	return ageMS > limits.maxMS || ageMS > limits.confirmMS && canConfirm
}

// contradicts reports whether the cache shows a newer state of a job than a claim at a revision.
func (cache *stateCache) contradicts(id string, claim jobClaim, revision uint64) bool {
	key := jobKey(id)
	cachedRevision, cached := cache.keyRevisions[key]
	if claim == claimsUnknown {
		return cached && cachedRevision > revision
	}
	if cached || revision == 0 {
		return false
	}
	// The cache contains all changes up to appliedRevision, so the record was removed since.
	wasRemoved := cache.store.storeAccess.IsSynced() && revision <= cache.appliedRevision
	return wasRemoved || revision <= cache.tombstones[key]
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
