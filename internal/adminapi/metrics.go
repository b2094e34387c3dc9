package adminapi

import (
	"github.com/gofiber/fiber/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/common/expfmt"

	"github.com/grebedock/grebedock/quota"
	"github.com/grebedock/grebedock/scheduler"
)

// serveMetrics serves the metrics of the core and of the process.
func serveMetrics(app *fiber.App, core Core) {
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
		encoder := expfmt.NewEncoder(c, format)
		for _, f := range families {
			if err := encoder.Encode(f); err != nil {
				return err
			}
		}
		return nil
	})
}

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
	descWaitingClears = newDesc(
		"waiting_clears",
		"Ended attempts whose clears wait for a higher fencing token.",
		"shard",
	)
	descOldestClearAge  = newDesc("oldest_waiting_clear_seconds", "Age of the oldest clear that waits.", "shard")
	descPaced           = newDesc("paced", "1 while the orders that follow a claim are paced.", "shard")
	descRolloutMachines = newDesc(
		"rollout_machines",
		"Machines of the plan that drains or replaces them, by how far they are: "+
			"left, emptying, booting replacements, replacements that came up.",
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
		"Processors of a team: used and waited for over all members, "+
			"below its guarantee while work within that waits, and this member's part of its limit.",
		"team",
		"what",
	)
	descTeamShard = newDesc(
		"team_shard",
		"Amounts of a team with a limit in an owned shard: the limit, the shard's allocation, "+
			"used by known attempts, and held back for unreported machines and for tasks without a job.",
		"shard",
		"team",
		"resource",
		"what",
	)
	descMachines = newDesc("machines", "Machines of the fleet.", "shard", "type")
	descEvents   = newDesc("events_total", "Events since the member started.", "event")

	descDirectCommands = newDesc("direct_commands_total", "Direct commands to workers, by outcome.", "outcome")
	descClears         = newDesc("clears_total", "Clears of ended attempts, by whose the attempt is.", "reason")
	descTokenRaises    = newDesc("token_raises_total", "Raises of a shard's fencing token, by reason.", "reason")
)

var allDescs = []*prometheus.Desc{
	descAuthority, descLeading, descJobs,
	descQueued, descPlanInterval, descUnreported, descStatusRecords, descPaced, descWaitingClears, descOldestClearAge,
	descRolloutMachines, descRollout, descRolloutStoppedTasks,
	descTeam, descTeamShard, descMachines, descEvents, descDirectCommands, descClears, descTokenRaises,
}

// collector creates metrics from the core's status on each collection.
type collector struct{ core Core }

// Describe sends the descriptions of the metrics.
func (c *collector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range allDescs {
		ch <- d
	}
}

// Collect sends the values of the metrics.
func (c *collector) Collect(ch chan<- prometheus.Metric) {
	s := sender(ch)
	status := c.core.Status()
	s.gauge(descAuthority, boolValue(status.Authority))
	s.gauge(descLeading, boolValue(status.Leading))
	s.gauge(descJobs, float64(status.Jobs))
	s.sendShards(&status)
	if r := c.core.Rollout(); r != nil {
		s.sendRollout(r)
	}
	s.sendTeams(&status)
	s.sendMachines(&status)
	s.sendEvents(&status)
	s.sendCommandCounters(&status.Counters.CommandCounters)
}

// sender sends metrics to a registry.
type sender chan<- prometheus.Metric

func (s sender) gauge(d *prometheus.Desc, v float64, labels ...string) {
	s <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
}

func (s sender) counter(d *prometheus.Desc, n uint64, labels ...string) {
	s <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(n), labels...)
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func (s sender) sendShards(status *scheduler.Status) {
	for _, shard := range status.Shards {
		if !shard.Owned {
			continue
		}
		s.gauge(descQueued, float64(shard.QueuedTasks), shard.Shard)
		s.gauge(descPlanInterval, shard.PlanIntervalS, shard.Shard)
		s.gauge(descUnreported, float64(shard.Unreported), shard.Shard)
		s.gauge(descStatusRecords, float64(shard.RecordedUnreachable), shard.Shard)
		s.gauge(descPaced, boolValue(shard.Paced), shard.Shard)
		s.gauge(descWaitingClears, float64(shard.WaitingClears), shard.Shard)
		s.gauge(descOldestClearAge, shard.OldestClearAgeS, shard.Shard)
		for i := range shard.Teams {
			s.sendTeamShard(shard.Shard, &shard.Teams[i])
		}
	}
}

