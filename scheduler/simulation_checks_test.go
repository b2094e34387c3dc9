package scheduler_test

import (
	"slices"
	"strings"
	"testing"

	"github.com/grebedock/grebedock/emulator"
	"github.com/grebedock/grebedock/internal/platformfake"
	"github.com/grebedock/grebedock/scheduler"
)

// These tests inject a fault for each check of the simulation and require that the check detects it.

// runWithTamperedResponses runs a scenario with many queries and invalid requests, and applies tamper to each
// response. It injects no other faults.
func runWithTamperedResponses(
	seed uint64,
	tamper func(scheduler.UserRequest, *scheduler.UserResponse),
) *testSimulation {
	sim := newTestSimulation(seed, emulator.InjectedFault{ResponseToRequest: tamper}, smallScale)
	sim.noRandomFaults = true
	sim.adjustJob = func(j *scheduler.Job, n int) { j.AtMostOnce, j.MaxTaskErrors = false, 0 }
	sim.After(1, func() {
		sim.ReadConcurrently(60_000)
		sim.SendInvalidRequests(60_000)
		sim.CancelAtEnd(0.3, 60_000)
	})
	sim.runScenario(40_000, 90_000, 30)
	return sim
}

// The simulation checks that one order of events explains the responses of all members. It detects a response
// that contradicts an earlier one.
func TestStaleResponsesAreDetected(t *testing.T) {
	t.Parallel()
	submitted := func(req scheduler.UserRequest, resp *scheduler.UserResponse) bool {
		return req.Kind == scheduler.SubmitJob && resp.Status == 200
	}
	for name, tamper := range map[string]func(scheduler.UserRequest, *scheduler.UserResponse){
		"untampered": nil,
		"accepted again": func(req scheduler.UserRequest, resp *scheduler.UserResponse) {
			if submitted(req, resp) {
				resp.Status, resp.State = 201, scheduler.Pending
			}
		},
		"resubmitted, pending after the end": func(req scheduler.UserRequest, resp *scheduler.UserResponse) {
			if submitted(req, resp) && resp.State.IsTerminal() {
				resp.State = scheduler.Pending
			}
		},
		"resubmitted, refused": func(req scheduler.UserRequest, resp *scheduler.UserResponse) {
			if submitted(req, resp) {
				resp.Status, resp.State = 422, ""
			}
		},
		"resubmitted, cancelled after done": func(req scheduler.UserRequest, resp *scheduler.UserResponse) {
			if submitted(req, resp) && resp.State == scheduler.Done {
				resp.State = scheduler.Cancelled
			}
		},
		"cancelled again, unknown": func(req scheduler.UserRequest, resp *scheduler.UserResponse) {
			if req.Kind == scheduler.CancelJob && resp.State == scheduler.Done {
				resp.Status, resp.State = 404, ""
			}
		},
		"queried, running after the end": func(req scheduler.UserRequest, resp *scheduler.UserResponse) {
			if req.Kind == scheduler.QueryJob && resp.State.IsTerminal() && req.ID[len(req.ID)-1] == '3' {
				resp.State = scheduler.Running
			}
		},
		"queried, no state": func(req scheduler.UserRequest, resp *scheduler.UserResponse) {
			if req.Kind == scheduler.QueryJob && resp.State == scheduler.Running {
				resp.State = ""
			}
		},
		"accepted as done": func(req scheduler.UserRequest, resp *scheduler.UserResponse) {
			if resp.Status == 201 {
				resp.State = scheduler.Done
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			sim := runWithTamperedResponses(11, tamper)
			if detected := len(sim.orderViolations(t)) > 0; detected != (tamper != nil) {
				t.Errorf("got detected %v, want %v", detected, tamper != nil)
			}
			if tamper == nil && len(sim.Violations) > 0 {
				t.Errorf("got violations %v, want none", sim.Violations)
			}
		})
	}
}

