package scheduler

import (
	"fmt"
	"slices"
	"sort"
)

// registryAddition is a roster that the lead is to write. Its key and contents never
// change: a write whose outcome is not known is sent again as it was.
type registryAddition struct {
	key       string
	rec       registryRecord
	onWritten func()
}

// addMachinesToRegistry gives machines an owner, as soon as the store has them.
func (as *autoscaler) addMachinesToRegistry(
	ids []string,
	offering offering,
	shard, replacementPlan string,
	provisionedAtMS int64,
	onWritten func(),
) {
	var newIDs []string
	for _, id := range ids {
		if as.registry.machines[id] == nil && !as.unrecordedMachines[id] && as.releasedAt[id] == 0 {
			as.unrecordedMachines[id] = true
			newIDs = append(newIDs, id)
		}
	}
	if len(newIDs) == 0 {
		onWritten()
		return
	}
	for chunk := range slices.Chunk(newIDs, as.maxMachinesPerPage()) {
		as.lastRegistryPageNumber++
		onChunkWritten := func() {}
		if chunk[len(chunk)-1] == newIDs[len(newIDs)-1] {
			onChunkWritten = onWritten
		}
		as.pendingAdditions = append(
			as.pendingAdditions,
			&registryAddition{
				key:       fmt.Sprintf("%s%d-%d", registryPrefix, as.leaderRev, as.lastRegistryPageNumber),
				onWritten: onChunkWritten,
				rec: registryRecord{
					Shard:           shard,
					Type:            offering.machineType,
					Zone:            offering.zone,
					Spot:            offering.spot,
					ProvisionedAtMS: provisionedAtMS,
					ReplacementPlan: replacementPlan,
					MachineIDs:      slices.Clone(chunk),
				},
			},
		)
	}
	as.writeRegistry()
}

// writeRegistry writes what is to be added to and removed from the rosters, one
// transaction at a time.
func (as *autoscaler) writeRegistry() {
	if as.registryWriting || !as.canActAsLeader() || len(as.pendingAdditions)+len(as.pendingRemovals) == 0 ||
		as.now.MonotonicMS < as.nextRegistryWriteAt {
		return
	}
	preconditions := []Precondition{{leaderKey, as.leaderRev}}
	var changes []Change
	for _, addition := range as.pendingAdditions[:min(len(as.pendingAdditions), as.maxChangesPerBackgroundTxn())] {
		preconditions = append(preconditions, Precondition{addition.key, 0})
		changes = append(changes, Change{Key: addition.key, Value: mustEncode(addition.rec)})
	}
	touchedPages := map[string]bool{}
	for id := range as.pendingRemovals {
		if mc := as.registry.machines[id]; mc != nil {
			touchedPages[mc.registryKey] = true
		} else {
			delete(as.pendingRemovals, id)
		}
	}
	for key := range sortedByKey(touchedPages) {
		if len(changes) >= as.maxChangesPerBackgroundTxn() {
			break
		}
		r := as.registry.registryPages[key]
		rec := r.rec
		rec.MachineIDs = slices.DeleteFunc(
			slices.Clone(rec.MachineIDs),
			func(id string) bool { return as.pendingRemovals[id] },
		)
		preconditions = append(preconditions, Precondition{key, r.rev})
		if len(rec.MachineIDs) == 0 {
			changes = append(changes, Change{Key: key})
		} else {
			changes = append(changes, Change{Key: key, Value: mustEncode(rec)})
		}
	}
	if len(changes) == 0 {
		return
	}
	as.registryWriting = true
	leaderRevision := as.leaderRev
	as.store.sendTxn(UrgencyUser, preconditions, changes, func(r StoreResult) {
		as.registryWriting = false
		if as.leaderRev != leaderRevision {
			return
		}
		switch r.Outcome {
		case OK:
			as.completeRegistryAdditions()
			as.writeRegistry()
		case Unknown, Conflict:
			// Each key is read before anything is written again. An addition
			// that had worked is in the mirror then.
			as.registryWriting = true
			remaining := len(changes)
			for _, change := range changes {
				as.store.rereadKey(change.Key, func(StoreResult) {
					if remaining--; remaining == 0 {
						as.registryWriting = false
						as.nextRegistryWriteAt = as.now.MonotonicMS + 300
						as.completeRegistryAdditions()
					}
				})
			}
			as.store.rereadKey(leaderKey, func(StoreResult) {})
		default:
			as.nextRegistryWriteAt = as.now.MonotonicMS + 500
		}
	})
}

// completeRegistryAdditions drops the additions that the mirror has.
func (as *autoscaler) completeRegistryAdditions() {
	var callbacks []func()
	as.pendingAdditions = slices.DeleteFunc(as.pendingAdditions, func(addition *registryAddition) bool {
		if as.cache.keyRevisions[addition.key] == 0 {
			return false
		}
		for _, id := range addition.rec.MachineIDs {
			delete(as.unrecordedMachines, id)
		}
		callbacks = append(callbacks, addition.onWritten)
		return true
	})
	for _, onWritten := range callbacks {
		onWritten()
	}
}

