package standin

import (
	"cmp"
	"slices"
	"strconv"
	"strings"

	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/scheduler"
)

// Task is a task on a worker.
type Task struct {
	Job     *scheduler.Job
	Name    string
	Attempt uint64
	State   string
	Why     string
	Saved   bool
	until   int64 // when the present state ends
	since   int64 // when it began to wait for its mates
	exec    Execution
}

// Execution is a task that really runs.
type Execution interface {
	Over() (bool, error)
	Stop()
}

// OnMachine tells whether the task counts as being on its machine.
func (t *Task) OnMachine() bool {
	return t.State == "running" || t.State == "saving" || t.State == "waiting"
}

// Worker is a machine's worker. Its times are its own steady clock's.
type Worker struct {
	Machine scheduler.Listed
	Room    availability.Room
	LeaseMS int64
	FetchMS int64
	// FetchOf is how long a job's image takes; nil: FetchMS for each.
	FetchOf func(*scheduler.Job) int64
	// Mates tells whether all tasks of a gang's try are on their machines; nil:
	// nobody waits for mates. One that waited for so long gives up.
	Mates   func(*Task) bool
	MatesMS int64
	// Find returns a job that users submitted, RunMS how long a task runs.
	Find  func(id string) *scheduler.Job
	RunMS func(task string) int64
	// Started is told when a task starts, Ended when it is done.
	// Stopped is told of a task that is told to stop with some grace; nil: nobody.
	Started func(*Worker, *Task)
	Ended   func(*Worker, *Task)
	Stopped func(*Worker, *Task)
	// Execute begins a task that is to be run and not only waited for; nil
	// for the others.
	Execute func(*Task) Execution

	Session, seq, token uint64
	answered            int64
	tasks               map[attempt]*Task
	byName              []*Task // the tasks by name and attempt: sums over them are the same every time
	results             map[string]bool
	images              map[string]bool
	Changed             bool
	NoticeS             *float64
}

type attempt struct {
	task string
	n    uint64
}

// Begin starts the worker's first session.
func (w *Worker) Begin(now int64) {
	w.Session, w.answered = 1, now
	w.tasks, w.results, w.images = map[attempt]*Task{}, map[string]bool{}, map[string]bool{}
	w.byName = nil
}

// Tasks lists the tasks in a fixed order.
func (w *Worker) Tasks() []*Task {
	return slices.Clone(w.byName)
}

func (t *Task) compare(key attempt) int {
	return cmp.Or(strings.Compare(t.Name, key.task), cmp.Compare(t.Attempt, key.n))
}

// Running visits the tasks that are on the machine, in a fixed order.
func (w *Worker) Running(f func(*Task)) {
	for _, t := range w.byName {
		if t.OnMachine() {
			f(t)
		}
	}
}

// due tells whether a task has something to do.
func (w *Worker) due(now int64) bool {
	for _, t := range w.byName {
		if t.State != "exited" && now >= t.until {
			return true
		}
	}
	return false
}

// Advance lets time pass: the lease may end, and tasks move on.
func (w *Worker) Advance(now int64) {
	if w.Expired(now) {
		w.Stop()
		w.tasks, w.byName = map[attempt]*Task{}, nil
		w.Session++
		w.answered = now
		w.Changed = true
	}
	if !w.due(now) {
		return
	}
	for _, t := range w.Tasks() {
		if t.State == "exited" || now < t.until {
			continue
		}
		switch t.State {
		case "fetching":
			w.images[t.Job.Image] = true
			if t.Job.Kind == scheduler.Gang && w.Mates != nil {
				t.State, t.since, t.until = "waiting", now, now
				w.Started(w, t)
				break
			}
			w.run(now, t)
		case "waiting":
			if w.Mates(t) {
				t.State, t.until = "running", now+w.RunMS(t.Name)
			} else if now-t.since > w.MatesMS {
				t.State, t.Why = "exited", "stopped"
			} else {
				continue
			}
		case "running":
			if t.exec != nil {
				over, err := t.exec.Over()
				if !over {
					continue
				}
				if err != nil {
					t.State, t.Why, w.Changed = "exited", "error", true
					continue
				}
			}
			t.State, t.Why = "exited", "done"
			w.results[t.Name] = true
			w.Ended(w, t)
		case "saving":
			t.State, t.Why, t.Saved = "exited", "stopped", true
		}
		w.Changed = true
	}
}

// run begins a task that has its image.
func (w *Worker) run(now int64, t *Task) {
	t.State, t.until = "running", now+w.RunMS(t.Name)
	if w.results[t.Name] {
		t.until = now
	}
	if t.Job.Kind == scheduler.Service {
		t.until = 1 << 60
	}
	if w.Execute != nil && !w.results[t.Name] {
		if t.exec = w.Execute(t); t.exec != nil {
			t.until = now
		}
	}
	w.Started(w, t)
}

