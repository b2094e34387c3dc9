package scheduler

import (
	"maps"
	"slices"
)

// maxMachinesPerRelease bounds the machines of one release request.
const maxMachinesPerRelease = 100

// markForRelease notes that the leader is to release a machine.
func (as *autoscaler) markForRelease(id, reason string) {
	if as.pendingReleases[id] || as.releasedAt[id] != 0 {
		return
	}
	as.pendingReleases[id] = true
	as.log(Info, "machine marked for release", "machine", id, "reason", reason)
}

// releaseMachines releases the machines that their owners gave up, as their messages
// report, and those that the leader itself found gone or never up. By the time of the
// response they are gone with everything on them; their removal from the registry is
// what their owners see.
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

// addRequestedReleases takes the machines that a shard's owner gave up.
func (as *autoscaler) addRequestedReleases(peerShard *PeerShard) {
	for _, id := range peerShard.MachinesToRelease {
		mc := as.registry.machines[id]
		if mc != nil && mc.rec.Shard == peerShard.Shard && as.releasedAt[id] == 0 {
			as.pendingReleases[id] = true
		}
	}
}
