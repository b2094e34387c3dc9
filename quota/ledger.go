// Package quota keeps teams' limits and guarantees while several controllers decide
// for themselves, at the same moment, with some of them away. It is pure: what is used,
// what waits and what others said comes in; what may be used, written or stopped goes
// out. Times are milliseconds.
//
// A limit is divided among the shards by one record a team in the state service (Book):
//
//	parts    what each shard may use; over all shards never more than the limit
//	wants    what shards lack: how much, how much of it at once, the smallest use, since when
//
// A write is a shard's, under its claim and the record's revision. It lowers the writer's
// own part by what it gives to shards that want it, and says what the writer lacks itself,
// so at any revision the parts add up to the limit, whoever writes, in whatever order, and
// a write that comes late is refused. What one member counts on for a shard of its own:
//
//	the record's part          no write of the shard is under way
//	the smaller of both        a write is under way: sent, unanswered, or answered by nobody
//	the record's part          a newer revision is known: the write was applied or is void
//
// A write that nobody answered is in doubt until it is settled (package indoubt): a refusal
// of a further try says nothing of the first. Without a record the whole limit
// is the home's, the shard that the team's jobs go to. Where the limit in force is lower
// than what the parts add up to, all are taken in proportion; where it is higher, the rest
// is the home's. So members whose settings differ for a while keep to the larger limit.
//
// What a giver has beyond its use goes first to what can start at once, here and there,
// the smallest use of the longest waiting first, so that one large task is not starved by
// halves; then to the rest, in proportion to what waits (Divide). What it keeps and can't
// use, since its next task is larger, it keeps for a while only (Patience): then others
// have it, and its own task waits anew.
//
// A guarantee needs no record. Which jobs are within it follows from the jobs themselves,
// which every member mirrors (Within): a team's unfinished jobs in the order in which they
// came, as far as they fit together. A task of such a job is in one shard's hands, so it
// is asked for once, and all that is asked for is no more than the guarantee.
//
// What may be stopped for it is what teams use beyond their own guarantees, over all
// members (Watch). Each may stop its part of the excess, in proportion to what it has;
// and having stopped something, no more than that part until each of the others has
// said what it uses after it heard of that. So decisions that know nothing of each other rest
// on the same figures, and no team is pushed below its guarantee. A member that is not
// heard counts as using nothing, which leaves less to stop.
package quota

import (
	"maps"
	"slices"

	"github.com/grebedock/grebedock/access"
	"github.com/grebedock/grebedock/indoubt"
)

// Amounts is what limits and guarantees count.
type Amounts struct {
	CPUs float64 `json:"cpus,omitempty" msgpack:"CPUs"`
	GPUs float64 `json:"gpus,omitempty" msgpack:"GPUs"`
}

// Add adds up.
func (a Amounts) Add(b Amounts) Amounts { return Amounts{a.CPUs + b.CPUs, a.GPUs + b.GPUs} }

// Sub takes b off a.
func (a Amounts) Sub(b Amounts) Amounts { return Amounts{a.CPUs - b.CPUs, a.GPUs - b.GPUs} }

// Scale is n of a.
func (a Amounts) Scale(factor float64) Amounts { return Amounts{a.CPUs * factor, a.GPUs * factor} }

// Min is the smaller of both, each dimension by itself.
func (a Amounts) Min(b Amounts) Amounts { return Amounts{min(a.CPUs, b.CPUs), min(a.GPUs, b.GPUs)} }

// Max is the larger of both, each dimension by itself.
func (a Amounts) Max(b Amounts) Amounts { return Amounts{max(a.CPUs, b.CPUs), max(a.GPUs, b.GPUs)} }

// isSignificant tells whether there is anything worth a write.
func (a Amounts) isSignificant() bool {
	return a.CPUs > roundingTolerance || a.GPUs > roundingTolerance
}

// roundingTolerance is what sums of fractions are off by.
const roundingTolerance = 1e-6

