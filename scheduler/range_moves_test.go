package scheduler

import (
	"encoding/json"
	"testing"

	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/planner"
	"github.com/grebedock/grebedock/reconcile"
)

// addPeerWithCapacity adds the peer m1, whose shard has ten machines of the type smallMachineType. They are free
// from the given wall-clock time on.
func addPeerWithCapacity(ctrl *Controller, freeFromMS int64) {
	free := availability.Function{
		Kind:      planner.InstanceOffering{Type: "small", Zone: "a"}.Key(),
		Count:     10,
		Resources: availability.Resources{CPUs: 8, MemoryGB: 32},
		Samples:   []availability.Sample{{TimeMS: freeFromMS}, {TimeMS: freeFromMS + 900_000, AvailableMS: 900_000}},
	}
	peerShard := PeerShard{Shard: "m1", Summary: availability.Summary{free}}
	ctrl.cache.shardClaims["m1"] = claimRecord{Owner: "m1"}
	ctrl.peers.peers["m1"] = &peerState{
		receivedAtMS: 1000,
		message:      PeerMessage{From: "m1", OwnedShards: []PeerShard{peerShard}},
	}
}

// movedRanges plans a shard, lets it move tasks to peers, and returns the ranges in the written job record that
// belong to another shard.
func movedRanges(t *testing.T, ctrl *Controller, s *shard) (moved []Range) {
	t.Helper()
	ctrl.TakeOutputs()
	ctrl.placer.planShard(s)
	ctrl.peers.moveUnplaceableTasks(s)
	for _, op := range ctrl.TakeOutputs().StoreOps {
		for _, change := range op.Changes {
			var rec jobRecord
			if err := json.Unmarshal(change.Value, &rec); err != nil {
				t.Fatal(err)
			}
			for _, r := range rec.Ranges {
				if r.Shard != s.name {
					moved = append(moved, r)
				}
			}
		}
	}
	return moved
}

// Guards against ran_twice: a job has two ranges in a shard, and the first may still run on an unreported machine.
// The demand of the second one moved tasks of the first to a peer, which started them again.
func TestRangeThatWaitsForUnreportedMachineIsNotMoved(t *testing.T) {
	for _, c := range []struct {
		name  string
		entry []string // ranges in the ledger entry of the unreported machine
		moved []Range
	}{
		{"first range waits", []string{"job-000001/0"}, []Range{{4, 40, "m1", true}}},
		{"second range waits", []string{"job-000001/4"}, []Range{{0, 4, "m1", true}}},
		{"both ranges wait", []string{"job-000001/0", "job-000001/4"}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			ctrl, s, mc := newControllerWithShard(t)
			// The peer has no free machine now, but it can finish the tasks by the job's deadline.
			addPeerWithCapacity(ctrl, ctrl.now.WallMS+30_000)
			unreported := addUnreportedMachine(ctrl, false)
			mc.cordoned = true // no machine of the shard can run the job
			entry := reconcile.UnreachableMachine{Ranges: c.entry}
			s.reconciler.Ledger.Restore(map[string]reconcile.UnreachableMachine{unreported.id: entry})
			rec := newTestJobRecord(Range{0, 4, "m0", false}, Range{4, 40, "m0", false})
			rec.AcceptedAtMS, rec.Job.EstimateS, rec.Job.DeadlineS = ctrl.now.WallMS, 10, 60
			putRecord(ctrl, jobKey(rec.Job.ID), rec, 40)
			for _, tr := range ctrl.cache.jobs[rec.Job.ID].taskRanges {
				tr.recovered = true
			}
			ctrl.now.MonotonicMS += 3 * ctrl.maxHeartbeatIntervalMS()
			ctrl.peers.peers["m1"].receivedAtMS = ctrl.now.MonotonicMS
			ctrl.store.storeAccess.SetState(1, ctrl.now.MonotonicMS, ctrl.now.MonotonicMS)
			moved := movedRanges(t, ctrl, s)
			if len(moved) != len(c.moved) || len(moved) > 0 && moved[0] != c.moved[0] {
				t.Errorf("moved to the peer: %+v, want %+v", moved, c.moved)
			}
		})
	}
}

// Guards against ran_twice: a whole range moved between two shards of one member. The shard that lost it neither plans
// nor moves its tasks any more. A move from there took tasks that run in the other shard.
func TestShardForgetsRangeThatMovedToAnotherShardOfTheMember(t *testing.T) {
	ctrl, s, _ := newControllerWithShard(t)
	addPeerWithCapacity(ctrl, ctrl.now.WallMS)
	adopted := ctrl.shards.newShard("m2", 8, 12)
	adopted.ready = true
	ctrl.shards.ownedShards["m2"] = adopted
	rec := newTestJobRecord(Range{0, 4, "m2", false})
	putRecord(ctrl, jobKey(rec.Job.ID), rec, 40)
	ctrl.placer.planShard(adopted)
	rec.Ranges = []Range{{0, 4, "m0", true}}
	putRecord(ctrl, jobKey(rec.Job.ID), rec, 41)
	if len(adopted.taskRanges) != 0 || len(s.taskRanges) != 1 {
		t.Errorf("%d ranges in the old shard and %d in the new one, want 0 and 1",
			len(adopted.taskRanges), len(s.taskRanges))
	}
	ctrl.placer.planShard(s)
	if starts := startsAfterHeartbeat(ctrl, "i-1", "a", 4); starts != 4 {
		t.Fatalf("%d tasks start in the new shard, want 4", starts)
	}
	if moved := movedRanges(t, ctrl, adopted); len(moved) != 0 {
		t.Errorf("the old shard moves %+v, want nothing", moved)
	}
}
