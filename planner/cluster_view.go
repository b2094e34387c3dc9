// Package planner admits waiting work to the queues of a shard's machines, by the
// paper's rules (package availability): tightest aims first, least leftover first, and
// never at the cost of a deadline that a queue holds already.
//
// # What it owns
//
// A [Board] is one view of a shard's machines: their free room, a queue for each task
// that runs on them, their images. [Board.Place] takes one group of tasks and
// returns one value: which machines start how many of them now, and what no machine
// can end in time. It has no clock and calls nobody; whoever drives it sees to the
// order of the groups ([Sort]) and to what else bounds them, a team's limit for one.
//
// # What it may assume
//
// One goroutine. Machines are added between Begin and Done, in the same order each
// time; a machine whose free room is changed from outside is told of (Changed).
//
// # What it promises
//
// The decisions are those of a plain look at every machine for every group, which is
// what the tests compare it with. What it does not do is look: machines stand in
// blocks, and a block knows bounds of what its machines have free and of what their
// queues could still end, so a group that waits in a full shard touches few of
// them. The paper's l(δ) grows with δ and falls with what is admitted, so that
//
//	l(δ) <= δ - end               if nothing in the queue has a later deadline, and
//	l(δ) <= min(δ - base, last - end)   otherwise,
//
// with end the end of the queue's last task, base when its first can start and last its
// latest deadline: the least end and base and the greatest slack (last - end) and last
// over all queues of a block bound what any of them may take, and the greatest room of
// a queue tells whether a task fits at all.
package planner

import (
	"math"
	"strings"

	"github.com/grebedock/grebedock/availability"
)

// Slot is one queue of a machine: room for one task at a time, with what runs
// in it now at its head.
type Slot struct {
	Resources availability.Resources
	Queue     availability.Queue
}

// Machine is a machine as the planner sees it.
type Machine struct {
	Offering  InstanceOffering
	Type      *MachineType
	Index     int   // its place on the board
	ReadyAtMS int64 // starts from here on
	Ready     bool
	Free      availability.Resources
	Slots     []Slot
	ID        string

	offeringIndex int // in the board's kinds
}

// scanEntry is what a look at all machines needs of each, side by side.
type scanEntry struct {
	queues        queueBounds
	offeringIndex int32
	openForSearch uint32 // the group for which it had room
}

// Start is tasks of a group that start on a machine now.
type Start struct {
	MachineIndex int // the machine's place on the board
	Count        int
	FetchMS      int64 // how long its image takes there, ms
}

// AddSlot opens a queue on the machine that starts at base. The memory of earlier
// rounds' queues is used again.
func (m *Machine) AddSlot(resources availability.Resources, earliestStartMS int64) *Slot {
	if n := len(m.Slots); n < cap(m.Slots) {
		m.Slots = m.Slots[:n+1]
	} else {
		m.Slots = append(m.Slots, Slot{})
	}
	slot := &m.Slots[len(m.Slots)-1]
	slot.Resources = resources
	slot.Queue.Reset(earliestStartMS)
	return slot
}

// queueBounds bounds what queues can still take; see the package's comment.
type queueBounds struct {
	minEndMS, minStartMS      int64                  // least
	maxSlackMS, maxDeadlineMS int64                  // greatest
	maxResources              availability.Resources // greatest of each
}

var emptyBounds = queueBounds{
	minEndMS:      math.MaxInt64,
	minStartMS:    math.MaxInt64,
	maxSlackMS:    math.MinInt64,
	maxDeadlineMS: math.MinInt64,
}

// maxAvailableMS is an upper bound of l(deadline) over the queues.
func (b *queueBounds) maxAvailableMS(deadlineMS int64) int64 {
	if b.minStartMS >= deadlineMS {
		return 0
	}
	n := deadlineMS - b.minEndMS
	if b.maxDeadlineMS > deadlineMS {
		n = max(n, min(deadlineMS-b.minStartMS, b.maxSlackMS))
	}
	return n
}

func (b *queueBounds) widen(o *queueBounds) {
	b.minEndMS, b.minStartMS, b.maxSlackMS, b.maxDeadlineMS = min(
		b.minEndMS,
		o.minEndMS,
	), min(
		b.minStartMS,
		o.minStartMS,
	), max(
		b.maxSlackMS,
		o.maxSlackMS,
	), max(
		b.maxDeadlineMS,
		o.maxDeadlineMS,
	)
	b.maxResources = componentMax(b.maxResources, o.maxResources)
}

// mayAdmit tells whether any queue may take a task of a length by a deadline.
func (b *queueBounds) mayAdmit(request availability.Resources, deadlineMS, lengthMS int64) bool {
	return b.maxAvailableMS(deadlineMS) >= lengthMS && b.maxResources.Contains(request)
}

