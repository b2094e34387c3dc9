package scheduler

import (
	"fmt"
	"testing"

	"github.com/grebedock/grebedock/access"
)

// queryAll asks about so many live jobs at once, from reply 100 on.
func queryAll(ctrl *Controller, jobs int) {
	for n := range jobs {
		ctrl.HandleUserRequest(ctrl.now, uint64(100+n), UserRequest{Kind: QueryJob, ID: fmt.Sprintf("job-%06d", n)})
	}
}

// newControllerWithJobs returns a member whose mirror has so many live jobs, and that has just read.
func newControllerWithJobs(t *testing.T, jobs int) *Controller {
	t.Helper()
	ctrl, _, _ := newControllerWithShard(t)
	for n := range jobs {
		rec := newTestJobRecord(Range{Lo: 0, Hi: 1, Shard: "m0"})
		rec.Job.ID = fmt.Sprintf("job-%06d", n)
		ctrl.cache.applyChange(KeyValue{Key: jobKey(rec.Job.ID), Value: mustEncode(rec), Rev: uint64(20 + n)})
	}
	ctrl.cache.mirrorRevision = 20 + uint64(jobs)
	ctrl.requests.queryBatcher.nextBatchAtMS = ctrl.now.MonotonicMS + access.RequestTimeout.Milliseconds()/batchIntervalDivisor
	return ctrl
}

// Questions that come together share one read that is sent after all of them, and none is
// answered before it is back.
func TestConcurrentQueriesShareOneRead(t *testing.T) {
	const jobs = 12
	ctrl := newControllerWithJobs(t, jobs)
	queryAll(ctrl, jobs)
	if outputs := ctrl.TakeOutputs(); len(outputs.StoreOps) > 0 || len(outputs.UserResponses) > 0 {
		t.Fatalf("%d requests and %d answers before the pause is over", len(outputs.StoreOps), len(outputs.UserResponses))
	}
	ctrl.now.MonotonicMS = ctrl.requests.queryBatcher.nextBatchAtMS
	ctrl.requests.sendQueryBatch()
	outputs := ctrl.TakeOutputs()
	if len(outputs.StoreOps) != 1 || outputs.StoreOps[0].Kind != StoreWatch || outputs.StoreOps[0].DurationMS != 0 ||
		outputs.StoreOps[0].Rev != ctrl.cache.mirrorRevision ||
		len(outputs.UserResponses) > 0 {
		t.Fatalf("asks %+v, answers %d", outputs.StoreOps, len(outputs.UserResponses))
	}
	// One that comes while the read is under way is not answered by it.
	ctrl.HandleUserRequest(ctrl.now, 200, UserRequest{Kind: QueryJob, ID: "job-000000"})
	// Meanwhile a peer has told somebody that job 3 is cancelled.
	ctrl.HandleStoreResult(
		ctrl.now,
		outputs.StoreOps[0].ID,
		StoreResult{Outcome: OK, Rev: 90, KVs: []KeyValue{{Key: jobKey("job-000003"), Rev: 88}}},
	)
	outputs = ctrl.TakeOutputs()
	if len(outputs.UserResponses) != jobs-1 || outputs.UserResponses[103].Status != 0 ||
		outputs.UserResponses[200].Status != 0 {
		t.Fatalf("%d answers: %+v", len(outputs.UserResponses), outputs.UserResponses)
	}
	if len(outputs.StoreOps) != 1 || outputs.StoreOps[0].Kind != StoreGet ||
		outputs.StoreOps[0].Key != terminalKey("job-000003") {
		t.Fatalf("asks %+v for the job that is over", outputs.StoreOps)
	}
	ctrl.HandleStoreResult(
		ctrl.now,
		outputs.StoreOps[0].ID,
		StoreResult{
			Outcome: OK,
			KVs: []KeyValue{
				{Key: terminalKey("job-000003"), Value: mustEncode(terminalRecord{State: Cancelled, Tasks: 1}), Rev: 88},
			},
		},
	)
	if resp := ctrl.TakeOutputs().UserResponses[103]; resp.State != Cancelled {
		t.Errorf("the cancelled job is answered %+v", resp)
	}
}

// A read that does not work answers nothing from the mirror.
func TestFailedReadAnswersNoQuery(t *testing.T) {
	for outcome, reads := range map[Outcome]int{Refused: 0, Throttled: 0, Unknown: 0, Gone: 5} {
		ctrl := newControllerWithJobs(t, 5)
		queryAll(ctrl, 5)
		ctrl.now.MonotonicMS = ctrl.requests.queryBatcher.nextBatchAtMS
		ctrl.requests.sendQueryBatch()
		ctrl.HandleStoreResult(ctrl.now, ctrl.TakeOutputs().StoreOps[0].ID, StoreResult{Outcome: outcome})
		outputs := ctrl.TakeOutputs()
		gets := 0
		for _, op := range outputs.StoreOps {
			if op.Kind == StoreGet {
				gets++
			}
		}
		for replyID, resp := range outputs.UserResponses {
			if resp.Status != 503 || resp.RetryAfterS == 0 {
				t.Errorf("outcome %v: question %d is answered %+v", outcome, replyID, resp)
			}
		}
		if gets != reads || len(outputs.UserResponses)+gets != 5 {
			t.Errorf("outcome %v: %d reads and %d answers", outcome, gets, len(outputs.UserResponses))
		}
	}
}

// A mirror that is being read anew answers nothing, also if a read ends well meanwhile.
func TestReloadingMirrorAnswersNoQuery(t *testing.T) {
	ctrl := newControllerWithJobs(t, 5)
	queryAll(ctrl, 5)
	ctrl.now.MonotonicMS = ctrl.requests.queryBatcher.nextBatchAtMS
	ctrl.requests.sendQueryBatch()
	id := ctrl.TakeOutputs().StoreOps[0].ID
	ctrl.store.storeAccess.ResyncMirror(ctrl.now.MonotonicMS)
	ctrl.HandleStoreResult(ctrl.now, id, StoreResult{Outcome: OK, Rev: 90})
	if outputs := ctrl.TakeOutputs(); len(outputs.UserResponses) > 0 || len(outputs.StoreOps) != 5 {
		t.Errorf("%d answers, %d reads", len(outputs.UserResponses), len(outputs.StoreOps))
	}
}
