package scheduler

import (
	"fmt"
	"slices"
)

// registryAddition is a registry page that the leader has yet to write. Its key and content
// never change, so a write with an unknown outcome is retried unchanged.
type registryAddition struct {
	key       string
	rec       registryRecord
	onWritten func()
}

// registryPage returns a page for machines of the offering, without machine IDs.
func (o offering) registryPage(shard string, provisionedAtMS int64) registryRecord {
	return registryRecord{
		Shard:           shard,
		Type:            o.machineType,
		Zone:            o.zone,
		Spot:            o.spot,
		ProvisionedAtMS: provisionedAtMS,
	}
}

// addMachinesToRegistry assigns machines to a shard. The assignment takes effect when their registry
// pages are stored. page holds the fields that the machines share. onWritten is called once all new
// machines are stored, immediately if none is new.
func (as *autoscaler) addMachinesToRegistry(ids []string, page registryRecord, onWritten func()) {
	var newIDs []string
	for _, id := range ids {
		if as.registry.machines[id] == nil && !as.machinesBeingRegistered[id] && as.releasedAt[id] == 0 {
			as.machinesBeingRegistered[id] = true
			newIDs = append(newIDs, id)
		}
	}
	if len(newIDs) == 0 {
		onWritten()
		return
	}
	for chunk := range slices.Chunk(newIDs, as.maxMachinesPerPage()) {
		as.lastRegistryPageNumber++
		addition := &registryAddition{
			key:       fmt.Sprintf("%s%d-%d", registryPrefix, as.leaderRev, as.lastRegistryPageNumber),
			rec:       page,
			onWritten: func() {},
		}
		addition.rec.MachineIDs = slices.Clone(chunk)
		if chunk[len(chunk)-1] == newIDs[len(newIDs)-1] {
			addition.onWritten = onWritten
		}
		as.pendingAdditions = append(as.pendingAdditions, addition)
	}
	as.writeRegistry()
}

// writeRegistry writes the pending additions and removals to the registry, one transaction
// at a time.
func (as *autoscaler) writeRegistry() {
	nothingPending := len(as.pendingAdditions)+len(as.pendingRemovals) == 0
	if nothingPending || as.registryWriting || as.now.MonotonicMS < as.nextRegistryWriteAtMS || !as.canActAsLeader() {
		return
	}
	preconditions, changes := as.buildRegistryTxn()
	if len(changes) == 0 {
		return
	}
	as.registryWriting = true
	leaderRev := as.leaderRev
	as.store.sendTxn(UrgencyUser, preconditions, changes, func(r StoreResult) {
		as.registryWriting = false
		if as.leaderRev != leaderRev {
			return
		}
		switch r.Outcome {
		case OK:
			as.completeRegistryAdditions()
			as.writeRegistry()
		case Unknown, Conflict:
			as.rereadRegistryPages(changes)
		default:
			as.nextRegistryWriteAtMS = as.now.MonotonicMS + 500
		}
	})
}

// buildRegistryTxn builds the next transaction: additions first, then removals. The
// leader record's revision is a precondition.
func (as *autoscaler) buildRegistryTxn() ([]Precondition, []Change) {
	maxChanges := as.maxChangesPerBackgroundTxn()
	preconditions := []Precondition{{leaderKey, as.leaderRev}}
	var changes []Change
	for _, addition := range as.pendingAdditions[:min(len(as.pendingAdditions), maxChanges)] {
		preconditions = append(preconditions, Precondition{addition.key, 0})
		changes = append(changes, Change{Key: addition.key, Value: mustEncode(addition.rec)})
	}
	for key := range sortedByKey(as.pagesWithRemovals()) {
		if len(changes) >= maxChanges {
			break
		}
		page := as.registry.registryPages[key]
		rec := page.rec
		isRemoved := func(id string) bool { return as.pendingRemovals[id] }
		rec.MachineIDs = slices.DeleteFunc(slices.Clone(rec.MachineIDs), isRemoved)
		change := Change{Key: key} // a page without machines is deleted
		if len(rec.MachineIDs) > 0 {
			change.Value = mustEncode(rec)
		}
		preconditions = append(preconditions, Precondition{key, page.rev})
		changes = append(changes, change)
	}
	return preconditions, changes
}

// pagesWithRemovals returns the keys of the pages that contain machines to remove. It drops
// completed removals.
func (as *autoscaler) pagesWithRemovals() map[string]bool {
	pages := map[string]bool{}
	for id := range as.pendingRemovals {
		if mc := as.registry.machines[id]; mc != nil {
			pages[mc.registryKey] = true
		} else {
			delete(as.pendingRemovals, id)
		}
	}
	return pages
}

