package scheduler

// parkedHeartbeat is a heartbeat whose answer waits for a registry page that names its machine.
type parkedHeartbeat struct {
	replyID   uint64
	heartbeat Heartbeat
}

// registerUnknownMachine takes in a machine that no registry page names: one that was there before this
// cluster, or one whose provisioning was carried out late. Only the leader writes registry pages, so other
// members redirect the worker to it.
func (am *agentManager) registerUnknownMachine(replyID uint64, hb Heartbeat) {
	if !am.scaler.leading {
		am.respondWorker(replyID, am.redirectTo(am.cache.leader))
		return
	}
	if !am.mayRegister(&hb) {
		am.respondWorker(replyID, HeartbeatResponse{})
		return
	}
	am.parkedHeartbeats[hb.Machine] = append(am.parkedHeartbeats[hb.Machine], parkedHeartbeat{replyID, hb})
	if !am.scaler.unrecordedMachines[hb.Machine] {
		am.scaler.unrecordedMachines[hb.Machine] = true
		am.scaler.unknownMachines = append(am.scaler.unknownMachines, hb)
	}
}

// mayRegister reports whether the leader can record the heartbeat's machine: its type is in the catalog, and
// its release was not requested.
func (am *agentManager) mayRegister(hb *Heartbeat) bool {
	return am.scaler.canActAsLeader() && am.cache.machineTypes[hb.Type] != nil &&
		am.scaler.releasedAt[hb.Machine] == 0
}

// processParkedHeartbeats answers the heartbeats of a machine that has an owner now.
func (am *agentManager) processParkedHeartbeats(id string) {
	parkedForMachine := am.parkedHeartbeats[id]
	delete(am.parkedHeartbeats, id)
	for _, parked := range parkedForMachine {
		am.processHeartbeat(parked.replyID, parked.heartbeat)
	}
}
