package scheduler

import (
	"maps"
	"slices"
)

// maxMachinesPerRelease limits the number of machines in one release request.
const maxMachinesPerRelease = 100

// markForRelease adds a machine to the pending releases, unless it is pending or was released
// already.
func (as *autoscaler) markForRelease(id, reason string) {
	if as.pendingReleases[id] || as.releasedAt[id] != 0 {
		return
	}
	as.pendingReleases[id] = true
	as.log(Info, "machine marked for release", "machine", id, "reason", reason)
}

// releaseMachines releases the machines whose release shard owners request in their
// messages, and those that the leader itself marked as absent or not up in time. When the
// cloud responds, the machines are terminated with all tasks on them. The shard owners
// observe their removal from the registry.
func (as *autoscaler) releaseMachines() {
	as.peers.forEachFreshMessage(func(from string, msg *PeerMessage) {
		for i := range msg.OwnedShards {
			if peerShard := &msg.OwnedShards[i]; as.cache.shardClaims[peerShard.Shard].Owner == from {
				as.addRequestedReleases(peerShard)
			}
		}
	})
	if len(as.pendingReleases) == 0 {
		return
	}
	ids := slices.Sorted(maps.Keys(as.pendingReleases))
	ids = ids[:min(len(ids), maxMachinesPerRelease)]
	as.releasePending = true
	as.sendCloud(CloudOp{Kind: CloudRelease, Machines: ids}, func(r CloudResult) {
		as.releasePending = false
		as.nextReleaseAtMS = as.now.MonotonicMS + 500
		if r.Outcome != OK {
			as.nextReleaseAtMS = as.now.MonotonicMS + 1000
			return
		}
		as.Counters.Released += uint64(len(ids))
		for _, id := range ids {
			delete(as.pendingReleases, id)
			as.releasedAt[id] = as.now.MonotonicMS
			as.pendingRemovals[id] = true
		}
		as.log(Info, "machines released", "count", len(ids), "machines", ids)
		as.writeRegistry()
	})
}

// addRequestedReleases adds the machines whose release a shard's owner requests.
func (as *autoscaler) addRequestedReleases(peerShard *PeerShard) {
	for _, id := range peerShard.MachinesToRelease {
		mc := as.registry.machines[id]
		if mc != nil && mc.rec.Shard == peerShard.Shard && as.releasedAt[id] == 0 {
			as.pendingReleases[id] = true
		}
	}
}