// rereadRegistryPages reads each key of a transaction that conflicted or has an unknown
// outcome, before the next write. If an addition succeeded, the cache has it afterwards.
func (as *autoscaler) rereadRegistryPages(changes []Change) {
	as.registryWriting = true
	pending := len(changes)
	for _, change := range changes {
		as.store.rereadKey(change.Key, func(StoreResult) {
			if pending--; pending == 0 {
				as.registryWriting = false
				as.nextRegistryWriteAtMS = as.now.MonotonicMS + 300
				as.completeRegistryAdditions()
			}
		})
	}
	as.store.rereadKey(leaderKey, func(StoreResult) {})
}

// completeRegistryAdditions drops the additions that are in the cache, and calls their
// callbacks.
func (as *autoscaler) completeRegistryAdditions() {
	var callbacks []func()
	as.pendingAdditions = slices.DeleteFunc(as.pendingAdditions, func(addition *registryAddition) bool {
		if as.cache.keyRevisions[addition.key] == 0 {
			return false
		}
		for _, id := range addition.rec.MachineIDs {
			delete(as.machinesBeingRegistered, id)
		}
		callbacks = append(callbacks, addition.onWritten)
		return true
	})
	for _, onWritten := range callbacks {
		onWritten()
	}
}

// assignUnregisteredMachines assigns machines that sent heartbeats but are on no registry page to the
// least loaded shards. Machines with the same offering and shard share a page.
func (as *autoscaler) assignUnregisteredMachines() {
	if len(as.unregisteredMachines) == 0 || as.now.MonotonicMS < as.nextAssignmentAtMS {
		return
	}
	as.nextAssignmentAtMS = as.now.MonotonicMS + 300
	type assignment struct {
		offering offering
		shard    string
	}
	loads := as.shardLoads()
	machineIDs := map[assignment][]string{}
	var targets []assignment
	for _, heartbeat := range as.unregisteredMachines {
		delete(as.machinesBeingRegistered, heartbeat.Machine)
		target := assignment{
			offering: offering{heartbeat.Type, heartbeat.Zone, heartbeat.Spot},
			shard:    as.assignToLeastLoaded(loads, heartbeat.Type),
		}
		if len(machineIDs[target]) == 0 {
			targets = append(targets, target)
		}
		machineIDs[target] = append(machineIDs[target], heartbeat.Machine)
	}
	as.log(Info, "unregistered machines found", "count", len(as.unregisteredMachines))
	as.unregisteredMachines = nil
	for _, target := range targets {
		page := target.offering.registryPage(target.shard, as.now.WallMS)
		as.addMachinesToRegistry(machineIDs[target], page, func() {})
	}
}

// shardLoad is the capacity of a shard's machines.
type shardLoad struct {
	cpus           float64
	machinesByType map[string]int
}

// shardLoads returns the load of each shard that machines may be assigned to. Unclaimed shards
// are left out unless no shard is claimed. If none remains, the result has only this member's own shard.
func (as *autoscaler) shardLoads() map[string]*shardLoad {
	loads := map[string]*shardLoad{}
	for _, name := range as.memberIDs() {
		if _, claimed := as.cache.shardClaims[name]; claimed || len(as.cache.shardClaims) == 0 {
			loads[name] = &shardLoad{machinesByType: map[string]int{}}
		}
	}
	if len(loads) == 0 {
		loads[as.params.MemberID] = &shardLoad{machinesByType: map[string]int{}}
	}
	for _, mc := range as.registry.machines {
		if load := loads[mc.rec.Shard]; load != nil {
			load.machinesByType[mc.rec.Type]++
		}
	}
	for _, load := range loads {
		// The order is fixed so that the rounding of the sum is reproducible.
		for typeName, count := range sortedByKey(load.machinesByType) {
			load.cpus += float64(count) * resourcesOf(as.cache.machineTypes[typeName]).CPUs
		}
	}
	return loads
}

// assignToLeastLoaded returns the shard with the fewest CPUs, then the fewest machines of the type. It
// adds a machine of the type to that shard's load.
func (as *autoscaler) assignToLeastLoaded(loads map[string]*shardLoad, machineType string) string {
	leastLoaded := ""
	for name, load := range sortedByKey(loads) {
		if leastLoaded == "" || load.isLessThan(loads[leastLoaded], machineType) {
			leastLoaded = name
		}
	}
	loads[leastLoaded].cpus += resourcesOf(as.cache.machineTypes[machineType]).CPUs
	loads[leastLoaded].machinesByType[machineType]++
	return leastLoaded
}

func (l *shardLoad) isLessThan(other *shardLoad, machineType string) bool {
	if l.cpus != other.cpus {
		return l.cpus < other.cpus
	}
	return l.machinesByType[machineType] < other.machinesByType[machineType]
}