// Contains tells whether b has room in a.
func (a Amounts) Contains(b Amounts) bool {
	return b.CPUs <= a.CPUs+roundingTolerance && b.GPUs <= a.GPUs+roundingTolerance
}

// Request is what a shard lacks of a limit.
type Request struct {
	Amounts
	Startable    Amounts `json:"soon,omitzero"` // of it, what has room on machines
	MinIncrement Amounts `json:"unit,omitzero"` // the smallest addition that is of use
	SinceMS      int64   `json:"at,omitempty"`  // time of day
}

// Record is a team's, in the state service.
type Record struct {
	Allocations map[string]Amounts `json:"parts"`
	Requests    map[string]Request `json:"wants,omitempty"`
}

// Demand is what a shard has of a team's work.
type Demand struct {
	Used           Amounts // what runs, or may run without our knowing it
	Pending        Amounts // what does not
	Startable      Amounts // of it, what has room on machines
	LargestPending Amounts // the largest task of it
	LargestTask    Amounts // the largest task of all, waiting or not
	UsageUncertain bool    // what is not seen may show room by itself: nothing is asked for
}

// Write is a change of a team's record that a shard's holder sends, guarded by its
// claim and by the record's revision; 0: there is none.
type Write struct {
	Shard  string
	Record Record
	indoubt.ConditionalWrite
}

// Ledger is a team's record as one member knows it, and the write that it has under way.
type Ledger struct {
	limit        Amounts
	homeShard    string
	otherShards  []string // the other shards
	record       *Record  // nil: none
	revision     uint64
	pendingWrite *Write
	allocations  map[string]Amounts // of the record; nil: not worked out yet
	// GracePeriodMS is how long a shard keeps what its next task does not fit in while others
	// want it; 0: for ever.
	GracePeriodMS int64
	unusableSince map[string]int64 // shard: since when it keeps such an amount
}

// NewLedger opens the book of a team whose record is not known yet, or does not exist.
// A limit of 0 in a dimension means none. With other shards named, the home lends them
// standing parts while it has no use for them (see lend).
func NewLedger(limit Amounts, homeShard string, otherShards ...string) *Ledger {
	return &Ledger{limit: limit, homeShard: homeShard, otherShards: otherShards}
}

// Observe takes the store's word; nil says that there is no record.
func (l *Ledger) Observe(record *Record, revision uint64) {
	l.allocations = nil
	switch {
	case record == nil:
		l.record, l.revision = nil, 0
	case revision >= l.revision:
		l.record, l.revision = record, revision
	}
}

// Record is the record as the store was last heard, nil if there is none.
func (l *Ledger) Record() *Record { return l.record }

// Allocations are all shards' parts: what the record, if there is one, means under the limit
// in force.
func (l *Ledger) Allocations() map[string]Amounts { return maps.Clone(l.cachedAllocations()) }

// cachedAllocations works the parts out once for each record: every start asks for one.
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
	var sum Amounts
	for _, shard := range slices.Sorted(maps.Keys(l.record.Allocations)) { // the same sum every time
		sum = sum.Add(l.record.Allocations[shard])
	}
	allocations := maps.Clone(l.record.Allocations)
	fitToLimit := func(sum, limit float64) (factor, remainder float64) {
		if sum > limit && sum > 0 {
			return limit / sum, 0
		}
		return 1, limit - sum
	}
	cpuFactor, cpuRemainder := fitToLimit(sum.CPUs, l.limit.CPUs)
	gpuFactor, gpuRemainder := fitToLimit(sum.GPUs, l.limit.GPUs)
	if cpuFactor == 1 && gpuFactor == 1 && cpuRemainder < roundingTolerance && gpuRemainder < roundingTolerance {
		return allocations
	}
	for shard, allocation := range allocations {
		allocations[shard] = Amounts{allocation.CPUs * cpuFactor, allocation.GPUs * gpuFactor}
	}
	allocations[l.homeShard] = allocations[l.homeShard].Add(Amounts{cpuRemainder, gpuRemainder})
	return allocations
}

