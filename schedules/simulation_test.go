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
	"github.com/grebedock/grebedock/internal/standin"
	"github.com/grebedock/grebedock/scheduler"
)

// world is a year of a state service, a core and members' hosts, whose clocks
// disagree within the platform's bound, with crashes, hand-overs, outages and
// lost, late and doubled requests.
type world struct {
	t       testing.TB
	rng     *rand.Rand
	now     int64 // true time of day, ms
	store   *standin.State
	members []string
	hosts   map[string]*Host
	views   map[string]scheduler.View
	revs    map[string]uint64
	queue   []func()
	late    []func()
	jobs    map[string]*run
	answers map[uint64]Answer
	nextID  uint64
	away    int64 // until then the state service refuses everybody
	lost    int
	faults  bool
	twice   bool // sabotage: a repeated submission makes another job
	drop    bool // sabotage: one submission in fifty is confirmed and forgotten
}

type run struct {
	name    string
	created int64
	made    int
	over    int64
}

const clockError = 5

// valueBytes is half of what the smaller deployment allows.
const valueBytes = 4 << 10

func newWorld(t testing.TB, seed uint64, at time.Time, faults bool) *world {
	w := &world{t: t, rng: rand.New(rand.NewPCG(seed, 5)), now: at.UnixMilli(), store: standin.NewState(), members: []string{"m-0", "m-1", "m-2"}, hosts: map[string]*Host{},
		views: map[string]scheduler.View{}, revs: map[string]uint64{}, jobs: map[string]*run{}, answers: map[uint64]Answer{}, nextID: 1, faults: faults}
	for _, m := range w.members {
		w.start(m)
		w.claim(m, m)
	}
	return w
}

func (w *world) start(m string) {
	w.hosts[m] = NewHost(Params{Members: w.members, Teams: map[string]scheduler.Team{"ops": {}}, ValueBytes: valueBytes, TxnOps: 16, ClockErrorMS: clockError, Rate: 1000})
	w.views[m] = scheduler.View{}
}

func (w *world) claim(shard, member string) {
	b, _ := json.Marshal(member)
	r, _ := w.store.Do(w.now, scheduler.StoreOp{Kind: scheduler.StoreTxn, Changes: []scheduler.Change{{Key: scheduler.ShardKey(shard), Value: b}}})
	w.revs[shard] = r.Rev
}

// clock is a member's: within the bound of true time, and moving about in it.
func (w *world) clock() scheduler.Now {
	return scheduler.Now{Steady: w.now, Wall: w.now + int64(w.rng.IntN(2*clockError+1)-clockError)}
}

func (w *world) view(m string) {
	v := scheduler.View{Authority: true, Claims: map[string]uint64{}}
	for s, rev := range w.revs {
		var holder string
		_ = json.Unmarshal(w.store.Value(scheduler.ShardKey(s)), &holder)
		if holder == m {
			v.Claims[s] = rev
		}
	}
	for _, s := range w.members {
		r, _ := w.store.Do(w.now, scheduler.StoreOp{Kind: scheduler.StoreGet, Key: markKey(s)})
		v.Records = append(v.Records, r.Items...)
	}
	w.views[m] = v
}

func (w *world) do(op scheduler.StoreOp) scheduler.StoreResult {
	if w.now < w.away {
		return scheduler.StoreResult{Outcome: scheduler.Refused}
	}
	total := 0
	for _, c := range op.Changes {
		if total += len(c.Value); len(c.Value) > valueBytes {
			w.t.Errorf("%s takes %d bytes, more than a value may", c.Key, len(c.Value))
		}
	}
	if total > 60<<10 || len(op.Changes) > 16 || len(op.Guards) > 64 {
		w.t.Errorf("a transaction has %d bytes, %d changes and %d conditions", total, len(op.Changes), len(op.Guards))
	}
	r, _ := w.store.Do(w.now, op)
	return r
}

