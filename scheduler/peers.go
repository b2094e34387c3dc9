package scheduler

import (
	"slices"

	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/indoubt"
	"github.com/grebedock/grebedock/planner"
)

func (m *Member) tickPeers() {
	if !m.acc.Synced() || m.now.Steady < m.nextPeer {
		return
	}
	m.nextPeer = m.now.Steady + ms(m.settings.SummaryS)
	msg := PeerMessage{From: m.p.Member, Wall: m.now.Wall, Serves: m.serves(), Tally: m.tally, Teams: m.tellUse()}
	if m.authority() {
		for _, s := range inOrder(m.mine) {
			if s.ready && !s.leaving {
				m.moveLeftovers(s)
				sr := ShardReport{Shard: s.name, Summary: m.summary(s), Running: m.counts(s), Disruption: s.disrupted.wants}
				sr.Needs = append(append(sr.Needs, s.needs...), s.foreseen...)
				for _, mc := range s.machines {
					if mc.returning {
						sr.Returns = append(sr.Returns, mc.id)
					}
				}
				msg.Shards = append(msg.Shards, sr)
				if m.p.Debug {
					m.logLoad(s)
				}
			}
		}
	}
	if holder := m.shards[m.p.Member].Holder; holder != m.p.Member && m.acc.Hold() != 0 {
		msg.Wants = holder
	}
	m.tellLead(&msg)
	m.out.Peers, m.out.Whole = &msg, m.turn()
	m.peers[m.p.Member] = &peerState{at: m.now.Steady, wall: m.now.Wall, msg: msg}
}

// wholeAtOnce is how many peers get a member's summaries with each message, by far its
// largest part. Beyond that they take turns: with a hundred peers, whole messages were 1.7 MB a
// second out and in. What decides at once, needs, returns, teams' figures, goes to all each time.
const wholeAtOnce = 16

// turn is which peers get the summaries this time; nil: all.
func (m *Member) turn() []string {
	turns := (len(m.p.Peers) + wholeAtOnce - 1) / wholeAtOnce
	if turns <= 1 {
		return nil
	}
	m.turns++
	var out []string
	for i, name := range m.members() {
		if name != m.p.Member && (i+m.turns)%turns == 0 {
			out = append(out, name)
		}
	}
	return out
}

// keepSummaries puts the last summaries of a peer's shards into a message that has none. What
// was taken of them stays taken.
func keepSummaries(msg *PeerMessage, last *peerState) {
	if last == nil {
		return
	}
	for i := range msg.Shards {
		sr := &msg.Shards[i]
		if k := slices.IndexFunc(last.msg.Shards, func(o ShardReport) bool { return o.Shard == sr.Shard }); k >= 0 {
			sr.Summary = last.msg.Shards[k].Summary
		}
	}
}

// Peer takes a peer's message.
func (m *Member) Peer(now Now, msg PeerMessage) {
	m.now = now
	if p := m.peers[msg.From]; p != nil && p.wall > msg.Wall {
		return // overtaken by a newer one
	}
	if msg.Brief {
		keepSummaries(&msg, m.peers[msg.From])
	}
	m.peers[msg.From] = &peerState{at: now.Steady, wall: msg.Wall, msg: msg}
	m.watch.Hear(now.Steady, msg.From, msg.Teams)
	if msg.Wants == m.p.Member {
		if s := m.mine[msg.From]; s != nil && s.name != m.p.Member {
			m.release(s)
		}
	}
}

// fresh is how long a peer's summary may guide a decision.
func (m *Member) fresh(p *peerState) bool {
	return p != nil && m.now.Steady-p.at < m.freshFor()
}

func (m *Member) freshFor() int64 { return 4 * ms(m.settings.SummaryS) }

// peerRoom is how many tasks of a job a peer's shard says that it can end by
// deadline, the least leftover first being the peer's own business. What is
// taken is used up until the peer speaks again.
func (m *Member) peerRoom(sr *ShardReport, j *Job, length, deadline int64, limit int, take bool) int {
	n := 0
	ask := j.ask()
	req := ask.Room()
	for i := range sr.Summary {
		f := &sr.Summary[i]
		if n >= limit {
			break
		}
		if f.Count <= 0 || !f.Room.Holds(req) {
			continue
		}
		kind := planner.ParseKind(f.Kind)
		if !m.catalog.Allowed(&ask, kind) {
			continue
		}
		each := length + m.catalog.Fetch(&ask, kind.Type)
		k := f.Tasks(req, deadline, each, limit-n)
		if take && k > 0 {
			queue := max(1, f.Tasks(req, deadline, each, int(min(f.Count, 1<<20))*j.Tasks)/int(f.Count))
			f.Count -= int64((k + queue - 1) / queue)
		}
		n += k
	}
	return n
}

// soon is by when a task must end that a peer is asked to start at once: its
// length and a share more, since summaries are a moment old.
func (m *Member) soon(j *Job, length int64) int64 {
	fetch := int64(0)
	for n := range m.types {
		fetch = max(fetch, m.typeFetch(j, n))
	}
	return m.now.Wall + fetch + length + min(length/4, ms(m.p.ReportS))
}

