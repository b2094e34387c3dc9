package schedules

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/grebedock/grebedock/cwl"
	"github.com/grebedock/grebedock/extension"
	"github.com/grebedock/grebedock/recurrence"
	"github.com/grebedock/grebedock/scheduler"
)

// Kind is what an operator asks for.
type Kind int

// The requests of operators.
const (
	Apply Kind = iota
	List
	Show
	Pause
	Resume
	Remove
	History
	ApplyCalendar
	ShowCalendar
)

// Request is an operator's request.
type Request struct {
	Kind Kind
	Name string
	Body []byte // Apply: a file (TOML) that has the schedule of this name and its calendar
	From string // List, History: read on behind this
	// EffectiveMS is when an applied version begins to count, ms; 0: now.
	EffectiveMS int64
}

// Summary is a schedule in a list.
type Summary struct {
	Name    string `json:"name"`
	Version int    `json:"version"`
	Paused  bool   `json:"paused,omitempty"`
	Zone    string `json:"zone"`
	Rule    string `json:"rule"`
}

// Response answers an operator.
type Response struct {
	Status      int        `json:"-"`
	RetryAfterS int        `json:"-"`
	Error       string     `json:"error,omitempty"`
	Name        string     `json:"name,omitempty"`
	Version     int        `json:"version,omitempty"`
	State       string     `json:"state,omitempty"` // applied, unchanged, paused, resumed, removed
	Schedules   []Summary  `json:"schedules,omitempty"`
	Spec        *Spec      `json:"spec,omitempty"`
	Calendar    calendar   `json:"calendar,omitempty"`
	UpTo        string     `json:"decided_up_to,omitempty"`
	Decisions   []Decision `json:"decisions,omitempty"`
	More        string     `json:"more,omitempty"` // From of the next page
}

func unavailable(name string) Response {
	return Response{Status: 503, Name: name, Error: "state service unavailable", RetryAfterS: 1}
}

// HandleRequest takes an operator's request; reply names it in the outputs' answers.
func (h *Host) HandleRequest(now scheduler.Now, replyID uint64, r Request) {
	h.Now = now
	if r.Kind == List {
		h.list(replyID, r.From)
		return
	}
	if r.Kind != Apply && r.Kind != ApplyCalendar && r.Kind != ShowCalendar && !namePattern.MatchString(r.Name) {
		h.Respond(replyID, Response{Status: 404, Error: "no such schedule"})
		return
	}
	switch r.Kind {
	case Apply:
		h.applySchedule(replyID, r)
	case ApplyCalendar:
		h.applyCalendar(replyID, r)
	case ShowCalendar:
		h.showCalendar(replyID, r.Name)
	case Show, History:
		h.showDecisions(replyID, r)
	case Pause, Resume:
		h.updateDefinition(replyID, r.Name, 3, func(d *definitionRecord) (string, error) {
			if d.Paused == (r.Kind == Pause) {
				return "unchanged", nil
			}
			d.Paused = r.Kind == Pause
			if d.Paused {
				return "paused", nil
			}
			// What was due meanwhile is not made up for: a pause is no outage.
			d.SinceMS, d.Previous = h.Now.WallMS, nil
			return "resumed", nil
		})
	case Remove:
		h.updateDefinition(replyID, r.Name, 3, func(d *definitionRecord) (string, error) {
			d.Version = -1
			return "removed", nil
		})
	}
}

