package scheduler

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"sort"
	"strings"

	"github.com/grebedock/grebedock/planner"
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
	releasing   bool
	nextRelease int64
	nextRent    int64
	renting     map[string]int   // shard: requests under way
	needsAfter  map[string]int64 // shard: needs told before this are out of date
	refused     map[offer]int64  // steady time until which not to ask
	listed      map[string]bool
	leaving     map[string]bool  // machines that are to be returned
	returned    map[string]int64 // machine: when it was returned

	// What is to be written to the rosters.
	rosters   int
	additions []*addition
	removals  map[string]bool
	adding    map[string]bool // machines that were found or rented and have no roster yet
	found     []Report        // machines that reported and that nobody knows
	nextFound int64
	writing   bool
	nextWrite int64
}

// offer is a kind of machine in a zone, as the cloud rents it.
type offer struct {
	typ, zone string
	spot      bool
}

func (o offer) compare(p offer) int {
	spot := 0
	if o.spot != p.spot {
		spot = 1
		if o.spot {
			spot = -1
		}
	}
	return cmp.Or(strings.Compare(o.typ, p.typ), strings.Compare(o.zone, p.zone), spot)
}

func (f *fleet) init() {
	f.renting, f.needsAfter = map[string]int{}, map[string]int64{}
	f.refused, f.returned = map[offer]int64{}, map[string]int64{}
	f.leaving, f.removals, f.adding = map[string]bool{}, map[string]bool{}, map[string]bool{}
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
	if !m.mayLead() {
		return
	}
	m.recordFound()
	m.writeRosters()
	if now >= f.nextList && !f.listing {
		f.listing = true
		m.listMachines("", nil, now)
	}
	if now >= f.nextRelease && !f.releasing {
		m.releaseMachines()
	}
	if now >= f.nextRent {
		f.nextRent = now + 500
		m.rentForNeeds()
	}
	m.tickRollout()
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
		Changes: []Change{{Key: leadKey, Value: encode(rec), Hold: m.acc.Hold()}}}, func(r StoreResult) {
		f.claiming = false
		f.nextTry = m.now.Steady + 500 + m.rng.Int64N(500)
		if r.Outcome == OK {
			m.apply(Item{Key: leadKey, Value: encode(rec), Rev: r.Rev})
			f.leading, f.rev = true, r.Rev
			f.nextList = m.now.Steady
			clear(f.renting)
			m.roll.ledger, m.roll.renting = nil, false
			// What an earlier lead of ours left is the cloud list's to tell.
			f.additions, f.found, f.writing = nil, nil, false
			clear(f.adding)
			clear(f.removals)
			clear(f.leaving)
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
			m.compare(all, sent)
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

// compare holds the cloud's list against the records. The list was asked for at
// sent and is no evidence of anything later: an answer that came late made
// machines seem gone that had been rented and were up since.
func (m *Member) compare(list []Listed, sent int64) {
	f := &m.fleet
	asked := m.now.Wall - (m.now.Steady - sent)
	lag := ms(m.p.ListLagS) * 2
	f.listed = make(map[string]bool, len(list))
	loads := m.loads()
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
			// it; a rental of ours whose rosters are being written is
			// given the time to be written.
			if ms(l.AgeS) > lag+5000 && !f.adding[l.ID] && l.State != "failed" && m.types[l.Type] != nil {
				m.addMachines([]string{l.ID}, offer{l.Type, l.Zone, l.Spot}, m.poorest(loads, l.Type), "", m.now.Wall-ms(l.AgeS), func() {})
			}
			if l.State == "failed" && !f.adding[l.ID] {
				m.giveBack(l.ID, "failed")
			}
			continue
		}
		if l.State == "failed" {
			m.giveBack(l.ID, "failed")
		}
	}
	for id, at := range f.returned {
		if m.now.Steady-at > returnedKept*lag && !f.listed[id] {
			delete(f.returned, id)
		}
	}
	for id, mc := range inOrder(m.machines) {
		t := m.types[mc.rec.Type]
		switch {
		case mc.Up && !f.listed[id] && asked-mc.rec.Rented > lag+5000 && !m.speaks(mc, sent):
			// Listed machines stay listed until they are gone, so this one
			// is: its tasks need not wait for its lease, nor a new claim
			// for a report that never comes. Returning it makes it certain.
			m.giveBack(id, "no longer listed")
		case !mc.Up && t != nil && m.now.Wall-mc.rec.Rented > ms(t.BootS)*bootPatience+lag:
			m.giveBack(id, "does not come up")
		}
	}
}

