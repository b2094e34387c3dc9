package planner

import (
	"cmp"
	"errors"
	"flag"
	"fmt"
	"maps"
	"math"
	"reflect"
	"slices"
	"testing"

	"github.com/grebedock/grebedock/availability"
	"pgregory.net/rapid"
)

func init() {
	// The same inputs every time, so that the verdict is the same.
	if err := errors.Join(flag.Set("rapid.seed", "1"), flag.Set("rapid.checks", "1000")); err != nil {
		panic(err)
	}
}

// plain places a group as the package says it does, with a look at every machine: what
// the board's indexes are held against.
type plain struct {
	b    *Board
	have func(at int, image string) bool
}

func (p plain) place(g *Group, share float64) Placement {
	b := p.b
	g.planned, g.placed = nil, 0
	var out Placement
	req := g.Ask.Room()
	type candidate struct {
		m           *Machine
		rank        int
		left        float64
		fetch       int64
		short, open bool
	}
	var all []candidate
	for _, m := range b.ms {
		if !b.cat.Allowed(&g.Ask, m.Kind) || g.Failed[m.ID] > 0 {
			continue
		}
		fetch := b.cat.Fetch(&g.Ask, m.Kind.Type)
		if p.have(m.At, g.Ask.Image) {
			fetch = 0
		}
		c := candidate{m: m, fetch: fetch, short: b.cat.Short(&g.Ask, m.Kind.Type), open: m.Free.Holds(req)}
		dear := g.Ask.Spot && !m.Kind.Spot
		if c.open {
			span := float64(max(g.Due-b.wall, 1000))
			left := (m.Free.CPUs-req.CPUs)/max(b.cat.big.CPUs, 1) + (m.Free.MemoryGB-req.MemoryGB)/max(b.cat.big.MemoryGB, 1)
			c.left = max(left, 0) + float64(g.Due-m.UpAt-g.Length-fetch)/span/4
			c.rank = bit(c.short, 3) | bit(!m.Up, 2) | bit(dear, 1) | bit(fetch != 0, 0)
		} else {
			c.rank = 16 + (bit(c.short, 2) | bit(dear, 1) | bit(fetch != 0, 0))
		}
		all = append(all, c)
	}
	slices.SortStableFunc(all, func(x, y candidate) int {
		return cmp.Or(x.rank-y.rank, cmp.Compare(x.left, y.left), x.m.At-y.m.At)
	})
	spotOnly, aimOnly := false, false
	pass := func(deadline int64, mode Mode) {
		for _, c := range all {
			if g.Left <= 0 {
				return
			}
			if !c.open && mode != Queued || spotOnly && !c.m.Kind.Spot || aimOnly && c.short {
				continue
			}
			limit := min(g.Left, g.zoneRoom(c.m))
			if mode == Fresh && c.m.Up && g.Tight >= g.Due {
				limit = availability.Room{CPUs: b.Spare - b.Reserve}.Copies(availability.Room{CPUs: g.Ask.Request.CPUs}, limit)
			}
			if limit <= 0 {
				continue
			}
			n, now, _ := Fit(c.m, g, c.fetch, deadline, limit, mode)
			g.Left -= n
			if c.m.Up {
				b.Spare -= float64(now) * g.Ask.Request.CPUs
			}
			if (g.OneZone || g.Spread) && n > 0 {
				g.place(c.m, n)
			}
			if !g.Aimed && !g.Gang {
				now = min(now, b.Line)
			}
			if now > 0 && c.m.Up {
				out.Started += now
				b.Line -= now
				out.Starts = append(out.Starts, Start{c.m.At, now, c.fetch})
			}
		}
	}
	total := g.Left
	if g.Gang {
		fits, missing := g.Try == TryGoesOn, 0
		if g.Try == TryNew && !g.Short {
			now, later := 0, 0
			for _, c := range all {
				if !c.open {
					continue
				}
				n := c.m.Free.Copies(req, min(g.Left-now-later, g.zoneRoom(c.m)))
				if c.m.Up {
					now += n
				} else {
					later += n
				}
			}
			fits, missing = now >= g.Left, g.Left-now-later
			out.Gang = fits
		}
		if !fits {
			if missing > 0 {
				out.Needs = append(out.Needs, Need{Count: missing, Deadline: g.Due})
			}
			out.Held, g.Waiting = g.Held, total
			return out
		}
	}
	dear := 0
	tier := func(deadline int64) {
		aimOnly = deadline < g.Due
		if g.Ask.Spot {
			spotOnly = true
			pass(deadline, Fresh)
			pass(deadline, Queued)
			spotOnly = false
			dear += g.Left
		}
		pass(deadline, Fresh)
		pass(deadline, Queued)
		if g.Ask.Spot {
			g.Dear = g.Dear || !aimOnly && dear > 0
			dear -= g.Left
		}
		aimOnly = false
	}
	need := func(n int, deadline int64, spot bool) {
		if !spot {
			n = min(n, g.Askable-out.Started)
			g.Asked = max(g.Asked, n)
		}
		if n > 0 {
			out.Needs = append(out.Needs, Need{n, deadline, spot})
		}
	}
	if g.Tight < g.Due && g.Tight > b.wall {
		tier(g.Tight)
		if b.wall+b.cat.Soonest(&g.Ask)+g.Length <= g.Tight {
			need(g.Left, g.Tight, false)
		}
	}
	tier(g.Due)
	out.Held = g.Left < total
	need(dear, g.Due, true)
	if g.Left > 0 {
		need(g.Left, g.Due, false)
		g.Dear = true
		pass(g.Due, Anyhow)
		for i := 1; i <= lateSteps && g.Left > 0; i++ {
			pass(max(g.Due, b.wall)+int64(float64(g.Due-g.Accepted)*share*float64(i)), Queued)
		}
	}
	g.Waiting = total - out.Started
	return out
}

