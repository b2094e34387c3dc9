package workflow

import (
	"encoding/json"
	"fmt"

	"github.com/grebedock/grebedock/cwl"
	"github.com/grebedock/grebedock/extension"
	"github.com/grebedock/grebedock/scheduler"
)

// Kind is what a user asks for.
type Kind int

// The requests of users.
const (
	Submit Kind = iota
	Query
	Abort
)

// Request is a user's request. Body is a submission's.
type Request struct {
	Kind Kind
	ID   string
	Body []byte
}

// Answer answers a user.
type Answer struct {
	Status  int            `json:"-"`
	RetryS  int            `json:"-"` // >0: when to come back
	ID      string         `json:"id,omitempty"`
	State   State          `json:"state,omitempty"`
	Error   string         `json:"error,omitempty"`
	Outputs map[string]any `json:"outputs,omitempty"`
	Steps   []Step         `json:"steps,omitempty"`
}

// Step is how far a call of a run is.
type Step struct {
	Step  string `json:"step"`
	State string `json:"state"`
	Job   string `json:"job"`
	Tasks int    `json:"tasks,omitempty"`
}

// stepBytes bounds the steps of an answer: a line to users has at most 64 KiB,
// and a run's error and outputs take some of it.
const stepBytes = 32 << 10

func unavailable(id, why string) Answer { return Answer{Status: 503, ID: id, Error: why, RetryS: 1} }

// User takes a user's request; reply names it in the outputs' answers.
func (h *Host) User(now scheduler.Now, reply uint64, r Request) {
	h.Now = now
	if r.Kind != Submit && !runID.MatchString(r.ID) {
		h.Reply(reply, Answer{Status: 404, Error: "no such run"})
		return
	}
	switch r.Kind {
	case Submit:
		h.accept(reply, r.Body)
	case Query:
		h.lookup(r.ID, true, func(a Answer, _ *scheduler.Item) { h.Reply(reply, a) })
	case Abort:
		h.abort(reply, r.ID, 3)
	}
}

// lookup asks the store for a run: the live record first, then the final one, in
// the order in which a run moves. The live record is handed on where it is one.
func (h *Host) lookup(id string, steps bool, done func(Answer, *scheduler.Item)) {
	h.Get(scheduler.Reads, liveKey(id), func(it scheduler.Item, ok bool) {
		var rec liveRecord
		switch {
		case !ok:
			done(unavailable(id, "state service unavailable"), nil)
		case it.Rev == 0:
			h.lookupFinal(id, func(a Answer) { done(a, nil) })
		case json.Unmarshal(it.Value, &rec) != nil:
			done(unavailable(id, "record unreadable"), nil)
		default:
			a := Answer{Status: 200, ID: id, State: rec.State, Error: rec.Error}
			if steps {
				h.addSteps(&a)
			}
			done(a, &it)
		}
	})
}

// lookupFinal asks the store for the final answer of a run.
func (h *Host) lookupFinal(id string, done func(Answer)) {
	h.Get(scheduler.Reads, finalKey(id), func(it scheduler.Item, ok bool) {
		var f finalRecord
		switch {
		case !ok:
			done(unavailable(id, "state service unavailable"))
		case it.Rev == 0:
			done(Answer{Status: 404, ID: id, Error: "no such run"})
		case json.Unmarshal(it.Value, &f) != nil:
			done(unavailable(id, "record unreadable"))
		default:
			done(Answer{Status: 200, ID: id, State: f.State, Error: f.Error, Outputs: f.Outputs})
		}
	})
}

// addSteps tells of the steps of a run that this member drives; others know only
// that it lives.
func (h *Host) addSteps(a *Answer) {
	d := h.runs[a.ID]
	if d == nil {
		return
	}
	for _, p := range d.done {
		a.Steps = append(a.Steps, Step{Step: p, State: "done", Job: jobID(d.id, p, d.rec.First, d.numbers)})
	}
	for _, p := range sortedKeys(d.calls) {
		c := d.calls[p]
		state := "waiting"
		if c.phase == running || c.phase == querying || c.phase == reading {
			state = "running"
		}
		if d.ending() {
			state = "stopping"
		}
		a.Steps = append(a.Steps, Step{Step: p, State: state, Job: c.job, Tasks: len(c.Inputs)})
	}
	// The newest that fit: a line to users has a bound, and paths may be long.
	from, size := len(a.Steps), 0
	for from > 0 && size+len(extension.Encode(a.Steps[from-1])) < stepBytes {
		from--
		size += len(extension.Encode(a.Steps[from])) + 1
	}
	a.Steps = a.Steps[from:]
}

