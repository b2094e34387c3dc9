package emulator

import (
	"fmt"
	"slices"
	"testing"

	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/scheduler"
)

// newServedSimulation returns a simulation with eight done jobs of one class and two teams, each
// started 1 s after its acceptance.
func newServedSimulation() *Simulation {
	sim := &Simulation{Jobs: map[string]*Job{}, Now: 1_000_000}
	for n := range 8 {
		id := fmt.Sprintf("job-%06d", n)
		j := NewJob(
			scheduler.Job{
				ID:      id,
				Class:   "batch",
				Team:    fmt.Sprintf("t%d", n%2),
				Tasks:   1 + n,
				Request: availability.Resources{CPUs: 1},
			},
		)
		j.Accepted, j.AcceptedAt, j.FirstStartAt, j.ObservedState = true, 1000, 2000, scheduler.Done
		j.longestRunMS = int64(8-n) * 1000 // the largest jobs are the shortest
		sim.Jobs[id], sim.JobIDs = j, append(sim.JobIDs, id)
	}
	return sim
}

// TestUnderservedGroupsAreDetected checks that each group is listed of which less than half is
// done, or in which one of the largest jobs started too late, and no other group.
func TestUnderservedGroupsAreDetected(t *testing.T) {
	leaveUnfinished := func(sim *Simulation, jobs ...int) {
		for _, n := range jobs {
			sim.Jobs[sim.JobIDs[n]].ObservedState = scheduler.Running
		}
	}
	for name, c := range map[string]struct {
		prepare  func(*Simulation)
		expected []string
	}{
		"all done":  {func(*Simulation) {}, nil},
		"half done": {func(sim *Simulation) { leaveUnfinished(sim, 0, 2, 3, 7) }, nil},
		"largest jobs not done": {
			func(sim *Simulation) { leaveUnfinished(sim, 6, 7) },
			[]string{"largest batch: 0 of 2 jobs done"},
		},
		"longest jobs not done": {
			func(sim *Simulation) { leaveUnfinished(sim, 0, 1) },
			[]string{"longest batch: 0 of 2 jobs done"},
		},
		"jobs of a team not done": {
			func(sim *Simulation) { leaveUnfinished(sim, 1, 3, 5) },
			[]string{"team t1: 1 of 4 jobs done"},
		},
		"a large job started late": {
			func(sim *Simulation) { sim.Jobs[sim.JobIDs[7]].FirstStartAt = 1001 + MaxLargestJobWaitMS },
			[]string{"largest batch: a job waited 240001 ms to start"},
		},
		"a small job started late": {
			func(sim *Simulation) { sim.Jobs[sim.JobIDs[2]].FirstStartAt = 1001 + MaxLargestJobWaitMS },
			nil,
		},
		"a large job never started": {
			func(sim *Simulation) { sim.Jobs[sim.JobIDs[7]].FirstStartAt = 0 },
			[]string{"largest batch: a job waited 999000 ms to start"},
		},
		"cancelled jobs not done": {func(sim *Simulation) {
			leaveUnfinished(sim, 6, 7)
			sim.Jobs[sim.JobIDs[6]].CancelRequested, sim.Jobs[sim.JobIDs[7]].CancelRequested = true, true
		}, nil},
		"most jobs of the class not done": {
			func(sim *Simulation) { leaveUnfinished(sim, 1, 2, 3, 4, 5) },
			[]string{"class batch: 3 of 8 jobs done", "team t1: 1 of 4 jobs done"},
		},
		"half of the largest and longest not done": {func(sim *Simulation) { leaveUnfinished(sim, 7, 0) }, nil},
	} {
		sim := newServedSimulation()
		c.prepare(sim)
		if got := sim.UnderservedGroups(); !slices.Equal(got, c.expected) {
			t.Errorf("%s: got %q, want %q", name, got, c.expected)
		}
	}
}
