package workflow

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/grebedock/grebedock/cwl"
	"github.com/grebedock/grebedock/extension"
	"github.com/grebedock/grebedock/internal/platformfake"
	"github.com/grebedock/grebedock/scheduler"
)

// simulation simulates a state service, a core that runs jobs, and the members' hosts, with all
// faults that can occur between them.
type simulation struct {
	t                   testing.TB
	rng                 *rand.Rand
	now                 int64
	store               *platformfake.State
	members             []string
	hosts               map[string]*Host
	views               map[string]scheduler.ExtensionView // the last view of each member
	queue               []func()                           // requests and responses in progress, in any order
	delayed             []func()                           // requests that the network delivers much later
	jobs                map[string]*fakeJob
	descriptions        map[string][]byte // by job ID
	responses           map[uint64]Response
	nextID              uint64
	claims              map[string]uint64 // revision of each shard's claim
	created             int
	lostRequests        int // requests whose response or effect was lost
	ignorePreconditions bool
	faults              bool
	writes, bytes       int
}

type fakeJob struct {
	id, run     string
	description []byte
	state       scheduler.JobState
	failed      string
	outputs     []map[string]any
}

func newSimulation(t testing.TB, seed uint64, faults bool) *simulation {
	w := &simulation{
		t:            t,
		rng:          rand.New(rand.NewPCG(seed, 3)),
		store:        platformfake.NewState(),
		members:      []string{"m-0", "m-1", "m-2"},
		hosts:        map[string]*Host{},
		views:        map[string]scheduler.ExtensionView{},
		jobs:         map[string]*fakeJob{},
		descriptions: map[string][]byte{},
		responses:    map[uint64]Response{},
		claims:       map[string]uint64{},
		faults:       faults,
		nextID:       1,
	}
	for _, m := range w.members {
		w.startHost(m)
		w.claim(m, m)
	}
	return w
}

func (w *simulation) clock() scheduler.Now {
	return scheduler.Now{MonotonicMS: w.now, WallMS: w.now + 1e12}
}

func (w *simulation) startHost(m string) {
	w.hosts[m] = NewHost(
		Params{
			Members:    w.members,
			Teams:      map[string]scheduler.Team{"ops": {}},
			ValueBytes: 1024,
			TxnOps:     16,
			HeartbeatS: 1,
			Limits:     cwl.DefaultLimits,
		},
	)
	w.views[m] = scheduler.ExtensionView{}
}

func (w *simulation) applyTxn(
	preconditions []scheduler.Precondition,
	changes ...scheduler.Change,
) scheduler.StoreResult {
	r, _ := w.store.Apply(
		w.now,
		scheduler.StoreOp{Kind: scheduler.StoreTxn, Preconditions: preconditions, Changes: changes},
	)
	return r
}

// claim makes a member the owner of a shard. The previous owner sees the change only in its next
// view.
func (w *simulation) claim(shard, member string) {
	r := w.applyTxn(nil, scheduler.Change{Key: scheduler.ClaimKey(shard), Value: extension.Encode(member)})
	w.claims[shard] = r.Rev
}

// refreshView sets a member's view to the current state.
func (w *simulation) refreshView(m string) {
	v := scheduler.ExtensionView{HasAuthority: true, ClaimTokens: map[string]uint64{}}
	for s, rev := range w.claims {
		var owner string
		_ = json.Unmarshal(w.store.Value(scheduler.ClaimKey(s)), &owner)
		if owner == m {
			v.ClaimTokens[s] = rev
		}
	}
	for from := ""; ; {
		r, _ := w.store.Apply(w.now, scheduler.StoreOp{Kind: scheduler.StoreList, Key: LivePrefix, StartAfter: from})
		v.KVs = append(v.KVs, r.KVs...)
		if !r.More {
			break
		}
		from = r.KVs[len(r.KVs)-1].Key
	}
	for _, id := range w.hosts[m].WatchedJobs() {
		if j := w.jobs[id]; j == nil || j.state.IsTerminal() {
			v.EndedJobs = append(v.EndedJobs, id)
		}
	}
	w.views[m] = v
}

