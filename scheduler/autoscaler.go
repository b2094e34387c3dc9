package scheduler

import (
	"slices"
	"strings"
)

// autoscaler owns what the leader of the fleet keeps: its leadership, the calls to
// the cloud, and what is to be written to the machine registry. The leader alone
// provisions, records and releases machines; members that do not lead only read
// the catalog of machine types, while they have none.
//
// It may assume that a change whose precondition is the leader record's revision is
// refused once another member leads. It promises that each machine that the cloud
// lists for long enough is either in the registry or released, and that no call to
// the cloud that is sent again provisions twice. It is built for a cloud that is
// slow, refuses, answers late or not at all, and whose list lags, and for a leader
// that is replaced at any time: what is only in memory here is found again by the
// cloud's list.
type autoscaler struct {
	*environment
	cache    *stateCache
	peers    *peerTable
	registry *machineRegistry
	rollouts *rolloutController
	shards   *shardManager
	store    *storeClient

	cloudCallbacks  map[uint64]func(CloudResult) // by request
	nextCatalogAtMS int64                        // monotonic
	leadership
	cloudListing
	provisioningState
	releaseState
	registryWrites
}

// cloudListing is the reading of the cloud's list of machines.
type cloudListing struct {
	nextListAtMS int64 // monotonic
	listPending  bool
	listed       map[string]bool // machines of the last complete list
}

// provisioningState is what was provisioned of late, and what the cloud refused.
type provisioningState struct {
	provisionRequests uint64 // numbers the idempotency keys of a leadership
	nextProvisionAtMS int64  // monotonic
	provisioning      map[string]int
	demandValidAfter  map[string]int64   // by shard: demand reported before this wall time is out of date
	unavailableUntil  map[offering]int64 // monotonic time before which an offering is not asked for
}

// releaseState is the machines that are to be released, and those that were.
type releaseState struct {
	releasePending  bool
	nextReleaseAtMS int64 // monotonic
	pendingReleases map[string]bool
	releasedAt      map[string]int64 // by machine, monotonic ms
}

// registryWrites is what is to be written to the machine registry.
type registryWrites struct {
	lastRegistryPageNumber int
	pendingAdditions       []*registryAddition
	pendingRemovals        map[string]bool
	unrecordedMachines     map[string]bool // found or provisioned machines that are on no registry page yet
	unknownMachines        []Heartbeat     // of machines that no registry page names
	nextAssignmentAtMS     int64           // monotonic
	registryWriting        bool
	nextRegistryWriteAtMS  int64 // monotonic
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
			pendingRemovals:    map[string]bool{},
			unrecordedMachines: map[string]bool{},
		},
	}
}

func (as *autoscaler) sendCloud(op CloudOp, onResult func(CloudResult)) {
	as.lastRequestID++
	op.ID = as.lastRequestID
	as.cloudCallbacks[op.ID] = onResult
	as.outputs.CloudOps = append(as.outputs.CloudOps, op)
}

// HandleCloudResult takes the cloud's response to a request of Outputs.CloudOps.
// A response to a request that is not pending is ignored.
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
	as.assignFoundMachines()
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
		as.log(Info, "machine types known", "types", len(types))
	}
	// Stored once, without the prices that move, for members that start while the
	// cloud is unreachable.
	isStored := as.cache.keyRevisions[catalogKey] != 0
	if !isStored && as.leading && as.store.hasAuthority() {
		preconditions := []Precondition{{catalogKey, 0}}
		changes := []Change{{Key: catalogKey, Value: mustEncode(catalogRecord{types})}}
		as.store.sendTxn(UrgencyBackground, preconditions, changes, func(StoreResult) {})
	}
}
