package scheduler

import (
	"encoding/json"
	"fmt"
	"slices"
	"sort"
	"strings"
)

// machineRegistry owns what the member knows of all machines: the pages of the
// registry that the leader writes, and the lists of live machines that the owners
// of shards write.
type machineRegistry struct {
	*environment
	agents *agentManager
	cache  *stateCache
	shards *shardManager
	store  *storeClient

	machines      map[string]*machine
	registryPages map[string]*registryPage // by key
	liveMachines  map[string][]string      // machine IDs by the key of their list
}

func newMachineRegistry(env *environment) *machineRegistry {
	return &machineRegistry{
		environment:   env,
		machines:      map[string]*machine{},
		registryPages: map[string]*registryPage{},
		liveMachines:  map[string][]string{},
	}
}

// Machines are recorded many at a time, since the state service counts the keys
// that are changed and a fleet of hundreds comes and goes within a minute: one
// roster for the machines that came together to a shard, written by the member
// that leads the fleet and by no other, and a few lists for a shard of those
// that are up, written by its holder.

// registryRecord is machines of one kind in one shard.
type registryRecord struct {
	Shard           string   `json:"shard"`
	Type            string   `json:"type"`
	Zone            string   `json:"zone"`
	Spot            bool     `json:"spot,omitempty"`
	ProvisionedAtMS int64    `json:"rented"`        // time of day, ms
	ReplacementPlan string   `json:"for,omitempty"` // the plan whose machines they replace
	MachineIDs      []string `json:"machines"`
}

// liveMachinesRecord lists machines of a shard that are up. Nothing starts on a machine
// before it is listed, so one that is not listed has no tasks.
type liveMachinesRecord struct {
	MachineIDs []string `json:"up"`
}

// registryPage is a roster of the mirror.
type registryPage struct {
	rec registryRecord
	rev uint64
}

// registryAddition is a roster that the lead is to write. Its key and contents never
// change: a write whose outcome is not known is sent again as it was.
type registryAddition struct {
	key       string
	rec       registryRecord
	onWritten func()
}

// maxChangesPerBackgroundTxn bounds the changes of one transaction that is not urgent, so
// that it does not use up a member's part of the store's rate at once.
func (env *environment) maxChangesPerBackgroundTxn() int { return max(1, env.params.MaxTxnOps/4) }

// maxMachinesPerPage bounds the machines of a roster, by the bytes that a value takes;
// names take up to some twenty of them.
func (env *environment) maxMachinesPerPage() int { return max(1, env.params.MaxValueBytes/2/24) }

func (mr *machineRegistry) applyRegistryPage(key string, rec *registryRecord, rev uint64) {
	previous := mr.registryPages[key]
	kept := map[string]bool{}
	if rec != nil {
		mr.registryPages[key] = &registryPage{*rec, rev}
		for _, id := range rec.MachineIDs {
			kept[id] = true
			mr.upsertMachine(id, key, rec)
		}
	} else {
		delete(mr.registryPages, key)
	}
	if previous == nil {
		return
	}
	for _, id := range previous.rec.MachineIDs {
		if !kept[id] {
			mr.deleteMachine(id)
		}
	}
}

// applyLiveMachines takes a list of machines that are up. What a list no longer names is
// gone from the rosters too, or stands in another list.
func (mr *machineRegistry) applyLiveMachines(key string, rec *liveMachinesRecord) {
	if rec == nil {
		delete(mr.liveMachines, key)
		return
	}
	mr.liveMachines[key] = rec.MachineIDs
	for _, id := range rec.MachineIDs {
		mc := mr.machines[id]
		if mc == nil || mc.Up {
			continue
		}
		s := mr.shards.ownedShards[mc.rec.Shard]
		if s == nil || mc.claim != s {
			mc.Up = true
		} else {
			s.reconciler.MarkListed(mc.Machine)
		}
		if s != nil {
			s.dirty, s.planExpedited = true, true
		}
	}
}

