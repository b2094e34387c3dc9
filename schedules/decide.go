package schedules

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/grebedock/grebedock/extension"
	"github.com/grebedock/grebedock/scheduler"
)

// momentsAtOnce bounds what one decision covers: after a long outage a schedule
// decides in several.
const momentsAtOnce = 20

// pendingAtOnce bounds the runs of a schedule that are decided and not submitted.
const pendingAtOnce = 8

// decideDue decides what is due, most urgent and oldest first, several schedules
// of a shard in one transaction.
func (h *Host) decideDue() {
	batches := map[*shard][]*entry{}
	for len(h.due) > 0 && h.due[0].at <= h.wall() && h.tokens >= 1 {
		e := heap.Pop(&h.due).(*entry)
		switch {
		case e.busy:
			continue // its answer puts it back
		case e.defRev == 0:
			h.reload(e.shard, e.name)
			continue
		case len(e.prog.Pending)-len(e.submitted) >= pendingAtOnce:
			h.enqueueAt(e, h.Now.Wall+1000) // nobody takes its runs at present
			continue
		case !h.free(e):
			continue
		}
		h.tokens--
		e.busy = true
		b := append(batches[e.shard], e)
		if len(b) >= h.p.TxnOps/2 {
			h.decide(e.shard, b)
			b = nil
		}
		batches[e.shard] = b
	}
	for _, name := range sortedShards(batches) {
		s := h.shards[name]
		if s != nil && len(batches[s]) > 0 {
			h.decide(s, batches[s])
		}
	}
}

func sortedShards(m map[*shard][]*entry) []string {
	var out []string
	for s := range m {
		out = append(out, s.name)
	}
	slices.Sort(out)
	return out
}

// free settles, for schedules whose runs must not overlap, whether the run
// before is over. It is false while that is asked or waited for.
func (h *Host) free(e *entry) bool {
	last := e.prog.Last
	if last == "" || e.cur.Spec.Busy == "allow" || e.cur.Spec.Busy == "forbid" && e.asked != "" || e.asked == last {
		return true
	}
	e.busy = true
	replace := e.cur.Spec.Busy == "replace"
	heard := func(status int, over bool) {
		e.busy = false
		if h.shards[e.shard.name] != e.shard || e.shard.entries[e.name] != e {
			return
		}
		switch {
		case status == 200 && over:
			e.asked = last
		case status == 404 && !e.pending(last):
			e.asked = last
		case status == 200 && e.cur.Spec.Busy == "forbid":
			e.asked = "-" // it runs: this moment is not run
		default:
			h.enqueueAt(e, h.Now.Wall+1000) // queue, or no answer yet
			return
		}
		h.enqueueAt(e, min(e.at, h.wall()))
	}
	if strings.HasPrefix(last, "run-") {
		h.Request(Flow{Run: last, Abort: replace}, func(r FlowResult) { heard(r.Status, r.Over) })
		return false
	}
	kind := scheduler.Query
	if replace {
		kind = scheduler.Cancel
	}
	h.AskCore(scheduler.UserRequest{Kind: kind, ID: last}, func(a scheduler.UserAnswer) { heard(a.Status, a.State.Final()) })
	return false
}

func (e *entry) pending(job string) bool {
	return slices.ContainsFunc(e.prog.Pending, func(d Decision) bool { return d.Job == job })
}

// decide settles the due moments of some schedules of a shard in one write.
func (h *Host) decide(s *shard, es []*entry) {
	guards := []scheduler.Guard{{Key: scheduler.ShardKey(s.name), Rev: s.token}}
	var changes []scheduler.Change
	next := make([]progRecord, len(es))
	size := 0
	for i, e := range es {
		p, page := h.settle(e)
		value := extension.Encode(p)
		if size += len(value) + len(page); i > 0 && size > txnBytes {
			h.decide(s, es[i:])
			es, next = es[:i], next[:i]
			break
		}
		next[i] = p
		if page != nil {
			changes = append(changes, scheduler.Change{Key: pageKey(s.name, e.name, p.Pages-1), Value: page})
		}
		guards = append(guards, scheduler.Guard{Key: defKey(s.name, e.name), Rev: e.defRev}, scheduler.Guard{Key: progKey(s.name, e.name), Rev: e.progRev})
		changes = append(changes, scheduler.Change{Key: progKey(s.name, e.name), Value: value})
	}
	h.Ask(scheduler.StoreOp{Kind: scheduler.StoreTxn, Urgency: scheduler.Progress, Guards: guards, Changes: changes}, func(r scheduler.StoreResult) {
		if h.shards[s.name] != s {
			return
		}
		for i, e := range es {
			if s.entries[e.name] != e {
				continue
			}
			if r.Outcome != scheduler.OK {
				// Changed by an operator, decided by somebody else, or not
				// known: the store's word goes.
				h.reload(s, e.name)
				continue
			}
			e.busy, e.asked = false, ""
			h.count(e.prog, next[i])
			e.prog, e.progRev = next[i], r.Rev
			clear(e.submitted)
			h.plan(e)
			h.submitPending(e)
		}
	})
}

