package emulator

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/grebedock/grebedock/scheduler"
)

// Served is how many of a group of jobs were done, of those that were not cancelled.
type Served struct {
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

// LargestMustBeginMS is how soon each of a class's largest jobs must begin.
const LargestMustBeginMS = 240_000

// Served counts jobs that were accepted and not cancelled, by group.
func (w *World) Served() map[string]Served {
	out := map[string]Served{}
	count := func(group string, j *Job) {
		s := out[group]
		if s.Jobs++; j.Told == scheduler.Done {
			s.Done++
		}
		first := j.First
		if first == 0 {
			first = w.Now
		}
		s.LongestWaitMS = max(s.LongestWaitMS, first-j.AcceptedAt)
		out[group] = s
	}
	classes := map[string][]*Job{}
	for _, id := range w.Order {
		j := w.Jobs[id]
		if !j.Accepted || j.Cancel || j.Told == scheduler.Cancelled {
			continue
		}
		count(classGroup+j.Job.Class, j)
		count(teamGroup+j.Job.Team, j)
		classes[j.Job.Class] = append(classes[j.Job.Class], j)
	}
	for class, js := range classes {
		for _, j := range quarter(js, (*Job).size) {
			count(largestGroup+class, j)
		}
		for _, j := range quarter(js, (*Job).runTime) {
			count(longestGroup+class, j)
		}
	}
	return out
}

// quarter is the quarter of some jobs that has the most of something, rounded up.
func quarter(js []*Job, of func(*Job) float64) []*Job {
	js = slices.Clone(js)
	slices.SortStableFunc(js, func(a, b *Job) int { return cmp.Compare(of(b), of(a)) })
	return js[:(len(js)+3)/4]
}

// size is what a job's tasks use together, in processors.
func (j *Job) size() float64 { return j.Job.Request.CPUs * float64(j.Job.Tasks) }

// runTime is how long a job's tasks run, in ms: the longest of those that ran, or else
// what is known of them before.
func (j *Job) runTime() float64 {
	if j.longestRunMS > 0 {
		return float64(j.longestRunMS)
	}
	return 1000 * cmp.Or(j.Length, j.Job.EstimateS)
}

// Unserved tells in which groups less than half of the jobs were served, and which of the
// largest began too late.
func (w *World) Unserved() []string {
	var out []string
	served := w.Served()
	for _, group := range slices.Sorted(maps.Keys(served)) {
		s := served[group]
		if s.Done*2 < s.Jobs {
			out = append(out, fmt.Sprintf("%s: %d of %d served", group, s.Done, s.Jobs))
		}
		if strings.HasPrefix(group, largestGroup) && s.LongestWaitMS > LargestMustBeginMS {
			out = append(out, fmt.Sprintf("%s: one began after %d ms", group, s.LongestWaitMS))
		}
	}
	return out
}
