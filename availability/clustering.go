package availability

import "container/heap"

// cluster is a function in the order of a round, with the functions that it was merged from.
type cluster struct {
	merged       *node
	sources      []*node
	sourceCounts []int64 // number of queues of each source, in the same order
	prev, next   int     // its nearest neighbours that are not absorbed
	absorbed     bool    // merged into another cluster
	version      int     // incremented with each cluster that it absorbs
}

// mergeCandidate is a pair of neighbours that may be merged if neither has changed since.
type mergeCandidate struct {
	left, right               int
	leftVersion, rightVersion int
	loss                      float64
}

// mergeHeap has the candidate with the smallest loss at its top. Among equals, the first in order is at the top.
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

// maxSources is the maximum number of source functions that a cluster keeps to compute its distances. The paper keeps
// all of them. Beyond this number, the cluster's own minimum replaces its sources.
const maxSources = 4

// mergeLoss returns the loss of merging two neighbours. It is the sum over their sources of the paper's distance to the
// merged function, times the number of queues that a source represents. The distance is ((f-h)/(δ-now+1))² over δ, by
// the functions' points, plus that of the resources. Only the neighbours with the smallest loss are actually merged.
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

// preMergeFactor is the maximum number of functions that are compared by their distances, as a multiple of the limit of
// functions. A larger number is first merged in short runs.
const preMergeFactor = 8

// mergeRuns merges runs of neighbours of one kind with equal resources, without regard to the loss. The end of a run
// depends only on the functions near it. With runs of a fixed length, one more function would shift all later runs.
func (r *Reducer) mergeRuns() []cluster {
	limit := preMergeFactor * r.maxFunctions
	runLength := (len(r.input) + limit - 1) / limit
	minLength, maxLength := (runLength+1)/2, runLength+runLength/2
	clusters := make([]cluster, 0, min(len(r.input), 2*limit))
	length := 0 // length of the current run
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

// continuesRun reports whether the ith function belongs to the run of its predecessor, which has the given length.
func (r *Reducer) continuesRun(i, length, minLength, maxLength int) bool {
	previous := &r.input[i-1]
	endsRun := length >= minLength && previous.hash%uint64(maxLength-minLength+1) == 0
	return !endsRun && previous.rank == r.input[i].rank
}

// merger merges neighbouring clusters in ascending order of loss.
type merger struct {
	reducer    *Reducer
	clusters   []cluster
	candidates mergeHeap
	pool       []mergeCandidate // memory of the candidates; it must not be reallocated
}

// mergeNeighbours merges neighbours until the round's limit of functions is met or all neighbours differ in kind.
func (r *Reducer) mergeNeighbours(clusters []cluster) {
	m := merger{
		reducer:    r,
		clusters:   clusters,
		candidates: make(mergeHeap, 0, 2*len(clusters)),
		pool:       make([]mergeCandidate, 0, 3*len(clusters)), // each merge adds two candidates
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

// addCandidate adds two clusters as a candidate, if both exist and are of one kind.
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

// isCurrent reports whether neither cluster of a candidate has changed since the candidate was added.
func (m *merger) isCurrent(candidate *mergeCandidate) bool {
	a, b := &m.clusters[candidate.left], &m.clusters[candidate.right]
	isChanged := a.version != candidate.leftVersion || b.version != candidate.rightVersion
	return !a.absorbed && !b.absorbed && !isChanged
}

// merge merges a cluster into its left neighbour and adds the result and its neighbours as candidates.
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

// queueCount returns the number of queues that the cluster represents.
func (c *cluster) queueCount() (n int64) {
	for _, count := range c.sourceCounts {
		n += count
	}
	return n
}
