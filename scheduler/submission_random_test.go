package scheduler

import (
	"errors"
	"flag"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func init() {
	// A fixed seed, so that each run generates the same cases.
	if err := errors.Join(flag.Set("rapid.seed", "1"), flag.Set("rapid.checks", "2000")); err != nil {
		panic(err)
	}
}

// singleJobStore is a fake of the state service that stores one job. Its watch delivers changes late.
type singleJobStore struct {
	id                 string
	revision           uint64
	live               []byte // the live record; nil if the job is not live
	liveRevision       uint64
	terminal           []byte
	pendingWatchEvents []KeyValue // changes that the watch has not delivered yet
	step               int
	lastLiveStep       int // the last step at which the job was live
}

func (store *singleJobStore) change(value []byte) {
	store.revision++
	store.live, store.liveRevision = value, 0
	if value != nil {
		store.liveRevision, store.lastLiveStep = store.revision, store.step
	}
	store.pendingWatchEvents = append(
		store.pendingWatchEvents,
		KeyValue{Key: jobKey(store.id), Value: value, Rev: store.revision},
	)
}

func (store *singleJobStore) execute(op StoreOp) StoreResult {
	switch {
	case op.Kind == StoreTxn && (store.live != nil || store.terminal != nil):
		return StoreResult{Outcome: Conflict, Rev: store.revision, FailedKeys: []string{jobKey(store.id)}}
	case op.Kind == StoreTxn:
		store.change(op.Changes[0].Value)
		return StoreResult{Rev: store.revision}
	case op.Key == jobKey(store.id) && store.live != nil:
		live := KeyValue{Key: op.Key, Value: store.live, Rev: store.liveRevision}
		return StoreResult{Rev: store.revision, KVs: []KeyValue{live}}
	case op.Key == terminalKey(store.id) && store.terminal != nil:
		return StoreResult{
			Rev: store.revision,
			KVs: []KeyValue{{Key: op.Key, Value: store.terminal, Rev: store.revision}},
		}
	}
	return StoreResult{Outcome: NotFound, Rev: store.revision}
}

// cancelByPeer cancels the job as a peer does.
func (store *singleJobStore) cancelByPeer() {
	if store.live != nil {
		store.lastLiveStep = store.step
		store.change(nil)
		store.terminal = mustEncode(terminalRecord{State: Cancelled, Tasks: 1})
	}
}

// One job is submitted repeatedly. Its writes and reads are applied in any order, at once, late or never,
// and responses are lost. Meanwhile a peer cancels the job and the cache lags. No response accepts the
// job unless it was live in the state service at or after the request. Every request gets a response
// once all operations have ended.
func TestSubmissionIsAcceptedOnlyWithStoredRecord(outer *testing.T) {
	confirmed := uint64(0)
	rapid.Check(outer, func(t *rapid.T) {
		ctrl := newTestController(outer)
		ctrl.store.storeAccess.SetState(1, 1, 1)
		ctrl.cache.setMachineTypes([]MachineType{smallMachineType()})
		ctrl.params.Teams, ctrl.params.StoreChangeRate = map[string]Team{"ops": {}}, 1000
		ctrl.requests.submissionQueue = newSubmissionQueue(&ctrl.params)
		store := &singleJobStore{id: "job-000001", revision: ctrl.cache.appliedRevision}
		requestedAtStep, answered := map[uint64]int{}, map[uint64]bool{}
		var openOps []StoreOp               // sent by the member, which has no result yet
		var lateOps []StoreOp               // timed out for the member, not applied yet
		results := map[uint64]StoreResult{} // results of applied operations, by operation ID
		collect := func() {
			outputs := ctrl.TakeOutputs()
			for _, op := range outputs.StoreOps {
				if op.Kind == StoreTxn || op.Kind == StoreGet {
					openOps = append(openOps, op)
				}
			}
			for replyID, resp := range outputs.UserResponses {
				if answered[replyID] {
					t.Fatalf("request %d is answered twice", replyID)
				}
				answered[replyID] = true
				wasLive := store.live != nil || store.lastLiveStep >= requestedAtStep[replyID]
				isAccepted := (resp.Status == 200 || resp.Status == 201) && resp.State != Cancelled
				if isAccepted && !wasLive {
					t.Fatalf("response %d accepts a job that is not live: %+v; requested at %d, live until %d, now %d",
						replyID, resp, requestedAtStep[replyID], store.lastLiveStep, store.step)
				}
				if resp.State == Cancelled && store.terminal == nil {
					t.Fatalf("response %d reports a cancellation that did not happen", replyID)
				}
			}
		}
		execute := func(op StoreOp) {
			if _, ok := results[op.ID]; !ok {
				results[op.ID] = store.execute(op)
			}
		}
		complete := func(i int, result StoreResult) {
			op := openOps[i]
			openOps = slices.Delete(openOps, i, i+1)
			ctrl.HandleStoreResult(ctrl.now, op.ID, result)
		}
		steps := rapid.IntRange(1, 60).Draw(t, "steps")
		for n := range steps {
			store.step++
			index := 0
			if len(openOps) > 0 {
				index = rapid.IntRange(0, len(openOps)-1).Draw(t, "which")
			}
			switch rapid.IntRange(0, 8).Draw(t, "what") {
			case 0:
				if len(requestedAtStep) < 4 {
					requestedAtStep[uint64(n)] = store.step
					ctrl.HandleUserRequest(ctrl.now, uint64(n), newSubmission(1, "ops", Normal))
				}
			case 1:
				if len(openOps) > 0 {
					execute(openOps[index])
				}
			case 2:
				if len(openOps) > 0 {
					execute(openOps[index])
					complete(index, results[openOps[index].ID])
				}
			case 3: // the operation times out
				if len(openOps) > 0 {
					if _, ok := results[openOps[index].ID]; !ok && openOps[index].Kind == StoreTxn {
						lateOps = append(lateOps, openOps[index])
					}
					complete(index, StoreResult{Outcome: Unknown})
				}
			case 4:
				if len(lateOps) > 0 {
					execute(lateOps[0])
					lateOps = lateOps[1:]
				}
			case 5:
				store.cancelByPeer()
			case 6, 7:
				if len(store.pendingWatchEvents) > 0 {
					ctrl.cache.applyChange(store.pendingWatchEvents[0])
					ctrl.cache.appliedRevision = max(ctrl.cache.appliedRevision, store.pendingWatchEvents[0].Rev)
					store.pendingWatchEvents = store.pendingWatchEvents[1:]
				}
			default:
				elapsedMS := rapid.Int64Range(1, 800).Draw(t, "ms")
				ctrl.now.MonotonicMS, ctrl.now.WallMS = ctrl.now.MonotonicMS+elapsedMS, ctrl.now.WallMS+elapsedMS
			}
			ctrl.requests.confirmCachedSubmissions()
			collect()
		}
		for len(openOps) > 0 {
			complete(0, StoreResult{Outcome: Unknown})
			collect()
		}
		for replyID := range requestedAtStep {
			if !answered[replyID] {
				t.Fatalf("request %d gets no response", replyID)
			}
		}
		confirmed += ctrl.Counters.ConfirmedSubmissions
	})
	if confirmed == 0 {
		outer.Error("no submission was confirmed by its record, want at least one")
	}
}
