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

// faultKinds are the faults, with what each needs.
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
		return requireParameters(spec.DurationS > 0 && spec.Factor > 0, "for_s and factor, ms")
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

// ParseExperiment reads and checks an experiment. Its error names line and field
// of what is no TOML or no field, and the fault of what contradicts itself.
func ParseExperiment(b []byte) (*Experiment, error) {
	experiment := &Experiment{}
	if err := strict.Decode(b, experiment); err != nil {
		return nil, err
	}
	var problems []error
	fail := func(format string, a ...any) { problems = append(problems, fmt.Errorf(format, a...)) }
	positive := func(name string, v float64) {
		if !(v > 0) {
			fail("%s must be above 0", name)
		}
	}
	positive("run_s", experiment.RunS)
	positive("members", float64(experiment.Members))
	positive("machines", float64(experiment.Machines))
	platform := experiment.Platform
	for _, spec := range []struct {
		name string
		v    float64
	}{{"report_s", platform.HeartbeatS}, {"lease_s", platform.LeaseS}, {"value_kb", platform.ValueKB}, {"txn_ops", float64(platform.TxnOps)}, {"rps", platform.StoreRPS}, {"write_rps", platform.StoreWriteRPS}} {
		positive("platform."+spec.name, spec.v)
	}
	if minCancelS := float64(access.MinCancelMS(int64(platform.LeaseS*1000))) / 1000; !(platform.CancelS >= minCancelS) {
		fail("platform.cancel_s must be above lease_s: %g or more", minCancelS)
	}
	if len(experiment.Seeds) == 0 {
		fail("seeds is empty")
	}
	if len(experiment.Types) == 0 || len(experiment.Classes) == 0 || len(experiment.Teams) == 0 {
		fail("a type, a team and a class are needed")
	}
	classes, teams := map[string]bool{}, map[string]bool{}
	for _, t := range experiment.Teams {
		teams[t.Name] = true
	}
	for i, c := range experiment.Classes {
		position := fmt.Sprintf("line %d: class %d (%s)", lineOf(b, "[[class]]", i), i+1, c.Name)
		classes[c.Name] = true
		if !teams[c.Team] {
			fail("%s: team %q is none of the teams", position, c.Team)
		}
		if _, ok := priorities[c.Priority]; !ok {
			fail("%s: priority %q is none of low, standard, high, production", position, c.Priority)
		}
		if len(c.Tasks) != 2 || c.Tasks[0] < 1 || c.Tasks[1] < c.Tasks[0] {
			fail("%s: tasks must be the smallest and the largest number", position)
		}
		positive(position+": per_minute", c.PerMinute)
		positive(position+": run_s", c.RunS)
		positive(position+": cpus", c.CPUs)
	}
	type span struct {
		from, to float64
		i        int
	}
	spans := map[string][]span{}
	for i := range experiment.Faults {
		spec := &experiment.Faults[i]
		position := fmt.Sprintf("line %d: fault %d (%s at %g s)", lineOf(b, "[[fault]]", i), i+1, spec.Kind, spec.AtS)
		validate, ok := faultKinds[spec.Kind]
		if !ok {
			fail("%s: unknown kind", position)
			continue
		}
		if reason := validate(spec); reason != "" {
			fail("%s: %s", position, reason)
		}
		if spec.Class != "" && !classes[spec.Class] {
			fail("%s: class %q is none of the classes", position, spec.Class)
		}
		if spec.Member != "" && !slices.Contains(experiment.memberNames(), spec.Member) {
			fail("%s: member %q is none of %v", position, spec.Member, experiment.memberNames())
		}
		if spec.AtS < 0 || spec.AtS > experiment.RunS {
			fail("%s: at_s is not within run_s", position)
		}
		// Two of the same kind on the same thing cannot overlap: what would
		// end first?
		key := spec.Kind + "|" + spec.Member + "|" + spec.Class + "|" + spec.OtherSide
		for _, other := range spans[key] {
			if spec.DurationS > 0 && spec.AtS < other.to && other.from < spec.AtS+spec.DurationS {
				fail("%s: overlaps fault %d of the same kind on the same", position, other.i+1)
			}
		}
		spans[key] = append(spans[key], span{spec.AtS, spec.AtS + spec.DurationS, i})
	}
	for i := range experiment.Rollouts {
		if err := experiment.Rollouts[i].Plan.Validate(); err != nil {
			fail("line %d: rollout %d: %w", lineOf(b, "[[rollout]]", i), i+1, err)
		}
	}
	names := map[string]bool{}
	if len(experiment.Variants) == 0 {
		experiment.Variants = []Variant{{Name: "default"}}
	}
	for _, v := range experiment.Variants {
		if v.Name == "" || names[v.Name] {
			fail("variant %q: each needs a name of its own", v.Name)
		}
		names[v.Name] = true
		for _, kind := range v.Without {
			if _, ok := faultKinds[kind]; !ok || kind == "burst" {
				fail(
					"variant %s: without names %q, which is no kind of fault that a variant can be spared (bursts change the jobs)",
					v.Name,
					kind,
				)
			}
		}
		if v.Rollout != "" &&
			!slices.ContainsFunc(experiment.Rollouts, func(r Rollout) bool { return r.Plan.ID == v.Rollout }) {
			fail("variant %s: rollout %q is none of the plans", v.Name, v.Rollout)
		}
		if err := v.settings().Validate(); err != nil {
			fail("variant %s: %w", v.Name, err)
		}
	}
	return experiment, errors.Join(problems...)
}

// lineOf is the line of the nth header, from 0, of a list of tables.
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
