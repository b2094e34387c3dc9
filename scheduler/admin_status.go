package scheduler

import (
	"maps"
	"slices"
	"strings"

	"github.com/grebedock/grebedock/quota"
	"github.com/grebedock/grebedock/reconcile"
)

// Status is what the administration API shows of a member.
type Status struct {
	Member    string          `json:"member"`
	Authority bool            `json:"authority"`
	Leading   bool            `json:"leading"`
	Leader    string          `json:"lead"`
	Revision  uint64          `json:"revision"`
	StoreLink string          `json:"link"` // with the state service: up, doubtful, refused or silent
	Jobs      int             `json:"jobs"`
	Shards    []ShardStatus   `json:"shards"`
	Machines  []MachineStatus `json:"machines"`
	Teams     []TeamStatus    `json:"teams"`
	Counters  Counters        `json:"counters"`
}

// ShardStatus is a shard in a Status.
type ShardStatus struct {
	Shard       string `json:"shard"`
	Owner       string `json:"holder"`
	Owned       bool   `json:"mine"`
	Ready       bool   `json:"ready"`
	Token       uint64 `json:"token,omitempty"`
	QueuedTasks int    `json:"queued"`
	Demands     int    `json:"needs"`
	// PlanIntervalS is how long the cost of the last plan asks to wait for the next.
	PlanIntervalS float64 `json:"plan_gap_s"`
	// Machines that may run tasks of earlier claims without our knowing it, those
	// of which the store says what they hold, and whether orders are paced.
	Unreported          int  `json:"unseen"`
	RecordedUnreachable int  `json:"noted"`
	Paced               bool `json:"paced"`
}

// MachineStatus is a machine in a Status.
type MachineStatus struct {
	ID          string `json:"id"`
	Shard       string `json:"shard"`
	Type        string `json:"type"`
	Zone        string `json:"zone"`
	Spot        bool   `json:"spot"`
	Up          bool   `json:"up"`
	Releasing   bool   `json:"draining"` // the lead is asked to return it; nothing undoes that
	Cordoned    bool   `json:"aside"`    // takes no starts, by an operator's wish
	Unreachable bool   `json:"silent"`
	Tasks       int    `json:"tasks"`
}

// TeamStatus is a team in a Status: its guarantee and limit, and what its tasks
// use and wait for in this member's shards and in all.
type TeamStatus struct {
	Team        string  `json:"team"`
	CPUs        float64 `json:"cpus"`
	MaxCPUs     float64 `json:"cpus_max"` // 0: none
	UsedCPUs    float64 `json:"cpus_used"`
	WaitingCPUs float64 `json:"cpus_waiting"`

	Guarantee quota.Amounts `json:"guarantee"`
	Limit     quota.Amounts `json:"limit"`
	// Over all members that were heard lately, and how old the oldest of their figures is.
	TotalUsage      quota.Amounts `json:"use"`
	TotalWaiting    quota.Amounts `json:"wait"`
	OldestUsageAgeS float64       `json:"age_s"`
	// GuaranteedDemand is what unfinished jobs within the guarantee ask for, Below how far the team
	// is below its guarantee while as much of them waits.
	GuaranteedDemand   quota.Amounts `json:"within"`
	GuaranteeShortfall quota.Amounts `json:"below"`
	// By shard, of a team with a limit.
	Allocations map[string]quota.Amounts `json:"parts,omitempty"`
	Requests    map[string]quota.Request `json:"wants,omitempty"`
}

