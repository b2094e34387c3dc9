package scheduler

import "github.com/grebedock/grebedock/access"

// storeClient sends requests to the state service and owns those without an
// answer, the member's lease there, and writes whose outcome is not known yet.
type storeClient struct {
	*environment

	storeAccess    *access.LeaseKeeper
	storeCallbacks map[uint64]func(StoreResult) // by request
	delayedSteps   []delayedStep                // of writes in doubt
	lastStoreLink  access.LinkState             // as it was last logged
	hadAuthority   bool                         // as it was last logged
	observeChange  func(KeyValue)               // takes what a completed request shows of a key
}

// authoritySlackMS is taken off the time for which a lease gives authority.
const authoritySlackMS = 50

func newStoreClient(env *environment) *storeClient {
	sc := &storeClient{environment: env, storeCallbacks: map[uint64]func(StoreResult){}}
	sc.storeAccess = access.NewLeaseKeeper(access.Settings{
		LeaseTTLMS:       sc.leaseTTLMS(),
		MaxClockDrift:    maxClockDriftMS,
		AuthoritySlackMS: authoritySlackMS,
		RequestTimeoutMS: access.RequestTimeout.Milliseconds(),
	})
	return sc
}