// shape is a generated shard: machines that come, go and change from round to round, and
// what each round has to place.
type shape struct {
	cat   *Catalog
	seats []*seated
	on    []*seated // on the board, in their places
	ids   int
}

type seated struct {
	id   string
	kind Kind
	up   int64
	out  bool   // not in this round
	run  []Lane // what runs there
	seat *Seat
	keep map[string]bool // the images that it should have
}

const wall0 = int64(1_000_000)

var zones = []string{"a", "b", "c"}

func newShape(t *rapid.T) *shape {
	s := &shape{cat: NewCatalog()}
	for i := range rapid.IntRange(1, 4).Draw(t, "types") {
		cpus := float64(rapid.SampledFrom([]int{4, 8, 16, 64}).Draw(t, "cpus"))
		s.cat.Set(Type{Name: fmt.Sprint("t", i), Room: availability.Room{CPUs: cpus, MemoryGB: cpus * 4, GPUs: float64(i % 2)},
			FetchGBps: rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "fetch"), Boot: 10_000, Zones: zones})
	}
	return s
}

func (s *shape) ask(t *rapid.T) Ask {
	a := Ask{Request: availability.Room{CPUs: rapid.SampledFrom([]float64{0.5, 1, 4, 7, 16}).Draw(t, "request"), MemoryGB: float64(rapid.IntRange(1, 24).Draw(t, "memory")),
		DiskGB: rapid.SampledFrom([]float64{0, 2, 6}).Draw(t, "image size")}, Spot: rapid.Bool().Draw(t, "spot")}
	if rapid.Bool().Draw(t, "has image") {
		a.Image = fmt.Sprint("img", rapid.IntRange(0, 4).Draw(t, "image"))
	}
	switch rapid.IntRange(0, 5).Draw(t, "bound to") {
	case 0:
		a.Zone = rapid.SampledFrom(zones).Draw(t, "zone")
	case 1:
		a.Types = []string{s.cat.list[rapid.IntRange(0, len(s.cat.list)-1).Draw(t, "type")].Name}
	}
	return a
}

