package availability

import (
	"cmp"
	"math/bits"
	"slices"
	"strings"
)

// Reducer reduces summaries in successive rounds and caches the samples of queues and the merges of pairs of functions.
// Cached values depend only on their inputs, so unchanged queues cost little, and a summary is bit-identical to one
// that is computed without a cache. Values that were not used for two rounds are evicted. The zero value is ready to
// use. In each round, call Begin, then AddQueue and AddFunction, then Summary.
//
// Samples reach up to a horizon that moves in steps. If each round had its own horizon, it would recompute everything.
type Reducer struct {
	CoarseStarts bool // see AddQueue
	Recomputed   int  // number of functions and merges computed in the last round

	maxFunctions, maxSamples int
	now, horizon             int64
	round                    uint64
	norm                     distanceNorm

	groups      map[groupKey]*group
	nodes       memo[uint64, *node]        // keyed by hashFunction, or by the next free key
	queues      memo[uint64, *cachedQueue] // keyed by hashQueue
	mergedPairs memo[[2]*node, *node]

	input   []rankedNode // the distinct functions of the round
	buffers mergeBuffers
}

// memo is a cache of the values that were looked up in this round or the last one.
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

// groupKey identifies the functions of one kind with equal resources.
type groupKey struct {
	kind      string
	resources Resources
}

// group is the functions of one kind with equal resources, which are adjacent in the order.
type group struct {
	groupKey
	rank      int
	lastRound uint64
}

// rankedNode is a function with its sort keys, contiguous in memory.
type rankedNode struct {
	rank   int
	weight float64
	*node
}

// node is a function that is stored once for as long as it is in use.
type node struct {
	function  Function // its Count is 0
	group     *group
	hash      uint64 // key in Reducer.nodes
	points    points
	weight    float64 // weight in the paper's distance; negative: not computed yet
	weighedAt int64   // the time for which points and weight are computed
	lastRound uint64
	count     int64 // number of queues in the last round
}

// cachedQueue is the function of a queue and the inputs that it is computed from.
type cachedQueue struct {
	earliestStart int64
	entries       []Entry
	node          *node
}

// horizonSteps divides the span from now to the horizon into the steps in which the horizon moves.
const horizonSteps = 256

// Begin starts a round for a summary of at most maxFunctions functions with at most maxSamples samples each. The
// summary covers the time from now to a span later.
func (r *Reducer) Begin(maxFunctions, maxSamples int, now, span int64) {
	maxFunctions, maxSamples, span = max(maxFunctions, 1), max(maxSamples, 2), max(span, horizonSteps)
	step := span / horizonSteps
	horizon := now - now%step + span
	if maxFunctions != r.maxFunctions || maxSamples != r.maxSamples || horizon != r.horizon {
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

// startGranularity is the divisor of the time from now to a queue's start that gives the maximum delay of the start.
const startGranularity = 16

// roundUpStart rounds a start up to the next multiple of a step that grows with its distance from now. A later start
// never raises l(δ), so the queue promises no more than before.
func (r *Reducer) roundUpStart(start int64) int64 {
	ahead := start - r.now
	if ahead <= 0 {
		return start
	}
	step := int64(1) << max(0, bits.Len64(uint64(ahead/startGranularity))-1)
	return (start + step - 1) / step * step
}

// AddQueue adds a queue of a machine of a kind, with resources for one task at a time. With CoarseStarts, it rounds the
// queue's start up. Since the tasks in the queues belong to the same few groups, many queues then become equal.
func (r *Reducer) AddQueue(kind string, resources Resources, q *Queue) {
	if r.CoarseStarts {
		q = &Queue{EarliestStart: r.roundUpStart(q.EarliestStart), entries: q.entries, totalLength: q.totalLength}
	}
	hash := hashQueue(kind, resources, q)
	cached, ok := r.queues.get(hash)
	if !ok || !cached.isOf(kind, resources, q) {
		f := Function{Kind: kind, Resources: resources, Samples: q.Samples(r.horizon)}
		f.Reduce(r.maxSamples)
		cached = &cachedQueue{q.EarliestStart, slices.Clone(q.entries), r.intern(f)}
		r.queues.current[hash] = cached
	}
	r.countQueues(cached.node, 1)
}

// isOf reports whether the function was computed from an equal queue, since hashes can collide.
func (c *cachedQueue) isOf(kind string, resources Resources, q *Queue) bool {
	f := &c.node.function
	return c.earliestStart == q.EarliestStart && f.Resources == resources && f.Kind == kind &&
		slices.Equal(c.entries, q.entries)
}

// AddFunction adds a function. It does not modify the samples, and the caller must not modify them later.
func (r *Reducer) AddFunction(f Function) { r.countQueues(r.intern(f), f.Count) }

// countQueues adds to the number of queues that a function represents in the round.
func (r *Reducer) countQueues(n *node, queues int64) {
	if n.lastRound != r.round {
		n.lastRound, n.count, n.group.lastRound = r.round, 0, r.round
		r.input = append(r.input, rankedNode{node: n})
	}
	n.count += queues
}

// intern returns the node of a function, reduced to the limit of samples. Equal functions share one node.
func (r *Reducer) intern(f Function) *node {
	if len(f.Samples) > r.maxSamples {
		f.Samples = slices.Clone(f.Samples)
		f.Reduce(r.maxSamples)
	}
	hash := hashFunction(&f)
	for {
		n, ok := r.nodes.get(hash)
		if !ok {
			break
		}
		if equalFunctions(&n.function, &f) {
			return n
		}
		hash++ // another function has the same hash
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

// updateWeight computes a function's points and its weight in the paper's distance: the integral of f/(δ-now+1)².
// Functions that are adjacent by weight have similar availability both soon and later. In the order of first samples, a
// summary of 300 machines kept 0.31 of what their queues can end within 100 s. In the order of the availability at the
// end, it kept 0.65 of that, but none of the immediate availability.
func (r *Reducer) updateWeight(n *node) {
	if n.weighedAt == r.now && n.weight >= 0 {
		return
	}
	n.weighedAt, n.weight = r.now, 0
	c := cursor{samples: n.function.Samples}
	for i, t := 0, int64(firstPointMS); t < r.horizon-r.now && i < len(n.points); i, t = i+1, t*2 {
		n.points[i] = c.availableBy(r.now + t)
		n.weight += n.points[i] / float64(t)
	}
}

// mergeNodes returns the merge of two functions.
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

// compare orders groups so that merging neighbours loses little.
func (k *groupKey) compare(other *groupKey) int {
	return cmp.Or(
		strings.Compare(k.kind, other.kind),
		cmp.Compare(k.resources.CPUs, other.resources.CPUs),
		cmp.Compare(k.resources.GPUs, other.resources.GPUs),
		cmp.Compare(k.resources.MemoryGB, other.resources.MemoryGB),
		cmp.Compare(k.resources.DiskGB, other.resources.DiskGB),
	)
}

func equalFunctions(f, g *Function) bool {
	return f.Kind == g.Kind && f.Resources == g.Resources && slices.Equal(f.Samples, g.Samples)
}
