package platformfake

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
	Job          *scheduler.Job
	Name         string
	Attempt      uint64
	State        string
	Reason       string
	Checkpointed bool
	// DirectToken is the highest token of a direct command that contained the task's start; 0: none.
	DirectToken  uint64
	stateEndsAt  int64 // time in ms at which the current state ends
	waitingSince int64 // time in ms at which the task began to wait for the other tasks of its gang
	execution    Execution
}

// Execution is a task that runs as a real process.
type Execution interface {
	IsFinished() (bool, error)
	Stop()
}

// IsOnMachine reports whether the task counts as being on its machine: it has its image and has not
// exited.
func (t *Task) IsOnMachine() bool {
	return t.State == "running" || t.State == "saving" || t.State == "waiting"
}

// Worker is a fake worker of one machine. Times are in ms of its own monotonic clock.
type Worker struct {
	Machine   scheduler.CloudMachine
	Resources availability.Resources
	LeaseMS   int64
	FetchMS   int64
	// FetchTimeMS returns the fetch time of a job's image in ms; nil: FetchMS for all images.
	FetchTimeMS func(*scheduler.Job) int64
	// IsGangReady reports whether all tasks of a gang's attempt are on their machines; nil: tasks
	// do not wait for each other. A task that has waited for longer than GangTimeoutMS exits as
	// stopped.
	IsGangReady   func(*Task) bool
	GangTimeoutMS int64
	// FindJob returns a submitted job, or nil; RunTimeMS returns the run time of a task in ms.
	FindJob   func(id string) *scheduler.Job
	RunTimeMS func(task string) int64
	// OnStarted is called when a task starts and OnDone when it is done. OnStopping, if not nil, is
	// called when the task receives a stop command with a grace period.
	OnStarted  func(*Worker, *Task)
	OnDone     func(*Worker, *Task)
	OnStopping func(*Worker, *Task)
	// OnCleared, if not nil, is called when a command removes an exited task.
	OnCleared func(*Worker, *Task)
	// Execute starts a task that runs as a real process; it returns nil for simulated tasks.
	Execute func(*Task) Execution

	Incarnation, sequence, fencingToken uint64
	lastResponseAt                      int64
	tasks                               map[attemptKey]*Task
	// byName holds the tasks ordered by name and attempt, so that floating-point sums over them are
	// reproducible.
	byName     []*Task
	completed  map[string]bool
	images     map[string]bool
	HasChanges bool
	NoticeS    *float64
}

type attemptKey struct {
	task   string
	number uint64
}

// StartIncarnation starts the worker's first incarnation.
func (w *Worker) StartIncarnation(now int64) {
	w.Incarnation, w.lastResponseAt = 1, now
	w.tasks, w.completed, w.images = map[attemptKey]*Task{}, map[string]bool{}, map[string]bool{}
	w.byName = nil
}

// Tasks returns the tasks ordered by name and attempt.
func (w *Worker) Tasks() []*Task {
	return slices.Clone(w.byName)
}

func (t *Task) compare(key attemptKey) int {
	return cmp.Or(strings.Compare(t.Name, key.task), cmp.Compare(t.Attempt, key.number))
}

// ForEachOnMachine calls visit for the tasks that are on the machine, ordered by name and attempt.
func (w *Worker) ForEachOnMachine(visit func(*Task)) {
	for _, t := range w.byName {
		if t.IsOnMachine() {
			visit(t)
		}
	}
}

// hasDueTask reports whether some task is due for a state change.
func (w *Worker) hasDueTask(now int64) bool {
	for _, t := range w.byName {
		if t.State != "exited" && now >= t.stateEndsAt {
			return true
		}
	}
	return false
}

