package planner

import (
	"math"

	"github.com/grebedock/grebedock/availability"
)

// queueBounds bounds what a set of queues can still take; the package comment has the derivation.
type queueBounds struct {
	minEndMS, minStartMS      int64
	maxSlackMS, maxDeadlineMS int64
	maxResources              availability.Resources // of each resource by itself
}

// emptyBounds are the bounds of no queue: they admit nothing, and widening them gives the other bounds.
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

// widen makes the bounds hold for the other queues too.
func (b *queueBounds) widen(other *queueBounds) {
	b.minEndMS = min(b.minEndMS, other.minEndMS)
	b.minStartMS = min(b.minStartMS, other.minStartMS)
	b.maxSlackMS = max(b.maxSlackMS, other.maxSlackMS)
	b.maxDeadlineMS = max(b.maxDeadlineMS, other.maxDeadlineMS)
	b.maxResources = componentMax(b.maxResources, other.maxResources)
}

// mayAdmit reports whether any of the queues may take a task of a length by a deadline; false is certain.
func (b *queueBounds) mayAdmit(request availability.Resources, deadlineMS, lengthMS int64) bool {
	return b.maxAvailableMS(deadlineMS) >= lengthMS && b.maxResources.Contains(request)
}

// componentMax is the greatest of each resource. Disk is left out: requests are compared without their image.
func componentMax(a, b availability.Resources) availability.Resources {
	return availability.Resources{
		CPUs:     max(a.CPUs, b.CPUs),
		GPUs:     max(a.GPUs, b.GPUs),
		MemoryGB: max(a.MemoryGB, b.MemoryGB),
	}
}

// scanEntry is what a scan of all machines reads of each, side by side in memory.
type scanEntry struct {
	queues        queueBounds
	offeringIndex int32
	openForSearch uint32 // the search for whose group the machine had free resources
}

// blockSize is how many machines share bounds: about the square root of a shard's.
const blockSize = 32

// block is the bounds of blockSize machines that are neighbours in the view.
type block struct {
	queues           queueBounds
	queuesByOffering []queueBounds          // indexed as offeringTable.offerings
	maxFree          availability.Resources // of each resource by itself
	stale            bool                   // a machine of it has changed since
}

// searchIndex is what keeps searches from touching every machine.
type searchIndex struct {
	scanEntries []scanEntry // indexed as ClusterView.machines
	blocks      []block
	searchID    uint32 // of the running search
}

// addBlock appends a stale block that reuses the memory of earlier rounds' bounds.
func (index *searchIndex) addBlock() {
	if n := len(index.blocks); n < cap(index.blocks) {
		index.blocks = index.blocks[:n+1]
	} else {
		index.blocks = append(index.blocks, block{})
	}
	index.blocks[len(index.blocks)-1].stale = true
}

// MarkFreeChanged must follow a change of a machine's free resources by the caller.
func (v *ClusterView) MarkFreeChanged(m *Machine) { v.blocks[m.Index/blockSize].stale = true }

// refreshBounds recomputes a machine's bounds after something was placed on it.
func (v *ClusterView) refreshBounds(m *Machine) {
	v.scanEntries[m.Index].queues = m.computeBounds()
	v.blocks[m.Index/blockSize].stale = true
}

// blockMachines returns the machines of a block.
func (v *ClusterView) blockMachines(i int) []*Machine {
	return v.machines[i*blockSize : min((i+1)*blockSize, len(v.machines))]
}

// refreshedBlock returns a block, its bounds recomputed if a machine of it has changed.
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
