package availability

import "math"

// Sample is one point of a sampled l(δ).
type Sample struct {
	At   int64
	Free int64
}

// Room is what a queue's tasks may take of their machine. The paper has memory
// and disk; processors and accelerators are ours, since the machines here are
// shared by tasks that ask for different parts of them.
type Room struct {
	CPUs     float64 `json:"CPUs" msgpack:"CPUs"`
	GPUs     float64 `json:"GPUs" msgpack:"GPUs"`
	MemoryGB float64 `json:"MemoryGB" msgpack:"MemoryGB"`
	DiskGB   float64 `json:"DiskGB" msgpack:"DiskGB"`
}

// slack absorbs the rounding of sums of decimal amounts.
const slack = 1e-6

// Holds tells whether the room takes a request.
func (r Room) Holds(o Room) bool {
	return o.CPUs <= r.CPUs+slack && o.GPUs <= r.GPUs+slack && o.MemoryGB <= r.MemoryGB+slack && o.DiskGB <= r.DiskGB+slack
}

// Copies is how many requests fit side by side, at most limit. Disk is not
// divided: tasks on one machine share its images.
func (r Room) Copies(o Room, limit int) int {
	n := float64(limit)
	for _, d := range [][2]float64{{r.CPUs, o.CPUs}, {r.GPUs, o.GPUs}, {r.MemoryGB, o.MemoryGB}} {
		if d[1] > 0 {
			n = min(n, math.Floor((d[0]+slack)/d[1]))
		}
	}
	return max(0, int(n))
}

// Add and Sub change a room by a request's processors, accelerators and memory.
func (r Room) Add(o Room) Room {
	r.CPUs += o.CPUs
	r.GPUs += o.GPUs
	r.MemoryGB += o.MemoryGB
	return r
}

// Sub takes a request from the room.
func (r Room) Sub(o Room) Room {
	r.CPUs -= o.CPUs
	r.GPUs -= o.GPUs
	r.MemoryGB -= o.MemoryGB
	return r
}

func (r Room) min(o Room) Room {
	return Room{min(r.CPUs, o.CPUs), min(r.GPUs, o.GPUs), min(r.MemoryGB, o.MemoryGB), min(r.DiskGB, o.DiskGB)}
}

// Function is a sampled availability function of Count queues with the same
// Kind. Kind is opaque here; only functions of one kind are merged.
type Function struct {
	Kind    string
	Count   int64
	Room    Room
	Samples []Sample
}

// At interpolates l(δ): nothing before the first sample, constant after the
// last one, so that it never promises more than was sampled.
func (f *Function) At(t int64) float64 {
	s := f.Samples
	if len(s) == 0 || t < s[0].At {
		return 0
	}
	for i := 1; i < len(s); i++ {
		if t <= s[i].At {
			a, b := s[i-1], s[i]
			return float64(a.Free) + float64(b.Free-a.Free)*float64(t-a.At)/float64(b.At-a.At)
		}
	}
	return float64(s[len(s)-1].Free)
}

// cursor interpolates a function as At does, for times that never go back.
type cursor struct {
	s []Sample
	i int
}

func (c *cursor) at(t int64) float64 {
	s := c.s
	if len(s) == 0 || t < s[0].At {
		return 0
	}
	for c.i < len(s) && s[c.i].At < t {
		c.i++
	}
	switch {
	case c.i == len(s):
		return float64(s[len(s)-1].Free)
	case c.i == 0:
		return float64(s[0].Free)
	}
	a, b := s[c.i-1], s[c.i]
	return float64(a.Free) + float64(b.Free-a.Free)*float64(t-a.At)/float64(b.At-a.At)
}

// Tasks is how many tasks of a group the queues of f can end by deadline:
// floor(l(δ) / length) in each, times the copies that fit side by side.
func (f *Function) Tasks(request Room, deadline, length int64, limit int) int {
	if !f.Room.Holds(request) || length <= 0 {
		return 0
	}
	n := int64(f.At(deadline)) / length * int64(f.Room.Copies(request, limit)) * f.Count
	return int(min(n, int64(limit)))
}

// Merge is the paper's SUM: counts add up, everything else is the minimum, so
// that every queue behind the result has at least what it says.
func Merge(f, g Function) Function {
	var s scratch
	return Function{Kind: f.Kind, Count: f.Count + g.Count, Room: f.Room.min(g.Room), Samples: s.minimum(&f, &g)}
}

// scratch is memory that merges use again: they are most of what a summary costs.
type scratch struct {
	at  []int64
	out []Sample
}

