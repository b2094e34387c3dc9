package emulator

import (
	"slices"

	"github.com/grebedock/grebedock/internal/history"
	"github.com/grebedock/grebedock/internal/standin"
	"github.com/grebedock/grebedock/scheduler"
)

// Checks of what users are told, of what starts, and of which jobs are accepted. Each is
// made from the world's side: by what users asked and heard, and by what the machines did.

// noteAsked adds a request to the history, as one that has no answer yet, and returns its
// place there. A day may end before the answer comes.
func (w *World) noteAsked(r scheduler.UserRequest) int {
	w.moment++
	w.History = append(w.History, history.Op{Job: r.ID, Kind: r.Kind, Call: w.moment})
	return len(w.History) - 1
}

// noteTold adds the answer to a request in the history, or that there was none.
func (w *World) noteTold(place int, a scheduler.UserAnswer, ok bool) {
	w.moment++
	op := &w.History[place]
	op.Return = w.moment
	if ok && a.Status != 503 {
		op.Status, op.State = a.Status, a.State
	}
}

// checkAnswer looks at an answer as it leaves the member, when its job may have tasks left
// that end before the user hears it.
func (w *World) checkAnswer(r scheduler.UserRequest, a scheduler.UserAnswer) {
	j := w.Jobs[r.ID]
	if j != nil && a.State == scheduler.Done && len(j.Done) < j.Job.Tasks {
		w.fail("not_done", "%s is called done after %d of %d tasks", r.ID, len(j.Done), j.Job.Tasks)
	}
}

// checkStart looks at a start as it happens: a task may start and end between two looks at
// what the machines have.
func (w *World) checkStart(h *Host, t *standin.Task) {
	j := w.Jobs[t.Job.ID]
	if j.Cancelled == 0 {
		return
	}
	w.CancelledStarts++
	late := w.Now - j.Cancelled
	w.Tell("world: %s starts %d ms after its cancellation", t.Name, late)
	if late > int64(w.Params.CancelS*1000) {
		w.fail("ran_cancelled", "%s starts on %s, %d ms after its cancellation", t.Name, h.Rental.ID, late)
	}
}

// wrongAnswer is the rule that a job is accepted if, and only if, it can run.
const wrongAnswer = "wrong_answer"

func (w *World) checkAccepted(j *Job) {
	if why := w.impossible(&j.Job); why != "" {
		w.fail(wrongAnswer, "%s is accepted: %s", j.Job.ID, why)
	}
}

// checkRefused looks at an answer by which a job is refused for good.
func (w *World) checkRefused(j *Job, a scheduler.UserAnswer) {
	if a.Status != 404 && w.impossible(&j.Job) == "" {
		w.fail(wrongAnswer, "%s gets %d (%s), and is right", j.Job.ID, a.Status, a.Error)
	}
}

// impossible says why a job can never run, by the protocol's words; empty: it can.
func (w *World) impossible(j *scheduler.Job) string {
	team, ok := w.Params.Teams[j.Team]
	if !ok {
		return "unknown team"
	}
	together := 1.0 // tasks that must run at once
	if j.Kind != scheduler.Array {
		together = float64(j.Tasks)
	}
	if team.MaxCPUs > 0 && together*j.Request.CPUs > team.MaxCPUs || team.MaxGPUs > 0 && together*j.Request.GPUs > team.MaxGPUs {
		return "more than the team's limit"
	}
	fits := func(t scheduler.MachineType) bool {
		r := j.Request
		r.DiskGB = 0
		return t.Room.Holds(r) && (len(j.Types) == 0 || slices.Contains(j.Types, t.Name)) && (j.Zone == "" || slices.Contains(t.Zones, j.Zone))
	}
	if !slices.ContainsFunc(w.o.Types, fits) {
		return "a task fits no allowed machine type"
	}
	return ""
}

// impossibleJobs turn a job into one that can never run, each for a reason of its own.
var impossibleJobs = []func(*scheduler.Job){
	func(j *scheduler.Job) { j.Request.CPUs = 1e6 },
	func(j *scheduler.Job) { j.Request.MemoryGB = 1e6 },
	func(j *scheduler.Job) { j.Request.GPUs = 1e6 },
	func(j *scheduler.Job) { j.Team = "nobody" },
	func(j *scheduler.Job) { j.Types = []string{"none"} },
	func(j *scheduler.Job) { j.Zone = "nowhere" },
}
