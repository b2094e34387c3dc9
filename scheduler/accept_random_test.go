package scheduler

import (
	"errors"
	"flag"
	"slices"
	"testing"

	"github.com/grebedock/grebedock/availability"
	"pgregory.net/rapid"
)

func init() {
	// The same cases each time.
	if err := errors.Join(flag.Set("rapid.seed", "1"), flag.Set("rapid.checks", "2000")); err != nil {
		panic(err)
	}
}

// oneJobStore is a state service that keeps one job, and tells of its changes late.
type oneJobStore struct {
	id       string
	rev      uint64
	live     []byte // its live record
	liveRev  uint64
	final    []byte
	log      []Item // changes that the watch has not brought yet
	step     int
	lastLive int // the last step at which it was live
}

func (s *oneJobStore) change(value []byte) {
	s.rev++
	s.live, s.liveRev = value, 0
	if value != nil {
		s.liveRev, s.lastLive = s.rev, s.step
	}
	s.log = append(s.log, Item{Key: jobKey(s.id), Value: value, Rev: s.rev})
}

func (s *oneJobStore) do(op StoreOp) StoreResult {
	switch {
	case op.Kind == StoreTxn && (s.live != nil || s.final != nil):
		return StoreResult{Outcome: Conflict, Rev: s.rev, Failed: []string{jobKey(s.id)}}
	case op.Kind == StoreTxn:
		s.change(op.Changes[0].Value)
		return StoreResult{Rev: s.rev}
	case op.Key == jobKey(s.id) && s.live != nil:
		return StoreResult{Rev: s.rev, Items: []Item{{Key: op.Key, Value: s.live, Rev: s.liveRev}}}
	case op.Key == finalKey(s.id) && s.final != nil:
		return StoreResult{Rev: s.rev, Items: []Item{{Key: op.Key, Value: s.final, Rev: s.rev}}}
	}
	return StoreResult{Outcome: NotFound, Rev: s.rev}
}

// cancel is another member's.
func (s *oneJobStore) cancel() {
	if s.live != nil {
		s.lastLive = s.step
		s.change(nil)
		s.final = encode(finalRecord{State: Cancelled, Tasks: 1})
	}
}

// Submissions of one job, repeated, whose writes and reads are carried out in any order,
// at once, late or never, with answers that are lost, while a peer cancels the job and the
// mirror is behind: nobody hears that it is accepted unless the store had it since they
// asked, and everybody hears something once all requests have ended.
func TestAcceptedOnlyWithTheRecord(test *testing.T) {
	confirmed := uint64(0)
	rapid.Check(test, func(t *rapid.T) {
		m := testMember(test)
		m.acc.Stand(1, 1, 1)
		m.setTypes([]MachineType{{Name: "small", Room: availability.Room{CPUs: 8, MemoryGB: 32}, BootS: 10, Zones: []string{"a"}}})
		m.p.Teams, m.p.AcceptRate = map[string]Team{"ops": {}}, 1000
		m.accepts = newAccepts(m)
		store := &oneJobStore{id: "job-000001", rev: m.rev}
		asked, answered := map[uint64]int{}, map[uint64]bool{}
		var open []StoreOp               // not ended for the member
		var afterwards []StoreOp         // ended for it, and yet to be carried out
		done := map[uint64]StoreResult{} // carried out, and not answered
		collect := func() {
			o := m.Take()
			for _, op := range o.Store {
				if op.Kind == StoreTxn || op.Kind == StoreGet {
					open = append(open, op)
				}
			}
			for reply, a := range o.Users {
				if answered[reply] {
					t.Fatalf("%d is answered twice", reply)
				}
				answered[reply] = true
				if wasLive := store.live != nil || store.lastLive >= asked[reply]; (a.Status == 200 || a.Status == 201) && a.State != Cancelled && !wasLive {
					t.Fatalf("%d is answered %+v, asked at %d, live until %d, now %d", reply, a, asked[reply], store.lastLive, store.step)
				}
				if a.State == Cancelled && store.final == nil {
					t.Fatalf("%d is told of a cancellation that did not happen", reply)
				}
			}
		}
		carryOut := func(op StoreOp) {
			if _, ok := done[op.ID]; !ok {
				done[op.ID] = store.do(op)
			}
		}
		end := func(i int, r StoreResult) {
			op := open[i]
			open = slices.Delete(open, i, i+1)
			m.StoreDone(m.now, op.ID, r)
		}
		steps := rapid.IntRange(1, 60).Draw(t, "steps")
		for n := range steps {
			store.step++
			which := 0
			if len(open) > 0 {
				which = rapid.IntRange(0, len(open)-1).Draw(t, "which")
			}
			switch rapid.IntRange(0, 8).Draw(t, "what") {
			case 0:
				if len(asked) < 4 {
					asked[uint64(n)] = store.step
					m.User(m.now, uint64(n), offered(1, "ops", Normal))
				}
			case 1:
				if len(open) > 0 {
					carryOut(open[which])
				}
			case 2:
				if len(open) > 0 {
					carryOut(open[which])
					end(which, done[open[which].ID])
				}
			case 3: // its time is up
				if len(open) > 0 {
					if _, ok := done[open[which].ID]; !ok && open[which].Kind == StoreTxn {
						afterwards = append(afterwards, open[which])
					}
					end(which, StoreResult{Outcome: Unknown})
				}
			case 4:
				if len(afterwards) > 0 {
					carryOut(afterwards[0])
					afterwards = afterwards[1:]
				}
			case 5:
				store.cancel()
			case 6, 7:
				if len(store.log) > 0 {
					m.apply(store.log[0])
					m.rev = max(m.rev, store.log[0].Rev)
					store.log = store.log[1:]
				}
			default:
				ms := rapid.Int64Range(1, 800).Draw(t, "ms")
				m.now.Steady, m.now.Wall = m.now.Steady+ms, m.now.Wall+ms
			}
			m.confirmSeen()
			collect()
		}
		for len(open) > 0 {
			end(0, StoreResult{Outcome: Unknown})
			collect()
		}
		for reply := range asked {
			if !answered[reply] {
				t.Fatalf("%d hears nothing", reply)
			}
		}
		confirmed += m.Counters.Confirmed
	})
	if confirmed == 0 {
		test.Error("no submission was answered by its record")
	}
}
