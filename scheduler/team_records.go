package scheduler

import (
	"encoding/json"

	"github.com/grebedock/grebedock/quota"
)

// applyTeamRecord passes a team's record to the team's ledger.
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

// homeShard is the shard that gets the tasks of a new job that no other shard has capacity for.
func (qm *quotaManager) homeShard(j *Job) string {
	homeShard, limited := qm.homeShards[j.Team]
	if !limited || qm.keepsJobFromHome(homeShard, j) {
		return qm.params.MemberID
	}
	return homeShard
}

// keepsJobFromHome reports whether a job stays here though its team has another
// home: no fresh message came from the owner of that shard, and the allocation of
// this member's own shard takes a task.
func (qm *quotaManager) keepsJobFromHome(homeShard string, j *Job) bool {
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
