package rollout

import "fmt"

// HealthGates bound by how much counts may exceed the baseline from a step's beginning to the next
// one's; 0: not checked.
type HealthGates struct {
	Errors            int `json:"errors,omitempty" toml:"errors"` // tasks that failed
	Losses            int `json:"losses,omitempty" toml:"losses"` // tasks lost with their machines
	LateStarts        int `json:"late,omitempty"   toml:"late"`   // starts later than their class allows
	MissedDeadlines   int `json:"missed,omitempty" toml:"missed"` // of jobs
	ReplacementErrors int `json:"fresh,omitempty"  toml:"fresh"`  // failed tasks on replacements; baseline 0
}

// HealthCounts is what gates count, since any beginning.
type HealthCounts struct {
	Errors            uint64 `json:"errors" msgpack:"e"`
	Losses            uint64 `json:"losses" msgpack:"l"`
	LateStarts        uint64 `json:"late"   msgpack:"t"`
	MissedDeadlines   uint64 `json:"missed" msgpack:"m"`
	ReplacementErrors uint64 `json:"fresh"  msgpack:"f"`
}

// Add returns the sum.
func (c HealthCounts) Add(other HealthCounts) HealthCounts {
	return HealthCounts{
		c.Errors + other.Errors,
		c.Losses + other.Losses,
		c.LateStarts + other.LateStarts,
		c.MissedDeadlines + other.MissedDeadlines,
		c.ReplacementErrors + other.ReplacementErrors,
	}
}

// Since returns the increase from earlier counts. A count that fell began anew from 0.
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

// HealthRates is counts per second.
type HealthRates struct {
	Errors          float64 `json:"errors"`
	Losses          float64 `json:"losses"`
	LateStarts      float64 `json:"late"`
	MissedDeadlines float64 `json:"missed"`
}

// RatesOver returns counts that came within a number of milliseconds, at least a second, as rates.
func (c HealthCounts) RatesOver(ms int64) HealthRates {
	perSecond := 1000 / float64(max(ms, 1000))
	return HealthRates{
		float64(c.Errors) * perSecond,
		float64(c.Losses) * perSecond,
		float64(c.LateStarts) * perSecond,
		float64(c.MissedDeadlines) * perSecond,
	}
}

// failedGate returns the reason to pause the plan, empty if no gate is exceeded.
func (r *Record) failedGate(wallMS int64, counts HealthCounts) string {
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

// gate is a health gate with what it compares.
type gate struct {
	name     string // as in JSON and TOML
	allowed  int    // beyond the baseline
	count    uint64 // since the step's beginning
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
