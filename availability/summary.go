package availability

import (
	"cmp"
	"container/heap"
	"math"
	"math/bits"
	"slices"
	"strings"
)

// Summary is a set of sampled functions: the availability of a member's
// machines as its peers see it.
type Summary []Function

// Reducer reduces summaries one after the other, and keeps what it worked out: the samples
// of a queue, the merge of two functions. All of it follows from what is merged alone, so
// that what did not change costs little, and a summary is the same, to the bit, as one
// that is reduced from nothing. What was not used for two rounds is forgotten.
//
// Samples reach to a horizon that moves in steps: with each round's own, everything
// would be new each time.
type Reducer struct {
	CoarseStarts             bool // see Queue
	maxFunctions, maxSamples int
	now, horizon             int64
	norm                     distanceNorm

	groups      map[groupKey]*group
	nodes       memo[uint64, *node]        // by hash of what they are
	queues      memo[uint64, *cachedQueue] // by hash
	mergedPairs memo[[2]*node, *node]

	input      []rankedNode // of the round, each once
	buffers    mergeBuffers
	round      uint64
	Recomputed int // functions and merges that were new in the last round
}

// memo remembers what was asked for in this round or the last one.
type memo[K comparable, V any] struct{ current, previous map[K]V }

func (m *memo[K, V]) nextRound() {
	m.current, m.previous = m.previous, m.current
	clear(m.current)
	if m.current == nil {
		m.current = map[K]V{}
	}
}

func (m *memo[K, V]) get(k K) (V, bool) {
	v, ok := m.current[k]
	if !ok {
		if v, ok = m.previous[k]; ok {
			m.current[k] = v
		}
	}
	return v, ok
}

// groupKey is what is of one kind and room.
type groupKey struct {
	kind      string
	resources Resources
}

// group is what functions of one kind and room share: their place in the order.
type group struct {
	groupKey
	rank      int
	lastRound uint64
}

// rankedNode is a function with what it is put in order by.
type rankedNode struct {
	rank   int
	weight float64
	*node
}

// node is a function that is kept once for as long as it is in use.
type node struct {
	function  Function // its count is nobody's
	group     *group
	hash      uint64
	points    points
	weight    float64 // the weight in the paper's distance
	weighedAt int64   // for which both are
	lastRound uint64
	count     int64 // in this round
}

// cachedQueue is the function of a queue, and what it follows from.
type cachedQueue struct {
	earliestStart int64
	entries       []Entry
	node          *node
}

// points are a function's values at twice the time each, from a second on.
type points [24]float64

// cluster is a function in the order of a round, with the ones that it was merged from.
type cluster struct {
	merged       *node
	sources      []*node
	sourceCounts []int64 // of queues, by part
	prev, next   int
	absorbed     bool // merged away
	version      int  // a new one with each that it took in
}

// mergeCandidate is a pair of neighbours that might be merged, as long as neither has
// changed since.
type mergeCandidate struct {
	left, right               int
	leftVersion, rightVersion int
	loss                      float64
}

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

// maxSources bounds the functions that a cluster remembers for its distances. The
// paper remembers all of them; beyond this, the cluster's own minimum stands for
// the ones that it already lost against.
const maxSources = 4

// horizonSteps is how many steps of its distance the horizon moves in.
const horizonSteps = 256

// Begin starts a round: a summary of at most functions functions of at most samples
// samples, of what queues do between now and span later.
func (r *Reducer) Begin(maxFunctions, maxSamples int, now, span int64) {
	maxFunctions, maxSamples, span = max(maxFunctions, 1), max(maxSamples, 2), max(span, horizonSteps)
	step := span / horizonSteps
	if horizon := now - now%step + span; maxFunctions != r.maxFunctions || maxSamples != r.maxSamples ||
		horizon != r.horizon {
		*r = Reducer{
			CoarseStarts: r.CoarseStarts,
			maxFunctions: maxFunctions,
			maxSamples:   maxSamples,
			horizon:      horizon,
			round:        r.round,
			input:        r.input,
			buffers:      r.buffers,
		}
	}
	r.now = now
	r.round++
	r.Recomputed = 0
	r.nodes.nextRound()
	r.queues.nextRound()
	r.mergedPairs.nextRound()
	r.input = r.input[:0]
	if r.groups == nil {
		r.groups = map[groupKey]*group{}
	}
}

// startGranularity is what part of its distance from now a queue's start may be put off by.
const startGranularity = 16

// roundUpStart puts a start off to the next multiple of a step that grows with its distance. A
// queue that starts later can do no more: l(δ) only falls.
func (r *Reducer) roundUpStart(start int64) int64 {
	ahead := start - r.now
	if ahead <= 0 {
		return start
	}
	step := int64(1) << max(0, bits.Len64(uint64(ahead/startGranularity))-1)
	return (start + step - 1) / step * step
}

