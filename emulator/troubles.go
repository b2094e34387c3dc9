package emulator

import (
	"slices"
	"strings"

	"github.com/grebedock/grebedock/scheduler"
)

// The troubles that the protocol's page names under "Delayed messages" and
// "Outages and cuts", one at a time or together: each begins now and lasts for so
// many milliseconds. What faults.go has beside them is cuts that hold packets,
// outages, ends of members and lost machines.

// share of something, until a time.
type share struct {
	of    float64
	until int64
}

func (s share) draws(w *World) bool {
	return s.until > w.Now && w.Rand.Float64() < s.of
}

// LateWrites has that share of transactions get no answer and be carried out 2 to
// 12 s later, after newer ones.
func (w *World) LateWrites(of float64, ms int64) { w.lateWrites = share{of, w.Now + ms} }

// LateReports has a copy of that share of the workers' reports arrive again, from
// 2 s to well over a lease later.
func (w *World) LateReports(of float64, ms int64) { w.lateReports = share{of, w.Now + ms} }

// LostAnswers has that share of transactions be carried out at once, and only their
// answer lost.
func (w *World) LostAnswers(of float64, ms int64) { w.lostAnswers = share{of, w.Now + ms} }

// losesAnswer takes the answer to a transaction that was carried out, or refused for its
// conditions.
func (w *World) losesAnswer(m *Member, op scheduler.StoreOp, r scheduler.StoreResult) bool {
	worked := r.Outcome == scheduler.OK
	if op.Kind != scheduler.StoreTxn || !w.lostAnswers.draws(w) && !(worked && w.LoseIf != nil && w.LoseIf(m, op)) {
		return false
	}
	w.LostAnswerCount++
	if worked {
		for _, c := range op.Changes {
			w.Lost[KindOf(c.Key)]++
		}
	}
	return true
}

// LateCommands has that share of direct commands be held up for 2 to 16 s and carried
// out once, unanswered, if token and session still match.
func (w *World) LateCommands(of float64, ms int64) { w.lateOrders = share{of, w.Now + ms} }

// connectMS is how long a connection attempt takes that fails.
const connectMS = 500

// Mute has a machine reach no member, while direct commands reach it.
func (w *World) Mute(h *Host, ms int64) { h.muteTill = max(h.muteTill, w.Now+ms) }

// IsMute tells whether the machine can open no connection to a member.
func (h *Host) IsMute(w *World) bool { return h.muteTill > w.Now }

// Deafen has a machine hear nothing while its reports arrive: answers and direct
// commands to it are lost.
func (w *World) Deafen(h *Host, ms int64) { h.deafTill = max(h.deafTill, w.Now+ms) }

// Sever cuts a member off from the state service and from the other members, not
// from its workers or users. What it sends meanwhile is held, or, with refuse,
// refused by the state service and lost between members.
func (w *World) Sever(m *Member, ms int64, refuse bool) {
	if refuse {
		w.Away(m.Name, ms)
	} else {
		w.Cuts = append(w.Cuts, Cut{A: m.Name, B: "store", Until: w.Now + ms})
	}
	for _, o := range w.Members {
		if o != m {
			w.Cuts = append(w.Cuts, Cut{A: m.Name, B: o.Name, Until: w.Now + ms, Loses: refuse})
		}
	}
}

// CutZoneWith cuts the machines of a zone off together with a member: they reach each
// other, and nobody else. What is sent meanwhile is held, or, with loses, lost.
func (w *World) CutZoneWith(zone string, m *Member, ms int64, loses bool) {
	cut := func(a, b string) { w.Cuts = append(w.Cuts, Cut{A: a, B: b, Until: w.Now + ms, Loses: loses}) }
	cut(m.Name, "store")
	cut(m.Name, "cloud")
	for _, o := range w.Members {
		if o != m {
			cut(m.Name, o.Name)
		}
	}
	for _, id := range w.IDs {
		h := w.Hosts[id]
		if h.Gone {
			continue
		}
		if h.Rental.Zone != zone {
			cut("w"+id, m.Name)
			continue
		}
		for _, o := range w.Members {
			if o != m {
				cut("w"+id, o.Name)
			}
		}
	}
}

// SlowState has the state service's messages take up to so much longer, each its
// own time, so that answers overtake each other.
func (w *World) SlowState(by, ms int64) { w.slowBy, w.slowTill = by, w.Now+ms }

// StandStill has a member's process stand still: what it decided last leaves when
// it goes on, and what came meanwhile is there at once.
func (w *World) StandStill(m *Member, ms int64) { m.stillTill = max(m.stillTill, w.Now+ms) }