func (h *Host) count(before, after progRecord) {
	for _, d := range after.Log {
		if d.At > before.UpTo {
			h.Counters.Decided++
			if d.Run {
				h.Counters.Runs++
			} else {
				h.Counters.Skipped++
			}
		}
	}
}

// onTimeMS is how late a moment may be decided and still not count as missed.
const onTimeMS = 30_000

// txnBytes is what the values of one transaction may take: the state service
// takes 64 KiB with keys and conditions.
const txnBytes = 48 << 10

// whyBytes bounds a reason in a record: operators write some of them.
const whyBytes = 120

// settle works out what becomes of a schedule's due moments, as many as its
// record holds; the rest is due again at once. What was decided earlier moves
// to a page of history first where it takes a quarter of the record. A record
// that the state service refuses for its size would stop its schedule for good.
func (h *Host) settle(e *entry) (p progRecord, page json.RawMessage) {
	p = e.prog
	if old := extension.Encode(p.Log); len(old) > h.p.ValueBytes/4 {
		page = old
		p.Log, p.Pages = nil, p.Pages+1
	}
	p.Pending = slices.DeleteFunc(slices.Clone(p.Pending), func(d Decision) bool { return e.submitted[d.Job] })
	p.Log = slices.Clone(p.Log)
	due := h.dueMoments(e)
	size := len(extension.Encode(p))
	for i, m := range due {
		if i > 0 && size > h.p.ValueBytes/2 {
			break
		}
		d := Decision{At: m.at, Run: true, Why: m.why, Version: m.v.Version, Decided: h.Now.Wall}
		newest := i == len(due)-1 && len(due) < momentsAtOnce
		d.judge(e, m, newest, i > 0 && p.Last != e.prog.Last)
		if d.Run {
			d.Job = m.v.Spec.target(runName(e.name, m.at))
			p.Pending = append(p.Pending, d)
			p.Last = d.Job
		}
		p.Log = append(p.Log, d)
		p.UpTo = m.at
		size += 2 * len(extension.Encode(d)) // as pending, too
		if d.Run && (m.v.Spec.Busy == "queue" || m.v.Spec.Busy == "replace") {
			break // the next one waits for this one, or takes its place
		}
	}
	return p, page
}

// dueMoments are the moments of a schedule that have come and are not decided,
// oldest first.
func (h *Host) dueMoments(e *entry) (due []moment) {
	for after := e.after(); len(due) < momentsAtOnce; {
		m, ok := e.nextMoment(after)
		if !ok || m.at > h.wall() {
			break
		}
		due = append(due, m)
		after = m.at
	}
	return due
}

// judge decides whether a moment is run, and says why it is late or not run.
// newest tells that no later moment is due, and behind that the run of an
// earlier moment is decided together with this one.
func (d *Decision) judge(e *entry, m moment, newest, behind bool) {
	late := d.Decided - m.at
	skip := func(why string) { d.Run, d.Why = false, join(why, m.why) }
	switch spec := m.v.Spec; {
	case float64(late) > spec.LateS*1000:
		skip(fmt.Sprintf("missed: %d s late, %g allowed", late/1000, spec.LateS))
	case late > onTimeMS && spec.Missed == "skip":
		skip("missed, and missed runs are skipped")
	case late > onTimeMS && spec.Missed == "latest" && !newest:
		skip("missed, and only the latest missed run is made up for")
	case spec.Busy == "forbid" && e.asked == "-":
		skip("the run before is not over")
	case spec.Busy != "allow" && behind:
		skip("the run before, due at the same time, is not over")
	case late > onTimeMS:
		d.Why = join(fmt.Sprintf("%d s late", late/1000), m.why)
	}
	if len(d.Why) > whyBytes {
		d.Why = strings.ToValidUTF8(d.Why[:whyBytes], "")
	}
}

func join(a, b string) string {
	if a == "" || b == "" {
		return a + b
	}
	return a + "; " + b
}