func (s *shape) change(t *rapid.T, b *Board, wall int64) {
	for range rapid.IntRange(0, 40).Draw(t, "come") {
		s.ids++
		m := &seated{id: fmt.Sprintf("i-%04d", s.ids), kind: Kind{s.cat.list[rapid.IntRange(0, len(s.cat.list)-1).Draw(t, "type")].Name, rapid.SampledFrom(zones).Draw(t, "zone"), rapid.Bool().Draw(t, "spot")}, seat: b.NewSeat(), keep: map[string]bool{}}
		if rapid.IntRange(0, 4).Draw(t, "boots") == 0 {
			m.up = wall + rapid.Int64Range(1, 30_000).Draw(t, "up")
		}
		s.seats = append(s.seats, m)
	}
	for _, m := range slices.Clone(s.seats) {
		switch rapid.IntRange(0, 9).Draw(t, "machine") {
		case 0:
			m.seat.Leave()
			s.seats = slices.DeleteFunc(s.seats, func(o *seated) bool { return o == m })
		case 1:
			m.run, m.out = nil, !m.out
		case 2:
			name := fmt.Sprint("img", rapid.IntRange(0, 4).Draw(t, "image"))
			m.seat.Keep(name, Image{UsedAt: wall, GB: 4}, 8)
			m.keep[name] = true
			for n := range m.keep {
				m.keep[n] = m.seat.Has(n)
			}
		default:
			if free := s.cat.Type(m.kind.Type).Room; m.up == 0 && rapid.Bool().Draw(t, "runs") {
				for _, l := range m.run {
					free = free.Sub(l.Room)
				}
				l := Lane{Room: availability.Room{CPUs: rapid.SampledFrom([]float64{1, 4, 16}).Draw(t, "lane"), MemoryGB: 2}}
				l.Queue.Reset(wall + rapid.Int64Range(1, 60_000).Draw(t, "ends"))
				if free.Holds(l.Room) {
					m.run = append(m.run, l)
				}
			}
		}
	}
}

func (s *shape) fill(b *Board, wall int64) {
	b.Begin(wall)
	s.on = s.on[:0]
	for _, m := range s.seats {
		if m.out {
			continue
		}
		s.on = append(s.on, m)
		pm := b.Add(m.id, m.kind, m.seat)
		pm.Up, pm.UpAt = m.up <= wall, max(m.up, wall)
		for _, l := range m.run {
			pm.Free = pm.Free.Sub(l.Room)
			pm.AddLane(l.Room, l.Queue.Base)
		}
	}
	b.Done()
}

func (s *shape) groups(t *rapid.T, wall int64) []*Group {
	var out []*Group
	for i := range rapid.IntRange(1, 25).Draw(t, "groups") {
		g := &Group{Ask: s.ask(t), Priority: rapid.IntRange(0, 2).Draw(t, "priority"), Left: rapid.IntRange(1, 40).Draw(t, "tasks"), Name: fmt.Sprint("job", i),
			Length: rapid.Int64Range(100, 90_000).Draw(t, "length"), Accepted: wall - rapid.Int64Range(0, 50_000).Draw(t, "accepted"), Askable: rapid.IntRange(0, 60).Draw(t, "askable")}
		g.Tasks = g.Left + 2
		g.Due = g.Accepted + rapid.Int64Range(1000, 300_000).Draw(t, "due")
		g.Tight = min(g.Due, g.Accepted+rapid.Int64Range(1000, 300_000).Draw(t, "tight"))
		g.Aimed = g.Tight < g.Due && g.Tight-g.Length >= wall
		g.Lost, g.Held, g.Level = rapid.Bool().Draw(t, "lost"), rapid.Bool().Draw(t, "held"), rapid.IntRange(0, 2).Draw(t, "level")
		switch rapid.IntRange(0, 7).Draw(t, "kind") {
		case 0:
			g.Gang, g.Try, g.Short = true, Try(rapid.IntRange(0, 2).Draw(t, "try")), rapid.Bool().Draw(t, "short")
			g.Left = min(g.Left, 4)
		case 1:
			g.OneZone, g.Live = true, map[string]int{rapid.SampledFrom(zones).Draw(t, "runs in"): rapid.IntRange(0, 2).Draw(t, "live")}
		case 2:
			g.Spread, g.Live = true, map[string]int{rapid.SampledFrom(zones).Draw(t, "runs in"): rapid.IntRange(0, 2).Draw(t, "live")}
		}
		if len(s.seats) > 0 && rapid.IntRange(0, 3).Draw(t, "failed") == 0 {
			g.Failed = map[string]int{s.seats[rapid.IntRange(0, len(s.seats)-1).Draw(t, "on")].id: 1}
		}
		out = append(out, g)
	}
	Sort(out, func(g *Group) *Group { return g })
	return out
}

