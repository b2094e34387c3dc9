package access

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// The transitions that the package comment lists.
var (
	leaseTransitions = map[LeaseState][]LeaseState{
		LeaseAbsent:    {LeaseRequested},
		LeaseRequested: {LeaseAbsent, LeaseGranted},
		LeaseGranted:   {LeaseRenewing},
		LeaseRenewing:  {LeaseGranted, LeaseAbsent},
	}
	cacheTransitions = map[CacheState][]CacheState{
		CacheUnsynced: {CacheListing},
		CacheListing:  {CacheSynced, CacheUnsynced},
		CacheSynced:   {CacheWatching, CacheUnsynced},
		CacheWatching: {CacheSynced, CacheUnsynced},
	}
	linkTransitions = map[LinkState][]LinkState{
		LinkUp:       {LinkDoubtful, LinkRefused, LinkSilent},
		LinkDoubtful: {LinkUp, LinkRefused, LinkSilent},
		LinkRefused:  {LinkUp, LinkSilent},
		LinkSilent:   {LinkUp, LinkRefused},
	}
)

// seenTransitions is the set of transitions in all histories.
type seenTransitions struct {
	lease map[[2]LeaseState]bool
	cache map[[2]CacheState]bool
	link  map[[2]LinkState]bool
}

func newSeenTransitions() *seenTransitions {
	return &seenTransitions{map[[2]LeaseState]bool{}, map[[2]CacheState]bool{}, map[[2]LinkState]bool{}}
}

func isAllowed[S comparable](transitions map[S][]S, from, to S) bool {
	return from == to || slices.Contains(transitions[from], to)
}

func checkAllSeen[S comparable](t *testing.T, name string, transitions map[S][]S, seen map[[2]S]bool) {
	t.Helper()
	for from, targets := range transitions {
		for _, to := range targets {
			if !seen[[2]S{from, to}] {
				t.Errorf("%s: transition from %v to %v was not reached", name, from, to)
			}
		}
	}
}

type requestKind string

const (
	leaseRequest requestKind = "lease"
	cacheRequest requestKind = "cache"
	otherRequest requestKind = "other"
)

type request struct {
	id        RequestID
	sentAt    int64
	kind      requestKind
	refreshID uint64
}

// faultHistory is a LeaseKeeper and a service that responds, refuses, does not respond and loses leases,
// in any order.
type faultHistory struct {
	t            *rapid.T
	seen         *seenTransitions
	keeper       *LeaseKeeper
	now          int64
	inFlight     []request
	leaseProofAt int64
	cacheProofAt int64
}

// checkInvariants checks the transition from the state before an input, and the authority.
func (h *faultHistory) checkInvariants(before LeaseKeeper) {
	from, to := before.lease.state, h.keeper.lease.state
	if !isAllowed(leaseTransitions, from, to) {
		h.t.Fatalf("lease: unexpected transition from %v to %v", from, to)
	}
	cacheFrom, cacheTo := before.cache.state, h.keeper.cache.state
	if !isAllowed(cacheTransitions, cacheFrom, cacheTo) {
		h.t.Fatalf("cache: unexpected transition from %v to %v", cacheFrom, cacheTo)
	}
	linkFrom, linkTo := before.link.state, h.keeper.link.state
	if !isAllowed(linkTransitions, linkFrom, linkTo) {
		h.t.Fatalf("link: unexpected transition from %v to %v", linkFrom, linkTo)
	}
	h.seen.lease[[2]LeaseState{from, to}] = true
	h.seen.cache[[2]CacheState{cacheFrom, cacheTo}] = true
	h.seen.link[[2]LinkState{linkFrom, linkTo}] = true

	driftMS := int64(float64(testSettings.LeaseTTLMS) * testSettings.MaxClockDrift)
	validMS := testSettings.LeaseTTLMS - driftMS - testSettings.AuthoritySlackMS
	if h.keeper.HasAuthority(h.now) && h.now >= min(h.leaseProofAt, h.cacheProofAt)+validMS {
		h.t.Fatalf("authority at %d with proofs sent at %d and %d", h.now, h.leaseProofAt, h.cacheProofAt)
	}
}

// send records a request. It checks that no other lease or cache request of the same kind is in flight,
// except for a cache refresh that was superseded.
func (h *faultHistory) send(kind requestKind, refreshID uint64) {
	for _, r := range h.inFlight {
		superseded := kind == cacheRequest && r.refreshID < refreshID
		if r.kind == kind && kind != otherRequest && !superseded {
			h.t.Fatalf("two %s requests in flight", kind)
		}
	}
	h.inFlight = append(h.inFlight, request{h.keeper.BeginRequest(h.now), h.now, kind, refreshID})
}

