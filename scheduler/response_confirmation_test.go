package scheduler

import (
	"encoding/json"
	"testing"

	"github.com/grebedock/grebedock/access"
)

// lateMS is by how much an answer of the state service is late in these tests.
const lateMS = 400

// lateAnswerJob is the job of these tests. Its record has revision 40.
const lateAnswerJob = "job-000001"

func encodedTestJob() json.RawMessage {
	rec := newTestJobRecord(Range{Lo: 0, Hi: 1, Shard: "m0"})
	return mustEncode(rec)
}

// liveResult is the result of a read of the live record of lateAnswerJob.
func liveResult() StoreResult {
	return StoreResult{KVs: []KeyValue{{Key: jobKey(lateAnswerJob), Value: encodedTestJob(), Rev: 40}}}
}

// cancelledResult is the result of a read of the terminal record of lateAnswerJob.
func cancelledResult() StoreResult {
	final := mustEncode(terminalRecord{State: Cancelled, Tasks: 1})
	return StoreResult{KVs: []KeyValue{{Key: terminalKey(lateAnswerJob), Value: final, Rev: 50}}}
}

func missingResult(revision uint64) StoreResult { return StoreResult{Outcome: NotFound, Rev: revision} }

// answeringStore answers the requests of one member. Reads return the present state of lateAnswerJob, and
// transactions succeed.
type answeringStore struct {
	t        *testing.T
	ctrl     *Controller
	live     bool
	ended    bool
	requests int
	response map[uint64]UserResponse
}

func newAnsweringStore(t *testing.T) *answeringStore {
	t.Helper()
	ctrl := newAcceptingController(t, 1000)
	return &answeringStore{t: t, ctrl: ctrl, response: map[uint64]UserResponse{}}
}

// result returns the result of a request in the present state.
func (s *answeringStore) result(op StoreOp) StoreResult {
	switch {
	case op.Kind == StoreTxn:
		return StoreResult{Rev: 60}
	case op.Kind == StoreGet && op.Key == jobKey(lateAnswerJob) && s.live:
		return liveResult()
	case op.Kind == StoreGet && op.Key == terminalKey(lateAnswerJob) && s.ended:
		return cancelledResult()
	case op.Kind == StoreGet:
		return missingResult(70)
	}
	s.t.Fatalf("unexpected request %+v", op)
	return StoreResult{}
}

// take returns the requests that the member has sent, and keeps its responses.
func (s *answeringStore) take() []StoreOp {
	outputs := s.ctrl.TakeOutputs()
	for replyID, response := range outputs.UserResponses {
		s.response[replyID] = response
	}
	s.requests += len(outputs.StoreOps)
	return outputs.StoreOps
}

// answer answers all requests, and all further requests until none is sent, each after delayMS.
func (s *answeringStore) answer(delayMS int64) {
	for ops := s.take(); len(ops) > 0; ops = s.take() {
		for _, op := range ops {
			result := s.result(op)
			s.pass(delayMS)
			s.ctrl.HandleStoreResult(s.ctrl.now, op.ID, result)
		}
	}
}

// pass lets time pass, and the queries be sent that wait for the next batch.
func (s *answeringStore) pass(ms int64) {
	s.ctrl.now.MonotonicMS += ms
	s.ctrl.now.WallMS += ms
	s.ctrl.requests.sendQueryBatch()
}

// completeLate completes one request late, and all requests that follow in time.
func (s *answeringStore) completeLate(op StoreOp, result StoreResult) {
	s.pass(lateMS)
	s.ctrl.HandleStoreResult(s.ctrl.now, op.ID, result)
	s.pass(access.RequestTimeout.Milliseconds() / batchIntervalDivisor)
	s.answer(5)
}

// send sends a request and returns the only request to the state service that follows.
func (s *answeringStore) send(replyID uint64, request UserRequest) StoreOp {
	s.t.Helper()
	s.ctrl.HandleUserRequest(s.ctrl.now, replyID, request)
	ops := s.take()
	if len(ops) != 1 {
		s.t.Fatalf("request %d: store operations %+v, want one", replyID, ops)
	}
	return ops[0]
}

func (s *answeringStore) expect(replyID uint64, status int, state JobState) {
	s.t.Helper()
	response, ok := s.response[replyID]
	if !ok || response.Status != status || response.State != state {
		s.t.Errorf("response %d: %+v (sent: %v), want status %d and state %q", replyID, response, ok, status, state)
	}
}

func query() UserRequest { return UserRequest{Kind: QueryJob, ID: lateAnswerJob} }

