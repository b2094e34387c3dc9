package emulator

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/grebedock/grebedock/scheduler"
)

// GroupProgress counts the jobs of a group that were done, among those not cancelled.
type GroupProgress struct {
	Done, Jobs int
	// LongestWaitMS is the longest time that one of them waited for its first task, after
	// it was accepted.
	LongestWaitMS int64
}

// Prefixes of the names of job groups that are counted separately.
const (
	classGroup   = "class "
	teamGroup    = "team "
	largestGroup = "largest " // quarter of a class, by what its tasks use together
	longestGroup = "longest " // quarter of a class, by its tasks' run time
)

// MaxLargestJobWaitMS is the longest time until each of a class's largest jobs must start.
const MaxLargestJobWaitMS = 240_000

// ProgressByGroup counts jobs that were accepted and not cancelled, by group.
func (sim *Simulation) ProgressByGroup() map[string]GroupProgress {
	out := map[string]GroupProgress{}
	count := func(group string, j *Job) {
		progress := out[group]
		if progress.Jobs++; j.ObservedState == scheduler.Done {
			progress.Done++
		}
		startedAt := j.FirstStartAt
		if startedAt == 0 {
			startedAt = sim.Now
		}
		progress.LongestWaitMS = max(progress.LongestWaitMS, startedAt-j.AcceptedAt)
		out[group] = progress
	}
	classes := map[string][]*Job{}
	for _, id := range sim.JobIDs {
		j := sim.Jobs[id]
		if !j.Accepted || j.CancelRequested || j.ObservedState == scheduler.Cancelled {
			continue
		}
		count(classGroup+j.Spec.Class, j)
		count(teamGroup+j.Spec.Team, j)
		classes[j.Spec.Class] = append(classes[j.Spec.Class], j)
	}
	for class, jobs := range classes {
		for _, j := range topQuarter(jobs, (*Job).totalCPUs) {
			count(largestGroup+class, j)
		}
		for _, j := range topQuarter(jobs, (*Job).runTimeMS) {
			count(longestGroup+class, j)
		}
	}
	return out
}

// topQuarter returns the quarter of the jobs, rounded up, for which measure is largest.
func topQuarter(jobs []*Job, measure func(*Job) float64) []*Job {
	jobs = slices.Clone(jobs)
	slices.SortStableFunc(jobs, func(a, b *Job) int { return cmp.Compare(measure(b), measure(a)) })
	return jobs[:(len(jobs)+3)/4]
}

// totalCPUs returns the processors that all tasks of a job use together.
func (j *Job) totalCPUs() float64 { return j.Spec.Request.CPUs * float64(j.Spec.Tasks) }

// runTimeMS returns the run time of a job's tasks in ms: the longest of those that ran, or else
// what the job was submitted with.
func (j *Job) runTimeMS() float64 {
	if j.longestRunMS > 0 {
		return float64(j.longestRunMS)
	}
	return 1000 * cmp.Or(j.TaskRunS, j.Spec.EstimateS)
}

// UnderservedGroups lists the groups of which less than half of the jobs were done, and the
// largest jobs that started too late.
func (sim *Simulation) UnderservedGroups() []string {
	var out []string
	served := sim.ProgressByGroup()
	for _, group := range slices.Sorted(maps.Keys(served)) {
		progress := served[group]
		if progress.Done*2 < progress.Jobs {
			out = append(out, fmt.Sprintf("%s: %d of %d served", group, progress.Done, progress.Jobs))
		}
		if strings.HasPrefix(group, largestGroup) && progress.LongestWaitMS > MaxLargestJobWaitMS {
			out = append(out, fmt.Sprintf("%s: one began after %d ms", group, progress.LongestWaitMS))
		}
	}
	return out
}
