// Package adminapi serves the administration API at the peer address: the state
// of a controller, operators' settings, rollouts, schedules and metrics.
//
// The package owns the routes and the form of requests, responses and metrics.
// The core and the extension for schedules define their meaning. The package
// assumes that the core's reads run on the loop that owns the state, and that
// every client that can reach the address is an operator: it does no
// authentication.
//
// It guarantees that a request with an unknown field changes nothing, and that a
// change is stored before a response confirms it. After a response that reports a
// timeout, the change may have been stored. The package handles operators'
// mistakes and a core that responds late.
package adminapi

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"

	"github.com/gofiber/fiber/v2"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/grebedock/grebedock/rollout"
	"github.com/grebedock/grebedock/scheduler"
)

const (
	settingsPath = "/v1/settings"
	rolloutPath  = "/v1/rollout"
)

// timeoutMessage is the error text that an operator receives after a timeout.
const timeoutMessage = "no answer in time"

// Core is the node's interface to the administration API. Its methods are safe
// for concurrent use. A false result means that the core did not respond in time.
type Core interface {
	Status() scheduler.Status
	Settings() scheduler.Settings
	Collectors() []prometheus.Collector
	ChangeSettings(scheduler.Settings) (scheduler.UserResponse, bool)
	Rollout() *scheduler.RolloutStatus
	PreviewRollout(rollout.Plan) scheduler.RolloutPreview
	ApplyRollout(rollout.Plan) (scheduler.UserResponse, bool)
	CommandRollout(rollout.Command) (scheduler.UserResponse, bool)
}

// Serve adds the routes of the administration API, except those for schedules.
func Serve(app *fiber.App, core Core) {
	app.Get("/v1/status", func(c *fiber.Ctx) error { return c.JSON(core.Status()) })
	app.Get(settingsPath, func(c *fiber.Ctx) error { return c.JSON(core.Settings()) })
	app.Patch(settingsPath, func(c *fiber.Ctx) error { return patchSettings(c, core) })
	app.Get(rolloutPath, func(c *fiber.Ctx) error { return sendRollout(c, core) })
	app.Put(rolloutPath, func(c *fiber.Ctx) error { return putRollout(c, core) })
	for _, command := range []rollout.Command{rollout.Pause, rollout.Resume, rollout.Abort} {
		app.Post(rolloutPath+"/"+string(command), func(c *fiber.Ctx) error {
			if err := responseError(core.CommandRollout(command)); err != nil {
				return err
			}
			return sendRollout(c, core)
		})
	}
	serveMetrics(app, core)
}

// patchSettings changes the settings that the body contains, and responds with
// all settings.
func patchSettings(c *fiber.Ctx, core Core) error {
	settings := core.Settings()
	previous := settings.Disruption
	// A table of disruption budgets replaces the previous one as a whole, so
	// that a team can be removed.
	settings.Disruption = nil
	if err := decodeStrictJSON(c.Body(), &settings); err != nil {
		return err
	}
	if settings.Disruption == nil {
		settings.Disruption = previous
	}
	if err := responseError(core.ChangeSettings(settings)); err != nil {
		return err
	}
	return c.JSON(settings)
}

// sendRollout responds with the state of the plan that drains or replaces
// machines.
func sendRollout(c *fiber.Ctx, core Core) error {
	status := core.Rollout()
	if status == nil {
		return fiber.NewError(fiber.StatusNotFound, "there is no plan")
	}
	return c.JSON(status)
}

// putRollout applies a plan; with preview it responds with the effects that the
// plan would have.
func putRollout(c *fiber.Ctx, core Core) error {
	var plan rollout.Plan
	if err := decodeStrictJSON(c.Body(), &plan); err != nil {
		return err
	}
	if c.QueryBool("preview") {
		preview := core.PreviewRollout(plan)
		if preview.InvalidReason != "" {
			return fiber.NewError(fiber.StatusBadRequest, preview.InvalidReason)
		}
		return c.JSON(preview)
	}
	if err := responseError(core.ApplyRollout(plan)); err != nil {
		return err
	}
	return sendRollout(c, core)
}

// decodeStrictJSON decodes one JSON value into v and refuses unknown fields.
// Decoded strings are copies, since fiber recycles the body.
func decodeStrictJSON(body []byte, v any) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		return fiber.NewError(fiber.StatusBadRequest, err.Error())
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return fiber.NewError(fiber.StatusBadRequest, "more than one JSON value")
	}
	return nil
}

// responseError returns an error unless the core's response is a success.
func responseError(response scheduler.UserResponse, ok bool) error {
	switch {
	case !ok:
		return fiber.NewError(fiber.StatusServiceUnavailable, timeoutMessage)
	case response.Status != fiber.StatusOK:
		return fiber.NewError(response.Status, response.Error)
	}
	return nil
}
