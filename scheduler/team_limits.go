package scheduler

import (
	"encoding/json"
	"slices"

	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/indoubt"
	"github.com/grebedock/grebedock/quota"
	"github.com/grebedock/grebedock/reconcile"
)

// quotaManager owns the teams' ledgers: the allocations of their limits to shards,
// what counts as within their guarantees, and what is reclaimed for those.
//
// A team's limit is split among the shards by a record in the store. A start
// needs room in its shard's allocation, so the limit holds whatever the shards know
// of each other (package quota). Without a record all of it is allocated to the team's
// home shard, which the team's jobs go to: in equal parts, a team's jobs waited on one
// shard for what lay unused on another, and the earliest deadline was the earliest of
// its shard only.
type quotaManager struct {
	*environment
	agents    *agentManager
	cache     *stateCache
	estimates *runtimeEstimator
	peers     *peerTable
	placer    *placementPlanner
	registry  *machineRegistry
	shards    *shardManager
	store     *storeClient

	quotaLedgers     map[string]*quota.Ledger // of teams with a limit
	usageMonitor     *quota.UsageMonitor
	homeShards       map[string]string // by team with a limit: the shard that its jobs go to
	guaranteeStatus  guaranteeStatus
	capacitySnapshot capacitySnapshot
}

func newQuotaManager(env *environment) *quotaManager {
	qm := &quotaManager{
		environment:  env,
		usageMonitor: quota.NewUsageMonitor(env.params.MemberID, env.now.WallMS),
	}
	qm.initTeamLedgers()
	return qm
}

// teamAllocation is the part of a team's limit that a shard has; limited is false for a team
// without a limit.
func (qm *quotaManager) teamAllocation(s *shard, team string) (allocation quota.Amounts, settings Team, limited bool) {
	settings = qm.params.Teams[team]
	if ledger := qm.quotaLedgers[team]; ledger != nil {
		return ledger.Allocation(s.name), settings, true
	}
	return quota.Amounts{}, settings, false
}

// unlimitedAmount is more of any resource than there is.
const unlimitedAmount = 1e12

// initTeamLedgers assigns the teams that have a limit their home shards, and makes their ledgers.
func (qm *quotaManager) initTeamLedgers() {
	qm.homeShards = assignTeamHomes(qm.params.Teams, qm.memberIDs())
	qm.quotaLedgers = map[string]*quota.Ledger{}
	for name, home := range qm.homeShards {
		t := qm.params.Teams[name]
		var others []string
		if qm.params.Quota {
			others = slices.DeleteFunc(qm.memberIDs(), func(s string) bool { return s == home })
		}
		limit := quota.Amounts{CPUs: t.MaxCPUs, GPUs: t.MaxGPUs}
		qm.quotaLedgers[name] = quota.NewLedger(limit, home, others...)
	}
}

// assignTeamHomes spreads the teams that have a limit over the shards. All members
// have the same settings, so they agree.
func assignTeamHomes(teams map[string]Team, members []string) map[string]string {
	homes := map[string]string{}
	i := 0
	for name, t := range sortedByKey(teams) {
		if t.MaxCPUs > 0 || t.MaxGPUs > 0 {
			homes[name] = members[i%len(members)]
			i++
		}
	}
	return homes
}

// fitsTeamAllocation reports whether all that a shard has of a limited team's work fits its
// allocation: then some may go to a peer, which requests the allocation that it needs.
func (qm *quotaManager) fitsTeamAllocation(s *shard, team string) bool {
	headroom, limited := qm.teamHeadroom(s, team)
	if !limited {
		return true
	}
	queued := s.queuedRequests(team)
	return queued.CPUs <= headroom.CPUs && queued.GPUs <= headroom.GPUs
}

// queuedRequests is what a team's tasks without an attempt request.
func (s *shard) queuedRequests(team string) availability.Resources {
	var sum availability.Resources
	for _, tr := range s.taskRanges {
		if j := &tr.job.rec.Job; j.Team == team {
			queued := limitedRequest(j, tr.pending())
			sum.CPUs += queued.CPUs
			sum.GPUs += queued.GPUs
		}
	}
	return sum
}

