package schedules

import (
	"encoding/json"
	"strings"

	"github.com/grebedock/grebedock/scheduler"
)

// follow reads what changed of a shard's schedules: by name where its mark
// tells, else all.
func (h *Host) follow(name string, rec markRecord, rev uint64) {
	s := h.shards[name]
	if s == nil {
		s = &shard{name: name, token: h.view.Claims[name], entries: map[string]*entry{}}
		h.shards[name] = s
		h.loadAll(s, rec, rev)
		return
	}
	if s.loading || rev <= s.rev {
		return
	}
	if n := rec.Seq - s.seq; n > 0 && n <= len(rec.Names) {
		for _, x := range rec.Names[len(rec.Names)-n:] {
			h.reload(s, x)
		}
		s.seq, s.rev = rec.Seq, rev
		return
	}
	h.drop(s)
}

// loadAll reads all definitions of a shard and their progress.
func (h *Host) loadAll(s *shard, rec markRecord, rev uint64) {
	s.loading = true
	h.listAll(s, defPrefix+s.name+"/", func(defs []scheduler.Item) {
		h.listAll(s, progPrefix+s.name+"/", func(progs []scheduler.Item) {
			h.setAll(s, defs, progs)
			s.loading = false
			s.seq, s.rev = rec.Seq, rev
			h.Counters.Loaded++
			h.Log("schedules read", "shard", s.name, "schedules", len(s.entries))
		})
	})
}

// listAll reads all records with a prefix while the shard is ours.
func (h *Host) listAll(s *shard, prefix string, done func([]scheduler.Item)) {
	var all []scheduler.Item
	page := func(some []scheduler.Item) bool {
		all = append(all, some...)
		return h.shards[s.name] == s
	}
	h.List(scheduler.Progress, prefix, page, func(ok bool) {
		switch {
		case h.shards[s.name] != s:
		case !ok:
			h.drop(s) // the next tick begins anew
		default:
			done(all)
		}
	})
}

// setAll takes all definitions of a shard and their progress.
func (h *Host) setAll(s *shard, defs, progs []scheduler.Item) {
	byName := map[string]scheduler.Item{}
	for _, it := range progs {
		byName[strings.TrimPrefix(it.Key, progPrefix+s.name+"/")] = it
	}
	for _, it := range defs {
		name := strings.TrimPrefix(it.Key, defPrefix+s.name+"/")
		h.set(s.add(name), it, byName[name])
	}
}

// add makes the entry of a schedule that was not known.
func (s *shard) add(name string) *entry {
	e := &entry{shard: s, name: name, index: -1, submitted: map[string]bool{}}
	s.entries[name] = e
	return e
}

// reload reads one schedule.
func (h *Host) reload(s *shard, name string) {
	e := s.entries[name]
	if e == nil {
		e = s.add(name)
	}
	e.busy = true
	h.unqueue(e)
	again := func() {
		e.busy = false
		h.again(e)
	}
	h.Get(scheduler.Progress, defKey(s.name, name), func(def scheduler.Item, ok bool) {
		switch {
		case h.shards[s.name] != s:
			return
		case !ok:
			again()
			return
		case def.Rev == 0:
			delete(s.entries, name)
			return
		}
		h.Get(scheduler.Progress, progKey(s.name, name), func(prog scheduler.Item, ok bool) {
			switch {
			case h.shards[s.name] != s:
			case ok:
				h.set(e, def, prog)
			default:
				again()
			}
		})
	})
}

// again reads a schedule once more in a second.
func (h *Host) again(e *entry) {
	e.defRev = 0
	h.enqueueAt(e, h.Now.Wall+1000)
}

// set takes a definition and its progress as the store has them.
func (h *Host) set(e *entry, def, prog scheduler.Item) {
	e.busy = false
	e.def, e.defRev, e.prog, e.progRev = defRecord{}, def.Rev, progRecord{}, prog.Rev
	e.cur, e.old, e.asked = nil, nil, ""
	if err := json.Unmarshal(def.Value, &e.def); err != nil {
		h.Log("schedule unreadable", "schedule", e.name, "error", err)
		return
	}
	if prog.Value != nil {
		if err := json.Unmarshal(prog.Value, &e.prog); err != nil {
			h.Log("progress unreadable", "schedule", e.name, "error", err)
			return
		}
	}
	e.cur = &version{e.def.Version, e.def.Since, e.def.Spec, e.def.Cal}
	if err := e.cur.ready(); err != nil {
		h.Log("schedule unreadable", "schedule", e.name, "error", err)
		e.cur = nil
		return
	}
	if e.def.Old != nil && e.def.Old.ready() == nil {
		e.old = e.def.Old
	}
	h.plan(e)
	h.submitPending(e)
}