// Allocation is what a shard may use.
func (l *Ledger) Allocation(shard string) Amounts {
	allocation := l.cachedAllocations()[shard]
	if l.pendingWrite != nil && l.pendingWrite.Shard == shard && l.revision <= l.pendingWrite.Revision {
		allocation = allocation.Min(l.pendingWrite.Record.Allocations[shard])
	}
	return allocation
}

// requestRiseFactor and requestFallFactor are by how much a want must change to be written anew: wants
// follow queues, which change with every task.
const (
	requestRiseFactor = 1.25
	requestFallFactor = 0.5
)

// Propose returns the write that a shard's demand asks for, and takes it for sent; nil
// if there is none. It gives what others want of what this shard does not need, and
// tells what it lacks.
func (l *Ledger) Propose(nowMS int64, shard string, demand Demand) *Write {
	if l.pendingWrite != nil {
		return nil
	}
	var requests map[string]Request
	if l.record != nil {
		requests = l.record.Requests
	}
	ownRequest, hasRequest := requests[shard]
	allocation := l.cachedAllocations()[shard]
	spare := allocation.Sub(demand.Used).Max(Amounts{})
	grants := l.grantSpare(nowMS, shard, demand, spare)
	if len(requests) == 0 && shard == l.homeShard {
		l.lendIdle(grants, spare, demand)
	}
	granted := Amounts{}
	for _, recipient := range slices.Sorted(maps.Keys(grants)) {
		granted = granted.Add(grants[recipient])
	}
	shortfall := demand.Used.Add(
		demand.Pending,
	).Sub(
		allocation.Sub(granted),
	).Max(
		Amounts{},
	).Min(
		l.limit.Sub(allocation.Sub(granted)).Max(Amounts{}),
	)
	requestChanged := false
	switch {
	case !shortfall.isSignificant():
		requestChanged = hasRequest
	case demand.UsageUncertain:
		shortfall = ownRequest.Amounts
	default:
		requestChanged = !hasRequest || shortfall.CPUs > ownRequest.CPUs*requestRiseFactor+roundingTolerance || shortfall.GPUs > ownRequest.GPUs*requestRiseFactor+roundingTolerance ||
			shortfall.CPUs < ownRequest.CPUs*requestFallFactor-roundingTolerance ||
			shortfall.GPUs < ownRequest.GPUs*requestFallFactor-roundingTolerance
	}
	if len(grants) == 0 && !requestChanged {
		return nil
	}
	record := Record{Allocations: l.Allocations(), Requests: maps.Clone(requests)}
	if record.Requests == nil {
		record.Requests = map[string]Request{}
	}
	for _, recipient := range slices.Sorted(maps.Keys(grants)) { // the same difference every time
		grant := grants[recipient]
		record.Allocations[shard] = record.Allocations[shard].Sub(grant)
		record.Allocations[recipient] = record.Allocations[recipient].Add(grant)
		request := requests[recipient]
		request.Amounts, request.Startable, request.MinIncrement = request.Sub(
			grant,
		).Max(
			Amounts{},
		), request.Startable.Sub(
			grant,
		).Max(
			Amounts{},
		), request.MinIncrement.Sub(
			grant,
		).Max(
			Amounts{},
		)
		if !request.isSignificant() {
			delete(record.Requests, recipient)
		} else {
			record.Requests[recipient] = request
		}
	}
	if requestChanged {
		if shortfall.isSignificant() {
			sinceMS := nowMS
			if hasRequest {
				sinceMS = ownRequest.SinceMS
			}
			free := allocation.Sub(granted).Sub(demand.Used).Max(Amounts{})
			record.Requests[shard] = Request{
				shortfall,
				shortfall.Min(demand.Startable.Sub(free).Max(Amounts{})),
				demand.LargestPending.Sub(free).Max(Amounts{}).Min(shortfall),
				sinceMS,
			}
		} else {
			delete(record.Requests, shard)
		}
	}
	l.pendingWrite = &Write{Shard: shard, Record: record, ConditionalWrite: indoubt.ConditionalWrite{Revision: l.revision}}
	return l.pendingWrite
}

