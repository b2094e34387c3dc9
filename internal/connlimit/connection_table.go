// Package connlimit bounds what connections may take of a controller: how many
// there are, how long a request may take to arrive and a response to be taken,
// and how many bytes of half-read bodies are held.
//
// Table decides and owns the states of an address's connections. It has no
// sockets and no clock: its caller passes what happens on connections and when,
// and closes those that it evicts. Limiter owns a Table, a lock around it and
// the sockets, and carries its decisions out.
//
// A Table may assume that one goroutine at a time calls it, and that its times
// are of one monotonic clock. A connection is in one of five states; only one
// in serving is never evicted:
//
//	state      event                                         next state
//	reading    header complete, body still to come           body
//	reading    header complete, body absent or small         serving
//	body       body complete                                 serving
//	serving    first write of the response                   responding
//	responding write complete                                idle
//	idle       a further write of the response               responding
//	idle       first byte of the next request                reading
//	idle       header complete, read already with the last   body or serving
//	all but serving: too long in the state, or evicted       closed
//
// It promises that no more slots and bytes are in use than the limits allow,
// and that the connection that has stalled longest goes first when slots run
// out, so that a client whose request arrives within milliseconds is served
// through any number of stalled ones.
//
// It is built for clients that send a request and never finish it, send it a
// byte a second, do not take their responses, or open connections and leave
// them. It does not tell a stalling client from one with a broken network, and
// it does not defend against requests that arrive quickly.
package connlimit

import (
	"container/list"
	"strings"
	"time"
)

// State is what a connection is doing.
type State uint8

// The states of a connection.
const (
	Reading    State = iota // waits for the rest of a request's header
	Body                    // waits for the rest of a request's body
	Serving                 // its request is being handled
	Responding              // waits for the client to take the response
	Idle                    // waits for the next request
	stateCount
)

// stateNames are the values of a label in metrics.
var stateNames = [stateCount]string{"reading", "body", "serving", "answering", "idle"}

func (s State) String() string { return stateNames[s] }

// CloseReason is why the table closed a connection.
type CloseReason uint8

// The reasons to close a connection: four for one that is late, then three for
// want of room.
const (
	LateHeader   CloseReason = iota // the header took too long
	LateBody                        // the body took too long
	LateResponse                    // the client did not take the response
	LateRequest                     // no further request came
	Shed                            // its slot was needed
	ShedBytes                       // half-read bodies held too much
	Refused                         // no slot could be freed for it
	closeReasonCount
)

// closeReasonNames are the values of a label in metrics.
var closeReasonNames = [closeReasonCount]string{
	"late_header",
	"late_body",
	"late_answer",
	"idle",
	"shed",
	"shed_bytes",
	"refused",
}

func (r CloseReason) String() string { return closeReasonNames[r] }

// Class is a kind of request with slots that others cannot take.
type Class struct {
	Name string
	// Prefix is how the first line of its requests begins, in any case. The
	// last class of a table takes what fits no other.
	Prefix string
	// ReservedShare is its share of the slots: while it has less, its idle
	// connections are not closed for others.
	ReservedShare float64
}

// matches reports whether a request that begins with b is of the class.
func (c *Class) matches(b []byte) bool {
	n := len(c.Prefix)
	return len(b) >= n && strings.EqualFold(string(b[:n]), c.Prefix)
}

// Limits bounds a table.
type Limits struct {
	Slots     int
	BodyBytes int           // of all half-read bodies
	Header    time.Duration // from the first byte of a request
	Body      time.Duration // from the end of the header
	Response  time.Duration // for one write of the response
	Idle      time.Duration // from the end of the response
}

// timeoutFor returns how long a connection may be in a state, and the reason to
// close it after that.
func (l Limits) timeoutFor(s State) (time.Duration, CloseReason) {
	switch s {
	case Reading:
		return l.Header, LateHeader
	case Body:
		return l.Body, LateBody
	case Responding:
		return l.Response, LateResponse
	}
	return l.Idle, LateRequest
}

// Socket is the caller's side of a connection.
type Socket interface {
	// abort closes the socket; the table has evicted its connection.
	abort(Closed)
}

// Entry is a connection in a table.
type Entry struct {
	socket          Socket
	state           State
	class           int
	awaitsFirstByte bool // nothing of the present request has come
	closed          bool
	since           time.Duration // in this state
	bodyBytes       int
	element         *list.Element // nil while serving
}

// Closed is a connection that the table evicted. MidRequest reports that a part
// of a request had come, so that its sender should receive a response.
type Closed struct {
	*Entry
	Reason     CloseReason
	MidRequest bool
}