// The simulation detects the acceptance of a job that cannot run or lacks a field, and the refusal of a valid
// job.
func TestWrongAcceptancesAreDetected(t *testing.T) {
	t.Parallel()
	for name, tamper := range map[string]func(scheduler.UserRequest, *scheduler.UserResponse){
		"missing field accepted": func(_ scheduler.UserRequest, resp *scheduler.UserResponse) {
			if resp.Status == 400 {
				resp.Status, resp.State = 201, scheduler.Pending
			}
		},
		"unplaceable job accepted": func(_ scheduler.UserRequest, resp *scheduler.UserResponse) {
			if resp.Status == 422 {
				resp.Status, resp.State = 201, scheduler.Pending
			}
		},
		"valid job refused": func(req scheduler.UserRequest, resp *scheduler.UserResponse) {
			if resp.Status == 201 && strings.HasSuffix(req.ID, "5") {
				resp.Status = 422
			}
		},
		"valid job malformed": func(req scheduler.UserRequest, resp *scheduler.UserResponse) {
			if resp.Status == 201 && strings.HasSuffix(req.ID, "5") {
				resp.Status = 400
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			if sim := runWithTamperedResponses(12, tamper); sim.Violations["wrong_answer"] == "" {
				t.Errorf("got violations %v, want a wrong_answer", sim.Violations)
			}
		})
	}
	// A job that fits no machine is made valid before it reaches the scheduler, and so is accepted.
	fault := emulator.InjectedFault{SubmittedJob: func(j *scheduler.Job) { j.Request.CPUs = 1 }}
	sim := newTestSimulation(13, fault, smallScale)
	sim.noRandomFaults = true
	sim.adjustJob = func(j *scheduler.Job, n int) {
		if n == 3 {
			j.Request.CPUs = 80
		}
	}
	sim.runScenario(10_000, 20_000, 5)
	if sim.Violations["wrong_answer"] == "" {
		t.Errorf("acceptance of a job that fits no machine: got violations %v, want a wrong_answer", sim.Violations)
	}
}

// longTaskRunMS returns a run time that exceeds the duration of the scenario.
func longTaskRunMS(*emulator.Simulation, *emulator.Job, string) int64 { return 600_000 }

// The simulation detects a task that still runs after its confirmed cancellation, on a machine that hung.
func TestCancelledTasksOnHungMachinesAreDetected(t *testing.T) {
	t.Parallel()
	onHungMachine := map[string]bool{} // names of tasks that were on a machine while it hung
	options := emulator.Options{
		Seed:      21,
		TaskRunMS: longTaskRunMS,
		InjectedFault: emulator.InjectedFault{WorkerResponse: func(resp *scheduler.HeartbeatResponse) {
			resp.Commands = slices.DeleteFunc(resp.Commands, func(cmd scheduler.Command) bool {
				return cmd.Kind == scheduler.CommandStop && onHungMachine[cmd.Task]
			})
		}},
	}
	sim := newTestSimulationWith(smallScale, options)
	sim.noRandomFaults = true
	sim.After(40_000, func() { sim.CancelRunningJobs(3, 4000) })
	sim.After(40_010, func() {
		sim.EachTask(func(worker *emulator.Worker, t *platformfake.Task) {
			if worker.HangUntil > sim.Now {
				onHungMachine[t.Name] = true
			}
		})
	})
	sim.runScenario(20_000, 90_000, 20)
	_, violation, _ := strings.Cut(sim.Violations["ran_cancelled"], "ms: ")
	if task, _, _ := strings.Cut(violation, " "); !onHungMachine[task] {
		t.Errorf("got violations %v, want a ran_cancelled of one of %d tasks on hung machines",
			sim.Violations, len(onHungMachine))
	}
}

