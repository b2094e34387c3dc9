package workflow

import (
	"errors"
	"fmt"

	"github.com/grebedock/grebedock/cwl"
	"github.com/grebedock/grebedock/scheduler"
)

// phase is what a call waits for.
type phase int

// The phases of a call. A call goes back to pending or running where an answer
// is missing or says so.
const (
	pending    phase = iota // to be looked at: submitted, asked about, or read
	submitting              // its description, then its submission, is under way
	running                 // its job runs
	querying                // how its job stands is asked
	reading                 // the outputs of its job are read
	cancelling              // its job is being cancelled
)

// callState is a call's job.
type callState struct {
	*Call
	job     string
	phase   phase
	ended   bool // its job is done
	retryAt int64
}

func (d *driven) adopt(calls []*Call) {
	for _, c := range calls {
		if d.calls[c.Path] == nil {
			d.calls[c.Path] = &callState{Call: c, phase: pending, job: jobID(d.id, c.Path, d.rec.First, d.numbers)}
		}
	}
}

// stepCall goes on with a call. Its job may have been submitted before, by this
// member or another: the id says so, and the answer tells how far it is.
func (h *Host) stepCall(d *driven, c *callState) {
	switch c.phase {
	case pending:
		switch {
		case c.ended || d.known[c.Path]:
			h.read(d, c)
		case d.ending():
			h.query(d, c)
		default:
			h.describe(d, c)
		}
	case running:
		switch {
		case d.ending():
			h.cancel(d, c)
		case h.over[c.job]:
			delete(h.over, c.job) // one question an end
			h.query(d, c)
		}
	}
}

// still tells whether an answer that comes now finds what asked for it.
func (h *Host) still(d *driven, c *callState) bool { return h.runs[d.id] == d && d.calls[c.Path] == c }

// later has a call looked at again in some seconds.
func (h *Host) later(c *callState, p phase, s int) {
	c.phase, c.retryAt = p, h.Now.Steady+int64(max(s, 1))*1000
}

// describe writes what the workers are to run, then submits the job.
func (h *Host) describe(d *driven, c *callState) {
	job, err := h.job(d, c)
	if err != nil {
		h.failCall(d, c, err)
		return
	}
	c.phase = submitting
	h.Request(Data{Job: c.job, Description: Describe(c.Call)}, func(r DataResult) {
		if !h.still(d, c) {
			return
		}
		if r.Err != nil || d.ending() {
			h.later(c, pending, 1)
			return
		}
		h.submit(d, c, job)
	})
}

func (h *Host) submit(d *driven, c *callState, job *scheduler.Job) {
	token := h.view.Claims[d.rec.Shard]
	// Under the run's record and the shard's claim: a submission that the
	// network delivers late finds that the run was given up, or is driven by
	// somebody else, and is void.
	guards := []scheduler.Guard{{Key: liveKey(d.id), Rev: d.rev}, {Key: scheduler.ShardKey(d.rec.Shard), Rev: token}}
	h.AskCore(scheduler.UserRequest{Kind: scheduler.Submit, ID: c.job, Job: job, Guards: guards}, func(a scheduler.UserAnswer) {
		if !h.still(d, c) {
			return
		}
		switch {
		case a.Status == 201:
			h.Counters.Jobs++
			c.phase = running
		case a.Status == 200 && a.Run != d.id:
			h.failCall(d, c, fmt.Errorf("the job id %s is taken", c.job))
		case a.Status == 200:
			h.settle(d, c, a)
		case a.Status == 400 || a.Status == 422:
			h.failCall(d, c, errors.New(a.Error))
		default:
			h.later(c, pending, a.RetryS)
		}
	})
}

