package rollout

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// State is the state of a plan; the package comment has its transitions.
type State string

// The states.
const (
	Running State = "running"
	Paused  State = "paused"
	Aborted State = "aborted"
	Done    State = "done"
)

// IsTerminal reports whether the plan is over.
func (s State) IsTerminal() bool { return s == Aborted || s == Done }

// Record is a plan and its progress, as stored. Times are times of day in milliseconds.
type Record struct {
	Plan              Plan   `json:"plan"`
	State             State  `json:"state"`
	Reason            string `json:"why,omitempty"` // why it is paused or waits
	StartedAt         int64  `json:"began"`
	EndedAt           int64  `json:"ended,omitempty"`
	TotalMachines     int    `json:"total"` // selected at the beginning
	LiveReplacements  int    `json:"fresh"`
	ReadyReplacements int    `json:"ready"` // that ever became live
	Progress
	BaselineRates  HealthRates  `json:"usual"` // before the plan
	StepBaseCounts HealthCounts `json:"base"`  // at the step's beginning
	StepBaseAt     int64        `json:"base_at,omitempty"`

	// Issued counts the leader's disruption tokens by shard and team (package disruption).
	Issued map[string]map[string]uint64 `json:"issued,omitempty"`
}

// Progress is how far a plan is. A machine is covered from when it is to be drained.
type Progress struct {
	Step            int    `json:"step"` // from 1 on; 0: none began
	CoverLimit      int    `json:"end"`  // machines covered when the step is complete
	LastCoveredZone string `json:"zone,omitempty"`
	LastCovered     string `json:"upto,omitempty"`     // in the plan's order
	CoveredMachines int    `json:"covered"`            // ever covered
	StepCoveredAt   int64  `json:"step_at,omitempty"`  // when the step's last machine so far was covered
	StepEmptiedAt   int64  `json:"empty_at,omitempty"` // when the step's last machine was gone
}

// Machine is a machine as plans see it.
type Machine struct {
	ID, Type, Zone     string
	Shard              string // its owner
	Spot, Up           bool
	ProvisionedAt      int64  // time of day in milliseconds
	ProvisionedForPlan string // the plan that it replaces a machine for, if any
}

// Selects reports whether a machine is one of the plan's.
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

// isAfterLastCovered compares in the plan's order.
func (r *Record) isAfterLastCovered(m *Machine) bool {
	if r.Plan.ByZone && m.Zone != r.LastCoveredZone {
		return m.Zone > r.LastCoveredZone
	}
	return m.ID > r.LastCovered
}

// IsPastDeadline reports whether the step's deadline has passed: what still runs on its machines
// is to be stopped, as far as budgets allow.
func (r *Record) IsPastDeadline(wallMS int64) bool {
	deadline := r.StepDeadline()
	return r.State == Running && deadline > 0 && wallMS >= deadline
}

// StepDeadline returns when the step's machines should be drained, 0 if there is no deadline.
func (r *Record) StepDeadline() int64 {
	if r.Plan.DeadlineS <= 0 || r.StepCoveredAt == 0 {
		return 0
	}
	return r.StepCoveredAt + int64(r.Plan.DeadlineS*1000)
}

// InstanceOffering is what a replacement must match. The shard is part of it: tasks that are stopped
// on a machine wait in its shard, and a replacement elsewhere has no room for them.
type InstanceOffering struct {
	Type, Zone string
	Spot       bool
	Shard      string
}

// NewRecord returns the record of a plan that begins now. It fails with a *FieldError if
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

// StepCount returns how many steps the plan has, with so many machines in each zone.
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

// Command is an operator's command to a plan.
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
