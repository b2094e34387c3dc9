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

// autoscaler is what the member that leads the fleet keeps: it alone rents and
// returns machines. The lead is a record that hangs on the member's hold.
type autoscaler struct {
	*environment
	cache    *stateCache
	peers    *peerTable
	registry *machineRegistry
	rollouts *rolloutController
	shards   *shardManager
	store    *storeClient

	cloudCallbacks map[uint64]func(CloudResult) // by request

	leading           bool
	nonce             uint64
	leaderRev         uint64
	claimPending      bool
	nextClaimAt       int64
	provisionRequests uint64

	nextListAt       int64
	listPending      bool
	nextCatalogAt    int64
	releasePending   bool
	nextReleaseAt    int64
	nextProvisionAt  int64
	provisioning     map[string]int     // shard: requests under way
	demandValidAfter map[string]int64   // shard: needs told before this are out of date
	unavailableUntil map[offering]int64 // steady time until which not to ask
	listed           map[string]bool
	pendingReleases  map[string]bool  // machines that are to be returned
	releasedAt       map[string]int64 // machine: when it was returned

	// What is to be written to the rosters.
	lastRegistryPageNumber int
	pendingAdditions       []*registryAddition
	pendingRemovals        map[string]bool
	unrecordedMachines     map[string]bool // machines that were found or rented and have no roster yet
	unknownMachines        []Heartbeat     // machines that reported and that nobody knows
	nextFound              int64
	registryWriting        bool
	nextRegistryWriteAt    int64
}

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

func newAutoscaler(env *environment) *autoscaler {
	return &autoscaler{
		environment:        env,
		cloudCallbacks:     map[uint64]func(CloudResult){},
		provisioning:       map[string]int{},
		demandValidAfter:   map[string]int64{},
		unavailableUntil:   map[offering]int64{},
		releasedAt:         map[string]int64{},
		pendingReleases:    map[string]bool{},
		pendingRemovals:    map[string]bool{},
		unrecordedMachines: map[string]bool{},
	}
}

func (as *autoscaler) tickFleet() {
	f := as
	now := as.now.MonotonicMS
	if len(as.cache.machineTypes) == 0 || f.leading {
		if now >= f.nextCatalogAt {
			f.nextCatalogAt = now + 5000
			as.sendCloud(CloudOp{Kind: CloudCatalog}, as.applyCatalog)
		}
	}
	if !as.store.hasAuthority() {
		return
	}
	if as.cache.leader == "" || as.cache.leader == as.params.MemberID && !f.leading {
		as.claimLeadership()
		return
	}
	if !as.canActAsLeader() {
		return
	}
	as.assignFoundMachines()
	as.writeRegistry()
	if now >= f.nextListAt && !f.listPending {
		f.listPending = true
		as.listCloudMachines("", nil, now)
	}
	if now >= f.nextReleaseAt && !f.releasePending {
		as.releaseMachines()
	}
	if now >= f.nextProvisionAt {
		f.nextProvisionAt = now + 500
		as.scaleOutForDemand()
	}
	as.rollouts.tickRollout()
}

func (as *autoscaler) claimLeadership() {
	f := as
	now := as.now.MonotonicMS
	if f.claimPending || now < f.nextClaimAt {
		return
	}
	f.claimPending = true
	nonce := as.rng.Uint64()
	f.nonce = nonce
	rec := claimRecord{as.params.MemberID, nonce}
	as.store.sendStore(
		StoreOp{Kind: StoreTxn, Urgency: UrgencyLease, Preconditions: []Precondition{{leaderKey, as.cache.keyRevisions[leaderKey]}},
			Changes: []Change{{Key: leaderKey, Value: mustEncode(rec), LeaseID: as.store.storeAccess.LeaseID()}}},
		func(r StoreResult) {
			f.claimPending = false
			f.nextClaimAt = as.now.MonotonicMS + 500 + as.rng.Int64N(500)
			if r.Outcome == OK {
				as.cache.applyChange(KeyValue{Key: leaderKey, Value: mustEncode(rec), Rev: r.Rev})
				f.leading, f.leaderRev = true, r.Rev
				f.nextListAt = as.now.MonotonicMS
				clear(f.provisioning)
				as.rollouts.ledger, as.rollouts.provisioning = nil, false
				// What an earlier lead of ours left is the cloud list's to tell.
				f.pendingAdditions, f.unknownMachines, f.registryWriting = nil, nil, false
				clear(f.unrecordedMachines)
				clear(f.pendingRemovals)
				clear(f.pendingReleases)
				as.log(Info, "leading the fleet", "revision", r.Rev)
			} else {
				as.store.rereadKey(leaderKey, func(StoreResult) {})
			}
		},
	)
}

