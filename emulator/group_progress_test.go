package emulator

import (
	"fmt"
	"slices"
	"testing"

	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/scheduler"
)

// newServedSimulation returns a simulation with eight jobs of one class and two teams: all done,
// and started at once.
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
		j.longestRunMS = int64(8-n) * 1000 // the largest are the shortest
		sim.Jobs[id], sim.JobIDs = j, append(sim.JobIDs, id)
	}
	return sim
}

// Each group of which less than half is done is found, and no other group if it is small.
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
		"all are served": {func(*Simulation) {}, nil},
		"half is served": {func(sim *Simulation) { leaveUnfinished(sim, 0, 2, 3, 7) }, nil},
		"the largest are left": {
			func(sim *Simulation) { leaveUnfinished(sim, 6, 7) },
			[]string{"largest batch: 0 of 2 served"},
		},
		"the longest are left": {
			func(sim *Simulation) { leaveUnfinished(sim, 0, 1) },
			[]string{"longest batch: 0 of 2 served"},
		},
		"a team is left": {func(sim *Simulation) { leaveUnfinished(sim, 1, 3, 5) }, []string{"team t1: 1 of 4 served"}},
		"one began late": {
			func(sim *Simulation) { sim.Jobs[sim.JobIDs[7]].FirstStartAt = 1001 + MaxLargestJobWaitMS },
			[]string{"largest batch: one began after 240001 ms"},
		},
		"a small began late": {
			func(sim *Simulation) { sim.Jobs[sim.JobIDs[2]].FirstStartAt = 1001 + MaxLargestJobWaitMS },
			nil,
		},
		"one never began": {
			func(sim *Simulation) { sim.Jobs[sim.JobIDs[7]].FirstStartAt = 0 },
			[]string{"largest batch: one began after 999000 ms"},
		},
		"cancelled, so left": {func(sim *Simulation) {
			leaveUnfinished(sim, 6, 7)
			sim.Jobs[sim.JobIDs[6]].CancelRequested, sim.Jobs[sim.JobIDs[7]].CancelRequested = true, true
		}, nil},
		"the class is left": {
			func(sim *Simulation) { leaveUnfinished(sim, 1, 2, 3, 4, 5) },
			[]string{"class batch: 3 of 8 served", "team t1: 1 of 4 served"},
		},
		"half of large is left": {func(sim *Simulation) { leaveUnfinished(sim, 7, 0) }, nil},
	} {
		sim := newServedSimulation()
		c.prepare(sim)
		if got := sim.UnderservedGroups(); !slices.Equal(got, c.expected) {
			t.Errorf("%s: %q, want %q", name, got, c.expected)
		}
	}
}
