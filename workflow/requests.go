package workflow

import (
	"encoding/json"
	"fmt"

	"github.com/grebedock/grebedock/cwl"
	"github.com/grebedock/grebedock/extension"
	"github.com/grebedock/grebedock/scheduler"
)

// Kind is the kind of a user's request.
type Kind int

// The kinds of user requests.
const (
	Submit Kind = iota
	Query
	Abort
)

// Request is a user's request. Body is the body of a submission.
type Request struct {
	Kind Kind
	ID   string
	Body []byte
}

// Response is the response to a user's request.
type Response struct {
	Status      int            `json:"-"`
	RetryAfterS int            `json:"-"` // seconds until a retry, if > 0
	ID          string         `json:"id,omitempty"`
	State       State          `json:"state,omitempty"`
	Error       string         `json:"error,omitempty"`
	Outputs     map[string]any `json:"outputs,omitempty"`
	Steps       []Step         `json:"steps,omitempty"`
}

// Step is the progress of one call of a run.
type Step struct {
	Step  string `json:"step"`
	State string `json:"state"`
	Job   string `json:"job"`
	Tasks int    `json:"tasks,omitempty"`
}

// maxStepsBytes bounds the steps in a response. A response to a user has at most 64 KiB, and a run's
// error and outputs take part of that.
const maxStepsBytes = 32 << 10

func unavailable(id, reason string) Response {
	return Response{Status: 503, ID: id, Error: reason, RetryAfterS: 1}
}

// HandleRequest handles a user's request. The key of its response in Outputs.Responses is replyID.
func (h *Host) HandleRequest(now scheduler.Now, replyID uint64, r Request) {
	h.Now = now
	if r.Kind != Submit && !runIDPattern.MatchString(r.ID) {
		h.Respond(replyID, Response{Status: 404, Error: "no such run"})
		return
	}
	switch r.Kind {
	case Submit:
		h.accept(replyID, r.Body)
	case Query:
		h.readRun(r.ID, true, func(a Response, _ *scheduler.KeyValue) { h.Respond(replyID, a) })
	case Abort:
		h.abortRun(replyID, r.ID, 3)
	}
}

// readRun reads a run from the state service: the live record first, then the final one, because a
// run moves in this order. If there is a live record, onResponse gets it too.
func (h *Host) readRun(id string, steps bool, onResponse func(Response, *scheduler.KeyValue)) {
	h.Get(scheduler.UrgencyRead, liveKey(id), func(it scheduler.KeyValue, ok bool) {
		var rec liveRecord
		switch {
		case !ok:
			onResponse(unavailable(id, "state service unavailable"), nil)
		case it.Rev == 0:
			h.readFinalRecord(id, func(a Response) { onResponse(a, nil) })
		case json.Unmarshal(it.Value, &rec) != nil:
			onResponse(unavailable(id, "record unreadable"), nil)
		default:
			a := Response{Status: 200, ID: id, State: rec.State, Error: rec.Error}
			if steps {
				h.addSteps(&a)
			}
			onResponse(a, &it)
		}
	})
}

// readFinalRecord reads the final result of a run from the state service.
func (h *Host) readFinalRecord(id string, onResponse func(Response)) {
	h.Get(scheduler.UrgencyRead, finalKey(id), func(it scheduler.KeyValue, ok bool) {
		var f finalRecord
		switch {
		case !ok:
			onResponse(unavailable(id, "state service unavailable"))
		case it.Rev == 0:
			onResponse(Response{Status: 404, ID: id, Error: "no such run"})
		case json.Unmarshal(it.Value, &f) != nil:
			onResponse(unavailable(id, "record unreadable"))
		default:
			onResponse(Response{Status: 200, ID: id, State: f.State, Error: f.Error, Outputs: f.Outputs})
		}
	})
}

// addSteps adds the steps of a run that this member drives. Other members know only that the run is
// live.
func (h *Host) addSteps(a *Response) {
	d := h.runs[a.ID]
	if d == nil {
		return
	}
	for _, p := range d.donePaths {
		a.Steps = append(a.Steps, Step{
			Step:  p,
			State: "done",
			Job:   jobIDOf(d.id, p, d.record.FirstJobID, d.jobNumbers),
		})
	}
	for _, p := range sortedKeys(d.calls) {
		c := d.calls[p]
		state := "waiting"
		if c.phase == running || c.phase == querying || c.phase == reading {
			state = "running"
		}
		if d.isEnding() {
			state = "stopping"
		}
		a.Steps = append(a.Steps, Step{Step: p, State: state, Job: c.job, Tasks: len(c.Inputs)})
	}
	// Keep the newest steps that fit: the size of a response is bounded, and paths may be long.
	first, size := len(a.Steps), 0
	for first > 0 && size+len(extension.Encode(a.Steps[first-1])) < maxStepsBytes {
		first--
		size += len(extension.Encode(a.Steps[first])) + 1
	}
	a.Steps = a.Steps[first:]
}