// componentMax is the greatest of each.
func componentMax(a, b availability.Resources) availability.Resources {
	return availability.Resources{
		CPUs:     max(a.CPUs, b.CPUs),
		GPUs:     max(a.GPUs, b.GPUs),
		MemoryGB: max(a.MemoryGB, b.MemoryGB),
	}
}

// blockSize is how many machines share bounds: about the root of a shard's.
const blockSize = 32

type block struct {
	queues           queueBounds
	queuesByOffering []queueBounds          // the same by kind
	maxFree          availability.Resources // the greatest of each
	stale            bool
}

// offeringInfo is a kind with its type looked up.
type offeringInfo struct {
	InstanceOffering
	machineType *MachineType
}

// ClusterView is a shard's machines for one round of placement.
type ClusterView struct {
	SpareCPUs       float64 // processors free on machines that are up
	ReservedCPUs    float64 // of which so many are kept for groups with a start aim
	PacedStartsLeft int     // starts without a start aim that may still leave
	Examined        int     // what was looked at, a measure of the round's cost

	catalog         *Catalog
	nowMS           int64
	offerings       []offeringInfo
	offeringIndex   map[InstanceOffering]int
	lastOffering    int
	machinePool     []*Machine
	machines        []*Machine
	scanEntries     []scanEntry
	blocks          []block
	searchID        uint32
	round           uint32
	cachesByImage   map[string]map[*ImageCache]struct{} // by image
	machinesByImage map[string]*imageMachines           // the same in this round, as far as it was asked for
	search          CandidateSearch

	reducer availability.Reducer
}

// NewClusterView makes an empty board.
func NewClusterView(catalog *Catalog) *ClusterView {
	return &ClusterView{
		catalog:         catalog,
		offeringIndex:   map[InstanceOffering]int{},
		cachesByImage:   map[string]map[*ImageCache]struct{}{},
		machinesByImage: map[string]*imageMachines{},
	}
}

// Begin empties the board for a round at a time of day.
func (v *ClusterView) Begin(nowMS int64) {
	v.nowMS, v.machines, v.Examined = nowMS, v.machines[:0], 0
	// A type may have changed: kinds are looked up again.
	v.offerings = v.offerings[:0]
	clear(v.offeringIndex)
	clear(v.machinesByImage)
	v.round++
}

// Machines are all machines, in their places.
func (v *ClusterView) Machines() []*Machine { return v.machines }

// AddMachine puts a machine with all of its room free on the board, nil if its type is
// not known. What it returns is filled by the caller, until Done.
func (v *ClusterView) AddMachine(id string, offering InstanceOffering, cache *ImageCache) *Machine {
	// Machines that were rented together stand together, and are of one kind.
	i, ok := v.lastOffering, v.lastOffering < len(v.offerings) && v.offerings[v.lastOffering].InstanceOffering == offering
	if !ok {
		i, ok = v.offeringIndex[offering]
	}
	if !ok {
		machineType := v.catalog.Type(offering.Type)
		if machineType == nil {
			return nil
		}
		i = len(v.offerings)
		v.offeringIndex[offering] = i
		v.offerings = append(v.offerings, offeringInfo{offering, machineType})
	}
	v.lastOffering = i
	index := len(v.machines)
	if index == len(v.machinePool) {
		v.machinePool = append(v.machinePool, &Machine{})
	}
	m := v.machinePool[index]
	machineType := v.offerings[i].machineType
	*m = Machine{
		Offering:      offering,
		Type:          machineType,
		Index:         index,
		ReadyAtMS:     v.nowMS,
		Free:          machineType.Resources,
		Slots:         m.Slots[:0],
		ID:            id,
		offeringIndex: i,
	}
	v.machines = append(v.machines, m)
	if cache != nil {
		cache.round, cache.machineIndex = v.round, int32(index)
	}
	return m
}

// FinishAdding ends the filling of the board.
func (v *ClusterView) FinishAdding() {
	v.blocks, v.scanEntries = v.blocks[:0], v.scanEntries[:0]
	v.SpareCPUs = 0
	for i, m := range v.machines {
		if i%blockSize == 0 {
			if n := len(v.blocks); n < cap(v.blocks) {
				v.blocks = v.blocks[:n+1] // with the memory of its bounds
			} else {
				v.blocks = append(v.blocks, block{})
			}
			v.blocks[len(v.blocks)-1].stale = true
		}
		v.scanEntries = append(v.scanEntries, scanEntry{offeringIndex: int32(m.offeringIndex), queues: m.computeBounds()})
		if m.Ready {
			v.SpareCPUs += m.Free.CPUs
		}
	}
	v.Examined += len(v.machines)
}

