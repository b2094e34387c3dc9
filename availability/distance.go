package availability

import "math"

// points are a function's values at times from now that double from one to the next, from a second on.
type points [24]float64

// firstPointMS is how long from now the first of points is, in ms.
const firstPointMS = 1000

// distanceNorm divides each resource's distance by the square of its range in a round, so that none dominates.
type distanceNorm struct {
	resourceRanges Resources
	timeRange      float64 // ms that a queue can be free for: up to the horizon
	pointCount     int     // of points, before the horizon
}

func newDistanceNorm(input []rankedNode, span int64) distanceNorm {
	inf := math.Inf(1)
	low, high := Resources{inf, inf, inf, inf}, Resources{}
	for _, n := range input {
		r := n.function.Resources
		low = low.componentMin(r)
		high = high.componentMax(r)
	}
	n := distanceNorm{
		resourceRanges: Resources{
			high.CPUs - low.CPUs,
			high.GPUs - low.GPUs,
			high.MemoryGB - low.MemoryGB,
			high.DiskGB - low.DiskGB,
		},
		timeRange: float64(span),
	}
	for t := int64(firstPointMS); t < span && n.pointCount < len(points{}); t *= 2 {
		n.pointCount++
	}
	return n
}

// quadraticTerm is the square of a difference as a share of a scale; 0 where all are equal and the scale is 0.
func quadraticTerm(diff, scale float64) float64 {
	if scale <= 0 {
		return 0
	}
	return diff * diff / (scale * scale)
}

// distance is how far a function is above a minimum of it and others, given by points and resources that are nowhere
// above the function's. In time it is the integral of the square, by one point for each doubling.
func (n *distanceNorm) distance(source *node, minimum *points, resources Resources) float64 {
	from, scale := &source.function.Resources, &n.resourceRanges
	resourceDistance := quadraticTerm(from.CPUs-resources.CPUs, scale.CPUs) +
		quadraticTerm(from.GPUs-resources.GPUs, scale.GPUs) +
		quadraticTerm(from.MemoryGB-resources.MemoryGB, scale.MemoryGB) +
		quadraticTerm(from.DiskGB-resources.DiskGB, scale.DiskGB)
	timeMS, timeDistance := float64(firstPointMS), 0.0
	for i := range n.pointCount {
		difference := source.points[i] - minimum[i]
		timeDistance += difference * difference / timeMS
		timeMS *= 2
	}
	return resourceDistance + timeDistance/(n.timeRange*n.timeRange)*firstPointMS
}
