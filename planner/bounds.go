package planner

import (
	"math"

	"github.com/grebedock/grebedock/availability"
)

// queueBounds bounds what a set of queues can still accept. The package comment derives the bounds.
type queueBounds struct {
	minEndMS, minStartMS      int64
	maxSlackMS, maxDeadlineMS int64
	maxResources              availability.Resources // maximum of each resource separately
}

// emptyBounds are the bounds of an empty set of queues. They admit no task, and widening them with other bounds yields
// those bounds.
var emptyBounds = queueBounds{
	minEndMS:      math.MaxInt64,
	minStartMS:    math.MaxInt64,
	maxSlackMS:    math.MinInt64,
	maxDeadlineMS: math.MinInt64,
}

// maxAvailableMS returns an upper bound of l(deadline) over the queues.
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

// widen extends the bounds to cover the queues of other.
func (b *queueBounds) widen(other *queueBounds) {
	b.minEndMS = min(b.minEndMS, other.minEndMS)
	b.minStartMS = min(b.minStartMS, other.minStartMS)
	b.maxSlackMS = max(b.maxSlackMS, other.maxSlackMS)
	b.maxDeadlineMS = max(b.maxDeadlineMS, other.maxDeadlineMS)
	b.maxResources = componentMax(b.maxResources, other.maxResources)
}

// mayAdmit reports whether any of the queues may accept a task of the given length by the deadline. There are no false
// negatives.
func (b *queueBounds) mayAdmit(request availability.Resources, deadlineMS, lengthMS int64) bool {
	return b.maxAvailableMS(deadlineMS) >= lengthMS && b.maxResources.Contains(request)
}

// componentMax returns the maximum of each resource. It omits disk, since requests are compared without their image.
func componentMax(a, b availability.Resources) availability.Resources {
	return availability.Resources{
		CPUs:     max(a.CPUs, b.CPUs),
		GPUs:     max(a.GPUs, b.GPUs),
		MemoryGB: max(a.MemoryGB, b.MemoryGB),
	}
}

// scanEntry holds the fields of a machine that a scan of all machines reads, contiguous in memory.
type scanEntry struct {
	queues        queueBounds
	offeringIndex int32
	openForSearch uint32 // ID of the last search for whose group the machine had free resources
}

// blockSize is the number of machines that share bounds, about the square root of a shard's machine count.
const blockSize = 32

// block holds the bounds of blockSize machines with consecutive indexes in the view.
type block struct {
	queues           queueBounds
	queuesByOffering []queueBounds          // indexed as offeringTable.offerings
	maxFree          availability.Resources // maximum of each resource separately
	stale            bool                   // a machine of the block has changed since the bounds were computed
}

// searchIndex lets searches skip machines that cannot accept a task.
type searchIndex struct {
	scanEntries []scanEntry // indexed as ClusterView.machines
	blocks      []block
	searchID    uint32 // ID of the current search
}

// addBlock appends a stale block, reusing the memory of earlier rounds.
func (index *searchIndex) addBlock() {
	if n := len(index.blocks); n < cap(index.blocks) {
		index.blocks = index.blocks[:n+1]
	} else {
		index.blocks = append(index.blocks, block{})
	}
	index.blocks[len(index.blocks)-1].stale = true
}

// MarkFreeChanged must be called after the caller changes a machine's free resources.
func (v *ClusterView) MarkFreeChanged(m *Machine) { v.blocks[m.Index/blockSize].stale = true }

// refreshBounds recomputes a machine's bounds after a task is placed on it.
func (v *ClusterView) refreshBounds(m *Machine) {
	v.scanEntries[m.Index].queues = m.computeBounds()
	v.blocks[m.Index/blockSize].stale = true
}

// blockMachines returns the machines of a block.
func (v *ClusterView) blockMachines(i int) []*Machine {
	return v.machines[i*blockSize : min((i+1)*blockSize, len(v.machines))]
}

// refreshedBlock returns a block, after recomputing its bounds if one of its machines has changed.
func (v *ClusterView) refreshedBlock(i int) *block {
	block := &v.blocks[i]
	v.Examined++
	if !block.stale {
		return block
	}
	block.stale = false
	block.queues, block.maxFree = emptyBounds, availability.Resources{}
	block.queuesByOffering = block.queuesByOffering[:0]
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
	return block
}
