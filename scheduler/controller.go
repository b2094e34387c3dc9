// Package scheduler is the controllers' core: a state machine that takes
// inputs (reports, requests of users, answers of the state service, of the
// cloud and of peers, and the passing of time) and returns what to send, write
// and answer. It does no input or output, starts no goroutine and reads no
// clock, so a whole cluster of cores runs in simulated time in its tests.
package scheduler

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/grebedock/grebedock/access"
	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/disruption"
	"github.com/grebedock/grebedock/planner"
	"github.com/grebedock/grebedock/quota"
)

// Team is a team's guarantee and limit; 0 means none.
type Team struct {
	CPUs, GPUs       float64
	MaxCPUs, MaxGPUs float64
}

// Objective is an aim for a class of jobs. Kind is deadline, wait, finished or
// guarantee; others are ignored.
type Objective struct {
	Kind           string
	WithinS        float64
	DeadlineFactor float64 // deadline: the deadline times this
}

// Params is what a core needs of the settings.
type Params struct {
	MemberID         string
	Zone             string
	PeerIDs          []string
	Teams            map[string]Team
	Objectives       map[string][]Objective // by class
	GuaranteeWithinS float64                // work within a guarantee starts this soon; 0: no such aim
	HeartbeatS       float64
	LeaseS           float64
	CancelWithinS    float64
	CPUShare         float64 // of one core; 0: not limited
	Debug            bool    // debug lines are wanted
	MaxValueBytes    int
	MaxTxnOps        int
	CloudListLagS    float64
	StoreChangeRate  float64 // changes a second that the state service allows this member; 0: submissions are written one by one
	MaxPendingRelays int     // users' requests that peers may be answering at once; 0: none
	Aging            bool    // first tasks of jobs that waited too long to begin go before their equals
	Quota            bool    // teams get their guarantees by what others run beyond theirs
	Rollout          bool    // machines are drained and replaced in steps, by plans
	Recovery         bool    // orders after a claim are paced, and what reports do not say is remembered
	LeaseTTLRatio    float64 // life of holds, against the longest that is safe; 0: that
}

const maxClockDriftMS = access.MaxClockDrift

// Settings are the operators' own, kept in the store and changed through the
// administration API.
type Settings struct {
	Functions int      `json:"functions"`  // functions in a summary
	Samples   int      `json:"samples"`    // samples in a function
	LateShare float64  `json:"late_share"` // of a job's span, by which a late task aims late
	SummaryS  float64  `json:"summary_s"`  // between two summaries to a peer
	IdleBoots float64  `json:"idle_boots"` // idle time before return, in boot times of the machine's type
	Drain     []string `json:"drain,omitempty"`

	// BeginWithinS is the time in which the first task of each job is to start, if
	// its priority finds room at all (feature aging).
	BeginWithinS float64 `json:"begin_within_s"`

	// Disruption is by team what may be stopped to empty machines (rollouts); "*"
	// stands for teams that are not named. Without either, nothing is.
	Disruption map[string]disruption.Budget `json:"disruption,omitempty"`
}

// DefaultSettings are the paper's limits and the design's starting values.
func DefaultSettings() Settings {
	return Settings{Functions: 125, Samples: 10, LateShare: 0.25, SummaryS: 1, IdleBoots: 1.5, BeginWithinS: 240}
}

// Validate says what is wrong with settings, or nothing.
func (s Settings) Validate() string {
	switch {
	case s.Functions < 1 || s.Functions > 1000:
		return "functions must be from 1 to 1000"
	case s.Samples < 2 || s.Samples > 100:
		return "samples must be from 2 to 100"
	case !(s.LateShare > 0) || s.LateShare > 10:
		return "late_share must be above 0 and at most 10"
	case !(s.SummaryS >= 0.1) || s.SummaryS > 60:
		return "summary_s must be from 0.1 to 60"
	case !(s.IdleBoots >= 0) || s.IdleBoots > 1000:
		return "idle_boots must be from 0 to 1000"
	case !(s.BeginWithinS >= 1) || s.BeginWithinS > 1e6:
		return "begin_within_s must be from 1 to 1000000"
	case len(s.Drain) > 100:
		return "drain must name at most 100 machines"
	case len(s.Disruption) > 100:
		return "disruption must name at most 100 teams"
	}
	for team, budget := range sortedByKey(s.Disruption) {
		if reason := budget.Validate(); reason != "" {
			return "disruption." + team + "." + reason
		}
	}
	return ""
}

