package scheduler

import (
	"sort"
	"strings"

	"github.com/grebedock/grebedock/availability"
)

func (m *Member) tickPeers() {
	if !m.synced || m.now.Steady < m.nextPeer {
		return
	}
	m.nextPeer = m.now.Steady + ms(m.settings.SummaryS)
	msg := PeerMessage{From: m.p.Member, Wall: m.now.Wall}
	if m.authority() {
		for _, s := range inOrder(m.mine) {
			if s.ready && !s.leaving {
				m.shareTeams(s)
				m.moveLeftovers(s)
				sr := ShardReport{Shard: s.name, Summary: m.summary(s), Running: m.counts(s)}
				sr.Needs = append(sr.Needs, s.needs...)
				for _, mc := range s.machines {
					if mc.returning {
						sr.Returns = append(sr.Returns, mc.id)
					}
				}
				msg.Shards = append(msg.Shards, sr)
				m.logLoad(s)
			}
		}
	}
	if holder := m.shards[m.p.Member].Holder; holder != m.p.Member && m.hold != 0 {
		msg.Wants = holder
	}
	m.out.Peers = &msg
	m.peers[m.p.Member] = &peerState{at: m.now.Steady, wall: m.now.Wall, msg: msg}
}

// Peer takes a peer's message.
func (m *Member) Peer(now Now, msg PeerMessage) {
	m.now = now
	if p := m.peers[msg.From]; p != nil && p.wall > msg.Wall {
		return // overtaken by a newer one
	}
	m.peers[msg.From] = &peerState{at: now.Steady, wall: msg.Wall, msg: msg}
	if msg.Wants == m.p.Member {
		if s := m.mine[msg.From]; s != nil && s.name != m.p.Member {
			m.release(s)
		}
	}
}

// fresh is how long a peer's summary may guide a decision.
func (m *Member) fresh(p *peerState) bool {
	return p != nil && m.now.Steady-p.at < 4*ms(m.settings.SummaryS)
}

// peerRoom is how many tasks of a job a peer's shards say they can end by
// deadline, the least leftover first being the peer's own business.
func (m *Member) peerRoom(sr *ShardReport, j *Job, length, deadline int64) int {
	n := 0
	req := withoutDisk(j.Request)
	for i := range sr.Summary {
		f := &sr.Summary[i]
		spot, zone, typ := splitKind(f.Kind)
		if !m.allowed(j, typ, zone, spot) {
			continue
		}
		n += f.Tasks(req, deadline, length+m.typeFetch(j, typ), j.Tasks)
	}
	return min(n, j.Tasks)
}

func splitKind(k string) (spot bool, zone, typ string) {
	parts := strings.SplitN(k, "|", 3)
	if len(parts) != 3 {
		return false, "", ""
	}
	return parts[0] == "s", parts[1], parts[2]
}

func (m *Member) typeFetch(j *Job, typ string) int64 {
	t := m.types[typ]
	if t == nil || j.Image == "" || t.FetchGBps <= 0 {
		return 0
	}
	return ms(j.Request.DiskGB / t.FetchGBps)
}

// rangeLimit bounds the tasks of one range, so that its progress fits half a
// value: a bitmap in base64 takes a sixth of a byte a task.
func (m *Member) rangeLimit() int { return max(64, m.p.ValueBytes/2*6) }

// rangesLimit bounds the ranges of a job's record, a record of some fifty
// bytes each in a quarter of a value.
func (m *Member) rangesLimit() int { return max(8, m.p.ValueBytes/4/50) }

// allot decides where the tasks of a new job go: own machines before peers'.
// What neither can end in time is held by this member.
func (m *Member) allot(j *Job) []Range {
	own := m.p.Member
	length := m.length(j)
	tight, due, _ := m.aims(j, m.now.Wall, length)
	left := j.Tasks
	type share struct {
		shard string
		n     int
	}
	var shares []share
	mineN := 0
	if s := m.mine[own]; s != nil && s.ready && m.authority() {
		// The last plan is asked, and keeps what it promises here until the
		// next one: a burst of submissions must not cost a plan each.
		tmp := &job{rec: jobRecord{Job: *j, Accepted: m.now.Wall}}
		w := &work{job: tmp, rng: Range{0, j.Tasks, own, false}, shard: own}
		g := &group{w: w, j: &tmp.rec.Job, left: min(left, m.teamCopies(s, j)), length: length, tight: tight, due: due}
		_, all := m.order(s.pms, g)
		for _, pm := range all {
			if g.left == 0 {
				break
			}
			n, _, _ := m.fit(pm, g, tight, min(g.left, m.zoneRoom(pm, g)), every)
			g.left -= n
			mineN += n
		}
	}
	if mineN < left && !j.whole() {
		type offer struct {
			shard string
			n     int
			p     *peerState
		}
		var offers []offer
		for name, p := range inOrder(m.peers) {
			if name == own || !m.fresh(p) {
				continue
			}
			for i := range p.msg.Shards {
				sr := &p.msg.Shards[i]
				if n := m.peerRoom(sr, j, length, tight); n > 0 && m.shards[sr.Shard].Holder == name {
					offers = append(offers, offer{sr.Shard, n, p})
				}
			}
		}
		// The one that is left with least goes first.
		sort.Slice(offers, func(i, k int) bool {
			if offers[i].n != offers[k].n {
				return offers[i].n < offers[k].n
			}
			return offers[i].shard < offers[k].shard
		})
		rest := left - mineN
		for _, o := range offers {
			if rest <= 0 {
				break
			}
			n := min(o.n, rest)
			shares = append(shares, share{o.shard, n})
			rest -= n
		}
	}
	for _, sh := range shares {
		left -= sh.n
	}
	shares = append([]share{{own, left}}, shares...)
	var out []Range
	lo := 0
	for _, sh := range shares {
		for sh.n > 0 {
			n := min(sh.n, m.rangeLimit())
			out = append(out, Range{lo, lo + n, sh.shard, sh.shard != own})
			lo += n
			sh.n -= n
		}
	}
	return out
}

