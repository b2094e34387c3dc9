package userapi

import (
	"encoding/json"
	"time"

	"github.com/gofiber/fiber/v2"

	"github.com/grebedock/grebedock/workflow"
)

// Workflows is the interface of the extension for workflows to the user address.
// A false result means that the extension did not respond in time.
type Workflows interface {
	HandleRequest(workflow.Request, time.Duration) (workflow.Response, bool)
}

// ServeWorkflows adds the routes of workflows.
func ServeWorkflows(app *fiber.App, host Workflows) {
	app.Post("/v1/workflows", func(c *fiber.Ctx) error {
		body := append([]byte(nil), c.Body()...)
		return handleWorkflowRequest(c, host, workflow.Request{Kind: workflow.Submit, Body: body}, submitTimeout)
	})
	app.Get("/v1/workflows/:id", func(c *fiber.Ctx) error {
		return handleWorkflowRequest(c, host, workflow.Request{Kind: workflow.Query, ID: idParam(c)}, queryTimeout)
	})
	app.Post("/v1/workflows/:id/abort", func(c *fiber.Ctx) error {
		return handleWorkflowRequest(c, host, workflow.Request{Kind: workflow.Abort, ID: idParam(c)}, submitTimeout)
	})
}

func handleWorkflowRequest(c *fiber.Ctx, host Workflows, r workflow.Request, timeout time.Duration) error {
	response, ok := host.HandleRequest(r, timeout)
	if !ok {
		response = workflow.Response{
			Status:      fiber.StatusServiceUnavailable,
			ID:          r.ID,
			Error:       timeoutMessage,
			RetryAfterS: timeoutRetryAfterS,
		}
	}
	setRetryAfter(c, response.RetryAfterS)
	body, err := json.Marshal(response)
	if err != nil {
		return err
	}
	return sendJSON(c, response.Status, body)
}
