package availability

// Sample is one point of a sampled l(δ): AvailableMS is l(TimeMS).
type Sample struct {
	TimeMS      int64
	AvailableMS int64
}

// Function is a sampled availability function of Count queues of one Kind, each of which has at least these Resources
// and this availability. Kind is opaque to this package. Only functions of one kind are merged.
type Function struct {
	Kind      string
	Count     int64
	Resources Resources
	Samples   []Sample
}

// interpolate returns the value at a time on the line through two samples.
func interpolate(a, b Sample, timeMS int64) float64 {
	rise, run := float64(b.AvailableMS-a.AvailableMS), float64(b.TimeMS-a.TimeMS)
	return float64(a.AvailableMS) + rise*float64(timeMS-a.TimeMS)/run
}

// AvailableBy interpolates l(δ). It returns 0 before the first sample and the last value after the last sample, so that
// it never promises more than was sampled.
func (f *Function) AvailableBy(deadline int64) float64 {
	s := f.Samples
	if len(s) == 0 || deadline < s[0].TimeMS {
		return 0
	}
	for i := 1; i < len(s); i++ {
		if deadline <= s[i].TimeMS {
			return interpolate(s[i-1], s[i], deadline)
		}
	}
	return float64(s[len(s)-1].AvailableMS)
}

// cursor interpolates a function as AvailableBy does, for deadlines that never decrease.
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
	switch c.next {
	case len(samples):
		return float64(samples[len(samples)-1].AvailableMS)
	case 0:
		return float64(samples[0].AvailableMS)
	}
	return interpolate(samples[c.next-1], samples[c.next], deadline)
}

// TaskCapacity returns the number of tasks of a group, at most limit, that the queues of f can end by a deadline. It is
// floor(l(δ) / length) for each queue, times the number of copies that run side by side.
func (f *Function) TaskCapacity(request Resources, deadline, length int64, limit int) int {
	if !f.Resources.Contains(request) || length <= 0 {
		return 0
	}
	perCopy := int64(f.AvailableBy(deadline)) / length
	n := perCopy * int64(f.Resources.MaxCopies(request, limit)) * f.Count
	return int(min(n, int64(limit)))
}
