package scheduler

import (
	"encoding/json"
	"hash/fnv"
	"strconv"
)

func (sm *shardManager) readProgress(s *shard) {
	if s.requestPending {
		return
	}
	s.requestPending = true
	sm.store.listAll(progressPrefix+s.name+"/", func(kvs []KeyValue, _ uint64, outcome Outcome) {
		s.requestPending = false
		if outcome != OK || sm.ownedShards[s.name] != s {
			s.plannedAt = sm.now.MonotonicMS
			return
		}
		done := map[string][]byte{}
		for _, kv := range kvs {
			if kv.Key == recoveryKey(s.name) {
				sm.agents.restoreRecoveryRecord(s, kv)
				continue
			}
			var rec progressRecord
			if json.Unmarshal(kv.Value, &rec) != nil {
				continue
			}
			s.progressRecord(kv.Key).rev = kv.Rev
			for name, bitmap := range rec.DoneBitmaps {
				done[name] = bitmap
			}
		}
		for _, tr := range s.taskRanges {
			for i := range tr.size() {
				if bitset(done[tr.name()]).has(i) {
					tr.storedDone.set(i)
					tr.markDone(i)
				}
			}
		}
		s.progressRead = true
	})
}

func (s *shard) progressRecord(key string) *recordWriteState {
	state := s.progressRecords[key]
	if state == nil {
		state = &recordWriteState{}
		s.progressRecords[key] = state
	}
	return state
}

// progressKey is the value that a range's progress is kept in: one of its own for a
// large range, which would fill a shared one.
func (sm *shardManager) progressKey(tr *taskRange) string {
	if tr.progressKey == "" {
		tr.progressKey = progressPrefix + tr.shardName + "/"
		if name := tr.name(); len(tr.done) > sm.params.MaxValueBytes/16 {
			tr.progressKey += name
		} else {
			h := fnv.New32a()
			h.Write([]byte(name))
			tr.progressKey += strconv.Itoa(int(h.Sum32() % sharedProgressRecords))
		}
	}
	return tr.progressKey
}

// writeShardRecord writes a value of a shard's own, or removes it (nil), under its claim and the
// value's revision, and not again before a while. stored says whether the store is known to have it; if
// it may, the revision is read before anything is written again.
func (sm *shardManager) writeShardRecord(
	s *shard,
	key string,
	state *recordWriteState,
	value any,
	interval int64,
	onResult func(ok bool),
) {
	state.writing, state.nextWriteAt = true, sm.now.MonotonicMS+interval
	change := Change{Key: key}
	if value != nil {
		change.Value = mustEncode(value)
	}
	sm.store.sendTxn(
		UrgencyBackground,
		[]Precondition{{claimKey(s.name), s.token}, {key, state.rev}},
		[]Change{change},
		func(r StoreResult) {
			state.writing = false
			if r.Outcome == OK {
				state.rev = r.Rev
			}
			onResult(r.Outcome == OK)
			if r.Outcome == Unknown || r.Outcome == Conflict {
				state.writing = true
				sm.store.rereadKey(key, func(r StoreResult) {
					state.writing = false
					if r.Outcome == OK && len(r.KVs) == 1 {
						state.rev = r.KVs[0].Rev
					} else if r.Outcome == NotFound {
						state.rev = 0
					}
				})
			}
		},
	)
}

// writeProgress writes the pages of a shard that have news.
func (sm *shardManager) writeProgress(s *shard) {
	now := sm.now.MonotonicMS
	for _, tr := range s.taskRanges {
		if tr.dirty {
			s.progressRecord(sm.progressKey(tr)).dirty = true
		}
	}
	for key, state := range sortedByKey(s.progressRecords) {
		if state.dirty && !state.writing && now >= state.nextWriteAt {
			sm.writeProgressRecord(s, key, state)
		}
	}
}

func (sm *shardManager) writeProgressRecord(s *shard, key string, state *recordWriteState) {
	rec := progressRecord{DoneBitmaps: map[string][]byte{}}
	snapshots := map[*taskRange]bitset{}
	size := 0
	for _, tr := range s.taskRanges {
		if tr.doneCount == 0 || sm.progressKey(tr) != key {
			continue
		}
		// What does not fit waits until other ranges end: their machines
		// keep the results.
		if size += len(tr.done)*4/3 + len(tr.name()) + 12; size > sm.params.MaxValueBytes-64 {
			break
		}
		snapshot := append(bitset(nil), tr.done...)
		snapshots[tr], rec.DoneBitmaps[tr.name()] = snapshot, snapshot
		tr.dirty = false
	}
	state.dirty = false
	var value any
	if len(rec.DoneBitmaps) > 0 {
		value = rec
	}
	sm.writeShardRecord(s, key, state, value, sm.progressWriteInterval(), func(ok bool) {
		if !ok {
			state.dirty = true
			for tr := range snapshots {
				tr.dirty = true
			}
			return
		}
		if value == nil {
			delete(s.progressRecords, key)
		}
		for tr, snapshot := range snapshots {
			tr.storedDone = snapshot
		}
	})
}
