package schedules

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/grebedock/grebedock/cwl"
	"github.com/grebedock/grebedock/extension"
	"github.com/grebedock/grebedock/scheduler"
)

// Kind is the operation of an operator's request.
type Kind int

// The operations.
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

// Request is an operator's request for a schedule or calendar.
type Request struct {
	Kind Kind
	Name string
	Body []byte // Apply, ApplyCalendar: a TOML file that contains the schedule or calendar Name
	From string // List, History: Response.More of the preceding page
	// EffectiveMS is the time (Unix ms) from which an applied version is in effect; 0: now.
	EffectiveMS int64
}

// Summary is the entry of a schedule in a list.
type Summary struct {
	Name    string `json:"name"`
	Version int    `json:"version"`
	Paused  bool   `json:"paused,omitempty"`
	Zone    string `json:"zone"`
	Rule    string `json:"rule"`
}

// Response is the response to an operator's request. Status is an HTTP status code.
type Response struct {
	Status      int        `json:"-"`
	RetryAfterS int        `json:"-"`
	Error       string     `json:"error,omitempty"`
	Name        string     `json:"name,omitempty"`
	Version     int        `json:"version,omitempty"`
	State       string     `json:"state,omitempty"`
	Schedules   []Summary  `json:"schedules,omitempty"`
	Spec        *Spec      `json:"spec,omitempty"`
	Calendar    calendar   `json:"calendar,omitempty"`
	UpTo        string     `json:"decided_up_to,omitempty"`
	Decisions   []Decision `json:"decisions,omitempty"`
	More        string     `json:"more,omitempty"` // Request.From of the next page
}

// Values of Response.State.
const (
	stateApplied   = "applied"
	stateUnchanged = "unchanged"
	statePaused    = "paused"
	stateResumed   = "resumed"
	stateRemoved   = "removed"
)

// Error texts of responses with status 404.
const (
	noSuchSchedule  = "no such schedule"
	calendarNotUsed = "no schedule uses a calendar of this name"
)

func unavailable(name string) Response {
	return Response{Status: 503, Name: name, Error: "state service unavailable", RetryAfterS: 1}
}

// HandleRequest starts an operator's request. The outputs contain its response under replyID once it is complete.
func (h *Host) HandleRequest(now scheduler.Now, replyID uint64, r Request) {
	h.Now = now
	respond := func(response Response) { h.Respond(replyID, response) }
	switch r.Kind {
	case List:
		h.list(replyID, r.From)
		return
	case Apply:
		h.applySchedule(replyID, r)
		return
	case ApplyCalendar:
		h.applyCalendar(replyID, r)
		return
	case ShowCalendar:
		h.showCalendar(replyID, r.Name)
		return
	}
	if !namePattern.MatchString(r.Name) {
		respond(Response{Status: 404, Error: noSuchSchedule})
		return
	}
	switch r.Kind {
	case Show, History:
		h.showDecisions(replyID, r)
	case Pause:
		h.updateDefinition(r.Name, (*definitionRecord).pause, respond)
	case Resume:
		h.updateDefinition(r.Name, func(d *definitionRecord) (string, error) { return d.resume(h.Now.WallMS) }, respond)
	case Remove:
		h.updateDefinition(r.Name, (*definitionRecord).remove, respond)
	}
}

func (d *definitionRecord) pause() (state string, err error) {
	if d.Paused {
		return stateUnchanged, nil
	}
	d.Paused = true
	return statePaused, nil
}

// resume lets a schedule continue from a time (Unix ms). Moments during the pause are never run: unlike an outage,
// a pause is intended.
func (d *definitionRecord) resume(wallMS int64) (state string, err error) {
	if !d.Paused {
		return stateUnchanged, nil
	}
	d.Paused, d.SinceMS, d.Previous = false, wallMS, nil
	return stateResumed, nil
}

// removedVersion is the Version of a definition that is to be deleted.
const removedVersion = -1

func (d *definitionRecord) remove() (state string, err error) {
	d.Version = removedVersion
	return stateRemoved, nil
}

// applySchedule stores a new version of a schedule.
func (h *Host) applySchedule(replyID uint64, r Request) {
	v, failure := h.parseVersion(r)
	if failure != nil {
		h.Respond(replyID, *failure)
		return
	}
	h.updateDefinition(v.Spec.Name, func(d *definitionRecord) (string, error) {
		since := max(r.EffectiveMS, h.Now.WallMS)
		switch {
		case d.Version == 0:
			*d = definitionRecord{Version: 1, SinceMS: since, Spec: v.Spec, Calendar: v.Calendar}
			return stateApplied, d.checkSize(h.params.ValueBytes)
		case sameEncoding(d.Spec, v.Spec) && sameEncoding(d.Calendar, v.Calendar):
			return stateUnchanged, nil
		}
		return stateApplied, d.replace(v, since, h.params.ValueBytes)
	}, func(response Response) { h.Respond(replyID, response) })
}

// parseVersion parses and validates the schedule that a request applies. failure is the response if it is invalid.
func (h *Host) parseVersion(r Request) (v version, failure *Response) {
	f, err := ParseFile(r.Body)
	if err != nil {
		return v, &Response{Status: 400, Name: r.Name, Error: err.Error()}
	}
	i := slices.IndexFunc(f.Schedules, func(s *Spec) bool { return s.Name == r.Name })
	if i < 0 {
		return v, &Response{Status: 400, Name: r.Name, Error: "the file has no schedule of this name"}
	}
	v.Spec = *f.Schedules[i]
	for _, c := range f.Calendars {
		if c.Name == v.Spec.Calendar {
			v.Calendar = c
		}
	}
	if w := v.Spec.Workflow; w != nil {
		readDocument := func(string) ([]byte, error) { return []byte(w.Document), nil }
		if _, err := cwl.Load("workflow.document", readDocument); err != nil {
			return v, &Response{Status: 400, Name: r.Name, Error: err.Error()}
		}
	}
	if _, ok := h.params.Teams[v.Spec.Job.Team]; !ok {
		text := fmt.Sprintf("job.team: unknown team %q", v.Spec.Job.Team)
		return v, &Response{Status: 422, Name: r.Name, Error: text}
	}
	return v, nil
}

func sameEncoding(a, b any) bool { return bytes.Equal(extension.Encode(a), extension.Encode(b)) }

// replace puts a new version into effect from a time (Unix ms) on. The previous version is kept for earlier
// moments. Existing decisions do not change.
func (d *definitionRecord) replace(v version, since int64, maxBytes int) error {
	d.Previous = d.version()
	d.Version, d.SinceMS, d.Spec, d.Calendar = d.Version+1, since, v.Spec, v.Calendar
	return d.checkSize(maxBytes)
}

func (d *definitionRecord) checkSize(maxBytes int) error {
	n := len(extension.Encode(d))
	if n <= maxBytes {
		return nil
	}
	return fmt.Errorf(
		"the schedule, its calendar and the version before take %d bytes, more than the state service's %d",
		n, maxBytes,
	)
}

// decode decodes a record and reports success. A record that does not exist leaves the value unchanged.
func decode(kv scheduler.KeyValue, into any) bool {
	return kv.Rev == 0 || json.Unmarshal(kv.Value, into) == nil
}