func (w *world) core(r scheduler.UserRequest) scheduler.UserAnswer {
	if w.now < w.away {
		return scheduler.UserAnswer{Status: 503, RetryS: 1}
	}
	j := w.jobs[r.ID]
	if r.Kind == scheduler.Submit && (j == nil || w.twice) {
		if w.drop && w.rng.IntN(50) == 0 {
			return scheduler.UserAnswer{Status: 201, ID: r.ID}
		}
		res, _ := w.store.Do(w.now, scheduler.StoreOp{Kind: scheduler.StoreTxn, Guards: r.Guards, Changes: []scheduler.Change{{Key: "jobs/" + r.ID, Value: json.RawMessage("1")}}})
		if res.Outcome != scheduler.OK {
			return scheduler.UserAnswer{Status: 409, ID: r.ID}
		}
		if j == nil {
			j = &run{name: r.Job.Run, created: w.now, over: w.now + int64(w.rng.IntN(600_000))}
			w.jobs[r.ID] = j
		}
		j.made++
		return scheduler.UserAnswer{Status: 201, ID: r.ID}
	}
	if j == nil {
		return scheduler.UserAnswer{Status: 404, ID: r.ID}
	}
	if r.Kind == scheduler.Cancel {
		j.over = min(j.over, w.now)
	}
	a := scheduler.UserAnswer{Status: 200, ID: r.ID, State: scheduler.Running, Run: j.name}
	if j.over <= w.now {
		a.State = scheduler.Done
	}
	return a
}

func (w *world) take(m string) {
	h := w.hosts[m]
	o := h.Take()
	chance := func(p float64) bool { return w.faults && w.rng.Float64() < p }
	for id, a := range o.Answers {
		w.answers[id] = a
	}
	for _, op := range o.Store {
		w.queue = append(w.queue, func() {
			if chance(0.03) {
				w.lost++
				if w.rng.IntN(2) == 0 {
					w.do(op) // done, and nobody hears of it
				} else {
					w.late = append(w.late, func() { w.do(op) })
				}
				h.StoreDone(w.clock(), op.ID, scheduler.StoreResult{Outcome: scheduler.Unknown})
				return
			}
			h.StoreDone(w.clock(), op.ID, w.do(op))
		})
	}
	for _, c := range o.Core {
		w.queue = append(w.queue, func() {
			if chance(0.05) {
				w.lost++
				if w.rng.IntN(2) == 0 {
					w.core(c.Request)
				} else {
					w.late = append(w.late, func() { w.core(c.Request) })
				}
				h.CoreDone(w.clock(), c.ID, scheduler.UserAnswer{Status: 503, RetryS: 1})
				return
			}
			h.CoreDone(w.clock(), c.ID, w.core(c.Request))
		})
	}
}

// step lets time pass and a little happen.
func (w *world) step(ms int64) {
	w.now += ms
	for _, m := range w.members {
		if !w.faults || w.rng.IntN(5) > 0 {
			w.view(m)
		}
		w.hosts[m].Tick(w.clock(), w.views[m])
		w.take(m)
	}
	for n := 0; len(w.queue) > 0 && n < 40; n++ {
		i := w.rng.IntN(len(w.queue))
		f := w.queue[i]
		w.queue = append(w.queue[:i], w.queue[i+1:]...)
		f()
		for _, m := range w.members {
			w.take(m)
		}
	}
	if !w.faults {
		return
	}
	if len(w.late) > 0 && w.rng.IntN(10) == 0 {
		i := w.rng.IntN(len(w.late))
		f := w.late[i]
		w.late = append(w.late[:i], w.late[i+1:]...)
		f()
	}
	if w.rng.IntN(12) == 0 {
		w.start(w.members[w.rng.IntN(3)])
	}
	if w.rng.IntN(20) == 0 {
		w.claim(w.members[w.rng.IntN(3)], w.members[w.rng.IntN(3)])
	}
	if w.rng.IntN(60) == 0 {
		w.away = w.now + int64(w.rng.IntN(36*3600_000))
	}
}

func (w *world) user(r Request) Answer {
	for range 300 {
		m := w.members[w.rng.IntN(3)]
		w.nextID++
		id := w.nextID
		w.hosts[m].User(w.clock(), id, r)
		for range 20 {
			w.step(200)
			if a, ok := w.answers[id]; ok {
				if a.Status == 503 {
					break
				}
				return a
			}
		}
		w.away = 0
	}
	w.t.Fatal("no answer")
	return Answer{}
}

