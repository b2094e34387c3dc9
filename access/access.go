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

// Answered tells whether the service itself dealt with the request.
func (o Outcome) Answered() bool { return o <= Gone }

// Settings are a member's times, in milliseconds.
type Settings struct {
	Life    int64   // of a hold
	Drift   float64 // bound on how far two steady clocks part
	Slack   int64   // taken off the authority, for a tick's length
	Timeout int64   // after which a request without an answer is Unknown
}

// Parts of a hold's life, and of a request's timeout.
const (
	stepPart   = 8   // an extension and a watch's length
	pausePart  = 100 // between two watches: several changes share an answer
	retryPart  = 4   // of the timeout: until what failed is asked again
	probePart  = 20  // of the timeout: until the link is probed after its first failure
	floorPart  = 5   // of the timeout: no answer is overdue sooner
	spreadPart = 10  // of the timeout: watches that failed together come back apart
)

// Drift bounds how far two steady clocks part: the platform says 0.05 %, and this is
// four times as much, for both ends and some slack.
const Drift = 0.002

// Of what a cancellation leaves beyond a lease, and of the whole, what a hold may not
// take: for clocks, a tick, a worker that looks at its lease now and then, the kill.
const (
	lifeShare  = 0.9
	lifeMargin = 100 // ms
	// Holds of other lives are no use: the state service takes at most ten minutes,
	// and within less than a second nothing can be extended.
	MinLife = 1000
	MaxLife = 600_000
)

// Life is how long a hold, and with it the authority of its holder, may last where a
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
// the lease's own clock nothing (0.3 s of 600). Below MinLife there is none.
func Life(cancelMS, leaseMS int64) int64 {
	over := float64(cancelMS - leaseMS)
	return int64(min(over*lifeShare, over-float64(cancelMS)*Drift-lifeMargin, MaxLife))
}

// LeastCancel is the least time for cancellations beside a lease, in milliseconds: with
// less there is no Life.
func LeastCancel(leaseMS int64) int64 {
	lease := float64(leaseMS)
	return int64(math.Ceil(max(lease+MinLife/lifeShare, (lease+MinLife+lifeMargin)/(1-Drift))))
}

// Hold is a state of the hold.
type Hold int

// The states of the hold.
const (
	NoHold Hold = iota
	Asking
	Kept
	Extending
)

// Mirror is a state of the mirror.
type Mirror int

// The states of the mirror.
const (
	Unread Mirror = iota
	Reading
	Read
	Watching
)

// Link is a state of the link.
type Link int

// The states of the link.
const (
	Up Link = iota
	Doubtful
	RefusedHere
	Silent
)

func (l Link) String() string { return [...]string{"up", "doubtful", "refused", "silent"}[l] }

// Access is a member's standing. The zero value is not ready; use New.
type Access struct {
	s Settings

	hold     Hold
	id       uint64 // of the hold, 0: none
	holdSent int64  // when the request that keeps it was sent
	asked    int64  // when the one under way was
	holdAt   int64  // when to ask next

	mirror    Mirror
	fresh     int64 // when the last list or watch that came back was sent
	looked    int64 // when the one under way was
	look      uint64
	mirrorAt  int64
	link      Link
	since     int64 // when the first request failed that had no answer; 0: the last had one
	answered  int64 // when the last answer came
	smooth    float64
	deviation float64
	open      queue // of requests under way, by when they were sent
}

// New returns the standing of a member that has just started.
func New(s Settings) *Access { return &Access{s: s} }

// Step is how often a hold is extended and how long a watch waits.
func (a *Access) Step() int64 { return a.s.Life / stepPart }

func (a *Access) retry() int64 { return max(1, min(a.Step(), a.s.Timeout/retryPart)) }

// Hold is the hold's name, 0 without one.
func (a *Access) Hold() uint64 { return a.id }

// Synced tells whether the mirror has been read.
func (a *Access) Synced() bool { return a.mirror >= Read }

