package scheduler

import (
	"testing"
)

// A read that was pending while a job was cancelled returns after the watch has delivered the
// cancellation. The job stays removed.
func TestLateReadDoesNotRestoreCancelledJob(t *testing.T) {
	ctrl := newTestController(t)
	ctrl.store.storeAccess.SetState(0, 0, 0)
	rec := newTestJobRecord(Range{Lo: 0, Hi: 2, Shard: "m0"})
	put := KeyValue{Key: jobKey("job-000001"), Value: mustEncode(rec), Rev: 5}
	ctrl.cache.applyChange(put)
	if ctrl.cache.jobs["job-000001"] == nil {
		t.Fatal("the job is not in the cache")
	}
	ctrl.cache.applyChange(KeyValue{Key: put.Key, Rev: 9})
	ctrl.cache.appliedRevision = 12
	clear(ctrl.cache.tombstones) // the watch has passed the removal
	ctrl.cache.applyChange(put)
	if ctrl.cache.jobs["job-000001"] != nil {
		t.Error("a late read restored a cancelled job")
	}
}

// The watch lags behind this member's own removal of a job and delivers the job's creation after it.
// The job stays removed.
func TestLaggingWatchDoesNotRestoreRemovedJob(t *testing.T) {
	ctrl := newTestController(t)
	ctrl.store.storeAccess.SetState(0, 0, 0)
	ctrl.cache.appliedRevision = 3
	rec := newTestJobRecord(Range{Lo: 0, Hi: 2, Shard: "m0"})
	put := KeyValue{Key: jobKey("job-000001"), Value: mustEncode(rec), Rev: 5}
	ctrl.cache.applyChange(put)
	ctrl.cache.applyChange(KeyValue{Key: put.Key, Rev: 9})
	ctrl.cache.applyChange(put)
	if ctrl.cache.jobs["job-000001"] != nil {
		t.Error("a lagging watch restored a job that this member had removed")
	}
}

// A job of the largest size fits the value limit of the state service. This holds for its record and
// for the progress record of each range, even if every other task is done.
func TestLargestJobFitsStoreValueLimit(t *testing.T) {
	ctrl := newTestController(t)
	j := &Job{ID: "job-000001", Kind: Array, Tasks: 100_000}
	rec := jobRecord{Job: *j, Ranges: ctrl.peers.assignRanges(j)}
	covered := 0
	for _, r := range rec.Ranges {
		if r.Lo != covered || r.Hi <= r.Lo {
			t.Fatalf("ranges %v, want no gap, overlap or empty range", rec.Ranges)
		}
		covered = r.Hi
		done := newBitset(r.Hi - r.Lo)
		for i := 0; i < r.Hi-r.Lo; i += 2 {
			done.set(i)
		}
		progress := progressRecord{map[string][]byte{"job-000001/100000": done}}
		if n := len(mustEncode(progress)); n > ctrl.params.MaxValueBytes {
			t.Errorf("progress record of range %v takes %d bytes, want at most MaxValueBytes", r, n)
		}
	}
	if n := len(mustEncode(rec)); covered != j.Tasks || n > ctrl.params.MaxValueBytes {
		t.Errorf("record of %d tasks takes %d bytes, want all tasks in at most MaxValueBytes", covered, n)
	}
}

// Machines are added and removed with their registry pages, and are up if a record of live machines lists
// them. A machine that is listed as live before its registry page is known also counts as up.
func TestMachinesFollowRegistryAndLiveRecords(t *testing.T) {
	ctrl := newTestController(t)
	ctrl.store.storeAccess.SetState(0, 0, 0)
	putRecord(ctrl, liveMachinesPrefix+"m0/0", liveMachinesRecord{[]string{"i-1"}}, 4)
	page := registryRecord{Shard: "m0", Type: "small", MachineIDs: []string{"i-1", "i-2"}}
	putRecord(ctrl, registryPrefix+"1-1", page, 5)
	if len(ctrl.registry.machines) != 2 || !ctrl.registry.machines["i-1"].Up || ctrl.registry.machines["i-2"].Up {
		t.Fatalf("machines %v, want i-1 up and i-2 not up", ctrl.registry.machines)
	}
	if ctrl.registry.machines["i-1"].IsAccountedFor() || !ctrl.registry.machines["i-2"].IsAccountedFor() {
		t.Error("want i-2 accounted for and i-1 not: only a live machine may run tasks of an earlier claim")
	}
	page.MachineIDs = []string{"i-2"}
	putRecord(ctrl, registryPrefix+"1-1", page, 6)
	if len(ctrl.registry.machines) != 1 || ctrl.registry.machines["i-2"] == nil {
		t.Errorf("machines %v, want only i-2", ctrl.registry.machines)
	}
	ctrl.cache.applyChange(KeyValue{Key: registryPrefix + "1-1", Rev: 7})
	if len(ctrl.registry.machines) != 0 {
		t.Errorf("machines %v, want none", ctrl.registry.machines)
	}
}
