package main

import (
	"bytes"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// worker follows the section "Workers -> controller nodes" of the protocol.
type worker struct {
	rig  *rig
	m    *machine
	hull machineType
	addr string

	mu          sync.Mutex
	up, gone    bool
	cut         chan struct{} // not nil while the machine has no network; closed when it is back
	dive, tally uint64
	baton       uint64
	leaseFrom   time.Time
	chicks      []*chick
	done        map[string]bool
	images      map[string]bool
	wake        chan struct{}
	tokenNoted  time.Time
	answeredBy  string // the controller whose answer was last accepted
	server      *http.Server
	// onAnswer is called, without mu, after an answer was applied. raised tells whether it raised the
	// token, and stops how many halt commands it had.
	onAnswer func(w *worker, sent time.Time, raised bool, stops int)
}

type chick struct {
	name, job string
	try       uint64
	state     string
	cause     string
	kept      bool
	spec      *job
	began     time.Time
	timer     *time.Timer
}

func newWorker(r *rig, m *machine, hull machineType) *worker {
	w := &worker{
		rig: r, m: m, hull: hull, dive: 1,
		done: map[string]bool{}, images: map[string]bool{}, wake: make(chan struct{}, 1),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /do", w.do)
	mux.HandleFunc("GET /show", func(rw http.ResponseWriter, _ *http.Request) {
		w.mu.Lock()
		body := w.report()
		w.mu.Unlock()
		reply(rw, 200, body)
	})
	w.addr, w.server = r.serve(mux)
	return w
}

func (w *worker) cloudState() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.up {
		return "running"
	}
	return "starting"
}

func (w *worker) start() {
	w.mu.Lock()
	if w.gone {
		w.mu.Unlock()
		return
	}
	w.up, w.leaseFrom = true, time.Now()
	w.mu.Unlock()
	w.rig.note(w.m.id, "up: %s in %s, spot %v", w.m.hull, w.m.zone, w.m.spot)
	go w.leaseLoop()
	go w.reportLoop()
}

// end takes the machine away with all that is on it.
func (w *worker) end(why string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.gone {
		return
	}
	w.gone, w.up = true, false
	for _, c := range w.chicks {
		w.exit(c, why)
	}
	w.chicks = nil
	go func() { _ = w.server.Close() }()
}

// cutOff takes the network of the machine away; its tasks go on.
func (w *worker) cutOff() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cut == nil {
		w.cut = make(chan struct{})
	}
	w.rig.note(w.m.id, "loses the network")
}

func (w *worker) reconnect() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cut != nil {
		close(w.cut)
		w.cut = nil
		w.rig.note(w.m.id, "has the network again")
	}
}

// free returns the CPUs and the memory that no task takes, 0 on a machine that is not up.
func (w *worker) free() (cpus, mem float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up || w.gone || w.cut != nil {
		return 0, 0
	}
	cpus, mem = w.hull.cpus, w.hull.mem
	for _, c := range w.chicks {
		if c.state != "ended" {
			cpus, mem = cpus-c.spec.CPUs, mem-c.spec.MemoryGB
		}
	}
	return cpus, mem
}

// observe sets what is called after each answer.
func (w *worker) observe(f func(w *worker, sent time.Time, raised bool, stops int)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.onAnswer = f
}

// token is the highest token that the worker has seen.
func (w *worker) token() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.baton
}

func (w *worker) cutNow() chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cut
}

func (w *worker) leaseLoop() {
	lease := time.Duration(w.rig.lease * float64(time.Second))
	for range time.Tick(20 * time.Millisecond) {
		w.mu.Lock()
		if w.gone {
			w.mu.Unlock()
			return
		}
		if time.Since(w.leaseFrom) > lease {
			for _, c := range w.chicks {
				w.exit(c, "lease expired")
			}
			w.chicks = nil
			w.dive++
			w.leaseFrom = time.Now()
			w.rig.note(w.m.id, "lease expired; session %d", w.dive)
			w.changed()
		}
		w.mu.Unlock()
	}
}

