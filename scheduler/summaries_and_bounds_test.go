package scheduler

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/grebedock/grebedock/availability"
)

// With more peers than maxSummaryRecipients, each message sends summaries to some peers, in rotation.
// Until the next one arrives, a peer uses the last summary, less the capacity it has taken from it.
func TestSummariesRotateAmongPeers(t *testing.T) {
	cfg := testParams("m00")
	for i := 1; i < 100; i++ {
		cfg.PeerIDs = append(cfg.PeerIDs, fmt.Sprintf("m%02d", i))
	}
	ctrl := New(cfg, 1, Now{1000, 1000})
	turns := (len(cfg.PeerIDs) + maxSummaryRecipients - 1) / maxSummaryRecipients
	summariesReceived := map[string]int{}
	for range 3 * turns {
		peersWithSummaries := ctrl.peers.summaryRecipients()
		if len(peersWithSummaries) == 0 || len(peersWithSummaries) > maxSummaryRecipients {
			t.Fatalf("%d peers get summaries at once, want 1 to maxSummaryRecipients", len(peersWithSummaries))
		}
		for _, name := range peersWithSummaries {
			summariesReceived[name]++
		}
	}
	for _, name := range cfg.PeerIDs {
		if summariesReceived[name] != 3 {
			t.Errorf("%s got %d summaries in three rotations, want 3", name, summariesReceived[name])
		}
	}
	if ctrl.params.PeerIDs = cfg.PeerIDs[:maxSummaryRecipients]; ctrl.peers.summaryRecipients() != nil {
		t.Error("a few peers get summaries in rotation, want all at a time")
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
	ctrl.peers.peers["m01"].message.OwnedShards[0].Summary[0].Count = 2 // one was used
	withoutSummaries := msg.WithoutSummaries()
	if msg.OwnedShards[0].Summary == nil {
		t.Fatal("WithoutSummaries removed the summaries of the original message")
	}
	withoutSummaries.WallMS, withoutSummaries.OwnedShards[0].Demands = 2, []CapacityDemand{{Job: "job-1"}}
	withoutSummaries.OwnedShards = append(withoutSummaries.OwnedShards, PeerShard{Shard: "adopted"})
	ctrl.HandlePeerMessage(Now{2000, 2000}, *withoutSummaries)
	got := ctrl.peers.peers["m01"].message.OwnedShards
	if len(got) != 2 || len(got[0].Demands) != 1 || got[1].Summary != nil {
		t.Fatalf("after a message without summaries: %+v, want its demands and shards", got)
	}
	if len(got[0].Summary) != 1 || got[0].Summary[0].Count != 2 {
		t.Errorf("after a message without summaries: %+v, want the earlier summary", got[0].Summary)
	}
}

// A peer that has sent no message for two minutes offers no capacity, whatever its last summary
// contains. Neither does a recent message whose summary covers only a past time.
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
		summary := availability.Summary{{
			Kind:      "s|a|small",
			Count:     30,
			Resources: availability.Resources{CPUs: 8, MemoryGB: 64},
			Samples:   []availability.Sample{{TimeMS: wall}, {TimeMS: wall + 90_000, AvailableMS: 90_000}},
		}}
		ctrl.HandlePeerMessage(at, PeerMessage{
			From:        "m1",
			WallMS:      wall,
			OwnedShards: []PeerShard{{Shard: "m1", Summary: summary}},
		})
	}
	sendSummary(now, now.WallMS)
	if countOffered() == 0 {
		t.Fatal("a current summary offers no capacity")
	}
	ctrl.now = Now{now.MonotonicMS + 120_000, now.WallMS + 120_000}
	if n := countOffered(); n != 0 {
		t.Errorf("two minutes later the summary offers capacity for %d tasks, want 0", n)
	}
	// The message is received now, but its samples are from two minutes ago. The availability is constant
	// after the last sample.
	sendSummary(ctrl.now, now.WallMS)
	peerShard := &ctrl.peers.peers["m1"].message.OwnedShards[0]
	if n := ctrl.peers.peerTaskCapacity(peerShard, j, 100_000, ctrl.now.WallMS+60_000, 40, false); n != 0 {
		t.Errorf("%d tasks offered beyond the last sample, want none", n)
	}
}

