// Package rollout drains and replaces machines in steps. It is a pure state machine over one
// record, which is kept in the state service: the plan that operators applied, and its progress. The
// leader owns the record and advances it (Record.Advance); every other member reads from it which
// of its machines are to be drained (Record.Covers). So no machine needs a record of its own, and a
// plan for ten thousand stays small.
//
//	state     input                                        to        effect
//	running   the step's machines are gone, its pause      running   the next step begins
//	          is over, and no gate is exceeded
//	running   none of the plan's machines is left          done
//	running   a gate is exceeded                           paused    the reason names the gate
//	running   pause                                        paused    no more is drained, stopped, provisioned
//	paused    resume                                       running   the gates count anew
//	running,  abort                                        aborted   its machines take tasks again
//	paused
//
// A plan selects machines that existed when it began; what is provisioned for it later is never one
// of them. The covered machines are a prefix of the plan's machines in the order of zone (if it goes
// by zone) and ID; Record.LastCovered is the last of them. In mode replace a machine is covered only
// when as many replacements have come up as machines are covered, itself included.
//
// The package may assume that one leader at a time writes the record, under its claim and the
// record's revision. It is built for leaders that change in any state, for replacements that fail to
// boot or run tasks badly, and for machines that vanish. Only the owner of a Record may call its
// methods that change it; they are not safe for concurrent use.
package rollout

import (
	"fmt"
	"slices"
	"strings"
)

// survey is the fleet as a plan sees it.
type survey struct {
	uncovered        []*Machine // of the plan's machines, in its order
	covered          int        // of the plan's machines that are left
	liveReplacements int
	booting          int // replacements that are not up yet
}

func (r *Record) survey(fleet []Machine) (s survey) {
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

// Advance moves a running plan on; only the leader may call it. The fleet is in the order of IDs, and
// hourlyPrice returns the price of an offering. It returns whether the record changed, and how many
// replacements are to be provisioned.
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
	s := r.survey(fleet)
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

// countReplacements reports whether the number of live replacements changed. One that became
// live has replaced a machine, whatever becomes of it later.
func (r *Record) countReplacements(live int) (changed bool) {
	if live == r.LiveReplacements {
		return false
	}
	r.ReadyReplacements += max(0, live-r.LiveReplacements)
	r.LiveReplacements = live
	return true
}

// enterStep begins the next step if the last one and its pause are over, and reports whether a step
// is in progress.
func (r *Record) enterStep(wallMS int64, s survey, counts HealthCounts) (inStep, changed bool) {
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

// nextStepSize returns how many machines the step that begins has.
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

// cover has machines drained from now on. The step's deadline counts from the last of them.
func (r *Record) cover(wallMS int64, machines []*Machine) {
	last := machines[len(machines)-1]
	r.LastCoveredZone, r.LastCovered = last.Zone, last.ID
	r.CoveredMachines += len(machines)
	r.StepCoveredAt = wallMS
}

// replacementsToProvision returns the replacements to provision now: one for each machine that is
// covered next, no more at a time beyond the machines already gone than the surge and its cost
// allow.
func (r *Record) replacementsToProvision(
	s survey,
	hourlyPrice func(InstanceOffering) float64,
) map[InstanceOffering]int {
	provision := map[InstanceOffering]int{}
	gone := r.CoveredMachines - s.covered
	limit := r.CoverLimit
	if r.Step > 1 {
		// The first step showed that replacements are good: those of the next step may boot
		// while this one's machines are drained.
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
