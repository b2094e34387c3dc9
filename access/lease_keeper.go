package access

// LeaseState is a state of the lease.
type LeaseState int

// The states of the lease.
const (
	LeaseAbsent LeaseState = iota
	LeaseRequested
	LeaseGranted
	LeaseRenewing
)

// MirrorState is a state of the mirror.
type MirrorState int

// The states of the mirror.
const (
	MirrorUnsynced MirrorState = iota
	MirrorListing
	MirrorSynced
	MirrorWatching
)

const (
	renewDivisor       = 8   // of the lease's TTL: between renewals, and the length of a watch
	watchPauseDivisor  = 100 // of the lease's TTL: between two watches, so that several changes share a response
	retryDivisor       = 4   // of the request timeout: until a failed request is repeated
	watchJitterDivisor = 10  // of the request timeout: so that watches that failed together come back apart
)

// LeaseKeeper is a member's lease, mirror and link. The zero value is not ready; use NewLeaseKeeper.
type LeaseKeeper struct {
	settings Settings
	lease    lease
	mirror   mirror
	link     linkMonitor
}

type lease struct {
	state         LeaseState
	id            uint64 // 0: none
	renewalSentAt int64  // when the request that last granted or renewed it was sent
	pendingSentAt int64  // when the one in flight was sent
	nextRequestAt int64
}

type mirror struct {
	state         MirrorState
	readSentAt    int64 // when the last list or watch that succeeded was sent
	pendingSentAt int64 // when the one in flight was sent
	readID        uint64
	nextReadAt    int64
}

// NewLeaseKeeper returns the state of a member that has just started.
func NewLeaseKeeper(settings Settings) *LeaseKeeper { return &LeaseKeeper{settings: settings} }

// RenewIntervalMS returns how often the lease is renewed and how long a watch waits.
func (k *LeaseKeeper) RenewIntervalMS() int64 { return k.settings.LeaseTTLMS / renewDivisor }

func (k *LeaseKeeper) retryIntervalMS() int64 {
	return max(1, min(k.RenewIntervalMS(), k.settings.RequestTimeoutMS/retryDivisor))
}

// LeaseID returns the ID of the lease, 0 without one.
func (k *LeaseKeeper) LeaseID() uint64 { return k.lease.id }

// IsSynced reports whether the mirror has been listed.
func (k *LeaseKeeper) IsSynced() bool { return k.mirror.state >= MirrorSynced }

// MirrorReadSentAt returns when the last read of the mirror that succeeded was sent.
func (k *LeaseKeeper) MirrorReadSentAt() int64 { return k.mirror.readSentAt }

// HasAuthority reports whether the member may act for its shards: counted from the sending of the last
// renewal and of the last mirror read that succeeded, whichever is earlier, since either may be stuck
// while the other works.
func (k *LeaseKeeper) HasAuthority(now int64) bool {
	if k.lease.id == 0 || !k.IsSynced() {
		return false
	}
	provenAt := min(k.lease.renewalSentAt, k.mirror.readSentAt)
	driftMS := int64(float64(k.settings.LeaseTTLMS) * k.settings.MaxClockDrift)
	return now < provenAt+k.settings.LeaseTTLMS-driftMS-k.settings.AuthoritySlackMS
}

// SetState sets a lease, kept by a request that was sent at renewalSentAt (leaseID 0: no lease), and a
// mirror that was read at mirrorReadSentAt. It is for tests of what depends on a LeaseKeeper.
func (k *LeaseKeeper) SetState(leaseID uint64, renewalSentAt, mirrorReadSentAt int64) {
	k.lease.state, k.lease.id, k.lease.renewalSentAt = LeaseAbsent, leaseID, renewalSentAt
	if leaseID != 0 {
		k.lease.state = LeaseGranted
	}
	k.mirror.state, k.mirror.readSentAt = MirrorSynced, mirrorReadSentAt
}

// Action is what is to be requested of the service.
type Action struct {
	GrantLease  bool
	RenewLease  uint64 // the lease to renew, 0: none
	ListMirror  bool
	WatchMirror bool
	ReadID      uint64 // names the list or watch
}