// job is a live job of the mirror.
type job struct {
	rec                 jobRecord
	rev                 uint64
	recordWritePending  bool // a write on its record is under way
	taskRanges          map[int]*taskRange
	failureReason       string // why the job is to be given up
	awaitingBegunRecord bool   // Once: a task waits for the record to say that it may begin
}

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

// Counters counts what operators watch.
type Counters struct {
	Starts               uint64 `json:"starts"`
	LostTasks            uint64 `json:"lost"`
	Errors               uint64 `json:"errors"`
	Claims               uint64 `json:"claims"`
	Provisioned          uint64 `json:"rented"`
	Released             uint64 `json:"returned"`
	MovedTasks           uint64 `json:"moved"`
	Replans              uint64 `json:"replans"`
	Accepted             uint64 `json:"accepted"`
	Finished             uint64 `json:"finished"`
	Preempted            uint64 `json:"preempted"`
	UnavailableResponses uint64 `json:"refused"`
	Relayed              uint64 `json:"relayed"`
	QueryBatches         uint64 `json:"read_batches"` // of users' questions that shared a read
	ShedSubmissions      uint64 `json:"shed"`
	AdoptedTasks         uint64 `json:"adopted"`    // tasks of earlier claims that go on
	OrphanedTasks        uint64 `json:"strays"`     // tasks that were not ours to keep
	ReclaimedTasks       uint64 `json:"ceded"`      // tasks stopped for another team's guarantee
	InDoubtWrites        uint64 `json:"in_doubt"`   // writes of which nobody said whether they were carried out
	StaleHeartbeats      uint64 `json:"old_report"` // reports that were no newer than another
	ConfirmedSubmissions uint64 `json:"confirmed"`  // submissions answered by their record, with no answer to their write
	UndeliveredStarts    uint64 `json:"unheard"`    // starts in the answer to a report that its worker did not hear
}

type parkedHeartbeat struct {
	replyID    uint64
	heartbeat  Heartbeat
	parkedAtMS int64
}

type peerState struct {
	receivedAtMS int64 // steady time of the last message
	sentWallMS   int64 // its own time of day
	message      PeerMessage
}

