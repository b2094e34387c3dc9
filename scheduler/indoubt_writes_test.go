package scheduler

import (
	"encoding/json"
	"slices"
	"testing"

	"github.com/grebedock/grebedock/quota"
)

// findTxn finds the transaction of the outputs that changes a key.
func findTxn(t *testing.T, ctrl *Controller, key string) *StoreOp {
	t.Helper()
	for _, op := range ctrl.TakeOutputs().StoreOps {
		for _, c := range op.Changes {
			if c.Key == key {
				return &op
			}
		}
	}
	return nil
}

// A move that got no response, and was refused when it was retried, may yet be applied: no task
// of its range starts here until the record shows the outcome.
// Found by TestInvariantsSurviveRandomOverlappingFaults: the tail ran here and at the peer.
func TestRefusedRetryDoesNotResolveInDoubtMove(t *testing.T) {
	for _, retryOutcome := range []Outcome{Refused, Throttled, Gone} {
		ctrl, s, _ := newControllerWithShard(t)
		key := jobKey("job-000001")
		put := KeyValue{Key: key, Value: mustEncode(newTestJobRecord(Range{Lo: 0, Hi: 4, Shard: "m0"})), Rev: 21}
		ctrl.cache.applyChange(put)
		j := ctrl.cache.jobs["job-000001"]
		tr := j.taskRanges[0]
		rec := j.rec
		rec.Ranges = []Range{{0, 2, "m0", false}, {2, 4, "m1", true}}
		ctrl.peers.writeMove(s, tr, j, rec, j.rev)
		// next is the next operation on the key; time passes until it is sent.
		next := func(kind StoreOpKind) uint64 {
			for range 20 {
				for _, op := range ctrl.TakeOutputs().StoreOps {
					if op.Kind == kind && (op.Key == key || len(op.Changes) > 0 && op.Changes[0].Key == key) {
						return op.ID
					}
				}
				ctrl.now.MonotonicMS += 100
				ctrl.store.runDueSteps()
			}
			t.Fatalf("outcome %v: no operation of kind %v", retryOutcome, kind)
			return 0
		}
		read := func(outcome Outcome) {
			result := StoreResult{Outcome: outcome, KVs: []KeyValue{put}, Rev: 30}
			ctrl.HandleStoreResult(ctrl.now, next(StoreGet), result)
		}
		try := func(outcome Outcome) {
			ctrl.HandleStoreResult(ctrl.now, next(StoreTxn), StoreResult{Outcome: outcome, Rev: 31})
		}
		try(Unknown)
		read(OK)
		try(retryOutcome)
		if !tr.moving {
			t.Fatalf("outcome %v: the range starts here while the first try may be applied", retryOutcome)
		}
		read(Refused) // nor does a refused read resolve anything
		try(Conflict)
		read(Refused)
		if !tr.moving {
			t.Fatal("a conflict without a read counts as resolved")
		}
		put = KeyValue{Key: key, Value: mustEncode(rec), Rev: 29}
		read(OK)
		if tr.moving || j.recordWritePending || tr.size() != 2 {
			t.Errorf("resolved: moving %v, write pending %v, %d tasks here; want 2",
				tr.moving, j.recordWritePending, tr.size())
		}
	}
}

