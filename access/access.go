// Package access decides how a member of the cluster stands with the state service: it keeps the
// member's lease alive and its mirror (the local cache of the shared records) current, watches how
// requests fare (the link), and derives from these the member's authority to act for its shards.
//
// It owns the states below and nothing else. It is a pure state machine: time is an input, in
// milliseconds of one monotonic clock; it wants at most one request of the lease and one of the
// mirror at a time (Tick), and the caller reports how each ended. It is used by one goroutine at a
// time. It assumes that the service counts a lease from the arrival of the request that keeps it, so
// no earlier than from its sending, and that clocks drift apart by no more than
// Settings.MaxClockDrift. It promises that authority ends before the lease can have expired, and that
// nothing gets stuck whatever the outcomes. It is built for a service that is slow, answers with
// refusals, loses requests or responses, and forgets leases.
//
// The lease:
//
//	from       input           to         request
//	Absent     due             Requested  grant a lease
//	Requested  OK              Granted    -
//	Requested  any other       Absent     again after the retry interval
//	Granted    due             Renewing   renew the lease
//	Renewing   OK              Granted    again after RenewIntervalMS
//	Renewing   NotFound, Gone  Absent     grant, at once; the records under the lease are lost
//	Renewing   any other       Granted    again after the retry interval
//
// The mirror:
//
//	from              input         to        request
//	Unsynced          due           Listing   list all records
//	Listing           OK            Synced    watch, at once
//	Listing           any other     Unsynced  again after the retry interval
//	Synced            due           Watching  watch
//	Watching          OK            Synced    again after a pause
//	Watching          Gone          Unsynced  list, at once
//	Watching          any other     Synced    again after the retry interval, with jitter
//	Synced, Watching  ResyncMirror  Unsynced  list, at once
//
// The link, by the outcomes of all requests but watches, and by the latency of those that are not
// queued when the member's own rate limit is reached:
//
//	from                   input                                    to
//	Up                     a response is overdue                    Doubtful
//	Up, Doubtful, Refused  no response, for the retry interval      Silent
//	Doubtful               twice overdue, and no response since     Silent
//	any                    503                                      Refused
//	any                    a response of any other kind             Up
//
// When a response is overdue follows from the service's own latency, as in RFC 6298 for TCP:
// smoothed latency and four times its deviation, with a floor.
package access

import (
	"math"
	"time"
)

// Outcome is how a request ended.
type Outcome int

// The outcomes. Refused is a 503, which was not executed; Throttled was not executed either, since
// the rate limit was exceeded; Unknown got no response and may have been executed.
const (
	OK Outcome = iota
	NotFound
	Conflict
	Gone
	Refused
	Throttled
	Unknown
)

// ProcessedByService reports whether the service itself processed the request.
func (o Outcome) ProcessedByService() bool { return o <= Gone }

// Settings are a member's times.
type Settings struct {
	LeaseTTLMS       int64
	MaxClockDrift    float64 // bound on how far two monotonic clocks drift apart, as a fraction
	AuthoritySlackMS int64   // taken off the authority, for the length of a tick
	RequestTimeoutMS int64   // after which a request without a response is Unknown
}

// MaxClockDrift bounds how far two monotonic clocks drift apart: the platform states 0.05 %, and
// this is four times as much, for both ends and some slack.
const MaxClockDrift = 0.002

// RequestTimeout bounds a request, as the clients of the state service do.
const RequestTimeout = 2 * time.Second

// The least and the greatest TTL of a lease: the state service takes at most ten minutes, and within
// less than a second nothing can be renewed.
const (
	MinLeaseTTLMS = 1000
	MaxLeaseTTLMS = 600_000
)

// What a lease may not take of the time that a cancellation has beyond a worker's lease: a share and
// a margin, for clocks, a tick, a worker that checks its lease at intervals, and the kill.
const (
	ttlShare    = 0.9
	ttlMarginMS = 100
)

// LeaseTTLMS returns how long a member's lease, and with it the authority of its owner, may last where
// a cancelled task must be gone within cancelMS and a worker's lease is leaseMS. The bound, for a
// leader that a peer's confirmed cancellation does not reach, from the confirmation on:
//
//	the leader's last proof was sent before it            0 at most
//	its authority lasts                                   + TTL, less drift and slack
//	the last heartbeat it responds to was sent before     + 0
//	that worker's lease, from the heartbeat's sending on  + leaseMS, and drift of the worker's clock
//	the worker notices, and kills                         + a tick of the worker
//
// The share and the margin are needed: without them a cancel_s close above a large lease_s left
// nothing for the drift of the worker's clock over its own lease (0.3 s of 600). A result below
// MinLeaseTTLMS means that no TTL keeps the bound.
func LeaseTTLMS(cancelMS, leaseMS int64) int64 {
	remainingMS := float64(cancelMS - leaseMS)
	return int64(min(remainingMS*ttlShare, remainingMS-float64(cancelMS)*MaxClockDrift-ttlMarginMS, MaxLeaseTTLMS))
}

// MinCancelMS returns the least time for cancellations beside a worker's lease: with less, no TTL keeps
// the bound of LeaseTTLMS.
func MinCancelMS(leaseMS int64) int64 {
	lease := float64(leaseMS)
	return int64(math.Ceil(max(lease+MinLeaseTTLMS/ttlShare, (lease+MinLeaseTTLMS+ttlMarginMS)/(1-MaxClockDrift))))
}
