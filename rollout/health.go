package rollout

import "fmt"

// HealthGates limits by how much each count may exceed its baseline between the beginning of a step and the
// beginning of the next; 0 disables a gate.
type HealthGates struct {
	Errors            int `json:"errors,omitempty" toml:"errors"` // failed tasks
	Losses            int `json:"losses,omitempty" toml:"losses"` // tasks lost with their machines
	LateStarts        int `json:"late,omitempty"   toml:"late"`   // task starts later than their class allows
	MissedDeadlines   int `json:"missed,omitempty" toml:"missed"` // missed deadlines of jobs
	ReplacementErrors int `json:"fresh,omitempty"  toml:"fresh"`  // failed tasks on replacements; baseline 0
}

// HealthCounts holds the cumulative counts that health gates check. The time from which they count is
// arbitrary, since gates use only increases.
type HealthCounts struct {
	Errors            uint64 `json:"errors" msgpack:"e"`
	Losses            uint64 `json:"losses" msgpack:"l"`
	LateStarts        uint64 `json:"late"   msgpack:"t"`
	MissedDeadlines   uint64 `json:"missed" msgpack:"m"`
	ReplacementErrors uint64 `json:"fresh"  msgpack:"f"`
}

// Add returns the sum of both counts.
func (c HealthCounts) Add(other HealthCounts) HealthCounts {
	return HealthCounts{
		c.Errors + other.Errors,
		c.Losses + other.Losses,
		c.LateStarts + other.LateStarts,
		c.MissedDeadlines + other.MissedDeadlines,
		c.ReplacementErrors + other.ReplacementErrors,
	}
}

// Since returns the increase from earlier counts. A count below its earlier value was reset to 0 in between.
func (c HealthCounts) Since(earlier HealthCounts) HealthCounts {
	increase := func(current, previous uint64) uint64 {
		if current < previous {
			return current
		}
		return current - previous
	}
	return HealthCounts{
		increase(c.Errors, earlier.Errors),
		increase(c.Losses, earlier.Losses),
		increase(c.LateStarts, earlier.LateStarts),
		increase(c.MissedDeadlines, earlier.MissedDeadlines),
		increase(c.ReplacementErrors, earlier.ReplacementErrors),
	}
}

// HealthRates holds health counts per second.
type HealthRates struct {
	Errors          float64 `json:"errors"`
	Losses          float64 `json:"losses"`
	LateStarts      float64 `json:"late"`
	MissedDeadlines float64 `json:"missed"`
}

// RatesOver returns the counts as rates over a period in milliseconds. A period below one second counts as one
// second.
func (c HealthCounts) RatesOver(ms int64) HealthRates {
	perSecond := 1000 / float64(max(ms, 1000))
	return HealthRates{
		float64(c.Errors) * perSecond,
		float64(c.Losses) * perSecond,
		float64(c.LateStarts) * perSecond,
		float64(c.MissedDeadlines) * perSecond,
	}
}

// gateExceededReason returns the reason to pause the plan if a gate is exceeded, empty otherwise.
func (r *Record) gateExceededReason(wallMS int64, counts HealthCounts) string {
	if r.Step == 0 || r.StepBaseAt == 0 {
		return ""
	}
	elapsedS := float64(wallMS-r.StepBaseAt) / 1000
	for _, gate := range r.gates(counts.Since(r.StepBaseCounts)) {
		expected := gate.baseline * elapsedS
		if gate.allowed <= 0 || float64(gate.count)-expected <= float64(gate.allowed) {
			continue
		}
		return fmt.Sprintf(
			"gate %s: %d in step %d, %.1f are usual in %.0f s, %d more allowed",
			gate.name, gate.count, r.Step, expected, elapsedS, gate.allowed,
		)
	}
	return ""
}

// gate is a health gate with the values that it compares.
type gate struct {
	name     string // name in JSON and TOML
	allowed  int    // increase allowed beyond the baseline
	count    uint64 // increase since the beginning of the step
	baseline float64
}

// gates returns the plan's gates in the order in which they are checked.
func (r *Record) gates(increase HealthCounts) []gate {
	allowed, baseline := r.Plan.Gates, r.BaselineRates
	return []gate{
		{"errors", allowed.Errors, increase.Errors, baseline.Errors},
		{"losses", allowed.Losses, increase.Losses, baseline.Losses},
		{"late", allowed.LateStarts, increase.LateStarts, baseline.LateStarts},
		{"missed", allowed.MissedDeadlines, increase.MissedDeadlines, baseline.MissedDeadlines},
		{"fresh", allowed.ReplacementErrors, increase.ReplacementErrors, 0},
	}
}
