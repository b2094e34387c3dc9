package reconcile

// MachineState is the reconciliation state of a machine under a claim.
type MachineState int

// The states of a machine. The package comment lists the transitions.
const (
	NoHeartbeat  MachineState = iota // no heartbeat received since the claim
	Notified                         // it sent a heartbeat, and a response or query carries the claim's fencing token
	Reconciled                       // it reported its tasks with the claim's fencing token, and these are counted
	LeaseExpired                     // no heartbeat for longer than its lease
)

func (s MachineState) String() string {
	return [...]string{"NoHeartbeat", "Notified", "Reconciled", "LeaseExpired"}[s]
}

// Disposition is how the owner handles a heartbeat.
type Disposition int

// The dispositions of a heartbeat. From Accept on, the owner applies the tasks that it reports.
const (
	Stale                Disposition = iota // outdated: it is ignored and gets no response
	QueryTasks                              // it gets no response before a task query has been answered
	RenewOnly                               // it gets a response, but its content is outdated
	NotifyToken                             // it gets a response with the claim's fencing token; its content is ignored
	Accept                                  // it lists the tasks on the machine
	AcceptNewIncarnation                    // the same, and all tasks of the earlier incarnation have ended
)

// Machine is the state of a machine under a claim. Only the claim that added it modifies it. Callers
// read its exported fields.
type Machine struct {
	ID               string
	Up               bool // listed as up: tasks may be on it
	LastHeartbeatAt  int64
	Incarnation, Seq uint64

	state               MachineState
	newestHeartbeat     struct{ incarnation, seq uint64 } // newest heartbeat received; excludes query responses
	notifiedIncarnation uint64                            // newest incarnation that was sent the claim's fencing token
	earlierTasksExpired bool                              // tasks of earlier claims ended, yet its token is older
	lastQueryAt         int64                             // when it became Notified, or was last queried for its tasks
}

// State returns the reconciliation state of the machine.
func (m *Machine) State() MachineState { return m.state }

// NotifiedIncarnation returns the newest incarnation that was sent the claim's fencing token.
func (m *Machine) NotifiedIncarnation() uint64 { return m.notifiedIncarnation }

// IsReconciled reports whether the tasks on the machine are known: it sent a heartbeat with the
// claim's fencing token, and its lease has not expired since.
func (m *Machine) IsReconciled() bool { return m.state == Reconciled }

// IsAccountedFor reports whether every task of an earlier claim that may run on the machine is
// counted.
func (m *Machine) IsAccountedFor() bool {
	return !m.Up || m.state >= Reconciled || m.earlierTasksExpired
}

// IsInboundPartitioned reports whether the machine has sent heartbeats for longer than a lease since
// the claim without receiving the responses.
func (m *Machine) IsInboundPartitioned() bool { return m.earlierTasksExpired && m.state < Reconciled }

// isOldHeartbeat reports whether a heartbeat is not newer than the newest one received.
func (m *Machine) isOldHeartbeat(incarnation, seq uint64) bool {
	newest := &m.newestHeartbeat
	return incarnation < newest.incarnation || incarnation == newest.incarnation && seq <= newest.seq
}

// isSuperseded reports whether the same or a newer message was already accepted from the machine.
func (m *Machine) isSuperseded(incarnation, seq uint64) bool {
	return m.hasAcceptedIncarnation() &&
		(incarnation < m.Incarnation || incarnation == m.Incarnation && seq <= m.Seq)
}

func (m *Machine) hasAcceptedIncarnation() bool { return m.state >= Reconciled && m.Incarnation != 0 }

// hasEnded reports whether an incarnation ended when its lease expired. The network may delay a
// heartbeat of it beyond the expiry. If the owner accepted that heartbeat, it would count killed tasks
// as running and send start commands to an incarnation that has ended.
func (m *Machine) hasEnded(incarnation uint64) bool {
	return m.state == LeaseExpired && incarnation <= max(m.Incarnation, m.notifiedIncarnation)
}
