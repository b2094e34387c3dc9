package reconcile

import (
	"maps"
	"slices"
	"strings"
)

// ResourceUsage is how much tasks use of the resources that count towards a team's limit.
type ResourceUsage struct {
	CPUs float64 `json:"c,omitempty"`
	GPUs float64 `json:"g,omitempty"`
}

// Add returns the sum of two usages.
func (a ResourceUsage) Add(b ResourceUsage) ResourceUsage {
	return ResourceUsage{a.CPUs + b.CPUs, a.GPUs + b.GPUs}
}

// UnreachableMachine is an upper bound on the tasks that run on a machine which stopped sending
// heartbeats. It holds the task ranges of these tasks and their usage of their teams' limits. It is
// stored for the next owner of the shard.
type UnreachableMachine struct {
	Ranges      []string                 `json:"r,omitempty"`
	UsageByTeam map[string]ResourceUsage `json:"u,omitempty"`
}

// The size of the JSON of an entry without its names, in bytes, rounded up.
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

// UnreachableLedger holds a claim's entries for unreachable machines. An entry is binding from its
// creation, before it is stored, until a record without it is stored. The owner starts no task on the
// machine meanwhile. So a stored entry is always an upper bound on the tasks on its machine, regardless
// of which write succeeded last and when the claim ends. Writes have the record's revision as their
// precondition, so at most one succeeds. A write whose outcome is unknown confirms nothing.
type UnreachableLedger struct {
	entries   map[string]UnreachableMachine
	removed   map[string]bool // machines reachable again or removed: the next record omits them
	sizeBytes int
	dirty     bool
}

func newUnreachableLedger() UnreachableLedger {
	return UnreachableLedger{entries: map[string]UnreachableMachine{}, removed: map[string]bool{}}
}

// Restore adds the entries of earlier claims that were read from the store.
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

// Len returns the number of machines with an entry.
func (l *UnreachableLedger) Len() int { return len(l.entries) }

// Put adds or replaces the entry of an unreachable machine, unless the record could then exceed
// maxBytes. It reports whether it did so.
func (l *UnreachableLedger) Put(id string, entry UnreachableMachine, maxBytes int) bool {
	slices.Sort(entry.Ranges)
	entry.Ranges = slices.Compact(entry.Ranges)
	if l.sizeBytes+entry.maxEncodedBytes(id) > maxBytes {
		return false
	}
	// The entry may list less than an older one, since no task was started on the machine meanwhile.
	l.set(id, entry)
	delete(l.removed, id)
	l.dirty = true
	return true
}

// Remove marks for removal the entry of a machine that is reachable again or was removed. The entry
// stays binding until a record without it is stored.
func (l *UnreachableLedger) Remove(id string) {
	if _, ok := l.entries[id]; ok && !l.removed[id] {
		l.removed[id] = true
		l.dirty = true
	}
}

// HasUnstoredChanges reports whether the stored entries may differ from these.
func (l *UnreachableLedger) HasUnstoredChanges() bool { return l.dirty }

// BuildRecord returns the entries to store. The caller reports the outcome of the write with
// ConfirmStored or MarkStoreFailed.
func (l *UnreachableLedger) BuildRecord() map[string]UnreachableMachine {
	record := maps.Clone(l.entries)
	for id := range l.removed {
		delete(record, id)
	}
	l.dirty = false
	return record
}

// ConfirmStored records that a record was stored. It returns, sorted, the machines whose entries are
// no longer binding.
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

// MarkStoreFailed records that the last record may not have been stored.
func (l *UnreachableLedger) MarkStoreFailed() { l.dirty = true }
