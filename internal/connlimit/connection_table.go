// Package connlimit bounds what connections may take of a member: how many there
// are, how long a request may take to arrive and an answer to be taken, and how
// many bytes of half-read bodies are held.
//
// Table decides and knows no sockets: it is told what happens on connections
// and at which time, and says which to close. Listener has the sockets and
// carries that out. A table's connections are in one of five states; only
// those that are being served are never closed:
//
//	reading --> body --> serving --> answering --> idle
//	   ^                                             |
//	   +------- first byte of the next request ------+
//
// It is built for clients that send a request and never finish it, send it a
// byte a second, do not take their answers, or open connections and leave them:
// when slots run out, the one that has stalled longest goes first, so somebody
// whose request arrives within milliseconds is served through any number of
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

// Reading waits for the rest of a request's header, Body for the rest of its
// body, Answering for the client to take the answer.
const (
	Reading State = iota
	Body
	Serving
	Responding
	Idle
	stateCount
)

var stateNames = [stateCount]string{"reading", "body", "serving", "answering", "idle"}

func (s State) String() string { return stateNames[s] }

// CloseReason tells why a connection was closed.
type CloseReason uint8

// The first three are late, the others make room.
const (
	LateHeader   CloseReason = iota // the header took too long
	LateBody                        // the body took too long
	LateResponse                    // the answer was not taken
	LateRequest                     // no further request came
	Shed                            // its slot was needed
	ShedBytes                       // half-read bodies held too much
	Refused                         // no slot could be freed for it
	closeReasonCount
)

var closeReasonNames = [closeReasonCount]string{
	"late_header",
	"late_body",
	"late_answer",
	"idle",
	"shed",
	"shed_bytes",
	"refused",
}

func (w CloseReason) String() string { return closeReasonNames[w] }

// Class is a kind of request with slots that others cannot take.
type Class struct {
	Name string
	// Prefix is how the first line of its requests begins. The last class of
	// a table takes what fits no other.
	Prefix string
	// ReservedShare is its share of the slots: below it, its idle connections are not
	// closed for others.
	ReservedShare float64
}

// Limits bounds a table. Times are from the first byte of a request, from the
// end of its header, from the start of the answer and from its end.
type Limits struct {
	Slots                        int
	BodyBytes                    int // of half-read bodies
	Header, Body, Response, Idle time.Duration
}

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

// Entry is a connection in a table. Sock is the caller's.
type Entry struct {
	Sock            any
	state           State
	class           int
	awaitsFirstByte bool // nothing of the present request has come
	closed          bool
	since           time.Duration
	bodyBytes       int
	element         *list.Element
}

// Closed is a connection that the table gave up. Half tells that a request was
// under way, so that its sender is owed an answer.
type Closed struct {
	*Entry
	Reason     CloseReason
	MidRequest bool
}

// Table holds the connections of one address. It is owned by its caller; times
// are those of any one steady clock.
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

	latest, suspended, lastSweep time.Duration
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

// Interval is how often Sweep wants to be called.
func (t *Table) Interval() time.Duration { return t.limits.Header / 4 }

// effectiveTime is the time that counts: less what the process stood still, and never
// backwards, so that lists stay in order.
func (t *Table) effectiveTime(now time.Duration) time.Duration {
	t.latest = max(t.latest, now-t.suspended)
	return t.latest
}

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

// Grace is how long a connection may stall before its slot is given away.
func (t *Table) Grace() time.Duration { return t.limits.Header / 32 }

// Open asks for a slot. What had to go for it is in closed. Without a slot the
// entry is nil: wait tells when to ask again, 0 that the connection is refused.
func (t *Table) Open(now time.Duration, sock any) (e *Entry, closed []Closed, wait time.Duration) {
	now = t.effectiveTime(now)
	last := len(t.classes) - 1
	if t.count() >= t.limits.Slots {
		v, ok := t.victim()
		if !ok {
			t.closed[last][Refused]++
			return nil, nil, 0
		}
		if rest := t.Grace() - (now - v.since); rest > 0 && v.state != Idle {
			return nil, nil, rest
		}
		closed = append(closed, t.evict(v, Shed))
	}
	e = &Entry{Sock: sock, class: last, awaitsFirstByte: true}
	t.open[last]++
	t.enterState(e, Reading, now)
	return e, closed, 0
}

func (t *Table) count() int {
	n := 0
	for _, o := range t.open {
		n += o
	}
	return n
}

