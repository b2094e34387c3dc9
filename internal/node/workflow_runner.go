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

// workflowRunner runs the host of workflows.
type workflowRunner struct {
	*extensionRunner[workflow.Data, workflow.DataResult, workflow.Response]
	dir  toolrun.Dir
	host *workflow.Host
}

// Parts of the heap that a document may take: its text, and its values at some
// 500 bytes each while it is read, a quarter of the heap in all.
const (
	documentHeapDivisor = 64
	nodeHeapDivisor     = 2048
)

func newWorkflowRunner(n *Node, settings *config.File, dir string) *workflowRunner {
	p := Params(settings)
	heap := int(settings.Cluster.Limits.HeapBytes())
	host := workflow.NewHost(workflow.Params{
		Members: p.MemberIDs(), Teams: p.Teams, ValueBytes: p.MaxValueBytes, TxnOps: p.MaxTxnOps, HeartbeatS: p.HeartbeatS,
		Limits: cwl.Limits{Bytes: heap / documentHeapDivisor, Nodes: heap / nodeHeapDivisor, Depth: cwl.DefaultLimits.Depth},
	})
	w := &workflowRunner{dir: toolrun.Dir(dir), host: host}
	w.extensionRunner = (&extensionRunner[workflow.Data, workflow.DataResult, workflow.Response]{
		node: n, machine: host, requestFlag: workflowRequestFlag, prefix: workflow.LivePrefix, perform: w.performDataRequest, counters: w.counters,
	}).initialize()
	return w
}

// performDataRequest carries out a request to the shared directory. Without one, tools are
// described to the workers by whoever submits, and report no outputs.
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

// HandleRequest asks the host on a user's behalf.
func (w *workflowRunner) HandleRequest(r workflow.Request, timeout time.Duration) (workflow.Response, bool) {
	if a, ok := w.node.health.rejectIfMemoryShort(scheduler.UserRequest{Kind: scheduler.SubmitJob}); ok &&
		r.Kind == workflow.Submit {
		return workflow.Response{Status: a.Status, Error: a.Error, RetryAfterS: a.RetryAfterS}, true
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