// grantSpare gives what others want of what a shard does not use, in the order of Divide.
func (l *Ledger) grantSpare(nowMS int64, shard string, demand Demand, spare Amounts) map[string]Amounts {
	var requests map[string]Request
	if l.record != nil {
		requests = l.record.Requests
	}
	ownClaim := Claim{
		Shard:        shard,
		Startable:    demand.Startable.Min(demand.Pending),
		Total:        demand.Pending,
		MinIncrement: demand.LargestPending,
		SinceMS:      nowMS,
	}
	if ownRequest, hasRequest := requests[shard]; hasRequest {
		ownClaim.SinceMS = ownRequest.SinceMS
	}
	var otherClaims []Claim
	for other, request := range requests {
		if other != shard {
			otherClaims = append(
				otherClaims,
				Claim{other, request.Startable.Min(request.Amounts), request.Amounts, request.MinIncrement, request.SinceMS},
			)
		}
	}
	if !spare.isSignificant() || len(otherClaims) == 0 {
		delete(l.unusableSince, shard) // nobody waits for what it keeps
		return map[string]Amounts{}
	}
	grants := Divide(spare, append([]Claim{ownClaim}, otherClaims...))
	if l.trackUnusableAllocation(nowMS, shard, grants[shard], demand.LargestPending) {
		grants = Divide(spare, otherClaims)
	}
	delete(grants, shard)
	maps.DeleteFunc(grants, func(_ string, grant Amounts) bool { return !grant.isSignificant() })
	return grants
}

// trackUnusableAllocation tells whether a shard has kept less than its next task needs for too long.
// What it then gives away it collects anew.
func (l *Ledger) trackUnusableAllocation(nowMS int64, shard string, retained, needed Amounts) bool {
	if l.GracePeriodMS == 0 || !retained.isSignificant() || retained.Contains(needed) {
		delete(l.unusableSince, shard)
		return false
	}
	sinceMS, tracked := l.unusableSince[shard]
	if !tracked {
		if l.unusableSince == nil {
			l.unusableSince = map[string]int64{}
		}
		l.unusableSince[shard] = nowMS
		return false
	}
	if nowMS-sinceMS <= l.GracePeriodMS {
		return false
	}
	delete(l.unusableSince, shard)
	return true
}

// idleLoanDivisor is which part of a limit stands with other shards while its home has no use for
// it: half, in equal shares. With it they go on while the home's holder is away, which
// they could not ask then.
const idleLoanDivisor = 2

// lendIdle adds the home's standing loans to what it gives: when half of the limit is idle,
// to each shard whose part has come down to half of a standing one. A part that is smaller
// than a task would be of no use to anyone.
func (l *Ledger) lendIdle(grants map[string]Amounts, spare Amounts, demand Demand) {
	if len(l.otherShards) == 0 || !demand.LargestTask.isSignificant() {
		return
	}
	loan := l.limit.Scale(1 / float64(idleLoanDivisor*(len(l.otherShards)+1)))
	idle := spare.Sub(demand.Pending).Max(Amounts{})
	allocations := l.Allocations()
	lendDimension := func(loan, limit, idle, largestTask float64, allocated func(string) float64, grantTo func(string, float64)) {
		if limit <= 0 || largestTask > loan || idle < limit/idleLoanDivisor {
			return
		}
		for _, shard := range l.otherShards {
			if current := allocated(shard); current < loan/2 {
				grantTo(shard, loan-current)
			}
		}
	}
	lendDimension(
		loan.CPUs,
		l.limit.CPUs,
		idle.CPUs,
		demand.LargestTask.CPUs,
		func(shard string) float64 { return allocations[shard].CPUs },
		func(shard string, amount float64) {
			grants[shard] = grants[shard].Add(Amounts{CPUs: amount})
		},
	)
	lendDimension(
		loan.GPUs,
		l.limit.GPUs,
		idle.GPUs,
		demand.LargestTask.GPUs,
		func(shard string) float64 { return allocations[shard].GPUs },
		func(shard string, amount float64) {
			grants[shard] = grants[shard].Add(Amounts{GPUs: amount})
		},
	)
}

