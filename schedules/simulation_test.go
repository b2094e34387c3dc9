package schedules

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/grebedock/grebedock/extension"
	"github.com/grebedock/grebedock/internal/platformfake"
	"github.com/grebedock/grebedock/scheduler"
)

// simulation is a year of a state service, a core and members' hosts, whose clocks
// disagree within the platform's bound, with crashes, hand-overs, outages and
// lost, late and doubled requests.
type simulation struct {
	t                    testing.TB
	rng                  *rand.Rand
	now                  int64 // true time of day, ms
	store                *platformfake.State
	members              []string
	hosts                map[string]*Host
	views                map[string]scheduler.ExtensionView
	claims               map[string]uint64
	queue                []func()
	delayed              []func()
	jobs                 map[string]*fakeJob
	responses            map[uint64]Response
	nextID               uint64
	storeOutageUntil     int64 // until then the state service refuses everybody
	lostRequests         int
	faults               bool
	duplicateSubmissions bool // sabotage: a repeated submission makes another job
	dropSubmissions      bool // sabotage: one submission in fifty is confirmed and forgotten
}

type fakeJob struct {
	name        string
	created     int64
	submissions int
	endsAt      int64
}

const clockErrorMS = 5

// valueBytes is half of what the smaller deployment allows.
const valueBytes = 4 << 10

func newSimulation(t testing.TB, seed uint64, at time.Time, faults bool) *simulation {
	w := &simulation{
		t:         t,
		rng:       rand.New(rand.NewPCG(seed, 5)),
		now:       at.UnixMilli(),
		store:     platformfake.NewState(),
		members:   []string{"m-0", "m-1", "m-2"},
		hosts:     map[string]*Host{},
		views:     map[string]scheduler.ExtensionView{},
		claims:    map[string]uint64{},
		jobs:      map[string]*fakeJob{},
		responses: map[uint64]Response{},
		nextID:    1,
		faults:    faults,
	}
	for _, m := range w.members {
		w.startHost(m)
		w.claim(m, m)
	}
	return w
}

func (w *simulation) startHost(m string) {
	w.hosts[m] = NewHost(
		Params{
			Members:      w.members,
			Teams:        map[string]scheduler.Team{"ops": {}},
			ValueBytes:   valueBytes,
			TxnOps:       16,
			ClockErrorMS: clockErrorMS,
			Rate:         1000,
		},
	)
	w.views[m] = scheduler.ExtensionView{}
}

func (w *simulation) claim(shard, member string) {
	b, _ := json.Marshal(member)
	r, _ := w.store.Apply(
		w.now,
		scheduler.StoreOp{Kind: scheduler.StoreTxn, Changes: []scheduler.Change{{Key: scheduler.ClaimKey(shard), Value: b}}},
	)
	w.claims[shard] = r.Rev
}

// clock is a member's: within the bound of true time, and moving about in it.
func (w *simulation) clock() scheduler.Now {
	return scheduler.Now{MonotonicMS: w.now, WallMS: w.now + int64(w.rng.IntN(2*clockErrorMS+1)-clockErrorMS)}
}

func (w *simulation) refreshView(m string) {
	v := scheduler.ExtensionView{HasAuthority: true, ClaimTokens: map[string]uint64{}}
	for s, rev := range w.claims {
		var owner string
		_ = json.Unmarshal(w.store.Value(scheduler.ClaimKey(s)), &owner)
		if owner == m {
			v.ClaimTokens[s] = rev
		}
	}
	for _, s := range w.members {
		r, _ := w.store.Apply(w.now, scheduler.StoreOp{Kind: scheduler.StoreGet, Key: changeIndexKey(s)})
		v.KVs = append(v.KVs, r.KVs...)
	}
	w.views[m] = v
}

func (w *simulation) applyStoreOp(op scheduler.StoreOp) scheduler.StoreResult {
	if w.now < w.storeOutageUntil {
		return scheduler.StoreResult{Outcome: scheduler.Refused}
	}
	total := 0
	for _, c := range op.Changes {
		if total += len(c.Value); len(c.Value) > valueBytes {
			w.t.Errorf("%s takes %d bytes, more than a value may", c.Key, len(c.Value))
		}
	}
	if total > 60<<10 || len(op.Changes) > 16 || len(op.Preconditions) > 64 {
		w.t.Errorf("a transaction has %d bytes, %d changes and %d conditions", total, len(op.Changes), len(op.Preconditions))
	}
	r, _ := w.store.Apply(w.now, op)
	return r
}

