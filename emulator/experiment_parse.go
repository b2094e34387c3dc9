package emulator

import (
	"bytes"
	"errors"
	"fmt"
	"slices"

	"github.com/grebedock/grebedock/access"
	"github.com/grebedock/grebedock/scheduler"
	"github.com/grebedock/grebedock/strict"
)

// faultKinds maps each kind of fault to the validation of its fields.
var faultKinds = map[string]func(*FaultSpec) string{
	"crash":  func(spec *FaultSpec) string { return "" },
	"roll":   func(spec *FaultSpec) string { return requireParameters(spec.IntervalS > 0, "every_s") },
	"outage": func(spec *FaultSpec) string { return requireParameters(spec.DurationS > 0, "for_s") },
	"cut": func(spec *FaultSpec) string {
		return requireParameters(spec.DurationS > 0 && spec.OtherSide != "", "for_s and between")
	},
	"hang": func(spec *FaultSpec) string {
		return requireParameters(spec.DurationS > 0 && spec.Count > 0, "for_s and count")
	},
	"zone": func(spec *FaultSpec) string {
		return requireParameters(spec.DurationS > 0 && spec.Zone != "", "for_s and zone")
	},
	"replace": func(spec *FaultSpec) string { return requireParameters(spec.Count > 0, "count") },
	"die":     func(spec *FaultSpec) string { return requireParameters(spec.Count > 0, "count") },
	"lag": func(spec *FaultSpec) string {
		return requireParameters(spec.DurationS > 0 && spec.Factor > 0, "for_s and factor (ms)")
	},
	"copies": func(spec *FaultSpec) string {
		isShare := spec.Factor > 0 && spec.Factor <= 1
		return requireParameters(spec.DurationS > 0 && isShare, "for_s and factor (at most 1)")
	},
	"burst": func(spec *FaultSpec) string {
		return requireParameters(spec.DurationS > 0 && spec.Factor > 0 && spec.Class != "", "for_s, factor and class")
	},
}

func requireParameters(ok bool, names string) string {
	if ok {
		return ""
	}
	return "needs " + names
}

// ParseExperiment decodes and validates an experiment. Its error gives the line and field of
// invalid TOML or of an unknown field, or describes each inconsistency of a decoded experiment.
func ParseExperiment(b []byte) (*Experiment, error) {
	experiment := &Experiment{}
	if err := strict.Decode(b, experiment); err != nil {
		return nil, err
	}
	if len(experiment.Variants) == 0 {
		experiment.Variants = []Variant{{Name: "default"}}
	}
	v := &experimentValidator{experiment: experiment, source: b}
	v.validatePlatform()
	v.validateClasses()
	v.validateFaults()
	v.validateRollouts()
	v.validateVariants()
	return experiment, errors.Join(v.problems...)
}

// experimentValidator collects all problems of an experiment, so that users see them together.
type experimentValidator struct {
	experiment *Experiment
	source     []byte // contents of the file, for line numbers
	problems   []error
}

func (v *experimentValidator) fail(format string, a ...any) {
	v.problems = append(v.problems, fmt.Errorf(format, a...))
}

func (v *experimentValidator) requirePositive(name string, value float64) {
	if !(value > 0) {
		v.fail("%s must be above 0", name)
	}
}

func (v *experimentValidator) validatePlatform() {
	experiment, platform := v.experiment, &v.experiment.Platform
	v.requirePositive("run_s", experiment.RunS)
	v.requirePositive("members", float64(experiment.Members))
	v.requirePositive("machines", float64(experiment.Machines))
	for _, field := range []struct {
		name  string
		value float64
	}{
		{"report_s", platform.HeartbeatS},
		{"lease_s", platform.LeaseS},
		{"value_kb", platform.ValueKB},
		{"txn_ops", float64(platform.TxnOps)},
		{"rps", platform.StoreRPS},
		{"write_rps", platform.StoreWriteRPS},
	} {
		v.requirePositive("platform."+field.name, field.value)
	}
	if minCancelS := float64(
		access.MinCancelMS(int64(platform.LeaseS*1000)),
	) / 1000; !(platform.CancelS >= minCancelS) {
		v.fail("platform.cancel_s must be above lease_s: at least %g", minCancelS)
	}
	if len(experiment.Seeds) == 0 {
		v.fail("seeds is empty")
	}
	if len(experiment.Types) == 0 || len(experiment.Classes) == 0 || len(experiment.Teams) == 0 {
		v.fail("at least one type, one team and one class are required")
	}
}

