package schedules

import (
	"encoding/json"
	"strings"

	"github.com/grebedock/grebedock/scheduler"
)

// applyChangeIndex reads what changed of a shard's schedules: by name where its mark
// tells, else all.
func (h *Host) applyChangeIndex(name string, rec changeIndexRecord, rev uint64) {
	s := h.shards[name]
	if s == nil {
		s = &shard{name: name, token: h.view.ClaimTokens[name], entries: map[string]*entry{}}
		h.shards[name] = s
		h.loadShard(s, rec, rev)
		return
	}
	if s.loading || rev <= s.indexRev {
		return
	}
	if n := rec.Seq - s.sequence; n > 0 && n <= len(rec.Names) {
		for _, x := range rec.Names[len(rec.Names)-n:] {
			h.reloadEntry(s, x)
		}
		s.sequence, s.indexRev = rec.Seq, rev
		return
	}
	h.dropShard(s)
}

// loadShard reads all definitions of a shard and their progress.
func (h *Host) loadShard(s *shard, rec changeIndexRecord, rev uint64) {
	s.loading = true
	h.listRecords(s, definitionPrefix+s.name+"/", func(defs []scheduler.KeyValue) {
		h.listRecords(s, progressPrefix+s.name+"/", func(progs []scheduler.KeyValue) {
			h.setEntries(s, defs, progs)
			s.loading = false
			s.sequence, s.indexRev = rec.Seq, rev
			h.Counters.Loaded++
			h.Log("schedules read", "shard", s.name, "schedules", len(s.entries))
		})
	})
}

// listRecords reads all records with a prefix while the shard is ours.
func (h *Host) listRecords(s *shard, prefix string, onRecords func([]scheduler.KeyValue)) {
	var all []scheduler.KeyValue
	page := func(batch []scheduler.KeyValue) bool {
		all = append(all, batch...)
		return h.shards[s.name] == s
	}
	h.List(scheduler.UrgencyBackground, prefix, page, func(ok bool) {
		switch {
		case h.shards[s.name] != s:
		case !ok:
			h.dropShard(s) // the next tick begins anew
		default:
			onRecords(all)
		}
	})
}

// setEntries takes all definitions of a shard and their progress.
func (h *Host) setEntries(s *shard, defs, progs []scheduler.KeyValue) {
	byName := map[string]scheduler.KeyValue{}
	for _, it := range progs {
		byName[strings.TrimPrefix(it.Key, progressPrefix+s.name+"/")] = it
	}
	for _, it := range defs {
		name := strings.TrimPrefix(it.Key, definitionPrefix+s.name+"/")
		h.setEntry(s.addEntry(name), it, byName[name])
	}
}

// addEntry makes the entry of a schedule that was not known.
func (s *shard) addEntry(name string) *entry {
	e := &entry{shard: s, name: name, index: -1, submitted: map[string]bool{}}
	s.entries[name] = e
	return e
}

// reloadEntry reads one schedule.
func (h *Host) reloadEntry(s *shard, name string) {
	e := s.entries[name]
	if e == nil {
		e = s.addEntry(name)
	}
	e.busy = true
	h.dequeue(e)
	retry := func() {
		e.busy = false
		h.retryLater(e)
	}
	h.Get(scheduler.UrgencyBackground, definitionKey(s.name, name), func(def scheduler.KeyValue, ok bool) {
		switch {
		case h.shards[s.name] != s:
			return
		case !ok:
			retry()
			return
		case def.Rev == 0:
			delete(s.entries, name)
			return
		}
		h.Get(scheduler.UrgencyBackground, progressKey(s.name, name), func(prog scheduler.KeyValue, ok bool) {
			switch {
			case h.shards[s.name] != s:
			case ok:
				h.setEntry(e, def, prog)
			default:
				retry()
			}
		})
	})
}

// retryLater reads a schedule once more in a second.
func (h *Host) retryLater(e *entry) {
	e.definitionRev = 0
	h.enqueueAt(e, h.Now.WallMS+1000)
}

// setEntry takes a definition and its progress as the store has them.
func (h *Host) setEntry(e *entry, definition, progress scheduler.KeyValue) {
	e.busy = false
	e.definition, e.definitionRev, e.progress, e.progressRev = definitionRecord{}, definition.Rev, progressRecord{}, progress.Rev
	e.current, e.previous, e.precedingRun = nil, nil, ""
	if err := json.Unmarshal(definition.Value, &e.definition); err != nil {
		h.Log("schedule unreadable", "schedule", e.name, "error", err)
		return
	}
	if progress.Value != nil {
		if err := json.Unmarshal(progress.Value, &e.progress); err != nil {
			h.Log("progress unreadable", "schedule", e.name, "error", err)
			return
		}
	}
	e.current = &version{e.definition.Version, e.definition.SinceMS, e.definition.Spec, e.definition.Calendar}
	if err := e.current.validate(); err != nil {
		h.Log("schedule unreadable", "schedule", e.name, "error", err)
		e.current = nil
		return
	}
	if e.definition.Previous != nil && e.definition.Previous.validate() == nil {
		e.previous = e.definition.Previous
	}
	h.enqueueNext(e)
	h.submitPending(e)
}
