package node

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/grebedock/grebedock/internal/config"
	"github.com/grebedock/grebedock/scheduler"
	"github.com/grebedock/grebedock/schedules"
	"github.com/grebedock/grebedock/workflow"
)

// decisionWriteShare is the share of a controller's write rate that decisions of
// schedules may use. When thousands of schedules fall due at once, the rest
// remains for interactive jobs.
const decisionWriteShare = 0.25

// scheduleRunner runs the extension for schedules.
type scheduleRunner struct {
	*extensionRunner[schedules.WorkflowRequest, schedules.WorkflowResult, schedules.Response]
	host *schedules.Host
}

func newScheduleRunner(n *Node, settings *config.File) *scheduleRunner {
	p := Params(settings)
	host := schedules.NewHost(schedules.Params{
		Members:      p.MemberIDs(),
		Teams:        p.Teams,
		ValueBytes:   p.MaxValueBytes,
		TxnOps:       p.MaxTxnOps,
		ClockErrorMS: settings.Cluster.ClockErrorMS,
		Rate:         writeRateShare(settings) * decisionWriteShare,
	})
	s := &scheduleRunner{host: host}
	config := extensionConfig[schedules.WorkflowRequest, schedules.WorkflowResult]{
		requestFlag: scheduleRequestFlag,
		prefix:      schedules.ChangeIndexPrefix,
		perform:     n.performWorkflowRequest,
		counters:    s.counters,
	}
	s.extensionRunner = newExtensionRunner(n, host, config)
	return s
}

// performWorkflowRequest carries out a schedule's request to the extension for
// workflows: to submit, abort or query a run.
func (n *Node) performWorkflowRequest(request schedules.WorkflowRequest) schedules.WorkflowResult {
	if n.workflows == nil {
		return schedules.WorkflowResult{Status: http.StatusUnprocessableEntity, Error: "workflows are not switched on"}
	}
	query := workflow.Request{Kind: workflow.Query, ID: request.Run}
	if request.Body != nil {
		query = workflow.Request{Kind: workflow.Submit, Body: request.Body}
	} else if request.Abort {
		query.Kind = workflow.Abort
	}
	a, ok := n.workflows.HandleRequest(query, coreRequestTimeout)
	if !ok {
		a.Status = http.StatusServiceUnavailable
	}
	return schedules.WorkflowResult{Status: a.Status, IsOver: a.State.IsFinal(), Error: a.Error}
}

// HandleRequest carries out an operator's request and waits for the response. It
// returns false if the extension does not respond in time.
func (s *scheduleRunner) HandleRequest(q schedules.Request) (schedules.Response, bool) {
	return s.awaitResponse(adminTimeout, func(now scheduler.Now, id uint64) { s.host.HandleRequest(now, id, q) })
}

var scheduleEventsDesc = prometheus.NewDesc(
	"grebedock_schedule_events_total",
	"Moments of schedules that this member decided, runs and skips among them, and shards whose schedules it read.",
	[]string{"event"},
	nil,
)

func (s *scheduleRunner) counters() []counterSample {
	c := s.host.Counters
	return []counterSample{
		{scheduleEventsDesc, "decided", c.Decided},
		{scheduleEventsDesc, "run", c.Runs},
		{scheduleEventsDesc, "skipped", c.Skipped},
		{scheduleEventsDesc, "loaded", c.Loaded},
	}
}
