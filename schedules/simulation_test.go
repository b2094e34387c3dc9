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
	"github.com/grebedock/grebedock/recurrence"
	"github.com/grebedock/grebedock/scheduler"
)

// simulation simulates a state service, a core, and the hosts of members whose clocks differ within the
// platform's bound. Its faults are restarts, claims by other members, store outages, and requests that are lost
// or delayed.
type simulation struct {
	t                    testing.TB
	rng                  *rand.Rand
	now                  int64 // true time (Unix ms)
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
	storeOutageUntil     int64 // the state service refuses all requests before this time
	lostResponses        int
	faults               bool
	duplicateSubmissions bool // injected fault: a repeated submission creates another job
	dropSubmissions      bool // injected fault: one submission in 50 is confirmed but not stored
}

type fakeJob struct {
	name        string
	created     int64
	submissions int
	endsAt      int64
}

const clockErrorMS = 5

// valueBytes is half the maximum value size of the smaller deployment.
const valueBytes = 4 << 10

// Bounds of the state service on a transaction.
const (
	txnOps           = 16
	maxTxnValueBytes = 60 << 10
	maxPreconditions = 64
)

func newSimulation(t testing.TB, seed uint64, at time.Time, faults bool) *simulation {
	sim := &simulation{
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
	for _, m := range sim.members {
		sim.startHost(m)
		sim.claim(m, m)
	}
	return sim
}

func (sim *simulation) startHost(m string) {
	sim.hosts[m] = NewHost(Params{
		Members:      sim.members,
		Teams:        map[string]scheduler.Team{"ops": {}},
		ValueBytes:   valueBytes,
		TxnOps:       txnOps,
		ClockErrorMS: clockErrorMS,
		Rate:         1000,
	})
	sim.views[m] = scheduler.ExtensionView{}
}

func (sim *simulation) claim(shard, member string) {
	b, _ := json.Marshal(member)
	r := sim.put(scheduler.ClaimKey(shard), b)
	sim.claims[shard] = r.Rev
}

func (sim *simulation) put(key string, value json.RawMessage) scheduler.StoreResult {
	changes := []scheduler.Change{{Key: key, Value: value}}
	r, _ := sim.store.Apply(sim.now, scheduler.StoreOp{Kind: scheduler.StoreTxn, Changes: changes})
	return r
}

// clock returns a member's time, which differs from true time by a random error within the bound.
func (sim *simulation) clock() scheduler.Now {
	return scheduler.Now{MonotonicMS: sim.now, WallMS: sim.now + int64(sim.rng.IntN(2*clockErrorMS+1)-clockErrorMS)}
}

func (sim *simulation) refreshView(m string) {
	v := scheduler.ExtensionView{HasAuthority: true, ClaimTokens: map[string]uint64{}}
	for s, rev := range sim.claims {
		var owner string
		_ = json.Unmarshal(sim.store.Value(scheduler.ClaimKey(s)), &owner)
		if owner == m {
			v.ClaimTokens[s] = rev
		}
	}
	for _, s := range sim.members {
		r, _ := sim.store.Apply(sim.now, scheduler.StoreOp{Kind: scheduler.StoreGet, Key: changeIndexKey(s)})
		v.KVs = append(v.KVs, r.KVs...)
	}
	sim.views[m] = v
}

func (sim *simulation) applyStoreOp(op scheduler.StoreOp) scheduler.StoreResult {
	if sim.now < sim.storeOutageUntil {
		return scheduler.StoreResult{Outcome: scheduler.Refused}
	}
	total := 0
	for _, c := range op.Changes {
		if total += len(c.Value); len(c.Value) > valueBytes {
			sim.t.Errorf("%s: got a value of %d bytes, want at most %d", c.Key, len(c.Value), valueBytes)
		}
	}
	changes, preconditions := len(op.Changes), len(op.Preconditions)
	if total > maxTxnValueBytes || changes > txnOps || preconditions > maxPreconditions {
		sim.t.Errorf("oversized transaction: %d bytes, %d changes, %d preconditions", total, changes, preconditions)
	}
	r, _ := sim.store.Apply(sim.now, op)
	return r
}

func (sim *simulation) handleCoreRequest(r scheduler.UserRequest) scheduler.UserResponse {
	if sim.now < sim.storeOutageUntil {
		return scheduler.UserResponse{Status: 503, RetryAfterS: 1}
	}
	j := sim.jobs[r.ID]
	if r.Kind == scheduler.SubmitJob && (j == nil || sim.duplicateSubmissions) {
		return sim.submitJob(r)
	}
	if j == nil {
		return scheduler.UserResponse{Status: 404, ID: r.ID}
	}
	if r.Kind == scheduler.CancelJob {
		j.endsAt = min(j.endsAt, sim.now)
	}
	response := scheduler.UserResponse{Status: 200, ID: r.ID, State: scheduler.Running, WorkflowRun: j.name}
	if j.endsAt <= sim.now {
		response.State = scheduler.Done
	}
	return response
}

// submitJob stores a job under the request's preconditions.
func (sim *simulation) submitJob(r scheduler.UserRequest) scheduler.UserResponse {
	created := scheduler.UserResponse{Status: 201, ID: r.ID}
	if sim.dropSubmissions && sim.rng.IntN(50) == 0 {
		return created
	}
	result, _ := sim.store.Apply(sim.now, scheduler.StoreOp{
		Kind:          scheduler.StoreTxn,
		Preconditions: r.Preconditions,
		Changes:       []scheduler.Change{{Key: "jobs/" + r.ID, Value: json.RawMessage("1")}},
	})
	if result.Outcome != scheduler.OK {
		return scheduler.UserResponse{Status: 409, ID: r.ID}
	}
	j := sim.jobs[r.ID]
	if j == nil {
		j = &fakeJob{name: r.Job.WorkflowRun, created: sim.now, endsAt: sim.now + int64(sim.rng.IntN(600_000))}
		sim.jobs[r.ID] = j
	}
	j.submissions++
	return created
}

// dispatchOutputs records the responses of a member's host and queues its requests.
func (sim *simulation) dispatchOutputs(m string) {
	h := sim.hosts[m]
	outputs := h.Take()
	for id, response := range outputs.Responses {
		sim.responses[id] = response
	}
	for _, op := range outputs.Store {
		sim.queue = append(sim.queue, func() {
			if sim.loseResponse(0.03, func() { sim.applyStoreOp(op) }) {
				h.StoreDone(sim.clock(), op.ID, scheduler.StoreResult{Outcome: scheduler.Unknown})
				return
			}
			h.StoreDone(sim.clock(), op.ID, sim.applyStoreOp(op))
		})
	}
	for _, request := range outputs.Core {
		sim.queue = append(sim.queue, func() {
			if sim.loseResponse(0.05, func() { sim.handleCoreRequest(request.UserRequest) }) {
				h.CoreDone(sim.clock(), request.ID, scheduler.UserResponse{Status: 503, RetryAfterS: 1})
				return
			}
			h.CoreDone(sim.clock(), request.ID, sim.handleCoreRequest(request.UserRequest))
		})
	}
}

// loseResponse reports, with a probability, that the response to a request is lost. It then performs the request
// at once or delays it.
func (sim *simulation) loseResponse(probability float64, perform func()) bool {
	if !sim.faults || sim.rng.Float64() >= probability {
		return false
	}
	sim.lostResponses++
	if sim.rng.IntN(2) == 0 {
		perform()
	} else {
		sim.delayed = append(sim.delayed, perform)
	}
	return true
}

// takeRandom removes a random function from a list and returns it.
func (sim *simulation) takeRandom(functions *[]func()) func() {
	i := sim.rng.IntN(len(*functions))
	f := (*functions)[i]
	*functions = slices.Delete(*functions, i, i+1)
	return f
}

// step advances the time, ticks all hosts, performs some queued requests and injects faults.
func (sim *simulation) step(ms int64) {
	sim.now += ms
	for _, m := range sim.members {
		if !sim.faults || sim.rng.IntN(5) > 0 {
			sim.refreshView(m)
		}
		sim.hosts[m].Tick(sim.clock(), sim.views[m])
		sim.dispatchOutputs(m)
	}
	for n := 0; len(sim.queue) > 0 && n < 40; n++ {
		sim.takeRandom(&sim.queue)()
		for _, m := range sim.members {
			sim.dispatchOutputs(m)
		}
	}
	if !sim.faults {
		return
	}
	if len(sim.delayed) > 0 && sim.rng.IntN(10) == 0 {
		sim.takeRandom(&sim.delayed)()
	}
	if sim.rng.IntN(12) == 0 {
		sim.startHost(sim.members[sim.rng.IntN(3)])
	}
	if sim.rng.IntN(20) == 0 {
		sim.claim(sim.members[sim.rng.IntN(3)], sim.members[sim.rng.IntN(3)])
	}
	if sim.rng.IntN(60) == 0 {
		sim.storeOutageUntil = sim.now + int64(sim.rng.IntN(36*3600_000))
	}
}

// request sends a request to random members until one responds with a status other than 503. A store outage ends
// after the first failed attempt.
func (sim *simulation) request(r Request) Response {
	for range 300 {
		m := sim.members[sim.rng.IntN(3)]
		sim.nextID++
		id := sim.nextID
		sim.hosts[m].HandleRequest(sim.clock(), id, r)
		for range 20 {
			sim.step(200)
			response, responded := sim.responses[id]
			if responded && response.Status == 503 {
				break
			}
			if responded {
				return response
			}
		}
		sim.storeOutageUntil = 0
	}
	sim.t.Fatal("no response other than status 503 after 300 attempts")
	return Response{}
}

// apply applies the first schedule of a TOML file.
func (sim *simulation) apply(text string) *Spec {
	f, err := ParseFile([]byte(text))
	if err != nil {
		sim.t.Fatal(err)
	}
	spec := f.Schedules[0]
	response := sim.request(Request{Kind: Apply, Name: spec.Name, Body: []byte(text)})
	if response.Status != 200 {
		sim.t.Fatalf("%s: got %d %s, want status 200", spec.Name, response.Status, response.Error)
	}
	return spec
}

// history returns all decisions of a schedule.
func (sim *simulation) history(name string) (decisions []Decision) {
	for from := ""; ; {
		response := sim.request(Request{Kind: History, Name: name, From: from})
		decisions = append(decisions, response.Decisions...)
		if from = response.More; from == "" {
			return decisions
		}
	}
}

// violations compares the decisions and jobs of a schedule with its moments, and returns the differences.
func (sim *simulation) violations(s *Spec, since, until int64) (violations []string) {
	report := func(format string, args ...any) {
		violations = append(violations, s.Name+": "+fmt.Sprintf(format, args...))
	}
	decided := map[int64]Decision{}
	runs := 0
	for _, d := range sim.history(s.Name) {
		at := time.UnixMilli(d.AtMS).UTC()
		if _, exists := decided[d.AtMS]; exists {
			report("%s: got more than one decision, want one", at)
		} else if d.Run {
			runs++
		}
		decided[d.AtMS] = d
		j := sim.jobs[d.Job]
		switch {
		case d.Run && j == nil:
			report("the job of the run of %s is missing", at)
		case d.Run && j.submissions != 1:
			report("the run of %s was stored %d times, want once", at, j.submissions)
		case d.Run && j.created < d.AtMS:
			report("the job of the run of %s was created %d ms early", at, d.AtMS-j.created)
		case !d.Run && d.Reason == "":
			report("%s was skipped without a reason", at)
		}
	}
	moments, err := s.Between(time.UnixMilli(since), time.UnixMilli(until))
	if err != nil {
		sim.t.Fatal(err)
	}
	moments = slices.DeleteFunc(moments, func(m recurrence.Moment) bool { return m.Dropped })
	for _, m := range moments {
		if _, exists := decided[m.At.UnixMilli()]; !exists {
			report("no decision for %s", m.At.UTC())
		}
	}
	if len(decided) != len(moments) {
		report("got %d decisions, want %d, one per moment", len(decided), len(moments))
	}
	jobs := sim.jobsOf(s.Name)
	submissions := 0
	for i, j := range jobs {
		submissions += j.submissions
		if i > 0 && s.Busy != BusyAllow && j.created < jobs[i-1].endsAt {
			report("%s starts while %s is still running", j.name, jobs[i-1].name)
		}
	}
	if submissions != runs {
		report("got %d jobs, want %d, one per run", submissions, runs)
	}
	return violations
}

// jobsOf returns the jobs of a schedule, ordered by creation time.
func (sim *simulation) jobsOf(schedule string) (jobs []*fakeJob) {
	for _, j := range sim.jobs {
		if strings.HasPrefix(j.name, "schedule/"+schedule+"@") {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b *fakeJob) int { return cmp.Compare(a.created, b.created) })
	return jobs
}

// storeSchedules stores n daily schedules directly, with the records that operators' requests would write.
func (sim *simulation) storeSchedules(n int, at string) {
	f, err := ParseFile([]byte(dailyText("x", at)))
	if err != nil {
		sim.t.Fatal(err)
	}
	for i := range n {
		definition := definitionRecord{Version: 1, SinceMS: sim.now, Spec: *f.Schedules[0]}
		definition.Spec.Name = fmt.Sprint("s-", i)
		shard := extension.ShardOf(sim.members, definition.Spec.Name)
		sim.put(definitionKey(shard, definition.Spec.Name), extension.Encode(definition))
	}
	for _, m := range sim.members {
		sim.put(changeIndexKey(m), extension.Encode(changeIndexRecord{Seq: n}))
	}
}
