// Package userapi serves users, workers and health checks.
package userapi

import (
	"strconv"
	"time"

	"github.com/gofiber/fiber/v2"

	"github.com/grebedock/grebedock/internal/connlimit"
	"github.com/grebedock/grebedock/internal/wire"
	"github.com/grebedock/grebedock/scheduler"
)

// ConnectionClasses are the kinds of requests on the front address. Health checks are
// one connection at a time; workers may all come to one member when it adopts
// the others' shards, and then are most of what it has.
func ConnectionClasses() []connlimit.Class {
	return []connlimit.Class{
		{Name: "health", Prefix: "GET /up ", ReservedShare: 1.0 / 16},
		{Name: "workers", Prefix: "POST /v1/report ", ReservedShare: 3.0 / 4},
		{Name: "users", ReservedShare: 3.0 / 16},
	}
}

// Core is what the front needs of the node.
type Core interface {
	HandleUserRequest(scheduler.UserRequest, time.Duration) (scheduler.UserResponse, bool)
	HandleHeartbeat(scheduler.Heartbeat, time.Duration) (scheduler.HeartbeatResponse, bool)
	IsUsable() bool
}

// patience is how long an answer is waited for. Users wait five seconds for a
// submission and two for a question, workers four.
const (
	submitTimeout    = 4500 * time.Millisecond
	queryTimeout     = 1900 * time.Millisecond
	heartbeatTimeout = 3500 * time.Millisecond
)

// NewUserServer returns the server of the front address. Guarded, its listener must be a
// guard's.
func NewUserServer(core Core, maxSockets int, limited bool) *fiber.App {
	app := NewServer(maxSockets, wire.MaxBody, limited)
	app.Get("/up", func(c *fiber.Ctx) error {
		if !core.IsUsable() {
			return c.SendStatus(fiber.StatusServiceUnavailable)
		}
		return c.SendStatus(fiber.StatusOK)
	})
	app.Post("/work", func(c *fiber.Ctx) error {
		return handleUserRequest(c, core, wire.ParseJob(c.Body()), submitTimeout)
	})
	app.Get("/work/:id", func(c *fiber.Ctx) error {
		return handleUserRequest(c, core, scheduler.UserRequest{Kind: scheduler.QueryJob, ID: jobIDParam(c)}, queryTimeout)
	})
	app.Post("/work/:id/abort", func(c *fiber.Ctx) error {
		return handleUserRequest(c, core, scheduler.UserRequest{Kind: scheduler.CancelJob, ID: jobIDParam(c)}, submitTimeout)
	})
	app.Post("/v1/report", func(c *fiber.Ctx) error {
		r, err := wire.ParseHeartbeat(c.Body())
		if err != nil {
			return fiber.NewError(fiber.StatusBadRequest, err.Error())
		}
		a, ok := core.HandleHeartbeat(r, heartbeatTimeout)
		if !ok {
			a = scheduler.HeartbeatResponse{}
		}
		status, body := wire.EncodeHeartbeatResponse(a)
		return sendJSON(c, status, body)
	})
	return app
}

// NewServer returns a server with this project's limits and errors in JSON. A
// guard counts connections itself and reads bodies as they come; the server's
// own count lags behind it, since it includes what has just been given up.
func NewServer(maxSockets, maxBody int, limited bool) *fiber.App {
	concurrency := max(16, maxSockets*3/4)
	if limited {
		concurrency = 4 * maxSockets
	}
	app := fiber.New(fiber.Config{
		DisableStartupMessage: true, BodyLimit: maxBody, Concurrency: concurrency, ServerHeader: "",
		StreamRequestBody: limited, DisablePreParseMultipartForm: true,
		DisableDefaultDate: true, ReadBufferSize: 4096, WriteBufferSize: 4096, ReduceMemoryUsage: false,
		ErrorHandler: func(c *fiber.Ctx, err error) error {
			status := fiber.StatusInternalServerError
			if e, ok := err.(*fiber.Error); ok {
				status = e.Code
			}
			return sendJSON(c, status, wire.EncodeUserResponse(scheduler.UserResponse{Error: err.Error()}))
		},
	})
	if limited {
		app.Use(connlimit.LimitBodies(maxBody))
	}
	return app
}

// jobIDParam copies the id out of the path: fiber uses its buffers again.
func jobIDParam(c *fiber.Ctx) string { return string(append([]byte(nil), c.Params("id")...)) }

func handleUserRequest(c *fiber.Ctx, core Core, r scheduler.UserRequest, timeout time.Duration) error {
	if r.Kind != scheduler.SubmitJob && !wire.IsValidJobID(r.ID) {
		return fiber.NewError(fiber.StatusNotFound, "no such job")
	}
	if r.ID == "" {
		return fiber.NewError(fiber.StatusBadRequest, r.Malformed)
	}
	a, ok := core.HandleUserRequest(r, timeout)
	if !ok {
		a = scheduler.UserResponse{
			Status:      fiber.StatusServiceUnavailable,
			ID:          r.ID,
			Error:       "no answer in time",
			RetryAfterS: 1,
		}
	}
	if a.RetryAfterS > 0 {
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(a.RetryAfterS))
	}
	return sendJSON(c, a.Status, wire.EncodeUserResponse(a))
}

func sendJSON(c *fiber.Ctx, status int, body []byte) error {
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.Status(status).Send(body)
}
