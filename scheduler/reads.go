package scheduler

import "github.com/grebedock/grebedock/access"

// Users' questions about jobs, asked of the state service in batches. A question may be
// answered from the mirror once the mirror has everything that was written before the
// question came: one watch that does not wait, sent after the question, proves that for
// all that wait. So a flood of questions costs a bounded number of requests, and none is
// answered with anything older than what another member has told.

const (
	// readPause is how long after a read of the state service the next one goes, as a part
	// of a request's time: what comes meanwhile shares it.
	readPause = 20
	// batchFrom is from how many questions on a batch is cheaper than one read for each.
	batchFrom = 3
)

// reads are questions that wait to be asked.
type reads struct {
	waiting []*question
	busy    bool  // a batch is under way
	next    int64 // when the next may go
}

// query puts a question in line.
func (m *Member) query(q *question) {
	m.reads.waiting = append(m.reads.waiting, q)
	m.pumpReads()
}

// pumpReads asks what waits, unless the last read was a moment ago.
func (m *Member) pumpReads() {
	r := &m.reads
	if len(r.waiting) == 0 || r.busy || m.now.Steady < r.next {
		return
	}
	batch := r.waiting
	r.waiting = nil
	r.next = m.now.Steady + access.Timeout.Milliseconds()/readPause
	if len(batch) < batchFrom || !m.acc.Synced() {
		m.lookupEach(batch)
		return
	}
	r.busy = true
	m.Counters.Batches++
	m.catchUp(func(o Outcome) {
		r.busy = false
		m.answerBatch(batch, o)
		m.pumpReads()
	})
}

// catchUp brings the mirror up to everything that was written before now.
func (m *Member) catchUp(done func(Outcome)) {
	m.ask(StoreOp{Kind: StoreWatch, Urgency: Reads, Key: livePrefix, Rev: m.rev}, func(r StoreResult) {
		if r.Outcome == OK && m.acc.Synced() {
			m.watched(r)
		}
		done(r.Outcome)
	})
}

// answerBatch answers questions that came before a read that ended so.
func (m *Member) answerBatch(batch []*question, o Outcome) {
	switch {
	case o == Gone || o == OK && !m.acc.Synced():
		// The mirror is read anew: it says nothing for now.
		m.lookupEach(batch)
	case o != OK:
		for _, q := range batch {
			m.reply(q.reply, unavailable(q.r.ID, "state service unavailable"))
		}
	default:
		for _, q := range batch {
			m.answerFromMirror(q)
		}
	}
}

// answerFromMirror answers a question by the mirror, which is as new as the question. A
// job that is not live is over, or was never accepted.
func (m *Member) answerFromMirror(q *question) {
	id := q.r.ID
	j := m.jobs[id]
	switch {
	case q.over: // by a peer
	case j != nil:
		m.reply(q.reply, m.liveAnswer(id, &j.rec))
	case m.revs[jobKey(id)] != 0: // its record is unreadable
		m.lookupEach([]*question{q})
	default:
		m.lookupFinal(id, Reads, func(a UserAnswer) { m.reply(q.reply, a) })
	}
}

// lookupEach asks the state service about each question's job.
func (m *Member) lookupEach(batch []*question) {
	for _, q := range batch {
		if !q.over {
			m.lookup(q.r.ID, Reads, func(a UserAnswer, _ *Item) { m.reply(q.reply, a) })
		}
	}
}
