package scheduler

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/grebedock/grebedock/availability"
)

// Beyond a few peers, summaries go to some of them at a time and to all in turn; what a peer
// heard last stands until then, with what was taken of it.
func TestSummariesRotateAmongPeers(t *testing.T) {
	cfg := Params{MemberID: "m00", HeartbeatS: 1, LeaseS: 10, CancelWithinS: 30, MaxValueBytes: 8192, MaxTxnOps: 16}
	for i := 1; i < 100; i++ {
		cfg.PeerIDs = append(cfg.PeerIDs, fmt.Sprintf("m%02d", i))
	}
	ctrl := New(cfg, 1, Now{1000, 1000})
	turns := (len(cfg.PeerIDs) + maxSummaryRecipients - 1) / maxSummaryRecipients
	summariesReceived := map[string]int{}
	for range 3 * turns {
		peersWithSummaries := ctrl.peers.summaryRecipients()
		if len(peersWithSummaries) == 0 || len(peersWithSummaries) > maxSummaryRecipients {
			t.Fatalf("%d peers get summaries at once", len(peersWithSummaries))
		}
		for _, name := range peersWithSummaries {
			summariesReceived[name]++
		}
	}
	for _, name := range cfg.PeerIDs {
		if summariesReceived[name] != 3 {
			t.Errorf("%s got %d summaries in three rounds", name, summariesReceived[name])
		}
	}
	if ctrl.params.PeerIDs = cfg.PeerIDs[:maxSummaryRecipients]; ctrl.peers.summaryRecipients() != nil {
		t.Error("a few peers take turns")
	}
	room := availability.Resources{CPUs: 8, MemoryGB: 32}
	msg := PeerMessage{
		From:   "m01",
		WallMS: 1,
		OwnedShards: []PeerShard{
			{Shard: "m01", Summary: availability.Summary{{Kind: "s|a|small", Count: 3, Resources: room}}},
		},
	}
	ctrl.HandlePeerMessage(Now{1000, 1000}, msg)
	ctrl.peers.peers["m01"].message.OwnedShards[0].Summary[0].Count = 2 // one was taken
	withoutSummaries := msg.WithoutSummaries()
	if msg.OwnedShards[0].Summary == nil {
		t.Fatal("the message has lost its summaries")
	}
	withoutSummaries.WallMS, withoutSummaries.OwnedShards[0].Demands = 2, []CapacityDemand{{Job: "job-1"}}
	withoutSummaries.OwnedShards = append(withoutSummaries.OwnedShards, PeerShard{Shard: "adopted"})
	ctrl.HandlePeerMessage(Now{2000, 2000}, *withoutSummaries)
	if got := ctrl.peers.peers["m01"].message.OwnedShards; len(got) != 2 || len(got[0].Summary) != 1 ||
		got[0].Summary[0].Count != 2 ||
		len(got[0].Demands) != 1 ||
		got[1].Summary != nil {
		t.Errorf("after a brief message: %+v", got)
	}
}

// A peer that was not heard for a while guides nothing, however much its last summary promises,
// and what a summary promises for a moment that has passed is nothing either.
func TestStaleSummariesOfferNoCapacity(t *testing.T) {
	ctrl, _ := newControllerWithFleet(t, 10, 2)
	now := ctrl.now
	ctrl.cache.shardClaims["m1"] = claimRecord{Owner: "m1"}
	j := &ctrl.cache.jobs["job-000001"].rec.Job
	countOffered := func() int {
		n := 0
		for _, o := range ctrl.peers.peerCapacities(j, 20_000, ctrl.now.WallMS+60_000, 40) {
			n += o.tasks
		}
		return n
	}
	sendSummary := func(at Now, wall int64) {
		ctrl.HandlePeerMessage(
			at,
			PeerMessage{
				From:   "m1",
				WallMS: wall,
				OwnedShards: []PeerShard{{Shard: "m1", Summary: availability.Summary{{Kind: "s|a|small", Count: 30,
					Resources: availability.Resources{
						CPUs:     8,
						MemoryGB: 64,
					}, Samples: []availability.Sample{{TimeMS: wall}, {TimeMS: wall + 90_000, AvailableMS: 90_000}}}}}},
			},
		)
	}
	sendSummary(now, now.WallMS)
	if countOffered() == 0 {
		t.Fatal("a summary of this moment offers nothing")
	}
	ctrl.now = Now{now.MonotonicMS + 120_000, now.WallMS + 120_000}
	if n := countOffered(); n != 0 {
		t.Errorf("two minutes later it offers %d", n)
	}
	// Heard now, but with figures of two minutes ago: constant behind its last sample.
	sendSummary(ctrl.now, now.WallMS)
	if sr := &ctrl.peers.peers["m1"].message.OwnedShards[0]; ctrl.peers.peerTaskCapacity(
		sr,
		j,
		100_000,
		ctrl.now.WallMS+60_000,
		40,
		false,
	) != 0 {
		t.Error("more than its last sample is promised")
	}
}

