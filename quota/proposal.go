package quota

import (
	"maps"
	"slices"

	"github.com/grebedock/grebedock/indoubt"
)

// Demand is a shard's use of a team's limit and its pending work.
type Demand struct {
	Used           Amounts // what runs, or may run unseen
	Pending        Amounts // what does not run
	Startable      Amounts // of Pending, what has room on machines
	LargestPending Amounts // the largest pending task
	LargestTask    Amounts // the largest task of all, pending or not
	UsageUncertain bool    // Used may fall when unseen machines report: no request is raised
}

// requestRiseFactor and requestFallFactor are how far a request must move before it is written
// again: requests follow queues, which change with every task.
const (
	requestRiseFactor = 1.25
	requestFallFactor = 0.5
)

// Propose returns the write that a shard's demand calls for and keeps it as pending; nil if none is
// needed or one is pending already. The write grants to other shards what this one does not
// need, and records what it lacks. Only the shard's owner may call it.
func (l *Ledger) Propose(nowMS int64, shard string, demand Demand) *Write {
	if l.pendingWrite != nil {
		return nil
	}
	requests := l.requests()
	allocation := l.cachedAllocations()[shard]
	spare := allocation.Sub(demand.Used).nonNegative()
	grants := l.grantSpare(nowMS, shard, demand, spare)
	if len(requests) == 0 && shard == l.homeShard {
		l.lendIdle(grants, spare, demand)
	}
	retained := allocation.Sub(sumInOrder(grants))
	shortfall := demand.Used.Add(demand.Pending).Sub(retained).nonNegative().Min(l.limit.Sub(retained).nonNegative())
	ownRequest, hasRequest := requests[shard]
	requestChanged := needsNewRequest(ownRequest, hasRequest, shortfall, demand.UsageUncertain)
	if len(grants) == 0 && !requestChanged {
		return nil
	}

	record := Record{Allocations: l.Allocations(), Requests: maps.Clone(requests)}
	if record.Requests == nil {
		record.Requests = map[string]Request{}
	}
	record.applyGrants(shard, grants)
	if requestChanged {
		sinceMS := nowMS
		if hasRequest {
			sinceMS = ownRequest.SinceMS
		}
		record.setRequest(shard, newRequest(shortfall, demand, retained, sinceMS))
	}
	l.pendingWrite = &Write{
		Shard:            shard,
		Record:           record,
		ConditionalWrite: indoubt.ConditionalWrite{Revision: l.revision},
	}
	return l.pendingWrite
}

// needsNewRequest reports whether a shard's request no longer describes what it lacks.
func needsNewRequest(current Request, exists bool, shortfall Amounts, usageUncertain bool) bool {
	switch {
	case !shortfall.isSignificant():
		return exists
	case usageUncertain:
		return false
	case !exists:
		return true
	}
	rose := shortfall.CPUs > current.CPUs*requestRiseFactor+roundingTolerance ||
		shortfall.GPUs > current.GPUs*requestRiseFactor+roundingTolerance
	fell := shortfall.CPUs < current.CPUs*requestFallFactor-roundingTolerance ||
		shortfall.GPUs < current.GPUs*requestFallFactor-roundingTolerance
	return rose || fell
}

// newRequest describes a shortfall beside what the shard retains.
func newRequest(shortfall Amounts, demand Demand, retained Amounts, sinceMS int64) Request {
	free := retained.Sub(demand.Used).nonNegative()
	return Request{
		Amounts:      shortfall,
		Startable:    shortfall.Min(demand.Startable.Sub(free).nonNegative()),
		MinIncrement: demand.LargestPending.Sub(free).nonNegative().Min(shortfall),
		SinceMS:      sinceMS,
	}
}

// sumInOrder adds grants up in the order of shards, so that rounding is the same every time.
func sumInOrder(grants map[string]Amounts) (sum Amounts) {
	for _, shard := range slices.Sorted(maps.Keys(grants)) {
		sum = sum.Add(grants[shard])
	}
	return sum
}

// applyGrants moves grants from a shard's allocation to the others', and takes them off what
// those requested.
func (r *Record) applyGrants(from string, grants map[string]Amounts) {
	for _, recipient := range slices.Sorted(maps.Keys(grants)) { // for the same rounding every time
		grant := grants[recipient]
		r.Allocations[from] = r.Allocations[from].Sub(grant)
		r.Allocations[recipient] = r.Allocations[recipient].Add(grant)
		request := r.Requests[recipient]
		request.Amounts = request.Sub(grant).nonNegative()
		request.Startable = request.Startable.Sub(grant).nonNegative()
		request.MinIncrement = request.MinIncrement.Sub(grant).nonNegative()
		r.setRequest(recipient, request)
	}
}

// setRequest records a shard's request, or removes it once nothing is lacking.
func (r *Record) setRequest(shard string, request Request) {
	if !request.isSignificant() {
		delete(r.Requests, shard)
		return
	}
	r.Requests[shard] = request
}

// grantSpare returns what others get of what a shard does not use, in the order of Divide.
func (l *Ledger) grantSpare(nowMS int64, shard string, demand Demand, spare Amounts) map[string]Amounts {
	ownClaim := Claim{
		Shard:        shard,
		Startable:    demand.Startable.Min(demand.Pending),
		Total:        demand.Pending,
		MinIncrement: demand.LargestPending,
		SinceMS:      nowMS,
	}
	var otherClaims []Claim
	for requester, request := range l.requests() {
		if requester == shard {
			ownClaim.SinceMS = request.SinceMS
			continue
		}
		otherClaims = append(otherClaims, Claim{
			Shard:        requester,
			Startable:    request.Startable.Min(request.Amounts),
			Total:        request.Amounts,
			MinIncrement: request.MinIncrement,
			SinceMS:      request.SinceMS,
		})
	}
	if !spare.isSignificant() || len(otherClaims) == 0 {
		delete(l.unusableSince, shard) // nobody waits for what it retains
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

// trackUnusableAllocation reports whether a shard has retained less than its next task needs for
// longer than the grace period. It then grants that to others, and its task waits anew.
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

// idleLoanDivisor is the share of a limit that is lent to the other shards, in equal shares, while
// the home has no use for it: half. With it they continue while the home has no owner who could
// grant them anything.
const idleLoanDivisor = 2

// lendIdle adds standing loans to the home's grants: once half of the limit is idle, every shard
// whose allocation fell below half of a loan is brought up to a loan. A loan smaller than a task
// would be of no use to anyone.
func (l *Ledger) lendIdle(grants map[string]Amounts, spare Amounts, demand Demand) {
	if len(l.otherShards) == 0 || !demand.LargestTask.isSignificant() {
		return
	}
	loan := l.limit.Scale(1 / float64(idleLoanDivisor*(len(l.otherShards)+1)))
	idle := spare.Sub(demand.Pending).nonNegative()
	allocations := l.cachedAllocations()
	for _, d := range dimensions {
		limit, target := d.of(l.limit), d.of(loan)
		if limit <= 0 || d.of(demand.LargestTask) > target || d.of(idle) < limit/idleLoanDivisor {
			continue
		}
		for _, shard := range l.otherShards {
			if current := d.of(allocations[shard]); current < target/2 {
				grants[shard] = grants[shard].Add(d.amounts(target - current))
			}
		}
	}
}