// check holds the bounds of the board against its queues.
func (b *Board) check(t *rapid.T, deadlines []int64) {
	for i := range b.blocks {
		k := b.block(i)
		for _, m := range b.machines(i) {
			f := &b.front[m.At]
			if !k.free.Holds(m.Free) && m.Free.CPUs >= 0 && m.Free.MemoryGB >= 0 {
				t.Fatalf("a block has %+v free, its %s %+v", k.free, m.ID, m.Free)
			}
			for l := range m.Lanes {
				q := &m.Lanes[l].Queue
				for _, d := range deadlines {
					if n := q.Available(d); n > 0 && (!f.lanes.takes(m.Lanes[l].Room, d, n) || !k.lanes.takes(m.Lanes[l].Room, d, n) || !k.kinds[m.kind].takes(m.Lanes[l].Room, d, n) || !q.May(d, n)) {
						t.Fatalf("l(%d) is %d, bounded by %d, %d and %d", d, n, f.lanes.most(d), k.lanes.most(d), k.kinds[m.kind].most(d))
					}
				}
			}
		}
	}
}

// Through rounds in which machines come, go, fill and change their images, a board that
// is used again and again decides what a plain look at every machine decides on a board
// made from nothing: the same starts, needs and queues.
func TestIndexedAsPlain(t *testing.T) {
	starts, queued, gangs, needs := 0, 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		s := newShape(t)
		b := NewBoard(s.cat)
		wall := wall0
		for range rapid.IntRange(1, 4).Draw(t, "rounds") {
			s.change(t, b, wall)
			fresh := NewBoard(s.cat)
			s.fill(b, wall)
			s.fill(fresh, wall) // its seats' places are the same
			s.fill(b, wall)
			ref := plain{fresh, func(at int, image string) bool { return s.on[at].keep[image] }}
			spare := b.Spare * rapid.Float64Range(0, 1).Draw(t, "reserve")
			line := rapid.IntRange(0, 200).Draw(t, "line")
			b.Reserve, fresh.Reserve, b.Line, fresh.Line = spare, spare, line, line
			groups := s.groups(t, wall)
			var asks []Ask
			for _, g := range groups {
				asks = append(asks, g.Ask)
			}
			s.cat.Need(slices.Values(asks))
			var deadlines []int64
			for i, g := range groups {
				deadlines = append(deadlines, g.Due, g.Tight)
				if i%5 == 4 {
					limit := g.Left
					n, want := b.CouldStart(g, limit), 0
					for _, m := range b.ms {
						if s.cat.Allowed(&g.Ask, m.Kind) {
							want += m.Free.Copies(g.Ask.Room(), min(limit-want, g.zoneRoom(m)))
						}
					}
					if n != min(want, limit) {
						t.Fatalf("%d of %d could start, not %d", want, limit, n)
					}
				}
				o := *g
				got, want := b.Place(g, 0.25), ref.place(&o, 0.25)
				if !reflect.DeepEqual(got, want) || g.Left != o.Left || g.Waiting != o.Waiting || g.Dear != o.Dear || g.Asked != o.Asked {
					t.Fatalf("group %d of %+v:\n%+v, %d left\nplain:\n%+v, %d left", i, g.Ask, got, g.Left, want, o.Left)
				}
				for at, m := range b.ms {
					if n := fresh.ms[at]; m.Free != n.Free || !slices.EqualFunc(m.Lanes, n.Lanes, func(x, y Lane) bool {
						return x.Room == y.Room && x.Queue.Base == y.Queue.Base && slices.Equal(x.Queue.Entries(), y.Queue.Entries())
					}) {
						t.Fatalf("%s differs after group %d", m.ID, i)
					}
				}
				if math.Abs(b.Spare-fresh.Spare) > 1e-9 || b.Line != fresh.Line {
					t.Fatalf("%g spare and a line of %d, not %g and %d", b.Spare, b.Line, fresh.Spare, fresh.Line)
				}
				starts += got.Started
				queued += g.Waiting - g.Left
				needs += len(got.Needs)
				if got.Gang {
					gangs++
				}
			}
			b.check(t, deadlines)
			wall += rapid.Int64Range(0, 30_000).Draw(t, "passes")
		}
	})
	if starts < 1000 || queued < 1000 || gangs < 5 || needs < 100 {
		t.Errorf("%d started, %d queued, %d gangs, %d needs: the rounds show too little", starts, queued, gangs, needs)
	}
}