// BenchmarkMemory is what a member keeps, in bytes: of a machine that another member has, of
// one of its own that is idle, of a live job and of a task that runs.
func BenchmarkMemory(b *testing.B) {
	heapBytes := func() float64 {
		runtime.GC()
		var s runtime.MemStats
		runtime.ReadMemStats(&s)
		return float64(s.HeapAlloc)
	}
	const machines, jobs = 10_000, 1000
	for b.Loop() {
		ctrl := New(
			Params{
				MemberID:      "m0",
				PeerIDs:       []string{"m1"},
				HeartbeatS:    1,
				LeaseS:        10,
				CancelWithinS: 30,
				MaxValueBytes: 8192,
				MaxTxnOps:     16,
			},
			1,
			Now{1000, 1000},
		)
		ctrl.cache.setMachineTypes(
			[]MachineType{
				{Name: "small", Resources: availability.Resources{CPUs: 64, MemoryGB: 256}, BootS: 10, Zones: []string{"a"}},
			},
		)
		s := ctrl.shards.newShard("m0", 7, 5)
		s.ready, ctrl.shards.ownedShards["m0"] = true, s
		rev := uint64(20)
		put := func(key string, v any) {
			rev++
			ctrl.cache.applyChange(KeyValue{Key: key, Value: mustEncode(v), Rev: rev})
		}
		measureGrowth := func(name string, n int, add func(i int)) {
			before := heapBytes()
			for i := range n {
				add(i)
			}
			ctrl.TakeOutputs()
			b.ReportMetric((heapBytes()-before)/float64(n), name)
		}
		for _, shard := range []string{"m1", "m0"} {
			var ids []string
			measureGrowth("machine_of_"+shard, machines, func(i int) {
				if ids = append(ids, fmt.Sprintf("i-%s-%06d", shard, i)); len(ids) == 50 {
					put(registryPrefix+ids[0], registryRecord{Shard: shard, Type: "small", Zone: "a", MachineIDs: ids})
					put(liveMachinesPrefix+shard+"/"+ids[0], liveMachinesRecord{ids})
					ids = nil
				}
			})
		}
		measureGrowth("job", jobs, func(i int) {
			put(
				jobKey(fmt.Sprintf("job-%06d", i)),
				jobRecord{
					Job: Job{ID: fmt.Sprintf("job-%06d", i), Class: "batch", Team: "ops", Kind: Array, Tasks: 40, EstimateS: 60,
						Request: availability.Resources{
							CPUs:     4,
							MemoryGB: 14,
						}, Image: "img-1"},
					AcceptedAtMS: 1000,
					Ranges:       []Range{{Lo: 0, Hi: 40, Shard: "m0"}},
				},
			)
		})
		measureGrowth("task", 3*machines, func(i int) {
			tr := s.taskRanges[i%jobs]
			start := taskStart{taskRange: tr, taskIndex: tr.nextTask(), runtimeMS: 20_000}
			ctrl.agents.startTask(s, s.machines[i/3], &Heartbeat{Incarnation: 1, Seq: 1}, start)
		})
	}
}

// What a plan looks at stays within bounds of the machines and the groups, however they
// come: after the adoption of a shard of thousands, in a burst, with one job larger than all, and when all machines
// changed at once. Steps are counted, not seconds.
func TestPlanningStepsAreBounded(t *testing.T) {
	for name, c := range map[string]struct {
		machines, jobs int
		change         func(ctrl *Controller, s *shard)
	}{
		"a shard of five thousand machines": {5000, 300, func(*Controller, *shard) {}},
		"a burst of two thousand jobs":      {300, 2000, func(*Controller, *shard) {}},
		"a job of a hundred thousand tasks": {300, 30, func(ctrl *Controller, s *shard) {
			ctrl.cache.applyChange(KeyValue{Key: jobKey("job-999999"), Rev: 1 << 30, Value: mustEncode(jobRecord{Job: Job{ID: "job-999999", Class: "batch", Kind: Array, Priority: High, Tasks: 100_000, Spot: true, EstimateS: 30,
				Request: availability.Resources{CPUs: 4, MemoryGB: 14}}, AcceptedAtMS: 90_000, Ranges: []Range{{Lo: 0, Hi: 100_000, Shard: "m0"}}})})
		}},
		"every machine in a new incarnation": {1500, 300, func(ctrl *Controller, s *shard) {
			for i, mc := range s.machines {
				ctrl.HandleHeartbeat(ctrl.now, uint64(i), Heartbeat{Machine: mc.id, Addr: "x", Type: mc.rec.Type, Zone: "a", Spot: mc.rec.Spot, Incarnation: 2, Seq: 1, Token: s.token})
			}
		}},
		"machines that flap": {1500, 300, func(ctrl *Controller, s *shard) {
			for i, mc := range s.machines {
				mc.cordoned = i%2 == 0
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			ctrl, s := newControllerWithFleet(t, c.machines, c.jobs)
			ctrl.placer.planShard(s)
			c.change(ctrl, s)
			ctrl.placer.planShard(s)
			// Passes look at blocks; what is placed is looked at machine by machine, and a job
			// of many tasks once for each queue that takes some.
			const filters, block = 14, 32
			slots, placed := 0, 0
			for _, planMachine := range s.clusterView.Machines() {
				slots += len(planMachine.Slots)
				for i := range planMachine.Slots {
					placed += len(planMachine.Slots[i].Queue.Entries())
				}
			}
			bound := 4*c.machines + len(s.queue)*(c.machines/block+1)*filters*4 + 64*placed + 8*slots
			if s.planSteps > bound || placed == 0 {
				t.Errorf(
					"%d steps for %d machines, %d groups, %d queues and %d places in them: more than %d",
					s.planSteps,
					c.machines,
					len(s.queue),
					slots,
					placed,
					bound,
				)
			}
			if sum := ctrl.placer.availabilitySummary(s); len(sum) > ctrl.cache.settings.Functions {
				t.Errorf("a summary of %d functions", len(sum))
			}
		})
	}
}
