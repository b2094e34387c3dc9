// Package mesh carries what members tell each other, in msgpack, and serves
// the administration API, both on the mesh address.
package mesh

import (
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/grebedock/grebedock/access"
	"github.com/grebedock/grebedock/internal/config"
	"github.com/grebedock/grebedock/internal/connlimit"
	"github.com/grebedock/grebedock/internal/httpclient"
	"github.com/grebedock/grebedock/internal/userapi"
	"github.com/grebedock/grebedock/internal/wire"
	"github.com/grebedock/grebedock/scheduler"
)

const msgpackType = "application/msgpack"

// Core is what the mesh needs of the node.
type Core interface {
	HandlePeerMessage(scheduler.PeerMessage)
	HandleUserRequest(scheduler.UserRequest, time.Duration) (scheduler.UserResponse, bool)
	AdminCore
}

// maxMessageBytes bounds a peer's message. A summary of 125 functions takes some
// 40 KB, and a member that adopted shards sends one for each.
const maxMessageBytes = 1 << 20

// ConnectionClasses are the kinds of requests on the mesh address: each peer sends its
// messages on one connection and what it relays on a few, and the rest is
// operators'.
func ConnectionClasses() []connlimit.Class {
	return []connlimit.Class{
		{Name: "peers", Prefix: "POST /peer ", ReservedShare: 1.0 / 4},
		{Name: "relays", Prefix: "POST /relay ", ReservedShare: 1.0 / 2},
		{Name: "operators", ReservedShare: 1.0 / 4},
	}
}

// NewPeerServer returns the server of the mesh address. Guarded, its listener must be
// a guard's.
func NewPeerServer(core Core, maxSockets int, limited bool) *fiber.App {
	app := userapi.NewServer(maxSockets, maxMessageBytes, limited)
	serveAdmin(app, core)
	app.Post("/peer", func(c *fiber.Ctx) error {
		msg, err := decode(c.Body())
		if err != nil {
			return fiber.NewError(fiber.StatusBadRequest, "not a peer's message")
		}
		core.HandlePeerMessage(msg)
		return c.SendStatus(fiber.StatusNoContent)
	})
	app.Post("/relay", func(c *fiber.Ctx) error {
		r, err := decodeRelay(c.Body())
		if err != nil {
			return fiber.NewError(fiber.StatusBadRequest, err.Error())
		}
		a, ok := core.HandleUserRequest(r, relayTimeout)
		if !ok {
			a = scheduler.UserResponse{
				Status:      fiber.StatusServiceUnavailable,
				ID:          r.ID,
				Error:       "no answer in time",
				RetryAfterS: 1,
			}
		}
		body, err := msgpack.Marshal(&a)
		if err != nil {
			return err
		}
		c.Set(fiber.HeaderContentType, msgpackType)
		return c.Send(body)
	})
	return app
}

// relayTimeout bounds a relayed request: half of what the state service has for
// one, since its user has waited already.
const relayTimeout = access.RequestTimeout / 2

// MaxRelays is how many requests a member may have its peers answer at once, by
// the sockets that it has; each peer takes a part of them.
func MaxRelays(maxSockets int) int { return max(4, maxSockets/32) }

// Peers sends messages to the other members.
type Peers struct {
	mu    sync.Mutex
	peers map[string]*peer
}

type peer struct {
	messageClient    *httpclient.Client
	relayClient      *httpclient.Client
	sending          bool
	nextBody         []byte
	nextHasSummaries bool // next has summaries
}

// messageTimeout bounds the sending of a message; the next one says all anew.
const messageTimeout = 2 * time.Second

// NewPeers returns a sender to the others; relays bounds the requests that they
// are to answer at once.
func NewPeers(others []config.Peer, maxRelays int) *Peers {
	p := &Peers{peers: map[string]*peer{}}
	for _, o := range others {
		p.peers[o.Member] = &peer{
			messageClient: httpclient.NewClient(o.Addr, 2),
			relayClient:   httpclient.NewClient(o.Addr, max(1, maxRelays/len(others))),
		}
	}
	return p
}

// Relay has a peer answer a user's request.
func (p *Peers) Relay(r scheduler.RelayRequest) (scheduler.UserResponse, bool) {
	peer := p.peers[r.Peer]
	body, err := msgpack.Marshal(&r.Request)
	if peer == nil || err != nil {
		return scheduler.UserResponse{}, false
	}
	status, body := peer.relayClient.DoType(
		wire.Request{Method: "POST", Path: "/relay", Body: body},
		msgpackType,
		relayTimeout,
	)
	var a scheduler.UserResponse
	if status != fiber.StatusOK || msgpack.Unmarshal(body, &a) != nil || a.Status == 0 {
		return scheduler.UserResponse{}, false
	}
	return a, true
}

// decodeRelay reads a peer's question. It checks what the peer's own front has
// checked, since the answer rests on it.
func decodeRelay(body []byte) (scheduler.UserRequest, error) {
	var r scheduler.UserRequest
	if err := msgpack.Unmarshal(body, &r); err != nil {
		return r, errors.New("not a relayed request")
	}
	if !wire.IsValidJobID(r.ID) || r.Kind < scheduler.SubmitJob || r.Kind > scheduler.CancelJob ||
		r.Job != nil &&
			(r.Job.ID != r.ID || r.Job.Tasks < 1 || r.Job.Tasks > wire.MaxTasks) || r.Kind != scheduler.SubmitJob && r.Job != nil {
		return r, errors.New("no request of a user")
	}
	r.Relayed = true
	return r, nil
}

// Send sends a message to all others, with its summaries to whole alone (nil: to all), or keeps it until the one under way is
// done: only the newest matters, but summaries that waited go with it. It is encoded once for all.
func (p *Peers) Send(msg *scheduler.PeerMessage, summaryPeers []string) {
	body, err := encode(msg)
	if err != nil {
		return // nothing in a message cannot be encoded
	}
	shortBody := body
	if summaryPeers != nil {
		if shortBody, err = encode(msg.WithoutSummaries()); err != nil {
			return
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, target := range p.peers {
		withSummaries := summaryPeers == nil || slices.Contains(summaryPeers, name) ||
			target.nextBody != nil && target.nextHasSummaries
		body := body
		if !withSummaries {
			body = shortBody
		}
		if target.sending {
			target.nextBody, target.nextHasSummaries = body, withSummaries
			continue
		}
		target.sending = true
		go p.sendLoop(target, body)
	}
}

func (p *Peers) sendLoop(target *peer, body []byte) {
	for {
		target.messageClient.DoType(wire.Request{Method: "POST", Path: "/peer", Body: body}, msgpackType, messageTimeout)
		p.mu.Lock()
		if target.nextBody == nil {
			target.sending = false
			p.mu.Unlock()
			return
		}
		body, target.nextBody = target.nextBody, nil
		p.mu.Unlock()
	}
}
