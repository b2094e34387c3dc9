package scheduler

import (
	"slices"
)

// pendingRequest is a user's request that has no answer yet. It is asked of the state
// service here, or of a peer, or of both; the first that can tell answers it.
type pendingRequest struct {
	replyID        uint64
	request        UserRequest
	receivedAtMS   int64
	pendingLocally bool          // asked here, and not ended
	relayed        bool          // a peer was asked, once at most
	awaitingPeer   bool          // for the peer
	localFault     *UserResponse // what was learned here: come back later
	writeSent      bool          // a submission whose write was sent
	readingRecord  bool          // its record was seen in the mirror, and is read
	completed      bool
}

// Relays that only hurry an answer along double what the state service is
// asked. When it is slow for everybody that makes it worse, so they are a share
// of all requests, and some more at first. Polls leave a part to submissions and
// cancellations: many polls that wait for their turn in this member's rate took all.
const (
	expediteShare   = 0.1
	expediteBurst   = 10
	expediteReserve = expediteBurst / 2
)

// canServeUsers tells whether this member can answer users from the state service.
func (rh *requestHandler) canServeUsers() bool {
	return rh.store.storeAccess.IsSynced() && len(rh.cache.machineTypes) > 0 && rh.store.storeAccess.IsResponsive(rh.now.MonotonicMS)
}

const storeUnreachableMessage = "state service does not answer"

// HandleUserRequest takes a user's request; reply names it in the outputs' answers.
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
	if c.store.isStoreUnreachable() && !(request.Kind == SubmitJob && request.ID == "") {
		c.requests.completeRequest(replyID, unavailableResponse(request.ID, storeUnreachableMessage))
		return
	}
	switch request.Kind {
	case SubmitJob:
		c.requests.handleSubmit(replyID, request)
	case QueryJob:
		c.requests.enqueueQuery(pending)
	case CancelJob:
		c.requests.handleCancel(replyID, request.ID, 3)
	}
}

// completeRequest ends what is asked here. While the state service fails this member
// only, a peer answers in its place.
func (rh *requestHandler) completeRequest(replyID uint64, response UserResponse) {
	pending := rh.pendingRequests[replyID]
	if pending == nil {
		return // a peer was faster
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

// relayToPeer asks the next peer that says that it can answer.
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

type pendingRelay struct {
	request *pendingRequest
	peer    string
}

// HandleRelayResult takes a peer's answer, or learns that there is none.
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
		// What it said of itself is out of date; its next message says more.
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

// expediteSlowRequests asks a peer too about what takes longer than answers do: the
// state service may have stopped answering this member, which shows for certain
// only when a request's whole time is up. Both may carry a request out: each
// submission and cancellation is one conditional write, whoever sends it.
func (rh *requestHandler) expediteSlowRequests() {
	rh.requestsByArrival = slices.DeleteFunc(
		rh.requestsByArrival,
		func(pending *pendingRequest) bool { return pending.completed },
	)
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