func (t *Task) stop() {
	if t.exec != nil && t.State == "running" {
		t.exec.Stop()
	}
}

// Stop ends whatever runs.
func (w *Worker) Stop() {
	for _, t := range w.byName {
		t.stop()
	}
}

// Expired tells whether the lease is over: the tasks are killed whether or not
// the machine hangs.
func (w *Worker) Expired(now int64) bool { return now-w.answered > w.LeaseMS }

// Report writes a report.
func (w *Worker) Report() scheduler.Report {
	w.seq++
	w.Changed = false
	r := scheduler.Report{Machine: w.Machine.ID, Addr: w.Machine.Addr, Type: w.Machine.Type, Zone: w.Machine.Zone, Spot: w.Machine.Spot,
		Session: w.Session, Seq: w.seq, Token: w.token, NoticeS: w.NoticeS}
	for _, t := range w.Tasks() {
		r.Tasks = append(r.Tasks, scheduler.TaskReport{Task: t.Name, Attempt: t.Attempt, State: t.State, Why: t.Why, Saved: t.Saved})
	}
	return r
}

// Answer takes the answer to a report that was sent at sent.
func (w *Worker) Answer(now, sent int64, session uint64, a scheduler.WorkerAnswer) bool {
	if !a.Accepted || session != w.Session || a.Token < w.token {
		return false
	}
	if a.Token > w.token {
		w.token, w.Changed = a.Token, true
	}
	w.answered = max(w.answered, sent)
	w.commands(now, a.Commands)
	return true
}

// Do carries out commands sent straight to the worker.
func (w *Worker) Do(now int64, d scheduler.Do) scheduler.DoResult {
	w.Advance(now)
	r := scheduler.DoResult{}
	if d.Token < w.token || d.Session != w.Session {
		r.Outcome = scheduler.Conflict
	} else {
		if d.Token > w.token {
			w.token, w.Changed = d.Token, true
		}
		w.commands(now, d.Commands)
	}
	rep := w.Report()
	r.Report = &rep
	return r
}

func (w *Worker) commands(now int64, cs []scheduler.Command) {
	for _, c := range cs {
		key := attempt{c.Task, c.Attempt}
		t := w.tasks[key]
		switch c.Kind {
		case scheduler.Start:
			if t == nil {
				w.start(now, key)
			}
		case scheduler.Stop:
			if t == nil || t.State == "exited" {
				continue
			}
			w.Changed = true
			if w.Stopped != nil && c.GraceS > 0 && t.State != "saving" {
				w.Stopped(w, t)
			}
			if t.State == "running" && t.Job.CheckpointS > 0 && c.GraceS >= t.Job.SaveS {
				t.State, t.until = "saving", now+int64(t.Job.SaveS*1000)
				continue
			}
			t.stop()
			t.State, t.Why = "exited", "stopped"
		case scheduler.Forget:
			if t != nil && t.State == "exited" {
				delete(w.tasks, key)
				if at, ok := slices.BinarySearchFunc(w.byName, key, (*Task).compare); ok {
					w.byName = slices.Delete(w.byName, at, at+1)
				}
			}
		}
	}
	w.Advance(now)
}

func (w *Worker) start(now int64, key attempt) {
	w.Changed = true
	id, _, _ := cutTask(key.task)
	t := &Task{Job: w.Find(id), Name: key.task, Attempt: key.n, State: "fetching", until: now + w.FetchMS}
	if t.Job != nil && w.FetchOf != nil {
		t.until = now + w.FetchOf(t.Job)
	}
	w.tasks[key] = t
	at, _ := slices.BinarySearchFunc(w.byName, key, (*Task).compare)
	w.byName = slices.Insert(w.byName, at, t)
	refuse := func(why string) { t.State, t.Why = "exited", why }
	if t.Job == nil {
		refuse("unknown")
		return
	}
	if w.images[t.Job.Image] {
		t.until = now
	}
	free := w.Room
	for _, o := range w.byName {
		if o == t || o.State == "exited" {
			continue
		}
		if o.Name == key.task {
			refuse("busy")
			return
		}
		free = free.Sub(o.Job.Request)
	}
	r := t.Job.Request
	r.DiskGB = 0
	if !free.Holds(r) {
		refuse("no_room")
	}
}

func cutTask(name string) (job, index string, ok bool) {
	i := strings.LastIndexByte(name, '/')
	if i < 0 {
		return "", "", false
	}
	return name[:i], name[i+1:], true
}

// Index is the task's number in its job.
func (t *Task) Index() int {
	_, n, _ := cutTask(t.Name)
	i, _ := strconv.Atoi(n)
	return i
}
