package access

// LeaseState is the state of the lease.
type LeaseState int

// The states of the lease.
const (
	LeaseAbsent LeaseState = iota
	LeaseRequested
	LeaseGranted
	LeaseRenewing
)

// CacheState is the synchronization state of the member's state cache.
type CacheState int

// The states of the state cache.
const (
	CacheUnsynced CacheState = iota
	CacheListing
	CacheSynced
	CacheWatching
)

const (
	renewDivisor       = 8   // divides the lease TTL: interval between renewals, and duration of a watch
	watchPauseDivisor  = 100 // divides the lease TTL: pause between watches, so that several changes share a response
	retryDivisor       = 4   // divides the request timeout: delay before a failed request is retried
	watchJitterDivisor = 10  // divides the request timeout: jitter that spreads retries of watches that failed together
)

// LeaseKeeper is the state of a member's lease, state cache and link. Use NewLeaseKeeper to create one.
type LeaseKeeper struct {
	settings Settings
	lease    lease
	cache    cache
	link     linkMonitor
}

type lease struct {
	state         LeaseState
	id            uint64 // 0: none
	renewalSentAt int64  // when the last successful grant or renewal request was sent
	pendingSentAt int64  // when the request in flight was sent
	nextRequestAt int64
}

type cache struct {
	state         CacheState
	refreshSentAt int64 // when the last successful list or watch was sent
	pendingSentAt int64 // when the list or watch in flight was sent
	refreshID     uint64
	nextRefreshAt int64
}

// NewLeaseKeeper returns the state of a member that has just started.
func NewLeaseKeeper(settings Settings) *LeaseKeeper { return &LeaseKeeper{settings: settings} }

// RenewIntervalMS returns the interval between renewals of the lease, which is also the duration of a watch.
func (k *LeaseKeeper) RenewIntervalMS() int64 { return k.settings.LeaseTTLMS / renewDivisor }

func (k *LeaseKeeper) retryIntervalMS() int64 {
	return max(1, min(k.RenewIntervalMS(), k.settings.RequestTimeoutMS/retryDivisor))
}

// LeaseID returns the ID of the lease, or 0 if there is none.
func (k *LeaseKeeper) LeaseID() uint64 { return k.lease.id }

// IsSynced reports whether the state cache has been loaded by a list.
func (k *LeaseKeeper) IsSynced() bool { return k.cache.state >= CacheSynced }

// CacheRefreshSentAt returns when the last successful refresh of the state cache (a list or a watch) was
// sent.
func (k *LeaseKeeper) CacheRefreshSentAt() int64 { return k.cache.refreshSentAt }

// HasAuthority reports whether the member may act for its shards. Authority counts from the sending of
// the last successful renewal or of the last successful refresh of the state cache, whichever is
// earlier, since one of them may be stuck while the other works.
func (k *LeaseKeeper) HasAuthority(now int64) bool {
	if k.lease.id == 0 || !k.IsSynced() {
		return false
	}
	provenAt := min(k.lease.renewalSentAt, k.cache.refreshSentAt)
	return now < provenAt+k.AuthorityMS()
}

// AuthorityMS returns how long authority lasts after the sending of the older proof.
func (k *LeaseKeeper) AuthorityMS() int64 {
	driftMS := int64(float64(k.settings.LeaseTTLMS) * k.settings.MaxClockDrift)
	return k.settings.LeaseTTLMS - driftMS - k.settings.AuthoritySlackMS
}

// SetState sets a lease that a request sent at renewalSentAt granted or renewed (leaseID 0: no lease),
// and a state cache whose last refresh was sent at cacheRefreshSentAt. It is for tests of code that
// depends on a LeaseKeeper.
func (k *LeaseKeeper) SetState(leaseID uint64, renewalSentAt, cacheRefreshSentAt int64) {
	k.lease.state, k.lease.id, k.lease.renewalSentAt = LeaseAbsent, leaseID, renewalSentAt
	if leaseID != 0 {
		k.lease.state = LeaseGranted
	}
	k.cache.state, k.cache.refreshSentAt = CacheSynced, cacheRefreshSentAt
}

// Action lists the requests to send to the service.
type Action struct {
	GrantLease   bool
	RenewLease   uint64 // the lease to renew, 0: none
	ListRecords  bool   // list all shared records, to load the state cache
	WatchRecords bool   // watch the shared records, to update the state cache
	RefreshID    uint64 // ID of the list or watch
}

// Tick returns the requests that are due at now and marks them as in flight. The caller reports the
// outcome of each, once, with CompleteLeaseRequest or CompleteCacheRefresh.
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
	if now >= k.cache.nextRefreshAt {
		switch k.cache.state {
		case CacheUnsynced:
			k.cache.begin(CacheListing, now)
			action.ListRecords = true
		case CacheSynced:
			k.cache.begin(CacheWatching, now)
			action.WatchRecords = true
		}
	}
	action.RefreshID = k.cache.refreshID
	return action
}

func (c *cache) begin(state CacheState, now int64) {
	c.state, c.pendingSentAt = state, now
	c.refreshID++
}

// CompleteLeaseRequest processes the outcome of the request that grants or renews the lease. grantedID is
// the ID of a new lease. lost reports that the old lease ended and that all records under it are deleted.
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

// keepLease records that the request in flight granted or renewed the lease.
func (k *LeaseKeeper) keepLease(now int64) {
	k.lease.state, k.lease.renewalSentAt = LeaseGranted, k.lease.pendingSentAt
	k.lease.nextRequestAt = now + k.RenewIntervalMS()
}

// CompleteCacheRefresh processes the outcome of a list or a watch. A refresh that ResyncCache has
// superseded is not current, and the caller drops its result. jitter, in [0,1), spreads the retries of
// members whose refreshes failed together.
func (k *LeaseKeeper) CompleteCacheRefresh(
	now int64, refreshID uint64, outcome Outcome, jitter float64,
) (current bool) {
	cache := &k.cache
	listing := cache.state == CacheListing
	if refreshID != cache.refreshID || !listing && cache.state != CacheWatching {
		return false
	}
	switch {
	case listing && outcome == OK:
		cache.state, cache.refreshSentAt, cache.nextRefreshAt = CacheSynced, cache.pendingSentAt, now
	case listing:
		cache.state, cache.nextRefreshAt = CacheUnsynced, now+k.retryIntervalMS()
	case outcome == OK:
		cache.state, cache.refreshSentAt = CacheSynced, max(cache.refreshSentAt, cache.pendingSentAt)
		cache.nextRefreshAt = now + k.settings.LeaseTTLMS/watchPauseDivisor
	case outcome == Gone:
		cache.state, cache.nextRefreshAt = CacheUnsynced, now
	default:
		jitterMS := int64(jitter * float64(k.settings.RequestTimeoutMS/watchJitterDivisor))
		cache.state, cache.nextRefreshAt = CacheSynced, now+k.retryIntervalMS()*3/5+jitterMS
	}
	return true
}

// ResyncCache reloads the state cache by a new list. The caller uses it when the cache contradicts other
// information.
func (k *LeaseKeeper) ResyncCache(now int64) {
	if k.cache.state >= CacheSynced {
		k.cache.state, k.cache.nextRefreshAt = CacheUnsynced, now
	}
}