func (w *simulation) handleCoreRequest(r scheduler.UserRequest) scheduler.UserResponse {
	if w.now < w.storeOutageUntil {
		return scheduler.UserResponse{Status: 503, RetryAfterS: 1}
	}
	j := w.jobs[r.ID]
	if r.Kind == scheduler.SubmitJob && (j == nil || w.duplicateSubmissions) {
		if w.dropSubmissions && w.rng.IntN(50) == 0 {
			return scheduler.UserResponse{Status: 201, ID: r.ID}
		}
		res, _ := w.store.Apply(
			w.now,
			scheduler.StoreOp{
				Kind:          scheduler.StoreTxn,
				Preconditions: r.Preconditions,
				Changes:       []scheduler.Change{{Key: "jobs/" + r.ID, Value: json.RawMessage("1")}},
			},
		)
		if res.Outcome != scheduler.OK {
			return scheduler.UserResponse{Status: 409, ID: r.ID}
		}
		if j == nil {
			j = &fakeJob{name: r.Job.WorkflowRun, created: w.now, endsAt: w.now + int64(w.rng.IntN(600_000))}
			w.jobs[r.ID] = j
		}
		j.submissions++
		return scheduler.UserResponse{Status: 201, ID: r.ID}
	}
	if j == nil {
		return scheduler.UserResponse{Status: 404, ID: r.ID}
	}
	if r.Kind == scheduler.CancelJob {
		j.endsAt = min(j.endsAt, w.now)
	}
	a := scheduler.UserResponse{Status: 200, ID: r.ID, State: scheduler.Running, WorkflowRun: j.name}
	if j.endsAt <= w.now {
		a.State = scheduler.Done
	}
	return a
}

func (w *simulation) dispatchOutputs(m string) {
	h := w.hosts[m]
	o := h.Take()
	chance := func(p float64) bool { return w.faults && w.rng.Float64() < p }
	for id, a := range o.Responses {
		w.responses[id] = a
	}
	for _, op := range o.Store {
		w.queue = append(w.queue, func() {
			if chance(0.03) {
				w.lostRequests++
				if w.rng.IntN(2) == 0 {
					w.applyStoreOp(op) // done, and nobody hears of it
				} else {
					w.delayed = append(w.delayed, func() { w.applyStoreOp(op) })
				}
				h.StoreDone(w.clock(), op.ID, scheduler.StoreResult{Outcome: scheduler.Unknown})
				return
			}
			h.StoreDone(w.clock(), op.ID, w.applyStoreOp(op))
		})
	}
	for _, c := range o.Core {
		w.queue = append(w.queue, func() {
			if chance(0.05) {
				w.lostRequests++
				if w.rng.IntN(2) == 0 {
					w.handleCoreRequest(c.UserRequest)
				} else {
					w.delayed = append(w.delayed, func() { w.handleCoreRequest(c.UserRequest) })
				}
				h.CoreDone(w.clock(), c.ID, scheduler.UserResponse{Status: 503, RetryAfterS: 1})
				return
			}
			h.CoreDone(w.clock(), c.ID, w.handleCoreRequest(c.UserRequest))
		})
	}
}

// step lets time pass and a little happen.
func (w *simulation) step(ms int64) {
	w.now += ms
	for _, m := range w.members {
		if !w.faults || w.rng.IntN(5) > 0 {
			w.refreshView(m)
		}
		w.hosts[m].Tick(w.clock(), w.views[m])
		w.dispatchOutputs(m)
	}
	for n := 0; len(w.queue) > 0 && n < 40; n++ {
		i := w.rng.IntN(len(w.queue))
		f := w.queue[i]
		w.queue = append(w.queue[:i], w.queue[i+1:]...)
		f()
		for _, m := range w.members {
			w.dispatchOutputs(m)
		}
	}
	if !w.faults {
		return
	}
	if len(w.delayed) > 0 && w.rng.IntN(10) == 0 {
		i := w.rng.IntN(len(w.delayed))
		f := w.delayed[i]
		w.delayed = append(w.delayed[:i], w.delayed[i+1:]...)
		f()
	}
	if w.rng.IntN(12) == 0 {
		w.startHost(w.members[w.rng.IntN(3)])
	}
	if w.rng.IntN(20) == 0 {
		w.claim(w.members[w.rng.IntN(3)], w.members[w.rng.IntN(3)])
	}
	if w.rng.IntN(60) == 0 {
		w.storeOutageUntil = w.now + int64(w.rng.IntN(36*3600_000))
	}
}

func (w *simulation) request(r Request) Response {
	for range 300 {
		m := w.members[w.rng.IntN(3)]
		w.nextID++
		id := w.nextID
		w.hosts[m].HandleRequest(w.clock(), id, r)
		for range 20 {
			w.step(200)
			if a, ok := w.responses[id]; ok {
				if a.Status == 503 {
					break
				}
				return a
			}
		}
		w.storeOutageUntil = 0
	}
	w.t.Fatal("no answer")
	return Response{}
}

