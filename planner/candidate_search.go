package planner

import (
	"math"

	"github.com/grebedock/grebedock/availability"
)

// offeringUse is what an offering is worth to a group.
type offeringUse struct {
	allowed bool
	avoid   bool  // other live jobs fit no other type
	costly  bool  // on-demand, for a group that may use spot machines
	fetchMS int64 // of a machine without the image
	rank    int   // by the above alone

	// Of the offering's machines with free resources for the group:
	openMachines    int
	booting         bool  // one of them boots
	earliestStartMS int64 // of a task on one of them, the image there
	queues          queueBounds
}

// offeringUses evaluates each offering once for a group. The result is good until the next call.
func (v *ClusterView) offeringUses(g *Group) []offeringUse {
	uses := v.search.uses[:0]
	for _, offering := range v.offerings {
		use := offeringUse{
			allowed:         v.catalog.IsAllowed(&g.Request, offering.InstanceOffering),
			earliestStartMS: math.MaxInt64,
			queues:          emptyBounds,
		}
		if use.allowed {
			use.avoid = v.catalog.ShouldAvoid(&g.Request, offering.Type)
			use.costly = g.Request.AllowsSpot && !offering.Spot
			use.fetchMS = v.catalog.FetchMS(&g.Request, offering.Type)
			use.rank = bitIf(use.avoid, 2) | bitIf(use.costly, 1)
		}
		uses = append(uses, use)
	}
	v.search.uses = uses
	return uses
}

// openMachine is a machine with free resources for the group that is placed.
type openMachine struct {
	machine  *Machine
	rank     int
	leftover float64 // resources and time left, as shares; lower is better
	fetchMS  int64
}

// precedes reports whether a machine goes before another. Placements spend most of their time here.
func (a *openMachine) precedes(o *openMachine) bool {
	if a.rank != o.rank {
		return a.rank < o.rank
	}
	if a.leftover != o.leftover {
		return a.leftover < o.leftover
	}
	return a.machine.Index < o.machine.Index
}

// candidateQueue sorts candidates as far as they are asked for: most groups need the first few of hundreds.
//
// candidates[:sortedCount] are in order. The rest is a heap that stands backwards, its least at the end, so that what
// leaves it stays in the slice: heap position i is candidates[len-1-i].
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

// heapify makes a heap of all candidates.
func (q *candidateQueue) heapify() {
	for i := len(q.candidates)/2 - 1; i >= 0; i-- {
		q.siftDown(i, len(q.candidates))
	}
}

// candidate returns the ith machine with free resources; nil: there are no more.
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

// CandidateSearch is the search for machines for one group: those with free resources for it, in their order, and the
// queues of the others.
type CandidateSearch struct {
	candidateQueue
	view    *ClusterView
	group   *Group
	request availability.Resources // without the image
	uses    []offeringUse          // indexed as offeringTable.offerings

	imageMachines     *imageMachines
	fetchAlwaysNeeded bool  // its image takes time on every offering that it may use
	cached, uncached  []int // memory of admitToOccupied

	spotOnly, objectiveOnly bool // what the current pass leaves out, see skipsOffering
	enforceLimits           bool // reserve and pacing hold, starts are recorded: a placement, not an estimate
	slotsAdded              bool // machines with free resources have new queues
	spotShortfall           int  // tasks that spot machines left over and on-demand machines took
	placement               Placement
}

// StartSearch begins to place a group. It is good until the next one's.
//
// The machines with free resources go in this order: ones that other jobs cannot do without last; ones that are up
// before ones that boot; ones with the image before others; then least leftover first, as the paper has it, measured
// against the largest machine. Machines without free resources come after them, in the order of the same ranks, since
// only their queues matter.
func (v *ClusterView) StartSearch(g *Group) *CandidateSearch {
	search := &v.search
	v.searchID++
	*search = CandidateSearch{
		candidateQueue:    candidateQueue{candidates: search.candidates[:0]},
		view:              v,
		group:             g,
		uses:              v.offeringUses(g),
		request:           g.Request.WithoutImage(),
		cached:            search.cached,
		uncached:          search.uncached,
		fetchAlwaysNeeded: true,
	}
	for i := range search.uses {
		use := &search.uses[i]
		if !use.allowed {
			continue
		}
		search.fetchAlwaysNeeded = search.fetchAlwaysNeeded && use.fetchMS != 0
		if use.fetchMS != 0 && search.imageMachines == nil {
			search.imageMachines = v.machinesWithImage(g.Request.Image)
		}
	}
	g.placedByZone, g.placed = nil, 0
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
			use := &s.uses[m.offeringIndex]
			if !use.allowed || !m.Free.Contains(s.request) || g.hasFailedOn(m) {
				continue
			}
			s.addCandidate(m, use, spanMS)
		}
	}
}

// addCandidate adds a machine with free resources, and widens what is known of its offering. spanMS is the time until
// the group's deadline.
func (s *CandidateSearch) addCandidate(m *Machine, use *offeringUse, spanMS float64) {
	v, g := s.view, s.group
	entry := &v.scanEntries[m.Index]
	entry.openForSearch = v.searchID
	fetchMS := s.fetchMSOn(m.Index, use)
	use.openMachines++
	use.booting = use.booting || !m.Ready
	use.earliestStartMS = min(use.earliestStartMS, m.ReadyAtMS+fetchMS)
	use.queues.widen(&entry.queues)
	largest := &v.catalog.largest
	leftover := (m.Free.CPUs-s.request.CPUs)/max(largest.CPUs, 1) +
		(m.Free.MemoryGB-s.request.MemoryGB)/max(largest.MemoryGB, 1)
	slackMS := m.slackMS(g, fetchMS)
	s.candidates = append(s.candidates, openMachine{
		machine:  m,
		rank:     bitIf(use.avoid, 3) | bitIf(!m.Ready, 2) | bitIf(use.costly, 1) | bitIf(fetchMS != 0, 0),
		leftover: max(leftover, 0) + float64(slackMS)/spanMS/4,
		fetchMS:  fetchMS,
	})
}

// slackMS is how long before the group's deadline a task that starts on the machine as soon as it can ends.
func (m *Machine) slackMS(g *Group, fetchMS int64) int64 {
	return g.DeadlineMS - m.ReadyAtMS - g.LengthMS - fetchMS
}

// fetchMSOn is how long the group's image takes on the machine at a position; 0: it is there.
func (s *CandidateSearch) fetchMSOn(index int, use *offeringUse) int64 {
	if use.fetchMS != 0 && s.imageMachines.contains(index) {
		return 0
	}
	return use.fetchMS
}
