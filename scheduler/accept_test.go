package scheduler

import (
	"fmt"
	"testing"

	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/planner"
)

// taking is a member that takes submissions at a rate.
func taking(t *testing.T, rate float64) *Member {
	t.Helper()
	m, _, _ := holding(t)
	m.p.AcceptRate = rate
	m.p.Teams = map[string]Team{"ops": {}, "few": {}}
	m.accepts.Drain()
	m.accepts = newAccepts(m)
	m.Take()
	return m
}

func offered(n int, team string, p Priority) UserRequest {
	id := fmt.Sprintf("job-%06d", n)
	return UserRequest{Kind: Submit, ID: id, Job: &Job{ID: id, Team: team, Kind: Array, Priority: p, Tasks: 1, EstimateS: 10, Request: availability.Room{CPUs: 1, MemoryGB: 1}}}
}

// Submissions that come while writes are under way share the next one. A known
// one among them holds up nobody else.
func TestSubmissionsShareAWrite(t *testing.T) {
	m := taking(t, 1000)
	for n := range 12 {
		m.User(m.now, uint64(n), offered(n, "ops", Normal))
	}
	ops := m.Take().Store
	if len(ops) != acceptsAhead {
		t.Fatalf("%d writes are under way", len(ops))
	}
	m.StoreDone(m.now, ops[0].ID, StoreResult{Rev: 100})
	o := m.Take()
	if o.Users[0].Status != 201 || len(o.Store) != 1 || len(o.Store[0].Changes) != 8 {
		t.Fatalf("then %+v, %+v", o.Users, o.Store)
	}
	m.StoreDone(m.now, o.Store[0].ID, StoreResult{Outcome: Conflict, Failed: []string{finalKey("job-000007")}})
	o = m.Take()
	var reads, writes []StoreOp
	for _, op := range o.Store {
		if op.Kind == StoreTxn {
			writes = append(writes, op)
		} else {
			reads = append(reads, op)
		}
	}
	if len(reads) != 1 || reads[0].Key != jobKey("job-000007") || len(writes) != 1 || len(writes[0].Changes) != 7 {
		t.Fatalf("after a conflict %d reads, writes %+v", len(reads), writes)
	}
	m.StoreDone(m.now, writes[0].ID, StoreResult{Rev: 101})
	for id, a := range m.Take().Users {
		if a.Status != 201 || id == 7 {
			t.Errorf("%d gets %+v", id, a)
		}
	}
}

// A job that is submitted twice while writes are under way is written once: only its
// first submission is answered 201.
func TestAJobSubmittedTwiceIsAcceptedOnce(t *testing.T) {
	m := taking(t, 1000)
	for n := range acceptsAhead {
		m.User(m.now, uint64(n), offered(n, "ops", Normal))
	}
	const first, second, job = 50, 51, 9
	m.User(m.now, first, offered(job, "ops", Normal))
	m.User(m.now, second, offered(job, "ops", Normal))
	ops := m.Take().Store
	m.StoreDone(m.now, ops[0].ID, StoreResult{Rev: 100})
	write := m.Take().Store[0]
	if len(write.Changes) != 1 {
		t.Fatalf("written together: %+v", write.Changes)
	}
	m.StoreDone(m.now, write.ID, StoreResult{Rev: 101})
	o := m.Take()
	if o.Users[first].Status != 201 || len(o.Users) != 1 || len(o.Store) != 1 || o.Store[0].Key != jobKey("job-000009") {
		t.Fatalf("then %+v, %+v", o.Users, o.Store)
	}
	m.StoreDone(m.now, o.Store[0].ID, StoreResult{Items: []Item{{Key: write.Changes[0].Key, Value: write.Changes[0].Value, Rev: 101}}})
	if a := m.Take().Users[second]; a.Status != 200 || a.State != Pending {
		t.Errorf("the second gets %+v", a)
	}
}

