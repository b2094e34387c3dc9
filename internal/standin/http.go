package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gofiber/fiber/v2"

	"github.com/grebedock/grebedock/scheduler"
)

// Site serves a state service, a cloud and workers over loopback, by the
// published protocol, for tests of the real program.
type Site struct {
	mu      sync.Mutex
	start   time.Time
	state   *State
	cloud   *Cloud
	jobs    map[string]*scheduler.Job
	workers map[string]*Worker
	members []string
	stop    chan struct{}
	apps    map[string]*fiber.App // by machine, "state", "cloud"

	StateAddr, CloudAddr string
}

// Options describe a site.
type Options struct {
	Types    []scheduler.MachineType
	Lease    time.Duration
	Members  []string // front addresses, which the workers report to
	Capacity int      // machines of one type, zone and kind
	// RunMS is how long a task runs that is only waited for.
	RunMS func(j *scheduler.Job) int64
	// Execute begins a task that is really run; nil for the others.
	Execute func(*Task) Execution
	// Started is told of each task that starts, in order, with the processors
	// that are in use with it.
	Started func(machine string, t *Task, cpus float64)
}

// NewSite starts a site whose machines boot at once.
func NewSite(types []scheduler.MachineType, lease time.Duration, members []string) (*Site, error) {
	return Open(Options{Types: types, Lease: lease, Members: members, Capacity: 8})
}

// Open starts a site.
func Open(o Options) (*Site, error) {
	s := &Site{start: time.Now(), state: NewState(), cloud: NewCloud(o.Types, o.Capacity), jobs: map[string]*scheduler.Job{}, workers: map[string]*Worker{},
		members: o.Members, stop: make(chan struct{}), apps: map[string]*fiber.App{}}
	s.cloud.Rented = func(r *Rental) {
		r.State = "running"
		var t scheduler.MachineType
		for _, x := range o.Types {
			if x.Name == r.Type {
				t = x
			}
		}
		w := &Worker{Machine: r.Listed, Room: t.Room, LeaseMS: o.Lease.Milliseconds(), FetchMS: 50,
			Find: s.find, RunMS: func(string) int64 { return 200 }, Execute: o.Execute,
			Started: func(*Worker, *Task) {}, Ended: func(*Worker, *Task) {}}
		if o.RunMS != nil {
			w.RunMS = func(task string) int64 {
				id, _, _ := cutTask(task)
				return o.RunMS(s.find(id))
			}
		}
		if o.Started != nil {
			w.Started = func(w *Worker, t *Task) { o.Started(w.Machine.ID, t, s.inUse()) }
		}
		w.Begin(s.now())
		s.workers[r.ID] = w
		addr, err := s.serve(r.ID, s.workerApp(w))
		if err != nil {
			addr = "127.0.0.1:1" // reports still reach the members
		}
		w.Machine.Addr = addr
		go s.report(w)
	}
	s.cloud.Released = func(r *Rental) {
		if w := s.workers[r.ID]; w != nil {
			w.Stop()
			delete(s.workers, r.ID)
			if app := s.apps[r.ID]; app != nil {
				delete(s.apps, r.ID)
				go func() { _ = app.ShutdownWithTimeout(shutdown) }()
			}
		}
	}
	var err error
	if s.StateAddr, err = s.serve("state", s.stateApp()); err != nil {
		return nil, err
	}
	s.CloudAddr, err = s.serve("cloud", s.cloudApp())
	return s, err
}

// find gives a job that users submitted: as they told the workers, or as the
// members keep it.
func (s *Site) find(id string) *scheduler.Job {
	if j := s.jobs[id]; j != nil {
		return j
	}
	var rec struct {
		Job scheduler.Job `json:"job"`
	}
	if v := s.state.Value("l/j/" + id); v == nil || json.Unmarshal(v, &rec) != nil {
		return nil
	}
	s.jobs[id] = &rec.Job
	return &rec.Job
}

// Close ends the site with all that runs on its machines.
func (s *Site) Close() {
	close(s.stop)
	s.mu.Lock()
	for id, w := range s.workers {
		w.Stop()
		delete(s.workers, id)
	}
	apps := s.apps
	s.mu.Unlock()
	for _, a := range apps {
		_ = a.ShutdownWithTimeout(shutdown)
	}
}

