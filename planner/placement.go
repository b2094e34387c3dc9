package planner

import (
	"cmp"
	"math"
	"slices"

	"github.com/grebedock/grebedock/availability"
)

// RuntimePadding is what a task's expected run time is taken times before it waits behind
// another: estimates are often wrong by half.
const RuntimePadding = 1.5

// lateDeadlineSteps is how often a late aim is put off by another share of the span.
const lateDeadlineSteps = 4

// QueueMode is which queues of a machine a group may take.
type QueueMode int

// The modes.
const (
	AllQueues       QueueMode = iota // new queues on free room, then all queues
	NewSlotsInTime                   // new queues on free room, in time
	NewSlotsAnyTime                  // new queues on free room, in time or not
	ExistingQueues                   // queues that exist
)

// GangAttempt is how it stands with the start of a gang.
type GangAttempt int

// A gang starts when all of its waiting tasks can, and goes on while its machines are
// told one after the other.
const (
	GangAttemptNew GangAttempt = iota
	GangAttemptContinues
	GangAttemptWaits
)

// Group is tasks of one job that wait for a machine, with the times that they are
// admitted for.
type Group struct {
	Request                         ResourceRequest
	Priority                        int
	Remaining                       int // tasks to place
	JobTasks                        int // of the whole job
	LengthMS                        int64
	AcceptedMS                      int64
	ObjectiveDeadlineMS, DeadlineMS int64
	MissedObjectives                bool // can meet no aim any more; Due is the last one
	HasObjective                    bool // a start aim or a guarantee waits for it and can still be met
	WithinGuarantee                 bool // of its team's guarantee
	QuotaTier                       int  // how far its team is beyond its guarantee when it comes to it
	HasBegun                        bool // a task of it runs or is done
	IsFirstTask                     bool // the first task of a job that waited too long to begin (SplitFirst)
	PreviouslyAdmitted              bool // was admitted before, and keeps its place among its equals
	Name                            string
	RangeStart                      int // place in its job

	IsGang, SingleZone, SpreadZones bool
	GangAttempt                     GangAttempt
	IncompleteGang                  bool           // a gang of which not all tasks may start
	RunningByZone                   map[string]int // by zone: tasks that run, of jobs that zones bind
	FailuresByMachine               map[string]int // by machine: how often the job failed there
	ProvisionLimit                  int            // for how many tasks machines may be asked for

	// What placing it says.
	Waiting            int  // tasks that do not start now
	ProvisionRequested int  // tasks that machines are asked for
	SpotInsufficient   bool // spot machines' queues do not take all of it in time

	placedByZone map[string]int // by zone: tasks placed
	placed       int
}

// CapacityDemand is tasks that no machine ends in time.
type CapacityDemand struct {
	Count      int
	DeadlineMS int64 // time of day, ms
	SpotOnly   bool  // ordinary machines serve it, at a higher price
}

// Placement is what becomes of a group.
type Placement struct {
	StartedTasks int
	Starts       []Start
	Demands      []CapacityDemand
	StartsGang   bool // a gang starts: a new try of it
	Admitted     bool // some of it has a place in time
}

// zoneAllowance is how many tasks of a group its zone constraint allows on a machine,
// counting what the round put elsewhere.
func (g *Group) zoneAllowance(m *Machine) int {
	if !g.SingleZone && !g.SpreadZones {
		return g.Remaining
	}
	running, elsewhere := g.RunningByZone[m.Offering.Zone], 0
	for zone, n := range g.RunningByZone {
		if zone != m.Offering.Zone {
			elsewhere += n
		}
	}
	here := g.placedByZone[m.Offering.Zone]
	if g.SingleZone && (elsewhere > 0 || g.placed > here) {
		return 0
	}
	if g.SpreadZones {
		return max(0, (g.JobTasks+1)/2-running-here)
	}
	return g.Remaining
}

func (g *Group) recordPlaced(m *Machine, n int) {
	if g.placedByZone == nil {
		g.placedByZone = map[string]int{}
	}
	g.placedByZone[m.Offering.Zone] += n
	g.placed += n
}

