package schedules

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/grebedock/grebedock/extension"
	"github.com/grebedock/grebedock/scheduler"
)

// showCalendar responds with a calendar and the schedules that use it. The calendar is the copy stored with the
// first of them.
func (h *Host) showCalendar(replyID uint64, name string) {
	h.listSchedulesWithCalendar(name, func(found []definitionRecord, ok bool) {
		switch {
		case !ok:
			h.Respond(replyID, unavailable(name))
			return
		case len(found) == 0:
			h.Respond(replyID, Response{Status: 404, Name: name, Error: calendarNotUsed})
			return
		}
		response := Response{Status: 200, Name: name, Calendar: found[0].Calendar}
		for _, definition := range found {
			response.Schedules = append(response.Schedules, definition.summary())
		}
		h.Respond(replyID, response)
	})
}

// list responds with a page of all schedules, ordered by shard and name.
func (h *Host) list(replyID uint64, startAfter string) {
	request := scheduler.StoreOp{
		Kind:       scheduler.StoreList,
		Urgency:    scheduler.UrgencyRead,
		Key:        definitionPrefix,
		StartAfter: startAfter,
	}
	h.SendStore(request, func(r scheduler.StoreResult) {
		if r.Outcome != scheduler.OK {
			h.Respond(replyID, unavailable(""))
			return
		}
		response := Response{Status: 200, Schedules: []Summary{}}
		for _, kv := range r.KVs {
			var definition definitionRecord
			if json.Unmarshal(kv.Value, &definition) == nil {
				response.Schedules = append(response.Schedules, definition.summary())
			}
		}
		if r.More && len(r.KVs) > 0 {
			response.More = r.KVs[len(r.KVs)-1].Key
		}
		h.Respond(replyID, response)
	})
}

// showDecisions responds with a schedule and its latest decisions (Show), or with a page of its decisions
// (History), the oldest page first.
func (h *Host) showDecisions(replyID uint64, r Request) {
	h.readOrRespond(replyID, progressKey(h.shardOf(r.Name), r.Name), func(kv scheduler.KeyValue) {
		var progress progressRecord
		switch {
		case !decode(kv, &progress):
			h.Respond(replyID, unavailable(r.Name))
		case r.Kind == History:
			h.showHistory(replyID, r, progress, kv.Rev != 0)
		default:
			h.showSchedule(replyID, r.Name, progress)
		}
	})
}

// shardOf returns the shard of a schedule.
func (h *Host) shardOf(name string) string { return extension.ShardOf(h.params.Members, name) }

// readOrRespond reads a record for an operator's request, and responds with an error if the state service is
// unavailable.
func (h *Host) readOrRespond(replyID uint64, key string, onRecord func(scheduler.KeyValue)) {
	h.Get(scheduler.UrgencyRead, key, func(kv scheduler.KeyValue, ok bool) {
		if !ok {
			h.Respond(replyID, unavailable(""))
			return
		}
		onRecord(kv)
	})
}

// showHistory responds with a page of decisions. The decisions in the progress record are the last page. decided
// reports whether the progress record exists.
func (h *Host) showHistory(replyID uint64, r Request, progress progressRecord, decided bool) {
	page := 0
	if r.From != "" {
		if _, err := fmt.Sscanf(r.From, "%d", &page); err != nil || page < 0 {
			h.Respond(replyID, Response{Status: 400, Error: "from is no page"})
			return
		}
	}
	switch {
	case page < progress.Pages:
		h.showHistoryPage(replyID, r.Name, page)
	case !decided:
		h.Respond(replyID, Response{Status: 404, Name: r.Name, Error: "nothing was decided"})
	default:
		h.Respond(replyID, Response{Status: 200, Name: r.Name, Decisions: progress.Log})
	}
}

func (h *Host) showHistoryPage(replyID uint64, name string, page int) {
	h.readOrRespond(replyID, historyKey(h.shardOf(name), name, page), func(kv scheduler.KeyValue) {
		response := Response{Status: 200, Name: name, More: fmt.Sprint(page + 1)}
		if kv.Rev != 0 {
			_ = json.Unmarshal(kv.Value, &response.Decisions) // an unreadable page is shown as empty
		}
		h.Respond(replyID, response)
	})
}

// showSchedule responds with a schedule's definition and the decisions in its progress record.
func (h *Host) showSchedule(replyID uint64, name string, progress progressRecord) {
	h.readOrRespond(replyID, definitionKey(h.shardOf(name), name), func(kv scheduler.KeyValue) {
		var definition definitionRecord
		switch {
		case kv.Rev == 0:
			h.Respond(replyID, Response{Status: 404, Name: name, Error: noSuchSchedule})
			return
		case !decode(kv, &definition):
			h.Respond(replyID, unavailable(name))
			return
		}
		response := Response{
			Status:    200,
			Name:      name,
			Version:   definition.Version,
			Spec:      &definition.Spec,
			Decisions: progress.Log,
		}
		if definition.Paused {
			response.State = statePaused
		}
		if progress.DecidedUpToMS > 0 {
			response.UpTo = time.UnixMilli(progress.DecidedUpToMS).UTC().Format(time.RFC3339)
		}
		h.Respond(replyID, response)
	})
}

func (d *definitionRecord) summary() Summary {
	return Summary{
		Name:    d.Spec.Name,
		Version: d.Version,
		Paused:  d.Paused,
		Zone:    d.Spec.Zone,
		Rule:    d.Spec.Rule,
	}
}
