package scheduler

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/planner"
	"github.com/grebedock/grebedock/reconcile"
)

// stateCache is the member's replica of all live records of the state service,
// fed by one list and then by watches. It owns the revisions, and the records
// that several owners read; other records it hands to their owners by the table
// of recordHandlers.
type stateCache struct {
	*environment
	store *storeClient

	keyRevisions   map[string]uint64 // revision of every cached key
	tombstones     map[string]uint64 // revisions of removals that the watch has not passed yet
	mirrorRevision uint64            // all changes up to this one are applied

	jobs             map[string]*job
	shardClaims      map[string]claimRecord
	machineTypes     map[string]*MachineType
	placementCatalog *planner.Catalog // the machine types as placement uses them
	settings         Settings
	extensionRecords map[string]KeyValue // of subsystems that keep records through the core
	leader           string              // member ID

	invalidatePlans func() // called when something changed that plans rest on
	recordHandlers  []recordHandler
}

func newStateCache(env *environment) *stateCache {
	return &stateCache{
		environment:      env,
		keyRevisions:     map[string]uint64{},
		tombstones:       map[string]uint64{},
		jobs:             map[string]*job{},
		shardClaims:      map[string]claimRecord{},
		machineTypes:     map[string]*MachineType{},
		placementCatalog: planner.NewCatalog(),
		settings:         DefaultSettings(),
		extensionRecords: map[string]KeyValue{},
	}
}

// applyWatchResult takes all changes since a revision that the mirror had.
func (cache *stateCache) applyWatchResult(result StoreResult) {
	for _, kv := range result.KVs {
		cache.applyChange(kv)
	}
	cache.mirrorRevision = max(cache.mirrorRevision, result.Rev)
	for key, removedAt := range cache.tombstones {
		if removedAt <= cache.mirrorRevision {
			delete(cache.tombstones, key)
		}
	}
}

// applySnapshot takes a list of everything live.
func (cache *stateCache) applySnapshot(kvs []KeyValue, revision uint64) {
	found := make(map[string]bool, len(kvs))
	for _, kv := range kvs {
		found[kv.Key] = true
		cache.applyChange(kv)
	}
	var gone []string
	for key, keyRevision := range cache.keyRevisions {
		if !found[key] && keyRevision <= revision {
			gone = append(gone, key)
		}
	}
	slices.Sort(gone)
	for _, key := range gone {
		cache.applyChange(KeyValue{Key: key, Rev: revision})
	}
	cache.mirrorRevision = revision
	cache.log(Info, "mirror read", "keys", len(kvs), "revision", revision)
}

// applyChange brings the mirror up to a change, unless it has a newer one already.
func (cache *stateCache) applyChange(kv KeyValue) {
	if !strings.HasPrefix(kv.Key, livePrefix) {
		return
	}
	if kv.Rev <= cache.keyRevisions[kv.Key] || kv.Rev <= cache.tombstones[kv.Key] {
		return
	}
	// The mirror has everything up to m.rev. A read that was under way while its
	// key was removed says less: applied, it made a cancelled job start again.
	if _, known := cache.keyRevisions[kv.Key]; !known && cache.store.storeAccess.IsSynced() && kv.Rev <= cache.mirrorRevision {
		return
	}
	removed := kv.Value == nil
	if removed {
		// A watch that lags behind our own removal must not bring the key
		// back: a job that is over would start again.
		if kv.Rev > cache.mirrorRevision {
			cache.tombstones[kv.Key] = kv.Rev
		}
		if _, ok := cache.keyRevisions[kv.Key]; !ok {
			return
		}
		delete(cache.keyRevisions, kv.Key)
	} else {
		cache.keyRevisions[kv.Key] = kv.Rev
	}
	for _, handler := range cache.recordHandlers {
		if !handler.handles(kv.Key) {
			continue
		}
		if err := handler.apply(kv); err != nil {
			cache.log(Warn, "record unreadable", "key", kv.Key, "error", err)
		}
		return
	}
}

// recordHandler applies changes of one kind of record to the owner of its state.
type recordHandler struct {
	prefix string
	exact  bool                 // the prefix is the whole key
	apply  func(KeyValue) error // a change without a value is a removal
}

func (h *recordHandler) handles(key string) bool {
	if h.exact {
		return key == h.prefix
	}
	return strings.HasPrefix(key, h.prefix)
}

func (cache *stateCache) applyExtensionRecord(kv KeyValue) error {
	if kv.Value == nil {
		delete(cache.extensionRecords, kv.Key)
	} else {
		cache.extensionRecords[kv.Key] = kv
	}
	return nil
}

func (cache *stateCache) applyCatalogRecord(kv KeyValue) error {
	if kv.Value == nil {
		return nil
	}
	var rec catalogRecord
	if err := json.Unmarshal(kv.Value, &rec); err != nil {
		return err
	}
	cache.setMachineTypes(rec.Types)
	return nil
}

