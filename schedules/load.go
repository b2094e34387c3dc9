package schedules

import (
	"encoding/json"
	"strings"

	"github.com/grebedock/grebedock/scheduler"
)

// applyChangeIndex loads a new shard, or reloads the changed schedules of a loaded one. If the index does not
// cover all changes since the last one applied, it drops the shard, and the next tick loads all its schedules.
func (h *Host) applyChangeIndex(name string, index changeIndexRecord, revision uint64) {
	s := h.shards[name]
	if s == nil {
		s = &shard{name: name, token: h.view.ClaimTokens[name], entries: map[string]*entry{}}
		h.shards[name] = s
		h.loadShard(s, index, revision)
		return
	}
	if s.loading || revision <= s.indexRev {
		return
	}
	changed, ok := index.changesSince(s.sequence)
	if !ok {
		h.dropShard(s) // the next tick loads it again
		return
	}
	for _, schedule := range changed {
		h.reloadEntry(s, schedule)
	}
	s.sequence, s.indexRev = index.Seq, revision
}

// loadShard reads all definitions and progress records of a shard.
func (h *Host) loadShard(s *shard, index changeIndexRecord, revision uint64) {
	s.loading = true
	h.listRecords(s, definitionPrefix+s.name+"/", func(definitions []scheduler.KeyValue) {
		h.listRecords(s, progressPrefix+s.name+"/", func(progress []scheduler.KeyValue) {
			h.setEntries(s, definitions, progress)
			s.loading = false
			s.sequence, s.indexRev = index.Seq, revision
			h.Counters.Loaded++
			h.Log("schedules loaded", "shard", s.name, "schedules", len(s.entries))
		})
	})
}

// listRecords reads all records with a prefix. It does not call onRecords if the shard is dropped during the
// read; if the read fails, it drops the shard.
func (h *Host) listRecords(s *shard, prefix string, onRecords func([]scheduler.KeyValue)) {
	var records []scheduler.KeyValue
	onPage := func(page []scheduler.KeyValue) bool {
		records = append(records, page...)
		return h.shards[s.name] == s
	}
	h.List(scheduler.UrgencyBackground, prefix, onPage, func(ok bool) {
		switch {
		case h.shards[s.name] != s:
		case !ok:
			h.dropShard(s) // the next tick loads it again
		default:
			onRecords(records)
		}
	})
}

// setEntries adds an entry for each definition of a shard, with its progress.
func (h *Host) setEntries(s *shard, definitions, progress []scheduler.KeyValue) {
	progressByName := map[string]scheduler.KeyValue{}
	for _, kv := range progress {
		progressByName[strings.TrimPrefix(kv.Key, progressPrefix+s.name+"/")] = kv
	}
	for _, kv := range definitions {
		name := strings.TrimPrefix(kv.Key, definitionPrefix+s.name+"/")
		h.setEntry(s.addEntry(name), kv, progressByName[name])
	}
}

// addEntry adds an entry for a schedule that the shard does not have.
func (s *shard) addEntry(name string) *entry {
	e := &entry{shard: s, name: name, index: -1, submitted: map[string]bool{}}
	s.entries[name] = e
	return e
}

// reloadEntry reads a schedule's definition and progress again. The host does not decide the schedule until both
// are read.
func (h *Host) reloadEntry(s *shard, name string) {
	e := s.entries[name]
	if e == nil {
		e = s.addEntry(name)
	}
	e.inFlight = true
	h.dequeue(e)
	onUnavailable := func() {
		e.inFlight = false
		h.reloadLater(e)
	}
	h.Get(scheduler.UrgencyBackground, definitionKey(s.name, name), func(definition scheduler.KeyValue, ok bool) {
		switch {
		case h.shards[s.name] != s:
			return
		case !ok:
			onUnavailable()
			return
		case definition.Rev == 0:
			delete(s.entries, name)
			return
		}
		h.Get(scheduler.UrgencyBackground, progressKey(s.name, name), func(progress scheduler.KeyValue, ok bool) {
			switch {
			case h.shards[s.name] != s:
			case ok:
				h.setEntry(e, definition, progress)
			default:
				onUnavailable()
			}
		})
	})
}

// reloadLater queues an entry to be read again after retryDelayMS. A definitionRev of 0 makes mayDecide reload it.
func (h *Host) reloadLater(e *entry) {
	e.definitionRev = 0
	h.enqueueAt(e, h.Now.WallMS+retryDelayMS)
}

// setEntry sets an entry's state from the stored definition and progress.
func (h *Host) setEntry(e *entry, definition, progress scheduler.KeyValue) {
	e.inFlight = false
	e.definition, e.definitionRev = definitionRecord{}, definition.Rev
	e.progress, e.progressRev = progressRecord{}, progress.Rev
	e.current, e.previous, e.precedingRun = nil, nil, ""
	if err := json.Unmarshal(definition.Value, &e.definition); err != nil {
		h.Log("cannot decode schedule definition", "schedule", e.name, "error", err)
		return
	}
	if progress.Value != nil {
		if err := json.Unmarshal(progress.Value, &e.progress); err != nil {
			h.Log("cannot decode schedule progress", "schedule", e.name, "error", err)
			return
		}
	}
	current := e.definition.version()
	if err := current.validate(); err != nil {
		h.Log("invalid schedule definition", "schedule", e.name, "error", err)
		return
	}
	e.current = current
	if previous := e.definition.Previous; previous != nil && previous.validate() == nil {
		e.previous = previous
	}
	h.enqueueNext(e)
	h.submitPending(e)
}
