package platformfake

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/gofiber/fiber/v2"

	"github.com/grebedock/grebedock/scheduler"
)

// Platform serves a fake state service, cloud and workers over loopback, with the published
// protocol, for tests of the real program.
type Platform struct {
	mu        sync.Mutex
	startedAt time.Time
	state     *State
	cloud     *Cloud
	jobs      map[string]*scheduler.Job
	workers   map[string]*Worker
	members   []string
	stop      chan struct{}
	servers   map[string]*fiber.App // key: machine ID, "state" or "cloud"

	heartbeatInterval time.Duration
	commandCopies     int // number of copies of each executed direct command
	copyCounts        CommandCopyCounts

	StateAddr, CloudAddr string
}

// Options configure a platform.
type Options struct {
	Types    []scheduler.MachineType
	Lease    time.Duration
	Members  []string // user API addresses, to which the workers send heartbeats
	Capacity int      // maximum number of instances per type, zone and kind (on-demand or spot)
	// RunTimeMS returns the run time of a simulated task in ms.
	RunTimeMS func(j *scheduler.Job) int64
	// Execute starts a task that runs as a real process; it returns nil for simulated tasks.
	Execute func(*Task) Execution
	// HeartbeatInterval is the time between two heartbeats of a worker; 0: 100 ms.
	HeartbeatInterval time.Duration
	// CommandCopies is the number of copies of each executed direct command that arrive late.
	CommandCopies int
	// OnTaskStarted is called for each task that starts, in start order. cpus is the number of
	// processors in use on all machines, including the task's own.
	OnTaskStarted func(machine string, t *Task, cpus float64)
}

// defaultHeartbeatInterval is the default of Options.HeartbeatInterval.
const defaultHeartbeatInterval = 100 * time.Millisecond

// NewPlatform starts a platform with a capacity of 8 machines for each type, zone and kind.
// Machines boot immediately.
func NewPlatform(types []scheduler.MachineType, lease time.Duration, members []string) (*Platform, error) {
	return StartPlatform(Options{Types: types, Lease: lease, Members: members, Capacity: 8})
}

// StartPlatform starts a platform. The caller must close it.
func StartPlatform(o Options) (*Platform, error) {
	s := &Platform{
		startedAt: time.Now(),
		state:     NewState(),
		cloud:     NewCloud(o.Types, o.Capacity),
		jobs:      map[string]*scheduler.Job{},
		workers:   map[string]*Worker{},
		members:   o.Members,
		stop:      make(chan struct{}),
		servers:   map[string]*fiber.App{},

		heartbeatInterval: cmp.Or(o.HeartbeatInterval, defaultHeartbeatInterval),
		commandCopies:     o.CommandCopies,
	}
	s.cloud.OnProvisioned = func(r *Instance) {
		r.State = "running"
		var t scheduler.MachineType
		for _, x := range o.Types {
			if x.Name == r.Type {
				t = x
			}
		}
		w := &Worker{Machine: r.CloudMachine, Resources: t.Resources, LeaseMS: o.Lease.Milliseconds(), FetchMS: 50,
			FindJob: s.findJob, RunTimeMS: func(string) int64 { return 200 }, Execute: o.Execute,
			OnStarted: func(*Worker, *Task) {}, OnDone: func(*Worker, *Task) {}}
		if o.RunTimeMS != nil {
			w.RunTimeMS = func(task string) int64 {
				id, _, _ := splitTaskName(task)
				return o.RunTimeMS(s.findJob(id))
			}
		}
		if o.OnTaskStarted != nil {
			w.OnStarted = func(w *Worker, t *Task) { o.OnTaskStarted(w.Machine.ID, t, s.cpusInUse()) }
		}
		w.StartIncarnation(s.now())
		s.workers[r.ID] = w
		addr, err := s.serve(r.ID, s.workerServer(w))
		if err != nil {
			addr = "127.0.0.1:1" // heartbeats still reach the members
		}
		w.Machine.Addr = addr
		go s.sendHeartbeats(w)
	}
	s.cloud.OnReleased = func(r *Instance) {
		if w := s.workers[r.ID]; w != nil {
			w.Stop()
			delete(s.workers, r.ID)
			if app := s.servers[r.ID]; app != nil {
				delete(s.servers, r.ID)
				go func() { _ = app.ShutdownWithTimeout(shutdownTimeout) }()
			}
		}
	}
	var err error
	if s.StateAddr, err = s.serve("state", s.stateServer()); err != nil {
		return nil, err
	}
	s.CloudAddr, err = s.serve("cloud", s.cloudServer())
	return s, err
}