// times returns the sample times of both functions in order, with their
// crossings.
func (s *scratch) times(f, g *Function) []int64 {
	at := s.at[:0]
	cf, cg := cursor{s: f.Samples}, cursor{s: g.Samples}
	before := 0.0 // how far f was above g
	i, j := 0, 0
	for i < len(f.Samples) || j < len(g.Samples) {
		var t int64
		switch {
		case j == len(g.Samples) || (i < len(f.Samples) && f.Samples[i].At <= g.Samples[j].At):
			t = f.Samples[i].At
			i++
		default:
			t = g.Samples[j].At
			j++
		}
		if n := len(at); n > 0 {
			if at[n-1] == t {
				continue
			}
			p := at[n-1]
			d0, d1 := before, cf.at(t)-cg.at(t)
			before = d1
			if d0*d1 < 0 {
				// Both neighbours of the crossing, which may lie
				// between two milliseconds.
				c := p + int64(math.Floor(float64(t-p)*d0/(d0-d1)))
				for _, x := range []int64{c, c + 1} {
					if x > at[len(at)-1] && x < t {
						at = append(at, x)
					}
				}
			}
		} else {
			before = cf.at(t) - cg.at(t)
		}
		at = append(at, t)
	}
	s.at = at
	return at
}

// minimum is the lower of two functions, in the scratch's memory.
func (s *scratch) minimum(f, g *Function) []Sample {
	at := s.times(f, g)
	out := s.out[:0]
	cf, cg := cursor{s: f.Samples}, cursor{s: g.Samples}
	for _, t := range at {
		out = append(out, Sample{At: t, Free: int64(min(cf.at(t), cg.at(t)))})
	}
	// A function that starts later is nothing until then: interpolating
	// towards its first sample must not promise more.
	s.out = out
	start := max(first(f), first(g))
	for len(out) > 1 && out[0].At < start {
		out = out[1:]
	}
	return out
}

func first(f *Function) int64 {
	if len(f.Samples) == 0 {
		return math.MaxInt64
	}
	return f.Samples[0].At
}

// chordCost is what it costs to draw a line over the ith sample, infinite where that would raise
// the function.
func chordCost(s []Sample, i int) float64 {
	a, b, c := s[i-1], s[i], s[i+1]
	chord := float64(a.Free) + float64(c.Free-a.Free)*float64(b.At-a.At)/float64(c.At-a.At)
	if chord > float64(b.Free) {
		return math.Inf(1)
	}
	return (float64(b.Free) - chord) * float64(c.At-a.At)
}

// Reduce drops samples until at most limit are left, each time the one whose
// loss costs least, and never raises the function.
func (f *Function) Reduce(limit int) {
	limit = max(limit, 2)
	if len(f.Samples) <= limit {
		return
	}
	var few [64]float64
	costs := append(few[:0], 0)
	for i := 1; i < len(f.Samples)-1; i++ {
		costs = append(costs, chordCost(f.Samples, i))
	}
	for len(f.Samples) > limit {
		best, cost := -1, math.Inf(1)
		s := f.Samples
		for i := 1; i < len(s)-1; i++ {
			if costs[i] < cost {
				best, cost = i, costs[i]
			}
		}
		if best < 0 {
			// Only bends upwards are left. The line into the bend that
			// costs least is drawn on to the next sample, below what
			// was there.
			best, cost = 1, math.Inf(1)
			var low int64
			for i := 1; i < len(s)-1; i++ {
				a, b, c := s[i-1], s[i], s[i+1]
				v := float64(a.Free) + float64(b.Free-a.Free)*float64(c.At-a.At)/float64(b.At-a.At)
				v = max(0, min(v, float64(c.Free)))
				if v > float64(c.Free) {
					continue
				}
				if e := (float64(c.Free) - v) * float64(c.At-a.At); e < cost {
					best, cost, low = i, e, int64(v)
				}
			}
			s[best+1].Free = low
			// Flooring can leave the chord above the bend by a fraction.
			a, b, c := s[best-1], s[best], s[best+1]
			for c.Free > 0 && float64(a.Free)+float64(c.Free-a.Free)*float64(b.At-a.At)/float64(c.At-a.At) > float64(b.Free) {
				c.Free--
			}
			s[best+1] = c
		}
		f.Samples = append(s[:best], s[best+1:]...)
		costs = append(costs[:best], costs[best+1:]...)
		// What changed is the sample that is gone, and in a bend the one behind it.
		for i := max(best-1, 1); i <= min(best+1, len(f.Samples)-2); i++ {
			costs[i] = chordCost(f.Samples, i)
		}
	}
}