// applySchedule stores a schedule's new version, which counts from a moment on.
func (h *Host) applySchedule(reply uint64, r Request) {
	f, err := ParseFile(r.Body)
	if err != nil {
		h.Respond(reply, Response{Status: 400, Name: r.Name, Error: err.Error()})
		return
	}
	i := slices.IndexFunc(f.Schedules, func(s *Spec) bool { return s.Name == r.Name })
	if i < 0 {
		h.Respond(reply, Response{Status: 400, Name: r.Name, Error: "the file has no schedule of this name"})
		return
	}
	v := version{Spec: *f.Schedules[i]}
	for _, c := range f.Calendars {
		if c.Name == v.Spec.Calendar {
			v.Calendar = c
		}
	}
	if w := v.Spec.Workflow; w != nil {
		if _, err := cwl.Load("workflow.document", func(string) ([]byte, error) { return []byte(w.Document), nil }); err != nil {
			h.Respond(reply, Response{Status: 400, Name: v.Spec.Name, Error: err.Error()})
			return
		}
	}
	if _, ok := h.params.Teams[v.Spec.Job.Team]; !ok {
		h.Respond(
			reply,
			Response{Status: 422, Name: v.Spec.Name, Error: fmt.Sprintf("job.team: unknown team %q", v.Spec.Job.Team)},
		)
		return
	}
	h.updateDefinition(reply, v.Spec.Name, 3, func(d *definitionRecord) (string, error) {
		since := max(r.EffectiveMS, h.Now.WallMS)
		if d.Version == 0 {
			*d = definitionRecord{Version: 1, SinceMS: since, Spec: v.Spec, Calendar: v.Calendar}
		} else if string(extension.Encode(d.Spec)) == string(extension.Encode(v.Spec)) && string(extension.Encode(d.Calendar)) == string(extension.Encode(v.Calendar)) {
			return "unchanged", nil
		} else {
			return "applied", d.replace(v, since, h.params.ValueBytes)
		}
		return "applied", d.checkSize(h.params.ValueBytes)
	})
}

// replace puts a new version in place. One version back is kept: what is decided
// stays, and what is due before the new one counts goes by the old one.
func (d *definitionRecord) replace(v version, since int64, limit int) error {
	d.Previous = &version{d.Version, d.SinceMS, d.Spec, d.Calendar}
	d.Version, d.SinceMS, d.Spec, d.Calendar = d.Version+1, since, v.Spec, v.Calendar
	return d.checkSize(limit)
}

func (d *definitionRecord) checkSize(limit int) error {
	if n := len(extension.Encode(d)); n > limit {
		return fmt.Errorf(
			"the schedule, its calendar and the version before take %d bytes, more than the state service's %d",
			n,
			limit,
		)
	}
	return nil
}

// updateDefinition changes a definition under its revision and its shard's mark.
func (h *Host) updateDefinition(replyID uint64, name string, attempts int, f func(*definitionRecord) (string, error)) {
	h.updateDefinitionThen(name, attempts, f, func(a Response) { h.Respond(replyID, a) })
}

// updateDefinitionThen changes a definition, and goes on with what became of it.
func (h *Host) updateDefinitionThen(
	name string,
	attempts int,
	f func(*definitionRecord) (string, error),
	onResponse func(Response),
) {
	shard := extension.ShardOf(h.params.Members, name)
	h.Get(scheduler.UrgencyUser, definitionKey(shard, name), func(def scheduler.KeyValue, ok bool) {
		if !ok {
			onResponse(unavailable(name))
			return
		}
		h.Get(scheduler.UrgencyUser, changeIndexKey(shard), func(mark scheduler.KeyValue, ok bool) {
			var d definitionRecord
			var m changeIndexRecord
			if !ok || !decode(def, &d) || !decode(mark, &m) {
				onResponse(unavailable(name))
				return
			}
			state, err := f(&d)
			switch {
			case def.Rev == 0 && state != "applied" && err == nil:
				onResponse(Response{Status: 404, Name: name, Error: "no such schedule"})
				return
			case err != nil:
				onResponse(Response{Status: 400, Name: name, Error: err.Error()})
				return
			case state == "unchanged":
				onResponse(Response{Status: 200, Name: name, Version: d.Version, State: state})
				return
			}
			m.addChange(name)
			h.SendStore(definitionTxn(shard, name, d, def.Rev, m, mark.Rev), func(r scheduler.StoreResult) {
				switch {
				case r.Outcome == scheduler.OK:
					h.Log("schedule changed", "schedule", name, "state", state, "version", d.Version)
					onResponse(Response{Status: 200, Name: name, Version: max(0, d.Version), State: state})
				case (r.Outcome == scheduler.Conflict || r.Outcome == scheduler.Unknown) && attempts > 0:
					h.updateDefinitionThen(name, attempts-1, f, onResponse)
				default:
					onResponse(unavailable(name))
				}
			})
		})
	})
}

