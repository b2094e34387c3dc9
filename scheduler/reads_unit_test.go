package scheduler

import (
	"fmt"
	"testing"

	"github.com/grebedock/grebedock/access"
)

// askAll asks about so many live jobs at once, from reply 100 on.
func askAll(m *Member, jobs int) {
	for n := range jobs {
		m.User(m.now, uint64(100+n), UserRequest{Kind: Query, ID: fmt.Sprintf("job-%06d", n)})
	}
}

// withJobs returns a member whose mirror has so many live jobs, and that has just read.
func withJobs(t *testing.T, jobs int) *Member {
	t.Helper()
	m, _, _ := holding(t)
	for n := range jobs {
		rec := testJob(Range{Lo: 0, Hi: 1, Shard: "m0"})
		rec.Job.ID = fmt.Sprintf("job-%06d", n)
		m.apply(Item{Key: jobKey(rec.Job.ID), Value: encode(rec), Rev: uint64(20 + n)})
	}
	m.rev = 20 + uint64(jobs)
	m.reads.next = m.now.Steady + access.Timeout.Milliseconds()/readPause
	return m
}

// Questions that come together share one read that is sent after all of them, and none is
// answered before it is back.
func TestQuestionsShareARead(t *testing.T) {
	const jobs = 12
	m := withJobs(t, jobs)
	askAll(m, jobs)
	if o := m.Take(); len(o.Store) > 0 || len(o.Users) > 0 {
		t.Fatalf("%d requests and %d answers before the pause is over", len(o.Store), len(o.Users))
	}
	m.now.Steady = m.reads.next
	m.pumpReads()
	o := m.Take()
	if len(o.Store) != 1 || o.Store[0].Kind != StoreWatch || o.Store[0].MS != 0 || o.Store[0].Rev != m.rev || len(o.Users) > 0 {
		t.Fatalf("asks %+v, answers %d", o.Store, len(o.Users))
	}
	// One that comes while the read is under way is not answered by it.
	m.User(m.now, 200, UserRequest{Kind: Query, ID: "job-000000"})
	// Meanwhile a peer has told somebody that job 3 is cancelled.
	m.StoreDone(m.now, o.Store[0].ID, StoreResult{Outcome: OK, Rev: 90, Items: []Item{{Key: jobKey("job-000003"), Rev: 88}}})
	o = m.Take()
	if len(o.Users) != jobs-1 || o.Users[103].Status != 0 || o.Users[200].Status != 0 {
		t.Fatalf("%d answers: %+v", len(o.Users), o.Users)
	}
	if len(o.Store) != 1 || o.Store[0].Kind != StoreGet || o.Store[0].Key != finalKey("job-000003") {
		t.Fatalf("asks %+v for the job that is over", o.Store)
	}
	m.StoreDone(m.now, o.Store[0].ID, StoreResult{Outcome: OK, Items: []Item{{Key: finalKey("job-000003"), Value: encode(finalRecord{State: Cancelled, Tasks: 1}), Rev: 88}}})
	if a := m.Take().Users[103]; a.State != Cancelled {
		t.Errorf("the cancelled job is answered %+v", a)
	}
}

// A read that does not work answers nothing from the mirror.
func TestAReadThatFailsAnswersNothing(t *testing.T) {
	for o, reads := range map[Outcome]int{Refused: 0, Throttled: 0, Unknown: 0, Gone: 5} {
		m := withJobs(t, 5)
		askAll(m, 5)
		m.now.Steady = m.reads.next
		m.pumpReads()
		m.StoreDone(m.now, m.Take().Store[0].ID, StoreResult{Outcome: o})
		out := m.Take()
		gets := 0
		for _, op := range out.Store {
			if op.Kind == StoreGet {
				gets++
			}
		}
		for reply, a := range out.Users {
			if a.Status != 503 || a.RetryS == 0 {
				t.Errorf("outcome %v: question %d is answered %+v", o, reply, a)
			}
		}
		if gets != reads || len(out.Users)+gets != 5 {
			t.Errorf("outcome %v: %d reads and %d answers", o, gets, len(out.Users))
		}
	}
}

// A mirror that is being read anew answers nothing, also if a read ends well meanwhile.
func TestAMirrorThatIsReadAnewAnswersNothing(t *testing.T) {
	m := withJobs(t, 5)
	askAll(m, 5)
	m.now.Steady = m.reads.next
	m.pumpReads()
	id := m.Take().Store[0].ID
	m.acc.Reread(m.now.Steady)
	m.StoreDone(m.now, id, StoreResult{Outcome: OK, Rev: 90})
	if o := m.Take(); len(o.Users) > 0 || len(o.Store) != 5 {
		t.Errorf("%d answers, %d reads", len(o.Users), len(o.Store))
	}
}
