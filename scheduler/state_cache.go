package scheduler

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/planner"
	"github.com/grebedock/grebedock/reconcile"
)

// stateCache is the member's replica of all live records of the state service, fed by
// one list and then by watches, and by the results of this member's own requests. It
// owns the revisions, and the records that several owners read; other records it
// passes to their owners by the table of recordHandlers. It may lag behind the store.
type stateCache struct {
	*environment
	store *storeClient

	keyRevisions    map[string]uint64 // revision of every cached key
	tombstones      map[string]uint64 // revisions of removals after appliedRevision
	appliedRevision uint64            // all changes up to this one are applied

	jobs             map[string]*job
	shardClaims      map[string]claimRecord
	machineTypes     map[string]*MachineType
	placementCatalog *planner.Catalog // the machine types as placement uses them
	settings         Settings
	extensionRecords map[string]KeyValue // of subsystems beside the core, by key
	leader           string              // member ID

	invalidatePlans func() // called when something changed that plans depend on
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

// applyWatchResult applies all changes since a revision that the cache had.
func (cache *stateCache) applyWatchResult(result StoreResult) {
	for _, kv := range result.KVs {
		cache.applyChange(kv)
	}
	cache.appliedRevision = max(cache.appliedRevision, result.Rev)
	for key, removedAt := range cache.tombstones {
		if removedAt <= cache.appliedRevision {
			delete(cache.tombstones, key)
		}
	}
}

// applySnapshot applies a list of everything live at a revision. Records that it lacks
// are removed, in the order of their keys.
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
	cache.appliedRevision = revision
	cache.log(Info, "state cache loaded", "keys", len(kvs), "revision", revision)
}

