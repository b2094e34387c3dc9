package scheduler

import (
	"fmt"
	"testing"

	"github.com/grebedock/grebedock/availability"
)

// newAcceptingController returns a member that accepts submissions at a rate, in changes per second.
func newAcceptingController(t *testing.T, acceptRate float64) *Controller {
	t.Helper()
	ctrl, _, _ := newControllerWithShard(t)
	ctrl.params.StoreChangeRate = acceptRate
	ctrl.params.Teams = map[string]Team{"ops": {}, "few": {}}
	ctrl.requests.submissionQueue.Drain()
	ctrl.requests.submissionQueue = newSubmissionQueue(&ctrl.params)
	ctrl.TakeOutputs()
	return ctrl
}

func newSubmission(n int, team string, p Priority) UserRequest {
	id := fmt.Sprintf("job-%06d", n)
	return UserRequest{
		Kind: SubmitJob,
		ID:   id,
		Job: &Job{
			ID:        id,
			Team:      team,
			Kind:      Array,
			Priority:  p,
			Tasks:     1,
			EstimateS: 10,
			Request:   availability.Resources{CPUs: 1, MemoryGB: 1},
		},
	}
}

// Submissions that arrive while the maximum number of writes is pending share the next write. If one of
// their jobs already exists, it does not delay the others.
func TestConcurrentSubmissionsShareOneWrite(t *testing.T) {
	ctrl := newAcceptingController(t, 1000)
	for n := range 12 {
		ctrl.HandleUserRequest(ctrl.now, uint64(n), newSubmission(n, "ops", Normal))
	}
	ops := ctrl.TakeOutputs().StoreOps
	if len(ops) != maxSubmissionTxnsInFlight {
		t.Fatalf("%d writes are pending, want %d", len(ops), maxSubmissionTxnsInFlight)
	}
	ctrl.HandleStoreResult(ctrl.now, ops[0].ID, StoreResult{Rev: 100})
	outputs := ctrl.TakeOutputs()
	if outputs.UserResponses[0].Status != 201 || len(outputs.StoreOps) != 1 || len(outputs.StoreOps[0].Changes) != 8 {
		t.Fatalf("responses %+v, store operations %+v; want 201 and one write of 8",
			outputs.UserResponses, outputs.StoreOps)
	}
	conflict := StoreResult{Outcome: Conflict, FailedKeys: []string{terminalKey("job-000007")}}
	ctrl.HandleStoreResult(ctrl.now, outputs.StoreOps[0].ID, conflict)
	outputs = ctrl.TakeOutputs()
	var reads, writes []StoreOp
	for _, op := range outputs.StoreOps {
		if op.Kind == StoreTxn {
			writes = append(writes, op)
		} else {
			reads = append(reads, op)
		}
	}
	if len(reads) != 1 || reads[0].Key != jobKey("job-000007") || len(writes) != 1 || len(writes[0].Changes) != 7 {
		t.Fatalf("after a conflict %d reads, writes %+v; want a read of job-000007 and a write of the other 7",
			len(reads), writes)
	}
	ctrl.HandleStoreResult(ctrl.now, writes[0].ID, StoreResult{Rev: 101})
	for id, resp := range ctrl.TakeOutputs().UserResponses {
		if resp.Status != 201 || id == 7 {
			t.Errorf("response %d is %+v, want 201 to all but 7", id, resp)
		}
	}
}

