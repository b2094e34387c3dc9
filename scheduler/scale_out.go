package scheduler

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"github.com/grebedock/grebedock/planner"
)

// offering is an instance offering of the cloud: a machine type in a zone, spot or on-demand.
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
	// maxScaleOutPerShard limits the machines in one scale-out plan of a shard. The
	// shard reports the remaining demand again.
	maxScaleOutPerShard = 50

	// onDemandMinFill is the fraction of an on-demand machine that a job's waiting tasks
	// must fill before one is provisioned for a job that may use spot machines.
	onDemandMinFill = 1.0

	// scarceTypeCostFactor multiplies the cost of a type that is the only one that some
	// other job fits.
	scarceTypeCostFactor = 4

	// costTolerance is the relative difference up to which two costs count as equal.
	costTolerance = 0.001
)

// scaleOutForDemand provisions machines for the capacity demand that the shards report. For
// each shard it adds machines until the demand fits, each of the offering with the lowest
// cost per task. Few requests can be sent, so one request covers all machines of an
// offering, for all shards, and the largest requests are sent first.
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

// hasCurrentDemand reports whether a shard's demand was reported by the shard's owner, and
// takes into account the machines that were last provisioned for the shard.
func (as *autoscaler) hasCurrentDemand(from string, sentWallMS int64, peerShard *PeerShard) bool {
	name := peerShard.Shard
	if as.provisioning[name] > 0 || sentWallMS < as.demandValidAfter[name] || len(peerShard.Demands) == 0 {
		return false
	}
	return as.shards.ownedShards[name] != nil || as.cache.shardClaims[name].Owner == from
}

// scaleOutPlan collects the machines that one shard's demand requires.
type scaleOutPlan struct {
	candidates []*candidateMachine
	zones      map[offering]offering // by offering without zone: the offering that this plan uses
}

// candidateMachine is a machine of a scale-out plan, with the tasks admitted to it.
type candidateMachine struct {
	machine  *planner.Machine
	offering offering
}

// planScaleOut returns how many machines of each offering a shard's demand requires.
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

// fillCandidates admits tasks of a group to the machines that are already in the plan.
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

// admitToCandidate admits tasks of a group to a machine. It returns the number of admitted
// tasks.
func (as *autoscaler) admitToCandidate(candidate *candidateMachine, g *taskGroup) int {
	mode := planner.AllQueues
	if g.job.Kind == Gang {
		mode = planner.NewSlotsAnyTime // the tasks of a gang must run concurrently
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

// cheapestOffering returns the offering with the lowest cost per task of the group, except
// offerings that the cloud refused recently. On-demand machines cost more, so they are
// chosen only where no spot machine is available. zones records the zone chosen for each
// type: among zones with equal cost, each plan uses one at random, so that one request
// covers many machines.
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

// cheapestOfferings returns the offerings with the lowest cost, within costTolerance. They
// are ordered by type and zone, spot before on-demand.
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

// offeringsOf returns a type's offerings in the order of its zones, spot before on-demand.
func offeringsOf(t *MachineType) []offering {
	offerings := make([]offering, 0, 2*len(t.Zones))
	for _, zone := range t.Zones {
		offerings = append(offerings, offering{t.Name, zone, true}, offering{t.Name, zone, false})
	}
	return offerings
}

// tasksForNewMachine returns how many tasks of a group a new machine of a type can run by the
// group's deadline. It counts at least one wave of tasks, and returns 0 if no task fits the
// type.
func (as *autoscaler) tasksForNewMachine(g *taskGroup, t *MachineType) int {
	if !as.cache.fitsType(g.job, t) {
		return 0
	}
	copies := t.Resources.MaxCopies(withoutDisk(g.job.Request), g.Remaining)
	paddedRuntimeMS := max(int64(float64(g.LengthMS)*planner.RuntimePadding), 1)
	waves := max(1, int((g.DeadlineMS-as.newMachineReadyAtMS(g.job, t))/paddedRuntimeMS))
	return min(copies*waves, g.Remaining)
}

// newMachineReadyAtMS returns the wall-clock time at which a machine provisioned now can
// start tasks of a job.
func (as *autoscaler) newMachineReadyAtMS(j *Job, t *MachineType) int64 {
	return as.now.WallMS + secondsToMS(t.BootS) + as.cache.imageFetchMS(j, t.Name)
}

// mayProvisionFor reports whether an offering is allowed and was not refused recently. An
// on-demand machine costs several times the spot price. For a job that may use spot
// machines, its tasks must therefore end by the deadline and fill the machine.
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

// costPerTask returns the cost of an offering per hour and task, weighted by
// scarceTypeCostFactor for a scarce type.
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
