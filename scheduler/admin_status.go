package scheduler

import (
	"maps"
	"slices"
	"strings"

	"github.com/grebedock/grebedock/quota"
	"github.com/grebedock/grebedock/reconcile"
)

// Status is a member's view of the cluster, in the form that the administration API returns.
type Status struct {
	Member    string          `json:"member"`
	Authority bool            `json:"authority"`
	Leading   bool            `json:"leading"`
	Leader    string          `json:"lead"`
	Revision  uint64          `json:"revision"`
	StoreLink string          `json:"link"` // link to the state service: up, doubtful, refused or silent
	Jobs      int             `json:"jobs"`
	Shards    []ShardStatus   `json:"shards"`
	Machines  []MachineStatus `json:"machines"`
	Teams     []TeamStatus    `json:"teams"`
	Counters  Counters        `json:"counters"`
}

// ShardStatus is a shard in a Status. Only the owner of the shard sets more fields than Shard and Owner.
type ShardStatus struct {
	Shard       string `json:"shard"`
	Owner       string `json:"holder"`
	Owned       bool   `json:"mine"`
	Ready       bool   `json:"ready"`
	Token       uint64 `json:"token,omitempty"`
	QueuedTasks int    `json:"queued"`
	Demands     int    `json:"needs"`
	// PlanIntervalS is the minimum time between plans, derived from the cost of the last plan.
	PlanIntervalS float64 `json:"plan_gap_s"`
	// Unreported is the number of machines that may run tasks of earlier claims and have
	// sent no heartbeat under the current claim.
	Unreported int `json:"unseen"`
	// RecordedUnreachable is the number of unreachable machines whose tasks are recorded in
	// the state service.
	RecordedUnreachable int  `json:"noted"`
	Paced               bool `json:"paced"` // commands to workers are paced
	// WaitingClears is the number of ended attempts whose clears wait for a higher token.
	WaitingClears   int     `json:"waiting_clears"`
	OldestClearAgeS float64 `json:"oldest_clear_age_s"`
	// Teams is the usage of the teams with a limit.
	Teams []TeamShardUsage `json:"teams,omitempty"`
}

// MachineStatus is a machine in a Status.
type MachineStatus struct {
	ID          string `json:"id"`
	Shard       string `json:"shard"`
	Type        string `json:"type"`
	Zone        string `json:"zone"`
	Spot        bool   `json:"spot"`
	Up          bool   `json:"up"`
	Releasing   bool   `json:"draining"` // its release by the leader is requested; irreversible under this claim
	Cordoned    bool   `json:"aside"`    // gets no new tasks, because of an operator's setting or a rollout
	Unreachable bool   `json:"silent"`   // the worker's lease has expired
	Tasks       int    `json:"tasks"`
}

// TeamStatus is a team in a Status: its guarantee and limit, and the resources that its
// running tasks use and its waiting tasks request, in this member's shards and in all
// shards.
type TeamStatus struct {
	Team        string  `json:"team"`
	CPUs        float64 `json:"cpus"`
	MaxCPUs     float64 `json:"cpus_max"` // 0: no limit
	UsedCPUs    float64 `json:"cpus_used"`
	WaitingCPUs float64 `json:"cpus_waiting"`

	Guarantee quota.Amounts `json:"guarantee"`
	Limit     quota.Amounts `json:"limit"`
	// Totals over this member and all peers with fresh messages, and the age of the oldest
	// figures among them.
	TotalUsage      quota.Amounts `json:"use"`
	TotalWaiting    quota.Amounts `json:"wait"`
	OldestUsageAgeS float64       `json:"age_s"`
	// GuaranteedDemand is the total request of unfinished jobs within the guarantee.
	GuaranteedDemand quota.Amounts `json:"within"`
	// GuaranteeShortfall is the part of GuaranteedDemand, up to the guarantee, that the team
	// does not use, limited to its waiting demand.
	GuaranteeShortfall quota.Amounts `json:"below"`
	// Allocations and requests of a team with a limit, by shard.
	Allocations map[string]quota.Amounts `json:"parts,omitempty"`
	Requests    map[string]quota.Request `json:"wants,omitempty"`
}

// Status returns this member's view of the cluster.
func (c *Controller) Status(now Now) Status {
	c.now = now
	status := Status{
		Member:    c.params.MemberID,
		Authority: c.store.hasAuthority(),
		Leading:   c.scaler.leading,
		Leader:    c.cache.leader,
		Revision:  c.cache.appliedRevision,
		StoreLink: c.store.storeAccess.Link(now.MonotonicMS).String(),
		Jobs:      len(c.cache.jobs),
		Counters:  c.Counters,
	}
	for _, shardName := range c.memberIDs() {
		status.Shards = append(status.Shards, c.shardStatus(shardName))
	}
	usageByTeam, waitingByTeam := c.quotas.localUsageByTeam()
	for name, team := range sortedByKey(c.params.Teams) {
		status.Teams = append(status.Teams, c.quotas.teamStatus(name, team, usageByTeam[name], waitingByTeam[name]))
	}
	for id, mc := range c.registry.machines {
		status.Machines = append(status.Machines, c.machineStatus(id, mc))
	}
	slices.SortFunc(status.Machines, func(a, b MachineStatus) int { return strings.Compare(a.ID, b.ID) })
	return status
}

