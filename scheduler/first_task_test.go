package scheduler

import "testing"

// Guards against a wrong rank: a job whose other range has begun, or is done, has begun. Its first task does not rank
// before other tasks as that of a job that waits to begin.
func TestJobHasBegunIfAnyRangeHas(t *testing.T) {
	first, second := Range{0, 4, "m0", false}, Range{4, 8, "m0", false}
	for _, c := range []struct {
		name     string
		ranges   []Range
		running  []string
		expected bool
	}{
		{"waiting", []Range{first, second}, nil, false},
		{"first range runs", []Range{first, second}, []string{"/0"}, true},
		{"second range runs", []Range{first, second}, []string{"/4"}, true},
		{"second range at a peer", []Range{first, {4, 8, "m1", true}}, nil, false},
		{"second range is done", []Range{first}, nil, true},
	} {
		ctrl, _, _ := newControllerWithShard(t)
		rec := newTestJobRecord(first, second)
		rec.Ranges = c.ranges
		putRecord(ctrl, jobKey(rec.Job.ID), rec, 40)
		var running []TaskStatus
		for _, suffix := range c.running {
			running = append(running, TaskStatus{Task: rec.Job.ID + suffix, Attempt: 9 << 28, State: "running"})
		}
		startsAfterHeartbeat(ctrl, "i-1", "a", 4, running...)
		group := ctrl.placer.newTaskGroup(ctrl.cache.jobs[rec.Job.ID].taskRanges[0], 3)
		if group.HasBegun != c.expected {
			t.Errorf("%s: job has begun: %v, want %v", c.name, group.HasBegun, c.expected)
		}
	}
}
