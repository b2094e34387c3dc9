// Package scheduler is the controllers' core: a state machine that takes
// inputs (reports, requests of users, answers of the state service, of the
// cloud and of peers, and the passing of time) and returns what to send, write
// and answer. It does no input or output, starts no goroutine and reads no
// clock, so a whole cluster of cores runs in simulated time in its tests.
package scheduler

import (
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/grebedock/grebedock/access"
	"github.com/grebedock/grebedock/admission"
	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/disruption"
	"github.com/grebedock/grebedock/planner"
	"github.com/grebedock/grebedock/quota"
	"github.com/grebedock/grebedock/rollout"
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
		if err := budget.Validate(); err != nil {
			return "disruption." + team + "." + err.Error()
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

// Controller is the core of one controller.
type Controller struct {
	params  Params
	rng     *rand.Rand
	now     Now
	outputs Outputs

	lastRequestID          uint64
	storeCallbacks         map[uint64]func(StoreResult)
	cloudCallbacks         map[uint64]func(CloudResult)
	directCommandCallbacks map[uint64]func(DirectCommandResult)
	startedAtMS            int64

	storeAccess *access.LeaseKeeper // how the member stands with the state service

	// The mirror of everything live.
	keyRevisions     map[string]uint64 // revision of every mirrored key
	tombstones       map[string]uint64 // removals that the watch has not passed yet
	jobs             map[string]*job
	machines         map[string]*machine
	registryPages    map[string]*registryPage // by key
	liveMachines     map[string][]string      // machines that are up, by the key of their list
	shardClaims      map[string]claimRecord
	quotaLedgers     map[string]*quota.Ledger // of teams with a limit
	usageMonitor     *quota.UsageMonitor
	guaranteeStatus  guaranteeStatus
	capacitySnapshot capacitySnapshot
	meanJobVolumes   meanJobVolumes
	leader           string
	machineTypes     map[string]*MachineType
	placementCatalog *planner.Catalog // the same, as placement sees it
	settings         Settings
	mirrorRevision   uint64

	ownedShards      map[string]*shard
	claimRetryAtMS   map[string]int64 // shard: when to try again
	ownerlessSinceMS map[string]int64 // shard: since when nobody holds it
	shardRequests    map[string]int64 // shard: when its own member last asked for it

	extensionRecords map[string]KeyValue // what subsystems beside the core keep in the mirror

	delayedSteps []delayedStep // of writes in doubt

	statusRecords            map[string]*peerState // of members that the lead may not hear
	writingStatusRecord      bool
	lastStatusRecordNonEmpty bool // the last note said something
	nextStatusRecordAtMS     int64

	submissionQueue   *admission.Queue[pendingSubmission]
	pendingRequests   map[uint64]*pendingRequest // without an answer, by reply
	requestsByArrival []*pendingRequest          // the same, in order
	pendingRelays     map[uint64]pendingRelay
	relayRoundRobin   uint64
	expediteBudget    float64 // relays that may go only to hurry

	queryBatcher       queryBatches
	terminalStates     map[string]terminalRecord
	terminalStateOrder []string
	parkedHeartbeats   map[string][]parkedHeartbeat // machine: reports that wait for its registration

	peers               map[string]*peerState
	nextPeerMessageAtMS int64
	summaryTurn         int // of peers that get summaries
	runtimeCorrections  map[string]*runtimeCorrection
	fleet               fleetState
	rolloutState        rolloutState
	rolloutCounts       rollout.HealthCounts // what the gates of rollouts count, here
	homeShards          map[string]string    // team with a limit: the shard that its jobs go to
	Counters            Counters
	hadAuthority        bool
	lastStoreLink       access.LinkState
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
// claims; nothing that others rely on hangs on it.
func New(params Params, seed uint64, now Now) *Controller {
	m := &Controller{
		params: params, rng: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)), now: now, startedAtMS: now.MonotonicMS,
		storeCallbacks: map[uint64]func(StoreResult){}, cloudCallbacks: map[uint64]func(CloudResult){}, directCommandCallbacks: map[uint64]func(DirectCommandResult){},
		keyRevisions: map[string]uint64{}, tombstones: map[string]uint64{}, jobs: map[string]*job{}, machines: map[string]*machine{},
		registryPages: map[string]*registryPage{}, liveMachines: map[string][]string{},
		shardClaims: map[string]claimRecord{}, machineTypes: map[string]*MachineType{}, placementCatalog: planner.NewCatalog(),
		settings: DefaultSettings(), ownedShards: map[string]*shard{}, claimRetryAtMS: map[string]int64{}, ownerlessSinceMS: map[string]int64{},
		shardRequests: map[string]int64{}, statusRecords: map[string]*peerState{}, pendingRequests: map[uint64]*pendingRequest{}, pendingRelays: map[uint64]pendingRelay{}, expediteBudget: expediteBurst, terminalStates: map[string]terminalRecord{}, parkedHeartbeats: map[string][]parkedHeartbeat{},
		extensionRecords: map[string]KeyValue{}, peers: map[string]*peerState{}, runtimeCorrections: map[string]*runtimeCorrection{},
	}
	m.storeAccess = access.NewLeaseKeeper(
		access.Settings{
			LeaseTTLMS:       m.leaseTTLMS(),
			MaxClockDrift:    maxClockDriftMS,
			AuthoritySlackMS: 50,
			RequestTimeoutMS: access.RequestTimeout.Milliseconds(),
		},
	)
	m.submissionQueue = newSubmissionQueue(m)
	m.initTeamLedgers()
	m.usageMonitor = quota.NewUsageMonitor(params.MemberID, now.WallMS)
	m.fleet.init()
	m.rolloutState.disruptionRecords = map[string]disruption.Record{}
	return m
}

// TakeOutputs returns what the inputs since the last call want done.
func (c *Controller) TakeOutputs() Outputs {
	outputs := c.outputs
	c.outputs = Outputs{}
	return outputs
}

func (c *Controller) log(level LogLevel, text string, args ...any) {
	if level == Debug && !c.params.Debug {
		return
	}
	c.outputs.Logs = append(c.outputs.Logs, LogLine{level, text, args})
}

func (c *Controller) sendStore(op StoreOp, onResult func(StoreResult)) {
	c.lastRequestID++
	op.ID = c.lastRequestID
	switch {
	case op.Kind == StoreWatch && op.DurationMS > 0: // waits by its nature
		c.storeCallbacks[op.ID] = onResult
	case op.Urgency == UrgencyBackground:
		// Put off for as long as the rate is short: its time is not the state
		// service's.
		c.storeCallbacks[op.ID] = func(r StoreResult) {
			c.storeAccess.ObserveOutcome(c.now.MonotonicMS, r.Outcome)
			onResult(r)
		}
	default:
		ticket := c.storeAccess.BeginRequest(c.now.MonotonicMS)
		c.storeCallbacks[op.ID] = func(r StoreResult) {
			c.storeAccess.CompleteRequest(c.now.MonotonicMS, ticket, r.QueuedMS, r.Outcome)
			onResult(r)
		}
	}
	c.outputs.StoreOps = append(c.outputs.StoreOps, op)
}

// HandleStoreResult takes the answer of the state service to a request.
func (c *Controller) HandleStoreResult(now Now, id uint64, result StoreResult) {
	c.now = now
	if onResult := c.storeCallbacks[id]; onResult != nil {
		delete(c.storeCallbacks, id)
		onResult(result)
	}
}

func (c *Controller) sendCloud(op CloudOp, onResult func(CloudResult)) {
	c.lastRequestID++
	op.ID = c.lastRequestID
	c.cloudCallbacks[op.ID] = onResult
	c.outputs.CloudOps = append(c.outputs.CloudOps, op)
}

// HandleCloudResult takes the cloud's answer to a request.
func (c *Controller) HandleCloudResult(now Now, id uint64, result CloudResult) {
	c.now = now
	if onResult := c.cloudCallbacks[id]; onResult != nil {
		delete(c.cloudCallbacks, id)
		onResult(result)
	}
}

// leaseTTLMS is how long this member's holds last (access.Life).
func (c *Controller) leaseTTLMS() int64 {
	ttlMS := access.LeaseTTLMS(secondsToMS(c.params.CancelWithinS), secondsToMS(c.params.LeaseS))
	if c.params.LeaseTTLRatio > 0 {
		ttlMS = int64(float64(ttlMS) * min(1, c.params.LeaseTTLRatio))
	}
	return ttlMS
}

// leaseRenewalIntervalMS is how often holds are extended and watches renewed.
func (c *Controller) leaseRenewalIntervalMS() int64 { return c.storeAccess.RenewIntervalMS() }

// hasAuthority tells whether this member may act for its shards. Past it, no
// starts, no decisions, and no answer that would renew a worker's lease.
func (c *Controller) hasAuthority() bool { return c.storeAccess.HasAuthority(c.now.MonotonicMS) }

// Tick lets time pass. The caller does so every tenth of a second.
func (c *Controller) Tick(now Now) {
	c.now = now
	c.tickStoreAccess()
	c.runDueSteps()
	if authority := c.hasAuthority(); authority != c.hadAuthority {
		c.hadAuthority = authority
		c.log(Info, "authority", "held", authority)
	}
	c.tickShards()
	c.sendPeerMessage()
	c.tickFleet()
	c.writeQueuedSubmissions()
	c.sendQueryBatch()
	c.confirmMirroredSubmissions()
	c.expediteSlowRequests()
}

// tickStoreAccess asks what the member's standing needs: its hold, and the mirror of
// everything live, by one list and then watches. A watch that comes back proves
// that everything up to its sending was seen.
func (c *Controller) tickStoreAccess() {
	actions := c.storeAccess.Tick(c.now.MonotonicMS)
	if link := c.storeAccess.Link(c.now.MonotonicMS); link != c.lastStoreLink {
		c.lastStoreLink = link
		c.log(Info, "state service", "link", link)
	}
	if actions.GrantLease {
		c.sendStore(
			StoreOp{Kind: StoreGrantLease, DurationMS: c.leaseTTLMS()},
			func(r StoreResult) { c.storeAccess.CompleteLeaseRequest(c.now.MonotonicMS, r.Outcome, r.LeaseID) },
		)
	}
	if actions.RenewLease != 0 {
		c.sendStore(StoreOp{Kind: StoreRenewLease, LeaseID: actions.RenewLease}, func(r StoreResult) {
			if !c.storeAccess.CompleteLeaseRequest(c.now.MonotonicMS, r.Outcome, 0) {
				return
			}
			// The hold ended: every claim that hung on it is gone.
			c.log(Warn, "hold lost", "shards", len(c.ownedShards))
			for _, s := range sortedByKey(c.ownedShards) {
				c.dropShard(s)
			}
		})
	}
	if actions.ListMirror {
		c.listAll(livePrefix, func(kvs []KeyValue, rev uint64, outcome Outcome) {
			if outcome == OK {
				c.applySnapshot(kvs, rev)
			}
			c.storeAccess.CompleteMirrorRead(c.now.MonotonicMS, actions.ReadID, outcome, c.rng.Float64())
		})
	}
	if actions.WatchMirror {
		c.sendStore(
			StoreOp{Kind: StoreWatch, Key: livePrefix, Rev: c.mirrorRevision, DurationMS: c.leaseRenewalIntervalMS()},
			func(r StoreResult) {
				if !c.storeAccess.CompleteMirrorRead(c.now.MonotonicMS, actions.ReadID, r.Outcome, c.rng.Float64()) ||
					r.Outcome != OK {
					return
				}
				c.applyWatchResult(r)
			},
		)
	}
}

// applyWatchResult takes all changes since a revision that the mirror had.
func (c *Controller) applyWatchResult(result StoreResult) {
	for _, kv := range result.KVs {
		c.applyChange(kv)
	}
	c.mirrorRevision = max(c.mirrorRevision, result.Rev)
	for key, removedAt := range c.tombstones {
		if removedAt <= c.mirrorRevision {
			delete(c.tombstones, key)
		}
	}
}

// applySnapshot takes a list of everything live.
func (c *Controller) applySnapshot(kvs []KeyValue, revision uint64) {
	found := make(map[string]bool, len(kvs))
	for _, kv := range kvs {
		found[kv.Key] = true
		c.applyChange(kv)
	}
	var gone []string
	for key, keyRevision := range c.keyRevisions {
		if !found[key] && keyRevision <= revision {
			gone = append(gone, key)
		}
	}
	slices.Sort(gone)
	for _, key := range gone {
		c.applyChange(KeyValue{Key: key, Rev: revision})
	}
	c.mirrorRevision = revision
	c.log(Info, "mirror read", "keys", len(kvs), "revision", revision)
}

// listAll reads all keys with a prefix. rev is the revision of the first page:
// watching from there on misses nothing.
func (c *Controller) listAll(prefix string, onResult func(kvs []KeyValue, revision uint64, outcome Outcome)) {
	var collected []KeyValue
	var revision uint64
	var readPage func(startAfter string)
	readPage = func(startAfter string) {
		c.sendStore(StoreOp{Kind: StoreList, Key: prefix, StartAfter: startAfter}, func(r StoreResult) {
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
func (c *Controller) applyChange(kv KeyValue) {
	if !strings.HasPrefix(kv.Key, livePrefix) {
		return
	}
	if kv.Rev <= c.keyRevisions[kv.Key] || kv.Rev <= c.tombstones[kv.Key] {
		return
	}
	// The mirror has everything up to m.rev. A read that was under way while its
	// key was removed says less: applied, it made a cancelled job start again.
	if _, known := c.keyRevisions[kv.Key]; !known && c.storeAccess.IsSynced() && kv.Rev <= c.mirrorRevision {
		return
	}
	removed := kv.Value == nil
	if removed {
		// A watch that lags behind our own removal must not bring the key
		// back: a job that is over would start again.
		if kv.Rev > c.mirrorRevision {
			c.tombstones[kv.Key] = kv.Rev
		}
		if _, ok := c.keyRevisions[kv.Key]; !ok {
			return
		}
		delete(c.keyRevisions, kv.Key)
	} else {
		c.keyRevisions[kv.Key] = kv.Rev
	}
	logUnreadable := func(err error) {
		c.log(Warn, "record unreadable", "key", kv.Key, "error", err)
	}
	switch {
	case strings.HasPrefix(kv.Key, jobPrefix):
		id := kv.Key[len(jobPrefix):]
		if removed {
			c.deleteJob(id)
			return
		}
		var rec jobRecord
		if err := json.Unmarshal(kv.Value, &rec); err != nil {
			logUnreadable(err)
			return
		}
		c.upsertJob(id, rec, kv.Rev)
	case strings.HasPrefix(kv.Key, registryPrefix), strings.HasPrefix(kv.Key, liveMachinesPrefix):
		if err := c.applyMachineRecord(kv); err != nil {
			logUnreadable(err)
		}
	case strings.HasPrefix(kv.Key, claimPrefix):
		id := kv.Key[len(claimPrefix):]
		var rec claimRecord
		if !removed {
			if err := json.Unmarshal(kv.Value, &rec); err != nil {
				logUnreadable(err)
				return
			}
			c.shardClaims[id] = rec
		} else {
			delete(c.shardClaims, id)
		}
		// Another claim of a shard that we held: it is no longer ours. The
		// same claim with a higher revision is one that we raised.
		if s := c.ownedShards[id]; s != nil && !removed && rec.Nonce == s.nonce {
			s.token = max(s.token, kv.Rev)
			s.attemptIDs.Rebase(s.token, c.now.WallMS)
		} else if s != nil && kv.Rev > s.token {
			c.log(Warn, "shard lost", "shard", id)
			c.dropShard(s)
		}
	case strings.HasPrefix(kv.Key, teamPrefix):
		id := kv.Key[len(teamPrefix):]
		ledger := c.quotaLedgers[id]
		if ledger == nil {
			return // it had a limit once
		}
		if removed {
			ledger.Observe(nil, 0)
		} else {
			var rec quota.Record
			if err := json.Unmarshal(kv.Value, &rec); err != nil {
				logUnreadable(err)
				return
			}
			ledger.Observe(&rec, kv.Rev)
		}
		c.markAllShardsDirty()
	case strings.HasPrefix(kv.Key, statusPrefix):
		if err := c.applyStatusRecord(kv); err != nil {
			logUnreadable(err)
		}
	case kv.Key == rolloutKey, strings.HasPrefix(kv.Key, disruptionPrefix):
		if err := c.applyRolloutRecord(kv); err != nil {
			logUnreadable(err)
		}
	case strings.HasPrefix(kv.Key, extensionPrefix):
		if removed {
			delete(c.extensionRecords, kv.Key)
		} else {
			c.extensionRecords[kv.Key] = kv
		}
	case kv.Key == leaderKey:
		var rec claimRecord
		if !removed {
			if err := json.Unmarshal(kv.Value, &rec); err != nil {
				logUnreadable(err)
				return
			}
		}
		if rec.Nonce != c.fleet.nonce {
			c.fleet.leading = false
		}
		c.leader = rec.Owner
	case kv.Key == catalogKey:
		var rec catalogRecord
		if removed {
			return
		}
		if err := json.Unmarshal(kv.Value, &rec); err != nil {
			logUnreadable(err)
			return
		}
		c.setMachineTypes(rec.Types)
	case kv.Key == settingsKey:
		s := DefaultSettings()
		if !removed {
			if err := json.Unmarshal(kv.Value, &s); err != nil || s.Validate() != "" {
				return
			}
		}
		c.settings = s
		c.markAllShardsDirty()
	}
}

func (c *Controller) setMachineTypes(machineTypes []MachineType) {
	for _, t := range machineTypes {
		c.machineTypes[t.Name] = &t
		c.placementCatalog.SetTypes(
			planner.MachineType{
				Name:      t.Name,
				Resources: t.Resources,
				FetchGBps: t.ImageFetchGBps,
				BootMS:    secondsToMS(t.BootS),
				Zones:     t.Zones,
			},
		)
	}
	c.markAllShardsDirty()
}

func (c *Controller) markAllShardsDirty() {
	for _, s := range c.ownedShards {
		s.dirty = true
	}
}

// sendTxn sends a transaction. When it is known to have worked, the mirror has its
// changes before done is called.
func (c *Controller) sendTxn(
	urgency Urgency,
	preconditions []Precondition,
	changes []Change,
	onResult func(StoreResult),
) {
	c.sendStore(
		StoreOp{Kind: StoreTxn, Urgency: urgency, Preconditions: preconditions, Changes: changes},
		func(result StoreResult) {
			if result.Outcome == OK {
				for _, change := range changes {
					c.applyChange(KeyValue{Key: change.Key, Value: change.Value, Rev: result.Rev})
				}
			}
			onResult(result)
		},
	)
}

// rereadKey settles a write whose outcome is not known: the store's word on the
// keys, before anything rests on them.
func (c *Controller) rereadKey(key string, onResult func(StoreResult)) {
	c.sendStore(StoreOp{Kind: StoreGet, Urgency: UrgencyUser, Key: key}, func(result StoreResult) {
		if result.Outcome == OK && len(result.KVs) == 1 {
			c.applyChange(result.KVs[0])
		}
		if result.Outcome == NotFound {
			c.applyChange(KeyValue{Key: key, Rev: result.Rev})
		}
		onResult(result)
	})
}

// memberIDs lists all members in order.
func (c *Controller) memberIDs() []string {
	return c.params.MemberIDs()
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
	if c.hasAuthority() && len(c.machineTypes) > 0 {
		return true
	}
	for memberID, peer := range c.peers {
		if memberID != c.params.MemberID && c.isFresh(peer) && len(peer.message.OwnedShards) > 0 {
			return false
		}
	}
	return true
}
