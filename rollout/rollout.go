// Package rollout empties and replaces machines in steps. It is a pure state machine
// over one record, which lies in the state service: the plan that operators applied and
// how far it is. The member that leads the fleet owns it and moves it on (Record.Next);
// every other member reads from it which of its machines are to be emptied (Record.Covers),
// so that no machine needs a record of its own and a plan of ten thousand stays small.
//
//	state     input                                       to        does
//	running   the step's machines are gone, its pause     running   the next step begins
//	          is over, and no gate is passed
//	running   none of the plan's machines is left         done
//	running   a gate is passed                            paused    says which and why
//	running   pause                                       paused    nothing new is emptied, stopped or rented
//	paused    resume                                      running   what the gates count begins anew
//	running,  abort                                       aborted   its machines take work again
//	paused
//
// A plan names machines that were there when it began; what is rented later is never
// one of them. A step's machines are a prefix of the plan's in the order of zone (if
// it goes by zone) and name: Upto is the last. When replacing, a machine is covered
// only when as many replacements are up as machines are covered before it and with it.
package rollout

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Mode is what a plan does with machines.
type Mode string

// The modes.
const (
	Drain   Mode = "drain"   // machines are emptied and given back
	Replace Mode = "replace" // for each, another of its kind is rented first
)

// Plan is what an operator applies.
type Plan struct {
	ID string `json:"id" toml:"id"`

	// Which machines: by name, or all that fit what is said.
	Machines []string `json:"machines,omitempty" toml:"machines"`
	All      bool     `json:"all,omitempty"      toml:"all"`
	Type     string   `json:"type,omitempty"     toml:"type"`
	Zone     string   `json:"zone,omitempty"     toml:"zone"`
	Spot     *bool    `json:"spot,omitempty"     toml:"spot"`
	MinAgeS  float64  `json:"older_s,omitempty"  toml:"older_s"` // rented at least so many seconds before the plan began

	Mode             Mode    `json:"mode"                  toml:"mode"`
	Surge            int     `json:"surge,omitempty"       toml:"surge"`       // replace: machines beyond those there were
	SurgeCostPerHour float64 `json:"surge_money,omitempty" toml:"surge_money"` // and what they may cost an hour; 0: any

	FirstStepMachines int         `json:"first,omitempty"      toml:"first"`   // machines of the first step
	StepShare         float64     `json:"step,omitempty"       toml:"step"`    // share of all in each later one; 0: all that is left
	ByZone            bool        `json:"by_zone,omitempty"    toml:"by_zone"` // a zone after the other
	StepPauseS        float64     `json:"pause_s,omitempty"    toml:"pause_s"` // after each step
	DeadlineS         float64     `json:"deadline_s,omitempty" toml:"deadline_s"`
	Gates             HealthGates `json:"gates"                toml:"gates"`
}

// HealthGates are how much more than usual may go wrong from a step's beginning to the next
// one's; 0: not looked at.
type HealthGates struct {
	Errors            int `json:"errors,omitempty" toml:"errors"` // tasks that failed
	Losses            int `json:"losses,omitempty" toml:"losses"` // tasks lost with their machines
	LateStarts        int `json:"late,omitempty"   toml:"late"`   // starts later than their class asks
	MissedDeadlines   int `json:"missed,omitempty" toml:"missed"` // deadlines of jobs
	ReplacementErrors int `json:"fresh,omitempty"  toml:"fresh"`  // tasks that failed on replacements; none are usual
}

// HealthCounts is what gates count, since some beginning.
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

// Since is how much came since an earlier tally. A count that fell began anew.
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

// HealthRates is a tally's counts by the second.
type HealthRates struct {
	Errors          float64 `json:"errors"`
	Losses          float64 `json:"losses"`
	LateStarts      float64 `json:"late"`
	MissedDeadlines float64 `json:"missed"`
}

