package scheduler

import (
	"fmt"
	"testing"

	"github.com/grebedock/grebedock/access"
)

// queryAll sends a query for each job of newControllerWithJobs, with reply IDs from 100 on.
func queryAll(ctrl *Controller, jobs int) {
	for n := range jobs {
		ctrl.HandleUserRequest(ctrl.now, uint64(100+n), UserRequest{Kind: QueryJob, ID: fmt.Sprintf("job-%06d", n)})
	}
}

// newControllerWithJobs returns a member that has live jobs in its cache and has just sent a query batch.
func newControllerWithJobs(t *testing.T, jobs int) *Controller {
	t.Helper()
	ctrl, _, _ := newControllerWithShard(t)
	for n := range jobs {
		rec := newTestJobRecord(Range{Lo: 0, Hi: 1, Shard: "m0"})
		rec.Job.ID = fmt.Sprintf("job-%06d", n)
		putRecord(ctrl, jobKey(rec.Job.ID), rec, uint64(20+n))
	}
	ctrl.cache.appliedRevision = 20 + uint64(jobs)
	batchIntervalMS := access.RequestTimeout.Milliseconds() / batchIntervalDivisor
	ctrl.requests.queryBatcher.nextBatchAtMS = ctrl.now.MonotonicMS + batchIntervalMS
	return ctrl
}

// Queries that arrive within one batch interval share one read, which is sent after all of them. No
// query is answered before the read has returned.
func TestConcurrentQueriesShareOneRead(t *testing.T) {
	const jobs = 12
	ctrl := newControllerWithJobs(t, jobs)
	queryAll(ctrl, jobs)
	if outputs := ctrl.TakeOutputs(); len(outputs.StoreOps) > 0 || len(outputs.UserResponses) > 0 {
		t.Fatalf("%d store operations and %d responses before the batch, want none",
			len(outputs.StoreOps), len(outputs.UserResponses))
	}
	ctrl.now.MonotonicMS = ctrl.requests.queryBatcher.nextBatchAtMS
	ctrl.requests.sendQueryBatch()
	outputs := ctrl.TakeOutputs()
	if len(outputs.StoreOps) != 1 || len(outputs.UserResponses) > 0 {
		t.Fatalf("store operations %+v, %d responses; want one read", outputs.StoreOps, len(outputs.UserResponses))
	}
	read := outputs.StoreOps[0]
	if read.Kind != StoreWatch || read.DurationMS != 0 || read.Rev != ctrl.cache.appliedRevision {
		t.Fatalf("read %+v, want a watch from the cache's revision that returns at once", read)
	}
	// A query that arrives while the read is pending is not answered by it.
	ctrl.HandleUserRequest(ctrl.now, 200, UserRequest{Kind: QueryJob, ID: "job-000000"})
	// Meanwhile a peer has confirmed that job 3 is cancelled.
	ctrl.HandleStoreResult(
		ctrl.now,
		read.ID,
		StoreResult{Outcome: OK, Rev: 90, KVs: []KeyValue{{Key: jobKey("job-000003"), Rev: 88}}},
	)
	outputs = ctrl.TakeOutputs()
	if len(outputs.UserResponses) != jobs-1 || outputs.UserResponses[103].Status != 0 ||
		outputs.UserResponses[200].Status != 0 {
		t.Fatalf("%d responses: %+v, want all but 103 and 200", len(outputs.UserResponses), outputs.UserResponses)
	}
	if len(outputs.StoreOps) != 1 || outputs.StoreOps[0].Kind != StoreGet ||
		outputs.StoreOps[0].Key != terminalKey("job-000003") {
		t.Fatalf("store operations %+v, want a read of the cancelled job's terminal record", outputs.StoreOps)
	}
	terminal := mustEncode(terminalRecord{State: Cancelled, Tasks: 1})
	result := StoreResult{Outcome: OK, KVs: []KeyValue{{Key: terminalKey("job-000003"), Value: terminal, Rev: 88}}}
	ctrl.HandleStoreResult(ctrl.now, outputs.StoreOps[0].ID, result)
	if resp := ctrl.TakeOutputs().UserResponses[103]; resp.State != Cancelled {
		t.Errorf("response for the cancelled job: %+v, want state cancelled", resp)
	}
}

// After a failed read, no query of the batch is answered from the cache.
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
				t.Errorf("outcome %v: response %d is %+v, want 503 with a retry delay", outcome, replyID, resp)
			}
		}
		if gets != reads || len(outputs.UserResponses)+gets != 5 {
			t.Errorf("outcome %v: %d reads and %d responses, want %d reads of 5",
				outcome, gets, len(outputs.UserResponses), reads)
		}
	}
}

// While the cache is being reloaded, no query is answered from it, even if a batch read succeeds.
func TestReloadingCacheAnswersNoQuery(t *testing.T) {
	ctrl := newControllerWithJobs(t, 5)
	queryAll(ctrl, 5)
	ctrl.now.MonotonicMS = ctrl.requests.queryBatcher.nextBatchAtMS
	ctrl.requests.sendQueryBatch()
	id := ctrl.TakeOutputs().StoreOps[0].ID
	ctrl.store.storeAccess.ResyncCache(ctrl.now.MonotonicMS)
	ctrl.HandleStoreResult(ctrl.now, id, StoreResult{Outcome: OK, Rev: 90})
	if outputs := ctrl.TakeOutputs(); len(outputs.UserResponses) > 0 || len(outputs.StoreOps) != 5 {
		t.Errorf("%d responses, %d reads; want 0 and 5", len(outputs.UserResponses), len(outputs.StoreOps))
	}
}
