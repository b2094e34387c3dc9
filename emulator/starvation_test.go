package emulator

import (
	"testing"

	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/internal/platformfake"
	"github.com/grebedock/grebedock/scheduler"
)

// newWorkerUsage returns the usage of a machine with 8 processors, usedCPUs of them in use, and an
// image cache of 10 GB.
func newWorkerUsage(zone string, spot bool, usedCPUs float64, images map[string]float64) workerUsage {
	machineType := scheduler.MachineType{
		Name:      "small",
		Resources: availability.Resources{CPUs: 8, MemoryGB: 32, DiskGB: 10},
	}
	worker := &Worker{
		machineType: machineType,
		Instance: &platformfake.Instance{
			CloudMachine: scheduler.CloudMachine{ID: "i-" + zone, Type: machineType.Name, Zone: zone, Spot: spot},
		},
	}
	return workerUsage{worker: worker, free: availability.Resources{CPUs: 8 - usedCPUs, MemoryGB: 32}, images: images}
}

// TestStartableTasksAreRecognized checks whether a task could start, depending on free capacity,
// machine type, zone, spot or on-demand, spread, a single zone, image cache and the team's limit.
// A gang can start only with all its tasks.
func TestStartableTasksAreRecognized(t *testing.T) {
	a, b := newWorkerUsage("a", false, 0, nil), newWorkerUsage("b", false, 0, nil)
	both := []workerUsage{a, b}
	placement := func(zones map[string]int, tasks ...string) *jobPlacement {
		placed := &jobPlacement{tasks: map[string]bool{}, zones: zones}
		for _, task := range tasks {
			placed.tasks[task] = true
		}
		return placed
	}
	full := map[string]float64{"x": 9}
	for name, c := range map[string]struct {
		machines  []workerUsage
		job       func(*scheduler.Job)
		placement *jobPlacement
		used      float64 // of the team's 20 processors
		done      []string
		expected  bool
	}{
		"free capacity":        {machines: both, expected: true},
		"no machine":           {},
		"no free processors":   {machines: []workerUsage{newWorkerUsage("a", false, 5, nil)}},
		"no free memory":       {machines: both, job: func(j *scheduler.Job) { j.Request.MemoryGB = 33 }},
		"another machine type": {machines: both, job: func(j *scheduler.Job) { j.Types = []string{"large"} }},
		"the requested machine type": {
			machines: both,
			job:      func(j *scheduler.Job) { j.Types = []string{"large", "small"} },
			expected: true,
		},
		"another zone":              {machines: []workerUsage{a}, job: func(j *scheduler.Job) { j.Zone = "b" }},
		"the requested zone":        {machines: both, job: func(j *scheduler.Job) { j.Zone = "b" }, expected: true},
		"spot machine, not allowed": {machines: []workerUsage{newWorkerUsage("a", true, 0, nil)}},
		"spot machine, allowed": {
			machines: []workerUsage{newWorkerUsage("a", true, 0, nil)},
			job:      func(j *scheduler.Job) { j.Spot = true },
			expected: true,
		},
		"above the team's limit": {machines: both, used: 17},
		"at the team's limit":    {machines: both, used: 16, expected: true},
		"all tasks on machines":  {machines: both, placement: placement(map[string]int{"a": 3}, "j/0", "j/1", "j/2")},
		"all tasks done or on machines": {
			machines:  both,
			placement: placement(map[string]int{"a": 2}, "j/0", "j/1"),
			done:      []string{"j/2"},
		},
		"a done task still on its machine": {
			machines:  both,
			placement: placement(map[string]int{"a": 2}, "j/0", "j/1"),
			done:      []string{"j/0"},
			expected:  true,
		},
		"image cache in use": {machines: []workerUsage{newWorkerUsage("a", false, 1, full)}},
		"image in the cache": {
			machines: []workerUsage{newWorkerUsage("a", false, 1, map[string]float64{"x": 7, "img": 2})},
			expected: true,
		},
		"free space in the cache": {
			machines: []workerUsage{newWorkerUsage("a", false, 1, map[string]float64{"x": 8})},
			expected: true,
		},
		"one zone, capacity in another": {
			machines:  []workerUsage{b},
			job:       func(j *scheduler.Job) { j.OneZone = true },
			placement: placement(map[string]int{"a": 1}, "j/0"),
		},
		"one zone, capacity in it": {
			machines:  both,
			job:       func(j *scheduler.Job) { j.OneZone = true },
			placement: placement(map[string]int{"a": 1}, "j/0"),
			expected:  true,
		},
		"spread, zone with half of the tasks": {
			machines:  []workerUsage{a},
			job:       func(j *scheduler.Job) { j.Spread = true },
			placement: placement(map[string]int{"a": 2}, "j/0", "j/1"),
		},
		"spread, capacity in the other zone": {
			machines:  both,
			job:       func(j *scheduler.Job) { j.Spread = true },
			placement: placement(map[string]int{"a": 2}, "j/0", "j/1"),
			expected:  true,
		},
		"a gang, capacity for two tasks": {
			machines: []workerUsage{a},
			job:      func(j *scheduler.Job) { j.Kind = scheduler.Gang },
		},
		"a gang, capacity for all tasks": {
			machines: both,
			job:      func(j *scheduler.Job) { j.Kind = scheduler.Gang },
			expected: true,
		},
		"a gang above the limit": {machines: both, job: func(j *scheduler.Job) { j.Kind = scheduler.Gang }, used: 10},
		"a gang, one task missing": {
			machines:  []workerUsage{a},
			job:       func(j *scheduler.Job) { j.Kind = scheduler.Gang },
			placement: placement(map[string]int{"b": 2}, "j/0", "j/1"),
			expected:  true,
		},
		"a gang in one zone, capacity for two tasks": {
			machines: both,
			job:      func(j *scheduler.Job) { j.Kind, j.OneZone = scheduler.Gang, true },
		},
		"a gang in one zone, capacity for all tasks": {
			machines: []workerUsage{a, b, a},
			job:      func(j *scheduler.Job) { j.Kind, j.OneZone = scheduler.Gang, true },
			expected: true,
		},
		"a spread gang, capacity in one zone": {
			machines: []workerUsage{a, a},
			job:      func(j *scheduler.Job) { j.Kind, j.Spread = scheduler.Gang, true },
		},
		"a spread gang, capacity in both zones": {
			machines: both,
			job:      func(j *scheduler.Job) { j.Kind, j.Spread = scheduler.Gang, true },
			expected: true,
		},
		"spread, half of the tasks rounded up": {
			machines: []workerUsage{a, a},
			job:      func(j *scheduler.Job) { j.Tasks, j.Spread = 1, true },
			expected: true,
		},
	} {
		j := NewJob(
			scheduler.Job{
				ID:      "j",
				Team:    "t",
				Kind:    scheduler.Array,
				Tasks:   3,
				Image:   "img",
				Request: availability.Resources{CPUs: 4, MemoryGB: 4, DiskGB: 2},
			},
		)
		if c.job != nil {
			c.job(&j.Spec)
		}
		for _, task := range c.done {
			j.DoneTasks[task] = true
		}
		usage := &clusterUsage{
			machines: c.machines,
			jobs:     map[string]*jobPlacement{},
			teams:    map[string]availability.Resources{"t": {CPUs: c.used}},
		}
		if c.placement != nil {
			usage.jobs["j"] = c.placement
		}
		if _, got := usage.findStartWorker(j, scheduler.Team{MaxCPUs: 20}); got != c.expected {
			t.Errorf("%s: got %v, want %v", name, got, c.expected)
		}
	}
}
