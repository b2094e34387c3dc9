package scheduler

import (
	"encoding/json"
	"slices"

	"github.com/grebedock/grebedock/admission"
)

// requestHandler owns users' requests that have no answer yet: submissions in
// their queue, queries in their batches, cancellations, and requests relayed to
// peers.
type requestHandler struct {
	*environment
	cache  *stateCache
	peers  *peerTable
	quotas *quotaManager
	shards *shardManager
	store  *storeClient

	submissionQueue    *admission.Queue[pendingSubmission]
	pendingRequests    map[uint64]*pendingRequest // by reply ID
	requestsByArrival  []*pendingRequest          // the same, oldest first
	pendingRelays      map[uint64]pendingRelay    // by request ID
	relayRoundRobin    uint64
	expediteBudget     float64 // relays that may go only to expedite a response
	queryBatcher       queryBatches
	terminalStates     map[string]terminalRecord // by job
	terminalStateOrder []string                  // the same, oldest first
}

func newRequestHandler(env *environment) *requestHandler {
	return &requestHandler{
		environment:     env,
		submissionQueue: newSubmissionQueue(&env.params),
		pendingRequests: map[uint64]*pendingRequest{},
		pendingRelays:   map[uint64]pendingRelay{},
		expediteBudget:  expediteBurst,
		terminalStates:  map[string]terminalRecord{},
	}
}

// maxCachedTerminalStates bounds the cache of final states; the store keeps them all.
const maxCachedTerminalStates = 2048

// cacheTerminalState keeps a final state, which never changes, for later questions.
func (rh *requestHandler) cacheTerminalState(id string, final terminalRecord) {
	if _, ok := rh.terminalStates[id]; ok {
		return
	}
	rh.terminalStates[id] = final
	rh.terminalStateOrder = append(rh.terminalStateOrder, id)
	if len(rh.terminalStateOrder) > maxCachedTerminalStates {
		delete(rh.terminalStates, rh.terminalStateOrder[0])
		rh.terminalStateOrder = slices.Delete(rh.terminalStateOrder, 0, 1)
	}
}

func unavailableResponse(id, reason string) UserResponse {
	return UserResponse{Status: 503, ID: id, Error: reason, RetryAfterS: 1, retryableAtPeer: true}
}

func (f terminalRecord) response(id string) UserResponse {
	response := UserResponse{
		Status:        200,
		ID:            id,
		State:         f.State,
		FailureReason: f.FailureReason,
		WorkflowRun:   f.WorkflowRun,
	}
	if f.State == Done {
		response.Done = f.Tasks
	}
	return response
}

// readJob asks the store for a job: the live record first, then the final one,
// in the order in which a job moves, so that one is found whenever it exists.
// The mirror may lag, so it answers nothing here.
func (rh *requestHandler) readJob(id string, urgency Urgency, onResult func(UserResponse, *KeyValue)) {
	rh.store.sendStore(StoreOp{Kind: StoreGet, Urgency: urgency, Key: jobKey(id)}, func(result StoreResult) {
		switch {
		case result.Outcome == OK && len(result.KVs) == 1:
			var rec jobRecord
			if json.Unmarshal(result.KVs[0].Value, &rec) != nil {
				// Known all the same: it was accepted, and is not over. Answered 503, it
				// would be forgotten, and its user could not even cancel it.
				onResult(UserResponse{Status: 200, ID: id, State: Pending}, &result.KVs[0])
				return
			}
			rh.cache.applyChange(result.KVs[0])
			onResult(rh.liveJobResponse(id, &rec), &result.KVs[0])
		case result.Outcome == NotFound:
			rh.readTerminalState(id, urgency, func(response UserResponse) { onResult(response, nil) })
		default:
			onResult(unavailableResponse(id, "state service unavailable"), nil)
		}
	})
}

// readTerminalState asks the store for the end of a job that is not live.
func (rh *requestHandler) readTerminalState(id string, urgency Urgency, onResult func(UserResponse)) {
	if final, ok := rh.terminalStates[id]; ok {
		onResult(final.response(id))
		return
	}
	rh.store.sendStore(StoreOp{Kind: StoreGet, Urgency: urgency, Key: terminalKey(id)}, func(result StoreResult) {
		switch {
		case result.Outcome == OK && len(result.KVs) == 1:
			var final terminalRecord
			if json.Unmarshal(result.KVs[0].Value, &final) != nil {
				onResult(unavailableResponse(id, "record unreadable"))
				return
			}
			rh.cacheTerminalState(id, final)
			onResult(final.response(id))
		case result.Outcome == NotFound:
			onResult(UserResponse{Status: 404, ID: id, Error: "no such job"})
		default:
			onResult(unavailableResponse(id, "state service unavailable"))
		}
	})
}

