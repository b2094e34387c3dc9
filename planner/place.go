package planner

import (
	"cmp"
	"math"
	"slices"

	"github.com/grebedock/grebedock/availability"
)

// Padding is what a task's expected run time is taken times before it waits behind
// another: estimates are often wrong by half.
const Padding = 1.5

// lateSteps is how often a late aim is put off by another share of the span.
const lateSteps = 4

// Mode is which queues of a machine a group may take.
type Mode int

// The modes.
const (
	Every  Mode = iota // new queues on free room, then all queues
	Fresh              // new queues on free room, in time
	Anyhow             // new queues on free room, in time or not
	Queued             // queues that exist
)

// Try is how it stands with the start of a gang.
type Try int

// A gang starts when all of its waiting tasks can, and goes on while its machines are
// told one after the other.
const (
	TryNew Try = iota
	TryGoesOn
	TryWaits
)

// Group is tasks of one job that wait for a machine, with the times that they are
// admitted for.
type Group struct {
	Ask        Ask
	Priority   int
	Left       int // tasks to place
	Tasks      int // of the whole job
	Length     int64
	Accepted   int64
	Tight, Due int64
	Lost       bool // can meet no aim any more; Due is the last one
	Aimed      bool // a start aim or a guarantee waits for it and can still be met
	Within     bool // of its team's guarantee
	Level      int  // how far its team is beyond its guarantee when it comes to it
	Begun      bool // a task of it runs or is done
	First      bool // the first task of a job that waited too long to begin (SplitFirst)
	Held       bool // was admitted before, and keeps its place among its equals
	Name       string
	Lo         int // place in its job

	Gang, OneZone, Spread bool
	Try                   Try
	Short                 bool           // a gang of which not all tasks may start
	Live                  map[string]int // by zone: tasks that run, of jobs that zones bind
	Failed                map[string]int // by machine: how often the job failed there
	Askable               int            // for how many tasks machines may be asked for

	// What placing it says.
	Waiting int  // tasks that do not start now
	Asked   int  // tasks that machines are asked for
	Dear    bool // spot machines' queues do not take all of it in time

	planned map[string]int // by zone: tasks placed
	placed  int
}

// Need is tasks that no machine ends in time.
type Need struct {
	Count    int
	Deadline int64 // time of day, ms
	SpotOnly bool  // ordinary machines serve it, at a higher price
}

// Placement is what becomes of a group.
type Placement struct {
	Started int
	Starts  []Start
	Needs   []Need
	Gang    bool // a gang starts: a new try of it
	Held    bool // some of it has a place in time
}

// zoneRoom is how many tasks of a group its zone constraint allows on a machine,
// counting what the round put elsewhere.
func (g *Group) zoneRoom(m *Machine) int {
	if !g.OneZone && !g.Spread {
		return g.Left
	}
	live, elsewhere := g.Live[m.Kind.Zone], 0
	for z, n := range g.Live {
		if z != m.Kind.Zone {
			elsewhere += n
		}
	}
	here := g.planned[m.Kind.Zone]
	if g.OneZone && (elsewhere > 0 || g.placed > here) {
		return 0
	}
	if g.Spread {
		return max(0, (g.Tasks+1)/2-live-here)
	}
	return g.Left
}

func (g *Group) place(m *Machine, n int) {
	if g.planned == nil {
		g.planned = map[string]int{}
	}
	g.planned[m.Kind.Zone] += n
	g.placed += n
}

