package access

import (
	"errors"
	"flag"
	"testing"
)

func init() {
	// A fixed seed gives the same inputs and the same result in every run.
	if err := errors.Join(flag.Set("rapid.seed", "1"), flag.Set("rapid.checks", "2000")); err != nil {
		panic(err)
	}
}

var testSettings = Settings{LeaseTTLMS: 8000, MaxClockDrift: 0.002, AuthoritySlackMS: 50, RequestTimeoutMS: 2000}

// respondAfter sends n requests one after the other. Each gets a response after latencyMS, of which it
// was queued for queuedMS at the member's own rate limit. It returns the time of the last response.
func respondAfter(keeper *LeaseKeeper, now int64, n int, latencyMS, queuedMS int64) int64 {
	for range n {
		requestID := keeper.BeginRequest(now)
		now += latencyMS
		keeper.CompleteRequest(now, requestID, queuedMS, OK)
	}
	return now
}

// Tests that the time after which a response is overdue follows the latency of the service: a member
// detects quickly that a fast service stopped responding, and does not suspect a service that is slow.
func TestOverdueThresholdFollowsServiceLatency(t *testing.T) {
	keeper := NewLeaseKeeper(testSettings)
	now := respondAfter(keeper, 1, 50, 10, 0)
	if got, want := keeper.OverdueAfterMS(), testSettings.RequestTimeoutMS/overdueFloorDivisor; got != want {
		t.Errorf("latency 10 ms: got overdue after %d ms, want %d ms", got, want)
	}
	requestID := keeper.BeginRequest(now)
	if got := keeper.Link(now + 399); got != LinkUp {
		t.Errorf("before a response is overdue: got link %v, want %v", got, LinkUp)
	}
	if got := keeper.Link(now + 401); got != LinkDoubtful {
		t.Errorf("with an overdue response: got link %v, want %v", got, LinkDoubtful)
	}
	keeper.CompleteRequest(now+500, requestID, 0, OK)
	respondAfter(keeper, now, 50, 700, 0)
	if got := keeper.OverdueAfterMS(); got < 700 || got > testSettings.RequestTimeoutMS {
		t.Errorf("latency 700 ms: got overdue after %d ms, want 700 to %d ms", got, testSettings.RequestTimeoutMS)
	}
}

// Tests the bound of LeaseTTLMS in the worst case. The leader sent its proof when the cancellation was
// confirmed, and the clocks of the leader and the worker are slow. At the end of its authority the leader
// responds to a heartbeat that was sent just before, and the worker checks its lease every 40 ms. The
// cancellation time exceeds the worker's lease by little or by much.
func TestLeaseTTLKeepsCancellationBound(t *testing.T) {
	for _, leaseMS := range []int64{500, 4000, 11_000, 32_000, 120_000, 600_000, 3_600_000} {
		minCancelMS := MinCancelMS(leaseMS)
		for _, extraMS := range []int64{0, 1, 50, 500, 2000, 8000, 30_000, 400_000, 5_000_000} {
			checkCancellationBound(t, minCancelMS+extraMS, leaseMS)
		}
		if got := LeaseTTLMS(minCancelMS-5, leaseMS); got >= MinLeaseTTLMS {
			t.Errorf("lease %d ms, cancellation below the minimum: got TTL %d ms, want less than %d ms",
				leaseMS, got, MinLeaseTTLMS)
		}
	}
}

func checkCancellationBound(t *testing.T, cancelMS, leaseMS int64) {
	t.Helper()
	const clockDrift, leaseCheckMS = 0.0005, 40 // as the platform specifies
	ttlMS := LeaseTTLMS(cancelMS, leaseMS)
	if ttlMS < MinLeaseTTLMS || ttlMS > MaxLeaseTTLMS {
		t.Fatalf("lease %d ms, cancellation %d ms: got TTL %d ms, want %d to %d ms",
			leaseMS, cancelMS, ttlMS, MinLeaseTTLMS, MaxLeaseTTLMS)
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
		t.Errorf("lease %d ms, cancellation %d ms: the task ends after %.0f ms", leaseMS, cancelMS, taskGoneAt)
	}
}

// Tests that a watch extends authority only from the time when it was sent, regardless of how long it was
// open or its response was delayed. This includes a response during or after a refusal.
func TestLateWatchResponseExtendsAuthorityOnlyFromItsSending(t *testing.T) {
	settings := Settings{LeaseTTLMS: 10_000, MaxClockDrift: MaxClockDrift, AuthoritySlackMS: 50, RequestTimeoutMS: 2000}
	for _, delayMS := range []int64{10, 1000, 4000, 9000} {
		keeper := NewLeaseKeeper(settings)
		keeper.SetState(1, 100, 100)
		sentAt := int64(200)
		action := keeper.Tick(sentAt)
		if !action.WatchRecords {
			t.Fatal("got no watch request")
		}
		keeper.CompleteLeaseRequest(sentAt+delayMS, OK, 0) // renewed by a request sent at 200
		current := keeper.CompleteCacheRefresh(sentAt+delayMS, action.RefreshID, OK, 0)
		if got := keeper.CacheRefreshSentAt(); !current || got != sentAt {
			t.Errorf("delayed by %d ms: got current %v, cache refresh sent at %d, want true, %d",
				delayMS, current, got, sentAt)
		}
		authorityEnd := sentAt + settings.LeaseTTLMS
		if keeper.HasAuthority(authorityEnd) || !keeper.HasAuthority(authorityEnd-200) {
			t.Errorf("delayed by %d ms: authority does not end just before %d", delayMS, authorityEnd)
		}
	}
}

// Tests that the service counts as responsive if one response is lost while others arrive. When no more
// responses arrive, the requests sent since the last response decide, not the lost one.
func TestServiceStaysResponsiveAfterOneLostResponse(t *testing.T) {
	keeper := NewLeaseKeeper(testSettings)
	now := int64(1)
	keeper.BeginRequest(now) // never gets a response
	for range 40 {
		now = respondAfter(keeper, now, 1, 10, 0) + 35
		if !keeper.IsResponsive(now) {
			t.Fatalf("not responsive at %d while responses arrive", now)
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

// Tests that time in the queue of the member's own rate limit does not count as latency, so that the
// member detects a lost response as early as without the queue.
func TestOwnRateLimitWaitIsNotServiceLatency(t *testing.T) {
	keeper := NewLeaseKeeper(testSettings)
	respondAfter(keeper, 1, 50, 900, 890)
	if got := keeper.TypicalLatencyMS(); got > 50 {
		t.Errorf("latency 10 ms after 890 ms in the queue: got typical latency %d ms, want at most 50 ms", got)
	}
	if got, want := keeper.OverdueAfterMS(), testSettings.RequestTimeoutMS/overdueFloorDivisor; got != want {
		t.Errorf("latency 10 ms after 890 ms in the queue: got overdue after %d ms, want %d ms", got, want)
	}
}