// victim is the connection that is given up first: the one that has stalled
// longest, whatever it asks for, else the one that has been idle longest of the
// class that is furthest above its share.
func (t *Table) victim() (*Entry, bool) {
	var oldest *Entry
	for _, l := range t.stalled {
		if f := l.Front(); f != nil && (oldest == nil || f.Value.(*Entry).since < oldest.since) {
			oldest = f.Value.(*Entry)
		}
	}
	if oldest != nil {
		return oldest, true
	}
	largestExcess := 0.0
	for i, c := range t.classes {
		f := t.idle[i].Front()
		if excess := float64(t.open[i]) - c.ReservedShare*float64(t.limits.Slots); f != nil &&
			(oldest == nil || excess > largestExcess) {
			oldest, largestExcess = f.Value.(*Entry), excess
		}
	}
	return oldest, oldest != nil
}

func (t *Table) evict(e *Entry, reason CloseReason) Closed {
	c := Closed{Entry: e, Reason: reason, MidRequest: (e.state == Reading && !e.awaitsFirstByte) || e.state == Body}
	t.closed[e.class][reason]++
	t.Close(e)
	return c
}

// Close gives a connection's slot back. It may be called again.
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

// ReceiveBytes is told of the bytes that arrived. The first ones of a request tell its
// class.
func (t *Table) ReceiveBytes(now time.Duration, e *Entry, b []byte) {
	if e.closed || len(b) == 0 || (e.state != Idle && !(e.state == Reading && e.awaitsFirstByte)) {
		return
	}
	if e.state == Idle {
		t.removeFromState(e)
		t.classify(e, b)
		t.enterState(e, Reading, t.effectiveTime(now))
	} else {
		t.classify(e, b)
	}
	e.awaitsFirstByte = false
}

func (t *Table) classify(e *Entry, b []byte) {
	i := 0
	for i < len(t.classes)-1 && !(len(b) >= len(t.classes[i].Prefix) && strings.EqualFold(string(b[:len(t.classes[i].Prefix)]), t.classes[i].Prefix)) {
		i++
	}
	if i != e.class {
		t.open[e.class]--
		t.open[i]++
		e.class = i
	}
}

// BeginRequest is told that a request's header is there. A piped one was sent before
// the last was answered: nothing was read since.
func (t *Table) BeginRequest(now time.Duration, e *Entry, s State) (ok, pipelined bool) {
	pipelined = e.state != Reading
	return t.Transition(now, e, s), pipelined
}

// Transition is told what a connection does now. A connection that was given up has
// ended, whatever it was about to do.
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

// SetBodyBytes is told how many bytes a half-read body takes by now. Beyond the bound,
// the bodies that have been under way longest are given up.
func (t *Table) SetBodyBytes(e *Entry, n int) (closed []Closed) {
	if e.closed {
		return nil
	}
	t.bodyBytes += n - e.bodyBytes
	e.bodyBytes = n
	for l := t.stalled[Body]; t.bodyBytes > t.limits.BodyBytes && l.Len() > 0; {
		closed = append(closed, t.evict(l.Front().Value.(*Entry), ShedBytes))
	}
	return closed
}

// Sweep gives up what took too long. After a standstill of the process itself
// nothing is late that was not before: what came meanwhile is still unread.
func (t *Table) Sweep(now time.Duration) (closed []Closed) {
	if sinceLastSweep := now - t.lastSweep; t.lastSweep > 0 && sinceLastSweep > 2*t.Interval() {
		t.suspended += sinceLastSweep - t.Interval()
	}
	t.lastSweep = now
	now = t.effectiveTime(now)
	for _, l := range append(t.stalled[:], t.idle...) {
		for f := l.Front(); f != nil; f = l.Front() {
			e := f.Value.(*Entry)
			timeout, reason := t.limits.timeoutFor(e.state)
			if now-e.since <= timeout {
				break
			}
			closed = append(closed, t.evict(e, reason))
		}
	}
	return closed
}

// Stats is how a table stands.
type Stats struct {
	Slots, BodyBytes int
	Open             map[string]int            // by class
	State            map[string]int            // by state
	Closed           map[string]map[string]int // by class and cause
}

// Stats counts.
func (t *Table) Stats() Stats {
	s := Stats{
		Slots:     t.limits.Slots,
		BodyBytes: t.bodyBytes,
		Open:      map[string]int{},
		State:     map[string]int{Serving.String(): t.serving},
		Closed:    map[string]map[string]int{},
	}
	for st, l := range t.stalled {
		if st := State(st); st != Serving && st != Idle {
			s.State[st.String()] = l.Len()
		}
	}
	for i, c := range t.classes {
		s.Open[c.Name] = t.open[i]
		s.State[Idle.String()] += t.idle[i].Len()
		s.Closed[c.Name] = map[string]int{}
		for w, n := range t.closed[i] {
			s.Closed[c.Name][CloseReason(w).String()] = int(n)
		}
	}
	return s
}