func (v *experimentValidator) validateClasses() {
	for i, c := range v.experiment.Classes {
		position := fmt.Sprintf("line %d: class %d (%s)", lineOf(v.source, "[[class]]", i), i+1, c.Name)
		if !slices.ContainsFunc(v.experiment.Teams, func(t Team) bool { return t.Name == c.Team }) {
			v.fail("%s: team %q is not defined", position, c.Team)
		}
		if _, ok := priorities[c.Priority]; !ok {
			v.fail("%s: priority %q is not one of low, standard, high, production", position, c.Priority)
		}
		if len(c.Tasks) != 2 || c.Tasks[0] < 1 || c.Tasks[1] < c.Tasks[0] {
			v.fail("%s: tasks must be [smallest, largest] with 1 <= smallest <= largest", position)
		}
		v.requirePositive(position+": per_minute", c.PerMinute)
		v.requirePositive(position+": run_s", c.RunS)
		v.requirePositive(position+": cpus", c.CPUs)
	}
}

// faultSpan is the interval during which a fault is active on its target.
type faultSpan struct {
	fromS, toS float64
	index      int
}

func (v *experimentValidator) validateFaults() {
	spans := map[string][]faultSpan{} // keyed by kind and target
	for i := range v.experiment.Faults {
		spec := &v.experiment.Faults[i]
		line := lineOf(v.source, "[[fault]]", i)
		position := fmt.Sprintf("line %d: fault %d (%s at %g s)", line, i+1, spec.Kind, spec.AtS)
		if !v.validateFault(spec, position) {
			continue
		}
		// Two faults of the same kind on the same target must not overlap: the end of one would
		// end the other as well.
		target := spec.Kind + "|" + spec.Member + "|" + spec.Class + "|" + spec.OtherSide
		for _, other := range spans[target] {
			if spec.DurationS > 0 && spec.AtS < other.toS && other.fromS < spec.AtS+spec.DurationS {
				v.fail("%s: overlaps fault %d of the same kind on the same target", position, other.index+1)
			}
		}
		spans[target] = append(spans[target], faultSpan{spec.AtS, spec.AtS + spec.DurationS, i})
	}
}

// validateFault validates a fault and reports whether its kind is known.
func (v *experimentValidator) validateFault(spec *FaultSpec, position string) bool {
	experiment := v.experiment
	validate, ok := faultKinds[spec.Kind]
	if !ok {
		v.fail("%s: unknown kind", position)
		return false
	}
	if reason := validate(spec); reason != "" {
		v.fail("%s: %s", position, reason)
	}
	isClass := func(c Class) bool { return c.Name == spec.Class }
	if spec.Class != "" && !slices.ContainsFunc(experiment.Classes, isClass) {
		v.fail("%s: class %q is not defined", position, spec.Class)
	}
	if spec.Member != "" && !slices.Contains(experiment.memberNames(), spec.Member) {
		v.fail("%s: member %q is not one of %v", position, spec.Member, experiment.memberNames())
	}
	if spec.AtS < 0 || spec.AtS > experiment.RunS {
		v.fail("%s: at_s is not within run_s", position)
	}
	return true
}

func (v *experimentValidator) validateRollouts() {
	for i := range v.experiment.Rollouts {
		if err := v.experiment.Rollouts[i].Plan.Validate(); err != nil {
			v.fail("line %d: rollout %d: %w", lineOf(v.source, "[[rollout]]", i), i+1, err)
		}
	}
}

func (v *experimentValidator) validateVariants() {
	names := map[string]bool{}
	for _, variant := range v.experiment.Variants {
		if variant.Name == "" || names[variant.Name] {
			v.fail("variant %q: name is empty or not unique", variant.Name)
		}
		names[variant.Name] = true
		for _, kind := range variant.Without {
			if _, ok := faultKinds[kind]; !ok || kind == "burst" {
				v.fail("variant %s: without lists %q, which is not a fault kind that a variant can omit "+
					"(bursts change the submitted jobs)", variant.Name, kind)
			}
		}
		isPlan := func(r Rollout) bool { return r.Plan.ID == variant.Rollout }
		if variant.Rollout != "" && !slices.ContainsFunc(v.experiment.Rollouts, isPlan) {
			v.fail("variant %s: rollout %q is not a defined plan", variant.Name, variant.Rollout)
		}
		if err := variant.settings().Validate(); err != nil {
			v.fail("variant %s: %w", variant.Name, err)
		}
	}
}

// lineOf returns the line number of the nth header, counted from 0, of an array of tables, or 0 if
// there is none.
func lineOf(b []byte, header string, n int) int {
	for i, line := range bytes.Split(b, []byte("\n")) {
		if bytes.HasPrefix(bytes.TrimSpace(line), []byte(header)) {
			if n == 0 {
				return i + 1
			}
			n--
		}
	}
	return 0
}

var priorities = map[string]scheduler.Priority{
	"low":        scheduler.Low,
	"standard":   scheduler.Normal,
	"high":       scheduler.High,
	"production": scheduler.Production,
}