// applyChange applies a change of one key, unless the cache has a newer state of it.
func (cache *stateCache) applyChange(kv KeyValue) {
	if !strings.HasPrefix(kv.Key, livePrefix) {
		return
	}
	if cache.isStale(kv) || !cache.updateRevision(kv) {
		return
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

// isStale reports whether the cache knows a newer state of a key than a change.
func (cache *stateCache) isStale(kv KeyValue) bool {
	keyRevision, known := cache.keyRevisions[kv.Key]
	if kv.Rev <= keyRevision || kv.Rev <= cache.tombstones[kv.Key] {
		return true
	}
	// The cache has everything up to appliedRevision. A read that was in flight while
	// its key was removed is older: applied, it made a cancelled job start again.
	return !known && cache.store.storeAccess.IsSynced() && kv.Rev <= cache.appliedRevision
}

// updateRevision records the revision of a change. It reports whether the change has an
// effect: the removal of an unknown key has none.
func (cache *stateCache) updateRevision(kv KeyValue) bool {
	if kv.Value != nil {
		cache.keyRevisions[kv.Key] = kv.Rev
		return true
	}
	// A watch that lags behind this member's own removal must not bring the key
	// back: a job that is over would start again.
	if kv.Rev > cache.appliedRevision {
		cache.tombstones[kv.Key] = kv.Rev
	}
	_, known := cache.keyRevisions[kv.Key]
	delete(cache.keyRevisions, kv.Key)
	return known
}

// recordHandler applies changes of one kind of record to the owner of its state.
type recordHandler struct {
	prefix string
	exact  bool                 // the prefix is the whole key
	apply  func(KeyValue) error // a change without a value is a removal
}

// handles reports whether the record of a key is of this kind.
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

// applySettingsRecord ignores a record that is invalid: the last valid settings stay.
func (cache *stateCache) applySettingsRecord(kv KeyValue) error {
	settings := DefaultSettings()
	if kv.Value != nil {
		if err := json.Unmarshal(kv.Value, &settings); err != nil || settings.Validate() != nil {
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
		cache.placementCatalog.SetTypes(planner.MachineType{
			Name:      t.Name,
			Resources: t.Resources,
			FetchGBps: t.ImageFetchGBps,
			BootMS:    secondsToMS(t.BootS),
			Zones:     t.Zones,
		})
	}
	cache.invalidatePlans()
}

// resourcesOf is a type's resources, none for an unknown type.
func resourcesOf(t *MachineType) availability.Resources {
	if t == nil {
		return availability.Resources{}
	}
	return t.Resources
}

// fillDeadline is the time of day, in milliseconds, until which a provisioned machine is
// filled with tasks of a group: the group's deadline or, if the machine is ready too
// late for that, the end of one task in each of its queues.
func (cache *stateCache) fillDeadline(g *taskGroup, viewMachine *planner.Machine) int64 {
	fetchMS := cache.imageFetchMS(g.job, viewMachine.Offering.Type)
	paddedRuntimeMS := int64(float64(g.LengthMS) * planner.RuntimePadding)
	return max(g.DeadlineMS, viewMachine.ReadyAtMS+fetchMS+paddedRuntimeMS)
}

// isCurrent reports whether a task range is still one of a live job in this member's
// shards. One that moved to a peer is not: started from a reservation all the same, its
// tasks ran twice.
func (cache *stateCache) isCurrent(tr *taskRange) bool {
	return cache.jobs[tr.job.rec.Job.ID] == tr.job && tr.job.taskRanges[tr.bounds.Lo] == tr
}

// maxMessageAgeMS is the age up to which peers' messages and status records guide decisions.
func (cache *stateCache) maxMessageAgeMS() int64 { return 4 * secondsToMS(cache.settings.SummaryS) }

// immediateDeadline is the time of day by which a task must end that a peer is to start
// at once: its runtime and a margin, since summaries are a moment old.
func (cache *stateCache) immediateDeadline(j *Job, runtimeMS int64) int64 {
	fetchMS := int64(0)
	for typeName := range cache.machineTypes {
		fetchMS = max(fetchMS, cache.imageFetchMS(j, typeName))
	}
	return cache.now.WallMS + fetchMS + runtimeMS + min(runtimeMS/4, secondsToMS(cache.params.HeartbeatS))
}

// imageFetchMS is how long a machine of a type takes to fetch the job's image.
func (cache *stateCache) imageFetchMS(j *Job, typ string) int64 {
	request := j.resourceRequest()
	return cache.placementCatalog.FetchMS(&request, typ)
}

// isOfferingAllowed reports whether a job may use machines of an offering at all.
func (cache *stateCache) isOfferingAllowed(j *Job, typ, zone string, spot bool) bool {
	request := j.resourceRequest()
	return cache.placementCatalog.IsAllowed(&request, planner.InstanceOffering{Type: typ, Zone: zone, Spot: spot})
}

// fitsType reports whether an empty machine of a type can run a task of a job.
func (cache *stateCache) fitsType(j *Job, t *MachineType) bool {
	request := j.resourceRequest()
	return cache.placementCatalog.FitsType(&request, cache.placementCatalog.Type(t.Name))
}

// isTypeScarce reports whether a job that fits other types too should leave a type to
// others, because some live job fits no other.
func (cache *stateCache) isTypeScarce(j *Job, t *MachineType) bool {
	request := j.resourceRequest()
	return cache.placementCatalog.ShouldAvoid(&request, t.Name)
}

// syncNow brings the cache up to everything that was written before the call, by a
// watch that does not wait.
func (cache *stateCache) syncNow(onResult func(Outcome)) {
	cache.store.sendStore(
		StoreOp{Kind: StoreWatch, Urgency: UrgencyRead, Key: livePrefix, Rev: cache.appliedRevision},
		func(result StoreResult) {
			if result.Outcome == OK && cache.store.storeAccess.IsSynced() {
				cache.applyWatchResult(result)
			}
			onResult(result.Outcome)
		},
	)
}

// machineCapacity is the resources of a machine, which workers enforce; unlimited if its
// type is unknown.
func (cache *stateCache) machineCapacity(mc *machine) reconcile.ResourceUsage {
	if mc == nil || cache.machineTypes[mc.rec.Type] == nil {
		return reconcile.ResourceUsage{CPUs: 1e12, GPUs: 1e12}
	}
	r := cache.machineTypes[mc.rec.Type].Resources
	return reconcile.ResourceUsage{CPUs: r.CPUs, GPUs: r.GPUs}
}
