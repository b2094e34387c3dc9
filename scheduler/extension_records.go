package scheduler

import (
	"strings"
)

// ExtensionPrefix begins the keys that subsystems beside the core keep in the
// mirror, each under a letter of its own. They are for small records that say
// that something lives and which shard owns it.
const ExtensionPrefix = extensionPrefix

// ClaimKey is the key of a shard's claim: a guard on it makes a write of whoever
// holds the shard.
func ClaimKey(shard string) string { return claimKey(shard) }

// ExtensionView is what a subsystem beside the core sees of it.
type ExtensionView struct {
	HasAuthority bool
	ClaimTokens  map[string]uint64 // shards of this member that are ready, with their tokens
	KVs          []KeyValue        // under the prefix that was asked for, by key
	EndedJobs    []string          // of the jobs that were asked about: those that the mirror lacks
}

// ExtensionView tells how the member stands. Until it has a mirror all of it is empty.
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