// dispatchOutputs queues a host's requests. Each one is executed now or later, at most once.
func (w *simulation) dispatchOutputs(m string) {
	h := w.hosts[m]
	o := h.Take()
	chance := func(p float64) bool { return w.faults && w.rng.Float64() < p }
	for id, a := range o.Responses {
		w.responses[id] = a
	}
	enqueue := func(do func() func()) {
		w.queue = append(w.queue, func() {
			if chance(0.03) {
				w.lostRequests++
				do() // executed, but the response is lost
				return
			}
			answer := do()
			w.queue = append(w.queue, func() {
				if w.hosts[m] == h {
					answer()
				}
			})
		})
	}
	for _, op := range o.Store {
		unknown := chance(0.03)
		if unknown {
			// The request times out for the caller, and takes effect later or never.
			w.queue = append(w.queue, func() {
				if w.hosts[m] == h {
					h.StoreDone(w.clock(), op.ID, scheduler.StoreResult{Outcome: scheduler.Unknown})
				}
			})
			if chance(0.7) {
				w.delayed = append(w.delayed, func() { w.applyStoreOp(op) })
			}
			w.lostRequests++
			continue
		}
		w.queue = append(w.queue, func() {
			r := w.applyStoreOp(op)
			if w.hosts[m] == h {
				h.StoreDone(w.clock(), op.ID, r)
			}
		})
	}
	for _, c := range o.Core {
		w.queue = append(w.queue, func() {
			if chance(0.03) {
				w.delayed = append(w.delayed, func() { w.handleCoreRequest(c.UserRequest) })
				w.lostRequests++
				h.CoreDone(w.clock(), c.ID, scheduler.UserResponse{Status: 503, RetryAfterS: 1})
				return
			}
			a := w.handleCoreRequest(c.UserRequest)
			if w.hosts[m] == h {
				h.CoreDone(w.clock(), c.ID, a)
			}
		})
	}
	for _, d := range o.Requests {
		enqueue(func() func() {
			r := w.handleData(d.Body)
			return func() { h.RequestDone(w.clock(), d.ID, r) }
		})
	}
}

func (w *simulation) applyStoreOp(op scheduler.StoreOp) scheduler.StoreResult {
	r, _ := w.store.Apply(w.now, op)
	if op.Kind == scheduler.StoreTxn {
		w.writes += len(op.Changes)
		for _, c := range op.Changes {
			w.bytes += len(c.Value)
			if len(c.Value) > 1024 {
				w.t.Errorf("value of %s: got %d bytes, want at most 1024", c.Key, len(c.Value))
			}
		}
		if len(op.Changes) > 16 || len(op.Preconditions) > 64 {
			w.t.Errorf(
				"transaction: got %d changes and %d preconditions, want at most 16 and 64",
				len(op.Changes),
				len(op.Preconditions),
			)
		}
	}
	return r
}

func (w *simulation) handleCoreRequest(r scheduler.UserRequest) scheduler.UserResponse {
	j := w.jobs[r.ID]
	response := func() scheduler.UserResponse {
		return scheduler.UserResponse{
			Status:        200,
			ID:            r.ID,
			State:         j.state,
			WorkflowRun:   j.run,
			FailureReason: j.failed,
		}
	}
	switch {
	case r.Kind == scheduler.SubmitJob && j == nil:
		if w.ignorePreconditions {
			r.Preconditions = nil
		}
		if res := w.applyTxn(r.Preconditions, scheduler.Change{
			Key:   "jobs/" + r.ID,
			Value: extension.Encode(r.ID),
		}); res.Outcome != scheduler.OK {
			return scheduler.UserResponse{Status: 409, ID: r.ID}
		}
		if w.store.Value(finalKey(r.Job.WorkflowRun)) != nil {
			w.t.Errorf("job of run %s submitted after the run ended", r.Job.WorkflowRun)
		}
		w.created++
		w.jobs[r.ID] = &fakeJob{
			id:          r.ID,
			run:         r.Job.WorkflowRun,
			state:       scheduler.Pending,
			description: w.descriptions[r.ID],
		}
		return scheduler.UserResponse{Status: 201, ID: r.ID}
	case j == nil:
		return scheduler.UserResponse{Status: 404, ID: r.ID}
	case r.Kind == scheduler.CancelJob && !j.state.IsTerminal():
		j.state = scheduler.Cancelled
	}
	return response()
}

