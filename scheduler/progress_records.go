package scheduler

import (
	"encoding/json"
	"hash/fnv"
	"strconv"
)

// Progress records in the state service hold which tasks of a shard's ranges are done. A record
// per range would cost a write per range every few seconds, so small ranges share a few
// records. Workers keep the results of finished tasks until the progress is stored, and report
// them again to the next owner.

// sharedProgressRecords is the number of records that the small ranges of a shard share.
const sharedProgressRecords = 4

// Limits on the size of a progress record, relative to MaxValueBytes.
const (
	ownProgressRecordDivisor = 16 // a range whose bitmap exceeds MaxValueBytes divided by this has its own record
	progressRecordMargin     = 64 // bytes kept free in a record
	bitmapEntryOverhead      = 12 // bytes of JSON around a range's name and bitmap
)

// readProgress reads the progress records and the recovery record of a newly claimed shard.
// tickReadiness retries a failed read.
func (sm *shardManager) readProgress(s *shard) {
	if s.requestPending {
		return
	}
	s.requestPending = true
	sm.store.listAll(progressPrefix+s.name+"/", func(kvs []KeyValue, _ uint64, outcome Outcome) {
		s.requestPending = false
		if outcome != OK || sm.ownedShards[s.name] != s {
			s.requestFailedAt = sm.now.MonotonicMS
			return
		}
		s.restoredProgress = sm.restoreProgressRecords(s, kvs)
		for _, tr := range s.taskRanges {
			tr.restoreDone(s.restoredProgress[tr.name()])
		}
		s.progressRead = true
	})
}

// restoreProgressRecords restores the state in a shard's records. It returns the bitmaps of
// done tasks by range name.
func (sm *shardManager) restoreProgressRecords(s *shard, kvs []KeyValue) map[string]bitset {
	done := map[string]bitset{}
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
	return done
}

// restoreDone marks the tasks done whose bits are set in the stored bitmap.
func (tr *taskRange) restoreDone(stored bitset) {
	for i := range tr.size() {
		if stored.has(i) {
			tr.storedDone.set(i)
			tr.markDone(i)
		}
	}
}

// progressRecord returns the write state of one of the shard's records. It creates the state
// if there is none.
func (s *shard) progressRecord(key string) *recordWriteState {
	state := s.progressRecords[key]
	if state == nil {
		state = &recordWriteState{}
		s.progressRecords[key] = state
	}
	return state
}

// progressKey returns the key of the record that holds a range's progress. A large range has
// its own record, since it would fill a shared one.
func (sm *shardManager) progressKey(tr *taskRange) string {
	if tr.progressKey != "" {
		return tr.progressKey
	}
	tr.progressKey = progressPrefix + tr.shardName + "/"
	name := tr.name()
	if len(tr.done) > sm.params.MaxValueBytes/ownProgressRecordDivisor {
		tr.progressKey += name
		return tr.progressKey
	}
	h := fnv.New32a()
	h.Write([]byte(name))
	tr.progressKey += strconv.Itoa(int(h.Sum32() % sharedProgressRecords))
	return tr.progressKey
}

// writeShardRecord writes one of a shard's own records, or deletes it if value is nil. The
// preconditions are the claim and the record's revision. The next write is due after
// intervalMS. onResult receives whether the write is known to have succeeded. After an
// unknown outcome or a conflict, the record's revision is read before the next write.
func (sm *shardManager) writeShardRecord(
	s *shard,
	key string,
	state *recordWriteState,
	value any,
	intervalMS int64,
	onResult func(ok bool),
) {
	state.writing, state.nextWriteAt = true, sm.now.MonotonicMS+intervalMS
	change := Change{Key: key}
	if value != nil {
		change.Value = mustEncode(value)
	}
	preconditions := []Precondition{{claimKey(s.name), s.token}, {key, state.rev}}
	sm.store.sendTxn(UrgencyBackground, preconditions, []Change{change}, func(r StoreResult) {
		state.writing = false
		if r.Outcome == OK {
			state.rev = r.Rev
		}
		onResult(r.Outcome == OK)
		if r.Outcome == Unknown || r.Outcome == Conflict {
			sm.rereadShardRecord(key, state)
		}
	})
}

// rereadShardRecord reads the revision of a record that a write may have changed. The record
// is not written until the read completes.
func (sm *shardManager) rereadShardRecord(key string, state *recordWriteState) {
	state.writing = true
	sm.store.rereadKey(key, func(r StoreResult) {
		state.writing = false
		switch {
		case r.Outcome == OK && len(r.KVs) == 1:
			state.rev = r.KVs[0].Rev
		case r.Outcome == NotFound:
			state.rev = 0
		}
	})
}

// writeProgress writes the progress records of a shard whose ranges have new results.
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

// progressSnapshot is the content of a progress record and the bitmaps of the ranges in it.
type progressSnapshot struct {
	record progressRecord
	done   map[*taskRange]bitset
}

// snapshotProgress copies the bitmaps of the ranges that share a record, and marks these ranges
// clean. Ranges that do not fit wait until other ranges are done; workers keep their results
// until then.
func (sm *shardManager) snapshotProgress(s *shard, key string) progressSnapshot {
	snapshot := progressSnapshot{progressRecord{DoneBitmaps: map[string][]byte{}}, map[*taskRange]bitset{}}
	size := 0
	for _, tr := range s.taskRanges {
		if tr.doneCount == 0 || sm.progressKey(tr) != key {
			continue
		}
		size += len(tr.done)*4/3 + len(tr.name()) + bitmapEntryOverhead // bitmaps are base64 in JSON
		if size > sm.params.MaxValueBytes-progressRecordMargin {
			break
		}
		done := append(bitset(nil), tr.done...)
		snapshot.done[tr], snapshot.record.DoneBitmaps[tr.name()] = done, done
		tr.dirty = false
	}
	return snapshot
}

// writeProgressRecord writes a progress record, or deletes it if no range has progress in it.
func (sm *shardManager) writeProgressRecord(s *shard, key string, state *recordWriteState) {
	snapshot := sm.snapshotProgress(s, key)
	state.dirty = false
	var value any
	if len(snapshot.record.DoneBitmaps) > 0 {
		value = snapshot.record
	}
	sm.writeShardRecord(s, key, state, value, sm.progressWriteInterval(), func(ok bool) {
		if !ok {
			state.dirty = true
			for tr := range snapshot.done {
				tr.dirty = true
			}
			return
		}
		if value == nil {
			delete(s.progressRecords, key)
		}
		for tr, done := range snapshot.done {
			tr.storedDone = done
		}
	})
}
