// Package reconcile squares what workers report with what the state service
// holds, after a claim: the first start, a restart, an adoption or a hand-back.
// The store knows which tasks there are and which are done, and writes nothing
// when one starts; what runs is the workers' to tell. It is pure: time comes in,
// in milliseconds, and verdicts go out. One claim is one Claim; what an earlier
// one knew of machines ends with it, but for the notes that it wrote (Book).
//
// A machine, under a claim; its lease runs from the last report that was answered,
// or from the claim:
//
//	from                 input                                  to       verdict
//	any                  a report no newer than another report  same     Old: it proves nothing, not even life, and has no answer
//	Silent               a report of the session that ended     same     Old: it was sent before
//	any                  one that the worker's answer to        same     Renew: an answer, and nothing of it is taken
//	                     commands overtook
//	any                  a report with an older token           Heard, if Known      Tell: an answer with our token
//	Known, Heard         the same, when no lease of a session   same     Tell; nothing of earlier claims is there (emptied)
//	                     from before the claim can last
//	any                  a report under our token               Squared  Use: its tasks are what runs there
//	Squared, Silent      the same, in a later session           Squared  Restart: what ran in the earlier one is over
//	Heard                the worker's own answer to a question  Squared  Use; it renews no lease
//	any but Silent       silent past its lease                  Silent   what ran there is over
//	Known, Heard         half a lease without a word            same     given up, unless a third are or a note says what it holds
//
// A machine that is listed as up and neither Squared nor Silent is unseen: tasks of
// earlier claims may be on it, as many as it has room for, or what its note names.
//
// A task that a report shows under an attempt that this claim did not start, by
// where the state has the task:
//
//	             runs, or will   exited, done   exited otherwise
//	Free         Adopt           Count          Clear     nobody else has it: it is what was started before
//	Busy         Stop            Count          Clear     a second attempt must not go on; a result is one, whoever got it
//	Moving       Stop            Count          Clear     it may be a peer's already
//	Done         Stop            Keep           Clear     not stored yet: the machine's word is the only one
//	Stored       Stop            Clear          Clear
//	Over         Stop            Clear          Clear     its job is done or cancelled, or its range is another shard's
//
// Reports are taken only when the shard's progress is read and the mirror has
// passed the claim: before that each task would look Free, or Over, and an answer
// would only renew the lease of what can't be stopped.
package reconcile

import (
	"slices"
	"strings"
)

// Settings are the platform's, in milliseconds.
type Settings struct {
	MaxHeartbeatIntervalMS int64   // longest time between two reports of a machine that is well
	LeaseMS                int64   // of workers
	MaxClockDrift          float64 // bound on how far two steady clocks part
	LeaseSlackMS           int64   // added to a lease, for what measuring it costs
}

// MachineState is what a claim knows of a machine.
type MachineState int

// The standings.
const (
	NoHeartbeat  MachineState = iota // nothing was heard of it
	Notified                         // it reported, and has our token with the answer
	Reconciled                       // what it reported under our token is what we count
	LeaseExpired                     // for longer than its lease
)

func (s MachineState) String() string { return [...]string{"known", "heard", "squared", "silent"}[s] }

// Disposition is what becomes of a report.
type Disposition int

// What becomes of a report.
const (
	Stale Disposition = iota
	RenewOnly
	NotifyToken
	Accept
	AcceptNewIncarnation
)

// Machine is a machine as a claim sees it.
type Machine struct {
	ID               string
	Up               bool // listed as up: tasks may be on it
	LastHeartbeatAt  int64
	Incarnation, Seq uint64

	state               MachineState
	newestHeartbeat     struct{ incarnation, seq uint64 } // the newest report, not answer, that came in
	notifiedIncarnation uint64                            // the newest session in which it was given our token
	earlierTasksExpired bool                              // nothing of earlier claims is there, though it has not our token
	lastQueryAt         int64                             // when it was last asked for its tasks, or heard first
}

// State tells what is known of the machine.
func (m *Machine) State() MachineState { return m.state }

// NotifiedIncarnation is the session in which the machine was last given our token.
func (m *Machine) NotifiedIncarnation() uint64 { return m.notifiedIncarnation }

// IsReconciled tells whether what runs on the machine is known: it reported under our
// token, and is not silent since.
func (m *Machine) IsReconciled() bool { return m.state == Reconciled }

// IsAccountedFor tells whether nothing that an earlier claim started can run on the
// machine without our knowing it.
func (m *Machine) IsAccountedFor() bool {
	return !m.Up || m.state >= Reconciled || m.earlierTasksExpired
}