// Fit puts as many tasks of the group on the machine as its queues end by
// deadline, with an image that takes fetch there. Tasks that can start now are counted in now, what was looked at in steps.
func Fit(m *Machine, g *Group, fetch, deadline int64, limit int, mode Mode) (n, now, steps int) {
	req := g.Ask.Room()
	length := int64(float64(g.Length)*Padding) + fetch
	room := limit
	// New queues on free room first: they start now.
	for mode != Queued && room > 0 && m.Free.Holds(req) {
		if mode != Anyhow && deadline-m.UpAt < g.Length+fetch {
			break
		}
		l := m.AddLane(req, m.UpAt)
		// The first task needs no padding: nothing waits behind it yet.
		l.Queue.Admit(max(deadline, m.UpAt+g.Length+fetch), g.Length+fetch, 1)
		m.Free = m.Free.Sub(req)
		room--
		n++
		now++
	}
	if mode == Fresh || mode == Anyhow {
		return n, now, 1 + now
	}
	for i := range m.Lanes {
		if room <= 0 {
			break
		}
		steps++
		l := &m.Lanes[i]
		if !l.Queue.May(deadline, length) || !l.Room.Holds(req) {
			continue
		}
		k := int(l.Queue.Admit(deadline, length, int64(room)))
		n += k
		room -= k
	}
	return n, now, 1 + steps + now
}

// use is what a kind of machine is to a group.
type use struct {
	allowed, short, dear bool
	fetch                int64 // where its image is missing
	rank                 int   // of the kind alone

	// Of the kind's machines with room for the group:
	open    int
	booting bool
	soonest int64 // when a task could begin to run on one, the image there
	lanes   bound
}

// uses looks at each kind once for a group.
func (b *Board) uses(g *Group) []use {
	out := b.p.use[:0]
	for _, k := range b.kinds {
		u := use{allowed: b.cat.Allowed(&g.Ask, k.Kind), soonest: math.MaxInt64, lanes: none}
		if u.allowed {
			u.short, u.dear, u.fetch = b.cat.Short(&g.Ask, k.Type), g.Ask.Spot && !k.Spot, b.cat.Fetch(&g.Ask, k.Type)
			u.rank = bit(u.short, 2) | bit(u.dear, 1)
		}
		out = append(out, u)
	}
	b.p.use = out
	return out
}

func bit(b bool, n int) int {
	if b {
		return 1 << n
	}
	return 0
}

// openMachine is a machine with room for the group that is placed.
type openMachine struct {
	m     *Machine
	rank  int
	left  float64
	fetch int64
}

// before tells whether a machine goes before another. It is what most of a placement
// does.
func (a *openMachine) before(o *openMachine) bool {
	if a.rank != o.rank {
		return a.rank < o.rank
	}
	if a.left != o.left {
		return a.left < o.left
	}
	return a.m.At < o.m.At
}

// Placing is a group that looks at a board: the machines with room for it in their
// order, as far as that was asked for.
type Placing struct {
	b    *Board
	g    *Group
	use  []use
	req  availability.Room
	open []openMachine // [:done] in order, the rest a heap
	done int

	holders           *holders
	imaged            bool // on every kind that it may use, its image takes time
	here, lacking     []int
	spotOnly, aimOnly bool
	rules             bool // the reserve holds
	grown             bool // machines with room have new queues
	out               Placement
}

// Look begins to place a group. It is good until the next one's.
//
// The machines with room go in this order: ones that others cannot do
// without last, ones that are up before ones that boot, ones with the image
// before others, then least leftover first, as the paper has it, measured
// against the largest machine. Machines without room are behind them, since
// only their queues matter, in the order of the same ranks.
func (b *Board) Look(g *Group) *Placing {
	p := &b.p
	b.group++
	*p = Placing{b: b, g: g, use: b.uses(g), req: g.Ask.Room(), open: p.open[:0], here: p.here, lacking: p.lacking, imaged: true}
	for i := range p.use {
		if u := &p.use[i]; u.allowed {
			p.imaged = p.imaged && u.fetch != 0
			if u.fetch != 0 && p.holders == nil {
				p.holders = b.holders(g.Ask.Image)
			}
		}
	}
	g.planned, g.placed = nil, 0
	span := float64(max(g.Due-b.wall, 1000))
	big := b.cat.big
	for i := range b.blocks {
		if !b.block(i).free.Holds(p.req) {
			continue
		}
		for _, m := range b.machines(i) {
			b.Steps++
			u := &p.use[m.kind]
			if !u.allowed || !m.Free.Holds(p.req) || len(g.Failed) > 0 && g.Failed[m.ID] > 0 {
				continue
			}
			f := &b.front[m.At]
			f.open = b.group
			fetch := u.fetch
			if fetch != 0 && p.holders.has(m.At) {
				fetch = 0
			}
			u.open++
			u.booting = u.booting || !m.Up
			u.soonest = min(u.soonest, m.UpAt+fetch)
			u.lanes.add(&f.lanes)
			left := (m.Free.CPUs-p.req.CPUs)/max(big.CPUs, 1) + (m.Free.MemoryGB-p.req.MemoryGB)/max(big.MemoryGB, 1)
			p.open = append(p.open, openMachine{m, bit(u.short, 3) | bit(!m.Up, 2) | bit(u.dear, 1) | bit(fetch != 0, 0),
				max(left, 0) + float64(g.Due-m.UpAt-g.Length-fetch)/span/4, fetch})
		}
	}
	for i := len(p.open)/2 - 1; i >= 0; i-- {
		p.sink(i, len(p.open))
	}
	return p
}

