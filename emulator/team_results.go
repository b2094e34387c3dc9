package emulator

import (
	"github.com/grebedock/grebedock/internal/platformfake"
	"github.com/grebedock/grebedock/scheduler"
)

// Team results are measured on the machines, not taken from reports of members.

// minCountedRunMS is the minimum run time in ms with which the start of a task counts if the task
// is stopped by command (PROTOCOL).
const minCountedRunMS = 30_000

// isUnfinished reports whether a job still has tasks to run.
func (j *Job) isUnfinished() bool {
	return j.DoneAt == 0 && !j.CancelRequested && !j.ObservedState.IsTerminal()
}

// isWithinGuarantee reports whether a job fits its team's guarantee together with the team's
// earlier unfinished jobs.
func (sim *Simulation) isWithinGuarantee(j *Job) bool {
	team := sim.Params.Teams[j.Spec.Team]
	if team.CPUs <= 0 && team.GPUs <= 0 {
		return false
	}
	cpus, gpus := 0.0, 0.0
	for _, id := range sim.JobIDs {
		if other := sim.Jobs[id]; other.Spec.Team == j.Spec.Team && other.isUnfinished() {
			cpus += float64(other.Spec.Tasks) * other.Spec.Request.CPUs
			gpus += float64(other.Spec.Tasks) * other.Spec.Request.GPUs
		}
	}
	return cpus <= team.CPUs && gpus <= team.GPUs
}

// excludeEarlyStop excludes the start of a task that is stopped by command before minCountedRunMS.
func (sim *Simulation) excludeEarlyStop(worker *Worker, t *platformfake.Task) {
	j := sim.Jobs[t.Job.ID]
	if at, ok := j.countedStartAt[t.Name]; ok && sim.Now-at < minCountedRunMS && worker.Agent.NoticeS == nil &&
		!j.CancelRequested {
		delete(j.countedStartAt, t.Name)
	}
}

// countPromptStarts measures how soon tasks within a team's guarantee started, for jobs that
// arrived since sinceMS and were not cancelled.
func (sim *Simulation) countPromptStarts(result *TeamResult, withinS float64, sinceMS int64) {
	var waits []float64
	prompt := 0
	for _, id := range sim.JobIDs {
		j := sim.Jobs[id]
		if j.Spec.Team != result.Team || !j.withinGuarantee || j.CancelRequested || j.SubmittedAt < sinceMS {
			continue
		}
		result.Guaranteed += j.Spec.Tasks
		for _, at := range j.countedStartAt {
			wait := float64(at-j.SubmittedAt) / 1000
			waits = append(waits, wait)
			if wait <= withinS {
				prompt++
			}
		}
	}
	if result.Guaranteed > 0 {
		result.PromptShare = float64(prompt) / float64(result.Guaranteed)
	}
	// For tasks without a counted start, the time since the start of the simulation counts as the
	// wait, which is longer than any other.
	for len(waits) < result.Guaranteed {
		waits = append(waits, float64(sim.Now)/1000)
	}
	result.PromptWaitS = quantiles(waits)
	samples := sim.limitUse[result.Team]
	result.LimitContendedS, result.BelowGuaranteeS = samples.contendedS, samples.belowGuaranteeS
	if samples.contendedS > 0 {
		result.LimitUsedShare = samples.usedShareSum / float64(samples.contendedS)
	}
}

// limitSamples accumulates samples of a team's use of its limit and guarantee.
type limitSamples struct {
	contendedS, belowGuaranteeS int
	usedShareSum                float64
}

// sampleLimits samples the usage and demand of teams once per second.
func (sim *Simulation) sampleLimits() {
	cpus, waitingCPUs := map[string]float64{}, map[string]float64{}
	placedTasks := map[string]bool{}
	sim.EachTask(func(_ *Worker, t *platformfake.Task) {
		cpus[t.Job.Team] += t.Job.Request.CPUs
		placedTasks[t.Name] = true
	})
	starved := map[string]bool{}
	for _, id := range sim.JobIDs {
		j := sim.Jobs[id]
		if !j.Accepted || !j.isUnfinished() {
			continue
		}
		remaining := j.Spec.Tasks - len(j.DoneTasks)
		for n := range j.Spec.Tasks {
			if name := scheduler.TaskName(id, n); placedTasks[name] && !j.DoneTasks[name] {
				remaining--
			}
		}
		waitingCPUs[j.Spec.Team] += float64(remaining) * j.Spec.Request.CPUs
		if remaining > 0 && j.withinGuarantee && float64(sim.Now-j.SubmittedAt) > sim.Params.GuaranteeWithinS*1000 {
			starved[j.Spec.Team] = true
		}
	}
	for team, t := range sim.Params.Teams {
		samples := sim.limitUse[team]
		if t.MaxCPUs > 0 && cpus[team]+waitingCPUs[team] >= t.MaxCPUs {
			samples.contendedS++
			samples.usedShareSum += cpus[team] / t.MaxCPUs
		}
		if t.CPUs > 0 && cpus[team] < t.CPUs && starved[team] {
			samples.belowGuaranteeS++
		}
		sim.limitUse[team] = samples
	}
	sim.After(1000, sim.sampleLimits)
}
