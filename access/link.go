package access

// LinkState is how requests to the state service fare.
type LinkState int

// The states of the link.
const (
	LinkUp LinkState = iota
	LinkDoubtful
	LinkRefused
	LinkSilent
)

// String returns the texts that operators see in the member's status.
func (l LinkState) String() string { return [...]string{"up", "doubtful", "refused", "silent"}[l] }

// Divisors of the request timeout.
const (
	probeDivisor        = 20 // until the link is probed after its first failure
	overdueFloorDivisor = 5  // no response is overdue sooner
)

// linkMonitor follows how requests fare.
type linkMonitor struct {
	state              LinkState
	unansweredSince    int64 // when the first of the latest requests without a response failed; 0: the last had one
	lastResponseAt     int64
	smoothedLatencyMS  float64
	latencyDeviationMS float64
	inFlight           inFlightRequests
}

// observeLatency takes the latency of a response, as RFC 6298 does.
func (l *linkMonitor) observeLatency(latencyMS float64) {
	if l.smoothedLatencyMS == 0 {
		l.smoothedLatencyMS, l.latencyDeviationMS = latencyMS, latencyMS/2
		return
	}
	deltaMS := latencyMS - l.smoothedLatencyMS
	l.smoothedLatencyMS += deltaMS / 8
	l.latencyDeviationMS += (max(deltaMS, -deltaMS) - l.latencyDeviationMS) / 4
}

// Link returns how requests fare by now.
func (k *LeaseKeeper) Link(now int64) LinkState {
	link := &k.link
	if link.state == LinkUp && k.hasOverdueRequest(now) {
		link.state = LinkDoubtful
	}
	if k.isLinkSilent(now) {
		link.state = LinkSilent
		k.scheduleProbe(now)
	}
	return link.state
}

// isLinkSilent reports whether the link becomes silent now.
func (k *LeaseKeeper) isLinkSilent(now int64) bool {
	link := &k.link
	if link.state != LinkSilent && link.unansweredSince != 0 && now-link.unansweredSince > k.retryIntervalMS() {
		return true
	}
	oldestSentAt, hasInFlight := link.inFlight.oldest(0)
	noResponseSince := hasInFlight && link.lastResponseAt < oldestSentAt
	return link.state == LinkDoubtful && noResponseSince && now-oldestSentAt > 2*k.OverdueAfterMS()
}

// BeginRequest notes a request whose response is waited for. The caller passes the ID to
// CompleteRequest, once.
func (k *LeaseKeeper) BeginRequest(now int64) (id RequestID) { return k.link.inFlight.add(now) }

// CompleteRequest notes how such a request ended. queuedMS is how long it was queued for the member's
// own rate limit, which is not the service's latency.
func (k *LeaseKeeper) CompleteRequest(now int64, id RequestID, queuedMS int64, outcome Outcome) {
	if sentAt := k.link.inFlight.remove(id); outcome.ProcessedByService() {
		k.link.observeLatency(float64(max(0, now-sentAt-queuedMS)))
	}
	k.ObserveOutcome(now, outcome)
}

// ObserveOutcome notes how a request ended whose latency says nothing, since it may have been queued
// for all of it.
func (k *LeaseKeeper) ObserveOutcome(now int64, outcome Outcome) {
	link := &k.link
	switch outcome {
	case Unknown:
		if link.unansweredSince == 0 {
			link.unansweredSince = now
			k.scheduleProbe(now)
		}
	case Throttled:
		// The member's own doing: it says nothing of the service.
	case Refused:
		link.unansweredSince = 0
		if link.state != LinkRefused {
			link.state = LinkRefused
			k.scheduleProbe(now)
		}
	default:
		link.unansweredSince, link.state, link.lastResponseAt = 0, LinkUp, now
	}
}

// scheduleProbe has the lease requested or renewed soon: the response shows that the link is up again,
// whatever else is sent meanwhile.
func (k *LeaseKeeper) scheduleProbe(now int64) {
	k.lease.nextRequestAt = min(k.lease.nextRequestAt, now+k.settings.RequestTimeoutMS/probeDivisor)
}

// TypicalLatencyMS returns the latency that few responses exceed.
func (k *LeaseKeeper) TypicalLatencyMS() int64 {
	return min(k.settings.RequestTimeoutMS, int64(k.link.smoothedLatencyMS+4*k.link.latencyDeviationMS))
}

// OverdueAfterMS returns after how long a response is overdue.
func (k *LeaseKeeper) OverdueAfterMS() int64 {
	return max(k.settings.RequestTimeoutMS/overdueFloorDivisor, k.TypicalLatencyMS())
}

// IsResponsive reports whether the service responds as far as is known: a response that is lost while
// others come makes the link doubtful, and is no reason to relay requests through peers.
func (k *LeaseKeeper) IsResponsive(now int64) bool {
	switch k.Link(now) {
	case LinkUp:
		return true
	case LinkDoubtful:
		oldestSentAt, hasInFlight := k.link.inFlight.oldest(k.link.lastResponseAt)
		return !hasInFlight || now-oldestSentAt <= k.OverdueAfterMS()
	}
	return false
}

// hasOverdueRequest reports whether a request waits longer than responses take.
func (k *LeaseKeeper) hasOverdueRequest(now int64) bool {
	oldestSentAt, ok := k.link.inFlight.oldest(0)
	return ok && now-oldestSentAt > k.OverdueAfterMS()
}

// RequestID names a request in flight.
type RequestID uint64

// inFlightRequests keeps when the requests in flight were sent, in that order.
type inFlightRequests struct {
	firstID RequestID
	sentAt  []int64 // 0: completed
}

func (q *inFlightRequests) add(sentAt int64) RequestID {
	q.sentAt = append(q.sentAt, max(sentAt, 1))
	return q.firstID + RequestID(len(q.sentAt)-1)
}

// remove returns when the request was sent, 0 if it is not in flight.
func (q *inFlightRequests) remove(id RequestID) int64 {
	if id < q.firstID || id >= q.firstID+RequestID(len(q.sentAt)) {
		return 0
	}
	sentAt := q.sentAt[id-q.firstID]
	if sentAt == 0 {
		return 0
	}
	q.sentAt[id-q.firstID] = 0
	n := 0
	for n < len(q.sentAt) && q.sentAt[n] == 0 {
		n++
	}
	q.firstID, q.sentAt = q.firstID+RequestID(n), q.sentAt[n:]
	return sentAt
}

// oldest returns when the first request in flight was sent, of those sent at notBefore or later.
func (q *inFlightRequests) oldest(notBefore int64) (sentAt int64, ok bool) {
	for _, sentAt := range q.sentAt {
		if sentAt != 0 && sentAt >= notBefore {
			return sentAt, true
		}
	}
	return 0, false
}
