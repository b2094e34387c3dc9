package scheduler

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/planner"
	"github.com/grebedock/grebedock/quota"
)

// testParams returns the parameters of a member, with small limits for values and transactions of the
// state service.
func testParams(memberID string, peerIDs ...string) Params {
	return Params{
		MemberID:      memberID,
		PeerIDs:       peerIDs,
		HeartbeatS:    1,
		LeaseS:        10,
		CancelWithinS: 30,
		MaxValueBytes: 8192,
		MaxTxnOps:     16,
	}
}

func newTestController(t *testing.T) *Controller {
	t.Helper()
	return New(testParams("m0", "m1"), 1, Now{1, 1})
}

// putRecord applies a record with the given revision to the state cache.
func putRecord(ctrl *Controller, key string, rec any, rev uint64) {
	ctrl.cache.applyChange(KeyValue{Key: key, Value: mustEncode(rec), Rev: rev})
}

// putTestJob applies the record that newTestJobRecord returns to the state cache.
func putTestJob(ctrl *Controller, rev uint64, ranges ...Range) {
	putRecord(ctrl, jobKey("job-000001"), newTestJobRecord(ranges...), rev)
}

// testHeartbeat returns a heartbeat of a machine of the type smallMachineType.
func testHeartbeat(machineID string, seq, token uint64, tasks ...TaskStatus) Heartbeat {
	return Heartbeat{
		Machine:     machineID,
		Addr:        "x",
		Type:        "small",
		Zone:        "a",
		Incarnation: 1,
		Seq:         seq,
		Token:       token,
		Tasks:       tasks,
	}
}

// smallMachineType returns the type of the machine in newControllerWithShard.
func smallMachineType() MachineType {
	return MachineType{
		Name:      "small",
		Resources: availability.Resources{CPUs: 8, MemoryGB: 32},
		BootS:     10,
		Zones:     []string{"a"},
	}
}

func newTestJobRecord(ranges ...Range) jobRecord {
	tasks := 0
	for _, r := range ranges {
		tasks = max(tasks, r.Hi)
	}
	return jobRecord{
		Job:    Job{ID: "job-000001", Kind: Array, Tasks: tasks, Request: availability.Resources{CPUs: 1}},
		Ranges: ranges,
	}
}

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

// A shard transfers a part of a team's limit by a write whose outcome is unknown. The shard then uses
// the allocation that it reads from the state service, never the one before the write.
func TestInDoubtTeamWriteIsResolvedFromStore(t *testing.T) {
	ctrl := newTestController(t)
	ctrl.params.Teams = map[string]Team{"ops": {MaxCPUs: 64}}
	ctrl.quotas.initTeamLedgers()
	ctrl.store.storeAccess.SetState(1, 1, 1)
	ctrl.cache.appliedRevision = 20
	s := ctrl.shards.newShard("m0", 0, 1)
	ctrl.shards.ownedShards["m0"] = s
	ctrl.cache.applyChange(
		KeyValue{
			Key:   teamKey("ops"),
			Value: json.RawMessage(`{"parts":{"m0":{"cpus":32},"m1":{"cpus":32}},"wants":{"m1":{"cpus":32}}}`),
			Rev:   21,
		},
	)
	ctrl.quotas.proposeAllocations(s)
	if allocation := ctrl.quotas.quotaLedgers["ops"].Allocation("m0"); allocation.CPUs != 0 {
		t.Fatalf("allocation %v while the write is pending, want none", allocation)
	}
	write := ctrl.TakeOutputs().StoreOps[0]
	ctrl.HandleStoreResult(ctrl.now, write.ID, StoreResult{Outcome: Unknown})
	read := ctrl.TakeOutputs().StoreOps[0]
	ctrl.cache.appliedRevision = 30 // the watch has passed the write
	ctrl.HandleStoreResult(
		ctrl.now,
		read.ID,
		StoreResult{Rev: 30, KVs: []KeyValue{{Key: teamKey("ops"), Value: write.Changes[0].Value, Rev: 25}}},
	)
	allocations := ctrl.quotas.quotaLedgers["ops"].Allocations()
	if allocations["m0"].CPUs != 0 || allocations["m1"].CPUs != 64 {
		t.Errorf("allocations %v after the successful write, want all 64 CPUs at m1", allocations)
	}
}

