package availability

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
)

// Summary is a set of sampled functions: the availability of a member's
// machines as its peers see it.
type Summary []Function

// cluster is a function and the ones it was merged from.
type cluster struct {
	f     Function
	parts []Function

	// Its neighbours in the order. One that was merged away is dead; one that
	// took another in has a new version.
	prev, next int
	dead       bool
	version    int
}

// merge is a pair of neighbours that might be merged, as long as neither has
// changed since.
type merge struct {
	i, j   int
	vi, vj int
	loss   float64
}

type merges []merge

func (m merges) Len() int { return len(m) }
func (m merges) Less(i, k int) bool {
	return m[i].loss < m[k].loss || m[i].loss == m[k].loss && m[i].i < m[k].i
}
func (m merges) Swap(i, k int) { m[i], m[k] = m[k], m[i] }
func (m *merges) Push(x any)   { *m = append(*m, x.(merge)) }
func (m *merges) Pop() any {
	o := *m
	x := o[len(o)-1]
	*m = o[:len(o)-1]
	return x
}

// maxParts bounds the functions that a cluster remembers for its distances. The
// paper remembers all of them; beyond this, the cluster's own minimum stands for
// the ones that it already lost against.
const maxParts = 4

// Reduce clusters a summary until it holds at most functions functions of at
// most samples samples: the two functions that lose least by it are merged,
// again and again. Functions of different kinds are never merged, so a summary
// with more kinds than the limit stays above it.
//
// The paper compares every pair. Its cost grows with the cube of the number of
// queues, and a controller of a thousand did nothing else. Here functions are
// put in order by kind, room and time, and only neighbours are compared.
func Reduce(in Summary, functions, samples int, now int64) Summary {
	horizon := now + 1
	for i := range in {
		in[i].Reduce(samples)
		if n := len(in[i].Samples); n > 0 {
			horizon = max(horizon, in[i].Samples[n-1].At)
		}
	}
	slices.SortFunc(in, compare)
	// Equal functions cost nothing to merge.
	cs := make([]cluster, 0, len(in))
	for _, f := range in {
		if n := len(cs); n > 0 && equal(&cs[n-1].f, &f) {
			cs[n-1].f.Count += f.Count
			continue
		}
		cs = append(cs, cluster{f: f, parts: []Function{f}})
	}
	functions = max(functions, 1)
	if len(cs) > coarse*functions {
		cs = mergeRuns(cs, (len(cs)+coarse*functions-1)/(coarse*functions), samples)
	}
	if len(cs) > functions {
		cs = mergeNeighbours(cs, functions, samples, now, horizon)
	}
	out := make(Summary, 0, len(cs))
	for i := range cs {
		if !cs[i].dead {
			out = append(out, cs[i].f)
		}
	}
	return out
}

// coarse is how many times the limit of functions are compared by their
// distances. More than that are first merged in short runs.
const coarse = 2

// mergeRuns merges runs of neighbours of one kind and room that start one after
// the other, without weighing what is lost.
func mergeRuns(cs []cluster, run, samples int) []cluster {
	out := cs[:0]
	n := 0
	for _, c := range cs {
		if k := len(out) - 1; k >= 0 && n < run && out[k].f.Kind == c.f.Kind && out[k].f.Room == c.f.Room {
			out[k].f = Merge(out[k].f, c.f)
			out[k].f.Reduce(samples)
			out[k].parts = []Function{out[k].f}
			n++
			continue
		}
		out = append(out, c)
		n = 1
	}
	return out
}

func mergeNeighbours(cs []cluster, functions, samples int, now, horizon int64) []cluster {
	norm := newNorm(cs, now, horizon)
	var h merges
	offer := func(i, j int) {
		if i < 0 || j < 0 || j >= len(cs) || cs[i].f.Kind != cs[j].f.Kind {
			return
		}
		both := Merge(cs[i].f, cs[j].f)
		d := norm.distance(cs[i].parts, &both) + norm.distance(cs[j].parts, &both)
		heap.Push(&h, merge{i, j, cs[i].version, cs[j].version, d})
	}
	for i := range cs {
		cs[i].prev, cs[i].next = i-1, i+1
	}
	for i := range cs {
		offer(i, i+1)
	}
	for left := len(cs); left > functions && h.Len() > 0; {
		x := heap.Pop(&h).(merge)
		a, b := &cs[x.i], &cs[x.j]
		if a.dead || b.dead || a.version != x.vi || b.version != x.vj {
			continue
		}
		a.f = Merge(a.f, b.f)
		a.f.Reduce(samples)
		a.parts = append(a.parts[:len(a.parts):len(a.parts)], b.parts...)
		if len(a.parts) > maxParts {
			a.parts = []Function{a.f}
		}
		a.version++
		b.dead = true
		a.next = b.next
		if b.next < len(cs) {
			cs[b.next].prev = x.i
		}
		left--
		offer(a.prev, x.i)
		offer(x.i, a.next)
	}
	return cs
}

// compare puts functions that lose little by being merged beside each other.
func compare(f, g Function) int {
	if c := cmp.Or(cmp.Compare(f.Kind, g.Kind), cmp.Compare(f.Room.CPUs, g.Room.CPUs), cmp.Compare(f.Room.GPUs, g.Room.GPUs),
		cmp.Compare(f.Room.MemoryGB, g.Room.MemoryGB), cmp.Compare(f.Room.DiskGB, g.Room.DiskGB)); c != 0 {
		return c
	}
	return slices.CompareFunc(f.Samples, g.Samples, func(a, b Sample) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Free, b.Free))
	})
}

func equal(f, g *Function) bool {
	if f.Kind != g.Kind || f.Room != g.Room || len(f.Samples) != len(g.Samples) {
		return false
	}
	for i := range f.Samples {
		if f.Samples[i] != g.Samples[i] {
			return false
		}
	}
	return true
}

// norm divides each resource's distance by the square of its range, so that
// none dominates.
type norm struct {
	room         Room
	free         float64
	now, horizon int64
}

func newNorm(cs []cluster, now, horizon int64) norm {
	inf := math.Inf(1)
	lo, hi := Room{inf, inf, inf, inf}, Room{}
	free := 0.0
	for _, c := range cs {
		r := c.f.Room
		lo = lo.min(r)
		hi = Room{max(hi.CPUs, r.CPUs), max(hi.GPUs, r.GPUs), max(hi.MemoryGB, r.MemoryGB), max(hi.DiskGB, r.DiskGB)}
		free = max(free, c.f.At(horizon)/1000)
	}
	return norm{Room{hi.CPUs - lo.CPUs, hi.GPUs - lo.GPUs, hi.MemoryGB - lo.MemoryGB, hi.DiskGB - lo.DiskGB}, free, now, horizon}
}

func square(diff, scale float64) float64 {
	if scale <= 0 {
		return 0
	}
	return diff * diff / (scale * scale)
}

func (n norm) distance(parts []Function, h *Function) float64 {
	d := 0.0
	for i := range parts {
		p := &parts[i]
		d += square(p.Room.CPUs-h.Room.CPUs, n.room.CPUs) + square(p.Room.GPUs-h.Room.GPUs, n.room.GPUs) +
			square(p.Room.MemoryGB-h.Room.MemoryGB, n.room.MemoryGB) + square(p.Room.DiskGB-h.Room.DiskGB, n.room.DiskGB)
		if n.free > 0 {
			d += excess(p, h, n.now, n.horizon) / (n.free * n.free)
		}
	}
	return d
}
