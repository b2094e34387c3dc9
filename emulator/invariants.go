package emulator

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/grebedock/grebedock/internal/platformfake"
	"github.com/grebedock/grebedock/scheduler"
)

func (sim *Simulation) recordViolation(rule, format string, a ...any) {
	if sim.Violations[rule] == "" {
		sim.Tracef("VIOLATION %s", rule)
		sim.Violations[rule] = fmt.Sprintf("at %d ms: ", sim.Now) + fmt.Sprintf(format, a...)
	}
}

// checkCommands counts commands to workers, and checks that none stops a healthy attempt: a stop
// without a grace period, while the job is active and no other machine has the task, is a
// violation. A stop for an attempt other than the running one is allowed and has no effect: it
// responds to a heartbeat with a long delay.
func (sim *Simulation) checkCommands(commands []scheduler.Command) {
	for _, command := range commands {
		sim.countCommands(string(command.Kind), 1)
		j := sim.Jobs[command.Task[:strings.IndexByte(command.Task, '/')]]
		if command.Kind != scheduler.CommandStop || command.GraceS > 0 || sim.ChecksDisabled || j == nil ||
			j.CancelRequested ||
			j.ObservedState.IsTerminal() ||
			j.DoneTasks[command.Task] ||
			j.Spec.AtMostOnce ||
			j.Spec.MaxTaskErrors > 0 {
			continue
		}
		running, isRunningAttempt := 0, false
		sim.EachTask(func(_ *Worker, t *platformfake.Task) {
			if t.Name == command.Task {
				running++
				isRunningAttempt = t.Attempt == command.Attempt
			}
		})
		if running == 1 && isRunningAttempt {
			sim.recordViolation("stopped_well", "%s, attempt %d", command.Task, command.Attempt)
		}
	}
}

func (sim *Simulation) onStart(worker *Worker, t *platformfake.Task) {
	j := sim.Jobs[t.Job.ID]
	job := &j.Spec
	if j.FirstStartAt == 0 {
		j.FirstStartAt = sim.Now
	}
	if j.StartCounts[t.Name]++; j.StartCounts[t.Name] > 1 {
		sim.RepeatedStarts++
	}
	if job.AtMostOnce && j.StartCounts[t.Name] > 1 {
		sim.recordViolation("began_again", "%s begins for the %d. time", t.Name, j.StartCounts[t.Name])
	}
	sim.Tracef("emulator: %s attempt %d starts on %s", t.Name, t.Attempt, worker.Instance.ID)
	worker.taskStartedAt[t.Name] = sim.Now
	delete(sim.startableSince, job.ID)
	sim.checkStart(worker, t)
	if _, started := j.countedStartAt[t.Name]; !started {
		j.countedStartAt[t.Name] = sim.Now
	}
	if sim.ChecksDisabled || sim.SweepIntervalMS > 0 {
		return
	}
	cpus, gpus, zones, total := 0.0, 0.0, map[string]int{}, 0
	sim.EachTask(func(other *Worker, task *platformfake.Task) {
		if task.Job.Team == job.Team {
			cpus += task.Job.Request.CPUs
			gpus += task.Job.Request.GPUs
		}
		if task.Job.ID == job.ID {
			zones[other.Instance.Zone]++
			total++
		}
		if task.Name == t.Name && other != worker {
			sim.recordViolation(
				"ran_twice", "%s starts on %s while on %s", t.Name, worker.Instance.ID, other.Instance.ID,
			)
		}
	})
	sim.checkLimits(job.Team, cpus, gpus)
	sim.checkTeamUsage()
	sim.checkPlacement(worker, t, zones)
}

func (sim *Simulation) checkLimits(team string, cpus, gpus float64) {
	if t := sim.Params.Teams[team]; t.MaxCPUs > 0 && cpus > t.MaxCPUs+1e-6 || t.MaxGPUs > 0 && gpus > t.MaxGPUs+1e-6 {
		sim.recordViolation("quota", "%s uses %v processors, %v accelerators", team, cpus, gpus)
	}
}

// checkPlacement checks that a task may run on its machine; zones counts its job's tasks by zone.
func (sim *Simulation) checkPlacement(worker *Worker, t *platformfake.Task, zones map[string]int) {
	job := &sim.Jobs[t.Job.ID].Spec
	if worker.Instance.Spot && !job.Spot || job.Zone != "" && job.Zone != worker.Instance.Zone ||
		len(job.Types) > 0 && !slices.Contains(job.Types, worker.Instance.Type) ||
		job.OneZone && len(zones) > 1 ||
		job.Spread && zones[worker.Instance.Zone] > (job.Tasks+1)/2 {
		sim.recordViolation("wrong_place", "%s on %s", t.Name, worker.Instance.ID)
	}
}

// sweep checks the placements and limits of all tasks, at intervals of SweepIntervalMS.
func (sim *Simulation) sweep() {
	cpus, gpus := map[string]float64{}, map[string]float64{}
	zones, workers := map[string]map[string]int{}, map[string]*Worker{}
	sim.EachTask(func(worker *Worker, t *platformfake.Task) {
		if other := workers[t.Name]; other != nil {
			sim.recordViolation("ran_twice", "%s on %s while on %s", t.Name, worker.Instance.ID, other.Instance.ID)
		}
		workers[t.Name] = worker
		cpus[t.Job.Team] += t.Job.Request.CPUs
		gpus[t.Job.Team] += t.Job.Request.GPUs
		if zones[t.Job.ID] == nil {
			zones[t.Job.ID] = map[string]int{}
		}
		zones[t.Job.ID][worker.Instance.Zone]++
	})
	// Sorted, so that all runs with the same seed record the same first violation.
	for _, team := range slices.Sorted(maps.Keys(cpus)) {
		sim.checkLimits(team, cpus[team], gpus[team])
	}
	sim.EachTask(func(worker *Worker, t *platformfake.Task) { sim.checkPlacement(worker, t, zones[t.Job.ID]) })
	sim.After(sim.SweepIntervalMS, sim.sweep)
}

func (sim *Simulation) checkCancelled() {
	if sim.ChecksDisabled {
		return
	}
	sim.EachTask(func(worker *Worker, t *platformfake.Task) {
		j := sim.Jobs[t.Job.ID]
		if j.CancelConfirmedAt > 0 && sim.Now-j.CancelConfirmedAt > int64(sim.Params.CancelWithinS*1000) {
			sim.recordViolation(
				"ran_cancelled",
				"%s on %s, %d ms after its cancellation",
				t.Name,
				worker.Instance.ID,
				sim.Now-j.CancelConfirmedAt,
			)
		}
	})
}