// Advance advances the worker to now. It applies the expiry of the lease and the state changes of
// tasks that are due. After an expired lease, the worker has no tasks and a new incarnation.
func (w *Worker) Advance(now int64) {
	if w.IsLeaseExpired(now) {
		w.Stop()
		w.tasks, w.byName = map[attemptKey]*Task{}, nil
		w.Incarnation++
		w.lastResponseAt = now
		w.HasChanges = true
	}
	if !w.hasDueTask(now) {
		return
	}
	for _, t := range w.Tasks() {
		if t.State == "exited" || now < t.stateEndsAt {
			continue
		}
		switch t.State {
		case "fetching":
			w.images[t.Job.Image] = true
			if t.Job.Kind == scheduler.Gang && w.IsGangReady != nil {
				t.State, t.waitingSince, t.stateEndsAt = "waiting", now, now
				w.OnStarted(w, t)
				break
			}
			w.startExecution(now, t)
		case "waiting":
			if w.IsGangReady(t) {
				t.State, t.stateEndsAt = "running", now+w.RunTimeMS(t.Name)
			} else if now-t.waitingSince > w.GangTimeoutMS {
				t.State, t.Reason = "exited", "stopped"
			} else {
				continue
			}
		case "running":
			if t.execution != nil {
				finished, err := t.execution.IsFinished()
				if !finished {
					continue
				}
				if err != nil {
					t.State, t.Reason, w.HasChanges = "exited", "error", true
					continue
				}
			}
			t.State, t.Reason = "exited", "done"
			w.completed[t.Name] = true
			w.OnDone(w, t)
		case "saving":
			t.State, t.Reason, t.Checkpointed = "exited", "stopped", true
		}
		w.HasChanges = true
	}
}

// startExecution starts a task whose image has been fetched. A task that this worker has completed
// before finishes immediately.
func (w *Worker) startExecution(now int64, t *Task) {
	t.State, t.stateEndsAt = "running", now+w.RunTimeMS(t.Name)
	if w.completed[t.Name] {
		t.stateEndsAt = now
	}
	if t.Job.Kind == scheduler.Service {
		t.stateEndsAt = 1 << 60
	}
	if w.Execute != nil && !w.completed[t.Name] {
		if t.execution = w.Execute(t); t.execution != nil {
			t.stateEndsAt = now
		}
	}
	w.OnStarted(w, t)
}

func (t *Task) stop() {
	if t.execution != nil && t.State == "running" {
		t.execution.Stop()
	}
}

// Stop stops the executions of all tasks.
func (w *Worker) Stop() {
	for _, t := range w.byName {
		t.stop()
	}
}

// FencingToken returns the highest token that the worker has accepted.
func (w *Worker) FencingToken() uint64 { return w.fencingToken }

// IsLeaseExpired reports whether the lease has expired. The tasks are killed then, even if the
// machine hangs.
func (w *Worker) IsLeaseExpired(now int64) bool { return now-w.lastResponseAt > w.LeaseMS }

// Heartbeat returns the worker's next heartbeat and increments the sequence number.
func (w *Worker) Heartbeat() scheduler.Heartbeat {
	w.sequence++
	w.HasChanges = false
	r := scheduler.Heartbeat{
		Machine:            w.Machine.ID,
		Addr:               w.Machine.Addr,
		Type:               w.Machine.Type,
		Zone:               w.Machine.Zone,
		Spot:               w.Machine.Spot,
		Incarnation:        w.Incarnation,
		Seq:                w.sequence,
		Token:              w.fencingToken,
		TerminationNoticeS: w.NoticeS,
	}
	for _, t := range w.Tasks() {
		r.Tasks = append(
			r.Tasks,
			scheduler.TaskStatus{
				Task:         t.Name,
				Attempt:      t.Attempt,
				State:        t.State,
				Reason:       t.Reason,
				Checkpointed: t.Checkpointed,
			},
		)
	}
	return r
}

// ApplyHeartbeatResponse applies the response to a heartbeat that was sent at time sent in the given
// incarnation. It reports whether the response was valid: one that was not accepted, belongs to
// another incarnation or has an old fencing token is ignored.
func (w *Worker) ApplyHeartbeatResponse(now, sent int64, incarnation uint64, a scheduler.HeartbeatResponse) bool {
	if !a.Accepted || incarnation != w.Incarnation || a.Token < w.fencingToken {
		return false
	}
	if a.Token > w.fencingToken {
		w.fencingToken, w.HasChanges = a.Token, true
	}
	w.lastResponseAt = max(w.lastResponseAt, sent)
	w.applyCommands(now, a.Commands, 0)
	return true
}

// ApplyDirectCommand executes commands that a member sends directly to the worker. It rejects an old
// fencing token or another incarnation with scheduler.Conflict.
func (w *Worker) ApplyDirectCommand(now int64, d scheduler.DirectCommand) scheduler.DirectCommandResult {
	w.Advance(now)
	r := scheduler.DirectCommandResult{}
	if d.Token < w.fencingToken || d.Incarnation != w.Incarnation {
		r.Outcome = scheduler.Conflict
	} else {
		if d.Token > w.fencingToken {
			w.fencingToken, w.HasChanges = d.Token, true
		}
		w.applyCommands(now, d.Commands, d.Token)
	}
	heartbeat := w.Heartbeat()
	r.Heartbeat = &heartbeat
	return r
}

