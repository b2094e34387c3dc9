package scheduler

import (
	"testing"

	"github.com/grebedock/grebedock/availability"
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