// speaks tells whether a machine of ours reported after a time.
func (m *Member) speaks(mc *machine, since int64) bool {
	return mc.claim != nil && m.mine[mc.rec.Shard] == mc.claim && mc.Squared() && mc.Last > since
}

// virtual is a machine that might be rented, while needs are fitted into it.
type virtual struct {
	pm *planner.Machine
	o  offer
}

// rentForNeeds rents what the shards say they lack: per shard, machines are
// added until the needs fit, each time of the kind that costs least for the
// tasks it takes. One call asks for all machines of a kind and zone, whichever
// shards they are for, and the largest are asked for first: calls are few.
func (m *Member) rentForNeeds() {
	f := &m.fleet
	wanted := map[offer]map[string]int{}
	total := map[offer]int{}
	m.heard(func(from string, msg *PeerMessage) {
		for i := range msg.Shards {
			sr := &msg.Shards[i]
			if f.renting[sr.Shard] > 0 || msg.Wall < f.needsAfter[sr.Shard] || len(sr.Needs) == 0 {
				continue
			}
			if m.mine[sr.Shard] == nil && m.shards[sr.Shard].Holder != from {
				continue
			}
			for o, n := range m.rentFor(sr) {
				if wanted[o] == nil {
					wanted[o] = map[string]int{}
				}
				wanted[o][sr.Shard] += n
				total[o] += n
			}
		}
	})
	var order []offer
	for o := range total {
		order = append(order, o)
	}
	slices.SortFunc(order, func(a, b offer) int { return cmp.Or(cmp.Compare(total[b], total[a]), a.compare(b)) })
	for _, o := range order {
		m.rent(o, wanted[o], "", func() {})
	}
}

// rentAtOnce bounds the machines asked for by one shard's needs at a time;
// needs that remain are told again.
const rentAtOnce = 50

// rentFor is what machines a shard's needs ask for.
func (m *Member) rentFor(sr *ShardReport) map[offer]int {
	var vms []*virtual
	wall := m.now.Wall
	zones := map[offer]offer{} // the zone that this round takes for a kind
	for _, need := range sr.Needs {
		j := m.jobs[need.Job]
		if j == nil {
			continue
		}
		mode := planner.Every
		if j.rec.Job.Kind == Gang {
			mode = planner.Anyhow // side by side: none may wait for another
		}
		g := &group{j: &j.rec.Job, Group: planner.Group{Ask: j.rec.Job.ask(), Left: need.Count, Length: need.Length, Due: need.Deadline}}
		for _, v := range vms {
			if g.Left > 0 && m.allowed(g.j, v.o.typ, v.o.zone, v.o.spot) {
				n, _, _ := planner.Fit(v.pm, &g.Group, m.typeFetch(g.j, v.o.typ), m.reach(g, v.pm), g.Left, mode)
				g.Left -= n
			}
		}
		for g.Left > 0 && len(vms) < rentAtOnce {
			o, ok := m.cheapest(g, need.SpotOnly, zones)
			if !ok {
				break
			}
			t := m.types[o.typ]
			v := &virtual{o: o, pm: &planner.Machine{Kind: planner.Kind{Type: o.typ, Zone: o.zone, Spot: o.spot}, UpAt: wall + ms(t.BootS), Free: t.Room}}
			n, _, _ := planner.Fit(v.pm, &g.Group, m.typeFetch(g.j, o.typ), m.reach(g, v.pm), g.Left, mode)
			if n == 0 {
				break
			}
			g.Left -= n
			vms = append(vms, v)
		}
	}
	counts := map[offer]int{}
	for _, v := range vms {
		counts[v.o]++
	}
	return counts
}

// reach is the deadline that a rented machine is filled for: the group's own,
// or, where it comes too late for that, one task in each of its queues.
func (m *Member) reach(g *group, pm *planner.Machine) int64 {
	return max(g.Due, pm.UpAt+m.typeFetch(g.j, pm.Kind.Type)+int64(float64(g.Length)*planner.Padding))
}

