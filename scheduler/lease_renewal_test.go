package scheduler

import (
	"slices"
	"testing"

	"github.com/grebedock/grebedock/reconcile"
)

// stopsIn returns the tasks that commands stop without a grace period.
func stopsIn(commands []Command) (tasks []string) {
	for _, c := range commands {
		if c.Kind == CommandStop && c.GraceS == 0 {
			tasks = append(tasks, c.Task)
		}
	}
	return tasks
}

// Guards against ran_cancelled: the first heartbeat after a claim is answered, and its worker's lease renewed, before
// the tasks of cancelled jobs on the machine are stopped and known.
func TestFirstHeartbeatAfterClaimWaitsForTaskQuery(t *testing.T) {
	reported := testHeartbeat("i-2", 1, 5, unknownTasks(taskRunning)[1:]...)
	listed := testHeartbeat("i-2", 2, 11, append(unknownTasks(taskRunning)[1:],
		TaskStatus{Task: "job-000078/0", Attempt: 6, State: taskRunning})...) // started by a delayed direct command
	for _, c := range []struct {
		name     string
		result   DirectCommandResult
		accepted bool
		stops    []string
	}{
		{"query is executed", DirectCommandResult{Outcome: OK, Heartbeat: &listed}, true,
			[]string{"job-000077/0", "job-000077/1", "job-000078/0"}},
		{"query has no response", DirectCommandResult{Outcome: Unknown}, false, nil},
		{"query is refused", DirectCommandResult{Outcome: Conflict, Heartbeat: &reported}, false, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			ctrl, _, _ := newControllerWithShard(t)
			addUnreportedMachine(ctrl, false)
			ctrl.HandleHeartbeat(ctrl.now, 5, reported)
			outputs := ctrl.TakeOutputs()
			if len(outputs.HeartbeatResponses) != 0 || len(outputs.DirectCommands) != 1 {
				t.Fatalf("got responses %+v and direct commands %+v, want a query only",
					outputs.HeartbeatResponses, outputs.DirectCommands)
			}
			query := outputs.DirectCommands[0]
			if got := stopsIn(query.Commands); !slices.Equal(got, []string{"job-000077/0", "job-000077/1"}) {
				t.Errorf("the query stops %v, want the reported tasks of the cancelled job", got)
			}
			ctrl.HandleDirectCommandResult(ctrl.now, query.ID, c.result)
			response, responded := ctrl.TakeOutputs().HeartbeatResponses[5]
			if !responded || response.Accepted != c.accepted || !slices.Equal(stopsIn(response.Commands), c.stops) {
				t.Errorf("got response %+v (sent: %v), want accepted %v with stops of %v",
					response, responded, c.accepted, c.stops)
			}
		})
	}
}

// The worker waits only for the response to its newest heartbeat. That one gets the response to the query.
func TestNewerHeartbeatReplacesTheOneThatWaitsForTaskQuery(t *testing.T) {
	ctrl, s, _ := newControllerWithShard(t)
	mc := addUnreportedMachine(ctrl, false)
	ctrl.HandleHeartbeat(ctrl.now, 5, testHeartbeat("i-2", 1, 5))
	ctrl.HandleHeartbeat(ctrl.now, 6, testHeartbeat("i-2", 2, 5))
	outputs := ctrl.TakeOutputs()
	if response, responded := outputs.HeartbeatResponses[5]; !responded || response.Accepted {
		t.Errorf("got response %+v (sent: %v) to the older heartbeat, want a refusal", response, responded)
	}
	if _, responded := outputs.HeartbeatResponses[6]; responded || len(outputs.DirectCommands) != 1 {
		t.Fatalf("got %d direct commands, newer heartbeat answered: %v; want one query",
			len(outputs.DirectCommands), responded)
	}
	answerTaskQuery(ctrl, mc, nil)
	if response := ctrl.TakeOutputs().HeartbeatResponses[6]; !response.Accepted || response.Token != s.token {
		t.Errorf("got response %+v to the newer heartbeat, want accepted with the claim's token", response)
	}
}

// A heartbeat waits for a query while the claim ends. It is refused, since this member must not renew the lease.
func TestHeartbeatThatWaitsForTaskQueryIsRefusedAfterClaimHasEnded(t *testing.T) {
	ctrl, s, _ := newControllerWithShard(t)
	addUnreportedMachine(ctrl, false)
	ctrl.HandleHeartbeat(ctrl.now, 5, testHeartbeat("i-2", 1, 5))
	query := ctrl.TakeOutputs().DirectCommands[0]
	ctrl.shards.dropShard(s)
	listed := testHeartbeat("i-2", 2, 11)
	ctrl.HandleDirectCommandResult(ctrl.now, query.ID, DirectCommandResult{Outcome: OK, Heartbeat: &listed})
	if response, responded := ctrl.TakeOutputs().HeartbeatResponses[5]; !responded || response.Accepted {
		t.Errorf("got response %+v (sent: %v), want a refusal", response, responded)
	}
}

