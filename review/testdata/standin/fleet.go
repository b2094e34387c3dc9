package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The cloud and the workers of the protocol page.

type machineType struct {
	Name     string   `json:"sku"`
	CPUs     float64  `json:"cpus"`
	Cards    float64  `json:"cards"`
	MemoryGB float64  `json:"memory_gb"`
	LocalGB  float64  `json:"local_gb"`
	PullGBps float64  `json:"pull_gb_per_s"`
	Hourly   float64  `json:"hourly"`
	Market   float64  `json:"market_price"`
	ReadyS   float64  `json:"ready_s"`
	Marshes  []string `json:"marshes"`
}

// job is a submitted job, as its user uploaded it.
type job struct {
	Ref       string   `json:"ref"`
	Flock     string   `json:"flock"`
	Crew      string   `json:"crew"`
	Shape     string   `json:"shape"`
	Rank      string   `json:"rank"`
	Chicks    int      `json:"chicks"`
	CPUs      float64  `json:"cpus"`
	Cards     float64  `json:"cards"`
	MemoryGB  float64  `json:"memory_gb"`
	Plumage   string   `json:"plumage"`
	SizeGB    float64  `json:"size_gb"`
	Hulls     []string `json:"hulls"`
	Marsh     *string  `json:"marsh"`
	SamePlace bool     `json:"same_place"`
	Spread    bool     `json:"spread"`
	Driftwood bool     `json:"driftwood"`
	SwimS     float64  `json:"swim_s"`
	SurfaceS  float64  `json:"surface_s"`
	PreenS    float64  `json:"preen_s"`
	DuskS     *float64 `json:"dusk_s"`
}

type task struct {
	Chick  string `json:"chick"`
	Try    uint64 `json:"try"`
	Stance string `json:"stance"`
	Cause  string `json:"cause,omitempty"`
	job    *job
	index  int
	endsAt time.Time // of the present stance; zero: none
}

func (t *task) onMachine() bool { return t.Stance == "running" || t.Stance == "saving" }

type worker struct {
	fleet   *fleet
	id      string
	addr    string
	typ     machineType
	marsh   string
	rented  time.Time
	dive    uint64
	tally   uint64
	baton   uint64
	tasks   map[string]*task // by task and attempt
	done    map[string]bool
	images  map[string]bool // that it has
	leaseAt time.Time       // when the last answered report was sent, or the session began
	node    int
	changed bool
	tokenAt time.Time            // when a higher token last counted as a change
	fetches map[string]time.Time // when the fetch of an image ends
	deadAt  time.Time
	cut     bool // it reaches nobody, and nobody reaches it
	dead    bool // the machine stopped
	gone    bool // deleted
	server  *http.Server
}

// fleet holds the cloud's machines. Its lock guards the workers as well.
type fleet struct {
	mu       sync.Mutex
	rec      *recorder
	types    []machineType
	capacity map[string]int // by type and zone; ordinary machines only
	rentals  map[string][]string
	workers  map[string]*worker
	next     int
	jobs     map[string]*job
	fronts   []string // of the nodes, by index
	names    []string
	reportS  float64
	leaseS   float64
	bootS    float64
	runTime  func(j *job, index int) time.Duration
	running  map[string]map[*worker]bool // machines that a task is on
	onStart  func(w *worker, t *task)    // called with the lock held, before the task counts as running
	refused  int
	starts   int
	stopped  bool
}

func (f *fleet) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 64<<10))
	if err != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case r.Method == "GET" && r.URL.Path == "/catalog":
		reply(w, 200, map[string]any{"hulls": f.types})
	case r.Method == "GET" && r.URL.Path == "/rentals":
		f.list(w, r)
	case r.Method == "POST" && r.URL.Path == "/rentals":
		f.rent(w, body)
	case r.Method == "POST" && r.URL.Path == "/rentals/release":
		var b struct {
			Berths []string `json:"berths"`
		}
		_ = json.Unmarshal(body, &b)
		for _, id := range b.Berths {
			if m := f.workers[id]; m != nil {
				f.remove(m)
			}
		}
		reply(w, 200, map[string]any{})
	default:
		reply(w, 400, map[string]any{"error": "malformed"})
	}
}