// accept handles a submission. It validates the submission completely before it stores anything.
func (h *Host) accept(replyID uint64, body []byte) {
	var s Submission
	if err := decodeSubmission(body, &s); err != nil {
		h.Respond(replyID, Response{Status: 400, Error: "the body is not a submission: " + err.Error()})
		return
	}
	if !runIDPattern.MatchString(s.ID) {
		h.Respond(replyID, Response{Status: 400, Error: "id is missing or no run id: 1 to 63 of a-z, 0-9 and -"})
		return
	}
	rejectUnlessKnown := func(a Response) {
		// A repeated submission of a known run succeeds, whatever its body contains now.
		h.readRun(s.ID, false, func(known Response, _ *scheduler.KeyValue) {
			if known.Status == 404 {
				known = a
			}
			h.Respond(replyID, known)
		})
	}
	rec := liveRecord{Shard: extension.ShardOf(h.params.Members, s.ID), State: Running, AcceptedMS: h.Now.WallMS}
	status, err := h.validate(&s, &rec)
	if err != nil {
		rejectUnlessKnown(Response{Status: status, ID: s.ID, Error: err.Error()})
		return
	}
	values, err := encodePages(&s, h.params.ValueBytes)
	if err == nil && len(values)+1 > h.params.TxnOps {
		err = fmt.Errorf("document and inputs take %d values of the state service, more than %d",
			len(values), h.params.TxnOps-1)
	}
	if err != nil {
		rejectUnlessKnown(Response{Status: 400, ID: s.ID, Error: err.Error()})
		return
	}
	rec.Pages = len(values)
	h.writeSubmission(replyID, s.ID, rec, values)
}

// writeSubmission stores a run with the pages of its document and inputs, and responds once the
// state service has stored them.
func (h *Host) writeSubmission(replyID uint64, id string, rec liveRecord, pages []json.RawMessage) {
	changes := []scheduler.Change{{Key: liveKey(id), Value: extension.Encode(rec)}}
	for i, v := range pages {
		changes = append(changes, scheduler.Change{Key: pageKey(id, "d", i), Value: v})
	}
	op := scheduler.StoreOp{
		Kind:          scheduler.StoreTxn,
		Urgency:       scheduler.UrgencyUser,
		Preconditions: []scheduler.Precondition{{Key: liveKey(id)}, {Key: finalKey(id)}},
		Changes:       changes,
	}
	h.SendStore(op, func(r scheduler.StoreResult) {
		switch r.Outcome {
		case scheduler.OK:
			h.Counters.Accepted++
			h.Respond(replyID, Response{Status: 201, ID: id, State: Running})
		case scheduler.Conflict, scheduler.Unknown:
			h.readRun(id, false, func(a Response, _ *scheduler.KeyValue) {
				if a.Status == 404 {
					a = unavailable(id, "not stored yet")
				}
				h.Respond(replyID, a)
			})
		default:
			h.Respond(replyID, unavailable(id, "state service unavailable"))
		}
	})
}

// validate checks a submission's document and inputs as a run does, and sets the reserved job IDs in
// rec.
func (h *Host) validate(s *Submission, rec *liveRecord) (status int, err error) {
	p, err := s.loadDocument(h.params.Limits)
	if err != nil {
		return 400, err
	}
	if _, err := p.CheckInputs(s.Inputs); err != nil {
		return 400, err
	}
	if s.Job != nil {
		if _, ok := prioritiesByName[s.Job.Priority]; !ok {
			return 400, fmt.Errorf("job.priority: %q is none of low, standard, high, production", s.Job.Priority)
		}
	}
	p.Walk(func(p *cwl.Process) {
		if p.Class != cwl.Tool || err != nil {
			return
		}
		hint := p.Req.Job
		if hint == nil {
			hint = &cwl.JobHint{}
		}
		hint = hint.WithDefaults(s.Job)
		if _, ok := h.params.Teams[hint.Team]; !ok {
			status, err = 422, fmt.Errorf(
				"%s: unknown team %q: a step's hint or the submission's job names one",
				p.Pos,
				hint.Team,
			)
		}
	})
	if err != nil {
		return status, err
	}
	if s.Jobs != nil {
		numbers := map[string]int{}
		if err := numberTools(p, "", numbers); err != nil {
			return 400, err
		}
		if s.Jobs.First < 1 || s.Jobs.Count < len(numbers) {
			return 400, fmt.Errorf(
				"jobs: the run has %d jobs, %d ids from %d on are reserved",
				len(numbers),
				s.Jobs.Count,
				s.Jobs.First,
			)
		}
		rec.FirstJobID = s.Jobs.First
	}
	return 0, nil
}

// abortRun records that a run ends as cancelled. The member that drives the run cancels its jobs.
func (h *Host) abortRun(replyID uint64, id string, attempts int) {
	h.readRun(id, false, func(a Response, it *scheduler.KeyValue) {
		if it == nil || a.State != Running {
			h.Respond(replyID, a)
			return
		}
		var rec liveRecord
		if err := json.Unmarshal(it.Value, &rec); err != nil {
			h.Respond(replyID, unavailable(id, "record unreadable"))
			return
		}
		rec.State = Cancelling
		h.SendStore(
			scheduler.StoreOp{
				Kind:          scheduler.StoreTxn,
				Urgency:       scheduler.UrgencyUser,
				Preconditions: []scheduler.Precondition{{Key: liveKey(id), Revision: it.Rev}, {Key: finalKey(id)}},
				Changes:       []scheduler.Change{{Key: liveKey(id), Value: extension.Encode(rec)}},
			},
			func(r scheduler.StoreResult) {
				switch {
				case r.Outcome == scheduler.OK:
					h.Log("run cancellation requested", "run", id)
					h.Respond(replyID, Response{Status: 200, ID: id, State: Cancelling})
				case (r.Outcome == scheduler.Conflict || r.Outcome == scheduler.Unknown) && attempts > 0:
					h.abortRun(replyID, id, attempts-1)
				default:
					h.Respond(replyID, unavailable(id, "state service unavailable"))
				}
			},
		)
	})
}
