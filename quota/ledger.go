// Package quota keeps teams' limits and guarantees while several controllers decide by themselves,
// at the same moment, with some of them away. It owns no store and no clock: usage, pending work and
// what peers sent come in; what may be used, written or preempted goes out. Times are
// milliseconds. Nothing in it is safe for concurrent use.
//
// # Limits
//
// A limit is divided among the shards by one record for each team in the state service (Ledger):
//
//	parts    Allocations: what each shard may use; over all shards never more than the limit
//	wants    Requests: what shards lack: how much, how much of it at once, the smallest use, since when
//
// A write belongs to a shard: it is guarded by the shard's claim and by the record's revision. It
// lowers the writer's own allocation by what it grants to shards that request it, and records
// what the writer lacks itself. So at any revision the allocations add up to the limit, whoever
// writes and in whatever order, and a write that comes late is refused. What a member counts on
// for a shard that it owns:
//
//	state of the shard's write                                  it counts on
//	none is pending                                             the record's allocation
//	pending: sent, or its answer is lost                        the smaller of both allocations
//	pending, and a newer revision is known: applied or void     the record's allocation
//
// A write without an answer is in doubt until it is settled (package indoubt): a refusal of a
// further attempt proves nothing about the first. Without a record the whole limit belongs to the
// home, the shard that receives the team's jobs. If the limit in force is lower than the sum of
// the allocations, all are scaled down in proportion; if it is higher, the rest belongs to the
// home. So members whose settings differ for a while keep to the larger limit.
//
// What a shard grants beyond its own use goes first to what can start at once, here and there, the
// smallest use of the longest waiting first, so that partial grants do not starve one large task;
// then to the rest, in proportion to what is pending (Divide). What a shard retains but cannot
// use, since its next task is larger, it retains for a grace period only: then others get it, and
// its own task waits anew.
//
// # Guarantees
//
// A guarantee needs no record. Which jobs are within it follows from the jobs themselves, which
// every member has in its replica (JobsWithinGuarantee): a team's unfinished jobs in order of
// arrival, as far as they fit together. A task of such a job is in one shard only, so it is
// requested once, and all requests together stay within the guarantee.
//
// What may be preempted for a guarantee is what teams use beyond their own, over all members
// (UsageMonitor). Each member may preempt its part of the excess, in proportion to its own
// use. After a preemption it may preempt no more than that part until each of the others has
// reported its use after it received the news. So decisions that know nothing of each other rest on
// the same figures, and no team is pushed below its guarantee. A member that is not heard from
// counts as using nothing, which leaves less to preempt.
//
// # Failures
//
// The package is built for lost, late and repeated answers of the store, messages that are lost or
// overtake each other, owners that end while a write is pending, and members that restart or run
// with different settings.
package quota

import (
	"maps"

	"github.com/grebedock/grebedock/access"
	"github.com/grebedock/grebedock/indoubt"
)

// Request is what a shard lacks of a limit.
type Request struct {
	Amounts
	Startable    Amounts `json:"soon,omitzero"` // of it, what has room on machines
	MinIncrement Amounts `json:"unit,omitzero"` // the smallest useful grant
	SinceMS      int64   `json:"at,omitempty"`  // time of day
}

// Record is a team's record in the state service. Both maps are by shard.
type Record struct {
	Allocations map[string]Amounts `json:"parts"`
	Requests    map[string]Request `json:"wants,omitempty"`
}

// Write is a change of a team's record that a shard's owner sends, guarded by the shard's claim and
// by the record's revision; revision 0 means that no record exists.
type Write struct {
	Shard  string
	Record Record
	indoubt.ConditionalWrite
}

// Ledger is a team's record as one member knows it, and the write that it has pending.
type Ledger struct {
	limit        Amounts
	homeShard    string
	otherShards  []string
	record       *Record // nil: none
	revision     uint64
	pendingWrite *Write
	allocations  map[string]Amounts // cache of computeAllocations; nil: not computed yet
	// GracePeriodMS is how long a shard retains an allocation that its next task does not fit in
	// while others request it; 0: without end.
	GracePeriodMS int64
	unusableSince map[string]int64 // by shard: since when it retains such an allocation
}

