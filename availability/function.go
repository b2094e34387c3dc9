package availability

import "math"

// Sample is one point of a sampled l(δ).
type Sample struct {
	TimeMS      int64
	AvailableMS int64
}

// Resources is what a queue's tasks may take of their machine. The paper has memory
// and disk; processors and accelerators are ours, since the machines here are
// shared by tasks that ask for different parts of them.
type Resources struct {
	CPUs     float64 `json:"CPUs"     msgpack:"CPUs"`
	GPUs     float64 `json:"GPUs"     msgpack:"GPUs"`
	MemoryGB float64 `json:"MemoryGB" msgpack:"MemoryGB"`
	DiskGB   float64 `json:"DiskGB"   msgpack:"DiskGB"`
}

// roundingTolerance absorbs the rounding of sums of decimal amounts.
const roundingTolerance = 1e-6

// Contains tells whether the room takes a request.
func (r Resources) Contains(request Resources) bool {
	return request.CPUs <= r.CPUs+roundingTolerance && request.GPUs <= r.GPUs+roundingTolerance &&
		request.MemoryGB <= r.MemoryGB+roundingTolerance &&
		request.DiskGB <= r.DiskGB+roundingTolerance
}

// MaxCopies is how many requests fit side by side, at most limit. Disk is not
// divided: tasks on one machine share its images.
func (r Resources) MaxCopies(request Resources, limit int) int {
	n := float64(limit)
	for _, dimension := range [][2]float64{{r.CPUs, request.CPUs}, {r.GPUs, request.GPUs}, {r.MemoryGB, request.MemoryGB}} {
		if dimension[1] > 0 {
			n = min(n, math.Floor((dimension[0]+roundingTolerance)/dimension[1]))
		}
	}
	return max(0, int(n))
}

// Add and Sub change a room by a request's processors, accelerators and memory.
func (r Resources) Add(request Resources) Resources {
	r.CPUs += request.CPUs
	r.GPUs += request.GPUs
	r.MemoryGB += request.MemoryGB
	return r
}

// Sub takes a request from the room.
func (r Resources) Sub(request Resources) Resources {
	r.CPUs -= request.CPUs
	r.GPUs -= request.GPUs
	r.MemoryGB -= request.MemoryGB
	return r
}

func (r Resources) componentMin(other Resources) Resources {
	return Resources{
		min(r.CPUs, other.CPUs),
		min(r.GPUs, other.GPUs),
		min(r.MemoryGB, other.MemoryGB),
		min(r.DiskGB, other.DiskGB),
	}
}

// Function is a sampled availability function of Count queues with the same
// Kind. Kind is opaque here; only functions of one kind are merged.
type Function struct {
	Kind      string
	Count     int64
	Resources Resources
	Samples   []Sample
}

// AvailableBy interpolates l(δ): nothing before the first sample, constant after the
// last one, so that it never promises more than was sampled.
func (f *Function) AvailableBy(deadline int64) float64 {
	s := f.Samples
	if len(s) == 0 || deadline < s[0].TimeMS {
		return 0
	}
	for i := 1; i < len(s); i++ {
		if deadline <= s[i].TimeMS {
			a, b := s[i-1], s[i]
			return float64(
				a.AvailableMS,
			) + float64(
				b.AvailableMS-a.AvailableMS,
			)*float64(
				deadline-a.TimeMS,
			)/float64(
				b.TimeMS-a.TimeMS,
			)
		}
	}
	return float64(s[len(s)-1].AvailableMS)
}

// cursor interpolates a function as At does, for times that never go back.
type cursor struct {
	samples []Sample
	next    int
}

func (c *cursor) availableBy(deadline int64) float64 {
	samples := c.samples
	if len(samples) == 0 || deadline < samples[0].TimeMS {
		return 0
	}
	for c.next < len(samples) && samples[c.next].TimeMS < deadline {
		c.next++
	}
	switch {
	case c.next == len(samples):
		return float64(samples[len(samples)-1].AvailableMS)
	case c.next == 0:
		return float64(samples[0].AvailableMS)
	}
	a, b := samples[c.next-1], samples[c.next]
	return float64(
		a.AvailableMS,
	) + float64(
		b.AvailableMS-a.AvailableMS,
	)*float64(
		deadline-a.TimeMS,
	)/float64(
		b.TimeMS-a.TimeMS,
	)
}

// TaskCapacity is how many tasks of a group the queues of f can end by deadline:
// floor(l(δ) / length) in each, times the copies that fit side by side.
func (f *Function) TaskCapacity(request Resources, deadline, length int64, limit int) int {
	if !f.Resources.Contains(request) || length <= 0 {
		return 0
	}
	n := int64(f.AvailableBy(deadline)) / length * int64(f.Resources.MaxCopies(request, limit)) * f.Count
	return int(min(n, int64(limit)))
}

// Merge is the paper's SUM: counts add up, everything else is the minimum, so
// that every queue behind the result has at least what it says.
func Merge(f, g Function) Function {
	var s mergeBuffers
	return Function{
		Kind:      f.Kind,
		Count:     f.Count + g.Count,
		Resources: f.Resources.componentMin(g.Resources),
		Samples:   s.minimum(&f, &g),
	}
}

// mergeBuffers is memory that merges use again: they are most of what a summary costs.
type mergeBuffers struct {
	times   []int64
	samples []Sample
}

