package scheduler

import (
	"fmt"
	"math"
	"slices"
	"sort"
)

// fleet is what the member that leads the fleet keeps: it alone rents and
// returns machines. The lead is a record that hangs on the member's hold.
type fleet struct {
	leading  bool
	nonce    uint64
	rev      uint64
	claiming bool
	nextTry  int64
	requests uint64

	nextList    int64
	listing     bool
	nextCatalog int64
	catalog     []byte
	releasing   bool
	nextRelease int64
	nextRent    int64
	renting     map[string]int   // shard: requests under way
	needsAfter  map[string]int64 // shard: needs told before this are out of date
	refused     map[offer]int64  // steady time until which not to ask
	listed      map[string]bool
	registering map[string]bool
	returned    map[string]int64 // machine: when it was returned
}

// offer is a kind of machine in a zone, as the cloud rents it.
type offer struct {
	typ, zone string
	spot      bool
}

func (f *fleet) init() {
	f.renting, f.needsAfter = map[string]int{}, map[string]int64{}
	f.refused, f.registering = map[offer]int64{}, map[string]bool{}
	f.returned = map[string]int64{}
}

func (m *Member) tickFleet() {
	f := &m.fleet
	now := m.now.Steady
	if len(m.types) == 0 || f.leading {
		if now >= f.nextCatalog {
			f.nextCatalog = now + 5000
			m.askCloud(CloudOp{Kind: CloudCatalog}, m.gotCatalog)
		}
	}
	if !m.authority() {
		return
	}
	if m.lead == "" || m.lead == m.p.Member && !f.leading {
		m.claimLead()
		return
	}
	if !f.leading {
		return
	}
	if now >= f.nextList && !f.listing {
		f.listing = true
		m.listMachines("", nil, now)
	}
	if now >= f.nextRelease && !f.releasing {
		m.releaseDraining()
	}
	if now >= f.nextRent {
		f.nextRent = now + 500
		m.rentForNeeds()
	}
}

func (m *Member) claimLead() {
	f := &m.fleet
	now := m.now.Steady
	if f.claiming || now < f.nextTry {
		return
	}
	f.claiming = true
	nonce := m.rng.Uint64()
	f.nonce = nonce
	rec := shardRecord{m.p.Member, nonce}
	m.ask(StoreOp{Kind: StoreTxn, Urgency: Holds, Guards: []Guard{{leadKey, m.revs[leadKey]}},
		Changes: []Change{{Key: leadKey, Value: encode(rec), Hold: m.hold}}}, func(r StoreResult) {
		f.claiming = false
		f.nextTry = m.now.Steady + 500 + m.rng.Int64N(500)
		if r.Outcome == OK {
			m.apply(Item{Key: leadKey, Value: encode(rec), Rev: r.Rev})
			f.leading, f.rev = true, r.Rev
			f.nextList = m.now.Steady
			clear(f.renting)
			m.log(Info, "leading the fleet", "revision", r.Rev)
		} else {
			m.reread(leadKey, func(StoreResult) {})
		}
	})
}

