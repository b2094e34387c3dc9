// Package reconcile compares what workers report with the records in the state store after a member
// claims a shard: at the first start, after a restart, an adoption or a hand-back. The store records
// which tasks exist and which are done. Nothing is written when a task starts, so only the workers
// know which tasks run.
//
// For one claim the package owns the known state of each machine, the fencing token that workers must
// hold before their reports count, the rate of the commands that follow (Pacer), the IDs of attempts
// (AttemptIDs), and the entries of machines that stopped sending heartbeats (UnreachableLedger). The
// state of machines ends with the claim, except for the stored ledger entries. The package is pure:
// time is an input, in milliseconds of one monotonic clock unless a name says wall time, and
// dispositions and verdicts are the output. A Claim is used by one goroutine at a time.
//
// The package assumes that a worker kills its tasks when its lease has expired, that a worker executes
// no command whose token is older than its own, and that clocks drift apart by at most
// Settings.MaxClockDrift. It guarantees that a task of an earlier claim is adopted, stopped or known to
// have ended before its capacity counts as free. It tolerates heartbeats that are lost, delayed or
// duplicated, machines that restart, hang or are partitioned in one direction, and claims that end at
// any moment.
//
// The states of a machine under a claim follow. Its lease runs from the last heartbeat that got a
// response, or from the claim if there was none.
//
//	from                     input                                     to           disposition
//	any                      heartbeat not newer than the last         same         Stale: renews no lease
//	LeaseExpired             heartbeat of an ended incarnation         same         Stale: sent before the expiry
//	any                      heartbeat superseded by a query response  same         RenewOnly
//	any                      heartbeat with an older token             Notified (1) QueryTasks (5)
//	any                      the same, from a worker without a token   Notified (1) NotifyToken
//	any                      the same, a lease after the claim         Notified (1) NotifyToken
//	NoHeartbeat, Notified    the same, after every earlier lease       same         NotifyToken (2)
//	any                      heartbeat with the claim's token          Reconciled   Accept
//	Reconciled, LeaseExpired the same, of a later incarnation          Reconciled   AcceptNewIncarnation
//	Notified                 response to a task query                  Reconciled   Accept, without renewal
//	any but LeaseExpired     no heartbeat for the length of a lease    LeaseExpired (3)
//	NoHeartbeat, Notified    no heartbeat for half a lease             same         the machine is drained (4)
//
// (1) From NoHeartbeat only. (2) All tasks of earlier claims on the machine have ended. (3) All tasks on
// the machine have ended. (4) Except when so many machines are missing that the network is the likely
// cause, or when the machine's ledger entry lists its tasks. (5) The heartbeat gets no response before
// the worker has answered a task query.
//
// A response with the claim's token renews the worker's lease, also for tasks that must stop. Two kinds
// of tasks may run when an older token is reported: those in the heartbeat, and those that a delayed
// direct command of an earlier claim starts before the response arrives. The query carries the stops of
// the former. It raises the worker's token, so that no earlier command starts anything later, and its
// response lists all tasks. Only then is the lease renewed. One lease after the claim, every
// incarnation that earlier claims could address has ended, and no query is needed. A worker without a
// token has never been sent a direct command.
//
// A machine that is listed as up and is neither Reconciled nor LeaseExpired is unreported. It may run
// tasks of earlier claims: as many as fit on it, or those that its ledger entry lists.
//
// The verdict on an attempt that a heartbeat reports and that this claim did not start depends on the
// state of its task:
//
//	state         Active  Succeeded         Terminated
//	Unassigned    Adopt   RecordCompletion  Clear       an earlier claim started the only attempt
//	Assigned      Stop    RecordCompletion  Clear       a second attempt must end; the result of either counts
//	Transferring  Stop    RecordCompletion  Clear       a peer may own the task already
//	Completed     Stop    Keep              Clear       not stored yet: the machine has the only copy of the result
//	ResultStored  Stop    Clear             Clear
//	Obsolete      Stop    Clear             Clear       its job has ended, or another shard owns its range
//
// The owner may process heartbeats only after it has read the shard's progress and the state cache has
// reached the claim's revision. Earlier, every task would look Unassigned or Obsolete, and a response
// would only renew the lease of tasks that cannot be stopped yet.
package reconcile

import (
	"slices"
	"strings"
)

// Settings are the timing parameters of the platform.
type Settings struct {
	MaxHeartbeatIntervalMS int64   // maximum time between two heartbeats of a healthy machine
	LeaseMS                int64   // length of a worker's lease
	MaxClockDrift          float64 // maximum drift between two monotonic clocks, as a fraction
	LeaseSlackMS           int64   // added to a lease for measurement error
}