// MarkFreeChanged says that a machine's free room is another.
func (v *ClusterView) MarkFreeChanged(m *Machine) { v.blocks[m.Index/blockSize].stale = true }

// computeBounds is the bounds of a machine's queues.
func (m *Machine) computeBounds() queueBounds {
	all := emptyBounds
	for i := range m.Slots {
		q := &m.Slots[i].Queue
		bounds := queueBounds{
			minEndMS:      q.End(),
			minStartMS:    q.EarliestStart,
			maxSlackMS:    math.MinInt64,
			maxDeadlineMS: math.MinInt64,
			maxResources:  m.Slots[i].Resources,
		}
		if last, ok := q.LastDeadline(); ok {
			bounds.maxDeadlineMS, bounds.maxSlackMS = last, last-bounds.minEndMS
		}
		all.widen(&bounds)
	}
	return all
}

// refreshBounds brings the bounds up after something was placed on a machine.
func (v *ClusterView) refreshBounds(m *Machine) {
	v.scanEntries[m.Index].queues = m.computeBounds()
	v.blocks[m.Index/blockSize].stale = true
}

// blockMachines are those of a block.
func (v *ClusterView) blockMachines(i int) []*Machine {
	return v.machines[i*blockSize : min((i+1)*blockSize, len(v.machines))]
}

// refreshedBlock returns a block with its bounds brought up to its machines.
func (v *ClusterView) refreshedBlock(i int) *block {
	block := &v.blocks[i]
	v.Examined++
	if block.stale {
		block.stale, block.queues, block.maxFree, block.queuesByOffering = false, emptyBounds, availability.Resources{}, block.queuesByOffering[:0]
		for range v.offerings {
			block.queuesByOffering = append(block.queuesByOffering, emptyBounds)
		}
		for _, m := range v.blockMachines(i) {
			entry := &v.scanEntries[m.Index]
			block.queues.widen(&entry.queues)
			block.queuesByOffering[m.offeringIndex].widen(&entry.queues)
			block.maxFree = componentMax(block.maxFree, m.Free)
		}
		v.Examined += blockSize
	}
	return block
}

// CountStartable is how many tasks of a group, at most limit, have room side by side on
// machines, up or booting.
func (v *ClusterView) CountStartable(g *Group, limit int) (n int) {
	request := g.Request.WithoutImage()
	uses := v.offeringUses(g)
	for i := range v.blocks {
		if n >= limit {
			break
		}
		if !v.refreshedBlock(i).maxFree.Contains(request) {
			continue
		}
		for _, m := range v.blockMachines(i) {
			if v.Examined++; uses[m.offeringIndex].allowed {
				n += m.Free.MaxCopies(request, min(limit-n, g.zoneAllowance(m)))
			}
		}
	}
	return min(n, limit)
}

// Summary is the board's availability as peers see it, up to a horizon: a function for each machine's free
// room and one for each queue, reduced.
func (v *ClusterView) Summary(horizonMS int64, maxFunctions, maxSamples int) availability.Summary {
	reducer := &v.reducer
	slots := 0
	for _, m := range v.machines {
		slots += len(m.Slots)
	}
	reducer.CoarseStarts = slots > maxFunctions // otherwise nothing need be lost
	reducer.Begin(maxFunctions, maxSamples, v.nowMS, horizonMS-v.nowMS)
	names := make([]string, len(v.offerings))
	for i, offering := range v.offerings {
		names[i] = offering.Key()
	}
	var queue availability.Queue
	for _, m := range v.machines {
		name, disk := names[m.offeringIndex], m.Type.Resources.DiskGB
		if m.Free.CPUs > 0 && m.Free.MemoryGB > 0 {
			queue.Reset(m.ReadyAtMS)
			resources := m.Free
			resources.DiskGB = disk
			reducer.AddQueue(name, resources, &queue)
		}
		for i := range m.Slots {
			slot := &m.Slots[i]
			resources := slot.Resources
			resources.DiskGB = disk
			reducer.AddQueue(name, resources, &slot.Queue)
		}
	}
	return reducer.Summary()
}

// Key is what a sampled function says of its machines beside their room.
func (o InstanceOffering) Key() string {
	market := "-"
	if o.Spot {
		market = "s"
	}
	return market + "|" + o.Zone + "|" + o.Type
}

// ParseInstanceOffering is the inverse of Name; what is no name is of no type.
func ParseInstanceOffering(key string) InstanceOffering {
	fields := strings.SplitN(key, "|", 3)
	if len(fields) != 3 {
		return InstanceOffering{}
	}
	return InstanceOffering{Type: fields[2], Zone: fields[1], Spot: fields[0] == "s"}
}
