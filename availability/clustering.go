package availability

import "container/heap"

// cluster is a function in the order of a round, with the ones that it was merged from.
type cluster struct {
	merged       *node
	sources      []*node
	sourceCounts []int64 // of queues, indexed as sources
	prev, next   int     // its neighbours in the order that are not absorbed
	absorbed     bool    // merged into another
	version      int     // grows with each that it absorbs
}

// mergeCandidate is a pair of neighbours that might be merged, as long as neither has changed since.
type mergeCandidate struct {
	left, right               int
	leftVersion, rightVersion int
	loss                      float64
}

// mergeHeap has the candidate that loses least at its top, the first in order among equals.
type mergeHeap []*mergeCandidate

func (h mergeHeap) Len() int { return len(h) }
func (h mergeHeap) Less(i, k int) bool {
	return h[i].loss < h[k].loss || h[i].loss == h[k].loss && h[i].left < h[k].left
}
func (h mergeHeap) Swap(i, k int) { h[i], h[k] = h[k], h[i] }
func (h *mergeHeap) Push(x any)   { *h = append(*h, x.(*mergeCandidate)) }
func (h *mergeHeap) Pop() any {
	o := *h
	x := o[len(o)-1]
	*h = o[:len(o)-1]
	return x
}

// maxSources bounds the functions that a cluster remembers for its distances. The paper remembers all of them; beyond
// this, the cluster's own minimum stands for the ones that it already lost against.
const maxSources = 4

// mergeLoss is what merging two neighbours loses: the sum over their sources of the paper's distance to the merge,
// ((f-h)/(δ-now+1))² over δ by the functions' points, and of the resources, times the queues that a source stands for.
// The merge itself is made only for those that lose least.
func (r *Reducer) mergeLoss(a, b *cluster) (loss float64) {
	minimum := a.merged.points
	for i := range r.norm.pointCount {
		minimum[i] = min(minimum[i], b.merged.points[i])
	}
	resources := a.merged.function.Resources.componentMin(b.merged.function.Resources)
	for _, side := range [...]*cluster{a, b} {
		for index, source := range side.sources {
			loss += r.norm.distance(source, &minimum, resources) * float64(side.sourceCounts[index])
		}
	}
	return loss
}

// preMergeFactor is how many times the limit of functions are compared by their distances. More than that are first
// merged in short runs.
const preMergeFactor = 8

// mergeRuns merges runs of neighbours of one kind and equal resources, without weighing what is lost. Where a run ends
// depends on the functions near it alone: with runs of one length, one more function would move all that follow.
func (r *Reducer) mergeRuns() []cluster {
	limit := preMergeFactor * r.maxFunctions
	runLength := (len(r.input) + limit - 1) / limit
	minLength, maxLength := (runLength+1)/2, runLength+runLength/2
	clusters := make([]cluster, 0, min(len(r.input), 2*limit))
	length := 0 // of the current run
	for i := range r.input {
		current := r.input[i].node
		if runLength > 1 && length > 0 && length < maxLength && r.continuesRun(i, length, minLength, maxLength) {
			last := &clusters[len(clusters)-1]
			last.merged = r.mergeNodes(last.merged, current)
			last.sources[0] = last.merged
			last.sourceCounts[0] += current.count
			length++
			continue
		}
		clusters = append(clusters, cluster{
			merged:       current,
			sources:      []*node{current},
			sourceCounts: []int64{current.count},
			prev:         len(clusters) - 1,
			next:         len(clusters) + 1,
		})
		length = 1
	}
	return clusters
}

// continuesRun reports whether the ith function belongs to the run of the one before it, which has some length.
func (r *Reducer) continuesRun(i, length, minLength, maxLength int) bool {
	previous := &r.input[i-1]
	endsRun := length >= minLength && previous.hash%uint64(maxLength-minLength+1) == 0
	return !endsRun && previous.rank == r.input[i].rank
}

// merger merges neighbours among clusters, those that lose least first.
type merger struct {
	reducer    *Reducer
	clusters   []cluster
	candidates mergeHeap
	pool       []mergeCandidate // memory of the candidates; it must not grow
}

// mergeNeighbours merges neighbours until the round's limit of functions is met, or only kinds differ.
func (r *Reducer) mergeNeighbours(clusters []cluster) {
	m := merger{
		reducer:    r,
		clusters:   clusters,
		candidates: make(mergeHeap, 0, 2*len(clusters)),
		pool:       make([]mergeCandidate, 0, 3*len(clusters)), // each merge offers two more
	}
	for i := range clusters {
		m.addCandidate(i, i+1)
	}
	for remaining := len(clusters); remaining > r.maxFunctions && m.candidates.Len() > 0; {
		candidate := heap.Pop(&m.candidates).(*mergeCandidate)
		if !m.isCurrent(candidate) {
			continue
		}
		m.merge(candidate.left, candidate.right)
		remaining--
	}
}

// addCandidate offers two clusters for a merge, if there are such and they are of one kind.
func (m *merger) addCandidate(left, right int) {
	if left < 0 || right < 0 || right >= len(m.clusters) {
		return
	}
	a, b := &m.clusters[left], &m.clusters[right]
	if a.merged.function.Kind != b.merged.function.Kind {
		return
	}
	m.pool = append(m.pool, mergeCandidate{left, right, a.version, b.version, m.reducer.mergeLoss(a, b)})
	heap.Push(&m.candidates, &m.pool[len(m.pool)-1])
}

// isCurrent reports whether neither cluster of a candidate has changed since it was offered.
func (m *merger) isCurrent(candidate *mergeCandidate) bool {
	a, b := &m.clusters[candidate.left], &m.clusters[candidate.right]
	isChanged := a.version != candidate.leftVersion || b.version != candidate.rightVersion
	return !a.absorbed && !b.absorbed && !isChanged
}

// merge merges a cluster into its left neighbour, and offers the result to its neighbours.
func (m *merger) merge(left, right int) {
	a, b := &m.clusters[left], &m.clusters[right]
	a.merged = m.reducer.mergeNodes(a.merged, b.merged)
	a.sources, a.sourceCounts = append(a.sources, b.sources...), append(a.sourceCounts, b.sourceCounts...)
	if len(a.sources) > maxSources {
		queues := a.queueCount()
		a.sources, a.sourceCounts = append(a.sources[:0], a.merged), append(a.sourceCounts[:0], queues)
	}
	a.version++
	b.absorbed = true
	a.next = b.next
	if b.next < len(m.clusters) {
		m.clusters[b.next].prev = left
	}
	m.addCandidate(a.prev, left)
	m.addCandidate(left, a.next)
}

// queueCount is how many queues the cluster stands for.
func (c *cluster) queueCount() (n int64) {
	for _, count := range c.sourceCounts {
		n += count
	}
	return n
}
