package emulator

import (
	"fmt"
	"slices"
	"testing"

	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/scheduler"
)

// servedWorld has eight jobs of one class and two teams: all are done, and began at once.
func servedWorld() *World {
	w := &World{Jobs: map[string]*Job{}, Now: 1_000_000}
	for n := range 8 {
		id := fmt.Sprintf("job-%06d", n)
		j := NewJob(scheduler.Job{ID: id, Class: "batch", Team: fmt.Sprintf("t%d", n%2), Tasks: 1 + n, Request: availability.Room{CPUs: 1}})
		j.Accepted, j.AcceptedAt, j.First, j.Told = true, 1000, 2000, scheduler.Done
		j.longestRunMS = int64(8-n) * 1000 // the largest are the shortest
		w.Jobs[id], w.Order = j, append(w.Order, id)
	}
	return w
}

// Each group of which less than half is served is found, and it alone where it is small.
func TestUnservedGroupsAreSeen(t *testing.T) {
	left := func(w *World, jobs ...int) {
		for _, n := range jobs {
			w.Jobs[w.Order[n]].Told = scheduler.Running
		}
	}
	for name, c := range map[string]struct {
		plant func(*World)
		want  []string
	}{
		"all are served":        {func(*World) {}, nil},
		"half is served":        {func(w *World) { left(w, 0, 2, 3, 7) }, nil},
		"the largest are left":  {func(w *World) { left(w, 6, 7) }, []string{"largest batch: 0 of 2 served"}},
		"the longest are left":  {func(w *World) { left(w, 0, 1) }, []string{"longest batch: 0 of 2 served"}},
		"a team is left":        {func(w *World) { left(w, 1, 3, 5) }, []string{"team t1: 1 of 4 served"}},
		"one began late":        {func(w *World) { w.Jobs[w.Order[7]].First = 1001 + LargestMustBeginMS }, []string{"largest batch: one began after 240001 ms"}},
		"a small began late":    {func(w *World) { w.Jobs[w.Order[2]].First = 1001 + LargestMustBeginMS }, nil},
		"one never began":       {func(w *World) { w.Jobs[w.Order[7]].First = 0 }, []string{"largest batch: one began after 999000 ms"}},
		"cancelled, so left":    {func(w *World) { left(w, 6, 7); w.Jobs[w.Order[6]].Cancel, w.Jobs[w.Order[7]].Cancel = true, true }, nil},
		"the class is left":     {func(w *World) { left(w, 1, 2, 3, 4, 5) }, []string{"class batch: 3 of 8 served", "team t1: 1 of 4 served"}},
		"half of large is left": {func(w *World) { left(w, 7, 0) }, nil},
	} {
		w := servedWorld()
		c.plant(w)
		if got := w.Unserved(); !slices.Equal(got, c.want) {
			t.Errorf("%s: %q, want %q", name, got, c.want)
		}
	}
}