// maxUnreportedUsage is the most that a team's tasks may use of a shard's machines without the
// shard knowing it. A machine that has not sent a heartbeat since the claim runs at
// most what its entry in the ledger of unreachable machines says, or what it has
// capacity for. One with orphaned tasks may use all its capacity: whose they are is no
// longer known, and until they are stopped they may be this team's.
func (qm *quotaManager) maxUnreportedUsage(s *shard, team string) (sum reconcile.ResourceUsage) {
	for _, unreported := range s.reconciler.Unreported() {
		if entry, recorded := s.reconciler.Ledger.Entry(unreported.ID); recorded {
			sum = sum.Add(entry.UsageByTeam[team])
			continue
		}
		sum = sum.Add(qm.cache.machineCapacity(qm.registry.machines[unreported.ID]))
	}
	if s.machinesWithOrphans == 0 {
		return sum
	}
	for _, mc := range s.machines {
		if mc.orphanedTasks == 0 || !mc.IsReconciled() {
			continue
		}
		capacity := qm.cache.machineCapacity(mc)
		sum = sum.Add(reconcile.ResourceUsage{
			CPUs: capacity.CPUs - mc.usage.CPUs,
			GPUs: capacity.GPUs - mc.usage.GPUs,
		})
	}
	return sum
}

// teamHeadroom is what a team may still start in a shard; limited is false if no limit says.
func (qm *quotaManager) teamHeadroom(s *shard, team string) (headroom availability.Resources, limited bool) {
	allocation, t, limited := qm.teamAllocation(s, team)
	if !limited {
		return availability.Resources{}, false
	}
	usage, unreported := s.usage[team], qm.maxUnreportedUsage(s, team)
	headroom = availability.Resources{
		CPUs:     allocation.CPUs - usage.CPUs - unreported.CPUs,
		GPUs:     allocation.GPUs - usage.GPUs - unreported.GPUs,
		MemoryGB: unlimitedAmount,
	}
	if t.MaxCPUs <= 0 {
		headroom.CPUs = unlimitedAmount
	}
	if t.MaxGPUs <= 0 {
		headroom.GPUs = unlimitedAmount
	}
	return headroom, true
}

// isWithinTeamLimit reports whether a task of a job may start now as far as its team's limit goes.
func (qm *quotaManager) isWithinTeamLimit(s *shard, j *Job) bool {
	headroom, limited := qm.teamHeadroom(s, j.Team)
	return !limited || headroom.Sub(qm.placer.reservedForOthers(s, j)).Contains(withoutDisk(j.Request))
}

// tasksWithinTeamLimit is how many tasks of a job the shard's allocation of its team's limit
// takes now, beside what else of the team is about to start.
func (qm *quotaManager) tasksWithinTeamLimit(s *shard, j *Job, started availability.Resources) int {
	headroom, limited := qm.teamHeadroom(s, j.Team)
	if !limited {
		return j.Tasks
	}
	available := headroom.Sub(started).Sub(qm.placer.reservedForOthers(s, j))
	return available.MaxCopies(withoutDisk(j.Request), j.Tasks)
}

// teamDemands is what a shard has of limited teams' work, by team: what runs and waits now,
// and what of it had room at the last plan.
func (qm *quotaManager) teamDemands(s *shard) map[string]quota.Demand {
	out := make(map[string]quota.Demand, len(qm.quotaLedgers))
	for name := range qm.quotaLedgers {
		usage, unreported := s.usage[name], qm.maxUnreportedUsage(s, name)
		out[name] = quota.Demand{
			Used:           quota.Amounts{CPUs: usage.CPUs + unreported.CPUs, GPUs: usage.GPUs + unreported.GPUs},
			UsageUncertain: unreported != (reconcile.ResourceUsage{}),
		}
	}
	for _, tr := range s.taskRanges {
		j := &tr.job.rec.Job
		demand, limited := out[j.Team]
		if !limited {
			continue
		}
		req := amountsOf(j.Request)
		demand.LargestTask = demand.LargestTask.Max(req)
		if n := tr.pending(); n > 0 {
			demand.Pending = demand.Pending.Add(req.Scale(float64(n)))
			demand.LargestPending = demand.LargestPending.Max(req)
		}
		out[j.Team] = demand
	}
	for name, placeable := range s.placeableDemand {
		demand := out[name]
		demand.Startable = placeable.Min(demand.Pending)
		out[name] = demand
	}
	return out
}

