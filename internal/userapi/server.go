// Package userapi serves users, workers and health checks at a controller's user
// address: jobs and workflows, heartbeats, and whether the load balancer should
// send users to this controller.
//
// The package owns the HTTP server and its routes. Package wire defines the
// bodies, and the core makes the decisions. The package assumes that the core
// responds within the given timeout, if at all, and never blocks beyond it.
//
// It guarantees a response to every complete request: the core's response, an
// error in JSON, or 503 with a retry time. The values that it passes to the core
// never refer to fiber's buffers, which are recycled. It handles malformed
// requests and a core that responds late; package connlimit bounds stalled
// clients.
package userapi

import (
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v2"

	"github.com/grebedock/grebedock/internal/connlimit"
	"github.com/grebedock/grebedock/internal/wire"
	"github.com/grebedock/grebedock/scheduler"
)

// Timeouts of the core's responses. Users wait five seconds for a submission or
// a cancellation and two for a query, workers four seconds for a heartbeat.
const (
	submitTimeout    = 4500 * time.Millisecond
	queryTimeout     = 1900 * time.Millisecond
	heartbeatTimeout = 3500 * time.Millisecond
)

// Bounds of a server.
const (
	bufferBytes    = 4096
	minConcurrency = 16
)

// Message and retry time that a client receives when the core does not respond in
// time.
const (
	timeoutMessage     = "no answer in time"
	timeoutRetryAfterS = 1
)

// Core is the node's interface to the user address. Each method is safe for
// concurrent use. A false result means that the core did not respond in time.
type Core interface {
	HandleUserRequest(scheduler.UserRequest, time.Duration) (scheduler.UserResponse, bool)
	HandleHeartbeat(scheduler.Heartbeat, time.Duration) (scheduler.HeartbeatResponse, bool)
	IsUsable() bool
}

// ConnectionClasses returns the classes of requests at the user address. Health
// checks use one connection at a time. When one controller adopts the shards of
// all others, all workers may connect to it and then hold most of its
// connections.
func ConnectionClasses() []connlimit.Class {
	return []connlimit.Class{
		{Name: "health", Prefix: "GET /up ", ReservedShare: 1.0 / 16},
		{Name: "workers", Prefix: "POST /v1/report ", ReservedShare: 3.0 / 4},
		{Name: "users", ReservedShare: 3.0 / 16},
	}
}

// NewUserServer returns the server of the user address. If limited is true, its
// listener must be from a connlimit.Limiter.
func NewUserServer(core Core, maxSockets int, limited bool) *fiber.App {
	app := NewServer(maxSockets, wire.MaxBody, limited)
	app.Get("/up", func(c *fiber.Ctx) error { return handleHealthCheck(c, core) })
	app.Post("/work", func(c *fiber.Ctx) error {
		return handleUserRequest(c, core, wire.ParseJob(c.Body()), submitTimeout)
	})
	app.Get("/work/:id", func(c *fiber.Ctx) error {
		query := scheduler.UserRequest{Kind: scheduler.QueryJob, ID: idParam(c)}
		return handleUserRequest(c, core, query, queryTimeout)
	})
	app.Post("/work/:id/abort", func(c *fiber.Ctx) error {
		cancel := scheduler.UserRequest{Kind: scheduler.CancelJob, ID: idParam(c)}
		return handleUserRequest(c, core, cancel, submitTimeout)
	})
	app.Post("/v1/report", func(c *fiber.Ctx) error { return handleHeartbeat(c, core) })
	return app
}

// NewServer returns a server without routes, with this project's bounds and with
// errors in JSON. maxBody bounds a body in bytes. If limited is true, a
// connlimit.Limiter counts connections and reads bodies as they arrive. The
// server's own count then lags, since it includes connections that were just
// evicted.
func NewServer(maxSockets, maxBody int, limited bool) *fiber.App {
	concurrency := max(minConcurrency, maxSockets*3/4)
	if limited {
		concurrency = 4 * maxSockets
	}
	app := fiber.New(fiber.Config{
		DisableStartupMessage:        true,
		BodyLimit:                    maxBody,
		Concurrency:                  concurrency,
		StreamRequestBody:            limited,
		DisablePreParseMultipartForm: true,
		DisableDefaultDate:           true,
		ReadBufferSize:               bufferBytes,
		WriteBufferSize:              bufferBytes,
		ErrorHandler:                 sendError,
	})
	if limited {
		app.Use(connlimit.LimitBodies(maxBody))
	}
	return app
}

func sendError(c *fiber.Ctx, err error) error {
	status := fiber.StatusInternalServerError
	var httpError *fiber.Error
	if errors.As(err, &httpError) {
		status = httpError.Code
	}
	return sendJSON(c, status, wire.EncodeUserResponse(scheduler.UserResponse{Error: err.Error()}))
}

func sendJSON(c *fiber.Ctx, status int, body []byte) error {
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.Status(status).Send(body)
}

func setRetryAfter(c *fiber.Ctx, seconds int) {
	if seconds > 0 {
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(seconds))
	}
}

// idParam returns a copy of the ID in the path, since fiber recycles its buffers.
func idParam(c *fiber.Ctx) string { return strings.Clone(c.Params("id")) }

func handleHealthCheck(c *fiber.Ctx, core Core) error {
	if !core.IsUsable() {
		return c.SendStatus(fiber.StatusServiceUnavailable)
	}
	return c.SendStatus(fiber.StatusOK)
}

// handleUserRequest refuses a request whose job cannot exist, and passes all
// others to the core. A malformed submission may repeat that of a known job, so
// the core handles it too.
func handleUserRequest(c *fiber.Ctx, core Core, r scheduler.UserRequest, timeout time.Duration) error {
	if r.Kind != scheduler.SubmitJob && !wire.IsValidJobID(r.ID) {
		return fiber.NewError(fiber.StatusNotFound, "no such job")
	}
	if r.ID == "" {
		return fiber.NewError(fiber.StatusBadRequest, r.Malformed)
	}
	response, ok := core.HandleUserRequest(r, timeout)
	if !ok {
		response = scheduler.UserResponse{
			Status:      fiber.StatusServiceUnavailable,
			ID:          r.ID,
			Error:       timeoutMessage,
			RetryAfterS: timeoutRetryAfterS,
		}
	}
	setRetryAfter(c, response.RetryAfterS)
	return sendJSON(c, response.Status, wire.EncodeUserResponse(response))
}

func handleHeartbeat(c *fiber.Ctx, core Core) error {
	r, err := wire.ParseHeartbeat(c.Body())
	if err != nil {
		return fiber.NewError(fiber.StatusBadRequest, err.Error())
	}
	response, ok := core.HandleHeartbeat(r, heartbeatTimeout)
	if !ok {
		response = scheduler.HeartbeatResponse{} // encoded as a refusal
	}
	status, body := wire.EncodeHeartbeatResponse(response)
	return sendJSON(c, status, body)
}