// A job that is submitted twice while writes are pending is written once. Only its first submission
// gets 201.
func TestJobSubmittedTwiceIsAcceptedOnce(t *testing.T) {
	ctrl := newAcceptingController(t, 1000)
	for n := range maxSubmissionTxnsInFlight {
		ctrl.HandleUserRequest(ctrl.now, uint64(n), newSubmission(n, "ops", Normal))
	}
	const first, duplicate, job = 50, 51, 9
	ctrl.HandleUserRequest(ctrl.now, first, newSubmission(job, "ops", Normal))
	ctrl.HandleUserRequest(ctrl.now, duplicate, newSubmission(job, "ops", Normal))
	ops := ctrl.TakeOutputs().StoreOps
	ctrl.HandleStoreResult(ctrl.now, ops[0].ID, StoreResult{Rev: 100})
	write := ctrl.TakeOutputs().StoreOps[0]
	if len(write.Changes) != 1 {
		t.Fatalf("changes %+v, want one", write.Changes)
	}
	ctrl.HandleStoreResult(ctrl.now, write.ID, StoreResult{Rev: 101})
	outputs := ctrl.TakeOutputs()
	if outputs.UserResponses[first].Status != 201 || len(outputs.UserResponses) != 1 || len(outputs.StoreOps) != 1 ||
		outputs.StoreOps[0].Key != jobKey("job-000009") {
		t.Fatalf("responses %+v, store operations %+v; want 201 to the first and one read",
			outputs.UserResponses, outputs.StoreOps)
	}
	stored := []KeyValue{{Key: write.Changes[0].Key, Value: write.Changes[0].Value, Rev: 101}}
	ctrl.HandleStoreResult(ctrl.now, outputs.StoreOps[0].ID, StoreResult{KVs: stored})
	if resp := ctrl.TakeOutputs().UserResponses[duplicate]; resp.Status != 200 || resp.State != Pending {
		t.Errorf("response to the second: %+v, want 200 and pending", resp)
	}
}

// Above the rate limit, the member sheds the submissions that would wait longest, and no urgent ones.
// Submissions that are shed get a response at once, with different retry delays.
func TestOverloadIsAnsweredImmediately(t *testing.T) {
	ctrl := newAcceptingController(t, 5)
	responses := map[uint64]UserResponse{}
	var writes []StoreOp
	collectOutputs := func() {
		outputs := ctrl.TakeOutputs()
		writes = append(writes, outputs.StoreOps...)
		for id, resp := range outputs.UserResponses {
			responses[id] = resp
		}
	}
	for n := range 200 {
		ctrl.HandleUserRequest(ctrl.now, uint64(n), newSubmission(n, "ops", Low))
		collectOutputs()
	}
	ctrl.HandleUserRequest(ctrl.now, 500, newSubmission(500, "few", High))
	collectOutputs()
	ctrl.HandleUserRequest(ctrl.now, 501, newSubmission(501, "few", Low))
	collectOutputs()
	retrySeconds := map[int]int{}
	for id, resp := range responses {
		if resp.Status != 503 || resp.RetryAfterS < 1 || resp.RetryAfterS > maxSubmissionRetryAfterS {
			t.Errorf("response %d is %+v, want 503 with a retry delay", id, resp)
		}
		retrySeconds[resp.RetryAfterS]++
	}
	if _, ok := responses[500]; ok {
		t.Error("an urgent submission is shed")
	}
	if _, ok := responses[501]; ok {
		t.Error("the only submission of its team is shed")
	}
	if len(responses) < 150 || len(retrySeconds) < 20 {
		t.Errorf("%d submissions are shed, by retry delay: %v; want at least 150 and 20 different delays",
			len(responses), retrySeconds)
	}
	// The state service becomes unavailable: the queued submissions get a response at once.
	answeredBefore := len(responses)
	for _, op := range writes {
		ctrl.HandleStoreResult(ctrl.now, op.ID, StoreResult{Outcome: Refused})
	}
	ctrl.Tick(Now{ctrl.now.MonotonicMS + 100, ctrl.now.WallMS + 100})
	collectOutputs()
	if len(responses) != 202 {
		t.Errorf("%d of 202 submissions got a response, %d of them before the outage; want all",
			len(responses), answeredBefore)
	}
}

// The tasks of an at-most-once job are not moved once they may have started. Some may be lost since an
// earlier owner of the shard, which only the owner of their range can determine.
func TestAtMostOnceTasksThatMayHaveStartedAreNotMoved(t *testing.T) {
	for _, mayHaveStarted := range []bool{false, true} {
		ctrl, s, _ := newControllerWithShard(t)
		ctrl.params.Teams = map[string]Team{"ops": {}}
		addPeerWithCapacity(ctrl, 1000)
		j := newSubmission(1, "ops", Normal).Job
		j.AtMostOnce, j.Tasks = true, 4
		rec := jobRecord{Job: *j, MayHaveBegun: mayHaveStarted, Ranges: []Range{{0, 4, "m0", false}}}
		putRecord(ctrl, jobKey(j.ID), rec, 20)
		s.demand = []rangeDemand{{
			taskRange:      ctrl.cache.jobs[j.ID].taskRanges[0],
			CapacityDemand: CapacityDemand{Job: j.ID, Tasks: 4, DeadlineMS: 800_000, TaskRuntimeMS: 10_000},
		}}
		ctrl.TakeOutputs()
		ctrl.peers.moveUnplaceableTasks(s)
		if moved := len(ctrl.TakeOutputs().StoreOps) > 0; moved == mayHaveStarted {
			t.Errorf("may have started %v: moved %v, want the opposite", mayHaveStarted, moved)
		}
	}
}

