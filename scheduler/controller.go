// Package scheduler implements the core of a controller as a deterministic state
// machine. Its inputs are heartbeats, user requests, peer messages, results of requests
// to the state service, the cloud and peers, and the passing of time. Its outputs are
// requests, messages, writes and responses. The package does no I/O, starts no
// goroutines and reads no clock, so tests run a whole cluster of controllers in
// simulated time.
//
// The controllers of a cluster are its members. There is one shard per member, with the
// member's name. A Controller owns the shards that it has claimed in the state service:
// their machines, their task ranges (parts of jobs) and the scheduling decisions for
// them. A worker, or agent, runs the tasks of one machine. An attempt is one start of a
// task. One member is the leader: it provisions machines, assigns them to shards and
// releases them. Each Controller also keeps a cache of all live records (stateCache),
// which may lag behind the state service. These records describe the jobs that have not
// ended and the present state of the cluster, without the progress of jobs.
//
// The Controller assumes that calls are serialized, that Now.MonotonicMS never
// decreases, that each StoreOp, CloudOp, DirectCommand and RelayRequest gets at most
// one result, and that the caller carries out Outputs in the order given. It does not
// assume that messages between members and workers arrive, or that they arrive in order.
//
// It guarantees that the same inputs and seed produce the same outputs. It starts tasks
// and makes decisions only with authority, that is, while the member's own lease in the
// state service has not expired. A worker has a lease of another kind: heartbeat
// responses renew it, and the worker stops its tasks when it expires. A job state that
// was reported to a user (accepted, cancelled, done) remains valid through the loss of
// any member.
//
// It is designed for these failures:
//   - outages of the state service, for one member or for all, and writes with an
//     unknown outcome
//   - outages of the cloud, and outdated machine lists from it
//   - controllers that crash, pause or are partitioned
//   - workers that crash or are partitioned in one direction
//   - messages that are lost, delayed or reordered
package scheduler

import (
	"github.com/grebedock/grebedock/access"
)

const maxClockDrift = access.MaxClockDrift

// Controller is the core of one member. It dispatches each input to the component that
// owns the affected state. Each piece of state has exactly one owner, and the components
// share only the environment.
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

// New returns the Controller of a member. The seed only affects random delays, the nonces of
// claims, and the choice between equally cheap offerings. The guarantees of the package do
// not depend on it.
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

// wireState connects the store client and the state cache to the components that own records.
func (c *Controller) wireState() {
	c.store.observeChange = c.cache.applyChange
	c.cache.store = c.store
	c.cache.invalidatePlans = c.shards.markAllShardsDirty
	c.cache.recordHandlers = c.newRecordHandlers()
}

// wireFleet connects the components that manage machines: the registry, the autoscaler and rollouts.
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

// wireShards connects the components that manage shards, workers, placement and quotas.
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

// wireRequests connects the components that handle user requests and peer messages.
func (c *Controller) wireRequests() {
	requests := c.requests
	requests.cache, requests.store, requests.peers = c.cache, c.store, c.peers
	requests.quotas, requests.shards = c.quotas, c.shards

	peers := c.peers
	peers.cache, peers.store, peers.requests = c.cache, c.store, c.requests
	peers.agents, peers.placer = c.agents, c.placer
	peers.quotas, peers.shards = c.quotas, c.shards
}

// newRecordHandlers returns the handlers of all kinds of live records, by key prefix.
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

// TakeOutputs returns the outputs of all inputs since the last call, and clears them.
func (c *Controller) TakeOutputs() Outputs {
	outputs := c.outputs
	c.outputs = Outputs{}
	return outputs
}

// HandleStoreResult processes the result of the StoreOp with this ID. It ignores the
// result if that operation is not pending.
func (c *Controller) HandleStoreResult(now Now, id uint64, result StoreResult) {
	c.now = now
	if onResult := c.store.storeCallbacks[id]; onResult != nil {
		delete(c.store.storeCallbacks, id)
		onResult(result)
	}
}

// Tick performs the work that is due at the given time. The caller calls it every 100 ms.
func (c *Controller) Tick(now Now) {
	c.now = now
	c.tickStoreAccess()
	c.store.runDueSteps()
	if authority := c.store.hasAuthority(); authority != c.store.hadAuthority {
		c.store.hadAuthority = authority
		c.log(Info, "authority changed", "held", authority)
	}
	c.shards.tickShards()
	c.peers.sendPeerMessage()
	c.scaler.tickFleet()
	c.requests.writeQueuedSubmissions()
	c.requests.sendQueryBatch()
	c.requests.confirmCachedSubmissions()
	c.requests.hedgeSlowRequests()
}

// IsReadyForUsers reports whether this member should receive user traffic.
// A member without authority is not ready only while a peer reports that it owns
// shards. If no member can reach the state service, an immediate 503 is the best
// response that any of them can give, and a member that reported not ready would
// stay out of rotation for some time after the outage.
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
