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
	h.listCalendarUsers(name, func(found []definitionRecord, ok bool) {
		switch {
		case !ok:
			h.Respond(reply, unavailable(name))
			return
		case len(found) == 0:
			h.Respond(reply, Response{Status: 404, Name: name, Error: "no schedule uses a calendar of this name"})
			return
		}
		a := Response{Status: 200, Name: name, Calendar: found[0].Calendar}
		for _, d := range found {
			a.Schedules = append(a.Schedules, d.summary())
		}
		h.Respond(reply, a)
	})
}

// list reads a page of all schedules, by shard and name.
func (h *Host) list(reply uint64, from string) {
	h.SendStore(
		scheduler.StoreOp{Kind: scheduler.StoreList, Urgency: scheduler.UrgencyRead, Key: definitionPrefix, StartAfter: from},
		func(r scheduler.StoreResult) {
			if r.Outcome != scheduler.OK {
				h.Respond(reply, unavailable(""))
				return
			}
			a := Response{Status: 200, Schedules: []Summary{}}
			for _, it := range r.KVs {
				var d definitionRecord
				if json.Unmarshal(it.Value, &d) == nil {
					a.Schedules = append(a.Schedules, d.summary())
				}
				a.More = it.Key
			}
			if !r.More {
				a.More = ""
			}
			h.Respond(reply, a)
		},
	)
}

// showDecisions reads a schedule, or a page of what it decided: the oldest pages first,
// the newest decisions last.
func (h *Host) showDecisions(reply uint64, r Request) {
	shard := extension.ShardOf(h.params.Members, r.Name)
	h.readOrRespond(reply, progressKey(shard, r.Name), func(prog scheduler.KeyValue) {
		var p progressRecord
		switch {
		case !decode(prog, &p):
			h.Respond(reply, unavailable(r.Name))
		case r.Kind == History:
			h.showHistory(reply, shard, r, p, prog.Rev != 0)
		default:
			h.showSchedule(reply, shard, r.Name, p)
		}
	})
}

// readOrRespond reads a record for an operator, who is told where the state service
// cannot say.
func (h *Host) readOrRespond(reply uint64, key string, onRecord func(scheduler.KeyValue)) {
	h.Get(scheduler.UrgencyRead, key, func(it scheduler.KeyValue, ok bool) {
		if !ok {
			h.Respond(reply, unavailable(""))
			return
		}
		onRecord(it)
	})
}

// showHistory shows a page of what a schedule decided; decided tells whether it
// has a record of that.
func (h *Host) showHistory(reply uint64, shard string, r Request, p progressRecord, decided bool) {
	page := 0
	if r.From != "" {
		if _, err := fmt.Sscanf(r.From, "%d", &page); err != nil || page < 0 {
			h.Respond(reply, Response{Status: 400, Error: "from is no page"})
			return
		}
	}
	if page >= p.Pages {
		if !decided {
			h.Respond(reply, Response{Status: 404, Name: r.Name, Error: "nothing was decided"})
			return
		}
		h.Respond(reply, Response{Status: 200, Name: r.Name, Decisions: p.Log})
		return
	}
	h.readOrRespond(reply, historyKey(shard, r.Name, page), func(it scheduler.KeyValue) {
		a := Response{Status: 200, Name: r.Name, More: fmt.Sprint(page + 1)}
		if it.Rev != 0 {
			_ = json.Unmarshal(it.Value, &a.Decisions)
		}
		h.Respond(reply, a)
	})
}

// showSchedule shows a schedule's definition and what it decided last.
func (h *Host) showSchedule(reply uint64, shard, name string, p progressRecord) {
	h.readOrRespond(reply, definitionKey(shard, name), func(def scheduler.KeyValue) {
		var d definitionRecord
		switch {
		case def.Rev == 0:
			h.Respond(reply, Response{Status: 404, Name: name, Error: "no such schedule"})
			return
		case !decode(def, &d):
			h.Respond(reply, unavailable(name))
			return
		}
		a := Response{Status: 200, Name: name, Version: d.Version, Spec: &d.Spec, Decisions: p.Log}
		if d.Paused {
			a.State = "paused"
		}
		if p.DecidedUpToMS > 0 {
			a.UpTo = time.UnixMilli(p.DecidedUpToMS).UTC().Format(time.RFC3339)
		}
		h.Respond(reply, a)
	})
}

func (d *definitionRecord) summary() Summary {
	return Summary{d.Spec.Name, d.Version, d.Paused, d.Spec.Zone, d.Spec.Rule}
}