// applySettingsRecord keeps the settings that hold where a record is not valid.
func (cache *stateCache) applySettingsRecord(kv KeyValue) error {
	settings := DefaultSettings()
	if kv.Value != nil {
		if err := json.Unmarshal(kv.Value, &settings); err != nil || settings.Validate() != "" {
			return nil
		}
	}
	cache.settings = settings
	cache.invalidatePlans()
	return nil
}

func (cache *stateCache) setMachineTypes(machineTypes []MachineType) {
	for _, t := range machineTypes {
		cache.machineTypes[t.Name] = &t
		cache.placementCatalog.SetTypes(
			planner.MachineType{
				Name:      t.Name,
				Resources: t.Resources,
				FetchGBps: t.ImageFetchGBps,
				BootMS:    secondsToMS(t.BootS),
				Zones:     t.Zones,
			},
		)
	}
	cache.invalidatePlans()
}

func resourcesOf(t *MachineType) availability.Resources {
	if t == nil {
		return availability.Resources{}
	}
	return t.Resources
}

// fillDeadline is the deadline that a rented machine is filled for: the group's own,
// or, where it comes too late for that, one task in each of its queues.
func (cache *stateCache) fillDeadline(g *taskGroup, viewMachine *planner.Machine) int64 {
	return max(
		g.DeadlineMS,
		viewMachine.ReadyAtMS+cache.imageFetchMS(
			g.job,
			viewMachine.Offering.Type,
		)+int64(
			float64(g.LengthMS)*planner.RuntimePadding,
		),
	)
}

// isCurrent tells whether a work is still a live job's range of ours. One that went to a
// peer is not: started from a pledge all the same, its tasks ran twice.
func (cache *stateCache) isCurrent(tr *taskRange) bool {
	return cache.jobs[tr.job.rec.Job.ID] == tr.job && tr.job.taskRanges[tr.bounds.Lo] == tr
}

func (cache *stateCache) maxMessageAgeMS() int64 { return 4 * secondsToMS(cache.settings.SummaryS) }

// immediateDeadline is by when a task must end that a peer is asked to start at once: its
// length and a share more, since summaries are a moment old.
func (cache *stateCache) immediateDeadline(j *Job, runtimeMS int64) int64 {
	fetchMS := int64(0)
	for typeName := range cache.machineTypes {
		fetchMS = max(fetchMS, cache.imageFetchMS(j, typeName))
	}
	return cache.now.WallMS + fetchMS + runtimeMS + min(runtimeMS/4, secondsToMS(cache.params.HeartbeatS))
}

func (cache *stateCache) imageFetchMS(j *Job, typ string) int64 {
	request := j.resourceRequest()
	return cache.placementCatalog.FetchMS(&request, typ)
}

// isOfferingAllowed tells whether a job may use a kind of machine at all.
func (cache *stateCache) isOfferingAllowed(j *Job, typ, zone string, spot bool) bool {
	request := j.resourceRequest()
	return cache.placementCatalog.IsAllowed(&request, planner.InstanceOffering{Type: typ, Zone: zone, Spot: spot})
}

// fitsType tells whether some machine of a type may take a job.
func (cache *stateCache) fitsType(j *Job, t *MachineType) bool {
	request := j.resourceRequest()
	return cache.placementCatalog.FitsType(&request, cache.placementCatalog.Type(t.Name))
}

// isTypeScarce tells whether a type should be left to others by a job that fits other
// types too: some live job fits no other.
func (cache *stateCache) isTypeScarce(j *Job, t *MachineType) bool {
	request := j.resourceRequest()
	return cache.placementCatalog.ShouldAvoid(&request, t.Name)
}

// syncMirror brings the mirror up to everything that was written before now.
func (cache *stateCache) syncMirror(onResult func(Outcome)) {
	cache.store.sendStore(
		StoreOp{Kind: StoreWatch, Urgency: UrgencyRead, Key: livePrefix, Rev: cache.mirrorRevision},
		func(result StoreResult) {
			if result.Outcome == OK && cache.store.storeAccess.IsSynced() {
				cache.applyWatchResult(result)
			}
			onResult(result.Outcome)
		},
	)
}

// machineCapacity bounds what all tasks on a machine use: workers refuse more.
func (cache *stateCache) machineCapacity(mc *machine) reconcile.ResourceUsage {
	if mc == nil || cache.machineTypes[mc.rec.Type] == nil {
		return reconcile.ResourceUsage{CPUs: 1e12, GPUs: 1e12}
	}
	r := cache.machineTypes[mc.rec.Type].Resources
	return reconcile.ResourceUsage{CPUs: r.CPUs, GPUs: r.GPUs}
}
