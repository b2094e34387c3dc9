package scheduler

import (
	"encoding/json"
	"fmt"
	"slices"
	"sort"
	"strings"
)

// Machines are recorded many at a time, since the state service counts the keys
// that are changed and a fleet of hundreds comes and goes within a minute: one
// roster for the machines that came together to a shard, written by the member
// that leads the fleet and by no other, and a few lists for a shard of those
// that are up, written by its holder.

// rosterRecord is machines of one kind in one shard.
type rosterRecord struct {
	Shard    string   `json:"shard"`
	Type     string   `json:"type"`
	Zone     string   `json:"zone"`
	Spot     bool     `json:"spot,omitempty"`
	Rented   int64    `json:"rented"`        // time of day, ms
	For      string   `json:"for,omitempty"` // the plan whose machines they replace
	Machines []string `json:"machines"`
}

// upRecord lists machines of a shard that are up. Nothing starts on a machine
// before it is listed, so one that is not listed has no tasks.
type upRecord struct {
	Up []string `json:"up"`
}

// roster is a roster of the mirror.
type roster struct {
	rec rosterRecord
	rev uint64
}

// addition is a roster that the lead is to write. Its key and contents never
// change: a write whose outcome is not known is sent again as it was.
type addition struct {
	key  string
	rec  rosterRecord
	done func()
}

// changesAtOnce bounds the changes of one transaction that is not urgent, so
// that it does not use up a member's part of the store's rate at once.
func (m *Member) changesAtOnce() int { return max(1, m.p.TxnOps/4) }

// rosterSize bounds the machines of a roster, by the bytes that a value takes;
// names take up to some twenty of them.
func (m *Member) rosterSize() int { return max(1, m.p.ValueBytes/2/24) }

func (m *Member) rosterChanged(key string, rec *rosterRecord, rev uint64) {
	old := m.rosters[key]
	keep := map[string]bool{}
	if rec != nil {
		m.rosters[key] = &roster{*rec, rev}
		for _, id := range rec.Machines {
			keep[id] = true
			m.machineKnown(id, key, rec)
		}
	} else {
		delete(m.rosters, key)
	}
	if old == nil {
		return
	}
	for _, id := range old.rec.Machines {
		if !keep[id] {
			m.machineGone(id)
		}
	}
}

// upChanged takes a list of machines that are up. What a list no longer names is
// gone from the rosters too, or stands in another list.
func (m *Member) upChanged(key string, rec *upRecord) {
	if rec == nil {
		delete(m.ups, key)
		return
	}
	m.ups[key] = rec.Up
	for _, id := range rec.Up {
		mc := m.machines[id]
		if mc == nil || mc.Up {
			continue
		}
		s := m.mine[mc.rec.Shard]
		if s == nil || mc.claim != s {
			mc.Up = true
		} else {
			s.squares.List(mc.Machine)
		}
		if s != nil {
			s.dirty, s.hasten = true, true
		}
	}
}

// writeUps lists the machines of a shard that came up since the last time, and
// drops those that are gone.
func (m *Member) writeUps(s *shard) {
	if s.upWriting || len(s.upNew) == 0 || m.now.Steady < s.nextUp {
		return
	}
	prefix := upPrefix + s.name + "/"
	var key string
	var list []string
	for n := 0; ; n++ {
		key = fmt.Sprintf("%s%d", prefix, n)
		list = list[:0]
		for _, id := range m.ups[key] {
			if m.machines[id] != nil {
				list = append(list, id)
			}
		}
		if len(list) < m.rosterSize() {
			break
		}
	}
	for _, id := range slices.Clone(s.upNew) {
		if mc := m.machines[id]; mc == nil || mc.Up {
			s.upNew = slices.DeleteFunc(s.upNew, func(x string) bool { return x == id })
		} else if len(list) < m.rosterSize() {
			list = append(list, id)
		}
	}
	if len(s.upNew) == 0 {
		return
	}
	s.upWriting = true
	// The next ones share a write.
	s.nextUp = m.now.Steady + max(300, ms(m.p.ReportS)/8)
	value := encode(upRecord{slices.Clone(list)})
	m.txn(Answers, []Guard{{shardKey(s.name), s.token}, {key, m.revs[key]}}, []Change{{Key: key, Value: value}}, func(r StoreResult) {
		s.upWriting = false
		if r.Outcome == Unknown || r.Outcome == Conflict {
			s.upWriting = true
			m.reread(key, func(StoreResult) { s.upWriting = false })
		}
	})
}

