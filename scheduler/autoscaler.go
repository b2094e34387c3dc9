package scheduler

import "slices"

func (as *autoscaler) sendCloud(op CloudOp, onResult func(CloudResult)) {
	as.lastRequestID++
	op.ID = as.lastRequestID
	as.cloudCallbacks[op.ID] = onResult
	as.outputs.CloudOps = append(as.outputs.CloudOps, op)
}

// HandleCloudResult takes the cloud's answer to a request.
func (c *Controller) HandleCloudResult(now Now, id uint64, result CloudResult) {
	c.now = now
	if onResult := c.scaler.cloudCallbacks[id]; onResult != nil {
		delete(c.scaler.cloudCallbacks, id)
		onResult(result)
	}
}

// autoscaler is what the member that leads the fleet keeps: it alone rents and
// returns machines. The lead is a record that hangs on the member's hold.
type autoscaler struct {
	*environment
	cache    *stateCache
	peers    *peerTable
	registry *machineRegistry
	rollouts *rolloutController
	shards   *shardManager
	store    *storeClient

	cloudCallbacks map[uint64]func(CloudResult) // by request

	leading           bool
	nonce             uint64
	leaderRev         uint64
	claimPending      bool
	nextClaimAt       int64
	provisionRequests uint64

	nextListAt       int64
	listPending      bool
	nextCatalogAt    int64
	releasePending   bool
	nextReleaseAt    int64
	nextProvisionAt  int64
	provisioning     map[string]int     // shard: requests under way
	demandValidAfter map[string]int64   // shard: needs told before this are out of date
	unavailableUntil map[offering]int64 // steady time until which not to ask
	listed           map[string]bool
	pendingReleases  map[string]bool  // machines that are to be returned
	releasedAt       map[string]int64 // machine: when it was returned

	// What is to be written to the rosters.
	lastRegistryPageNumber int
	pendingAdditions       []*registryAddition
	pendingRemovals        map[string]bool
	unrecordedMachines     map[string]bool // machines that were found or rented and have no roster yet
	unknownMachines        []Heartbeat     // machines that reported and that nobody knows
	nextFound              int64
	registryWriting        bool
	nextRegistryWriteAt    int64
}

func newAutoscaler(env *environment) *autoscaler {
	return &autoscaler{
		environment:        env,
		cloudCallbacks:     map[uint64]func(CloudResult){},
		provisioning:       map[string]int{},
		demandValidAfter:   map[string]int64{},
		unavailableUntil:   map[offering]int64{},
		releasedAt:         map[string]int64{},
		pendingReleases:    map[string]bool{},
		pendingRemovals:    map[string]bool{},
		unrecordedMachines: map[string]bool{},
	}
}

func (as *autoscaler) tickFleet() {
	now := as.now.MonotonicMS
	if len(as.cache.machineTypes) == 0 || as.leading {
		if now >= as.nextCatalogAt {
			as.nextCatalogAt = now + 5000
			as.sendCloud(CloudOp{Kind: CloudCatalog}, as.applyCatalog)
		}
	}
	if !as.store.hasAuthority() {
		return
	}
	if as.cache.leader == "" || as.cache.leader == as.params.MemberID && !as.leading {
		as.claimLeadership()
		return
	}
	if !as.canActAsLeader() {
		return
	}
	as.assignFoundMachines()
	as.writeRegistry()
	if now >= as.nextListAt && !as.listPending {
		as.listPending = true
		as.listCloudMachines("", nil, now)
	}
	if now >= as.nextReleaseAt && !as.releasePending {
		as.releaseMachines()
	}
	if now >= as.nextProvisionAt {
		as.nextProvisionAt = now + 500
		as.scaleOutForDemand()
	}
	as.rollouts.tickRollout()
}