// A poll whose read is answered late is not answered "pending" after the same member confirmed the
// cancellation (review/8).
func TestLatePollIsNotOlderThanOwnCancellation(t *testing.T) {
	s := newAnsweringStore(t)
	s.live = true
	read := s.send(1, query())
	late := s.result(read)
	s.pass(50)
	s.ctrl.HandleUserRequest(s.ctrl.now, 2, UserRequest{Kind: CancelJob, ID: lateAnswerJob})
	s.answer(3)
	s.expect(2, 200, Cancelled)
	s.live, s.ended = false, true
	sent := s.requests
	s.completeLate(read, late)
	s.expect(1, 200, Cancelled)
	if s.requests != sent {
		t.Errorf("%d further requests, want none: the member knows the final state", s.requests-sent)
	}
}

// lateAnswerPath is a request that is answered from an observation made before another member reported a newer
// state to a user.
type lateAnswerPath struct {
	request    UserRequest
	liveBefore bool // the job is live when the late observation is made
	endedAfter bool // a peer confirms a cancellation meanwhile, otherwise the acceptance
	status     int
	state      JobState
}

func rejectedSubmission() UserRequest {
	request := newSubmission(1, "unknown", Normal)
	return request
}

// An answer of the state service is late, and meanwhile another member reports a newer state to a user. The
// response has the newer state, for each kind of request.
func TestLateAnswerIsNotOlderThanPeersResponse(t *testing.T) {
	malformed := UserRequest{Kind: SubmitJob, ID: lateAnswerJob, Malformed: "no team"}
	cancellation := UserRequest{Kind: CancelJob, ID: lateAnswerJob}
	submission := newSubmission(1, "ops", Normal)
	for name, path := range map[string]lateAnswerPath{
		"poll, then cancelled":               {query(), true, true, 200, Cancelled},
		"poll, then accepted":                {query(), false, false, 200, Pending},
		"poll of unknown job, cancelled":     {query(), false, true, 200, Cancelled},
		"rejected submission, accepted":      {rejectedSubmission(), false, false, 200, Pending},
		"rejected repetition, cancelled":     {rejectedSubmission(), true, true, 200, Cancelled},
		"malformed submission, accepted":     {malformed, false, false, 200, Pending},
		"malformed repetition, cancelled":    {malformed, true, true, 200, Cancelled},
		"accepted submission, cancelled":     {submission, false, true, 200, Cancelled},
		"cancellation of a job not accepted": {cancellation, false, false, 200, Cancelled},
	} {
		t.Run(name, func(t *testing.T) {
			s := newAnsweringStore(t)
			s.live = path.liveBefore
			op := s.send(1, path.request)
			late := s.result(op)
			s.live, s.ended = !path.endedAfter, path.endedAfter
			s.completeLate(op, late)
			s.expect(1, path.status, path.state)
		})
	}
}

// A repeated submission of a cached job reads the job's record. It is not answered "pending" if the read is
// late and a peer confirmed the cancellation meanwhile.
func TestLateRepeatedSubmissionIsNotOlderThanCancellation(t *testing.T) {
	s := newAnsweringStore(t)
	s.live = true
	s.ctrl.cache.applyChange(liveResult().KVs[0])
	s.take()
	read := s.send(1, newSubmission(1, "ops", Normal))
	late := s.result(read)
	s.live, s.ended = false, true
	s.completeLate(read, late)
	s.expect(1, 200, Cancelled)
}

// The first read of two is in time and finds no live record. The second is late, and the job was
// accepted meanwhile: the response is not 404.
func TestLateSecondReadDoesNotForgetAcceptedJob(t *testing.T) {
	s := newAnsweringStore(t)
	live := s.send(1, query())
	s.ctrl.HandleStoreResult(s.ctrl.now, live.ID, missingResult(70))
	terminal := s.take()[0]
	s.live = true
	s.completeLate(terminal, missingResult(70))
	s.expect(1, 200, Pending)
}