// peerOffer is room that a peer's shard has for a job.
type peerOffer struct {
	sr *ShardReport
	n  int
}

// peerOffers lists the peers' shards with room for a job, the one that is left
// with least first. All members see the same room and none hands back what it
// got, so each takes its part only: when four took all of it at once, the peer
// that had been idle was left with the longest queue.
func (m *Member) peerOffers(j *Job, length, deadline int64, limit int) []peerOffer {
	var out []peerOffer
	for name, p := range inOrder(m.peers) {
		if name == m.p.Member || !m.fresh(p) {
			continue
		}
		for i := range p.msg.Shards {
			sr := &p.msg.Shards[i]
			if m.shards[sr.Shard].Holder != name {
				continue
			}
			n := m.peerRoom(sr, j, length, deadline, limit*len(m.p.Peers), false)
			if n = (n + len(m.p.Peers) - 1) / len(m.p.Peers); n > 0 {
				out = append(out, peerOffer{sr, n})
			}
		}
	}
	slices.SortStableFunc(out, func(a, b peerOffer) int { return a.n - b.n })
	return out
}

func (m *Member) typeFetch(j *Job, typ string) int64 {
	a := j.ask()
	return m.catalog.Fetch(&a, typ)
}

// rangeLimit bounds the tasks of one range, so that its progress fits half a
// value: a bitmap in base64 takes a sixth of a byte a task.
func (m *Member) rangeLimit() int { return max(64, m.p.ValueBytes/2*6) }

// rangesLimit bounds the ranges of a job's record, a record of some fifty
// bytes each in a quarter of a value.
func (m *Member) rangesLimit() int { return max(8, m.p.ValueBytes/4/50) }

// homeOf is the shard that holds what is left of a new job.
func (m *Member) homeOf(j *Job) string {
	home, limited := m.homes[j.Team]
	if !limited || m.standsIn(home, j) {
		return m.p.Member
	}
	return home
}

// standsIn tells whether a job stays here though its team has another home: whoever
// holds that is not heard, and the part that stands here takes a task.
func (m *Member) standsIn(home string, j *Job) bool {
	holder := m.shards[home].Holder
	s := m.mine[m.p.Member]
	return m.p.Quota && s != nil && holder != m.p.Member && (holder == "" || !m.fresh(m.peers[holder])) &&
		m.books[j.Team].Part(s.name).Fits(amountsOf(j.Request))
}

// allot decides where the tasks of a new job go: own machines before peers'.
// Room that is free now goes before a place in a queue, here or there: a task
// that waits while a peer's machine is idle only risks its deadline. What
// neither can end in time is held by this member.
func (m *Member) allot(j *Job) []Range {
	own := m.p.Member
	home, limited := m.homeOf(j), m.homes[j.Team] != ""
	left := j.Tasks
	type share struct {
		shard string
		n     int
	}
	var shares []share
	rest := left
	var look *planner.Placing
	tmp := &job{rec: jobRecord{Job: *j, Accepted: m.now.Wall}}
	w := &work{job: tmp, rng: Range{0, j.Tasks, own, false}, shard: own}
	g := m.newGroup(w, 0)
	length, tight := g.Length, g.Tight
	s := m.mine[own]
	if s != nil && s.ready && m.authority() && home == own {
		// The last plan is asked, and keeps what it promises here until the
		// next one: a burst of submissions must not cost a plan each.
		g.Left = min(left, m.teamCopies(s, j, availability.Room{}))
		look = s.board.Look(&g.Group)
	}
	here := func(mode planner.Mode) {
		if look != nil {
			before := g.Left
			look.Pass(tight, mode)
			rest -= before - g.Left
		}
	}
	there := func(deadline int64) {
		if rest <= 0 || limited || j.whole() {
			return
		}
		for _, o := range m.peerOffers(j, length, deadline, rest) {
			if n := m.peerRoom(o.sr, j, length, deadline, min(o.n, rest), true); n > 0 {
				shares = append(shares, share{o.sr.Shard, n})
				rest -= n
			}
			if rest <= 0 {
				return
			}
		}
	}
	here(planner.Fresh)
	there(min(tight, m.soon(j, length)))
	here(planner.Queued)
	there(tight)
	for _, sh := range shares {
		left -= sh.n
	}
	shares = append([]share{{home, left}}, shares...)
	var out []Range
	lo := 0
	for _, sh := range shares {
		for sh.n > 0 {
			n := min(sh.n, m.rangeLimit())
			out = append(out, Range{lo, lo + n, sh.shard, sh.shard != home})
			lo += n
			sh.n -= n
		}
	}
	return out
}

