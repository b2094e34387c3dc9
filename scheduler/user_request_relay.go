package scheduler

import "slices"

// pendingRequest is a user's request that has no response yet. This member handles it with
// the state service, or a peer does, or both; the first that has a result answers it.
//
//	event                         pendingLocally  awaitingPeer  response
//	received                      true            false         -
//	relayed to a peer             as before       true          -
//	result here                   false           as before     the result
//	fault here, a peer handles it false           true          -; the fault is kept
//	fault here, no peer can       false           false         the fault
//	result from the peer          as before       false         the result
//	no result from the peer       as before       false         the fault, if one is kept
type pendingRequest struct {
	replyID        uint64
	request        UserRequest
	receivedAtMS   int64         // monotonic time
	pendingLocally bool          // handled here, and not ended
	relayed        bool          // sent to a peer; at most once
	awaitingPeer   bool          // sent to a peer, and not ended
	localFault     *UserResponse // the 503 that handling it here ended with
	writeSent      bool          // a submission whose write was sent
	readingRecord  bool          // its record is in the cache, and is read from the store
	completed      bool
}

// Relays that only expedite a response double the load of the state service. When it is
// slow for everybody that makes it worse, so they are limited to a share of all requests
// (expediteShare) after a burst. Queries leave a part of the burst (expediteReserve) to
// submissions and cancellations: many queries that waited for this member's rate limit
// used up all of it.
const (
	expediteShare   = 0.1
	expediteBurst   = 10
	expediteReserve = expediteBurst / 2
)

// canServeUsers reports whether this member can answer users from the state service.
func (rh *requestHandler) canServeUsers() bool {
	storeAccess := rh.store.storeAccess
	return storeAccess.IsSynced() && len(rh.cache.machineTypes) > 0 && storeAccess.IsResponsive(rh.now.MonotonicMS)
}

// Texts of 503 responses.
const (
	storeUnreachableMessage = "state service does not answer"
	storeUnavailableMessage = "state service unavailable"
)

// cancelRetries bounds the retries of a cancellation's write.
const cancelRetries = 3

// HandleUserRequest takes a user's request. Its response appears in Outputs.UserResponses
// under replyID, which must be unique. A malformed submission carries its ID if known.
func (c *Controller) HandleUserRequest(now Now, replyID uint64, request UserRequest) {
	c.now = now
	pending := &pendingRequest{replyID: replyID, request: request, receivedAtMS: now.MonotonicMS, pendingLocally: true}
	c.requests.pendingRequests[replyID] = pending
	if final, ok := c.requests.terminalStates[request.ID]; ok {
		c.requests.completeRequest(replyID, final.response(request.ID))
		return
	}
	c.requests.requestsByArrival = append(c.requests.requestsByArrival, pending)
	c.requests.expediteBudget = min(expediteBurst, c.requests.expediteBudget+expediteShare)
	needsStore := request.Kind != SubmitJob || request.ID != ""
	if c.store.isStoreUnreachable() && needsStore { // in this order: the first also starts probes
		c.requests.completeRequest(replyID, unavailableResponse(request.ID, storeUnreachableMessage))
		return
	}
	switch request.Kind {
	case SubmitJob:
		c.requests.handleSubmit(replyID, request)
	case QueryJob:
		c.requests.enqueueQuery(pending)
	case CancelJob:
		c.requests.handleCancel(replyID, request.ID, cancelRetries)
	}
}

// completeRequest ends the handling of a request here. While the state service fails this
// member only, a peer answers in its place.
func (rh *requestHandler) completeRequest(replyID uint64, response UserResponse) {
	pending := rh.pendingRequests[replyID]
	if pending == nil {
		return // a peer answered first
	}
	pending.pendingLocally = false
	if response.retryableAtPeer {
		pending.localFault = &response
		if pending.awaitingPeer || rh.relayToPeer(pending) {
			return
		}
	}
	rh.sendUserResponse(pending, response)
}

// sendUserResponse passes a response to the outputs. The request is over then.
func (rh *requestHandler) sendUserResponse(pending *pendingRequest, response UserResponse) {
	pending.completed = true
	delete(rh.pendingRequests, pending.replyID)
	if rh.outputs.UserResponses == nil {
		rh.outputs.UserResponses = map[uint64]UserResponse{}
	}
	rh.outputs.UserResponses[pending.replyID] = response
	if response.Status == 503 {
		rh.Counters.UnavailableResponses++
	}
}

// relayToPeer sends a request to the next peer, in turn, that reports that it serves users.
// It reports whether there is one and the request may be relayed.
func (rh *requestHandler) relayToPeer(pending *pendingRequest) bool {
	if pending.relayed || pending.request.Relayed || len(rh.pendingRelays) >= rh.params.MaxPendingRelays {
		return false
	}
	var servingPeers []string
	for name, state := range sortedByKey(rh.peers.peers) {
		if name != rh.params.MemberID && rh.peers.isFresh(state) && state.message.ServesUsers {
			servingPeers = append(servingPeers, name)
		}
	}
	if len(servingPeers) == 0 {
		return false
	}
	peer := servingPeers[rh.relayRoundRobin%uint64(len(servingPeers))]
	rh.relayRoundRobin++
	rh.lastRequestID++
	pending.relayed, pending.awaitingPeer = true, true
	rh.pendingRelays[rh.lastRequestID] = pendingRelay{pending, peer}
	request := pending.request
	request.Relayed = true
	rh.outputs.Relays = append(rh.outputs.Relays, RelayRequest{rh.lastRequestID, peer, request})
	rh.Counters.Relayed++
	return true
}

// pendingRelay is a request that a peer has and did not answer yet.
type pendingRelay struct {
	request *pendingRequest
	peer    string
}

// HandleRelayResult takes a peer's response to the RelayRequest with this ID; !ok means that
// there is none.
func (c *Controller) HandleRelayResult(now Now, id uint64, response UserResponse, ok bool) {
	c.now = now
	relay, known := c.requests.pendingRelays[id]
	if !known {
		return
	}
	delete(c.requests.pendingRelays, id)
	pending := relay.request
	pending.awaitingPeer = false
	if !ok || response.Status == 503 {
		// Its last message is out of date in this; the next one corrects it.
		if peer := c.peers.peers[relay.peer]; peer != nil {
			peer.message.ServesUsers = false
		}
	}
	switch {
	case pending.completed:
	case ok && response.Status != 503:
		c.requests.sendUserResponse(pending, response)
	case !pending.pendingLocally && pending.localFault != nil:
		c.requests.sendUserResponse(pending, *pending.localFault)
	}
}

// expediteSlowRequests relays requests to a peer as well that take longer than responses
// of the state service do: it may have stopped answering this member, which is certain
// only after a request's whole timeout. Both may carry out a request: each submission
// and cancellation is one conditional write, whoever sends it.
func (rh *requestHandler) expediteSlowRequests() {
	isCompleted := func(pending *pendingRequest) bool { return pending.completed }
	rh.requestsByArrival = slices.DeleteFunc(rh.requestsByArrival, isCompleted)
	for _, pending := range rh.requestsByArrival {
		if rh.now.MonotonicMS-pending.receivedAtMS <= rh.store.storeAccess.OverdueAfterMS() || rh.expediteBudget < 1 {
			break
		}
		if pending.request.Kind == QueryJob && rh.expediteBudget < 1+expediteReserve {
			continue
		}
		if pending.pendingLocally && rh.relayToPeer(pending) {
			rh.expediteBudget--
		}
	}
}
