package peer

import (
	"slices"
	"sync"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/grebedock/grebedock/access"
	"github.com/grebedock/grebedock/internal/config"
	"github.com/grebedock/grebedock/internal/httpclient"
	"github.com/grebedock/grebedock/internal/wire"
	"github.com/grebedock/grebedock/scheduler"
)

const (
	messagePath     = "/peer"
	relayPath       = "/relay"
	msgpackType     = "application/msgpack"
	connsPerPeer    = 2
	minRelays       = 4
	socketsPerRelay = 32
)

// messageTimeout bounds the sending of a message. The next message replaces one
// that timed out.
const messageTimeout = 2 * time.Second

// relayTimeout bounds a relayed request. It is half the timeout of a request to
// the state service, since the user has already waited.
const relayTimeout = access.RequestTimeout / 2

// MaxRelays returns how many requests a controller with maxSockets sockets may
// relay to its peers at the same time. Each peer gets an equal share of them.
func MaxRelays(maxSockets int) int { return max(minRelays, maxSockets/socketsPerRelay) }

// Clients sends messages and relayed requests to the other controllers. It is
// safe for concurrent use.
type Clients struct {
	clients map[string]*client // clients by member; immutable

	mu sync.Mutex // guards the clients' queues
}

// client sends messages to one peer, one at a time.
type client struct {
	messages *httpclient.Client
	relays   *httpclient.Client

	sending          bool
	nextBody         []byte // nil if no message is queued
	nextHasSummaries bool
}

// NewClients returns clients of the peers. maxRelays bounds the requests relayed
// to all peers at the same time.
func NewClients(peers []config.Peer, maxRelays int) *Clients {
	c := &Clients{clients: map[string]*client{}}
	for _, p := range peers {
		c.clients[p.Member] = &client{
			messages: httpclient.NewClient(p.Addr, connsPerPeer),
			relays:   httpclient.NewClient(p.Addr, max(1, maxRelays/len(peers))),
		}
	}
	return c
}

// Relay sends a user's request to a peer and returns the peer's response. A false
// result means that the peer did not respond in time; the request may have been
// executed.
func (c *Clients) Relay(r scheduler.RelayRequest) (scheduler.UserResponse, bool) {
	target := c.clients[r.Peer]
	body, err := msgpack.Marshal(&r.Request)
	if target == nil || err != nil {
		return scheduler.UserResponse{}, false
	}
	request := wire.Request{Method: fiber.MethodPost, Path: relayPath, Body: body}
	status, body := target.relays.DoType(request, msgpackType, relayTimeout)
	if status != fiber.StatusOK {
		return scheduler.UserResponse{}, false
	}
	var response scheduler.UserResponse
	if msgpack.Unmarshal(body, &response) != nil || response.Status == 0 {
		return scheduler.UserResponse{}, false
	}
	return response, true
}

// Send sends a message to all peers, with its summaries only to summaryPeers
// (nil: to all). While the previous message to a peer is in flight, only the
// newest message is queued for that peer. If the queued message that it replaces
// had summaries, the new one has them too. The message is encoded once, or twice
// if some peers get no summaries. Send does not block.
func (c *Clients) Send(msg *scheduler.PeerMessage, summaryPeers []string) {
	body, err := encode(msg)
	if err != nil {
		return // unreachable: every field of a message can be encoded
	}
	shortBody := body
	if summaryPeers != nil {
		if shortBody, err = encode(msg.WithoutSummaries()); err != nil {
			return
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, target := range c.clients {
		isRecipient := summaryPeers == nil || slices.Contains(summaryPeers, name)
		if isRecipient || target.hasPendingSummaries() {
			c.enqueue(target, body, true)
		} else {
			c.enqueue(target, shortBody, false)
		}
	}
}

// hasPendingSummaries reports whether the queued message has summaries.
func (t *client) hasPendingSummaries() bool { return t.nextBody != nil && t.nextHasSummaries }

// enqueue sends a message, or queues it while another is in flight. The caller
// holds mu.
func (c *Clients) enqueue(target *client, body []byte, hasSummaries bool) {
	if target.sending {
		target.nextBody, target.nextHasSummaries = body, hasSummaries
		return
	}
	target.sending = true
	go c.sendLoop(target, body)
}

// sendLoop sends a message and then every message queued in the meantime.
func (c *Clients) sendLoop(target *client, body []byte) {
	for body != nil {
		request := wire.Request{Method: fiber.MethodPost, Path: messagePath, Body: body}
		target.messages.DoType(request, msgpackType, messageTimeout)
		body = c.dequeue(target)
	}
}

// dequeue returns the queued message, or nil, which marks the client as not
// sending.
func (c *Clients) dequeue(target *client) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	body := target.nextBody
	target.nextBody = nil
	target.sending = body != nil
	return body
}