// Guards against ran_cancelled: a heartbeat that the response to a direct command has overtaken renews the lease, and
// an attempt of a cancelled job that it does not list yet runs on.
func TestOvertakenHeartbeatStopsTasksOfCancelledJob(t *testing.T) {
	sc := newDirectStartScenario(t)
	orphan := TaskStatus{Task: "job-000077/0", Attempt: 4, State: taskRunning}
	sc.ctrl.agents.sendDirectCommand(sc.s, sc.mc, 1, nil)
	listed := testHeartbeat("i-1", 12, firstToken, sc.status(taskRunning, ""), orphan)
	result := DirectCommandResult{Outcome: OK, Heartbeat: &listed}
	sc.ctrl.HandleDirectCommandResult(sc.ctrl.now, sc.ctrl.lastRequestID, result)
	sc.ctrl.cache.applyChange(KeyValue{Key: jobKey("job-000001"), Rev: 40})
	sc.seq = 10
	response := sc.report(firstToken)
	if got, want := stopsIn(response.Commands), []string{"job-000077/0", sc.a.key.task}; !slices.Equal(got, want) {
		t.Errorf("the response stops %v, want %v", got, want)
	}
}

// Guards against ran_cancelled: the direct start of a cancelled job's task has no response, and the worker may execute
// it as long as its lease is renewed under the same token. The lease is renewed for the time that a member which does
// not know of the cancellation would renew it, and again under a higher token.
func TestUnansweredStartOfCancelledJobEndsRenewals(t *testing.T) {
	ctrl, s, mc := newControllerWithShard(t)
	putTestJob(ctrl, 13, Range{Lo: 0, Hi: 1, Shard: "m0"})
	ctrl.cache.jobs["job-000001"].rec.Job.EstimateS = 1
	ctrl.placer.planShard(s)
	ctrl.agents.sendUrgentStarts(s)
	command := ctrl.TakeOutputs().DirectCommands[0]
	ctrl.HandleDirectCommandResult(ctrl.now, command.ID, DirectCommandResult{Outcome: Unknown})
	ctrl.cache.completeUntilMS = ctrl.now.MonotonicMS
	ctrl.cache.applyChange(KeyValue{Key: jobKey("job-000001"), Rev: 40})
	endsAt := ctrl.now.MonotonicMS + ctrl.store.storeAccess.AuthorityMS()
	report := func(at int64, token uint64) HeartbeatResponse {
		ctrl.now.MonotonicMS = at
		ctrl.store.storeAccess.SetState(1, at, at)
		ctrl.HandleHeartbeat(ctrl.now, 9, testHeartbeat("i-1", mc.Seq+1, token))
		return ctrl.TakeOutputs().HeartbeatResponses[9]
	}
	if response := report(endsAt-1, firstToken); !response.Accepted || len(stopsIn(response.Commands)) != 1 {
		t.Errorf("before the time limit: got %+v, want accepted with a stop of the start in transit", response)
	}
	if response := report(endsAt, firstToken); response.Accepted {
		t.Errorf("after the time limit: got %+v, want a refusal", response)
	}
	putRecord(ctrl, claimKey("m0"), claimRecord{"m0", 7}, raisedToken)
	if response := report(endsAt+1, firstToken); !response.Accepted || len(stopsIn(response.Commands)) != 1 {
		t.Errorf("under a higher token: got %+v, want accepted with a stop of the start in transit", response)
	}
}

// The time from which a job's renewals are counted is not after its end: it precedes the sending of the watch that
// brings the end, which may return at once with an older change.
func TestEndOfJobIsCountedFromRefreshBeforeTheOneThatReportsIt(t *testing.T) {
	ctrl, _, _ := newControllerWithShard(t)
	putTestJob(ctrl, 13, Range{Lo: 0, Hi: 1, Shard: "m0"})
	j := ctrl.cache.jobs["job-000001"]
	ctrl.now.MonotonicMS = 5000
	ctrl.watchLiveRecords(ctrl.store.storeAccess.Tick(5000).RefreshID)
	for _, op := range ctrl.TakeOutputs().StoreOps {
		if op.Kind == StoreWatch {
			ctrl.now.MonotonicMS = 5010
			removal := KeyValue{Key: jobKey("job-000001"), Rev: 40}
			ctrl.HandleStoreResult(ctrl.now, op.ID, StoreResult{Rev: 41, KVs: []KeyValue{removal}})
		}
	}
	if !j.ended || j.endedAfterMS != 1000 {
		t.Errorf("ended %v, not before %d ms; want the refresh at 1000 ms", j.ended, j.endedAfterMS)
	}
}

