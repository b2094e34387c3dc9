package reconcile

import (
	"slices"

	"pgregory.net/rapid"
)

type attemptKey struct{ task, attempt int }

type modelTask struct {
	attemptKey
	active, completed bool
	orphaned          bool // started by a command that arrived too late
}

type modelWorker struct {
	id                 string
	tasks              []modelTask
	token, incarnation uint64
	seq                uint64
	lastResponseAt     int64
	hung               bool
	pendingCommands    []func() // commands in flight to the worker
	maxTasks           int
	orphanedTasks      int // number reported in its last heartbeat
	machine            *Machine
	ownedAttempts      map[attemptKey]bool // active attempts of the current claim
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

// runsUnownedTasks reports whether the worker runs a task that the current claim does not own.
func (w *modelWorker) runsUnownedTasks() bool {
	return slices.ContainsFunc(w.tasks, func(task modelTask) bool {
		return task.active && !w.ownedAttempts[task.attemptKey]
	})
}
