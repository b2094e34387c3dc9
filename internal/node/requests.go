package node

import (
	"net/http"
	"time"

	"github.com/grebedock/grebedock/scheduler"
)

// pendingRequests are the requests that the core has not responded to. They are
// owned by the loop.
type pendingRequests struct {
	lastID     uint64 // users and workers share the IDs
	users      pendingResponses[scheduler.UserResponse]
	heartbeats pendingResponses[scheduler.HeartbeatResponse]
}

func newPendingRequests() pendingRequests {
	return pendingRequests{
		users:      pendingResponses[scheduler.UserResponse]{},
		heartbeats: pendingResponses[scheduler.HeartbeatResponse]{},
	}
}

func (p *pendingRequests) nextID() uint64 {
	p.lastID++
	return p.lastID
}

// queueFullRetryAfterS is the retry time, in seconds, for a user whose request
// finds the queue full.
const queueFullRetryAfterS = 1

// IsUsable reports whether the load balancer should send users to this
// controller.
func (n *Node) IsUsable() bool { return n.usable.Load() }

// HandleUserRequest passes a user's request to the core and waits for the
// response. It returns false if the core does not respond in time; the request
// may have been executed. It refuses requests at once while memory is short or
// the queue is full.
func (n *Node) HandleUserRequest(r scheduler.UserRequest, timeout time.Duration) (scheduler.UserResponse, bool) {
	if refusal, ok := n.health.rejectIfMemoryShort(r); ok {
		return refusal, true
	}
	e := newExchange(n.pending.users)
	input := func(now scheduler.Now) {
		id := n.pending.nextID()
		e.register(id)
		n.core.HandleUserRequest(now, id, r)
	}
	select {
	case n.queues.userRequests <- input:
		return e.wait(timeout, n.stopped, n.enqueueUserRequest)
	default:
		n.health.shedRequests.Inc()
		return scheduler.UserResponse{
			Status:      http.StatusServiceUnavailable,
			ID:          r.ID,
			Error:       "too many requests wait",
			RetryAfterS: queueFullRetryAfterS,
		}, true
	}
}

// HandleHeartbeat passes a worker's heartbeat to the core and waits for the
// response. It returns false if the core does not respond in time.
func (n *Node) HandleHeartbeat(r scheduler.Heartbeat, timeout time.Duration) (scheduler.HeartbeatResponse, bool) {
	e := newExchange(n.pending.heartbeats)
	enqueue := func(f coreInput) { n.enqueue(n.queues.heartbeats, f) }
	enqueue(func(now scheduler.Now) {
		id := n.pending.nextID()
		e.register(id)
		n.core.HandleHeartbeat(now, id, r)
	})
	return e.wait(timeout, n.stopped, enqueue)
}

// HandlePeerMessage passes a peer's message to the core.
func (n *Node) HandlePeerMessage(msg scheduler.PeerMessage) {
	n.enqueueResponse(func(now scheduler.Now) { n.core.HandlePeerMessage(now, msg) })
}

func (n *Node) enqueueUserRequest(f coreInput) { n.enqueue(n.queues.userRequests, f) }