// IsInboundPartitioned tells whether the machine has reported since the claim for longer than a lease
// and does not hear us.
func (m *Machine) IsInboundPartitioned() bool { return m.earlierTasksExpired && m.state < Reconciled }

// GracePeriodDivisor is which part of a lease a machine may be silent after a claim before
// it is given up, and Few which part of the machines may be given up so: where
// more are silent it is the network, and they are waited for.
const (
	GracePeriodDivisor = 2
	GiveUpDivisor      = 3
)

// Claim is what is known under one claim.
type Claim struct {
	settings      Settings
	fencingToken  uint64
	claimedAt     int64
	listedCount   int
	unreported    []*Machine // in order
	Pacer         Pacer
	Ledger        UnreachableLedger
	VerdictCounts VerdictCounts
}

// NewClaim begins a claim whose token is the claim's own revision.
func NewClaim(settings Settings, fencingToken uint64, now int64) *Claim {
	return &Claim{settings: settings, fencingToken: fencingToken, claimedAt: now, Ledger: newUnreachableLedger()}
}

// ClaimedAt is when the claim was made.
func (c *Claim) ClaimedAt() int64 { return c.claimedAt }

// AddMachine takes in a machine of the claim's shard. Silence counts from here: whoever
// answered it before did so before this claim.
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

// RemoveMachine forgets a machine that is gone.
func (c *Claim) RemoveMachine(m *Machine) {
	if m.Up {
		c.listedCount--
		m.Up = false
	}
	c.updateUnreported(m)
	c.Ledger.Remove(m.ID)
}

// updateUnreported keeps the list of machines that are unseen.
func (c *Claim) updateUnreported(m *Machine) {
	index, found := slices.BinarySearchFunc(
		c.unreported,
		m,
		func(a, b *Machine) int { return strings.Compare(a.ID, b.ID) },
	)
	if found && c.unreported[index] != m {
		c.unreported[index] = m // it stands for the same machine, added anew
	}
	switch {
	case found && m.IsAccountedFor():
		c.unreported = slices.Delete(c.unreported, index, index+1)
	case !found && !m.IsAccountedFor():
		c.unreported = slices.Insert(c.unreported, index, m)
	}
}

// Unreported lists, in order, the machines on which tasks of earlier claims may be
// without our knowing it. It is the claim's own: not to be changed.
func (c *Claim) Unreported() []*Machine { return c.unreported }

// ReceiveHeartbeat takes a worker's report, of a shard whose progress is read.
func (c *Claim) ReceiveHeartbeat(m *Machine, now int64, incarnation, seq, token uint64) Disposition {
	// A worker waits for the answer to its newest report alone. A copy that the network
	// brings later, up to a lease and more, once counted as a sign of life: what ran on
	// a machine that was gone waited for as much longer.
	newest := &m.newestHeartbeat
	if incarnation < newest.incarnation || incarnation == newest.incarnation && seq <= newest.seq {
		return Stale
	}
	if m.incarnationEnded(incarnation) {
		return Stale
	}
	newest.incarnation, newest.seq = incarnation, seq
	// Every answer that the worker may accept renews its lease, also one to a
	// report that a direct command's answer has overtaken: counted from an
	// earlier one, the lease seemed over while tasks still ran.
	m.LastHeartbeatAt = now
	disposition := c.classify(m, now, incarnation, seq, token)
	if disposition == NotifyToken && !m.earlierTasksExpired && now > c.claimedAt+c.maxLeaseMS()+responseTTLMS {
		// It reports and does not hear us. Had it taken an answer since the claim, it
		// would have our token; so the sessions that earlier holders knew were over a
		// lease after the claim, and the only answer that could renew one, that to this
		// report, comes to a session without their tasks, or too late to count. Taken
		// for a machine that may run anything, it held its shard up for as long as it
		// was deaf.
		m.earlierTasksExpired = true
		c.updateUnreported(m)
	}
	return disposition
}

// incarnationEnded tells whether a session ended with a lease: a report of it was sent before and held
// by the network. Taken for news, it brought tasks back that had been killed, and starts
// went to a session that was over.
func (m *Machine) incarnationEnded(incarnation uint64) bool {
	return m.state == LeaseExpired && incarnation <= max(m.Incarnation, m.notifiedIncarnation)
}

// responseTTLMS is after how many milliseconds a worker drops the answer to a report.
const responseTTLMS = 4000

// ReceiveQueryResponse takes a worker's own answer to a question: a report that renews no lease.
func (c *Claim) ReceiveQueryResponse(m *Machine, now int64, incarnation, seq, token uint64) Disposition {
	return c.classify(m, now, incarnation, seq, token)
}

