package scheduler

import (
	"slices"

	"github.com/grebedock/grebedock/access"
	"github.com/grebedock/grebedock/admission"
)

// accept is a submission that is in order and not stored yet.
type accept struct {
	reply uint64
	r     UserRequest
}

// acceptWait is the longest that a submission waits in line for its write, as a
// part of a request's time: users count a second as at once, and give up after
// five. Advice reaches as far as users follow it.
const (
	acceptWait   = 2
	acceptRetryS = 30
	acceptsAhead = 4
)

func newAccepts(m *Member) *admission.Queue[accept] {
	return admission.New[accept](admission.Limits{Rate: m.p.AcceptRate, Changes: m.p.TxnOps, Guards: 4 * m.p.TxnOps, Bytes: txnBytes, Ahead: acceptsAhead,
		WaitMS: access.Timeout.Milliseconds() / acceptWait, RetryS: acceptRetryS, Lanes: int(Production) + 1})
}

// txnBytes bounds a transaction: the state service takes 64 KiB, and names and
// punctuation are counted short here.
const txnBytes = 60 << 10

// offer puts a submission in line for its write. Without a rate each is written
// at once by itself.
func (m *Member) offer(reply uint64, r UserRequest) {
	a := accept{reply, r}
	if m.p.AcceptRate == 0 {
		m.store1(a)
		return
	}
	it := admission.Item[accept]{Team: r.Job.Team, Lane: int(Production - r.Job.Priority), Changes: 1, Guards: 2 + len(r.Guards), Value: a,
		Bytes: m.recordBound(r.Job)}
	for _, s := range m.accepts.Offer(m.now.Steady, it, m.rng.Float64()) {
		m.shed(s.Item.Value, s.RetryS)
	}
	m.pumpAccepts()
}

func (m *Member) shed(a accept, retryS int) {
	m.Counters.Shed++
	m.reply(a.reply, UserAnswer{Status: 503, ID: a.r.ID, Error: "more submissions than the state service takes", RetryS: retryS})
}

// recordBound is how many bytes a submission takes in a transaction at most:
// its ranges are not known yet, one a shard and one more for each full one.
func (m *Member) recordBound(j *Job) int {
	ranges := len(m.members()) + 1 + j.Tasks/m.rangeLimit()
	return len(encode(j)) + 128*(ranges+4)
}

// pumpAccepts writes what is next in line.
func (m *Member) pumpAccepts() {
	if m.p.AcceptRate == 0 {
		return
	}
	if m.storeAway() {
		for _, it := range m.accepts.Drain() {
			m.reply(it.Value.reply, unavailable(it.Value.r.ID, storeAway))
		}
		return
	}
	for {
		items := m.accepts.Next()
		if len(items) == 0 {
			return
		}
		m.storeAll(items)
	}
}

func (m *Member) record(a accept) (Change, []Guard) {
	id := a.r.Job.ID
	if q := m.questions[a.reply]; q != nil {
		q.written = true
	}
	rec := jobRecord{Job: *a.r.Job, Accepted: m.now.Wall, Ranges: m.allot(a.r.Job)}
	value := encode(rec)
	if len(value) > m.p.ValueBytes {
		// Too many peers have a little room.
		rec.Ranges = []Range{{0, a.r.Job.Tasks, m.homeOf(a.r.Job), false}}
		value = encode(rec)
	}
	return Change{Key: jobKey(id), Value: value}, append([]Guard{{jobKey(id), 0}, {finalKey(id), 0}}, a.r.Guards...)
}

// storeAll writes several submissions in one transaction. Of those of the same job only
// the first is written: both were answered 201 once.
func (m *Member) storeAll(items []admission.Item[accept]) {
	var changes []Change
	var guards []Guard
	written := map[string]uint64{} // job: the submission that is written
	for _, it := range items {
		id := it.Value.r.Job.ID
		if _, repeated := written[id]; repeated {
			continue
		}
		written[id] = it.Value.reply
		c, gs := m.record(it.Value)
		changes = append(changes, c)
		for _, g := range gs {
			if !slices.Contains(guards, g) {
				guards = append(guards, g)
			}
		}
	}
	sent := m.now.Steady
	m.txn(Answers, guards, changes, func(t StoreResult) {
		m.accepts.Done(items, m.now.Steady-sent, t.Outcome.Answered())
		if t.Outcome == Conflict && len(items) > 1 {
			// Only those whose own conditions fail are held up by them.
			var rest []admission.Item[accept]
			for _, it := range items {
				if m.hindered(it.Value, t.Failed) {
					m.stored(it.Value, t)
				} else {
					rest = append(rest, it)
				}
			}
			if len(rest) == len(items) {
				for _, it := range items {
					m.store1(it.Value)
				}
				rest = nil
			}
			m.accepts.Again(rest)
		} else {
			for _, it := range items {
				m.storedOnce(it.Value, t, written)
			}
		}
		m.pumpAccepts()
	})
}

// storedOnce answers a submission whose transaction has ended: of a job's second one it
// only tells that the job is known.
func (m *Member) storedOnce(a accept, t StoreResult, written map[string]uint64) {
	if t.Outcome == OK && written[a.r.Job.ID] != a.reply {
		t.Outcome = Conflict
	}
	m.stored(a, t)
}

func (m *Member) hindered(a accept, failed []string) bool {
	id := a.r.Job.ID
	return slices.Contains(failed, jobKey(id)) || slices.Contains(failed, finalKey(id)) ||
		slices.ContainsFunc(a.r.Guards, func(g Guard) bool { return slices.Contains(failed, g.Key) })
}

// store1 writes a submission by itself.
func (m *Member) store1(a accept) {
	c, guards := m.record(a)
	m.txn(Answers, guards, []Change{c}, func(t StoreResult) { m.stored(a, t) })
}

// stored answers a submission whose write has ended.
func (m *Member) stored(a accept, t StoreResult) {
	id := a.r.Job.ID
	switch t.Outcome {
	case OK:
		m.Counters.Accepted++
		m.reply(a.reply, UserAnswer{Status: 201, ID: id, State: Pending})
	case Conflict, Unknown:
		if m.questions[a.reply] == nil {
			return // its record was read meanwhile, or a peer answered
		}
		m.lookup(id, Answers, func(u UserAnswer, _ *Item) {
			switch {
			case u.Status == 404 && t.Outcome == Conflict && len(a.r.Guards) > 0:
				u = UserAnswer{Status: 409, ID: id, Error: "a condition of the submission does not hold"}
			case u.Status == 404:
				u = unavailable(id, "not stored yet")
			}
			m.reply(a.reply, u)
		})
	case Throttled:
		m.shed(a, max(m.accepts.RetryS(), int((t.RetryMS+999)/1000)))
	default:
		m.reply(a.reply, unavailable(id, "state service unavailable"))
	}
}

// confirmSeen answers submissions whose write has no answer though answers take less:
// the answer may be lost, and the mirror shows their record. It is read, since it may
// have moved on; that it is not in the mirror tells nothing, so a write that may yet be
// carried out is asked for by nothing but its own end. Each costs one read, in place of
// the one that follows a write without an answer.
func (m *Member) confirmSeen() {
	for _, q := range m.asked {
		if m.now.Steady-q.at <= m.acc.Usual() {
			break
		}
		if q.over || q.reading || !q.written || m.jobs[q.r.ID] == nil {
			continue
		}
		q.reading = true
		m.lookup(q.r.ID, Answers, func(a UserAnswer, _ *Item) {
			if a.Status == 200 && m.questions[q.reply] != nil {
				m.Counters.Confirmed++
				m.reply(q.reply, a)
			}
		})
	}
}