// decode reads a record; one that does not exist leaves the value as it is.
func decode(it scheduler.KeyValue, into any) bool {
	return it.Rev == 0 || json.Unmarshal(it.Value, into) == nil
}

// definitionTxn is the write of a definition and its shard's mark. A definition whose
// version is below 0 is removed.
func definitionTxn(
	shard, name string,
	d definitionRecord,
	defRev uint64,
	m changeIndexRecord,
	markRev uint64,
) scheduler.StoreOp {
	change := scheduler.Change{Key: definitionKey(shard, name), Value: extension.Encode(d)}
	if d.Version < 0 {
		change.Value = nil
	}
	return scheduler.StoreOp{
		Kind: scheduler.StoreTxn, Urgency: scheduler.UrgencyUser,
		Preconditions: []scheduler.Precondition{
			{Key: definitionKey(shard, name), Revision: defRev},
			{Key: changeIndexKey(shard), Revision: markRev},
		},
		Changes: []scheduler.Change{change, {Key: changeIndexKey(shard), Value: extension.Encode(m)}},
	}
}

// listCalendarUsers lists the schedules whose version names a calendar.
func (h *Host) listCalendarUsers(calendar string, onUsers func([]definitionRecord, bool)) {
	var found []definitionRecord
	page := func(items []scheduler.KeyValue) bool {
		for _, it := range items {
			var d definitionRecord
			if json.Unmarshal(it.Value, &d) == nil && d.Calendar != nil && d.Calendar.Name == calendar {
				found = append(found, d)
			}
		}
		return true
	}
	h.List(scheduler.UrgencyRead, definitionPrefix, page, func(ok bool) { onUsers(found, ok) })
}

// applyCalendar makes a new version of each schedule that uses a calendar. It
// goes on one by one: repeated, it finds done what is done.
func (h *Host) applyCalendar(reply uint64, r Request) {
	f, err := ParseFile(r.Body)
	if err != nil {
		h.Respond(reply, Response{Status: 400, Name: r.Name, Error: err.Error()})
		return
	}
	i := slices.IndexFunc(f.Calendars, func(c *recurrence.Calendar) bool { return c.Name == r.Name })
	if i < 0 {
		h.Respond(reply, Response{Status: 400, Name: r.Name, Error: "the file has no calendar of this name"})
		return
	}
	cal := f.Calendars[i]
	since := max(r.EffectiveMS, h.Now.WallMS)
	h.listCalendarUsers(r.Name, func(found []definitionRecord, ok bool) {
		a := Response{Status: 200, Name: r.Name, State: "unchanged", Schedules: []Summary{}}
		var next func(k int)
		next = func(k int) {
			if k == len(found) {
				h.Respond(reply, a)
				return
			}
			h.updateDefinitionThen(found[k].Spec.Name, 3, func(d *definitionRecord) (string, error) {
				if d.Calendar == nil || d.Calendar.Name != cal.Name ||
					string(extension.Encode(d.Calendar)) == string(extension.Encode(cal)) {
					return "unchanged", nil
				}
				return "applied", d.replace(version{Spec: d.Spec, Calendar: cal}, since, h.params.ValueBytes)
			}, func(x Response) {
				if x.Status != 200 {
					h.Respond(reply, x)
					return
				}
				if x.State == "applied" {
					a.State = "applied"
					a.Schedules = append(a.Schedules, Summary{Name: x.Name, Version: x.Version})
				}
				next(k + 1)
			})
		}
		switch {
		case !ok:
			h.Respond(reply, unavailable(r.Name))
		case len(found) == 0:
			h.Respond(reply, Response{Status: 404, Name: r.Name, Error: "no schedule uses a calendar of this name"})
		default:
			next(0)
		}
	})
}
