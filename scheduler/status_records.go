package scheduler

import "encoding/json"

// While a member does not hear the lead, what its shards lack and give back goes
// through the state service: a note under its hold, which the lead's mirror
// brings. Without it, nothing was rented for them, and nothing of theirs
// returned, until members heard each other again.

const statusPrefix = "l/n/"

// statusRecord is what a member's message says to the lead.
type statusRecord struct {
	WallMS int64               `json:"at"`
	Shards []statusRecordShard `json:"shards,omitempty"`
}

type statusRecordShard struct {
	Shard             string           `json:"s"`
	Demands           []CapacityDemand `json:"n,omitempty"`
	MachinesToRelease []string         `json:"r,omitempty"`
}

// statusRecordSummaries is how often a note is written, in times between summaries: a
// change each, and fresh for as long as a message is.
const statusRecordSummaries = 2

// publishStatusRecord writes a note of what a message says if the lead cannot be heard.
func (pt *peerTable) publishStatusRecord(msg *PeerMessage) {
	if pt.params.MaxPendingRelays == 0 || pt.cache.leader == "" || pt.cache.leader == pt.params.MemberID || pt.writingStatusRecord ||
		pt.now.MonotonicMS < pt.nextStatusRecordAtMS ||
		!pt.store.hasAuthority() ||
		pt.isFresh(pt.peers[pt.cache.leader]) {
		return
	}
	rec := statusRecord{WallMS: msg.WallMS}
	size := 64
	entries := 0
	for _, peerShard := range msg.OwnedShards {
		recordShard := statusRecordShard{Shard: peerShard.Shard}
		size += len(peerShard.Shard) + 32
		for _, demand := range peerShard.Demands {
			if size += len(mustEncode(demand)) + 1; size > pt.params.MaxValueBytes {
				break
			}
			recordShard.Demands = append(recordShard.Demands, demand)
		}
		for _, id := range peerShard.MachinesToRelease {
			if size += len(id) + 3; size > pt.params.MaxValueBytes {
				break
			}
			recordShard.MachinesToRelease = append(recordShard.MachinesToRelease, id)
		}
		entries += len(recordShard.Demands) + len(recordShard.MachinesToRelease)
		rec.Shards = append(rec.Shards, recordShard)
	}
	if entries == 0 && !pt.lastStatusRecordNonEmpty {
		return
	}
	pt.writingStatusRecord, pt.lastStatusRecordNonEmpty, pt.nextStatusRecordAtMS = true, entries > 0, pt.now.MonotonicMS+statusRecordSummaries*secondsToMS(
		pt.cache.settings.SummaryS,
	)
	key := statusPrefix + pt.params.MemberID
	// Under the hold alone: the newest replaces what there is, and one that
	// the network held back says its age.
	pt.store.sendStore(
		StoreOp{
			Kind:    StoreTxn,
			Urgency: UrgencyBackground,
			Changes: []Change{{Key: key, Value: mustEncode(rec), LeaseID: pt.store.storeAccess.LeaseID()}},
		},
		func(StoreResult) { pt.writingStatusRecord = false },
	)
}

// applyStatusRecord takes a peer's note from the mirror.
func (pt *peerTable) applyStatusRecord(kv KeyValue) error {
	from := kv.Key[len(statusPrefix):]
	var rec statusRecord
	if kv.Value == nil {
		delete(pt.statusRecords, from)
		return nil
	}
	if err := json.Unmarshal(kv.Value, &rec); err != nil {
		return err
	}
	if pt.now.WallMS-rec.WallMS > pt.cache.maxMessageAgeMS() {
		return nil // read with the mirror, or held back
	}
	if last := pt.statusRecords[from]; last != nil && last.sentWallMS > rec.WallMS {
		return nil // carried out late, after a newer one
	}
	msg := PeerMessage{From: from, WallMS: rec.WallMS}
	for _, s := range rec.Shards {
		msg.OwnedShards = append(
			msg.OwnedShards,
			PeerShard{Shard: s.Shard, Demands: s.Demands, MachinesToRelease: s.MachinesToRelease},
		)
	}
	pt.statusRecords[from] = &peerState{receivedAtMS: pt.now.MonotonicMS, sentWallMS: rec.WallMS, message: msg}
	return nil
}

// forEachFreshMessage visits what the lead knows of each member's wants: by message or, if
// those do not come, by note.
func (pt *peerTable) forEachFreshMessage(visit func(from string, msg *PeerMessage)) {
	for _, from := range pt.memberIDs() {
		if peer := pt.peers[from]; pt.isFresh(peer) {
			visit(from, &peer.message)
		} else if peer := pt.statusRecords[from]; pt.isFresh(peer) {
			visit(from, &peer.message)
		}
	}
}
