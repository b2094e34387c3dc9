// Package rollout drains and replaces machines in steps. It is a state machine over one record in the state
// service, which holds the plan that an operator applied and its progress; the package performs no I/O. The
// leader writes the record and advances it (Record.Advance). Every other member reads from it which of its
// machines are to be drained (Record.Covers). No machine needs a record of its own, so the data of a plan for
// ten thousand machines stays small.
//
//	state     input                                        to        effect
//	running   the step's machines are gone, its pause      running   the next step begins
//	          has passed, and no gate is exceeded
//	running   none of the plan's machines is left          done
//	running   a gate is exceeded                           paused    the reason names the gate
//	running   pause                                        paused    nothing more is drained, stopped or provisioned
//	paused    resume                                       running   the gates count from 0 again
//	running,  abort                                        aborted   its machines accept tasks again
//	paused
//
// A plan selects machines that existed when it began; machines that are provisioned for it later are never
// selected. A machine is covered once the plan drains it. The covered machines are a prefix of the plan's
// machines, ordered by zone (if the plan goes by zone) and ID; Record.LastCovered is the last of them. In mode
// replace a machine is covered only when at least as many replacements have become live as machines are
// covered, including this one.
//
// The package assumes that one leader at a time advances the record, with preconditions on the leader record
// and on the plan record's own revision. It handles a change of leader in any state, replacements that fail
// to boot or whose tasks fail, and machines that disappear. Only the owner of a Record may call its methods
// that change it; they are not safe for concurrent use.
package rollout

import (
	"fmt"
	"slices"
	"strings"
)

// fleetSummary classifies the machines of the fleet for one plan.
type fleetSummary struct {
	uncovered        []*Machine // the plan's machines that are not covered, in the plan's order
	covered          int        // covered machines that still exist
	liveReplacements int
	booting          int // replacements that are not up yet
}

func (r *Record) summarizeFleet(fleet []Machine) (s fleetSummary) {
	for i := range fleet {
		m := &fleet[i]
		switch {
		case r.Covers(m):
			s.covered++
		case r.Selects(m):
			s.uncovered = append(s.uncovered, m)
		case m.ProvisionedForPlan == r.Plan.ID && m.Up:
			s.liveReplacements++
		case m.ProvisionedForPlan == r.Plan.ID:
			s.booting++
		}
	}
	if r.Plan.ByZone {
		slices.SortStableFunc(s.uncovered, func(a, b *Machine) int { return strings.Compare(a.Zone, b.Zone) })
	}
	return s
}

// Advance updates the progress of a running plan; only the leader may call it. The fleet must be sorted by
// ID, and hourlyPrice returns the price of an offering. Advance returns whether the record changed, and how
// many replacements to provision by offering.
func (r *Record) Advance(
	wallMS int64,
	fleet []Machine,
	counts HealthCounts,
	hourlyPrice func(InstanceOffering) float64,
) (changed bool, provision map[InstanceOffering]int) {
	if r.State != Running {
		return false, nil
	}
	if reason := r.gateExceededReason(wallMS, counts); reason != "" {
		r.State, r.Reason = Paused, reason
		return true, nil
	}
	s := r.summarizeFleet(fleet)
	changed = r.countReplacements(s.liveReplacements)
	if len(s.uncovered) == 0 && s.covered == 0 {
		r.State, r.Reason, r.EndedAt = Done, "", wallMS
		return true, nil
	}
	inStep, stepChanged := r.enterStep(wallMS, s, counts)
	changed = changed || stepChanged
	if !inStep {
		return changed, nil
	}
	coverable := min(r.CoverLimit-r.CoveredMachines, len(s.uncovered))
	if r.Plan.Mode == Replace {
		provision = r.replacementsToProvision(s, hourlyPrice)
		coverable = min(coverable, r.ReadyReplacements-r.CoveredMachines)
	}
	if coverable > 0 {
		r.cover(wallMS, s.uncovered[:coverable])
		changed = true
	}
	reason := ""
	if r.Plan.Mode == Replace && coverable <= 0 && s.covered == 0 {
		reason = fmt.Sprintf(
			"waits for replacements: %d came up, %d boot, %d machines are emptied",
			r.ReadyReplacements, s.booting, r.CoveredMachines,
		)
	}
	if reason != r.Reason {
		r.Reason, changed = reason, true
	}
	return changed, provision
}

