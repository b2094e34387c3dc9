package quota

import (
	"maps"
	"slices"

	"github.com/grebedock/grebedock/indoubt"
)

// Demand is a shard's usage of a team's limit and its pending work.
type Demand struct {
	Used           Amounts // running tasks, and unreported tasks that may be running
	Pending        Amounts // tasks that are not running
	Startable      Amounts // part of Pending that fits on machines
	LargestPending Amounts // largest pending task
	LargestTask    Amounts // largest task, pending or not
	UsageUncertain bool    // Used may fall when unreported machines report; no request is raised meanwhile
}

// requestRiseFactor and requestFallFactor are thresholds for a shortfall relative to its recorded
// request. The request is written again only if the shortfall is beyond them, since requests follow
// queue lengths, which change with every task.
const (
	requestRiseFactor = 1.25
	requestFallFactor = 0.5
)

// Propose returns the write that a shard's demand requires, and records it as pending. It returns nil
// if no write is needed or one is already pending. The write grants unneeded allocation to other
// shards and records the shard's own shortfall. Only the shard's owner may call Propose.
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

// needsNewRequest reports whether a shard's request no longer matches its shortfall.
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

// newRequest returns the request for a shortfall beyond the allocation that the shard retains.
func newRequest(shortfall Amounts, demand Demand, retained Amounts, sinceMS int64) Request {
	free := retained.Sub(demand.Used).nonNegative()
	return Request{
		Amounts:      shortfall,
		Startable:    shortfall.Min(demand.Startable.Sub(free).nonNegative()),
		MinIncrement: demand.LargestPending.Sub(free).nonNegative().Min(shortfall),
		SinceMS:      sinceMS,
	}
}

// sumInOrder adds up grants in shard order, so that rounding is deterministic.
func sumInOrder(grants map[string]Amounts) (sum Amounts) {
	for _, shard := range slices.Sorted(maps.Keys(grants)) {
		sum = sum.Add(grants[shard])
	}
	return sum
}

// applyGrants moves grants from a shard's allocation to the recipients' allocations, and reduces the
// recipients' requests accordingly.
func (r *Record) applyGrants(from string, grants map[string]Amounts) {
	for _, recipient := range slices.Sorted(maps.Keys(grants)) { // sorted for deterministic rounding
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

// setRequest records a shard's request, or removes it if the shortfall is insignificant.
func (r *Record) setRequest(shard string, request Request) {
	if !request.isSignificant() {
		delete(r.Requests, shard)
		return
	}
	r.Requests[shard] = request
}

// grantSpare returns the grants to other shards from a shard's spare allocation, as computed by
// Divide.
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
		delete(l.unusableSince, shard) // no other shard waits for the retained allocation
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

// trackUnusableAllocation reports whether a shard has retained an allocation too small for its next
// task for longer than the grace period. The shard then grants it to others, and its own task starts
// to wait again.
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

// idleLoanDivisor determines standing loans. While the home shard does not use it, one half of the
// limit is divided equally among all shards, and the parts of the other shards are lent to them.
// With these loans the other shards continue to start tasks while the home shard has no owner to
// grant them allocation.
const idleLoanDivisor = 2

// lendIdle adds standing loans to the home shard's grants. If at least half of the limit is idle, it
// raises the allocation of each shard that has less than half of a loan to a full loan. It makes no
// loans smaller than the largest task, since the task would not fit in them.
func (l *Ledger) lendIdle(grants map[string]Amounts, spare Amounts, demand Demand) {
	if len(l.otherShards) == 0 || !demand.LargestTask.isSignificant() {
		return
	}
	loan := l.limit.Scale(1 / float64(idleLoanDivisor*(len(l.otherShards)+1)))
	idle := spare.Sub(demand.Pending).nonNegative()
	allocations := l.cachedAllocations()
	for _, d := range dimensions {
		limit, target := d.value(l.limit), d.value(loan)
		if limit <= 0 || d.value(demand.LargestTask) > target || d.value(idle) < limit/idleLoanDivisor {
			continue
		}
		for _, shard := range l.otherShards {
			if current := d.value(allocations[shard]); current < target/2 {
				grants[shard] = grants[shard].Add(d.amounts(target - current))
			}
		}
	}
}