// Status tells how the member stands.
func (c *Controller) Status(now Now) Status {
	c.now = now
	status := Status{
		Member:    c.params.MemberID,
		Authority: c.store.hasAuthority(),
		Leading:   c.scaler.leading,
		Leader:    c.cache.leader,
		Revision:  c.cache.mirrorRevision,
		StoreLink: c.store.storeAccess.Link(now.MonotonicMS).String(),
		Jobs:      len(c.cache.jobs),
		Counters:  c.Counters,
	}
	for _, shardName := range c.memberIDs() {
		shardStatus := ShardStatus{Shard: shardName, Owner: c.cache.shardClaims[shardName].Owner}
		if s := c.shards.ownedShards[shardName]; s != nil {
			shardStatus.Owned, shardStatus.Ready, shardStatus.Token, shardStatus.Demands, shardStatus.PlanIntervalS = true, s.ready, s.token, len(
				s.demand,
			), c.planInterval(
				s,
			)/1000
			shardStatus.Unreported, shardStatus.RecordedUnreachable, shardStatus.Paced = len(
				s.reconciler.Unreported(),
			), s.reconciler.Ledger.Len(), s.reconciler.Pacer.IsActive(
				now.MonotonicMS,
			)
			for _, g := range c.placer.waitingTaskGroups(s) {
				shardStatus.QueuedTasks += g.Remaining
			}
		}
		status.Shards = append(status.Shards, shardStatus)
	}
	usageByTeam, waitingByTeam := c.quotas.localUsageByTeam()
	for name, team := range sortedByKey(c.params.Teams) {
		status.Teams = append(status.Teams, c.quotas.teamStatus(name, team, usageByTeam[name], waitingByTeam[name]))
	}
	for id, mc := range c.registry.machines {
		status.Machines = append(
			status.Machines,
			MachineStatus{ID: id, Shard: mc.rec.Shard, Type: mc.rec.Type, Zone: mc.rec.Zone, Spot: mc.rec.Spot,
				Up: mc.Up, Releasing: mc.releasing, Cordoned: mc.cordoned || slices.Contains(c.cache.settings.Drain, id), Unreachable: mc.State() == reconcile.LeaseExpired, Tasks: mc.liveAttemptCount},
		)
	}
	slices.SortFunc(status.Machines, func(a, b MachineStatus) int { return strings.Compare(a.ID, b.ID) })
	return status
}

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
	var ageMS int64
	status.TotalUsage, status.TotalWaiting, ageMS = qm.usageMonitor.PeerUsage(
		name,
		qm.now.MonotonicMS,
		qm.now.MonotonicMS-qm.cache.maxMessageAgeMS(),
	)
	status.TotalUsage, status.TotalWaiting, status.OldestUsageAgeS = status.TotalUsage.Add(
		usage,
	), status.TotalWaiting.Add(
		waiting,
	), float64(
		ageMS,
	)/1000
	for _, j := range sortedByKey(qm.cache.jobs) { // the same sum every time
		if j.rec.Job.Team == name && qm.isWithinGuarantee(&j.rec.Job) {
			status.GuaranteedDemand = status.GuaranteedDemand.Add(totalRequest(&j.rec.Job))
		}
	}
	status.GuaranteeShortfall = status.GuaranteedDemand.Min(
		status.Guarantee,
	).Sub(
		status.TotalUsage,
	).Min(
		status.TotalWaiting,
	).Max(
		quota.Amounts{},
	)
	if ledger := qm.quotaLedgers[name]; ledger != nil {
		status.Allocations = ledger.Allocations()
		if rec := ledger.Record(); rec != nil {
			status.Requests = maps.Clone(rec.Requests)
		}
	}
	return status
}

// Settings returns the operators' settings that are in force.
func (c *Controller) Settings() Settings {
	s := c.cache.settings
	s.Drain, s.Disruption = slices.Clone(s.Drain), maps.Clone(s.Disruption)
	return s
}

// ChangeSettings stores new settings, which all members take up from the store;
// reply names the answer among the users'.
func (c *Controller) ChangeSettings(now Now, replyID uint64, s Settings) {
	c.now = now
	c.requests.pendingRequests[replyID] = &pendingRequest{
		replyID:        replyID,
		receivedAtMS:   now.MonotonicMS,
		pendingLocally: true,
		relayed:        true,
	} // this member's to answer
	if err := s.Validate(); err != nil {
		c.requests.completeRequest(replyID, UserResponse{Status: 400, Error: err.Error()})
		return
	}
	if !c.store.storeAccess.IsSynced() {
		c.requests.completeRequest(replyID, unavailableResponse("", storeUnavailableMessage))
		return
	}
	c.store.sendTxn(
		UrgencyUser,
		[]Precondition{{settingsKey, c.cache.keyRevisions[settingsKey]}},
		[]Change{{Key: settingsKey, Value: mustEncode(s)}},
		func(result StoreResult) {
			switch result.Outcome {
			case OK:
				c.log(Info, "settings changed")
				c.requests.completeRequest(replyID, UserResponse{Status: 200})
			case Conflict:
				c.requests.completeRequest(
					replyID,
					UserResponse{Status: 409, Error: "changed by somebody else meanwhile; read and try again"},
				)
			default:
				c.requests.completeRequest(replyID, unavailableResponse("", storeUnavailableMessage))
			}
		},
	)
}