// mergeTimes returns the sample times of both functions in order, with their
// crossings.
func (b *mergeBuffers) mergeTimes(f, g *Function) []int64 {
	times := b.times[:0]
	cursorF, cursorG := cursor{samples: f.Samples}, cursor{samples: g.Samples}
	difference := 0.0 // how far f was above g
	i, j := 0, 0
	for i < len(f.Samples) || j < len(g.Samples) {
		var t int64
		switch {
		case j == len(g.Samples) || (i < len(f.Samples) && f.Samples[i].TimeMS <= g.Samples[j].TimeMS):
			t = f.Samples[i].TimeMS
			i++
		default:
			t = g.Samples[j].TimeMS
			j++
		}
		if n := len(times); n > 0 {
			if times[n-1] == t {
				continue
			}
			previous := times[n-1]
			d0, d1 := difference, cursorF.availableBy(t)-cursorG.availableBy(t)
			difference = d1
			if d0*d1 < 0 {
				// Both neighbours of the crossing, which may lie
				// between two milliseconds.
				crossing := previous + int64(math.Floor(float64(t-previous)*d0/(d0-d1)))
				for _, x := range []int64{crossing, crossing + 1} {
					if x > times[len(times)-1] && x < t {
						times = append(times, x)
					}
				}
			}
		} else {
			difference = cursorF.availableBy(t) - cursorG.availableBy(t)
		}
		times = append(times, t)
	}
	b.times = times
	return times
}

// minimum is the lower of two functions, in the scratch's memory.
func (b *mergeBuffers) minimum(f, g *Function) []Sample {
	times := b.mergeTimes(f, g)
	samples := b.samples[:0]
	cursorF, cursorG := cursor{samples: f.Samples}, cursor{samples: g.Samples}
	for _, t := range times {
		samples = append(samples, Sample{TimeMS: t, AvailableMS: int64(min(cursorF.availableBy(t), cursorG.availableBy(t)))})
	}
	// A function that starts later is nothing until then: interpolating
	// towards its first sample must not promise more.
	b.samples = samples
	start := max(firstSampleTime(f), firstSampleTime(g))
	for len(samples) > 1 && samples[0].TimeMS < start {
		samples = samples[1:]
	}
	return samples
}

func firstSampleTime(f *Function) int64 {
	if len(f.Samples) == 0 {
		return math.MaxInt64
	}
	return f.Samples[0].TimeMS
}

// chordCost is what it costs to draw a line over the ith sample, infinite where that would raise
// the function.
func chordCost(s []Sample, i int) float64 {
	a, b, c := s[i-1], s[i], s[i+1]
	chord := float64(
		a.AvailableMS,
	) + float64(
		c.AvailableMS-a.AvailableMS,
	)*float64(
		b.TimeMS-a.TimeMS,
	)/float64(
		c.TimeMS-a.TimeMS,
	)
	if chord > float64(b.AvailableMS) {
		return math.Inf(1)
	}
	return (float64(b.AvailableMS) - chord) * float64(c.TimeMS-a.TimeMS)
}

// Reduce drops samples until at most limit are left, each time the one whose
// loss costs least, and never raises the function.
func (f *Function) Reduce(limit int) {
	limit = max(limit, 2)
	if len(f.Samples) <= limit {
		return
	}
	var buffer [64]float64
	costs := append(buffer[:0], 0)
	for i := 1; i < len(f.Samples)-1; i++ {
		costs = append(costs, chordCost(f.Samples, i))
	}
	for len(f.Samples) > limit {
		best, cost := -1, math.Inf(1)
		samples := f.Samples
		for i := 1; i < len(samples)-1; i++ {
			if costs[i] < cost {
				best, cost = i, costs[i]
			}
		}
		if best < 0 {
			// Only bends upwards are left. The line into the bend that
			// costs least is drawn on to the next sample, below what
			// was there.
			best, cost = 1, math.Inf(1)
			var lowered int64
			for i := 1; i < len(samples)-1; i++ {
				a, b, c := samples[i-1], samples[i], samples[i+1]
				extended := float64(
					a.AvailableMS,
				) + float64(
					b.AvailableMS-a.AvailableMS,
				)*float64(
					c.TimeMS-a.TimeMS,
				)/float64(
					b.TimeMS-a.TimeMS,
				)
				extended = max(0, min(extended, float64(c.AvailableMS)))
				if extended > float64(c.AvailableMS) {
					continue
				}
				if loss := (float64(c.AvailableMS) - extended) * float64(c.TimeMS-a.TimeMS); loss < cost {
					best, cost, lowered = i, loss, int64(extended)
				}
			}
			samples[best+1].AvailableMS = lowered
			// Flooring can leave the chord above the bend by a fraction.
			a, b, c := samples[best-1], samples[best], samples[best+1]
			for c.AvailableMS > 0 && float64(a.AvailableMS)+float64(c.AvailableMS-a.AvailableMS)*float64(b.TimeMS-a.TimeMS)/float64(c.TimeMS-a.TimeMS) > float64(b.AvailableMS) {
				c.AvailableMS--
			}
			samples[best+1] = c
		}
		f.Samples = append(samples[:best], samples[best+1:]...)
		costs = append(costs[:best], costs[best+1:]...)
		// What changed is the sample that is gone, and in a bend the one behind it.
		for i := max(best-1, 1); i <= min(best+1, len(f.Samples)-2); i++ {
			costs[i] = chordCost(f.Samples, i)
		}
	}
}
