package planner

import (
	"math"

	"github.com/grebedock/grebedock/availability"
)

// offeringEvaluation is the evaluation of an offering for a group.
type offeringEvaluation struct {
	allowed bool
	avoid   bool  // some other live job fits no other type
	costly  bool  // on-demand, while the group may use spot machines
	fetchMS int64 // time to fetch the image on a machine without it
	rank    int   // computed from avoid and costly

	// The fields below cover the offering's machines with free resources for the group.

	openMachines    int
	booting         bool  // at least one of the machines is booting
	earliestStartMS int64 // earliest start of a task, after the image fetch
	queues          queueBounds
}

// evaluateOfferings evaluates each offering once for a group. The result is valid until the next call.
func (v *ClusterView) evaluateOfferings(g *Group) []offeringEvaluation {
	evaluations := v.search.evaluations[:0]
	for _, offering := range v.offerings {
		eval := offeringEvaluation{
			allowed:         v.catalog.IsAllowed(&g.Request, offering.InstanceOffering),
			earliestStartMS: math.MaxInt64,
			queues:          emptyBounds,
		}
		if eval.allowed {
			eval.avoid = v.catalog.ShouldAvoid(&g.Request, offering.Type)
			eval.costly = g.Request.AllowsSpot && !offering.Spot
			eval.fetchMS = v.catalog.FetchMS(&g.Request, offering.Type)
			eval.rank = bitIf(eval.avoid, 2) | bitIf(eval.costly, 1)
		}
		evaluations = append(evaluations, eval)
	}
	v.search.evaluations = evaluations
	return evaluations
}

// openMachine is a machine with free resources for the group being placed.
type openMachine struct {
	machine  *Machine
	rank     int
	leftover float64 // unused resources and slack, as fractions; lower is better
	fetchMS  int64
}

// precedes reports whether a is ordered before o. Placement spends most of its time in this method.
func (a *openMachine) precedes(o *openMachine) bool {
	if a.rank != o.rank {
		return a.rank < o.rank
	}
	if a.leftover != o.leftover {
		return a.leftover < o.leftover
	}
	return a.machine.Index < o.machine.Index
}

// candidateQueue sorts candidates lazily, since most groups need only the first few of hundreds.
//
// candidates[:sortedCount] is sorted. The rest is a min-heap in reverse order, with its root at the end of the slice:
// heap position i is candidates[len-1-i]. A popped candidate thus stays in the slice.
type candidateQueue struct {
	candidates  []openMachine
	sortedCount int
}

func (q *candidateQueue) heapEntry(i int) *openMachine { return &q.candidates[len(q.candidates)-1-i] }

func (q *candidateQueue) siftDown(i, n int) {
	for {
		child := 2*i + 1
		if child >= n {
			return
		}
		if child+1 < n && q.heapEntry(child+1).precedes(q.heapEntry(child)) {
			child++
		}
		if q.heapEntry(i).precedes(q.heapEntry(child)) {
			return
		}
		*q.heapEntry(i), *q.heapEntry(child) = *q.heapEntry(child), *q.heapEntry(i)
		i = child
	}
}

// heapify builds the heap from all candidates.
func (q *candidateQueue) heapify() {
	for i := len(q.candidates)/2 - 1; i >= 0; i-- {
		q.siftDown(i, len(q.candidates))
	}
}

// candidate returns the ith machine with free resources, or nil if there are fewer.
func (q *candidateQueue) candidate(i int) *openMachine {
	if i >= len(q.candidates) {
		return nil
	}
	for q.sortedCount <= i {
		heapSize := len(q.candidates) - q.sortedCount
		least, last := q.heapEntry(0), q.heapEntry(heapSize-1)
		*least, *last = *last, *least
		q.sortedCount++
		q.siftDown(0, heapSize-1)
	}
	return &q.candidates[i]
}

// CandidateSearch is a search for machines for one group. It covers, in order, the machines with free resources for the
// group, and then the queues of the other machines.
type CandidateSearch struct {
	candidateQueue
	view        *ClusterView
	group       *Group
	request     availability.Resources // the group's request without its image
	evaluations []offeringEvaluation   // indexed as offeringTable.offerings

	imageMachines     *imageMachines
	fetchAlwaysNeeded bool  // the image has a fetch time on every offering that the group may use
	cached, uncached  []int // buffers of admitToOccupied

	spotOnly, objectiveOnly bool // offerings that the current pass excludes, see skipsOffering
	enforceLimits           bool // placement, not an estimate: apply reserve and pacing, and record starts
	slotsAdded              bool // the search has opened queues on machines with free resources
	spotShortfall           int  // tasks admitted to on-demand machines because spot machines did not suffice
	placement               Placement
}