// The heap stands backwards in open, its least at the end, so that what leaves it
// stays in the slice: heap place i is open[len-1-i].
func (p *Placing) at(i int) *openMachine { return &p.open[len(p.open)-1-i] }

func (p *Placing) sink(i, n int) {
	for {
		c := 2*i + 1
		if c >= n {
			return
		}
		if c+1 < n && p.at(c+1).before(p.at(c)) {
			c++
		}
		if p.at(i).before(p.at(c)) {
			return
		}
		*p.at(i), *p.at(c) = *p.at(c), *p.at(i)
		i = c
	}
}

// next is the ith machine with room; nil: there are no more. Most groups need
// the first few of hundreds.
func (p *Placing) next(i int) *openMachine {
	if i >= len(p.open) {
		return nil
	}
	for p.done <= i {
		n := len(p.open) - p.done // in the heap
		least, last := p.at(0), p.at(n-1)
		*least, *last = *last, *least
		p.done++
		p.sink(0, n-1)
	}
	return &p.open[i]
}

// Pass admits what is left of the group for a deadline, machine by machine.
func (p *Placing) Pass(deadline int64, mode Mode) {
	g := p.g
	length := int64(float64(g.Length) * Padding)
	for i := 0; g.Left > 0 && (i > 0 || p.worth(deadline, length, mode)); i++ {
		o := p.next(i)
		if o == nil {
			break
		}
		p.b.Steps++
		if mode == Queued && !p.b.front[o.m.At].lanes.takes(p.req, deadline, length+o.fetch) {
			continue
		}
		p.try(o.m, o.fetch, deadline, mode)
	}
	if mode == Queued {
		p.closed(deadline, length)
	}
}

// passes tells whether a pass leaves a kind of machines out.
func (p *Placing) passes(kind int) bool {
	u := &p.use[kind]
	return !u.allowed || p.spotOnly && !p.b.kinds[kind].Spot || p.aimOnly && u.short
}

// worth tells whether any machine with room may take a task in a pass. Without it, each
// pass for an aim that is too near put all of them in order.
func (p *Placing) worth(deadline, length int64, mode Mode) bool {
	b, g := p.b, p.g
	kept := p.rules && mode == Fresh && g.Tight >= g.Due &&
		availability.Room{CPUs: b.Spare - b.Reserve}.Copies(availability.Room{CPUs: g.Ask.Request.CPUs}, 1) == 0
	for i := range p.use {
		u := &p.use[i]
		if u.open == 0 || p.passes(i) {
			continue
		}
		switch mode {
		case Fresh:
			if deadline-u.soonest >= g.Length && (!kept || u.booting) {
				return true
			}
		case Queued:
			if p.grown || u.lanes.takes(p.req, deadline, length) {
				return true
			}
		default:
			return true
		}
	}
	return false
}