func (as *autoscaler) applyCatalog(r CloudResult) {
	if r.Outcome != OK || len(r.Types) == 0 {
		as.nextCatalogAt = as.now.MonotonicMS + 2000
		return
	}
	as.nextCatalogAt = as.now.MonotonicMS + 60_000
	types := slices.Clone(r.Types)
	slices.SortFunc(types, func(a, b MachineType) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	first := len(as.cache.machineTypes) == 0
	as.cache.setMachineTypes(types)
	if first {
		as.log(Info, "machine types known", "types", len(types))
	}
	// Stored once, without its moving prices, for members that start while
	// the cloud is away.
	if as.cache.keyRevisions[catalogKey] == 0 && as.leading && as.store.hasAuthority() {
		as.store.sendTxn(
			UrgencyBackground,
			[]Precondition{{catalogKey, 0}},
			[]Change{{Key: catalogKey, Value: mustEncode(catalogRecord{types})}},
			func(StoreResult) {},
		)
	}
}

// listCloudMachines reads the cloud's list and compares it with the records.
func (as *autoscaler) listCloudMachines(from string, all []CloudMachine, sentAt int64) {
	as.sendCloud(CloudOp{Kind: CloudList, StartAfter: from}, func(r CloudResult) {
		if r.Outcome != OK {
			as.listPending = false
			as.nextListAt = as.now.MonotonicMS + 2000
			return
		}
		all = append(all, r.List...)
		if r.More && len(r.List) > 0 {
			as.listCloudMachines(r.List[len(r.List)-1].ID, all, sentAt)
			return
		}
		as.listPending = false
		as.nextListAt = as.now.MonotonicMS + max(secondsToMS(as.params.CloudListLagS)/listsPerListLag, 1000)
		if as.leading && as.store.hasAuthority() {
			as.reconcileCloudList(all, sentAt)
		}
	})
}

// reconcileCloudList holds the cloud's list against the records. The list was asked for at
// sent and is no evidence of anything later: an answer that came late made
// machines seem gone that had been rented and were up since.
func (as *autoscaler) reconcileCloudList(list []CloudMachine, sentAt int64) {
	sentWall := as.now.WallMS - (as.now.MonotonicMS - sentAt)
	lag := secondsToMS(as.params.CloudListLagS) * 2
	as.listed = make(map[string]bool, len(list))
	loads := as.shardLoads()
	for _, instance := range list {
		as.listed[instance.ID] = true
		mc := as.registry.machines[instance.ID]
		if releasedAt, ok := as.releasedAt[instance.ID]; ok {
			// The list lags: what we returned still appears. Taking it
			// for a machine that nobody expected gave it a record and an
			// owner again, for nothing to come up.
			if as.now.MonotonicMS-releasedAt > releasedRetentionLags*lag {
				delete(as.releasedAt, instance.ID)
			}
			continue
		}
		if mc == nil {
			// Nobody expected it. It gets an owner, who uses or returns
			// it; a rental of ours whose rosters are being written is
			// given the time to be written.
			if secondsToMS(instance.AgeS) > lag+5000 && !as.unrecordedMachines[instance.ID] && instance.State != "failed" &&
				as.cache.machineTypes[instance.Type] != nil {
				as.addMachinesToRegistry(
					[]string{instance.ID},
					offering{instance.Type, instance.Zone, instance.Spot},
					as.assignToLeastLoaded(loads, instance.Type),
					"",
					as.now.WallMS-secondsToMS(instance.AgeS),
					func() {},
				)
			}
			if instance.State == "failed" && !as.unrecordedMachines[instance.ID] {
				as.markForRelease(instance.ID, "failed")
			}
			continue
		}
		if instance.State == "failed" {
			as.markForRelease(instance.ID, "failed")
		}
	}
	for id, releasedAt := range as.releasedAt {
		if as.now.MonotonicMS-releasedAt > releasedRetentionLags*lag && !as.listed[id] {
			delete(as.releasedAt, id)
		}
	}
	for id, mc := range sortedByKey(as.registry.machines) {
		t := as.cache.machineTypes[mc.rec.Type]
		switch {
		case mc.Up && !as.listed[id] && sentWall-mc.rec.ProvisionedAtMS > lag+5000 && !as.hasHeartbeatSince(mc, sentAt):
			// Listed machines stay listed until they are gone, so this one
			// is: its tasks need not wait for its lease, nor a new claim
			// for a report that never comes. Returning it makes it certain.
			as.markForRelease(id, "no longer listed")
		case !mc.Up && t != nil && as.now.WallMS-mc.rec.ProvisionedAtMS > secondsToMS(t.BootS)*bootGracePeriods+lag:
			as.markForRelease(id, "does not come up")
		}
	}
}

// hasHeartbeatSince tells whether a machine of ours reported after a time.
func (as *autoscaler) hasHeartbeatSince(mc *machine, since int64) bool {
	return mc.claim != nil && as.shards.ownedShards[mc.rec.Shard] == mc.claim && mc.IsReconciled() && mc.LastHeartbeatAt > since
}
