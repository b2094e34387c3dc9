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

// AdminCore is what the administration API shows and changes.
type AdminCore interface {
	Status() scheduler.Status
	Settings() scheduler.Settings
	Collectors() []prometheus.Collector
	ChangeSettings(scheduler.Settings) (scheduler.UserResponse, bool)
	Rollout() *scheduler.RolloutStatus
	PreviewRollout(rollout.Plan) scheduler.RolloutPreview
	ApplyRollout(rollout.Plan) (scheduler.UserResponse, bool)
	CommandRollout(rollout.Command) (scheduler.UserResponse, bool)
}

func serveAdmin(app *fiber.App, core AdminCore) {
	app.Get("/v1/status", func(c *fiber.Ctx) error { return c.JSON(core.Status()) })
	app.Get("/v1/settings", func(c *fiber.Ctx) error { return c.JSON(core.Settings()) })
	app.Patch("/v1/settings", func(c *fiber.Ctx) error {
		s := core.Settings()
		previous := s.Disruption
		s.Disruption = nil // given, it takes the place of the old one: a team can be taken out
		if err := decodeStrictJSON(c.Body(), &s); err != nil {
			return err
		}
		if s.Disruption == nil {
			s.Disruption = previous
		}
		if err := responseError(core.ChangeSettings(s)); err != nil {
			return err
		}
		return c.JSON(s)
	})
	serveRollout(app, core)
	serveMetrics(app, core)
}

// serveRollout serves plans that drain or replace machines.
func serveRollout(app *fiber.App, core AdminCore) {
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
		if err := decodeStrictJSON(c.Body(), &p); err != nil {
			return err
		}
		if c.QueryBool("preview") {
			preview := core.PreviewRollout(p)
			if preview.InvalidReason != "" {
				return fiber.NewError(fiber.StatusBadRequest, preview.InvalidReason)
			}
			return c.JSON(preview)
		}
		if err := responseError(core.ApplyRollout(p)); err != nil {
			return err
		}
		return status(c)
	})
	for _, command := range []rollout.Command{rollout.Pause, rollout.Resume, rollout.Abort} {
		app.Post("/v1/rollout/"+string(command), func(c *fiber.Ctx) error {
			if err := responseError(core.CommandRollout(command)); err != nil {
				return err
			}
			return status(c)
		})
	}
}