// The simulation counts starts after a confirmed cancellation. Later than cancel_s, they are a violation.
func TestStartsAfterCancellationAreDetected(t *testing.T) {
	t.Parallel()
	for name, pastBound := range map[string]bool{"within cancel_s": false, "past cancel_s": true} {
		var sim *testSimulation
		stopped := map[string]scheduler.Command{}
		stoppedAt := map[string]int64{}
		options := emulator.Options{
			Seed:      22,
			TaskRunMS: func(*emulator.Simulation, *emulator.Job, string) int64 { return 15_000 },
		}
		// A stopped task is started once more, with the next attempt number.
		options.InjectedFault.WorkerResponse = func(resp *scheduler.HeartbeatResponse) {
			for _, cmd := range resp.Commands {
				j := sim.Jobs[cmd.Task[:strings.IndexByte(cmd.Task, '/')]]
				if cmd.Kind == scheduler.CommandStop && j.CancelConfirmedAt > 0 && stoppedAt[cmd.Task] == 0 {
					cmd.Kind, cmd.Attempt = scheduler.CommandStart, cmd.Attempt+1
					stopped[cmd.Task], stoppedAt[cmd.Task] = cmd, sim.Now
				}
			}
			for task, cmd := range stopped {
				restartAfterMS := 1000.0
				if pastBound {
					restartAfterMS += sim.Params.CancelWithinS * 1000
				}
				if resp.Accepted && float64(sim.Now-stoppedAt[task]) > restartAfterMS {
					delete(stopped, task)
					resp.Commands = append(resp.Commands, cmd)
				}
			}
		}
		sim = newTestSimulationWith(smallScale, options)
		sim.noRandomFaults = true
		sim.After(30_000, func() { sim.CancelRunningJobs(3, 0) })
		sim.runScenario(25_000, 90_000, 20)
		if sim.StartsAfterCancel == 0 {
			t.Errorf("%s: got no start after a cancellation, want at least 1", name)
		}
		if detected := strings.Contains(sim.Violations["ran_cancelled"], "starts on"); detected != pastBound {
			t.Errorf("%s: got violations %v, want a detected start: %v", name, sim.Violations, pastBound)
		}
	}
}

// checkServed fails the test if less than half of the jobs of a class, of a team, or of a class's largest or
// longest jobs were served, or if one of the largest jobs did not start within four minutes.
func (sim *testSimulation) checkServed(t *testing.T) {
	t.Helper()
	for _, group := range sim.UnderservedGroups() {
		t.Error(group)
	}
}

// The simulation detects a job that is left waiting although a suitable machine has capacity. It does not report
// a job that waits for capacity or for its team's limit, or that is eventually served.
func TestStarvedJobsAreDetected(t *testing.T) {
	t.Parallel()
	const starvedJob = "job-000007"
	runDroppingStarts := func(dropUntil int64) *testSimulation {
		sim := newTestSimulation(31, emulator.InjectedFault{}, smallScale)
		sim.noRandomFaults = true
		sim.adjustJob = func(j *scheduler.Job, n int) { j.AtMostOnce, j.MaxTaskErrors = false, 0 }
		// The members' start commands of this job are dropped.
		withoutStarts := func(commands []scheduler.Command) []scheduler.Command {
			return slices.DeleteFunc(commands, func(cmd scheduler.Command) bool {
				isOfJob := strings.HasPrefix(cmd.Task, starvedJob+"/")
				return isOfJob && cmd.Kind == scheduler.CommandStart && sim.Now < dropUntil
			})
		}
		sim.Observer = func(_ *emulator.Member, outputs *scheduler.Outputs) {
			for id, resp := range outputs.HeartbeatResponses {
				resp.Commands = withoutStarts(resp.Commands)
				outputs.HeartbeatResponses[id] = resp
			}
			for i := range outputs.DirectCommands {
				outputs.DirectCommands[i].Commands = withoutStarts(outputs.DirectCommands[i].Commands)
			}
		}
		sim.runScenario(20_000, 300_000, 30)
		return sim
	}
	if sim := runDroppingStarts(300_000); !strings.Contains(sim.Violations["left_waiting"], starvedJob) {
		t.Errorf("got violations %v, want %s as left_waiting", sim.Violations, starvedJob)
	}
	if sim := runDroppingStarts(60_000); sim.Violations["left_waiting"] != "" {
		t.Errorf("got violations %v, want no left_waiting", sim.Violations)
	}
}
