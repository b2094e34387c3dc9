// Package quota enforces teams' limits and guarantees while several controllers make decisions
// concurrently and some of them may be unreachable. It accesses neither the state service nor a
// clock. Its inputs are usage, pending work and messages from peers; its outputs are what may be
// used, written or preempted. Times are in milliseconds. The package is not safe for concurrent use.
//
// # Limits
//
// One record for each team in the state service divides the team's limit among the shards (Ledger):
//
//	parts    Allocations: what each shard may use; the sum over all shards never exceeds the limit
//	wants    Requests: each shard's shortfall, its startable part, the smallest useful grant, its age
//
// Each write is made for one shard. Its preconditions are the shard's claim and the record's
// revision. A write lowers the writer's own allocation by what it grants to requesting shards, and
// records the writer's own shortfall. At any revision the allocations therefore add up to the limit,
// in whatever order the shards write, and a late write is refused. For a shard that a member owns,
// the member uses this allocation:
//
//	state of the shard's write                                  allocation used
//	none pending                                                the record's allocation
//	pending: sent, or its response was lost                     the smaller of both allocations
//	pending, and a newer revision is known: applied or void     the record's allocation
//
// A write without a response is in doubt until it is settled (package indoubt), since the refusal of
// a later attempt proves nothing about the first attempt. Without a record, the whole limit belongs
// to the home shard, the shard that receives the team's jobs. If the sum of the allocations exceeds
// the limit in force, all allocations are scaled down in proportion. If the sum is below the limit,
// the remainder belongs to the home shard. Members whose settings differ temporarily therefore
// together stay within the larger limit.
//
// A shard grants allocation that it does not use (Divide). Tasks that can start at once are served
// first, both its own and those of other shards. Among them, the smallest useful grant of the oldest
// claim is first, so that partial grants do not starve one large task. The remainder is divided in
// proportion to the pending work. A shard may retain an allocation that is too small for its next
// task. It retains such an allocation only for a grace period. Then other shards get it, and the
// shard's own task starts to wait again.
//
// # Guarantees
//
// A guarantee needs no record. The jobs themselves, which every member has in its state cache,
// determine which jobs are within the guarantee (JobsWithinGuarantee): a team's unfinished jobs in
// order of arrival, as long as they fit together. A task of such a job is in one shard only, so it is
// requested once, and all requests together stay within the guarantee.
//
// For a guarantee, a member may preempt usage by which other teams exceed their own guarantees,
// summed over all members (UsageMonitor). Each member may preempt its part of the excess, in
// proportion to its own usage. After a preemption it may preempt no more than that part, until each
// of the other members has reported its usage after it received the member's new usage. Concurrent
// decisions are therefore based on the same figures, and no team is preempted below its guarantee. A
// member without recent reports counts as using nothing, which leaves less to preempt.
//
// # Failures
//
// The package tolerates responses of the state service that are lost, late or repeated, and messages
// that are lost or reordered. It tolerates owners that fail while a write is pending, and members
// that restart or run with different settings.
package quota

import (
	"maps"

	"github.com/grebedock/grebedock/access"
	"github.com/grebedock/grebedock/indoubt"
)

// Request is a shard's request for a larger allocation of a limit. Its Amounts are the shortfall.
type Request struct {
	Amounts
	Startable    Amounts `json:"soon,omitzero"` // part of the shortfall that fits on machines
	MinIncrement Amounts `json:"unit,omitzero"` // smallest useful grant
	SinceMS      int64   `json:"at,omitempty"`  // wall-clock time at which the request began to wait
}

// Record is a team's record in the state service. The keys of both maps are shards.
type Record struct {
	Allocations map[string]Amounts `json:"parts"`
	Requests    map[string]Request `json:"wants,omitempty"`
}

// Write is a change of a team's record that a shard's owner sends. Its preconditions are the shard's
// claim and the record's revision; revision 0 means that no record exists.
type Write struct {
	Shard  string
	Record Record
	indoubt.ConditionalWrite
}

// Ledger holds one member's copy of a team's record, and the member's pending write.
type Ledger struct {
	limit        Amounts
	homeShard    string
	otherShards  []string
	record       *Record // nil: no record
	revision     uint64
	pendingWrite *Write
	allocations  map[string]Amounts // cache of computeAllocations; nil: not computed yet
	// GracePeriodMS is the time for which a shard retains an allocation that is too small for its
	// next task while other shards request it. 0: no time limit.
	GracePeriodMS int64
	unusableSince map[string]int64 // time since which each shard has retained such an allocation
}

// NewLedger returns the ledger of a team whose record is not known yet or does not exist. A limit of
// 0 means that the dimension is unlimited: its allocations are 0 too, and callers do not apply them.
// If otherShards are given, the home shard lends them idle parts of the limit (lendIdle).
func NewLedger(limit Amounts, homeShard string, otherShards ...string) *Ledger {
	return &Ledger{limit: limit, homeShard: homeShard, otherShards: otherShards}
}

// Observe updates the ledger with the record in the state service; nil means that no record exists.
// A record with a lower revision than the known one is ignored.
func (l *Ledger) Observe(record *Record, revision uint64) {
	l.allocations = nil
	switch {
	case record == nil:
		l.record, l.revision = nil, 0
	case revision >= l.revision:
		l.record, l.revision = record, revision
	}
}

// Record returns the last observed record, or nil if none exists. The caller must not modify it.
func (l *Ledger) Record() *Record { return l.record }

// requests returns the record's requests, or nil without a record.
func (l *Ledger) requests() map[string]Request {
	if l.record == nil {
		return nil
	}
	return l.record.Requests
}

// Allocations returns each shard's allocation from the record, fitted to the limit in force. The
// caller owns the map.
func (l *Ledger) Allocations() map[string]Amounts { return maps.Clone(l.cachedAllocations()) }

// cachedAllocations computes the allocations once for each record, since every task start reads one.
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

// fitToLimit returns the factor that scales allocations with the given sum down to a limit, and the
// part of the limit that remains unallocated.
func fitToLimit(sum, limit float64) (factor, remainder float64) {
	if sum > limit && sum > 0 {
		return limit / sum, 0
	}
	return 1, limit - sum
}

// Allocation returns what a shard may use. A pending write of the shard lowers it immediately, but
// raises it only once the write is known to be applied.
func (l *Ledger) Allocation(shard string) Amounts {
	allocation := l.cachedAllocations()[shard]
	w := l.pendingWrite
	if w != nil && w.Shard == shard && l.revision <= w.Revision {
		allocation = allocation.Min(w.Record.Allocations[shard])
	}
	return allocation
}

// RecordOutcome records the outcome of an attempt of the pending write and returns the next step. A
// pending write must exist.
func (l *Ledger) RecordOutcome(outcome access.Outcome) indoubt.NextStep {
	next := l.pendingWrite.CompleteAttempt(outcome)
	if next == indoubt.Settled {
		l.pendingWrite = nil
	}
	return next
}

// Resolve records the outcome of reading the record back for the pending write and returns the next
// step. A pending write must exist. A record that does not exist is nil with revision 0.
func (l *Ledger) Resolve(outcome access.Outcome, record *Record, revision uint64) indoubt.NextStep {
	next := l.pendingWrite.CompleteRead(outcome, revision)
	if next == indoubt.Settled {
		l.pendingWrite = nil
		l.Observe(record, revision)
	}
	return next
}

// Abandon drops the pending write of a shard that this member no longer owns. If the write was
// applied, the next observed record contains it. Until then the state service refuses further writes
// because their revision is outdated.
func (l *Ledger) Abandon() { l.pendingWrite = nil }
