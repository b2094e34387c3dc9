package planner

import (
	"math"

	"github.com/grebedock/grebedock/availability"
)

// Slot is one queue of a machine: the resources for one task at a time, with the running task at the queue's head.
type Slot struct {
	Resources availability.Resources
	Queue     availability.Queue
}

// Machine is the planner's view of a machine.
type Machine struct {
	Offering  InstanceOffering
	Type      *MachineType
	Index     int   // index in ClusterView.Machines
	ReadyAtMS int64 // earliest start of a task, wall-clock time in ms
	Ready     bool  // true: up; false: booting
	Free      availability.Resources
	Slots     []Slot
	ID        string

	offeringIndex int // index in offeringTable.offerings
}

// AddSlot opens a queue on the machine that can start its first task at the given wall-clock time, in ms. It reuses the
// memory of earlier rounds' queues. The pointer is valid until the next AddSlot.
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

// computeBounds returns the bounds of the machine's queues.
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