// The response to a direct command overtakes a heartbeat. The response to that heartbeat still renews
// the worker's lease, so the shard's owner counts a full lease from it.
func TestOvertakenHeartbeatRenewsWorkerLease(t *testing.T) {
	ctrl, s, mc := newControllerWithShard(t)
	mc.Seq = 9 // the response to the direct command set it
	ctrl.HandleHeartbeat(Now{2000, 2000}, 2, testHeartbeat("i-1", 8, 11))
	if resp := ctrl.TakeOutputs().HeartbeatResponses[2]; !resp.Accepted || len(resp.Commands) > 0 {
		t.Fatalf("response to an overtaken heartbeat: %+v, want accepted without commands", resp)
	}
	if leaseEnd := s.reconciler.LeaseExpiresAt(mc.Machine); leaseEnd < 2000+secondsToMS(ctrl.params.LeaseS) {
		t.Errorf("the lease expires at %d ms, want a full lease from 2000 ms", leaseEnd)
	}
}

// A claim whose progress records are not read yet renews no worker's lease. Its owner could not stop a
// task whose job was cancelled while the shard had no owner.
func TestWorkerLeaseIsNotRenewedBeforeShardIsReady(t *testing.T) {
	ctrl, s, _ := newControllerWithShard(t)
	s.ready = false
	ctrl.HandleHeartbeat(ctrl.now, 5, testHeartbeat("i-1", 4, 11))
	if a := ctrl.TakeOutputs().HeartbeatResponses[5]; a.Accepted || a.RedirectTo != "" {
		t.Errorf("response %+v, want neither accepted nor redirected", a)
	}
}

// Guards against lost leases after a claim: the network delays a task query, and the heartbeat that waits for it is
// refused. The query is repeated with its stops, and the response to either answers the heartbeat, once.
func TestTaskQueryIsRepeatedWhileHeartbeatWaits(t *testing.T) {
	for _, answered := range []int{0, 1} {
		ctrl, s, _ := newControllerWithShard(t)
		addUnreportedMachine(ctrl, false)
		ctrl.HandleHeartbeat(ctrl.now, 5, testHeartbeat("i-2", 1, 5, unknownTasks(taskRunning)...))
		ctrl.now.MonotonicMS += ctrl.maxHeartbeatIntervalMS() / 2
		ctrl.agents.queryUnreportedMachines(s)
		queries := ctrl.TakeOutputs().DirectCommands
		if len(queries) != 2 || !slices.Equal(stopsIn(queries[0].Commands), stopsIn(queries[1].Commands)) {
			t.Fatalf("got direct commands %+v, want a query and its repetition", queries)
		}
		listed := testHeartbeat("i-2", 2, 11)
		result := DirectCommandResult{Outcome: OK, Heartbeat: &listed}
		ctrl.HandleDirectCommandResult(ctrl.now, queries[answered].ID, result)
		if response := ctrl.TakeOutputs().HeartbeatResponses[5]; !response.Accepted {
			t.Errorf("after the response to query %d: got %+v, want the heartbeat accepted", answered, response)
		}
		ctrl.HandleDirectCommandResult(ctrl.now, queries[1-answered].ID, DirectCommandResult{Outcome: Unknown})
		if responses := ctrl.TakeOutputs().HeartbeatResponses; len(responses) > 0 {
			t.Errorf("after the result of the other query: got %+v, want no further response", responses)
		}
	}
}

// No query is repeated for a worker that no longer waits for the response to its heartbeat.
func TestTaskQueryIsNotRepeatedAfterWorkersTimeout(t *testing.T) {
	ctrl, s, _ := newControllerWithShard(t)
	addUnreportedMachine(ctrl, false)
	ctrl.HandleHeartbeat(ctrl.now, 5, testHeartbeat("i-2", 1, 5))
	ctrl.TakeOutputs()
	ctrl.now.MonotonicMS += reconcile.ResponseTTLMS
	ctrl.agents.queryUnreportedMachines(s)
	if queries := ctrl.TakeOutputs().DirectCommands; len(queries) > 0 {
		t.Errorf("got direct commands %+v, want none", queries)
	}
}