// countReplacements updates the counts of replacements and reports whether they changed. A replacement that
// became live counts as ready even if it fails or is released later.
func (r *Record) countReplacements(live int) (changed bool) {
	if live == r.LiveReplacements {
		return false
	}
	r.ReadyReplacements += max(0, live-r.LiveReplacements)
	r.LiveReplacements = live
	return true
}

// enterStep begins the next step if the previous step is complete and its pause has passed. It reports
// whether a step is in progress.
func (r *Record) enterStep(wallMS int64, s fleetSummary, counts HealthCounts) (inStep, changed bool) {
	incomplete := r.CoveredMachines < r.CoverLimit && len(s.uncovered) > 0
	if r.Step > 0 && (s.covered > 0 || incomplete) {
		return true, false
	}
	if r.Step > 0 && r.StepEmptiedAt == 0 {
		r.StepEmptiedAt, changed = wallMS, true
	}
	if r.Step > 0 && wallMS-r.StepEmptiedAt < int64(r.Plan.StepPauseS*1000) {
		return false, changed
	}
	r.Step++
	r.CoverLimit = r.CoveredMachines + r.nextStepSize(s.uncovered)
	r.StepCoveredAt, r.StepEmptiedAt = wallMS, 0
	r.StepBaseCounts, r.StepBaseAt = counts, wallMS
	return true, true
}

// nextStepSize returns the number of machines in the step that begins now.
func (r *Record) nextStepSize(uncovered []*Machine) int {
	n := r.Plan.stepSize(r.Step == 1, r.TotalMachines, len(uncovered))
	if !r.Plan.ByZone {
		return n
	}
	sameZone := 0
	for _, m := range uncovered {
		if m.Zone == uncovered[0].Zone {
			sameZone++
		}
	}
	return min(n, sameZone)
}

// cover marks machines as covered, so that they are drained. The step's deadline counts from the last call.
func (r *Record) cover(wallMS int64, machines []*Machine) {
	last := machines[len(machines)-1]
	r.LastCoveredZone, r.LastCovered = last.Zone, last.ID
	r.CoveredMachines += len(machines)
	r.StepCoveredAt = wallMS
}

// replacementsToProvision returns the replacements to provision now: one for each machine that is to be
// covered next. Surge and SurgeCostPerHour limit the replacements in excess of the machines already gone.
func (r *Record) replacementsToProvision(
	s fleetSummary,
	hourlyPrice func(InstanceOffering) float64,
) map[InstanceOffering]int {
	provision := map[InstanceOffering]int{}
	gone := r.CoveredMachines - s.covered
	limit := r.CoverLimit
	if r.Step > 1 {
		// The first step has shown that replacements work. From the second step on, replacements for
		// the next step may boot while machines of the current step are drained.
		limit = r.CoveredMachines + len(s.uncovered)
	}
	for i := r.ReadyReplacements + s.booting; i < limit && i-gone < r.Plan.Surge; i++ {
		index := i - r.CoveredMachines
		if index < 0 || index >= len(s.uncovered) {
			continue
		}
		m := s.uncovered[index]
		offering := InstanceOffering{Type: m.Type, Zone: m.Zone, Spot: m.Spot, Shard: m.Shard}
		surgeCost := float64(i+1-gone) * hourlyPrice(offering)
		if r.Plan.SurgeCostPerHour > 0 && surgeCost > r.Plan.SurgeCostPerHour {
			break
		}
		provision[offering]++
	}
	return provision
}
