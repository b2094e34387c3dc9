package scheduler

import (
	"encoding/json"
	"slices"

	"github.com/grebedock/grebedock/admission"
)

// requestHandler owns the user requests that have no response yet: queued submissions,
// batched queries, cancellations, and requests relayed to peers. It also caches terminal
// states of jobs.
type requestHandler struct {
	*environment
	cache  *stateCache
	peers  *peerTable
	quotas *quotaManager
	shards *shardManager
	store  *storeClient

	submissionQueue    *admission.Queue[pendingSubmission]
	pendingRequests    map[uint64]*pendingRequest // by reply ID
	requestsByArrival  []*pendingRequest          // the same requests, oldest first
	pendingRelays      map[uint64]pendingRelay    // by relay request ID
	relayRoundRobin    uint64                     // number of relays sent
	hedgeBudget        float64                    // tokens for hedged requests
	queryBatcher       queryBatches
	terminalStates     map[string]terminalRecord // by job ID
	terminalStateOrder []string                  // their job IDs, oldest first
}

func newRequestHandler(env *environment) *requestHandler {
	return &requestHandler{
		environment:     env,
		submissionQueue: newSubmissionQueue(&env.params),
		pendingRequests: map[uint64]*pendingRequest{},
		pendingRelays:   map[uint64]pendingRelay{},
		hedgeBudget:     hedgeBurst,
		terminalStates:  map[string]terminalRecord{},
	}
}

// maxCachedTerminalStates limits the cache of terminal states. The state service stores all of them.
const maxCachedTerminalStates = 2048

// cacheTerminalState caches a terminal state for later queries; terminal states never
// change. It evicts the oldest entry when the cache is full.
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

// unavailableResponse returns a 503 response to a request that a peer may be able to serve.
func unavailableResponse(id, reason string) UserResponse {
	return UserResponse{Status: 503, ID: id, Error: reason, RetryAfterS: 1, retryableAtPeer: true}
}

// response returns the response to users for a job in a terminal state.
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

// terminalRecord returns the record of the terminal state that a response contains.
func (r *UserResponse) terminalRecord() terminalRecord {
	return terminalRecord{State: r.State, Tasks: r.Done, FailureReason: r.FailureReason, WorkflowRun: r.WorkflowRun}
}

// readJob reads a job from the state service: first its live record, then its terminal
// record. This is the order in which a job changes, so that the reads find one of them
// whenever the job exists. readJob does not use the state cache, which may lag behind.
// onResult receives the live record, or nil. A job without either record was not known at
// the time of the first read, since a terminal record is never removed.
func (rh *requestHandler) readJob(id string, urgency Urgency, onResult func(UserResponse, *KeyValue)) {
	rh.store.sendStore(StoreOp{Kind: StoreGet, Urgency: urgency, Key: jobKey(id)}, func(result StoreResult) {
		observed := observation{notBeforeMS: result.notBeforeMS, revision: result.Rev}
		switch {
		case result.Outcome == OK && len(result.KVs) == 1:
			observed.revision = result.KVs[0].Rev
			var rec jobRecord
			if json.Unmarshal(result.KVs[0].Value, &rec) != nil {
				// The job was accepted and has not ended, but its record cannot be decoded.
				// If the response were 503, the user could not even cancel the job.
				onResult(UserResponse{Status: 200, ID: id, State: Pending, observed: observed}, &result.KVs[0])
				return
			}
			rh.cache.applyChange(result.KVs[0])
			onResult(rh.liveJobResponse(id, &rec, observed), &result.KVs[0])
		case result.Outcome == NotFound:
			rh.readTerminalState(id, urgency, observed, func(response UserResponse) { onResult(response, nil) })
		default:
			onResult(unavailableResponse(id, storeUnavailableMessage), nil)
		}
	})
}

// readTerminalState reads the terminal state of a job that was observed not to be live, from
// the cache of terminal states or from the state service.
func (rh *requestHandler) readTerminalState(
	id string, urgency Urgency, notLive observation, onResult func(UserResponse),
) {
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
			onResult(UserResponse{Status: 404, ID: id, Error: "no such job", observed: notLive})
		default:
			onResult(unavailableResponse(id, storeUnavailableMessage))
		}
	})
}

