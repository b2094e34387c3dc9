package scheduler

import (
	"slices"
	"testing"
)

// A member adopts a shard, hands it back, and then receives one of its ranges by a move. The member
// must run that range, so the task range of the ended claim is replaced.
func TestRangeOfEndedClaimIsReplaced(t *testing.T) {
	ctrl := newTestController(t)
	ctrl.store.storeAccess.SetState(0, 0, 0)
	ownShard, adoptedShard := ctrl.shards.newShard("m0", 0, 1), ctrl.shards.newShard("m1", 0, 2)
	ctrl.shards.ownedShards["m0"], ctrl.shards.ownedShards["m1"] = ownShard, adoptedShard
	putTestJob(ctrl, 5, Range{Lo: 0, Hi: 2, Shard: "m1"})
	ctrl.shards.dropShard(adoptedShard)
	putTestJob(ctrl, 6, Range{Lo: 0, Hi: 2, Shard: "m0", MovedFromPeer: true})
	tr := ctrl.cache.jobs["job-000001"].taskRanges[0]
	if tr == nil || tr.claim != ownShard || tr.shardName != "m0" {
		t.Errorf("task range %+v, want one of the member's own shard", tr)
	}
}

// Authority expires one lease TTL after the older of two send times: of the last lease renewal and of
// the last watch that returned. It never outlasts the lease.
func TestAuthorityExpiresWithOlderOfLeaseAndWatch(t *testing.T) {
	ctrl := newTestController(t)
	ttl := ctrl.store.leaseTTLMS()
	for _, c := range []struct {
		name                          string
		leaseRenewedAt, watchedAt, at int64
		expected                      bool
	}{
		{"half a lease later", 1000, 1000, 1000 + ttl/2, true},
		{"a lease later", 1000, 1000, 1000 + ttl, false},
		{"the watch does not return", 1000 + ttl, 1000, 1000 + ttl, false},
		{"the lease is not renewed", 1000, 1000 + ttl, 1000 + ttl, false},
		{"both just succeeded", 1000 + ttl, 1000 + ttl, 1000 + ttl, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			ctrl.now.MonotonicMS = c.at
			ctrl.store.storeAccess.SetState(1, c.leaseRenewedAt, c.watchedAt)
			if got := ctrl.store.hasAuthority(); got != c.expected {
				t.Errorf("lease renewed at %d ms, watch at %d ms, now %d ms: got authority %v",
					c.leaseRenewedAt, c.watchedAt, c.at, got)
			}
		})
	}
	if lifetime := ttl + secondsToMS(ctrl.params.LeaseS); lifetime >= secondsToMS(ctrl.params.CancelWithinS) {
		t.Errorf("tasks of a partitioned owner run for %d ms, want less than cancel_s", lifetime)
	}
}

// A shard is ready only once the cache has reached the revision of its claim. The previous owner may
// have listed machines as live shortly before the claim. Tasks on these machines would otherwise start
// a second time.
func TestShardIsNotReadyBeforeCacheReachesItsClaim(t *testing.T) {
	ctrl, s, _ := newControllerWithShard(t)
	s.ready, s.progressRead = false, true
	ctrl.cache.appliedRevision = s.claimRev - 1
	ctrl.shards.tickShard(s)
	if s.ready {
		t.Error("ready before the cache has reached the claim's revision")
	}
	ctrl.cache.appliedRevision = s.claimRev
	ctrl.shards.tickShard(s)
	if !s.ready {
		t.Error("not ready although the cache has reached the claim's revision")
	}
}

// A machine that was considered lost sends the result of a task in a range whose tail is moving to a
// peer. The remaining part of the range still ends.
func TestResultsOfMovedRangeDoNotCount(t *testing.T) {
	ctrl, s, mc := newControllerWithShard(t)
	put := func(rev uint64, ranges ...Range) {
		rec := newTestJobRecord(ranges...)
		rec.Job.Tasks = 4
		putRecord(ctrl, jobKey("job-000001"), rec, rev)
	}
	put(21, Range{Lo: 0, Hi: 4, Shard: "m0"})
	tr := ctrl.cache.jobs["job-000001"].taskRanges[0]
	tr.markDone(0)
	tr.moving = true
	statuses := []TaskStatus{
		{Task: "job-000001/3", Attempt: 1, State: "exited", Reason: "done"},
		{Task: "job-000001/2", Attempt: 2, State: "running"},
	}
	ctrl.agents.reconcileTasks(s, mc, &Heartbeat{Machine: "i-1", Incarnation: 1, Seq: 9, Tasks: statuses})
	isStopped := len(mc.commands) == 1 && mc.commands[0].Kind == CommandStop && mc.commands[0].Task == "job-000001/2"
	if tr.doneCount != 2 || tr.assignedCount != 0 || !isStopped {
		t.Fatalf("while moving: %d done, %d assigned, commands %+v; want 2, 0 and a stop of job-000001/2",
			tr.doneCount, tr.assignedCount, mc.commands)
	}
	put(22, Range{Lo: 0, Hi: 2, Shard: "m0"}, Range{Lo: 2, Hi: 4, Shard: "m1", MovedFromPeer: true})
	tr.moving = false
	if tr.size() != 2 || tr.doneCount != 1 || tr.pending() != 1 {
		t.Fatalf("after the move: %d tasks, %d done, %d pending; want 2, 1, 1", tr.size(), tr.doneCount, tr.pending())
	}
	tr.markDone(1)
	ctrl.TakeOutputs()
	ctrl.shards.tickShard(s)
	writesJob := func(op StoreOp) bool {
		changesJob := func(c Change) bool { return c.Key == jobKey("job-000001") }
		return op.Kind == StoreTxn && slices.ContainsFunc(op.Changes, changesJob)
	}
	if ops := ctrl.TakeOutputs().StoreOps; !slices.ContainsFunc(ops, writesJob) {
		t.Errorf("store operations %+v, want a write of the job's end", ops)
	}
}
