package schedules

import (
	"fmt"
	"strings"
	"time"

	"github.com/grebedock/grebedock/scheduler"
)

// submitPending submits the runs that are decided. Each may have been before:
// the id says so.
func (h *Host) submitPending(e *entry) {
	for _, d := range e.progress.Pending {
		if e.submitted[d.Job] {
			continue
		}
		h.submitRun(e, d)
	}
}

func (h *Host) submitRun(e *entry, d Decision) {
	v := e.current
	if e.previous != nil && d.Version == e.previous.Version {
		v = e.previous
	}
	run := runName(e.name, d.AtMS)
	if strings.HasPrefix(d.Job, "run-") && v.Spec.Workflow != nil {
		// No guards: a run that is decided is to be there, whoever submits it.
		h.SendRequest(WorkflowRequest{Run: d.Job, Body: v.Spec.encodeSubmission(d.Job)}, func(r WorkflowResult) {
			h.onSubmitted(e, d, r.Status, r.Status == 200 || r.Status == 201, r.Error)
		})
		return
	}
	preconditions := []scheduler.Precondition{
		{Key: scheduler.ClaimKey(e.shard.name), Revision: e.shard.token},
		{Key: definitionKey(e.shard.name, e.name), Revision: e.definitionRev},
	}
	h.SendCore(
		scheduler.UserRequest{
			Kind:          scheduler.SubmitJob,
			ID:            d.Job,
			Job:           v.Spec.buildJob(d.Job, run),
			Preconditions: preconditions,
		},
		func(a scheduler.UserResponse) {
			h.onSubmitted(e, d, a.Status, a.Status == 201 || a.Status == 200 && a.WorkflowRun == run, a.Error)
		},
	)
}

// onSubmitted takes the answer to a run's submission.
func (h *Host) onSubmitted(e *entry, d Decision, status int, ok bool, reason string) {
	if h.shards[e.shard.name] != e.shard || e.shard.entries[e.name] != e || !e.isPending(d.Job) {
		return
	}
	switch {
	case ok:
		e.submitted[d.Job] = true
		if status == 201 {
			h.Log(
				"run submitted",
				"schedule",
				e.name,
				"at",
				time.UnixMilli(d.AtMS).UTC().Format(time.RFC3339),
				"job",
				d.Job,
				"why",
				d.Reason,
			)
		}
	case status == 200 || status == 400 || status == 422:
		e.submitted[d.Job] = true
		h.Log("run refused", "schedule", e.name, "job", d.Job, "error", joinReasons(reason, fmt.Sprint(status)))
	case !e.busy:
		// No answer, or the claim or the definition changed.
		h.retryLater(e)
	}
}

// WorkflowRequest is a request to whoever runs workflows: to submit a run, to ask about it,
// or to cancel it.
type WorkflowRequest struct {
	Run   string
	Body  []byte // a submission's
	Abort bool
}

// WorkflowResult answers a Flow.
type WorkflowResult struct {
	Status int
	IsOver bool // the run has ended
	Error  string
}