func (c *Claim) classify(m *Machine, now int64, incarnation, seq, token uint64) Disposition {
	reconciled := m.state >= Reconciled && m.Incarnation != 0
	if reconciled && (incarnation < m.Incarnation || incarnation == m.Incarnation && seq <= m.Seq) {
		return RenewOnly
	}
	if m.incarnationEnded(incarnation) {
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
	if reconciled && incarnation > m.Incarnation {
		disposition = AcceptNewIncarnation
	}
	m.state, m.Incarnation, m.Seq = Reconciled, incarnation, seq
	c.updateUnreported(m)
	return disposition
}

// ExpireLease tells, once, that a machine has been silent past its lease: whatever ran on
// it is over.
func (c *Claim) ExpireLease(m *Machine, now int64) bool {
	if !m.Up || m.state == LeaseExpired || now <= c.LeaseExpiresAt(m) {
		return false
	}
	m.state = LeaseExpired
	c.updateUnreported(m)
	return true
}

// LeaseExpiresAt is when a machine that has been silent since its last report has
// killed its tasks: its lease runs from the sending of that report.
func (c *Claim) LeaseExpiresAt(m *Machine) int64 {
	return m.LastHeartbeatAt + c.maxLeaseMS()
}

// maxLeaseMS is how long a worker's lease may last on our clock.
func (c *Claim) maxLeaseMS() int64 {
	return c.settings.LeaseMS + int64(float64(c.settings.LeaseMS)*c.settings.MaxClockDrift) + c.settings.LeaseSlackMS
}

// TryStartTaskQuery tells whether a worker that has our token since a while, and did not report
// since, is to be asked for its tasks: one that saw several tokens in a short time
// does not report at once for the last of them.
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

// queryDelayDivisor is which part of the longest report interval a worker is given to report
// by itself.
const queryDelayDivisor = 4

// MachinesToGiveUp lists the few machines that have not spoken since the claim: what ended
// while nobody listened never speaks, and what it may have had waits for it.
// Those whose note says what they hold are waited for, little waits with them.
func (c *Claim) MachinesToGiveUp(now int64) []*Machine {
	if len(c.unreported) == 0 || len(c.unreported) > c.listedCount/GiveUpDivisor {
		return nil
	}
	var machines []*Machine
	for _, m := range c.unreported {
		if _, recorded := c.Ledger.Entry(m.ID); !recorded && now-m.LastHeartbeatAt > c.settings.LeaseMS/GracePeriodDivisor {
			machines = append(machines, m)
		}
	}
	return machines
}

// IsAwaitingHeartbeats tells whether machines that have not spoken yet may still be counted on
// for work that has no room elsewhere: nothing is rented meanwhile.
func (c *Claim) IsAwaitingHeartbeats(now int64) bool {
	return len(c.unreported) > 0 && now-c.claimedAt < 2*c.settings.MaxHeartbeatIntervalMS
}

// TaskState is where the state has a task.
type TaskState int

// The places.
const (
	Unassigned TaskState = iota
	Assigned
	Transferring
	Completed
	ResultStored
	Obsolete
	TaskStateCount int = iota
)

func (s TaskState) String() string {
	return [...]string{"free", "busy", "moving", "done", "stored", "over"}[s]
}

// Observation is what a report shows of an attempt.
type Observation int

// What a report shows.
const (
	Active           Observation = iota // it runs, fetches, waits or saves
	Succeeded                           // exited, done
	Terminated                          // exited otherwise
	ObservationCount int         = iota
)

func (o Observation) String() string { return [...]string{"live", "finished", "ended"}[o] }

// Verdict is what becomes of a task that this claim did not start.
type Verdict int

// The verdicts.
const (
	Adopt Verdict = iota // it goes on, and counts
	Stop
	RecordCompletion // its task is done; the machine keeps it until that is stored
	Keep             // as it is, until its result is stored
	Clear
)

func (v Verdict) String() string { return [...]string{"adopt", "stop", "count", "keep", "clear"}[v] }

// verdicts is the table of the package's comment.
var verdicts = [TaskStateCount][ObservationCount]Verdict{
	Unassigned:   {Adopt, RecordCompletion, Clear},
	Assigned:     {Stop, RecordCompletion, Clear},
	Transferring: {Stop, RecordCompletion, Clear},
	Completed:    {Stop, Keep, Clear},
	ResultStored: {Stop, Clear, Clear},
	Obsolete:     {Stop, Clear, Clear},
}

// VerdictCounts counts verdicts by place and by what was shown.
type VerdictCounts [TaskStateCount][ObservationCount]uint64

// DecideVerdict says what becomes of a task that this claim did not start.
func (c *Claim) DecideVerdict(state TaskState, observation Observation) Verdict {
	c.VerdictCounts[state][observation]++
	return verdicts[state][observation]
}
