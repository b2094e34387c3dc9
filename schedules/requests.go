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
	// Effective is when an applied version begins to count, ms; 0: now.
	Effective int64
}

// Summary is a schedule in a list.
type Summary struct {
	Name    string `json:"name"`
	Version int    `json:"version"`
	Paused  bool   `json:"paused,omitempty"`
	Zone    string `json:"zone"`
	Rule    string `json:"rule"`
}

// Answer answers an operator.
type Answer struct {
	Status    int        `json:"-"`
	RetryS    int        `json:"-"`
	Error     string     `json:"error,omitempty"`
	Name      string     `json:"name,omitempty"`
	Version   int        `json:"version,omitempty"`
	State     string     `json:"state,omitempty"` // applied, unchanged, paused, resumed, removed
	Schedules []Summary  `json:"schedules,omitempty"`
	Spec      *Spec      `json:"spec,omitempty"`
	Calendar  calendar   `json:"calendar,omitempty"`
	UpTo      string     `json:"decided_up_to,omitempty"`
	Decisions []Decision `json:"decisions,omitempty"`
	More      string     `json:"more,omitempty"` // From of the next page
}

func unavailable(name string) Answer {
	return Answer{Status: 503, Name: name, Error: "state service unavailable", RetryS: 1}
}

// User takes an operator's request; reply names it in the outputs' answers.
func (h *Host) User(now scheduler.Now, reply uint64, r Request) {
	h.Now = now
	if r.Kind == List {
		h.list(reply, r.From)
		return
	}
	if r.Kind != Apply && r.Kind != ApplyCalendar && r.Kind != ShowCalendar && !scheduleName.MatchString(r.Name) {
		h.Reply(reply, Answer{Status: 404, Error: "no such schedule"})
		return
	}
	switch r.Kind {
	case Apply:
		h.apply(reply, r)
	case ApplyCalendar:
		h.applyCalendar(reply, r)
	case ShowCalendar:
		h.showCalendar(reply, r.Name)
	case Show, History:
		h.show(reply, r)
	case Pause, Resume:
		h.change(reply, r.Name, 3, func(d *defRecord) (string, error) {
			if d.Paused == (r.Kind == Pause) {
				return "unchanged", nil
			}
			d.Paused = r.Kind == Pause
			if d.Paused {
				return "paused", nil
			}
			// What was due meanwhile is not made up for: a pause is no outage.
			d.Since, d.Old = h.Now.Wall, nil
			return "resumed", nil
		})
	case Remove:
		h.change(reply, r.Name, 3, func(d *defRecord) (string, error) {
			d.Version = -1
			return "removed", nil
		})
	}
}

// apply stores a schedule's new version, which counts from a moment on.
func (h *Host) apply(reply uint64, r Request) {
	f, err := ParseFile(r.Body)
	if err != nil {
		h.Reply(reply, Answer{Status: 400, Name: r.Name, Error: err.Error()})
		return
	}
	i := slices.IndexFunc(f.Schedules, func(s *Spec) bool { return s.Name == r.Name })
	if i < 0 {
		h.Reply(reply, Answer{Status: 400, Name: r.Name, Error: "the file has no schedule of this name"})
		return
	}
	v := version{Spec: *f.Schedules[i]}
	for _, c := range f.Calendars {
		if c.Name == v.Spec.Calendar {
			v.Cal = c
		}
	}
	if w := v.Spec.Workflow; w != nil {
		if _, err := cwl.Load("workflow.document", func(string) ([]byte, error) { return []byte(w.Document), nil }); err != nil {
			h.Reply(reply, Answer{Status: 400, Name: v.Spec.Name, Error: err.Error()})
			return
		}
	}
	if _, ok := h.p.Teams[v.Spec.Job.Team]; !ok {
		h.Reply(reply, Answer{Status: 422, Name: v.Spec.Name, Error: fmt.Sprintf("job.team: unknown team %q", v.Spec.Job.Team)})
		return
	}
	h.change(reply, v.Spec.Name, 3, func(d *defRecord) (string, error) {
		since := max(r.Effective, h.Now.Wall)
		if d.Version == 0 {
			*d = defRecord{Version: 1, Since: since, Spec: v.Spec, Cal: v.Cal}
		} else if string(extension.Encode(d.Spec)) == string(extension.Encode(v.Spec)) && string(extension.Encode(d.Cal)) == string(extension.Encode(v.Cal)) {
			return "unchanged", nil
		} else {
			return "applied", d.replace(v, since, h.p.ValueBytes)
		}
		return "applied", d.fits(h.p.ValueBytes)
	})
}

// replace puts a new version in place. One version back is kept: what is decided
// stays, and what is due before the new one counts goes by the old one.
func (d *defRecord) replace(v version, since int64, limit int) error {
	d.Old = &version{d.Version, d.Since, d.Spec, d.Cal}
	d.Version, d.Since, d.Spec, d.Cal = d.Version+1, since, v.Spec, v.Cal
	return d.fits(limit)
}

func (d *defRecord) fits(limit int) error {
	if n := len(extension.Encode(d)); n > limit {
		return fmt.Errorf("the schedule, its calendar and the version before take %d bytes, more than the state service's %d", n, limit)
	}
	return nil
}

