// Package admission decides which submissions are accepted, in which order, and when the others should
// come back.
//
// It owns the queue of submissions, and what is known of the transactions in flight that carry them to the
// state service. It is a pure state machine: time is an input, in milliseconds of one monotonic clock, and
// so is the jitter of Retry-After. It is used by one goroutine at a time. It assumes that the caller passes
// each batch to Complete, once. It promises that a submission is served, shed or drained once, that no
// transaction exceeds a limit unless a single submission does, and that the queue stays bounded. It is built for
// bursts of users who come back together after an outage, for a team that floods the queue, and for a
// service that becomes slow.
//
// Submissions wait in one queue for each priority, in it in one queue for each team. The highest priority
// goes first; within a priority teams take turns, whatever number each has waiting. Several submissions share
// a transaction while others are in flight, so that a service that is slow to respond gets fewer requests;
// an idle one gets each at once.
//
// The queue is bounded by the time that it takes to serve at the rate that the service has been seen to
// allow. Beyond that, what would wait longest is shed: the newest submission of the team that has most
// waiting in the lowest priority, which may be the one that just came. Its Retry-After names a second in
// which there is room for it: those who were told to come back are counted, second by second.
package admission

import "slices"

// Limits bound a queue. Priorities, MaxInFlight and MaxRetryAfterS below 1 count as 1.
type Limits struct {
	ChangesPerSecond float64 // that the service allows
	MaxChanges       int     // of a transaction
	MaxPreconditions int
	MaxBytes         int
	MaxInFlight      int   // transactions at once
	MaxWaitMS        int64 // the longest time in the queue that is worth it
	MaxRetryAfterS   int
	Priorities       int // the number of priorities, 0 is the highest
}

// Request is a submission. Its sizes are upper bounds.
type Request[T any] struct {
	Team          string
	Priority      int
	Changes       int
	Preconditions int
	Bytes         int
	Value         T
}

// Shed is a submission that is refused, and when to come back.
type Shed[T any] struct {
	Request     Request[T]
	RetryAfterS int
}

// Queue is a queue of submissions; see NewQueue.
type Queue[T any] struct {
	limits            Limits
	priorities        []priorityQueue[T]
	queuedChanges     int
	inFlight          int // transactions
	inFlightChanges   int
	meanTransactionMS float64 // 0: not known yet
	promisedChanges   []int   // changes that were told to come back, by second from promisedFromS on
	promisedFromS     int64
}

type priorityQueue[T any] struct {
	teams []*teamQueue[T] // with requests, in the order of their turns
}

type teamQueue[T any] struct {
	team     string
	requests []Request[T]
}

// NewQueue returns an empty queue.
func NewQueue[T any](limits Limits) *Queue[T] {
	limits.Priorities = max(1, limits.Priorities)
	limits.MaxInFlight = max(1, limits.MaxInFlight)
	limits.MaxRetryAfterS = max(1, limits.MaxRetryAfterS)
	return &Queue[T]{
		limits:          limits,
		priorities:      make([]priorityQueue[T], limits.Priorities),
		promisedChanges: make([]int, limits.MaxRetryAfterS+1),
	}
}

// minChangesPerSecond keeps the effective rate above zero.
const minChangesPerSecond = 1e-3

// effectiveRate is how many changes a second the service allows, or its latency does, if that is less.
func (q *Queue[T]) effectiveRate() float64 {
	rate := q.limits.ChangesPerSecond
	if q.meanTransactionMS > 0 {
		rate = min(rate, float64(q.limits.MaxInFlight*q.limits.MaxChanges)*1000/q.meanTransactionMS)
	}
	return max(rate, minChangesPerSecond)
}

// changesPerMaxWait is how many changes are served in the longest time that a submission may wait.
func (q *Queue[T]) changesPerMaxWait() float64 {
	return q.effectiveRate() * float64(q.limits.MaxWaitMS) / 1000
}

