package schedules

import (
	"fmt"

	"github.com/grebedock/grebedock/recurrence"
	"github.com/grebedock/grebedock/scheduler"
)

// Keys of the state service. Only the change index of each shard is replicated to all members; by its
// revision the owner knows that definitions changed. Definitions and progress are read by the owner
// alone, so that their number costs others nothing.
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

// changeIndexRecord is the change index of a shard: which schedules changed last.
type changeIndexRecord struct {
	Seq   int      `json:"seq"`   // rises by 1 with each change
	Names []string `json:"names"` // of the last changes, the newest last
}

const maxIndexedChanges = 16

// addChange notes that a schedule changed.
func (r *changeIndexRecord) addChange(name string) {
	r.Seq++
	r.Names = append(r.Names, name)
	if n := len(r.Names); n > maxIndexedChanges {
		r.Names = r.Names[n-maxIndexedChanges:]
	}
}

// changesSince returns the names that changed after a sequence number; ok is false if the index does
// not go back that far.
func (r *changeIndexRecord) changesSince(sequence int) (names []string, ok bool) {
	n := r.Seq - sequence
	if n <= 0 || n > len(r.Names) {
		return nil, false
	}
	return r.Names[len(r.Names)-n:], true
}

// definitionRecord is a schedule's definition. A version is in effect from SinceMS on; moments before that
// follow Previous.
type definitionRecord struct {
	Version  int      `json:"version"`
	SinceMS  int64    `json:"since"` // time of day in milliseconds
	Spec     Spec     `json:"spec"`
	Calendar calendar `json:"calendar"`
	Paused   bool     `json:"paused,omitempty"`
	Previous *version `json:"old,omitempty"`
}

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

// calendar is nil if a schedule names none.
type calendar = *recurrence.Calendar

// Decision is what was decided for a moment. Times are times of day in milliseconds.
type Decision struct {
	AtMS      int64  `json:"at"` // the moment
	Run       bool   `json:"run"`
	Job       string `json:"job,omitempty"`
	Reason    string `json:"why,omitempty"` // why it is late, shifted or not run
	Version   int    `json:"version"`
	DecidedMS int64  `json:"decided"`
}

// progressRecord is what a schedule decided.
type progressRecord struct {
	DecidedUpToMS int64      `json:"upto"`              // all moments up to this time of day are decided
	Pending       []Decision `json:"pending,omitempty"` // runs that may not be submitted yet
	Last          string     `json:"last,omitempty"`    // the job of the newest run
	Log           []Decision `json:"log,omitempty"`     // the newest decisions; earlier ones are in history
	Pages         int        `json:"pages,omitempty"`   // of history
}

// validate makes a version that came from the store ready for use.
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
