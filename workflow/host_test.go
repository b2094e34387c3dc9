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
	"github.com/grebedock/grebedock/internal/standin"
	"github.com/grebedock/grebedock/scheduler"
)

// world is a state service, a core that runs jobs, and members' hosts, with all
// that can go wrong between them.
type world struct {
	t             testing.TB
	rng           *rand.Rand
	now           int64
	store         *standin.State
	members       []string
	hosts         map[string]*Host
	views         map[string]scheduler.View // as each last saw it
	queue         []func()                  // under way, in any order
	late          []func()                  // held by the network, for long
	jobs          map[string]*fakeJob
	descs         map[string][]byte // descriptions of jobs
	answers       map[uint64]Answer
	nextID        uint64
	revs          map[string]uint64 // claims, as the store has them
	created       int
	lost          int // requests whose answer or effect was lost
	sabotage      bool
	faults        bool
	writes, bytes int
}

type fakeJob struct {
	id, run string
	desc    []byte
	state   scheduler.State
	failed  string
	outs    []map[string]any
}

func newWorld(t testing.TB, seed uint64, faults bool) *world {
	w := &world{t: t, rng: rand.New(rand.NewPCG(seed, 3)), store: standin.NewState(), members: []string{"m-0", "m-1", "m-2"}, hosts: map[string]*Host{},
		views: map[string]scheduler.View{}, jobs: map[string]*fakeJob{}, descs: map[string][]byte{}, answers: map[uint64]Answer{}, revs: map[string]uint64{}, faults: faults, nextID: 1}
	for _, m := range w.members {
		w.start(m)
		w.claim(m, m)
	}
	return w
}

func (w *world) time() scheduler.Now { return scheduler.Now{Steady: w.now, Wall: w.now + 1e12} }

func (w *world) start(m string) {
	w.hosts[m] = NewHost(Params{Members: w.members, Teams: map[string]scheduler.Team{"ops": {}}, ValueBytes: 1024, TxnOps: 16, ReportS: 1, Limits: cwl.DefaultLimits})
	w.views[m] = scheduler.View{}
}

func (w *world) txn(guards []scheduler.Guard, changes ...scheduler.Change) scheduler.StoreResult {
	r, _ := w.store.Do(w.now, scheduler.StoreOp{Kind: scheduler.StoreTxn, Guards: guards, Changes: changes})
	return r
}

// claim gives a shard to a member; its earlier holder learns of it only with its
// next view.
func (w *world) claim(shard, member string) {
	r := w.txn(nil, scheduler.Change{Key: scheduler.ShardKey(shard), Value: extension.Encode(member)})
	w.revs[shard] = r.Rev
}

// view lets a member see how things stand.
func (w *world) view(m string) {
	v := scheduler.View{Authority: true, Claims: map[string]uint64{}}
	for s, rev := range w.revs {
		var holder string
		_ = json.Unmarshal(w.store.Value(scheduler.ShardKey(s)), &holder)
		if holder == m {
			v.Claims[s] = rev
		}
	}
	for from := ""; ; {
		r, _ := w.store.Do(w.now, scheduler.StoreOp{Kind: scheduler.StoreList, Key: LivePrefix, From: from})
		v.Records = append(v.Records, r.Items...)
		if !r.More {
			break
		}
		from = r.Items[len(r.Items)-1].Key
	}
	for _, id := range w.hosts[m].Watched() {
		if j := w.jobs[id]; j == nil || j.state.Final() {
			v.Over = append(v.Over, id)
		}
	}
	w.views[m] = v
}

