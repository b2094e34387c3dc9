package emulator

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/grebedock/grebedock/scheduler"
)

// GroupProgress is how many of a group of jobs were done, of those that were not cancelled.
type GroupProgress struct {
	Done, Jobs int
	// LongestWaitMS is the longest time that one of them waited for its first task, after
	// it was accepted.
	LongestWaitMS int64
}

// Groups of jobs that are counted by themselves: their names begin so.
const (
	classGroup   = "class "
	teamGroup    = "team "
	largestGroup = "largest " // quarter of a class, by what its tasks use together
	longestGroup = "longest " // quarter of a class, by its tasks' run time
)

// MaxLargestJobWaitMS is how soon each of a class's largest jobs must begin.
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

// topQuarter is the quarter of some jobs that has the most of something, rounded up.
func topQuarter(jobs []*Job, measure func(*Job) float64) []*Job {
	jobs = slices.Clone(jobs)
	slices.SortStableFunc(jobs, func(a, b *Job) int { return cmp.Compare(measure(b), measure(a)) })
	return jobs[:(len(jobs)+3)/4]
}

// totalCPUs is what a job's tasks use together, in processors.
func (j *Job) totalCPUs() float64 { return j.Spec.Request.CPUs * float64(j.Spec.Tasks) }

// runTimeMS is how long a job's tasks run, in ms: the longest of those that ran, or else
// what is known of them before.
func (j *Job) runTimeMS() float64 {
	if j.longestRunMS > 0 {
		return float64(j.longestRunMS)
	}
	return 1000 * cmp.Or(j.TaskRunS, j.Spec.EstimateS)
}

// UnderservedGroups tells in which groups less than half of the jobs were served, and which of the
// largest began too late.
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