// NewLedger returns the ledger of a team whose record is not known yet, or does not exist. A limit
// of 0 in a dimension means that the team has none there: its allocations are 0 too, and callers
// do not apply them. With other shards named, the home lends them standing loans while it has no
// use for them (lendIdle).
func NewLedger(limit Amounts, homeShard string, otherShards ...string) *Ledger {
	return &Ledger{limit: limit, homeShard: homeShard, otherShards: otherShards}
}

// Observe takes the record as the store has it; nil means that there is none. An older revision
// than the known one is ignored.
func (l *Ledger) Observe(record *Record, revision uint64) {
	l.allocations = nil
	switch {
	case record == nil:
		l.record, l.revision = nil, 0
	case revision >= l.revision:
		l.record, l.revision = record, revision
	}
}

// Record returns the record that was observed last, nil if there is none. It must not be changed.
func (l *Ledger) Record() *Record { return l.record }

// requests returns the record's requests, nil if there is no record.
func (l *Ledger) requests() map[string]Request {
	if l.record == nil {
		return nil
	}
	return l.record.Requests
}

// Allocations returns every shard's allocation: the record's, fitted to the limit in force. The
// caller owns the map.
func (l *Ledger) Allocations() map[string]Amounts { return maps.Clone(l.cachedAllocations()) }

// cachedAllocations computes the allocations once for each record: every task start reads one.
func (l *Ledger) cachedAllocations() map[string]Amounts {
	if l.allocations == nil {
		l.allocations = l.computeAllocations()
	}
	return l.allocations
}

func (l *Ledger) computeAllocations() map[string]Amounts {
	if l.record == nil || len(l.record.Allocations) == 0 {
		return map[string]Amounts{l.homeShard: l.limit}
	}
	sum := sumInOrder(l.record.Allocations)
	allocations := maps.Clone(l.record.Allocations)
	cpuFactor, cpuRemainder := fitToLimit(sum.CPUs, l.limit.CPUs)
	gpuFactor, gpuRemainder := fitToLimit(sum.GPUs, l.limit.GPUs)
	scaled := cpuFactor != 1 || gpuFactor != 1
	if !scaled && cpuRemainder < roundingTolerance && gpuRemainder < roundingTolerance {
		return allocations
	}
	for shard, allocation := range allocations {
		allocations[shard] = Amounts{allocation.CPUs * cpuFactor, allocation.GPUs * gpuFactor}
	}
	allocations[l.homeShard] = allocations[l.homeShard].Add(Amounts{cpuRemainder, gpuRemainder})
	return allocations
}

// fitToLimit returns by what allocations that add up to sum are scaled to keep to a limit, and what
// the limit leaves beside them.
func fitToLimit(sum, limit float64) (factor, remainder float64) {
	if sum > limit && sum > 0 {
		return limit / sum, 0
	}
	return 1, limit - sum
}

// Allocation returns what a shard may use. A pending write of the shard lowers it at once, and
// raises it only when applied.
func (l *Ledger) Allocation(shard string) Amounts {
	allocation := l.cachedAllocations()[shard]
	w := l.pendingWrite
	if w != nil && w.Shard == shard && l.revision <= w.Revision {
		allocation = allocation.Min(w.Record.Allocations[shard])
	}
	return allocation
}

// RecordOutcome takes the outcome of an attempt of the pending write, which must exist, and
// returns what to do about it.
func (l *Ledger) RecordOutcome(outcome access.Outcome) indoubt.NextStep {
	next := l.pendingWrite.CompleteAttempt(outcome)
	if next == indoubt.Settled {
		l.pendingWrite = nil
	}
	return next
}

// Resolve takes the outcome of reading the record back for the pending write, which must exist, and
// returns what to do about it. A record that does not exist is nil with revision 0.
func (l *Ledger) Resolve(outcome access.Outcome, record *Record, revision uint64) indoubt.NextStep {
	next := l.pendingWrite.CompleteRead(outcome, revision)
	if next == indoubt.Settled {
		l.pendingWrite = nil
		l.Observe(record, revision)
	}
	return next
}

// Abandon drops the pending write of a shard that this member no longer owns. If it was
// applied, the record shows it once observed; until then a further write is refused for its
// revision.
func (l *Ledger) Abandon() { l.pendingWrite = nil }