// AdmitToMachine puts as many tasks of the group on the machine as its queues end by
// deadline, with an image that takes fetch there. Tasks that can start now are counted in now, what was looked at in steps.
func AdmitToMachine(
	m *Machine,
	g *Group,
	fetchMS, deadlineMS int64,
	limit int,
	mode QueueMode,
) (admitted, startable, examined int) {
	request := g.Request.WithoutImage()
	lengthMS := int64(float64(g.LengthMS)*RuntimePadding) + fetchMS
	remaining := limit
	// New queues on free room first: they start now.
	for mode != ExistingQueues && remaining > 0 && m.Free.Contains(request) {
		if mode != NewSlotsAnyTime && deadlineMS-m.ReadyAtMS < g.LengthMS+fetchMS {
			break
		}
		slot := m.AddSlot(request, m.ReadyAtMS)
		// The first task needs no padding: nothing waits behind it yet.
		slot.Queue.Admit(max(deadlineMS, m.ReadyAtMS+g.LengthMS+fetchMS), g.LengthMS+fetchMS, 1)
		m.Free = m.Free.Sub(request)
		remaining--
		admitted++
		startable++
	}
	if mode == NewSlotsInTime || mode == NewSlotsAnyTime {
		return admitted, startable, 1 + startable
	}
	for i := range m.Slots {
		if remaining <= 0 {
			break
		}
		examined++
		slot := &m.Slots[i]
		if !slot.Queue.MayAdmit(deadlineMS, lengthMS) || !slot.Resources.Contains(request) {
			continue
		}
		count := int(slot.Queue.Admit(deadlineMS, lengthMS, int64(remaining)))
		admitted += count
		remaining -= count
	}
	return admitted, startable, 1 + examined + startable
}

// offeringUse is what a kind of machine is to a group.
type offeringUse struct {
	allowed, avoid, costly bool
	fetchMS                int64 // where its image is missing
	rank                   int   // of the kind alone

	// Of the kind's machines with room for the group:
	openMachines    int
	booting         bool
	earliestStartMS int64 // when a task could begin to run on one, the image there
	queues          queueBounds
}

// offeringUses looks at each kind once for a group.
func (v *ClusterView) offeringUses(g *Group) []offeringUse {
	uses := v.search.uses[:0]
	for _, offering := range v.offerings {
		u := offeringUse{
			allowed:         v.catalog.IsAllowed(&g.Request, offering.InstanceOffering),
			earliestStartMS: math.MaxInt64,
			queues:          emptyBounds,
		}
		if u.allowed {
			u.avoid, u.costly, u.fetchMS = v.catalog.ShouldAvoid(
				&g.Request,
				offering.Type,
			), g.Request.AllowsSpot &&
				!offering.Spot, v.catalog.FetchMS(
				&g.Request,
				offering.Type,
			)
			u.rank = bitIf(u.avoid, 2) | bitIf(u.costly, 1)
		}
		uses = append(uses, u)
	}
	v.search.uses = uses
	return uses
}

func bitIf(b bool, n int) int {
	if b {
		return 1 << n
	}
	return 0
}

// openMachine is a machine with room for the group that is placed.
type openMachine struct {
	machine  *Machine
	rank     int
	leftover float64
	fetchMS  int64
}

// precedes tells whether a machine goes before another. It is what most of a placement
// does.
func (a *openMachine) precedes(o *openMachine) bool {
	if a.rank != o.rank {
		return a.rank < o.rank
	}
	if a.leftover != o.leftover {
		return a.leftover < o.leftover
	}
	return a.machine.Index < o.machine.Index
}

// CandidateSearch is a group that looks at a board: the machines with room for it in their
// order, as far as that was asked for.
type CandidateSearch struct {
	view        *ClusterView
	group       *Group
	uses        []offeringUse
	request     availability.Resources
	candidates  []openMachine // [:done] in order, the rest a heap
	sortedCount int

	imageMachines           *imageMachines
	fetchAlwaysNeeded       bool // on every kind that it may use, its image takes time
	cached, uncached        []int
	spotOnly, objectiveOnly bool
	enforceLimits           bool // the reserve holds
	slotsAdded              bool // machines with room have new queues
	placement               Placement
}

