package rollout

import "strings"

// Mode determines what a plan does with its machines.
type Mode string

// The modes of a plan.
const (
	Drain   Mode = "drain"   // machines are drained and released
	Replace Mode = "replace" // as drain, but a replacement of the same offering is provisioned first
)

// Plan is a rollout plan that an operator applies.
type Plan struct {
	ID string `json:"id" toml:"id"`

	// The plan selects the machines named in Machines, all machines, or those that match Type, Zone, Spot and
	// MinAgeS. A zero value of a filter matches any machine. MinAgeS is the minimum age of a machine in seconds
	// when the plan begins.
	Machines []string `json:"machines,omitempty" toml:"machines"`
	All      bool     `json:"all,omitempty"      toml:"all"`
	Type     string   `json:"type,omitempty"     toml:"type"`
	Zone     string   `json:"zone,omitempty"     toml:"zone"`
	Spot     *bool    `json:"spot,omitempty"     toml:"spot"`
	MinAgeS  float64  `json:"older_s,omitempty"  toml:"older_s"`

	// Surge limits the number of machines that replacements add to the fleet at a time, and SurgeCostPerHour
	// limits their hourly price (0: unlimited). Both apply only to mode replace.
	Mode             Mode    `json:"mode"                  toml:"mode"`
	Surge            int     `json:"surge,omitempty"       toml:"surge"`
	SurgeCostPerHour float64 `json:"surge_money,omitempty" toml:"surge_money"`

	// StepShare is the share of the plan's machines in each step after the first; 0: all remaining machines.
	// StepPauseS is the pause after each step. DeadlineS counts from when a step's last machine is covered.
	FirstStepMachines int         `json:"first,omitempty"      toml:"first"`
	StepShare         float64     `json:"step,omitempty"       toml:"step"`
	ByZone            bool        `json:"by_zone,omitempty"    toml:"by_zone"` // one zone after the other
	StepPauseS        float64     `json:"pause_s,omitempty"    toml:"pause_s"`
	DeadlineS         float64     `json:"deadline_s,omitempty" toml:"deadline_s"`
	Gates             HealthGates `json:"gates"                toml:"gates"`
}

// hasFilter reports whether the plan selects machines by their attributes.
func (p *Plan) hasFilter() bool {
	return p.Type != "" || p.Zone != "" || p.Spot != nil || p.MinAgeS != 0
}

// passesFilter reports whether a machine matches the filters of a plan that began at startedAt.
func (p *Plan) passesFilter(m *Machine, startedAt int64) bool {
	return m.ProvisionedAt < startedAt-int64(p.MinAgeS*1000) &&
		(p.Type == "" || p.Type == m.Type) &&
		(p.Zone == "" || p.Zone == m.Zone) &&
		(p.Spot == nil || *p.Spot == m.Spot)
}

// stepSize returns the number of machines in a step of a plan with total machines, of which remaining are left.
func (p *Plan) stepSize(first bool, total, remaining int) int {
	switch {
	case first && p.FirstStepMachines > 0:
		return min(p.FirstStepMachines, remaining)
	case p.StepShare > 0:
		return min(max(1, int(p.StepShare*float64(total))), remaining)
	}
	return remaining
}

// maxNamedMachines limits the machines that a plan names, so that its record fits half of a value of 8 KB.
const maxNamedMachines = 200

// Validate returns a *FieldError for the first field that is out of its range, or nil.
func (p *Plan) Validate() error {
	if len(p.ID) < 1 || len(p.ID) > 60 || strings.ContainsAny(p.ID, " /\t\n") {
		return invalidField("id", " must have 1 to 60 characters, no spaces and no slashes")
	}
	if err := p.validateSelection(); err != nil {
		return err
	}
	if err := p.validateMode(); err != nil {
		return err
	}
	return p.validatePace()
}

func (p *Plan) validateSelection() error {
	hasFilter := p.hasFilter()
	switch {
	case len(p.Machines) > maxNamedMachines:
		return invalidField(
			"machines",
			" must name at most %d; choose by type, zone, spot or older_s instead",
			maxNamedMachines,
		)
	case len(p.Machines) > 0 && (hasFilter || p.All):
		return invalidField("machines", " goes with none of all, type, zone, spot and older_s")
	case len(p.Machines) == 0 && !hasFilter && !p.All:
		return &FieldError{Field: "machines", Text: "name machines, or say all, type, zone, spot or older_s"}
	}
	return nil
}

func (p *Plan) validateMode() error {
	switch {
	case p.Mode != Drain && p.Mode != Replace:
		return invalidField("mode", " %q is neither drain nor replace", p.Mode)
	case p.Mode == Replace && p.Surge < 1:
		return invalidField("surge", " must be at least 1 to replace")
	case p.Mode == Drain && (p.Surge != 0 || p.SurgeCostPerHour != 0):
		return invalidField("surge", " and surge_money go with mode replace")
	case p.Surge > 1000:
		return invalidField("surge", " must be at most 1000")
	case !(p.SurgeCostPerHour >= 0):
		return invalidField("surge_money", " must not be below 0")
	}
	return nil
}

func (p *Plan) validatePace() error {
	g := p.Gates
	switch {
	case p.FirstStepMachines < 0 || p.FirstStepMachines > 100_000:
		return invalidField("first", " must be from 0 to 100000")
	case !(p.StepShare >= 0) || p.StepShare > 1:
		return invalidField("step", " must be from 0 to 1")
	case !(p.StepPauseS >= 0) || p.StepPauseS > 86_400:
		return invalidField("pause_s", " must be from 0 to 86400")
	case !(p.DeadlineS >= 0) || p.DeadlineS > 7*86_400:
		return invalidField("deadline_s", " must be from 0 to 604800")
	case !(p.MinAgeS >= 0):
		return invalidField("older_s", " must not be below 0")
	case min(g.Errors, g.Losses, g.LateStarts, g.MissedDeadlines, g.ReplacementErrors) < 0:
		return invalidField("gates", " must not be below 0")
	}
	return nil
}