// runtimeCorrection learns how long a class takes against its owners' estimates.
type runtimeCorrection struct {
	ratio   float64
	samples int
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

func (env *environment) log(level LogLevel, text string, args ...any) {
	if level == Debug && !env.params.Debug {
		return
	}
	env.outputs.Logs = append(env.outputs.Logs, LogLine{level, text, args})
}

func (sc *storeClient) sendStore(op StoreOp, onResult func(StoreResult)) {
	sc.lastRequestID++
	op.ID = sc.lastRequestID
	switch {
	case op.Kind == StoreWatch && op.DurationMS > 0: // waits by its nature
		sc.storeCallbacks[op.ID] = onResult
	case op.Urgency == UrgencyBackground:
		// Put off for as long as the rate is short: its time is not the state
		// service's.
		sc.storeCallbacks[op.ID] = func(r StoreResult) {
			sc.storeAccess.ObserveOutcome(sc.now.MonotonicMS, r.Outcome)
			onResult(r)
		}
	default:
		ticket := sc.storeAccess.BeginRequest(sc.now.MonotonicMS)
		sc.storeCallbacks[op.ID] = func(r StoreResult) {
			sc.storeAccess.CompleteRequest(sc.now.MonotonicMS, ticket, r.QueuedMS, r.Outcome)
			onResult(r)
		}
	}
	sc.outputs.StoreOps = append(sc.outputs.StoreOps, op)
}

// HandleStoreResult takes the answer of the state service to a request.
func (c *Controller) HandleStoreResult(now Now, id uint64, result StoreResult) {
	c.now = now
	if onResult := c.store.storeCallbacks[id]; onResult != nil {
		delete(c.store.storeCallbacks, id)
		onResult(result)
	}
}

func (as *autoscaler) sendCloud(op CloudOp, onResult func(CloudResult)) {
	as.lastRequestID++
	op.ID = as.lastRequestID
	as.cloudCallbacks[op.ID] = onResult
	as.outputs.CloudOps = append(as.outputs.CloudOps, op)
}

// HandleCloudResult takes the cloud's answer to a request.
func (c *Controller) HandleCloudResult(now Now, id uint64, result CloudResult) {
	c.now = now
	if onResult := c.scaler.cloudCallbacks[id]; onResult != nil {
		delete(c.scaler.cloudCallbacks, id)
		onResult(result)
	}
}

// leaseTTLMS is how long this member's holds last (access.Life).
func (sc *storeClient) leaseTTLMS() int64 {
	ttlMS := access.LeaseTTLMS(secondsToMS(sc.params.CancelWithinS), secondsToMS(sc.params.LeaseS))
	if sc.params.LeaseTTLRatio > 0 {
		ttlMS = int64(float64(ttlMS) * min(1, sc.params.LeaseTTLRatio))
	}
	return ttlMS
}

// leaseRenewalIntervalMS is how often holds are extended and watches renewed.
func (sc *storeClient) leaseRenewalIntervalMS() int64 { return sc.storeAccess.RenewIntervalMS() }

// hasAuthority tells whether this member may act for its shards. Past it, no
// starts, no decisions, and no answer that would renew a worker's lease.
func (sc *storeClient) hasAuthority() bool { return sc.storeAccess.HasAuthority(sc.now.MonotonicMS) }

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

// applyWatchResult takes all changes since a revision that the mirror had.
func (cache *stateCache) applyWatchResult(result StoreResult) {
	for _, kv := range result.KVs {
		cache.applyChange(kv)
	}
	cache.mirrorRevision = max(cache.mirrorRevision, result.Rev)
	for key, removedAt := range cache.tombstones {
		if removedAt <= cache.mirrorRevision {
			delete(cache.tombstones, key)
		}
	}
}

// applySnapshot takes a list of everything live.
func (cache *stateCache) applySnapshot(kvs []KeyValue, revision uint64) {
	found := make(map[string]bool, len(kvs))
	for _, kv := range kvs {
		found[kv.Key] = true
		cache.applyChange(kv)
	}
	var gone []string
	for key, keyRevision := range cache.keyRevisions {
		if !found[key] && keyRevision <= revision {
			gone = append(gone, key)
		}
	}
	slices.Sort(gone)
	for _, key := range gone {
		cache.applyChange(KeyValue{Key: key, Rev: revision})
	}
	cache.mirrorRevision = revision
	cache.log(Info, "mirror read", "keys", len(kvs), "revision", revision)
}

// listAll reads all keys with a prefix. rev is the revision of the first page:
// watching from there on misses nothing.
func (sc *storeClient) listAll(prefix string, onResult func(kvs []KeyValue, revision uint64, outcome Outcome)) {
	var collected []KeyValue
	var revision uint64
	var readPage func(startAfter string)
	readPage = func(startAfter string) {
		sc.sendStore(StoreOp{Kind: StoreList, Key: prefix, StartAfter: startAfter}, func(r StoreResult) {
			if r.Outcome != OK {
				onResult(nil, 0, r.Outcome)
				return
			}
			if startAfter == "" {
				revision = r.Rev
			}
			collected = append(collected, r.KVs...)
			if r.More && len(r.KVs) > 0 {
				readPage(r.KVs[len(r.KVs)-1].Key)
				return
			}
			onResult(collected, revision, OK)
		})
	}
	readPage("")
}

// applyChange brings the mirror up to a change, unless it has a newer one already.
func (cache *stateCache) applyChange(kv KeyValue) {
	if !strings.HasPrefix(kv.Key, livePrefix) {
		return
	}
	if kv.Rev <= cache.keyRevisions[kv.Key] || kv.Rev <= cache.tombstones[kv.Key] {
		return
	}
	// The mirror has everything up to m.rev. A read that was under way while its
	// key was removed says less: applied, it made a cancelled job start again.
	if _, known := cache.keyRevisions[kv.Key]; !known && cache.store.storeAccess.IsSynced() && kv.Rev <= cache.mirrorRevision {
		return
	}
	removed := kv.Value == nil
	if removed {
		// A watch that lags behind our own removal must not bring the key
		// back: a job that is over would start again.
		if kv.Rev > cache.mirrorRevision {
			cache.tombstones[kv.Key] = kv.Rev
		}
		if _, ok := cache.keyRevisions[kv.Key]; !ok {
			return
		}
		delete(cache.keyRevisions, kv.Key)
	} else {
		cache.keyRevisions[kv.Key] = kv.Rev
	}
	for _, handler := range cache.recordHandlers {
		if !handler.handles(kv.Key) {
			continue
		}
		if err := handler.apply(kv); err != nil {
			cache.log(Warn, "record unreadable", "key", kv.Key, "error", err)
		}
		return
	}
}

// recordHandler applies changes of one kind of record to the owner of its state.
type recordHandler struct {
	prefix string
	exact  bool                 // the prefix is the whole key
	apply  func(KeyValue) error // a change without a value is a removal
}

func (h *recordHandler) handles(key string) bool {
	if h.exact {
		return key == h.prefix
	}
	return strings.HasPrefix(key, h.prefix)
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

func (sm *shardManager) applyJobRecord(kv KeyValue) error {
	id := kv.Key[len(jobPrefix):]
	if kv.Value == nil {
		sm.deleteJob(id)
		return nil
	}
	var rec jobRecord
	if err := json.Unmarshal(kv.Value, &rec); err != nil {
		return err
	}
	sm.upsertJob(id, rec, kv.Rev)
	return nil
}

func (sm *shardManager) applyClaimRecord(kv KeyValue) error {
	id := kv.Key[len(claimPrefix):]
	removed := kv.Value == nil
	var rec claimRecord
	if removed {
		delete(sm.cache.shardClaims, id)
	} else {
		if err := json.Unmarshal(kv.Value, &rec); err != nil {
			return err
		}
		sm.cache.shardClaims[id] = rec
	}
	s := sm.ownedShards[id]
	switch {
	case s == nil:
	case !removed && rec.Nonce == s.nonce:
		// Our own claim, whose token we raised.
		s.token = max(s.token, kv.Rev)
		s.attemptIDs.Rebase(s.token, sm.now.WallMS)
	case kv.Rev > s.token:
		// Another member's claim, or none: the shard is no longer ours.
		sm.log(Warn, "shard lost", "shard", id)
		sm.dropShard(s)
	}
	return nil
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

func (cache *stateCache) applyExtensionRecord(kv KeyValue) error {
	if kv.Value == nil {
		delete(cache.extensionRecords, kv.Key)
	} else {
		cache.extensionRecords[kv.Key] = kv
	}
	return nil
}

func (as *autoscaler) applyLeaderRecord(kv KeyValue) error {
	var rec claimRecord
	if kv.Value != nil {
		if err := json.Unmarshal(kv.Value, &rec); err != nil {
			return err
		}
	}
	if rec.Nonce != as.nonce {
		as.leading = false
	}
	as.cache.leader = rec.Owner
	return nil
}

func (cache *stateCache) applyCatalogRecord(kv KeyValue) error {
	if kv.Value == nil {
		return nil
	}
	var rec catalogRecord
	if err := json.Unmarshal(kv.Value, &rec); err != nil {
		return err
	}
	cache.setMachineTypes(rec.Types)
	return nil
}

// applySettingsRecord keeps the settings that hold where a record is not valid.
func (cache *stateCache) applySettingsRecord(kv KeyValue) error {
	settings := DefaultSettings()
	if kv.Value != nil {
		if err := json.Unmarshal(kv.Value, &settings); err != nil || settings.Validate() != "" {
			return nil
		}
	}
	cache.settings = settings
	cache.invalidatePlans()
	return nil
}

func (cache *stateCache) setMachineTypes(machineTypes []MachineType) {
	for _, t := range machineTypes {
		cache.machineTypes[t.Name] = &t
		cache.placementCatalog.SetTypes(
			planner.MachineType{
				Name:      t.Name,
				Resources: t.Resources,
				FetchGBps: t.ImageFetchGBps,
				BootMS:    secondsToMS(t.BootS),
				Zones:     t.Zones,
			},
		)
	}
	cache.invalidatePlans()
}

func (sm *shardManager) markAllShardsDirty() {
	for _, s := range sm.ownedShards {
		s.dirty = true
	}
}

// sendTxn sends a transaction. When it is known to have worked, the mirror has its
// changes before done is called.
func (sc *storeClient) sendTxn(
	urgency Urgency,
	preconditions []Precondition,
	changes []Change,
	onResult func(StoreResult),
) {
	sc.sendStore(
		StoreOp{Kind: StoreTxn, Urgency: urgency, Preconditions: preconditions, Changes: changes},
		func(result StoreResult) {
			if result.Outcome == OK {
				for _, change := range changes {
					sc.observeChange(KeyValue{Key: change.Key, Value: change.Value, Rev: result.Rev})
				}
			}
			onResult(result)
		},
	)
}

// rereadKey settles a write whose outcome is not known: the store's word on the
// keys, before anything rests on them.
func (sc *storeClient) rereadKey(key string, onResult func(StoreResult)) {
	sc.sendStore(StoreOp{Kind: StoreGet, Urgency: UrgencyUser, Key: key}, func(result StoreResult) {
		if result.Outcome == OK && len(result.KVs) == 1 {
			sc.observeChange(result.KVs[0])
		}
		if result.Outcome == NotFound {
			sc.observeChange(KeyValue{Key: key, Rev: result.Rev})
		}
		onResult(result)
	})
}

// memberIDs lists all members in order.
func (env *environment) memberIDs() []string {
	return env.params.MemberIDs()
}

func resourcesOf(t *MachineType) availability.Resources {
	if t == nil {
		return availability.Resources{}
	}
	return t.Resources
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
