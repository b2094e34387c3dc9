// Package history holds what users were told against what a service that keeps
// its word may tell: submissions, cancellations and questions about each job must
// fit one order in which each happens at once, between its asking and its answer.
package history

import (
	"fmt"
	"math"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/grebedock/grebedock/scheduler"
)

// Op is one request of a user. Call and Return are in any unit that orders them
// strictly. Without an answer, or with one that settles nothing (503), Status is
// 0: it may have been carried out, or may yet be.
type Op struct {
	Client       int
	Job          string
	Kind         scheduler.UserRequestKind
	Call, Return int64
	Status       int
	State        scheduler.JobState
}

// CancelledBySystem tells of a job whether it may end as cancelled though nobody asked.
type CancelledBySystem func(job string) bool

// state is a job as its users may know it.
type state int

const (
	absent state = iota
	live
	done
	cancelled
	invalid // no state of a job
)

// modelState is the state that an answer tells. Whether a live job is pending or running is no
// matter of order: tasks end, are lost and start again.
func modelState(s scheduler.JobState) state {
	switch s {
	case scheduler.Pending, scheduler.Running:
		return live
	case scheduler.Done:
		return done
	case scheduler.Cancelled:
		return cancelled
	}
	return invalid
}

type input struct {
	kind              scheduler.UserRequestKind
	cancelledBySystem bool
}

type output struct {
	status int
	state  state
}

// step is what a request with this answer can have met, and left. Tasks end at
// times of their own: a job that is live may be found done by any answer.
func step(s state, in input, out output) []any {
	found := out.status == 200 && in.kind != scheduler.CancelJob ||
		out.status == 200 && in.kind == scheduler.CancelJob && out.state != live
	switch {
	case out.status == 0 && in.kind == scheduler.SubmitJob && s == absent:
		return []any{absent, live}
	case out.status == 0 && in.kind == scheduler.CancelJob && s == live:
		return []any{live, cancelled}
	case out.status == 0:
		return []any{s}
	case out.status == 201 && in.kind == scheduler.SubmitJob && s == absent && out.state == live:
		return []any{live}
	case out.status == 404 && in.kind != scheduler.SubmitJob && s == absent:
		return []any{absent}
	case (out.status == 400 || out.status == 422) && in.kind == scheduler.SubmitJob && s == absent:
		return []any{absent}
	case found && s != absent && (s == out.state || s == live && out.state == done):
		return []any{out.state}
	case found && s == live && out.state == cancelled && (in.kind == scheduler.CancelJob || in.cancelledBySystem):
		return []any{cancelled}
	}
	return nil
}

var model = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{absent} },
	Step: func(s, in, out any) []any { return step(s.(state), in.(input), out.(output)) },
}).ToModel()

// Violation is a job whose users were told what no order of events explains.
type Violation struct {
	Job        string
	Operations []Op
}

func (v Violation) String() string {
	s := v.Job + ":"
	for _, op := range v.Operations {
		s += fmt.Sprintf(" [%d-%d %s %d %s]", op.Call, op.Return, kindNames[op.Kind], op.Status, op.State)
	}
	return s
}

var kindNames = map[scheduler.UserRequestKind]string{
	scheduler.SubmitJob: "submit",
	scheduler.QueryJob:  "query",
	scheduler.CancelJob: "cancel",
}

// checkTimeout bounds the check of one job. Histories of a job are short and have
// four states, so it is only there for what nobody foresaw.
const checkTimeout = 10 * time.Second

// Validate returns the jobs whose history fits no order, by job. cancelledBySystem may be
// nil.
func Validate(ops []Op, cancelledBySystem CancelledBySystem) ([]Violation, error) {
	var order []string
	byJob := map[string][]Op{}
	for _, op := range ops {
		if byJob[op.Job] == nil {
			order = append(order, op.Job)
		}
		byJob[op.Job] = append(byJob[op.Job], op)
	}
	var violations []Violation
	for _, job := range order {
		relevant := withoutRedundantOps(completePendingOps(byJob[job]))
		switch checkLinearizable(relevant, cancelledBySystem != nil && cancelledBySystem(job)) {
		case porcupine.Illegal:
			violations = append(violations, Violation{job, relevant})
		case porcupine.Unknown:
			return violations, fmt.Errorf("the history of %s takes longer than %v", job, checkTimeout)
		}
	}
	return violations, nil
}

// checkLinearizable tells whether there is an order of a job's requests that explains the answers.
func checkLinearizable(ops []Op, cancelledBySystem bool) porcupine.CheckResult {
	var operations []porcupine.Operation
	for _, op := range ops {
		operations = append(operations, porcupine.Operation{ClientId: op.Client, Call: op.Call, Return: op.Return,
			Input: input{op.Kind, cancelledBySystem}, Output: output{op.Status, modelState(op.State)}})
	}
	return porcupine.CheckOperationsTimeout(model, operations, checkTimeout)
}

// completePendingOps leaves out questions that had no answer, and lets submissions and
// cancellations without one last for ever: of each kind the first, which can
// do at any time what the later ones could. A submission that hears of a job as
// known may have stored it itself and then asked, if its write's outcome was
// not told: it is a submission that may have worked, and a question.
func completePendingOps(ops []Op) []Op {
	var out []Op
	first := map[scheduler.UserRequestKind]int{}
	for _, op := range ops {
		if op.Status == 200 && op.Kind == scheduler.SubmitJob {
			query := op
			query.Kind = scheduler.QueryJob
			op.Status = 0
			out = append(out, op, query)
			continue
		}
		if op.Status != 0 {
			out = append(out, op)
			continue
		}
		op.Return = math.MaxInt64
		if i, ok := first[op.Kind]; op.Kind == scheduler.QueryJob {
			continue
		} else if !ok {
			first[op.Kind] = len(out)
			out = append(out, op)
		} else if op.Call < out[i].Call {
			out[i] = op
		}
	}
	return out
}

// withoutRedundantOps leaves out what says no more than others do, so that crowds of requests that
// overlap have few orders to try: a question in whose time another one was asked and
// answered alike, which can stand next to it, and a submission that may have worked within
// the time of another one, which may have worked then too.
func withoutRedundantOps(ops []Op) []Op {
	within := func(a, b int) bool { // the time of a is within that of b
		x, y := ops[a], ops[b]
		same := x.Call == y.Call && x.Return == y.Return
		return x.Call >= y.Call && x.Return <= y.Return && (!same || a < b)
	}
	sameOutcome := func(a, b Op) bool {
		return a.Kind == b.Kind && a.Status == b.Status && modelState(a.State) == modelState(b.State)
	}
	var out []Op
	for i, op := range ops {
		needed := true
		for k, other := range ops {
			if i == k || !sameOutcome(op, other) {
				continue
			}
			if op.Kind == scheduler.QueryJob && op.Status != 0 && within(k, i) ||
				op.Kind == scheduler.SubmitJob && op.Status == 0 && within(i, k) {
				needed = false
				break
			}
		}
		if needed {
			out = append(out, op)
		}
	}
	return out
}