// A request that waits for the member's own rate budget does not count as an overdue response of the
// state service. When it did, peers skipped a healthy member.
func TestRequestsQueuedForBudgetDoNotMarkStoreUnavailable(t *testing.T) {
	ctrl, _, _ := newControllerWithShard(t)
	ctrl.store.sendStore(StoreOp{Kind: StoreTxn, Urgency: UrgencyBackground}, func(StoreResult) {})
	ctrl.now.MonotonicMS += 3 * ctrl.store.storeAccess.OverdueAfterMS()
	if !ctrl.requests.canServeUsers() {
		t.Errorf("the link is %v while a write waits for the rate budget, want usable",
			ctrl.store.storeAccess.Link(ctrl.now.MonotonicMS))
	}
	ctrl.store.sendStore(StoreOp{Kind: StoreGet, Urgency: UrgencyRead}, func(StoreResult) {})
	ctrl.now.MonotonicMS += 3 * ctrl.store.storeAccess.OverdueAfterMS()
	if ctrl.requests.canServeUsers() {
		t.Error("the member can serve users while a response is overdue")
	}
	for _, op := range ctrl.TakeOutputs().StoreOps {
		ctrl.HandleStoreResult(ctrl.now, op.ID, StoreResult{Outcome: NotFound})
	}
	if !ctrl.requests.canServeUsers() {
		t.Error("the member cannot serve users after a response")
	}
}

// submitWithoutStoreResponse sends a submission to a member. Its write takes longer than the typical
// latency of the state service.
func submitWithoutStoreResponse(t *testing.T) (ctrl *Controller, write StoreOp, record KeyValue) {
	t.Helper()
	ctrl = newAcceptingController(t, 1000)
	ctrl.HandleUserRequest(ctrl.now, 1, newSubmission(1, "ops", Normal))
	ops := ctrl.TakeOutputs().StoreOps
	if len(ops) != 1 || ops[0].Kind != StoreTxn {
		t.Fatalf("store operations of a submission: %+v, want one write", ops)
	}
	ctrl.now.MonotonicMS += ctrl.store.storeAccess.OverdueAfterMS() / 2
	ctrl.requests.confirmCachedSubmissions()
	if outputs := ctrl.TakeOutputs(); len(outputs.StoreOps)+len(outputs.UserResponses) > 0 {
		t.Fatalf("outputs %+v for a record that is missing from the cache, want none", outputs)
	}
	return ctrl, ops[0], KeyValue{Key: jobKey("job-000001"), Value: ops[0].Changes[0].Value, Rev: 40}
}

// The response to a write is lost, but its record is in the cache. The member reads the record once and
// answers the user. It sends nothing more when the write times out.
func TestSubmissionWithLostResponseIsConfirmedByItsRecord(t *testing.T) {
	ctrl, write, record := submitWithoutStoreResponse(t)
	ctrl.cache.applyChange(record)
	ctrl.requests.confirmCachedSubmissions()
	ctrl.requests.confirmCachedSubmissions()
	ops := ctrl.TakeOutputs().StoreOps
	if len(ops) != 1 || ops[0].Kind != StoreGet || ops[0].Key != record.Key {
		t.Fatalf("store operations %+v, want one read of the record", ops)
	}
	ctrl.HandleStoreResult(ctrl.now, ops[0].ID, StoreResult{Rev: 41, KVs: []KeyValue{record}})
	if resp := ctrl.TakeOutputs().UserResponses[1]; resp.Status != 200 || resp.State != Pending {
		t.Fatalf("response %+v, want 200 and pending", resp)
	}
	ctrl.HandleStoreResult(ctrl.now, write.ID, StoreResult{Outcome: Unknown})
	ctrl.requests.confirmCachedSubmissions()
	if outputs := ctrl.TakeOutputs(); len(outputs.StoreOps)+len(outputs.UserResponses) > 0 {
		t.Errorf("outputs after the response: %+v, want none", outputs)
	}
}

