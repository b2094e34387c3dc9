package scheduler

import "encoding/json"

// A member that receives no messages from the leader publishes the demands and the machines
// to release of its shards in a status record in the state service. The record is attached
// to the member's lease and reaches the leader's cache. Without it, the leader provisioned
// and released no machines for these shards until it received messages again.

const statusPrefix = "l/n/"

// statusRecord holds the fields of a member's message that the leader needs.
type statusRecord struct {
	WallMS int64               `json:"at"`
	Shards []statusRecordShard `json:"shards,omitempty"`
}

// statusRecordShard holds the fields of a PeerShard that the leader needs.
type statusRecordShard struct {
	Shard             string           `json:"s"`
	Demands           []CapacityDemand `json:"n,omitempty"`
	MachinesToRelease []string         `json:"r,omitempty"`
}

// statusRecordIntervalFactor is the interval between status records, in intervals of peer
// messages. Each record costs a change in the state service, and stays fresh for as long as a
// message.
const statusRecordIntervalFactor = 2

// needsStatusRecord reports whether this member should write a status record now: it has
// authority and receives no messages from the leader. Members that cannot relay requests to
// peers write no status records.
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

// publishStatusRecord writes the status record of a message if the leader may not receive the
// message itself. An empty record is written only to replace a record that is not empty.
func (pt *peerTable) publishStatusRecord(msg *PeerMessage) {
	if !pt.needsStatusRecord() {
		return
	}
	rec, entries := newStatusRecord(msg, pt.params.MaxValueBytes)
	if entries == 0 && !pt.lastStatusRecordNonEmpty {
		return
	}
	pt.writingStatusRecord, pt.lastStatusRecordNonEmpty = true, entries > 0
	intervalMS := statusRecordIntervalFactor * secondsToMS(pt.cache.settings.SummaryS)
	pt.nextStatusRecordAtMS = pt.now.MonotonicMS + intervalMS
	// The write has no precondition except the lease. The newest record replaces the
	// previous one, and a reader detects a delayed record by its age.
	record := Change{
		Key:     statusPrefix + pt.params.MemberID,
		Value:   mustEncode(rec),
		LeaseID: pt.store.storeAccess.LeaseID(),
	}
	op := StoreOp{Kind: StoreTxn, Urgency: UrgencyBackground, Changes: []Change{record}}
	pt.store.sendStore(op, func(StoreResult) { pt.writingStatusRecord = false })
}

// newStatusRecord returns the status record of a message, truncated to about maxBytes, and the
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

// applyStatusRecord applies a change of a member's status record.
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
		return nil // outdated: it is part of a snapshot, or its write was delayed
	}
	if last := pt.statusRecords[from]; last != nil && last.sentWallMS > rec.WallMS {
		return nil // its write took effect after that of a newer record
	}
	msg := PeerMessage{From: from, WallMS: rec.WallMS}
	for _, s := range rec.Shards {
		peerShard := PeerShard{Shard: s.Shard, Demands: s.Demands, MachinesToRelease: s.MachinesToRelease}
		msg.OwnedShards = append(msg.OwnedShards, peerShard)
	}
	pt.statusRecords[from] = &peerState{receivedAtMS: pt.now.MonotonicMS, sentWallMS: rec.WallMS, message: msg}
	return nil
}

// forEachFreshMessage calls visit for each member with a fresh message or, failing that, a fresh
// status record, in the order of member IDs.
func (pt *peerTable) forEachFreshMessage(visit func(from string, msg *PeerMessage)) {
	for _, from := range pt.memberIDs() {
		if peer := pt.peers[from]; pt.isFresh(peer) {
			visit(from, &peer.message)
		} else if peer := pt.statusRecords[from]; pt.isFresh(peer) {
			visit(from, &peer.message)
		}
	}
}
