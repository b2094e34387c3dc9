package scheduler

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"github.com/grebedock/grebedock/planner"
)

// offering is a type of machine in a zone, spot or on-demand, as the cloud provisions it.
type offering struct {
	machineType, zone string
	spot              bool
}

// compare orders offerings by type and zone, spot before on-demand.
func (o offering) compare(other offering) int {
	bySpot := 0
	if o.spot != other.spot {
		bySpot = 1
		if o.spot {
			bySpot = -1
		}
	}
	return cmp.Or(strings.Compare(o.machineType, other.machineType), strings.Compare(o.zone, other.zone), bySpot)
}

const (
	// maxScaleOutPerShard bounds the machines asked for by one shard's demand at a
	// time; what remains is reported again.
	maxScaleOutPerShard = 50

	// onDemandMinFill is how full the waiting tasks of a job must make an on-demand
	// machine before one is provisioned for a job that may use spot machines.
	onDemandMinFill = 1.0

	// scarceTypeCostFactor multiplies the cost of a type that other jobs cannot do
	// without.
	scarceTypeCostFactor = 4

	// costTolerance is the relative difference within which two costs are the same.
	costTolerance = 0.001
)

// scaleOutForDemand provisions what the shards report that they lack: for each shard,
// machines are added until its demand fits, each time of the offering that costs
// least for the tasks it takes. One request asks for all machines of an offering,
// whichever shards they are for, and the largest are sent first: requests are few.
func (as *autoscaler) scaleOutForDemand() {
	requests := map[offering]map[string]int{}
	total := map[offering]int{}
	as.peers.forEachFreshMessage(func(from string, msg *PeerMessage) {
		for i := range msg.OwnedShards {
			peerShard := &msg.OwnedShards[i]
			if !as.hasCurrentDemand(from, msg.WallMS, peerShard) {
				continue
			}
			for o, n := range as.planScaleOut(peerShard) {
				if requests[o] == nil {
					requests[o] = map[string]int{}
				}
				requests[o][peerShard.Shard] += n
				total[o] += n
			}
		}
	})
	order := make([]offering, 0, len(total))
	for o := range total {
		order = append(order, o)
	}
	slices.SortFunc(order, func(a, b offering) int { return cmp.Or(cmp.Compare(total[b], total[a]), a.compare(b)) })
	for _, o := range order {
		as.provision(o, requests[o], "", func() {})
	}
}

// hasCurrentDemand reports whether a shard's demand comes from the shard's owner and
// counts the machines that were provisioned for it last.
func (as *autoscaler) hasCurrentDemand(from string, sentWallMS int64, peerShard *PeerShard) bool {
	name := peerShard.Shard
	if as.provisioning[name] > 0 || sentWallMS < as.demandValidAfter[name] || len(peerShard.Demands) == 0 {
		return false
	}
	return as.shards.ownedShards[name] != nil || as.cache.shardClaims[name].Owner == from
}

// scaleOutPlan collects the machines that one shard's demand asks for.
type scaleOutPlan struct {
	candidates []*candidateMachine
	zones      map[offering]offering // by offering without zone: the one that this plan takes
}

// candidateMachine is a machine that might be provisioned, while tasks are fitted into it.
type candidateMachine struct {
	machine  *planner.Machine
	offering offering
}

// planScaleOut returns how many machines of each offering a shard's demand asks for.
func (as *autoscaler) planScaleOut(peerShard *PeerShard) map[offering]int {
	plan := &scaleOutPlan{zones: map[offering]offering{}}
	for _, demand := range peerShard.Demands {
		j := as.cache.jobs[demand.Job]
		if j == nil {
			continue
		}
		job := &j.rec.Job
		g := &taskGroup{
			job: job,
			Group: planner.Group{
				Request:    job.resourceRequest(),
				Remaining:  demand.Tasks,
				LengthMS:   demand.TaskRuntimeMS,
				DeadlineMS: demand.DeadlineMS,
			},
		}
		as.fillCandidates(plan, g)
		as.addCandidates(plan, g, demand.SpotOnly)
	}
	counts := map[offering]int{}
	for _, candidate := range plan.candidates {
		counts[candidate.offering]++
	}
	return counts
}

// fillCandidates fits tasks of a group into the machines that the plan has already.
func (as *autoscaler) fillCandidates(plan *scaleOutPlan, g *taskGroup) {
	for _, candidate := range plan.candidates {
		o := candidate.offering
		if g.Remaining > 0 && as.cache.isOfferingAllowed(g.job, o.machineType, o.zone, o.spot) {
			as.admitToCandidate(candidate, g)
		}
	}
}

// addCandidates adds machines to the plan until the group's tasks fit.
func (as *autoscaler) addCandidates(plan *scaleOutPlan, g *taskGroup, spotOnly bool) {
	for g.Remaining > 0 && len(plan.candidates) < maxScaleOutPerShard {
		o, ok := as.cheapestOffering(g, spotOnly, plan.zones)
		if !ok {
			return
		}
		t := as.cache.machineTypes[o.machineType]
		candidate := &candidateMachine{
			offering: o,
			machine: &planner.Machine{
				Offering:  planner.InstanceOffering{Type: o.machineType, Zone: o.zone, Spot: o.spot},
				ReadyAtMS: as.now.WallMS + secondsToMS(t.BootS),
				Free:      t.Resources,
			},
		}
		if as.admitToCandidate(candidate, g) == 0 {
			return
		}
		plan.candidates = append(plan.candidates, candidate)
	}
}

