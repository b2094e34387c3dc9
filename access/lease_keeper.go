// Package access decides how a member stands with the state service: its hold,
// its mirror of what lives there, its link, and with them its authority. It is a
// pure state machine. Time is an input, in milliseconds of one steady clock; it
// asks for at most one request of the hold and one of the mirror at a time, and
// is told how each ended.
//
// The hold:
//
//	from       input                       to         asks
//	none       due                         asking     a hold
//	asking     OK                          kept       -
//	asking     any other                   none       again after Retry
//	kept       due                         extending  an extension
//	extending  OK                          kept       again after Step
//	extending  NotFound, Gone              none       a hold, at once; what hung on it is lost
//	extending  any other                   kept       again after Retry
//
// The mirror:
//
//	unread     due                         reading    a list of all
//	reading    OK                          read       a watch, at once
//	reading    any other                   unread     again after Retry
//	read       due                         watching   a watch
//	watching   OK                          read       again after Pause
//	watching   Gone                        unread     a list, at once
//	watching   any other                   read       again after Retry and a spread
//	read, watching  Reread                 unread     a list, at once
//
// The link, by what becomes of all requests but watches, and by the time of those
// that are not put off when the member's rate is short:
//
//	up         an answer is overdue        doubtful
//	up, doubtful, refused  no answer in its time, for Retry      silent
//	doubtful   twice overdue, and no answer to anything since    silent
//	any        503                         refused
//	any        an answer of any other kind up
//
// What is overdue follows the service's own answers, as RFC 6298 does for
// TCP: their smoothed time and four times its deviation, and a floor.
package access

import (
	"math"
	"time"
)

// Outcome is how a request ended.
type Outcome int

// The outcomes. Refused is a 503, which was not executed; Throttled was not
// executed either, since more was asked than is allowed; Unknown had no answer.
const (
	OK Outcome = iota
	NotFound
	Conflict
	Gone
	Refused
	Throttled
	Unknown
)

// ProcessedByService tells whether the service itself dealt with the request.
func (o Outcome) ProcessedByService() bool { return o <= Gone }

// Settings are a member's times, in milliseconds.
type Settings struct {
	LeaseTTLMS       int64   // of a hold
	MaxClockDrift    float64 // bound on how far two steady clocks part
	AuthoritySlackMS int64   // taken off the authority, for a tick's length
	RequestTimeoutMS int64   // after which a request without an answer is Unknown
}

// Parts of a hold's life, and of a request's timeout.
const (
	renewDivisor        = 8   // an extension and a watch's length
	watchPauseDivisor   = 100 // between two watches: several changes share an answer
	retryDivisor        = 4   // of the timeout: until what failed is asked again
	probeDivisor        = 20  // of the timeout: until the link is probed after its first failure
	overdueFloorDivisor = 5   // of the timeout: no answer is overdue sooner
	watchJitterDivisor  = 10  // of the timeout: watches that failed together come back apart
)

// MaxClockDrift bounds how far two steady clocks part: the platform says 0.05 %, and this is
// four times as much, for both ends and some slack.
const MaxClockDrift = 0.002

// Of what a cancellation leaves beyond a lease, and of the whole, what a hold may not
// take: for clocks, a tick, a worker that looks at its lease now and then, the kill.
const (
	ttlShare    = 0.9
	ttlMarginMS = 100 // ms
	// Holds of other lives are no use: the state service takes at most ten minutes,
	// and within less than a second nothing can be extended.
	MinLeaseTTLMS = 1000
	MaxLeaseTTLMS = 600_000
)

// LeaseTTLMS is how long a hold, and with it the authority of its holder, may last where a
// cancelled task must be gone within cancelMS and a lease is leaseMS. The bound, for a
// leader that a peer's confirmed cancellation does not reach, from the confirmation:
//
//	the leader's last proof was sent before it      0 at most
//	its authority lasts                             + Life, less drift and slack
//	the last report it answers was sent before      + 0
//	that worker's lease, from the report's sending  + leaseMS, and drift of the worker's clock
//	the worker notices, and kills                   + a tick of the worker's
//
// Without a share for the rest, a cancel_s close above a large lease_s left the drift of
// the lease's own clock nothing (0.3 s of 600). Below MinLeaseTTLMS there is none.
func LeaseTTLMS(cancelMS, leaseMS int64) int64 {
	remainingMS := float64(cancelMS - leaseMS)
	return int64(min(remainingMS*ttlShare, remainingMS-float64(cancelMS)*MaxClockDrift-ttlMarginMS, MaxLeaseTTLMS))
}