// RecordOutcome tells how a try of the write that is under way ended.
func (l *Ledger) RecordOutcome(outcome access.Outcome) indoubt.NextStep {
	next := l.pendingWrite.CompleteAttempt(outcome)
	if next == indoubt.Settled {
		l.pendingWrite = nil
	}
	return next
}

// Resolve takes what reading the record brought, nil with revision 0 if there is none.
func (l *Ledger) Resolve(outcome access.Outcome, record *Record, revision uint64) indoubt.NextStep {
	next := l.pendingWrite.CompleteRead(outcome, revision)
	if next == indoubt.Settled {
		l.pendingWrite = nil
		l.Observe(record, revision)
	}
	return next
}

// Abandon leaves a write behind whose shard is no longer this member's. Whatever became
// of it, the record says so when it is heard; until then a further write is refused for
// its revision.
func (l *Ledger) Abandon() { l.pendingWrite = nil }

// Claim is a shard's claim on what is to be divided.
type Claim struct {
	Shard        string
	Startable    Amounts // what can start at once
	Total        Amounts // what waits, with that
	MinIncrement Amounts // the smallest use
	SinceMS      int64
}

// Divide divides an amount among claims. What can start at once goes before what would
// wait for machines all the same; within each, the smallest use of each claim goes first,
// the oldest claim before the others, and the rest in proportion.
func Divide(pool Amounts, claims []Claim) map[string]Amounts {
	claims = slices.Clone(claims)
	slices.SortFunc(claims, func(a, b Claim) int {
		if a.SinceMS != b.SinceMS {
			return int(min(1, max(-1, a.SinceMS-b.SinceMS)))
		}
		if a.Shard < b.Shard {
			return -1
		}
		return 1
	})
	grants := map[string]Amounts{}
	for _, c := range claims {
		grants[c.Shard] = Amounts{}
	}
	distribute := func(requested func(Claim) Amounts) {
		for _, c := range claims {
			grant := requested(c).Sub(grants[c.Shard]).Min(c.MinIncrement.Sub(grants[c.Shard])).Max(Amounts{}).Min(pool)
			grants[c.Shard] = grants[c.Shard].Add(grant)
			pool = pool.Sub(grant)
		}
		var totalUnmet Amounts
		unmet := map[string]Amounts{}
		for _, c := range claims {
			unmet[c.Shard] = requested(c).Sub(grants[c.Shard]).Max(Amounts{})
			totalUnmet = totalUnmet.Add(unmet[c.Shard])
		}
		ratio := func(pool, totalUnmet float64) float64 {
			if totalUnmet <= pool {
				return 1
			}
			return pool / totalUnmet
		}
		cpuRatio, gpuRatio := ratio(pool.CPUs, totalUnmet.CPUs), ratio(pool.GPUs, totalUnmet.GPUs)
		for _, c := range claims {
			grant := Amounts{unmet[c.Shard].CPUs * cpuRatio, unmet[c.Shard].GPUs * gpuRatio}
			grants[c.Shard] = grants[c.Shard].Add(grant)
			pool = pool.Sub(grant).Max(Amounts{})
		}
	}
	distribute(func(c Claim) Amounts { return c.Startable })
	distribute(func(c Claim) Amounts { return c.Total })
	return grants
}
