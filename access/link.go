package access

// LinkState is the state of the link to the state service.
type LinkState int

// The states of the link.
const (
	LinkUp LinkState = iota
	LinkDoubtful
	LinkRefused
	LinkSilent
)

// String returns the text that the member's status shows to operators.
func (l LinkState) String() string { return [...]string{"up", "doubtful", "refused", "silent"}[l] }

// Divisors of the request timeout.
const (
	probeDivisor        = 20 // delay of the probe after the first failure
	overdueFloorDivisor = 5  // lower bound of the time after which a response is overdue
)

// linkMonitor tracks the outcomes and the latency of requests.
type linkMonitor struct {
	state              LinkState
	unansweredSince    int64 // when the first of the latest requests without a response failed; 0: none
	lastResponseAt     int64
	smoothedLatencyMS  float64
	latencyDeviationMS float64
	inFlight           inFlightRequests
}

// observeLatency adds the latency of a response to the estimates of RFC 6298.
func (l *linkMonitor) observeLatency(latencyMS float64) {
	if l.smoothedLatencyMS == 0 {
		l.smoothedLatencyMS, l.latencyDeviationMS = latencyMS, latencyMS/2
		return
	}
	deltaMS := latencyMS - l.smoothedLatencyMS
	l.smoothedLatencyMS += deltaMS / 8
	l.latencyDeviationMS += (max(deltaMS, -deltaMS) - l.latencyDeviationMS) / 4
}

// Link returns the current state of the link.
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

// isLinkSilent reports whether the link changes to silent now.
func (k *LeaseKeeper) isLinkSilent(now int64) bool {
	link := &k.link
	if link.state != LinkSilent && link.unansweredSince != 0 && now-link.unansweredSince > k.retryIntervalMS() {
		return true
	}
	oldestSentAt, hasInFlight := link.inFlight.oldest(0)
	noResponseSince := hasInFlight && link.lastResponseAt < oldestSentAt
	return link.state == LinkDoubtful && noResponseSince && now-oldestSentAt > 2*k.OverdueAfterMS()
}

// BeginRequest records a request that was sent and awaits a response. The caller passes the ID to
// CompleteRequest, once.
func (k *LeaseKeeper) BeginRequest(now int64) (id RequestID) { return k.link.inFlight.add(now) }

// CompleteRequest records the outcome of a request. queuedMS is the time that it was queued at the
// member's own rate limit, which does not count as latency of the service.
func (k *LeaseKeeper) CompleteRequest(now int64, id RequestID, queuedMS int64, outcome Outcome) {
	if sentAt := k.link.inFlight.remove(id); outcome.ProcessedByService() {
		k.link.observeLatency(float64(max(0, now-sentAt-queuedMS)))
	}
	k.ObserveOutcome(now, outcome)
}

// ObserveOutcome records the outcome of a request without its latency, for requests that may have been
// queued all the time.
func (k *LeaseKeeper) ObserveOutcome(now int64, outcome Outcome) {
	link := &k.link
	switch outcome {
	case Unknown:
		if link.unansweredSince == 0 {
			link.unansweredSince = now
			k.scheduleProbe(now)
		}
	case Throttled:
		// The member's own rate limit caused this, not the service.
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

// scheduleProbe schedules a request or renewal of the lease soon. Its response shows that the link is up
// again, even if the member sends no other request.
func (k *LeaseKeeper) scheduleProbe(now int64) {
	k.lease.nextRequestAt = min(k.lease.nextRequestAt, now+k.settings.RequestTimeoutMS/probeDivisor)
}

// TypicalLatencyMS returns a latency that few responses exceed.
func (k *LeaseKeeper) TypicalLatencyMS() int64 {
	return min(k.settings.RequestTimeoutMS, int64(k.link.smoothedLatencyMS+4*k.link.latencyDeviationMS))
}

// OverdueAfterMS returns the time after which a response is overdue.
func (k *LeaseKeeper) OverdueAfterMS() int64 {
	return max(k.settings.RequestTimeoutMS/overdueFloorDivisor, k.TypicalLatencyMS())
}

// IsResponsive reports whether the service responds, as far as is known. If one response is lost while
// others arrive, the link is doubtful, but the member need not relay requests through peers.
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

// hasOverdueRequest reports whether the response to a request in flight is overdue.
func (k *LeaseKeeper) hasOverdueRequest(now int64) bool {
	oldestSentAt, ok := k.link.inFlight.oldest(0)
	return ok && now-oldestSentAt > k.OverdueAfterMS()
}

// RequestID identifies a request in flight.
type RequestID uint64

// inFlightRequests holds the send times of the requests in flight, in ascending order.
type inFlightRequests struct {
	firstID RequestID
	sentAt  []int64 // 0: completed
}

func (q *inFlightRequests) add(sentAt int64) RequestID {
	q.sentAt = append(q.sentAt, max(sentAt, 1))
	return q.firstID + RequestID(len(q.sentAt)-1)
}

// remove removes a request and returns when it was sent, or 0 if it is not in flight.
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

// oldest returns the send time of the oldest request in flight that was sent at notBefore or later.
func (q *inFlightRequests) oldest(notBefore int64) (sentAt int64, ok bool) {
	for _, sentAt := range q.sentAt {
		if sentAt != 0 && sentAt >= notBefore {
			return sentAt, true
		}
	}
	return 0, false
}
