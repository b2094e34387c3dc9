package access

import (
	"errors"
	"flag"
	"testing"
)

func init() {
	// The same inputs every time, so that the verdict is the same.
	if err := errors.Join(flag.Set("rapid.seed", "1"), flag.Set("rapid.checks", "2000")); err != nil {
		panic(err)
	}
}

var testSettings = Settings{LeaseTTLMS: 8000, MaxClockDrift: 0.002, AuthoritySlackMS: 50, RequestTimeoutMS: 2000}

// respondAfter has n requests answered, one after the other, each in latencyMS of which queuedMS were
// waited for the member's own rate limit. It returns the time after the last.
func respondAfter(keeper *LeaseKeeper, now int64, n int, latencyMS, queuedMS int64) int64 {
	for range n {
		requestID := keeper.BeginRequest(now)
		now += latencyMS
		keeper.CompleteRequest(now, requestID, queuedMS, OK)
	}
	return now
}

// A member that the service has stopped answering notices within the time that responses take, and not
// sooner when the service is only slow.
func TestOverdueThresholdFollowsServiceLatency(t *testing.T) {
	keeper := NewLeaseKeeper(testSettings)
	now := respondAfter(keeper, 1, 50, 10, 0)
	if got, want := keeper.OverdueAfterMS(), testSettings.RequestTimeoutMS/overdueFloorDivisor; got != want {
		t.Errorf("latency 10 ms: overdue after %d ms, want %d", got, want)
	}
	requestID := keeper.BeginRequest(now)
	if got := keeper.Link(now + 399); got != LinkUp {
		t.Errorf("before a response is overdue: link %v, want %v", got, LinkUp)
	}
	if got := keeper.Link(now + 401); got != LinkDoubtful {
		t.Errorf("with an overdue response: link %v, want %v", got, LinkDoubtful)
	}
	keeper.CompleteRequest(now+500, requestID, 0, OK)
	respondAfter(keeper, now, 50, 700, 0)
	if got := keeper.OverdueAfterMS(); got < 700 || got > testSettings.RequestTimeoutMS {
		t.Errorf("latency 700 ms: overdue after %d ms, want 700 to %d", got, testSettings.RequestTimeoutMS)
	}
}

// The bound of LeaseTTLMS, with everything at its worst: the proof sent as the cancellation was
// confirmed, the leader's clock slow and the worker's too, the last response sent at the end of the
// authority to a heartbeat that was sent just before, a worker that checks its lease every 40 ms. It
// holds for settings far apart and close together.
func TestLeaseTTLKeepsCancellationBound(t *testing.T) {
	for _, leaseMS := range []int64{500, 4000, 11_000, 32_000, 120_000, 600_000, 3_600_000} {
		minCancelMS := MinCancelMS(leaseMS)
		for _, extraMS := range []int64{0, 1, 50, 500, 2000, 8000, 30_000, 400_000, 5_000_000} {
			checkCancellationBound(t, minCancelMS+extraMS, leaseMS)
		}
		if got := LeaseTTLMS(minCancelMS-5, leaseMS); got >= MinLeaseTTLMS {
			t.Errorf("lease %d ms, less than the least cancellation time: TTL %d ms, want less than %d",
				leaseMS, got, MinLeaseTTLMS)
		}
	}
}

func checkCancellationBound(t *testing.T, cancelMS, leaseMS int64) {
	t.Helper()
	const clockDrift, leaseCheckMS = 0.0005, 40 // of the platform
	ttlMS := LeaseTTLMS(cancelMS, leaseMS)
	if ttlMS < MinLeaseTTLMS || ttlMS > MaxLeaseTTLMS {
		t.Fatalf("lease %d ms, cancellation %d ms: TTL %d ms", leaseMS, cancelMS, ttlMS)
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
		t.Errorf("lease %d ms, cancellation %d ms: the task is gone after %.0f ms", leaseMS, cancelMS, taskGoneAt)
	}
}

// A watch proves what was so when it was sent, however long it was open or its response was delayed: one
// that comes late, during a refusal or after it, gives no more authority.
func TestLateWatchResponseExtendsAuthorityOnlyFromItsSending(t *testing.T) {
	settings := Settings{LeaseTTLMS: 10_000, MaxClockDrift: MaxClockDrift, AuthoritySlackMS: 50, RequestTimeoutMS: 2000}
	for _, delayMS := range []int64{10, 1000, 4000, 9000} {
		keeper := NewLeaseKeeper(settings)
		keeper.SetState(1, 100, 100)
		sentAt := int64(200)
		action := keeper.Tick(sentAt)
		if !action.WatchMirror {
			t.Fatal("no watch is requested")
		}
		keeper.CompleteLeaseRequest(sentAt+delayMS, OK, 0) // renewed since, by a request sent at 200
		current := keeper.CompleteMirrorRead(sentAt+delayMS, action.ReadID, OK, 0)
		if got := keeper.MirrorReadSentAt(); !current || got != sentAt {
			t.Errorf("delayed by %d ms: current %v, proven at %d, want true, %d", delayMS, current, got, sentAt)
		}
		authorityEnd := sentAt + settings.LeaseTTLMS
		if keeper.HasAuthority(authorityEnd) || !keeper.HasAuthority(authorityEnd-200) {
			t.Errorf("delayed by %d ms: authority does not end just before %d", delayMS, authorityEnd)
		}
	}
}

// One response that is lost, among others that come, leaves the service responsive. When no response
// comes any more, the requests since then decide, not the lost one.
func TestServiceStaysResponsiveAfterOneLostResponse(t *testing.T) {
	keeper := NewLeaseKeeper(testSettings)
	now := int64(1)
	keeper.BeginRequest(now) // never answered
	for range 40 {
		now = respondAfter(keeper, now, 1, 10, 0) + 35
		if !keeper.IsResponsive(now) {
			t.Fatalf("not responsive at %d though responses come", now)
		}
	}
	keeper.BeginRequest(now)
	if !keeper.IsResponsive(now + keeper.OverdueAfterMS()) {
		t.Error("not responsive before a response is overdue")
	}
	if keeper.IsResponsive(now + keeper.OverdueAfterMS() + 1) {
		t.Error("responsive with an overdue response and none since")
	}
	for _, outcome := range []Outcome{Refused, Unknown} {
		keeper := NewLeaseKeeper(testSettings)
		keeper.ObserveOutcome(1, outcome)
		if keeper.IsResponsive(2 + testSettings.RequestTimeoutMS) {
			t.Errorf("responsive after outcome %v", outcome)
		}
	}
}

// A member that exceeds its own rate limit queues requests: responses are as quick as before, and one
// that is lost is noticed as soon.
func TestOwnRateLimitWaitIsNotServiceLatency(t *testing.T) {
	keeper := NewLeaseKeeper(testSettings)
	respondAfter(keeper, 1, 50, 900, 890)
	if got := keeper.TypicalLatencyMS(); got > 50 {
		t.Errorf("latency 10 ms after 890 in the queue: typical latency %d ms, want at most 50", got)
	}
	if got, want := keeper.OverdueAfterMS(), testSettings.RequestTimeoutMS/overdueFloorDivisor; got != want {
		t.Errorf("latency 10 ms after 890 in the queue: overdue after %d ms, want %d", got, want)
	}
}
