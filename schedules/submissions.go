package schedules

import (
	"fmt"
	"strings"
	"time"

	"github.com/grebedock/grebedock/scheduler"
)

// submitPending submits the pending runs that are not marked as submitted. A run may have been submitted before;
// its ID makes the submission idempotent.
func (h *Host) submitPending(e *entry) {
	for _, d := range e.progress.Pending {
		if !e.submitted[d.Job] {
			h.submitRun(e, d)
		}
	}
}

func (h *Host) submitRun(e *entry, d Decision) {
	v := e.current
	if e.previous != nil && d.Version == e.previous.Version {
		v = e.previous
	}
	if strings.HasPrefix(d.Job, workflowRunPrefix) && v.Spec.Workflow != nil {
		// The request has no preconditions, because a decided run must exist whichever member submits it.
		request := WorkflowRequest{Run: d.Job, Body: v.Spec.encodeSubmission(d.Job)}
		h.SendRequest(request, func(r WorkflowResult) {
			accepted := r.Status == 200 || r.Status == 201
			h.onSubmitted(e, d, submissionResult{r.Status, accepted, r.Error})
		})
		return
	}
	run := runName(e.name, d.AtMS)
	request := scheduler.UserRequest{
		Kind: scheduler.SubmitJob,
		ID:   d.Job,
		Job:  v.Spec.buildJob(d.Job, run),
		Preconditions: []scheduler.Precondition{
			{Key: scheduler.ClaimKey(e.shard.name), Revision: e.shard.token},
			{Key: definitionKey(e.shard.name, e.name), Revision: e.definitionRev},
		},
	}
	h.SendCore(request, func(r scheduler.UserResponse) {
		accepted := r.Status == 201 || r.Status == 200 && r.WorkflowRun == run
		h.onSubmitted(e, d, submissionResult{r.Status, accepted, r.Error})
	})
}

// submissionResult is the response to a submission. A status of 200 with accepted false means that the ID
// belongs to another run.
type submissionResult struct {
	status   int
	accepted bool
	err      string
}

// onSubmitted handles the response to a run's submission.
func (h *Host) onSubmitted(e *entry, d Decision, r submissionResult) {
	if !h.owns(e) || !e.isPending(d.Job) {
		return
	}
	rejected := r.status == 200 || r.status == 400 || r.status == 422
	switch {
	case r.accepted:
		e.submitted[d.Job] = true
		if r.status == 201 {
			at := time.UnixMilli(d.AtMS).UTC().Format(time.RFC3339)
			h.Log("run submitted", "schedule", e.name, "at", at, "job", d.Job, "why", d.Reason)
		}
	case rejected:
		e.submitted[d.Job] = true
		h.Log("run rejected", "schedule", e.name, "job", d.Job, "error", joinReasons(r.err, fmt.Sprint(r.status)))
	case !e.inFlight: // no response, or the claim or the definition changed
		h.reloadLater(e)
	}
}

// WorkflowRequest is a request to the workflow extension. It submits a run if Body is set, aborts it if Abort is
// set, and queries it otherwise.
type WorkflowRequest struct {
	Run   string
	Body  []byte
	Abort bool
}

// WorkflowResult is the response to a WorkflowRequest. Status is an HTTP status code.
type WorkflowResult struct {
	Status int
	IsOver bool // the run has ended
	Error  string
}
