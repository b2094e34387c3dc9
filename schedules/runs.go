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
	for _, d := range e.prog.Pending {
		if e.submitted[d.Job] {
			continue
		}
		h.submit(e, d)
	}
}

func (h *Host) submit(e *entry, d Decision) {
	v := e.cur
	if e.old != nil && d.Version == e.old.Version {
		v = e.old
	}
	run := runName(e.name, d.At)
	if strings.HasPrefix(d.Job, "run-") && v.Spec.Workflow != nil {
		// No guards: a run that is decided is to be there, whoever submits it.
		h.Request(Flow{Run: d.Job, Body: v.Spec.submission(d.Job)}, func(r FlowResult) {
			h.submitted(e, d, r.Status, r.Status == 200 || r.Status == 201, r.Error)
		})
		return
	}
	guards := []scheduler.Guard{{Key: scheduler.ShardKey(e.shard.name), Rev: e.shard.token}, {Key: defKey(e.shard.name, e.name), Rev: e.defRev}}
	h.AskCore(scheduler.UserRequest{Kind: scheduler.Submit, ID: d.Job, Job: v.Spec.job(d.Job, run), Guards: guards}, func(a scheduler.UserAnswer) {
		h.submitted(e, d, a.Status, a.Status == 201 || a.Status == 200 && a.Run == run, a.Error)
	})
}

// submitted takes the answer to a run's submission.
func (h *Host) submitted(e *entry, d Decision, status int, ok bool, why string) {
	if h.shards[e.shard.name] != e.shard || e.shard.entries[e.name] != e || !e.pending(d.Job) {
		return
	}
	switch {
	case ok:
		e.submitted[d.Job] = true
		if status == 201 {
			h.Log("run submitted", "schedule", e.name, "at", time.UnixMilli(d.At).UTC().Format(time.RFC3339), "job", d.Job, "why", d.Why)
		}
	case status == 200 || status == 400 || status == 422:
		e.submitted[d.Job] = true
		h.Log("run refused", "schedule", e.name, "job", d.Job, "error", join(why, fmt.Sprint(status)))
	case !e.busy:
		// No answer, or the claim or the definition changed.
		h.again(e)
	}
}

// Flow is a request to whoever runs workflows: to submit a run, to ask about it,
// or to cancel it.
type Flow struct {
	Run   string
	Body  []byte // a submission's
	Abort bool
}

// FlowResult answers a Flow.
type FlowResult struct {
	Status int
	Over   bool // the run has ended
	Error  string
}
