package mesh

import (
	"strings"
	"time"

	"github.com/gofiber/fiber/v2"

	"github.com/grebedock/grebedock/schedules"
)

// ScheduleHost is what the administration API needs of whoever runs schedules.
type ScheduleHost interface {
	HandleRequest(schedules.Request) (schedules.Response, bool)
}

// ServeSchedules adds the schedules' part of the administration API. Buffers of
// fiber are used again, so what is kept is copied.
func ServeSchedules(app *fiber.App, host ScheduleHost) {
	handle := func(c *fiber.Ctx, r schedules.Request) error {
		r.Name, r.From = strings.Clone(c.Params("name")), strings.Clone(c.Query("from"))
		a, ok := host.HandleRequest(r)
		if !ok {
			return fiber.NewError(fiber.StatusServiceUnavailable, "no answer in time")
		}
		return c.Status(a.Status).JSON(a)
	}
	handlerFor := func(k schedules.Kind) fiber.Handler {
		return func(c *fiber.Ctx) error { return handle(c, schedules.Request{Kind: k}) }
	}
	app.Get("/v1/schedules", handlerFor(schedules.List))
	app.Get("/v1/schedules/:name", handlerFor(schedules.Show))
	app.Get("/v1/schedules/:name/history", handlerFor(schedules.History))
	app.Post("/v1/schedules/:name/pause", handlerFor(schedules.Pause))
	app.Post("/v1/schedules/:name/resume", handlerFor(schedules.Resume))
	app.Delete("/v1/schedules/:name", handlerFor(schedules.Remove))
	app.Get("/v1/calendars/:name", handlerFor(schedules.ShowCalendar))
	apply := func(k schedules.Kind) fiber.Handler {
		return func(c *fiber.Ctx) error {
			r := schedules.Request{Kind: k, Body: append([]byte(nil), c.Body()...)}
			if e := c.Query("effective"); e != "" {
				t, err := time.Parse(time.RFC3339, e)
				if err != nil {
					return fiber.NewError(fiber.StatusBadRequest, "effective is no RFC 3339 time")
				}
				r.EffectiveMS = t.UnixMilli()
			}
			return handle(c, r)
		}
	}
	app.Put("/v1/schedules/:name", apply(schedules.Apply))
	app.Put("/v1/calendars/:name", apply(schedules.ApplyCalendar))
}
