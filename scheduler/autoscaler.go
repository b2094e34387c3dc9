package scheduler

import (
	"slices"
	"strings"
)

// autoscaler owns the state of the leader: its leadership, its requests to the cloud, and
// its pending writes to the machine registry. Only the leader provisions, registers and
// releases machines. Other members only read the catalog of machine types, and only while
// they have none.
//
// The autoscaler relies on the state service: a change whose precondition is the leader
// record's revision fails once another member is the leader. It guarantees that each
// machine that the cloud lists for long enough is either in the registry or released,
// and that a retried request never provisions twice.
//
// It tolerates a cloud that is slow, rejects requests, responds late or not at all, or
// returns outdated lists. The leader may be replaced at any time: the new leader recovers
// state that was only in memory from the cloud's list of machines.
type autoscaler struct {
	*environment
	cache    *stateCache
	peers    *peerTable
	registry *machineRegistry
	rollouts *rolloutController
	shards   *shardManager
	store    *storeClient

	cloudCallbacks  map[uint64]func(CloudResult) // by request ID
	nextCatalogAtMS int64                        // monotonic
	leadership
	cloudListing
	provisioningState
	releaseState
	registryWrites
}

// cloudListing is the state of polling the cloud's list of machines.
type cloudListing struct {
	nextListAtMS int64 // monotonic
	listPending  bool
	listed       map[string]bool // machine IDs in the last complete list
}

// provisioningState tracks pending provision requests and unavailable offerings.
type provisioningState struct {
	provisionRequests uint64             // sequence number in the idempotency keys of a leadership
	nextProvisionAtMS int64              // monotonic
	provisioning      map[string]int     // pending requests by shard
	demandValidAfter  map[string]int64   // by shard: wall-clock time before which reported demand is outdated
	unavailableUntil  map[offering]int64 // monotonic time until which an offering is not requested
}

// releaseState tracks the machines to release and the machines released recently.
type releaseState struct {
	releasePending  bool
	nextReleaseAtMS int64            // monotonic
	pendingReleases map[string]bool  // by machine ID
	releasedAt      map[string]int64 // by machine ID, monotonic ms
}

// registryWrites holds the pending writes to the machine registry.
type registryWrites struct {
	lastRegistryPageNumber  int
	pendingAdditions        []*registryAddition
	pendingRemovals         map[string]bool
	machinesBeingRegistered map[string]bool // machines whose registry page is not written yet
	unregisteredMachines    []Heartbeat     // heartbeats of machines that are on no registry page
	nextAssignmentAtMS      int64           // monotonic
	registryWriting         bool
	nextRegistryWriteAtMS   int64 // monotonic
}

func newAutoscaler(env *environment) *autoscaler {
	return &autoscaler{
		environment:    env,
		cloudCallbacks: map[uint64]func(CloudResult){},
		provisioningState: provisioningState{
			provisioning:     map[string]int{},
			demandValidAfter: map[string]int64{},
			unavailableUntil: map[offering]int64{},
		},
		releaseState: releaseState{
			pendingReleases: map[string]bool{},
			releasedAt:      map[string]int64{},
		},
		registryWrites: registryWrites{
			pendingRemovals:         map[string]bool{},
			machinesBeingRegistered: map[string]bool{},
		},
	}
}

func (as *autoscaler) sendCloud(op CloudOp, onResult func(CloudResult)) {
	as.lastRequestID++
	op.ID = as.lastRequestID
	as.cloudCallbacks[op.ID] = onResult
	as.outputs.CloudOps = append(as.outputs.CloudOps, op)
}

// HandleCloudResult processes the cloud's response to a request in Outputs.CloudOps.
// It ignores a response to a request that is not pending.
func (c *Controller) HandleCloudResult(now Now, id uint64, result CloudResult) {
	c.now = now
	if onResult := c.scaler.cloudCallbacks[id]; onResult != nil {
		delete(c.scaler.cloudCallbacks, id)
		onResult(result)
	}
}

func (as *autoscaler) tickFleet() {
	now := as.now.MonotonicMS
	needsCatalog := as.leading || len(as.cache.machineTypes) == 0
	if needsCatalog && now >= as.nextCatalogAtMS {
		as.nextCatalogAtMS = now + 5000
		as.sendCloud(CloudOp{Kind: CloudCatalog}, as.applyCatalog)
	}
	if !as.store.hasAuthority() {
		return
	}
	if as.shouldClaimLeadership() {
		as.claimLeadership()
		return
	}
	if !as.canActAsLeader() {
		return
	}
	as.assignUnregisteredMachines()
	as.writeRegistry()
	if now >= as.nextListAtMS && !as.listPending {
		as.listPending = true
		as.listCloudMachines("", nil, now)
	}
	if now >= as.nextReleaseAtMS && !as.releasePending {
		as.releaseMachines()
	}
	if now >= as.nextProvisionAtMS {
		as.nextProvisionAtMS = now + 500
		as.scaleOutForDemand()
	}
	as.rollouts.tickRollout()
}

func (as *autoscaler) applyCatalog(r CloudResult) {
	if r.Outcome != OK || len(r.Types) == 0 {
		as.nextCatalogAtMS = as.now.MonotonicMS + 2000
		return
	}
	as.nextCatalogAtMS = as.now.MonotonicMS + 60_000
	types := slices.Clone(r.Types)
	slices.SortFunc(types, func(a, b MachineType) int { return strings.Compare(a.Name, b.Name) })
	first := len(as.cache.machineTypes) == 0
	as.cache.setMachineTypes(types)
	if first {
		as.log(Info, "machine types loaded", "types", len(types))
	}
	// Members that start while the cloud is unreachable read this record. It is written
	// only once and does not follow later price changes.
	isStored := as.cache.keyRevisions[catalogKey] != 0
	if !isStored && as.leading && as.store.hasAuthority() {
		preconditions := []Precondition{{catalogKey, 0}}
		changes := []Change{{Key: catalogKey, Value: mustEncode(catalogRecord{types})}}
		as.store.sendTxn(UrgencyBackground, preconditions, changes, func(StoreResult) {})
	}
}
