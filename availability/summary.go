package availability

import (
	"cmp"
	"slices"
)

// Summary is a set of sampled functions that describes the availability of a member's machines to its peers.
type Summary []Function

// Summary ends the round and returns its summary. It repeatedly merges the two functions with the smallest loss, down
// to the limit of functions. It never merges functions of different kinds, so a summary with more kinds than the limit
// exceeds it.
//
// The paper compares every pair, at a cost that grows with the cube of the number of queues. That cost took all the
// time of a controller with a thousand queues. Here functions are sorted by kind, resources and weight, and only
// neighbours are compared. Above a few times the limit, short runs of neighbours are merged first.
func (r *Reducer) Summary() Summary {
	r.rankGroups()
	r.sortInput()
	r.norm = newDistanceNorm(r.input, r.horizon-r.now)
	clusters := r.mergeRuns()
	if len(clusters) > r.maxFunctions {
		r.mergeNeighbours(clusters)
	}
	summary := make(Summary, 0, min(len(clusters), r.maxFunctions))
	for i := range clusters {
		c := &clusters[i]
		if c.absorbed {
			continue
		}
		f := c.merged.function
		f.Count += c.queueCount()
		f.Samples = slices.Clone(f.Samples) // the caller may modify them
		summary = append(summary, f)
	}
	return summary
}

// rankGroups numbers the groups in sort order. It evicts groups that were not used for two rounds, as memo does.
func (r *Reducer) rankGroups() {
	var groups []*group
	for key, g := range r.groups {
		if g.lastRound < r.round-1 {
			delete(r.groups, key)
		} else {
			groups = append(groups, g)
		}
	}
	slices.SortFunc(groups, func(a, b *group) int { return a.compare(&b.groupKey) })
	for i, g := range groups {
		g.rank = i
	}
}

// sortInput sorts the round's functions by group and weight.
func (r *Reducer) sortInput() {
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
}

// Reduce reduces a summary, without a Reducer, to at most maxFunctions functions of at most maxSamples samples.
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