func (c *Controller) shardStatus(name string) ShardStatus {
	status := ShardStatus{Shard: name, Owner: c.cache.shardClaims[name].Owner}
	s := c.shards.ownedShards[name]
	if s == nil {
		return status
	}
	status.Owned, status.Ready, status.Token = true, s.ready, s.token
	status.Demands = len(s.demand)
	status.PlanIntervalS = c.planInterval(s) / 1000
	status.Unreported = len(s.reconciler.Unreported())
	status.RecordedUnreachable = s.reconciler.Ledger.Len()
	status.Paced = s.reconciler.Pacer.IsActive(c.now.MonotonicMS)
	if count, oldestAt := s.directStarts.waitingClears(s.token); count > 0 {
		status.WaitingClears = count
		status.OldestClearAgeS = float64(c.now.MonotonicMS-oldestAt) / 1000
	}
	for team := range sortedByKey(c.quotas.quotaLedgers) {
		status.Teams = append(status.Teams, c.quotas.teamShardUsage(s, team))
	}
	for _, g := range c.placer.waitingTaskGroups(s) {
		status.QueuedTasks += g.Remaining
	}
	return status
}

func (c *Controller) machineStatus(id string, mc *machine) MachineStatus {
	return MachineStatus{
		ID:          id,
		Shard:       mc.rec.Shard,
		Type:        mc.rec.Type,
		Zone:        mc.rec.Zone,
		Spot:        mc.rec.Spot,
		Up:          mc.Up,
		Releasing:   mc.releasing,
		Cordoned:    mc.cordoned || slices.Contains(c.cache.settings.Drain, id),
		Unreachable: mc.State() == reconcile.LeaseExpired,
		Tasks:       mc.liveAttemptCount,
	}
}

// teamStatus returns a team's status. usage and waiting are the resources that its tasks use and
// request in this member's shards.
func (qm *quotaManager) teamStatus(name string, team Team, usage, waiting quota.Amounts) TeamStatus {
	status := TeamStatus{
		Team:        name,
		CPUs:        team.CPUs,
		MaxCPUs:     team.MaxCPUs,
		UsedCPUs:    usage.CPUs,
		WaitingCPUs: waiting.CPUs,
		Guarantee:   guaranteeOf(team),
		Limit:       quota.Amounts{CPUs: team.MaxCPUs, GPUs: team.MaxGPUs},
	}
	now := qm.now.MonotonicMS
	peerUsage, peerWaiting, ageMS := qm.usageMonitor.PeerUsage(name, now, now-qm.cache.maxMessageAgeMS())
	status.TotalUsage, status.TotalWaiting = peerUsage.Add(usage), peerWaiting.Add(waiting)
	status.OldestUsageAgeS = float64(ageMS) / 1000
	for _, j := range sortedByKey(qm.cache.jobs) { // sorted, so that the floating-point sum is deterministic
		if j.rec.Job.Team == name && qm.isWithinGuarantee(&j.rec.Job) {
			status.GuaranteedDemand = status.GuaranteedDemand.Add(totalRequest(&j.rec.Job))
		}
	}
	shortfall := status.GuaranteedDemand.Min(status.Guarantee).Sub(status.TotalUsage)
	status.GuaranteeShortfall = shortfall.Min(status.TotalWaiting).Max(quota.Amounts{})
	if ledger := qm.quotaLedgers[name]; ledger != nil {
		status.Allocations = ledger.Allocations()
		if rec := ledger.Record(); rec != nil {
			status.Requests = maps.Clone(rec.Requests)
		}
	}
	return status
}

// Settings returns a copy of the operators' settings that this member currently applies.
func (c *Controller) Settings() Settings {
	s := c.cache.settings
	s.Drain, s.Disruption = slices.Clone(s.Drain), maps.Clone(s.Disruption)
	return s
}

// ChangeSettings writes new settings to the state service, from which all members read
// them. The response appears in Outputs.UserResponses under replyID: status 400 with the
// text of Validate's error, 409 after a concurrent change, or 503 if the state service is
// unavailable.
func (c *Controller) ChangeSettings(now Now, replyID uint64, s Settings) {
	c.now = now
	c.requests.pendingRequests[replyID] = &pendingRequest{
		replyID:        replyID,
		receivedAtMS:   now.MonotonicMS,
		pendingLocally: true,
		relayed:        true, // keeps the request from being relayed to a peer
	}
	if err := s.Validate(); err != nil {
		c.requests.completeRequest(replyID, UserResponse{Status: 400, Error: err.Error()})
		return
	}
	if !c.store.storeAccess.IsSynced() {
		c.requests.completeRequest(replyID, unavailableResponse("", storeUnavailableMessage))
		return
	}
	preconditions := []Precondition{{settingsKey, c.cache.keyRevisions[settingsKey]}}
	changes := []Change{{Key: settingsKey, Value: mustEncode(s)}}
	c.store.sendTxn(UrgencyUser, preconditions, changes, func(result StoreResult) {
		c.requests.completeRequest(replyID, c.settingsResponse(result.Outcome))
	})
}

// settingsResponse returns the response to a change of settings whose write had this outcome.
func (c *Controller) settingsResponse(outcome Outcome) UserResponse {
	switch outcome {
	case OK:
		c.log(Info, "settings changed")
		return UserResponse{Status: 200}
	case Conflict:
		return UserResponse{Status: 409, Error: "changed by somebody else meanwhile; read and try again"}
	default:
		return unavailableResponse("", storeUnavailableMessage)
	}
}
