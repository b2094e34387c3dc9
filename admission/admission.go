// Package admission decides which submissions are accepted, in which order, and when rejected clients retry.
//
// It owns the queue of submissions and the state of the transactions in flight that write them to the state
// service. It is a pure state machine: its inputs include the time, in milliseconds of one monotonic clock, and
// the jitter of Retry-After. A Queue is used by one goroutine at a time. The package assumes that the caller
// passes each batch to Complete, once. It guarantees that a submission is served, shed or drained exactly once,
// that no transaction exceeds a limit unless a single submission does, and that the queue stays bounded. It
// tolerates bursts of users who retry together after an outage, a team that floods the queue, and a service
// that becomes slow.
//
// The queue has one queue for each priority, and within it one for each team. The highest priority is served
// first. Within a priority, teams are served round-robin, regardless of how many submissions each has waiting.
// While transactions are in flight, several submissions share the next one, so that a slow service receives
// fewer requests. An idle service receives each submission immediately.
//
// The queue is bounded by the time that it takes to serve it at the observed rate of the service. Beyond that
// bound the queue sheds the submission that would wait longest: the newest submission of the team with the most
// submissions in the lowest priority, possibly the one just added. Its Retry-After is a second with free
// capacity. For that, the queue counts the changes that it has deferred to each second.
package admission

import "slices"

// Limits bound a queue. Priorities, MaxInFlight and MaxRetryAfterS below 1 count as 1.
type Limits struct {
	ChangesPerSecond float64 // rate limit of the service
	MaxChanges       int     // maximum in a transaction
	MaxPreconditions int     // maximum in a transaction
	MaxBytes         int     // maximum in a transaction
	MaxInFlight      int     // maximum number of concurrent transactions
	MaxWaitMS        int64   // longest acceptable time in the queue
	MaxRetryAfterS   int
	Priorities       int // number of priorities; 0 is the highest
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

// Shed is a rejected submission with the delay after which the client may retry.
type Shed[T any] struct {
	Request     Request[T]
	RetryAfterS int
}

// Queue is a queue of submissions. Use NewQueue to create one.
type Queue[T any] struct {
	limits            Limits
	priorities        []priorityQueue[T]
	queuedChanges     int
	inFlight          int // transactions
	inFlightChanges   int
	meanTransactionMS float64 // 0: not known yet
	reservedChanges   []int   // changes deferred to each second, starting with reservedFromS
	reservedFromS     int64
}

type priorityQueue[T any] struct {
	teams []*teamQueue[T] // teams with requests, in round-robin order
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
		reservedChanges: make([]int, limits.MaxRetryAfterS+1),
	}
}

// minChangesPerSecond keeps the effective rate above zero.
const minChangesPerSecond = 1e-3

// effectiveRate returns the changes per second that the rate limit and the latency of the service allow.
func (q *Queue[T]) effectiveRate() float64 {
	rate := q.limits.ChangesPerSecond
	if q.meanTransactionMS > 0 {
		rate = min(rate, float64(q.limits.MaxInFlight*q.limits.MaxChanges)*1000/q.meanTransactionMS)
	}
	return max(rate, minChangesPerSecond)
}

// changesPerMaxWait returns the number of changes that are served in the longest acceptable wait.
func (q *Queue[T]) changesPerMaxWait() float64 {
	return q.effectiveRate() * float64(q.limits.MaxWaitMS) / 1000
}

func (q *Queue[T]) maxQueuedChanges() int {
	return max(q.limits.MaxChanges, int(q.changesPerMaxWait()))
}

// Enqueue adds a submission and returns the submissions that are shed for it, possibly including itself.
// jitter, in [0,1), spreads the retries.
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

// pushBack appends a request to the queue of its team.
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

// pushFront adds a request at the head of its team's queue. A team with an empty queue gets the next turn.
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

// popNext removes the request whose turn it is and moves its team to the end of the round-robin order.
func (p *priorityQueue[T]) popNext() {
	queue := p.teams[0]
	queue.requests = queue.requests[1:]
	p.teams = p.teams[1:]
	if len(queue.requests) > 0 {
		p.teams = append(p.teams, queue)
	}
}

// removeVictim removes the request that would wait longest. The queue must not be empty.
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

// reserveRetryAfterS reserves capacity for shed changes and returns the delay in seconds. The reserved second
// is after the queued changes are served and has capacity left after the changes deferred to it earlier.
func (q *Queue[T]) reserveRetryAfterS(now int64, changes int, jitter float64) int {
	q.expireReservations(now / 1000)
	rate := q.effectiveRate()
	for second := q.RetryAfterS(); second < q.limits.MaxRetryAfterS; second++ {
		if float64(q.reservedChanges[second]+changes) <= max(rate, float64(changes)) {
			q.reservedChanges[second] += changes
			return second
		}
	}
	// All seconds are fully reserved: jitter spreads the retries over the later half, not the last second.
	second := q.limits.MaxRetryAfterS - int(jitter*float64(q.limits.MaxRetryAfterS)/2)
	q.reservedChanges[second] += changes
	return second
}

// expireReservations drops the reservations of seconds that have passed.
func (q *Queue[T]) expireReservations(nowS int64) {
	elapsedS := nowS - q.reservedFromS
	if elapsedS <= 0 {
		return
	}
	remaining := 0
	if elapsedS < int64(len(q.reservedChanges)) {
		remaining = copy(q.reservedChanges, q.reservedChanges[elapsedS:])
	}
	clear(q.reservedChanges[remaining:])
	q.reservedFromS = nowS
}

// RetryAfterS returns the delay for a client that is rejected for another reason. It reserves no capacity.
func (q *Queue[T]) RetryAfterS() int {
	return min(q.limits.MaxRetryAfterS, 1+int(float64(q.queuedChanges+q.inFlightChanges)/q.effectiveRate()))
}

// batch is the content of a transaction under construction.
type batch[T any] struct {
	requests                      []Request[T]
	changes, preconditions, bytes int
}

// fits reports whether a request may be added. The first request always fits.
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

// NextBatch removes and returns the requests of the next transaction. It returns none while enough
// transactions are in flight. The caller passes the same requests to Complete.
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

// meanDivisor gives the latest transaction a weight of one eighth in the mean duration.
const meanDivisor = 8

// Complete records the end of a transaction after tookMS. The duration counts only if processed is true, that
// is, if the service processed the transaction.
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

// Requeue returns requests to the heads of their teams' queues, after their transaction was not executed for
// a reason unrelated to them.
func (q *Queue[T]) Requeue(requests []Request[T]) {
	for _, request := range slices.Backward(requests) {
		q.pushFront(request)
	}
}

// Drain empties the queue and returns its requests, when no submission can be accepted.
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
