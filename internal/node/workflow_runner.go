package node

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/grebedock/grebedock/cwl"
	"github.com/grebedock/grebedock/internal/config"
	"github.com/grebedock/grebedock/internal/toolrun"
	"github.com/grebedock/grebedock/scheduler"
	"github.com/grebedock/grebedock/workflow"
)

// workflowRunner runs the extension for workflows.
type workflowRunner struct {
	*extensionRunner[workflow.Data, workflow.DataResult, workflow.Response]
	dir  toolrun.Dir // shared with the workers; "" if there is none
	host *workflow.Host
}

// Bounds on the heap that a document may use: a sixty-fourth for its text, and a
// quarter for its nodes, at about 500 bytes per node while it is parsed.
const (
	documentHeapDivisor = 64
	nodeHeapDivisor     = 2048
)

func newWorkflowRunner(n *Node, settings *config.File, dir string) *workflowRunner {
	p := Params(settings)
	heap := int(settings.Cluster.Limits.HeapBytes())
	host := workflow.NewHost(workflow.Params{
		Members:    p.MemberIDs(),
		Teams:      p.Teams,
		ValueBytes: p.MaxValueBytes,
		TxnOps:     p.MaxTxnOps,
		HeartbeatS: p.HeartbeatS,
		Limits: cwl.Limits{
			Bytes: heap / documentHeapDivisor,
			Nodes: heap / nodeHeapDivisor,
			Depth: cwl.DefaultLimits.Depth,
		},
	})
	w := &workflowRunner{dir: toolrun.Dir(dir), host: host}
	config := extensionConfig[workflow.Data, workflow.DataResult]{
		requestFlag: workflowRequestFlag,
		prefix:      workflow.LivePrefix,
		perform:     w.performDataRequest,
		counters:    w.counters,
	}
	w.extensionRunner = newExtensionRunner(n, host, config)
	return w
}

// performDataRequest carries out a request to the shared directory. Without a
// directory, no description is written, since the user who submits the workflow
// describes the tools to the workers, and every task has empty outputs.
func (w *workflowRunner) performDataRequest(request workflow.Data) workflow.DataResult {
	switch {
	case w.dir == "" && request.Description != nil:
		return workflow.DataResult{}
	case w.dir == "":
		r := workflow.DataResult{}
		for range request.Tasks {
			r.Outputs = append(r.Outputs, map[string]any{})
		}
		return r
	case request.Description != nil:
		return workflow.DataResult{Err: w.dir.WriteDescription(request.Job, request.Description)}
	}
	return w.dir.ReadOutputs(request.Job, request.Tasks)
}

// HandleRequest carries out a user's request and waits for the response. It
// returns false if the extension does not respond in time. Submissions are
// refused while memory is short.
func (w *workflowRunner) HandleRequest(r workflow.Request, timeout time.Duration) (workflow.Response, bool) {
	refusal, ok := w.node.health.rejectIfMemoryShort(scheduler.UserRequest{Kind: scheduler.SubmitJob})
	if ok && r.Kind == workflow.Submit {
		return workflow.Response{Status: refusal.Status, Error: refusal.Error, RetryAfterS: refusal.RetryAfterS}, true
	}
	return w.awaitResponse(timeout, func(now scheduler.Now, id uint64) { w.host.HandleRequest(now, id, r) })
}

var (
	runEventsDesc = prometheus.NewDesc(
		"grebedock_workflow_runs_total",
		"Workflow runs that this member accepted, loaded or ended.",
		[]string{"event"},
		nil,
	)
	runJobsDesc = prometheus.NewDesc(
		"grebedock_workflow_jobs_total",
		"Jobs that this member submitted for workflow runs.",
		nil,
		nil,
	)
)

func (w *workflowRunner) counters() []counterSample {
	c := w.host.Counters
	return []counterSample{
		{runEventsDesc, "accepted", c.Accepted},
		{runEventsDesc, "loaded", c.Loaded},
		{runEventsDesc, "done", c.Finished},
		{runEventsDesc, "failed", c.Failed},
		{runEventsDesc, "cancelled", c.Cancelled},
		{runJobsDesc, "", c.JobsSubmitted},
	}
}
