package scheduler

import (
	"fmt"

	"github.com/grebedock/grebedock/disruption"
)

// Settings are the settings that operators can change at runtime through the administration
// API. They are stored in the state service and apply to all members.
type Settings struct {
	Functions int `json:"functions"` // availability functions per summary
	Samples   int `json:"samples"`   // samples per availability function
	// LateShare is one step of extending a missed deadline, as a fraction of the time from the
	// job's acceptance to its deadline.
	LateShare float64  `json:"late_share"`
	SummaryS  float64  `json:"summary_s"`       // interval between peer messages in seconds
	IdleBoots float64  `json:"idle_boots"`      // idle time before release, in boot times of the machine type
	Drain     []string `json:"drain,omitempty"` // IDs of cordoned machines

	// BeginWithinS is the time in seconds within which the first task of each job should
	// start, if there is any capacity for the job's priority (feature aging).
	BeginWithinS float64 `json:"begin_within_s"`

	// Disruption is the budget of tasks that rollouts may stop to drain machines, by team.
	// The key "*" applies to teams without an entry. Without either entry, rollouts stop
	// no tasks of the team.
	Disruption map[string]disruption.Budget `json:"disruption,omitempty"`
}

// DefaultSettings returns the settings of a cluster whose operators have not changed any:
// the limits from the paper that package availability implements, and the initial values
// of the design.
func DefaultSettings() Settings {
	return Settings{Functions: 125, Samples: 10, LateShare: 0.25, SummaryS: 1, IdleBoots: 1.5, BeginWithinS: 240}
}

// FieldError reports the first invalid field of Settings.
type FieldError struct {
	Field string // JSON path of the field
	Text  string // complete message for operators; begins with the field
	Err   error  // underlying error of the invalid value, or nil
}

func (e *FieldError) Error() string { return e.Text }

// Unwrap returns the underlying error of the invalid value, or nil.
func (e *FieldError) Unwrap() error { return e.Err }

// Validate returns a *FieldError for the first field with an invalid value, or nil.
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
