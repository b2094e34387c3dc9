package scheduler

import "strings"

// ExtensionPrefix is the key prefix of the extensions' records in the state cache. Each
// extension uses its own letter after the prefix. The records are small: they state that
// an object is live and which shard owns it.
const ExtensionPrefix = extensionPrefix

// ClaimKey returns the key of a shard's claim. A precondition on the key restricts a write
// to the owner of the shard.
func ClaimKey(shard string) string { return claimKey(shard) }

// ExtensionView is the part of the Controller's state that an extension can read.
type ExtensionView struct {
	HasAuthority bool
	ClaimTokens  map[string]uint64 // fencing tokens of the ready shards that this member owns, by shard
	KVs          []KeyValue        // records under the requested prefix, sorted by key
	EndedJobs    []string          // the requested jobs that are not live
}

// ExtensionView returns the state that an extension bases its decisions on: the records
// under prefix, and which of the jobs have ended. It sets only HasAuthority until the
// state cache is synced.
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
