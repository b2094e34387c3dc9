package reconcile

import (
	"slices"

	"pgregory.net/rapid"
)

type attemptKey struct{ task, attempt int }

type modelTask struct {
	attemptKey
	active, completed bool
	orphaned          bool // it was started by a command that arrived later than any should
}

type modelWorker struct {
	id                 string
	tasks              []modelTask
	token, incarnation uint64
	seq                uint64
	lastResponseAt     int64
	hung               bool
	pendingCommands    []func() // commands under way to it
	maxTasks           int
	orphanedTasks      int // that its last heartbeat showed
	machine            *Machine
	ownedAttempts      map[attemptKey]bool // attempts of the present claim, not over
	startedAtSeq       map[attemptKey]uint64
}

func (w *modelWorker) stopTask(key attemptKey) {
	for i, task := range w.tasks {
		w.tasks[i].active = task.active && task.attemptKey != key
	}
}

func (w *modelWorker) dropTask(key attemptKey) {
	w.tasks = slices.DeleteFunc(w.tasks, func(task modelTask) bool { return task.attemptKey == key && !task.active })
}

// finishTask ends the first active task.
func (w *modelWorker) finishTask(t *rapid.T) {
	for i := range w.tasks {
		if task := &w.tasks[i]; task.active && !w.hung {
			task.active, task.completed = false, rapid.IntRange(0, 3).Draw(t, "completed") > 0
			return
		}
	}
}

// runsUnownedTasks reports whether a task runs that the present claim does not own.
func (w *modelWorker) runsUnownedTasks() bool {
	return slices.ContainsFunc(w.tasks, func(task modelTask) bool {
		return task.active && !w.ownedAttempts[task.attemptKey]
	})
}
