package scheduler

import "slices"

// pendingRequest is a user request that has no response yet. This member, a peer, or both
// handle it with the state service. The first result is the response. If it may be too old,
// this member handles the request again (confirm).
//
//	event                                pendingLocally  awaitingPeer  response
//	received                             true            false         -
//	relayed to a peer                    unchanged       true          -
//	local result                         false           unchanged     the result
//	local fault, a peer handles it       false           true          none; the fault is stored
//	local fault, no peer can handle it   false           false         the fault
//	result from the peer                 unchanged       false         the result
//	no result from the peer              unchanged       false         the stored fault, if any
type pendingRequest struct {
	replyID        uint64
	request        UserRequest
	receivedAtMS   int64         // monotonic time
	pendingLocally bool          // this member is handling the request
	relayed        bool          // sent to a peer; happens at most once for each handling
	awaitingPeer   bool          // a peer is handling the request
	localFault     *UserResponse // the 503 response with which local handling ended
	writeSent      bool          // the write of the submission was sent
	readingRecord  bool          // the job's record is in the cache and is being read from the state service
	completed      bool
	confirmations  int           // reads that confirm a response
	unconfirmed    *UserResponse // the first response that had to be confirmed
}

// Limits of hedged requests: requests that are relayed to a peer while this member is still
// handling them. They double the load on the state service. If the state service is slow
// for all members, hedged requests make it slower. They are therefore limited by a token
// bucket: hedgeBurst is its size, and each user request adds hedgeRatio tokens.
// Queries leave hedgeReserve tokens to submissions and cancellations, because many
// queries that waited for this member's rate limit used up the whole burst.
const (
	hedgeRatio   = 0.1
	hedgeBurst   = 10
	hedgeReserve = hedgeBurst / 2
)

// canServeUsers reports whether this member can serve user requests from the state service.
func (rh *requestHandler) canServeUsers() bool {
	storeAccess := rh.store.storeAccess
	return storeAccess.IsSynced() && len(rh.cache.machineTypes) > 0 && storeAccess.IsResponsive(rh.now.MonotonicMS)
}

// Error texts of 503 responses.
const (
	storeUnreachableMessage = "state service does not answer"
	storeUnavailableMessage = "state service unavailable"
)

// cancelRetries limits the retries of a cancellation.
const cancelRetries = 3

// HandleUserRequest processes a user request. The response appears in Outputs.UserResponses
// under replyID, which must be unique. A malformed submission has its ID if that is known.
func (c *Controller) HandleUserRequest(now Now, replyID uint64, request UserRequest) {
	c.now = now
	pending := &pendingRequest{replyID: replyID, request: request, receivedAtMS: now.MonotonicMS, pendingLocally: true}
	c.requests.pendingRequests[replyID] = pending
	if final, ok := c.requests.terminalStates[request.ID]; ok {
		c.requests.completeRequest(replyID, final.response(request.ID))
		return
	}
	c.requests.requestsByArrival = append(c.requests.requestsByArrival, pending)
	c.requests.hedgeBudget = min(hedgeBurst, c.requests.hedgeBudget+hedgeRatio)
	needsStore := request.Kind != SubmitJob || request.ID != ""
	if c.store.isStoreUnreachable() && needsStore { // order matters: the call may also schedule a lease request
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

// completeRequest ends this member's handling of a request. If the response is a 503 that
// a peer may avoid, a peer answers instead: completeRequest relays the request or waits
// for a relay in flight. Otherwise it sends the response.
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
	rh.respond(pending, response)
}

// sendUserResponse adds a response to the outputs and completes the request. Only respond calls it.
func (rh *requestHandler) sendUserResponse(pending *pendingRequest, response UserResponse) {
	if response.claim() == claimsEnded && pending.request.ID != "" {
		rh.cacheTerminalState(pending.request.ID, response.terminalRecord())
	}
	if pending.request.Relayed {
		response.ObservedAfterMS = max(0, response.observed.notBeforeMS-pending.receivedAtMS)
		response.ObservedRevision = response.observed.revision
	}
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

// relayToPeer relays a request to a peer that reports that it serves users, chosen
// round-robin. It returns false if there is no such peer or the request must not be
// relayed.
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
	rh.pendingRelays[rh.lastRequestID] = pendingRelay{request: pending, peer: peer, sentAtMS: rh.now.MonotonicMS}
	request := pending.request
	request.Relayed = true
	rh.outputs.Relays = append(rh.outputs.Relays, RelayRequest{rh.lastRequestID, peer, request})
	rh.Counters.Relayed++
	return true
}

// pendingRelay is a relayed request that the peer has not answered yet.
type pendingRelay struct {
	request  *pendingRequest
	peer     string
	sentAtMS int64 // monotonic time
}

// HandleRelayResult processes a peer's response to the RelayRequest with this ID. ok is false
// if the peer returned no response.
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
		// ServesUsers in the peer's last message is out of date; the next message updates it.
		if peer := c.peers.peers[relay.peer]; peer != nil {
			peer.message.ServesUsers = false
		}
	}
	switch {
	case pending.completed:
	case ok && response.Status != 503:
		response.observed = observation{
			notBeforeMS: relay.sentAtMS + response.ObservedAfterMS,
			revision:    response.ObservedRevision,
		}
		c.requests.respond(pending, response)
	case !pending.pendingLocally && pending.localFault != nil:
		c.requests.respond(pending, *pending.localFault)
	}
}

// hedgeSlowRequests hedges requests that take longer than responses of the state service
// usually take, by relaying them to a peer as well. The state service may have stopped
// answering this member, which is certain only after a request's full timeout. Both
// members may carry out the request safely, because each submission and cancellation is
// one conditional write.
func (rh *requestHandler) hedgeSlowRequests() {
	isCompleted := func(pending *pendingRequest) bool { return pending.completed }
	rh.requestsByArrival = slices.DeleteFunc(rh.requestsByArrival, isCompleted)
	for _, pending := range rh.requestsByArrival {
		if rh.now.MonotonicMS-pending.receivedAtMS <= rh.store.storeAccess.OverdueAfterMS() || rh.hedgeBudget < 1 {
			break
		}
		if pending.request.Kind == QueryJob && rh.hedgeBudget < 1+hedgeReserve {
			continue
		}
		if pending.pendingLocally && rh.relayToPeer(pending) {
			rh.hedgeBudget--
		}
	}
}