// A batch read is late, and meanwhile one of its jobs was cancelled through another member. No query of the batch
// is answered before a new read.
func TestLateBatchIsReadAgain(t *testing.T) {
	ctrl := newControllerWithJobs(t, 5)
	queryAll(ctrl, 5)
	ctrl.now.MonotonicMS = ctrl.requests.queryBatcher.nextBatchAtMS
	ctrl.requests.sendQueryBatch()
	read := ctrl.TakeOutputs().StoreOps[0]
	ctrl.now.MonotonicMS += lateMS
	ctrl.HandleStoreResult(ctrl.now, read.ID, StoreResult{Rev: 90})
	outputs := ctrl.TakeOutputs()
	if len(outputs.UserResponses) > 0 || len(outputs.StoreOps) != 1 || outputs.StoreOps[0].Kind != StoreWatch {
		t.Fatalf("%d responses and store operations %+v after a late batch, want a new batch",
			len(outputs.UserResponses), outputs.StoreOps)
	}
	again := outputs.StoreOps[0]
	ctrl.HandleStoreResult(ctrl.now, again.ID, StoreResult{
		Rev: 90,
		KVs: []KeyValue{{Key: jobKey("job-000003"), Rev: 88}},
	})
	outputs = ctrl.TakeOutputs()
	if _, answered := outputs.UserResponses[103]; answered || len(outputs.UserResponses) != 4 {
		t.Errorf("responses %+v, want all but 103", outputs.UserResponses)
	}
}

// Where no answer of the state service is late, no response needs an additional read.
func TestTimelyAnswersAreNotConfirmed(t *testing.T) {
	submission := newSubmission(1, "ops", Normal)
	for name, c := range map[string]struct {
		request  UserRequest
		live     bool
		requests int
	}{
		"poll":                 {query(), true, 1},
		"poll of unknown job":  {query(), false, 2},
		"submission":           {submission, false, 1},
		"rejected submission":  {rejectedSubmission(), false, 2},
		"cancellation":         {UserRequest{Kind: CancelJob, ID: lateAnswerJob}, true, 2},
		"cancellation, 404":    {UserRequest{Kind: CancelJob, ID: lateAnswerJob}, false, 2},
		"malformed submission": {UserRequest{Kind: SubmitJob, ID: lateAnswerJob, Malformed: "x"}, true, 1},
	} {
		t.Run(name, func(t *testing.T) {
			s := newAnsweringStore(t)
			s.live = c.live
			s.ctrl.HandleUserRequest(s.ctrl.now, 1, c.request)
			s.answer(10)
			if _, ok := s.response[1]; !ok || s.requests != c.requests || s.ctrl.Counters.LateResponses > 0 {
				t.Errorf("response %+v after %d requests, %d confirmations; want one after %d, none",
					s.response[1], s.requests, s.ctrl.Counters.LateResponses, c.requests)
			}
		})
	}
}

// If every read is late, the request fails with status 503 after a limited number of reads. It is never
// answered from a late observation. A final state is sent even so.
func TestRequestFailsIfEveryReadIsLate(t *testing.T) {
	s := newAnsweringStore(t)
	s.live = true
	s.ctrl.HandleUserRequest(s.ctrl.now, 1, query())
	s.answer(lateMS)
	s.expect(1, 503, "")
	if s.requests != 1+maxConfirmations {
		t.Errorf("%d reads, want %d", s.requests, 1+maxConfirmations)
	}
	s.live, s.ended = false, true
	s.ctrl.HandleUserRequest(s.ctrl.now, 2, query())
	s.pass(access.RequestTimeout.Milliseconds())
	s.answer(lateMS)
	s.expect(2, 200, Cancelled)
}

// The cache shows that a job has ended, or was accepted, since it was read. The response is not sent although the
// read was in time.
func TestCacheOverrulesTimelyAnswer(t *testing.T) {
	s := newAnsweringStore(t)
	s.live = true
	s.ctrl.cache.applyChange(liveResult().KVs[0])
	s.take()
	read := s.send(1, query())
	old := s.result(read)
	s.live, s.ended = false, true
	s.ctrl.cache.applyWatchResult(StoreResult{Rev: 50, KVs: []KeyValue{{Key: jobKey(lateAnswerJob), Rev: 50}}})
	s.ctrl.HandleStoreResult(s.ctrl.now, read.ID, old)
	s.pass(access.RequestTimeout.Milliseconds() / batchIntervalDivisor)
	s.answer(3)
	s.expect(1, 200, Cancelled)

	s = newAnsweringStore(t)
	read = s.send(2, query())
	s.ctrl.HandleStoreResult(s.ctrl.now, read.ID, missingResult(30))
	s.ctrl.cache.applyChange(liveResult().KVs[0])
	s.live = true
	s.ctrl.HandleStoreResult(s.ctrl.now, s.take()[0].ID, missingResult(30))
	s.pass(access.RequestTimeout.Milliseconds() / batchIntervalDivisor)
	s.answer(3)
	s.expect(2, 200, Pending)
}