// Beyond what the state service takes, everybody is answered at once: the urgent
// are taken, of the others those who wait longest are told when to come, not all
// the same second.
func TestOverloadIsAnsweredAtOnce(t *testing.T) {
	m := taking(t, 5)
	answers := map[uint64]UserAnswer{}
	var writes []StoreOp
	take := func() {
		o := m.Take()
		writes = append(writes, o.Store...)
		for id, a := range o.Users {
			answers[id] = a
		}
	}
	for n := range 200 {
		m.User(m.now, uint64(n), offered(n, "ops", Low))
		take()
	}
	m.User(m.now, 500, offered(500, "few", High))
	take()
	m.User(m.now, 501, offered(501, "few", Low))
	take()
	seconds := map[int]int{}
	for id, a := range answers {
		if a.Status != 503 || a.RetryS < 1 || a.RetryS > acceptRetryS {
			t.Errorf("%d gets %+v", id, a)
		}
		seconds[a.RetryS]++
	}
	if _, ok := answers[500]; ok {
		t.Error("an urgent submission is shed")
	}
	if _, ok := answers[501]; ok {
		t.Error("the only one of its team is shed")
	}
	if len(answers) < 150 || len(seconds) < 20 {
		t.Errorf("%d are answered, told %v", len(answers), seconds)
	}
	// The state service goes away: nobody is kept in line for it.
	before := len(answers)
	for _, op := range writes {
		m.StoreDone(m.now, op.ID, StoreResult{Outcome: Refused})
	}
	m.Tick(Now{m.now.Steady + 100, m.now.Wall + 100})
	take()
	if len(answers) != 202 {
		t.Errorf("%d of 202 are answered, %d before the outage", len(answers), before)
	}
}

// Tasks that begin once stay where they may have begun: what was lost with an
// earlier holder is settled there.
func TestBegunTasksAreNotMoved(t *testing.T) {
	for _, begun := range []bool{false, true} {
		m, s, _ := holding(t)
		m.p.Teams = map[string]Team{"ops": {}}
		m.shards["m1"] = shardRecord{Holder: "m1"}
		free := availability.Function{Kind: planner.Kind{Type: "small", Zone: "a"}.Name(), Count: 10, Room: availability.Room{CPUs: 8, MemoryGB: 32},
			Samples: []availability.Sample{{At: 1000}, {At: 901_000, Free: 900_000}}}
		m.peers["m1"] = &peerState{at: 1000, msg: PeerMessage{From: "m1", Shards: []ShardReport{{Shard: "m1", Summary: availability.Summary{free}}}}}
		j := offered(1, "ops", Normal).Job
		j.Once, j.Tasks = true, 4
		m.apply(Item{Key: jobKey(j.ID), Value: encode(jobRecord{Job: *j, Begun: begun, Ranges: []Range{{0, 4, "m0", false}}}), Rev: 20})
		s.needs = []Need{{Job: j.ID, Count: 4, Deadline: 800_000, Length: 10_000}}
		m.Take()
		m.moveLeftovers(s)
		if moved := len(m.Take().Store) > 0; moved == begun {
			t.Errorf("begun %v: moved %v", begun, moved)
		}
	}
}

// What waits for its turn in the member's own budget says nothing of the state
// service: taken for an overdue answer, it made peers pass a healthy member over.
func TestWaitingForTheBudgetIsNoFault(t *testing.T) {
	m, _, _ := holding(t)
	m.ask(StoreOp{Kind: StoreTxn, Urgency: Progress}, func(StoreResult) {})
	m.now.Steady += 3 * m.acc.Late()
	if !m.serves() {
		t.Errorf("the link is %v while a write waits for its turn", m.acc.Link(m.now.Steady))
	}
	m.ask(StoreOp{Kind: StoreGet, Urgency: Reads}, func(StoreResult) {})
	m.now.Steady += 3 * m.acc.Late()
	if m.serves() {
		t.Error("the link is up while an answer is overdue")
	}
	for _, op := range m.Take().Store {
		m.StoreDone(m.now, op.ID, StoreResult{Outcome: NotFound})
	}
	if !m.serves() {
		t.Error("the link stays down after an answer")
	}
}

