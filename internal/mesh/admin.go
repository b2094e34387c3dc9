package mesh

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/gofiber/fiber/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/common/expfmt"

	"github.com/grebedock/grebedock/rollout"
	"github.com/grebedock/grebedock/scheduler"
)

// Admin is what the administration API shows and changes.
type Admin interface {
	Status() scheduler.Status
	Settings() scheduler.Settings
	Collectors() []prometheus.Collector
	ChangeSettings(scheduler.Settings) (scheduler.UserAnswer, bool)
	Rollout() *scheduler.RolloutStatus
	PreviewRollout(rollout.Plan) scheduler.RolloutPreview
	ApplyRollout(rollout.Plan) (scheduler.UserAnswer, bool)
	CommandRollout(rollout.Command) (scheduler.UserAnswer, bool)
}

func serveAdmin(app *fiber.App, core Admin) {
	app.Get("/v1/status", func(c *fiber.Ctx) error { return c.JSON(core.Status()) })
	app.Get("/v1/settings", func(c *fiber.Ctx) error { return c.JSON(core.Settings()) })
	app.Patch("/v1/settings", func(c *fiber.Ctx) error {
		s := core.Settings()
		was := s.Disruption
		s.Disruption = nil // given, it takes the place of the old one: a team can be taken out
		if err := strictJSON(c.Body(), &s); err != nil {
			return err
		}
		if s.Disruption == nil {
			s.Disruption = was
		}
		if err := answered(core.ChangeSettings(s)); err != nil {
			return err
		}
		return c.JSON(s)
	})
	serveRollout(app, core)
	serveMetrics(app, core)
}

// serveRollout serves plans that drain or replace machines.
func serveRollout(app *fiber.App, core Admin) {
	status := func(c *fiber.Ctx) error {
		st := core.Rollout()
		if st == nil {
			return fiber.NewError(fiber.StatusNotFound, "there is no plan")
		}
		return c.JSON(st)
	}
	app.Get("/v1/rollout", status)
	app.Put("/v1/rollout", func(c *fiber.Ctx) error {
		var p rollout.Plan
		if err := strictJSON(c.Body(), &p); err != nil {
			return err
		}
		if c.QueryBool("preview") {
			v := core.PreviewRollout(p)
			if v.Wrong != "" {
				return fiber.NewError(fiber.StatusBadRequest, v.Wrong)
			}
			return c.JSON(v)
		}
		if err := answered(core.ApplyRollout(p)); err != nil {
			return err
		}
		return status(c)
	})
	for _, what := range []rollout.Command{rollout.Pause, rollout.Resume, rollout.Abort} {
		app.Post("/v1/rollout/"+string(what), func(c *fiber.Ctx) error {
			if err := answered(core.CommandRollout(what)); err != nil {
				return err
			}
			return status(c)
		})
	}
}

// serveMetrics serves the metrics of the core and of the process.
func serveMetrics(app *fiber.App, core Admin) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(&collector{core})
	registry.MustRegister(core.Collectors()...)
	app.Get("/metrics", func(c *fiber.Ctx) error {
		families, err := registry.Gather()
		if err != nil {
			return err
		}
		format := expfmt.NewFormat(expfmt.TypeTextPlain)
		c.Set(fiber.HeaderContentType, string(format))
		enc := expfmt.NewEncoder(c, format)
		for _, f := range families {
			if err := enc.Encode(f); err != nil {
				return err
			}
		}
		return nil
	})
}

// strictJSON reads one JSON value into what is there, and refuses names that nobody
// knows. Its strings are copies: fiber uses the body's memory again.
func strictJSON(body []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return fiber.NewError(fiber.StatusBadRequest, err.Error())
	}
	if _, err := d.Token(); err != io.EOF {
		return fiber.NewError(fiber.StatusBadRequest, "more than one JSON value")
	}
	return nil
}

// answered turns the core's answer into an error unless it is good.
func answered(a scheduler.UserAnswer, ok bool) error {
	switch {
	case !ok:
		return fiber.NewError(fiber.StatusServiceUnavailable, "no answer in time")
	case a.Status != fiber.StatusOK:
		return fiber.NewError(a.Status, a.Error)
	}
	return nil
}

// collector turns a status into metrics when they are asked for.
type collector struct{ core Admin }

func desc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("grebedock_"+name, help, labels, nil)
}

