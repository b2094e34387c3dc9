package reconcile

import (
	"maps"
	"slices"
	"strings"
)

// ResourceUsage is what tasks use of the resources that a team's limit counts.
type ResourceUsage struct {
	CPUs float64 `json:"c,omitempty"`
	GPUs float64 `json:"g,omitempty"`
}

// Add returns the sum.
func (a ResourceUsage) Add(b ResourceUsage) ResourceUsage {
	return ResourceUsage{a.CPUs + b.CPUs, a.GPUs + b.GPUs}
}

// UnreachableMachine is an upper bound on what runs on a machine that stopped sending
// heartbeats, stored for whoever claims its shard next: the task ranges that its tasks belong
// to, and what they use of their teams' limits.
type UnreachableMachine struct {
	Ranges      []string                 `json:"r,omitempty"`
	UsageByTeam map[string]ResourceUsage `json:"u,omitempty"`
}

// What the JSON of an entry takes beside its names, in bytes, rounded up.
const (
	entryOverheadBytes = 24
	rangeOverheadBytes = 3
	usageOverheadBytes = 64
)

// maxEncodedBytes is an upper bound on the size of the entry in a record.
func (u *UnreachableMachine) maxEncodedBytes(id string) int {
	size := len(id) + entryOverheadBytes
	for _, taskRange := range u.Ranges {
		size += len(taskRange) + rangeOverheadBytes
	}
	for team := range u.UsageByTeam {
		size += len(team) + usageOverheadBytes
	}
	return size
}

// UnreachableLedger holds a claim's entries for unreachable machines. An entry is binding from
// the moment in which it is made, when it may not be stored yet, until a record without it is
// stored: nothing starts on its machine meanwhile. So whatever the store says of a machine, no
// more than that runs on it, whichever write was the last that succeeded and whenever the claim
// ends. Writes have the record's revision as their precondition, so at most one succeeds; one
// whose outcome is unknown proves nothing.
type UnreachableLedger struct {
	entries   map[string]UnreachableMachine
	removed   map[string]bool // reachable again, or removed: to be left out of the next record
	sizeBytes int
	dirty     bool
}

func newUnreachableLedger() UnreachableLedger {
	return UnreachableLedger{entries: map[string]UnreachableMachine{}, removed: map[string]bool{}}
}

// Restore takes over the entries of earlier claims, as they were read from the store.
func (l *UnreachableLedger) Restore(entries map[string]UnreachableMachine) {
	for id, entry := range entries {
		l.set(id, entry)
	}
}

func (l *UnreachableLedger) set(id string, entry UnreachableMachine) {
	if old, ok := l.entries[id]; ok {
		l.sizeBytes -= old.maxEncodedBytes(id)
	}
	l.entries[id] = entry
	l.sizeBytes += entry.maxEncodedBytes(id)
}

// Entry returns the entry of a machine, if there is one.
func (l *UnreachableLedger) Entry(id string) (UnreachableMachine, bool) {
	entry, ok := l.entries[id]
	return entry, ok
}

// Len returns how many machines have entries.
func (l *UnreachableLedger) Len() int { return len(l.entries) }

// Put makes an entry for an unreachable machine, unless the record could then exceed maxBytes.
// It reports whether the entry was made.
func (l *UnreachableLedger) Put(id string, entry UnreachableMachine, maxBytes int) bool {
	slices.Sort(entry.Ranges)
	entry.Ranges = slices.Compact(entry.Ranges)
	if l.sizeBytes+entry.maxEncodedBytes(id) > maxBytes {
		return false
	}
	// It may list less than an older one, since nothing was started meanwhile.
	l.set(id, entry)
	delete(l.removed, id)
	l.dirty = true
	return true
}

// Remove marks the entry of a machine that is reachable again, or removed. The entry stays
// binding until a record without it is stored.
func (l *UnreachableLedger) Remove(id string) {
	if _, ok := l.entries[id]; ok && !l.removed[id] {
		l.removed[id] = true
		l.dirty = true
	}
}

// HasUnstoredChanges reports whether the store may have other entries than these.
func (l *UnreachableLedger) HasUnstoredChanges() bool { return l.dirty }

// BuildRecord returns the entries that the store should have. The caller reports the outcome of
// the write with ConfirmStored or MarkStoreFailed.
func (l *UnreachableLedger) BuildRecord() map[string]UnreachableMachine {
	record := maps.Clone(l.entries)
	for id := range l.removed {
		delete(record, id)
	}
	l.dirty = false
	return record
}

// ConfirmStored notes that a record is in the store. It returns, sorted, the machines whose
// entries are no longer binding.
func (l *UnreachableLedger) ConfirmStored(record map[string]UnreachableMachine) (released []string) {
	for id := range l.removed {
		if _, ok := record[id]; ok {
			continue
		}
		entry := l.entries[id]
		l.sizeBytes -= entry.maxEncodedBytes(id)
		delete(l.entries, id)
		delete(l.removed, id)
		released = append(released, id)
	}
	slices.SortFunc(released, strings.Compare)
	return released
}

// MarkStoreFailed notes that the last record may not be in the store.
func (l *UnreachableLedger) MarkStoreFailed() { l.dirty = true }
