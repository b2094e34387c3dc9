// Package reconcile compares what workers report with what the state store holds, after a shard
// was claimed: at the first start, after a restart, an adoption or a hand-back. The store knows
// which tasks exist and which are done, and nothing is written when a task starts; only the
// workers know what runs.
//
// It owns, for one claim: what is known of each machine, the fencing token that workers must have
// before their reports count, the pace of the commands that follow (Pacer), the IDs of attempts
// (AttemptIDs), and the entries of machines that stopped sending heartbeats (UnreachableLedger).
// What an earlier claim knew of machines ends with it, except for the entries it stored. The
// package is pure: time is an input, in milliseconds of one monotonic clock unless a name says
// wall time, and dispositions and verdicts are the output. A Claim is used by one goroutine at a
// time.
//
// It assumes that a worker kills its tasks when its lease has expired, that a worker carries out
// no command under a token older than its own, and that clocks drift apart by no more than
// Settings.MaxClockDrift. It promises that a task of an earlier claim is either adopted, stopped or
// known to be over before its place is free. It is built for heartbeats that are lost, delayed or
// duplicated, for machines that restart, hang or are partitioned in one direction, and for claims
// that end at any moment.
//
// A machine, under a claim; its lease runs from the last heartbeat that got a response, or from
// the claim:
//
//	from                     input                                   to           disposition
//	any                      heartbeat no newer than another         same         Stale: no sign of life
//	LeaseExpired             heartbeat of an ended incarnation       same         Stale: sent before
//	any                      heartbeat overtaken by a query response same         RenewOnly
//	any                      heartbeat with an older token           Notified (1) NotifyToken
//	NoHeartbeat, Notified    the same, no earlier lease can last     same         NotifyToken (2)
//	any                      heartbeat under our token               Reconciled   Accept
//	Reconciled, LeaseExpired the same, of a later incarnation        Reconciled   AcceptNewIncarnation
//	Notified                 response to a task query                Reconciled   Accept, no renewal
//	any but LeaseExpired     no heartbeat for a lease                LeaseExpired (3)
//	NoHeartbeat, Notified    no heartbeat for half a lease           same         given up (4)
//
// (1) From NoHeartbeat only. (2) No task of earlier claims is left on the machine. (3) What ran there
// is over. (4) Unless so many machines are missing that the network is the likely cause, or the
// machine's entry in the ledger says what is there.
//
// A machine that is listed as up and neither Reconciled nor LeaseExpired is unreported: tasks of
// earlier claims may be on it, as many as it has room for, or those that its entry lists.
//
// An attempt that a heartbeat shows and that this claim did not start, by the state of its task:
//
//	state         Active  Succeeded         Terminated
//	Unassigned    Adopt   RecordCompletion  Clear       no other attempt exists: it was started before
//	Assigned      Stop    RecordCompletion  Clear       a second attempt must end; a result counts, whoever has it
//	Transferring  Stop    RecordCompletion  Clear       it may be a peer's already
//	Completed     Stop    Keep              Clear       not stored yet: the machine has the only copy
//	ResultStored  Stop    Clear             Clear
//	Obsolete      Stop    Clear             Clear       its job is over, or its range is another shard's
//
// Heartbeats may be taken only when the shard's progress is read and the state cache has passed the
// claim: before that every task would look Unassigned or Obsolete, and a response would only renew
// the lease of what cannot be stopped.
package reconcile

import (
	"slices"
	"strings"
)

// Settings are the platform's times.
type Settings struct {
	MaxHeartbeatIntervalMS int64   // longest time between two heartbeats of a healthy machine
	LeaseMS                int64   // of workers
	MaxClockDrift          float64 // bound on how far two monotonic clocks drift apart, as a fraction
	LeaseSlackMS           int64   // added to a lease for the error of measuring it
}

// A machine without a heartbeat since the claim is given up after LeaseMS/GracePeriodDivisor,
// unless more than 1/GiveUpDivisor of the listed machines are missing: then the network is the
// likely cause, and they are waited for.
const (
	GracePeriodDivisor = 2
	GiveUpDivisor      = 3
)

const (
	responseTTLMS     = 4000 // after which a worker drops the response to a heartbeat
	queryDelayDivisor = 4    // of the heartbeat interval: how long a worker may take to report by itself
)

// Claim is what is known under one claim of a shard.
type Claim struct {
	settings      Settings
	fencingToken  uint64
	claimedAt     int64
	listedCount   int
	unreported    []*Machine // by ID
	Pacer         Pacer
	Ledger        UnreachableLedger
	VerdictCounts VerdictCounts
}

// NewClaim begins a claim. Its fencing token is the revision of the claim's own record.
func NewClaim(settings Settings, fencingToken uint64, now int64) *Claim {
	return &Claim{settings: settings, fencingToken: fencingToken, claimedAt: now, Ledger: newUnreachableLedger()}
}

// ClaimedAt returns when the claim was made.
func (c *Claim) ClaimedAt() int64 { return c.claimedAt }

// AddMachine adds a machine of the claim's shard. Its lease counts from now: whoever responded to
// it before did so before this claim.
func (c *Claim) AddMachine(id string, up bool, now int64) *Machine {
	m := &Machine{ID: id, LastHeartbeatAt: now}
	if up {
		c.MarkListed(m)
	}
	return m
}