// admitToCandidate fits tasks of a group into a machine, and returns how many.
func (as *autoscaler) admitToCandidate(candidate *candidateMachine, g *taskGroup) int {
	mode := planner.AllQueues
	if g.job.Kind == Gang {
		mode = planner.NewSlotsAnyTime // side by side: none may wait for another
	}
	n, _, _ := planner.AdmitToMachine(
		candidate.machine,
		&g.Group,
		as.cache.imageFetchMS(g.job, candidate.offering.machineType),
		as.cache.fillDeadline(g, candidate.machine),
		g.Remaining,
		mode,
	)
	g.Remaining -= n
	return n
}

// cheapestOffering picks the offering that costs least for the tasks of the group that
// it takes, among those that the cloud did not refuse of late. On-demand machines cost
// more, so they come up where no spot machine is available. zones remembers the zone
// taken for a type: zones that cost the same take turns, a plan for each, so that one
// request asks for many machines.
func (as *autoscaler) cheapestOffering(
	g *taskGroup,
	spotOnly bool,
	zones map[offering]offering,
) (cheapest offering, ok bool) {
	best := as.cheapestOfferings(g, spotOnly)
	if len(best) == 0 {
		return offering{}, false
	}
	o := best[as.rng.IntN(len(best))]
	anyZone := offering{machineType: o.machineType, spot: o.spot}
	if taken, ok := zones[anyZone]; ok && slices.Contains(best, taken) {
		return taken, true
	}
	zones[anyZone] = o
	return o, true
}

// cheapestOfferings lists the offerings that cost least, within costTolerance, by type,
// zone and spot first.
func (as *autoscaler) cheapestOfferings(g *taskGroup, spotOnly bool) []offering {
	var best []offering
	bestCost := math.Inf(1)
	for _, t := range sortedByKey(as.cache.machineTypes) {
		tasks := as.tasksForNewMachine(g, t)
		if tasks < 1 {
			continue
		}
		for _, o := range offeringsOf(t) {
			if spotOnly && !o.spot || !as.mayProvisionFor(g, t, o) {
				continue
			}
			cost := as.costPerTask(g.job, t, o, tasks)
			if cost < bestCost*(1-costTolerance) {
				bestCost, best = cost, best[:0]
			}
			if cost <= bestCost*(1+costTolerance) {
				best = append(best, o)
			}
		}
	}
	return best
}

// offeringsOf lists a type's offerings, zone by zone.
func offeringsOf(t *MachineType) []offering {
	offerings := make([]offering, 0, 2*len(t.Zones))
	for _, zone := range t.Zones {
		offerings = append(offerings, offering{t.Name, zone, true}, offering{t.Name, zone, false})
	}
	return offerings
}

// tasksForNewMachine is how many tasks of a group a machine of a type takes until the
// group's deadline, at least one wave of them; 0 if the type does not fit.
func (as *autoscaler) tasksForNewMachine(g *taskGroup, t *MachineType) int {
	if !as.cache.fitsType(g.job, t) {
		return 0
	}
	copies := t.Resources.MaxCopies(withoutDisk(g.job.Request), g.Remaining)
	paddedRuntimeMS := max(int64(float64(g.LengthMS)*planner.RuntimePadding), 1)
	waves := max(1, int((g.DeadlineMS-as.newMachineReadyAtMS(g.job, t))/paddedRuntimeMS))
	return min(copies*waves, g.Remaining)
}

// newMachineReadyAtMS is the wall time at which a machine that is provisioned now can
// start tasks of a job.
func (as *autoscaler) newMachineReadyAtMS(j *Job, t *MachineType) int64 {
	return as.now.WallMS + secondsToMS(t.BootS) + as.cache.imageFetchMS(j, t.Name)
}

// mayProvisionFor reports whether an offering is allowed, not refused of late, and, for a
// job that may use spot machines, worth several times the price.
func (as *autoscaler) mayProvisionFor(g *taskGroup, t *MachineType, o offering) bool {
	isAllowed := as.cache.isOfferingAllowed(g.job, o.machineType, o.zone, o.spot)
	if !isAllowed || as.now.MonotonicMS < as.unavailableUntil[o] {
		return false
	}
	if o.spot || !g.job.Spot {
		return true
	}
	isTooLate := as.newMachineReadyAtMS(g.job, t)+g.LengthMS > g.DeadlineMS
	fullMachine := float64(t.Resources.MaxCopies(withoutDisk(g.job.Request), 1000)) * onDemandMinFill
	return !isTooLate && float64(g.Remaining) >= fullMachine
}

// costPerTask is what an offering counts as, in money an hour and task.
func (as *autoscaler) costPerTask(j *Job, t *MachineType, o offering, tasks int) float64 {
	price := t.Price
	if o.spot {
		price = t.SpotPrice
	}
	cost := price / float64(tasks)
	if as.cache.isTypeScarce(j, t) {
		cost *= scarceTypeCostFactor
	}
	return cost
}
