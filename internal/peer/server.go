// Package peer carries messages and relayed requests between controllers, in
// msgpack over HTTP, at the peer address.
//
// The package owns the encoded form of a message, the clients of the other
// controllers and the routes that they use. The core defines the meaning of a
// message. The package assumes that peers are controllers of a compatible
// version, but still validates their messages.
//
// It guarantees that each peer has at most one message in flight and one queued,
// the newest, so that a slow peer delays only messages to itself. A damaged
// summary is refused, or parsed as no more samples than its bytes can hold. A
// relayed request satisfies the same rules as a user's request.
//
// Messages can be lost: the next message replaces a lost one, except for
// summaries, which are sent again in rotation. The package does not bound the
// lengths that a message declares for its other lists: the msgpack decoder
// allocates them before it reads the elements.
//
// It handles peers that are slow, unreachable or restarted. If only one
// controller cannot reach the state service, its peers respond to its users.
package peer

import (
	"errors"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/grebedock/grebedock/internal/connlimit"
	"github.com/grebedock/grebedock/internal/wire"
	"github.com/grebedock/grebedock/scheduler"
)

// MaxMessageBytes bounds a peer's message. A summary of 125 functions takes about
// 40 KB, and a controller that adopted shards sends one summary per shard.
const MaxMessageBytes = 1 << 20

// Errors whose texts are returned to peers.
var (
	errNotRelayRequest = errors.New("not a relayed request")
	errNotUserRequest  = errors.New("no request of a user")
)

// Core is the node's interface to peers. Its methods are safe for concurrent use.
// A false result means that the core did not respond in time.
type Core interface {
	HandlePeerMessage(scheduler.PeerMessage)
	HandleUserRequest(scheduler.UserRequest, time.Duration) (scheduler.UserResponse, bool)
}

// ConnectionClasses returns the classes of requests at the peer address. Each
// peer sends its messages on one connection and relayed requests on a few; the
// remaining connections are for operators.
func ConnectionClasses() []connlimit.Class {
	return []connlimit.Class{
		{Name: "peers", Prefix: "POST " + messagePath + " ", ReservedShare: 1.0 / 4},
		{Name: "relays", Prefix: "POST " + relayPath + " ", ReservedShare: 1.0 / 2},
		{Name: "operators", ReservedShare: 1.0 / 4},
	}
}

// Serve adds the routes for peers. The server must accept bodies of
// MaxMessageBytes.
func Serve(app *fiber.App, core Core) {
	app.Post(messagePath, func(c *fiber.Ctx) error {
		msg, err := decode(c.Body())
		if err != nil {
			return fiber.NewError(fiber.StatusBadRequest, "not a peer's message")
		}
		core.HandlePeerMessage(msg)
		return c.SendStatus(fiber.StatusNoContent)
	})
	app.Post(relayPath, func(c *fiber.Ctx) error { return handleRelay(c, core) })
}

// handleRelay responds to a relayed request. The status of the user's response is
// in the body.
func handleRelay(c *fiber.Ctx, core Core) error {
	r, err := decodeRelay(c.Body())
	if err != nil {
		return fiber.NewError(fiber.StatusBadRequest, err.Error())
	}
	response, ok := core.HandleUserRequest(r, relayTimeout)
	if !ok {
		response = scheduler.UserResponse{
			Status:      fiber.StatusServiceUnavailable,
			ID:          r.ID,
			Error:       "no answer in time",
			RetryAfterS: 1,
		}
	}
	body, err := msgpack.Marshal(&response)
	if err != nil {
		return err
	}
	c.Set(fiber.HeaderContentType, msgpackType)
	return c.Send(body)
}

// decodeRelay parses a relayed request. It repeats the checks of the peer's user
// API, since the core relies on them.
func decodeRelay(body []byte) (scheduler.UserRequest, error) {
	var r scheduler.UserRequest
	if err := msgpack.Unmarshal(body, &r); err != nil {
		return r, errNotRelayRequest
	}
	isKnownKind := r.Kind >= scheduler.SubmitJob && r.Kind <= scheduler.CancelJob
	if !isKnownKind || !wire.IsValidJobID(r.ID) || !hasValidJob(&r) {
		return r, errNotUserRequest
	}
	r.Relayed = true
	return r, nil
}

// hasValidJob reports whether a request has no job, or submits a valid number of
// tasks under its own ID.
func hasValidJob(r *scheduler.UserRequest) bool {
	if r.Job == nil {
		return true
	}
	isOwn := r.Kind == scheduler.SubmitJob && r.Job.ID == r.ID
	return isOwn && r.Job.Tasks >= 1 && r.Job.Tasks <= wire.MaxTasks
}
