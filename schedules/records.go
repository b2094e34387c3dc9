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
	MarkPrefix = scheduler.BesidePrefix + "s/"
	defPrefix  = "s/"
	progPrefix = "sp/"
	pagePrefix = "sh/"
)

func markKey(shard string) string { return MarkPrefix + shard }

func defKey(shard, name string) string { return defPrefix + shard + "/" + name }

func progKey(shard, name string) string { return progPrefix + shard + "/" + name }

func pageKey(shard, name string, n int) string {
	return fmt.Sprintf("%s%s/%s/%06d", pagePrefix, shard, name, n)
}

// markRecord tells a shard's holder what changed last.
type markRecord struct {
	Seq   int      `json:"seq"`
	Names []string `json:"names"` // of the last changes, newest last
}

const markNames = 16

// add notes that a schedule changed.
func (m *markRecord) add(name string) {
	m.Seq++
	m.Names = append(m.Names, name)
	if n := len(m.Names); n > markNames {
		m.Names = m.Names[n-markNames:]
	}
}

// defRecord is a schedule's definition. A version counts from a moment on: what
// was due before it goes by the one before.
type defRecord struct {
	Version int      `json:"version"`
	Since   int64    `json:"since"` // time of day, ms
	Spec    Spec     `json:"spec"`
	Cal     calendar `json:"calendar"`
	Paused  bool     `json:"paused,omitempty"`
	Old     *version `json:"old,omitempty"`
}

type version struct {
	Version int      `json:"version"`
	Since   int64    `json:"since"`
	Spec    Spec     `json:"spec"`
	Cal     calendar `json:"calendar"`
}

// calendar is nil where a schedule names none.
type calendar = *recurrence.Calendar

// Decision is what became of a moment.
type Decision struct {
	At      int64  `json:"at"` // the moment, time of day, ms
	Run     bool   `json:"run"`
	Job     string `json:"job,omitempty"`
	Why     string `json:"why,omitempty"` // why it is late, moved or not run
	Version int    `json:"version"`
	Decided int64  `json:"decided"`
}

// progRecord is what a schedule decided. Pending are runs that may not have been
// submitted yet.
type progRecord struct {
	UpTo    int64      `json:"upto"` // all moments up to this one are decided
	Pending []Decision `json:"pending,omitempty"`
	Last    string     `json:"last,omitempty"` // the newest run's job
	Log     []Decision `json:"log,omitempty"`
	Pages   int        `json:"pages,omitempty"`
}

// ready checks a version that came from the store.
func (v *version) ready() error {
	cals := map[string]*recurrence.Calendar{}
	if v.Cal != nil {
		if err := v.Cal.Check(); err != nil {
			return err
		}
		cals[v.Cal.Name] = v.Cal
	}
	if err := v.Spec.Schedule.Check(cals); err != nil {
		return err
	}
	return v.Spec.check()
}