// A block whose bounds say that it can take nothing is not looked at.
func TestFullBlocksAreLeftOut(t *testing.T) {
	b := NewBoard(NewCatalog())
	b.cat.Set(Type{Name: "t", Room: availability.Room{CPUs: 4, MemoryGB: 16}})
	b.Begin(wall0)
	for i := range 3 * blockSize {
		m := b.Add(fmt.Sprint(i), Kind{Type: "t"}, nil)
		m.Up, m.Free = true, availability.Room{}
		m.AddLane(availability.Room{CPUs: 4, MemoryGB: 16}, wall0+int64(i)*100)
	}
	b.Done()
	b.block(0).lanes.end += 20_000 // it has room, and says that it has none
	g := Group{Ask: Ask{Request: availability.Room{CPUs: 4, MemoryGB: 4}}, Left: 5, Length: 1000, Tight: wall0 + 9000, Due: wall0 + 9000, Accepted: wall0}
	if b.Place(&g, 0.25); g.Left != 0 || len(b.ms[0].Lanes[0].Queue.Entries()) != 0 || len(b.ms[blockSize].Lanes[0].Queue.Entries()) == 0 {
		t.Errorf("%d left, and a block that is said to be full was looked at", g.Left)
	}
}

// A machine keeps the images that it used last, as far as its cache holds them.
func TestImagesLeaveTheCache(t *testing.T) {
	b := NewBoard(NewCatalog())
	s := b.NewSeat()
	kept := func() []string { return slices.Sorted(maps.Keys(s.images)) }
	for i, name := range []string{"a", "b", "c"} {
		s.Keep(name, Image{int64(10 + i), 4}, 12)
	}
	s.Keep("a", Image{20, 4}, 12)
	s.Keep("d", Image{21, 7}, 12)
	if got := kept(); !slices.Equal(got, []string{"a", "d"}) {
		t.Errorf("kept: %v", got)
	}
	s.Keep("large", Image{22, 40}, 12)
	if got := kept(); !slices.Equal(got, []string{"large"}) {
		t.Errorf("kept with one that fills it: %v", got)
	}
	if s.Leave(); len(b.have) > 0 || (*Seat)(nil).Has("large") {
		t.Errorf("the board goes on with %v", b.have)
	}
}

// Names of kinds are read back, and what is no name is of no type.
func TestKindNames(t *testing.T) {
	for _, k := range []Kind{{"small", "a", true}, {"large", "b-1", false}, {"a|b", "c", true}} {
		if got := ParseKind(k.Name()); got != k {
			t.Errorf("%+v: read back as %+v", k, got)
		}
	}
	if k := ParseKind("small"); k != (Kind{}) {
		t.Errorf("no name: %+v", k)
	}
}