func (w *simulation) handleData(d Data) DataResult {
	if w.faults && w.rng.Float64() < 0.02 {
		return DataResult{Err: fmt.Errorf("shared directory unavailable")}
	}
	if d.Description != nil {
		w.descriptions[d.Job] = d.Description
		return DataResult{}
	}
	return DataResult{Outputs: w.jobs[d.Job].outputs}
}

// finishRandomJob runs one of the live jobs to its end.
func (w *simulation) finishRandomJob() {
	var live []string
	for id, j := range w.jobs {
		if !j.state.IsTerminal() {
			live = append(live, id)
		}
	}
	if len(live) == 0 {
		return
	}
	slices.Sort(live)
	j := w.jobs[live[w.rng.IntN(len(live))]]
	p, ins, err := DecodeDescription(j.description)
	if err != nil {
		w.t.Fatalf("failed to decode a job description: %v", err)
	}
	j.state = scheduler.Done
	for _, in := range ins {
		out, err := evaluateTool(p, in)
		if err != nil {
			j.state, j.failed = scheduler.Cancelled, err.Error()
		}
		j.outputs = append(j.outputs, out)
	}
}

// request sends a request to a member and waits for the response. Like a user, it retries the
// request at any member.
func (w *simulation) request(m string, r Request) Response {
	for range 200 {
		w.nextID++
		id := w.nextID
		w.hosts[m].HandleRequest(w.clock(), id, r)
		for range 60 {
			w.step()
			if a, ok := w.responses[id]; ok {
				if a.Status == 503 {
					break
				}
				return a
			}
		}
		m = w.members[w.rng.IntN(len(w.members))]
	}
	w.t.Fatal("no final response after 200 attempts")
	return Response{}
}

// step advances the simulation by a few random events.
func (w *simulation) step() {
	w.now += int64(w.rng.IntN(120))
	for _, m := range w.members {
		if w.rng.IntN(4) > 0 || !w.faults {
			w.refreshView(m) // otherwise the host uses an outdated view
		}
		w.hosts[m].Tick(w.clock(), w.views[m])
		w.dispatchOutputs(m)
	}
	for range 1 + w.rng.IntN(1+len(w.queue)) {
		if len(w.queue) == 0 {
			break
		}
		i := w.rng.IntN(len(w.queue))
		f := w.queue[i]
		w.queue = append(w.queue[:i], w.queue[i+1:]...)
		f()
		for _, m := range w.members {
			w.dispatchOutputs(m)
		}
	}
	if len(w.delayed) > 0 && w.rng.IntN(40) == 0 {
		i := w.rng.IntN(len(w.delayed))
		f := w.delayed[i]
		w.delayed = append(w.delayed[:i], w.delayed[i+1:]...)
		f()
	}
	if w.rng.IntN(2) == 0 {
		w.finishRandomJob()
	}
	if w.faults && w.rng.IntN(40) == 0 {
		w.startHost(w.members[w.rng.IntN(len(w.members))]) // the member crashes and restarts
	}
	if w.faults && w.rng.IntN(60) == 0 {
		w.claim(w.members[w.rng.IntN(len(w.members))], w.members[w.rng.IntN(len(w.members))])
	}
	if w.faults && w.rng.IntN(200) == 0 {
		for _, m := range w.members {
			w.startHost(m)
		}
	}
}

