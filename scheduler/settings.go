package scheduler

import (
	"fmt"

	"github.com/grebedock/grebedock/disruption"
)

// Settings are what operators may change while the cluster runs, through the
// administration API. They are kept in the store and hold for all members.
type Settings struct {
	Functions int      `json:"functions"`       // availability functions per summary
	Samples   int      `json:"samples"`         // samples per availability function
	LateShare float64  `json:"late_share"`      // of a job's span: one step of extending a late deadline
	SummaryS  float64  `json:"summary_s"`       // seconds between two peer messages
	IdleBoots float64  `json:"idle_boots"`      // idle time before release, in boot times of the machine's type
	Drain     []string `json:"drain,omitempty"` // IDs of cordoned machines

	// BeginWithinS is the time in which the first task of each job is to start, if
	// there is capacity for its priority at all (feature aging).
	BeginWithinS float64 `json:"begin_within_s"`

	// Disruption is by team the budget of tasks that rollouts may stop to drain
	// machines; "*" stands for teams that are not named. Without either, none is
	// stopped.
	Disruption map[string]disruption.Budget `json:"disruption,omitempty"`
}

// DefaultSettings are the settings of a cluster whose operators changed none: the limits of
// the paper (package availability) and the starting values of the design.
func DefaultSettings() Settings {
	return Settings{Functions: 125, Samples: 10, LateShare: 0.25, SummaryS: 1, IdleBoots: 1.5, BeginWithinS: 240}
}

// FieldError is the first invalid field of Settings.
type FieldError struct {
	Field string // as in JSON, with the path to it
	Text  string // the whole text for operators; it begins with the field
	Err   error  // the error of the part that is invalid, if it has one of its own
}

func (e *FieldError) Error() string { return e.Text }

// Unwrap returns the error of the invalid part, or nil.
func (e *FieldError) Unwrap() error { return e.Err }

// Validate returns a *FieldError for the first field that is out of its range, or nil.
func (s Settings) Validate() error {
	invalid := func(field, rest string) error { return &FieldError{Field: field, Text: field + " " + rest} }
	switch {
	case s.Functions < 1 || s.Functions > 1000:
		return invalid("functions", "must be from 1 to 1000")
	case s.Samples < 2 || s.Samples > 100:
		return invalid("samples", "must be from 2 to 100")
	case !(s.LateShare > 0) || s.LateShare > 10:
		return invalid("late_share", "must be above 0 and at most 10")
	case !(s.SummaryS >= 0.1) || s.SummaryS > 60:
		return invalid("summary_s", "must be from 0.1 to 60")
	case !(s.IdleBoots >= 0) || s.IdleBoots > 1000:
		return invalid("idle_boots", "must be from 0 to 1000")
	case !(s.BeginWithinS >= 1) || s.BeginWithinS > 1e6:
		return invalid("begin_within_s", "must be from 1 to 1000000")
	case len(s.Drain) > 100:
		return invalid("drain", "must name at most 100 machines")
	case len(s.Disruption) > 100:
		return invalid("disruption", "must name at most 100 teams")
	}
	for team, budget := range sortedByKey(s.Disruption) {
		if err := budget.Validate(); err != nil {
			field := "disruption." + team
			return &FieldError{Field: field, Text: fmt.Sprintf("%s.%v", field, err), Err: err}
		}
	}
	return nil
}
