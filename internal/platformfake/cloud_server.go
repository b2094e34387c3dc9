package platformfake

import (
	"encoding/json"

	"github.com/gofiber/fiber/v2"
	"github.com/grebedock/grebedock/scheduler"
)

func (s *Platform) applyCloudOp(op scheduler.CloudOp) scheduler.CloudResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cloud.Apply(s.now(), op)
}

func (s *Platform) cloudServer() *fiber.App {
	app := newServer()
	app.Get("/catalog", s.serveCatalog)
	app.Get("/rentals", s.serveInstanceList)
	app.Post("/rentals", s.serveProvision)
	app.Post("/rentals/release", s.serveRelease)
	return app
}

func (s *Platform) serveCatalog(c *fiber.Ctx) error {
	types := []fiber.Map{}
	for _, t := range s.applyCloudOp(scheduler.CloudOp{Kind: scheduler.CloudCatalog}).Types {
		types = append(types, fiber.Map{
			"sku":           t.Name,
			"cpus":          t.Resources.CPUs,
			"cards":         t.Resources.GPUs,
			"memory_gb":     t.Resources.MemoryGB,
			"local_gb":      t.Resources.DiskGB,
			"pull_gb_per_s": t.ImageFetchGBps,
			"hourly":        t.Price,
			"market_price":  t.SpotPrice,
			"ready_s":       t.BootS,
			"marshes":       t.Zones,
		})
	}
	return c.JSON(fiber.Map{"hulls": types})
}

func (s *Platform) serveInstanceList(c *fiber.Ctx) error {
	list := []fiber.Map{}
	op := scheduler.CloudOp{Kind: scheduler.CloudList, StartAfter: c.Query("from")}
	for _, l := range s.applyCloudOp(op).List {
		list = append(list, fiber.Map{
			"ref":       l.ID,
			"addr":      l.Addr,
			"hull":      l.Type,
			"marsh":     l.Zone,
			"driftwood": l.Spot,
			"stance":    l.State,
			"held_s":    l.AgeS,
		})
	}
	return c.JSON(fiber.Map{"berths": list, "more": false})
}

func (s *Platform) serveProvision(c *fiber.Ctx) error {
	var b struct {
		IdempotencyKey string `json:"charter"`
		Type           string `json:"hull"`
		Zone           string `json:"marsh"`
		Spot           bool   `json:"driftwood"`
		Count          int    `json:"how_many"`
	}
	if err := json.Unmarshal(c.Body(), &b); err != nil {
		return c.SendStatus(400)
	}
	result := s.applyCloudOp(scheduler.CloudOp{
		Kind:           scheduler.CloudProvision,
		IdempotencyKey: b.IdempotencyKey,
		Type:           b.Type,
		Zone:           b.Zone,
		Spot:           b.Spot,
		Count:          b.Count,
	})
	if result.Outcome == scheduler.NotFound {
		return c.Status(503).JSON(fiber.Map{"error": "no capacity"})
	}
	return c.JSON(fiber.Map{"berths": result.Machines})
}

func (s *Platform) serveRelease(c *fiber.Ctx) error {
	var b struct {
		Machines []string `json:"berths"`
	}
	if err := json.Unmarshal(c.Body(), &b); err != nil {
		return c.SendStatus(400)
	}
	s.applyCloudOp(scheduler.CloudOp{Kind: scheduler.CloudRelease, Machines: b.Machines})
	return c.JSON(fiber.Map{})
}
