package rollout

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// State is the state of a plan. The package comment lists the transitions.
type State string

// The states of a plan.
const (
	Running State = "running"
	Paused  State = "paused"
	Aborted State = "aborted"
	Done    State = "done"
)

// IsTerminal reports whether the plan is aborted or done.
func (s State) IsTerminal() bool { return s == Aborted || s == Done }

// Record is the stored form of a plan and its progress. Times are times of day in milliseconds.
type Record struct {
	Plan              Plan   `json:"plan"`
	State             State  `json:"state"`
	Reason            string `json:"why,omitempty"` // why the plan is paused or waits
	StartedAt         int64  `json:"began"`
	EndedAt           int64  `json:"ended,omitempty"`
	TotalMachines     int    `json:"total"` // machines selected when the plan began
	LiveReplacements  int    `json:"fresh"`
	ReadyReplacements int    `json:"ready"` // replacements that ever became live
	Progress
	BaselineRates  HealthRates  `json:"usual"` // rates before the plan began
	StepBaseCounts HealthCounts `json:"base"`  // counts at the beginning of the step
	StepBaseAt     int64        `json:"base_at,omitempty"`

	// Issued holds the number of disruption tokens issued by shard and team (package disruption).
	Issued map[string]map[string]uint64 `json:"issued,omitempty"`
}

// Progress is the progress of a plan. A machine is covered once the plan drains it.
type Progress struct {
	Step            int    `json:"step"` // counts from 1; 0: no step has begun
	CoverLimit      int    `json:"end"`  // number of covered machines at which the step is complete
	LastCoveredZone string `json:"zone,omitempty"`
	LastCovered     string `json:"upto,omitempty"`     // last covered machine in the plan's order
	CoveredMachines int    `json:"covered"`            // machines ever covered
	StepCoveredAt   int64  `json:"step_at,omitempty"`  // when a machine of the step was last covered
	StepEmptiedAt   int64  `json:"empty_at,omitempty"` // when the step's last machine was gone
}

// Machine holds the attributes of a machine that plans depend on.
type Machine struct {
	ID, Type, Zone     string
	Shard              string // the shard that owns the machine
	Spot, Up           bool
	ProvisionedAt      int64  // time of day in milliseconds
	ProvisionedForPlan string // ID of the plan that it was provisioned for, if any
}

// Selects reports whether the plan selects a machine.
func (r *Record) Selects(m *Machine) bool {
	if len(r.Plan.Machines) > 0 {
		return slices.Contains(r.Plan.Machines, m.ID)
	}
	return m.ProvisionedForPlan != r.Plan.ID && r.Plan.passesFilter(m, r.StartedAt)
}

// Covers reports whether a machine is to be drained now.
func (r *Record) Covers(m *Machine) bool {
	if r.State.IsTerminal() || r.Step == 0 || r.LastCovered == "" {
		return false
	}
	return r.Selects(m) && !r.isAfterLastCovered(m)
}

// isAfterLastCovered reports whether a machine follows the last covered machine in the plan's order.
func (r *Record) isAfterLastCovered(m *Machine) bool {
	if r.Plan.ByZone && m.Zone != r.LastCoveredZone {
		return m.Zone > r.LastCoveredZone
	}
	return m.ID > r.LastCovered
}

// IsPastDeadline reports whether the step's deadline has passed. Tasks that still run on the step's machines
// are then stopped within the disruption budgets.
func (r *Record) IsPastDeadline(wallMS int64) bool {
	deadline := r.StepDeadline()
	return r.State == Running && deadline > 0 && wallMS >= deadline
}

// StepDeadline returns the time by which the step's machines should be drained, 0 if there is none.
func (r *Record) StepDeadline() int64 {
	if r.Plan.DeadlineS <= 0 || r.StepCoveredAt == 0 {
		return 0
	}
	return r.StepCoveredAt + int64(r.Plan.DeadlineS*1000)
}

// InstanceOffering holds the attributes that a replacement must match. The shard is one of them: tasks stopped
// on a machine wait in its shard, and a replacement in another shard cannot run them.
type InstanceOffering struct {
	Type, Zone string
	Spot       bool
	Shard      string
}

// NewRecord returns the record of a plan that begins now. It returns a *FieldError if a field is invalid or
// names an unknown machine, and ErrNoMachineSelected if the plan selects no machine.
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

// StepCount returns the number of steps of the plan, given the number of its machines in each zone.
func (r *Record) StepCount(machinesByZone map[string]int) int {
	groups := []int{r.TotalMachines}
	if r.Plan.ByZone {
		groups = groups[:0]
		for _, zone := range slices.Sorted(maps.Keys(machinesByZone)) {
			groups = append(groups, machinesByZone[zone])
		}
	}
	steps := 0
	for _, remaining := range groups {
		for remaining > 0 {
			remaining -= r.Plan.stepSize(steps == 0, r.TotalMachines, remaining)
			steps++
		}
	}
	return steps
}

// Command is an operator's command for a plan.
type Command string

// The commands for a plan.
const (
	Pause  Command = "pause"
	Resume Command = "resume"
	Abort  Command = "abort"
)

// ApplyCommand applies an operator's command to the record. It returns a *TerminalError if the plan is aborted
// or done, and a *FieldError if the command is unknown.
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
