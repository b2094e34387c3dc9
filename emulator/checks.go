package emulator

import (
	"slices"

	"github.com/grebedock/grebedock/internal/history"
	"github.com/grebedock/grebedock/internal/platformfake"
	"github.com/grebedock/grebedock/scheduler"
)

// Checks of responses to users, of task starts, and of the acceptance of jobs. Each relies only on
// requests and responses of users and on actions of machines, never on the state of a member.

// recordRequest adds a request without a response to the history and returns its index. A scenario
// may end before the response arrives.
func (sim *Simulation) recordRequest(req scheduler.UserRequest) int {
	sim.historyClock++
	sim.History = append(sim.History, history.Op{Job: req.ID, Kind: req.Kind, Call: sim.historyClock})
	return len(sim.History) - 1
}

// recordResponse adds a response to the request at index; ok is false if there was no response.
func (sim *Simulation) recordResponse(index int, resp scheduler.UserResponse, ok bool) {
	sim.historyClock++
	op := &sim.History[index]
	op.Return = sim.historyClock
	if ok && resp.Status != 503 {
		op.Status, op.State = resp.Status, resp.State
	}
}

// checkResponse checks a response when the member sends it: tasks that are unfinished at that time
// may end before the user receives the response.
func (sim *Simulation) checkResponse(req scheduler.UserRequest, resp scheduler.UserResponse) {
	j := sim.Jobs[req.ID]
	if j != nil && resp.State == scheduler.Done && len(j.DoneTasks) < j.Spec.Tasks {
		sim.recordViolation(
			"not_done", "%s is called done after %d of %d tasks", req.ID, len(j.DoneTasks),
			j.Spec.Tasks,
		)
	}
}

// checkStart checks a task start when it occurs, because a task may start and end between two
// sweeps over the machines.
func (sim *Simulation) checkStart(worker *Worker, t *platformfake.Task) {
	j := sim.Jobs[t.Job.ID]
	if j.CancelConfirmedAt == 0 {
		return
	}
	sim.StartsAfterCancel++
	sinceCancelMS := sim.Now - j.CancelConfirmedAt
	sim.Tracef("emulator: %s starts %d ms after its confirmed cancellation", t.Name, sinceCancelMS)
	if sinceCancelMS > int64(sim.Params.CancelWithinS*1000) {
		sim.recordViolation(
			"ran_cancelled",
			"%s starts on %s, %d ms after its cancellation",
			t.Name,
			worker.Instance.ID,
			sinceCancelMS,
		)
	}
}

// wrongResponseRule is the rule that a job is accepted if and only if it can run.
const wrongResponseRule = "wrong_answer"

func (sim *Simulation) checkAccepted(j *Job) {
	if reason := sim.impossibilityReason(&j.Spec); reason != "" {
		sim.recordViolation(wrongResponseRule, "%s is accepted: %s", j.Spec.ID, reason)
	}
}

// checkRefused checks a response that rejects a request permanently.
func (sim *Simulation) checkRefused(j *Job, resp scheduler.UserResponse) {
	if resp.Status != 404 && sim.impossibilityReason(&j.Spec) == "" {
		sim.recordViolation(wrongResponseRule, "%s gets %d (%s), and is right", j.Spec.ID, resp.Status, resp.Error)
	}
}

// impossibilityReason returns the reason under the protocol why a job can never run, or an empty
// string if it can.
func (sim *Simulation) impossibilityReason(j *scheduler.Job) string {
	team, ok := sim.Params.Teams[j.Team]
	if !ok {
		return "unknown team"
	}
	concurrentTasks := 1.0 // tasks that must run at once
	if j.Kind != scheduler.Array {
		concurrentTasks = float64(j.Tasks)
	}
	if team.MaxCPUs > 0 && concurrentTasks*j.Request.CPUs > team.MaxCPUs ||
		team.MaxGPUs > 0 && concurrentTasks*j.Request.GPUs > team.MaxGPUs {
		return "more than the team's limit"
	}
	fits := func(machineType scheduler.MachineType) bool {
		request := j.Request
		request.DiskGB = 0
		return machineType.Resources.Contains(request) && (len(j.Types) == 0 ||
			slices.Contains(j.Types, machineType.Name)) &&
			(j.Zone == "" || slices.Contains(machineType.Zones, j.Zone))
	}
	if !slices.ContainsFunc(sim.options.Types, fits) {
		return "a task fits no allowed machine type"
	}
	return ""
}

// makeImpossible holds functions that change a job into one that can never run, each for a
// different reason.
var makeImpossible = []func(*scheduler.Job){
	func(j *scheduler.Job) { j.Request.CPUs = 1e6 },
	func(j *scheduler.Job) { j.Request.MemoryGB = 1e6 },
	func(j *scheduler.Job) { j.Request.GPUs = 1e6 },
	func(j *scheduler.Job) { j.Team = "nobody" },
	func(j *scheduler.Job) { j.Types = []string{"none"} },
	func(j *scheduler.Job) { j.Zone = "nowhere" },
}
