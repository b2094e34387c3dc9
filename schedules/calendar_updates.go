package schedules

import (
	"encoding/json"
	"slices"

	"github.com/grebedock/grebedock/recurrence"
	"github.com/grebedock/grebedock/scheduler"
)

// listSchedulesWithCalendar reads the schedules whose current version uses a calendar.
func (h *Host) listSchedulesWithCalendar(calendar string, onDefinitions func(found []definitionRecord, ok bool)) {
	var definitions []definitionRecord
	onPage := func(page []scheduler.KeyValue) bool {
		for _, kv := range page {
			var definition definitionRecord
			if json.Unmarshal(kv.Value, &definition) == nil && definition.usesCalendar(calendar) {
				definitions = append(definitions, definition)
			}
		}
		return true
	}
	h.List(scheduler.UrgencyRead, definitionPrefix, onPage, func(ok bool) { onDefinitions(definitions, ok) })
}

func (d *definitionRecord) usesCalendar(calendar string) bool {
	return d.Calendar != nil && d.Calendar.Name == calendar
}

// calendarUpdate applies a calendar to the schedules that use it, one after the other. If it fails midway, the
// operator repeats the request; schedules that are already updated stay unchanged.
type calendarUpdate struct {
	host      *Host
	replyID   uint64
	calendar  calendar
	since     int64
	remaining []definitionRecord // schedules that are not updated yet
	response  Response
}

// applyCalendar creates a new version of each schedule that uses a calendar.
func (h *Host) applyCalendar(replyID uint64, r Request) {
	f, err := ParseFile(r.Body)
	if err != nil {
		h.Respond(replyID, Response{Status: 400, Name: r.Name, Error: err.Error()})
		return
	}
	i := slices.IndexFunc(f.Calendars, func(c *recurrence.Calendar) bool { return c.Name == r.Name })
	if i < 0 {
		h.Respond(replyID, Response{Status: 400, Name: r.Name, Error: "the file has no calendar of this name"})
		return
	}
	u := &calendarUpdate{
		host:     h,
		replyID:  replyID,
		calendar: f.Calendars[i],
		since:    max(r.EffectiveMS, h.Now.WallMS),
		response: Response{Status: 200, Name: r.Name, State: stateUnchanged, Schedules: []Summary{}},
	}
	h.listSchedulesWithCalendar(r.Name, func(definitions []definitionRecord, ok bool) {
		switch {
		case !ok:
			h.Respond(replyID, unavailable(r.Name))
		case len(definitions) == 0:
			h.Respond(replyID, Response{Status: 404, Name: r.Name, Error: calendarNotUsed})
		default:
			u.remaining = definitions
			u.updateNext()
		}
	})
}

// updateNext updates the first of the remaining schedules, or responds if none remains.
func (u *calendarUpdate) updateNext() {
	if len(u.remaining) == 0 {
		u.host.Respond(u.replyID, u.response)
		return
	}
	name := u.remaining[0].Spec.Name
	u.remaining = u.remaining[1:]
	u.host.updateDefinition(name, u.change, u.onUpdated)
}

func (u *calendarUpdate) change(d *definitionRecord) (state string, err error) {
	if !d.usesCalendar(u.calendar.Name) || sameEncoding(d.Calendar, u.calendar) {
		return stateUnchanged, nil
	}
	v := version{Spec: d.Spec, Calendar: u.calendar}
	return stateApplied, d.replace(v, u.since, u.host.params.ValueBytes)
}

func (u *calendarUpdate) onUpdated(r Response) {
	if r.Status != 200 {
		u.host.Respond(u.replyID, r)
		return
	}
	if r.State == stateApplied {
		u.response.State = stateApplied
		u.response.Schedules = append(u.response.Schedules, Summary{Name: r.Name, Version: r.Version})
	}
	u.updateNext()
}
