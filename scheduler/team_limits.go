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

// A team's limit is split among the shards by a record in the store; a start
// needs room in its shard's part, so the limit holds whatever the shards know
// of each other (package quota). Without a record all of it is with the team's home, the shard
// that the team's jobs go to: in equal parts, a team's jobs waited on one shard
// for what lay unused on another, and the earliest deadline was the earliest of
// its shard only.

func (qm *quotaManager) teamAllocation(s *shard, team string) (quota.Amounts, Team, bool) {
	t := qm.params.Teams[team]
	if ledger := qm.quotaLedgers[team]; ledger != nil {
		return ledger.Allocation(s.name), t, true
	}
	return quota.Amounts{}, t, false
}

// initTeamLedgers gives the teams that have a limit their homes, and opens their books.
func (qm *quotaManager) initTeamLedgers() {
	qm.homeShards, qm.quotaLedgers = assignTeamHomes(qm.params.Teams, qm.memberIDs()), map[string]*quota.Ledger{}
	for name, home := range qm.homeShards {
		t := qm.params.Teams[name]
		var others []string
		if qm.params.Quota {
			others = slices.DeleteFunc(qm.memberIDs(), func(s string) bool { return s == home })
		}
		qm.quotaLedgers[name] = quota.NewLedger(quota.Amounts{CPUs: t.MaxCPUs, GPUs: t.MaxGPUs}, home, others...)
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

// fitsTeamAllocation tells whether all that a shard has of a limited team's work fits its
// part: then some may go to a peer, which asks for the part that it needs.
func (qm *quotaManager) fitsTeamAllocation(s *shard, team string) bool {
	headroom, limited := qm.teamHeadroom(s, team)
	if !limited {
		return true
	}
	queued := s.queuedRequests(team)
	return queued.CPUs <= headroom.CPUs && queued.GPUs <= headroom.GPUs
}

// queuedRequests is what a team's tasks that do not run yet ask for.
func (s *shard) queuedRequests(team string) availability.Resources {
	var sum availability.Resources
	for _, tr := range s.taskRanges {
		if j := &tr.job.rec.Job; j.Team == team {
			sum.CPUs += float64(tr.pending()) * j.Request.CPUs
			sum.GPUs += float64(tr.pending()) * j.Request.GPUs
		}
	}
	return sum
}

// maxUnreportedUsage is what a team's tasks may use of a shard's machines without our knowing
// it. A machine that is unseen has at most what its note says, or what it has room
// for. So does one with tasks that are not ours to keep: whose they are is no
// longer known, and until they are stopped they may be this team's.
func (qm *quotaManager) maxUnreportedUsage(s *shard, team string) (sum reconcile.ResourceUsage) {
	for _, unreported := range s.reconciler.Unreported() {
		if entry, recorded := s.reconciler.Ledger.Entry(unreported.ID); recorded {
			sum = sum.Add(entry.UsageByTeam[team])
			continue
		}
		sum = sum.Add(qm.cache.machineCapacity(qm.registry.machines[unreported.ID]))
	}
	if s.machinesWithOrphans > 0 {
		for _, mc := range s.machines {
			if mc.orphanedTasks > 0 && mc.IsReconciled() {
				capacity := qm.cache.machineCapacity(mc)
				sum = sum.Add(reconcile.ResourceUsage{CPUs: capacity.CPUs - mc.usage.CPUs, GPUs: capacity.GPUs - mc.usage.GPUs})
			}
		}
	}
	return sum
}

// teamHeadroom is what a team may still start in a shard.
func (qm *quotaManager) teamHeadroom(s *shard, team string) (availability.Resources, bool) {
	allocation, t, limited := qm.teamAllocation(s, team)
	if !limited {
		return availability.Resources{}, false
	}
	usage, unreported := s.usage[team], qm.maxUnreportedUsage(s, team)
	headroom := availability.Resources{
		CPUs:     allocation.CPUs - usage.CPUs - unreported.CPUs,
		GPUs:     allocation.GPUs - usage.GPUs - unreported.GPUs,
		MemoryGB: 1e12,
	}
	if t.MaxCPUs <= 0 {
		headroom.CPUs = 1e12
	}
	if t.MaxGPUs <= 0 {
		headroom.GPUs = 1e12
	}
	return headroom, true
}

func (qm *quotaManager) isWithinTeamLimit(s *shard, j *Job) bool {
	headroom, limited := qm.teamHeadroom(s, j.Team)
	return !limited || headroom.Sub(qm.placer.reservedForOthers(s, j)).Contains(withoutDisk(j.Request))
}

// tasksWithinTeamLimit is how many tasks of a job its team's part takes now, beside what
// else of the team is about to start.
func (qm *quotaManager) tasksWithinTeamLimit(s *shard, j *Job, started availability.Resources) int {
	headroom, limited := qm.teamHeadroom(s, j.Team)
	if !limited {
		return j.Tasks
	}
	return headroom.Sub(started).Sub(qm.placer.reservedForOthers(s, j)).MaxCopies(withoutDisk(j.Request), j.Tasks)
}

// teamDemands is what a shard has of limited teams' work: what runs and waits now, and
// what of it had room at the last plan.
func (qm *quotaManager) teamDemands(s *shard) map[string]quota.Demand {
	out := make(map[string]quota.Demand, len(qm.quotaLedgers))
	for name := range qm.quotaLedgers {
		unreported := qm.maxUnreportedUsage(s, name)
		usage := s.usage[name]
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
			demand.Pending, demand.LargestPending = demand.Pending.Add(req.Scale(float64(n))), demand.LargestPending.Max(req)
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
// machines, up or booting.
func (qm *quotaManager) recordPlaceableDemand(s *shard, g *taskGroup) {
	n := s.clusterView.CountStartable(&g.Group, g.Remaining)
	s.placeableDemand[g.job.Team] = s.placeableDemand[g.job.Team].Add(amountsOf(g.job.Request).Scale(float64(n)))
}

// proposeAllocations writes what the demands of a shard ask of its teams' records: what it
// lacks, and what it gives to shards that lack more.
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

// proposalsPerSummary is how often a shard looks at its teams' records in the time between two
// summaries. A write follows only what changed.
const proposalsPerSummary = 4

// allocationGraceSummaries is for how many times the time between two summaries a shard keeps a part of a
// limit that its next task does not fit in, while others want it.
const allocationGraceSummaries = 30

// writeTeamRecord writes a team's record until the outcome is certain (package quota).
func (qm *quotaManager) writeTeamRecord(s *shard, team string, ledger *quota.Ledger, write *quota.Write) {
	key := teamKey(team)
	qm.store.sendUntilSettled(key, inDoubtWrite{
		isClaimValid: func() bool { return qm.shards.ownedShards[s.name] == s },
		send: func(onResult func(StoreResult)) {
			qm.store.sendTxn(
				UrgencyUser,
				[]Precondition{{claimKey(s.name), s.token}, {key, write.Revision}},
				[]Change{{Key: key, Value: mustEncode(write.Record)}},
				func(r StoreResult) {
					qm.log(
						Debug,
						"team record written",
						"team",
						team,
						"shard",
						s.name,
						"outcome",
						r.Outcome,
						"parts",
						write.Record.Allocations,
						"wants",
						write.Record.Requests,
					)
					onResult(r)
				},
			)
		},
		onSent: ledger.RecordOutcome,
		onRead: func(r StoreResult) indoubt.NextStep {
			if r.Outcome == OK && len(r.KVs) == 1 {
				var rec quota.Record
				if json.Unmarshal(r.KVs[0].Value, &rec) == nil {
					return ledger.Resolve(OK, &rec, r.KVs[0].Rev)
				}
				return ledger.Resolve(Unknown, nil, 0)
			}
			return ledger.Resolve(r.Outcome, nil, 0)
		},
		onSettled:   qm.shards.markAllShardsDirty,
		onClaimLost: ledger.Abandon, // the shard went
	})
}
