package schedules

import (
	"github.com/grebedock/grebedock/extension"
	"github.com/grebedock/grebedock/scheduler"
)

// maxUpdateAttempts bounds the attempts of an update, which is repeated after a conflict or an unknown outcome.
const maxUpdateAttempts = 4

// definitionUpdate is an update of a definition in progress. It reads the definition and its shard's change
// index, and writes both in one transaction with their revisions as preconditions.
type definitionUpdate struct {
	name, shard  string
	attemptsLeft int
	change       func(*definitionRecord) (state string, err error)
	onResponse   func(Response)
}

// updateDefinition updates a definition. change edits the stored definition, or an empty one (version 0) if none
// exists, and returns the state for the response. It may be called several times. If it returns stateUnchanged,
// nothing is written.
func (h *Host) updateDefinition(
	name string,
	change func(*definitionRecord) (state string, err error),
	onResponse func(Response),
) {
	h.startUpdate(&definitionUpdate{
		name:         name,
		shard:        h.shardOf(name),
		attemptsLeft: maxUpdateAttempts,
		change:       change,
		onResponse:   onResponse,
	})
}

func (h *Host) startUpdate(u *definitionUpdate) {
	u.attemptsLeft--
	h.Get(scheduler.UrgencyUser, definitionKey(u.shard, u.name), func(definition scheduler.KeyValue, ok bool) {
		if !ok {
			u.onResponse(unavailable(u.name))
			return
		}
		h.Get(scheduler.UrgencyUser, changeIndexKey(u.shard), func(index scheduler.KeyValue, ok bool) {
			if !ok {
				u.onResponse(unavailable(u.name))
				return
			}
			h.writeUpdate(u, definition, index)
		})
	})
}

// writeUpdate applies the change to the records that were read, and writes them.
func (h *Host) writeUpdate(u *definitionUpdate, definitionKV, indexKV scheduler.KeyValue) {
	var definition definitionRecord
	var index changeIndexRecord
	if !decode(definitionKV, &definition) || !decode(indexKV, &index) {
		u.onResponse(unavailable(u.name))
		return
	}
	state, err := u.change(&definition)
	switch {
	case err != nil:
		u.onResponse(Response{Status: 400, Name: u.name, Error: err.Error()})
		return
	case definitionKV.Rev == 0 && state != stateApplied:
		u.onResponse(Response{Status: 404, Name: u.name, Error: noSuchSchedule})
		return
	case state == stateUnchanged:
		u.onResponse(Response{Status: 200, Name: u.name, Version: definition.Version, State: state})
		return
	}
	index.addChange(u.name)
	h.SendStore(u.txn(definition, definitionKV.Rev, index, indexKV.Rev), func(r scheduler.StoreResult) {
		mayHaveFailed := r.Outcome == scheduler.Conflict || r.Outcome == scheduler.Unknown
		switch {
		case r.Outcome == scheduler.OK:
			h.Log("schedule changed", "schedule", u.name, "state", state, "version", definition.Version)
			u.onResponse(Response{Status: 200, Name: u.name, Version: max(0, definition.Version), State: state})
		case mayHaveFailed && u.attemptsLeft > 0:
			h.startUpdate(u)
		default:
			u.onResponse(unavailable(u.name))
		}
	})
}

// txn returns the transaction that writes or deletes a definition together with its shard's change index.
func (u *definitionUpdate) txn(
	definition definitionRecord,
	definitionRev uint64,
	index changeIndexRecord,
	indexRev uint64,
) scheduler.StoreOp {
	definitionKey, indexKey := definitionKey(u.shard, u.name), changeIndexKey(u.shard)
	change := scheduler.Change{Key: definitionKey, Value: extension.Encode(definition)}
	if definition.Version == removedVersion {
		change.Value = nil
	}
	return scheduler.StoreOp{
		Kind:    scheduler.StoreTxn,
		Urgency: scheduler.UrgencyUser,
		Preconditions: []scheduler.Precondition{
			{Key: definitionKey, Revision: definitionRev},
			{Key: indexKey, Revision: indexRev},
		},
		Changes: []scheduler.Change{change, {Key: indexKey, Value: extension.Encode(index)}},
	}
}
