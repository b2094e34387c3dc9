package emulator

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/grebedock/grebedock/scheduler"
)

// GroupProgress counts the accepted jobs of a group that were not cancelled, and those that are
// done.
type GroupProgress struct {
	Done, Jobs int
	// LongestWaitMS is the longest time from a job's acceptance to its first task start, or to now
	// if none of its tasks has started.
	LongestWaitMS int64
}

// Prefixes of the names of job groups that are counted separately.
const (
	classGroup   = "class "
	teamGroup    = "team "
	largestGroup = "largest " // quarter of a class with the largest total CPU requests
	longestGroup = "longest " // quarter of a class with the longest run times
)

// MaxLargestJobWaitMS is the time within which each of a class's largest jobs must start.
const MaxLargestJobWaitMS = 240_000

// ProgressByGroup counts jobs that were accepted and not cancelled, by group. A job belongs to
// several groups.
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

// totalCPUs returns the sum of the CPU requests of all tasks of a job.
func (j *Job) totalCPUs() float64 { return j.Spec.Request.CPUs * float64(j.Spec.Tasks) }

// runTimeMS returns the longest run time of a job's tasks in ms or, if none has run, the run time
// or estimate that the job was submitted with.
func (j *Job) runTimeMS() float64 {
	if j.longestRunMS > 0 {
		return float64(j.longestRunMS)
	}
	return 1000 * cmp.Or(j.TaskRunS, j.Spec.EstimateS)
}

// UnderservedGroups lists the groups of which less than half of the jobs are done, and the groups
// of largest jobs in which a job started too late.
func (sim *Simulation) UnderservedGroups() []string {
	var out []string
	served := sim.ProgressByGroup()
	for _, group := range slices.Sorted(maps.Keys(served)) {
		progress := served[group]
		if progress.Done*2 < progress.Jobs {
			out = append(out, fmt.Sprintf("%s: %d of %d jobs done", group, progress.Done, progress.Jobs))
		}
		if strings.HasPrefix(group, largestGroup) && progress.LongestWaitMS > MaxLargestJobWaitMS {
			out = append(out, fmt.Sprintf("%s: a job waited %d ms to start", group, progress.LongestWaitMS))
		}
	}
	return out
}