// StartSearch begins to place a group. It is good until the next one's.
//
// The machines with room go in this order: ones that others cannot do
// without last, ones that are up before ones that boot, ones with the image
// before others, then least leftover first, as the paper has it, measured
// against the largest machine. Machines without room are behind them, since
// only their queues matter, in the order of the same ranks.
func (v *ClusterView) StartSearch(g *Group) *CandidateSearch {
	search := &v.search
	v.searchID++
	*search = CandidateSearch{
		view:              v,
		group:             g,
		uses:              v.offeringUses(g),
		request:           g.Request.WithoutImage(),
		candidates:        search.candidates[:0],
		cached:            search.cached,
		uncached:          search.uncached,
		fetchAlwaysNeeded: true,
	}
	for i := range search.uses {
		if use := &search.uses[i]; use.allowed {
			search.fetchAlwaysNeeded = search.fetchAlwaysNeeded && use.fetchMS != 0
			if use.fetchMS != 0 && search.imageMachines == nil {
				search.imageMachines = v.machinesWithImage(g.Request.Image)
			}
		}
	}
	g.placedByZone, g.placed = nil, 0
	spanMS := float64(max(g.DeadlineMS-v.nowMS, 1000))
	largest := v.catalog.largest
	for i := range v.blocks {
		if !v.refreshedBlock(i).maxFree.Contains(search.request) {
			continue
		}
		for _, m := range v.blockMachines(i) {
			v.Examined++
			use := &search.uses[m.offeringIndex]
			if !use.allowed || !m.Free.Contains(search.request) ||
				len(g.FailuresByMachine) > 0 && g.FailuresByMachine[m.ID] > 0 {
				continue
			}
			entry := &v.scanEntries[m.Index]
			entry.openForSearch = v.searchID
			fetchMS := use.fetchMS
			if fetchMS != 0 && search.imageMachines.contains(m.Index) {
				fetchMS = 0
			}
			use.openMachines++
			use.booting = use.booting || !m.Ready
			use.earliestStartMS = min(use.earliestStartMS, m.ReadyAtMS+fetchMS)
			use.queues.widen(&entry.queues)
			leftover := (m.Free.CPUs-search.request.CPUs)/max(
				largest.CPUs,
				1,
			) + (m.Free.MemoryGB-search.request.MemoryGB)/max(
				largest.MemoryGB,
				1,
			)
			search.candidates = append(
				search.candidates,
				openMachine{m, bitIf(use.avoid, 3) | bitIf(!m.Ready, 2) | bitIf(use.costly, 1) | bitIf(fetchMS != 0, 0),
					max(leftover, 0) + float64(g.DeadlineMS-m.ReadyAtMS-g.LengthMS-fetchMS)/spanMS/4, fetchMS},
			)
		}
	}
	for i := len(search.candidates)/2 - 1; i >= 0; i-- {
		search.siftDown(i, len(search.candidates))
	}
	return search
}

// The heap stands backwards in open, its least at the end, so that what leaves it
// stays in the slice: heap place i is open[len-1-i].
func (s *CandidateSearch) heapEntry(i int) *openMachine { return &s.candidates[len(s.candidates)-1-i] }

func (s *CandidateSearch) siftDown(i, n int) {
	for {
		child := 2*i + 1
		if child >= n {
			return
		}
		if child+1 < n && s.heapEntry(child+1).precedes(s.heapEntry(child)) {
			child++
		}
		if s.heapEntry(i).precedes(s.heapEntry(child)) {
			return
		}
		*s.heapEntry(i), *s.heapEntry(child) = *s.heapEntry(child), *s.heapEntry(i)
		i = child
	}
}

// candidate is the ith machine with room; nil: there are no more. Most groups need
// the first few of hundreds.
func (s *CandidateSearch) candidate(i int) *openMachine {
	if i >= len(s.candidates) {
		return nil
	}
	for s.sortedCount <= i {
		heapSize := len(s.candidates) - s.sortedCount // in the heap
		least, last := s.heapEntry(0), s.heapEntry(heapSize-1)
		*least, *last = *last, *least
		s.sortedCount++
		s.siftDown(0, heapSize-1)
	}
	return &s.candidates[i]
}

