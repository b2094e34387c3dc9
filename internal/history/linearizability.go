// Package history checks that the responses of a service to its users are linearizable. For each job, one order of its
// submissions, cancellations and queries must explain the responses, with each request taking effect atomically between
// its call and its return.
//
// The package has no state. It assumes that calls and returns are timestamps of one clock that orders them strictly. It
// guarantees to report a job only if no order explains its responses, whichever responses were lost, late or without a
// definite outcome. The check of a job that takes longer than checkTimeout ends with an error. Jobs are checked
// independently of each other, so a contradiction between the responses of two jobs is not detected.
//
// The states of a job, as its users can observe them, and the transitions between them:
//
//	absent     to live when submitted
//	live       to done when it ends by itself; to cancelled when a user or the system cancels it
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

// Op is one request of a user. Call and Return are timestamps in any unit that orders them strictly. Status is the HTTP
// status, or 0 if there was no response or one without a definite outcome (503). In that case, the request may have
// taken effect, or may do so later.
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

// state is the state of a job as its users can observe it.
type state int

const (
	absent state = iota
	live
	done
	cancelled
	invalid // state in a response that no job can have
)

// modelState returns the model's state for the state in a response. Pending and running are one state, because a job
// can go back from running to pending as its tasks end, are lost and start again.
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

// hasValidState reports whether a response is a valid statement of the job's state. A successful cancellation never
// returns a live job.
func hasValidState(in input, out output) bool {
	return out.status == 200 && (in.kind != scheduler.CancelJob || out.state != live)
}

// step returns the states in which a job can be after a request with this response, if it was in state s before. The
// result is empty if the response is impossible in state s. Tasks end independently of requests, so any response can be
// the first to show that a live job is done.
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
	if !hasValidState(in, out) {
		return nil
	}
	endedByItself := s == live && out.state == done
	wasCancelled := s == live && out.state == cancelled && (cancels || in.cancelledBySystem)
	if s == out.state || endedByItself || wasCancelled {
		return []any{out.state}
	}
	return nil
}

// stepWithoutOutcome is the variant of step for a request that may or may not have taken effect.
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

// Violation is a job whose responses no order of its requests explains.
type Violation struct {
	Job        string
	Operations []Op // the job's operations without the redundant ones, which do not change the verdict
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

// checkTimeout bounds the check of one job. It only guards against unforeseen cases: the history of a job is short and
// has four states.
const checkTimeout = 10 * time.Second

// Validate returns the jobs whose history is not linearizable, in the order of their first operations. A nil
// cancelledBySystem means that the system cancels no jobs. The error names the job whose check took longer than
// checkTimeout; Validate then also returns the violations found before it.
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

// checkLinearizable reports whether some order of a job's requests explains the responses.
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

// completePendingOps prepares the operations without an outcome. It omits queries. Submissions and cancellations are
// treated as if they never returned. Only the first call of each kind is kept, because it can take effect at any time
// at which the later ones could.
//
// A submission with status 200 (the job is already known) may have stored the job itself and then queried it, if the
// outcome of its write was unknown. It becomes a submission without an outcome and a query.
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

// withoutRedundantOps omits operations that do not constrain the order further than the others do. This leaves few
// orders to try when many requests overlap. Two kinds of operations are redundant. One is a query during which another
// query was called and returned with the same response: the order can have them next to each other. The other is a
// submission without an outcome that lies within another one, which can take effect at the same time.
func withoutRedundantOps(ops []Op) []Op {
	var out []Op
	for i := range ops {
		if !isRedundant(ops, i) {
			out = append(out, ops[i])
		}
	}
	return out
}

// isRedundant reports whether another operation constrains the order at least as much as the ith one.
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

// isWithin reports whether the ith operation is called and returns during the kth one. Of two operations with the same
// call and return, the first is within the second.
func isWithin(ops []Op, i, k int) bool {
	inner, outer := ops[i], ops[k]
	sameTime := inner.Call == outer.Call && inner.Return == outer.Return
	return inner.Call >= outer.Call && inner.Return <= outer.Return && (!sameTime || i < k)
}

func sameOutcome(a, b Op) bool {
	return a.Kind == b.Kind && a.Status == b.Status && modelState(a.State) == modelState(b.State)
}
