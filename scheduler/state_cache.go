package scheduler

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/planner"
)

// stateCache is the member's cache of all live records in the state service. It is
// updated by an initial list, then by watches, and by the results of this member's own
// requests. It owns the revisions of all keys and the records that several components
// read. It passes other records to their owners through recordHandlers. It may lag behind
// the state service.
type stateCache struct {
	*environment
	store *storeClient

	keyRevisions    map[string]uint64 // revision of every cached key
	tombstones      map[string]uint64 // revisions of the removals after appliedRevision
	appliedRevision uint64            // all changes up to this one are applied
	completeUntilMS int64             // monotonic time; all earlier changes were applied before the latest refresh

	jobs             map[string]*job
	shardClaims      map[string]claimRecord
	machineTypes     map[string]*MachineType
	placementCatalog *planner.Catalog // the machine types in the form that the planner uses
	settings         Settings
	extensionRecords map[string]KeyValue // records of extensions, by key
	leader           string              // member ID of the leader

	invalidatePlans func() // called after a change that affects plans
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

// applyWatchResult applies the changes from a watch that started at a revision of the cache.
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

// applySnapshot applies a list of all live records at a revision. It removes cached records
// that are not in the list, in key order.
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

// applyChange applies a change of one key, unless the cache already has a newer state of the key.
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
			cache.log(Warn, "cannot decode stored record", "key", kv.Key, "error", err)
		}
		return
	}
}

// isStale reports whether a change is not newer than the cached state of its key.
func (cache *stateCache) isStale(kv KeyValue) bool {
	// A read that was in flight during the removal of its key can return a record that was
	// removed since. Applying it restarted a cancelled job.
	return kv.Rev <= cache.keyRevisions[kv.Key] || cache.wasRemovedSince(kv.Key, kv.Rev)
}

// wasRemovedSince reports whether the record that a key had at a revision has been removed
// and not been replaced. The cache contains all changes up to appliedRevision, so it knows
// each key with such a revision that still exists.
func (cache *stateCache) wasRemovedSince(key string, revision uint64) bool {
	if _, known := cache.keyRevisions[key]; known {
		return false
	}
	isApplied := cache.store.storeAccess.IsSynced() && revision <= cache.appliedRevision
	return isApplied || revision <= cache.tombstones[key]
}

// updateRevision records the revision of a change. It reports whether the change has an
// effect; the removal of an unknown key has none.
func (cache *stateCache) updateRevision(kv KeyValue) bool {
	if kv.Value != nil {
		cache.keyRevisions[kv.Key] = kv.Rev
		return true
	}
	// A watch that lags behind this member's own removal must not restore the key.
	// Otherwise a job that has ended would start again.
	if kv.Rev > cache.appliedRevision {
		cache.tombstones[kv.Key] = kv.Rev
	}
	_, known := cache.keyRevisions[kv.Key]
	delete(cache.keyRevisions, kv.Key)
	return known
}

// recordHandler passes the changes of one kind of record to the component that owns its state.
type recordHandler struct {
	prefix string
	exact  bool                 // the prefix is the complete key
	apply  func(KeyValue) error // a change without a value is a removal
}

// handles reports whether the handler is responsible for a key.
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

// applySettingsRecord ignores an invalid record and keeps the last valid settings.
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

// resourcesOf returns the resources of a machine type, or none if the type is unknown.
func resourcesOf(t *MachineType) availability.Resources {
	if t == nil {
		return availability.Resources{}
	}
	return t.Resources
}

// fillDeadline returns the wall-clock time in milliseconds until which the planner fills a
// provisioned machine with tasks of a group. This is the group's deadline or, if the
// machine becomes ready too late for it, the end of one task in each of its queues.
func (cache *stateCache) fillDeadline(g *taskGroup, viewMachine *planner.Machine) int64 {
	fetchMS := cache.imageFetchMS(g.job, viewMachine.Offering.Type)
	paddedRuntimeMS := int64(float64(g.LengthMS) * planner.RuntimePadding)
	return max(g.DeadlineMS, viewMachine.ReadyAtMS+fetchMS+paddedRuntimeMS)
}

// isCurrent reports whether a task range still belongs to a live job and to an owned shard. A
// range that moved to a peer does not. Starting such a range from a reservation ran its tasks
// twice.
func (cache *stateCache) isCurrent(tr *taskRange) bool {
	return cache.jobs[tr.job.rec.Job.ID] == tr.job && tr.job.taskRanges[tr.bounds.Lo] == tr
}

// maxMessageAgeMS returns the maximum age of peer messages and status records that decisions use.
func (cache *stateCache) maxMessageAgeMS() int64 { return 4 * secondsToMS(cache.settings.SummaryS) }

// immediateDeadline returns the wall-clock time by which a task must end if a peer starts
// it immediately. It includes the image fetch, the task's runtime, and a margin because
// summaries are slightly out of date.
func (cache *stateCache) immediateDeadline(j *Job, runtimeMS int64) int64 {
	fetchMS := int64(0)
	for typeName := range cache.machineTypes {
		fetchMS = max(fetchMS, cache.imageFetchMS(j, typeName))
	}
	return cache.now.WallMS + fetchMS + runtimeMS + min(runtimeMS/4, secondsToMS(cache.params.HeartbeatS))
}

// imageFetchMS returns how long a machine of a type takes to fetch the job's image.
func (cache *stateCache) imageFetchMS(j *Job, typ string) int64 {
	request := j.resourceRequest()
	return cache.placementCatalog.FetchMS(&request, typ)
}

// isOfferingAllowed reports whether a job may use machines of an instance offering.
func (cache *stateCache) isOfferingAllowed(j *Job, typ, zone string, spot bool) bool {
	request := j.resourceRequest()
	return cache.placementCatalog.IsAllowed(&request, planner.InstanceOffering{Type: typ, Zone: zone, Spot: spot})
}

// fitsType reports whether an empty machine of a type can run a task of a job.
func (cache *stateCache) fitsType(j *Job, t *MachineType) bool {
	request := j.resourceRequest()
	return cache.placementCatalog.FitsType(&request, cache.placementCatalog.Type(t.Name))
}

// isTypeScarce reports whether a job should avoid a machine type: the job also fits other
// types, while some live job fits only this one.
func (cache *stateCache) isTypeScarce(j *Job, t *MachineType) bool {
	request := j.resourceRequest()
	return cache.placementCatalog.ShouldAvoid(&request, t.Name)
}

// syncNow updates the cache with every write that precedes the call, by a watch with zero
// wait.
func (cache *stateCache) syncNow(onResult func(StoreResult)) {
	cache.store.sendStore(
		StoreOp{Kind: StoreWatch, Urgency: UrgencyRead, Key: livePrefix, Rev: cache.appliedRevision},
		func(result StoreResult) {
			if result.Outcome == OK && cache.store.storeAccess.IsSynced() {
				cache.applyWatchResult(result)
			}
			onResult(result)
		},
	)
}

// machineCapacity returns the CPUs, GPUs and memory of a machine, which its worker enforces. They are
// unlimited if the machine type is unknown.
func (cache *stateCache) machineCapacity(mc *machine) availability.Resources {
	if mc == nil || cache.machineTypes[mc.rec.Type] == nil {
		return availability.Resources{CPUs: unlimitedAmount, GPUs: unlimitedAmount, MemoryGB: unlimitedAmount}
	}
	return withoutDisk(cache.machineTypes[mc.rec.Type].Resources)
}
