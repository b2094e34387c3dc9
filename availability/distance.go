package availability

import "math"

// points are a function's values at times after now. The first is one second after now, and each doubles the last.
type points [24]float64

// firstPointMS is the time of the first of points after now, in ms.
const firstPointMS = 1000

// distanceNorm normalizes the distance of each resource by the square of its range in a round, so that none dominates.
type distanceNorm struct {
	resourceRanges Resources
	timeRange      float64 // longest free time of a queue, up to the horizon, in ms
	pointCount     int     // number of points before the horizon
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

// quadraticTerm returns the square of diff/scale, or 0 if the scale is 0 because all values are equal.
func quadraticTerm(diff, scale float64) float64 {
	if scale <= 0 {
		return 0
	}
	return diff * diff / (scale * scale)
}

// distance returns the distance of a function from a minimum of it and others. The points and resources of the minimum
// never exceed those of the function. The distance in time is the integral of the square, with one point per doubling.
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
