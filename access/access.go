// Package access tracks a member's access to the state service. It keeps the member's lease alive and
// its state cache (the local copy of the shared records) current, monitors the outcomes of requests
// (the link), and derives from these the member's authority to act for its shards.
//
// The package owns only the states below. It is a pure state machine: time is an input, in
// milliseconds of one monotonic clock. Tick returns at most one request for the lease and one for the
// state cache at a time, and the caller reports the outcome of each. A LeaseKeeper is used by one
// goroutine at a time. The package assumes that the service counts a lease from the arrival of the
// request that grants or renews it, hence no earlier than from its sending, and that clocks drift apart by at most
// Settings.MaxClockDrift. It guarantees that authority ends before the lease can have expired, and that
// the state machine never gets stuck, whatever the outcomes. It tolerates a service that is slow,
// refuses requests, loses requests or responses, or loses leases.
//
// States of the lease:
//
//	from       input           to         request
//	Absent     due             Requested  grant a lease
//	Requested  OK              Granted    -
//	Requested  any other       Absent     retry after the retry interval
//	Granted    due             Renewing   renew the lease
//	Renewing   OK              Granted    next renewal after RenewIntervalMS
//	Renewing   NotFound, Gone  Absent     grant immediately; the records under the lease are lost
//	Renewing   any other       Granted    retry after the retry interval
//
// States of the state cache:
//
//	from              input        to        request
//	Unsynced          due          Listing   list all records
//	Listing           OK           Synced    watch immediately
//	Listing           any other    Unsynced  retry after the retry interval
//	Synced            due          Watching  watch
//	Watching          OK           Synced    next watch after a pause
//	Watching          Gone         Unsynced  list immediately
//	Watching          any other    Synced    retry after 3/5 of the retry interval and jitter
//	Synced, Watching  ResyncCache  Unsynced  list immediately
//
// States of the link. The inputs are the outcomes of all requests except watches, and the latency of
// the requests that are not queued when the member reaches its own rate limit:
//
//	from                   input                                                  to
//	Up                     a response is overdue                                  Doubtful
//	Up, Doubtful, Refused  no response for the retry interval                     Silent
//	Doubtful               in flight for twice the threshold, no response since   Silent
//	any                    503                                                    Refused
//	any                    any other response, except Throttled                   Up
//
// The threshold for an overdue response follows from the measured latency of the service, as in RFC
// 6298 for TCP: smoothed latency plus four times its deviation, with a lower bound.
package access

import (
	"math"
	"time"
)

// Outcome is the outcome of a request.
type Outcome int

// The outcomes. Refused means a 503 response: the service did not execute the request. Throttled means
// that the rate limit was exceeded, and the request was not executed either. Unknown means that there
// was no response, and the request may have been executed.
const (
	OK Outcome = iota
	NotFound
	Conflict
	Gone
	Refused
	Throttled
	Unknown
)

func (o Outcome) String() string {
	return [...]string{"ok", "not found", "conflict", "gone", "refused", "throttled", "unknown"}[o]
}

// ProcessedByService reports whether the service itself processed the request.
func (o Outcome) ProcessedByService() bool { return o <= Gone }

// Settings are the timing parameters of a member.
type Settings struct {
	LeaseTTLMS       int64
	MaxClockDrift    float64 // maximum drift between two monotonic clocks, as a fraction
	AuthoritySlackMS int64   // subtracted from the authority to allow for the length of a tick
	RequestTimeoutMS int64   // time after which a request without a response is Unknown
}

// MaxClockDrift is the maximum drift between two monotonic clocks, as a fraction. The platform
// specifies 0.05 %. This is four times as much, to cover both clocks and some slack.
const MaxClockDrift = 0.002

// RequestTimeout is the time-out of a request, equal to that of the state service's clients.
const RequestTimeout = 2 * time.Second

// The minimum and maximum TTL of a lease. The state service accepts at most ten minutes. A lease of less
// than a second cannot be renewed in time.
const (
	MinLeaseTTLMS = 1000
	MaxLeaseTTLMS = 600_000
)

// The TTL takes at most a share of the cancellation time beyond a worker's lease, and leaves a margin.
// The rest covers clock drift, a tick, the interval at which a worker checks its lease, and the kill.
const (
	ttlShare    = 0.9
	ttlMarginMS = 100
)

// LeaseTTLMS returns the maximum TTL of a member's lease, and thereby of its authority, if a cancelled
// task must end within cancelMS and a worker's lease is leaseMS. Every task ends with its worker's lease
// at the latest, and only the response to a heartbeat renews that lease. So the bound counts from the
// last response of any member under which the task may run or start. Counted from the confirmation of the
// cancellation, the time of that response is:
//
//	a member that does not know of the cancellation:
//	  its last proof was sent before the confirmation             at most 0
//	  its authority lasts                                         + TTL, less drift and slack
//	a member that knows of it, while a direct start of the task under its token has no response:
//	  the refresh before the one that brought the cancellation
//	  was sent before the confirmation                            at most 0
//	  it renews the lease for as long as its authority would last + TTL, less drift and slack
//	a member that knows of it, otherwise: the response stops the task; 0
//	a new owner, to a worker with an earlier owner's token: it responds after a task query, and knows all
//	  tasks; as above
//
// From the response on, the bound is:
//
//	the heartbeat was sent before the response                    + 0
//	the worker's lease, from the sending of the heartbeat         + leaseMS, and drift of the worker's clock
//	the worker notices the expiry and kills the task              + a tick of the worker
//
// The share and the margin are needed when cancel_s is little more than a large lease_s. Without them,
// no time remains for the drift of the worker's clock over its own lease (0.3 s of 600 s). A result
// below MinLeaseTTLMS means that no TTL keeps the bound.
func LeaseTTLMS(cancelMS, leaseMS int64) int64 {
	remainingMS := float64(cancelMS - leaseMS)
	return int64(min(remainingMS*ttlShare, remainingMS-float64(cancelMS)*MaxClockDrift-ttlMarginMS, MaxLeaseTTLMS))
}

// MinCancelMS returns the minimum cancellation time for a worker's lease of leaseMS. With less, no TTL
// keeps the bound of LeaseTTLMS.
func MinCancelMS(leaseMS int64) int64 {
	lease := float64(leaseMS)
	return int64(math.Ceil(max(lease+MinLeaseTTLMS/ttlShare, (lease+MinLeaseTTLMS+ttlMarginMS)/(1-MaxClockDrift))))
}
