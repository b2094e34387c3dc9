// Package admission decides which submissions are taken, in which order, and
// when the others should come back. It is a pure state machine: time is an input,
// in milliseconds of one steady clock, and so is the spread of advice.
//
// What is offered waits in one lane a priority, in it in one line a team. The
// highest lane goes first; in a lane teams take turns, whatever each has
// waiting. Several go together while others are under way, so that a service
// that is slow to answer is asked less often, and one that is idle at once.
//
// The line is bounded by the time that it takes to work off at the rate that
// the service has been seen to allow. Beyond that, what would wait longest is
// shed: the newest of the team that has most waiting in the lowest lane, which
// may be the one that was just offered. It is told a second in which there is
// room for it: those who were told to come back are counted, second by second.
package admission

import "slices"

// Limits bound a queue.
type Limits struct {
	ChangesPerSecond float64 // changes a second that the service allows
	MaxChanges       int     // of a transaction
	MaxPreconditions int
	MaxBytes         int
	MaxInFlight      int   // transactions under way at once
	MaxWaitMS        int64 // the longest wait in line that is worth it
	MaxRetryAfterS   int   // the longest that anybody is told to stay away
	Priorities       int   // priorities, 0 the highest
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

// Queue is a line of submissions.
type Queue[T any] struct {
	limits            Limits
	priorities        []priorityQueue[T]
	queuedChanges     int // that wait
	inFlight          int // transactions under way
	inFlightChanges   int // changes under way
	meanTransactionMS float64
	promisedChanges   []int // changes that were told to come, by second from base on
	promisedFromS     int64
}

type priorityQueue[T any] struct {
	teams []*teamQueue[T] // those that wait, the next first
}

type teamQueue[T any] struct {
	team     string
	requests []Request[T]
}

// NewQueue returns an empty queue.
func NewQueue[T any](limits Limits) *Queue[T] {
	limits.Priorities, limits.MaxInFlight, limits.MaxRetryAfterS = max(
		1,
		limits.Priorities,
	), max(
		1,
		limits.MaxInFlight,
	), max(
		1,
		limits.MaxRetryAfterS,
	)
	return &Queue[T]{
		limits:          limits,
		priorities:      make([]priorityQueue[T], limits.Priorities),
		promisedChanges: make([]int, limits.MaxRetryAfterS+1),
	}
}

// effectiveRate is what the service allows, or answers, if that is less.
func (q *Queue[T]) effectiveRate() float64 {
	rate := q.limits.ChangesPerSecond
	if q.meanTransactionMS > 0 {
		rate = min(rate, float64(q.limits.MaxInFlight*q.limits.MaxChanges)*1000/q.meanTransactionMS)
	}
	return max(rate, 1e-3)
}

// maxQueuedChanges is how many changes may wait.
func (q *Queue[T]) maxQueuedChanges() int {
	return max(q.limits.MaxChanges, int(q.effectiveRate()*float64(q.limits.MaxWaitMS)/1000))
}

// Enqueue puts a submission in line. spread, in [0,1), keeps apart those who come
// back. What is shed by it is returned.
func (q *Queue[T]) Enqueue(now int64, request Request[T], jitter float64) []Shed[T] {
	request.Priority = min(max(request.Priority, 0), len(q.priorities)-1)
	request.Changes = max(1, request.Changes)
	q.push(request, false)
	var shed []Shed[T]
	for q.queuedChanges > q.maxQueuedChanges() {
		victim := q.removeVictim()
		shed = append(shed, Shed[T]{victim, q.reserveRetryAfterS(now, victim.Changes, jitter)})
	}
	return shed
}

func (q *Queue[T]) push(request Request[T], front bool) {
	q.queuedChanges += request.Changes
	priority := &q.priorities[request.Priority]
	i := slices.IndexFunc(priority.teams, func(queue *teamQueue[T]) bool { return queue.team == request.Team })
	if i < 0 {
		i = len(priority.teams)
		queue := &teamQueue[T]{team: request.Team}
		priority.teams = append(priority.teams, queue)
		if front {
			copy(priority.teams[1:], priority.teams)
			priority.teams[0], i = queue, 0
		}
	}
	queue := priority.teams[i]
	if front {
		queue.requests = slices.Insert(queue.requests, 0, request)
	} else {
		queue.requests = append(queue.requests, request)
	}
}

// removeVictim takes out what would wait longest.
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

// reserveRetryAfterS finds a second with room for what is shed: behind what waits, and
// behind those who were told to come before it.
func (q *Queue[T]) reserveRetryAfterS(now int64, changes int, jitter float64) int {
	if elapsedS := now/1000 - q.promisedFromS; elapsedS > 0 {
		if elapsedS >= int64(len(q.promisedChanges)) {
			clear(q.promisedChanges)
		} else {
			copy(q.promisedChanges, q.promisedChanges[elapsedS:])
			clear(q.promisedChanges[len(q.promisedChanges)-int(elapsedS):])
		}
		q.promisedFromS = now / 1000
	}
	rate := q.effectiveRate()
	first := min(q.limits.MaxRetryAfterS, 1+int(float64(q.queuedChanges+q.inFlightChanges)/rate))
	for second := first; second < q.limits.MaxRetryAfterS; second++ {
		if float64(q.promisedChanges[second]+changes) <= max(rate, float64(changes)) {
			q.promisedChanges[second] += changes
			return second
		}
	}
	// All seconds are promised: spread over the later half, so that not all
	// come at the end.
	second := q.limits.MaxRetryAfterS - int(jitter*float64(q.limits.MaxRetryAfterS)/2)
	q.promisedChanges[second] += changes
	return second
}

// RetryAfterS is when somebody who is refused for another reason should come back,
// without a place being kept.
func (q *Queue[T]) RetryAfterS() int {
	return min(q.limits.MaxRetryAfterS, 1+int(float64(q.queuedChanges+q.inFlightChanges)/q.effectiveRate()))
}

// NextBatch takes a transaction's worth, or nothing while enough is under way. The
// caller gives the same items to Done.
func (q *Queue[T]) NextBatch() []Request[T] {
	if q.inFlight >= q.limits.MaxInFlight ||
		q.inFlight > 0 && float64(q.inFlightChanges) >= q.effectiveRate()*float64(q.limits.MaxWaitMS)/1000/2 {
		return nil
	}
	var batch []Request[T]
	changes, preconditions, bytes := 0, 0, 0
	for k := range q.priorities {
		priority := &q.priorities[k]
		for len(priority.teams) > 0 {
			queue := priority.teams[0]
			request := queue.requests[0]
			if len(batch) > 0 &&
				(changes+request.Changes > q.limits.MaxChanges || preconditions+request.Preconditions > q.limits.MaxPreconditions || bytes+request.Bytes > q.limits.MaxBytes) {
				return q.markInFlight(batch, changes)
			}
			changes, preconditions, bytes = changes+request.Changes, preconditions+request.Preconditions, bytes+request.Bytes
			batch = append(batch, request)
			q.queuedChanges -= request.Changes
			queue.requests = queue.requests[1:]
			priority.teams = priority.teams[1:]
			if len(queue.requests) > 0 {
				priority.teams = append(priority.teams, queue)
			}
		}
	}
	return q.markInFlight(batch, changes)
}

func (q *Queue[T]) markInFlight(batch []Request[T], changes int) []Request[T] {
	if len(batch) > 0 {
		q.inFlight++
		q.inFlightChanges += changes
	}
	return batch
}

// Complete ends a transaction that took so long. served tells whether the service
// dealt with it, so that its time says something.
func (q *Queue[T]) Complete(batch []Request[T], tookMS int64, processed bool) {
	q.inFlight--
	for _, request := range batch {
		q.inFlightChanges -= request.Changes
	}
	if processed {
		if deltaMS := float64(tookMS) - q.meanTransactionMS; q.meanTransactionMS == 0 {
			q.meanTransactionMS = float64(tookMS)
		} else {
			q.meanTransactionMS += deltaMS / 8
		}
	}
}

// Requeue puts back, at the head of their lines, items of a transaction that was
// not carried out for a reason that was not theirs.
func (q *Queue[T]) Requeue(batch []Request[T]) {
	for _, request := range slices.Backward(batch) {
		q.push(request, true)
	}
}

// Drain empties the line: nothing can be taken now.
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
