package schedules

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/grebedock/grebedock/extension"
	"github.com/grebedock/grebedock/scheduler"
)

// maxMomentsPerDecision bounds the moments that one write decides for a schedule. After a long outage a
// schedule needs several writes.
const maxMomentsPerDecision = 20

// retryDelayMS is the delay before the host retries a read, submission or decision that it could not complete.
const retryDelayMS = 1000

// maxPendingRuns bounds the runs of a schedule that are decided but not yet submitted.
const maxPendingRuns = 8

// decideDue decides the schedules that are due, by due time and then by priority. Several schedules of a
// shard share a transaction.
func (h *Host) decideDue() {
	batches := map[*shard][]*entry{}
	for len(h.due) > 0 && h.due[0].dueAt <= h.minMemberWallMS() && h.decisionTokens >= 1 {
		e := heap.Pop(&h.due).(*entry)
		if !h.mayDecide(e) {
			continue
		}
		h.decisionTokens--
		e.inFlight = true
		batch := append(batches[e.shard], e)
		if len(batch) >= h.params.TxnOps/2 {
			h.decideBatch(e.shard, batch)
			batch = nil
		}
		batches[e.shard] = batch
	}
	for _, s := range sortedShards(batches) {
		if h.shards[s.name] == s && len(batches[s]) > 0 {
			h.decideBatch(s, batches[s])
		}
	}
}

// mayDecide reports whether a due entry can be decided now. Otherwise mayDecide queues the entry again, or the
// callback of the response that the entry waits for does.
func (h *Host) mayDecide(e *entry) bool {
	switch {
	case e.inFlight:
		return false
	case e.definitionRev == 0:
		h.reloadEntry(e.shard, e.name)
		return false
	case len(e.progress.Pending)-len(e.submitted) >= maxPendingRuns: // the core does not accept jobs at present
		h.enqueueAt(e, h.Now.WallMS+retryDelayMS)
		return false
	}
	return h.checkPrecedingRun(e)
}

func sortedShards(batches map[*shard][]*entry) []*shard {
	return slices.SortedFunc(maps.Keys(batches), func(a, b *shard) int { return strings.Compare(a.name, b.name) })
}

func (e *entry) isPending(job string) bool {
	return slices.ContainsFunc(e.progress.Pending, func(d Decision) bool { return d.Job == job })
}

// decideBatch stores the decisions for the due moments of several schedules of a shard in one transaction. It
// splits a batch that exceeds maxTxnBytes.
func (h *Host) decideBatch(s *shard, batch []*entry) {
	preconditions := []scheduler.Precondition{{Key: scheduler.ClaimKey(s.name), Revision: s.token}}
	var changes []scheduler.Change
	next := make([]progressRecord, 0, len(batch))
	size := 0
	for i, e := range batch {
		progress, page := h.nextProgress(e)
		value := extension.Encode(progress)
		if size += len(value) + len(page); i > 0 && size > maxTxnBytes {
			h.decideBatch(s, batch[i:])
			batch = batch[:i]
			break
		}
		next = append(next, progress)
		if page != nil {
			key := historyKey(s.name, e.name, progress.Pages-1)
			changes = append(changes, scheduler.Change{Key: key, Value: page})
		}
		preconditions = append(
			preconditions,
			scheduler.Precondition{Key: definitionKey(s.name, e.name), Revision: e.definitionRev},
			scheduler.Precondition{Key: progressKey(s.name, e.name), Revision: e.progressRev},
		)
		changes = append(changes, scheduler.Change{Key: progressKey(s.name, e.name), Value: value})
	}
	txn := scheduler.StoreOp{
		Kind:          scheduler.StoreTxn,
		Urgency:       scheduler.UrgencyBackground,
		Preconditions: preconditions,
		Changes:       changes,
	}
	h.SendStore(txn, func(r scheduler.StoreResult) {
		for i, e := range batch {
			if h.owns(e) {
				h.onDecided(e, next[i], r)
			}
		}
	})
}

// onDecided handles the result of writing a decision.
func (h *Host) onDecided(e *entry, progress progressRecord, r scheduler.StoreResult) {
	if r.Outcome != scheduler.OK {
		// An operator changed the schedule, another owner decided, or the outcome is unknown. The stored
		// records are authoritative.
		h.reloadEntry(e.shard, e.name)
		return
	}
	e.inFlight, e.precedingRun = false, ""
	h.countDecisions(e.progress, progress)
	e.progress, e.progressRev = progress, r.Rev
	clear(e.submitted)
	h.enqueueNext(e)
	h.submitPending(e)
}

func (h *Host) countDecisions(before, after progressRecord) {
	for _, d := range after.Log {
		if d.AtMS <= before.DecidedUpToMS {
			continue
		}
		h.Counters.Decided++
		if d.Run {
			h.Counters.Runs++
		} else {
			h.Counters.Skipped++
		}
	}
}