// addMachines gives machines an owner, as soon as the store has them.
func (m *Member) addMachines(ids []string, o offer, shard, plan string, rented int64, done func()) {
	f := &m.fleet
	var fresh []string
	for _, id := range ids {
		if m.machines[id] == nil && !f.adding[id] && f.returned[id] == 0 {
			f.adding[id] = true
			fresh = append(fresh, id)
		}
	}
	if len(fresh) == 0 {
		done()
		return
	}
	for part := range slices.Chunk(fresh, m.rosterSize()) {
		f.rosters++
		last := func() {}
		if part[len(part)-1] == fresh[len(fresh)-1] {
			last = done
		}
		f.additions = append(f.additions, &addition{key: fmt.Sprintf("%s%d-%d", machinePrefix, f.rev, f.rosters), done: last,
			rec: rosterRecord{Shard: shard, Type: o.typ, Zone: o.zone, Spot: o.spot, Rented: rented, For: plan, Machines: slices.Clone(part)}})
	}
	m.writeRosters()
}

// writeRosters writes what is to be added to and removed from the rosters, one
// transaction at a time.
func (m *Member) writeRosters() {
	f := &m.fleet
	if f.writing || !m.mayLead() || len(f.additions)+len(f.removals) == 0 || m.now.Steady < f.nextWrite {
		return
	}
	guards := []Guard{{leadKey, f.rev}}
	var changes []Change
	for _, a := range f.additions[:min(len(f.additions), m.changesAtOnce())] {
		guards = append(guards, Guard{a.key, 0})
		changes = append(changes, Change{Key: a.key, Value: encode(a.rec)})
	}
	touched := map[string]bool{}
	for id := range f.removals {
		if mc := m.machines[id]; mc != nil {
			touched[mc.roster] = true
		} else {
			delete(f.removals, id)
		}
	}
	for key := range inOrder(touched) {
		if len(changes) >= m.changesAtOnce() {
			break
		}
		r := m.rosters[key]
		rec := r.rec
		rec.Machines = slices.DeleteFunc(slices.Clone(rec.Machines), func(id string) bool { return f.removals[id] })
		guards = append(guards, Guard{key, r.rev})
		if len(rec.Machines) == 0 {
			changes = append(changes, Change{Key: key})
		} else {
			changes = append(changes, Change{Key: key, Value: encode(rec)})
		}
	}
	if len(changes) == 0 {
		return
	}
	f.writing = true
	rev := f.rev
	m.txn(Answers, guards, changes, func(r StoreResult) {
		f.writing = false
		if f.rev != rev {
			return
		}
		switch r.Outcome {
		case OK:
			m.rostersWritten()
			m.writeRosters()
		case Unknown, Conflict:
			// Each key is read before anything is written again. An addition
			// that had worked is in the mirror then.
			f.writing = true
			left := len(changes)
			for _, c := range changes {
				m.reread(c.Key, func(StoreResult) {
					if left--; left == 0 {
						f.writing = false
						f.nextWrite = m.now.Steady + 300
						m.rostersWritten()
					}
				})
			}
			m.reread(leadKey, func(StoreResult) {})
		default:
			f.nextWrite = m.now.Steady + 500
		}
	})
}

// rostersWritten drops the additions that the mirror has.
func (m *Member) rostersWritten() {
	f := &m.fleet
	var done []func()
	f.additions = slices.DeleteFunc(f.additions, func(a *addition) bool {
		if m.revs[a.key] == 0 {
			return false
		}
		for _, id := range a.rec.Machines {
			delete(f.adding, id)
		}
		done = append(done, a.done)
		return true
	})
	for _, d := range done {
		d()
	}
}

// mayLead tells whether this member leads the fleet and has seen all that its
// predecessors wrote: a machine that it took for unknown would get two owners.
func (m *Member) mayLead() bool {
	return m.fleet.leading && m.authority() && m.rev >= m.fleet.rev
}

// giveBack notes that the lead is to return a machine.
func (m *Member) giveBack(id, why string) {
	f := &m.fleet
	if _, ok := f.leaving[id]; ok || f.returned[id] != 0 {
		return
	}
	f.leaving[id] = true
	m.log(Info, "machine leaves", "machine", id, "why", why)
}