// A machine without a heartbeat since the claim is drained after LeaseMS/GracePeriodDivisor. If more
// than 1/MaxMissingDivisor of the listed machines are missing, the network is the likely cause: the owner
// drains none of them and waits.
const (
	GracePeriodDivisor = 2
	MaxMissingDivisor  = 3
)

// ResponseTTLMS is the age at which a worker drops the response to a heartbeat.
const ResponseTTLMS = 4000

// queryDelayDivisor divides the heartbeat interval: delay before a worker that has not reported is queried.
const queryDelayDivisor = 4

// Claim is the reconciliation state of one claim of a shard.
type Claim struct {
	settings      Settings
	fencingToken  uint64
	claimedAt     int64
	listedCount   int
	unreported    []*Machine // sorted by ID
	Pacer         Pacer
	Ledger        UnreachableLedger
	VerdictCounts VerdictCounts
}

// NewClaim returns the state of a new claim. The fencing token is the revision of the claim's record.
func NewClaim(settings Settings, fencingToken uint64, now int64) *Claim {
	return &Claim{settings: settings, fencingToken: fencingToken, claimedAt: now, Ledger: newUnreachableLedger()}
}

// ClaimedAt returns when the claim was made.
func (c *Claim) ClaimedAt() int64 { return c.claimedAt }

// AddMachine adds a machine of the claim's shard. Its lease counts from now, since all earlier
// responses to it were sent before this claim.
func (c *Claim) AddMachine(id string, up bool, now int64) *Machine {
	m := &Machine{ID: id, LastHeartbeatAt: now}
	if up {
		c.MarkListed(m)
	}
	return m
}

// MarkListed records that a machine is listed as up.
func (c *Claim) MarkListed(m *Machine) {
	if m.Up {
		return
	}
	m.Up = true
	c.listedCount++
	c.updateUnreported(m)
}

// RemoveMachine removes a machine that no longer exists.
func (c *Claim) RemoveMachine(m *Machine) {
	if m.Up {
		c.listedCount--
		m.Up = false
	}
	c.updateUnreported(m)
	c.Ledger.Remove(m.ID)
}

// updateUnreported adds m to the unreported machines or removes it.
func (c *Claim) updateUnreported(m *Machine) {
	index, found := slices.BinarySearchFunc(c.unreported, m.ID, func(other *Machine, id string) int {
		return strings.Compare(other.ID, id)
	})
	if found && c.unreported[index] != m {
		c.unreported[index] = m // the same machine, added again
	}
	switch {
	case found && m.IsAccountedFor():
		c.unreported = slices.Delete(c.unreported, index, index+1)
	case !found && !m.IsAccountedFor():
		c.unreported = slices.Insert(c.unreported, index, m)
	}
}

// Unreported returns, sorted by ID, the machines that may run tasks of earlier claims that are not
// counted. The caller must not modify the slice, which belongs to the claim.
func (c *Claim) Unreported() []*Machine { return c.unreported }

// ReceiveHeartbeat processes a worker's heartbeat. The caller has read the shard's progress.
func (c *Claim) ReceiveHeartbeat(m *Machine, now int64, incarnation, seq, token uint64) Disposition {
	// A worker waits only for the response to its newest heartbeat. The network may deliver a copy
	// of a heartbeat later, by a lease or more. If such a copy renewed the lease, the tasks of a
	// lost machine would be restarted later by that time.
	if m.isOldHeartbeat(incarnation, seq) || m.hasEnded(incarnation) {
		return Stale
	}
	m.newestHeartbeat.incarnation, m.newestHeartbeat.seq = incarnation, seq
	// Every response that the worker may accept renews its lease, including the response to a
	// heartbeat that the response to a direct command has superseded. If the lease counted from an
	// earlier heartbeat, it would appear expired while tasks still run.
	m.LastHeartbeatAt = now
	disposition := c.classify(m, now, incarnation, seq, token)
	if disposition == NotifyToken && token != 0 && now <= c.claimedAt+c.maxLeaseMS() {
		return QueryTasks
	}
	if disposition == NotifyToken && !m.earlierTasksExpired && now > c.claimedAt+c.maxLeaseMS()+ResponseTTLMS {
		// The inbound direction is partitioned. A worker that had accepted a response since the
		// claim would have the claim's token. So every incarnation that earlier owners knew ended
		// at most one lease after the claim. Only the response to this heartbeat could renew such
		// a lease, and it reaches an incarnation without their tasks or arrives too late to count.
		// If such a machine counted as one that may run any task, it would block its shard for as
		// long as the partition lasts.
		m.earlierTasksExpired = true
		c.updateUnreported(m)
	}
	return disposition
}

