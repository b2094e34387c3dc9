package scheduler

import "github.com/grebedock/grebedock/planner"

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