// AddQueue adds a queue of a machine of a kind, with room for one task at a time. With Coarse,
// a little of its start is given up: what waits in queues comes from the same few groups, so
// that many are then one and the same.
func (r *Reducer) AddQueue(kind string, resources Resources, q *Queue) {
	if r.CoarseStarts {
		q = &Queue{EarliestStart: r.roundUpStart(q.EarliestStart), entries: q.entries, totalLength: q.totalLength}
	}
	hash := mixHash(hashKind(kind, resources), uint64(q.EarliestStart))
	for _, e := range q.entries {
		hash = mixHash(hash, uint64(e.Deadline)*0x9e3779b97f4a7c15+uint64(e.Length)*0xc2b2ae3d27d4eb4f+uint64(e.Count))
	}
	cached, ok := r.queues.get(hash)
	if !ok || cached.earliestStart != q.EarliestStart || cached.node.function.Resources != resources ||
		cached.node.function.Kind != kind ||
		!slices.Equal(cached.entries, q.entries) {
		f := Function{Kind: kind, Resources: resources, Samples: q.Samples(r.horizon)}
		f.Reduce(r.maxSamples)
		cached = &cachedQueue{q.EarliestStart, slices.Clone(q.entries), r.intern(f)}
		r.queues.current[hash] = cached
	}
	r.countQueues(cached.node, 1)
}

// AddFunction adds a function. Its samples are not changed, nor may the caller change them.
func (r *Reducer) AddFunction(f Function) { r.countQueues(r.intern(f), f.Count) }

func (r *Reducer) countQueues(n *node, queues int64) {
	if n.lastRound != r.round {
		n.lastRound, n.count, n.group.lastRound = r.round, 0, r.round
		r.input = append(r.input, rankedNode{node: n})
	}
	n.count += queues
}

// hashKind is a hash of a kind and a room.
func hashKind(kind string, resources Resources) uint64 {
	h := uint64(len(kind))
	for i := range len(kind) {
		h = h*31 + uint64(kind[i])
	}
	h = mixHash(h, math.Float64bits(resources.CPUs)+math.Float64bits(resources.MemoryGB)*0x9e3779b97f4a7c15)
	return mixHash(h, math.Float64bits(resources.GPUs)+math.Float64bits(resources.DiskGB)*0x9e3779b97f4a7c15)
}