// writeLiveMachines lists the machines of a shard that came up since the last time, and
// drops those that are gone.
func (mr *machineRegistry) writeLiveMachines(s *shard) {
	if s.liveListWriting || len(s.newlyLive) == 0 || mr.now.MonotonicMS < s.nextLiveListWriteAt {
		return
	}
	prefix := liveMachinesPrefix + s.name + "/"
	var key string
	var machineIDs []string
	for index := 0; ; index++ {
		key = fmt.Sprintf("%s%d", prefix, index)
		machineIDs = machineIDs[:0]
		for _, id := range mr.liveMachines[key] {
			if mr.machines[id] != nil {
				machineIDs = append(machineIDs, id)
			}
		}
		if len(machineIDs) < mr.maxMachinesPerPage() {
			break
		}
	}
	for _, id := range slices.Clone(s.newlyLive) {
		if mc := mr.machines[id]; mc == nil || mc.Up {
			s.newlyLive = slices.DeleteFunc(s.newlyLive, func(x string) bool { return x == id })
		} else if len(machineIDs) < mr.maxMachinesPerPage() {
			machineIDs = append(machineIDs, id)
		}
	}
	if len(s.newlyLive) == 0 {
		return
	}
	s.liveListWriting = true
	// The next ones share a write.
	s.nextLiveListWriteAt = mr.now.MonotonicMS + max(300, secondsToMS(mr.params.HeartbeatS)/8)
	value := mustEncode(liveMachinesRecord{slices.Clone(machineIDs)})
	mr.store.sendTxn(
		UrgencyUser,
		[]Precondition{{claimKey(s.name), s.token}, {key, mr.cache.keyRevisions[key]}},
		[]Change{{Key: key, Value: value}},
		func(result StoreResult) {
			s.liveListWriting = false
			if result.Outcome == Unknown || result.Outcome == Conflict {
				s.liveListWriting = true
				mr.store.rereadKey(key, func(StoreResult) { s.liveListWriting = false })
			}
		},
	)
}