// HoldCommands has direct commands to a machine, or their answers, held up.
func (w *World) HoldCommands(h *Host, ms int64, answers bool) {
	if answers {
		h.answersTill = w.Now + ms
	} else {
		h.commandsTill = w.Now + ms
	}
}

// RunsAt sets how fast a member's steady clock runs against true time, before it starts.
func (m *Member) RunsAt(rate float64) { m.drift = rate }

// troubled tells whether something is wrong that keeps members from answering users.
func (w *World) troubled() bool {
	for _, until := range []int64{w.lateWrites.until, w.lateReports.until, w.lostAnswers.until, w.slowTill} {
		if until > w.Now {
			return true
		}
	}
	for _, until := range w.Outage {
		if until > w.Now {
			return true
		}
	}
	for _, l := range w.Lags {
		if l.Until > w.Now {
			return true
		}
	}
	for _, c := range w.Cuts {
		if c.Until > w.Now {
			return true
		}
	}
	for _, m := range w.Members {
		if m.Core == nil || m.stillTill > w.Now {
			return true
		}
	}
	return false
}

// forgottenMS is for how long, once all troubles are over, a job may be one about which
// no question is answered.
const forgottenMS = 75_000

// checkForgotten looks at each job by itself, however others fare.
func (w *World) checkForgotten() {
	if w.troubled() {
		w.calmSince = w.Now
		return
	}
	if w.Unchecked || w.Now-w.calmSince <= forgottenMS {
		return
	}
	for _, id := range w.Order {
		if j := w.Jobs[id]; j.Accepted && !j.Cancel && w.Now-max(j.answeredAt, j.AcceptedAt) > forgottenMS {
			w.fail("forgotten", "no question about %s is answered for %d ms", id, w.Now-max(j.answeredAt, j.AcceptedAt))
		}
	}
}

// held is how much longer a message takes for a process that stands still at one
// of its ends, or for a state service that is slow.
func (w *World) held(from, to string) int64 {
	d := int64(0)
	for _, m := range w.Members {
		if (m.Name == from || m.Name == to) && m.stillTill > w.Now {
			d = max(d, m.stillTill-w.Now+w.Rand.Int64N(5))
		}
	}
	if w.slowTill > w.Now && (from == "store" || to == "store") {
		d += w.Rand.Int64N(w.slowBy)
	}
	return d
}

// KindOf is what a key holds: the part of its name that all of its kind share.
func KindOf(key string) string {
	parts := strings.SplitAfterN(key, "/", 3)
	if parts[0] == "l/" && len(parts) == 3 {
		return parts[0] + parts[1]
	}
	return parts[0]
}

// lateWrite takes a transaction that is carried out late and gets no answer.
func (w *World) lateWrite(m *Member, op scheduler.StoreOp) bool {
	if op.Kind != scheduler.StoreTxn || w.away(m.Name) || !w.lateWrites.draws(w) && !(w.LateIf != nil && w.LateIf(m, op)) {
		return false
	}
	// It has the service already: a refusal of its sender no longer stops it, only an
	// outage holds it up.
	var work func()
	work = func() {
		if wait := w.Outage["all"] - w.Now; wait > 0 {
			w.After(wait+w.Rand.Int64N(50), work)
			return
		}
		if r, _ := w.State.Do(w.Now, op); r.Outcome == scheduler.OK && len(op.Changes) > 0 {
			for _, c := range op.Changes {
				w.Late[KindOf(c.Key)]++
			}
			w.Tell("world: a late write of %s works: %v", m.Name, op.Changes[0].Key)
		}
	}
	w.After(2000+w.Rand.Int64N(10_000), work)
	return true
}

// lateReport brings a copy of a report again, to the member that it went to.
func (w *World) lateReport(h *Host, m *Member, r scheduler.Report) {
	if !w.lateReports.draws(w) {
		return
	}
	epoch := m.epoch
	w.After(2000+w.Rand.Int64N(int64(w.Params.LeaseS*1500)), func() {
		if m.Core == nil || w.Refused != nil && w.Refused(m.Name) {
			return
		}
		w.Copies["all"]++
		if r.Session < h.Worker.Session {
			w.Copies["of an earlier session"]++
		}
		if epoch != m.epoch {
			w.Copies["after an end of the member"]++
		}
		m.replies++ // nobody waits for the answer
		m.Core.Report(m.Clock(), m.replies, r)
		m.drain()
	})
}

// runLate carries out commands that were held up on their way; nobody is answered.
func (w *World) runLate(h *Host, d scheduler.Do) {
	var run func()
	run = func() {
		switch {
		case !h.Up || h.Gone:
		case h.HungTill > w.Now:
			w.After(h.HungTill-w.Now+1, run)
		default:
			w.Copies["late commands"]++
			h.Worker.Do(h.Clock(w), d)
		}
	}
	w.After(2000+w.Rand.Int64N(14_000), run)
}