// serveMetrics serves the metrics of the core and of the process.
func serveMetrics(app *fiber.App, core AdminCore) {
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

// decodeStrictJSON reads one JSON value into what is there, and refuses names that nobody
// knows. Its strings are copies: fiber uses the body's memory again.
func decodeStrictJSON(body []byte, into any) error {
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

// responseError turns the core's answer into an error unless it is good.
func responseError(a scheduler.UserResponse, ok bool) error {
	switch {
	case !ok:
		return fiber.NewError(fiber.StatusServiceUnavailable, "no answer in time")
	case a.Status != fiber.StatusOK:
		return fiber.NewError(a.Status, a.Error)
	}
	return nil
}

// collector turns a status into metrics when they are asked for.
type collector struct{ core AdminCore }

func newDesc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("grebedock_"+name, help, labels, nil)
}

var (
	descAuthority    = newDesc("authority", "1 while the member may act for its shards.")
	descLeading      = newDesc("leading", "1 while the member leads the fleet.")
	descJobs         = newDesc("jobs", "Live jobs.")
	descQueued       = newDesc("queued_tasks", "Tasks that wait for a machine.", "shard")
	descPlanInterval = newDesc(
		"plan_gap_seconds",
		"Time between two plans that the last one's cost asks for.",
		"shard",
	)
	descUnreported = newDesc(
		"unseen_machines",
		"Machines that may run tasks of earlier claims without this member's knowing it.",
		"shard",
	)
	descStatusRecords = newDesc(
		"noted_machines",
		"Silent machines of which the state service says what they hold.",
		"shard",
	)
	descPaced           = newDesc("paced", "1 while the orders that follow a claim are paced.", "shard")
	descRolloutMachines = newDesc(
		"rollout_machines",
		"Machines of the plan that drains or replaces them, by how far they are: left, emptying, booting replacements, replacements that came up.",
		"state",
	)
	descRollout             = newDesc("rollout", "1 for the plan's state.", "state")
	descRolloutStoppedTasks = newDesc(
		"rollout_stopped_tasks",
		"Tasks that were stopped to empty machines and do not run again yet.",
		"team",
	)
	descTeam = newDesc(
		"team",
		"Processors of a team: used and waited for over all members, below its guarantee while work within that waits, and this member's part of its limit.",
		"team",
		"what",
	)
	descMachines = newDesc("machines", "Machines of the fleet.", "shard", "type")
	descEvents   = newDesc("events_total", "Events since the member started.", "event")
)

func (c *collector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{descAuthority, descLeading, descJobs, descQueued, descPlanInterval, descUnreported, descStatusRecords, descPaced, descRolloutMachines, descRollout, descRolloutStoppedTasks, descTeam, descMachines, descEvents} {
		ch <- d
	}
}

func boolValue(b bool) float64 {
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
	gauge(descAuthority, boolValue(st.Authority))
	gauge(descLeading, boolValue(st.Leading))
	gauge(descJobs, float64(st.Jobs))
	for _, s := range st.Shards {
		if s.Owned {
			gauge(descQueued, float64(s.QueuedTasks), s.Shard)
			gauge(descPlanInterval, s.PlanIntervalS, s.Shard)
			gauge(descUnreported, float64(s.Unreported), s.Shard)
			gauge(descStatusRecords, float64(s.RecordedUnreachable), s.Shard)
			gauge(descPaced, boolValue(s.Paced), s.Shard)
		}
	}
	if r := c.core.Rollout(); r != nil {
		gauge(descRollout, 1, string(r.State))
		gauge(descRolloutMachines, float64(r.Remaining), "left")
		gauge(descRolloutMachines, float64(r.Emptying), "emptying")
		gauge(descRolloutMachines, float64(r.Booting), "booting")
		gauge(descRolloutMachines, float64(r.ReadyReplacements), "ready")
		for team, n := range r.Disrupted {
			gauge(descRolloutStoppedTasks, float64(n), team)
		}
	}
	for _, t := range st.Teams {
		allocation := 0.0
		for _, s := range st.Shards {
			if s.Owned {
				allocation += t.Allocations[s.Shard].CPUs
			}
		}
		gauge(descTeam, t.TotalUsage.CPUs, t.Team, "used")
		gauge(descTeam, t.TotalWaiting.CPUs, t.Team, "waiting")
		gauge(descTeam, t.GuaranteeShortfall.CPUs, t.Team, "below")
		if t.Limit.CPUs > 0 {
			gauge(descTeam, allocation, t.Team, "part")
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
	counters := st.Counters
	for _, e := range []struct {
		name string
		n    uint64
	}{
		{"start", counters.Starts}, {"lost_task", counters.LostTasks}, {"task_error", counters.Errors}, {"claim", counters.Claims}, {"rented", counters.Provisioned},
		{"returned", counters.Released}, {"moved", counters.MovedTasks}, {"replan", counters.Replans}, {"accepted", counters.Accepted}, {"finished", counters.Finished},
		{"preempted", counters.Preempted}, {"refused", counters.UnavailableResponses}, {"relayed", counters.Relayed}, {"read_batches", counters.QueryBatches}, {"shed", counters.ShedSubmissions},
		{"adopted", counters.AdoptedTasks}, {"stray", counters.OrphanedTasks}, {"ceded", counters.ReclaimedTasks},
		{"in_doubt", counters.InDoubtWrites}, {"old_report", counters.StaleHeartbeats}, {"confirmed", counters.ConfirmedSubmissions}, {"unheard", counters.UndeliveredStarts},
	} {
		ch <- prometheus.MustNewConstMetric(descEvents, prometheus.CounterValue, float64(e.n), e.name)
	}
}