// Admit admits what is left of the group for a deadline, machine by machine.
func (s *CandidateSearch) Admit(deadlineMS int64, mode QueueMode) {
	g := s.group
	lengthMS := int64(float64(g.LengthMS) * RuntimePadding)
	for i := 0; g.Remaining > 0 && (i > 0 || s.canAdmitAny(deadlineMS, lengthMS, mode)); i++ {
		candidate := s.candidate(i)
		if candidate == nil {
			break
		}
		s.view.Examined++
		if mode == ExistingQueues &&
			!s.view.scanEntries[candidate.machine.Index].queues.mayAdmit(s.request, deadlineMS, lengthMS+candidate.fetchMS) {
			continue
		}
		s.tryMachine(candidate.machine, candidate.fetchMS, deadlineMS, mode)
	}
	if mode == ExistingQueues {
		s.admitToOccupied(deadlineMS, lengthMS)
	}
}

// skipsOffering tells whether a pass leaves a kind of machines out.
func (s *CandidateSearch) skipsOffering(offering int) bool {
	u := &s.uses[offering]
	return !u.allowed || s.spotOnly && !s.view.offerings[offering].Spot || s.objectiveOnly && u.avoid
}

// canAdmitAny tells whether any machine with room may take a task in a pass. Without it, each
// pass for an aim that is too near put all of them in order.
func (s *CandidateSearch) canAdmitAny(deadlineMS, lengthMS int64, mode QueueMode) bool {
	v, g := s.view, s.group
	reserveExhausted := s.enforceLimits && mode == NewSlotsInTime && g.ObjectiveDeadlineMS >= g.DeadlineMS &&
		availability.Resources{
			CPUs: v.SpareCPUs - v.ReservedCPUs,
		}.MaxCopies(
			availability.Resources{CPUs: g.Request.Resources.CPUs},
			1,
		) == 0
	for i := range s.uses {
		use := &s.uses[i]
		if use.openMachines == 0 || s.skipsOffering(i) {
			continue
		}
		switch mode {
		case NewSlotsInTime:
			if deadlineMS-use.earliestStartMS >= g.LengthMS && (!reserveExhausted || use.booting) {
				return true
			}
		case ExistingQueues:
			if s.slotsAdded || use.queues.mayAdmit(s.request, deadlineMS, lengthMS) {
				return true
			}
		default:
			return true
		}
	}
	return false
}

// admitToOccupied admits to the queues of machines that had no room: those of lower ranks first,
// those that have the image before others, then by their places.
func (s *CandidateSearch) admitToOccupied(deadlineMS, lengthMS int64) {
	g := s.group
	for rank := 0; rank < 8 && g.Remaining > 0; rank += 2 {
		s.cached, s.uncached = s.cached[:0], s.uncached[:0]
		minFetchMS := int64(math.MaxInt64)
		for i := range s.uses {
			if use := &s.uses[i]; use.rank == rank && !s.skipsOffering(i) {
				if use.fetchMS == 0 || s.imageMachines != nil {
					s.cached = append(s.cached, i)
				}
				if use.fetchMS != 0 {
					s.uncached = append(s.uncached, i)
					minFetchMS = min(minFetchMS, use.fetchMS)
				}
			}
		}
		if len(s.cached) > 0 {
			s.scanOccupied(s.cached, deadlineMS, lengthMS, true)
		}
		if len(s.uncached) > 0 {
			s.scanOccupied(s.uncached, deadlineMS, lengthMS+minFetchMS, false)
		}
	}
}

// scanOccupied admits to the queues of machines of some kinds that had no room, those that have
// the image or those that lack it. No such task takes less than least.
func (s *CandidateSearch) scanOccupied(offerings []int, deadlineMS, minLengthMS int64, cached bool) {
	v, g := s.view, s.group
	lengthMS := int64(float64(g.LengthMS) * RuntimePadding)
	// at looks at one machine.
	tryMachine := func(i int) {
		v.Examined++
		entry := &v.scanEntries[i]
		use := &s.uses[entry.offeringIndex]
		if entry.openForSearch == v.searchID || !entry.queues.mayAdmit(s.request, deadlineMS, minLengthMS) ||
			!slices.Contains(offerings, int(entry.offeringIndex)) {
			return
		}
		fetchMS := use.fetchMS
		if fetchMS != 0 && s.imageMachines.contains(i) {
			fetchMS = 0
		}
		if (fetchMS == 0) != cached || entry.queues.maxAvailableMS(deadlineMS) < lengthMS+fetchMS {
			return
		}
		m := v.machines[i]
		if len(g.FailuresByMachine) == 0 || g.FailuresByMachine[m.ID] == 0 {
			s.tryMachine(m, fetchMS, deadlineMS, ExistingQueues)
		}
	}
	if cached && s.fetchAlwaysNeeded {
		for _, i := range s.imageMachines.indexes {
			if g.Remaining <= 0 {
				return
			}
			tryMachine(int(i))
		}
		return
	}
	for i := 0; i < len(v.blocks) && g.Remaining > 0; i++ {
		block := v.refreshedBlock(i)
		if !block.queues.mayAdmit(s.request, deadlineMS, minLengthMS) ||
			!slices.ContainsFunc(offerings, func(offering int) bool {
				return block.queuesByOffering[offering].mayAdmit(s.request, deadlineMS, minLengthMS)
			}) {
			continue
		}
		for index := i * blockSize; index < min((i+1)*blockSize, len(v.machines)) && g.Remaining > 0; index++ {
			tryMachine(index)
		}
	}
}