// releaseMachines returns the machines that their owners gave up, as their
// messages say, and those that the lead itself found gone or never up. By the
// time of the answer they are gone with everything on them, which their removal
// from the rosters tells the owners.
func (m *Member) releaseMachines() {
	f := &m.fleet
	m.heard(func(from string, msg *PeerMessage) {
		for i := range msg.Shards {
			sr := &msg.Shards[i]
			if m.shards[sr.Shard].Holder != from {
				continue
			}
			for _, id := range sr.Returns {
				if mc := m.machines[id]; mc != nil && mc.rec.Shard == sr.Shard && f.returned[id] == 0 {
					f.leaving[id] = true
				}
			}
		}
	})
	if len(f.leaving) == 0 {
		return
	}
	var ids []string
	for id := range f.leaving {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	ids = ids[:min(len(ids), 100)]
	f.releasing = true
	m.askCloud(CloudOp{Kind: CloudRelease, Machines: ids}, func(r CloudResult) {
		f.releasing = false
		f.nextRelease = m.now.Steady + 500
		if r.Outcome != OK {
			f.nextRelease = m.now.Steady + 1000
			return
		}
		m.Counters.Returned += uint64(len(ids))
		for _, id := range ids {
			delete(f.leaving, id)
			f.returned[id] = m.now.Steady
			f.removals[id] = true
		}
		m.log(Info, "machines returned", "count", len(ids), "machines", ids)
		m.writeRosters()
	})
}

// register takes in a machine that no roster names: one that was there before
// us, or a rental that was executed late. Only the lead writes rosters, so
// other members send the worker there.
func (m *Member) register(reply uint64, r Report) {
	f := &m.fleet
	if !f.leading {
		a := WorkerAnswer{}
		if m.lead != m.p.Member {
			a.Redirect = m.lead
		}
		m.answer(reply, a)
		return
	}
	if !m.mayLead() || m.types[r.Type] == nil || f.returned[r.Machine] != 0 {
		m.answer(reply, WorkerAnswer{})
		return
	}
	m.waiting[r.Machine] = append(m.waiting[r.Machine], waiter{reply, r, m.now.Steady})
	if !f.adding[r.Machine] {
		f.adding[r.Machine] = true
		f.found = append(f.found, r)
	}
}

// recordFound gives the machines that were found since the last time to the
// shards that have least. Those of a kind and a shard share a roster.
func (m *Member) recordFound() {
	f := &m.fleet
	if len(f.found) == 0 || m.now.Steady < f.nextFound {
		return
	}
	f.nextFound = m.now.Steady + 300
	type place struct {
		o     offer
		shard string
	}
	loads := m.loads()
	by := map[place][]string{}
	var order []place
	for _, r := range f.found {
		delete(f.adding, r.Machine)
		p := place{offer{r.Type, r.Zone, r.Spot}, m.poorest(loads, r.Type)}
		if len(by[p]) == 0 {
			order = append(order, p)
		}
		by[p] = append(by[p], r.Machine)
	}
	m.log(Info, "machines found", "count", len(f.found))
	f.found = nil
	for _, p := range order {
		m.addMachines(by[p], p.o, p.shard, "", m.now.Wall, func() {})
	}
}

// load is what a shard has of machines.
type load struct {
	cpus float64
	same map[string]int
}

func (m *Member) loads() map[string]*load {
	loads := map[string]*load{}
	for _, n := range m.members() {
		if _, held := m.shards[n]; held || len(m.shards) == 0 {
			loads[n] = &load{same: map[string]int{}}
		}
	}
	if len(loads) == 0 {
		loads[m.p.Member] = &load{same: map[string]int{}}
	}
	for _, mc := range m.machines {
		if l := loads[mc.rec.Shard]; l != nil {
			l.same[mc.rec.Type]++
		}
	}
	for _, l := range loads {
		for typ, n := range inOrder(l.same) { // the same sum every time
			l.cpus += float64(n) * roomOf(m.types[typ]).CPUs
		}
	}
	return loads
}

// poorest is the shard with the least processors, then the least machines of a
// type; it is taken to get one.
func (m *Member) poorest(loads map[string]*load, typ string) string {
	best := ""
	for n, l := range inOrder(loads) {
		if best == "" || l.cpus < loads[best].cpus || l.cpus == loads[best].cpus && l.same[typ] < loads[best].same[typ] {
			best = n
		}
	}
	loads[best].cpus += roomOf(m.types[typ]).CPUs
	loads[best].same[typ]++
	return best
}

// answerWaiting answers the reports of a machine that has an owner now.
func (m *Member) answerWaiting(id string) {
	ws := m.waiting[id]
	delete(m.waiting, id)
	for _, w := range ws {
		m.report(w.reply, w.report)
	}
}

// applyFleet brings the mirror of rosters and lists up to a change.
func (m *Member) applyFleet(it Item) error {
	switch {
	case strings.HasPrefix(it.Key, machinePrefix):
		if it.Value == nil {
			m.rosterChanged(it.Key, nil, it.Rev)
			return nil
		}
		var rec rosterRecord
		if err := json.Unmarshal(it.Value, &rec); err != nil {
			return err
		}
		m.rosterChanged(it.Key, &rec, it.Rev)
	case strings.HasPrefix(it.Key, upPrefix):
		if it.Value == nil {
			m.upChanged(it.Key, nil)
			return nil
		}
		var rec upRecord
		if err := json.Unmarshal(it.Value, &rec); err != nil {
			return err
		}
		m.upChanged(it.Key, &rec)
	}
	return nil
}
