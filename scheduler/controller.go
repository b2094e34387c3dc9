// Package scheduler is the core of a controller: a state machine that takes
// inputs (heartbeats, users' requests, results of the state service, of the
// cloud and of peers, and the passing of time) and returns what to send, write
// and answer. It does no input or output, starts no goroutine and reads no
// clock, so a whole cluster of cores runs in simulated time in its tests.
//
// A Controller owns the shards that it has claimed in the state service: their
// machines, their task ranges and the decisions about them. It owns a replica
// of all live records (stateCache), which may lag behind the store.
//
// It may assume that calls come one at a time, that Now.MonotonicMS never goes
// back, that each StoreOp, CloudOp, DirectCommand and RelayRequest gets at most
// one result, and that the caller carries out Outputs in the order given. It
// assumes nothing about the order or the arrival of messages between members
// and workers.
//
// It promises that equal inputs with an equal seed give equal outputs, that
// nothing is started or decided without authority (an unexpired lease at the
// state service), and that what a user was told (accepted, cancelled, done)
// holds through the loss of any member.
//
// It is built for: outages of the state service, for one member or for all, and
// writes whose outcome is unknown; outages and stale lists of the cloud;
// controllers that crash, pause or are partitioned; workers that crash, or are
// partitioned in one direction; messages that are lost, delayed or reordered.
package scheduler

import (
	"github.com/grebedock/grebedock/access"
)

const maxClockDriftMS = access.MaxClockDrift

// Controller is the core of one member: it routes each input to the owner of the
// state that it concerns. Every piece of state has one owner; the owners share
// only the environment.
//
// Its methods must not be called concurrently.
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

// New returns the core of a member. The seed only spreads retries and makes the
// nonces of claims; nothing that others rely on depends on it.
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
	c.wireState()
	c.wireFleet()
	c.wireShards()
	c.wireRequests()
	return c
}

// wireState connects the store client and the cache with the owners of records.
func (c *Controller) wireState() {
	c.store.observeChange = c.cache.applyChange
	c.cache.store = c.store
	c.cache.invalidatePlans = c.shards.markAllShardsDirty
	c.cache.recordHandlers = c.newRecordHandlers()
}

// wireFleet connects the owners of machines: the registry, the autoscaler and rollouts.
func (c *Controller) wireFleet() {
	registry := c.registry
	registry.cache, registry.store = c.cache, c.store
	registry.agents, registry.shards = c.agents, c.shards

	scaler := c.scaler
	scaler.cache, scaler.store, scaler.peers = c.cache, c.store, c.peers
	scaler.registry, scaler.rollouts, scaler.shards = c.registry, c.rollouts, c.shards

	rollouts := c.rollouts
	rollouts.cache, rollouts.store, rollouts.peers = c.cache, c.store, c.peers
	rollouts.registry, rollouts.scaler, rollouts.shards = c.registry, c.scaler, c.shards
	rollouts.requests = c.requests
}

// wireShards connects the owners of shards, workers, placement and quotas.
func (c *Controller) wireShards() {
	shards := c.shards
	shards.cache, shards.store, shards.requests = c.cache, c.store, c.requests
	shards.agents, shards.placer, shards.quotas = c.agents, c.placer, c.quotas
	shards.registry, shards.rollouts = c.registry, c.rollouts

	agents := c.agents
	agents.cache, agents.store, agents.estimates = c.cache, c.store, c.estimates
	agents.placer, agents.quotas, agents.shards = c.placer, c.quotas, c.shards
	agents.registry, agents.rollouts, agents.scaler = c.registry, c.rollouts, c.scaler

	placer := c.placer
	placer.cache, placer.estimates = c.cache, c.estimates
	placer.agents, placer.quotas = c.agents, c.quotas

	quotas := c.quotas
	quotas.cache, quotas.store, quotas.estimates = c.cache, c.store, c.estimates
	quotas.agents, quotas.placer, quotas.shards = c.agents, c.placer, c.shards
	quotas.registry, quotas.peers = c.registry, c.peers
}

// wireRequests connects the owners of users' requests and of peers' messages.
func (c *Controller) wireRequests() {
	requests := c.requests
	requests.cache, requests.store, requests.peers = c.cache, c.store, c.peers
	requests.quotas, requests.shards = c.quotas, c.shards

	peers := c.peers
	peers.cache, peers.store, peers.requests = c.cache, c.store, c.requests
	peers.placer, peers.quotas, peers.shards = c.placer, c.quotas, c.shards
}

// newRecordHandlers is the table of all kinds of records that the cache holds.
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

// TakeOutputs returns what the inputs since the last call want done, and forgets it.
func (c *Controller) TakeOutputs() Outputs {
	outputs := c.outputs
	c.outputs = Outputs{}
	return outputs
}

// HandleStoreResult takes the result of the StoreOp with this ID. A result whose
// operation is not pending is ignored.
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
	c.requests.confirmCachedSubmissions()
	c.requests.expediteSlowRequests()
}

// IsReadyForUsers reports whether users should be sent here. A member without
// authority steps aside only while a peer reports that it owns shards: when the
// state service is away from all, answering 503 at once is as good as any member
// can do, and one that left would be kept out for a while after the outage.
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