// What a shard gives away of a team's limit counts as given until the write is resolved, also
// when a retry was refused. When the shard is dropped, the write is no longer retried.
func TestRefusedRetryDoesNotResolveInDoubtTeamWrite(t *testing.T) {
	ctrl, s, _ := newControllerWithShard(t)
	ctrl.params.Teams = map[string]Team{"ops": {MaxCPUs: 64}}
	ctrl.quotas.initTeamLedgers()
	ledger := ctrl.quotas.quotaLedgers["ops"]
	rec := quota.Record{
		Allocations: map[string]quota.Amounts{"m0": {CPUs: 32}, "m1": {CPUs: 32}},
		Requests:    map[string]quota.Request{"m1": {Amounts: quota.Amounts{CPUs: 32}}},
	}
	key := teamKey("ops")
	putRecord(ctrl, key, rec, 21)
	ctrl.quotas.proposeAllocations(s)
	op := findTxn(t, ctrl, key)
	if op == nil || ledger.Allocation("m0").CPUs != 0 {
		t.Fatalf("allocation %v while the write %+v is pending, want none", ledger.Allocation("m0"), op)
	}
	ctrl.HandleStoreResult(ctrl.now, op.ID, StoreResult{Outcome: Unknown})
	for range 40 {
		ctrl.now.MonotonicMS += 100
		ctrl.store.runDueSteps()
		for _, op := range ctrl.TakeOutputs().StoreOps {
			ctrl.HandleStoreResult(ctrl.now, op.ID, StoreResult{Outcome: Refused})
		}
		if ledger.Allocation("m0").CPUs != 0 {
			t.Fatalf("allocation %v while the first try may be applied, want none", ledger.Allocation("m0"))
		}
	}
	ctrl.shards.dropShard(s)
	for range 10 {
		ctrl.now.MonotonicMS += 100
		ctrl.store.runDueSteps()
		for _, op := range ctrl.TakeOutputs().StoreOps {
			ctrl.HandleStoreResult(ctrl.now, op.ID, StoreResult{Outcome: Refused})
		}
	}
	if len(ctrl.store.delayedSteps) != 0 {
		t.Error("a write of a dropped shard is still retried")
	}
}

// A status record is written under the lease alone: one that is applied late must not replace a
// newer one, nor count when it is old.
func TestLateStatusRecordIsIgnored(t *testing.T) {
	ctrl, _, _ := newControllerWithShard(t)
	key := statusPrefix + "m1"
	applyStatusRecord := func(wall int64, id string, rev uint64) {
		shards := []statusRecordShard{{Shard: "m1", MachinesToRelease: []string{id}}}
		putRecord(ctrl, key, statusRecord{WallMS: wall, Shards: shards}, rev)
	}
	ctrl.now.WallMS = 50_000
	applyStatusRecord(49_000, "i-new", 40)
	applyStatusRecord(48_000, "i-old", 41)
	if record := ctrl.peers.statusRecords["m1"]; record == nil {
		t.Fatal("there is no status record")
	} else if record.message.OwnedShards[0].MachinesToRelease[0] != "i-new" {
		t.Errorf("the status record is %+v, want i-new released", record)
	}
	applyStatusRecord(50_000-ctrl.cache.maxMessageAgeMS()-1, "i-older", 42)
	if record := ctrl.peers.statusRecords["m1"]; record.message.OwnedShards[0].MachinesToRelease[0] != "i-new" {
		t.Errorf("the status record is %+v, want i-new released", record)
	}
}

// A claim that got no response is read back. Another claim under this member's name is not it:
// one of an earlier incarnation, applied late, is attached to a lease that is about to expire.
func TestInDoubtClaimIsIdentifiedByItsNonce(t *testing.T) {
	ctrl := newTestController(t)
	ctrl.store.storeAccess.SetState(9, 1, 1)
	ctrl.cache.appliedRevision = 20
	key := claimKey("m0")
	earlierClaim := mustEncode(claimRecord{"m0", 4711})
	for _, c := range []struct {
		name        string
		rev         uint64
		storedClaim func(sent json.RawMessage) json.RawMessage
		isOwn       bool
	}{
		{"earlier incarnation", 25, func(json.RawMessage) json.RawMessage { return earlierClaim }, false},
		{"own claim", 28, func(sent json.RawMessage) json.RawMessage { return sent }, true},
	} {
		ctrl.shards.claimShard("m0")
		op := findTxn(t, ctrl, key)
		ctrl.HandleStoreResult(ctrl.now, op.ID, StoreResult{Outcome: Unknown})
		stored := []KeyValue{{Key: key, Value: c.storedClaim(op.Changes[0].Value), Rev: c.rev}}
		ctrl.HandleStoreResult(ctrl.now, ctrl.TakeOutputs().StoreOps[0].ID, StoreResult{Rev: 30, KVs: stored})
		if s := ctrl.shards.ownedShards["m0"]; (s != nil) != c.isOwn || c.isOwn && s.token != c.rev {
			t.Errorf("%s: owned shard %+v", c.name, s)
		}
	}
}

