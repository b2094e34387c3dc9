package availability

import "math"

// Merge is the paper's SUM. It adds the counts and takes the minimum of everything else, so that every queue of the
// result has at least the resulting resources and availability. Both functions must be of one kind.
func Merge(f, g Function) Function {
	var buffers mergeBuffers
	return Function{
		Kind:      f.Kind,
		Count:     f.Count + g.Count,
		Resources: f.Resources.componentMin(g.Resources),
		Samples:   buffers.minimum(&f, &g),
	}
}

// mergeBuffers is memory that merges reuse, since merges are most of the cost of a summary.
type mergeBuffers struct {
	times   []int64
	samples []Sample
}

// mergeTimes returns, sorted, the sample times of both functions and the times at which the functions cross.
func (b *mergeBuffers) mergeTimes(f, g *Function) []int64 {
	times := b.times[:0]
	cursorF, cursorG := cursor{samples: f.Samples}, cursor{samples: g.Samples}
	difference := 0.0 // f minus g at the last time
	i, j := 0, 0
	for i < len(f.Samples) || j < len(g.Samples) {
		var t int64
		if j == len(g.Samples) || (i < len(f.Samples) && f.Samples[i].TimeMS <= g.Samples[j].TimeMS) {
			t = f.Samples[i].TimeMS
			i++
		} else {
			t = g.Samples[j].TimeMS
			j++
		}
		n := len(times)
		if n > 0 && times[n-1] == t {
			continue
		}
		previousDifference := difference
		difference = cursorF.availableBy(t) - cursorG.availableBy(t)
		if n > 0 && previousDifference*difference < 0 {
			times = appendCrossing(times, t, previousDifference, difference)
		}
		times = append(times, t)
	}
	b.times = times
	return times
}

// appendCrossing appends the milliseconds before and after the crossing of two functions. The crossing is the time
// between the last of times and next at which the difference, linear in time, changes sign.
func appendCrossing(times []int64, next int64, previousDifference, difference float64) []int64 {
	previous := times[len(times)-1]
	share := float64(next-previous) * previousDifference / (previousDifference - difference)
	crossing := previous + int64(math.Floor(share))
	for _, t := range [...]int64{crossing, crossing + 1} {
		if t > times[len(times)-1] && t < next {
			times = append(times, t)
		}
	}
	return times
}

// minimum returns the samples of the minimum of two functions, in the buffers' memory. They are valid until the next
// call.
func (b *mergeBuffers) minimum(f, g *Function) []Sample {
	times := b.mergeTimes(f, g)
	samples := b.samples[:0]
	cursorF, cursorG := cursor{samples: f.Samples}, cursor{samples: g.Samples}
	for _, t := range times {
		available := min(cursorF.availableBy(t), cursorG.availableBy(t))
		samples = append(samples, Sample{TimeMS: t, AvailableMS: int64(available)})
	}
	b.samples = samples
	// A function is 0 before its first sample. Interpolation towards that sample must not promise more.
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

// chordCost returns the loss when the line between its neighbours replaces the ith sample. It is infinite if the line
// would raise the function.
func chordCost(s []Sample, i int) float64 {
	a, b, c := s[i-1], s[i], s[i+1]
	chord := interpolate(a, c, b.TimeMS)
	if chord > float64(b.AvailableMS) {
		return math.Inf(1)
	}
	return (float64(b.AvailableMS) - chord) * float64(c.TimeMS-a.TimeMS)
}

// Reduce drops samples until at most limit (at least 2) remain, each time the sample with the smallest loss. It never
// raises the function. It modifies the samples in place.
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
		for i := 1; i < len(f.Samples)-1; i++ {
			if costs[i] < cost {
				best, cost = i, costs[i]
			}
		}
		if best < 0 {
			best = lowerBehindBend(f.Samples)
		}
		f.Samples = append(f.Samples[:best], f.Samples[best+1:]...)
		costs = append(costs[:best], costs[best+1:]...)
		// The costs of the dropped sample's neighbours have changed, and after a bend also the cost of the next
		// sample, since the sample before it was lowered.
		for i := max(best-1, 1); i <= min(best+1, len(f.Samples)-2); i++ {
			costs[i] = chordCost(f.Samples, i)
		}
	}
}

// lowerBehindBend allows a sample to be dropped where the function bends upwards everywhere. It lowers the sample after
// the bend with the smallest loss onto the line into that bend. It returns the index of the bend, which may be dropped.
func lowerBehindBend(samples []Sample) (best int) {
	best, cost := 1, math.Inf(1)
	var lowered int64
	for i := 1; i < len(samples)-1; i++ {
		a, b, c := samples[i-1], samples[i], samples[i+1]
		if c.AvailableMS < 0 {
			continue
		}
		extended := max(0, min(interpolate(a, b, c.TimeMS), float64(c.AvailableMS)))
		if loss := (float64(c.AvailableMS) - extended) * float64(c.TimeMS-a.TimeMS); loss < cost {
			best, cost, lowered = i, loss, int64(extended)
		}
	}
	samples[best+1].AvailableMS = lowered
	// After rounding down, the chord can still be above the bend by a fraction.
	a, b, c := samples[best-1], samples[best], samples[best+1]
	for c.AvailableMS > 0 && interpolate(a, c, b.TimeMS) > float64(b.AvailableMS) {
		c.AvailableMS--
	}
	samples[best+1] = c
	return best
}