// Fresh is when the last look at the mirror that came back was sent.
func (a *Access) Fresh() int64 { return a.fresh }

// Link is how requests fare by now.
func (a *Access) Link(now int64) Link {
	if a.link == Up && a.overdue(now) {
		a.link = Doubtful
	}
	sent, open := a.open.oldest(0)
	if a.link != Silent && a.since != 0 && now-a.since > a.retry() || a.link == Doubtful && open && a.answered < sent && now-sent > 2*a.Late() {
		a.link = Silent
		a.probe(now)
	}
	return a.link
}

// Authority tells whether the member may act for its shards: counted from the
// sending of the last extension and of the last look that came back, since
// either may be stuck while the other works.
func (a *Access) Authority(now int64) bool {
	if a.id == 0 || !a.Synced() {
		return false
	}
	return now < min(a.holdSent, a.fresh)+a.s.Life-int64(float64(a.s.Life)*a.s.Drift)-a.s.Slack
}

// Stand sets the standing: a hold, kept since a request that was sent then (none
// if it is 0), and a mirror that was looked at then. Tests of what rests on it
// begin with one.
func (a *Access) Stand(hold uint64, holdSent, fresh int64) {
	a.hold, a.id, a.holdSent, a.mirror, a.fresh = NoHold, hold, holdSent, Read, fresh
	if hold != 0 {
		a.hold = Kept
	}
}

// Ask is what a tick wants asked of the service.
type Ask struct {
	Hold   bool   // a new hold
	Extend uint64 // this hold
	List   bool
	Watch  bool
	Look   uint64 // names the list or watch
}

// Tick lets time pass.
func (a *Access) Tick(now int64) (ask Ask) {
	if now >= a.holdAt {
		switch a.hold {
		case NoHold:
			a.hold, a.asked, ask.Hold = Asking, now, true
		case Kept:
			a.hold, a.asked, ask.Extend = Extending, now, a.id
		}
	}
	if now >= a.mirrorAt {
		switch a.mirror {
		case Unread:
			a.mirror, a.looked, ask.List = Reading, now, true
			a.look++
		case Read:
			a.mirror, a.looked, ask.Watch = Watching, now, true
			a.look++
		}
	}
	ask.Look = a.look
	return ask
}

// Held ends the request for a hold or its extension. id is that of a new hold;
// lost tells that the old one is over, with all that hung on it.
func (a *Access) Held(now int64, o Outcome, id uint64) (lost bool) {
	switch a.hold {
	case Asking:
		a.hold, a.holdAt = NoHold, now+a.retry()
		if o == OK {
			a.hold, a.id, a.holdSent, a.holdAt = Kept, id, a.asked, now+a.Step()
		}
	case Extending:
		a.hold, a.holdAt = Kept, now+a.retry()
		switch o {
		case OK:
			a.holdSent, a.holdAt = a.asked, now+a.Step()
		case NotFound, Gone:
			a.hold, a.id, a.holdAt = NoHold, 0, now
			return true
		}
	}
	return false
}

// Looked ends a list or a watch. One that Reread has overtaken is not current:
// what it brings is to be dropped. spread, in [0,1), keeps members apart that
// failed together.
func (a *Access) Looked(now int64, look uint64, o Outcome, spread float64) (current bool) {
	switch {
	case look != a.look || a.mirror != Reading && a.mirror != Watching:
		return false
	case a.mirror == Reading && o == OK:
		a.mirror, a.fresh, a.mirrorAt = Read, a.looked, now
	case a.mirror == Reading:
		a.mirror, a.mirrorAt = Unread, now+a.retry()
	case o == OK:
		a.mirror, a.fresh, a.mirrorAt = Read, max(a.fresh, a.looked), now+a.s.Life/pausePart
	case o == Gone:
		a.mirror, a.mirrorAt = Unread, now
	default:
		a.mirror, a.mirrorAt = Read, now+a.retry()*3/5+int64(spread*float64(a.s.Timeout/spreadPart))
	}
	return true
}

