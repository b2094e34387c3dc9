package scheduler

import "fmt"

const (
	// maxInstancesPerRequest is the cloud API's limit on the machines in one request.
	maxInstancesPerRequest = 50

	// maxProvisionRetries is how often a request without a response is retried.
	maxProvisionRetries = 3
)

// provisionRequest is a request for machines of one offering. Its key is unique, since it
// contains the revision of the leader's claim.
type provisionRequest struct {
	offering        offering
	count           int
	key             string // idempotency key
	leaderRev       uint64
	requestedAtMS   int64 // wall-clock time
	replacementPlan string
	shards          map[string]int // requested machines by shard
	pendingShards   int            // shards whose machines are not registered yet
	onEnd           func()
}

// provision requests machines from the cloud, and divides the provisioned machines among
// the shards in proportion to their requests. replacementPlan is the rollout plan whose
// machines they replace, if any. onEnd is called once all machines are registered or the
// request has failed, unless the leadership ends first.
func (as *autoscaler) provision(o offering, shards map[string]int, replacementPlan string, onEnd func()) {
	count := 0
	for name, n := range sortedByKey(shards) {
		n = min(n, maxInstancesPerRequest-count)
		shards[name] = n
		count += n
		as.provisioning[name]++
	}
	as.provisionRequests++
	request := &provisionRequest{
		offering:        o,
		count:           count,
		key:             fmt.Sprintf("r-%d-%d", as.leaderRev, as.provisionRequests),
		leaderRev:       as.leaderRev,
		requestedAtMS:   as.now.WallMS,
		replacementPlan: replacementPlan,
		shards:          shards,
		pendingShards:   len(shards),
		onEnd:           onEnd,
	}
	as.sendProvision(request, maxProvisionRetries)
}

func (as *autoscaler) sendProvision(request *provisionRequest, retries int) {
	o := request.offering
	op := CloudOp{
		Kind:           CloudProvision,
		IdempotencyKey: request.key,
		Type:           o.machineType,
		Zone:           o.zone,
		Spot:           o.spot,
		Count:          request.count,
	}
	as.sendCloud(op, func(r CloudResult) {
		switch r.Outcome {
		case OK:
			as.recordProvisioned(request, r.Machines)
		case NotFound:
			as.log(Debug, "no capacity", "type", o.machineType, "zone", o.zone, "spot", o.spot)
			as.markUnavailable(o)
			as.endProvision(request)
		case Unknown:
			// The idempotency key makes the retry safe: the cloud returns the same
			// response and provisions nothing twice.
			if retries > 0 {
				as.sendProvision(request, retries-1)
				return
			}
			as.endProvision(request)
		default:
			as.nextProvisionAtMS = as.now.MonotonicMS + 2000
			as.endProvision(request)
		}
	})
}

// recordProvisioned adds the provisioned machines to the registry.
func (as *autoscaler) recordProvisioned(request *provisionRequest, ids []string) {
	o := request.offering
	if len(ids) < request.count {
		as.markUnavailable(o)
	}
	as.Counters.Provisioned += uint64(len(ids))
	as.log(Info, "machines provisioned", "type", o.machineType, "zone", o.zone, "spot", o.spot,
		"requested", request.count, "count", len(ids), "machines", ids)
	remaining := ids
	for name, n := range sortedByKey(request.shards) {
		// If the cloud provisioned fewer machines, each shard gets a proportional share.
		n = min(len(remaining), (n*len(ids)+request.count-1)/request.count)
		page := o.registryPage(name, request.requestedAtMS)
		page.ReplacementPlan = request.replacementPlan
		as.addMachinesToRegistry(remaining[:n], page, func() { as.endShardProvision(request, name) })
		remaining = remaining[n:]
	}
}

func (as *autoscaler) endProvision(request *provisionRequest) {
	for name := range request.shards {
		as.endShardProvision(request, name)
	}
}

// endShardProvision ends a shard's part of a request. Demand that was reported before now
// does not count its machines.
func (as *autoscaler) endShardProvision(request *provisionRequest, shard string) {
	if as.leaderRev != request.leaderRev {
		return
	}
	as.provisioning[shard]--
	as.demandValidAfter[shard] = as.now.WallMS + 300
	if request.pendingShards--; request.pendingShards == 0 {
		request.onEnd()
	}
}

// markUnavailable excludes an offering from requests for a boot time of its type, at least
// 5 s.
func (as *autoscaler) markUnavailable(o offering) {
	bootMS := secondsToMS(as.cache.machineTypes[o.machineType].BootS)
	as.unavailableUntil[o] = as.now.MonotonicMS + max(bootMS, 5000)
}