func (w *worker) changed() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// exit ends a task; the caller holds mu.
func (w *worker) exit(c *chick, cause string) {
	if c.state == "ended" {
		return
	}
	on := c.state != "fetching"
	c.state, c.cause = "ended", cause
	if c.timer != nil {
		c.timer.Stop()
	}
	if on {
		w.rig.left(w, c, cause)
	}
	w.changed()
}

// report returns the worker's report; the caller holds mu.
func (w *worker) report() object {
	w.tally++
	chicks := []object{}
	for _, c := range w.chicks {
		o := object{"chick": c.name, "try": c.try, "stance": c.state}
		if c.state == "ended" {
			o["cause"] = c.cause
			if c.kept {
				o["kept"] = true
			}
		}
		chicks = append(chicks, o)
	}
	return object{
		"berth": w.m.id, "addr": w.addr, "hull": w.m.hull, "marsh": w.m.zone, "driftwood": w.m.spot,
		"dive": w.dive, "tally": w.tally, "baton": w.baton, "ebb_s": nil, "chicks": chicks,
	}
}

type call struct {
	Call, Chick string
	Try         uint64
	SlackS      float64 `json:"slack_s"`
}

func (w *worker) do(rw http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	for cut := w.cutNow(); cut != nil; cut = w.cutNow() {
		<-cut // the packets are held back
	}
	var b struct {
		Baton, Dive *uint64
		Calls       []call
	}
	if json.Unmarshal(body, &b) != nil || b.Baton == nil || b.Dive == nil {
		reply(rw, 400, object{})
		return
	}
	w.mu.Lock()
	if w.gone || !w.up {
		w.mu.Unlock()
		return
	}
	status := 200
	if *b.Baton < w.baton || *b.Dive != w.dive {
		status = 409
	} else {
		w.raise(*b.Baton)
		w.apply(b.Calls, "direct")
	}
	answer := w.report()
	w.mu.Unlock()
	reply(rw, status, answer)
}

// raise notes a higher token, which counts as a change at most once per half of a lease.
func (w *worker) raise(baton uint64) bool {
	if baton <= w.baton {
		return false
	}
	w.baton = baton
	if time.Since(w.tokenNoted).Seconds() >= w.rig.lease/2 {
		w.tokenNoted = time.Now()
		w.changed()
	}
	return true
}

// apply executes commands in order; the caller holds mu.
func (w *worker) apply(calls []call, how string) {
	for _, x := range calls {
		var c *chick
		at := -1
		for i, o := range w.chicks {
			if o.name == x.Chick && o.try == x.Try {
				c, at = o, i
			}
		}
		switch x.Call {
		case "launch":
			if c == nil {
				w.launch(x, how)
			}
		case "halt":
			if c != nil && c.state != "ended" {
				w.halt(c, x.SlackS)
			}
		case "clear":
			if c != nil && c.state == "ended" {
				w.chicks = append(w.chicks[:at:at], w.chicks[at+1:]...)
			}
		}
	}
}

func (w *worker) halt(c *chick, slack float64) {
	if c.state == "running" && c.spec.SurfaceS > 0 && slack >= c.spec.PreenS {
		c.state = "saving"
		c.timer.Stop()
		c.timer = w.later(c.spec.PreenS, c, func() { c.kept = true; w.exit(c, "stopped") })
		w.changed()
		return
	}
	w.exit(c, "stopped")
}

// later calls f with mu held after a time, unless the task has ended.
func (w *worker) later(seconds float64, c *chick, f func()) *time.Timer {
	return time.AfterFunc(time.Duration(seconds*float64(time.Second)), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if c.state != "ended" && !w.gone {
			f()
		}
	})
}