// findJob returns a submitted job, or nil if it is unknown. It looks among the jobs of AddJob
// first, then reads the members' job record in the state service.
func (s *Platform) findJob(id string) *scheduler.Job {
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

// Close stops the tasks on all machines and shuts down the servers.
func (s *Platform) Close() {
	close(s.stop)
	s.mu.Lock()
	for id, w := range s.workers {
		w.Stop()
		delete(s.workers, id)
	}
	apps := s.servers
	s.mu.Unlock()
	for _, a := range apps {
		_ = a.ShutdownWithTimeout(shutdownTimeout)
	}
}

// shutdownTimeout bounds the shutdown of a server. It is short because clients no longer wait for
// responses.
const shutdownTimeout = 100 * time.Millisecond

// workerServer returns the server of a worker's direct commands and status.
func (s *Platform) workerServer(w *Worker) *fiber.App {
	app := newServer()
	app.Post("/do", func(c *fiber.Ctx) error {
		var b struct {
			Token       *uint64       `json:"baton"`
			Incarnation *uint64       `json:"dive"`
			Commands    []commandBody `json:"calls"`
		}
		if err := json.Unmarshal(c.Body(), &b); err != nil || b.Token == nil || b.Incarnation == nil {
			return c.SendStatus(400)
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.workers[w.Machine.ID] != w {
			return c.SendStatus(503)
		}
		command := scheduler.DirectCommand{
			Token:       *b.Token,
			Incarnation: *b.Incarnation,
			Commands:    decodeCommands(b.Commands),
		}
		r := w.ApplyDirectCommand(s.now(), command)
		if r.Outcome == scheduler.Conflict {
			c.Status(409)
		} else if len(command.Commands) > 0 {
			s.scheduleCopies(w, command)
		}
		return c.JSON(heartbeatBody(r.Heartbeat))
	})
	app.Get("/show", func(c *fiber.Ctx) error {
		s.mu.Lock()
		defer s.mu.Unlock()
		r := w.Heartbeat()
		return c.JSON(heartbeatBody(&r))
	})
	return app
}

type commandBody struct {
	Command string  `json:"call"`
	Task    string  `json:"chick"`
	Attempt uint64  `json:"try"`
	GraceS  float64 `json:"slack_s"`
}

func decodeCommands(bodies []commandBody) []scheduler.Command {
	var out []scheduler.Command
	for _, c := range bodies {
		out = append(
			out,
			scheduler.Command{
				Kind:    commandKinds[c.Command],
				Task:    strings.Clone(c.Task),
				Attempt: c.Attempt,
				GraceS:  c.GraceS,
			},
		)
	}
	return out
}

func heartbeatBody(r *scheduler.Heartbeat) fiber.Map {
	tasks := []fiber.Map{}
	for _, t := range r.Tasks {
		tasks = append(
			tasks,
			fiber.Map{
				"chick":  t.Task,
				"try":    t.Attempt,
				"stance": taskStateNames[t.State],
				"cause":  exitReasonNames[t.Reason],
			},
		)
	}
	return fiber.Map{"berth": r.Machine, "addr": r.Addr, "hull": r.Type, "marsh": r.Zone, "driftwood": r.Spot,
		"dive": r.Incarnation, "tally": r.Seq, "baton": r.Token, "ebb_s": nil, "chicks": tasks}
}

// AddJob makes a job known to the workers, as an upload by its user does.
func (s *Platform) AddJob(j scheduler.Job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.jobs[j.ID] = &j
}

// cpusInUse returns the sum of the processors of all tasks that are on machines. The caller must
// hold mu.
func (s *Platform) cpusInUse() float64 {
	sum := 0.0
	for _, w := range s.workers {
		for _, t := range w.tasks {
			if t.IsOnMachine() {
				sum += t.Job.Request.CPUs
			}
		}
	}
	return sum
}

// CountOnMachines returns the number of a job's tasks that are on machines.
func (s *Platform) CountOnMachines(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, w := range s.workers {
		for _, t := range w.Tasks() {
			if t.IsOnMachine() && t.Job.ID == id {
				n++
			}
		}
	}
	return n
}

func (s *Platform) now() int64 { return time.Since(s.startedAt).Milliseconds() }

func (s *Platform) serve(name string, app *fiber.App) (string, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s.servers[name] = app
	go func() { _ = app.Listener(ln) }()
	return ln.Addr().String(), nil
}

func newServer() *fiber.App {
	return fiber.New(fiber.Config{DisableStartupMessage: true, Immutable: true})
}

// Wire names of task states, exit reasons and commands. They are repeated here so that tests detect
// a mistake in the program's own tables.
var (
	taskStateNames = map[string]string{
		"fetching": "fetching",
		"running":  "running",
		"saving":   "saving",
		"exited":   "ended",
	}
	exitReasonNames = map[string]string{
		"":        "",
		"done":    "done",
		"stopped": "stopped",
		"error":   "error",
		"no_room": "full",
		"busy":    "in_use",
		"unknown": "unknown",
	}
	commandKinds = map[string]scheduler.CommandKind{
		"launch": scheduler.CommandStart,
		"halt":   scheduler.CommandStop,
		"clear":  scheduler.CommandClear,
	}
)

// sendHeartbeats sends a worker's heartbeats until the platform is closed or the machine released.
// After a failed heartbeat it continues with the next member.
func (s *Platform) sendHeartbeats(w *Worker) {
	memberIndex := 0
	client := &http.Client{
		Timeout:       4 * time.Second,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	for {
		select {
		case <-s.stop:
			return
		case <-time.After(s.heartbeatInterval):
		}
		s.mu.Lock()
		if s.workers[w.Machine.ID] != w {
			s.mu.Unlock()
			return
		}
		sent := s.now()
		w.Advance(sent)
		r := w.Heartbeat()
		s.mu.Unlock()
		body, err := json.Marshal(heartbeatBody(&r))
		if err != nil {
			panic(fmt.Sprintf("platformfake: cannot encode heartbeat: %v", err))
		}
		res, err := client.Post("http://"+s.members[memberIndex]+
			"/v1/report", "application/json", bytes.NewReader(body))
		if err != nil {
			memberIndex = (memberIndex + 1) % len(s.members)
			continue
		}
		var a struct {
			Token    uint64        `json:"baton"`
			Commands []commandBody `json:"calls"`
		}
		err = json.NewDecoder(res.Body).Decode(&a)
		res.Body.Close()
		if res.StatusCode != 200 || err != nil {
			memberIndex = (memberIndex + 1) % len(s.members)
			continue
		}
		response := scheduler.HeartbeatResponse{Accepted: true, Token: a.Token, Commands: decodeCommands(a.Commands)}
		s.mu.Lock()
		w.ApplyHeartbeatResponse(s.now(), sent, r.Incarnation, response)
		s.mu.Unlock()
	}
}