func (w *simulation) apply(text string) *Spec {
	f, err := ParseFile([]byte(text))
	if err != nil {
		w.t.Fatal(err)
	}
	if a := w.request(Request{Kind: Apply, Name: f.Schedules[0].Name, Body: []byte(text)}); a.Status != 200 {
		w.t.Fatalf("%s gets %d %s", f.Schedules[0].Name, a.Status, a.Error)
	}
	return f.Schedules[0]
}

// history reads all that a schedule decided.
func (w *simulation) history(name string) (out []Decision) {
	for from := ""; ; {
		a := w.request(Request{Kind: History, Name: name, From: from})
		out = append(out, a.Decisions...)
		if from = a.More; from == "" {
			return out
		}
	}
}

// violations holds what was decided and run against the moments that a schedule has.
func (w *simulation) violations(s *Spec, since, until int64) (out []string) {
	ms, err := s.Between(time.UnixMilli(since), time.UnixMilli(until))
	if err != nil {
		w.t.Fatal(err)
	}
	decided := map[int64]Decision{}
	for _, d := range w.history(s.Name) {
		if _, twice := decided[d.AtMS]; twice {
			out = append(out, fmt.Sprintf("%s: %s is decided twice", s.Name, time.UnixMilli(d.AtMS).UTC()))
		}
		decided[d.AtMS] = d
		j := w.jobs[d.Job]
		switch {
		case d.Run && j == nil:
			out = append(out, fmt.Sprintf("%s: the run of %s is missing", s.Name, time.UnixMilli(d.AtMS).UTC()))
		case d.Run && j.submissions != 1:
			out = append(
				out,
				fmt.Sprintf("%s: the run of %s is there %d times", s.Name, time.UnixMilli(d.AtMS).UTC(), j.submissions),
			)
		case d.Run && j.created < d.AtMS:
			out = append(
				out,
				fmt.Sprintf("%s: the run of %s came %d ms early", s.Name, time.UnixMilli(d.AtMS).UTC(), d.AtMS-j.created),
			)
		case !d.Run && d.Reason == "":
			out = append(out, fmt.Sprintf("%s: %s is not run for no reason", s.Name, time.UnixMilli(d.AtMS).UTC()))
		}
	}
	n := 0
	for _, m := range ms {
		if m.Dropped {
			continue
		}
		n++
		if _, ok := decided[m.At.UnixMilli()]; !ok {
			out = append(out, fmt.Sprintf("%s: nothing was decided for %s", s.Name, m.At.UTC()))
		}
	}
	if len(decided) != n {
		out = append(out, fmt.Sprintf("%s: %d decisions for %d moments", s.Name, len(decided), n))
	}
	runs := 0
	for _, d := range decided {
		if d.Run {
			runs++
		}
	}
	createdJobs := 0
	for _, j := range w.jobs {
		if strings.HasPrefix(j.name, "schedule/"+s.Name+"@") {
			createdJobs += j.submissions
		}
	}
	if s.Busy != "allow" {
		var scheduledRuns []*fakeJob
		for _, j := range w.jobs {
			if strings.HasPrefix(j.name, "schedule/"+s.Name+"@") {
				scheduledRuns = append(scheduledRuns, j)
			}
		}
		slices.SortFunc(scheduledRuns, func(a, b *fakeJob) int { return cmp.Compare(a.created, b.created) })
		for i := 1; i < len(scheduledRuns); i++ {
			if scheduledRuns[i].created < scheduledRuns[i-1].endsAt {
				out = append(
					out,
					fmt.Sprintf("%s: %s begins while %s runs", s.Name, scheduledRuns[i].name, scheduledRuns[i-1].name),
				)
			}
		}
	}
	if createdJobs != runs {
		out = append(out, fmt.Sprintf("%s: %d jobs for %d runs", s.Name, createdJobs, runs))
	}
	return out
}

// storeSchedules stores n schedules as operators' requests would.
func (w *simulation) storeSchedules(n int, at string) {
	f, err := ParseFile([]byte(scheduleText("x", "zone = \"UTC\"\nrule = \"FREQ=DAILY\"\nat = [\""+at+"\"]")))
	if err != nil {
		w.t.Fatal(err)
	}
	put := func(key string, v any) {
		w.store.Apply(
			w.now,
			scheduler.StoreOp{Kind: scheduler.StoreTxn, Changes: []scheduler.Change{{Key: key, Value: extension.Encode(v)}}},
		)
	}
	for i := range n {
		d := definitionRecord{Version: 1, SinceMS: w.now, Spec: *f.Schedules[0]}
		d.Spec.Name = fmt.Sprint("s-", i)
		put(definitionKey(extension.ShardOf(w.members, d.Spec.Name), d.Spec.Name), d)
	}
	for _, m := range w.members {
		put(changeIndexKey(m), changeIndexRecord{Seq: n})
	}
}
