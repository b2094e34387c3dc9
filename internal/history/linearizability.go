// Package history checks that a service's answers to its users are linearizable: submissions, cancellations and queries
// of each job must fit one order in which each takes effect at once, between its call and its return.
//
// It owns nothing and keeps nothing between calls. It may assume that calls and returns are on one clock that orders
// them strictly. It promises to report a job only if no order explains its answers, whatever answers were lost, late or
// without a definite outcome, and to give up, with an error, on a job that takes longer than checkTimeout. Jobs are
// independent of each other, so it can't find a contradiction between two jobs' answers.
//
// A job's states, as its users may know them, and what takes it from one to the other:
//
//	absent     submitted: live
//	live       ends by itself: done; cancelled by a user, or by the system: cancelled
//	done       final
//	cancelled  final
package history

import (
	"fmt"
	"math"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/grebedock/grebedock/scheduler"
)

// Op is one request of a user. Call and Return are in any unit that orders them strictly. Status is the HTTP status, or
// 0 without an answer or with one of no definite outcome (503): the request may have been carried out, or may yet be.
type Op struct {
	Client       int
	Job          string
	Kind         scheduler.UserRequestKind
	Call, Return int64
	Status       int
	State        scheduler.JobState
}

// CancelledBySystem reports whether a job may end as cancelled though no user cancelled it.
type CancelledBySystem func(job string) bool

// state is a job as its users may know it.
type state int

const (
	absent state = iota
	live
	done
	cancelled
	invalid // an answer's state that no job has
)

// modelState is the state in an answer. Pending and running are one state: a job may go back from the latter to the
// former, as its tasks end, are lost and start again.
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

// answersState reports whether an answer states what the job's state is. To a cancellation, that is never a live job.
func answersState(in input, out output) bool {
	return out.status == 200 && (in.kind != scheduler.CancelJob || out.state != live)
}

// step returns the states in which a job can be after a request with this answer, if it was in state s before; none:
// the answer is impossible there. Tasks end at times of their own: any answer may be the first to find a live job done.
func step(s state, in input, out output) []any {
	if out.status == 0 {
		return stepWithoutOutcome(s, in)
	}
	submits, cancels := in.kind == scheduler.SubmitJob, in.kind == scheduler.CancelJob
	if s == absent {
		isAccepted := submits && out.status == 201 && out.state == live
		isRefused := submits && (out.status == 400 || out.status == 422)
		isUnknown := !submits && out.status == 404
		switch {
		case isAccepted:
			return []any{live}
		case isRefused, isUnknown:
			return []any{absent}
		}
		return nil
	}
	if !answersState(in, out) {
		return nil
	}
	endedByItself := s == live && out.state == done
	wasCancelled := s == live && out.state == cancelled && (cancels || in.cancelledBySystem)
	if s == out.state || endedByItself || wasCancelled {
		return []any{out.state}
	}
	return nil
}

// stepWithoutOutcome is step for a request that may have been carried out or not.
func stepWithoutOutcome(s state, in input) []any {
	switch {
	case in.kind == scheduler.SubmitJob && s == absent:
		return []any{absent, live}
	case in.kind == scheduler.CancelJob && s == live:
		return []any{live, cancelled}
	}
	return []any{s}
}

var model = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{absent} },
	Step: func(s, in, out any) []any { return step(s.(state), in.(input), out.(output)) },
}).ToModel()

// Violation is a job whose answers no order of events explains.
type Violation struct {
	Job        string
	Operations []Op // without those that change no verdict
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

// checkTimeout bounds the check of one job. Histories of a job are short and have four states, so it is there for the
// unforeseen alone.
const checkTimeout = 10 * time.Second

// Validate returns the jobs whose history fits no order, in the order of their first operations. cancelledBySystem may
// be nil: never. The error says which job's check took longer than checkTimeout; the violations found before it are
// returned too.
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

// checkLinearizable reports whether some order of a job's requests explains the answers.
func checkLinearizable(ops []Op, cancelledBySystem bool) porcupine.CheckResult {
	var operations []porcupine.Operation
	for _, op := range ops {
		operations = append(operations, porcupine.Operation{
			ClientId: op.Client,
			Call:     op.Call,
			Return:   op.Return,
			Input:    input{op.Kind, cancelledBySystem},
			Output:   output{op.Status, modelState(op.State)},
		})
	}
	return porcupine.CheckOperationsTimeout(model, operations, checkTimeout)
}

// completePendingOps prepares the operations without an outcome. Queries among them are left out. Submissions and
// cancellations never return: of each kind the first is kept, which can take effect at any time at which the later ones
// could. A submission that is answered with a known job (200) may have stored the job itself and then queried it, if
// its write was in doubt: it becomes a submission without an outcome and a query.
func completePendingOps(ops []Op) []Op {
	var out []Op
	first := map[scheduler.UserRequestKind]int{} // position in out
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
		if op.Kind == scheduler.QueryJob {
			continue
		}
		op.Return = math.MaxInt64
		i, ok := first[op.Kind]
		if !ok {
			first[op.Kind] = len(out)
			out = append(out, op)
		} else if op.Call < out[i].Call {
			out[i] = op
		}
	}
	return out
}

// withoutRedundantOps leaves out what constrains no more than others do, so that many requests that overlap have few
// orders to try: a query during which another one was called and answered alike, which can stand next to it, and a
// submission without an outcome during another one, which may have taken effect then too.
func withoutRedundantOps(ops []Op) []Op {
	var out []Op
	for i := range ops {
		if !isRedundant(ops, i) {
			out = append(out, ops[i])
		}
	}
	return out
}

// isRedundant reports whether another operation constrains the order as much as the ith does.
func isRedundant(ops []Op, i int) bool {
	op := ops[i]
	for k, other := range ops {
		if i == k || !sameOutcome(op, other) {
			continue
		}
		isAnsweredQuery := op.Kind == scheduler.QueryJob && op.Status != 0
		isPendingSubmission := op.Kind == scheduler.SubmitJob && op.Status == 0
		if isAnsweredQuery && isWithin(ops, k, i) || isPendingSubmission && isWithin(ops, i, k) {
			return true
		}
	}
	return false
}

// isWithin reports whether the ith operation is called and returns during the kth; of two at the same time, the first
// is within the second.
func isWithin(ops []Op, i, k int) bool {
	inner, outer := ops[i], ops[k]
	sameTime := inner.Call == outer.Call && inner.Return == outer.Return
	return inner.Call >= outer.Call && inner.Return <= outer.Return && (!sameTime || i < k)
}

func sameOutcome(a, b Op) bool {
	return a.Kind == b.Kind && a.Status == b.Status && modelState(a.State) == modelState(b.State)
}