// A member without authority reports that it is not ready for users only while a peer owns shards.
func TestMemberIsReadyForUsersUnlessPeerHasAuthority(t *testing.T) {
	ctrl := newTestController(t)
	ctrl.now.MonotonicMS = 10_000
	if !ctrl.IsReadyForUsers() {
		t.Error("not ready for users while no message of a peer has arrived")
	}
	ctrl.peers.peers["m1"] = &peerState{receivedAtMS: 9_500, message: PeerMessage{From: "m1"}}
	if !ctrl.IsReadyForUsers() {
		t.Error("not ready for users while the only peer owns no shard")
	}
	ctrl.peers.peers["m1"].message.OwnedShards = []PeerShard{{Shard: "m1"}}
	if ctrl.IsReadyForUsers() {
		t.Error("ready for users while a peer owns a shard")
	}
}

// newControllerWithShard returns a member that owns its own shard, with one machine of 8 CPUs.
func newControllerWithShard(t *testing.T) (*Controller, *shard, *machine) {
	t.Helper()
	ctrl := newTestController(t)
	ctrl.cache.appliedRevision = 10
	ctrl.now = Now{1000, 1000}
	ctrl.store.storeAccess.SetState(1, 1000, 1000)
	ctrl.cache.setMachineTypes([]MachineType{smallMachineType()})
	s := ctrl.shards.newShard("m0", 7, 11)
	s.ready = true
	ctrl.shards.ownedShards["m0"] = s
	putRecord(ctrl, claimKey("m0"), claimRecord{"m0", 7}, 11)
	page := registryRecord{Shard: "m0", Type: "small", Zone: "a", MachineIDs: []string{"i-1"}}
	putRecord(ctrl, registryPrefix+"1-1", page, 12)
	putRecord(ctrl, liveMachinesPrefix+"m0/0", liveMachinesRecord{[]string{"i-1"}}, 12)
	ctrl.HandleHeartbeat(ctrl.now, 1, testHeartbeat("i-1", 3, 11))
	if resp := ctrl.TakeOutputs().HeartbeatResponses[1]; !resp.Accepted {
		t.Fatal("a heartbeat of an owned machine is not accepted")
	}
	return ctrl, s, ctrl.registry.machines["i-1"]
}

// The response to a direct command overtakes a heartbeat. The response to that heartbeat still renews
// the worker's lease, so the shard's owner counts a full lease from it.
func TestOvertakenHeartbeatRenewsWorkerLease(t *testing.T) {
	ctrl, s, mc := newControllerWithShard(t)
	mc.Seq = 9 // the response to the direct command set it
	ctrl.HandleHeartbeat(Now{2000, 2000}, 2, testHeartbeat("i-1", 8, 11))
	if resp := ctrl.TakeOutputs().HeartbeatResponses[2]; !resp.Accepted || len(resp.Commands) > 0 {
		t.Fatalf("response to an overtaken heartbeat: %+v, want accepted without commands", resp)
	}
	if leaseEnd := s.reconciler.LeaseExpiresAt(mc.Machine); leaseEnd < 2000+secondsToMS(ctrl.params.LeaseS) {
		t.Errorf("the lease expires at %d ms, want a full lease from 2000 ms", leaseEnd)
	}
}