// change changes a definition under its revision and its shard's mark.
func (h *Host) change(reply uint64, name string, tries int, f func(*defRecord) (string, error)) {
	h.changeThen(name, tries, f, func(a Answer) { h.Reply(reply, a) })
}

// changeThen changes a definition, and goes on with what became of it.
func (h *Host) changeThen(name string, tries int, f func(*defRecord) (string, error), done func(Answer)) {
	shard := extension.ShardOf(h.p.Members, name)
	h.Get(scheduler.Answers, defKey(shard, name), func(def scheduler.Item, ok bool) {
		if !ok {
			done(unavailable(name))
			return
		}
		h.Get(scheduler.Answers, markKey(shard), func(mark scheduler.Item, ok bool) {
			var d defRecord
			var m markRecord
			if !ok || !decode(def, &d) || !decode(mark, &m) {
				done(unavailable(name))
				return
			}
			state, err := f(&d)
			switch {
			case def.Rev == 0 && state != "applied" && err == nil:
				done(Answer{Status: 404, Name: name, Error: "no such schedule"})
				return
			case err != nil:
				done(Answer{Status: 400, Name: name, Error: err.Error()})
				return
			case state == "unchanged":
				done(Answer{Status: 200, Name: name, Version: d.Version, State: state})
				return
			}
			m.add(name)
			h.Ask(changed(shard, name, d, def.Rev, m, mark.Rev), func(r scheduler.StoreResult) {
				switch {
				case r.Outcome == scheduler.OK:
					h.Log("schedule changed", "schedule", name, "state", state, "version", d.Version)
					done(Answer{Status: 200, Name: name, Version: max(0, d.Version), State: state})
				case (r.Outcome == scheduler.Conflict || r.Outcome == scheduler.Unknown) && tries > 0:
					h.changeThen(name, tries-1, f, done)
				default:
					done(unavailable(name))
				}
			})
		})
	})
}

// decode reads a record; one that does not exist leaves the value as it is.
func decode(it scheduler.Item, into any) bool {
	return it.Rev == 0 || json.Unmarshal(it.Value, into) == nil
}

// changed is the write of a definition and its shard's mark. A definition whose
// version is below 0 is removed.
func changed(shard, name string, d defRecord, defRev uint64, m markRecord, markRev uint64) scheduler.StoreOp {
	change := scheduler.Change{Key: defKey(shard, name), Value: extension.Encode(d)}
	if d.Version < 0 {
		change.Value = nil
	}
	return scheduler.StoreOp{
		Kind: scheduler.StoreTxn, Urgency: scheduler.Answers,
		Guards:  []scheduler.Guard{{Key: defKey(shard, name), Rev: defRev}, {Key: markKey(shard), Rev: markRev}},
		Changes: []scheduler.Change{change, {Key: markKey(shard), Value: extension.Encode(m)}},
	}
}

// users lists the schedules whose version names a calendar.
func (h *Host) users(calendar string, done func([]defRecord, bool)) {
	var found []defRecord
	page := func(items []scheduler.Item) bool {
		for _, it := range items {
			var d defRecord
			if json.Unmarshal(it.Value, &d) == nil && d.Cal != nil && d.Cal.Name == calendar {
				found = append(found, d)
			}
		}
		return true
	}
	h.List(scheduler.Reads, defPrefix, page, func(ok bool) { done(found, ok) })
}

// applyCalendar makes a new version of each schedule that uses a calendar. It
// goes on one by one: repeated, it finds done what is done.
func (h *Host) applyCalendar(reply uint64, r Request) {
	f, err := ParseFile(r.Body)
	if err != nil {
		h.Reply(reply, Answer{Status: 400, Name: r.Name, Error: err.Error()})
		return
	}
	i := slices.IndexFunc(f.Calendars, func(c *recurrence.Calendar) bool { return c.Name == r.Name })
	if i < 0 {
		h.Reply(reply, Answer{Status: 400, Name: r.Name, Error: "the file has no calendar of this name"})
		return
	}
	cal := f.Calendars[i]
	since := max(r.Effective, h.Now.Wall)
	h.users(r.Name, func(found []defRecord, ok bool) {
		a := Answer{Status: 200, Name: r.Name, State: "unchanged", Schedules: []Summary{}}
		var next func(k int)
		next = func(k int) {
			if k == len(found) {
				h.Reply(reply, a)
				return
			}
			h.changeThen(found[k].Spec.Name, 3, func(d *defRecord) (string, error) {
				if d.Cal == nil || d.Cal.Name != cal.Name || string(extension.Encode(d.Cal)) == string(extension.Encode(cal)) {
					return "unchanged", nil
				}
				return "applied", d.replace(version{Spec: d.Spec, Cal: cal}, since, h.p.ValueBytes)
			}, func(x Answer) {
				if x.Status != 200 {
					h.Reply(reply, x)
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
			h.Reply(reply, unavailable(r.Name))
		case len(found) == 0:
			h.Reply(reply, Answer{Status: 404, Name: r.Name, Error: "no schedule uses a calendar of this name"})
		default:
			next(0)
		}
	})
}