func (s *CandidateSearch) tryMachine(m *Machine, fetchMS, deadlineMS int64, mode QueueMode) {
	v, g := s.view, s.group
	if s.skipsOffering(m.offeringIndex) {
		return
	}
	limit := min(g.Remaining, g.zoneAllowance(m))
	if s.enforceLimits && mode == NewSlotsInTime && m.Ready && g.ObjectiveDeadlineMS >= g.DeadlineMS {
		limit = availability.Resources{
			CPUs: v.SpareCPUs - v.ReservedCPUs,
		}.MaxCopies(
			availability.Resources{CPUs: g.Request.Resources.CPUs},
			limit,
		)
	}
	if limit <= 0 {
		return
	}
	admitted, startable, steps := AdmitToMachine(m, g, fetchMS, deadlineMS, limit, mode)
	v.Examined += steps
	if admitted == 0 {
		return
	}
	v.refreshBounds(m)
	s.slotsAdded = s.slotsAdded || mode != ExistingQueues
	g.Remaining -= admitted
	if m.Ready {
		v.SpareCPUs -= float64(startable) * g.Request.Resources.CPUs
	}
	if g.SingleZone || g.SpreadZones {
		g.recordPlaced(m, admitted)
	}
	if !s.enforceLimits {
		return
	}
	if !g.HasObjective && !g.IsGang {
		startable = min(startable, v.PacedStartsLeft) // the rest when the line lets it
	}
	if startable > 0 && m.Ready {
		s.placement.StartedTasks += startable
		v.PacedStartsLeft -= startable
		s.placement.Starts = append(s.placement.Starts, Start{m.Index, startable, fetchMS})
	}
}