// accept takes a submission: everything about it is checked before anything is
// stored.
func (h *Host) accept(reply uint64, body []byte) {
	var s Submission
	if err := decode(body, &s); err != nil {
		h.Reply(reply, Answer{Status: 400, Error: "the body is not a submission: " + err.Error()})
		return
	}
	if !runID.MatchString(s.ID) {
		h.Reply(reply, Answer{Status: 400, Error: "id is missing or no run id: 1 to 63 of a-z, 0-9 and -"})
		return
	}
	refuse := func(a Answer) {
		// A repeated submission of a known run is welcome whatever its body
		// says now.
		h.lookup(s.ID, false, func(known Answer, _ *scheduler.Item) {
			if known.Status == 404 {
				known = a
			}
			h.Reply(reply, known)
		})
	}
	rec := liveRecord{Shard: extension.ShardOf(h.p.Members, s.ID), State: Running, Accepted: h.Now.Wall}
	status, err := h.check(&s, &rec)
	if err != nil {
		refuse(Answer{Status: status, ID: s.ID, Error: err.Error()})
		return
	}
	values, err := pages(&s, h.p.ValueBytes)
	if err == nil && len(values)+1 > h.p.TxnOps {
		err = fmt.Errorf("document and inputs take %d values of the state service, more than %d", len(values), h.p.TxnOps-1)
	}
	if err != nil {
		refuse(Answer{Status: 400, ID: s.ID, Error: err.Error()})
		return
	}
	rec.Pages = len(values)
	changes := []scheduler.Change{{Key: liveKey(s.ID), Value: extension.Encode(rec)}}
	for i, v := range values {
		changes = append(changes, scheduler.Change{Key: pageKey(s.ID, "d", i), Value: v})
	}
	h.Ask(scheduler.StoreOp{Kind: scheduler.StoreTxn, Urgency: scheduler.Answers, Guards: []scheduler.Guard{{Key: liveKey(s.ID)}, {Key: finalKey(s.ID)}}, Changes: changes},
		func(r scheduler.StoreResult) {
			switch r.Outcome {
			case scheduler.OK:
				h.Counters.Accepted++
				h.Reply(reply, Answer{Status: 201, ID: s.ID, State: Running})
			case scheduler.Conflict, scheduler.Unknown:
				h.lookup(s.ID, false, func(a Answer, _ *scheduler.Item) {
					if a.Status == 404 {
						a = unavailable(s.ID, "not stored yet")
					}
					h.Reply(reply, a)
				})
			default:
				h.Reply(reply, unavailable(s.ID, "state service unavailable"))
			}
		})
}

// check reads a submission's document and inputs as a run of it would.
func (h *Host) check(s *Submission, rec *liveRecord) (status int, err error) {
	p, err := s.load(h.p.Limits)
	if err != nil {
		return 400, err
	}
	if _, err := p.CheckInputs(s.Inputs); err != nil {
		return 400, err
	}
	if s.Job != nil {
		if _, ok := priorities[s.Job.Priority]; !ok {
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
		hint = hint.Under(s.Job)
		if _, ok := h.p.Teams[hint.Team]; !ok {
			status, err = 422, fmt.Errorf("%s: unknown team %q: a step's hint or the submission's job names one", p.Pos, hint.Team)
		}
	})
	if err != nil {
		return status, err
	}
	if s.Jobs != nil {
		numbers := map[string]int{}
		if err := number(p, "", numbers); err != nil {
			return 400, err
		}
		if s.Jobs.First < 1 || s.Jobs.Count < len(numbers) {
			return 400, fmt.Errorf("jobs: the run has %d jobs, %d ids from %d on are reserved", len(numbers), s.Jobs.Count, s.Jobs.First)
		}
		rec.First = s.Jobs.First
	}
	return 0, nil
}

// abort decides that a run ends as cancelled. Its jobs are stopped by whoever
// drives it.
func (h *Host) abort(reply uint64, id string, tries int) {
	h.lookup(id, false, func(a Answer, it *scheduler.Item) {
		if it == nil || a.State != Running {
			h.Reply(reply, a)
			return
		}
		var rec liveRecord
		if err := json.Unmarshal(it.Value, &rec); err != nil {
			h.Reply(reply, unavailable(id, "record unreadable"))
			return
		}
		rec.State = Cancelling
		h.Ask(scheduler.StoreOp{Kind: scheduler.StoreTxn, Urgency: scheduler.Answers, Guards: []scheduler.Guard{{Key: liveKey(id), Rev: it.Rev}, {Key: finalKey(id)}},
			Changes: []scheduler.Change{{Key: liveKey(id), Value: extension.Encode(rec)}}}, func(r scheduler.StoreResult) {
			switch {
			case r.Outcome == scheduler.OK:
				h.Log("run cancelled", "run", id)
				h.Reply(reply, Answer{Status: 200, ID: id, State: Cancelling})
			case (r.Outcome == scheduler.Conflict || r.Outcome == scheduler.Unknown) && tries > 0:
				h.abort(reply, id, tries-1)
			default:
				h.Reply(reply, unavailable(id, "state service unavailable"))
			}
		})
	})
}
