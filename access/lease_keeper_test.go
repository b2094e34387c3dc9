package access

import (
	"errors"
	"flag"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func init() {
	// The same inputs every time, so that the verdict is the same.
	if err := errors.Join(flag.Set("rapid.seed", "1"), flag.Set("rapid.checks", "2000")); err != nil {
		panic(err)
	}
}

var testSettings = Settings{LeaseTTLMS: 8000, MaxClockDrift: 0.002, AuthoritySlackMS: 50, RequestTimeoutMS: 2000}

// The transitions of the package's comment.
var (
	leaseTransitions = map[LeaseState][]LeaseState{
		LeaseAbsent:    {LeaseRequested},
		LeaseRequested: {LeaseAbsent, LeaseGranted},
		LeaseGranted:   {LeaseRenewing},
		LeaseRenewing:  {LeaseGranted, LeaseAbsent},
	}
	mirrorTransitions = map[MirrorState][]MirrorState{
		MirrorUnsynced: {MirrorListing},
		MirrorListing:  {MirrorSynced, MirrorUnsynced},
		MirrorSynced:   {MirrorWatching, MirrorUnsynced},
		MirrorWatching: {MirrorSynced, MirrorUnsynced},
	}
	linkTransitions = map[LinkState][]LinkState{
		LinkUp:       {LinkDoubtful, LinkRefused, LinkSilent},
		LinkDoubtful: {LinkUp, LinkRefused, LinkSilent},
		LinkRefused:  {LinkUp, LinkSilent},
		LinkSilent:   {LinkUp, LinkRefused},
	}
)

type request struct {
	id     RequestID
	sentAt int64
	kind   string
	readID uint64
}

// A service that answers, refuses, is silent and forgets holds, in any order:
// whatever it does, only listed transitions happen, no request of the hold or of
// the mirror goes out beside another, authority rests on two proofs that are
// young enough, and nothing gets stuck.
func TestOnlyListedTransitionsUnderAnyServiceBehavior(t *testing.T) {
	seenTransitions := map[any]bool{}
	rapid.Check(t, func(t *rapid.T) {
		keeper := NewLeaseKeeper(testSettings)
		now := int64(1)
		var inFlight []request
		var leaseProofAt, mirrorProofAt int64
		outcomes := []Outcome{OK, OK, OK, NotFound, Conflict, Gone, Refused, Throttled, Unknown}
		checkInvariants := func(before LeaseKeeper) {
			if keeper.leaseState != before.leaseState &&
				!slices.Contains(leaseTransitions[before.leaseState], keeper.leaseState) {
				t.Fatalf("hold: %v to %v", before.leaseState, keeper.leaseState)
			}
			if keeper.mirrorState != before.mirrorState &&
				!slices.Contains(mirrorTransitions[before.mirrorState], keeper.mirrorState) {
				t.Fatalf("mirror: %v to %v", before.mirrorState, keeper.mirrorState)
			}
			if keeper.linkState != before.linkState && !slices.Contains(linkTransitions[before.linkState], keeper.linkState) {
				t.Fatalf("link: %v to %v", before.linkState, keeper.linkState)
			}
			seenTransitions[[2]LeaseState{before.leaseState, keeper.leaseState}], seenTransitions[[2]MirrorState{before.mirrorState, keeper.mirrorState}], seenTransitions[[2]LinkState{before.linkState, keeper.linkState}] = true, true, true
			if authorityEnd := min(leaseProofAt, mirrorProofAt) + testSettings.LeaseTTLMS - int64(float64(testSettings.LeaseTTLMS)*testSettings.MaxClockDrift) - testSettings.AuthoritySlackMS; keeper.HasAuthority(
				now,
			) &&
				now >= authorityEnd {
				t.Fatalf("authority at %d, proofs at %d and %d", now, leaseProofAt, mirrorProofAt)
			}
		}
		sendRequest := func(kind string, readID uint64) {
			for _, r := range inFlight {
				if r.kind == kind && kind != "other" && !(kind == "look" && r.readID < readID) {
					t.Fatalf("two requests %s at once", kind)
				}
			}
			r := request{sentAt: now, kind: kind, readID: readID}
			r.id = keeper.BeginRequest(now)
			inFlight = append(inFlight, r)
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			before := *keeper
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0, 1:
				now += rapid.Int64Range(0, 1500).Draw(t, "ms")
				action := keeper.Tick(now)
				if action.GrantLease || action.RenewLease != 0 {
					sendRequest("hold", 0)
				}
				if action.ListMirror || action.WatchMirror {
					sendRequest("look", action.ReadID)
				}
			case 2:
				sendRequest("other", 0)
			case 3:
				keeper.ResyncMirror(now)
			case 4:
				keeper.Link(now)
			case 5:
				if len(inFlight) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(inFlight)-1).Draw(t, "which")
				r := inFlight[i]
				inFlight = slices.Delete(inFlight, i, i+1)
				outcome := rapid.SampledFrom(outcomes).Draw(t, "outcome")
				keeper.CompleteRequest(now, r.id, 0, outcome)
				if outcome.ProcessedByService() && keeper.linkState != LinkUp {
					t.Fatalf("an answer leaves the link %v", keeper.linkState)
				}
				checkInvariants(before)
				before = *keeper
				switch r.kind {
				case "hold":
					renewing := keeper.leaseState == LeaseRenewing
					lost := keeper.CompleteLeaseRequest(now, outcome, 7)
					if outcome == OK {
						leaseProofAt = r.sentAt
					}
					if lost != (renewing && (outcome == NotFound || outcome == Gone)) {
						t.Fatalf("lost %v after %v", lost, outcome)
					}
				case "look":
					if keeper.CompleteMirrorRead(now, r.readID, outcome, 0.5) && outcome == OK {
						mirrorProofAt = max(mirrorProofAt, r.sentAt)
					}
				}
			}
			checkInvariants(before)
		}
		// All that is open ends; then whatever it was, it goes on.
		for _, r := range inFlight {
			keeper.CompleteRequest(now, r.id, 0, Unknown)
			switch r.kind {
			case "hold":
				keeper.CompleteLeaseRequest(now, Unknown, 0)
			case "look":
				keeper.CompleteMirrorRead(now, r.readID, Unknown, 0.5)
			}
		}
		now += keeper.RenewIntervalMS() + testSettings.RequestTimeoutMS
		action := keeper.Tick(now)
		if !action.GrantLease && action.RenewLease == 0 || !action.ListMirror && !action.WatchMirror {
			t.Fatalf("stuck with hold %v, mirror %v", keeper.leaseState, keeper.mirrorState)
		}
		if _, ok := keeper.inFlight.oldest(0); ok {
			t.Fatal("a request is still thought to be under way")
		}
	})
	for from, targets := range linkTransitions {
		for _, to := range targets {
			if !seenTransitions[[2]LinkState{from, to}] {
				t.Errorf("link: never from %v to %v", from, to)
			}
		}
	}
	for from, targets := range leaseTransitions {
		for _, to := range targets {
			if !seenTransitions[[2]LeaseState{from, to}] {
				t.Errorf("hold: never from %v to %v", from, to)
			}
		}
	}
	for from, targets := range mirrorTransitions {
		for _, to := range targets {
			if !seenTransitions[[2]MirrorState{from, to}] {
				t.Errorf("mirror: never from %v to %v", from, to)
			}
		}
	}
}