func (m *Member) gotCatalog(r CloudResult) {
	f := &m.fleet
	if r.Outcome != OK || len(r.Types) == 0 {
		f.nextCatalog = m.now.Steady + 2000
		return
	}
	f.nextCatalog = m.now.Steady + 60_000
	types := slices.Clone(r.Types)
	slices.SortFunc(types, func(a, b MachineType) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	first := len(m.types) == 0
	m.setTypes(types)
	if first {
		m.log(Info, "machine types known", "types", len(types))
	}
	// Stored once, without its moving prices, for members that start while
	// the cloud is away.
	if m.revs[catalogKey] == 0 && f.leading && m.authority() {
		m.txn(Progress, []Guard{{catalogKey, 0}}, []Change{{Key: catalogKey, Value: encode(catalogRecord{types})}}, func(StoreResult) {})
	}
}

// register takes in a machine that no record names: one that was there before
// us, or a rental that was executed late. The shard with the least of its kind
// gets it.
func (m *Member) register(reply uint64, r Report) {
	if len(m.types) == 0 || m.types[r.Type] == nil || m.tombs[machineKey(r.Machine)] != 0 {
		m.answer(reply, WorkerAnswer{})
		return
	}
	m.waiting[r.Machine] = append(m.waiting[r.Machine], waiter{reply, r})
	if len(m.waiting[r.Machine]) > 1 {
		return
	}
	rec := machineRecord{Shard: m.poorest(r.Type), Type: r.Type, Zone: r.Zone, Spot: r.Spot, Addr: r.Addr, Up: true, Rented: m.now.Wall}
	m.log(Info, "machine registered", "machine", r.Machine, "type", r.Type, "shard", rec.Shard)
	key := machineKey(r.Machine)
	m.txn(Answers, []Guard{{key, 0}}, []Change{{Key: key, Value: encode(rec)}}, func(res StoreResult) {
		if res.Outcome == OK {
			return // the mirror has it, and the reports are answered
		}
		if res.Outcome == Conflict || res.Outcome == Unknown {
			m.reread(key, func(StoreResult) { m.dropWaiting(r.Machine) })
			return
		}
		m.dropWaiting(r.Machine)
	})
}

func (m *Member) answerWaiting(id string) {
	ws := m.waiting[id]
	delete(m.waiting, id)
	for _, w := range ws {
		m.report(w.reply, w.report)
	}
}

func (m *Member) dropWaiting(id string) {
	ws := m.waiting[id]
	delete(m.waiting, id)
	for _, w := range ws {
		m.answer(w.reply, WorkerAnswer{})
	}
}

// poorest is the shard with the least machines of a type, for its processors.
func (m *Member) poorest(typ string) string {
	type load struct{ same, all float64 }
	loads := map[string]*load{}
	for _, n := range m.members() {
		loads[n] = &load{}
	}
	for _, mc := range m.machines {
		if l := loads[mc.rec.Shard]; l != nil && !mc.rec.Draining {
			l.all += roomOf(m.types[mc.rec.Type]).CPUs
			if mc.rec.Type == typ {
				l.same++
			}
		}
	}
	best := ""
	for _, n := range m.members() {
		if _, held := m.shards[n]; !held && len(m.shards) > 0 {
			continue
		}
		l := loads[n]
		if best == "" || l.all < loads[best].all || l.all == loads[best].all && l.same < loads[best].same {
			best = n
		}
	}
	if best == "" {
		best = m.p.Member
	}
	return best
}

// listMachines reads the cloud's list and compares it with the records.
func (m *Member) listMachines(from string, all []Listed, sent int64) {
	f := &m.fleet
	m.askCloud(CloudOp{Kind: CloudList, From: from}, func(r CloudResult) {
		if r.Outcome != OK {
			f.listing = false
			f.nextList = m.now.Steady + 2000
			return
		}
		all = append(all, r.List...)
		if r.More && len(r.List) > 0 {
			m.listMachines(r.List[len(r.List)-1].ID, all, sent)
			return
		}
		f.listing = false
		f.nextList = m.now.Steady + max(ms(m.p.ListLagS)/listsPerLag, 1000)
		if f.leading && m.authority() {
			m.compare(all)
		}
	})
}

// listsPerLag is how often the list is read while it lags once.
const listsPerLag = 3

// bootPatience is after how many of its type's boot times a machine that has
// not come up is replaced.
const bootPatience = 3

// returnedKept is for how many lags of the list a returned machine is ignored
// in it. A list may be older than the one before it, so one lag is not enough.
const returnedKept = 5

func (m *Member) compare(list []Listed) {
	f := &m.fleet
	lag := ms(m.p.ListLagS) * 2
	f.listed = make(map[string]bool, len(list))
	for _, l := range list {
		f.listed[l.ID] = true
		mc := m.machines[l.ID]
		if at, ok := f.returned[l.ID]; ok {
			// The list lags: what we returned still appears. Taking it
			// for a machine that nobody expected gave it a record and an
			// owner again, for nothing to come up.
			if m.now.Steady-at > returnedKept*lag {
				delete(f.returned, l.ID)
			}
			continue
		}
		if mc == nil {
			// Nobody expected it. It gets an owner, who uses or returns
			// it; a rental of ours whose records are being written is
			// given the time to be written.
			if ms(l.AgeS) > lag+5000 && !f.registering[l.ID] && l.State != "failed" && m.types[l.Type] != nil {
				m.recordMachines([]string{l.ID}, offer{l.Type, l.Zone, l.Spot}, m.poorest(l.Type), m.now.Wall-ms(l.AgeS), func() {})
			}
			if l.State == "failed" && !f.registering[l.ID] {
				m.returnNow([]string{l.ID})
			}
			continue
		}
		if l.State == "failed" && !mc.rec.Draining {
			m.leadDrain(mc, "failed")
		}
	}
	for id, at := range f.returned {
		if m.now.Steady-at > returnedKept*lag && !f.listed[id] {
			delete(f.returned, id)
		}
	}
	for id, mc := range inOrder(m.machines) {
		if mc.rec.Up && !mc.rec.Draining && !f.listed[id] && m.now.Wall-mc.rec.Rented > lag+5000 {
			// Listed machines stay listed until they are gone, so this one
			// is: its tasks need not wait for its lease, nor a new claim
			// for a report that never comes. Returning it makes it certain.
			m.leadDrain(mc, "no longer listed")
			continue
		}
		t := m.types[mc.rec.Type]
		if mc.rec.Up || mc.rec.Draining || t == nil {
			continue
		}
		if m.now.Wall-mc.rec.Rented > ms(t.BootS)*bootPatience+lag {
			m.leadDrain(mc, "does not come up")
		}
	}
}

// leadDrain marks a machine that has no tasks: one that never came up, or one
// that failed. The mark stops its owner from starting anything there, since
// the owner's own writes on the record fail from then on.
func (m *Member) leadDrain(mc *machine, why string) {
	if mc.busy {
		return
	}
	rec := mc.rec
	rec.Draining = true
	mc.busy = true
	key := machineKey(mc.id)
	m.log(Info, "machine draining", "machine", mc.id, "type", rec.Type, "why", why)
	m.txn(Answers, []Guard{{leadKey, m.fleet.rev}, {key, mc.rev}}, []Change{{Key: key, Value: encode(rec)}}, func(r StoreResult) {
		mc.busy = false
		if r.Outcome != OK {
			m.reread(key, func(StoreResult) {})
		}
	})
}

func (m *Member) returnNow(ids []string) {
	m.askCloud(CloudOp{Kind: CloudRelease, Machines: ids}, func(CloudResult) {})
}

// releaseDraining returns the machines that their owners gave up. By the time
// of the answer they are gone with everything on them, which the removal of
// their records tells the owners.
func (m *Member) releaseDraining() {
	f := &m.fleet
	var ids []string
	for id, mc := range m.machines {
		if mc.rec.Draining {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return
	}
	sort.Strings(ids)
	ids = ids[:min(len(ids), 100, m.p.TxnOps)]
	f.releasing = true
	m.askCloud(CloudOp{Kind: CloudRelease, Machines: ids}, func(r CloudResult) {
		if r.Outcome != OK {
			f.releasing = false
			f.nextRelease = m.now.Steady + 1000
			return
		}
		m.Counters.Returned += uint64(len(ids))
		for _, id := range ids {
			f.returned[id] = m.now.Steady
		}
		m.log(Info, "machines returned", "machines", ids)
		var guards []Guard
		var changes []Change
		for _, id := range ids {
			if rev := m.revs[machineKey(id)]; rev != 0 {
				guards = append(guards, Guard{machineKey(id), rev})
				changes = append(changes, Change{Key: machineKey(id)})
			}
		}
		if len(changes) == 0 {
			f.releasing = false
			return
		}
		m.txn(Answers, guards, changes, func(r StoreResult) {
			f.releasing = false
			f.nextRelease = m.now.Steady + 300
			if r.Outcome != OK && len(ids) > 0 {
				m.reread(machineKey(ids[m.rng.IntN(len(ids))]), func(StoreResult) {})
			}
		})
	})
}

// recordMachines gives machines an owner.
func (m *Member) recordMachines(ids []string, o offer, shard string, rented int64, done func()) {
	f := &m.fleet
	for len(ids) > 0 {
		part := ids[:min(len(ids), m.p.TxnOps)]
		ids = ids[len(part):]
		last := len(ids) == 0
		var send func(try int)
		send = func(try int) {
			var guards []Guard
			var changes []Change
			for _, id := range part {
				f.registering[id] = true
				if m.machines[id] != nil {
					continue
				}
				guards = append(guards, Guard{machineKey(id), 0})
				changes = append(changes, Change{Key: machineKey(id), Value: encode(machineRecord{Shard: shard, Type: o.typ, Zone: o.zone, Spot: o.spot, Rented: rented})})
			}
			finish := func() {
				for _, id := range part {
					delete(f.registering, id)
				}
				if last {
					done()
				}
			}
			if len(changes) == 0 {
				finish()
				return
			}
			m.txn(Answers, guards, changes, func(r StoreResult) {
				if r.Outcome == OK || try == 0 || !f.leading {
					finish()
					return
				}
				m.reread(guards[0].Key, func(StoreResult) { send(try - 1) })
			})
		}
		send(5)
	}
}

// virtual is a machine that might be rented, while needs are fitted into it.
type virtual struct {
	pm    *planMachine
	o     offer
	shard string
}

// rentForNeeds rents what the shards say they lack: per shard, machines are
// added until the needs fit, each time of the kind that costs least for the
// tasks it takes.
func (m *Member) rentForNeeds() {
	f := &m.fleet
	for _, p := range inOrder(m.peers) {
		if !m.fresh(p) {
			continue
		}
		for i := range p.msg.Shards {
			sr := &p.msg.Shards[i]
			if f.renting[sr.Shard] > 0 || p.msg.Wall < f.needsAfter[sr.Shard] || len(sr.Needs) == 0 {
				continue
			}
			if m.mine[sr.Shard] == nil && m.shards[sr.Shard].Holder != p.msg.From {
				continue
			}
			m.rentFor(sr)
		}
	}
}

// rentAtOnce bounds the machines asked for by one shard's needs at a time;
// needs that remain are told again.
const rentAtOnce = 10

func (m *Member) rentFor(sr *ShardReport) {
	var vms []*virtual
	wall := m.now.Wall
	for _, need := range sr.Needs {
		j := m.jobs[need.Job]
		if j == nil {
			continue
		}
		mode := every
		if j.rec.Job.Kind == Gang {
			mode = anyhow // side by side: none may wait for another
		}
		g := &group{j: &j.rec.Job, left: need.Count, length: need.Length, due: need.Deadline}
		for _, v := range vms {
			if g.left > 0 && m.allowed(g.j, v.o.typ, v.o.zone, v.o.spot) {
				v.pm.fetch = m.planFetch(v.pm, g.j)
				n, _, _ := m.fit(v.pm, g, m.reach(g, v.pm), g.left, mode)
				g.left -= n
			}
		}
		for g.left > 0 && len(vms) < rentAtOnce {
			o, ok := m.cheapest(g, need.SpotOnly)
			if !ok {
				break
			}
			t := m.types[o.typ]
			v := &virtual{o: o, shard: sr.Shard, pm: &planMachine{typ: t, zone: o.zone, spot: o.spot, upAt: wall + ms(t.BootS), free: t.Room}}
			v.pm.fetch = m.planFetch(v.pm, g.j)
			n, _, _ := m.fit(v.pm, g, m.reach(g, v.pm), g.left, mode)
			if n == 0 {
				break
			}
			g.left -= n
			vms = append(vms, v)
		}
	}
	counts := map[offer]int{}
	for _, v := range vms {
		counts[v.o]++
	}
	for _, v := range vms {
		if n := counts[v.o]; n > 0 {
			delete(counts, v.o)
			m.rent(v.o, n, sr.Shard)
		}
	}
}

// reach is the deadline that a rented machine is filled for: the group's own,
// or, where it comes too late for that, one task in each of its queues.
func (m *Member) reach(g *group, pm *planMachine) int64 {
	return max(g.due, pm.upAt+m.planFetch(pm, g.j)+int64(float64(g.length)*padding))
}

// ordinaryFill is how full the waiting tasks of a job must make an ordinary
// machine before one is rented for a job that may use spot machines.
const ordinaryFill = 1.0

// shortFactor is how much dearer a type counts that others cannot do without.
const shortFactor = 4

// cheapest picks the kind of machine that costs least for the tasks of the
// group that it takes, among those the cloud did not refuse of late. Ordinary
// machines are dearer, so they come up where no spot machine is to be had.
func (m *Member) cheapest(g *group, spotOnly bool) (offer, bool) {
	var best []offer
	cost := math.Inf(1)
	names := make([]string, 0, len(m.types))
	for n := range m.types {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		t := m.types[n]
		if !m.fitsType(g.j, t) {
			continue
		}
		copies := t.Room.Copies(withoutDisk(g.j.Request), g.left)
		up := m.now.Wall + ms(t.BootS) + m.typeFetch(g.j, n)
		waves := max(1, int((g.due-up)/max(int64(float64(g.length)*padding), 1)))
		tasks := min(copies*waves, g.left)
		if tasks < 1 {
			continue
		}
		for _, z := range t.Zones {
			for _, spot := range []bool{true, false} {
				o := offer{n, z, spot}
				if spotOnly && !spot || !m.allowed(g.j, n, z, spot) || m.now.Steady < m.fleet.refused[o] {
					continue
				}
				price := t.Price
				if spot {
					price = t.SpotPrice
				}
				c := price / float64(tasks)
				if !spot && g.j.Spot && float64(g.left) < float64(t.Room.Copies(withoutDisk(g.j.Request), 1000))*ordinaryFill {
					continue
				}
				if m.short(g.j, t) {
					c *= shortFactor
				}
				if c < cost*0.999 {
					cost, best = c, best[:0]
				}
				if c <= cost*1.001 {
					best = append(best, o)
				}
			}
		}
	}
	if len(best) == 0 {
		return offer{}, false
	}
	return best[m.rng.IntN(len(best))], true
}

// rent asks for machines under a name that no one ever uses again: it holds
// the revision of the lead's claim.
func (m *Member) rent(o offer, n int, shard string) {
	f := &m.fleet
	f.requests++
	name := fmt.Sprintf("r-%d-%d", f.rev, f.requests)
	f.renting[shard]++
	asked := m.now.Wall
	var send func(tries int)
	send = func(tries int) {
		m.askCloud(CloudOp{Kind: CloudRent, Request: name, Type: o.typ, Zone: o.zone, Spot: o.spot, Count: min(n, 50)}, func(r CloudResult) {
			refuse := func() {
				t := m.types[o.typ]
				f.refused[o] = m.now.Steady + max(ms(t.BootS), 5000)
			}
			end := func() {
				f.renting[shard]--
				f.needsAfter[shard] = m.now.Wall + 300
			}
			switch r.Outcome {
			case OK:
				if len(r.Machines) < n {
					refuse()
				}
				m.Counters.Rented += uint64(len(r.Machines))
				m.log(Info, "machines rented", "type", o.typ, "zone", o.zone, "spot", o.spot, "asked", n, "got", r.Machines, "shard", shard)
				m.recordMachines(r.Machines, o, shard, asked, end)
				if len(r.Machines) == 0 {
					end()
				}
			case NotFound:
				m.log(Debug, "no capacity", "type", o.typ, "zone", o.zone, "spot", o.spot)
				refuse()
				end()
			case Unknown:
				// The same name gets the same answer, and rents nothing
				// twice.
				if tries > 0 {
					send(tries - 1)
					return
				}
				end()
			default:
				f.nextRent = m.now.Steady + 2000
				end()
			}
		})
	}
	send(3)
}