// unanswered has a member send a submission's write, which nobody answers for longer
// than answers take.
func unanswered(t *testing.T) (m *Member, write StoreOp, record Item) {
	t.Helper()
	m = taking(t, 1000)
	m.User(m.now, 1, offered(1, "ops", Normal))
	ops := m.Take().Store
	if len(ops) != 1 || ops[0].Kind != StoreTxn {
		t.Fatalf("a submission asks %+v", ops)
	}
	m.now.Steady += m.acc.Late() / 2
	m.confirmSeen()
	if o := m.Take(); len(o.Store)+len(o.Users) > 0 {
		t.Fatalf("a record that nobody saw is asked for: %+v", o)
	}
	return m, ops[0], Item{Key: jobKey("job-000001"), Value: ops[0].Changes[0].Value, Rev: 40}
}

// A write's answer is lost, and its record is in the mirror: it is read, once, and the
// user has the answer. Once more is nothing asked when the write's time is up.
func TestASubmissionIsAnsweredByItsRecord(t *testing.T) {
	m, write, record := unanswered(t)
	m.apply(record)
	m.confirmSeen()
	m.confirmSeen()
	ops := m.Take().Store
	if len(ops) != 1 || ops[0].Kind != StoreGet || ops[0].Key != record.Key {
		t.Fatalf("asks %+v", ops)
	}
	m.StoreDone(m.now, ops[0].ID, StoreResult{Rev: 41, Items: []Item{record}})
	if a := m.Take().Users[1]; a.Status != 200 || a.State != Pending {
		t.Fatalf("answered %+v", a)
	}
	m.StoreDone(m.now, write.ID, StoreResult{Outcome: Unknown})
	m.confirmSeen()
	if o := m.Take(); len(o.Store)+len(o.Users) > 0 {
		t.Errorf("after the answer %+v", o)
	}
}

// A read of the record that fails decides nothing: the write's own end does.
func TestAFailedReadLeavesTheWriteToItsEnd(t *testing.T) {
	for _, failed := range []Outcome{Unknown, Refused, Throttled} {
		m, write, record := unanswered(t)
		m.apply(record)
		m.confirmSeen()
		ops := m.Take().Store
		if len(ops) != 1 {
			t.Fatalf("%v: asks %+v", failed, ops)
		}
		m.StoreDone(m.now, ops[0].ID, StoreResult{Outcome: failed})
		if a, ok := m.Take().Users[1]; ok {
			t.Fatalf("%v: answered %+v", failed, a)
		}
		m.StoreDone(m.now, write.ID, StoreResult{Rev: 40})
		if a := m.Take().Users[1]; a.Status != 201 {
			t.Errorf("%v: answered %+v", failed, a)
		}
	}
}

// Polls leave a part of what may go to hurry to submissions: all of it went for polls
// that waited for their turn in the member's own rate.
func TestPollsLeaveRoomToHurry(t *testing.T) {
	m := taking(t, 1000)
	m.p.Relays = 100
	m.peers["m1"] = &peerState{at: m.now.Steady, msg: PeerMessage{From: "m1", Serves: true}}
	for n := range uint64(40) {
		m.User(m.now, 100+n, UserRequest{Kind: Query, ID: "job-000100"})
	}
	m.User(m.now, 1, offered(1, "ops", Normal))
	m.Take()
	m.now.Steady += m.acc.Late() + 1
	m.hurryQuestions()
	relays := m.Take().Relays
	if n := len(relays); n != hurryBurst-hurryKept+1 || relays[n-1].Request.Kind != Submit {
		t.Errorf("%d requests go to a peer, the last %+v", n, relays[n-1].Request)
	}
}