// A member that the service has stopped answering notices within the time that
// answers take, and not sooner when the service is only slow.
func TestOverdueThresholdFollowsServiceLatency(t *testing.T) {
	keeper := NewLeaseKeeper(testSettings)
	now := int64(1)
	for range 50 {
		requestID := keeper.BeginRequest(now)
		now += 10
		keeper.CompleteRequest(now, requestID, 0, OK)
	}
	if overdueMS := keeper.OverdueAfterMS(); overdueMS != testSettings.RequestTimeoutMS/overdueFloorDivisor {
		t.Errorf("overdue after %d ms with answers in 10", overdueMS)
	}
	requestID := keeper.BeginRequest(now)
	if keeper.Link(now + 399); keeper.linkState != LinkUp {
		t.Error("doubtful too soon")
	}
	if keeper.Link(now + 401); keeper.linkState != LinkDoubtful {
		t.Error("not doubtful though an answer is overdue")
	}
	keeper.CompleteRequest(now+500, requestID, 0, OK)
	for range 50 {
		requestID := keeper.BeginRequest(now)
		now += 700
		keeper.CompleteRequest(now, requestID, 0, OK)
	}
	if overdueMS := keeper.OverdueAfterMS(); overdueMS < 700 || overdueMS > testSettings.RequestTimeoutMS {
		t.Errorf("overdue after %d ms with answers in 700", overdueMS)
	}
}