// closed admits to the queues of machines that had no room: those of lower ranks first,
// those that have the image before others, then by their places.
func (p *Placing) closed(deadline, length int64) {
	g := p.g
	for rank := 0; rank < 8 && g.Left > 0; rank += 2 {
		p.here, p.lacking = p.here[:0], p.lacking[:0]
		lack := int64(math.MaxInt64)
		for i := range p.use {
			if u := &p.use[i]; u.rank == rank && !p.passes(i) {
				if u.fetch == 0 || p.holders != nil {
					p.here = append(p.here, i)
				}
				if u.fetch != 0 {
					p.lacking = append(p.lacking, i)
					lack = min(lack, u.fetch)
				}
			}
		}
		if len(p.here) > 0 {
			p.scan(p.here, deadline, length, true)
		}
		if len(p.lacking) > 0 {
			p.scan(p.lacking, deadline, length+lack, false)
		}
	}
}

// scan admits to the queues of machines of some kinds that had no room, those that have
// the image or those that lack it. No such task takes less than least.
func (p *Placing) scan(kinds []int, deadline, least int64, here bool) {
	b, g := p.b, p.g
	length := int64(float64(g.Length) * Padding)
	// at looks at one machine.
	at := func(i int) {
		b.Steps++
		f := &b.front[i]
		u := &p.use[f.kind]
		if f.open == b.group || !f.lanes.takes(p.req, deadline, least) || !slices.Contains(kinds, int(f.kind)) {
			return
		}
		fetch := u.fetch
		if fetch != 0 && p.holders.has(i) {
			fetch = 0
		}
		if (fetch == 0) != here || f.lanes.most(deadline) < length+fetch {
			return
		}
		m := b.ms[i]
		if len(g.Failed) == 0 || g.Failed[m.ID] == 0 {
			p.try(m, fetch, deadline, Queued)
		}
	}
	if here && p.imaged {
		for _, i := range p.holders.places {
			if g.Left <= 0 {
				return
			}
			at(int(i))
		}
		return
	}
	for i := 0; i < len(b.blocks) && g.Left > 0; i++ {
		k := b.block(i)
		if !k.lanes.takes(p.req, deadline, least) || !slices.ContainsFunc(kinds, func(kind int) bool { return k.kinds[kind].takes(p.req, deadline, least) }) {
			continue
		}
		for a := i * blockSize; a < min((i+1)*blockSize, len(b.ms)) && g.Left > 0; a++ {
			at(a)
		}
	}
}

func (p *Placing) try(m *Machine, fetch, deadline int64, mode Mode) {
	b, g := p.b, p.g
	if p.passes(m.kind) {
		return
	}
	limit := min(g.Left, g.zoneRoom(m))
	if p.rules && mode == Fresh && m.Up && g.Tight >= g.Due {
		limit = availability.Room{CPUs: b.Spare - b.Reserve}.Copies(availability.Room{CPUs: g.Ask.Request.CPUs}, limit)
	}
	if limit <= 0 {
		return
	}
	n, now, steps := Fit(m, g, fetch, deadline, limit, mode)
	b.Steps += steps
	if n == 0 {
		return
	}
	b.changed(m)
	p.grown = p.grown || mode != Queued
	g.Left -= n
	if m.Up {
		b.Spare -= float64(now) * g.Ask.Request.CPUs
	}
	if g.OneZone || g.Spread {
		g.place(m, n)
	}
	if !p.rules {
		return
	}
	if !g.Aimed && !g.Gang {
		now = min(now, b.Line) // the rest when the line lets it
	}
	if now > 0 && m.Up {
		p.out.Started += now
		b.Line -= now
		p.out.Starts = append(p.out.Starts, Start{m.At, now, fetch})
	}
}

