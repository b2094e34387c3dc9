package userapi

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v2"

	"github.com/grebedock/grebedock/workflow"
)

// Workflows is what the front needs of whoever runs workflows.
type Workflows interface {
	HandleRequest(workflow.Request, time.Duration) (workflow.Response, bool)
}

// ServeWorkflows adds the workflows' part of the users' interface.
func ServeWorkflows(app *fiber.App, host Workflows) {
	handle := func(c *fiber.Ctx, r workflow.Request, timeout time.Duration) error {
		a, ok := host.HandleRequest(r, timeout)
		if !ok {
			a = workflow.Response{Status: fiber.StatusServiceUnavailable, ID: r.ID, Error: "no answer in time", RetryAfterS: 1}
		}
		if a.RetryAfterS > 0 {
			c.Set(fiber.HeaderRetryAfter, strconv.Itoa(a.RetryAfterS))
		}
		body, err := json.Marshal(a)
		if err != nil {
			return err
		}
		return sendJSON(c, a.Status, body)
	}
	app.Post("/v1/workflows", func(c *fiber.Ctx) error {
		// fiber uses its buffers again.
		return handle(c, workflow.Request{Kind: workflow.Submit, Body: append([]byte(nil), c.Body()...)}, submitTimeout)
	})
	app.Get("/v1/workflows/:id", func(c *fiber.Ctx) error {
		return handle(c, workflow.Request{Kind: workflow.Query, ID: jobIDParam(c)}, queryTimeout)
	})
	app.Post("/v1/workflows/:id/abort", func(c *fiber.Ctx) error {
		return handle(c, workflow.Request{Kind: workflow.Abort, ID: jobIDParam(c)}, submitTimeout)
	})
}