// A failed read of the record does not decide the response. The outcome of the write does, which is late: a new read
// confirms it.
func TestFailedConfirmingReadLeavesOutcomeToTheWrite(t *testing.T) {
	for _, outcome := range []Outcome{Unknown, Refused, Throttled} {
		ctrl, write, record := submitWithoutStoreResponse(t)
		ctrl.cache.applyChange(record)
		ctrl.requests.confirmCachedSubmissions()
		ops := ctrl.TakeOutputs().StoreOps
		if len(ops) != 1 {
			t.Fatalf("%v: store operations %+v, want one", outcome, ops)
		}
		ctrl.HandleStoreResult(ctrl.now, ops[0].ID, StoreResult{Outcome: outcome})
		if resp, ok := ctrl.TakeOutputs().UserResponses[1]; ok {
			t.Fatalf("%v: response %+v, want none yet", outcome, resp)
		}
		ctrl.HandleStoreResult(ctrl.now, write.ID, StoreResult{Rev: 40})
		outputs := ctrl.TakeOutputs()
		if len(outputs.StoreOps) != 1 || outputs.StoreOps[0].Key != record.Key || len(outputs.UserResponses) > 0 {
			t.Fatalf("%v: outputs %+v after the write, want one read of the record", outcome, outputs)
		}
		ctrl.HandleStoreResult(ctrl.now, outputs.StoreOps[0].ID, StoreResult{Rev: 41, KVs: []KeyValue{record}})
		if resp := ctrl.TakeOutputs().UserResponses[1]; resp.Status != 201 {
			t.Errorf("%v: response %+v, want 201", outcome, resp)
		}
	}
}

// Queries leave hedgeReserve tokens of the budget for hedged requests to submissions. Without this
// reserve, queries that waited for the member's own rate budget used up all tokens.
func TestQueriesLeaveHedgeBudgetToSubmissions(t *testing.T) {
	ctrl := newAcceptingController(t, 1000)
	ctrl.params.MaxPendingRelays = 100
	message := PeerMessage{From: "m1", ServesUsers: true}
	ctrl.peers.peers["m1"] = &peerState{receivedAtMS: ctrl.now.MonotonicMS, message: message}
	for n := range uint64(40) {
		ctrl.HandleUserRequest(ctrl.now, 100+n, UserRequest{Kind: QueryJob, ID: "job-000100"})
	}
	ctrl.HandleUserRequest(ctrl.now, 1, newSubmission(1, "ops", Normal))
	ctrl.TakeOutputs()
	ctrl.now.MonotonicMS += ctrl.store.storeAccess.OverdueAfterMS() + 1
	ctrl.requests.hedgeSlowRequests()
	relays := ctrl.TakeOutputs().Relays
	if n := len(relays); n != hedgeBurst-hedgeReserve+1 || relays[n-1].Request.Kind != SubmitJob {
		t.Errorf("%d requests are relayed to a peer, the last is %+v; want the reserve kept for the submission",
			n, relays[n-1].Request)
	}
}

// Guards against a gang that starts in parts: the tasks of one range start together, so a gang that needs several
// ranges is refused.
func TestGangThatNeedsSeveralRangesIsRefused(t *testing.T) {
	ctrl := newAcceptingController(t, 1000)
	for _, c := range []struct {
		kind     JobKind
		tasks    int
		expected error
	}{
		{Gang, ctrl.params.MaxValueBytes / 2 * 6, nil},
		{Gang, ctrl.params.MaxValueBytes/2*6 + 1, errGangTooLarge},
		{Array, 100_000, nil},
	} {
		j := newSubmission(1, "ops", Normal).Job
		j.Kind, j.Tasks = c.kind, c.tasks
		if err := ctrl.requests.checkRunnable(j); err != c.expected {
			t.Errorf("%s of %d tasks: got error %v, want %v", c.kind, c.tasks, err, c.expected)
		}
	}
}