func submission(id string, doc []byte, in map[string]any) []byte {
	return extension.Encode(
		map[string]any{"id": id, "document": json.RawMessage(doc), "inputs": in, "job": map[string]any{"team": "ops"}},
	)
}

// simulateRuns runs four random workflows in a simulation and checks their results.
func simulateRuns(t testing.TB, seed uint64, faults, ignorePreconditions bool) *simulation {
	w := newSimulation(t, seed, faults)
	w.ignorePreconditions = ignorePreconditions
	type expected struct {
		outs    map[string]any
		err     error
		aborted bool
	}
	expectations := map[string]*expected{}
	for i := range uint64(4) {
		p, doc, in := generateWorkflow(t, seed*31+i)
		id := fmt.Sprintf("run-%d-%d", seed, i)
		outs, err := evaluateDirectly(p, in)
		expectations[id] = &expected{outs: outs, err: err}
		if a := w.request(w.members[w.rng.IntN(3)], Request{
			Kind: Submit,
			Body: submission(id, doc, in),
		}); a.Status != 201 &&
			a.Status != 200 {
			t.Fatalf("seed %d: submission: got status %d %s, want 200 or 201", seed, a.Status, a.Error)
		}
		// Repeat the submission at any member.
		if a := w.request(w.members[w.rng.IntN(3)], Request{
			Kind: Submit,
			Body: submission(id, doc, in),
		}); a.Status != 200 {
			t.Fatalf("seed %d: repeated submission: got status %d, want 200", seed, a.Status)
		}
		if w.rng.IntN(4) == 0 {
			for range w.rng.IntN(60) {
				w.step()
			}
			if a := w.request(w.members[w.rng.IntN(3)], Request{Kind: Abort, ID: id}); a.Status != 200 {
				t.Fatalf("seed %d: cancellation: got status %d, want 200", seed, a.Status)
			}
			expectations[id].aborted = true
		}
	}
	finalRecords := map[string]string{}
	for n := 0; len(finalRecords) < len(expectations); n++ {
		if n > 60_000 {
			t.Fatalf("seed %d: %d of %d runs ended after 60,000 steps", seed, len(finalRecords), len(expectations))
		}
		w.step()
		for id := range expectations {
			if v := w.store.Value(finalKey(id)); v != nil {
				if finalRecords[id] != "" && finalRecords[id] != string(v) {
					t.Fatalf("seed %d: final record of %s changed from %s to %s", seed, id, finalRecords[id], v)
				}
				finalRecords[id] = string(v)
			}
		}
	}
	for len(w.delayed) > 0 {
		w.step()
	}
	for range 100 {
		w.step()
	}
	for id, e := range expectations {
		a := w.request("m-0", Request{Kind: Query, ID: id})
		switch {
		case string(w.store.Value(finalKey(id))) != finalRecords[id]:
			t.Errorf("seed %d: final record of %s changed after all runs ended", seed, id)
		case a.State == Cancelled && e.aborted:
		case e.err != nil && a.State == Failed && a.Error != "":
		case e.err == nil && a.State == Done:
			got, _ := cwl.DecodeJSON(extension.Encode(a.Outputs))
			exp, _ := cwl.DecodeJSON(extension.Encode(e.outs))
			if !reflect.DeepEqual(got, exp) {
				t.Errorf("seed %d: outputs of %s: got %v, want %v", seed, id, got, exp)
			}
		default:
			t.Errorf(
				"seed %d: %s: got state %s, error %q; error of direct evaluation: %v",
				seed, id, a.State, a.Error, e.err,
			)
		}
	}
	for id, j := range w.jobs {
		if !j.state.IsTerminal() {
			t.Errorf("seed %d: job %s is still live after its run %s ended", seed, id, j.run)
		}
	}
	if !faults {
		r, _ := w.store.Apply(w.now, scheduler.StoreOp{Kind: scheduler.StoreList, Key: "w/"})
		if len(r.KVs) > 0 {
			t.Errorf("seed %d: key %s still exists after all runs ended", seed, r.KVs[0].Key)
		}
	}
	return w
}

