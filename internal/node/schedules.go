package node

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/grebedock/grebedock/internal/config"
	"github.com/grebedock/grebedock/scheduler"
	"github.com/grebedock/grebedock/schedules"
	"github.com/grebedock/grebedock/workflow"
)

// decideShare is which part of a member's changes in the state service
// decisions of schedules may take: when thousands fall due at once, interactive
// jobs keep the rest.
const decideShare = 0.25

// scheduleRunner runs the host of schedules.
type scheduleRunner struct {
	*runner[schedules.Flow, schedules.FlowResult, schedules.Answer]
	host *schedules.Host
}

func newScheduleRunner(n *Node, f *config.File) *scheduleRunner {
	p := Params(f)
	members := float64(len(f.Others) + 1)
	host := schedules.NewHost(schedules.Params{
		Members: p.Members(), Teams: p.Teams, ValueBytes: p.ValueBytes, TxnOps: p.TxnOps,
		ClockErrorMS: f.Cluster.ClockErrorMS, Rate: f.Cluster.State.WriteRPS / members * decideShare,
	})
	s := &scheduleRunner{host: host}
	s.runner = (&runner[schedules.Flow, schedules.FlowResult, schedules.Answer]{
		n: n, machine: host, mark: scheduleRequests, prefix: schedules.MarkPrefix, perform: n.flow, counters: s.counters,
	}).ready()
	return s
}

// flow carries out what a schedule asks of workflows.
func (n *Node) flow(f schedules.Flow) schedules.FlowResult {
	if n.workflows == nil {
		return schedules.FlowResult{Status: 422, Error: "workflows are not switched on"}
	}
	q := workflow.Request{Kind: workflow.Query, ID: f.Run}
	if f.Body != nil {
		q = workflow.Request{Kind: workflow.Submit, Body: f.Body}
	} else if f.Abort {
		q.Kind = workflow.Abort
	}
	a, ok := n.workflows.User(q, corePatience)
	if !ok {
		a.Status = 503
	}
	return schedules.FlowResult{Status: a.Status, Over: a.State.Final(), Error: a.Error}
}

// Schedules asks the host on an operator's behalf.
func (s *scheduleRunner) Schedules(q schedules.Request) (schedules.Answer, bool) {
	return s.ask(adminPatience, func(now scheduler.Now, id uint64) { s.host.User(now, id, q) })
}

var descSchedules = prometheus.NewDesc("grebedock_schedule_events_total", "Moments of schedules that this member decided, runs and skips among them, and shards whose schedules it read.", []string{"event"}, nil)

func (s *scheduleRunner) counters() []counter {
	c := s.host.Counters
	return []counter{
		{descSchedules, "decided", c.Decided},
		{descSchedules, "run", c.Runs},
		{descSchedules, "skipped", c.Skipped},
		{descSchedules, "loaded", c.Loaded},
	}
}
