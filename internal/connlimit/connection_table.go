// Package connlimit bounds the resources that connections take of a controller:
// how many there are, how long a request may take to arrive and a response to be
// read, and how many bytes of partially read bodies are held.
//
// Table makes the decisions and owns the states of an address's connections. It
// has no sockets and no clock: its caller reports the events on connections with
// their times, and closes the connections that the table evicts. Limiter owns a
// Table, a lock for it and the sockets, and carries out the table's decisions.
//
// A Table assumes that only one goroutine at a time calls it, and that all times
// are from one monotonic clock. A connection is in one of five states. Only a
// connection in state serving is never evicted:
//
//	state      event                                         next state
//	reading    header complete, body still to come           body
//	reading    header complete, body absent or small         serving
//	body       body complete                                 serving
//	serving    first write of the response                   responding
//	responding write complete                                idle
//	idle       a further write of the response               responding
//	idle       first byte of the next request                reading
//	idle       header complete, read with the last request   body or serving
//	all but serving: too long in the state, or evicted       closed
//
// It guarantees that the slots and bytes in use stay within the limits. When
// slots run out, it evicts the connection that has stalled longest, so that a
// client whose request arrives within milliseconds is served despite any number
// of stalled connections.
//
// It handles clients that send a request and never finish it, send it at a byte a
// second, do not read their responses, or open connections and leave them idle.
// It cannot distinguish a stalling client from one with a broken network, and it
// does not defend against requests that arrive quickly.
package connlimit

import (
	"container/list"
	"strings"
	"time"
)

// State is the state of a connection.
type State uint8

// The states of a connection.
const (
	Reading    State = iota // waits for the rest of a request's header
	Body                    // waits for the rest of a request's body
	Serving                 // its request is being handled
	Responding              // waits for the client to read the response
	Idle                    // waits for the next request
	stateCount
)

// stateNames are the values of a label in metrics.
var stateNames = [stateCount]string{"reading", "body", "serving", "answering", "idle"}

func (s State) String() string { return stateNames[s] }

// CloseReason is the reason why the table closed a connection.
type CloseReason uint8

// The reasons to close a connection: four timeouts, then three for exhausted
// slots or bytes.
const (
	LateHeader   CloseReason = iota // the header took too long
	LateBody                        // the body took too long
	LateResponse                    // the client took too long to read the response
	LateRequest                     // no further request arrived in time
	Shed                            // another connection needed its slot
	ShedBytes                       // partially read bodies held too many bytes
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

// Class is a kind of request with reserved slots.
type Class struct {
	Name string
	// Prefix is the start of the first line of the class's requests, in any case.
	// The last class of a table gets every request that matches no other.
	Prefix string
	// ReservedShare is the class's share of the slots. While the class uses less,
	// its idle connections are not closed for other classes.
	ReservedShare float64
}

// matches reports whether a request that begins with b belongs to the class.
func (c *Class) matches(b []byte) bool {
	n := len(c.Prefix)
	return len(b) >= n && strings.EqualFold(string(b[:n]), c.Prefix)
}

// Limits holds the limits of a table.
type Limits struct {
	Slots     int
	BodyBytes int           // total of all partially read bodies
	Header    time.Duration // starts at the first byte of a request
	Body      time.Duration // starts at the end of the header
	Response  time.Duration // for each write of the response
	Idle      time.Duration // starts at the end of the response
}

// timeoutFor returns how long a connection may be in a state, and the reason to
// close it after that time.
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
	// abort closes the socket of a connection that the table has evicted.
	abort(Closed)
}

// Entry is a connection in a table.
type Entry struct {
	socket          Socket
	state           State
	class           int
	awaitsFirstByte bool // no byte of the current request has arrived
	closed          bool
	since           time.Duration // time at which it entered its state
	bodyBytes       int
	element         *list.Element // nil while serving
}

// Closed is a connection that the table evicted. MidRequest reports that a part
// of a request has arrived, so that the client should receive a response.
type Closed struct {
	*Entry
	Reason     CloseReason
	MidRequest bool
}

// Table holds the connections of one address. Only one goroutine at a time may
// call it. All times are from one monotonic clock.
type Table struct {
	limits  Limits
	classes []Class
	// Connections by state, and idle ones also by class, oldest first.
	stalled   [stateCount]*list.List
	idle      []*list.List
	open      []int // open connections by class
	serving   int
	bodyBytes int
	closed    [][closeReasonCount]uint64 // closed connections by class and reason

	latest    time.Duration // latest effective time
	suspended time.Duration // total time for which the process was suspended
	lastSweep time.Duration
}

// New returns an empty table. The last class gets every request that matches no
// other.
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

// Interval returns the interval at which the caller must call Sweep.
func (t *Table) Interval() time.Duration { return t.limits.Header / 4 }

// effectiveTime returns the time without the periods for which the process was
// suspended. It never goes backwards, so that the lists stay in order.
func (t *Table) effectiveTime(now time.Duration) time.Duration {
	t.latest = max(t.latest, now-t.suspended)
	return t.latest
}

// listOf returns the list that holds a connection, or nil while it is being
// served.
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

// Grace returns how long a connection may stall before its slot can be given to
// another.
func (t *Table) Grace() time.Duration { return t.limits.Header / 32 }

// Open takes a slot for a connection, which counts for the last class until its
// first bytes arrive. closed has the connection that was evicted for it, if any.
// Without a slot the entry is nil; wait is the time until the next attempt, or 0
// if the connection is refused.
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
// longest, of any class. If none has stalled, it is the longest idle connection
// of the class that exceeds its share most. It returns nil if all connections are
// being served.
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

// longestStalled returns the connection that has stalled longest, or nil if none
// has.
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

// Close frees a connection's slot. It is idempotent.
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

// ReceiveBytes records bytes that arrived. The first bytes of a request determine
// its class.
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

// classify assigns a connection to the class of the request that begins with b.
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

// BeginRequest records that a request's header is complete. ok has the same
// meaning as for Transition. A request is pipelined if the client sent it before
// the response to the previous one: the connection has received no bytes after
// that response.
func (t *Table) BeginRequest(now time.Duration, e *Entry, s State) (ok, pipelined bool) {
	pipelined = e.state != Reading
	return t.Transition(now, e, s), pipelined
}

// Transition records a connection's new state. ok is false if the table has
// evicted the connection; the caller must then stop using it.
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

// SetBodyBytes records how many bytes a partially read body currently takes.
// While all such bodies together exceed the limit, the table evicts the
// connection that has been reading its body longest.
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

// Sweep evicts connections that have exceeded their timeouts. After the process
// itself was suspended, no connection is late that was not late before: bytes
// that arrived in the meantime are still unread.
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

// front returns the connection that has been in a list longest, or nil if the
// list is empty.
func front(l *list.List) *Entry {
	if element := l.Front(); element != nil {
		return element.Value.(*Entry)
	}
	return nil
}

// Stats holds the slots and bytes that a table uses, and how many connections it
// has closed since its creation.
type Stats struct {
	Slots, BodyBytes int
	Open             map[string]int            // open connections by class
	State            map[string]int            // open connections by state
	Closed           map[string]map[string]int // closed connections by class and reason
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