// relayOne sends a query while the state service refuses the member, and returns the ID of its relay to m1.
func relayOne(t *testing.T, s *answeringStore) uint64 {
	t.Helper()
	s.ctrl.params.MaxPendingRelays = 4
	serving := PeerMessage{From: "m1", ServesUsers: true}
	s.ctrl.peers.peers["m1"] = &peerState{receivedAtMS: s.ctrl.now.MonotonicMS, message: serving}
	s.ctrl.store.storeAccess.ObserveOutcome(s.ctrl.now.MonotonicMS, Refused)
	s.ctrl.HandleUserRequest(s.ctrl.now, 1, query())
	return takeRelay(t, s)
}

func takeRelay(t *testing.T, s *answeringStore) uint64 {
	t.Helper()
	outputs := s.ctrl.TakeOutputs()
	if len(outputs.Relays) != 1 || len(outputs.UserResponses) > 0 {
		t.Fatalf("relays %+v and responses %+v, want one relay", outputs.Relays, outputs.UserResponses)
	}
	return outputs.Relays[0].ID
}

// A peer's response to a relayed request arrives late. It is not sent, and the request is relayed again.
func TestLateResponseOfPeerIsNotSent(t *testing.T) {
	s := newAnsweringStore(t)
	relay := relayOne(t, s)
	s.ctrl.now.MonotonicMS += lateMS
	s.ctrl.HandleRelayResult(s.ctrl.now, relay, UserResponse{Status: 200, ID: lateAnswerJob, State: Pending}, true)
	relay = takeRelay(t, s)
	s.ctrl.HandleRelayResult(s.ctrl.now, relay, UserResponse{Status: 200, ID: lateAnswerJob, State: Pending}, true)
	s.take()
	s.expect(1, 200, Pending)
}

// A peer needs a long time for a relayed request, and observes the state service at the end. Its response is recent.
func TestSlowPeerWithRecentObservationAnswers(t *testing.T) {
	s := newAnsweringStore(t)
	relay := relayOne(t, s)
	s.ctrl.now.MonotonicMS += lateMS
	response := UserResponse{Status: 200, ID: lateAnswerJob, State: Pending, ObservedAfterMS: lateMS - 5}
	s.ctrl.HandleRelayResult(s.ctrl.now, relay, response, true)
	s.take()
	s.expect(1, 200, Pending)
}

// A peer's response with a final state is remembered: no later response of this member is older.
func TestFinalStateFromPeerIsRemembered(t *testing.T) {
	s := newAnsweringStore(t)
	relay := relayOne(t, s)
	s.ctrl.HandleRelayResult(s.ctrl.now, relay, UserResponse{Status: 200, ID: lateAnswerJob, State: Cancelled}, true)
	s.ctrl.HandleUserRequest(s.ctrl.now, 2, query())
	s.take()
	s.expect(1, 200, Cancelled)
	s.expect(2, 200, Cancelled)
}

// The age limits grow with the latency of writes only if all members report slow writes. A member without messages
// of peers does not know that.
func TestAgeLimitsFollowFastestMember(t *testing.T) {
	const slowMS = 90
	ctrl := newAcceptingController(t, 1000)
	for range writeLatencySamples {
		ctrl.store.recentWrites.observe(slowMS)
	}
	if got := ctrl.peers.fastestWriteOfMembersMS(); got != 0 {
		t.Errorf("no message of a peer: fastest write %d ms, want 0", got)
	}
	setPeer := func(latencyMS int64) {
		message := PeerMessage{From: "m1", FastestWriteMS: latencyMS}
		ctrl.peers.peers["m1"] = &peerState{receivedAtMS: ctrl.now.MonotonicMS, message: message}
	}
	for peerMS, want := range map[int64]int64{slowMS: slowMS, 2 * slowMS: slowMS, 3: 3, 0: 0} {
		setPeer(peerMS)
		if got := ctrl.peers.fastestWriteOfMembersMS(); got != want {
			t.Errorf("peer with writes of %d ms: fastest write %d ms, want %d", peerMS, got, want)
		}
	}
	ctrl.store.recentWrites.observe(4)
	setPeer(slowMS)
	if got := ctrl.peers.fastestWriteOfMembersMS(); got != 4 {
		t.Errorf("fastest write %d ms after a fast one, want 4", got)
	}
	usual, slow := newResponseAgeLimits(0), newResponseAgeLimits(slowMS)
	if slow.confirmMS-usual.confirmMS != slowMS || slow.maxMS-usual.maxMS != slowMS || usual.maxMS >= lateMS {
		t.Errorf("limits %+v, and %+v with writes of %d ms; want the difference in latency", usual, slow, slowMS)
	}
}