// sendTeamShard sends the amounts of a team in a shard, for the resources that its limit covers.
func (s sender) sendTeamShard(shard string, usage *scheduler.TeamShardUsage) {
	for _, amount := range []struct {
		what    string
		amounts quota.Amounts
	}{
		{"limit", usage.Limit},
		{"allocation", usage.Allocation},
		{"used", usage.Used},
		{"unreported", usage.Unreported},
		{"orphaned", usage.Orphaned},
	} {
		if usage.Limit.CPUs > 0 {
			s.gauge(descTeamShard, amount.amounts.CPUs, shard, usage.Team, "cpus", amount.what)
		}
		if usage.Limit.GPUs > 0 {
			s.gauge(descTeamShard, amount.amounts.GPUs, shard, usage.Team, "gpus", amount.what)
		}
	}
}

func (s sender) sendRollout(r *scheduler.RolloutStatus) {
	s.gauge(descRollout, 1, string(r.State))
	s.gauge(descRolloutMachines, float64(r.Remaining), "left")
	s.gauge(descRolloutMachines, float64(r.Draining), "emptying")
	s.gauge(descRolloutMachines, float64(r.Booting), "booting")
	s.gauge(descRolloutMachines, float64(r.ReadyReplacements), "ready")
	for team, n := range r.Disrupted {
		s.gauge(descRolloutStoppedTasks, float64(n), team)
	}
}

func (s sender) sendTeams(status *scheduler.Status) {
	for _, t := range status.Teams {
		allocation := 0.0
		for _, shard := range status.Shards {
			if shard.Owned {
				allocation += t.Allocations[shard.Shard].CPUs
			}
		}
		s.gauge(descTeam, t.TotalUsage.CPUs, t.Team, "used")
		s.gauge(descTeam, t.TotalWaiting.CPUs, t.Team, "waiting")
		s.gauge(descTeam, t.GuaranteeShortfall.CPUs, t.Team, "below")
		if t.Limit.CPUs > 0 {
			s.gauge(descTeam, allocation, t.Team, "part")
		}
	}
}

func (s sender) sendMachines(status *scheduler.Status) {
	type group struct{ shard, machineType string }
	counts := map[group]int{}
	for _, m := range status.Machines {
		counts[group{m.Shard, m.Type}]++
	}
	for g, n := range counts {
		s.gauge(descMachines, float64(n), g.shard, g.machineType)
	}
}

// sendEvents sends the core's counters under the names that the metric has always
// had, independent of the core's names.
func (s sender) sendEvents(status *scheduler.Status) {
	c := status.Counters
	for _, event := range []struct {
		name  string
		count uint64
	}{
		{"start", c.Starts},
		{"lost_task", c.LostTasks},
		{"task_error", c.Errors},
		{"claim", c.Claims},
		{"rented", c.Provisioned},
		{"returned", c.Released},
		{"moved", c.MovedTasks},
		{"replan", c.Replans},
		{"accepted", c.Accepted},
		{"finished", c.Finished},
		{"preempted", c.Preempted},
		{"refused", c.UnavailableResponses},
		{"relayed", c.Relayed},
		{"read_batches", c.QueryBatches},
		{"shed", c.ShedSubmissions},
		{"adopted", c.AdoptedTasks},
		{"stray", c.OrphanedTasks},
		{"ceded", c.ReclaimedTasks},
		{"in_doubt", c.InDoubtWrites},
		{"old_report", c.StaleHeartbeats},
		{"confirmed", c.ConfirmedSubmissions},
		{"unheard", c.UndeliveredStarts},
		{"started_by_copy", c.StartedByCopy},
		{"over_allocation", c.OverAllocations},
		{"late_response", c.LateResponses},
	} {
		s.counter(descEvents, event.count, event.name)
	}
}

// sendCommandCounters sends the counters of commands to workers.
func (s sender) sendCommandCounters(c *scheduler.CommandCounters) {
	s.counter(descDirectCommands, c.DirectCommandsExecuted, "executed")
	s.counter(descDirectCommands, c.DirectCommandsRefused, "refused")
	s.counter(descDirectCommands, c.DirectCommandsUnknown, "unknown")
	s.counter(descClears, c.ClearedAttempts, "ended")
	s.counter(descClears, c.ClearedUnowned, "stray")
	s.counter(descTokenRaises, c.RaisesForUnanswered, "unanswered_command")
	s.counter(descTokenRaises, c.RaisesForAttemptIDs, "attempt_ids")
	s.counter(descTokenRaises, c.RaisesForClears, "clears")
}