// Table holds the connections of one address. One goroutine at a time may call
// it; times are those of any one monotonic clock.
type Table struct {
	limits  Limits
	classes []Class
	// Connections by state, and idle ones by class too, oldest first.
	stalled   [stateCount]*list.List
	idle      []*list.List
	open      []int // by class
	serving   int
	bodyBytes int
	closed    [][closeReasonCount]uint64 // by class

	latest    time.Duration // the last effective time
	suspended time.Duration // how long the process has stood still in all
	lastSweep time.Duration
}

// New returns an empty table. The last class takes what fits no other.
func New(l Limits, classes []Class) *Table {
	t := &Table{
		limits:  l,
		classes: classes,
		open:    make([]int, len(classes)),
		closed:  make([][closeReasonCount]uint64, len(classes)),
	}
	for i := range t.stalled {
		t.stalled[i] = list.New()
	}
	for range classes {
		t.idle = append(t.idle, list.New())
	}
	return t
}

// Interval returns how often Sweep is to be called.
func (t *Table) Interval() time.Duration { return t.limits.Header / 4 }

// effectiveTime returns the time without what the process stood still. It never
// goes backwards, so that the lists stay in order.
func (t *Table) effectiveTime(now time.Duration) time.Duration {
	t.latest = max(t.latest, now-t.suspended)
	return t.latest
}

// listOf returns the list that holds a connection, nil while it is being served.
func (t *Table) listOf(e *Entry) *list.List {
	switch e.state {
	case Serving:
		return nil
	case Idle:
		return t.idle[e.class]
	}
	return t.stalled[e.state]
}

func (t *Table) removeFromState(e *Entry) {
	if e.element != nil {
		t.listOf(e).Remove(e.element)
		e.element = nil
	} else {
		t.serving--
	}
}

func (t *Table) enterState(e *Entry, s State, now time.Duration) {
	e.state, e.since = s, now
	if l := t.listOf(e); l != nil {
		e.element = l.PushBack(e)
	} else {
		t.serving++
	}
}

// Grace returns how long a connection may stall before its slot can go to
// another.
func (t *Table) Grace() time.Duration { return t.limits.Header / 32 }

// Open takes a slot for a connection, of the last class until its first bytes
// have come. The connection that had to go for it, if any, is in closed. Without
// a slot the entry is nil: wait is when to try again, 0 if the connection is
// refused.
func (t *Table) Open(now time.Duration, socket Socket) (e *Entry, closed []Closed, wait time.Duration) {
	now = t.effectiveTime(now)
	last := len(t.classes) - 1
	if t.count() >= t.limits.Slots {
		victim := t.selectVictim()
		if victim == nil {
			t.closed[last][Refused]++
			return nil, nil, 0
		}
		graceLeft := t.Grace() - (now - victim.since)
		if graceLeft > 0 && victim.state != Idle {
			return nil, nil, graceLeft
		}
		closed = append(closed, t.evict(victim, Shed))
	}
	e = &Entry{socket: socket, class: last, awaitsFirstByte: true}
	t.open[last]++
	t.enterState(e, Reading, now)
	return e, closed, 0
}

// count returns the number of slots in use.
func (t *Table) count() int {
	n := 0
	for _, open := range t.open {
		n += open
	}
	return n
}

// selectVictim returns the connection to evict first: the one that has stalled
// longest, of whatever class, else the one that has been idle longest of the
// class that is furthest above its share; nil if all are being served.
func (t *Table) selectVictim() *Entry {
	if e := t.longestStalled(); e != nil {
		return e
	}
	var victim *Entry
	largestExcess := 0.0
	for i, c := range t.classes {
		longestIdle := front(t.idle[i])
		if longestIdle == nil {
			continue
		}
		excess := float64(t.open[i]) - c.ReservedShare*float64(t.limits.Slots)
		if victim == nil || excess > largestExcess {
			victim, largestExcess = longestIdle, excess
		}
	}
	return victim
}

// longestStalled returns the connection that has stalled longest, nil if none
// stalls.
func (t *Table) longestStalled() *Entry {
	var longest *Entry
	for _, l := range t.stalled {
		if e := front(l); e != nil && (longest == nil || e.since < longest.since) {
			longest = e
		}
	}
	return longest
}

func (t *Table) evict(e *Entry, reason CloseReason) Closed {
	halfRead := e.state == Body || e.state == Reading && !e.awaitsFirstByte
	c := Closed{Entry: e, Reason: reason, MidRequest: halfRead}
	t.closed[e.class][reason]++
	t.Close(e)
	return c
}