func (q *Queue[T]) maxQueuedChanges() int {
	return max(q.limits.MaxChanges, int(q.changesPerMaxWait()))
}

// Enqueue adds a submission and returns what is shed by it, which may be the submission itself. jitter, in
// [0,1), spreads those who come back.
func (q *Queue[T]) Enqueue(now int64, request Request[T], jitter float64) []Shed[T] {
	request.Priority = min(max(request.Priority, 0), len(q.priorities)-1)
	request.Changes = max(1, request.Changes)
	q.pushBack(request)
	var shed []Shed[T]
	for q.queuedChanges > q.maxQueuedChanges() {
		victim := q.removeVictim()
		shed = append(shed, Shed[T]{victim, q.reserveRetryAfterS(now, victim.Changes, jitter)})
	}
	return shed
}

// pushBack adds a request behind the others of its team.
func (q *Queue[T]) pushBack(request Request[T]) {
	q.queuedChanges += request.Changes
	priority := &q.priorities[request.Priority]
	i := priority.indexOf(request.Team)
	if i < 0 {
		i = len(priority.teams)
		priority.teams = append(priority.teams, &teamQueue[T]{team: request.Team})
	}
	queue := priority.teams[i]
	queue.requests = append(queue.requests, request)
}

// pushFront adds a request ahead of the others of its team. A team without others gets the next turn.
func (q *Queue[T]) pushFront(request Request[T]) {
	q.queuedChanges += request.Changes
	priority := &q.priorities[request.Priority]
	i := priority.indexOf(request.Team)
	if i < 0 {
		i = 0
		priority.teams = slices.Insert(priority.teams, 0, &teamQueue[T]{team: request.Team})
	}
	queue := priority.teams[i]
	queue.requests = slices.Insert(queue.requests, 0, request)
}

func (p *priorityQueue[T]) indexOf(team string) int {
	return slices.IndexFunc(p.teams, func(queue *teamQueue[T]) bool { return queue.team == team })
}

// next returns the request whose turn it is. The queue must not be empty.
func (p *priorityQueue[T]) next() Request[T] { return p.teams[0].requests[0] }

// popNext removes the request whose turn it is; its team's next turn comes after those of the others.
func (p *priorityQueue[T]) popNext() {
	queue := p.teams[0]
	queue.requests = queue.requests[1:]
	p.teams = p.teams[1:]
	if len(queue.requests) > 0 {
		p.teams = append(p.teams, queue)
	}
}

// removeVictim removes what would wait longest. The queue must not be empty.
func (q *Queue[T]) removeVictim() Request[T] {
	lowest := len(q.priorities) - 1
	for len(q.priorities[lowest].teams) == 0 {
		lowest--
	}
	priority := &q.priorities[lowest]
	longest := 0
	for i, queue := range priority.teams {
		if len(queue.requests) > len(priority.teams[longest].requests) {
			longest = i
		}
	}
	queue := priority.teams[longest]
	request := queue.requests[len(queue.requests)-1]
	queue.requests = queue.requests[:len(queue.requests)-1]
	if len(queue.requests) == 0 {
		priority.teams = slices.Delete(priority.teams, longest, longest+1)
	}
	q.queuedChanges -= request.Changes
	return request
}

// reserveRetryAfterS finds a second with room for what is shed: behind what waits, and behind those who were
// told to come before it.
func (q *Queue[T]) reserveRetryAfterS(now int64, changes int, jitter float64) int {
	q.expirePromises(now / 1000)
	rate := q.effectiveRate()
	for second := q.RetryAfterS(); second < q.limits.MaxRetryAfterS; second++ {
		if float64(q.promisedChanges[second]+changes) <= max(rate, float64(changes)) {
			q.promisedChanges[second] += changes
			return second
		}
	}
	// All seconds are promised: the later half is shared, so that not all come at the end.
	second := q.limits.MaxRetryAfterS - int(jitter*float64(q.limits.MaxRetryAfterS)/2)
	q.promisedChanges[second] += changes
	return second
}