// MinCancelMS is the least time for cancellations beside a lease, in milliseconds: with
// less there is no Life.
func MinCancelMS(leaseMS int64) int64 {
	lease := float64(leaseMS)
	return int64(math.Ceil(max(lease+MinLeaseTTLMS/ttlShare, (lease+MinLeaseTTLMS+ttlMarginMS)/(1-MaxClockDrift))))
}

// LeaseState is a state of the hold.
type LeaseState int

// The states of the hold.
const (
	LeaseAbsent LeaseState = iota
	LeaseRequested
	LeaseGranted
	LeaseRenewing
)

// MirrorState is a state of the mirror.
type MirrorState int

// The states of the mirror.
const (
	MirrorUnsynced MirrorState = iota
	MirrorListing
	MirrorSynced
	MirrorWatching
)

// LinkState is a state of the link.
type LinkState int

// The states of the link.
const (
	LinkUp LinkState = iota
	LinkDoubtful
	LinkRefused
	LinkSilent
)

func (l LinkState) String() string { return [...]string{"up", "doubtful", "refused", "silent"}[l] }

// LeaseKeeper is a member's standing. The zero value is not ready; use New.
type LeaseKeeper struct {
	settings Settings

	leaseState         LeaseState
	leaseID            uint64 // of the hold, 0: none
	renewalSentAt      int64  // when the request that keeps it was sent
	leaseRequestSentAt int64  // when the one under way was
	nextLeaseRequestAt int64  // when to ask next

	mirrorState        MirrorState
	mirrorReadSentAt   int64 // when the last list or watch that came back was sent
	pendingReadSentAt  int64 // when the one under way was
	readID             uint64
	nextReadAt         int64
	linkState          LinkState
	unansweredSince    int64 // when the first request failed that had no answer; 0: the last had one
	lastResponseAt     int64 // when the last answer came
	smoothedLatencyMS  float64
	latencyDeviationMS float64
	inFlight           inFlightRequests // of requests under way, by when they were sent
}

// NewLeaseKeeper returns the standing of a member that has just started.
func NewLeaseKeeper(settings Settings) *LeaseKeeper { return &LeaseKeeper{settings: settings} }

// RenewIntervalMS is how often a hold is extended and how long a watch waits.
func (k *LeaseKeeper) RenewIntervalMS() int64 { return k.settings.LeaseTTLMS / renewDivisor }

func (k *LeaseKeeper) retryIntervalMS() int64 {
	return max(1, min(k.RenewIntervalMS(), k.settings.RequestTimeoutMS/retryDivisor))
}

// LeaseID is the hold's name, 0 without one.
func (k *LeaseKeeper) LeaseID() uint64 { return k.leaseID }

// IsSynced tells whether the mirror has been read.
func (k *LeaseKeeper) IsSynced() bool { return k.mirrorState >= MirrorSynced }

// MirrorReadSentAt is when the last look at the mirror that came back was sent.
func (k *LeaseKeeper) MirrorReadSentAt() int64 { return k.mirrorReadSentAt }

// Link is how requests fare by now.
func (k *LeaseKeeper) Link(now int64) LinkState {
	if k.linkState == LinkUp && k.hasOverdueRequest(now) {
		k.linkState = LinkDoubtful
	}
	oldestSentAt, hasInFlight := k.inFlight.oldest(0)
	if k.linkState != LinkSilent && k.unansweredSince != 0 && now-k.unansweredSince > k.retryIntervalMS() ||
		k.linkState == LinkDoubtful && hasInFlight && k.lastResponseAt < oldestSentAt &&
			now-oldestSentAt > 2*k.OverdueAfterMS() {
		k.linkState = LinkSilent
		k.scheduleProbe(now)
	}
	return k.linkState
}

// HasAuthority tells whether the member may act for its shards: counted from the
// sending of the last extension and of the last look that came back, since
// either may be stuck while the other works.
func (k *LeaseKeeper) HasAuthority(now int64) bool {
	if k.leaseID == 0 || !k.IsSynced() {
		return false
	}
	return now < min(
		k.renewalSentAt,
		k.mirrorReadSentAt,
	)+k.settings.LeaseTTLMS-int64(
		float64(k.settings.LeaseTTLMS)*k.settings.MaxClockDrift,
	)-k.settings.AuthoritySlackMS
}

// SetState sets the standing: a hold, kept since a request that was sent then (none
// if it is 0), and a mirror that was looked at then. Tests of what rests on it
// begin with one.
func (k *LeaseKeeper) SetState(leaseID uint64, renewalSentAt, mirrorReadSentAt int64) {
	k.leaseState, k.leaseID, k.renewalSentAt, k.mirrorState, k.mirrorReadSentAt = LeaseAbsent, leaseID, renewalSentAt, MirrorSynced, mirrorReadSentAt
	if leaseID != 0 {
		k.leaseState = LeaseGranted
	}
}