// A claim whose lease expired before its response came is discarded, whatever the response says.
func TestClaimUnderExpiredLeaseIsDiscarded(t *testing.T) {
	ctrl := newTestController(t)
	ctrl.store.storeAccess.SetState(9, 1, 1)
	ctrl.cache.appliedRevision = 20
	ctrl.shards.claimShard("m0")
	op := findTxn(t, ctrl, claimKey("m0"))
	ctrl.store.storeAccess.SetState(10, 2, 2) // the lease expired meanwhile, and there is another one
	ctrl.HandleStoreResult(ctrl.now, op.ID, StoreResult{Rev: 25})
	if ctrl.shards.ownedShards["m0"] != nil {
		t.Error("a claim under an expired lease is kept")
	}
}

// With its lease a member loses its claims at once, before the watch delivers that: the next
// lease gives no authority over them.
func TestLostLeaseDropsItsClaims(t *testing.T) {
	ctrl, s, _ := newControllerWithShard(t)
	ctrl.now.MonotonicMS += ctrl.store.leaseTTLMS() / 2
	var renewalID uint64
	for range 40 {
		ctrl.Tick(ctrl.now)
		for _, op := range ctrl.TakeOutputs().StoreOps {
			if op.Kind == StoreRenewLease {
				renewalID = op.ID
			}
		}
		ctrl.now.MonotonicMS += 100
	}
	ctrl.HandleStoreResult(ctrl.now, renewalID, StoreResult{Outcome: NotFound})
	if len(ctrl.shards.ownedShards) > 0 {
		t.Error("the claims outlive the lease")
	}
	ctrl.HandleHeartbeat(ctrl.now, 7, testHeartbeat("i-1", 9, s.token))
	if resp := ctrl.TakeOutputs().HeartbeatResponses[7]; resp.Accepted {
		t.Error("a heartbeat is accepted under a claim that is over")
	}
}

// A result stays with its machine until the store has it: cleared before, a claim that
// follows would run the task again.
func TestResultIsClearedOnlyOnceStored(t *testing.T) {
	ctrl, s, mc := newControllerWithShard(t)
	putTestJob(ctrl, 13, Range{Lo: 0, Hi: 2, Shard: "m0"})
	tr := ctrl.cache.jobs["job-000001"].taskRanges[0]
	ctrl.agents.startTask(s, mc, &Heartbeat{Incarnation: 1, Seq: 3}, taskStart{taskRange: tr, runtimeMS: 1000})
	var key attemptKey
	for key = range mc.attempts {
	}
	isCleared := func(seq uint64) bool {
		done := TaskStatus{Task: key.task, Attempt: key.attempt, State: "exited", Reason: "done"}
		ctrl.HandleHeartbeat(ctrl.now, seq, testHeartbeat("i-1", seq, 11, done))
		commands := ctrl.TakeOutputs().HeartbeatResponses[seq].Commands
		return slices.ContainsFunc(commands, func(cmd Command) bool { return cmd.Kind == CommandForget })
	}
	if isCleared(4) || tr.doneCount != 1 {
		t.Fatal("a result is cleared that is not stored")
	}
	tr.storedDone.set(0)
	if !isCleared(5) {
		t.Error("a stored result is not cleared")
	}
}