// recordPlaceableDemand notes how much of a group that its team's limit holds up has room on
// machines, live or booting.
func (qm *quotaManager) recordPlaceableDemand(s *shard, g *taskGroup) {
	team := g.job.Team
	n := s.clusterView.CountStartable(&g.Group, g.Remaining)
	s.placeableDemand[team] = s.placeableDemand[team].Add(amountsOf(g.job.Request).Scale(float64(n)))
}

// proposalsPerSummary is how often a shard considers its teams' records in the time between two
// summaries. A write follows only what changed.
const proposalsPerSummary = 4

// allocationGraceSummaries is for how many times the time between two summaries a shard keeps an
// allocation that its next task does not fit in, while others request it.
const allocationGraceSummaries = 30

// proposeAllocations writes what the demands of a shard change in its teams' records: requests of
// what it lacks, and grants to shards that lack more.
func (qm *quotaManager) proposeAllocations(s *shard) {
	if qm.now.MonotonicMS < s.nextProposalAt || !qm.store.hasAuthority() {
		return
	}
	s.nextProposalAt = qm.now.MonotonicMS + secondsToMS(qm.cache.settings.SummaryS)/proposalsPerSummary
	demands := qm.teamDemands(s)
	for name, ledger := range sortedByKey(qm.quotaLedgers) {
		ledger.GracePeriodMS = allocationGraceSummaries * secondsToMS(qm.cache.settings.SummaryS)
		if write := ledger.Propose(qm.now.WallMS, s.name, demands[name]); write != nil {
			s.dirty = true
			qm.writeTeamRecord(s, name, ledger, write)
		}
	}
}

// writeTeamRecord writes a team's record until the outcome is certain (package quota).
func (qm *quotaManager) writeTeamRecord(s *shard, team string, ledger *quota.Ledger, write *quota.Write) {
	key := teamKey(team)
	send := func(onResult func(StoreResult)) {
		preconditions := []Precondition{{claimKey(s.name), s.token}, {key, write.Revision}}
		changes := []Change{{Key: key, Value: mustEncode(write.Record)}}
		qm.store.sendTxn(UrgencyUser, preconditions, changes, func(r StoreResult) {
			qm.log(Debug, "team record written", "team", team, "shard", s.name, "outcome", r.Outcome,
				"allocations", write.Record.Allocations, "requests", write.Record.Requests)
			onResult(r)
		})
	}
	qm.store.sendUntilSettled(key, inDoubtWrite{
		isClaimValid: func() bool { return qm.shards.ownedShards[s.name] == s },
		send:         send,
		onSent:       ledger.RecordOutcome,
		onRead:       func(r StoreResult) indoubt.NextStep { return resolveTeamRecord(ledger, r) },
		onSettled:    qm.shards.markAllShardsDirty,
		onClaimLost:  ledger.Abandon,
	})
}

// resolveTeamRecord tells a ledger what the store has after a write with an unknown outcome.
func resolveTeamRecord(ledger *quota.Ledger, r StoreResult) indoubt.NextStep {
	if r.Outcome != OK || len(r.KVs) != 1 {
		return ledger.Resolve(r.Outcome, nil, 0)
	}
	var rec quota.Record
	if json.Unmarshal(r.KVs[0].Value, &rec) != nil {
		return ledger.Resolve(Unknown, nil, 0)
	}
	return ledger.Resolve(OK, &rec, r.KVs[0].Rev)
}