// Reread has the mirror read anew: something in it cannot be so.
func (a *Access) Reread(now int64) {
	if a.mirror >= Read {
		a.mirror, a.mirrorAt = Unread, now
	}
}

// Sent notes a request whose answer is waited for. The caller gives it back to
// Ended.
func (a *Access) Sent(now int64) (ticket Ticket) { return a.open.push(now) }

// Ended notes how such a request ended. What it waited for its turn in the member's own
// rate is not the service's time.
func (a *Access) Ended(now int64, t Ticket, queued int64, o Outcome) {
	if sent := a.open.remove(t); o.Answered() {
		a.took(float64(max(0, now-sent-queued)))
	}
	a.Heard(now, o)
}

// Heard notes how a request ended whose time says nothing: one that may have
// waited for its turn for as long as it took.
func (a *Access) Heard(now int64, o Outcome) {
	switch {
	case o == Unknown:
		if a.since == 0 {
			a.since = now
			a.probe(now)
		}
	case o == Throttled:
		// Its own doing; nothing is learned of the service.
	case o == Refused:
		a.since = 0
		if a.link != RefusedHere {
			a.link = RefusedHere
			a.probe(now)
		}
	default:
		a.since, a.link, a.answered = 0, Up, now
	}
}

// probe has the hold asked for soon: its answer tells that the link is up again,
// whatever else is asked meanwhile.
func (a *Access) probe(now int64) { a.holdAt = min(a.holdAt, now+a.s.Timeout/probePart) }

func (a *Access) took(ms float64) {
	if a.smooth == 0 {
		a.smooth, a.deviation = ms, ms/2
		return
	}
	d := ms - a.smooth
	a.smooth += d / 8
	a.deviation += (max(d, -d) - a.deviation) / 4
}

// Usual is how long answers take, but for few.
func (a *Access) Usual() int64 { return min(a.s.Timeout, int64(a.smooth+4*a.deviation)) }

// Late is after how long an answer is overdue.
func (a *Access) Late() int64 { return max(a.s.Timeout/floorPart, a.Usual()) }

// Answering tells whether the service answers as far as is known: an answer that is lost
// while others come puts the link in doubt, and is no reason to ask elsewhere.
func (a *Access) Answering(now int64) bool {
	switch a.Link(now) {
	case Up:
		return true
	case Doubtful:
		sent, open := a.open.oldest(a.answered)
		return !open || now-sent <= a.Late()
	}
	return false
}

// overdue tells whether a request waits longer than answers take.
func (a *Access) overdue(now int64) bool {
	sent, ok := a.open.oldest(0)
	return ok && now-sent > a.Late()
}

// Timeout bounds a request, as the clients of the state service do.
const Timeout = 2 * time.Second

// Ticket names a request under way.
type Ticket uint64

// queue keeps when the requests under way were sent, in that order.
type queue struct {
	first Ticket
	sent  []int64 // 0: over
}

func (q *queue) push(at int64) Ticket {
	q.sent = append(q.sent, max(at, 1))
	return q.first + Ticket(len(q.sent)-1)
}

func (q *queue) remove(t Ticket) int64 {
	if t < q.first || t >= q.first+Ticket(len(q.sent)) || q.sent[t-q.first] == 0 {
		return 0
	}
	at := q.sent[t-q.first]
	q.sent[t-q.first] = 0
	n := 0
	for n < len(q.sent) && q.sent[n] == 0 {
		n++
	}
	q.first, q.sent = q.first+Ticket(n), q.sent[n:]
	return at
}

// oldest is when the first of those under way was sent that were not sent before a time.
func (q *queue) oldest(from int64) (int64, bool) {
	for _, at := range q.sent {
		if at != 0 && at >= from {
			return at, true
		}
	}
	return 0, false
}