// Tick lets time pass and returns the requests that are due. The caller reports the outcome of each,
// once, with CompleteLeaseRequest or CompleteMirrorRead.
func (k *LeaseKeeper) Tick(now int64) (action Action) {
	if now >= k.lease.nextRequestAt {
		switch k.lease.state {
		case LeaseAbsent:
			k.lease.state, k.lease.pendingSentAt = LeaseRequested, now
			action.GrantLease = true
		case LeaseGranted:
			k.lease.state, k.lease.pendingSentAt = LeaseRenewing, now
			action.RenewLease = k.lease.id
		}
	}
	if now >= k.mirror.nextReadAt {
		switch k.mirror.state {
		case MirrorUnsynced:
			k.mirror.begin(MirrorListing, now)
			action.ListMirror = true
		case MirrorSynced:
			k.mirror.begin(MirrorWatching, now)
			action.WatchMirror = true
		}
	}
	action.ReadID = k.mirror.readID
	return action
}

func (m *mirror) begin(state MirrorState, now int64) {
	m.state, m.pendingSentAt = state, now
	m.readID++
}

// CompleteLeaseRequest ends the request that grants or renews the lease. grantedID is the ID of a new
// lease; lost reports that the old one is over, with all records under it.
func (k *LeaseKeeper) CompleteLeaseRequest(now int64, outcome Outcome, grantedID uint64) (lost bool) {
	switch k.lease.state {
	case LeaseRequested:
		if outcome != OK {
			k.lease.state, k.lease.nextRequestAt = LeaseAbsent, now+k.retryIntervalMS()
			return false
		}
		k.lease.id = grantedID
		k.keepLease(now)
	case LeaseRenewing:
		switch outcome {
		case OK:
			k.keepLease(now)
		case NotFound, Gone:
			k.lease.state, k.lease.id, k.lease.nextRequestAt = LeaseAbsent, 0, now
			return true
		default:
			k.lease.state, k.lease.nextRequestAt = LeaseGranted, now+k.retryIntervalMS()
		}
	}
	return false
}

// keepLease notes that the request in flight granted or renewed the lease.
func (k *LeaseKeeper) keepLease(now int64) {
	k.lease.state, k.lease.renewalSentAt = LeaseGranted, k.lease.pendingSentAt
	k.lease.nextRequestAt = now + k.RenewIntervalMS()
}

// CompleteMirrorRead ends a list or a watch. One that ResyncMirror has overtaken is not current: what
// it brings is to be dropped. jitter, in [0,1), spreads members that failed together.
func (k *LeaseKeeper) CompleteMirrorRead(now int64, readID uint64, outcome Outcome, jitter float64) (current bool) {
	mirror := &k.mirror
	listing := mirror.state == MirrorListing
	if readID != mirror.readID || !listing && mirror.state != MirrorWatching {
		return false
	}
	switch {
	case listing && outcome == OK:
		mirror.state, mirror.readSentAt, mirror.nextReadAt = MirrorSynced, mirror.pendingSentAt, now
	case listing:
		mirror.state, mirror.nextReadAt = MirrorUnsynced, now+k.retryIntervalMS()
	case outcome == OK:
		mirror.state, mirror.readSentAt = MirrorSynced, max(mirror.readSentAt, mirror.pendingSentAt)
		mirror.nextReadAt = now + k.settings.LeaseTTLMS/watchPauseDivisor
	case outcome == Gone:
		mirror.state, mirror.nextReadAt = MirrorUnsynced, now
	default:
		jitterMS := int64(jitter * float64(k.settings.RequestTimeoutMS/watchJitterDivisor))
		mirror.state, mirror.nextReadAt = MirrorSynced, now+k.retryIntervalMS()*3/5+jitterMS
	}
	return true
}

// ResyncMirror has the mirror listed anew: something in it contradicts what is known otherwise.
func (k *LeaseKeeper) ResyncMirror(now int64) {
	if k.mirror.state >= MirrorSynced {
		k.mirror.state, k.mirror.nextReadAt = MirrorUnsynced, now
	}
}
