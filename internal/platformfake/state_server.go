package platformfake

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/grebedock/grebedock/scheduler"
)

type stateKV struct {
	Key      string          `json:"k"`
	Value    json.RawMessage `json:"v"`
	Revision uint64          `json:"mark"`
}

func (s *Platform) applyStoreOp(c *fiber.Ctx, op scheduler.StoreOp) error {
	s.mu.Lock()
	r, _ := s.state.Apply(s.now(), op)
	s.mu.Unlock()
	switch r.Outcome {
	case scheduler.NotFound:
		return c.Status(404).JSON(fiber.Map{"tide": r.Rev})
	case scheduler.Conflict:
		return c.Status(409).JSON(fiber.Map{"tide": r.Rev, "failed": r.FailedKeys})
	case scheduler.Gone:
		if op.Kind == scheduler.StoreTxn {
			return c.Status(400).JSON(fiber.Map{"error": "no such lease"})
		}
		return c.SendStatus(410)
	}
	switch op.Kind {
	case scheduler.StoreGet:
		return c.JSON(stateKV{r.KVs[0].Key, r.KVs[0].Value, r.KVs[0].Rev})
	case scheduler.StoreList:
		items := []stateKV{}
		for _, it := range r.KVs {
			items = append(items, stateKV{it.Key, it.Value, it.Rev})
		}
		return c.JSON(fiber.Map{"items": items, "more": r.More, "tide": r.Rev})
	case scheduler.StoreWatch:
		events := []fiber.Map{}
		for _, it := range r.KVs {
			if it.Value == nil {
				events = append(events, fiber.Map{"remove": it.Key, "mark": it.Rev})
			} else {
				events = append(events, fiber.Map{"put": it.Key, "v": it.Value, "mark": it.Rev})
			}
		}
		return c.JSON(fiber.Map{"tide": r.Rev, "log": events})
	}
	return c.JSON(fiber.Map{"tide": r.Rev, "mooring": r.LeaseID})
}

func (s *Platform) stateServer() *fiber.App {
	app := newServer()
	app.Get("/keys", func(c *fiber.Ctx) error {
		op := scheduler.StoreOp{Kind: scheduler.StoreList, Key: c.Query("prefix"), StartAfter: c.Query("from")}
		return s.applyStoreOp(c, op)
	})
	app.Get("/keys/*", func(c *fiber.Ctx) error {
		return s.applyStoreOp(c, scheduler.StoreOp{Kind: scheduler.StoreGet, Key: c.Params("*")})
	})
	app.Post("/txn", s.serveTxn)
	app.Post("/holds", s.serveLeaseGrant)
	app.Post("/holds/:id/extend", func(c *fiber.Ctx) error {
		id, _ := strconv.ParseUint(c.Params("id"), 10, 64)
		return s.applyStoreOp(c, scheduler.StoreOp{Kind: scheduler.StoreRenewLease, LeaseID: id})
	})
	app.Get("/watch", s.serveWatch)
	return app
}

func (s *Platform) serveTxn(c *fiber.Ctx) error {
	var b struct {
		Preconditions []stateKV `json:"guards"`
		Changes       []struct {
			Put     string          `json:"put"`
			Remove  string          `json:"remove"`
			Value   json.RawMessage `json:"v"`
			LeaseID uint64          `json:"mooring"`
		} `json:"then"`
	}
	if err := json.Unmarshal(c.Body(), &b); err != nil {
		return c.SendStatus(400)
	}
	op := scheduler.StoreOp{Kind: scheduler.StoreTxn}
	for _, g := range b.Preconditions {
		op.Preconditions = append(op.Preconditions, scheduler.Precondition{Key: g.Key, Revision: g.Revision})
	}
	for _, t := range b.Changes {
		if t.Remove != "" {
			op.Changes = append(op.Changes, scheduler.Change{Key: t.Remove})
		} else {
			op.Changes = append(op.Changes, scheduler.Change{Key: t.Put, Value: t.Value, LeaseID: t.LeaseID})
		}
	}
	return s.applyStoreOp(c, op)
}

func (s *Platform) serveLeaseGrant(c *fiber.Ctx) error {
	var b struct {
		TTLMS int64 `json:"life_ms"`
	}
	if err := json.Unmarshal(c.Body(), &b); err != nil || b.TTLMS < 100 {
		return c.SendStatus(400)
	}
	return s.applyStoreOp(c, scheduler.StoreOp{Kind: scheduler.StoreGrantLease, DurationMS: b.TTLMS})
}

// serveWatch responds as soon as there is a change, or without changes after the requested hold
// time.
func (s *Platform) serveWatch(c *fiber.Ctx) error {
	from, _ := strconv.ParseUint(c.Query("from"), 10, 64)
	op := scheduler.StoreOp{Kind: scheduler.StoreWatch, Key: c.Query("prefix"), Rev: from}
	deadline := time.Now().Add(time.Duration(c.QueryInt("hold_ms")) * time.Millisecond)
	for time.Now().Before(deadline) {
		s.mu.Lock()
		_, ready := s.state.Apply(s.now(), op)
		s.mu.Unlock()
		if ready {
			break
		}
		time.Sleep(watchPollInterval)
	}
	return s.applyStoreOp(c, op)
}

// watchPollInterval is the interval at which serveWatch checks for changes.
const watchPollInterval = 5 * time.Millisecond