// take carries out what a host wants done, now or later, once or not at all.
func (w *world) take(m string) {
	h := w.hosts[m]
	o := h.Take()
	chance := func(p float64) bool { return w.faults && w.rng.Float64() < p }
	for id, a := range o.Answers {
		w.answers[id] = a
	}
	send := func(do func() func()) {
		w.queue = append(w.queue, func() {
			if chance(0.03) {
				w.lost++
				do() // done, and nobody hears of it at once
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
			// The caller gives up on it; it is applied later, or never.
			w.queue = append(w.queue, func() {
				if w.hosts[m] == h {
					h.StoreDone(w.time(), op.ID, scheduler.StoreResult{Outcome: scheduler.Unknown})
				}
			})
			if chance(0.7) {
				w.late = append(w.late, func() { w.do(op) })
			}
			w.lost++
			continue
		}
		w.queue = append(w.queue, func() {
			r := w.do(op)
			if w.hosts[m] == h {
				h.StoreDone(w.time(), op.ID, r)
			}
		})
	}
	for _, c := range o.Core {
		w.queue = append(w.queue, func() {
			if chance(0.03) {
				w.late = append(w.late, func() { w.core(c.Request) })
				w.lost++
				h.CoreDone(w.time(), c.ID, scheduler.UserAnswer{Status: 503, RetryS: 1})
				return
			}
			a := w.core(c.Request)
			if w.hosts[m] == h {
				h.CoreDone(w.time(), c.ID, a)
			}
		})
	}
	for _, d := range o.Requests {
		send(func() func() {
			r := w.data(d.Body)
			return func() { h.RequestDone(w.time(), d.ID, r) }
		})
	}
}

func (w *world) do(op scheduler.StoreOp) scheduler.StoreResult {
	r, _ := w.store.Do(w.now, op)
	if op.Kind == scheduler.StoreTxn {
		w.writes += len(op.Changes)
		for _, c := range op.Changes {
			w.bytes += len(c.Value)
			if len(c.Value) > 1024 {
				w.t.Errorf("%s takes %d bytes, more than a value may", c.Key, len(c.Value))
			}
		}
		if len(op.Changes) > 16 || len(op.Guards) > 64 {
			w.t.Errorf("a transaction has %d changes and %d conditions", len(op.Changes), len(op.Guards))
		}
	}
	return r
}

func (w *world) core(r scheduler.UserRequest) scheduler.UserAnswer {
	j := w.jobs[r.ID]
	tell := func() scheduler.UserAnswer {
		return scheduler.UserAnswer{Status: 200, ID: r.ID, State: j.state, Run: j.run, Failed: j.failed}
	}
	switch {
	case r.Kind == scheduler.Submit && j == nil:
		if w.sabotage {
			r.Guards = nil
		}
		if res := w.txn(r.Guards, scheduler.Change{Key: "jobs/" + r.ID, Value: extension.Encode(r.ID)}); res.Outcome != scheduler.OK {
			return scheduler.UserAnswer{Status: 409, ID: r.ID}
		}
		if w.store.Value(finalKey(r.Job.Run)) != nil {
			w.t.Errorf("a job of %s starts after its run is over", r.Job.Run)
		}
		w.created++
		w.jobs[r.ID] = &fakeJob{id: r.ID, run: r.Job.Run, state: scheduler.Pending, desc: w.descs[r.ID]}
		return scheduler.UserAnswer{Status: 201, ID: r.ID}
	case j == nil:
		return scheduler.UserAnswer{Status: 404, ID: r.ID}
	case r.Kind == scheduler.Cancel && !j.state.Final():
		j.state = scheduler.Cancelled
	}
	return tell()
}

func (w *world) data(d Data) DataResult {
	if w.faults && w.rng.Float64() < 0.02 {
		return DataResult{Err: fmt.Errorf("the directory is away")}
	}
	if d.Description != nil {
		w.descs[d.Job] = d.Description
		return DataResult{}
	}
	return DataResult{Outputs: w.jobs[d.Job].outs}
}

// finish runs one of the jobs that live.
func (w *world) finish() {
	var live []string
	for id, j := range w.jobs {
		if !j.state.Final() {
			live = append(live, id)
		}
	}
	if len(live) == 0 {
		return
	}
	slices.Sort(live)
	j := w.jobs[live[w.rng.IntN(len(live))]]
	p, ins, err := Described(j.desc)
	if err != nil {
		w.t.Fatalf("a description is unreadable: %v", err)
	}
	j.state = scheduler.Done
	for _, in := range ins {
		out, err := tool(p, in)
		if err != nil {
			j.state, j.failed = scheduler.Cancelled, err.Error()
		}
		j.outs = append(j.outs, out)
	}
}

// user asks a member and waits for the answer, asking again as users do.
func (w *world) user(m string, r Request) Answer {
	for range 200 {
		w.nextID++
		id := w.nextID
		w.hosts[m].User(w.time(), id, r)
		for range 60 {
			w.step()
			if a, ok := w.answers[id]; ok {
				if a.Status == 503 {
					break
				}
				return a
			}
		}
		m = w.members[w.rng.IntN(len(w.members))]
	}
	w.t.Fatal("no answer")
	return Answer{}
}

// step lets a little happen.
func (w *world) step() {
	w.now += int64(w.rng.IntN(120))
	for _, m := range w.members {
		if w.rng.IntN(4) > 0 || !w.faults {
			w.view(m) // else it acts on what it saw before
		}
		w.hosts[m].Tick(w.time(), w.views[m])
		w.take(m)
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
			w.take(m)
		}
	}
	if len(w.late) > 0 && w.rng.IntN(40) == 0 {
		i := w.rng.IntN(len(w.late))
		f := w.late[i]
		w.late = append(w.late[:i], w.late[i+1:]...)
		f()
	}
	if w.rng.IntN(2) == 0 {
		w.finish()
	}
	if w.faults && w.rng.IntN(40) == 0 {
		w.start(w.members[w.rng.IntN(len(w.members))]) // a crash
	}
	if w.faults && w.rng.IntN(60) == 0 {
		w.claim(w.members[w.rng.IntN(len(w.members))], w.members[w.rng.IntN(len(w.members))])
	}
	if w.faults && w.rng.IntN(200) == 0 {
		for _, m := range w.members {
			w.start(m)
		}
	}
}

func submission(id string, doc []byte, in map[string]any) []byte {
	return extension.Encode(map[string]any{"id": id, "document": json.RawMessage(doc), "inputs": in, "job": map[string]any{"team": "ops"}})
}

// play runs some workflows in a world and checks how they end.
func play(t testing.TB, seed uint64, faults, sabotage bool) *world {
	w := newWorld(t, seed, faults)
	w.sabotage = sabotage
	type expected struct {
		outs    map[string]any
		err     error
		aborted bool
	}
	want := map[string]*expected{}
	for i := range uint64(4) {
		p, doc, in := generated(t, seed*31+i)
		id := fmt.Sprintf("run-%d-%d", seed, i)
		outs, err := plainly(p, in)
		want[id] = &expected{outs: outs, err: err}
		if a := w.user(w.members[w.rng.IntN(3)], Request{Kind: Submit, Body: submission(id, doc, in)}); a.Status != 201 && a.Status != 200 {
			t.Fatalf("seed %d: a submission gets %d %s", seed, a.Status, a.Error)
		}
		// The same at another member.
		if a := w.user(w.members[w.rng.IntN(3)], Request{Kind: Submit, Body: submission(id, doc, in)}); a.Status != 200 {
			t.Fatalf("seed %d: a repeated submission gets %d", seed, a.Status)
		}
		if w.rng.IntN(4) == 0 {
			for range w.rng.IntN(60) {
				w.step()
			}
			if a := w.user(w.members[w.rng.IntN(3)], Request{Kind: Abort, ID: id}); a.Status != 200 {
				t.Fatalf("seed %d: a cancellation gets %d", seed, a.Status)
			}
			want[id].aborted = true
		}
	}
	finals := map[string]string{}
	for n := 0; len(finals) < len(want); n++ {
		if n > 60_000 {
			t.Fatalf("seed %d: %d of %d runs end", seed, len(finals), len(want))
		}
		w.step()
		for id := range want {
			if v := w.store.Value(finalKey(id)); v != nil {
				if finals[id] != "" && finals[id] != string(v) {
					t.Fatalf("seed %d: the answer of %s changed from %s to %s", seed, id, finals[id], v)
				}
				finals[id] = string(v)
			}
		}
	}
	for len(w.late) > 0 {
		w.step()
	}
	for range 100 {
		w.step()
	}
	for id, e := range want {
		a := w.user("m-0", Request{Kind: Query, ID: id})
		switch {
		case string(w.store.Value(finalKey(id))) != finals[id]:
			t.Errorf("seed %d: the answer of %s changed", seed, id)
		case a.State == Cancelled && e.aborted:
		case e.err != nil && a.State == Failed && a.Error != "":
		case e.err == nil && a.State == Done:
			got, _ := cwl.DecodeJSON(extension.Encode(a.Outputs))
			exp, _ := cwl.DecodeJSON(extension.Encode(e.outs))
			if !reflect.DeepEqual(got, exp) {
				t.Errorf("seed %d: %s gives %v, not %v", seed, id, got, exp)
			}
		default:
			t.Errorf("seed %d: %s ends as %s %s, a plain evaluation as %v", seed, id, a.State, a.Error, e.err)
		}
	}
	for id, j := range w.jobs {
		if !j.state.Final() {
			t.Errorf("seed %d: job %s of %s outlives it", seed, id, j.run)
		}
	}
	if !faults {
		r, _ := w.store.Do(w.now, scheduler.StoreOp{Kind: scheduler.StoreList, Key: "w/"})
		if len(r.Items) > 0 {
			t.Errorf("seed %d: %s is left behind", seed, r.Items[0].Key)
		}
	}
	return w
}

// Whatever fails on the way, a run ends in one answer, that of a plain
// evaluation; no step is started twice, and nothing outlives its run.
func TestRunsEndOnceWhateverFails(t *testing.T) {
	lost, created := 0, 0
	for seed := range uint64(30) {
		w := play(t, seed, true, false)
		lost += w.lost
		created += w.created
	}
	if lost < 100 || created < 250 {
		t.Errorf("%d requests were lost, %d jobs created: too few to say anything", lost, created)
	}
	for seed := range uint64(10) {
		play(t, seed, false, false)
	}
}

// recorder takes errors for a test that wants some.
type recorder struct {
	testing.TB
	errs []string
}

func (r *recorder) Errorf(f string, a ...any) { r.errs = append(r.errs, fmt.Sprintf(f, a...)) }
func (r *recorder) Helper()                   {}

// Without the guards on submissions, jobs start after their runs are over: the
// check above sees that.
func TestCheckSeesLateSubmissions(t *testing.T) {
	r := &recorder{TB: t}
	for seed := uint64(0); seed < 60 && len(r.errs) == 0; seed++ {
		play(r, seed, true, true)
	}
	if len(r.errs) == 0 || !strings.Contains(strings.Join(r.errs, " "), "starts after its run is over") && !strings.Contains(strings.Join(r.errs, " "), "outlives") {
		t.Errorf("submissions without guards go unseen: %v", r.errs)
	}
}

// What cannot run is refused with its reason, and nothing of it is stored.
func TestBadSubmissions(t *testing.T) {
	tool := func(extra string) string {
		return `{"cwlVersion": "v1.2", "class": "CommandLineTool", "baseCommand": "x", "inputs": {"n": "int"}, "outputs": {}` + extra + `}`
	}
	flow := `{"cwlVersion": "v1.2", "class": "Workflow", "inputs": {"n": "int"}, "outputs": {}, "steps": {
		"a": {"run": {"class": "Workflow", "inputs": {"n": "int"}, "outputs": {}, "steps": {"b": {"run": ` + tool("") + `, "in": {"n": "n"}, "out": []}}}, "scatter": "n", "in": {"n": {"source": ["n"], "linkMerge": "merge_flattened"}}, "out": []}}}`
	body := func(doc, rest string) string {
		return `{"id": "r", "document": ` + doc + `, "inputs": {"n": 1}` + rest + `}`
	}
	ops := `, "job": {"team": "ops"}`
	packed := func(b []byte) string {
		return string(extension.Encode(Submission{ID: "r", Packed: Pack(b), Inputs: map[string]any{"n": 1}, Job: &cwl.JobHint{Team: "ops"}}))
	}
	random := make([]byte, 80_000)
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range random {
		random[i] = byte('a' + rng.IntN(26))
	}
	for _, c := range []struct {
		name, body string
		status     int
		want       string
	}{
		{"no JSON", "{", 400, "not a submission"},
		{"no id", `{"document": {}}`, 400, "no run id"},
		{"bad id", `{"id": "A b", "document": {}}`, 400, "no run id"},
		{"no document", `{"id": "r"}`, 400, "document:1:1"},
		{"wrong document", body(tool(`, "stdot": 1`), ops), 400, "document:1:"},
		{"wrong input", strings.Replace(body(tool(""), ops), `"n": 1`, `"n": "x"`, 1), 400, "n: got string, want integer"},
		{"no team", body(tool(""), ""), 422, `unknown team ""`},
		{"unknown team", body(tool(""), `, "job": {"team": "x"}`), 422, `unknown team "x"`},
		{"unknown priority", body(tool(""), `, "job": {"team": "ops", "priority": "now"}`), 400, `"now" is none of`},
		{"too few ids", body(tool(""), ops+`, "jobs": {"first": 5, "count": 0}`), 400, "has 1 jobs, 0 ids"},
		{"uncountable", body(flow, ops+`, "jobs": {"first": 5, "count": 9}`), 400, "cannot be counted"},
		{"other files", body(`{"cwlVersion": "v1.2", "class": "Workflow", "inputs": {}, "outputs": {}, "steps": {"a": {"run": "b.cwl", "in": {}, "out": []}}}`, ops), 400, "pack it first"},
		{"a bomb", packed([]byte(strings.Repeat(" ", cwl.DefaultLimits.Bytes+1) + tool(""))), 400, "more than"},
		{"packed YAML", packed([]byte("cwlVersion: v1.2")), 400, "no JSON"},
		{"not packed", strings.Replace(packed(nil), `"id"`, `"packed": "eHh4", "id"`, 1), 400, "packed"},
		{"too large", body(tool(`, "doc": "`+string(random)+`"`), ops), 400, "compressed, more than"},
	} {
		w := newWorld(t, 1, false)
		a := w.user("m-0", Request{Kind: Submit, Body: []byte(c.body)})
		if a.Status != c.status || !strings.Contains(a.Error, c.want) {
			t.Errorf("%s: %d %.200s, not %d %s", c.name, a.Status, a.Error, c.status, c.want)
		}
		if w.writes != 0 {
			t.Errorf("%s: %d changes were made", c.name, w.writes)
		}
	}
}

// Reserved ids are used in the order of the steps, and no other.
func TestReservedIDs(t *testing.T) {
	_, doc := document(t, chain(3))
	w := newWorld(t, 1, false)
	s := strings.TrimSuffix(string(submission("r", doc, map[string]any{"a": int64(1), "b": int64(1)})), "}") + `, "jobs": {"first": 700, "count": 3}}`
	if a := w.user("m-0", Request{Kind: Submit, Body: []byte(s)}); a.Status != 201 {
		t.Fatal(a)
	}
	drive(t, w, []string{"r"})
	for _, id := range []string{"job-700", "job-701", "job-702"} {
		if w.jobs[id] == nil || w.jobs[id].run != "r" {
			t.Errorf("%s is not used", id)
		}
	}
	if len(w.jobs) != 3 {
		t.Errorf("%d jobs were submitted", len(w.jobs))
	}
}

// A run of many steps with long names is shown within a line's bound, its newest
// steps last.
func TestStepsFitALine(t *testing.T) {
	w := newWorld(t, 1, false)
	h := w.hosts["m-0"]
	d := &driven{id: "r", calls: map[string]*callState{}}
	for i := range 1000 {
		d.done = append(d.done, fmt.Sprintf("%s-%d", strings.Repeat("step", 40), i))
	}
	h.runs["r"] = d
	a := Answer{ID: "r"}
	h.addSteps(&a)
	if n := len(extension.Encode(a)); n > 40<<10 || n < 20<<10 {
		t.Errorf("an answer has %d bytes", n)
	}
	if last := a.Steps[len(a.Steps)-1].Step; !strings.HasSuffix(last, "-999") {
		t.Errorf("the last step shown is %s", last)
	}
}