// MarkListed notes that a machine is listed as up.
func (c *Claim) MarkListed(m *Machine) {
	if m.Up {
		return
	}
	m.Up = true
	c.listedCount++
	c.updateUnreported(m)
}

// RemoveMachine forgets a machine that no longer exists.
func (c *Claim) RemoveMachine(m *Machine) {
	if m.Up {
		c.listedCount--
		m.Up = false
	}
	c.updateUnreported(m)
	c.Ledger.Remove(m.ID)
}

// updateUnreported adds m to the unreported machines or takes it out.
func (c *Claim) updateUnreported(m *Machine) {
	index, found := slices.BinarySearchFunc(c.unreported, m.ID, func(other *Machine, id string) int {
		return strings.Compare(other.ID, id)
	})
	if found && c.unreported[index] != m {
		c.unreported[index] = m // the same machine, added anew
	}
	switch {
	case found && m.IsAccountedFor():
		c.unreported = slices.Delete(c.unreported, index, index+1)
	case !found && !m.IsAccountedFor():
		c.unreported = slices.Insert(c.unreported, index, m)
	}
}

// Unreported returns, by ID, the machines on which tasks of earlier claims may run without being
// counted. The slice is the claim's own and must not be changed.
func (c *Claim) Unreported() []*Machine { return c.unreported }

// ReceiveHeartbeat takes a worker's heartbeat, of a shard whose progress is read.
func (c *Claim) ReceiveHeartbeat(m *Machine, now int64, incarnation, seq, token uint64) Disposition {
	// A worker waits for the response to its newest heartbeat alone. A copy that the network
	// delivers later, up to a lease and more, once counted as a sign of life: what ran on a
	// machine that was gone waited for that much longer.
	if m.isOldHeartbeat(incarnation, seq) || m.hasEnded(incarnation) {
		return Stale
	}
	m.newestHeartbeat.incarnation, m.newestHeartbeat.seq = incarnation, seq
	// Every response that the worker may accept renews its lease, also one to a heartbeat that
	// the response to a direct command has overtaken: counted from an earlier one, the lease
	// seemed to have expired while tasks still ran.
	m.LastHeartbeatAt = now
	disposition := c.classify(m, now, incarnation, seq, token)
	if disposition == NotifyToken && !m.earlierTasksExpired && now > c.claimedAt+c.maxLeaseMS()+responseTTLMS {
		// The inbound direction is partitioned. Had the worker taken a response since the claim,
		// it would have our token; so the incarnations that earlier owners knew were over a
		// lease after the claim, and the only response that could renew one, that to this
		// heartbeat, comes to an incarnation without their tasks, or too late to count. While
		// such a machine counted as one that may run anything, it held its shard up for as long
		// as it was partitioned.
		m.earlierTasksExpired = true
		c.updateUnreported(m)
	}
	return disposition
}

// ReceiveQueryResponse takes a worker's response to a task query: it shows what a heartbeat shows,
// and renews no lease.
func (c *Claim) ReceiveQueryResponse(m *Machine, now int64, incarnation, seq, token uint64) Disposition {
	return c.classify(m, now, incarnation, seq, token)
}

func (c *Claim) classify(m *Machine, now int64, incarnation, seq, token uint64) Disposition {
	if m.isOvertaken(incarnation, seq) || m.hasEnded(incarnation) {
		return RenewOnly
	}
	if token < c.fencingToken {
		// The worker may still carry out commands of an earlier claim.
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

// ExpireLease reports, once, that a machine has sent no heartbeat for longer than its lease:
// whatever ran on it is over.
func (c *Claim) ExpireLease(m *Machine, now int64) bool {
	if !m.Up || m.state == LeaseExpired || now <= c.LeaseExpiresAt(m) {
		return false
	}
	m.state = LeaseExpired
	c.updateUnreported(m)
	return true
}

// LeaseExpiresAt returns when a machine has killed its tasks if no further heartbeat comes: its
// lease runs from the sending of the last one.
func (c *Claim) LeaseExpiresAt(m *Machine) int64 {
	return m.LastHeartbeatAt + c.maxLeaseMS()
}

// maxLeaseMS is how long a worker's lease may last on our clock.
func (c *Claim) maxLeaseMS() int64 {
	driftMS := int64(float64(c.settings.LeaseMS) * c.settings.MaxClockDrift)
	return c.settings.LeaseMS + driftMS + c.settings.LeaseSlackMS
}

// TryStartTaskQuery reports whether a worker is to be queried for its tasks now: it has had our
// token for a while and sent no heartbeat since. A worker that received several tokens in a short
// time does not send a heartbeat at once for the last of them.
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

// MachinesToGiveUp lists the few machines without a heartbeat since the claim. A machine that
// ended while no controller received heartbeats never sends one, and the tasks it may have had
// wait for it. Machines with an entry in the ledger are waited for: little waits with them.
func (c *Claim) MachinesToGiveUp(now int64) []*Machine {
	if len(c.unreported) == 0 || len(c.unreported) > c.listedCount/GiveUpDivisor {
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

// IsAwaitingHeartbeats reports whether unreported machines may still have room for work that has
// none elsewhere: nothing is scaled out meanwhile.
func (c *Claim) IsAwaitingHeartbeats(now int64) bool {
	return len(c.unreported) > 0 && now-c.claimedAt < 2*c.settings.MaxHeartbeatIntervalMS
}
