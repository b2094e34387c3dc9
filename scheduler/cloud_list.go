package scheduler

const (
	// listsPerListLag is how often the list is read while it lags once.
	listsPerListLag = 3

	// bootGracePeriods is after how many of its type's boot times a machine that has
	// not come up is released.
	bootGracePeriods = 3

	// releasedRetentionLags is for how many lags of the list a released machine is
	// ignored in it. A list may be older than the one before it, so one lag is not
	// enough.
	releasedRetentionLags = 5

	// listGraceMS is added to the list's lag before a machine counts as missing from
	// the list, or as one that nobody is about to record.
	listGraceMS = 5000

	// cloudMachineFailed is the state of a CloudMachine that will never come up.
	cloudMachineFailed = "failed"
)

// listCloudMachines reads the cloud's list, page by page, and reconciles it with the
// registry. sentAtMS is the monotonic time at which the first page was asked for.
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

// maxListAgeMS is how far the list may be behind what the cloud has done.
func (as *autoscaler) maxListAgeMS() int64 { return secondsToMS(as.params.CloudListLagS) * 2 }

// reconcileCloudList compares the cloud's list with the registry. The list was asked
// for at sentAtMS and is no evidence of anything later: a response that came late
// made machines seem gone that had been provisioned and were up since.
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

// reconcileInstance takes one machine of the cloud's list: a failed one is released,
// and one that nobody expected is added to the registry.
func (as *autoscaler) reconcileInstance(instance CloudMachine, loads map[string]*shardLoad) {
	if releasedAt, ok := as.releasedAt[instance.ID]; ok {
		// The list lags: what was released still appears. Taking it for a machine
		// that nobody expected gave it a record and an owner again, and nothing
		// came up.
		if as.isReleaseRetentionOver(releasedAt) {
			delete(as.releasedAt, instance.ID)
		}
		return
	}
	isRecorded := as.registry.machines[instance.ID] != nil
	isBeingRecorded := !isRecorded && as.unrecordedMachines[instance.ID]
	if instance.State == cloudMachineFailed {
		if !isBeingRecorded {
			as.markForRelease(instance.ID, "failed")
		}
		return
	}
	if isRecorded || isBeingRecorded {
		return
	}
	// Nobody expected it. It gets an owner, who uses or releases it; a machine that
	// this leader provisioned is given the time to be recorded.
	ageMS := secondsToMS(instance.AgeS)
	if ageMS <= as.maxListAgeMS()+listGraceMS || as.cache.machineTypes[instance.Type] == nil {
		return
	}
	o := offering{instance.Type, instance.Zone, instance.Spot}
	page := o.registryPage(as.assignToLeastLoaded(loads, instance.Type), as.now.WallMS-ageMS)
	as.addMachinesToRegistry([]string{instance.ID}, page, func() {})
}

// releaseAbsentMachines marks the recorded machines for release that are gone by the
// cloud's list, and those that do not come up.
func (as *autoscaler) releaseAbsentMachines(sentAtMS int64) {
	maxAgeMS := as.maxListAgeMS()
	sentWallMS := as.now.WallMS - (as.now.MonotonicMS - sentAtMS)
	for id, mc := range sortedByKey(as.registry.machines) {
		t := as.cache.machineTypes[mc.rec.Type]
		shouldBeListed := sentWallMS-mc.rec.ProvisionedAtMS > maxAgeMS+listGraceMS
		switch {
		case mc.Up && !as.listed[id] && shouldBeListed && !as.hasHeartbeatSince(mc, sentAtMS):
			// Listed machines stay listed until they are gone, so this one is:
			// its tasks need not wait for its lease, nor a new claim for a
			// heartbeat that never comes. Releasing it makes it certain.
			as.markForRelease(id, "no longer listed")
		case !mc.Up && t != nil &&
			as.now.WallMS-mc.rec.ProvisionedAtMS > secondsToMS(t.BootS)*bootGracePeriods+maxAgeMS:
			as.markForRelease(id, "does not come up")
		}
	}
}

// hasHeartbeatSince reports whether a machine of this member's shards sent a heartbeat
// after a monotonic time.
func (as *autoscaler) hasHeartbeatSince(mc *machine, sinceMS int64) bool {
	isOwned := mc.claim != nil && as.shards.ownedShards[mc.rec.Shard] == mc.claim
	return isOwned && mc.IsReconciled() && mc.LastHeartbeatAt > sinceMS
}
