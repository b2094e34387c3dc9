package workflow

import (
	"errors"
	"fmt"

	"github.com/grebedock/grebedock/cwl"
	"github.com/grebedock/grebedock/scheduler"
)

// callPhase is the progress of a call's job.
type callPhase int

// The phases of a call. A call returns to pending or running if a request fails, or if the response
// requires another step.
const (
	pending    callPhase = iota // its submission, a query or a read of its outputs is due
	submitting                  // its description is written, then its job is submitted
	running                     // its job is live
	querying                    // the state of its job is queried
	reading                     // the outputs of its job are read
	cancelling                  // the cancellation of its job is requested
)

// callState is a call of an active run, with the progress of its job.
type callState struct {
	*Call
	job     string
	phase   callPhase
	jobDone bool  // its job is done, and only its outputs remain to be read
	retryAt int64 // monotonic time in ms; no step is taken before it
}

func (d *activeRun) addCalls(calls []*Call) {
	for _, c := range calls {
		if d.calls[c.Path] == nil {
			d.calls[c.Path] = &callState{
				Call:  c,
				phase: pending,
				job:   jobIDOf(d.id, c.Path, d.record.FirstJobID, d.jobNumbers),
			}
		}
	}
}

// advanceCall takes the next step of a call. This member or a previous owner of the shard may have
// submitted its job before. The second submission has the same ID, and its response has the job's
// state.
func (h *Host) advanceCall(d *activeRun, c *callState) {
	switch c.phase {
	case pending:
		switch {
		case c.jobDone || d.recordedDone[c.Path]:
			h.readOutputs(d, c)
		case d.isEnding():
			h.query(d, c)
		default:
			h.writeDescription(d, c)
		}
	case running:
		switch {
		case d.isEnding():
			h.cancel(d, c)
		case h.endedJobs[c.job]:
			delete(h.endedJobs, c.job) // one query for each reported end
			h.query(d, c)
		}
	}
}

// isCurrent reports whether the run and the call that sent a request are still active when its
// response arrives.
func (h *Host) isCurrent(d *activeRun, c *callState) bool {
	return h.runs[d.id] == d && d.calls[c.Path] == c
}

// retryLater sets the phase of a call and delays its next step by delayS seconds, at least 1 s.
func (h *Host) retryLater(c *callState, next callPhase, delayS int) {
	c.phase, c.retryAt = next, h.Now.MonotonicMS+int64(max(delayS, 1))*1000
}

// writeDescription writes the call's description for the workers, then submits its job.
func (h *Host) writeDescription(d *activeRun, c *callState) {
	job, err := h.buildJob(d, c)
	if err != nil {
		h.failCall(d, c, err)
		return
	}
	c.phase = submitting
	h.SendRequest(Data{Job: c.job, Description: EncodeDescription(c.Call)}, func(r DataResult) {
		if !h.isCurrent(d, c) {
			return
		}
		if r.Err != nil || d.isEnding() {
			h.retryLater(c, pending, 1)
			return
		}
		h.submit(d, c, job)
	})
}

func (h *Host) submit(d *activeRun, c *callState, job *scheduler.Job) {
	token := h.view.ClaimTokens[d.record.Shard]
	// The run's live record and the shard's claim are preconditions. They reject a submission that
	// the network delivers after the run failed, was cancelled or moved to another member.
	preconditions := []scheduler.Precondition{
		{Key: liveKey(d.id), Revision: d.revision},
		{Key: scheduler.ClaimKey(d.record.Shard), Revision: token},
	}
	h.SendCore(
		scheduler.UserRequest{Kind: scheduler.SubmitJob, ID: c.job, Job: job, Preconditions: preconditions},
		func(response scheduler.UserResponse) {
			if !h.isCurrent(d, c) {
				return
			}
			switch {
			case response.Status == 201:
				h.Counters.JobsSubmitted++
				c.phase = running
			case response.Status == 200 && response.WorkflowRun != d.id:
				h.failCall(d, c, fmt.Errorf("the job id %s is taken", c.job))
			case response.Status == 200:
				h.applyJobState(d, c, response)
			case response.Status == 400 || response.Status == 422:
				h.failCall(d, c, errors.New(response.Error))
			default:
				h.retryLater(c, pending, response.RetryAfterS)
			}
		},
	)
}

// query requests the state of a call's job.
func (h *Host) query(d *activeRun, c *callState) {
	c.phase = querying
	h.SendCore(scheduler.UserRequest{Kind: scheduler.QueryJob, ID: c.job}, func(a scheduler.UserResponse) {
		if !h.isCurrent(d, c) {
			return
		}
		switch {
		case a.Status == 200 && a.WorkflowRun == d.id:
			h.applyJobState(d, c, a)
		case a.Status == 200 || a.Status == 404:
			if d.isEnding() {
				delete(d.calls, c.Path) // never submitted; the preconditions reject a late submission
				return
			}
			h.retryLater(c, pending, 1)
		default:
			h.retryLater(c, running, a.RetryAfterS)
		}
	})
}

