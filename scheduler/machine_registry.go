package scheduler

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/grebedock/grebedock/reconcile"
)

// machineRegistry owns the member's state of all machines: the registry pages, which the leader writes, and the
// lists of live machines, which the shard owners write. A machine is live, or up, once it is on such a list, after
// the first heartbeat of its worker.
//
// Records hold many machines each: the state service's rate limit counts changed keys, and a fleet of hundreds of
// machines may be provisioned and released within a minute. A registry page holds machines that were added to a
// shard together; only the leader writes it. A shard has a few lists of its live machines; only its owner writes
// them. A machine is deleted when it is on no page. The leader removes it only after the cloud confirms that the
// machine is terminated, with all tasks on it.
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

// registryRecord is a registry page: machines of one instance offering in one shard.
type registryRecord struct {
	Shard           string   `json:"shard"`
	Type            string   `json:"type"`
	Zone            string   `json:"zone"`
	Spot            bool     `json:"spot,omitempty"`
	ProvisionedAtMS int64    `json:"rented"`        // wall-clock time, ms
	ReplacementPlan string   `json:"for,omitempty"` // rollout plan whose machines these replace
	MachineIDs      []string `json:"machines"`
}

// liveMachinesRecord lists live machines of a shard. No task starts on a machine before it is listed, so an unlisted
// machine has no tasks.
type liveMachinesRecord struct {
	MachineIDs []string `json:"up"`
}

// registryPage is a cached registry page with its revision.
type registryPage struct {
	rec registryRecord
	rev uint64
}

// applyMachineRecord applies a change of a registry page or a list of live machines. It returns an error only if the
// record cannot be decoded.
func (mr *machineRegistry) applyMachineRecord(kv KeyValue) error {
	switch {
	case strings.HasPrefix(kv.Key, registryPrefix):
		rec, err := decodeRecord[registryRecord](kv.Value)
		if err != nil {
			return err
		}
		mr.applyRegistryPage(kv.Key, rec, kv.Rev)
	case strings.HasPrefix(kv.Key, liveMachinesPrefix):
		rec, err := decodeRecord[liveMachinesRecord](kv.Value)
		if err != nil {
			return err
		}
		mr.applyLiveMachines(kv.Key, rec)
	}
	return nil
}

// decodeRecord decodes a record's JSON. It returns nil for a deleted key.
func decodeRecord[T any](value []byte) (*T, error) {
	if value == nil {
		return nil, nil
	}
	rec := new(T)
	if err := json.Unmarshal(value, rec); err != nil {
		return nil, err
	}
	return rec, nil
}

// applyRegistryPage applies the stored state of a page, nil if it was deleted.
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

// applyLiveMachines applies a list of live machines. It ignores machines that were removed from the list: they are
// removed from the registry pages too, or are in another list.
func (mr *machineRegistry) applyLiveMachines(key string, rec *liveMachinesRecord) {
	if rec == nil {
		delete(mr.liveMachines, key)
		return
	}
	mr.liveMachines[key] = rec.MachineIDs
	for _, id := range rec.MachineIDs {
		if mc := mr.machines[id]; mc != nil && !mc.Up {
			mr.markListed(mc)
		}
	}
}

// markListed marks a machine as listed: tasks may be on it.
func (mr *machineRegistry) markListed(mc *machine) {
	s := mr.shards.ownedShards[mc.rec.Shard]
	if s == nil {
		mc.Up = true
		return
	}
	if mc.claim == s {
		s.reconciler.MarkListed(mc.Machine)
	} else {
		mc.Up = true
	}
	s.dirty, s.planExpedited = true, true
}