// ordinaryFill is how full the waiting tasks of a job must make an ordinary
// machine before one is rented for a job that may use spot machines.
const ordinaryFill = 1.0

// shortFactor is how much dearer a type counts that others cannot do without.
const shortFactor = 4

// cheapest picks the kind of machine that costs least for the tasks of the
// group that it takes, among those the cloud did not refuse of late. Ordinary
// machines are dearer, so they come up where no spot machine is to be had.
func (m *Member) cheapest(g *group, spotOnly bool, zones map[offer]offer) (offer, bool) {
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
		copies := t.Room.Copies(withoutDisk(g.j.Request), g.Left)
		up := m.now.Wall + ms(t.BootS) + m.typeFetch(g.j, n)
		waves := max(1, int((g.Due-up)/max(int64(float64(g.Length)*planner.Padding), 1)))
		tasks := min(copies*waves, g.Left)
		if tasks < 1 {
			continue
		}
		for _, z := range t.Zones {
			for _, spot := range []bool{true, false} {
				o := offer{n, z, spot}
				if spotOnly && !spot || !m.allowed(g.j, n, z, spot) || m.now.Steady < m.fleet.refused[o] {
					continue
				}
				if !spot && g.j.Spot && up+g.Length > g.Due {
					// It would come too late for the aim it is asked
					// for: not worth several times the price.
					continue
				}
				price := t.Price
				if spot {
					price = t.SpotPrice
				}
				c := price / float64(tasks)
				if !spot && g.j.Spot && float64(g.Left) < float64(t.Room.Copies(withoutDisk(g.j.Request), 1000))*ordinaryFill {
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
	// Zones that cost the same take turns, a round for each, so that a call
	// asks for many.
	o := best[m.rng.IntN(len(best))]
	kind := offer{typ: o.typ, spot: o.spot}
	if z, ok := zones[kind]; ok && slices.Contains(best, z) {
		return z, true
	}
	zones[kind] = o
	return o, true
}

// rent asks for machines under a name that no one ever uses again: it holds
// the revision of the lead's claim. What comes is split among the shards as they
// asked. plan names a rollout that they are for; over is called when the request is.
func (m *Member) rent(o offer, shards map[string]int, plan string, over func()) {
	f := &m.fleet
	n := 0
	for s, k := range inOrder(shards) {
		k = min(k, maxRental-n)
		shards[s] = k
		n += k
		f.renting[s]++
	}
	f.requests++
	name := fmt.Sprintf("r-%d-%d", f.rev, f.requests)
	asked, rev, left := m.now.Wall, f.rev, len(shards)
	end := func(s string) {
		if f.rev == rev {
			f.renting[s]--
			f.needsAfter[s] = m.now.Wall + 300
			if left--; left == 0 {
				over()
			}
		}
	}
	endAll := func() {
		for s := range shards {
			end(s)
		}
	}
	refuse := func() { f.refused[o] = m.now.Steady + max(ms(m.types[o.typ].BootS), 5000) }
	var send func(tries int)
	send = func(tries int) {
		m.askCloud(CloudOp{Kind: CloudRent, Request: name, Type: o.typ, Zone: o.zone, Spot: o.spot, Count: n}, func(r CloudResult) {
			switch r.Outcome {
			case OK:
				if len(r.Machines) < n {
					refuse()
				}
				m.Counters.Rented += uint64(len(r.Machines))
				m.log(Info, "machines rented", "type", o.typ, "zone", o.zone, "spot", o.spot, "asked", n, "got", len(r.Machines), "machines", r.Machines)
				ids := r.Machines
				for s, k := range inOrder(shards) {
					// What is missing is missing for all in proportion.
					k = min(len(ids), (k*len(r.Machines)+n-1)/n)
					m.addMachines(ids[:k], o, s, plan, asked, func() { end(s) })
					ids = ids[k:]
				}
			case NotFound:
				m.log(Debug, "no capacity", "type", o.typ, "zone", o.zone, "spot", o.spot)
				refuse()
				endAll()
			case Unknown:
				// The same name gets the same answer, and rents nothing
				// twice.
				if tries > 0 {
					send(tries - 1)
					return
				}
				endAll()
			default:
				f.nextRent = m.now.Steady + 2000
				endAll()
			}
		})
	}
	send(3)
}

// maxRental is the most machines of one request, by the cloud's protocol.
const maxRental = 50