func (as *autoscaler) applyCatalog(r CloudResult) {
	f := as
	if r.Outcome != OK || len(r.Types) == 0 {
		f.nextCatalogAt = as.now.MonotonicMS + 2000
		return
	}
	f.nextCatalogAt = as.now.MonotonicMS + 60_000
	types := slices.Clone(r.Types)
	slices.SortFunc(types, func(a, b MachineType) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	first := len(as.cache.machineTypes) == 0
	as.cache.setMachineTypes(types)
	if first {
		as.log(Info, "machine types known", "types", len(types))
	}
	// Stored once, without its moving prices, for members that start while
	// the cloud is away.
	if as.cache.keyRevisions[catalogKey] == 0 && f.leading && as.store.hasAuthority() {
		as.store.sendTxn(
			UrgencyBackground,
			[]Precondition{{catalogKey, 0}},
			[]Change{{Key: catalogKey, Value: mustEncode(catalogRecord{types})}},
			func(StoreResult) {},
		)
	}
}

// listCloudMachines reads the cloud's list and compares it with the records.
func (as *autoscaler) listCloudMachines(from string, all []CloudMachine, sentAt int64) {
	f := as
	as.sendCloud(CloudOp{Kind: CloudList, StartAfter: from}, func(r CloudResult) {
		if r.Outcome != OK {
			f.listPending = false
			f.nextListAt = as.now.MonotonicMS + 2000
			return
		}
		all = append(all, r.List...)
		if r.More && len(r.List) > 0 {
			as.listCloudMachines(r.List[len(r.List)-1].ID, all, sentAt)
			return
		}
		f.listPending = false
		f.nextListAt = as.now.MonotonicMS + max(secondsToMS(as.params.CloudListLagS)/listsPerListLag, 1000)
		if f.leading && as.store.hasAuthority() {
			as.reconcileCloudList(all, sentAt)
		}
	})
}

// listsPerListLag is how often the list is read while it lags once.
const listsPerListLag = 3

// bootGracePeriods is after how many of its type's boot times a machine that has
// not come up is replaced.
const bootGracePeriods = 3

// releasedRetentionLags is for how many lags of the list a returned machine is ignored
// in it. A list may be older than the one before it, so one lag is not enough.
const releasedRetentionLags = 5

// reconcileCloudList holds the cloud's list against the records. The list was asked for at
// sent and is no evidence of anything later: an answer that came late made
// machines seem gone that had been rented and were up since.
func (as *autoscaler) reconcileCloudList(list []CloudMachine, sentAt int64) {
	f := as
	sentWall := as.now.WallMS - (as.now.MonotonicMS - sentAt)
	lag := secondsToMS(as.params.CloudListLagS) * 2
	f.listed = make(map[string]bool, len(list))
	loads := as.shardLoads()
	for _, instance := range list {
		f.listed[instance.ID] = true
		mc := as.registry.machines[instance.ID]
		if releasedAt, ok := f.releasedAt[instance.ID]; ok {
			// The list lags: what we returned still appears. Taking it
			// for a machine that nobody expected gave it a record and an
			// owner again, for nothing to come up.
			if as.now.MonotonicMS-releasedAt > releasedRetentionLags*lag {
				delete(f.releasedAt, instance.ID)
			}
			continue
		}
		if mc == nil {
			// Nobody expected it. It gets an owner, who uses or returns
			// it; a rental of ours whose rosters are being written is
			// given the time to be written.
			if secondsToMS(instance.AgeS) > lag+5000 && !f.unrecordedMachines[instance.ID] && instance.State != "failed" &&
				as.cache.machineTypes[instance.Type] != nil {
				as.addMachinesToRegistry(
					[]string{instance.ID},
					offering{instance.Type, instance.Zone, instance.Spot},
					as.assignToLeastLoaded(loads, instance.Type),
					"",
					as.now.WallMS-secondsToMS(instance.AgeS),
					func() {},
				)
			}
			if instance.State == "failed" && !f.unrecordedMachines[instance.ID] {
				as.markForRelease(instance.ID, "failed")
			}
			continue
		}
		if instance.State == "failed" {
			as.markForRelease(instance.ID, "failed")
		}
	}
	for id, releasedAt := range f.releasedAt {
		if as.now.MonotonicMS-releasedAt > releasedRetentionLags*lag && !f.listed[id] {
			delete(f.releasedAt, id)
		}
	}
	for id, mc := range sortedByKey(as.registry.machines) {
		t := as.cache.machineTypes[mc.rec.Type]
		switch {
		case mc.Up && !f.listed[id] && sentWall-mc.rec.ProvisionedAtMS > lag+5000 && !as.hasHeartbeatSince(mc, sentAt):
			// Listed machines stay listed until they are gone, so this one
			// is: its tasks need not wait for its lease, nor a new claim
			// for a report that never comes. Returning it makes it certain.
			as.markForRelease(id, "no longer listed")
		case !mc.Up && t != nil && as.now.WallMS-mc.rec.ProvisionedAtMS > secondsToMS(t.BootS)*bootGracePeriods+lag:
			as.markForRelease(id, "does not come up")
		}
	}
}

// hasHeartbeatSince tells whether a machine of ours reported after a time.
func (as *autoscaler) hasHeartbeatSince(mc *machine, since int64) bool {
	return mc.claim != nil && as.shards.ownedShards[mc.rec.Shard] == mc.claim && mc.IsReconciled() && mc.LastHeartbeatAt > since
}

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
	f := as
	requests := map[offering]map[string]int{}
	total := map[offering]int{}
	as.peers.forEachFreshMessage(func(from string, msg *PeerMessage) {
		for i := range msg.OwnedShards {
			peerShard := &msg.OwnedShards[i]
			if f.provisioning[peerShard.Shard] > 0 || msg.WallMS < f.demandValidAfter[peerShard.Shard] ||
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

// fillDeadline is the deadline that a rented machine is filled for: the group's own,
// or, where it comes too late for that, one task in each of its queues.
func (cache *stateCache) fillDeadline(g *taskGroup, viewMachine *planner.Machine) int64 {
	return max(
		g.DeadlineMS,
		viewMachine.ReadyAtMS+cache.imageFetchMS(
			g.job,
			viewMachine.Offering.Type,
		)+int64(
			float64(g.LengthMS)*planner.RuntimePadding,
		),
	)
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
	f := as
	n := 0
	for s, k := range sortedByKey(shards) {
		k = min(k, maxInstancesPerRequest-n)
		shards[s] = k
		n += k
		f.provisioning[s]++
	}
	f.provisionRequests++
	name := fmt.Sprintf("r-%d-%d", f.leaderRev, f.provisionRequests)
	requestedAt, rev, shardsLeft := as.now.WallMS, f.leaderRev, len(shards)
	endShard := func(s string) {
		if f.leaderRev == rev {
			f.provisioning[s]--
			f.demandValidAfter[s] = as.now.WallMS + 300
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
		f.unavailableUntil[o] = as.now.MonotonicMS + max(secondsToMS(as.cache.machineTypes[o.machineType].BootS), 5000)
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
					f.nextProvisionAt = as.now.MonotonicMS + 2000
					endAll()
				}
			},
		)
	}
	send(3)
}

// maxInstancesPerRequest is the most machines of one request, by the cloud's protocol.
const maxInstancesPerRequest = 50