// liveJobResponse gives the state of a live job with what members last knew of it.
func (rh *requestHandler) liveJobResponse(id string, rec *jobRecord) UserResponse {
	response := UserResponse{Status: 200, ID: id, State: Pending, WorkflowRun: rec.Job.WorkflowRun}
	unfinished := 0
	for _, bounds := range rec.Ranges {
		unfinished += bounds.Hi - bounds.Lo
	}
	response.Done = rec.Job.Tasks - unfinished
	if j := rh.cache.jobs[id]; j != nil {
		for _, tr := range j.taskRanges {
			response.Running += tr.runningCount
			response.Done += tr.doneCount
		}
	}
	for _, peer := range rh.peers.peers {
		for _, peerShard := range peer.message.OwnedShards {
			if rh.shards.ownedShards[peerShard.Shard] == nil {
				counts := peerShard.TaskCounts[id]
				response.Running += counts.Running
				response.Done += counts.Done
			}
		}
	}
	response.Done = min(response.Done, rec.Job.Tasks)
	if response.Running > 0 {
		response.State = Running
	}
	return response
}

// unrunnableReason says why a job can never run, or nothing. known is false while
// that cannot be decided.
func (rh *requestHandler) unrunnableReason(j *Job) (reason string, decided bool) {
	t, ok := rh.params.Teams[j.Team]
	if !ok {
		return "unknown team", true
	}
	concurrentTasks := 1.0
	if j.Kind != Array {
		concurrentTasks = float64(j.Tasks)
	}
	if t.MaxCPUs > 0 && concurrentTasks*j.Request.CPUs > t.MaxCPUs ||
		t.MaxGPUs > 0 && concurrentTasks*j.Request.GPUs > t.MaxGPUs {
		return "needs more than the team's limit", true
	}
	if len(rh.cache.machineTypes) == 0 {
		return "", false
	}
	for _, t := range rh.cache.machineTypes {
		if rh.cache.fitsType(j, t) {
			return "", true
		}
	}
	return "a task fits no allowed machine type", true
}

func (rh *requestHandler) handleSubmit(replyID uint64, request UserRequest) {
	rejectUnlessKnown := func(response UserResponse) {
		if request.ID == "" {
			rh.completeRequest(replyID, response)
			return
		}
		// A repeated submission of a known job is welcome whatever its
		// body says now.
		rh.readJob(request.ID, UrgencyUser, func(known UserResponse, _ *KeyValue) {
			if known.Status == 404 {
				known = response
			}
			rh.completeRequest(replyID, known)
		})
	}
	if request.Job == nil {
		rejectUnlessKnown(UserResponse{Status: 400, ID: request.ID, Error: request.Malformed})
		return
	}
	reason, known := rh.unrunnableReason(request.Job)
	if reason != "" {
		rejectUnlessKnown(UserResponse{Status: 422, ID: request.ID, Error: reason})
		return
	}
	if !known {
		rejectUnlessKnown(unavailableResponse(request.ID, "machine types not known yet"))
		return
	}
	if len(
		mustEncode(
			jobRecord{
				Job:          *request.Job,
				AcceptedAtMS: rh.now.WallMS,
				Ranges:       []Range{{0, request.Job.Tasks, rh.params.MemberID, false}},
			},
		),
	) > rh.params.MaxValueBytes {
		// No value of the store holds it, however often it is sent.
		rejectUnlessKnown(UserResponse{Status: 400, ID: request.ID, Error: "the job's names are too long"})
		return
	}
	if rh.cache.jobs[request.ID] == nil {
		rh.enqueueSubmission(replyID, request)
		return
	}
	// Known already: a write would only fail.
	rh.readJob(request.ID, UrgencyUser, func(response UserResponse, _ *KeyValue) {
		if response.Status == 404 {
			rh.enqueueSubmission(replyID, request)
			return
		}
		rh.completeRequest(replyID, response)
	})
}

func (rh *requestHandler) handleCancel(replyID uint64, id string, retries int) {
	rh.readJob(id, UrgencyUser, func(response UserResponse, kv *KeyValue) {
		if kv == nil {
			rh.completeRequest(replyID, response)
			return
		}
		var rec jobRecord
		if err := json.Unmarshal(kv.Value, &rec); err != nil {
			rh.log(Warn, "record unreadable", "key", kv.Key, "error", err)
		}
		final := terminalRecord{State: Cancelled, Tasks: rec.Job.Tasks, WorkflowRun: rec.Job.WorkflowRun}
		changes := []Change{{Key: jobKey(id)}, {Key: terminalKey(id), Value: mustEncode(final)}}
		rh.store.sendTxn(UrgencyUser, []Precondition{{jobKey(id), kv.Rev}, {terminalKey(id), 0}}, changes, func(result StoreResult) {
			switch {
			case result.Outcome == OK:
				rh.cacheTerminalState(id, final)
				rh.log(Info, "job cancelled", "job", id)
				rh.completeRequest(replyID, final.response(id))
			case (result.Outcome == Conflict || result.Outcome == Unknown) && retries > 0:
				rh.handleCancel(replyID, id, retries-1)
			default:
				rh.completeRequest(replyID, unavailableResponse(id, "state service unavailable"))
			}
		})
	})
}