// ApplyCommandCopy executes a copy of a direct command that the worker has executed before. It returns the outcome, and
// the commands that started an attempt once more.
func (w *Worker) ApplyCommandCopy(now int64, d scheduler.DirectCommand) (scheduler.Outcome, []scheduler.Command) {
	var startedAgain []scheduler.Command
	for _, c := range d.Commands {
		if c.Kind == scheduler.CommandStart && !w.hasAttempt(c) {
			startedAgain = append(startedAgain, c)
		}
	}
	result := w.ApplyDirectCommand(now, d)
	return result.Outcome, slices.DeleteFunc(startedAgain, func(c scheduler.Command) bool { return !w.hasAttempt(c) })
}

// hasAttempt reports whether the worker has the attempt of a command, in any state.
func (w *Worker) hasAttempt(c scheduler.Command) bool {
	return w.tasks[attemptKey{c.Task, c.Attempt}] != nil
}

// applyCommands executes commands. directToken is the token of the direct command that contains them; 0 if a heartbeat
// response contains them.
func (w *Worker) applyCommands(now int64, cs []scheduler.Command, directToken uint64) {
	for _, c := range cs {
		key := attemptKey{c.Task, c.Attempt}
		t := w.tasks[key]
		switch c.Kind {
		case scheduler.CommandStart:
			if t == nil {
				t = w.startTask(now, key)
			}
			t.DirectToken = max(t.DirectToken, directToken)
		case scheduler.CommandStop:
			if t == nil || t.State == "exited" {
				continue
			}
			w.HasChanges = true
			if w.OnStopping != nil && c.GraceS > 0 && t.State != "saving" {
				w.OnStopping(w, t)
			}
			if t.State == "running" && t.Job.CheckpointIntervalS > 0 && c.GraceS >= t.Job.CheckpointDurationS {
				t.State, t.stateEndsAt = "saving", now+int64(t.Job.CheckpointDurationS*1000)
				continue
			}
			t.stop()
			t.State, t.Reason = "exited", "stopped"
		case scheduler.CommandClear:
			if t != nil && t.State == "exited" {
				if w.OnCleared != nil {
					w.OnCleared(w, t)
				}
				delete(w.tasks, key)
				if at, ok := slices.BinarySearchFunc(w.byName, key, (*Task).compare); ok {
					w.byName = slices.Delete(w.byName, at, at+1)
				}
			}
		}
	}
	w.Advance(now)
}

func (w *Worker) startTask(now int64, key attemptKey) *Task {
	w.HasChanges = true
	id, _, _ := splitTaskName(key.task)
	t := &Task{Job: w.FindJob(id), Name: key.task, Attempt: key.number, State: "fetching", stateEndsAt: now + w.FetchMS}
	if t.Job != nil && w.FetchTimeMS != nil {
		t.stateEndsAt = now + w.FetchTimeMS(t.Job)
	}
	w.tasks[key] = t
	at, _ := slices.BinarySearchFunc(w.byName, key, (*Task).compare)
	w.byName = slices.Insert(w.byName, at, t)
	reject := func(reason string) { t.State, t.Reason = "exited", reason }
	if t.Job == nil {
		reject("unknown")
		return t
	}
	if w.images[t.Job.Image] {
		t.stateEndsAt = now
	}
	free := w.Resources
	for _, o := range w.byName {
		if o == t || o.State == "exited" {
			continue
		}
		if o.Name == key.task {
			reject("busy")
			return t
		}
		free = free.Sub(o.Job.Request)
	}
	r := t.Job.Request
	r.DiskGB = 0
	if !free.Contains(r) {
		reject("no_room")
	}
	return t
}

func splitTaskName(name string) (job, index string, ok bool) {
	i := strings.LastIndexByte(name, '/')
	if i < 0 {
		return "", "", false
	}
	return name[:i], name[i+1:], true
}

// Index returns the task's index within its job.
func (t *Task) Index() int {
	_, n, _ := splitTaskName(t.Name)
	i, _ := strconv.Atoi(n)
	return i
}