var (
	descAuthority = desc("authority", "1 while the member may act for its shards.")
	descLeading   = desc("leading", "1 while the member leads the fleet.")
	descJobs      = desc("jobs", "Live jobs.")
	descQueued    = desc("queued_tasks", "Tasks that wait for a machine.", "shard")
	descPlan      = desc("plan_gap_seconds", "Time between two plans that the last one's cost asks for.", "shard")
	descUnseen    = desc("unseen_machines", "Machines that may run tasks of earlier claims without this member's knowing it.", "shard")
	descNoted     = desc("noted_machines", "Silent machines of which the state service says what they hold.", "shard")
	descPaced     = desc("paced", "1 while the orders that follow a claim are paced.", "shard")
	descPlanned   = desc("rollout_machines", "Machines of the plan that drains or replaces them, by how far they are: left, emptying, booting replacements, replacements that came up.", "state")
	descRollout   = desc("rollout", "1 for the plan's state.", "state")
	descDown      = desc("rollout_stopped_tasks", "Tasks that were stopped to empty machines and do not run again yet.", "team")
	descTeam      = desc("team", "Processors of a team: used and waited for over all members, below its guarantee while work within that waits, and this member's part of its limit.", "team", "what")
	descMachines  = desc("machines", "Machines of the fleet.", "shard", "type")
	descEvents    = desc("events_total", "Events since the member started.", "event")
)

func (c *collector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{descAuthority, descLeading, descJobs, descQueued, descPlan, descUnseen, descNoted, descPaced, descPlanned, descRollout, descDown, descTeam, descMachines, descEvents} {
		ch <- d
	}
}

func number(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func (c *collector) Collect(ch chan<- prometheus.Metric) {
	st := c.core.Status()
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	gauge(descAuthority, number(st.Authority))
	gauge(descLeading, number(st.Leading))
	gauge(descJobs, float64(st.Jobs))
	for _, s := range st.Shards {
		if s.Mine {
			gauge(descQueued, float64(s.Queued), s.Shard)
			gauge(descPlan, s.PlanGapS, s.Shard)
			gauge(descUnseen, float64(s.Unseen), s.Shard)
			gauge(descNoted, float64(s.Noted), s.Shard)
			gauge(descPaced, number(s.Paced), s.Shard)
		}
	}
	if r := c.core.Rollout(); r != nil {
		gauge(descRollout, 1, string(r.State))
		gauge(descPlanned, float64(r.Left), "left")
		gauge(descPlanned, float64(r.Emptying), "emptying")
		gauge(descPlanned, float64(r.Booting), "booting")
		gauge(descPlanned, float64(r.Ready), "ready")
		for team, n := range r.Down {
			gauge(descDown, float64(n), team)
		}
	}
	for _, t := range st.Teams {
		part := 0.0
		for _, s := range st.Shards {
			if s.Mine {
				part += t.Parts[s.Shard].CPUs
			}
		}
		gauge(descTeam, t.Use.CPUs, t.Team, "used")
		gauge(descTeam, t.Wait.CPUs, t.Team, "waiting")
		gauge(descTeam, t.Below.CPUs, t.Team, "below")
		if t.Limit.CPUs > 0 {
			gauge(descTeam, part, t.Team, "part")
		}
	}
	type group struct{ shard, typ string }
	machines := map[group]int{}
	for _, mc := range st.Machines {
		machines[group{mc.Shard, mc.Type}]++
	}
	for g, n := range machines {
		gauge(descMachines, float64(n), g.shard, g.typ)
	}
	k := st.Counters
	for _, e := range []struct {
		name string
		n    uint64
	}{
		{"start", k.Starts}, {"lost_task", k.Lost}, {"task_error", k.Errors}, {"claim", k.Claims}, {"rented", k.Rented},
		{"returned", k.Returned}, {"moved", k.Moved}, {"replan", k.Replans}, {"accepted", k.Accepted}, {"finished", k.Finished},
		{"preempted", k.Preempted}, {"refused", k.Refused}, {"relayed", k.Relayed}, {"read_batches", k.Batches}, {"shed", k.Shed},
		{"adopted", k.Adopted}, {"stray", k.Strays}, {"ceded", k.Ceded},
		{"in_doubt", k.InDoubt}, {"old_report", k.Old}, {"confirmed", k.Confirmed}, {"unheard", k.Unheard},
	} {
		ch <- prometheus.MustNewConstMetric(descEvents, prometheus.CounterValue, float64(e.n), e.name)
	}
}
