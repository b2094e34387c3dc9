// Package platformfake provides fakes of the systems that a controller uses: the state service, the
// cloud and the workers. They implement the published protocols, for tests in simulated time and
// over loopback. State, Cloud and Worker are not safe for concurrent use; Platform serializes access
// to them.
package platformfake

import (
	"encoding/json"
	"maps"
	"slices"
	"sort"
	"strings"

	"github.com/grebedock/grebedock/scheduler"
)

// maxEvents is the number of changes retained for watches. A watch from an older revision fails
// with scheduler.Gone.
const maxEvents = 10_000

type entry struct {
	value   json.RawMessage
	rev     uint64
	leaseID uint64
}

type lease struct {
	ttl, expiresAt int64
}

// State is a fake state service. Times are in milliseconds and all from one clock.
type State struct {
	PageSize int // items per page of a list; 0: 50, so that small clusters have several pages
	rev      uint64
	keys     map[string]entry
	leases   map[uint64]lease
	nextID   uint64
	events   []scheduler.KeyValue
}

// NewState returns an empty state service.
func NewState() *State {
	return &State{keys: map[string]entry{}, leases: map[uint64]lease{}}
}

// ExpireLeases removes the leases whose TTL has passed and deletes the keys attached to them.
func (s *State) ExpireLeases(now int64) {
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		expiring := s.leases[id]
		if now <= expiring.expiresAt {
			continue
		}
		delete(s.leases, id)
		for _, k := range s.sortedKeys() {
			if s.keys[k].leaseID == id {
				s.remove(k, s.nextRevision())
			}
		}
	}
}

// RenewAllLeases renews every lease for its full TTL, as the state service does at the end of an
// outage.
func (s *State) RenewAllLeases(now int64) {
	for id, renewed := range s.leases {
		renewed.expiresAt = now + renewed.ttl
		s.leases[id] = renewed
	}
}

func (s *State) sortedKeys() []string {
	out := make([]string, 0, len(s.keys))
	for k := range s.keys {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}

func (s *State) nextRevision() uint64 {
	s.rev++
	return s.rev
}

func (s *State) appendEvent(it scheduler.KeyValue) {
	s.events = append(s.events, it)
	if len(s.events) > maxEvents {
		s.events = slices.Delete(s.events, 0, len(s.events)-maxEvents)
	}
}

func (s *State) remove(k string, rev uint64) {
	if _, ok := s.keys[k]; ok {
		delete(s.keys, k)
		s.appendEvent(scheduler.KeyValue{Key: k, Rev: rev})
	}
}

// Value returns the value of a key, or nil if the key does not exist.
func (s *State) Value(key string) json.RawMessage { return s.keys[key].value }

// Apply executes an operation. ready is false for a watch that has no changes to return yet.
func (s *State) Apply(now int64, op scheduler.StoreOp) (r scheduler.StoreResult, ready bool) {
	s.ExpireLeases(now)
	r.Rev = s.rev
	switch op.Kind {
	case scheduler.StoreGet:
		e, ok := s.keys[op.Key]
		if !ok {
			r.Outcome = scheduler.NotFound
			return r, true
		}
		r.KVs = []scheduler.KeyValue{{Key: op.Key, Value: e.value, Rev: e.rev}}
	case scheduler.StoreList:
		page := s.PageSize
		if page == 0 {
			page = 50
		}
		for _, k := range s.sortedKeys() {
			if !strings.HasPrefix(k, op.Key) || k <= op.StartAfter {
				continue
			}
			if len(r.KVs) == page {
				r.More = true
				break
			}
			r.KVs = append(r.KVs, scheduler.KeyValue{Key: k, Value: s.keys[k].value, Rev: s.keys[k].rev})
		}
	case scheduler.StoreWatch:
		if len(s.events) == maxEvents && op.Rev < s.events[0].Rev {
			r.Outcome = scheduler.Gone
			return r, true
		}
		for _, it := range s.events {
			if it.Rev > op.Rev && strings.HasPrefix(it.Key, op.Key) {
				r.KVs = append(r.KVs, it)
			}
		}
		return r, len(r.KVs) > 0
	case scheduler.StoreGrantLease:
		s.nextID++
		s.leases[s.nextID] = lease{op.DurationMS, now + op.DurationMS}
		r.LeaseID = s.nextID
	case scheduler.StoreRenewLease:
		renewed, ok := s.leases[op.LeaseID]
		if !ok {
			r.Outcome = scheduler.NotFound
			return r, true
		}
		renewed.expiresAt = now + renewed.ttl
		s.leases[op.LeaseID] = renewed
	case scheduler.StoreTxn:
		return s.applyTxn(op), true
	}
	return r, true
}

func (s *State) applyTxn(op scheduler.StoreOp) scheduler.StoreResult {
	for _, c := range op.Changes {
		if _, ok := s.leases[c.LeaseID]; c.Value != nil && c.LeaseID != 0 && !ok {
			return scheduler.StoreResult{Outcome: scheduler.Gone, Rev: s.rev}
		}
	}
	var failed []string
	for _, g := range op.Preconditions {
		if s.keys[g.Key].rev != g.Revision {
			failed = append(failed, g.Key)
		}
	}
	if len(failed) > 0 {
		return scheduler.StoreResult{Outcome: scheduler.Conflict, Rev: s.rev, FailedKeys: failed}
	}
	if len(op.Changes) > 0 {
		rev := s.nextRevision()
		for _, c := range op.Changes {
			if c.Value == nil {
				s.remove(c.Key, rev)
				continue
			}
			s.keys[c.Key] = entry{value: c.Value, rev: rev, leaseID: c.LeaseID}
			s.appendEvent(scheduler.KeyValue{Key: c.Key, Value: c.Value, Rev: rev})
		}
	}
	return scheduler.StoreResult{Rev: s.rev}
}
