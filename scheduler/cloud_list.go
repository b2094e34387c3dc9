package scheduler

const (
	// listsPerListLag is the number of times the list is read per list lag.
	listsPerListLag = 3

	// bootGracePeriods is the number of boot times of its type after which a machine that
	// is not up is released.
	bootGracePeriods = 3

	// releasedRetentionLags is the number of list lags for which a released machine is
	// ignored in the list. A list may be older than the previous one, so one lag is not
	// enough.
	releasedRetentionLags = 5

	// listGraceMS is added to the list's lag before a machine counts as missing from the
	// list, or as unregistered with no registry write pending.
	listGraceMS = 5000

	// cloudMachineFailed is the state of a CloudMachine that failed and will never come up.
	cloudMachineFailed = "failed"
)

// listCloudMachines reads the cloud's list, page by page, and reconciles it with the
// registry. sentAtMS is the monotonic time at which the first page was requested.
func (as *autoscaler) listCloudMachines(startAfter string, all []CloudMachine, sentAtMS int64) {
	as.sendCloud(CloudOp{Kind: CloudList, StartAfter: startAfter}, func(r CloudResult) {
		if r.Outcome != OK {
			as.listPending = false
			as.nextListAtMS = as.now.MonotonicMS + 2000
			return
		}
		all = append(all, r.List...)
		if r.More && len(r.List) > 0 {
			as.listCloudMachines(r.List[len(r.List)-1].ID, all, sentAtMS)
			return
		}
		as.listPending = false
		as.nextListAtMS = as.now.MonotonicMS + max(secondsToMS(as.params.CloudListLagS)/listsPerListLag, 1000)
		if as.leading && as.store.hasAuthority() {
			as.reconcileCloudList(all, sentAtMS)
		}
	})
}

// maxListAgeMS returns how far the list may lag behind the state of the cloud.
func (as *autoscaler) maxListAgeMS() int64 { return secondsToMS(as.params.CloudListLagS) * 2 }

// reconcileCloudList compares the cloud's list with the registry. The list was requested
// at sentAtMS and proves nothing about later times. Otherwise a late response makes
// machines look absent that were provisioned and came up after the request.
func (as *autoscaler) reconcileCloudList(list []CloudMachine, sentAtMS int64) {
	as.listed = make(map[string]bool, len(list))
	loads := as.shardLoads()
	for _, instance := range list {
		as.listed[instance.ID] = true
		as.reconcileInstance(instance, loads)
	}
	for id, releasedAt := range as.releasedAt {
		if as.isReleaseRetentionOver(releasedAt) && !as.listed[id] {
			delete(as.releasedAt, id)
		}
	}
	as.releaseAbsentMachines(sentAtMS)
}

func (as *autoscaler) isReleaseRetentionOver(releasedAt int64) bool {
	return as.now.MonotonicMS-releasedAt > releasedRetentionLags*as.maxListAgeMS()
}

// reconcileInstance processes one machine of the cloud's list. It releases a failed
// machine and adds an unregistered one to the registry.
func (as *autoscaler) reconcileInstance(instance CloudMachine, loads map[string]*shardLoad) {
	if releasedAt, ok := as.releasedAt[instance.ID]; ok {
		// The list lags, so a released machine still appears in it. Treating it as an
		// unregistered machine registered it again and assigned it to a shard, although
		// it never came up.
		if as.isReleaseRetentionOver(releasedAt) {
			delete(as.releasedAt, instance.ID)
		}
		return
	}
	isRegistered := as.registry.machines[instance.ID] != nil
	isBeingRegistered := !isRegistered && as.machinesBeingRegistered[instance.ID]
	if instance.State == cloudMachineFailed {
		if !isBeingRegistered {
			as.markForRelease(instance.ID, "failed")
		}
		return
	}
	if isRegistered || isBeingRegistered {
		return
	}
	// The machine is unregistered. It is assigned to a shard, whose owner uses or
	// releases it. The age limit leaves time to register a machine that this leader
	// provisioned.
	ageMS := secondsToMS(instance.AgeS)
	if ageMS <= as.maxListAgeMS()+listGraceMS || as.cache.machineTypes[instance.Type] == nil {
		return
	}
	o := offering{instance.Type, instance.Zone, instance.Spot}
	page := o.registryPage(as.assignToLeastLoaded(loads, instance.Type), as.now.WallMS-ageMS)
	as.addMachinesToRegistry([]string{instance.ID}, page, func() {})
}

// releaseAbsentMachines marks registered machines for release if they are missing from
// the cloud's list or do not come up in time.
func (as *autoscaler) releaseAbsentMachines(sentAtMS int64) {
	maxAgeMS := as.maxListAgeMS()
	sentWallMS := as.now.WallMS - (as.now.MonotonicMS - sentAtMS)
	for id, mc := range sortedByKey(as.registry.machines) {
		t := as.cache.machineTypes[mc.rec.Type]
		shouldBeListed := sentWallMS-mc.rec.ProvisionedAtMS > maxAgeMS+listGraceMS
		switch {
		case mc.Up && !as.listed[id] && shouldBeListed && !as.hasHeartbeatSince(mc, sentAtMS):
			// The cloud lists a machine until it is terminated, so an unlisted machine
			// is terminated. Its release confirms this: its tasks do not have to wait
			// until its lease expires, and a new claim does not have to wait for a
			// heartbeat that never arrives.
			as.markForRelease(id, "no longer listed")
		case !mc.Up && t != nil &&
			as.now.WallMS-mc.rec.ProvisionedAtMS > secondsToMS(t.BootS)*bootGracePeriods+maxAgeMS:
			as.markForRelease(id, "not up in time")
		}
	}
}

// hasHeartbeatSince reports whether a machine in a shard owned by this member sent a
// heartbeat after the monotonic time sinceMS.
func (as *autoscaler) hasHeartbeatSince(mc *machine, sinceMS int64) bool {
	isOwned := mc.claim != nil && as.shards.ownedShards[mc.rec.Shard] == mc.claim
	return isOwned && mc.IsReconciled() && mc.LastHeartbeatAt > sinceMS
}