// StartSearch starts the search for machines for a group. The result is valid until the next call.
//
// Machines with free resources are ordered by these criteria, the most significant first:
//   - machines of types that other jobs require are last
//   - machines that are up precede machines that are booting
//   - for a group that may use spot machines, spot precedes on-demand
//   - machines with the image precede machines without it
//   - least leftover first, as in the paper, relative to the largest machine type
//
// Machines without free resources follow, ordered only by type, market and image in the same way: only their queues
// matter.
func (v *ClusterView) StartSearch(g *Group) *CandidateSearch {
	search := &v.search
	v.searchID++
	*search = CandidateSearch{
		candidateQueue:    candidateQueue{candidates: search.candidates[:0]},
		view:              v,
		group:             g,
		evaluations:       v.evaluateOfferings(g),
		request:           g.Request.WithoutImage(),
		cached:            search.cached,
		uncached:          search.uncached,
		fetchAlwaysNeeded: true,
	}
	for i := range search.evaluations {
		eval := &search.evaluations[i]
		if !eval.allowed {
			continue
		}
		search.fetchAlwaysNeeded = search.fetchAlwaysNeeded && eval.fetchMS != 0
		if eval.fetchMS != 0 && search.imageMachines == nil {
			search.imageMachines = v.machinesWithImage(g.Request.Image)
		}
	}
	search.collectCandidates()
	search.heapify()
	return search
}

// collectCandidates finds the machines with free resources for the group.
func (s *CandidateSearch) collectCandidates() {
	v, g := s.view, s.group
	spanMS := float64(max(g.DeadlineMS-v.nowMS, 1000))
	for i := range v.blocks {
		if !v.refreshedBlock(i).maxFree.Contains(s.request) {
			continue
		}
		for _, m := range v.blockMachines(i) {
			v.Examined++
			eval := &s.evaluations[m.offeringIndex]
			if !eval.allowed || !m.Free.Contains(s.request) || g.hasFailedOn(m) {
				continue
			}
			s.addCandidate(m, eval, spanMS)
		}
	}
}

// addCandidate adds a machine with free resources, and updates the evaluation of its offering. spanMS is the time until
// the group's deadline.
func (s *CandidateSearch) addCandidate(m *Machine, eval *offeringEvaluation, spanMS float64) {
	v, g := s.view, s.group
	entry := &v.scanEntries[m.Index]
	entry.openForSearch = v.searchID
	fetchMS := s.fetchMSOn(m.Index, eval)
	eval.openMachines++
	eval.booting = eval.booting || !m.Ready
	eval.earliestStartMS = min(eval.earliestStartMS, m.ReadyAtMS+fetchMS)
	eval.queues.widen(&entry.queues)
	largest := &v.catalog.largest
	leftover := (m.Free.CPUs-s.request.CPUs)/max(largest.CPUs, 1) +
		(m.Free.MemoryGB-s.request.MemoryGB)/max(largest.MemoryGB, 1)
	slackMS := m.slackMS(g, fetchMS)
	s.candidates = append(s.candidates, openMachine{
		machine:  m,
		rank:     bitIf(eval.avoid, 3) | bitIf(!m.Ready, 2) | bitIf(eval.costly, 1) | bitIf(fetchMS != 0, 0),
		leftover: max(leftover, 0) + float64(slackMS)/spanMS/4,
		fetchMS:  fetchMS,
	})
}

// slackMS returns the group's deadline minus the earliest end of a task on the machine. It is negative if the task ends
// late.
func (m *Machine) slackMS(g *Group, fetchMS int64) int64 {
	return g.DeadlineMS - m.ReadyAtMS - g.LengthMS - fetchMS
}

// fetchMSOn returns the time to fetch the group's image on the machine at the index, or 0 if the machine has the image.
func (s *CandidateSearch) fetchMSOn(index int, eval *offeringEvaluation) int64 {
	if eval.fetchMS != 0 && s.imageMachines.contains(index) {
		return 0
	}
	return eval.fetchMS
}
