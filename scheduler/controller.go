// Package scheduler is the controllers' core: a state machine that takes
// inputs (reports, requests of users, answers of the state service, of the
// cloud and of peers, and the passing of time) and returns what to send, write
// and answer. It does no input or output, starts no goroutine and reads no
// clock, so a whole cluster of cores runs in simulated time in its tests.
package scheduler

import (
	"encoding/json"

	"github.com/grebedock/grebedock/access"
	"github.com/grebedock/grebedock/quota"
)

const maxClockDriftMS = access.MaxClockDrift

// Controller is the core of one member: it routes each input to the owner of the
// state that it concerns. Every piece of state has one owner; the owners share
// only the environment.
type Controller struct {
	*environment

	store     *storeClient
	cache     *stateCache
	registry  *machineRegistry
	scaler    *autoscaler
	rollouts  *rolloutController
	shards    *shardManager
	agents    *agentManager
	placer    *placementPlanner
	quotas    *quotaManager
	estimates *runtimeEstimator
	requests  *requestHandler
	peers     *peerTable
}

// New makes the core of a member. The seed only spreads retries and names
// claims; nothing that others rely on depends on it.
func New(params Params, seed uint64, now Now) *Controller {
	env := newEnvironment(params, seed, now)
	c := &Controller{
		environment: env,
		store:       newStoreClient(env),
		cache:       newStateCache(env),
		registry:    newMachineRegistry(env),
		scaler:      newAutoscaler(env),
		rollouts:    newRolloutController(env),
		shards:      newShardManager(env),
		agents:      newAgentManager(env),
		placer:      newPlacementPlanner(env),
		quotas:      newQuotaManager(env),
		estimates:   newRuntimeEstimator(env),
		requests:    newRequestHandler(env),
		peers:       newPeerTable(env),
	}
	c.wire()
	return c
}

// wire tells each owner of state which others it uses.
func (c *Controller) wire() {
	c.store.observeChange = c.cache.applyChange
	c.cache.invalidatePlans = c.shards.markAllShardsDirty
	c.cache.recordHandlers = c.newRecordHandlers()
	c.cache.store = c.store
	c.registry.agents, c.registry.cache, c.registry.shards, c.registry.store = c.agents, c.cache, c.shards, c.store
	c.scaler.cache, c.scaler.peers, c.scaler.registry, c.scaler.rollouts, c.scaler.shards, c.scaler.store = c.cache, c.peers, c.registry, c.rollouts, c.shards, c.store
	c.rollouts.cache, c.rollouts.peers, c.rollouts.registry, c.rollouts.requests, c.rollouts.scaler, c.rollouts.shards, c.rollouts.store = c.cache, c.peers, c.registry, c.requests, c.scaler, c.shards, c.store
	c.shards.agents, c.shards.cache, c.shards.placer, c.shards.quotas, c.shards.registry, c.shards.requests, c.shards.rollouts, c.shards.store = c.agents, c.cache, c.placer, c.quotas, c.registry, c.requests, c.rollouts, c.store
	c.agents.cache, c.agents.estimates, c.agents.placer, c.agents.quotas, c.agents.registry, c.agents.rollouts, c.agents.scaler, c.agents.shards, c.agents.store = c.cache, c.estimates, c.placer, c.quotas, c.registry, c.rollouts, c.scaler, c.shards, c.store
	c.placer.agents, c.placer.cache, c.placer.estimates, c.placer.quotas = c.agents, c.cache, c.estimates, c.quotas
	c.quotas.agents, c.quotas.cache, c.quotas.estimates, c.quotas.peers, c.quotas.placer, c.quotas.registry, c.quotas.shards, c.quotas.store = c.agents, c.cache, c.estimates, c.peers, c.placer, c.registry, c.shards, c.store
	c.requests.cache, c.requests.peers, c.requests.quotas, c.requests.shards, c.requests.store = c.cache, c.peers, c.quotas, c.shards, c.store
	c.peers.cache, c.peers.placer, c.peers.quotas, c.peers.requests, c.peers.shards, c.peers.store = c.cache, c.placer, c.quotas, c.requests, c.shards, c.store
}

// TakeOutputs returns what the inputs since the last call want done.
func (c *Controller) TakeOutputs() Outputs {
	outputs := c.outputs
	c.outputs = Outputs{}
	return outputs
}

// HandleStoreResult takes the answer of the state service to a request.
func (c *Controller) HandleStoreResult(now Now, id uint64, result StoreResult) {
	c.now = now
	if onResult := c.store.storeCallbacks[id]; onResult != nil {
		delete(c.store.storeCallbacks, id)
		onResult(result)
	}
}

// Tick lets time pass. The caller does so every tenth of a second.
func (c *Controller) Tick(now Now) {
	c.now = now
	c.tickStoreAccess()
	c.store.runDueSteps()
	if authority := c.store.hasAuthority(); authority != c.store.hadAuthority {
		c.store.hadAuthority = authority
		c.log(Info, "authority", "held", authority)
	}
	c.shards.tickShards()
	c.peers.sendPeerMessage()
	c.scaler.tickFleet()
	c.requests.writeQueuedSubmissions()
	c.requests.sendQueryBatch()
	c.requests.confirmMirroredSubmissions()
	c.requests.expediteSlowRequests()
}

