package scheduler

import (
	"slices"

	"github.com/grebedock/grebedock/access"
)

// question is a user's request that has no answer yet. It is asked of the state
// service here, or of a peer, or of both; the first that can tell answers it.
type question struct {
	reply   uint64
	r       UserRequest
	at      int64
	own     bool        // asked here, and not ended
	relayed bool        // a peer was asked, once at most
	waiting bool        // for the peer
	bad     *UserAnswer // what was learned here: come back later
	written bool        // a submission whose write was sent
	reading bool        // its record was seen in the mirror, and is read
	over    bool
}

// Relays that only hurry an answer along double what the state service is
// asked. When it is slow for everybody that makes it worse, so they are a share
// of all requests, and some more at first. Polls leave a part to submissions and
// cancellations: many polls that wait for their turn in this member's rate took all.
const (
	hurryShare = 0.1
	hurryBurst = 10
	hurryKept  = hurryBurst / 2
)

// serves tells whether this member can answer users from the state service.
func (m *Member) serves() bool {
	return m.acc.Synced() && len(m.types) > 0 && m.acc.Answering(m.now.Steady)
}

// storeAway tells whether the state service refuses this member or does not
// answer it. Each request would take its whole patience to learn the same; the
// hold's extension asks on, and its answer ends this.
func (m *Member) storeAway() bool {
	l := m.acc.Link(m.now.Steady)
	return l == access.Silent || l == access.RefusedHere
}

const storeAway = "state service does not answer"

// User takes a user's request; reply names it in the outputs' answers.
func (m *Member) User(now Now, reply uint64, r UserRequest) {
	m.now = now
	q := &question{reply: reply, r: r, at: now.Steady, own: true}
	m.questions[reply] = q
	if f, ok := m.finals[r.ID]; ok {
		m.reply(reply, f.answer(r.ID))
		return
	}
	m.asked = append(m.asked, q)
	m.hurry = min(hurryBurst, m.hurry+hurryShare)
	if m.storeAway() && !(r.Kind == Submit && r.ID == "") {
		m.reply(reply, unavailable(r.ID, storeAway))
		return
	}
	switch r.Kind {
	case Submit:
		m.submit(reply, r)
	case Query:
		m.query(q)
	case Cancel:
		m.cancel(reply, r.ID, 3)
	}
}

// reply ends what is asked here. While the state service fails this member
// only, a peer answers in its place.
func (m *Member) reply(id uint64, a UserAnswer) {
	q := m.questions[id]
	if q == nil {
		return // a peer was faster
	}
	q.own = false
	if a.fault {
		q.bad = &a
		if q.waiting || m.relay(q) {
			return
		}
	}
	m.answerUser(q, a)
}

func (m *Member) answerUser(q *question, a UserAnswer) {
	q.over = true
	delete(m.questions, q.reply)
	if m.out.Users == nil {
		m.out.Users = map[uint64]UserAnswer{}
	}
	m.out.Users[q.reply] = a
	if a.Status == 503 {
		m.Counters.Refused++
	}
}

// relay asks the next peer that says that it can answer.
func (m *Member) relay(q *question) bool {
	if q.relayed || q.r.Relayed || len(m.relays) >= m.p.Relays {
		return false
	}
	var peers []string
	for name, p := range inOrder(m.peers) {
		if name != m.p.Member && m.fresh(p) && p.msg.Serves {
			peers = append(peers, name)
		}
	}
	if len(peers) == 0 {
		return false
	}
	peer := peers[m.nextRelay%uint64(len(peers))]
	m.nextRelay++
	m.nextID++
	q.relayed, q.waiting = true, true
	m.relays[m.nextID] = relay{q, peer}
	r := q.r
	r.Relayed = true
	m.out.Relays = append(m.out.Relays, Relay{m.nextID, peer, r})
	m.Counters.Relayed++
	return true
}

type relay struct {
	q    *question
	peer string
}

// RelayDone takes a peer's answer, or learns that there is none.
func (m *Member) RelayDone(now Now, id uint64, a UserAnswer, ok bool) {
	m.now = now
	r, known := m.relays[id]
	if !known {
		return
	}
	delete(m.relays, id)
	q := r.q
	q.waiting = false
	if !ok || a.Status == 503 {
		// What it said of itself is out of date; its next message says more.
		if p := m.peers[r.peer]; p != nil {
			p.msg.Serves = false
		}
	}
	switch {
	case q.over:
	case ok && a.Status != 503:
		m.answerUser(q, a)
	case !q.own && q.bad != nil:
		m.answerUser(q, *q.bad)
	}
}

// hurryQuestions asks a peer too about what takes longer than answers do: the
// state service may have stopped answering this member, which shows for certain
// only when a request's whole time is up. Both may carry a request out: each
// submission and cancellation is one conditional write, whoever sends it.
func (m *Member) hurryQuestions() {
	m.asked = slices.DeleteFunc(m.asked, func(q *question) bool { return q.over })
	for _, q := range m.asked {
		if m.now.Steady-q.at <= m.acc.Late() || m.hurry < 1 {
			break
		}
		if q.r.Kind == Query && m.hurry < 1+hurryKept {
			continue
		}
		if q.own && m.relay(q) {
			m.hurry--
		}
	}
}