// keptReport is a copy of a worker's report.
type keptReport struct {
	h *Host
	r scheduler.Report
}

// keptReportsMost bounds the copies that wait for a claim: later ones replace the oldest.
const keptReportsMost = 60

// ReportsForNextClaim has a copy of that share of the workers' reports kept until a member
// claims a shard, or the lead, and then arrive at every member.
func (w *World) ReportsForNextClaim(of float64, ms int64) { w.nextReports = share{of, w.Now + ms} }

// keepReport keeps a copy of a report for the next claim.
func (w *World) keepReport(h *Host, r scheduler.Report) {
	if !w.nextReports.draws(w) {
		return
	}
	if len(w.keptReports) == keptReportsMost {
		w.keptReports = slices.Delete(w.keptReports, 0, 1)
	}
	w.keptReports = append(w.keptReports, keptReport{h, r})
}

// noteClaim sees a claim that the state service has carried out, and lets the kept
// copies of reports arrive.
func (w *World) noteClaim(m *Member, op scheduler.StoreOp, r scheduler.StoreResult) {
	if len(w.keptReports)+len(w.heldReports) == 0 || op.Kind != scheduler.StoreTxn || r.Outcome != scheduler.OK {
		return
	}
	claims := slices.ContainsFunc(op.Changes, func(c scheduler.Change) bool {
		return c.Value != nil && (KindOf(c.Key) == "l/s/" || c.Key == "l/lead")
	})
	if !claims {
		return
	}
	if w.newHolders == nil {
		w.newHolders = map[string]bool{}
	}
	w.newHolders[m.Name] = true
	kept := w.keptReports
	w.keptReports = nil
	w.allArrive(kept, "at a claim")
}

// allArrive brings reports to every member within moments.
func (w *World) allArrive(kept []keptReport, when string) {
	for _, k := range kept {
		for _, m := range w.Members {
			w.After(w.Rand.Int64N(400), func() { w.copyArrives(m, k, when) })
		}
	}
}

// HoldReports has that share of the workers' reports held back, unanswered, until a member
// that claimed a shard, or the lead, has told a worker to do something. They arrive at every
// member then.
func (w *World) HoldReports(of float64, ms int64) { w.holdReports = share{of, w.Now + ms} }

// holdReport tells whether a report is held back.
func (w *World) holdReport(h *Host, r scheduler.Report) bool {
	if !w.holdReports.draws(w) {
		return false
	}
	if len(w.heldReports) == keptReportsMost {
		w.heldReports = slices.Delete(w.heldReports, 0, 1)
	}
	w.heldReports = append(w.heldReports, keptReport{h, r})
	return true
}

// noteActs sees whether a member that claimed something tells workers what to do for the
// first time, and lets the reports arrive that were held until then.
func (w *World) noteActs(m *Member, o *scheduler.Outputs) {
	if !w.newHolders[m.Name] {
		return
	}
	acts := slices.ContainsFunc(o.Do, func(d scheduler.Do) bool { return len(d.Commands) > 0 })
	for _, a := range o.Workers {
		acts = acts || len(a.Commands) > 0
	}
	if !acts {
		return
	}
	delete(w.newHolders, m.Name)
	held := w.heldReports
	w.heldReports = nil
	w.allArrive(held, "after a new holder acted")
}

// copyArrives brings a report to a member; nobody waits for the answer.
func (w *World) copyArrives(m *Member, k keptReport, when string) {
	if m.Core == nil || w.Refused != nil && w.Refused(m.Name) {
		return
	}
	w.Copies[when]++
	if k.r.Session < k.h.Worker.Session {
		w.Copies["of an earlier session "+when]++
	}
	m.replies++
	m.Core.Report(m.Clock(), m.replies, k.r)
	m.drain()
}

// SomeUp does something to a share of the machines that are up.
func (w *World) SomeUp(of float64, f func(*Host)) {
	for _, id := range w.IDs {
		if h := w.Hosts[id]; h.Up && !h.Gone && w.Rand.Float64() < of {
			f(h)
		}
	}
}

// EndAll ends every member; they are back some three seconds later, not together.
func (w *World) EndAll() {
	for _, m := range w.Members {
		m.Crash(2500 + w.Rand.Int64N(1500))
	}
}

func (w *World) anyMember() *Member { return w.Members[w.Rand.IntN(len(w.Members))] }

// between draws a time of so many milliseconds.
func (w *World) between(from, to int64) int64 { return from + w.Rand.Int64N(to-from) }

