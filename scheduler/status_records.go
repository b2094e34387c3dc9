package scheduler

import "encoding/json"

// While a member gets no messages from the leader, its shards' demands and machines to
// release go through the state service: in a status record under the member's lease, which
// reaches the leader's cache. Without it, no machine was provisioned for them and none of
// theirs released until messages arrived again.

const statusPrefix = "l/n/"

// statusRecord is the part of a member's message that the leader needs.
type statusRecord struct {
	WallMS int64               `json:"at"`
	Shards []statusRecordShard `json:"shards,omitempty"`
}

// statusRecordShard is the part of a PeerShard that the leader needs.
type statusRecordShard struct {
	Shard             string           `json:"s"`
	Demands           []CapacityDemand `json:"n,omitempty"`
	MachinesToRelease []string         `json:"r,omitempty"`
}

// statusRecordSummaries is the interval between status records, in intervals of peer messages:
// each costs a change in the store, and is fresh for as long as a message is.
const statusRecordSummaries = 2

// needsStatusRecord reports whether this member should write a status record now: it has
// authority and gets no messages from the leader. Members without relays to peers write none.
func (pt *peerTable) needsStatusRecord() bool {
	leader := pt.cache.leader
	if pt.params.MaxPendingRelays == 0 || leader == "" || leader == pt.params.MemberID {
		return false
	}
	if pt.writingStatusRecord || pt.now.MonotonicMS < pt.nextStatusRecordAtMS {
		return false
	}
	return pt.store.hasAuthority() && !pt.isFresh(pt.peers[leader])
}

// publishStatusRecord writes a status record of a message if the leader may not receive the
// message itself. A record with nothing in it is written only to replace another.
func (pt *peerTable) publishStatusRecord(msg *PeerMessage) {
	if !pt.needsStatusRecord() {
		return
	}
	rec, entries := newStatusRecord(msg, pt.params.MaxValueBytes)
	if entries == 0 && !pt.lastStatusRecordNonEmpty {
		return
	}
	pt.writingStatusRecord, pt.lastStatusRecordNonEmpty = true, entries > 0
	intervalMS := statusRecordSummaries * secondsToMS(pt.cache.settings.SummaryS)
	pt.nextStatusRecordAtMS = pt.now.MonotonicMS + intervalMS
	// The lease is the only condition: the newest record replaces the last one, and one
	// that the network delayed is recognized by its age.
	record := Change{
		Key:     statusPrefix + pt.params.MemberID,
		Value:   mustEncode(rec),
		LeaseID: pt.store.storeAccess.LeaseID(),
	}
	op := StoreOp{Kind: StoreTxn, Urgency: UrgencyBackground, Changes: []Change{record}}
	pt.store.sendStore(op, func(StoreResult) { pt.writingStatusRecord = false })
}

// newStatusRecord is the status record of a message, cut to about maxBytes. It returns the
// number of demands and machines in it.
func newStatusRecord(msg *PeerMessage, maxBytes int) (rec statusRecord, entries int) {
	rec.WallMS = msg.WallMS
	size := 64
	for _, peerShard := range msg.OwnedShards {
		recordShard := statusRecordShard{Shard: peerShard.Shard}
		size += len(peerShard.Shard) + 32
		for _, demand := range peerShard.Demands {
			if size += len(mustEncode(demand)) + 1; size > maxBytes {
				break
			}
			recordShard.Demands = append(recordShard.Demands, demand)
		}
		for _, id := range peerShard.MachinesToRelease {
			if size += len(id) + 3; size > maxBytes {
				break
			}
			recordShard.MachinesToRelease = append(recordShard.MachinesToRelease, id)
		}
		entries += len(recordShard.Demands) + len(recordShard.MachinesToRelease)
		rec.Shards = append(rec.Shards, recordShard)
	}
	return rec, entries
}

// applyStatusRecord takes a member's status record from the cache.
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
		return nil // it came with a snapshot, or its write was delayed
	}
	if last := pt.statusRecords[from]; last != nil && last.sentWallMS > rec.WallMS {
		return nil // its write was carried out after that of a newer one
	}
	msg := PeerMessage{From: from, WallMS: rec.WallMS}
	for _, s := range rec.Shards {
		peerShard := PeerShard{Shard: s.Shard, Demands: s.Demands, MachinesToRelease: s.MachinesToRelease}
		msg.OwnedShards = append(msg.OwnedShards, peerShard)
	}
	pt.statusRecords[from] = &peerState{receivedAtMS: pt.now.MonotonicMS, sentWallMS: rec.WallMS, message: msg}
	return nil
}

// forEachFreshMessage visits the last fresh state of each member, in the order of their IDs:
// its message or, without one, its status record.
func (pt *peerTable) forEachFreshMessage(visit func(from string, msg *PeerMessage)) {
	for _, from := range pt.memberIDs() {
		if peer := pt.peers[from]; pt.isFresh(peer) {
			visit(from, &peer.message)
		} else if peer := pt.statusRecords[from]; pt.isFresh(peer) {
			visit(from, &peer.message)
		}
	}
}