func (w *worker) launch(x call, how string) {
	c := &chick{name: x.Chick, try: x.Try, state: "fetching", job: x.Chick[:strings.LastIndexByte(x.Chick, '/')]}
	c.spec = w.rig.jobOf(c.job)
	w.chicks = append(w.chicks, c)
	refuse := func(cause string) { c.state, c.cause = "ended", cause; w.changed() }
	if c.spec == nil {
		refuse("unknown")
		return
	}
	cpus, cards, mem := w.hull.cpus, w.hull.cards, w.hull.mem
	for _, o := range w.chicks {
		if o == c || o.state == "ended" {
			continue
		}
		if o.name == c.name {
			refuse("in_use")
			return
		}
		cpus, cards, mem = cpus-o.spec.CPUs, cards-o.spec.Cards, mem-o.spec.MemoryGB
	}
	if c.spec.CPUs > cpus+1e-6 || c.spec.Cards > cards+1e-6 || c.spec.MemoryGB > mem+1e-6 {
		refuse("full")
		return
	}
	fetch := 0.0
	if !w.images[c.spec.Plumage] {
		fetch = c.spec.SizeGB / 10
	}
	w.rig.note(w.m.id, "launch %s try %d (%s)", c.name, c.try, how)
	w.changed()
	c.timer = w.later(fetch, c, func() {
		w.images[c.spec.Plumage] = true
		c.state, c.began = "running", time.Now()
		w.rig.begun(w, c)
		w.changed()
		if c.spec.Shape == "standing" {
			return
		}
		run := c.spec.runS
		if w.done[c.name] {
			run = 0
		}
		c.timer = w.later(run, c, func() {
			w.done[c.name] = true
			w.rig.completed(c)
			w.exit(c, "done")
		})
	})
}

func (w *worker) reportLoop() {
	node := rand.IntN(len(w.rig.nodes))
	client := &http.Client{
		Timeout:       4 * time.Second,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	pause := time.Duration(0)
	for {
		last := time.Now()
		if pause > 0 {
			time.Sleep(pause)
			pause = 0
		}
		w.mu.Lock()
		if w.gone {
			w.mu.Unlock()
			return
		}
		cut := w.cut
		body, _ := json.Marshal(w.report())
		dive := w.dive
		w.mu.Unlock()
		sent := time.Now()
		if cut != nil {
			time.Sleep(4 * time.Second) // no response; nothing reaches a controller
			node, pause = (node+1)%len(w.rig.nodes), time.Second
			continue
		}
		res, err := client.Post("http://"+w.rig.nodes[node].front+"/v1/report", "application/json", bytes.NewReader(body))
		if err != nil || w.cutNow() != nil {
			if err == nil {
				_ = res.Body.Close()
				time.Sleep(4*time.Second - time.Since(sent))
			}
			node, pause = (node+1)%len(w.rig.nodes), time.Second
			continue
		}
		data, _ := io.ReadAll(res.Body)
		_ = res.Body.Close()
		switch {
		case res.StatusCode == 421:
			var b struct{ Harbor string }
			_ = json.Unmarshal(data, &b)
			if to := w.rig.nodeIndex(b.Harbor); to >= 0 && to != node {
				node, pause = to, time.Duration(1+rand.IntN(500))*time.Millisecond
			} else {
				node, pause = (node+1)%len(w.rig.nodes), time.Second
			}
			continue
		case res.StatusCode != 200 || time.Since(sent) > 4*time.Second:
			node, pause = (node+1)%len(w.rig.nodes), time.Second
			continue
		}
		var b struct {
			Baton *uint64
			Calls []call
		}
		_ = json.Unmarshal(data, &b)
		w.mu.Lock()
		if b.Baton != nil && *b.Baton >= w.baton && dive == w.dive && !w.gone {
			raised := w.raise(*b.Baton)
			w.leaseFrom, w.answeredBy = sent, w.rig.nodes[node].name
			w.apply(b.Calls, "report")
			stops := 0
			for _, x := range b.Calls {
				if x.Call == "halt" {
					stops++
				}
			}
			f := w.onAnswer
			w.mu.Unlock()
			if f != nil {
				f(w, sent, raised, stops)
			}
		} else {
			w.mu.Unlock()
		}
		// The next report: after report_s plus or minus a quarter, or half a second after a change.
		interval := time.Duration(w.rig.report * (0.75 + rand.Float64()/2) * float64(time.Second))
		select {
		case <-time.After(interval - time.Since(last)):
		case <-w.wake:
			time.Sleep(500*time.Millisecond - time.Since(sent))
		}
		select {
		case <-w.wake:
		default:
		}
	}
}