// moveLeftovers hands tasks that no machine here can end in time to a peer
// with room, by a conditional write of the job's record. What came from a peer
// stays, and so does a job whose tasks begin once and may have begun: after a
// claim some of them may be lost, which only the range that had them knows.
// Moved before all machines had spoken, a lost task began again at the peer.
func (m *Member) moveLeftovers(s *shard) {
	movable := func(w *work) bool {
		j := w.job
		return m.jobs[j.rec.Job.ID] == j && !j.busy && !j.rec.Job.whole() && len(j.rec.Ranges) < m.rangesLimit() &&
			!(j.rec.Job.Once && j.rec.Begun) && !w.rng.Moved && !w.moving && !w.writing && m.lendable(s, j.rec.Job.Team)
	}
	for _, g := range s.queue {
		// What waits in a queue here may start at once there, but for what others are
		// stopped for here. A first task that goes ahead moves with the rest of its job.
		if g.First && g.w.pending() > 1 {
			continue
		}
		if n := g.Waiting - s.pledged[g.w]; n > 0 && movable(g.w) {
			m.moveTail(s, g.w, n, g.Length, m.soon(g.j, g.Length))
		}
	}
	for _, need := range s.needs {
		j := m.jobs[need.Job]
		if need.SpotOnly || j == nil {
			continue
		}
		for _, w := range inOrder(j.works) {
			if w.shard == s.name && movable(w) {
				m.moveTail(s, w, need.Count, need.Length, need.Deadline)
				break
			}
		}
	}
}

// worthMoving is how small a share of what waits may go by a move of its own:
// each costs a write now and one at its end.
const worthMoving = 8

// charged tells whether a task was stopped to empty its machine and does not run
// again yet: that it does is seen here alone.
func (s *shard) charged(w *work, i int) bool {
	a := s.disrupted.account
	return a != nil && a.IsOpen(taskName(w.job.rec.Job.ID, w.rng.Lo+i))
}

func (m *Member) moveTail(s *shard, w *work, count int, length, deadline int64) {
	tail := 0
	for i := w.size() - 1; i >= 0 && tail < count && !w.done.has(i) && !w.busy.has(i) && !s.charged(w, i); i-- {
		tail++
	}
	if tail == 0 {
		return
	}
	j := w.job
	var best peerOffer
	for _, o := range m.peerOffers(&j.rec.Job, length, deadline, tail) {
		if o.n > best.n {
			best = o
		}
	}
	if best.n == 0 || best.n < tail/worthMoving {
		return
	}
	n := m.peerRoom(best.sr, &j.rec.Job, length, deadline, min(best.n, tail), true)
	to := best.sr.Shard
	rec := j.rec
	rec.Ranges = nil
	for _, r := range j.rec.Ranges {
		if r.Lo != w.rng.Lo {
			rec.Ranges = append(rec.Ranges, r)
			continue
		}
		if n < w.size() {
			rec.Ranges = append(rec.Ranges, Range{r.Lo, r.Hi - n, r.Shard, r.Moved})
		}
		rec.Ranges = append(rec.Ranges, Range{r.Hi - n, r.Hi, to, true})
	}
	m.log(Debug, "tasks moved", "job", j.rec.Job.ID, "tasks", n, "to", to)
	m.sendMove(s, w, j, rec, j.rev)
}

// sendMove writes the move until its outcome is certain. While it is not, none
// of the range starts here: the tail may be the peer's already. A further try that
// was refused, or a conflict that could not be read back, once counted as the end
// of it; the first try was carried out after that, and the tail ran in both places.
func (m *Member) sendMove(s *shard, w *work, j *job, rec jobRecord, rev uint64) {
	id := j.rec.Job.ID
	key := jobKey(id)
	w.moving, j.busy = true, true
	doubt := &indoubt.Write{Rev: rev}
	changes := []Change{{Key: key, Value: encode(rec)}}
	over := func() {
		w.moving, j.busy = false, false
		s.dirty = true
	}
	m.settleWrite(key, settling{
		holds: func() bool { return m.jobs[id] == j && m.mine[s.name] == s },
		send: func(done func(StoreResult)) {
			m.txn(Answers, []Guard{{shardKey(s.name), s.token}, {key, rev}}, changes, func(r StoreResult) {
				if r.Outcome == OK {
					m.Counters.Moved++
				}
				done(r)
			})
		},
		ended: doubt.Ended,
		read: func(r StoreResult) indoubt.Next {
			if r.Outcome == OK && len(r.Items) == 1 {
				return doubt.Read(OK, r.Items[0].Rev)
			}
			return doubt.Read(r.Outcome, 0)
		},
		settled: over,
		left:    over,
	})
}

// logLoad tells, for those who read debug logs, how full a shard's machines
// are.
func (m *Member) logLoad(s *shard) {
	var spot, ordinary, booting, running, fetching float64
	for _, mc := range s.machines {
		if mc.returning {
			continue
		}
		cpus := roomOf(m.types[mc.rec.Type]).CPUs
		switch {
		case !mc.Up:
			booting += cpus
		case mc.rec.Spot:
			spot += cpus
		default:
			ordinary += cpus
		}
		for _, a := range mc.byKey {
			if a.running && !a.exited {
				running += a.job.Request.CPUs
			} else if !a.exited {
				fetching += a.job.Request.CPUs
			}
		}
	}
	waiting := 0.0
	for _, g := range m.groups(s) {
		waiting += float64(g.Left) * g.j.Request.CPUs
	}
	m.log(Debug, "load", "shard", s.name, "spot", spot, "ordinary", ordinary, "booting", booting, "running", running, "fetching", fetching, "waiting", waiting, "needs", len(s.needs))
}
