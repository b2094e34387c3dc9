// Package peer carries messages and relayed requests between controllers, in
// msgpack over HTTP, at the peer address.
//
// It owns the encoded form of a message, the clients of the other controllers
// and the routes that they use. What a message means is the core's. It may
// assume that peers are controllers of a compatible version; what they send is
// checked all the same.
//
// It promises that a peer has at most one message under way and one that waits,
// the newest, so that a slow peer delays nothing but itself; that a damaged
// summary is refused or read as no more samples than its bytes can hold; and
// that a relayed request was valid as a user's. Messages can be lost: the next
// replaces what was lost, but for summaries, which come again by turns. It does
// not bound the lengths that a message claims for its other lists: the decoder
// of msgpack allocates them before it reads the elements.
//
// It is built for peers that are slow, unreachable or restarted, and for a
// controller that alone cannot reach the state service, whose users' requests
// the peers respond to.
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

// MaxMessageBytes bounds a peer's message. A summary of 125 functions takes some
// 40 KB, and a controller that adopted shards sends one for each.
const MaxMessageBytes = 1 << 20

// Errors whose texts peers receive.
var (
	errNoRelayedRequest = errors.New("not a relayed request")
	errNoUserRequest    = errors.New("no request of a user")
)

// Core is what peers need of the node. Its methods may be called from any
// goroutine; false means that there was no response in time.
type Core interface {
	HandlePeerMessage(scheduler.PeerMessage)
	HandleUserRequest(scheduler.UserRequest, time.Duration) (scheduler.UserResponse, bool)
}

// ConnectionClasses returns the classes of requests at the peer address: each
// peer sends its messages on one connection and relayed requests on a few, and
// the rest is operators'.
func ConnectionClasses() []connlimit.Class {
	return []connlimit.Class{
		{Name: "peers", Prefix: "POST " + messagePath + " ", ReservedShare: 1.0 / 4},
		{Name: "relays", Prefix: "POST " + relayPath + " ", ReservedShare: 1.0 / 2},
		{Name: "operators", ReservedShare: 1.0 / 4},
	}
}

// Serve adds the peers' routes. The server must take bodies of MaxMessageBytes.
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

// handleRelay responds for the core of the peer that relays: the status of the
// user's response is in the body.
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

// decodeRelay reads a relayed request. It checks again what the peer's own user
// API has checked, since the core relies on it.
func decodeRelay(body []byte) (scheduler.UserRequest, error) {
	var r scheduler.UserRequest
	if err := msgpack.Unmarshal(body, &r); err != nil {
		return r, errNoRelayedRequest
	}
	isKnownKind := r.Kind >= scheduler.SubmitJob && r.Kind <= scheduler.CancelJob
	if !isKnownKind || !wire.IsValidJobID(r.ID) || !hasFittingJob(&r) {
		return r, errNoUserRequest
	}
	r.Relayed = true
	return r, nil
}

// hasFittingJob reports whether a request has no job, or submits one under its
// own ID.
func hasFittingJob(r *scheduler.UserRequest) bool {
	if r.Job == nil {
		return true
	}
	isOwn := r.Kind == scheduler.SubmitJob && r.Job.ID == r.ID
	return isOwn && r.Job.Tasks >= 1 && r.Job.Tasks <= wire.MaxTasks
}
