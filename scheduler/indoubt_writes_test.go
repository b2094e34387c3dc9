package scheduler

import (
	"encoding/json"
	"slices"
	"testing"

	"github.com/grebedock/grebedock/quota"
)

// findTxn takes the controller's outputs and returns the transaction that changes a key, or nil.
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

// A move without a response may still be applied, even if the state service refuses its retry. No task of the
// moved range starts on this member until the job record shows the outcome.
// TestInvariantsSurviveRandomOverlappingFaults found this fault: the tail of the range ran on this member and
// on the peer.
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
		// next advances the time until an operation of this kind on the key is sent, and returns its ID.
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
			t.Fatalf("retry outcome %v: no operation of kind %v was sent", retryOutcome, kind)
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
			t.Fatalf("retry outcome %v: move counts as resolved while the first attempt may be applied", retryOutcome)
		}
		read(Refused) // a refused read does not resolve the move either
		try(Conflict)
		read(Refused)
		if !tr.moving {
			t.Fatal("move counts as resolved after a conflict without a successful read")
		}
		put = KeyValue{Key: key, Value: mustEncode(rec), Rev: 29}
		read(OK)
		if tr.moving || j.recordWritePending || tr.size() != 2 {
			t.Errorf("after the read: moving %v, write pending %v, %d tasks left; want false, false, 2",
				tr.moving, j.recordWritePending, tr.size())
		}
	}
}

// The part of a team's limit that a shard transfers counts as transferred until the write is resolved, also if
// the state service refuses a retry. After the shard is dropped, the write is not retried.
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
		t.Fatalf("got allocation %v while write %+v is pending, want 0 CPUs", ledger.Allocation("m0"), op)
	}
	ctrl.HandleStoreResult(ctrl.now, op.ID, StoreResult{Outcome: Unknown})
	for range 40 {
		ctrl.now.MonotonicMS += 100
		ctrl.store.runDueSteps()
		for _, op := range ctrl.TakeOutputs().StoreOps {
			ctrl.HandleStoreResult(ctrl.now, op.ID, StoreResult{Outcome: Refused})
		}
		if ledger.Allocation("m0").CPUs != 0 {
			t.Fatalf("got allocation %v while the first attempt may still be applied, want 0 CPUs",
				ledger.Allocation("m0"))
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
		t.Error("the write of a dropped shard is still retried")
	}
}

// A status record is attached to the member's lease and written without other preconditions. A record that is
// applied late must not replace a newer one, and is ignored if it is too old.
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
		t.Fatal("status record of m1 is missing")
	} else if record.message.OwnedShards[0].MachinesToRelease[0] != "i-new" {
		t.Errorf("got status record %+v, want i-new to be released", record)
	}
	applyStatusRecord(50_000-ctrl.cache.maxMessageAgeMS()-1, "i-older", 42)
	if record := ctrl.peers.statusRecords["m1"]; record.message.OwnedShards[0].MachinesToRelease[0] != "i-new" {
		t.Errorf("got status record %+v, want i-new to be released", record)
	}
}

// A claim without a response is read back and identified by its nonce. A claim of an earlier incarnation of
// the same member, applied late, is not accepted: it is attached to a lease that is about to expire.
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
			t.Errorf("%s: got owned shard %+v, want owned: %v (claim revision %d)", c.name, s, c.isOwn, c.rev)
		}
	}
}

// A claim whose lease expired before the response arrived is discarded, even if the write succeeded.
func TestClaimUnderExpiredLeaseIsDiscarded(t *testing.T) {
	ctrl := newTestController(t)
	ctrl.store.storeAccess.SetState(9, 1, 1)
	ctrl.cache.appliedRevision = 20
	ctrl.shards.claimShard("m0")
	op := findTxn(t, ctrl, claimKey("m0"))
	ctrl.store.storeAccess.SetState(10, 2, 2) // the lease expired and was replaced
	ctrl.HandleStoreResult(ctrl.now, op.ID, StoreResult{Rev: 25})
	if ctrl.shards.ownedShards["m0"] != nil {
		t.Error("shard m0 is owned under an expired lease, want it discarded")
	}
}

// A member that loses its lease drops its claims at once, before the watch delivers their removal. The next
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
		t.Errorf("got %d owned shards after the loss of the lease, want 0", len(ctrl.shards.ownedShards))
	}
	ctrl.HandleHeartbeat(ctrl.now, 7, testHeartbeat("i-1", 9, s.token))
	if resp := ctrl.TakeOutputs().HeartbeatResponses[7]; resp.Accepted {
		t.Error("a heartbeat is accepted under a lost claim")
	}
}

// A worker keeps the result of a task until the state service has stored it. If the owner had it cleared
// earlier, the next owner of the shard would run the task again.
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
		return slices.ContainsFunc(commands, func(cmd Command) bool { return cmd.Kind == CommandClear })
	}
	if isCleared(4) || tr.doneCount != 1 {
		t.Fatalf("result cleared before it is stored, or got %d done tasks, want 1", tr.doneCount)
	}
	tr.storedDone.set(0)
	if !isCleared(5) {
		t.Error("stored result is not cleared")
	}
}

// A machine that sends heartbeats but did not receive its last start is inbound-partitioned. It gets one start
// at a time until it acknowledges one.
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
		t.Fatalf("got %d starts at first, want at least 4", n)
	}
	heartbeat(5) // reports none of the started tasks, so they are planned again
	for seq := uint64(6); seq < 8; seq++ {
		if n := len(heartbeat(seq)); n != 1 {
			t.Fatalf("got %d starts for an inbound-partitioned machine, want 1", n)
		}
	}
	acknowledgedStart := heartbeat(8)[0]
	running := TaskStatus{Task: acknowledgedStart.Task, Attempt: acknowledgedStart.Attempt, State: "running"}
	if n := len(heartbeat(9, running)); n < 4 || mc.startUndelivered {
		t.Errorf("got %d starts after an acknowledged start, want at least 4; start undelivered %v, want false",
			n, mc.startUndelivered)
	}
}

// A job whose record cannot be decoded stays known and can be cancelled. If every request got 503, the job
// would be lost to its user.
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
						t.Errorf("got cancellation preconditions %+v, want revision %d of %s",
							op.Preconditions, record.Rev, record.Key)
					}
					ctrl.HandleStoreResult(ctrl.now, op.ID, StoreResult{Rev: 51})
				}
			}
		}
		return UserResponse{}, false
	}
	for replyID, kind := range []UserRequestKind{QueryJob, SubmitJob} {
		if resp, ok := request(uint64(100+replyID), kind); !ok || resp.Status != 200 || resp.State != Pending {
			t.Errorf("request of kind %v: responded %v with %+v, want 200 and %s", kind, ok, resp, Pending)
		}
	}
	if resp, ok := request(200, CancelJob); !ok || resp.Status != 200 || resp.State != Cancelled {
		t.Errorf("cancellation: responded %v with %+v, want 200 and %s", ok, resp, Cancelled)
	}
}

// A shard is ready once its progress records are read and the state cache is past the revision of its claim.
// Without the progress records, completed tasks would start again.
func TestShardIsNotReadyBeforeItsProgressIsRead(t *testing.T) {
	ctrl, s, _ := newControllerWithShard(t)
	s.ready, s.progressRead, s.requestPending = false, false, true
	ctrl.cache.appliedRevision = s.claimRev + 1
	ctrl.shards.tickShard(s)
	if s.ready {
		t.Error("shard is ready before its progress is read")
	}
	s.progressRead = true
	if ctrl.shards.tickShard(s); !s.ready {
		t.Error("shard is not ready after its progress is read")
	}
}