// ReceiveQueryResponse processes a worker's response to a task query. It has the content of a
// heartbeat but does not renew the lease.
func (c *Claim) ReceiveQueryResponse(m *Machine, now int64, incarnation, seq, token uint64) Disposition {
	return c.classify(m, now, incarnation, seq, token)
}

func (c *Claim) classify(m *Machine, now int64, incarnation, seq, token uint64) Disposition {
	if m.isSuperseded(incarnation, seq) || m.hasEnded(incarnation) {
		return RenewOnly
	}
	if token < c.fencingToken {
		// The worker may still execute commands of an earlier claim.
		if m.state == NoHeartbeat {
			m.state, m.lastQueryAt = Notified, now
		}
		m.notifiedIncarnation = max(m.notifiedIncarnation, incarnation)
		return NotifyToken
	}
	disposition := Accept
	if m.hasAcceptedIncarnation() && incarnation > m.Incarnation {
		disposition = AcceptNewIncarnation
	}
	m.state, m.Incarnation, m.Seq = Reconciled, incarnation, seq
	c.updateUnreported(m)
	return disposition
}

// ExpireLease reports, once, that a machine has sent no heartbeat for longer than its lease, so that
// all its tasks have ended.
func (c *Claim) ExpireLease(m *Machine, now int64) bool {
	if !m.Up || m.state == LeaseExpired || now <= c.LeaseExpiresAt(m) {
		return false
	}
	m.state = LeaseExpired
	c.updateUnreported(m)
	return true
}

// LeaseExpiresAt returns the time by which a machine has killed its tasks if it sends no further
// heartbeat. Its lease runs from the time when it sent the last one.
func (c *Claim) LeaseExpiresAt(m *Machine) int64 {
	return m.LastHeartbeatAt + c.maxLeaseMS()
}

// maxLeaseMS returns the maximum length of a worker's lease on this member's clock.
func (c *Claim) maxLeaseMS() int64 {
	driftMS := int64(float64(c.settings.LeaseMS) * c.settings.MaxClockDrift)
	return c.settings.LeaseMS + driftMS + c.settings.LeaseSlackMS
}

// StartTaskQuery records that the owner queries a worker because of its heartbeat. The query is not
// delayed: the heartbeat waits for it.
func (c *Claim) StartTaskQuery(m *Machine, now int64) {
	c.Pacer.Reserve(now, 1)
	m.lastQueryAt = now
}

// TryStartTaskQuery reports whether the owner queries a worker for its tasks now, because the worker
// was sent the claim's token, or queried, a while ago and has sent no heartbeat with it. A worker that received
// several tokens in a short time does not send a heartbeat immediately for the last one.
func (c *Claim) TryStartTaskQuery(m *Machine, now int64) bool {
	if m.state != Notified || !m.Up || now-m.lastQueryAt < c.settings.MaxHeartbeatIntervalMS/queryDelayDivisor {
		return false
	}
	if !c.Pacer.TryClear(now) {
		return false
	}
	m.lastQueryAt = now
	return true
}

// MachinesToDrain returns the machines to drain for lack of a heartbeat since the claim, if they are
// few. A machine that ended while no controller received heartbeats never sends one, and the tasks
// that it may have run would wait for it. Machines with a ledger entry are not drained, since only the
// few task ranges of the entry wait for them.
func (c *Claim) MachinesToDrain(now int64) []*Machine {
	if len(c.unreported) == 0 || len(c.unreported) > c.listedCount/MaxMissingDivisor {
		return nil
	}
	gracePeriodMS := c.settings.LeaseMS / GracePeriodDivisor
	var machines []*Machine
	for _, m := range c.unreported {
		if _, recorded := c.Ledger.Entry(m.ID); !recorded && now-m.LastHeartbeatAt > gracePeriodMS {
			machines = append(machines, m)
		}
	}
	return machines
}

// IsAwaitingHeartbeats reports whether unreported machines may still have capacity for tasks that fit
// nowhere else. The owner does not scale out meanwhile.
func (c *Claim) IsAwaitingHeartbeats(now int64) bool {
	return len(c.unreported) > 0 && now-c.claimedAt < 2*c.settings.MaxHeartbeatIntervalMS
}