// missedThresholdMS is the lateness above which a moment counts as missed.
const missedThresholdMS = 30_000

// maxTxnBytes bounds the values of a transaction. The state service allows 64 KiB including keys and
// preconditions.
const maxTxnBytes = 48 << 10

// maxReasonBytes bounds a reason in a record, because some reasons contain text of any length that operators
// write in calendars.
const maxReasonBytes = 120

// nextProgress returns a schedule's progress with its due moments decided. It decides at least one and stops once
// the record exceeds half the maximum value size; the remaining moments are due again at once. If the log of
// earlier decisions exceeds a quarter of the maximum, it becomes a page of history first. The state service
// refuses a record above the maximum on every attempt, which would stop the schedule permanently.
func (h *Host) nextProgress(entry *entry) (progress progressRecord, page json.RawMessage) {
	progress = entry.progress
	if previousLog := extension.Encode(progress.Log); len(previousLog) > h.params.ValueBytes/4 {
		page = previousLog
		progress.Log, progress.Pages = nil, progress.Pages+1
	}
	progress.Pending = slices.DeleteFunc(slices.Clone(progress.Pending), func(decision Decision) bool {
		return entry.submitted[decision.Job]
	})
	progress.Log = slices.Clone(progress.Log)
	due := h.dueMoments(entry)
	size := len(extension.Encode(progress))
	for i, moment := range due {
		if i > 0 && size > h.params.ValueBytes/2 {
			break
		}
		latest := i == len(due)-1 && len(due) < maxMomentsPerDecision
		followsRun := i > 0 && progress.Last != entry.progress.Last
		decision := entry.decide(moment, h.Now.WallMS, latest, followsRun)
		progress.add(decision)
		size += 2 * len(extension.Encode(decision)) // a run is stored in Log and in Pending
		if decision.Run && moment.version.Spec.Busy.runsOneAtATime() {
			break
		}
	}
	return progress, page
}

// add appends a decision to the log and, if it is a run, to the pending runs.
func (p *progressRecord) add(d Decision) {
	if d.Run {
		p.Pending = append(p.Pending, d)
		p.Last = d.Job
	}
	p.Log = append(p.Log, d)
	p.DecidedUpToMS = d.AtMS
}

// dueMoments returns the undecided moments of a schedule that have passed on every member's clock, oldest
// first, at most maxMomentsPerDecision.
func (h *Host) dueMoments(e *entry) (due []moment) {
	for after := e.decidedUpTo(); len(due) < maxMomentsPerDecision; {
		m, ok := e.nextMoment(after)
		if !ok || m.at > h.minMemberWallMS() {
			break
		}
		due = append(due, m)
		after = m.at
	}
	return due
}

// decide returns the decision for a moment. latest means that no later moment is due. followsRun means that the
// same write decides the run of an earlier moment.
func (e *entry) decide(m moment, wallMS int64, latest, followsRun bool) Decision {
	d := Decision{AtMS: m.at, Version: m.version.Version, DecidedMS: wallMS}
	skipReason, lateness := e.applyPolicies(m, wallMS, latest, followsRun)
	d.Run = skipReason == ""
	d.Reason = joinReasons(skipReason+lateness, m.reason)
	if len(d.Reason) > maxReasonBytes {
		d.Reason = strings.ToValidUTF8(d.Reason[:maxReasonBytes], "")
	}
	if d.Run {
		d.Job = m.version.Spec.jobOrRunID(runName(e.name, m.at))
	}
	return d
}

// applyPolicies returns the reason for which a moment is skipped, or how late its run is. Both are empty for a
// run that is not late.
func (e *entry) applyPolicies(m moment, wallMS int64, latest, followsRun bool) (skipReason, lateness string) {
	spec, lateMS := &m.version.Spec, wallMS-m.at
	missed := lateMS > missedThresholdMS
	switch {
	case float64(lateMS) > spec.LateS*1000:
		return fmt.Sprintf("missed: %d s late, %g allowed", lateMS/1000, spec.LateS), ""
	case missed && spec.Missed == MissedSkip:
		return "missed, and missed runs are skipped", ""
	case missed && spec.Missed == MissedLatest && !latest:
		return "missed, and only the latest missed run is made up for", ""
	case spec.Busy == BusyForbid && e.precedingRun == precedingRunActive:
		return "the run before is not over", ""
	case spec.Busy != BusyAllow && followsRun:
		return "the run before, due at the same time, is not over", ""
	case missed:
		return "", fmt.Sprintf("%d s late", lateMS/1000)
	}
	return "", ""
}

func joinReasons(a, b string) string {
	if a == "" || b == "" {
		return a + b
	}
	return a + "; " + b
}