// liveJobResponse returns the state of a live job, computed from its record and from the
// progress last known to this member and last reported by its peers.
func (rh *requestHandler) liveJobResponse(id string, rec *jobRecord, observed observation) UserResponse {
	response := UserResponse{
		Status:      200,
		ID:          id,
		State:       Pending,
		WorkflowRun: rec.Job.WorkflowRun,
		observed:    observed,
	}
	response.Done = rec.Job.Tasks - rec.unfinishedTasks()
	if j := rh.cache.jobs[id]; j != nil {
		for _, tr := range j.taskRanges {
			response.Running += tr.runningCount
			response.Done += tr.doneCount
		}
	}
	atPeers := rh.taskCountsAtPeers(id)
	response.Running += atPeers.Running
	response.Done += atPeers.Done
	response.Done = min(response.Done, rec.Job.Tasks)
	if response.Running > 0 {
		response.State = Running
	}
	return response
}

// taskCountsAtPeers returns the progress of a job in shards that this member does not own.
func (rh *requestHandler) taskCountsAtPeers(id string) TaskCounts {
	var sum TaskCounts
	for _, peer := range rh.peers.peers {
		for _, peerShard := range peer.message.OwnedShards {
			if rh.shards.ownedShards[peerShard.Shard] != nil {
				continue
			}
			counts := peerShard.TaskCounts[id]
			sum.Running += counts.Running
			sum.Done += counts.Done
		}
	}
	return sum
}

// respondUnlessKnown answers a submission that cannot be accepted. If the job is already
// known, the submission is a repeated one, and the response is the job's state regardless
// of the submission's body.
func (rh *requestHandler) respondUnlessKnown(replyID uint64, id string, response UserResponse) {
	if id == "" {
		rh.completeRequest(replyID, response)
		return
	}
	rh.readJob(id, UrgencyUser, func(known UserResponse, _ *KeyValue) {
		if known.Status == 404 {
			response.observed = known.observed
			known = response
		}
		rh.completeRequest(replyID, known)
	})
}

// handleSubmit validates a submission and queues it unless the job is already known.
func (rh *requestHandler) handleSubmit(replyID uint64, request UserRequest) {
	if response := rh.validateSubmission(&request); response != nil {
		rh.respondUnlessKnown(replyID, request.ID, *response)
		return
	}
	if rh.cache.jobs[request.ID] == nil {
		rh.enqueueSubmission(replyID, request)
		return
	}
	// The job is already known, so a write would fail.
	rh.readJob(request.ID, UrgencyUser, func(response UserResponse, _ *KeyValue) {
		if response.Status == 404 {
			rh.enqueueSubmission(replyID, request)
			return
		}
		rh.completeRequest(replyID, response)
	})
}

// handleCancel replaces a live job's record with a terminal record. After a conflict or an
// unknown outcome it starts again by reading the job, at most retries times.
func (rh *requestHandler) handleCancel(replyID uint64, id string, retries int) {
	rh.readJob(id, UrgencyUser, func(response UserResponse, kv *KeyValue) {
		if kv == nil {
			rh.completeRequest(replyID, response)
			return
		}
		var rec jobRecord
		if err := json.Unmarshal(kv.Value, &rec); err != nil {
			rh.log(Warn, "cannot decode stored record", "key", kv.Key, "error", err)
		}
		final := terminalRecord{State: Cancelled, Tasks: rec.Job.Tasks, WorkflowRun: rec.Job.WorkflowRun}
		preconditions := []Precondition{{jobKey(id), kv.Rev}, {terminalKey(id), 0}}
		changes := []Change{{Key: jobKey(id)}, {Key: terminalKey(id), Value: mustEncode(final)}}
		rh.store.sendTxn(UrgencyUser, preconditions, changes, func(result StoreResult) {
			switch {
			case result.Outcome == OK:
				rh.cacheTerminalState(id, final)
				rh.log(Info, "job cancelled", "job", id)
				rh.completeRequest(replyID, final.response(id))
			case (result.Outcome == Conflict || result.Outcome == Unknown) && retries > 0:
				rh.handleCancel(replyID, id, retries-1)
			default:
				rh.completeRequest(replyID, unavailableResponse(id, storeUnavailableMessage))
			}
		})
	})
}
