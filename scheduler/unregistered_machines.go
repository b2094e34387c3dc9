package scheduler

// parkedHeartbeat is a heartbeat whose response waits until its machine is on a registry page.
type parkedHeartbeat struct {
	replyID   uint64
	heartbeat Heartbeat
}

// registerMachine registers a machine that is on no registry page. It existed before this cluster, or the
// cloud executed its provision request late. Only the leader writes registry pages, so other members redirect
// the worker to the leader.
func (am *agentManager) registerMachine(replyID uint64, hb Heartbeat) {
	if !am.scaler.leading {
		am.respondWorker(replyID, am.redirectTo(am.cache.leader))
		return
	}
	if !am.mayRegister(&hb) {
		am.respondWorker(replyID, HeartbeatResponse{})
		return
	}
	am.parkedHeartbeats[hb.Machine] = append(am.parkedHeartbeats[hb.Machine], parkedHeartbeat{replyID, hb})
	if !am.scaler.machinesBeingRegistered[hb.Machine] {
		am.scaler.machinesBeingRegistered[hb.Machine] = true
		am.scaler.unregisteredMachines = append(am.scaler.unregisteredMachines, hb)
	}
}

// mayRegister reports whether this member is the leader and can register the heartbeat's machine: its type is
// in the catalog, and it was not released.
func (am *agentManager) mayRegister(hb *Heartbeat) bool {
	return am.scaler.canActAsLeader() && am.cache.machineTypes[hb.Type] != nil &&
		am.scaler.releasedAt[hb.Machine] == 0
}

// processParkedHeartbeats processes the parked heartbeats of a machine that is now on a registry page.
func (am *agentManager) processParkedHeartbeats(id string) {
	parkedForMachine := am.parkedHeartbeats[id]
	delete(am.parkedHeartbeats, id)
	for _, parked := range parkedForMachine {
		am.processHeartbeat(parked.replyID, parked.heartbeat)
	}
}