// The attempt of a direct start without a response stays on its machine until the worker has seen a
// higher fencing token. Raising the token is retried until it succeeds.
func TestUnacknowledgedStartIsFencedByHigherToken(t *testing.T) {
	ctrl, s, mc := newControllerWithShard(t)
	putTestJob(ctrl, 13, Range{Lo: 0, Hi: 1, Shard: "m0"})
	ctrl.cache.jobs["job-000001"].rec.Job.EstimateS = 1
	ctrl.placer.planShard(s)
	ctrl.agents.sendUrgentStarts(s)
	outputs := ctrl.TakeOutputs()
	if len(outputs.DirectCommands) != 1 {
		t.Fatalf("%d direct commands, want 1", len(outputs.DirectCommands))
	}
	ctrl.HandleDirectCommandResult(ctrl.now, outputs.DirectCommands[0].ID, DirectCommandResult{Outcome: Unknown})
	tokenRaise := ctrl.TakeOutputs().StoreOps
	if len(tokenRaise) != 1 || tokenRaise[0].Changes[0].Key != claimKey("m0") {
		t.Fatalf("store operations %+v, want a write that raises the token", tokenRaise)
	}
	ctrl.HandleStoreResult(ctrl.now, tokenRaise[0].ID, StoreResult{Outcome: Refused})
	ctrl.now.MonotonicMS += 1000
	ctrl.TakeOutputs()
	ctrl.shards.tickShard(s)
	tokenRaise = ctrl.TakeOutputs().StoreOps
	if len(tokenRaise) == 0 {
		t.Fatal("a refused raise of the token is not retried")
	}
	heartbeat := func(seq, token uint64) {
		ctrl.HandleHeartbeat(ctrl.now, seq, testHeartbeat("i-1", seq, token))
	}
	heartbeat(20, 11)
	if mc.liveAttemptCount != 1 {
		t.Error("an unacknowledged attempt is removed while it may still run")
	}
	ctrl.HandleStoreResult(ctrl.now, tokenRaise[0].ID, StoreResult{Rev: 30})
	heartbeat(21, 11)
	if mc.liveAttemptCount != 1 {
		t.Error("an unacknowledged attempt is removed before its worker saw the higher token")
	}
	attemptsBefore := len(mc.attempts)
	heartbeat(22, 30)
	for _, attempt := range mc.attempts {
		if attempt.directCommandToken == 11 {
			t.Errorf("an attempt that can no longer run is kept: %d attempts before, %+v", attemptsBefore, attempt)
		}
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

// A gang starts only if all its tasks can start.
func TestGangStartsAllTasksOrNone(t *testing.T) {
	ctrl, s, mc := newControllerWithShard(t) // 8 CPUs
	for _, c := range []struct {
		tasks, expected int
	}{{9, 0}, {8, 8}} {
		rec := newTestJobRecord(Range{Lo: 0, Hi: c.tasks, Shard: "m0"})
		rec.Job.Kind, rec.Job.EstimateS = Gang, 1
		key := jobKey("job-000001")
		ctrl.cache.applyChange(KeyValue{Key: key, Rev: ctrl.cache.keyRevisions[key] + 1})
		clear(ctrl.cache.tombstones)
		putRecord(ctrl, key, rec, uint64(100+c.tasks*c.expected))
		ctrl.placer.planShard(s)
		n := 0
		for _, planned := range mc.plannedStarts {
			n += planned.count
		}
		if n != c.expected {
			t.Errorf("%d tasks of a gang of %d start on 8 CPUs, want all or none", n, c.tasks)
		}
		if n == 0 {
			continue
		}
		// Workers match the tasks of a gang by their attempt number. All tasks of one start have the
		// same number, the next start has another, and no task occurs twice in one start.
		attemptNumbers := map[uint64]int{}
		for try := range 2 {
			mc.commands = nil
			ctrl.agents.dispatchPlannedStarts(s, mc, &Heartbeat{Incarnation: 1, Seq: uint64(4 + try)})
			for _, cmd := range mc.commands {
				attemptNumbers[cmd.Attempt]++
			}
			for _, att := range mc.attempts {
				ctrl.agents.removeAttempt(mc, att)
				break
			}
			mc.plannedStarts = []plannedStart{{taskRange: ctrl.cache.jobs["job-000001"].taskRanges[0], count: 1}}
			mc.commands = nil
			if ctrl.agents.dispatchPlannedStarts(s, mc, &Heartbeat{Incarnation: 1, Seq: 9}); len(mc.commands) > 0 {
				t.Errorf("commands for a task of a failed gang start: %+v, want none", mc.commands)
			}
			for _, att := range mc.attempts {
				ctrl.agents.removeAttempt(mc, att)
			}
			mc.fullUntil = 0
			ctrl.placer.planShard(s)
		}
		if len(attemptNumbers) != 2 || slices.Max(slices.Collect(maps.Values(attemptNumbers))) != 8 {
			t.Errorf("starts by attempt number, for a gang of 8 started twice: %v, want two numbers, one with 8",
				attemptNumbers)
		}
	}
}

// While the state service sends no response, users are refused immediately with a retry delay. The
// first response ends the refusals.
func TestRequestsAreRefusedImmediatelyWhileStoreDoesNotRespond(t *testing.T) {
	ctrl, _, _ := newControllerWithShard(t)
	query := func(replyID uint64) (UserResponse, bool) {
		ctrl.HandleUserRequest(ctrl.now, replyID, UserRequest{Kind: QueryJob, ID: "job-000009"})
		resp, ok := ctrl.outputs.UserResponses[replyID]
		return resp, ok
	}
	if _, ok := query(1); ok {
		t.Fatal("a query is answered without the state service")
	}
	unansweredOps := ctrl.TakeOutputs().StoreOps
	ctrl.HandleStoreResult(Now{2000, 2000}, unansweredOps[0].ID, StoreResult{Outcome: Unknown})
	ctrl.now = Now{3000, 3000}
	if resp, ok := query(2); !ok || resp.Status != 503 || resp.RetryAfterS < 1 {
		t.Errorf("response to a query while the state service does not respond: %+v, want 503 with a retry delay", resp)
	}
	ctrl.outputs = Outputs{}
	ctrl.store.sendStore(StoreOp{Kind: StoreGet, Key: "x"}, func(StoreResult) {})
	ctrl.HandleStoreResult(ctrl.now, ctrl.TakeOutputs().StoreOps[0].ID, StoreResult{Outcome: NotFound})
	if _, ok := query(3); ok {
		t.Error("users are refused after the state service has responded")
	}
}

func allocationsOf(ctrl *Controller, team string) map[string]quota.Amounts {
	if ledger := ctrl.quotas.quotaLedgers[team]; ledger != nil {
		return ledger.Allocations()
	}
	return nil
}

// The whole limit of a team is allocated to its home shard, which all members compute alike. The
// team's jobs are assigned to that shard.
func TestTeamLimitHasOneHomeShard(t *testing.T) {
	teams := map[string]Team{"a": {MaxCPUs: 64}, "b": {MaxCPUs: 64}, "free": {}}
	homes := map[string]map[string]string{}
	for _, memberID := range []string{"m0", "m1"} {
		peerID := map[string]string{"m0": "m1", "m1": "m0"}[memberID]
		params := testParams(memberID, peerID)
		params.Teams = teams
		ctrl := New(params, 1, Now{1, 1})
		homes[memberID] = ctrl.quotas.homeShards
		for name, limit := range teams {
			sum := 0.0
			for _, allocation := range allocationsOf(ctrl, name) {
				sum += allocation.CPUs
			}
			if sum != limit.MaxCPUs {
				t.Errorf("the allocations of %s add up to %v, want %v", name, sum, limit.MaxCPUs)
			}
		}
		for _, team := range []string{"a", "b"} {
			for _, r := range ctrl.peers.assignRanges(&Job{ID: "job-000001", Kind: Array, Team: team, Tasks: 5}) {
				if r.Shard != ctrl.quotas.homeShards[team] {
					t.Errorf("%s assigns tasks of %s to %s, want its home %s",
						memberID, team, r.Shard, ctrl.quotas.homeShards[team])
				}
			}
		}
	}
	if !maps.Equal(homes["m0"], homes["m1"]) || homes["m0"]["a"] == homes["m0"]["b"] {
		t.Errorf("home shards by member %v, want the same at both, and different ones for a and b", homes)
	}
}

// Within a team's limit, a job that cannot meet its deadline ranks behind a job that can, even if its
// deadline is earlier.
func TestTeamLimitAdmitsJobsThatMeetTheirDeadlines(t *testing.T) {
	ctrl, s, _ := newControllerWithShard(t)
	ctrl.params.Teams = map[string]Team{"ops": {MaxCPUs: 4}}
	ctrl.quotas.initTeamLedgers()
	put := func(id string, tasks int, deadline float64, rev uint64) {
		rec := newTestJobRecord(Range{Lo: 0, Hi: tasks, Shard: "m0"})
		rec.Job.ID, rec.Job.Team, rec.Job.EstimateS, rec.Job.DeadlineS = id, "ops", 10, deadline
		rec.AcceptedAtMS = ctrl.now.WallMS
		putRecord(ctrl, jobKey(id), rec, rev)
	}
	put("job-000001", 40, 50, 21) // takes 100 s with the whole limit
	put("job-000002", 8, 60, 22)  // takes 20 s
	gs := ctrl.placer.waitingTaskGroups(s)
	if len(gs) != 2 || gs[0].job.ID != "job-000002" || !gs[1].MissedObjectives {
		t.Errorf("first group of %s, the second misses its objectives: %v; want job-000002 and true",
			gs[0].job.ID, gs[1].MissedObjectives)
	}
}

// On-demand machines are not provisioned for an objective that has passed by the time they are booted.
func TestOnDemandMachineIsNotProvisionedTooLate(t *testing.T) {
	ctrl, _, _ := newControllerWithShard(t)
	small := smallMachineType()
	small.Price, small.SpotPrice = 1, 0.25
	ctrl.cache.setMachineTypes([]MachineType{small})
	ctrl.scaler.unavailableUntil[offering{"small", "a", true}] = ctrl.now.MonotonicMS + 100_000
	for dueInMS, expected := range map[int64]bool{15_000: false, 25_000: true} {
		j := &Job{Spot: true, Request: availability.Resources{CPUs: 1}}
		g := &taskGroup{
			job: j,
			Group: planner.Group{
				Request:    j.resourceRequest(),
				Remaining:  8,
				LengthMS:   10_000,
				DeadlineMS: ctrl.now.WallMS + dueInMS,
			},
		}
		if offering, ok := ctrl.scaler.cheapestOffering(g, false, map[offering]offering{}); ok != expected {
			t.Errorf("with %d ms left: offering %v, found %v, want %v", dueInMS, offering, ok, expected)
		}
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

// Each member uses only its share of a peer's capacity. Capacity that it takes is subtracted from the
// peer's summary.
func TestPeerCapacityIsSharedAmongMembers(t *testing.T) {
	ctrl := New(testParams("m0", "m1", "m2", "m3"), 1, Now{1000, 1000})
	ctrl.store.storeAccess.SetState(0, 0, 0)
	oneCPU := availability.Resources{CPUs: 1, MemoryGB: 32}
	ctrl.cache.setMachineTypes([]MachineType{{Name: "small", Resources: oneCPU, Zones: []string{"a"}}})
	ctrl.cache.shardClaims["m1"] = claimRecord{Owner: "m1"}
	free := availability.Function{
		Kind:      planner.InstanceOffering{Type: "small", Zone: "a"}.Key(),
		Count:     30,
		Resources: oneCPU,
		Samples:   []availability.Sample{{TimeMS: 1000}, {TimeMS: 101_000, AvailableMS: 100_000}},
	}
	peerShard := PeerShard{Shard: "m1", Summary: availability.Summary{free}}
	ctrl.peers.peers["m1"] = &peerState{
		receivedAtMS: 1000,
		message:      PeerMessage{From: "m1", OwnedShards: []PeerShard{peerShard}},
	}
	j := &Job{Request: availability.Resources{CPUs: 1}, Tasks: 100}
	offers := ctrl.peers.peerCapacities(j, 10_000, 12_000, 100)
	if len(offers) != 1 || offers[0].tasks != 10 {
		t.Fatalf("offers %+v, want one of 10 tasks", offers)
	}
	if n := ctrl.peers.peerTaskCapacity(offers[0].peerShard, j, 10_000, 12_000, 10, true); n != 10 {
		t.Errorf("capacity taken for %d tasks, want 10", n)
	}
	if n := ctrl.peers.peerTaskCapacity(offers[0].peerShard, j, 10_000, 12_000, 100, false); n != 20 {
		t.Errorf("capacity left for %d tasks, want 20", n)
	}
}

// A machine with capacity starts a task with a cached image before one whose image it must fetch. It
// does not do so if the delay would make the latter miss its start objective.
func TestImageLocalityYieldsToStartObjectives(t *testing.T) {
	for _, c := range []struct {
		slackMS  int64 // time until the objective deadline of the first job
		expected string
	}{{40_000, "job-000002/0"}, {13_000, "job-000001/0"}} {
		ctrl, s, mc := newControllerWithShard(t)
		small := smallMachineType()
		small.ImageFetchGBps = 1
		ctrl.cache.setMachineTypes([]MachineType{small})
		mc.imageCache.RecordUse("here", planner.Image{LastUsedMS: 1, SizeGB: 2}, 0)
		s.spareCPUs = 8
		for i, image := range []string{"away", "here"} {
			rec := newTestJobRecord(Range{Lo: 0, Hi: 1, Shard: "m0"})
			rec.Job.ID = []string{"job-000001", "job-000002"}[i]
			rec.Job.Image, rec.Job.Request = image, availability.Resources{CPUs: 8, DiskGB: 2}
			putRecord(ctrl, jobKey(rec.Job.ID), rec, uint64(20+i))
			tr := ctrl.cache.jobs[rec.Job.ID].taskRanges[0]
			s.queue = append(s.queue, &taskGroup{
				taskRange: tr,
				job:       &tr.job.rec.Job,
				Group: planner.Group{
					Request:             tr.job.rec.Job.resourceRequest(),
					LengthMS:            10_000,
					ObjectiveDeadlineMS: ctrl.now.WallMS + c.slackMS,
					DeadlineMS:          ctrl.now.WallMS + 100_000,
				},
			})
		}
		mc.commands = nil
		ctrl.agents.startFromQueue(s, mc, &Heartbeat{Incarnation: 1, Seq: 4})
		if len(mc.commands) != 1 || mc.commands[0].Task != c.expected {
			t.Errorf("with %d ms to the objective deadline: commands %+v, want a start of %s",
				c.slackMS, mc.commands, c.expected)
		}
	}
}

// Tasks of a lower priority fill a team's limit, and a job of a higher priority needs the team's
// guarantee. Tasks that lose no work are stopped, because they have checkpoints or still fetch their
// image. The freed capacity goes to the job that they are stopped for.
func TestCheckpointedTasksAreStoppedForGuarantee(t *testing.T) {
	for _, c := range []struct {
		name               string
		checkpoint         float64
		state              string
		guarantee, overdue float64
		stops              bool
	}{
		{"checkpointed task", 1, "running", 4, 0, true},
		{"task without checkpoints", 0, "running", 4, 0, false},
		{"task that does not run yet", 0, "fetching", 4, 0, true},
		{"no guarantee", 1, "running", 0, 0, false},
		{"task that would miss its deadline", 1, "running", 4, 25, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			ctrl, s, mc := newControllerWithShard(t)
			ctrl.params.Teams = map[string]Team{"ops": {CPUs: c.guarantee, MaxCPUs: 4}}
			ctrl.params.GuaranteeWithinS = 10
			ctrl.quotas.initTeamLedgers()
			put := func(id string, p Priority, tasks int, cpus, checkpoint, deadline float64, rev uint64) {
				rec := newTestJobRecord(Range{Lo: 0, Hi: tasks, Shard: "m0"})
				j := &rec.Job
				j.ID, j.Team, j.Priority, j.EstimateS, j.DeadlineS = id, "ops", p, 20, deadline
				j.Request.CPUs, j.CheckpointIntervalS, j.CheckpointDurationS = cpus, checkpoint, checkpoint
				rec.AcceptedAtMS = ctrl.now.WallMS
				putRecord(ctrl, jobKey(id), rec, rev)
			}
			seq := uint64(3)
			heartbeat := func(tasks ...TaskStatus) []Command {
				seq++
				ctrl.HandleHeartbeat(ctrl.now, seq, testHeartbeat("i-1", seq, 11, tasks...))
				return ctrl.TakeOutputs().HeartbeatResponses[seq].Commands
			}
			put("job-000001", Normal, 1, 4, c.checkpoint, c.overdue, 21)
			ctrl.placer.planShard(s)
			commands := heartbeat()
			if len(commands) != 1 {
				t.Fatalf("commands for the first job: %+v, want one start", commands)
			}
			task := TaskStatus{Task: commands[0].Task, Attempt: commands[0].Attempt, State: c.state}
			heartbeat(task)
			put("job-000002", High, 2, 2, 0, 60, 22)
			ctrl.placer.planShard(s)
			commands = heartbeat(task)
			if !c.stops {
				if len(commands) > 0 {
					t.Errorf("commands %+v, want none", commands)
				}
				return
			}
			if len(commands) != 1 || commands[0].Kind != CommandStop || commands[0].GraceS < c.checkpoint {
				t.Fatalf("commands %+v, want a stop with time for a checkpoint", commands)
			}
			if usedCPUs := s.usage["ops"].CPUs; usedCPUs != 4 {
				t.Errorf("%g CPUs in use while a task is being stopped, want 4", usedCPUs)
			}
			ctrl.now = Now{ctrl.now.MonotonicMS + 2000, ctrl.now.WallMS + 2000}
			ctrl.store.storeAccess.SetState(1, ctrl.now.MonotonicMS, ctrl.now.MonotonicMS)
			task.State, task.Reason, task.Checkpointed = "exited", "stopped", c.checkpoint > 0
			ctrl.placer.planShard(s)
			var started []string
			for _, cmd := range heartbeat(task) {
				if cmd.Kind == CommandStart {
					started = append(started, cmd.Task)
				}
			}
			if want := []string{"job-000002/0", "job-000002/1"}; !slices.Equal(started, want) {
				t.Errorf("%v start after the stop, want %v", started, want)
			}
			if mc.liveAttemptCount != 2 {
				t.Errorf("%d attempts on the machine, want 2", mc.liveAttemptCount)
			}
		})
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

// After a termination notice, the shard forecasts demand for the tasks that the machine will not
// finish, less the capacity of other machines.
func TestTerminationNoticeForecastsDemand(t *testing.T) {
	ctrl, s, mc := newControllerWithShard(t)
	for i, length := range []float64{5, 60} {
		rec := newTestJobRecord(Range{Lo: 0, Hi: 2, Shard: "m0"})
		rec.Job.ID, rec.Job.EstimateS, rec.Job.Spot = fmt.Sprintf("job-%06d", i+1), length, true
		rec.Job.Request.CPUs = 2
		putRecord(ctrl, jobKey(rec.Job.ID), rec, uint64(21+i))
	}
	ctrl.placer.planShard(s)
	ctrl.agents.dispatchPlannedStarts(s, mc, &Heartbeat{Incarnation: 1, Seq: 3})
	if mc.liveAttemptCount != 4 {
		t.Fatalf("%d tasks run, want 4", mc.liveAttemptCount)
	}
	ctrl.placer.planShard(s)
	if len(s.forecastDemand) != 0 {
		t.Fatalf("without a notice: %+v, want no demand", s.forecastDemand)
	}
	mc.terminatesAt = ctrl.now.MonotonicMS + 20_000
	ctrl.placer.planShard(s)
	if len(s.forecastDemand) != 1 {
		t.Fatalf("with a notice of 20 s: %+v, want one demand", s.forecastDemand)
	}
	if got := s.forecastDemand[0]; got.Tasks != 2 || got.TaskRuntimeMS != 60_000 || !got.SpotOnly {
		t.Fatalf("with a notice of 20 s: %+v, want spot machines for 2 tasks of 60 s", got)
	}
	page := offering{"small", "a", true}.registryPage("m0", ctrl.now.WallMS)
	page.MachineIDs = []string{"i-2"}
	putRecord(ctrl, registryPrefix+"1-2", page, 30)
	if ctrl.placer.planShard(s); len(s.forecastDemand) != 0 {
		t.Errorf("with a booting machine: %+v, want no demand", s.forecastDemand)
	}
}

// A claim whose progress records are not read yet renews no worker's lease. Its owner could not stop a
// task whose job was cancelled while the shard had no owner.
func TestWorkerLeaseIsNotRenewedBeforeShardIsReady(t *testing.T) {
	ctrl, s, _ := newControllerWithShard(t)
	s.ready = false
	ctrl.HandleHeartbeat(ctrl.now, 5, testHeartbeat("i-1", 4, 11))
	if a := ctrl.TakeOutputs().HeartbeatResponses[5]; a.Accepted || a.RedirectTo != "" {
		t.Errorf("response %+v, want neither accepted nor redirected", a)
	}
}

// A machine on the drain list starts no tasks. Once it is removed from the list, it starts tasks again.
func TestUndrainedMachineStartsTasksAgain(t *testing.T) {
	ctrl, s, mc := newControllerWithShard(t)
	putTestJob(ctrl, 13, Range{Lo: 0, Hi: 2, Shard: "m0"})
	running := TaskStatus{Task: "job-000001/0", Attempt: 7 << 28, State: "running"}
	seq := uint64(3)
	heartbeatAndTick := func(drainList ...string) {
		ctrl.now.MonotonicMS += 1000
		ctrl.store.storeAccess.SetState(1, ctrl.now.MonotonicMS, ctrl.now.MonotonicMS)
		ctrl.cache.settings.Drain = drainList
		seq++
		ctrl.HandleHeartbeat(ctrl.now, seq, testHeartbeat("i-1", seq, 11, running))
		ctrl.shards.tickShard(s)
	}
	heartbeatAndTick("i-1")
	startsBefore := ctrl.Counters.Starts // the first heartbeat preceded the cordon
	heartbeatAndTick("i-1")
	if !mc.cordoned || ctrl.Counters.Starts != startsBefore || mc.releasing {
		t.Errorf("on the drain list: %+v, %d starts; want cordoned, not releasing, 0 starts",
			mc, ctrl.Counters.Starts-startsBefore)
	}
	heartbeatAndTick()
	heartbeatAndTick()
	if mc.cordoned || ctrl.Counters.Starts == startsBefore || mc.releasing {
		t.Errorf("off the drain list: cordoned %v, releasing %v, %d starts; want false, false and some",
			mc.cordoned, mc.releasing, ctrl.Counters.Starts-startsBefore)
	}
}

// After a claim, a few unreported machines are released after half a lease. If most machines are
// unreported, the network is the probable cause, and the shard keeps them.
func TestFewUnreportedMachinesAreReleasedAfterHalfALease(t *testing.T) {
	for _, unreported := range []int{1, 3} {
		ctrl, s, _ := newControllerWithShard(t)
		ids := []string{"i-2", "i-3", "i-4"}
		page := registryRecord{Shard: "m0", Type: "small", Zone: "a", MachineIDs: ids}
		putRecord(ctrl, registryPrefix+"1-2", page, 30)
		putRecord(ctrl, liveMachinesPrefix+"m0/1", liveMachinesRecord{ids}, 31)
		for _, id := range ids[unreported:] {
			ctrl.HandleHeartbeat(ctrl.now, 7, testHeartbeat(id, 3, 11))
		}
		for _, halfLeasePassed := range []bool{false, true} {
			if halfLeasePassed {
				ctrl.now.MonotonicMS += secondsToMS(ctrl.params.LeaseS)/2 + 1
			}
			ctrl.agents.tickReconcile(s)
			released := 0
			for _, mc := range s.machines {
				if mc.releasing {
					released++
				}
			}
			want := 0
			if halfLeasePassed && unreported == 1 {
				want = 1
			}
			if released != want {
				t.Errorf("%d of 4 machines unreported, half a lease passed %v: %d released, want %d",
					unreported, halfLeasePassed, released, want)
			}
		}
	}
}
