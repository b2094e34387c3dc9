package scheduler

import (
	"encoding/json"
	"maps"

	"github.com/grebedock/grebedock/quota"
)

// applyTeamRecord passes a team's stored record to the team's ledger.
func (qm *quotaManager) applyTeamRecord(kv KeyValue) error {
	ledger := qm.quotaLedgers[kv.Key[len(teamPrefix):]]
	if ledger == nil {
		return nil // the team no longer has a limit
	}
	before := qm.loggedAllocations(ledger)
	if kv.Value == nil {
		ledger.Observe(nil, 0)
	} else {
		var rec quota.Record
		if err := json.Unmarshal(kv.Value, &rec); err != nil {
			return err
		}
		ledger.Observe(&rec, kv.Rev)
	}
	if after := qm.loggedAllocations(ledger); !maps.Equal(before, after) {
		qm.log(Debug, "allocations changed", "team", kv.Key[len(teamPrefix):], "revision", kv.Rev,
			"before", before, "allocations", after)
	}
	qm.cache.invalidatePlans()
	return nil
}

// loggedAllocations returns the allocations of a team's limit if their changes are logged.
func (qm *quotaManager) loggedAllocations(ledger *quota.Ledger) map[string]quota.Amounts {
	if !qm.isDebugLogged() {
		return nil
	}
	return ledger.Allocations()
}

// homeShard returns the shard that receives the tasks of a new job that are assigned to no other
// shard.
func (qm *quotaManager) homeShard(j *Job) string {
	homeShard, limited := qm.homeShards[j.Team]
	if !limited || qm.keepsJobLocal(homeShard, j) {
		return qm.params.MemberID
	}
	return homeShard
}

// keepsJobLocal reports whether a job stays with this member although its team has another home
// shard. It does if there is no fresh message from the owner of that shard and a task fits the
// allocation of this member's own shard.
func (qm *quotaManager) keepsJobLocal(homeShard string, j *Job) bool {
	s := qm.shards.ownedShards[qm.params.MemberID]
	if !qm.params.Quota || s == nil {
		return false
	}
	owner := qm.cache.shardClaims[homeShard].Owner
	if owner == qm.params.MemberID || owner != "" && qm.peers.isFresh(qm.peers.peers[owner]) {
		return false
	}
	return qm.quotaLedgers[j.Team].Allocation(s.name).Contains(amountsOf(j.Request))
}