// moveLeftovers hands tasks that no machine here can end in time to a peer
// with room, by a conditional write of the job's record. What came from a peer
// stays.
func (m *Member) moveLeftovers(s *shard) {
	for _, need := range s.needs {
		j := m.jobs[need.Job]
		if need.SpotOnly || j == nil || j.busy || j.rec.Job.whole() || len(j.rec.Ranges) >= m.rangesLimit() {
			continue
		}
		for _, w := range inOrder(j.works) {
			if w.shard != s.name || w.rng.Moved || w.moving || w.writing {
				continue
			}
			m.moveTail(s, w, need)
			break
		}
	}
}

func (m *Member) moveTail(s *shard, w *work, need Need) {
	tail := 0
	for i := w.size() - 1; i >= 0 && tail < need.Count && !w.done.has(i) && !w.busy.has(i); i-- {
		tail++
	}
	if tail == 0 {
		return
	}
	j := w.job
	best, room := "", 0
	for name, p := range inOrder(m.peers) {
		if name == m.p.Member || !m.fresh(p) {
			continue
		}
		for i := range p.msg.Shards {
			sr := &p.msg.Shards[i]
			if m.shards[sr.Shard].Holder != name {
				continue
			}
			n := m.peerRoom(sr, &j.rec.Job, need.Length, need.Deadline)
			if n > 0 && (best == "" || min(n, tail) > min(room, tail) || min(n, tail) == min(room, tail) && n < room) {
				best, room = sr.Shard, n
			}
		}
	}
	if best == "" {
		return
	}
	n := min(room, tail)
	// The promise is used up until the peer speaks again.
	for _, p := range m.peers {
		for i := range p.msg.Shards {
			if p.msg.Shards[i].Shard == best {
				p.msg.Shards[i].Summary = availability.Summary{}
			}
		}
	}
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
		rec.Ranges = append(rec.Ranges, Range{r.Hi - n, r.Hi, best, true})
	}
	m.log(Debug, "tasks moved", "job", j.rec.Job.ID, "tasks", n, "to", best)
	m.sendMove(s, w, j, rec, j.rev)
}

// sendMove writes the move until its outcome is certain. While it is not, none
// of the range starts here: the tail may be the peer's already.
func (m *Member) sendMove(s *shard, w *work, j *job, rec jobRecord, rev uint64) {
	id := j.rec.Job.ID
	w.moving, j.busy = true, true
	changes := []Change{{Key: jobKey(id), Value: encode(rec)}}
	guards := []Guard{{shardKey(s.name), s.token}, {jobKey(id), rev}}
	m.txn(Answers, guards, changes, func(r StoreResult) {
		settle := func() {
			w.moving, j.busy = false, false
			s.dirty = true
		}
		switch r.Outcome {
		case OK:
			m.Counters.Moved++
			settle()
		case Unknown, Conflict:
			certain := r.Outcome == Conflict
			m.reread(jobKey(id), func(r StoreResult) {
				if certain || j.rev != rev || m.jobs[id] != j || m.mine[s.name] != s {
					settle()
					return
				}
				m.sendMove(s, w, j, rec, rev)
			})
		default:
			settle()
		}
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
		case !mc.up:
			booting += cpus
		case mc.rec.Spot:
			spot += cpus
		default:
			ordinary += cpus
		}
		for _, a := range mc.attempts {
			if a.running && !a.exited {
				running += a.job.Request.CPUs
			} else if !a.exited {
				fetching += a.job.Request.CPUs
			}
		}
	}
	waiting := 0.0
	for _, g := range m.groups(s) {
		waiting += float64(g.left) * g.j.Request.CPUs
	}
	m.log(Debug, "load", "shard", s.name, "spot", spot, "ordinary", ordinary, "booting", booting, "running", running, "fetching", fetching, "waiting", waiting, "needs", len(s.needs))
}