// A machine that sends heartbeats and did not receive its last start gets one start at a time,
// until one is acknowledged.
func TestInboundPartitionedMachineGetsOneStartAtATime(t *testing.T) {
	ctrl, s, mc := newControllerWithShard(t)
	putTestJob(ctrl, 13, Range{Lo: 0, Hi: 8, Shard: "m0"})
	ctrl.placer.planShard(s)
	heartbeat := func(seq uint64, tasks ...TaskStatus) []Command {
		ctrl.HandleHeartbeat(ctrl.now, seq, testHeartbeat("i-1", seq, 11, tasks...))
		resp := ctrl.TakeOutputs().HeartbeatResponses[seq]
		ctrl.placer.planShard(s)
		return resp.Commands
	}
	if n := len(heartbeat(4)); n < 4 {
		t.Fatalf("%d starts at first, want at least 4", n)
	}
	heartbeat(5) // none of them is there; they are planned anew
	for seq := uint64(6); seq < 8; seq++ {
		if n := len(heartbeat(seq)); n != 1 {
			t.Fatalf("%d starts for an inbound-partitioned machine, want 1", n)
		}
	}
	acknowledgedStart := heartbeat(8)[0]
	running := TaskStatus{Task: acknowledgedStart.Task, Attempt: acknowledgedStart.Attempt, State: "running"}
	if n := len(heartbeat(9, running)); n < 4 || mc.startUndelivered {
		t.Errorf("%d starts once a start is acknowledged, want at least 4", n)
	}
}

// A job whose record cannot be decoded is known all the same, and can be cancelled: with 503 for
// ever, it would be forgotten.
func TestJobWithUnreadableRecordCanBeCancelled(t *testing.T) {
	ctrl, _, _ := newControllerWithShard(t)
	const id = "job-000009"
	record := KeyValue{Key: jobKey(id), Value: []byte(`{"job":7}`), Rev: 40}
	ctrl.cache.applyChange(record)
	request := func(replyID uint64, kind UserRequestKind) (UserResponse, bool) {
		ctrl.HandleUserRequest(ctrl.now, replyID, UserRequest{Kind: kind, ID: id, Malformed: "no body"})
		for range 3 {
			outputs := ctrl.TakeOutputs()
			if resp, ok := outputs.UserResponses[replyID]; ok {
				return resp, true
			}
			for _, op := range outputs.StoreOps {
				switch op.Kind {
				case StoreGet:
					ctrl.HandleStoreResult(ctrl.now, op.ID, StoreResult{Rev: 50, KVs: []KeyValue{record}})
				case StoreTxn:
					if !slices.Contains(op.Preconditions, Precondition{record.Key, record.Rev}) {
						t.Errorf("cancelled under %+v", op.Preconditions)
					}
					ctrl.HandleStoreResult(ctrl.now, op.ID, StoreResult{Rev: 51})
				}
			}
		}
		return UserResponse{}, false
	}
	for replyID, kind := range []UserRequestKind{QueryJob, SubmitJob} {
		if resp, ok := request(uint64(100+replyID), kind); !ok || resp.Status != 200 || resp.State != Pending {
			t.Errorf("request of kind %v: responded %v, %+v", kind, ok, resp)
		}
	}
	if resp, ok := request(200, CancelJob); !ok || resp.Status != 200 || resp.State != Cancelled {
		t.Errorf("cancellation: responded %v, %+v", ok, resp)
	}
}

// A shard is ready when its progress is read and the cache has passed its claim: without
// the former, tasks that are done would start again.
func TestShardIsNotReadyBeforeItsProgressIsRead(t *testing.T) {
	ctrl, s, _ := newControllerWithShard(t)
	s.ready, s.progressRead, s.requestPending = false, false, true
	ctrl.cache.appliedRevision = s.claimRev + 1
	ctrl.shards.tickShard(s)
	if s.ready {
		t.Error("ready before its progress is read")
	}
	s.progressRead = true
	if ctrl.shards.tickShard(s); !s.ready {
		t.Error("not ready")
	}
}
