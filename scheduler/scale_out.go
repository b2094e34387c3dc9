package scheduler

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"sort"
	"strings"

	"github.com/grebedock/grebedock/planner"
)

// offering is a kind of machine in a zone, as the cloud rents it.
type offering struct {
	machineType, zone string
	spot              bool
}

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

// listsPerListLag is how often the list is read while it lags once.
const listsPerListLag = 3

// bootGracePeriods is after how many of its type's boot times a machine that has
// not come up is replaced.
const bootGracePeriods = 3

// releasedRetentionLags is for how many lags of the list a returned machine is ignored
// in it. A list may be older than the one before it, so one lag is not enough.
const releasedRetentionLags = 5

// candidateMachine is a machine that might be rented, while needs are fitted into it.
type candidateMachine struct {
	machine  *planner.Machine
	offering offering
}

// scaleOutForDemand rents what the shards say they lack: per shard, machines are
// added until the needs fit, each time of the kind that costs least for the
// tasks it takes. One call asks for all machines of a kind and zone, whichever
// shards they are for, and the largest are asked for first: calls are few.
func (as *autoscaler) scaleOutForDemand() {
	requests := map[offering]map[string]int{}
	total := map[offering]int{}
	as.peers.forEachFreshMessage(func(from string, msg *PeerMessage) {
		for i := range msg.OwnedShards {
			peerShard := &msg.OwnedShards[i]
			if as.provisioning[peerShard.Shard] > 0 || msg.WallMS < as.demandValidAfter[peerShard.Shard] ||
				len(peerShard.Demands) == 0 {
				continue
			}
			if as.shards.ownedShards[peerShard.Shard] == nil && as.cache.shardClaims[peerShard.Shard].Owner != from {
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
	var order []offering
	for o := range total {
		order = append(order, o)
	}
	slices.SortFunc(order, func(a, b offering) int { return cmp.Or(cmp.Compare(total[b], total[a]), a.compare(b)) })
	for _, o := range order {
		as.provision(o, requests[o], "", func() {})
	}
}

// maxScaleOutPerShard bounds the machines asked for by one shard's needs at a time;
// needs that remain are told again.
const maxScaleOutPerShard = 50

// planScaleOut is what machines a shard's needs ask for.
func (as *autoscaler) planScaleOut(peerShard *PeerShard) map[offering]int {
	var candidates []*candidateMachine
	wall := as.now.WallMS
	zones := map[offering]offering{} // the zone that this round takes for a kind
	for _, demand := range peerShard.Demands {
		j := as.cache.jobs[demand.Job]
		if j == nil {
			continue
		}
		mode := planner.AllQueues
		if j.rec.Job.Kind == Gang {
			mode = planner.NewSlotsAnyTime // side by side: none may wait for another
		}
		g := &taskGroup{
			job: &j.rec.Job,
			Group: planner.Group{
				Request:    j.rec.Job.resourceRequest(),
				Remaining:  demand.Tasks,
				LengthMS:   demand.TaskRuntimeMS,
				DeadlineMS: demand.DeadlineMS,
			},
		}
		for _, candidate := range candidates {
			if g.Remaining > 0 &&
				as.cache.isOfferingAllowed(g.job, candidate.offering.machineType, candidate.offering.zone, candidate.offering.spot) {
				n, _, _ := planner.AdmitToMachine(
					candidate.machine,
					&g.Group,
					as.cache.imageFetchMS(g.job, candidate.offering.machineType),
					as.cache.fillDeadline(g, candidate.machine),
					g.Remaining,
					mode,
				)
				g.Remaining -= n
			}
		}
		for g.Remaining > 0 && len(candidates) < maxScaleOutPerShard {
			o, ok := as.cheapestOffering(g, demand.SpotOnly, zones)
			if !ok {
				break
			}
			t := as.cache.machineTypes[o.machineType]
			candidate := &candidateMachine{
				offering: o,
				machine: &planner.Machine{
					Offering:  planner.InstanceOffering{Type: o.machineType, Zone: o.zone, Spot: o.spot},
					ReadyAtMS: wall + secondsToMS(t.BootS),
					Free:      t.Resources,
				},
			}
			n, _, _ := planner.AdmitToMachine(
				candidate.machine,
				&g.Group,
				as.cache.imageFetchMS(g.job, o.machineType),
				as.cache.fillDeadline(g, candidate.machine),
				g.Remaining,
				mode,
			)
			if n == 0 {
				break
			}
			g.Remaining -= n
			candidates = append(candidates, candidate)
		}
	}
	counts := map[offering]int{}
	for _, candidate := range candidates {
		counts[candidate.offering]++
	}
	return counts
}

// onDemandMinFill is how full the waiting tasks of a job must make an ordinary
// machine before one is rented for a job that may use spot machines.
const onDemandMinFill = 1.0

// scarceTypeCostFactor is how much dearer a type counts that others cannot do without.
const scarceTypeCostFactor = 4

// cheapestOffering picks the kind of machine that costs least for the tasks of the
// group that it takes, among those the cloud did not refuse of late. Ordinary
// machines are dearer, so they come up where no spot machine is to be had.
func (as *autoscaler) cheapestOffering(g *taskGroup, spotOnly bool, zones map[offering]offering) (offering, bool) {
	var best []offering
	bestCost := math.Inf(1)
	names := make([]string, 0, len(as.cache.machineTypes))
	for n := range as.cache.machineTypes {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		t := as.cache.machineTypes[n]
		if !as.cache.fitsType(g.job, t) {
			continue
		}
		copies := t.Resources.MaxCopies(withoutDisk(g.job.Request), g.Remaining)
		readyAt := as.now.WallMS + secondsToMS(t.BootS) + as.cache.imageFetchMS(g.job, n)
		waves := max(1, int((g.DeadlineMS-readyAt)/max(int64(float64(g.LengthMS)*planner.RuntimePadding), 1)))
		tasks := min(copies*waves, g.Remaining)
		if tasks < 1 {
			continue
		}
		for _, z := range t.Zones {
			for _, spot := range []bool{true, false} {
				o := offering{n, z, spot}
				if spotOnly && !spot || !as.cache.isOfferingAllowed(g.job, n, z, spot) || as.now.MonotonicMS < as.unavailableUntil[o] {
					continue
				}
				if !spot && g.job.Spot && readyAt+g.LengthMS > g.DeadlineMS {
					// It would come too late for the aim it is asked
					// for: not worth several times the price.
					continue
				}
				price := t.Price
				if spot {
					price = t.SpotPrice
				}
				cost := price / float64(tasks)
				if !spot && g.job.Spot &&
					float64(g.Remaining) < float64(t.Resources.MaxCopies(withoutDisk(g.job.Request), 1000))*onDemandMinFill {
					continue
				}
				if as.cache.isTypeScarce(g.job, t) {
					cost *= scarceTypeCostFactor
				}
				if cost < bestCost*0.999 {
					bestCost, best = cost, best[:0]
				}
				if cost <= bestCost*1.001 {
					best = append(best, o)
				}
			}
		}
	}
	if len(best) == 0 {
		return offering{}, false
	}
	// Zones that cost the same take turns, a round for each, so that a call
	// asks for many.
	o := best[as.rng.IntN(len(best))]
	kind := offering{machineType: o.machineType, spot: o.spot}
	if z, ok := zones[kind]; ok && slices.Contains(best, z) {
		return z, true
	}
	zones[kind] = o
	return o, true
}

// provision asks for machines under a name that no one ever uses again: it holds
// the revision of the lead's claim. What comes is split among the shards as they
// asked. plan names a rollout that they are for; over is called when the request is.
func (as *autoscaler) provision(o offering, shards map[string]int, plan string, onEnd func()) {
	n := 0
	for s, k := range sortedByKey(shards) {
		k = min(k, maxInstancesPerRequest-n)
		shards[s] = k
		n += k
		as.provisioning[s]++
	}
	as.provisionRequests++
	name := fmt.Sprintf("r-%d-%d", as.leaderRev, as.provisionRequests)
	requestedAt, rev, shardsLeft := as.now.WallMS, as.leaderRev, len(shards)
	endShard := func(s string) {
		if as.leaderRev == rev {
			as.provisioning[s]--
			as.demandValidAfter[s] = as.now.WallMS + 300
			if shardsLeft--; shardsLeft == 0 {
				onEnd()
			}
		}
	}
	endAll := func() {
		for s := range shards {
			endShard(s)
		}
	}
	markUnavailable := func() {
		as.unavailableUntil[o] = as.now.MonotonicMS + max(secondsToMS(as.cache.machineTypes[o.machineType].BootS), 5000)
	}
	var send func(retries int)
	send = func(retries int) {
		as.sendCloud(
			CloudOp{Kind: CloudProvision, IdempotencyKey: name, Type: o.machineType, Zone: o.zone, Spot: o.spot, Count: n},
			func(r CloudResult) {
				switch r.Outcome {
				case OK:
					if len(r.Machines) < n {
						markUnavailable()
					}
					as.Counters.Provisioned += uint64(len(r.Machines))
					as.log(
						Info,
						"machines rented",
						"type",
						o.machineType,
						"zone",
						o.zone,
						"spot",
						o.spot,
						"asked",
						n,
						"got",
						len(r.Machines),
						"machines",
						r.Machines,
					)
					ids := r.Machines
					for s, k := range sortedByKey(shards) {
						// What is missing is missing for all in proportion.
						k = min(len(ids), (k*len(r.Machines)+n-1)/n)
						as.addMachinesToRegistry(ids[:k], o, s, plan, requestedAt, func() { endShard(s) })
						ids = ids[k:]
					}
				case NotFound:
					as.log(Debug, "no capacity", "type", o.machineType, "zone", o.zone, "spot", o.spot)
					markUnavailable()
					endAll()
				case Unknown:
					// The same name gets the same answer, and rents nothing
					// twice.
					if retries > 0 {
						send(retries - 1)
						return
					}
					endAll()
				default:
					as.nextProvisionAt = as.now.MonotonicMS + 2000
					endAll()
				}
			},
		)
	}
	send(3)
}

// maxInstancesPerRequest is the most machines of one request, by the cloud's protocol.
const maxInstancesPerRequest = 50
