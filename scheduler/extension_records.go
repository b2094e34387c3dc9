package scheduler

import "strings"

// ExtensionPrefix begins the keys that subsystems beside the core keep in the state
// cache, each under a letter of its own. They are for small records: that something
// is live, and which shard owns it.
const ExtensionPrefix = extensionPrefix

// ClaimKey is the key of a shard's claim. A precondition on it restricts a write to the
// owner of the shard.
func ClaimKey(shard string) string { return claimKey(shard) }

// ExtensionView is what a subsystem beside the core sees of the core's state.
type ExtensionView struct {
	HasAuthority bool
	ClaimTokens  map[string]uint64 // fencing tokens of this member's shards that are ready
	KVs          []KeyValue        // under the requested prefix, sorted by key
	EndedJobs    []string          // of the requested jobs: those that are not live
}

// ExtensionView returns the state that a subsystem acts by: records under prefix, and which
// of the jobs have ended. Until the cache is synced, only HasAuthority is set.
func (c *Controller) ExtensionView(now Now, prefix string, jobs []string) ExtensionView {
	c.now = now
	view := ExtensionView{HasAuthority: c.store.hasAuthority(), ClaimTokens: map[string]uint64{}}
	if !c.store.storeAccess.IsSynced() {
		return view
	}
	for name, s := range c.shards.ownedShards {
		if s.ready && !s.releasing {
			view.ClaimTokens[name] = s.token
		}
	}
	for key, kv := range sortedByKey(c.cache.extensionRecords) {
		if strings.HasPrefix(key, prefix) {
			view.KVs = append(view.KVs, kv)
		}
	}
	for _, id := range jobs {
		if c.cache.jobs[id] == nil {
			view.EndedJobs = append(view.EndedJobs, id)
		}
	}
	return view
}