// tickStoreAccess asks what the member's standing needs: its hold, and the mirror of
// everything live, by one list and then watches. A watch that comes back proves
// that everything up to its sending was seen.
func (c *Controller) tickStoreAccess() {
	actions := c.store.storeAccess.Tick(c.now.MonotonicMS)
	if link := c.store.storeAccess.Link(c.now.MonotonicMS); link != c.store.lastStoreLink {
		c.store.lastStoreLink = link
		c.log(Info, "state service", "link", link)
	}
	if actions.GrantLease {
		c.store.sendStore(
			StoreOp{Kind: StoreGrantLease, DurationMS: c.store.leaseTTLMS()},
			func(r StoreResult) { c.store.storeAccess.CompleteLeaseRequest(c.now.MonotonicMS, r.Outcome, r.LeaseID) },
		)
	}
	if actions.RenewLease != 0 {
		c.store.sendStore(StoreOp{Kind: StoreRenewLease, LeaseID: actions.RenewLease}, func(r StoreResult) {
			if !c.store.storeAccess.CompleteLeaseRequest(c.now.MonotonicMS, r.Outcome, 0) {
				return
			}
			// The hold ended: every claim that hung on it is gone.
			c.log(Warn, "hold lost", "shards", len(c.shards.ownedShards))
			for _, s := range sortedByKey(c.shards.ownedShards) {
				c.shards.dropShard(s)
			}
		})
	}
	if actions.ListMirror {
		c.store.listAll(livePrefix, func(kvs []KeyValue, rev uint64, outcome Outcome) {
			if outcome == OK {
				c.cache.applySnapshot(kvs, rev)
			}
			c.store.storeAccess.CompleteMirrorRead(c.now.MonotonicMS, actions.ReadID, outcome, c.rng.Float64())
		})
	}
	if actions.WatchMirror {
		c.store.sendStore(
			StoreOp{Kind: StoreWatch, Key: livePrefix, Rev: c.cache.mirrorRevision, DurationMS: c.store.leaseRenewalIntervalMS()},
			func(r StoreResult) {
				if !c.store.storeAccess.CompleteMirrorRead(c.now.MonotonicMS, actions.ReadID, r.Outcome, c.rng.Float64()) ||
					r.Outcome != OK {
					return
				}
				c.cache.applyWatchResult(r)
			},
		)
	}
}

// newRecordHandlers is the table of all records that the cache holds.
func (c *Controller) newRecordHandlers() []recordHandler {
	return []recordHandler{
		{prefix: jobPrefix, apply: c.shards.applyJobRecord},
		{prefix: registryPrefix, apply: c.registry.applyMachineRecord},
		{prefix: liveMachinesPrefix, apply: c.registry.applyMachineRecord},
		{prefix: claimPrefix, apply: c.shards.applyClaimRecord},
		{prefix: teamPrefix, apply: c.quotas.applyTeamRecord},
		{prefix: statusPrefix, apply: c.peers.applyStatusRecord},
		{prefix: rolloutKey, exact: true, apply: c.rollouts.applyRolloutRecord},
		{prefix: disruptionPrefix, apply: c.rollouts.applyRolloutRecord},
		{prefix: extensionPrefix, apply: c.cache.applyExtensionRecord},
		{prefix: leaderKey, exact: true, apply: c.scaler.applyLeaderRecord},
		{prefix: catalogKey, exact: true, apply: c.cache.applyCatalogRecord},
		{prefix: settingsKey, exact: true, apply: c.cache.applySettingsRecord},
	}
}

func (qm *quotaManager) applyTeamRecord(kv KeyValue) error {
	ledger := qm.quotaLedgers[kv.Key[len(teamPrefix):]]
	if ledger == nil {
		return nil // the team had a limit once
	}
	if kv.Value == nil {
		ledger.Observe(nil, 0)
	} else {
		var rec quota.Record
		if err := json.Unmarshal(kv.Value, &rec); err != nil {
			return err
		}
		ledger.Observe(&rec, kv.Rev)
	}
	qm.cache.invalidatePlans()
	return nil
}

// IsReadyForUsers tells whether users should be sent here. A member that can't act for
// its shards steps aside only while a peer says that it can: when the state
// service is away from all, answering 503 at once is as good as any member can
// do, and one that left would be kept out for a while after the outage.
func (c *Controller) IsReadyForUsers() bool {
	if c.store.hasAuthority() && len(c.cache.machineTypes) > 0 {
		return true
	}
	for memberID, peer := range c.peers.peers {
		if memberID != c.params.MemberID && c.peers.isFresh(peer) && len(peer.message.OwnedShards) > 0 {
			return false
		}
	}
	return true
}