func (f *fleet) list(w http.ResponseWriter, r *http.Request) {
	from := r.URL.Query().Get("from")
	list := []map[string]any{}
	var ids []string
	for id := range f.workers {
		if id > from {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	for _, id := range ids {
		m := f.workers[id]
		stance := "running"
		if time.Since(m.rented).Seconds() < f.bootS {
			stance = "starting"
		}
		if m.dead && time.Since(m.deadAt) > 30*time.Second {
			stance = "failed"
		}
		list = append(list, map[string]any{
			"ref": id, "addr": m.addr, "hull": m.typ.Name, "marsh": m.marsh, "driftwood": false,
			"stance": stance, "held_s": time.Since(m.rented).Seconds(),
		})
	}
	reply(w, 200, map[string]any{"berths": list, "more": false})
}

func (f *fleet) rent(w http.ResponseWriter, body []byte) {
	var b struct {
		Charter string `json:"charter"`
		Hull    string `json:"hull"`
		Marsh   string `json:"marsh"`
		Spot    bool   `json:"driftwood"`
		HowMany int    `json:"how_many"`
	}
	if json.Unmarshal(body, &b) != nil || b.HowMany < 1 || b.HowMany > 50 {
		reply(w, 400, map[string]any{"error": "malformed"})
		return
	}
	if ids, ok := f.rentals[b.Charter]; ok {
		reply(w, 200, map[string]any{"berths": ids})
		return
	}
	used := 0
	for _, m := range f.workers {
		if m.typ.Name == b.Hull && m.marsh == b.Marsh {
			used++
		}
	}
	n := min(b.HowMany, f.capacity[b.Hull+" "+b.Marsh]-used)
	if n <= 0 || b.Spot {
		reply(w, 503, map[string]any{"error": "no capacity"})
		return
	}
	var ids []string
	for range n {
		ids = append(ids, f.add(b.Hull, b.Marsh).id)
	}
	f.rentals[b.Charter] = ids
	f.rec.add("cloud: rented %v (%s, %s), asked for %d", ids, b.Hull, b.Marsh, b.HowMany)
	reply(w, 200, map[string]any{"berths": ids})
}

// add creates a machine. The lock is held.
func (f *fleet) add(hull, marsh string) *worker {
	m := &worker{
		fleet: f, id: fmt.Sprintf("i-%06d", f.next), marsh: marsh, rented: time.Now(),
		tasks: map[string]*task{}, done: map[string]bool{}, images: map[string]bool{},
		fetches: map[string]time.Time{},
	}
	f.next++
	for _, t := range f.types {
		if t.Name == hull {
			m.typ = t
		}
	}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		cannotRun("listen: %v", err)
	}
	m.addr = ln.Addr().String()
	m.server = &http.Server{Handler: m}
	go func() { _ = m.server.Serve(ln) }()
	f.workers[m.id] = m
	m.node = rand.IntN(len(f.fronts))
	go m.live()
	return m
}

// remove deletes a machine with everything on it. The lock is held.
func (f *fleet) remove(m *worker) {
	if m.gone {
		return
	}
	m.gone = true
	delete(f.workers, m.id)
	m.dropTasks("machine deleted")
	f.rec.add("cloud: deleted %s", m.id)
	go m.server.Close()
}

// dropTasks ends all tasks at once. The lock is held.
func (m *worker) dropTasks(why string) {
	n := 0
	for _, t := range m.tasks {
		if t.onMachine() {
			n++
		}
		m.leave(t)
	}
	m.tasks = map[string]*task{}
	if n > 0 {
		m.fleet.rec.add("%s: %s, %d tasks killed", m.id, why, n)
	}
}

func (m *worker) leave(t *task) {
	if on := m.fleet.running[t.Chick]; on != nil {
		delete(on, m)
		if len(on) == 0 {
			delete(m.fleet.running, t.Chick)
		}
	}
}

// live boots the worker, and then advances its tasks, its lease and its reports until the machine is gone.
func (m *worker) live() {
	f := m.fleet
	time.Sleep(time.Duration(f.bootS * float64(time.Second)))
	f.mu.Lock()
	m.dive, m.leaseAt = 1, time.Now()
	f.mu.Unlock()
	go m.reports()
	for {
		time.Sleep(25 * time.Millisecond)
		f.mu.Lock()
		if m.gone || m.dead || f.stopped {
			f.mu.Unlock()
			return
		}
		m.advance()
		f.mu.Unlock()
	}
}

// advance applies the expiry of the lease and the ends of stances. The lock is held.
func (m *worker) advance() {
	now := time.Now()
	if now.Sub(m.leaseAt).Seconds() > m.fleet.leaseS {
		m.dropTasks("lease expired")
		m.dive++
		m.leaseAt, m.changed = now, true
	}
	for _, t := range m.tasks {
		for !t.endsAt.IsZero() && !now.Before(t.endsAt) {
			m.step(t)
		}
	}
}

func (m *worker) step(t *task) {
	f := m.fleet
	m.changed = true
	switch t.Stance {
	case "fetching":
		m.images[t.job.Plumage] = true
		f.onStart(m, t)
		f.starts++
		if f.running[t.Chick] == nil {
			f.running[t.Chick] = map[*worker]bool{}
		}
		f.running[t.Chick][m] = true
		t.Stance = "running"
		t.endsAt = t.endsAt.Add(f.runTime(t.job, t.index))
		if m.done[t.Chick] {
			t.endsAt = time.Now()
		}
		if t.job.Shape == "standing" {
			t.endsAt = time.Time{}
		}
	case "running":
		t.Stance, t.Cause, t.endsAt = "ended", "done", time.Time{}
		m.done[t.Chick] = true
		m.leave(t)
		f.rec.finished(t)
	case "saving":
		t.Stance, t.Cause, t.endsAt = "ended", "stopped", time.Time{}
		m.leave(t)
	}
}

// seeToken keeps the highest token. It counts as a change at most once per half of a lease. The lock is held.
func (m *worker) seeToken(baton uint64) {
	if baton <= m.baton {
		return
	}
	m.baton = baton
	if time.Since(m.tokenAt).Seconds() >= m.fleet.leaseS/2 {
		m.tokenAt, m.changed = time.Now(), true
	}
}

type command struct {
	Call  string  `json:"call"`
	Chick string  `json:"chick"`
	Try   uint64  `json:"try"`
	Slack float64 `json:"slack_s"`
}

// execute carries out commands in order. The lock is held.
func (m *worker) execute(calls []command) {
	for _, c := range calls {
		key := fmt.Sprint(c.Chick, " ", c.Try)
		t := m.tasks[key]
		switch c.Call {
		case "launch":
			if t == nil {
				m.tasks[key] = m.launch(c)
				m.changed = true
			}
		case "halt":
			if t == nil || t.Stance == "ended" {
				break
			}
			m.changed = true
			if t.Stance == "running" && t.job.SurfaceS > 0 && c.Slack >= t.job.PreenS {
				t.Stance, t.endsAt = "saving", time.Now().Add(time.Duration(t.job.PreenS*float64(time.Second)))
				break
			}
			if t.Stance == "saving" && c.Slack > 0 {
				break
			}
			t.Stance, t.Cause, t.endsAt = "ended", "stopped", time.Time{}
			m.leave(t)
		case "clear":
			if t != nil && t.Stance == "ended" {
				delete(m.tasks, key)
				m.changed = true
			}
		}
	}
}

func (m *worker) launch(c command) *task {
	t := &task{Chick: c.Chick, Try: c.Try, Stance: "ended"}
	id, index, _ := strings.Cut(c.Chick, "/")
	n, err := strconv.Atoi(index)
	t.job, t.index = m.fleet.jobs[id], n
	if t.job == nil || err != nil || n < 0 || n >= t.job.Chicks {
		t.Cause = "unknown"
		return t
	}
	cpus, memory := t.job.CPUs, t.job.MemoryGB
	for _, other := range m.tasks {
		if other.Stance == "ended" {
			continue
		}
		if other.Chick == c.Chick {
			t.Cause = "in_use"
			return t
		}
		cpus += other.job.CPUs
		memory += other.job.MemoryGB
	}
	if cpus > m.typ.CPUs+1e-6 || memory > m.typ.MemoryGB+1e-6 {
		t.Cause = "full"
		m.fleet.refused++
		return t
	}
	t.Stance, t.endsAt = "fetching", time.Now()
	if !m.images[t.job.Plumage] {
		// One fetch serves all tasks that need the image.
		if m.fetches[t.job.Plumage].Before(time.Now()) {
			m.fetches[t.job.Plumage] = time.Now().Add(time.Duration(t.job.SizeGB / m.typ.PullGBps * float64(time.Second)))
		}
		t.endsAt = m.fetches[t.job.Plumage]
	}
	return t
}

// report returns the next report. The lock is held.
func (m *worker) report() []byte {
	m.tally++
	m.changed = false
	chicks := make([]*task, 0, len(m.tasks))
	for _, t := range m.tasks {
		chicks = append(chicks, t)
	}
	sort.Slice(chicks, func(i, k int) bool { return chicks[i].Chick < chicks[k].Chick })
	body, _ := json.Marshal(map[string]any{
		"berth": m.id, "addr": m.addr, "hull": m.typ.Name, "marsh": m.marsh, "driftwood": false,
		"dive": m.dive, "tally": m.tally, "baton": m.baton, "ebb_s": nil, "chicks": chicks,
	})
	return body
}

// reports sends the worker's reports, one at a time.
func (m *worker) reports() {
	f := m.fleet
	client := &http.Client{Timeout: 4 * time.Second}
	last := time.Time{}
	for {
		pause := f.reportS * (0.75 + rand.Float64()/2)
		for {
			f.mu.Lock()
			over := m.gone || m.dead || f.stopped
			since := time.Since(last).Seconds()
			due := since >= pause || m.changed && since >= 0.5
			f.mu.Unlock()
			if over {
				return
			}
			if due {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		last = time.Now()
		f.mu.Lock()
		body, dive, node, cut := m.report(), m.dive, m.node, m.cut
		f.mu.Unlock()
		if cut {
			time.Sleep(4 * time.Second) // no answer
			m.tryNext()
			continue
		}
		m.send(client, body, last, dive, node)
	}
}

func (m *worker) tryNext() {
	m.fleet.mu.Lock()
	m.node = (m.node + 1) % len(m.fleet.fronts)
	m.fleet.mu.Unlock()
	time.Sleep(time.Second)
}

func (m *worker) send(client *http.Client, body []byte, sent time.Time, dive uint64, node int) {
	f := m.fleet
	if len(body) > 64<<10 {
		f.rec.add("%s: its report of %d bytes is above the protocol's limit", m.id, len(body))
	}
	res, err := client.Post("http://"+f.fronts[node]+"/v1/report", "application/json", bytes.NewReader(body))
	if err != nil {
		m.tryNext()
		return
	}
	answer, err := io.ReadAll(res.Body)
	res.Body.Close()
	if os.Getenv("DEBUG_REPORTS") != "" {
		f.rec.add("%s to %s: %s -> %d %s", m.id, f.names[node], body, res.StatusCode, answer)
	}
	if res.StatusCode == 421 {
		var b struct {
			Harbor string `json:"harbor"`
		}
		_ = json.Unmarshal(answer, &b)
		client.CloseIdleConnections()
		for i, name := range f.names {
			if name == b.Harbor && i != node {
				time.Sleep(time.Duration(rand.Float64() * 0.5 * float64(time.Second)))
				f.mu.Lock()
				m.node, m.changed = i, true
				f.mu.Unlock()
				return
			}
		}
	}
	if err != nil || res.StatusCode != 200 {
		m.tryNext()
		return
	}
	var b struct {
		Baton uint64    `json:"baton"`
		Calls []command `json:"calls"`
	}
	if json.Unmarshal(answer, &b) != nil {
		m.tryNext()
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if m.gone || m.dead || m.cut || b.Baton < m.baton || dive != m.dive {
		return
	}
	m.seeToken(b.Baton)
	if sent.After(m.leaseAt) {
		m.leaseAt = sent
	}
	m.execute(b.Calls)
}

// ServeHTTP answers direct commands.
func (m *worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	if err != nil {
		return
	}
	f := m.fleet
	f.mu.Lock()
	if m.cut || m.dead || m.gone || m.dive == 0 {
		f.mu.Unlock()
		<-r.Context().Done() // no answer
		return
	}
	defer f.mu.Unlock()
	if r.URL.Path == "/show" {
		w.Write(m.report())
		return
	}
	var b struct {
		Baton *uint64   `json:"baton"`
		Dive  *uint64   `json:"dive"`
		Calls []command `json:"calls"`
	}
	if json.Unmarshal(body, &b) != nil || b.Baton == nil || b.Dive == nil {
		w.WriteHeader(400)
		return
	}
	m.advance()
	if *b.Baton < m.baton || *b.Dive != m.dive {
		w.WriteHeader(409)
		w.Write(m.report())
		return
	}
	m.seeToken(*b.Baton)
	m.execute(b.Calls)
	m.advance()
	w.Write(m.report())
}

// busiest returns the machine with the most tasks on it. The lock is held.
func (f *fleet) busiest() *worker {
	var best *worker
	most := 0
	for _, m := range f.workers {
		n := 0
		for _, t := range m.tasks {
			if t.onMachine() {
				n++
			}
		}
		if n > most {
			best, most = m, n
		}
	}
	if best == nil {
		cannotRun("no task runs")
	}
	return best
}

// stopMachine stops a machine with all that is on it. The lock is held.
func (m *worker) stopMachine() {
	m.fleet.rec.add("trouble: machine %s in %s stops with all that is on it", m.id, m.marsh)
	m.dropTasks("stopped")
	m.dead, m.deadAt = true, time.Now()
}

// cutFor cuts a machine off the network for a while. Its tasks go on, and its lease runs.
func (c *cluster) cutFor(m *worker, d time.Duration) {
	set := func(cut bool, text string) {
		c.fleet.mu.Lock()
		m.cut = cut
		c.fleet.mu.Unlock()
		c.rec.add("trouble: %s %s", m.id, text)
	}
	set(true, "loses the network")
	time.AfterFunc(d, func() { set(false, "has the network again") })
}