// The bound of Life, with everything at its worst: the proof sent as the cancellation was
// confirmed, the leader's clock slow and the worker's too, the last answer given at the
// end of the authority to a report that was sent just before, a worker that looks at its
// lease every 40 ms. It holds for settings far apart and close together.
func TestLeaseTTLKeepsCancellationBound(t *testing.T) {
	const clockDrift, leaseCheckMS = 0.0005, 40 // of the platform
	for _, leaseMS := range []int64{500, 4000, 11_000, 32_000, 120_000, 600_000, 3_600_000} {
		for _, extraMS := range []int64{0, 1, 50, 500, 2000, 8000, 30_000, 400_000, 5_000_000} {
			cancelMS := MinCancelMS(leaseMS) + extraMS
			ttlMS := LeaseTTLMS(cancelMS, leaseMS)
			if ttlMS < MinLeaseTTLMS || ttlMS > MaxLeaseTTLMS {
				t.Fatalf("lease %d, cancel %d: life %d", leaseMS, cancelMS, ttlMS)
			}
			keeper := NewLeaseKeeper(
				Settings{LeaseTTLMS: ttlMS, MaxClockDrift: MaxClockDrift, AuthoritySlackMS: 50, RequestTimeoutMS: 2000},
			)
			keeper.SetState(1, 1, 1)
			lastAuthorityAt := int64(0)
			for now := ttlMS - ttlMS/10; now <= ttlMS+10; now++ {
				if keeper.HasAuthority(now) {
					lastAuthorityAt = now - 1
				}
			}
			taskGoneAt := float64(lastAuthorityAt)*(1+clockDrift) + float64(leaseMS)*(1+clockDrift) + leaseCheckMS
			if taskGoneAt > float64(cancelMS) {
				t.Errorf("lease %d, cancel %d: a task is there for %.0f ms", leaseMS, cancelMS, taskGoneAt)
			}
		}
		if ttlBelowMin := LeaseTTLMS(MinCancelMS(leaseMS)-5, leaseMS); ttlBelowMin >= MinLeaseTTLMS {
			t.Errorf("lease %d: less than the least leaves a life of %d", leaseMS, ttlBelowMin)
		}
	}
}

// A watch proves what was so when it was sent, however long it was open or its answer was
// held: one that comes late, during a refusal or after, gives no more authority.
func TestLateWatchResponseExtendsAuthorityOnlyFromItsSending(t *testing.T) {
	settings := Settings{LeaseTTLMS: 10_000, MaxClockDrift: MaxClockDrift, AuthoritySlackMS: 50, RequestTimeoutMS: 2000}
	for _, delayMS := range []int64{10, 1000, 4000, 9000} {
		keeper := NewLeaseKeeper(settings)
		keeper.SetState(1, 100, 100)
		now := int64(200)
		action := keeper.Tick(now)
		if !action.WatchMirror {
			t.Fatal("no watch is asked for")
		}
		keeper.CompleteLeaseRequest(now+delayMS, OK, 0) // extended since, by a request sent at 200
		if !keeper.CompleteMirrorRead(now+delayMS, action.ReadID, OK, 0) || keeper.MirrorReadSentAt() != now {
			t.Errorf("held for %d ms: fresh since %d, sent at %d", delayMS, keeper.MirrorReadSentAt(), now)
		}
		if authorityEnd := now + settings.LeaseTTLMS; keeper.HasAuthority(authorityEnd) ||
			!keeper.HasAuthority(authorityEnd-200) {
			t.Errorf("held for %d ms: authority does not end before %d", delayMS, authorityEnd)
		}
	}
}

// One answer that is lost, among others that come, is no reason to ask elsewhere. When
// nothing comes any more, the requests since then tell, not the lost one.
func TestServiceStaysResponsiveAfterOneLostResponse(t *testing.T) {
	keeper := NewLeaseKeeper(testSettings)
	now := int64(1)
	keeper.BeginRequest(now) // never answered
	for range 40 {
		requestID := keeper.BeginRequest(now)
		now += 10
		keeper.CompleteRequest(now, requestID, 0, OK)
		now += 35
		if !keeper.IsResponsive(now) {
			t.Fatalf("not answering at %d though answers come", now)
		}
	}
	keeper.BeginRequest(now)
	if !keeper.IsResponsive(now + keeper.OverdueAfterMS()) {
		t.Error("not answering before an answer is overdue")
	}
	if keeper.IsResponsive(now + keeper.OverdueAfterMS() + 1) {
		t.Error("answering when an answer is overdue and none came since")
	}
	for _, outcome := range []Outcome{Refused, Unknown} {
		keeper := NewLeaseKeeper(testSettings)
		keeper.ObserveOutcome(1, outcome)
		if keeper.IsResponsive(2 + testSettings.RequestTimeoutMS) {
			t.Errorf("answering after outcome %v", outcome)
		}
	}
}

// A member that asks more than its rate allows waits for its own turn: answers are as
// quick as before, and one that is lost is noticed as soon.
func TestOwnRateLimitWaitIsNotServiceLatency(t *testing.T) {
	keeper := NewLeaseKeeper(testSettings)
	now := int64(1)
	for range 50 {
		requestID := keeper.BeginRequest(now)
		now += 900
		keeper.CompleteRequest(now, requestID, 890, OK)
	}
	if keeper.TypicalLatencyMS() > 50 || keeper.OverdueAfterMS() != testSettings.RequestTimeoutMS/overdueFloorDivisor {
		t.Errorf(
			"answers in 10 ms behind a wait of 890 are usual within %d ms, overdue after %d",
			keeper.TypicalLatencyMS(),
			keeper.OverdueAfterMS(),
		)
	}
}