// markForRelease notes that the lead is to return a machine.
func (as *autoscaler) markForRelease(id, reason string) {
	if _, ok := as.pendingReleases[id]; ok || as.releasedAt[id] != 0 {
		return
	}
	as.pendingReleases[id] = true
	as.log(Info, "machine leaves", "machine", id, "why", reason)
}

// releaseMachines returns the machines that their owners gave up, as their
// messages say, and those that the lead itself found gone or never up. By the
// time of the answer they are gone with everything on them, which their removal
// from the rosters tells the owners.
func (as *autoscaler) releaseMachines() {
	as.peers.forEachFreshMessage(func(from string, msg *PeerMessage) {
		for i := range msg.OwnedShards {
			peerShard := &msg.OwnedShards[i]
			if as.cache.shardClaims[peerShard.Shard].Owner != from {
				continue
			}
			for _, id := range peerShard.MachinesToRelease {
				if mc := as.registry.machines[id]; mc != nil && mc.rec.Shard == peerShard.Shard && as.releasedAt[id] == 0 {
					as.pendingReleases[id] = true
				}
			}
		}
	})
	if len(as.pendingReleases) == 0 {
		return
	}
	var ids []string
	for id := range as.pendingReleases {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	ids = ids[:min(len(ids), 100)]
	as.releasePending = true
	as.sendCloud(CloudOp{Kind: CloudRelease, Machines: ids}, func(r CloudResult) {
		as.releasePending = false
		as.nextReleaseAt = as.now.MonotonicMS + 500
		if r.Outcome != OK {
			as.nextReleaseAt = as.now.MonotonicMS + 1000
			return
		}
		as.Counters.Released += uint64(len(ids))
		for _, id := range ids {
			delete(as.pendingReleases, id)
			as.releasedAt[id] = as.now.MonotonicMS
			as.pendingRemovals[id] = true
		}
		as.log(Info, "machines returned", "count", len(ids), "machines", ids)
		as.writeRegistry()
	})
}

// assignFoundMachines gives the machines that were found since the last time to the
// shards that have least. Those of a kind and a shard share a roster.
func (as *autoscaler) assignFoundMachines() {
	if len(as.unknownMachines) == 0 || as.now.MonotonicMS < as.nextFound {
		return
	}
	as.nextFound = as.now.MonotonicMS + 300
	type assignment struct {
		offering offering
		shard    string
	}
	loads := as.shardLoads()
	machineIDs := map[assignment][]string{}
	var targets []assignment
	for _, heartbeat := range as.unknownMachines {
		delete(as.unrecordedMachines, heartbeat.Machine)
		target := assignment{
			offering{heartbeat.Type, heartbeat.Zone, heartbeat.Spot},
			as.assignToLeastLoaded(loads, heartbeat.Type),
		}
		if len(machineIDs[target]) == 0 {
			targets = append(targets, target)
		}
		machineIDs[target] = append(machineIDs[target], heartbeat.Machine)
	}
	as.log(Info, "machines found", "count", len(as.unknownMachines))
	as.unknownMachines = nil
	for _, target := range targets {
		as.addMachinesToRegistry(machineIDs[target], target.offering, target.shard, "", as.now.WallMS, func() {})
	}
}

// shardLoad is what a shard has of machines.
type shardLoad struct {
	cpus           float64
	machinesByType map[string]int
}

func (as *autoscaler) shardLoads() map[string]*shardLoad {
	loads := map[string]*shardLoad{}
	for _, shardName := range as.memberIDs() {
		if _, claimed := as.cache.shardClaims[shardName]; claimed || len(as.cache.shardClaims) == 0 {
			loads[shardName] = &shardLoad{machinesByType: map[string]int{}}
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
		for typ, shardName := range sortedByKey(load.machinesByType) { // the same sum every time
			load.cpus += float64(shardName) * resourcesOf(as.cache.machineTypes[typ]).CPUs
		}
	}
	return loads
}

// assignToLeastLoaded is the shard with the least processors, then the least machines of a
// type; it is taken to get one.
func (as *autoscaler) assignToLeastLoaded(loads map[string]*shardLoad, machineType string) string {
	leastLoaded := ""
	for shardName, load := range sortedByKey(loads) {
		if leastLoaded == "" || load.cpus < loads[leastLoaded].cpus ||
			load.cpus == loads[leastLoaded].cpus &&
				load.machinesByType[machineType] < loads[leastLoaded].machinesByType[machineType] {
			leastLoaded = shardName
		}
	}
	loads[leastLoaded].cpus += resourcesOf(as.cache.machineTypes[machineType]).CPUs
	loads[leastLoaded].machinesByType[machineType]++
	return leastLoaded
}