// Trouble is something that can go wrong, with lengths of its own.
type Trouble struct {
	Name   string
	Begins func(*World)
}

// Troubles are all that can go wrong by themselves, for days that pair them.
var Troubles = []Trouble{
	{"late writes", func(w *World) { w.LateWrites(0.1+0.5*w.Rand.Float64(), w.between(3000, 28_000)) }},
	{"late reports", func(w *World) { w.LateReports(0.2+0.6*w.Rand.Float64(), w.between(3000, 28_000)) }},
	{"lost answers", func(w *World) { w.LostAnswers(0.1+0.5*w.Rand.Float64(), w.between(3000, 28_000)) }},
	{"reports kept for the next claim", func(w *World) { w.ReportsForNextClaim(0.2+0.6*w.Rand.Float64(), w.between(3000, 28_000)) }},
	{"reports held until a new holder acts", func(w *World) { w.HoldReports(0.1+0.3*w.Rand.Float64(), w.between(3000, 28_000)) }},
	{"commands late", func(w *World) { w.LateCommands(0.2+0.6*w.Rand.Float64(), w.between(3000, 28_000)) }},
	{"mute machines", func(w *World) { w.SomeUp(0.4, func(h *Host) { w.Mute(h, w.between(2000, 28_000)) }) }},
	{"jobs cancelled together", func(w *World) { w.CancelNow(1+w.Rand.IntN(4), w.between(0, 2)*w.between(2000, 10_000)) }},
	{"jobs cancelled as they end", func(w *World) { w.CancelAtEnd(0.5, w.between(3000, 28_000)) }},
	{"odd requests", func(w *World) { w.OddRequests(w.between(3000, 28_000)) }},
	{"close looks", func(w *World) { w.CloseLooks(w.between(3000, 28_000)) }},
	{"deaf machines", func(w *World) { w.SomeUp(0.4, func(h *Host) { w.Deafen(h, w.between(2000, 28_000)) }) }},
	{"a member cut from state and peers, held", func(w *World) { w.Sever(w.anyMember(), w.between(3000, 28_000), false) }},
	{"a member cut from state and peers, refused", func(w *World) { w.Sever(w.anyMember(), w.between(3000, 28_000), true) }},
	{"slow state", func(w *World) { w.SlowState(w.between(400, 3000), w.between(3000, 28_000)) }},
	{"a member stands still", func(w *World) { w.StandStill(w.anyMember(), w.between(500, 12_000)) }},
	{"commands held", func(w *World) {
		w.SomeUp(0.5, func(h *Host) { w.HoldCommands(h, w.between(1000, 11_000), w.Rand.IntN(2) == 0) })
	}},
	{"refused alone, then down for all", func(w *World) {
		long := w.between(3000, 28_000)
		w.Away(w.anyMember().Name, long)
		w.After(w.Rand.Int64N(long), func() { w.Away("all", w.between(2000, 56_000)) })
	}},
	{"one ends, back within a second", func(w *World) { w.anyMember().Crash(w.between(100, 1000)) }},
	{"one ends, is adopted and comes back", func(w *World) { w.anyMember().Crash(w.between(14_000, 20_000)) }},
	{"all end", (*World).EndAll},
	{"a roll", func(w *World) {
		for i, m := range w.Members {
			w.After(int64(i)*2500, func() { m.Crash(1500) })
		}
	}},
	{"an outage", func(w *World) { w.Away("all", w.between(1000, 10_000)) }},
	{"a zone cut off", func(w *World) { w.CutZone([]string{"a", "b"}[w.Rand.IntN(2)], w.between(2000, 14_000)) }},
	{"a wave of spot machines taken back", func(w *World) {
		w.SomeUp(0.5, func(h *Host) {
			if h.Rental.Spot {
				w.Cloud.Take(h.Rental.ID)
			}
		})
	}},
	{"machines hang", func(w *World) { w.SomeUp(0.4, func(h *Host) { h.HungTill = w.Now + w.between(1000, 10_000) }) }},
	{"a member lacks processor time", func(w *World) { w.Lags[w.anyMember().Name] = Lag{Until: w.Now + 12_000, MS: 3000} }},
	{"a member cut from its workers", func(w *World) {
		w.Cuts = append(w.Cuts, Cut{A: w.anyMember().Name, B: "w", Until: w.Now + w.between(2000, 11_000)})
	}},
}

// RandomTrouble begins one of them.
func (w *World) RandomTrouble() {
	t := Troubles[w.Rand.IntN(len(Troubles))]
	w.Tell("trouble: %s", t.Name)
	t.Begins(w)
}
