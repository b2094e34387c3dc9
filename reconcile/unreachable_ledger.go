package reconcile

import (
	"maps"
	"slices"
	"strings"
)

// ResourceUsage is what tasks take of what a team's limit counts.
type ResourceUsage struct {
	CPUs float64 `json:"c,omitempty"`
	GPUs float64 `json:"g,omitempty"`
}

// Add returns the sum.
func (a ResourceUsage) Add(b ResourceUsage) ResourceUsage {
	return ResourceUsage{a.CPUs + b.CPUs, a.GPUs + b.GPUs}
}

// UnreachableMachine is what a machine that went silent holds at most, in the store for whoever
// claims its shard next: which ranges its tasks are of, and what they take of
// their teams' limits.
type UnreachableMachine struct {
	Ranges      []string                 `json:"r,omitempty"`
	UsageByTeam map[string]ResourceUsage `json:"u,omitempty"`
}

// maxEncodedBytes bounds what a note takes in a record.
func (u *UnreachableMachine) maxEncodedBytes(id string) int {
	size := len(id) + 24
	for _, taskRange := range u.Ranges {
		size += len(taskRange) + 3
	}
	for team := range u.UsageByTeam {
		size += len(team) + 64
	}
	return size
}

// UnreachableLedger is a claim's notes. A note holds from the moment in which it is made, when
// it may not be stored yet, until a record without it is: nothing starts on its
// machine meanwhile. So whatever the store says of a machine, more is not on it,
// whichever write was the last that worked and whenever the claim ends. Writes
// void each other by the record's revision; one whose outcome is unknown proves
// nothing.
type UnreachableLedger struct {
	entries   map[string]UnreachableMachine
	removed   map[string]bool // spoke again, or is no more: to be left out of the next record
	sizeBytes int
	dirty     bool
}

func newUnreachableLedger() UnreachableLedger {
	return UnreachableLedger{entries: map[string]UnreachableMachine{}, removed: map[string]bool{}}
}

// Restore takes the notes of earlier claims, as the store has them.
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

// Entry tells what a machine holds at most, if there is a note of it.
func (l *UnreachableLedger) Entry(id string) (UnreachableMachine, bool) {
	entry, ok := l.entries[id]
	return entry, ok
}

// Len is how many machines have notes.
func (l *UnreachableLedger) Len() int { return len(l.entries) }

// Put notes what a silent machine holds, if there is room for it within a
// number of bytes.
func (l *UnreachableLedger) Put(id string, entry UnreachableMachine, maxBytes int) bool {
	slices.Sort(entry.Ranges)
	entry.Ranges = slices.Compact(entry.Ranges)
	if l.sizeBytes+entry.maxEncodedBytes(id) > maxBytes {
		return false
	}
	// It may say less than an older one, since nothing started meanwhile.
	l.set(id, entry)
	delete(l.removed, id)
	l.dirty = true
	return true
}

// Remove drops the note of a machine that spoke again or is no more. It holds
// until a record without it is stored.
func (l *UnreachableLedger) Remove(id string) {
	if _, ok := l.entries[id]; ok && !l.removed[id] {
		l.removed[id] = true
		l.dirty = true
	}
}

// HasUnstoredChanges tells whether the store has other notes than these.
func (l *UnreachableLedger) HasUnstoredChanges() bool { return l.dirty }

// BuildRecord is the notes that the store should have.
func (l *UnreachableLedger) BuildRecord() map[string]UnreachableMachine {
	record := maps.Clone(l.entries)
	for id := range l.removed {
		delete(record, id)
	}
	l.dirty = false
	return record
}

// ConfirmStored tells that a record is in the store, and returns the machines whose
// notes hold no longer.
func (l *UnreachableLedger) ConfirmStored(record map[string]UnreachableMachine) (released []string) {
	for id := range l.removed {
		if _, ok := record[id]; !ok {
			entry := l.entries[id]
			l.sizeBytes -= entry.maxEncodedBytes(id)
			delete(l.entries, id)
			delete(l.removed, id)
			released = append(released, id)
		}
	}
	slices.SortFunc(released, strings.Compare)
	return released
}

// MarkStoreFailed tells that a record may not be in the store.
func (l *UnreachableLedger) MarkStoreFailed() { l.dirty = true }
