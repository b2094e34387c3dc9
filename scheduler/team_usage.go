package scheduler

import "github.com/grebedock/grebedock/quota"

// TeamUsage is an upper bound on the usage of a shard's machines by a team's tasks.
//
// Invariant: for each team and each ready shard with authority, the total is at least the usage of the team's tasks on
// the shard's machines. A start adds to it before its command is sent. It falls only by evidence: a worker's report
// under the claim's token, a refused start, the end of a worker's lease, or a machine that no longer exists. No
// decision of this member lowers it.
type TeamUsage struct {
	Used       quota.Amounts `json:"used"`       // live attempts
	Unreported quota.Amounts `json:"unreported"` // maximum on machines without a heartbeat since the claim
	Orphaned   quota.Amounts `json:"orphaned"`   // maximum of orphaned tasks
}

// Total returns the upper bound.
func (usage TeamUsage) Total() quota.Amounts { return usage.Used.Add(usage.unknown()) }

// unknown returns the part of the bound that no known attempt uses.
func (usage TeamUsage) unknown() quota.Amounts { return usage.Unreported.Add(usage.Orphaned) }

// teamUsage returns the upper bound on a team's usage of a shard's machines. A machine that has not sent a heartbeat
// since the claim uses at most the amount of its entry in the ledger of unreachable machines, or without an entry its
// capacity. The team of an orphaned task is unknown, so its maximum usage counts for every team until the task ends.
func (qm *quotaManager) teamUsage(s *shard, team string) TeamUsage {
	usage := TeamUsage{Used: amountsOf(s.usage[team])}
	for _, unreported := range s.reconciler.Unreported() {
		if entry, recorded := s.reconciler.Ledger.Entry(unreported.ID); recorded {
			recordedUsage := entry.UsageByTeam[team]
			usage.Unreported = usage.Unreported.Add(quota.Amounts{CPUs: recordedUsage.CPUs, GPUs: recordedUsage.GPUs})
			continue
		}
		capacity := qm.cache.machineCapacity(qm.registry.machines[unreported.ID])
		usage.Unreported = usage.Unreported.Add(amountsOf(capacity))
	}
	if s.machinesWithOrphans == 0 {
		return usage
	}
	for _, mc := range s.machines {
		if mc.IsReconciled() {
			usage.Orphaned = usage.Orphaned.Add(amountsOf(qm.agents.maxOrphanedUsage(mc)))
		}
	}
	return usage
}

// checkAllocations warns when a machine's report shows that a team uses more of a shard than its allocation.
func (qm *quotaManager) checkAllocations(s *shard, mc *machine) {
	checked := ""
	for _, a := range mc.byKey { // a job has one team, and its attempts are adjacent
		if team := a.job.Team; team != checked {
			checked = team
			qm.checkAllocation(s, team, mc)
		}
	}
}

// checkAllocation warns once while a team's live attempts use more of a shard than the team's allocation.
func (qm *quotaManager) checkAllocation(s *shard, team string, mc *machine) {
	allocation, settings, limited := qm.teamAllocation(s, team)
	if !limited {
		return
	}
	used := amountsOf(s.usage[team])
	if settings.maxUsage(allocation).Contains(used) {
		delete(s.overAllocation, team)
		return
	}
	if !s.overAllocation[team] {
		s.overAllocation[team] = true
		qm.Counters.OverAllocations++
		qm.log(Warn, "team uses more than its allocation", "team", team, "shard", s.name, "token", s.token,
			"used", used, "allocation", allocation, "machine", mc.id)
	}
}

// TeamShardUsage is a team's limit, allocation and usage in a shard. Without a limit, both are 0.
type TeamShardUsage struct {
	Team       string        `json:"team"`
	Limit      quota.Amounts `json:"limit"`
	Allocation quota.Amounts `json:"allocation"`
	TeamUsage
}

// teamShardUsage returns a team's limit, allocation and usage in a shard.
func (qm *quotaManager) teamShardUsage(s *shard, team string) TeamShardUsage {
	allocation, settings, _ := qm.teamAllocation(s, team)
	limit := quota.Amounts{CPUs: settings.MaxCPUs, GPUs: settings.MaxGPUs}
	return TeamShardUsage{Team: team, Limit: limit, Allocation: allocation, TeamUsage: qm.teamUsage(s, team)}
}

// ShardUsage is the upper bound on the teams' usage of a shard's machines, as simulations check it.
type ShardUsage struct {
	Shard    string
	Machines []string
	Teams    []TeamShardUsage
}

// ShardUsages returns the usage of the ready shards for which this member has authority at the given monotonic time.
func (c *Controller) ShardUsages(monotonicMS int64) []ShardUsage {
	if !c.store.storeAccess.HasAuthority(monotonicMS) {
		return nil
	}
	var usages []ShardUsage
	for name, s := range sortedByKey(c.shards.ownedShards) {
		if !s.ready || s.releasing {
			continue
		}
		shardUsage := ShardUsage{Shard: name}
		for _, mc := range s.machines {
			shardUsage.Machines = append(shardUsage.Machines, mc.id)
		}
		for team := range sortedByKey(c.params.Teams) {
			shardUsage.Teams = append(shardUsage.Teams, c.quotas.teamShardUsage(s, team))
		}
		usages = append(usages, shardUsage)
	}
	return usages
}

// MachineTeamUsage returns the usage of a machine by a team's live attempts.
func (c *Controller) MachineTeamUsage(machineID, team string) (usage quota.Amounts) {
	mc := c.registry.machines[machineID]
	if mc == nil {
		return quota.Amounts{}
	}
	for _, a := range mc.byKey {
		if !a.exited && a.job.Team == team {
			usage = usage.Add(amountsOf(a.job.Request))
		}
	}
	return usage
}