// shutdown bounds the end of a server: nobody waits for its answers any more.
const shutdown = 100 * time.Millisecond

// workerApp takes commands that are sent straight to a worker.
func (s *Site) workerApp(w *Worker) *fiber.App {
	app := newApp()
	app.Post("/do", func(c *fiber.Ctx) error {
		var b struct {
			Baton *uint64    `json:"baton"`
			Dive  *uint64    `json:"dive"`
			Calls []callBody `json:"calls"`
		}
		if err := json.Unmarshal(c.Body(), &b); err != nil || b.Baton == nil || b.Dive == nil {
			return c.SendStatus(400)
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.workers[w.Machine.ID] != w {
			return c.SendStatus(503)
		}
		r := w.Do(s.now(), scheduler.Do{Token: *b.Baton, Session: *b.Dive, Commands: commandsOf(b.Calls)})
		if r.Outcome == scheduler.Conflict {
			c.Status(409)
		}
		return c.JSON(reportBody(r.Report))
	})
	app.Get("/show", func(c *fiber.Ctx) error {
		s.mu.Lock()
		defer s.mu.Unlock()
		r := w.Report()
		return c.JSON(reportBody(&r))
	})
	return app
}

type callBody struct {
	Call  string  `json:"call"`
	Chick string  `json:"chick"`
	Try   uint64  `json:"try"`
	Slack float64 `json:"slack_s"`
}

func commandsOf(calls []callBody) []scheduler.Command {
	var out []scheduler.Command
	for _, c := range calls {
		out = append(out, scheduler.Command{Kind: commands[c.Call], Task: strings.Clone(c.Chick), Attempt: c.Try, GraceS: c.Slack})
	}
	return out
}

func reportBody(r *scheduler.Report) fiber.Map {
	tasks := []fiber.Map{}
	for _, t := range r.Tasks {
		tasks = append(tasks, fiber.Map{"chick": t.Task, "try": t.Attempt, "stance": stances[t.State], "cause": causes[t.Why]})
	}
	return fiber.Map{"berth": r.Machine, "addr": r.Addr, "hull": r.Type, "marsh": r.Zone, "driftwood": r.Spot,
		"dive": r.Session, "tally": r.Seq, "baton": r.Token, "ebb_s": nil, "chicks": tasks}
}

// AddJob tells the workers of a job, as its user's upload does.
func (s *Site) AddJob(j scheduler.Job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.jobs[j.ID] = &j
}

// inUse is how many processors all tasks on machines have.
func (s *Site) inUse() float64 {
	sum := 0.0
	for _, w := range s.workers {
		for _, t := range w.tasks {
			if t.OnMachine() {
				sum += t.Job.Request.CPUs
			}
		}
	}
	return sum
}

// OnMachines counts the tasks of a job that are on machines.
func (s *Site) OnMachines(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, w := range s.workers {
		for _, t := range w.Tasks() {
			if t.OnMachine() && t.Job.ID == id {
				n++
			}
		}
	}
	return n
}

func (s *Site) now() int64 { return time.Since(s.start).Milliseconds() }

func (s *Site) serve(name string, app *fiber.App) (string, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s.apps[name] = app
	go func() { _ = app.Listener(ln) }()
	return ln.Addr().String(), nil
}

func newApp() *fiber.App {
	return fiber.New(fiber.Config{DisableStartupMessage: true, Immutable: true})
}

type stateKV struct {
	K    string          `json:"k"`
	V    json.RawMessage `json:"v"`
	Mark uint64          `json:"mark"`
}

func (s *Site) do(c *fiber.Ctx, op scheduler.StoreOp) error {
	s.mu.Lock()
	r, _ := s.state.Do(s.now(), op)
	s.mu.Unlock()
	switch r.Outcome {
	case scheduler.NotFound:
		return c.Status(404).JSON(fiber.Map{"tide": r.Rev})
	case scheduler.Conflict:
		return c.Status(409).JSON(fiber.Map{"tide": r.Rev, "failed": r.Failed})
	case scheduler.Gone:
		if op.Kind == scheduler.StoreTxn {
			return c.Status(400).JSON(fiber.Map{"error": "no such lease"})
		}
		return c.SendStatus(410)
	}
	switch op.Kind {
	case scheduler.StoreGet:
		return c.JSON(stateKV{r.Items[0].Key, r.Items[0].Value, r.Items[0].Rev})
	case scheduler.StoreList:
		items := []stateKV{}
		for _, it := range r.Items {
			items = append(items, stateKV{it.Key, it.Value, it.Rev})
		}
		return c.JSON(fiber.Map{"items": items, "more": r.More, "tide": r.Rev})
	case scheduler.StoreWatch:
		log := []fiber.Map{}
		for _, it := range r.Items {
			if it.Value == nil {
				log = append(log, fiber.Map{"remove": it.Key, "mark": it.Rev})
			} else {
				log = append(log, fiber.Map{"put": it.Key, "v": it.Value, "mark": it.Rev})
			}
		}
		return c.JSON(fiber.Map{"tide": r.Rev, "log": log})
	}
	return c.JSON(fiber.Map{"tide": r.Rev, "mooring": r.Hold})
}

func (s *Site) stateApp() *fiber.App {
	app := newApp()
	app.Get("/keys", func(c *fiber.Ctx) error {
		return s.do(c, scheduler.StoreOp{Kind: scheduler.StoreList, Key: c.Query("prefix"), From: c.Query("from")})
	})
	app.Get("/keys/*", func(c *fiber.Ctx) error {
		return s.do(c, scheduler.StoreOp{Kind: scheduler.StoreGet, Key: c.Params("*")})
	})
	app.Post("/txn", func(c *fiber.Ctx) error {
		var b struct {
			Guards []stateKV `json:"guards"`
			Then   []struct {
				Put     string          `json:"put"`
				Remove  string          `json:"remove"`
				V       json.RawMessage `json:"v"`
				Mooring uint64          `json:"mooring"`
			} `json:"then"`
		}
		if err := json.Unmarshal(c.Body(), &b); err != nil {
			return c.SendStatus(400)
		}
		op := scheduler.StoreOp{Kind: scheduler.StoreTxn}
		for _, g := range b.Guards {
			op.Guards = append(op.Guards, scheduler.Guard{Key: g.K, Rev: g.Mark})
		}
		for _, t := range b.Then {
			if t.Remove != "" {
				op.Changes = append(op.Changes, scheduler.Change{Key: t.Remove})
			} else {
				op.Changes = append(op.Changes, scheduler.Change{Key: t.Put, Value: t.V, Hold: t.Mooring})
			}
		}
		return s.do(c, op)
	})
	app.Post("/holds", func(c *fiber.Ctx) error {
		var b struct {
			Life int64 `json:"life_ms"`
		}
		if err := json.Unmarshal(c.Body(), &b); err != nil || b.Life < 100 {
			return c.SendStatus(400)
		}
		return s.do(c, scheduler.StoreOp{Kind: scheduler.StoreHold, MS: b.Life})
	})
	app.Post("/holds/:id/extend", func(c *fiber.Ctx) error {
		id, _ := strconv.ParseUint(c.Params("id"), 10, 64)
		return s.do(c, scheduler.StoreOp{Kind: scheduler.StoreExtend, Hold: id})
	})
	app.Get("/watch", func(c *fiber.Ctx) error {
		from, _ := strconv.ParseUint(c.Query("from"), 10, 64)
		op := scheduler.StoreOp{Kind: scheduler.StoreWatch, Key: c.Query("prefix"), Rev: from}
		end := time.Now().Add(time.Duration(c.QueryInt("hold_ms")) * time.Millisecond)
		for time.Now().Before(end) {
			s.mu.Lock()
			_, ready := s.state.Do(s.now(), op)
			s.mu.Unlock()
			if ready {
				break
			}
			time.Sleep(5 * time.Millisecond)
		}
		return s.do(c, op)
	})
	return app
}

func (s *Site) cloudApp() *fiber.App {
	app := newApp()
	run := func(op scheduler.CloudOp) scheduler.CloudResult {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.cloud.Do(s.now(), op)
	}
	app.Get("/catalog", func(c *fiber.Ctx) error {
		types := []fiber.Map{}
		for _, t := range run(scheduler.CloudOp{Kind: scheduler.CloudCatalog}).Types {
			types = append(types, fiber.Map{"sku": t.Name, "cpus": t.Room.CPUs, "cards": t.Room.GPUs, "memory_gb": t.Room.MemoryGB, "local_gb": t.Room.DiskGB,
				"pull_gb_per_s": t.FetchGBps, "hourly": t.Price, "market_price": t.SpotPrice, "ready_s": t.BootS, "marshes": t.Zones})
		}
		return c.JSON(fiber.Map{"hulls": types})
	})
	app.Get("/rentals", func(c *fiber.Ctx) error {
		list := []fiber.Map{}
		for _, l := range run(scheduler.CloudOp{Kind: scheduler.CloudList, From: c.Query("from")}).List {
			list = append(list, fiber.Map{"ref": l.ID, "addr": l.Addr, "hull": l.Type, "marsh": l.Zone, "driftwood": l.Spot, "stance": l.State, "held_s": l.AgeS})
		}
		return c.JSON(fiber.Map{"berths": list, "more": false})
	})
	app.Post("/rentals", func(c *fiber.Ctx) error {
		var b struct {
			Charter   string `json:"charter"`
			Hull      string `json:"hull"`
			Marsh     string `json:"marsh"`
			Driftwood bool   `json:"driftwood"`
			HowMany   int    `json:"how_many"`
		}
		if err := json.Unmarshal(c.Body(), &b); err != nil {
			return c.SendStatus(400)
		}
		r := run(scheduler.CloudOp{Kind: scheduler.CloudRent, Request: b.Charter, Type: b.Hull, Zone: b.Marsh, Spot: b.Driftwood, Count: b.HowMany})
		if r.Outcome == scheduler.NotFound {
			return c.Status(503).JSON(fiber.Map{"error": "no capacity"})
		}
		return c.JSON(fiber.Map{"berths": r.Machines})
	})
	app.Post("/rentals/release", func(c *fiber.Ctx) error {
		var b struct {
			Berths []string `json:"berths"`
		}
		if err := json.Unmarshal(c.Body(), &b); err != nil {
			return c.SendStatus(400)
		}
		run(scheduler.CloudOp{Kind: scheduler.CloudRelease, Machines: b.Berths})
		return c.JSON(fiber.Map{})
	})
	return app
}

// The protocol's words for states, causes and commands, written here again so
// that a mistake in the program's own table is seen.
var (
	stances  = map[string]string{"fetching": "fetching", "running": "running", "saving": "saving", "exited": "ended"}
	causes   = map[string]string{"": "", "done": "done", "stopped": "stopped", "error": "error", "no_room": "full", "busy": "in_use", "unknown": "unknown"}
	commands = map[string]scheduler.CommandKind{"launch": scheduler.Start, "halt": scheduler.Stop, "clear": scheduler.Forget}
)

// report lets a worker report until the site or its machine ends.
func (s *Site) report(w *Worker) {
	at := 0
	client := &http.Client{Timeout: 4 * time.Second, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	for {
		select {
		case <-s.stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		s.mu.Lock()
		if s.workers[w.Machine.ID] != w {
			s.mu.Unlock()
			return
		}
		sent := s.now()
		w.Advance(sent)
		r := w.Report()
		s.mu.Unlock()
		body, err := json.Marshal(reportBody(&r))
		if err != nil {
			panic(fmt.Sprintf("standin: a report does not encode: %v", err))
		}
		res, err := client.Post("http://"+s.members[at]+"/v1/report", "application/json", bytes.NewReader(body))
		if err != nil {
			at = (at + 1) % len(s.members)
			continue
		}
		var a struct {
			Baton uint64     `json:"baton"`
			Calls []callBody `json:"calls"`
		}
		err = json.NewDecoder(res.Body).Decode(&a)
		res.Body.Close()
		if res.StatusCode != 200 || err != nil {
			at = (at + 1) % len(s.members)
			continue
		}
		ans := scheduler.WorkerAnswer{Accepted: true, Token: a.Baton, Commands: commandsOf(a.Calls)}
		s.mu.Lock()
		w.Answer(s.now(), sent, r.Session, ans)
		s.mu.Unlock()
	}
}