// Action is what a tick wants asked of the service.
type Action struct {
	GrantLease  bool   // a new hold
	RenewLease  uint64 // this hold
	ListMirror  bool
	WatchMirror bool
	ReadID      uint64 // names the list or watch
}

// Tick lets time pass.
func (k *LeaseKeeper) Tick(now int64) (action Action) {
	if now >= k.nextLeaseRequestAt {
		switch k.leaseState {
		case LeaseAbsent:
			k.leaseState, k.leaseRequestSentAt, action.GrantLease = LeaseRequested, now, true
		case LeaseGranted:
			k.leaseState, k.leaseRequestSentAt, action.RenewLease = LeaseRenewing, now, k.leaseID
		}
	}
	if now >= k.nextReadAt {
		switch k.mirrorState {
		case MirrorUnsynced:
			k.mirrorState, k.pendingReadSentAt, action.ListMirror = MirrorListing, now, true
			k.readID++
		case MirrorSynced:
			k.mirrorState, k.pendingReadSentAt, action.WatchMirror = MirrorWatching, now, true
			k.readID++
		}
	}
	action.ReadID = k.readID
	return action
}

// CompleteLeaseRequest ends the request for a hold or its extension. id is that of a new hold;
// lost tells that the old one is over, with all that hung on it.
func (k *LeaseKeeper) CompleteLeaseRequest(now int64, outcome Outcome, grantedID uint64) (lost bool) {
	switch k.leaseState {
	case LeaseRequested:
		k.leaseState, k.nextLeaseRequestAt = LeaseAbsent, now+k.retryIntervalMS()
		if outcome == OK {
			k.leaseState, k.leaseID, k.renewalSentAt, k.nextLeaseRequestAt = LeaseGranted, grantedID, k.leaseRequestSentAt, now+k.RenewIntervalMS()
		}
	case LeaseRenewing:
		k.leaseState, k.nextLeaseRequestAt = LeaseGranted, now+k.retryIntervalMS()
		switch outcome {
		case OK:
			k.renewalSentAt, k.nextLeaseRequestAt = k.leaseRequestSentAt, now+k.RenewIntervalMS()
		case NotFound, Gone:
			k.leaseState, k.leaseID, k.nextLeaseRequestAt = LeaseAbsent, 0, now
			return true
		}
	}
	return false
}

// CompleteMirrorRead ends a list or a watch. One that Reread has overtaken is not current:
// what it brings is to be dropped. spread, in [0,1), keeps members apart that
// failed together.
func (k *LeaseKeeper) CompleteMirrorRead(now int64, readID uint64, outcome Outcome, jitter float64) (current bool) {
	switch {
	case readID != k.readID || k.mirrorState != MirrorListing && k.mirrorState != MirrorWatching:
		return false
	case k.mirrorState == MirrorListing && outcome == OK:
		k.mirrorState, k.mirrorReadSentAt, k.nextReadAt = MirrorSynced, k.pendingReadSentAt, now
	case k.mirrorState == MirrorListing:
		k.mirrorState, k.nextReadAt = MirrorUnsynced, now+k.retryIntervalMS()
	case outcome == OK:
		k.mirrorState, k.mirrorReadSentAt, k.nextReadAt = MirrorSynced, max(
			k.mirrorReadSentAt,
			k.pendingReadSentAt,
		), now+k.settings.LeaseTTLMS/watchPauseDivisor
	case outcome == Gone:
		k.mirrorState, k.nextReadAt = MirrorUnsynced, now
	default:
		k.mirrorState, k.nextReadAt = MirrorSynced, now+k.retryIntervalMS()*3/5+int64(
			jitter*float64(k.settings.RequestTimeoutMS/watchJitterDivisor),
		)
	}
	return true
}

// ResyncMirror has the mirror read anew: something in it cannot be so.
func (k *LeaseKeeper) ResyncMirror(now int64) {
	if k.mirrorState >= MirrorSynced {
		k.mirrorState, k.nextReadAt = MirrorUnsynced, now
	}
}

// BeginRequest notes a request whose answer is waited for. The caller gives it back to
// Ended.
func (k *LeaseKeeper) BeginRequest(now int64) (id RequestID) { return k.inFlight.add(now) }

