package schedules

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/grebedock/grebedock/extension"
	"github.com/grebedock/grebedock/scheduler"
)

// showCalendar shows a calendar as the schedules that use it have it.
func (h *Host) showCalendar(reply uint64, name string) {
	h.users(name, func(found []defRecord, ok bool) {
		switch {
		case !ok:
			h.Reply(reply, unavailable(name))
			return
		case len(found) == 0:
			h.Reply(reply, Answer{Status: 404, Name: name, Error: "no schedule uses a calendar of this name"})
			return
		}
		a := Answer{Status: 200, Name: name, Calendar: found[0].Cal}
		for _, d := range found {
			a.Schedules = append(a.Schedules, d.summary())
		}
		h.Reply(reply, a)
	})
}

// list reads a page of all schedules, by shard and name.
func (h *Host) list(reply uint64, from string) {
	h.Ask(scheduler.StoreOp{Kind: scheduler.StoreList, Urgency: scheduler.Reads, Key: defPrefix, From: from}, func(r scheduler.StoreResult) {
		if r.Outcome != scheduler.OK {
			h.Reply(reply, unavailable(""))
			return
		}
		a := Answer{Status: 200, Schedules: []Summary{}}
		for _, it := range r.Items {
			var d defRecord
			if json.Unmarshal(it.Value, &d) == nil {
				a.Schedules = append(a.Schedules, d.summary())
			}
			a.More = it.Key
		}
		if !r.More {
			a.More = ""
		}
		h.Reply(reply, a)
	})
}

// show reads a schedule, or a page of what it decided: the oldest pages first,
// the newest decisions last.
func (h *Host) show(reply uint64, r Request) {
	shard := extension.ShardOf(h.p.Members, r.Name)
	h.read(reply, progKey(shard, r.Name), func(prog scheduler.Item) {
		var p progRecord
		switch {
		case !decode(prog, &p):
			h.Reply(reply, unavailable(r.Name))
		case r.Kind == History:
			h.showHistory(reply, shard, r, p, prog.Rev != 0)
		default:
			h.showSchedule(reply, shard, r.Name, p)
		}
	})
}

// read reads a record for an operator, who is told where the state service
// cannot say.
func (h *Host) read(reply uint64, key string, done func(scheduler.Item)) {
	h.Get(scheduler.Reads, key, func(it scheduler.Item, ok bool) {
		if !ok {
			h.Reply(reply, unavailable(""))
			return
		}
		done(it)
	})
}

// showHistory shows a page of what a schedule decided; decided tells whether it
// has a record of that.
func (h *Host) showHistory(reply uint64, shard string, r Request, p progRecord, decided bool) {
	page := 0
	if r.From != "" {
		if _, err := fmt.Sscanf(r.From, "%d", &page); err != nil || page < 0 {
			h.Reply(reply, Answer{Status: 400, Error: "from is no page"})
			return
		}
	}
	if page >= p.Pages {
		if !decided {
			h.Reply(reply, Answer{Status: 404, Name: r.Name, Error: "nothing was decided"})
			return
		}
		h.Reply(reply, Answer{Status: 200, Name: r.Name, Decisions: p.Log})
		return
	}
	h.read(reply, pageKey(shard, r.Name, page), func(it scheduler.Item) {
		a := Answer{Status: 200, Name: r.Name, More: fmt.Sprint(page + 1)}
		if it.Rev != 0 {
			_ = json.Unmarshal(it.Value, &a.Decisions)
		}
		h.Reply(reply, a)
	})
}

// showSchedule shows a schedule's definition and what it decided last.
func (h *Host) showSchedule(reply uint64, shard, name string, p progRecord) {
	h.read(reply, defKey(shard, name), func(def scheduler.Item) {
		var d defRecord
		switch {
		case def.Rev == 0:
			h.Reply(reply, Answer{Status: 404, Name: name, Error: "no such schedule"})
			return
		case !decode(def, &d):
			h.Reply(reply, unavailable(name))
			return
		}
		a := Answer{Status: 200, Name: name, Version: d.Version, Spec: &d.Spec, Decisions: p.Log}
		if d.Paused {
			a.State = "paused"
		}
		if p.UpTo > 0 {
			a.UpTo = time.UnixMilli(p.UpTo).UTC().Format(time.RFC3339)
		}
		h.Reply(reply, a)
	})
}

func (d *defRecord) summary() Summary {
	return Summary{d.Spec.Name, d.Version, d.Paused, d.Spec.Zone, d.Spec.Rule}
}
