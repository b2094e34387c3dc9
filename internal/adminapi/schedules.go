package adminapi

import (
	"strings"
	"time"

	"github.com/gofiber/fiber/v2"

	"github.com/grebedock/grebedock/schedules"
)

const (
	schedulePath = "/v1/schedules/:name"
	calendarPath = "/v1/calendars/:name"
)

// ScheduleHost is the interface of the extension for schedules to the
// administration API. A false result means that the extension did not respond in
// time.
type ScheduleHost interface {
	HandleRequest(schedules.Request) (schedules.Response, bool)
}

// ServeSchedules adds the routes of schedules and calendars.
func ServeSchedules(app *fiber.App, host ScheduleHost) {
	handlerFor := func(kind schedules.Kind) fiber.Handler {
		return func(c *fiber.Ctx) error { return handleSchedule(c, host, schedules.Request{Kind: kind}) }
	}
	applierFor := func(kind schedules.Kind) fiber.Handler {
		return func(c *fiber.Ctx) error { return applySchedule(c, host, kind) }
	}
	app.Get("/v1/schedules", handlerFor(schedules.List))
	app.Get(schedulePath, handlerFor(schedules.Show))
	app.Get(schedulePath+"/history", handlerFor(schedules.History))
	app.Post(schedulePath+"/pause", handlerFor(schedules.Pause))
	app.Post(schedulePath+"/resume", handlerFor(schedules.Resume))
	app.Delete(schedulePath, handlerFor(schedules.Remove))
	app.Get(calendarPath, handlerFor(schedules.ShowCalendar))
	app.Put(schedulePath, applierFor(schedules.Apply))
	app.Put(calendarPath, applierFor(schedules.ApplyCalendar))
}

// handleSchedule adds the parameters of the path and the query to a request, and
// carries it out. It copies them, since the host may retain the request while
// fiber recycles its buffers.
func handleSchedule(c *fiber.Ctx, host ScheduleHost, r schedules.Request) error {
	r.Name, r.From = strings.Clone(c.Params("name")), strings.Clone(c.Query("from"))
	response, ok := host.HandleRequest(r)
	if !ok {
		return fiber.NewError(fiber.StatusServiceUnavailable, timeoutMessage)
	}
	return c.Status(response.Status).JSON(response)
}

// applySchedule applies the schedule or calendar in the body.
func applySchedule(c *fiber.Ctx, host ScheduleHost, kind schedules.Kind) error {
	r := schedules.Request{Kind: kind, Body: append([]byte(nil), c.Body()...)}
	if effective := c.Query("effective"); effective != "" {
		t, err := time.Parse(time.RFC3339, effective)
		if err != nil {
			return fiber.NewError(fiber.StatusBadRequest, "effective is no RFC 3339 time")
		}
		r.EffectiveMS = t.UnixMilli()
	}
	return handleSchedule(c, host, r)
}