// CompleteRequest notes how such a request ended. What it waited for its turn in the member's own
// rate is not the service's time.
func (k *LeaseKeeper) CompleteRequest(now int64, id RequestID, queuedMS int64, outcome Outcome) {
	if sentAt := k.inFlight.remove(id); outcome.ProcessedByService() {
		k.observeLatency(float64(max(0, now-sentAt-queuedMS)))
	}
	k.ObserveOutcome(now, outcome)
}

// ObserveOutcome notes how a request ended whose time says nothing: one that may have
// waited for its turn for as long as it took.
func (k *LeaseKeeper) ObserveOutcome(now int64, outcome Outcome) {
	switch {
	case outcome == Unknown:
		if k.unansweredSince == 0 {
			k.unansweredSince = now
			k.scheduleProbe(now)
		}
	case outcome == Throttled:
		// Its own doing; nothing is learned of the service.
	case outcome == Refused:
		k.unansweredSince = 0
		if k.linkState != LinkRefused {
			k.linkState = LinkRefused
			k.scheduleProbe(now)
		}
	default:
		k.unansweredSince, k.linkState, k.lastResponseAt = 0, LinkUp, now
	}
}

// scheduleProbe has the hold asked for soon: its answer tells that the link is up again,
// whatever else is asked meanwhile.
func (k *LeaseKeeper) scheduleProbe(now int64) {
	k.nextLeaseRequestAt = min(k.nextLeaseRequestAt, now+k.settings.RequestTimeoutMS/probeDivisor)
}

func (k *LeaseKeeper) observeLatency(latencyMS float64) {
	if k.smoothedLatencyMS == 0 {
		k.smoothedLatencyMS, k.latencyDeviationMS = latencyMS, latencyMS/2
		return
	}
	deltaMS := latencyMS - k.smoothedLatencyMS
	k.smoothedLatencyMS += deltaMS / 8
	k.latencyDeviationMS += (max(deltaMS, -deltaMS) - k.latencyDeviationMS) / 4
}

// TypicalLatencyMS is how long answers take, but for few.
func (k *LeaseKeeper) TypicalLatencyMS() int64 {
	return min(k.settings.RequestTimeoutMS, int64(k.smoothedLatencyMS+4*k.latencyDeviationMS))
}

// OverdueAfterMS is after how long an answer is overdue.
func (k *LeaseKeeper) OverdueAfterMS() int64 {
	return max(k.settings.RequestTimeoutMS/overdueFloorDivisor, k.TypicalLatencyMS())
}

// IsResponsive tells whether the service answers as far as is known: an answer that is lost
// while others come puts the link in doubt, and is no reason to ask elsewhere.
func (k *LeaseKeeper) IsResponsive(now int64) bool {
	switch k.Link(now) {
	case LinkUp:
		return true
	case LinkDoubtful:
		oldestSentAt, hasInFlight := k.inFlight.oldest(k.lastResponseAt)
		return !hasInFlight || now-oldestSentAt <= k.OverdueAfterMS()
	}
	return false
}

// hasOverdueRequest tells whether a request waits longer than answers take.
func (k *LeaseKeeper) hasOverdueRequest(now int64) bool {
	oldestSentAt, ok := k.inFlight.oldest(0)
	return ok && now-oldestSentAt > k.OverdueAfterMS()
}

// RequestTimeout bounds a request, as the clients of the state service do.
const RequestTimeout = 2 * time.Second

// RequestID names a request under way.
type RequestID uint64

// inFlightRequests keeps when the requests under way were sent, in that order.
type inFlightRequests struct {
	firstID RequestID
	sentAt  []int64 // 0: over
}

func (q *inFlightRequests) add(sentAt int64) RequestID {
	q.sentAt = append(q.sentAt, max(sentAt, 1))
	return q.firstID + RequestID(len(q.sentAt)-1)
}

func (q *inFlightRequests) remove(id RequestID) int64 {
	if id < q.firstID || id >= q.firstID+RequestID(len(q.sentAt)) || q.sentAt[id-q.firstID] == 0 {
		return 0
	}
	sentAt := q.sentAt[id-q.firstID]
	q.sentAt[id-q.firstID] = 0
	n := 0
	for n < len(q.sentAt) && q.sentAt[n] == 0 {
		n++
	}
	q.firstID, q.sentAt = q.firstID+RequestID(n), q.sentAt[n:]
	return sentAt
}

// oldest is when the first of those under way was sent that were not sent before a time.
func (q *inFlightRequests) oldest(notBefore int64) (int64, bool) {
	for _, sentAt := range q.sentAt {
		if sentAt != 0 && sentAt >= notBefore {
			return sentAt, true
		}
	}
	return 0, false
}