// Place admits a group to the machines: what starts now, what waits in a queue, and
// for what there is neither in time. share is the part of its span by which an aim that
// is late is put off.
func (v *ClusterView) Place(g *Group, lateShare float64) Placement {
	search := v.StartSearch(g)
	search.enforceLimits = true
	total := g.Remaining
	if g.IsGang {
		if fits, missing := search.checkGang(); !fits {
			if missing > 0 {
				search.placement.Demands = append(
					search.placement.Demands,
					CapacityDemand{Count: missing, DeadlineMS: g.DeadlineMS},
				)
			}
			search.placement.Admitted, g.Waiting = g.PreviouslyAdmitted, total
			return search.placement
		}
	}
	// Free room is taken on every machine before a queue is: a task that
	// waits behind another while a machine is idle only risks its deadline.
	admitAll := func(deadlineMS int64) {
		search.Admit(deadlineMS, NewSlotsInTime)
		search.Admit(deadlineMS, ExistingQueues)
	}
	spotShortfall := 0
	// tier admits for one deadline, on spot machines first. Ordinary machines
	// cost several times as much: what only they can take is worth a spot
	// machine, and starts there meanwhile.
	admitFor := func(deadlineMS int64) {
		// A start aim alone is not worth a machine that others cannot do
		// without.
		search.objectiveOnly = deadlineMS < g.DeadlineMS
		if g.Request.AllowsSpot {
			search.spotOnly = true
			admitAll(deadlineMS)
			search.spotOnly = false
			spotShortfall += g.Remaining
		}
		admitAll(deadlineMS)
		if g.Request.AllowsSpot {
			g.SpotInsufficient = g.SpotInsufficient || !search.objectiveOnly && spotShortfall > 0
			spotShortfall -= g.Remaining
		}
		search.objectiveOnly = false
	}
	recordDemand := func(count int, deadlineMS int64, spotOnly bool) {
		if !spotOnly {
			count = min(count, g.ProvisionLimit-search.placement.StartedTasks)
			g.ProvisionRequested = max(g.ProvisionRequested, count)
		}
		if count > 0 {
			search.placement.Demands = append(search.placement.Demands, CapacityDemand{count, deadlineMS, spotOnly})
		}
	}
	if g.ObjectiveDeadlineMS < g.DeadlineMS && g.ObjectiveDeadlineMS > v.nowMS {
		admitFor(g.ObjectiveDeadlineMS)
		if v.nowMS+v.catalog.MinReadyMS(&g.Request)+g.LengthMS <= g.ObjectiveDeadlineMS {
			// A machine that comes up in time serves the aim; until it
			// does, these tasks may wait in a queue that ends in time.
			recordDemand(g.Remaining, g.ObjectiveDeadlineMS, false)
		}
	}
	admitFor(g.DeadlineMS)
	search.placement.Admitted = g.Remaining < total
	recordDemand(spotShortfall, g.DeadlineMS, true)
	if g.Remaining > 0 {
		recordDemand(g.Remaining, g.DeadlineMS, false)
		g.SpotInsufficient = true
		// No machine can end them in time. They start where there is room now,
		// and aim late by a share of the span for the rest.
		search.Admit(g.DeadlineMS, NewSlotsAnyTime)
		spanMS := float64(g.DeadlineMS - g.AcceptedMS)
		for i := 1; i <= lateDeadlineSteps && g.Remaining > 0; i++ {
			search.Admit(max(g.DeadlineMS, v.nowMS)+int64(spanMS*lateShare*float64(i)), ExistingQueues)
		}
	}
	g.Waiting = total - search.placement.StartedTasks
	return search.placement
}

// checkGang tells whether all of a gang's waiting tasks can start now: one that
// waits for its mates holds its machine for nothing. What is left of an earlier
// try must be gone first. missing is how many have no room even on the machines
// that boot.
func (s *CandidateSearch) checkGang() (fits bool, missing int) {
	g := s.group
	if g.GangAttempt != GangAttemptNew || g.IncompleteGang {
		return g.GangAttempt == GangAttemptContinues, 0
	}
	startable, booting := 0, 0
	for i := 0; ; i++ {
		candidate := s.candidate(i)
		if candidate == nil {
			break
		}
		n := candidate.machine.Free.MaxCopies(
			s.request,
			min(g.Remaining-startable-booting, g.zoneAllowance(candidate.machine)),
		)
		if candidate.machine.Ready {
			startable += n
		} else {
			booting += n
		}
	}
	s.placement.StartsGang = startable >= g.Remaining
	return s.placement.StartsGang, g.Remaining - startable - booting
}

// SortGroups puts groups in the order in which they are placed: higher priority first; within one, the first
// tasks of jobs that waited too long to begin, then what can meet an aim before what can't, then what is within its team's guarantee, then by its team's level; what was admitted
// keeps its place, then earliest deadline, then arrival.
func SortGroups[G any](groups []G, groupOf func(G) *Group) {
	slices.SortFunc(groups, func(x, y G) int { return groupOf(x).compare(groupOf(y)) })
}

func (g *Group) compare(other *Group) int {
	trueFirst := func(aSet, bSet bool) int { return bitIf(bSet, 0) - bitIf(aSet, 0) }
	return cmp.Or(
		other.Priority-g.Priority,
		trueFirst(g.IsFirstTask, other.IsFirstTask),
		// One that can meet no aim any more must not cost others theirs.
		trueFirst(!g.MissedObjectives, !other.MissedObjectives),
		// What is free goes to guarantees first: otherwise it goes to others,
		// who are then stopped.
		trueFirst(g.WithinGuarantee, other.WithinGuarantee),
		g.QuotaTier-other.QuotaTier,
		trueFirst(g.PreviouslyAdmitted, other.PreviouslyAdmitted),
		cmp.Compare(g.DeadlineMS, other.DeadlineMS),
		cmp.Compare(g.AcceptedMS, other.AcceptedMS),
		cmp.Compare(g.Name, other.Name),
		g.RangeStart-other.RangeStart)
}
