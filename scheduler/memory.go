package scheduler

import (
	"encoding/json"
	"math"

	"github.com/grebedock/grebedock/access"
	"github.com/grebedock/grebedock/reconcile"
)

// What reports do not say and a claim after ours would miss is kept in one value a
// shard beside the pages of progress: how long classes of jobs take against their
// owners' estimates, and what machines hold that went silent (reconcile.Book).

// memoryRecord is that value.
type memoryRecord struct {
	Lengths map[string]learnt         `json:"lengths,omitempty"`
	Silent  map[string]reconcile.Note `json:"silent,omitempty"`
}

// learnt is a class's correction in a memoryRecord.
type learnt struct {
	Ratio float64 `json:"r"`
	Seen  int     `json:"n"`
}

// memory is when a shard's is written and what was.
type memory struct {
	page    page
	next    int64            // lengths alone are not worth a write before
	lengths map[string]int64 // by class: the ratio that was written, in hundredths
	quiet   int64            // no notes before: we stood still ourselves
	ticked  int64
}

// memoryKey is a shard's value. Pages are digits or hold a slash.
func memoryKey(shard string) string { return progressPrefix + shard + "/memory" }

// memoryClasses bounds the classes that are remembered, and memoryPart is which
// part of a value silent machines' notes may take.
const (
	memoryClasses = 64
	memoryPart    = 2
)

// recall takes what an earlier claim wrote down.
func (m *Member) recall(s *shard, it Item) {
	s.memory.page.rev = it.Rev
	var rec memoryRecord
	if err := json.Unmarshal(it.Value, &rec); err != nil {
		m.log(Warn, "record unreadable", "key", it.Key, "error", err)
		return
	}
	for class, l := range rec.Lengths {
		if c := m.corrected[class]; (c == nil || c.seen < l.Seen) && l.Ratio > 0 && l.Ratio <= 5 {
			m.corrected[class] = &correction{ratio: l.Ratio, seen: l.Seen}
		}
	}
	s.squares.Book.Restore(rec.Silent)
	for id := range rec.Silent {
		if mc := m.machines[id]; mc == nil || mc.rec.Shard != s.name {
			s.squares.Book.Remove(id)
		}
	}
}

// lengthsNews tells whether some class's length is off what was written by a
// twentieth.
func (m *Member) lengthsNews(s *shard) bool {
	for class, c := range m.corrected {
		if was, ok := s.memory.lengths[class]; !ok || math.Abs(float64(was)-c.ratio*100) > 5 {
			return true
		}
	}
	return false
}

// writeMemory writes a shard's memory when it has news; with recovery off, when
// notes that were made while it was on are out of date. What it says of silent
// machines holds until another record is certain to have taken its place.
func (m *Member) writeMemory(s *shard) {
	me, now := &s.memory, m.now.Steady
	if me.page.writing || now < me.page.next || !s.squares.Book.Dirty() && (!m.p.Recovery || now < me.next || !m.lengthsNews(s)) {
		return
	}
	rec := memoryRecord{Lengths: map[string]learnt{}, Silent: s.squares.Book.Record()}
	written := map[string]int64{}
	for class, c := range inOrder(m.corrected) {
		if len(rec.Lengths) < memoryClasses && len(class) < 64 {
			rec.Lengths[class] = learnt{math.Round(c.ratio*1000) / 1000, c.seen}
		}
		written[class] = int64(math.Round(c.ratio * 100))
	}
	me.next = now + ms(m.p.LeaseS)
	m.writeOwn(s, memoryKey(s.name), &me.page, rec, m.progressEvery()/2, func(ok bool) {
		if !ok {
			s.squares.Book.Failed()
			return
		}
		me.lengths = written
		if len(s.squares.Book.Stored(rec.Silent)) > 0 {
			s.dirty = true
		}
	})
}

// noteSilent writes down what machines hold that missed their reports, so that a
// claim after ours waits for them with no more than that. It is not done where we
// may be the silent ones: after standing still, without the store, or when it is
// more than a few.
func (m *Member) noteSilent(s *shard) {
	me, now := &s.memory, m.now.Steady
	if now-me.ticked > m.reportGap()/4 {
		me.quiet = now + m.reportGap()
	}
	me.ticked = now
	if !m.p.Recovery || now < me.quiet || m.acc.Link(now) != access.Up {
		return
	}
	var silent []*machine
	for _, mc := range s.machines {
		if mc.Up && mc.squared && now-mc.Last > m.reportGap() {
			if n, noted := s.squares.Book.Holds(mc.id); !noted || mc.Standing() == reconcile.Silent && len(n.Ranges) > 0 {
				silent = append(silent, mc)
			}
		}
	}
	if len(silent) > len(s.machines)/reconcile.Few {
		return
	}
	for _, mc := range silent {
		if mc.strays > 0 && mc.Squared() {
			continue
		}
		n := reconcile.Note{Use: map[string]reconcile.Amounts{}}
		for _, a := range mc.byKey {
			if !a.exited {
				n.Ranges = append(n.Ranges, a.work.name())
				n.Use[a.job.Team] = n.Use[a.job.Team].Add(reconcile.Amounts{CPUs: a.job.Request.CPUs, GPUs: a.job.Request.GPUs})
			}
		}
		s.squares.Book.Write(mc.id, n, m.p.ValueBytes/memoryPart)
	}
}

// tickSquares lets the squaring of a shard go on: machines that never speak are
// given up, those that are slow to are asked, and the line's pace follows what runs.
func (m *Member) tickSquares(s *shard) {
	now := m.now.Steady
	for _, u := range s.squares.GiveUp(now) {
		if mc := m.machines[u.ID]; mc != nil {
			m.drain(s, mc, "silent since the claim")
		}
	}
	m.askMachines(s)
	m.noteSilent(s)
	m.writeMemory(s)
	unseen := len(s.squares.Unseen())
	if unseen == 0 && !s.squared {
		s.squared = true
		m.logSquared(s)
	}
	line := &s.squares.Line
	if !line.On(now) {
		return
	}
	if now-s.pacedAt >= 500 {
		s.pacedAt = now
		ends, seen := 0.0, 0
		for _, mc := range s.machines {
			if mc.Up && mc.Squared() {
				seen++
			}
			for _, a := range mc.byKey {
				if !a.exited {
					ends += 1 / float64(max(a.length, 1))
				}
			}
		}
		line.Pace(ends * float64(seen+unseen) / float64(max(seen, 1)))
	}
	if unseen == 0 && now-s.squares.Since() > 2*m.reportGap() && line.Idle(now) {
		line.End()
	}
}

// logSquared tells how a claim's squaring went.
func (m *Member) logSquared(s *shard) {
	var adopted, stopped, counted uint64
	for p := range s.squares.Tally {
		for _, n := range s.squares.Tally[p][reconcile.Live : reconcile.Live+1] {
			if reconcile.Place(p) == reconcile.Free {
				adopted += n
			} else {
				stopped += n
			}
		}
	}
	for _, p := range []reconcile.Place{reconcile.Free, reconcile.Busy, reconcile.Moving} {
		counted += s.squares.Tally[p][reconcile.Finished]
	}
	m.log(Info, "shard squared", "shard", s.name, "ms", m.now.Steady-s.squares.Since(), "machines", len(s.machines),
		"adopted", adopted, "results", counted, "stopped", stopped)
}