// query asks how a call's job ended.
func (h *Host) query(d *driven, c *callState) {
	c.phase = querying
	h.AskCore(scheduler.UserRequest{Kind: scheduler.Query, ID: c.job}, func(a scheduler.UserAnswer) {
		if !h.still(d, c) {
			return
		}
		switch {
		case a.Status == 200 && a.Run == d.id:
			h.settle(d, c, a)
		case a.Status == 200 || a.Status == 404:
			if d.ending() {
				delete(d.calls, c.Path) // never started, and now it cannot be
				return
			}
			h.later(c, pending, 1)
		default:
			h.later(c, running, a.RetryS)
		}
	})
}

// settle takes what is known of a call's job.
func (h *Host) settle(d *driven, c *callState, a scheduler.UserAnswer) {
	switch {
	case a.State == scheduler.Done:
		h.read(d, c)
	case a.State.Final() && a.Failed != "":
		h.failCall(d, c, errors.New(a.Failed))
	case a.State.Final():
		h.failCall(d, c, fmt.Errorf("its job %s was cancelled", c.job))
	default:
		c.phase = running
	}
}

func (h *Host) cancel(d *driven, c *callState) {
	c.phase = cancelling
	h.AskCore(scheduler.UserRequest{Kind: scheduler.Cancel, ID: c.job}, func(a scheduler.UserAnswer) {
		if !h.still(d, c) {
			return
		}
		switch {
		case a.Status == 200 && a.State.Final():
			h.settle(d, c, a)
		case a.Status == 404:
			delete(d.calls, c.Path)
		default:
			h.later(c, running, a.RetryS)
		}
	})
}

// read fetches the outputs of a call whose job is done.
func (h *Host) read(d *driven, c *callState) {
	c.phase = reading
	h.Request(Data{Job: c.job, Tasks: len(c.Inputs)}, func(r DataResult) {
		if !h.still(d, c) {
			return
		}
		switch {
		case r.Err != nil:
			c.ended = true
			h.later(c, pending, 1)
			return
		case r.Missing != "":
			h.failCall(d, c, errors.New(r.Missing))
			return
		}
		h.noted(d, c)
		d.run.Done(c.Path, r.Outputs)
		h.step(d)
	})
}

func (h *Host) noted(d *driven, c *callState) {
	delete(d.calls, c.Path)
	d.finished++
	if !d.known[c.Path] {
		d.known[c.Path] = true
		d.done = append(d.done, c.Path)
	}
}

func (h *Host) failCall(d *driven, c *callState, err error) {
	delete(d.calls, c.Path)
	d.finished++
	d.run.Fail(c.Path, err)
}

// defaults of jobs whose hints are silent.
const (
	defaultRetries   = 2
	defaultEstimateS = 60
)

var priorities = map[string]scheduler.Priority{"": scheduler.Normal, "low": scheduler.Low, "standard": scheduler.Normal, "high": scheduler.High, "production": scheduler.Production}

// job is the job that a call becomes.
func (h *Host) job(d *driven, c *callState) (*scheduler.Job, error) {
	hint := c.Tool.Req.Job
	if hint == nil {
		hint = &cwl.JobHint{}
	}
	hint = hint.Under(d.sub.Job)
	j := &scheduler.Job{ID: c.job, Run: d.id, Class: hint.Class, Team: hint.Team, Kind: scheduler.Array, Priority: priorities[hint.Priority],
		Tasks: len(c.Inputs), Image: c.Tool.Req.Image, DeadlineS: hint.DeadlineS, EstimateS: hint.EstimateS, MaxErrors: defaultRetries + 1}
	if hint.Retries != nil {
		j.MaxErrors = *hint.Retries + 1
	}
	j.Once = hint.Once != nil && *hint.Once
	j.Spot = !j.Once
	if hint.Spot != nil {
		j.Spot = *hint.Spot
	}
	if j.EstimateS == 0 {
		j.EstimateS = defaultEstimateS
		if limit, err := cwl.Number(c.Tool.Req.TimeLimit, cwl.Scope{Inputs: c.Inputs[0]}, c.Tool.Req); err == nil && limit > 0 {
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