// TestEachRunEndsOnceUnderInjectedFaults checks that a run has one final result under injected
// faults, that of direct evaluation. No step starts twice, and no job is live after its run ended.
func TestEachRunEndsOnceUnderInjectedFaults(t *testing.T) {
	lost, created := 0, 0
	for seed := range uint64(30) {
		w := simulateRuns(t, seed, true, false)
		lost += w.lostRequests
		created += w.created
	}
	if lost < 100 || created < 250 {
		t.Errorf("got %d lost requests and %d created jobs, want at least 100 and 250", lost, created)
	}
	for seed := range uint64(10) {
		simulateRuns(t, seed, false, false)
	}
}

// recorder records errors for a test that expects them.
type recorder struct {
	testing.TB
	errs []string
}

func (r *recorder) Errorf(f string, a ...any) { r.errs = append(r.errs, fmt.Sprintf(f, a...)) }
func (r *recorder) Helper()                   {}

// TestSimulationDetectsLateSubmissionWithoutPreconditions checks the simulation itself. Without the
// preconditions of submissions, jobs start after their runs ended, and simulateRuns must report it.
func TestSimulationDetectsLateSubmissionWithoutPreconditions(t *testing.T) {
	r := &recorder{TB: t}
	for seed := uint64(0); seed < 60 && len(r.errs) == 0; seed++ {
		simulateRuns(r, seed, true, true)
	}
	if len(r.errs) == 0 ||
		!strings.Contains(strings.Join(r.errs, " "), "submitted after the run ended") &&
			!strings.Contains(strings.Join(r.errs, " "), "is still live after its run") {
		t.Errorf("late submissions without preconditions not detected; errors: %v", r.errs)
	}
}

// TestInvalidSubmissionIsRejectedNamingTheField checks that an invalid submission is rejected with
// the reason, and that none of its records is stored.
func TestInvalidSubmissionIsRejectedNamingTheField(t *testing.T) {
	tool := func(extra string) string {
		return `{"cwlVersion": "v1.2", "class": "CommandLineTool", "baseCommand": "x", "inputs": {"n": "int"}, ` +
			`"outputs": {}` + extra + `}`
	}
	flow := `{"cwlVersion": "v1.2", "class": "Workflow", "inputs": {"n": "int"}, "outputs": {}, "steps": {
		"a": {"run": {"class": "Workflow", "inputs": {"n": "int"}, "outputs": {}, "steps": {"b": {"run": ` + tool("") +
		`, "in": {"n": "n"}, "out": []}}}, "scatter": "n", "in": {"n": {"source": ["n"], ` +
		`"linkMerge": "merge_flattened"}}, "out": []}}}`
	body := func(doc, rest string) string {
		return `{"id": "r", "document": ` + doc + `, "inputs": {"n": 1}` + rest + `}`
	}
	ops := `, "job": {"team": "ops"}`
	packed := func(b []byte) string {
		return string(
			extension.Encode(
				Submission{ID: "r", Packed: Pack(b), Inputs: map[string]any{"n": 1}, Job: &cwl.JobHint{Team: "ops"}},
			),
		)
	}
	random := make([]byte, 80_000)
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range random {
		random[i] = byte('a' + rng.IntN(26))
	}
	for _, c := range []struct {
		name, body  string
		status      int
		expectedErr string
	}{
		{"not JSON", "{", 400, "not a submission"},
		{"no id", `{"document": {}}`, 400, "no run id"},
		{"invalid id", `{"id": "A b", "document": {}}`, 400, "no run id"},
		{"no document", `{"id": "r"}`, 400, "document:1:1"},
		{"invalid document", body(tool(`, "stdot": 1`), ops), 400, "document:1:"},
		{
			"input of the wrong type", strings.Replace(body(tool(""), ops), `"n": 1`, `"n": "x"`, 1), 400,
			"n: got string, want integer",
		},
		{"no team", body(tool(""), ""), 422, `unknown team ""`},
		{"unknown team", body(tool(""), `, "job": {"team": "x"}`), 422, `unknown team "x"`},
		{"unknown priority", body(tool(""), `, "job": {"team": "ops", "priority": "now"}`), 400, `"now" is none of`},
		{"too few reserved ids", body(tool(""), ops+`, "jobs": {"first": 5, "count": 0}`), 400, "has 1 jobs, 0 ids"},
		{"reserved ids, scatter", body(flow, ops+`, "jobs": {"first": 5, "count": 9}`), 400, "cannot be counted"},
		{
			"reference to another file",
			body(
				`{"cwlVersion": "v1.2", "class": "Workflow", "inputs": {}, "outputs": {}, `+
					`"steps": {"a": {"run": "b.cwl", `+
					`"in": {}, "out": []}}}`,
				ops,
			),
			400, "pack it first",
		},
		{
			"decompression bomb", packed([]byte(strings.Repeat(" ", cwl.DefaultLimits.Bytes+1) + tool(""))), 400,
			"more than",
		},
		{"packed YAML", packed([]byte("cwlVersion: v1.2")), 400, "no JSON"},
		{"packed but not zstd", strings.Replace(packed(nil), `"id"`, `"packed": "eHh4", "id"`, 1), 400, "packed"},
		{"too large", body(tool(`, "doc": "`+string(random)+`"`), ops), 400, "compressed, more than"},
	} {
		w := newSimulation(t, 1, false)
		a := w.request("m-0", Request{Kind: Submit, Body: []byte(c.body)})
		if a.Status != c.status || !strings.Contains(a.Error, c.expectedErr) {
			t.Errorf("%s: got %d %.200s, want %d %s", c.name, a.Status, a.Error, c.status, c.expectedErr)
		}
		if w.writes != 0 {
			t.Errorf("%s: got %d changes in the state service, want 0", c.name, w.writes)
		}
	}
}

