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

// maxMomentsPerDecision bounds what one decision covers: after a long outage a schedule
// decides in several.
const maxMomentsPerDecision = 20

// maxPendingRuns bounds the runs of a schedule that are decided and not submitted.
const maxPendingRuns = 8

// decideDue decides what is due, most urgent and oldest first, several schedules
// of a shard in one transaction.
func (h *Host) decideDue() {
	batches := map[*shard][]*entry{}
	for len(h.due) > 0 && h.due[0].dueAt <= h.certainWallMS() && h.tokens >= 1 {
		e := heap.Pop(&h.due).(*entry)
		switch {
		case e.busy:
			continue // its answer puts it back
		case e.definitionRev == 0:
			h.reloadEntry(e.shard, e.name)
			continue
		case len(e.progress.Pending)-len(e.submitted) >= maxPendingRuns:
			h.enqueueAt(e, h.Now.WallMS+1000) // nobody takes its runs at present
			continue
		case !h.isPrecedingRunOver(e):
			continue
		}
		h.tokens--
		e.busy = true
		batch := append(batches[e.shard], e)
		if len(batch) >= h.params.TxnOps/2 {
			h.decideBatch(e.shard, batch)
			batch = nil
		}
		batches[e.shard] = batch
	}
	for _, name := range sortedShards(batches) {
		s := h.shards[name]
		if s != nil && len(batches[s]) > 0 {
			h.decideBatch(s, batches[s])
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

// isPrecedingRunOver settles, for schedules whose runs must not overlap, whether the run
// before is over. It is false while that is asked or waited for.
func (h *Host) isPrecedingRunOver(e *entry) bool {
	preceding := e.progress.Last
	if preceding == "" || e.current.Spec.Busy == "allow" || e.current.Spec.Busy == "forbid" && e.precedingRun != "" ||
		e.precedingRun == preceding {
		return true
	}
	e.busy = true
	replace := e.current.Spec.Busy == "replace"
	onState := func(status int, over bool) {
		e.busy = false
		if h.shards[e.shard.name] != e.shard || e.shard.entries[e.name] != e {
			return
		}
		switch {
		case status == 200 && over:
			e.precedingRun = preceding
		case status == 404 && !e.isPending(preceding):
			e.precedingRun = preceding
		case status == 200 && e.current.Spec.Busy == "forbid":
			e.precedingRun = "-" // it runs: this moment is not run
		default:
			h.enqueueAt(e, h.Now.WallMS+1000) // queue, or no answer yet
			return
		}
		h.enqueueAt(e, min(e.dueAt, h.certainWallMS()))
	}
	if strings.HasPrefix(preceding, "run-") {
		h.SendRequest(WorkflowRequest{Run: preceding, Abort: replace}, func(r WorkflowResult) { onState(r.Status, r.IsOver) })
		return false
	}
	kind := scheduler.QueryJob
	if replace {
		kind = scheduler.CancelJob
	}
	h.SendCore(
		scheduler.UserRequest{Kind: kind, ID: preceding},
		func(a scheduler.UserResponse) { onState(a.Status, a.State.IsTerminal()) },
	)
	return false
}

func (e *entry) isPending(job string) bool {
	return slices.ContainsFunc(e.progress.Pending, func(d Decision) bool { return d.Job == job })
}

// decideBatch settles the due moments of some schedules of a shard in one write.
func (h *Host) decideBatch(s *shard, batch []*entry) {
	preconditions := []scheduler.Precondition{{Key: scheduler.ClaimKey(s.name), Revision: s.token}}
	var changes []scheduler.Change
	next := make([]progressRecord, len(batch))
	size := 0
	for i, e := range batch {
		p, page := h.nextProgress(e)
		value := extension.Encode(p)
		if size += len(value) + len(page); i > 0 && size > maxTxnBytes {
			h.decideBatch(s, batch[i:])
			batch, next = batch[:i], next[:i]
			break
		}
		next[i] = p
		if page != nil {
			changes = append(changes, scheduler.Change{Key: historyKey(s.name, e.name, p.Pages-1), Value: page})
		}
		preconditions = append(
			preconditions,
			scheduler.Precondition{Key: definitionKey(s.name, e.name), Revision: e.definitionRev},
			scheduler.Precondition{Key: progressKey(s.name, e.name), Revision: e.progressRev},
		)
		changes = append(changes, scheduler.Change{Key: progressKey(s.name, e.name), Value: value})
	}
	h.SendStore(
		scheduler.StoreOp{
			Kind:          scheduler.StoreTxn,
			Urgency:       scheduler.UrgencyBackground,
			Preconditions: preconditions,
			Changes:       changes,
		},
		func(r scheduler.StoreResult) {
			if h.shards[s.name] != s {
				return
			}
			for i, e := range batch {
				if s.entries[e.name] != e {
					continue
				}
				if r.Outcome != scheduler.OK {
					// Changed by an operator, decided by somebody else, or not
					// known: the store's word goes.
					h.reloadEntry(s, e.name)
					continue
				}
				e.busy, e.precedingRun = false, ""
				h.countDecisions(e.progress, next[i])
				e.progress, e.progressRev = next[i], r.Rev
				clear(e.submitted)
				h.enqueueNext(e)
				h.submitPending(e)
			}
		},
	)
}

func (h *Host) countDecisions(before, after progressRecord) {
	for _, d := range after.Log {
		if d.AtMS > before.DecidedUpToMS {
			h.Counters.Decided++
			if d.Run {
				h.Counters.Runs++
			} else {
				h.Counters.Skipped++
			}
		}
	}
}

// lateThresholdMS is how late a moment may be decided and still not count as missed.
const lateThresholdMS = 30_000

// maxTxnBytes is what the values of one transaction may take: the state service
// takes 64 KiB with keys and conditions.
const maxTxnBytes = 48 << 10

// maxReasonBytes bounds a reason in a record: operators write some of them.
const maxReasonBytes = 120

// nextProgress works out what becomes of a schedule's due moments, as many as its
// record holds; the rest is due again at once. What was decided earlier moves
// to a page of history first where it takes a quarter of the record. A record
// that the state service refuses for its size would stop its schedule for good.
func (h *Host) nextProgress(entry *entry) (progress progressRecord, page json.RawMessage) {
	progress = entry.progress
	if previousLog := extension.Encode(progress.Log); len(previousLog) > h.params.ValueBytes/4 {
		page = previousLog
		progress.Log, progress.Pages = nil, progress.Pages+1
	}
	progress.Pending = slices.DeleteFunc(
		slices.Clone(progress.Pending),
		func(decision Decision) bool { return entry.submitted[decision.Job] },
	)
	progress.Log = slices.Clone(progress.Log)
	due := h.dueMoments(entry)
	size := len(extension.Encode(progress))
	for i, moment := range due {
		if i > 0 && size > h.params.ValueBytes/2 {
			break
		}
		decision := Decision{
			AtMS:      moment.at,
			Run:       true,
			Reason:    moment.reason,
			Version:   moment.version.Version,
			DecidedMS: h.Now.WallMS,
		}
		newest := i == len(due)-1 && len(due) < maxMomentsPerDecision
		decision.applyPolicies(entry, moment, newest, i > 0 && progress.Last != entry.progress.Last)
		if decision.Run {
			decision.Job = moment.version.Spec.jobOrRunID(runName(entry.name, moment.at))
			progress.Pending = append(progress.Pending, decision)
			progress.Last = decision.Job
		}
		progress.Log = append(progress.Log, decision)
		progress.DecidedUpToMS = moment.at
		size += 2 * len(extension.Encode(decision)) // as pending, too
		if decision.Run && (moment.version.Spec.Busy == "queue" || moment.version.Spec.Busy == "replace") {
			break // the next one waits for this one, or takes its place
		}
	}
	return progress, page
}

// dueMoments are the moments of a schedule that have come and are not decided,
// oldest first.
func (h *Host) dueMoments(e *entry) (due []moment) {
	for after := e.decidedUpTo(); len(due) < maxMomentsPerDecision; {
		m, ok := e.nextMoment(after)
		if !ok || m.at > h.certainWallMS() {
			break
		}
		due = append(due, m)
		after = m.at
	}
	return due
}

// applyPolicies decides whether a moment is run, and says why it is late or not run.
// newest tells that no later moment is due, and behind that the run of an
// earlier moment is decided together with this one.
func (d *Decision) applyPolicies(e *entry, m moment, newest, behind bool) {
	late := d.DecidedMS - m.at
	skip := func(reason string) { d.Run, d.Reason = false, joinReasons(reason, m.reason) }
	switch spec := m.version.Spec; {
	case float64(late) > spec.LateS*1000:
		skip(fmt.Sprintf("missed: %d s late, %g allowed", late/1000, spec.LateS))
	case late > lateThresholdMS && spec.Missed == "skip":
		skip("missed, and missed runs are skipped")
	case late > lateThresholdMS && spec.Missed == "latest" && !newest:
		skip("missed, and only the latest missed run is made up for")
	case spec.Busy == "forbid" && e.precedingRun == "-":
		skip("the run before is not over")
	case spec.Busy != "allow" && behind:
		skip("the run before, due at the same time, is not over")
	case late > lateThresholdMS:
		d.Reason = joinReasons(fmt.Sprintf("%d s late", late/1000), m.reason)
	}
	if len(d.Reason) > maxReasonBytes {
		d.Reason = strings.ToValidUTF8(d.Reason[:maxReasonBytes], "")
	}
}

func joinReasons(a, b string) string {
	if a == "" || b == "" {
		return a + b
	}
	return a + "; " + b
}
