package reconcile

// MachineState is what a claim knows of a machine.
type MachineState int

// The states of a machine; the package comment has the transitions.
const (
	NoHeartbeat  MachineState = iota // no heartbeat has come since the claim
	Notified                         // it sent a heartbeat, and the response carries our fencing token
	Reconciled                       // what it reported under our fencing token is what we count
	LeaseExpired                     // no heartbeat for longer than its lease
)

func (s MachineState) String() string {
	return [...]string{"NoHeartbeat", "Notified", "Reconciled", "LeaseExpired"}[s]
}

// Disposition is what becomes of a heartbeat.
type Disposition int

// What becomes of a heartbeat. From Accept on, what it shows of tasks is to be taken.
const (
	Stale                Disposition = iota // it proves nothing and gets no response
	RenewOnly                               // it gets a response; its content is outdated
	NotifyToken                             // it gets a response with our fencing token; its content is not taken
	Accept                                  // its tasks are what runs on the machine
	AcceptNewIncarnation                    // the same, and what ran in the earlier incarnation is over
)

// Machine is a machine as a claim sees it. The claim that added it changes it; callers only read
// its exported fields.
type Machine struct {
	ID               string
	Up               bool // listed as up: tasks may be on it
	LastHeartbeatAt  int64
	Incarnation, Seq uint64

	state               MachineState
	newestHeartbeat     struct{ incarnation, seq uint64 } // of heartbeats alone, not of query responses
	notifiedIncarnation uint64                            // the newest incarnation that was sent our fencing token
	earlierTasksExpired bool                              // no task of earlier claims is left; it lacks our token
	lastQueryAt         int64                             // when it became Notified, or was last queried for its tasks
}

// State returns what is known of the machine.
func (m *Machine) State() MachineState { return m.state }

// NotifiedIncarnation returns the newest incarnation that was sent our fencing token.
func (m *Machine) NotifiedIncarnation() uint64 { return m.notifiedIncarnation }

// IsReconciled reports whether what runs on the machine is known: it sent a heartbeat under our
// fencing token, and its lease has not expired since.
func (m *Machine) IsReconciled() bool { return m.state == Reconciled }

// IsAccountedFor reports whether nothing that an earlier claim started can run on the machine
// without being counted.
func (m *Machine) IsAccountedFor() bool {
	return !m.Up || m.state >= Reconciled || m.earlierTasksExpired
}

// IsInboundPartitioned reports whether the machine has sent heartbeats for longer than a lease
// since the claim without receiving our responses.
func (m *Machine) IsInboundPartitioned() bool { return m.earlierTasksExpired && m.state < Reconciled }

// isOldHeartbeat reports whether a heartbeat is no newer than the newest one.
func (m *Machine) isOldHeartbeat(incarnation, seq uint64) bool {
	newest := &m.newestHeartbeat
	return incarnation < newest.incarnation || incarnation == newest.incarnation && seq <= newest.seq
}

// isOvertaken reports whether a later message of a reconciled machine has been taken already.
func (m *Machine) isOvertaken(incarnation, seq uint64) bool {
	return m.hasAcceptedIncarnation() &&
		(incarnation < m.Incarnation || incarnation == m.Incarnation && seq <= m.Seq)
}

func (m *Machine) hasAcceptedIncarnation() bool { return m.state >= Reconciled && m.Incarnation != 0 }

// hasEnded reports whether an incarnation ended with its lease: a heartbeat of it was sent
// before that and delayed by the network. Taken as new, it brought back tasks that had been
// killed, and starts were sent to an incarnation that was over.
func (m *Machine) hasEnded(incarnation uint64) bool {
	return m.state == LeaseExpired && incarnation <= max(m.Incarnation, m.notifiedIncarnation)
}
