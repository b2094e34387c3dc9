package history

import (
	"flag"
	"testing"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"github.com/grebedock/grebedock/scheduler"
)

func init() {
	// A fixed seed generates the same inputs on each run, so the verdict is reproducible.
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

const (
	submit, query, cancel = scheduler.SubmitJob, scheduler.QueryJob, scheduler.CancelJob
	pending, running      = scheduler.Pending, scheduler.Running
	isDone, isCancelled   = scheduler.Done, scheduler.Cancelled
)

func operation(call, returned int64, kind scheduler.UserRequestKind, status int, s scheduler.JobState) Op {
	return Op{Job: "job-1", Kind: kind, Call: call, Return: returned, Status: status, State: s}
}

// historyCases are histories of one job. expectViolation is true if no order of the requests explains the history.
var historyCases = []struct {
	name            string
	ops             []Op
	expectViolation bool
}{
	{
		name: "unknown after accepted",
		ops: []Op{
			operation(1, 2, submit, 201, pending),
			operation(3, 4, query, 404, ""),
		},
		expectViolation: true,
	},
	{
		name: "queried while accepted",
		ops: []Op{
			operation(1, 4, submit, 201, pending),
			operation(2, 3, query, 404, ""),
		},
		expectViolation: false,
	},
	{
		name: "never submitted",
		ops: []Op{
			operation(1, 2, query, 200, pending),
		},
		expectViolation: true,
	},
	{
		name: "accepted late",
		ops: []Op{
			operation(1, 2, submit, 0, ""),
			operation(3, 4, query, 404, ""),
			operation(5, 6, query, 200, running),
		},
		expectViolation: false,
	},
	{
		name: "unknown after accepted late",
		ops: []Op{
			operation(1, 2, submit, 0, ""),
			operation(3, 4, query, 200, running),
			operation(5, 6, query, 404, ""),
		},
		expectViolation: true,
	},
	{
		name: "accepted twice",
		ops: []Op{
			operation(1, 2, submit, 201, pending),
			operation(3, 4, submit, 201, pending),
		},
		expectViolation: true,
	},
	{
		name: "submitted again, running",
		ops: []Op{
			operation(1, 2, submit, 201, pending),
			operation(3, 4, submit, 200, running),
		},
		expectViolation: false,
	},
	{
		name: "done, then running",
		ops: []Op{
			operation(1, 2, submit, 201, pending),
			operation(3, 4, query, 200, isDone),
			operation(5, 6, query, 200, running),
		},
		expectViolation: true,
	},
	{
		name: "done while queried",
		ops: []Op{
			operation(1, 2, submit, 201, pending),
			operation(3, 6, query, 200, isDone),
			operation(4, 5, query, 200, running),
		},
		expectViolation: false,
	},
	{
		name: "cancelled without a request",
		ops: []Op{
			operation(1, 2, submit, 201, pending),
			operation(3, 4, query, 200, isCancelled),
		},
		expectViolation: true,
	},
	{
		name: "cancelled, then done",
		ops: []Op{
			operation(1, 2, submit, 201, pending),
			operation(3, 4, cancel, 200, isCancelled),
			operation(5, 6, query, 200, isDone),
		},
		expectViolation: true,
	},
	{
		name: "cancelled late",
		ops: []Op{
			operation(1, 2, submit, 201, pending),
			operation(3, 4, cancel, 0, ""),
			operation(5, 6, query, 200, running),
			operation(7, 8, query, 200, isCancelled),
		},
		expectViolation: false,
	},
	{
		name: "submitted again, running after done",
		ops: []Op{
			operation(1, 2, submit, 201, pending),
			operation(3, 4, query, 200, isDone),
			operation(5, 6, submit, 200, running),
		},
		expectViolation: true,
	},
	{
		name: "submitted again, pending after cancelled",
		ops: []Op{
			operation(1, 2, submit, 201, pending),
			operation(3, 4, cancel, 200, isCancelled),
			operation(5, 6, submit, 200, pending),
		},
		expectViolation: true,
	},
	{
		name: "submitted again, 201 after 200",
		ops: []Op{
			operation(1, 2, submit, 0, ""),
			operation(3, 4, submit, 200, running),
			operation(5, 6, submit, 201, pending),
		},
		expectViolation: true,
	},
	{
		name: "submitted again, 201 after done",
		ops: []Op{
			operation(1, 2, submit, 201, pending),
			operation(3, 4, query, 200, isDone),
			operation(5, 6, submit, 201, pending),
		},
		expectViolation: true,
	},
	{
		name: "submitted again while it ends",
		ops: []Op{
			operation(1, 2, submit, 201, pending),
			operation(3, 8, submit, 200, running),
			operation(4, 5, query, 200, isDone),
		},
		expectViolation: false,
	},
	{
		name: "submitted again, refused",
		ops: []Op{
			operation(1, 2, submit, 201, pending),
			operation(3, 4, submit, 422, ""),
		},
		expectViolation: true,
	},
	{
		name: "accepted as done",
		ops: []Op{
			operation(1, 2, submit, 201, isDone),
			operation(3, 4, query, 200, running),
		},
		expectViolation: true,
	},
	{
		name: "answer without a state",
		ops: []Op{
			operation(1, 2, submit, 201, pending),
			operation(3, 4, query, 200, ""),
		},
		expectViolation: true,
	},
	{
		name: "pending after running",
		ops: []Op{
			operation(1, 2, submit, 201, pending),
			operation(3, 4, query, 200, running),
			operation(5, 6, query, 200, pending),
		},
		expectViolation: false,
	},
	{
		name: "cancelled again, answered with done",
		ops: []Op{
			operation(1, 2, submit, 201, pending),
			operation(3, 4, cancel, 200, isCancelled),
			operation(5, 6, cancel, 200, isDone),
		},
		expectViolation: true,
	},
	{
		name: "cancelled, then unknown",
		ops: []Op{
			operation(1, 2, submit, 201, pending),
			operation(3, 4, cancel, 200, isCancelled),
			operation(5, 6, cancel, 404, ""),
		},
		expectViolation: true,
	},
	{
		name: "cancellation answered with running",
		ops: []Op{
			operation(1, 2, submit, 201, pending),
			operation(3, 4, cancel, 200, running),
		},
		expectViolation: true,
	},
	{
		name: "cancelled before accepted",
		ops: []Op{
			operation(1, 2, submit, 201, pending),
			operation(3, 4, cancel, 404, ""),
		},
		expectViolation: true,
	},
}

func TestContradictoryHistoryIsReported(t *testing.T) {
	for _, c := range historyCases {
		t.Run(c.name, func(t *testing.T) {
			violations, err := Validate(c.ops, nil)
			if err != nil || len(violations) > 0 != c.expectViolation {
				t.Errorf("got violations %v, error %v, want a violation: %t", violations, err, c.expectViolation)
			}
		})
	}
}

func TestCancellationBySystemIsNotReported(t *testing.T) {
	ops := []Op{operation(1, 2, submit, 201, pending), operation(3, 4, query, 200, isCancelled)}
	violations, err := Validate(ops, func(string) bool { return true })
	if err != nil || len(violations) > 0 {
		t.Errorf("got violations %v, error %v, want none", violations, err)
	}
}

// generatedService is a service for one job that executes one request at a time. A stale service responds with the
// state before the last change.
type generatedService struct {
	current, previous state
	stale             bool
}

func (service *generatedService) set(s state) {
	service.previous, service.current = service.current, s
}

// serve executes a request and returns the response.
func (service *generatedService) serve(kind scheduler.UserRequestKind) (status int, jobState scheduler.JobState) {
	switch {
	case kind == submit && service.current == absent:
		service.set(live)
		return 201, pending
	case kind == cancel && service.current == live:
		service.set(cancelled)
		return 200, isCancelled
	}
	observed := service.current
	if service.stale {
		observed = service.previous
	}
	hasNoOutcome := kind == cancel && observed == live || kind == submit && observed == absent
	switch {
	case hasNoOutcome && observed == live:
		return 0, running
	case hasNoOutcome:
		return 0, ""
	case observed == absent:
		return 404, ""
	}
	states := map[state]scheduler.JobState{live: running, done: isDone, cancelled: isCancelled}
	return 200, states[observed]
}

// drawHistory draws requests to a service and its responses. Calls and returns are unique and lie before and after the
// time at which the service executes the request. Some responses are lost.
func drawHistory(t *rapid.T, service *generatedService) []Op {
	now := int64(0)
	var ops []Op
	for range rapid.IntRange(1, 25).Draw(t, "requests") {
		if service.current == live && rapid.IntRange(0, 9).Draw(t, "ends") == 0 {
			service.set(done)
		}
		now += 10
		kind := rapid.SampledFrom([]scheduler.UserRequestKind{submit, query, query, cancel}).Draw(t, "kind")
		op := Op{
			Job:    "job-1",
			Kind:   kind,
			Call:   now - rapid.Int64Range(0, 60).Draw(t, "call"),
			Return: now + 1 + rapid.Int64Range(0, 60).Draw(t, "return"),
		}
		op.Call = max(1, op.Call)*100 + int64(len(ops))
		op.Return = op.Return*100 + int64(len(ops))
		op.Status, op.State = service.serve(kind)
		if rapid.IntRange(0, 4).Draw(t, "lost") == 0 {
			op.Status, op.State = 0, ""
		}
		ops = append(ops, op)
	}
	return ops
}

// A service that executes each request atomically at some time between call and return must never be reported, even if
// requests overlap and responses are lost or late. A service that responds with a stale state must be reported.
func TestLinearizableServiceIsNotReported(t *testing.T) {
	reported := 0
	rapid.Check(t, func(t *rapid.T) {
		service := &generatedService{stale: rapid.Bool().Draw(t, "stale")}
		violations, err := Validate(drawHistory(t, service), nil)
		if err != nil {
			t.Fatal(err)
		}
		if len(violations) > 0 && !service.stale {
			t.Fatalf("got violations %v of a linearizable service, want none", violations)
		}
		if len(violations) > 0 {
			reported++
		}
	})
	if reported == 0 {
		t.Error("got no violations of services with a stale state, want at least one")
	}
}

// Omitting redundant operations must not change the verdict, whatever the responses are.
func TestRedundantOpsDoNotChangeVerdict(t *testing.T) {
	removed, verdicts := 0, map[porcupine.CheckResult]int{}
	rapid.Check(t, func(t *rapid.T) {
		ops := []Op{operation(1, 100, submit, 201, pending)}
		if rapid.Bool().Draw(t, "lost") {
			ops[0].Status, ops[0].State = 0, ""
		}
		states := []scheduler.JobState{running, running, isDone, isCancelled}
		for range rapid.IntRange(1, 9).Draw(t, "requests") {
			kinds := []scheduler.UserRequestKind{submit, query, query, query, cancel}
			op := Op{Job: "job-1", Kind: rapid.SampledFrom(kinds).Draw(t, "kind")}
			op.Call = rapid.Int64Range(1, 2000).Draw(t, "call")
			op.Return = op.Call + rapid.Int64Range(1, 1500).Draw(t, "length")
			op.Status, op.State = 200, rapid.SampledFrom(states).Draw(t, "state")
			if rapid.IntRange(0, 9).Draw(t, "unknown") == 0 {
				op.Status, op.State = 404, ""
			}
			if op.Kind == cancel && op.State == running || rapid.IntRange(0, 5).Draw(t, "unanswered") == 0 {
				op.Status, op.State = 0, ""
			}
			ops = append(ops, op)
		}
		cancelledBySystem := rapid.Bool().Draw(t, "cancelled by system")
		all := completePendingOps(ops)
		reduced := withoutRedundantOps(all)
		removed += len(all) - len(reduced)
		verdict := checkLinearizable(all, cancelledBySystem)
		verdicts[verdict]++
		if got := checkLinearizable(reduced, cancelledBySystem); got != verdict {
			t.Fatalf("got %v with reduced operations %v, want %v as with all of %v", got, reduced, verdict, all)
		}
	})
	if removed == 0 || verdicts[porcupine.Ok] == 0 || verdicts[porcupine.Illegal] == 0 {
		t.Errorf("got %d redundant operations and verdicts %v, want some of each", removed, verdicts)
	}
	t.Logf("%d redundant operations, verdicts %v", removed, verdicts)
}