// TestRunUsesReservedJobIDs checks that a run with reserved job IDs uses only these, in the order of
// its steps.
func TestRunUsesReservedJobIDs(t *testing.T) {
	_, doc := loadDocument(t, chainWorkflow(3))
	w := newSimulation(t, 1, false)
	s := strings.TrimSuffix(
		string(submission("r", doc, map[string]any{"a": int64(1), "b": int64(1)})),
		"}",
	) + `, "jobs": {"first": 700, "count": 3}}`
	if a := w.request("m-0", Request{Kind: Submit, Body: []byte(s)}); a.Status != 201 {
		t.Fatal(a)
	}
	runToEnd(t, w, []string{"r"})
	for _, id := range []string{"job-700", "job-701", "job-702"} {
		if w.jobs[id] == nil || w.jobs[id].run != "r" {
			t.Errorf("run r has no job with the reserved ID %s", id)
		}
	}
	if len(w.jobs) != 3 {
		t.Errorf("got %d jobs, want 3", len(w.jobs))
	}
}

// TestStepsOfAResponseStayWithinSizeLimit checks that the response for a run of many steps with
// long names stays within its size limit and ends with the newest step.
func TestStepsOfAResponseStayWithinSizeLimit(t *testing.T) {
	w := newSimulation(t, 1, false)
	h := w.hosts["m-0"]
	d := &activeRun{id: "r", calls: map[string]*callState{}}
	for i := range 1000 {
		d.donePaths = append(d.donePaths, fmt.Sprintf("%s-%d", strings.Repeat("step", 40), i))
	}
	h.runs["r"] = d
	a := Response{ID: "r"}
	h.addSteps(&a)
	if n := len(extension.Encode(a)); n > 40<<10 || n < 20<<10 {
		t.Errorf("got a response of %d bytes, want 20 to 40 KiB", n)
	}
	if last := a.Steps[len(a.Steps)-1].Step; !strings.HasSuffix(last, "-999") {
		t.Errorf("got last step %s, want the one that ends with -999", last)
	}
}
