package scheduler

import "github.com/grebedock/grebedock/disruption"

// Settings are the operators' own, kept in the store and changed through the
// administration API.
type Settings struct {
	Functions int      `json:"functions"`  // functions in a summary
	Samples   int      `json:"samples"`    // samples in a function
	LateShare float64  `json:"late_share"` // of a job's span, by which a late task aims late
	SummaryS  float64  `json:"summary_s"`  // between two summaries to a peer
	IdleBoots float64  `json:"idle_boots"` // idle time before return, in boot times of the machine's type
	Drain     []string `json:"drain,omitempty"`

	// BeginWithinS is the time in which the first task of each job is to start, if
	// its priority finds room at all (feature aging).
	BeginWithinS float64 `json:"begin_within_s"`

	// Disruption is by team what may be stopped to empty machines (rollouts); "*"
	// stands for teams that are not named. Without either, nothing is.
	Disruption map[string]disruption.Budget `json:"disruption,omitempty"`
}

// DefaultSettings are the paper's limits and the design's starting values.
func DefaultSettings() Settings {
	return Settings{Functions: 125, Samples: 10, LateShare: 0.25, SummaryS: 1, IdleBoots: 1.5, BeginWithinS: 240}
}

// Validate says what is wrong with settings, or nothing.
func (s Settings) Validate() string {
	switch {
	case s.Functions < 1 || s.Functions > 1000:
		return "functions must be from 1 to 1000"
	case s.Samples < 2 || s.Samples > 100:
		return "samples must be from 2 to 100"
	case !(s.LateShare > 0) || s.LateShare > 10:
		return "late_share must be above 0 and at most 10"
	case !(s.SummaryS >= 0.1) || s.SummaryS > 60:
		return "summary_s must be from 0.1 to 60"
	case !(s.IdleBoots >= 0) || s.IdleBoots > 1000:
		return "idle_boots must be from 0 to 1000"
	case !(s.BeginWithinS >= 1) || s.BeginWithinS > 1e6:
		return "begin_within_s must be from 1 to 1000000"
	case len(s.Drain) > 100:
		return "drain must name at most 100 machines"
	case len(s.Disruption) > 100:
		return "disruption must name at most 100 teams"
	}
	for team, budget := range sortedByKey(s.Disruption) {
		if reason := budget.Validate(); reason != "" {
			return "disruption." + team + "." + reason
		}
	}
	return ""
}
