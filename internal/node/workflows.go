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
	*runner[workflow.Data, workflow.DataResult, workflow.Answer]
	dir  toolrun.Dir
	host *workflow.Host
}

// Parts of the heap that a document may take: its text, and its values at some
// 500 bytes each while it is read, a quarter of the heap in all.
const (
	documentHeap = 64
	nodeHeap     = 2048
)

func newWorkflowRunner(n *Node, f *config.File, dir string) *workflowRunner {
	p := Params(f)
	heap := int(f.Cluster.Limits.Heap())
	host := workflow.NewHost(workflow.Params{
		Members: p.Members(), Teams: p.Teams, ValueBytes: p.ValueBytes, TxnOps: p.TxnOps, ReportS: p.ReportS,
		Limits: cwl.Limits{Bytes: heap / documentHeap, Nodes: heap / nodeHeap, Depth: cwl.DefaultLimits.Depth},
	})
	w := &workflowRunner{dir: toolrun.Dir(dir), host: host}
	w.runner = (&runner[workflow.Data, workflow.DataResult, workflow.Answer]{
		n: n, machine: host, mark: workflowRequests, prefix: workflow.LivePrefix, perform: w.data, counters: w.counters,
	}).ready()
	return w
}

// data carries out a request to the shared directory. Without one, tools are
// described to the workers by whoever submits, and report no outputs.
func (w *workflowRunner) data(d workflow.Data) workflow.DataResult {
	switch {
	case w.dir == "" && d.Description != nil:
		return workflow.DataResult{}
	case w.dir == "":
		r := workflow.DataResult{}
		for range d.Tasks {
			r.Outputs = append(r.Outputs, map[string]any{})
		}
		return r
	case d.Description != nil:
		return workflow.DataResult{Err: w.dir.Describe(d.Job, d.Description)}
	}
	return w.dir.Outputs(d.Job, d.Tasks)
}

// User asks the host on a user's behalf.
func (w *workflowRunner) User(r workflow.Request, patience time.Duration) (workflow.Answer, bool) {
	if a, ok := w.n.health.refuses(scheduler.UserRequest{Kind: scheduler.Submit}); ok && r.Kind == workflow.Submit {
		return workflow.Answer{Status: a.Status, Error: a.Error, RetryS: a.RetryS}, true
	}
	return w.ask(patience, func(now scheduler.Now, id uint64) { w.host.User(now, id, r) })
}

var (
	descRuns    = prometheus.NewDesc("grebedock_workflow_runs_total", "Workflow runs that this member accepted, loaded or ended.", []string{"event"}, nil)
	descRunJobs = prometheus.NewDesc("grebedock_workflow_jobs_total", "Jobs that this member submitted for workflow runs.", nil, nil)
)

func (w *workflowRunner) counters() []counter {
	c := w.host.Counters
	return []counter{
		{descRuns, "accepted", c.Accepted},
		{descRuns, "loaded", c.Loaded},
		{descRuns, "done", c.Finished},
		{descRuns, "failed", c.Failed},
		{descRuns, "cancelled", c.Cancelled},
		{descRunJobs, "", c.Jobs},
	}
}