// RatesOver is a tally over so many milliseconds as a rate.
func (c HealthCounts) RatesOver(ms int64) HealthRates {
	perSecond := 1000 / float64(max(ms, 1000))
	return HealthRates{
		float64(c.Errors) * perSecond,
		float64(c.Losses) * perSecond,
		float64(c.LateStarts) * perSecond,
		float64(c.MissedDeadlines) * perSecond,
	}
}

// maxNamedMachines bounds the names of a plan, so that it fits half a value of 8 KB.
const maxNamedMachines = 200

// FieldError is a fault of one field of a plan, or of a command.
type FieldError struct {
	Field string // as in JSON and TOML
	Text  string // the whole text for operators
}

func (e *FieldError) Error() string { return e.Text }

// invalidField returns a FieldError whose text begins with the field.
func invalidField(field, format string, args ...any) error {
	return &FieldError{Field: field, Text: field + fmt.Sprintf(format, args...)}
}

// TerminalError refuses a command to a plan that is aborted or done.
type TerminalError struct {
	PlanID string
	State  State
}

func (e *TerminalError) Error() string { return fmt.Sprintf("plan %s is %s", e.PlanID, e.State) }

// ErrNoMachineSelected refuses a plan that selects no machine of the fleet.
var ErrNoMachineSelected = errors.New("no machine of the fleet is meant")

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
	hasSelector := p.Type != "" || p.Zone != "" || p.Spot != nil || p.MinAgeS != 0
	switch {
	case len(p.Machines) > maxNamedMachines:
		return invalidField(
			"machines",
			" must name at most %d; choose by type, zone, spot or older_s instead",
			maxNamedMachines,
		)
	case len(p.Machines) > 0 && (hasSelector || p.All):
		return invalidField("machines", " goes with none of all, type, zone, spot and older_s")
	case len(p.Machines) == 0 && !hasSelector && !p.All:
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

// State is how a plan stands.
type State string

// The states.
const (
	Running State = "running"
	Paused  State = "paused"
	Aborted State = "aborted"
	Done    State = "done"
)

// IsTerminal tells whether nothing more comes of a plan.
func (s State) IsTerminal() bool { return s == Aborted || s == Done }

// Record is a plan and how far it is. Times are times of day, ms.
type Record struct {
	Plan              Plan         `json:"plan"`
	State             State        `json:"state"`
	Reason            string       `json:"why,omitempty"` // it is paused, or waits
	StartedAt         int64        `json:"began"`
	EndedAt           int64        `json:"ended,omitempty"`
	TotalMachines     int          `json:"total"` // machines at the beginning
	LiveReplacements  int          `json:"fresh"` // replacements that are up
	ReadyReplacements int          `json:"ready"` // replacements that ever came up
	Step              int          `json:"step"`  // from 1 on; 0: none began
	CoverLimit        int          `json:"end"`   // machines to be covered up to this step's end
	LastCoveredZone   string       `json:"zone,omitempty"`
	LastCovered       string       `json:"upto,omitempty"`     // the last machine that is covered
	CoveredMachines   int          `json:"covered"`            // machines ever covered
	StepCoveredAt     int64        `json:"step_at,omitempty"`  // when the last of the step's machines so far was covered
	StepEmptiedAt     int64        `json:"empty_at,omitempty"` // when the last of the step's machines was gone
	BaselineRates     HealthRates  `json:"usual"`              // what gates count, before the plan
	StepBaseCounts    HealthCounts `json:"base"`               // and at the step's beginning
	StepBaseAt        int64        `json:"base_at,omitempty"`

	// Tokens for stops that the leader issued: package disruption.
	Issued map[string]map[string]uint64 `json:"issued,omitempty"`
}

// Machine is a machine as plans see it.
type Machine struct {
	ID, Type, Zone     string
	Shard              string // whose it is
	Spot, Up           bool
	ProvisionedAt      int64  // time of day, ms
	ProvisionedForPlan string // the plan that it was rented for
}

// Selects tells whether a plan is about a machine.
func (r *Record) Selects(m *Machine) bool {
	p := &r.Plan
	if len(p.Machines) > 0 {
		return slices.Contains(p.Machines, m.ID)
	}
	return m.ProvisionedAt < r.StartedAt-int64(p.MinAgeS*1000) && m.ProvisionedForPlan != p.ID &&
		(p.Type == "" || p.Type == m.Type) && (p.Zone == "" || p.Zone == m.Zone) && (p.Spot == nil || *p.Spot == m.Spot)
}

// Covers tells whether a machine is to be emptied now.
func (r *Record) Covers(m *Machine) bool {
	return !r.State.IsTerminal() && r.Step > 0 && r.LastCovered != "" && r.Selects(m) &&
		r.compareMachines(m.Zone, m.ID, r.LastCoveredZone, r.LastCovered) <= 0
}

func (r *Record) compareMachines(zone, id, zone2, id2 string) int {
	if r.Plan.ByZone {
		if order := strings.Compare(zone, zone2); order != 0 {
			return order
		}
	}
	return strings.Compare(id, id2)
}

// IsPastDeadline tells whether the step's deadline has passed: what still runs on its machines
// is to be stopped, as far as budgets allow.
func (r *Record) IsPastDeadline(wallMS int64) bool {
	return r.State == Running && r.Plan.DeadlineS > 0 && r.StepCoveredAt > 0 && wallMS >= r.StepDeadline()
}

// StepDeadline is when the step's machines should be empty, 0 without one.
func (r *Record) StepDeadline() int64 {
	if r.Plan.DeadlineS <= 0 || r.StepCoveredAt == 0 {
		return 0
	}
	return r.StepCoveredAt + int64(r.Plan.DeadlineS*1000)
}

// InstanceOffering is what a replacement has to be like, and whose: the tasks that are stopped on
// a machine wait in its shard, and a replacement elsewhere is no room for them.
type InstanceOffering struct {
	Type, Zone string
	Spot       bool
	Shard      string
}

// NewRecord returns the record of a plan that is applied now. It fails with a *FieldError if
// a field is invalid or names an unknown machine, and with ErrNoMachineSelected.
func NewRecord(plan Plan, wallMS int64, fleet []Machine, baseline HealthRates) (*Record, error) {
	if err := plan.Validate(); err != nil {
		return nil, err
	}
	record := &Record{Plan: plan, State: Running, StartedAt: wallMS, BaselineRates: baseline}
	for i := range fleet {
		if record.Selects(&fleet[i]) {
			record.TotalMachines++
		}
	}
	for _, id := range plan.Machines {
		if !slices.ContainsFunc(fleet, func(m Machine) bool { return m.ID == id }) {
			return nil, invalidField("machines", ": %s is no machine of the fleet", id)
		}
	}
	if record.TotalMachines == 0 {
		return nil, ErrNoMachineSelected
	}
	return record, nil
}

// Advance moves a running plan on. The fleet is in the order of names; price is what a machine of a kind costs an hour. It
// returns whether the record changed, and which replacements are to be rented.
func (r *Record) Advance(
	wallMS int64,
	fleet []Machine,
	counts HealthCounts,
	hourlyPrice func(InstanceOffering) float64,
) (changed bool, provision map[InstanceOffering]int) {
	if r.State != Running {
		return false, nil
	}
	if reason := r.failedGate(wallMS, counts); reason != "" {
		r.State, r.Reason = Paused, reason
		return true, nil
	}
	var uncovered []*Machine // of the plan, not covered yet
	covered, liveReplacements, booting := 0, 0, 0
	for i := range fleet {
		m := &fleet[i]
		switch {
		case r.Covers(m):
			covered++
		case r.Selects(m):
			uncovered = append(uncovered, m)
		case m.ProvisionedForPlan == r.Plan.ID && m.Up:
			liveReplacements++
		case m.ProvisionedForPlan == r.Plan.ID:
			booting++
		}
	}
	if liveReplacements != r.LiveReplacements {
		// One that came up has replaced one, whatever becomes of it later.
		r.ReadyReplacements += max(0, liveReplacements-r.LiveReplacements)
		r.LiveReplacements, changed = liveReplacements, true
	}
	if len(uncovered) == 0 && covered == 0 {
		r.State, r.Reason, r.EndedAt = Done, "", wallMS
		return true, nil
	}
	if r.Plan.ByZone {
		slices.SortStableFunc(uncovered, func(a, b *Machine) int { return strings.Compare(a.Zone, b.Zone) })
	}
	inStep := r.Step > 0 && (covered > 0 || r.CoveredMachines < r.CoverLimit && len(uncovered) > 0)
	if r.Step > 0 && !inStep && r.StepEmptiedAt == 0 {
		r.StepEmptiedAt, changed = wallMS, true
	}
	if !inStep && (r.Step == 0 || wallMS-r.StepEmptiedAt >= int64(r.Plan.StepPauseS*1000)) {
		r.Step++
		r.CoverLimit = r.CoveredMachines + r.stepSize(uncovered)
		r.StepCoveredAt, r.StepEmptiedAt, r.StepBaseCounts, r.StepBaseAt = wallMS, 0, counts, wallMS
		changed, inStep = true, true
	}
	if !inStep {
		return changed, nil
	}
	// How many more of the step's machines may be covered by now.
	coverable := min(r.CoverLimit-r.CoveredMachines, len(uncovered))
	if r.Plan.Mode == Replace {
		provision = r.replacementsToProvision(uncovered, r.CoveredMachines-covered, booting, hourlyPrice)
		coverable = min(coverable, r.ReadyReplacements-r.CoveredMachines)
	}
	if coverable > 0 {
		lastCovered := uncovered[coverable-1]
		r.LastCoveredZone, r.LastCovered, r.CoveredMachines, changed = lastCovered.Zone, lastCovered.ID, r.CoveredMachines+coverable, true
		r.StepCoveredAt = wallMS // the deadline counts from the last that was covered
	}
	reason := ""
	if r.Plan.Mode == Replace && coverable <= 0 && covered == 0 {
		reason = fmt.Sprintf(
			"waits for replacements: %d came up, %d boot, %d machines are emptied",
			r.ReadyReplacements,
			booting,
			r.CoveredMachines,
		)
	}
	if reason != r.Reason {
		r.Reason, changed = reason, true
	}
	return changed, provision
}

// stepSize is how many machines the step that begins has.
func (r *Record) stepSize(uncovered []*Machine) int {
	n := len(uncovered)
	switch {
	case r.Step == 1 && r.Plan.FirstStepMachines > 0:
		n = r.Plan.FirstStepMachines
	case r.Plan.StepShare > 0:
		n = max(1, int(r.Plan.StepShare*float64(r.TotalMachines)))
	}
	if r.Plan.ByZone {
		sameZone := 0
		for _, m := range uncovered {
			if m.Zone == uncovered[0].Zone {
				sameZone++
			}
		}
		n = min(n, sameZone)
	}
	return min(n, len(uncovered))
}

// StepCount is how many steps the plan has, with so many machines in each zone.
func (r *Record) StepCount(machinesByZone map[string]int) int {
	groups := []int{r.TotalMachines}
	if r.Plan.ByZone {
		groups = groups[:0]
		for _, zone := range slices.Sorted(maps.Keys(machinesByZone)) {
			groups = append(groups, machinesByZone[zone])
		}
	}
	n, firstStep := 0, r.Plan.FirstStepMachines
	for _, remaining := range groups {
		for remaining > 0 {
			size := remaining
			if firstStep > 0 {
				size = firstStep
			} else if r.Plan.StepShare > 0 {
				size = max(1, int(r.Plan.StepShare*float64(r.TotalMachines)))
			}
			firstStep = 0
			remaining -= min(size, remaining)
			n++
		}
	}
	return n
}

// replacementsToProvision are the machines to be rented now: one for each of those to come, no more
// at a time than the surge and its money allow beyond those that were emptied.
func (r *Record) replacementsToProvision(
	uncovered []*Machine,
	emptied, booting int,
	hourlyPrice func(InstanceOffering) float64,
) map[InstanceOffering]int {
	provision := map[InstanceOffering]int{}
	existing := r.ReadyReplacements + booting
	limit := r.CoverLimit
	if r.Step > 1 {
		// The first step showed that replacements are good: those of the next one
		// may boot while this one's machines are emptied.
		limit = r.CoveredMachines + len(uncovered)
	}
	for i := existing; i < limit && i-emptied < r.Plan.Surge; i++ {
		index := i - r.CoveredMachines
		if index < 0 || index >= len(uncovered) {
			continue
		}
		offering := InstanceOffering{
			uncovered[index].Type,
			uncovered[index].Zone,
			uncovered[index].Spot,
			uncovered[index].Shard,
		}
		if r.Plan.SurgeCostPerHour > 0 && float64(i+1-emptied)*hourlyPrice(offering) > r.Plan.SurgeCostPerHour {
			break
		}
		provision[offering]++
	}
	return provision
}

// failedGate says which gate is passed, if one is.
func (r *Record) failedGate(wallMS int64, counts HealthCounts) string {
	if r.Step == 0 || r.StepBaseAt == 0 {
		return ""
	}
	increase := counts.Since(r.StepBaseCounts)
	elapsedS := float64(wallMS-r.StepBaseAt) / 1000
	for _, gate := range []struct {
		name     string
		allowed  int
		count    uint64
		baseline float64
	}{{"errors", r.Plan.Gates.Errors, increase.Errors, r.BaselineRates.Errors}, {"losses", r.Plan.Gates.Losses, increase.Losses, r.BaselineRates.Losses},
		{"late", r.Plan.Gates.LateStarts, increase.LateStarts, r.BaselineRates.LateStarts}, {"missed", r.Plan.Gates.MissedDeadlines, increase.MissedDeadlines, r.BaselineRates.MissedDeadlines}, {"fresh", r.Plan.Gates.ReplacementErrors, increase.ReplacementErrors, 0}} {
		if excess := float64(gate.count) - gate.baseline*elapsedS; gate.allowed > 0 && excess > float64(gate.allowed) {
			return fmt.Sprintf(
				"gate %s: %d in step %d, %.1f are usual in %.0f s, %d more allowed",
				gate.name,
				gate.count,
				r.Step,
				gate.baseline*elapsedS,
				elapsedS,
				gate.allowed,
			)
		}
	}
	return ""
}

// Command is what an operator does with a plan.
type Command string

// The commands.
const (
	Pause  Command = "pause"
	Resume Command = "resume"
	Abort  Command = "abort"
)

// ApplyCommand carries an operator's command out. It fails with a *TerminalError if the plan
// is over, and with a *FieldError if the command is unknown.
func (r *Record) ApplyCommand(command Command, wallMS int64, counts HealthCounts) error {
	if r.State.IsTerminal() {
		return &TerminalError{PlanID: r.Plan.ID, State: r.State}
	}
	switch command {
	case Pause:
		if r.State == Running {
			r.State, r.Reason = Paused, "by an operator"
		}
	case Resume:
		if r.State == Paused {
			r.State, r.Reason, r.StepBaseCounts, r.StepBaseAt = Running, "", counts, wallMS
		}
	case Abort:
		r.State, r.Reason, r.EndedAt = Aborted, cmp.Or(r.Reason, "by an operator"), wallMS
	default:
		return &FieldError{Field: "command", Text: fmt.Sprintf("unknown command %q", command)}
	}
	return nil
}