func (w *world) apply(text string) *Spec {
	f, err := ParseFile([]byte(text))
	if err != nil {
		w.t.Fatal(err)
	}
	if a := w.user(Request{Kind: Apply, Name: f.Schedules[0].Name, Body: []byte(text)}); a.Status != 200 {
		w.t.Fatalf("%s gets %d %s", f.Schedules[0].Name, a.Status, a.Error)
	}
	return f.Schedules[0]
}

// history reads all that a schedule decided.
func (w *world) history(name string) (out []Decision) {
	for from := ""; ; {
		a := w.user(Request{Kind: History, Name: name, From: from})
		out = append(out, a.Decisions...)
		if from = a.More; from == "" {
			return out
		}
	}
}

// broken holds what was decided and run against the moments that a schedule has.
func (w *world) broken(s *Spec, since, until int64) (out []string) {
	ms, err := s.Between(time.UnixMilli(since), time.UnixMilli(until))
	if err != nil {
		w.t.Fatal(err)
	}
	decided := map[int64]Decision{}
	for _, d := range w.history(s.Name) {
		if _, twice := decided[d.At]; twice {
			out = append(out, fmt.Sprintf("%s: %s is decided twice", s.Name, time.UnixMilli(d.At).UTC()))
		}
		decided[d.At] = d
		j := w.jobs[d.Job]
		switch {
		case d.Run && j == nil:
			out = append(out, fmt.Sprintf("%s: the run of %s is missing", s.Name, time.UnixMilli(d.At).UTC()))
		case d.Run && j.made != 1:
			out = append(out, fmt.Sprintf("%s: the run of %s is there %d times", s.Name, time.UnixMilli(d.At).UTC(), j.made))
		case d.Run && j.created < d.At:
			out = append(out, fmt.Sprintf("%s: the run of %s came %d ms early", s.Name, time.UnixMilli(d.At).UTC(), d.At-j.created))
		case !d.Run && d.Why == "":
			out = append(out, fmt.Sprintf("%s: %s is not run for no reason", s.Name, time.UnixMilli(d.At).UTC()))
		}
	}
	n := 0
	for _, m := range ms {
		if m.Fell {
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
	made := 0
	for _, j := range w.jobs {
		if strings.HasPrefix(j.name, "schedule/"+s.Name+"@") {
			made += j.made
		}
	}
	if s.Busy != "allow" {
		var mine []*run
		for _, j := range w.jobs {
			if strings.HasPrefix(j.name, "schedule/"+s.Name+"@") {
				mine = append(mine, j)
			}
		}
		slices.SortFunc(mine, func(a, b *run) int { return cmp.Compare(a.created, b.created) })
		for i := 1; i < len(mine); i++ {
			if mine[i].created < mine[i-1].over {
				out = append(out, fmt.Sprintf("%s: %s begins while %s runs", s.Name, mine[i].name, mine[i-1].name))
			}
		}
	}
	if made != runs {
		out = append(out, fmt.Sprintf("%s: %d jobs for %d runs", s.Name, made, runs))
	}
	return out
}

// seed stores n schedules as operators' requests would.
func (w *world) seed(n int, at string) {
	f, err := ParseFile([]byte(spec("x", "zone = \"UTC\"\nrule = \"FREQ=DAILY\"\nat = [\""+at+"\"]")))
	if err != nil {
		w.t.Fatal(err)
	}
	put := func(key string, v any) {
		w.store.Do(w.now, scheduler.StoreOp{Kind: scheduler.StoreTxn, Changes: []scheduler.Change{{Key: key, Value: extension.Encode(v)}}})
	}
	for i := range n {
		d := defRecord{Version: 1, Since: w.now, Spec: *f.Schedules[0]}
		d.Spec.Name = fmt.Sprint("s-", i)
		put(defKey(extension.ShardOf(w.members, d.Spec.Name), d.Spec.Name), d)
	}
	for _, m := range w.members {
		put(markKey(m), markRecord{Seq: n})
	}
}