// mixHash folds a number into a hash (Murmur3's finalizer).
func mixHash(h, x uint64) uint64 {
	h ^= x
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	h = (h ^ h>>33) * 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// intern finds the node of a function, reduced to the limit of samples.
func (r *Reducer) intern(f Function) *node {
	if len(f.Samples) > r.maxSamples {
		f.Samples = slices.Clone(f.Samples)
		f.Reduce(r.maxSamples)
	}
	hash := hashKind(f.Kind, f.Resources)
	for _, s := range f.Samples {
		hash = mixHash(hash, uint64(s.TimeMS)*0x9e3779b97f4a7c15+uint64(s.AvailableMS))
	}
	for {
		n, ok := r.nodes.get(hash)
		if !ok {
			break
		}
		if equalFunctions(&n.function, &f) {
			return n
		}
		hash++ // two functions of one hash
	}
	f.Count = 0
	key := groupKey{f.Kind, f.Resources}
	g := r.groups[key]
	if g == nil {
		g = &group{groupKey: key}
		r.groups[key] = g
	}
	f.Samples = slices.Clone(f.Samples)
	n := &node{function: f, hash: hash, group: g, weight: -1}
	r.nodes.current[hash] = n
	r.Recomputed++
	return n
}

// updateWeight takes a function's points. Its mass is the weight in the paper's distance, the integral of
// f/(δ-now+1)². Neighbours in its order are alike both soon and later: in the
// order of first samples, and of what is free at the end, a summary of 300 machines kept 0.31 of what
// their queues end within 100 s, and 0.65 but nothing of what is free at once.
func (r *Reducer) updateWeight(n *node) {
	if n.weighedAt == r.now && n.weight >= 0 {
		return
	}
	n.weighedAt, n.weight = r.now, 0
	c := cursor{samples: n.function.Samples}
	for i, t := 0, int64(1000); t < r.horizon-r.now && i < len(n.points); i, t = i+1, t*2 {
		n.points[i] = c.availableBy(r.now + t)
		n.weight += n.points[i] / float64(t)
	}
}

// mergeNodes is the merge of two functions.
func (r *Reducer) mergeNodes(a, b *node) *node {
	if a == b {
		return a
	}
	pair := [2]*node{a, b}
	n, ok := r.mergedPairs.get(pair)
	if !ok {
		f := Function{
			Kind:      a.function.Kind,
			Resources: a.function.Resources.componentMin(b.function.Resources),
			Samples:   r.buffers.minimum(&a.function, &b.function),
		}
		f.Reduce(r.maxSamples)
		n = r.intern(f)
		r.mergedPairs.current[pair] = n
	}
	r.updateWeight(n)
	return n
}

// mergeLoss is what merging two neighbours loses: the sum over their parts of the paper's distance to the
// merge, ((f-h)/(δ-now+1))² over δ by the functions' points, and of the rooms, times the queues that a part
// stands for. The merge itself is made only for those that lose least.
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

// Summary ends the round: the two functions that lose least by it are merged,
// again and again. Functions of different kinds are never merged, so a summary
// with more kinds than the limit stays above it.
//
// The paper compares every pair. Its cost grows with the cube of the number of
// queues, and a controller of a thousand did nothing else. Here functions are
// put in order by kind, room and weight, and only neighbours are compared; above a few times the
// limit, short runs of neighbours are merged first.
func (r *Reducer) Summary() Summary {
	var groups []*group
	for key, g := range r.groups {
		if g.lastRound < r.round-1 {
			delete(r.groups, key) // its nodes are forgotten next
		} else {
			groups = append(groups, g)
		}
	}
	slices.SortFunc(groups, func(a, b *group) int { return a.compare(&b.groupKey) })
	for i, g := range groups {
		g.rank = i
	}
	for i := range r.input {
		entry := &r.input[i]
		r.updateWeight(entry.node)
		entry.rank, entry.weight = entry.group.rank, entry.node.weight
	}
	slices.SortFunc(r.input, func(a, b rankedNode) int {
		if a.rank != b.rank {
			return a.rank - b.rank
		}
		if a.weight != b.weight {
			return cmp.Compare(a.weight, b.weight)
		}
		return cmp.Compare(a.hash, b.hash)
	})
	r.norm = newDistanceNorm(r.input, r.horizon-r.now)
	clusters := r.mergeRuns()
	if len(clusters) > r.maxFunctions {
		r.mergeNeighbours(clusters)
	}
	summary := make(Summary, 0, min(len(clusters), r.maxFunctions))
	for i := range clusters {
		if p := &clusters[i]; !p.absorbed {
			f := p.merged.function
			for _, n := range p.sourceCounts {
				f.Count += n
			}
			f.Samples = slices.Clone(f.Samples) // whoever takes of it may change it
			summary = append(summary, f)
		}
	}
	return summary
}

// preMergeFactor is how many times the limit of functions are compared by their
// distances. More than that are first merged in short runs.
const preMergeFactor = 8

// mergeRuns merges runs of neighbours of one kind and room, without weighing what is lost. Where a
// run ends hangs on the functions near it alone: with runs of one length, each function more would
// move all that come behind.
func (r *Reducer) mergeRuns() []cluster {
	runLength := (len(r.input) + preMergeFactor*r.maxFunctions - 1) / (preMergeFactor * r.maxFunctions)
	minLength, maxLength := (runLength+1)/2, runLength+runLength/2
	clusters := make([]cluster, 0, min(len(r.input), 2*preMergeFactor*r.maxFunctions))
	n := 0
	for i := range r.input {
		current := r.input[i].node
		if last := len(clusters) - 1; runLength > 1 && n > 0 && n < maxLength &&
			(n < minLength || r.input[i-1].hash%uint64(maxLength-minLength+1) != 0) &&
			r.input[i-1].rank == r.input[i].rank {
			clusters[last].merged = r.mergeNodes(clusters[last].merged, current)
			clusters[last].sources[0] = clusters[last].merged
			clusters[last].sourceCounts[0] += current.count
			n++
			continue
		}
		clusters = append(
			clusters,
			cluster{
				merged:       current,
				sources:      []*node{current},
				sourceCounts: []int64{current.count},
				prev:         len(clusters) - 1,
				next:         len(clusters) + 1,
			},
		)
		n = 1
	}
	return clusters
}

func (r *Reducer) mergeNeighbours(clusters []cluster) {
	candidates := make(mergeHeap, 0, 2*len(clusters))
	pool := make([]mergeCandidate, 0, 3*len(clusters)) // each merge offers two more
	addCandidate := func(i, j int) {
		if i < 0 || j < 0 || j >= len(clusters) || clusters[i].merged.function.Kind != clusters[j].merged.function.Kind {
			return
		}
		pool = append(
			pool,
			mergeCandidate{i, j, clusters[i].version, clusters[j].version, r.mergeLoss(&clusters[i], &clusters[j])},
		)
		heap.Push(&candidates, &pool[len(pool)-1])
	}
	for i := range clusters {
		addCandidate(i, i+1)
	}
	for remaining := len(clusters); remaining > r.maxFunctions && candidates.Len() > 0; {
		candidate := heap.Pop(&candidates).(*mergeCandidate)
		a, b := &clusters[candidate.left], &clusters[candidate.right]
		if a.absorbed || b.absorbed || a.version != candidate.leftVersion || b.version != candidate.rightVersion {
			continue
		}
		a.merged = r.mergeNodes(a.merged, b.merged)
		a.sources, a.sourceCounts = append(a.sources, b.sources...), append(a.sourceCounts, b.sourceCounts...)
		if len(a.sources) > maxSources {
			total := int64(0)
			for _, n := range a.sourceCounts {
				total += n
			}
			a.sources, a.sourceCounts = append(a.sources[:0], a.merged), append(a.sourceCounts[:0], total)
		}
		a.version++
		b.absorbed = true
		a.next = b.next
		if b.next < len(clusters) {
			clusters[b.next].prev = candidate.left
		}
		remaining--
		addCandidate(a.prev, candidate.left)
		addCandidate(candidate.left, a.next)
	}
}

// Reduce clusters a summary until it holds at most functions functions of at
// most samples samples, from nothing.
func Reduce(input Summary, maxFunctions, maxSamples int, now int64) Summary {
	span := int64(horizonSteps)
	for i := range input {
		if n := len(input[i].Samples); n > 0 {
			span = max(span, input[i].Samples[n-1].TimeMS-now)
		}
	}
	var r Reducer
	r.Begin(maxFunctions, maxSamples, now, span)
	for _, f := range input {
		r.AddFunction(f)
	}
	return r.Summary()
}

// compare puts functions that lose little by being merged beside each other, by what
// they are of.
func (k *groupKey) compare(g *groupKey) int {
	return cmp.Or(
		strings.Compare(k.kind, g.kind),
		cmp.Compare(k.resources.CPUs, g.resources.CPUs),
		cmp.Compare(k.resources.GPUs, g.resources.GPUs),
		cmp.Compare(k.resources.MemoryGB, g.resources.MemoryGB),
		cmp.Compare(k.resources.DiskGB, g.resources.DiskGB),
	)
}

func equalFunctions(f, g *Function) bool {
	return f.Kind == g.Kind && f.Resources == g.Resources && slices.Equal(f.Samples, g.Samples)
}

// distanceNorm divides each resource's distance by the square of its range, so that
// none dominates.
type distanceNorm struct {
	resourceRanges Resources
	timeRange      float64 // ms that a queue can be free for
	pointCount     int     // of a function's that are before the horizon
}

func newDistanceNorm(input []rankedNode, span int64) distanceNorm {
	inf := math.Inf(1)
	low, high := Resources{inf, inf, inf, inf}, Resources{}
	for _, n := range input {
		r := n.function.Resources
		low = low.componentMin(r)
		high = Resources{
			max(high.CPUs, r.CPUs),
			max(high.GPUs, r.GPUs),
			max(high.MemoryGB, r.MemoryGB),
			max(high.DiskGB, r.DiskGB),
		}
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
	for t := int64(1000); t < span && n.pointCount < len(points{}); t *= 2 {
		n.pointCount++
	}
	return n
}

func quadraticTerm(diff, scale float64) float64 {
	if scale <= 0 {
		return 0
	}
	return diff * diff / (scale * scale)
}

// distance is how far a function is above points and a room that are nowhere above it. In
// time it is the integral of the square, by one point for each doubling.
func (n *distanceNorm) distance(source *node, minimum *points, resources Resources) float64 {
	resourceDistance := quadraticTerm(
		source.function.Resources.CPUs-resources.CPUs,
		n.resourceRanges.CPUs,
	) + quadraticTerm(
		source.function.Resources.GPUs-resources.GPUs,
		n.resourceRanges.GPUs,
	) +
		quadraticTerm(
			source.function.Resources.MemoryGB-resources.MemoryGB,
			n.resourceRanges.MemoryGB,
		) + quadraticTerm(
		source.function.Resources.DiskGB-resources.DiskGB,
		n.resourceRanges.DiskGB,
	)
	timeMS, timeDistance := 1000.0, 0.0
	for i := range n.pointCount {
		difference := source.points[i] - minimum[i]
		timeDistance += difference * difference / timeMS
		timeMS *= 2
	}
	return resourceDistance + timeDistance/(n.timeRange*n.timeRange)*1000
}