// Close frees a connection's slot. It may be called again.
func (t *Table) Close(e *Entry) {
	if e.closed {
		return
	}
	e.closed = true
	t.removeFromState(e)
	t.open[e.class]--
	t.bodyBytes -= e.bodyBytes
	e.bodyBytes = 0
}

// ReceiveBytes records bytes that arrived. The first ones of a request decide its
// class.
func (t *Table) ReceiveBytes(now time.Duration, e *Entry, b []byte) {
	if e.closed || len(b) == 0 {
		return
	}
	switch {
	case e.state == Idle:
		t.removeFromState(e)
		t.classify(e, b)
		t.enterState(e, Reading, t.effectiveTime(now))
	case e.state == Reading && e.awaitsFirstByte:
		t.classify(e, b)
	default:
		return
	}
	e.awaitsFirstByte = false
}

// classify counts a connection for the class of the request that begins with b.
func (t *Table) classify(e *Entry, b []byte) {
	class := len(t.classes) - 1
	for i := range class {
		if t.classes[i].matches(b) {
			class = i
			break
		}
	}
	t.open[e.class]--
	t.open[class]++
	e.class = class
}

// BeginRequest records that a request's header is complete; ok is as that of
// Transition. A pipelined request was sent before the response to the last:
// nothing was read since.
func (t *Table) BeginRequest(now time.Duration, e *Entry, s State) (ok, pipelined bool) {
	pipelined = e.state != Reading
	return t.Transition(now, e, s), pipelined
}

// Transition records a connection's new state. ok is false if the table has
// evicted the connection, which then must not go on.
func (t *Table) Transition(now time.Duration, e *Entry, s State) (ok bool) {
	if e.closed {
		return false
	}
	t.removeFromState(e)
	t.enterState(e, s, t.effectiveTime(now))
	e.awaitsFirstByte = s == Idle
	if s != Body {
		t.bodyBytes -= e.bodyBytes
		e.bodyBytes = 0
	}
	return true
}

// SetBodyBytes records how many bytes a half-read body takes by now. While all of
// them take more than the limit, the one that has been under way longest is
// evicted.
func (t *Table) SetBodyBytes(e *Entry, n int) (closed []Closed) {
	if e.closed {
		return nil
	}
	t.bodyBytes += n - e.bodyBytes
	e.bodyBytes = n
	halfRead := t.stalled[Body]
	for t.bodyBytes > t.limits.BodyBytes && halfRead.Len() > 0 {
		closed = append(closed, t.evict(front(halfRead), ShedBytes))
	}
	return closed
}

// Sweep evicts what took too long. After the process itself stood still nothing
// is late that was not before: what came meanwhile is still unread.
func (t *Table) Sweep(now time.Duration) (closed []Closed) {
	sinceLastSweep := now - t.lastSweep
	if t.lastSweep > 0 && sinceLastSweep > 2*t.Interval() {
		t.suspended += sinceLastSweep - t.Interval()
	}
	t.lastSweep = now
	now = t.effectiveTime(now)
	for _, l := range append(t.stalled[:], t.idle...) {
		for e := front(l); e != nil && t.isLate(e, now); e = front(l) {
			_, reason := t.limits.timeoutFor(e.state)
			closed = append(closed, t.evict(e, reason))
		}
	}
	return closed
}

func (t *Table) isLate(e *Entry, now time.Duration) bool {
	timeout, _ := t.limits.timeoutFor(e.state)
	return now-e.since > timeout
}

// front returns the connection that has been in a list longest, nil if there is
// none.
func front(l *list.List) *Entry {
	if element := l.Front(); element != nil {
		return element.Value.(*Entry)
	}
	return nil
}

// Stats is the use of a table's slots and bytes, and how many connections it
// closed since it was made.
type Stats struct {
	Slots, BodyBytes int
	Open             map[string]int            // by class
	State            map[string]int            // by state
	Closed           map[string]map[string]int // by class and reason
}

// Stats returns a copy of the table's counts.
func (t *Table) Stats() Stats {
	s := Stats{
		Slots:     t.limits.Slots,
		BodyBytes: t.bodyBytes,
		Open:      map[string]int{},
		State:     map[string]int{Serving.String(): t.serving},
		Closed:    map[string]map[string]int{},
	}
	for _, state := range []State{Reading, Body, Responding} {
		s.State[state.String()] = t.stalled[state].Len()
	}
	for i, c := range t.classes {
		s.Open[c.Name] = t.open[i]
		s.State[Idle.String()] += t.idle[i].Len()
		closed := map[string]int{}
		for reason, n := range t.closed[i] {
			closed[CloseReason(reason).String()] = int(n)
		}
		s.Closed[c.Name] = closed
	}
	return s
}
