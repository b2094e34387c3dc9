package history

import (
	"flag"
	"testing"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"github.com/grebedock/grebedock/scheduler"
)

func init() {
	// The same inputs every time, so that the verdict is the same.
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

const (
	submit, query, cancel = scheduler.SubmitJob, scheduler.QueryJob, scheduler.CancelJob
	pending, running      = scheduler.Pending, scheduler.Running
	isDone, isCancelled   = scheduler.Done, scheduler.Cancelled
)

func operation(call, ret int64, kind scheduler.UserRequestKind, status int, s scheduler.JobState) Op {
	return Op{Job: "job-1", Kind: kind, Call: call, Return: ret, Status: status, State: s}
}

// What a member may never tell is found, and what it may is not.
func TestContradictoryHistoryIsReported(t *testing.T) {
	for name, c := range map[string]struct {
		ops             []Op
		expectViolation bool
	}{
		"forgotten":                           {[]Op{operation(1, 2, submit, 201, pending), operation(3, 4, query, 404, "")}, true},
		"asked while accepted":                {[]Op{operation(1, 4, submit, 201, pending), operation(2, 3, query, 404, "")}, false},
		"invented":                            {[]Op{operation(1, 2, query, 200, pending)}, true},
		"accepted late":                       {[]Op{operation(1, 2, submit, 0, ""), operation(3, 4, query, 404, ""), operation(5, 6, query, 200, running)}, false},
		"gone after late":                     {[]Op{operation(1, 2, submit, 0, ""), operation(3, 4, query, 200, running), operation(5, 6, query, 404, "")}, true},
		"accepted twice":                      {[]Op{operation(1, 2, submit, 201, pending), operation(3, 4, submit, 201, pending)}, true},
		"known":                               {[]Op{operation(1, 2, submit, 201, pending), operation(3, 4, submit, 200, running)}, false},
		"done, then running":                  {[]Op{operation(1, 2, submit, 201, pending), operation(3, 4, query, 200, isDone), operation(5, 6, query, 200, running)}, true},
		"done while asked":                    {[]Op{operation(1, 2, submit, 201, pending), operation(3, 6, query, 200, isDone), operation(4, 5, query, 200, running)}, false},
		"cancelled by nobody":                 {[]Op{operation(1, 2, submit, 201, pending), operation(3, 4, query, 200, isCancelled)}, true},
		"cancelled, then done":                {[]Op{operation(1, 2, submit, 201, pending), operation(3, 4, cancel, 200, isCancelled), operation(5, 6, query, 200, isDone)}, true},
		"cancelled late":                      {[]Op{operation(1, 2, submit, 201, pending), operation(3, 4, cancel, 0, ""), operation(5, 6, query, 200, running), operation(7, 8, query, 200, isCancelled)}, false},
		"submitted again, running after done": {[]Op{operation(1, 2, submit, 201, pending), operation(3, 4, query, 200, isDone), operation(5, 6, submit, 200, running)}, true},
		"submitted again, pending after cancelled": {[]Op{operation(1, 2, submit, 201, pending), operation(3, 4, cancel, 200, isCancelled), operation(5, 6, submit, 200, pending)}, true},
		"submitted again, 201 after 200":           {[]Op{operation(1, 2, submit, 0, ""), operation(3, 4, submit, 200, running), operation(5, 6, submit, 201, pending)}, true},
		"submitted again, 201 after done":          {[]Op{operation(1, 2, submit, 201, pending), operation(3, 4, query, 200, isDone), operation(5, 6, submit, 201, pending)}, true},
		"submitted again while it ends":            {[]Op{operation(1, 2, submit, 201, pending), operation(3, 8, submit, 200, running), operation(4, 5, query, 200, isDone)}, false},
		"submitted again, refused":                 {[]Op{operation(1, 2, submit, 201, pending), operation(3, 4, submit, 422, "")}, true},
		"accepted as done":                         {[]Op{operation(1, 2, submit, 201, isDone), operation(3, 4, query, 200, running)}, true},
		"no state":                                 {[]Op{operation(1, 2, submit, 201, pending), operation(3, 4, query, 200, "")}, true},
		"pending after running":                    {[]Op{operation(1, 2, submit, 201, pending), operation(3, 4, query, 200, running), operation(5, 6, query, 200, pending)}, false},
		"cancelled again, done":                    {[]Op{operation(1, 2, submit, 201, pending), operation(3, 4, cancel, 200, isCancelled), operation(5, 6, cancel, 200, isDone)}, true},
		"cancelled, unknown":                       {[]Op{operation(1, 2, submit, 201, pending), operation(3, 4, cancel, 200, isCancelled), operation(5, 6, cancel, 404, "")}, true},
		"cancel answers running":                   {[]Op{operation(1, 2, submit, 201, pending), operation(3, 4, cancel, 200, running)}, true},
		"cancelled before accepted":                {[]Op{operation(1, 2, submit, 201, pending), operation(3, 4, cancel, 404, "")}, true},
	} {
		v, err := Validate(c.ops, nil)
		if err != nil || len(v) > 0 != c.expectViolation {
			t.Errorf("%s: %v, %v", name, v, err)
		}
	}
	if v, _ := Validate([]Op{operation(1, 2, submit, 201, pending), operation(3, 4, query, 200, isCancelled)}, func(string) bool { return true }); len(
		v,
	) > 0 {
		t.Errorf("a job that was given up: %v", v)
	}
}

// A service that does everything at once, at some time while it is asked, is
// never accused, however its answers overlap, are lost or come late; one that
// answers from an old state is.
func TestLinearizableServiceIsNotReported(t *testing.T) {
	violations := 0
	rapid.Check(t, func(t *rapid.T) {
		stale := rapid.Bool().Draw(t, "stale")
		now := int64(0)
		current, previous := absent, absent
		var ops []Op
		respond := func(k scheduler.UserRequestKind, s state) (int, scheduler.JobState) {
			st := map[state]scheduler.JobState{live: running, done: isDone, cancelled: isCancelled}[s]
			switch {
			case s == absent && k != submit:
				return 404, ""
			default:
				return 200, st
			}
		}
		for range rapid.IntRange(1, 25).Draw(t, "requests") {
			if current == live && rapid.IntRange(0, 9).Draw(t, "ends") == 0 {
				previous, current = current, done
			}
			now += 10
			k := rapid.SampledFrom([]scheduler.UserRequestKind{submit, query, query, cancel}).Draw(t, "kind")
			op := Op{
				Job:    "job-1",
				Kind:   k,
				Call:   now - rapid.Int64Range(0, 60).Draw(t, "call"),
				Return: now + 1 + rapid.Int64Range(0, 60).Draw(t, "return"),
			}
			op.Call = max(1, op.Call)*100 + int64(len(ops))
			op.Return = op.Return*100 + int64(len(ops))
			observed := current
			switch {
			case k == submit && current == absent:
				previous, current = current, live
				op.Status, op.State = 201, pending
			case k == cancel && current == live:
				previous, current = current, cancelled
				op.Status, op.State = 200, isCancelled
			default:
				if stale {
					observed = previous
				}
				op.Status, op.State = respond(k, observed)
				if k == cancel && observed == live {
					op.Status = 0
				}
				if k == submit && observed == absent {
					op.Status = 0
				}
			}
			if rapid.IntRange(0, 4).Draw(t, "lost") == 0 {
				op.Status, op.State = 0, ""
			}
			ops = append(ops, op)
		}
		v, err := Validate(ops, nil)
		if err != nil {
			t.Fatal(err)
		}
		if len(v) > 0 && !stale {
			t.Fatalf("accused: %v", v)
		}
		if len(v) > 0 {
			violations++
		}
	})
	if violations == 0 {
		t.Error("a service that answers from an old state is never accused")
	}
}

// What is left out changes no verdict: whatever was told of a job, with it and without it.
func TestRedundantOpsDoNotChangeVerdict(t *testing.T) {
	removed, verdicts := 0, map[porcupine.CheckResult]int{}
	rapid.Check(t, func(t *rapid.T) {
		ops := []Op{operation(1, 100, submit, 201, pending)}
		if rapid.Bool().Draw(t, "lost") {
			ops[0].Status, ops[0].State = 0, ""
		}
		states := []scheduler.JobState{running, running, isDone, isCancelled}
		for range rapid.IntRange(1, 9).Draw(t, "requests") {
			op := Op{
				Job:  "job-1",
				Kind: rapid.SampledFrom([]scheduler.UserRequestKind{submit, query, query, query, cancel}).Draw(t, "kind"),
			}
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
		cancelledBySystem := rapid.Bool().Draw(t, "given up")
		all := completePendingOps(ops)
		reduced := withoutRedundantOps(all)
		removed += len(all) - len(reduced)
		verdict := checkLinearizable(all, cancelledBySystem)
		verdicts[verdict]++
		if got := checkLinearizable(reduced, cancelledBySystem); got != verdict {
			t.Fatalf("%v with all of %v, %v with %v", verdict, all, got, reduced)
		}
	})
	if removed == 0 || verdicts[porcupine.Ok] == 0 || verdicts[porcupine.Illegal] == 0 {
		t.Errorf("%d left out, verdicts %v", removed, verdicts)
	}
	t.Logf("%d left out, verdicts %v", removed, verdicts)
}