// BenchmarkMemory measures the heap of a member in bytes: per machine that another member owns, per idle
// machine of its own, per live job and per running task.
func BenchmarkMemory(b *testing.B) {
	heapBytes := func() float64 {
		runtime.GC()
		var s runtime.MemStats
		runtime.ReadMemStats(&s)
		return float64(s.HeapAlloc)
	}
	const machines, jobs = 10_000, 1000
	for b.Loop() {
		ctrl := New(testParams("m0", "m1"), 1, Now{1000, 1000})
		small := smallMachineType()
		small.Resources = availability.Resources{CPUs: 64, MemoryGB: 256}
		ctrl.cache.setMachineTypes([]MachineType{small})
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
			j := Job{
				ID:        fmt.Sprintf("job-%06d", i),
				Class:     "batch",
				Team:      "ops",
				Kind:      Array,
				Tasks:     40,
				EstimateS: 60,
				Request:   availability.Resources{CPUs: 4, MemoryGB: 14},
				Image:     "img-1",
			}
			put(jobKey(j.ID), jobRecord{Job: j, AcceptedAtMS: 1000, Ranges: []Range{{Lo: 0, Hi: 40, Shard: "m0"}}})
		})
		measureGrowth("task", 3*machines, func(i int) {
			tr := s.taskRanges[i%jobs]
			start := taskStart{taskRange: tr, taskIndex: tr.nextTask(), runtimeMS: 20_000}
			ctrl.agents.startTask(s, s.machines[i/3], &Heartbeat{Incarnation: 1, Seq: 1}, start)
		})
	}
}

// The number of steps of a plan is bounded by the numbers of machines and task groups. The cases are the
// adoption of a shard of thousands of machines, a burst of jobs, one very large job, and a change of
// many machines at once. The test counts steps, not seconds.
func TestPlanningStepsAreBounded(t *testing.T) {
	for name, c := range map[string]struct {
		machines, jobs int
		change         func(ctrl *Controller, s *shard)
	}{
		"a shard of five thousand machines": {5000, 300, func(*Controller, *shard) {}},
		"a burst of two thousand jobs":      {300, 2000, func(*Controller, *shard) {}},
		"a job of a hundred thousand tasks": {300, 30, func(ctrl *Controller, s *shard) {
			j := Job{
				ID:        "job-999999",
				Class:     "batch",
				Kind:      Array,
				Priority:  High,
				Tasks:     100_000,
				Spot:      true,
				EstimateS: 30,
				Request:   availability.Resources{CPUs: 4, MemoryGB: 14},
			}
			ranges := []Range{{Lo: 0, Hi: j.Tasks, Shard: "m0"}}
			putRecord(ctrl, jobKey(j.ID), jobRecord{Job: j, AcceptedAtMS: 90_000, Ranges: ranges}, 1<<30)
		}},
		"every machine in a new incarnation": {1500, 300, func(ctrl *Controller, s *shard) {
			for i, mc := range s.machines {
				heartbeat := testHeartbeat(mc.id, 1, s.token)
				heartbeat.Type, heartbeat.Spot, heartbeat.Incarnation = mc.rec.Type, mc.rec.Spot, 2
				ctrl.HandleHeartbeat(ctrl.now, uint64(i), heartbeat)
			}
		}},
		"every other machine cordoned": {1500, 300, func(ctrl *Controller, s *shard) {
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
			// Candidate searches visit blocks of machines. Placement visits single machines, and a job
			// of many tasks once for each queue that takes some of them.
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
				t.Errorf("%d steps for %d machines, %d groups, %d slots and %d tasks in them, want at most %d",
					s.planSteps, c.machines, len(s.queue), slots, placed, bound)
			}
			if sum := ctrl.placer.availabilitySummary(s); len(sum) > ctrl.cache.settings.Functions {
				t.Errorf("the summary has %d functions, more than the setting allows", len(sum))
			}
		})
	}
}