// Place admits a group to the machines: what starts now, what waits in a queue, and
// for what there is neither in time. share is the part of its span by which an aim that
// is late is put off.
func (b *Board) Place(g *Group, share float64) Placement {
	p := b.Look(g)
	p.rules = true
	total := g.Left
	if g.Gang {
		if fits, missing := p.gang(); !fits {
			if missing > 0 {
				p.out.Needs = append(p.out.Needs, Need{Count: missing, Deadline: g.Due})
			}
			p.out.Held, g.Waiting = g.Held, total
			return p.out
		}
	}
	// Free room is taken on every machine before a queue is: a task that
	// waits behind another while a machine is idle only risks its deadline.
	put := func(deadline int64) {
		p.Pass(deadline, Fresh)
		p.Pass(deadline, Queued)
	}
	dear := 0
	// tier admits for one deadline, on spot machines first. Ordinary machines
	// cost several times as much: what only they can take is worth a spot
	// machine, and starts there meanwhile.
	tier := func(deadline int64) {
		// A start aim alone is not worth a machine that others cannot do
		// without.
		p.aimOnly = deadline < g.Due
		if g.Ask.Spot {
			p.spotOnly = true
			put(deadline)
			p.spotOnly = false
			dear += g.Left
		}
		put(deadline)
		if g.Ask.Spot {
			g.Dear = g.Dear || !p.aimOnly && dear > 0
			dear -= g.Left
		}
		p.aimOnly = false
	}
	need := func(n int, deadline int64, spotOnly bool) {
		if !spotOnly {
			n = min(n, g.Askable-p.out.Started)
			g.Asked = max(g.Asked, n)
		}
		if n > 0 {
			p.out.Needs = append(p.out.Needs, Need{n, deadline, spotOnly})
		}
	}
	if g.Tight < g.Due && g.Tight > b.wall {
		tier(g.Tight)
		if b.wall+b.cat.Soonest(&g.Ask)+g.Length <= g.Tight {
			// A machine that comes up in time serves the aim; until it
			// does, these tasks may wait in a queue that ends in time.
			need(g.Left, g.Tight, false)
		}
	}
	tier(g.Due)
	p.out.Held = g.Left < total
	need(dear, g.Due, true)
	if g.Left > 0 {
		need(g.Left, g.Due, false)
		g.Dear = true
		// No machine can end them in time. They start where there is room now,
		// and aim late by a share of the span for the rest.
		p.Pass(g.Due, Anyhow)
		span := float64(g.Due - g.Accepted)
		for i := 1; i <= lateSteps && g.Left > 0; i++ {
			p.Pass(max(g.Due, b.wall)+int64(span*share*float64(i)), Queued)
		}
	}
	g.Waiting = total - p.out.Started
	return p.out
}

// gang tells whether all of a gang's waiting tasks can start now: one that
// waits for its mates holds its machine for nothing. What is left of an earlier
// try must be gone first. missing is how many have no room even on the machines
// that boot.
func (p *Placing) gang() (fits bool, missing int) {
	g := p.g
	if g.Try != TryNew || g.Short {
		return g.Try == TryGoesOn, 0
	}
	now, later := 0, 0
	for i := 0; ; i++ {
		o := p.next(i)
		if o == nil {
			break
		}
		n := o.m.Free.Copies(p.req, min(g.Left-now-later, g.zoneRoom(o.m)))
		if o.m.Up {
			now += n
		} else {
			later += n
		}
	}
	p.out.Gang = now >= g.Left
	return p.out.Gang, g.Left - now - later
}

// Sort puts groups in the order in which they are placed: higher priority first; within one, the first
// tasks of jobs that waited too long to begin, then what can meet an aim before what can't, then what is within its team's guarantee, then by its team's level; what was admitted
// keeps its place, then earliest deadline, then arrival.
func Sort[G any](gs []G, of func(G) *Group) {
	slices.SortFunc(gs, func(x, y G) int { return of(x).compare(of(y)) })
}

func (g *Group) compare(o *Group) int {
	first := func(a, b bool) int { return bit(b, 0) - bit(a, 0) }
	return cmp.Or(
		o.Priority-g.Priority,
		first(g.First, o.First),
		// One that can meet no aim any more must not cost others theirs.
		first(!g.Lost, !o.Lost),
		// What is free goes to guarantees first: otherwise it goes to others,
		// who are then stopped.
		first(g.Within, o.Within),
		g.Level-o.Level,
		first(g.Held, o.Held),
		cmp.Compare(g.Due, o.Due),
		cmp.Compare(g.Accepted, o.Accepted),
		cmp.Compare(g.Name, o.Name),
		g.Lo-o.Lo)
}