// addMachinesToRegistry gives machines an owner, as soon as the store has them.
func (as *autoscaler) addMachinesToRegistry(
	ids []string,
	offering offering,
	shard, replacementPlan string,
	provisionedAtMS int64,
	onWritten func(),
) {
	fleet := as
	var newIDs []string
	for _, id := range ids {
		if as.registry.machines[id] == nil && !fleet.unrecordedMachines[id] && fleet.releasedAt[id] == 0 {
			fleet.unrecordedMachines[id] = true
			newIDs = append(newIDs, id)
		}
	}
	if len(newIDs) == 0 {
		onWritten()
		return
	}
	for chunk := range slices.Chunk(newIDs, as.maxMachinesPerPage()) {
		fleet.lastRegistryPageNumber++
		onChunkWritten := func() {}
		if chunk[len(chunk)-1] == newIDs[len(newIDs)-1] {
			onChunkWritten = onWritten
		}
		fleet.pendingAdditions = append(
			fleet.pendingAdditions,
			&registryAddition{
				key:       fmt.Sprintf("%s%d-%d", registryPrefix, fleet.leaderRev, fleet.lastRegistryPageNumber),
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
	fleet := as
	if fleet.registryWriting || !as.canActAsLeader() || len(fleet.pendingAdditions)+len(fleet.pendingRemovals) == 0 ||
		as.now.MonotonicMS < fleet.nextRegistryWriteAt {
		return
	}
	preconditions := []Precondition{{leaderKey, fleet.leaderRev}}
	var changes []Change
	for _, addition := range fleet.pendingAdditions[:min(len(fleet.pendingAdditions), as.maxChangesPerBackgroundTxn())] {
		preconditions = append(preconditions, Precondition{addition.key, 0})
		changes = append(changes, Change{Key: addition.key, Value: mustEncode(addition.rec)})
	}
	touchedPages := map[string]bool{}
	for id := range fleet.pendingRemovals {
		if mc := as.registry.machines[id]; mc != nil {
			touchedPages[mc.registryKey] = true
		} else {
			delete(fleet.pendingRemovals, id)
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
			func(id string) bool { return fleet.pendingRemovals[id] },
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
	fleet.registryWriting = true
	leaderRevision := fleet.leaderRev
	as.store.sendTxn(UrgencyUser, preconditions, changes, func(r StoreResult) {
		fleet.registryWriting = false
		if fleet.leaderRev != leaderRevision {
			return
		}
		switch r.Outcome {
		case OK:
			as.completeRegistryAdditions()
			as.writeRegistry()
		case Unknown, Conflict:
			// Each key is read before anything is written again. An addition
			// that had worked is in the mirror then.
			fleet.registryWriting = true
			remaining := len(changes)
			for _, change := range changes {
				as.store.rereadKey(change.Key, func(StoreResult) {
					if remaining--; remaining == 0 {
						fleet.registryWriting = false
						fleet.nextRegistryWriteAt = as.now.MonotonicMS + 300
						as.completeRegistryAdditions()
					}
				})
			}
			as.store.rereadKey(leaderKey, func(StoreResult) {})
		default:
			fleet.nextRegistryWriteAt = as.now.MonotonicMS + 500
		}
	})
}

// completeRegistryAdditions drops the additions that the mirror has.
func (as *autoscaler) completeRegistryAdditions() {
	fleet := as
	var callbacks []func()
	fleet.pendingAdditions = slices.DeleteFunc(fleet.pendingAdditions, func(addition *registryAddition) bool {
		if as.cache.keyRevisions[addition.key] == 0 {
			return false
		}
		for _, id := range addition.rec.MachineIDs {
			delete(fleet.unrecordedMachines, id)
		}
		callbacks = append(callbacks, addition.onWritten)
		return true
	})
	for _, onWritten := range callbacks {
		onWritten()
	}
}

// canActAsLeader tells whether this member leads the fleet and has seen all that its
// predecessors wrote: a machine that it took for unknown would get two owners.
func (as *autoscaler) canActAsLeader() bool {
	return as.leading && as.store.hasAuthority() && as.cache.mirrorRevision >= as.leaderRev
}

// markForRelease notes that the lead is to return a machine.
func (as *autoscaler) markForRelease(id, reason string) {
	fleet := as
	if _, ok := fleet.pendingReleases[id]; ok || fleet.releasedAt[id] != 0 {
		return
	}
	fleet.pendingReleases[id] = true
	as.log(Info, "machine leaves", "machine", id, "why", reason)
}

// releaseMachines returns the machines that their owners gave up, as their
// messages say, and those that the lead itself found gone or never up. By the
// time of the answer they are gone with everything on them, which their removal
// from the rosters tells the owners.
func (as *autoscaler) releaseMachines() {
	fleet := as
	as.peers.forEachFreshMessage(func(from string, msg *PeerMessage) {
		for i := range msg.OwnedShards {
			peerShard := &msg.OwnedShards[i]
			if as.cache.shardClaims[peerShard.Shard].Owner != from {
				continue
			}
			for _, id := range peerShard.MachinesToRelease {
				if mc := as.registry.machines[id]; mc != nil && mc.rec.Shard == peerShard.Shard && fleet.releasedAt[id] == 0 {
					fleet.pendingReleases[id] = true
				}
			}
		}
	})
	if len(fleet.pendingReleases) == 0 {
		return
	}
	var ids []string
	for id := range fleet.pendingReleases {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	ids = ids[:min(len(ids), 100)]
	fleet.releasePending = true
	as.sendCloud(CloudOp{Kind: CloudRelease, Machines: ids}, func(r CloudResult) {
		fleet.releasePending = false
		fleet.nextReleaseAt = as.now.MonotonicMS + 500
		if r.Outcome != OK {
			fleet.nextReleaseAt = as.now.MonotonicMS + 1000
			return
		}
		as.Counters.Released += uint64(len(ids))
		for _, id := range ids {
			delete(fleet.pendingReleases, id)
			fleet.releasedAt[id] = as.now.MonotonicMS
			fleet.pendingRemovals[id] = true
		}
		as.log(Info, "machines returned", "count", len(ids), "machines", ids)
		as.writeRegistry()
	})
}

// registerUnknownMachine takes in a machine that no roster names: one that was there before
// us, or a rental that was executed late. Only the lead writes rosters, so
// other members send the worker there.
func (am *agentManager) registerUnknownMachine(replyID uint64, heartbeat Heartbeat) {
	fleet := am.scaler
	if !fleet.leading {
		response := HeartbeatResponse{}
		if am.cache.leader != am.params.MemberID {
			response.RedirectTo = am.cache.leader
		}
		am.respondWorker(replyID, response)
		return
	}
	if !am.scaler.canActAsLeader() || am.cache.machineTypes[heartbeat.Type] == nil || fleet.releasedAt[heartbeat.Machine] != 0 {
		am.respondWorker(replyID, HeartbeatResponse{})
		return
	}
	am.parkedHeartbeats[heartbeat.Machine] = append(
		am.parkedHeartbeats[heartbeat.Machine],
		parkedHeartbeat{replyID, heartbeat, am.now.MonotonicMS},
	)
	if !fleet.unrecordedMachines[heartbeat.Machine] {
		fleet.unrecordedMachines[heartbeat.Machine] = true
		fleet.unknownMachines = append(fleet.unknownMachines, heartbeat)
	}
}

// assignFoundMachines gives the machines that were found since the last time to the
// shards that have least. Those of a kind and a shard share a roster.
func (as *autoscaler) assignFoundMachines() {
	fleet := as
	if len(fleet.unknownMachines) == 0 || as.now.MonotonicMS < fleet.nextFound {
		return
	}
	fleet.nextFound = as.now.MonotonicMS + 300
	type assignment struct {
		offering offering
		shard    string
	}
	loads := as.shardLoads()
	machineIDs := map[assignment][]string{}
	var targets []assignment
	for _, heartbeat := range fleet.unknownMachines {
		delete(fleet.unrecordedMachines, heartbeat.Machine)
		target := assignment{
			offering{heartbeat.Type, heartbeat.Zone, heartbeat.Spot},
			as.assignToLeastLoaded(loads, heartbeat.Type),
		}
		if len(machineIDs[target]) == 0 {
			targets = append(targets, target)
		}
		machineIDs[target] = append(machineIDs[target], heartbeat.Machine)
	}
	as.log(Info, "machines found", "count", len(fleet.unknownMachines))
	fleet.unknownMachines = nil
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

// processParkedHeartbeats answers the reports of a machine that has an owner now.
func (am *agentManager) processParkedHeartbeats(id string) {
	parkedForMachine := am.parkedHeartbeats[id]
	delete(am.parkedHeartbeats, id)
	for _, parked := range parkedForMachine {
		am.processHeartbeat(parked.replyID, parked.heartbeat)
	}
}

// applyMachineRecord brings the mirror of rosters and lists up to a change.
func (mr *machineRegistry) applyMachineRecord(kv KeyValue) error {
	switch {
	case strings.HasPrefix(kv.Key, registryPrefix):
		if kv.Value == nil {
			mr.applyRegistryPage(kv.Key, nil, kv.Rev)
			return nil
		}
		var rec registryRecord
		if err := json.Unmarshal(kv.Value, &rec); err != nil {
			return err
		}
		mr.applyRegistryPage(kv.Key, &rec, kv.Rev)
	case strings.HasPrefix(kv.Key, liveMachinesPrefix):
		if kv.Value == nil {
			mr.applyLiveMachines(kv.Key, nil)
			return nil
		}
		var rec liveMachinesRecord
		if err := json.Unmarshal(kv.Value, &rec); err != nil {
			return err
		}
		mr.applyLiveMachines(kv.Key, &rec)
	}
	return nil
}