// expirePromises drops the promises of seconds that are over.
func (q *Queue[T]) expirePromises(nowS int64) {
	elapsedS := nowS - q.promisedFromS
	if elapsedS <= 0 {
		return
	}
	remaining := 0
	if elapsedS < int64(len(q.promisedChanges)) {
		remaining = copy(q.promisedChanges, q.promisedChanges[elapsedS:])
	}
	clear(q.promisedChanges[remaining:])
	q.promisedFromS = nowS
}

// RetryAfterS returns when somebody who is refused for another reason should come back. No place is reserved.
func (q *Queue[T]) RetryAfterS() int {
	return min(q.limits.MaxRetryAfterS, 1+int(float64(q.queuedChanges+q.inFlightChanges)/q.effectiveRate()))
}

// batch is the content of a transaction that is being filled.
type batch[T any] struct {
	requests                      []Request[T]
	changes, preconditions, bytes int
}

// fits reports whether a request may be added. The first always may.
func (b *batch[T]) fits(request Request[T], limits Limits) bool {
	withinLimits := b.changes+request.Changes <= limits.MaxChanges &&
		b.preconditions+request.Preconditions <= limits.MaxPreconditions &&
		b.bytes+request.Bytes <= limits.MaxBytes
	return len(b.requests) == 0 || withinLimits
}

func (b *batch[T]) add(request Request[T]) {
	b.requests = append(b.requests, request)
	b.changes += request.Changes
	b.preconditions += request.Preconditions
	b.bytes += request.Bytes
}

// NextBatch removes the requests of the next transaction, none while enough transactions are in flight. The
// caller passes the same requests to Complete.
func (q *Queue[T]) NextBatch() []Request[T] {
	enoughInFlight := q.inFlight > 0 && float64(q.inFlightChanges) >= q.changesPerMaxWait()/2
	if q.inFlight >= q.limits.MaxInFlight || enoughInFlight {
		return nil
	}
	b := q.fillBatch()
	if len(b.requests) > 0 {
		q.inFlight++
		q.inFlightChanges += b.changes
	}
	return b.requests
}

func (q *Queue[T]) fillBatch() (b batch[T]) {
	for k := range q.priorities {
		priority := &q.priorities[k]
		for len(priority.teams) > 0 {
			request := priority.next()
			if !b.fits(request, q.limits) {
				return b
			}
			b.add(request)
			q.queuedChanges -= request.Changes
			priority.popNext()
		}
	}
	return b
}

// meanDivisor makes the latest transaction an eighth of the mean duration.
const meanDivisor = 8

// Complete ends a transaction that took tookMS. processed reports whether the service processed it, so that
// its duration says something.
func (q *Queue[T]) Complete(requests []Request[T], tookMS int64, processed bool) {
	q.inFlight--
	for _, request := range requests {
		q.inFlightChanges -= request.Changes
	}
	switch {
	case !processed:
	case q.meanTransactionMS == 0:
		q.meanTransactionMS = float64(tookMS)
	default:
		q.meanTransactionMS += (float64(tookMS) - q.meanTransactionMS) / meanDivisor
	}
}

// Requeue puts back, ahead of the others of their teams, the requests of a transaction that was not executed
// for a reason that was not theirs.
func (q *Queue[T]) Requeue(requests []Request[T]) {
	for _, request := range slices.Backward(requests) {
		q.pushFront(request)
	}
}

// Drain empties the queue and returns what it held: nothing can be accepted now.
func (q *Queue[T]) Drain() []Request[T] {
	var requests []Request[T]
	for k := range q.priorities {
		for _, queue := range q.priorities[k].teams {
			requests = append(requests, queue.requests...)
		}
		q.priorities[k].teams = nil
	}
	q.queuedChanges = 0
	return requests
}