// writeLiveMachines adds the machines that came up since the last write to a list of the shard, and drops
// deleted machines from that list.
func (mr *machineRegistry) writeLiveMachines(s *shard) {
	if s.liveListWriting || len(s.newlyLive) == 0 || mr.now.MonotonicMS < s.nextLiveListWriteAt {
		return
	}
	key, machineIDs := mr.firstNonFullLiveList(s)
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
	// Machines that come up during this interval share the next write.
	s.nextLiveListWriteAt = mr.now.MonotonicMS + max(300, secondsToMS(mr.params.HeartbeatS)/8)
	preconditions := []Precondition{{claimKey(s.name), s.token}, {key, mr.cache.keyRevisions[key]}}
	changes := []Change{{Key: key, Value: mustEncode(liveMachinesRecord{machineIDs})}}
	mr.store.sendTxn(UrgencyUser, preconditions, changes, func(result StoreResult) {
		s.liveListWriting = false
		if result.Outcome == Unknown || result.Outcome == Conflict {
			s.liveListWriting = true
			mr.store.rereadKey(key, func(StoreResult) { s.liveListWriting = false })
		}
	})
}

// firstNonFullLiveList returns the key of the shard's first list of live machines that is not full, and the machines
// in it that still exist.
func (mr *machineRegistry) firstNonFullLiveList(s *shard) (key string, machineIDs []string) {
	prefix := liveMachinesPrefix + s.name + "/"
	for index := 0; ; index++ {
		key = fmt.Sprintf("%s%d", prefix, index)
		machineIDs = machineIDs[:0]
		for _, id := range mr.liveMachines[key] {
			if mr.machines[id] != nil {
				machineIDs = append(machineIDs, id)
			}
		}
		if len(machineIDs) < mr.maxMachinesPerPage() {
			return key, machineIDs
		}
	}
}

// upsertMachine adds or updates a machine of a registry page.
func (mr *machineRegistry) upsertMachine(id, key string, rec *registryRecord) {
	if mr.machines[id] == nil {
		mr.insertMachine(id, key, rec)
	}
	mc := mr.machines[id]
	mc.rec, mc.registryKey = rec, key
	mr.agents.processParkedHeartbeats(id)
}

func (mr *machineRegistry) insertMachine(id, key string, rec *registryRecord) {
	mc := &machine{id: id, rec: rec, registryKey: key, Machine: &reconcile.Machine{ID: id}}
	for listKey, liveIDs := range mr.liveMachines {
		if strings.HasPrefix(listKey, liveMachinesPrefix+rec.Shard+"/") && slices.Contains(liveIDs, id) {
			mc.Up = true
		}
	}
	mr.machines[id] = mc
	mr.resetMachine(mc)
	if s := mr.shards.ownedShards[rec.Shard]; s != nil {
		pos, _ := slices.BinarySearchFunc(s.machines, id, (*machine).compare)
		s.machines = slices.Insert(s.machines, pos, mc)
		s.dirty = true
	}
}

// resetMachine discards the state of a machine from an earlier claim. Its lease counts from now: any earlier
// heartbeat response was sent before this claim.
func (mr *machineRegistry) resetMachine(mc *machine) {
	for _, a := range mc.byKey {
		mr.agents.releaseResources(mc, a)
	}
	mc.imageCache.Remove()
	*mc = machine{
		id:          mc.id,
		rec:         mc.rec,
		registryKey: mc.registryKey,
		Machine:     &reconcile.Machine{ID: mc.id, Up: mc.Up},
		machineLoad: machineLoad{idleSince: mr.now.MonotonicMS},
	}
	if s := mr.shards.ownedShards[mc.rec.Shard]; s != nil {
		mc.claim = s
		mc.Machine = s.reconciler.AddMachine(mc.id, mc.Up, mr.now.MonotonicMS)
		mc.imageCache = s.clusterView.NewImageCache()
	}
}

// deleteMachine handles the removal of a machine from its registry page. The leader removes it only after the
// cloud confirms that the machine is terminated, with all tasks on it.
func (mr *machineRegistry) deleteMachine(id string) {
	mc := mr.machines[id]
	if mc == nil {
		return
	}
	delete(mr.machines, id)
	mc.imageCache.Remove()
	mr.agents.removeAllAttempts(mc)
	s := mr.shards.ownedShards[mc.rec.Shard]
	if s == nil {
		return
	}
	s.dirty = true
	if mc.claim == s {
		s.reconciler.RemoveMachine(mc.Machine)
		s.resetOrphans(mc)
	}
	if pos, ok := slices.BinarySearchFunc(s.machines, id, (*machine).compare); ok {
		s.machines = slices.Delete(s.machines, pos, pos+1)
	}
}