func (h *faultHistory) tick() {
	h.now += rapid.Int64Range(0, 1500).Draw(h.t, "ms")
	action := h.keeper.Tick(h.now)
	if action.GrantLease || action.RenewLease != 0 {
		h.send(leaseRequest, 0)
	}
	if action.ListRecords || action.WatchRecords {
		h.send(cacheRequest, action.RefreshID)
	}
}

// completeOne completes a request in flight with a drawn outcome.
func (h *faultHistory) completeOne() {
	if len(h.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(h.inFlight)-1).Draw(h.t, "request")
	r := h.inFlight[i]
	h.inFlight = slices.Delete(h.inFlight, i, i+1)
	outcomes := []Outcome{OK, OK, OK, NotFound, Conflict, Gone, Refused, Throttled, Unknown}
	outcome := rapid.SampledFrom(outcomes).Draw(h.t, "outcome")
	before := *h.keeper
	h.keeper.CompleteRequest(h.now, r.id, 0, outcome)
	if outcome.ProcessedByService() && h.keeper.link.state != LinkUp {
		h.t.Fatalf("after a response: got link %v, want up", h.keeper.link.state)
	}
	h.checkInvariants(before)
	before = *h.keeper
	switch r.kind {
	case leaseRequest:
		h.completeLeaseRequest(r, outcome)
	case cacheRequest:
		if h.keeper.CompleteCacheRefresh(h.now, r.refreshID, outcome, 0.5) && outcome == OK {
			h.cacheProofAt = max(h.cacheProofAt, r.sentAt)
		}
	}
	h.checkInvariants(before)
}

func (h *faultHistory) completeLeaseRequest(r request, outcome Outcome) {
	renewing := h.keeper.lease.state == LeaseRenewing
	lost := h.keeper.CompleteLeaseRequest(h.now, outcome, 7)
	if outcome == OK {
		h.leaseProofAt = r.sentAt
	}
	if want := renewing && (outcome == NotFound || outcome == Gone); lost != want {
		h.t.Fatalf("outcome %v (renewing: %v): got lost %v, want %v", outcome, renewing, lost, want)
	}
}

func (h *faultHistory) step() {
	before := *h.keeper
	switch rapid.IntRange(0, 5).Draw(h.t, "event") {
	case 0, 1:
		h.tick()
	case 2:
		h.send(otherRequest, 0)
	case 3:
		h.keeper.ResyncCache(h.now)
	case 4:
		h.keeper.Link(h.now)
	case 5:
		h.completeOne()
		return
	}
	h.checkInvariants(before)
}

// checkNotStuck ends all requests in flight without a response. Then a request for the lease and one for
// the cache must become due.
func (h *faultHistory) checkNotStuck() {
	for _, r := range h.inFlight {
		h.keeper.CompleteRequest(h.now, r.id, 0, Unknown)
		switch r.kind {
		case leaseRequest:
			h.keeper.CompleteLeaseRequest(h.now, Unknown, 0)
		case cacheRequest:
			h.keeper.CompleteCacheRefresh(h.now, r.refreshID, Unknown, 0.5)
		}
	}
	h.now += h.keeper.RenewIntervalMS() + testSettings.RequestTimeoutMS
	action := h.keeper.Tick(h.now)
	wantsLease := action.GrantLease || action.RenewLease != 0
	wantsRefresh := action.ListRecords || action.WatchRecords
	if !wantsLease || !wantsRefresh {
		h.t.Fatalf("stuck with lease %v, cache %v", h.keeper.lease.state, h.keeper.cache.state)
	}
	if sentAt, ok := h.keeper.link.inFlight.oldest(0); ok {
		h.t.Fatalf("request sent at %d is still counted as in flight", sentAt)
	}
}

// Tests that only listed transitions occur under any behavior of the service. At most one request for the
// lease and one for the cache are in flight, authority requires two recent proofs, and neither gets stuck.
func TestOnlyListedTransitionsUnderAnyServiceBehavior(t *testing.T) {
	seen := newSeenTransitions()
	rapid.Check(t, func(t *rapid.T) {
		h := &faultHistory{t: t, seen: seen, keeper: NewLeaseKeeper(testSettings), now: 1}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			h.step()
		}
		h.checkNotStuck()
	})
	checkAllSeen(t, "link", linkTransitions, seen.link)
	checkAllSeen(t, "lease", leaseTransitions, seen.lease)
	checkAllSeen(t, "cache", cacheTransitions, seen.cache)
}