// applyJobState applies the state of a call's job from a response.
func (h *Host) applyJobState(d *activeRun, c *callState, a scheduler.UserResponse) {
	switch {
	case a.State == scheduler.Done:
		h.readOutputs(d, c)
	case a.State.IsTerminal() && a.FailureReason != "":
		h.failCall(d, c, errors.New(a.FailureReason))
	case a.State.IsTerminal():
		h.failCall(d, c, fmt.Errorf("its job %s was cancelled", c.job))
	default:
		c.phase = running
	}
}

func (h *Host) cancel(d *activeRun, c *callState) {
	c.phase = cancelling
	h.SendCore(scheduler.UserRequest{Kind: scheduler.CancelJob, ID: c.job}, func(a scheduler.UserResponse) {
		if !h.isCurrent(d, c) {
			return
		}
		switch {
		case a.Status == 200 && a.State.IsTerminal():
			h.applyJobState(d, c, a)
		case a.Status == 404:
			delete(d.calls, c.Path)
		default:
			h.retryLater(c, running, a.RetryAfterS)
		}
	})
}

// readOutputs reads the outputs of a call whose job is done, and completes the call.
func (h *Host) readOutputs(d *activeRun, c *callState) {
	c.phase = reading
	h.SendRequest(Data{Job: c.job, Tasks: len(c.Inputs)}, func(r DataResult) {
		if !h.isCurrent(d, c) {
			return
		}
		switch {
		case r.Err != nil:
			c.jobDone = true
			h.retryLater(c, pending, 1)
			return
		case r.Missing != "":
			h.failCall(d, c, errors.New(r.Missing))
			return
		}
		h.recordDone(d, c)
		d.evaluation.CompleteCall(c.Path, r.Outputs)
		h.advanceRun(d)
	})
}

func (h *Host) recordDone(d *activeRun, c *callState) {
	delete(d.calls, c.Path)
	d.finishedCalls++
	if !d.recordedDone[c.Path] {
		d.recordedDone[c.Path] = true
		d.donePaths = append(d.donePaths, c.Path)
	}
}

func (h *Host) failCall(d *activeRun, c *callState, err error) {
	delete(d.calls, c.Path)
	d.finishedCalls++
	d.evaluation.FailCall(c.Path, err)
}

// Defaults for jobs without hints.
const (
	defaultRetries   = 2
	defaultEstimateS = 60
)

var prioritiesByName = map[string]scheduler.Priority{
	"":           scheduler.Normal,
	"low":        scheduler.Low,
	"standard":   scheduler.Normal,
	"high":       scheduler.High,
	"production": scheduler.Production,
}

// buildJob returns the job that runs a call.
func (h *Host) buildJob(d *activeRun, c *callState) (*scheduler.Job, error) {
	hint := c.Tool.Req.Job
	if hint == nil {
		hint = &cwl.JobHint{}
	}
	hint = hint.WithDefaults(d.submission.Job)
	j := &scheduler.Job{
		ID:          c.job,
		WorkflowRun: d.id,
		Class:       hint.Class,
		Team:        hint.Team,
		Kind:        scheduler.Array,
		Priority:    prioritiesByName[hint.Priority],
		Tasks: len(
			c.Inputs,
		),
		Image:         c.Tool.Req.Image,
		DeadlineS:     hint.DeadlineS,
		EstimateS:     hint.EstimateS,
		MaxTaskErrors: defaultRetries + 1,
	}
	if hint.Retries != nil {
		j.MaxTaskErrors = *hint.Retries + 1
	}
	j.AtMostOnce = hint.Once != nil && *hint.Once
	j.Spot = !j.AtMostOnce
	if hint.Spot != nil {
		j.Spot = *hint.Spot
	}
	if j.EstimateS == 0 {
		j.EstimateS = defaultEstimateS
		if limit, err := cwl.Number(c.Tool.Req.TimeLimit, cwl.Scope{Inputs: c.Inputs[0]}, c.Tool.Req); err == nil &&
			limit > 0 {
			j.EstimateS = limit
		}
	}
	for i, in := range c.Inputs {
		r, err := c.Tool.Resources(in)
		if err != nil {
			return nil, err
		}
		j.Request.CPUs, j.Request.MemoryGB = max(j.Request.CPUs, r.CPUs), max(j.Request.MemoryGB, r.MemoryGB)
		if i == 0 && !c.Tool.ResourcesVary() {
			break
		}
	}
	j.Request.DiskGB = hint.ImageGB
	return j, nil
}
