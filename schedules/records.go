package schedules

import (
	"fmt"

	"github.com/grebedock/grebedock/recurrence"
	"github.com/grebedock/grebedock/scheduler"
)

// Keys of the state service. Only one small record a shard is mirrored, whose
// revision tells its holder that definitions changed; definitions and progress
// are read by the holder alone, so that their number costs others nothing.
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

// changeIndexRecord tells a shard's holder what changed last.
type changeIndexRecord struct {
	Seq   int      `json:"seq"`
	Names []string `json:"names"` // of the last changes, newest last
}

const maxIndexedChanges = 16

// addChange notes that a schedule changed.
func (m *changeIndexRecord) addChange(name string) {
	m.Seq++
	m.Names = append(m.Names, name)
	if n := len(m.Names); n > maxIndexedChanges {
		m.Names = m.Names[n-maxIndexedChanges:]
	}
}

// definitionRecord is a schedule's definition. A version counts from a moment on: what
// was due before it goes by the one before.
type definitionRecord struct {
	Version  int      `json:"version"`
	SinceMS  int64    `json:"since"` // time of day, ms
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

// calendar is nil where a schedule names none.
type calendar = *recurrence.Calendar

// Decision is what became of a moment.
type Decision struct {
	AtMS      int64  `json:"at"` // the moment, time of day, ms
	Run       bool   `json:"run"`
	Job       string `json:"job,omitempty"`
	Reason    string `json:"why,omitempty"` // why it is late, moved or not run
	Version   int    `json:"version"`
	DecidedMS int64  `json:"decided"`
}

// progressRecord is what a schedule decided. Pending are runs that may not have been
// submitted yet.
type progressRecord struct {
	DecidedUpToMS int64      `json:"upto"` // all moments up to this one are decided
	Pending       []Decision `json:"pending,omitempty"`
	Last          string     `json:"last,omitempty"` // the newest run's job
	Log           []Decision `json:"log,omitempty"`
	Pages         int        `json:"pages,omitempty"`
}

// validate checks a version that came from the store.
func (v *version) validate() error {
	cals := map[string]*recurrence.Calendar{}
	if v.Calendar != nil {
		if err := v.Calendar.Validate(); err != nil {
			return err
		}
		cals[v.Calendar.Name] = v.Calendar
	}
	if err := v.Spec.Schedule.Validate(cals); err != nil {
		return err
	}
	return v.Spec.validate()
}
