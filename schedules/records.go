package schedules

import (
	"fmt"

	"github.com/grebedock/grebedock/recurrence"
	"github.com/grebedock/grebedock/scheduler"
)

// Key prefixes in the state service. Only the change index of each shard is replicated to all members. A new
// revision of it shows the owner that definitions changed. Only the owner loads the definitions and progress, so their
// number causes no load on other members.
const (
	ChangeIndexPrefix = scheduler.ExtensionPrefix + "s/"
	definitionPrefix  = "s/"
	progressPrefix    = "sp/"
	historyPrefix     = "sh/"
)

func changeIndexKey(shard string) string { return ChangeIndexPrefix + shard }

func definitionKey(shard, name string) string { return definitionPrefix + shard + "/" + name }

func progressKey(shard, name string) string { return progressPrefix + shard + "/" + name }

func historyKey(shard, name string, n int) string {
	return fmt.Sprintf("%s%s/%s/%06d", historyPrefix, shard, name, n)
}

// changeIndexRecord is the change index of a shard. It lists the schedules that changed most recently.
type changeIndexRecord struct {
	Seq   int      `json:"seq"`   // incremented with each change
	Names []string `json:"names"` // schedules of the latest maxIndexedChanges changes, newest last
}

const maxIndexedChanges = 16

// addChange records a change of a schedule.
func (r *changeIndexRecord) addChange(name string) {
	r.Seq++
	r.Names = append(r.Names, name)
	if n := len(r.Names); n > maxIndexedChanges {
		r.Names = r.Names[n-maxIndexedChanges:]
	}
}

// changesSince returns the schedules that changed after a sequence number. ok is false if the index does not
// cover all of these changes, or if there are none.
func (r *changeIndexRecord) changesSince(sequence int) (names []string, ok bool) {
	n := r.Seq - sequence
	if n <= 0 || n > len(r.Names) {
		return nil, false
	}
	return r.Names[len(r.Names)-n:], true
}

// definitionRecord is a schedule's definition. Its version is in effect from SinceMS on. Previous applies to
// earlier moments.
type definitionRecord struct {
	Version  int      `json:"version"`
	SinceMS  int64    `json:"since"` // Unix ms
	Spec     Spec     `json:"spec"`
	Calendar calendar `json:"calendar"`
	Paused   bool     `json:"paused,omitempty"`
	Previous *version `json:"old,omitempty"`
}

// version is one version of a schedule, with its own copy of the calendar.
type version struct {
	Version  int      `json:"version"`
	SinceMS  int64    `json:"since"`
	Spec     Spec     `json:"spec"`
	Calendar calendar `json:"calendar"`
}

// version returns the version in effect from SinceMS on.
func (d *definitionRecord) version() *version {
	return &version{Version: d.Version, SinceMS: d.SinceMS, Spec: d.Spec, Calendar: d.Calendar}
}

// calendar is nil if the schedule has no calendar.
type calendar = *recurrence.Calendar

// Decision is the decision for a moment: a run or a skip. Times are in Unix milliseconds.
type Decision struct {
	AtMS      int64  `json:"at"` // the moment
	Run       bool   `json:"run"`
	Job       string `json:"job,omitempty"`
	Reason    string `json:"why,omitempty"` // why the run is late or shifted, or why it was skipped
	Version   int    `json:"version"`
	DecidedMS int64  `json:"decided"`
}

// progressRecord is the progress of a schedule: its latest decisions and pending runs.
type progressRecord struct {
	DecidedUpToMS int64      `json:"upto"`              // all moments up to this time (Unix ms) are decided
	Pending       []Decision `json:"pending,omitempty"` // runs whose submission may be unconfirmed
	Last          string     `json:"last,omitempty"`    // ID of the job or workflow run of the latest run
	Log           []Decision `json:"log,omitempty"`     // the latest decisions; earlier ones are in history
	Pages         int        `json:"pages,omitempty"`   // number of history pages
}

// validate validates a stored version and prepares it for use.
func (v *version) validate() error {
	calendars := map[string]*recurrence.Calendar{}
	if v.Calendar != nil {
		if err := v.Calendar.Validate(); err != nil {
			return err
		}
		calendars[v.Calendar.Name] = v.Calendar
	}
	if err := v.Spec.Schedule.Validate(calendars); err != nil {
		return err
	}
	return v.Spec.validate()
}
