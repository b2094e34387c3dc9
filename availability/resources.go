package availability

import "math"

// Resources is what a queue's tasks may take of their machine, or what a task requests of one. The paper has memory and
// disk; processors and accelerators are added, since the machines here are shared by tasks that request different
// amounts of them.
type Resources struct {
	CPUs     float64 `json:"CPUs"     msgpack:"CPUs"`
	GPUs     float64 `json:"GPUs"     msgpack:"GPUs"`
	MemoryGB float64 `json:"MemoryGB" msgpack:"MemoryGB"`
	DiskGB   float64 `json:"DiskGB"   msgpack:"DiskGB"`
}

// roundingTolerance absorbs the rounding of sums of decimal amounts.
const roundingTolerance = 1e-6

// Contains reports whether the resources suffice for a request.
func (r Resources) Contains(request Resources) bool {
	return request.CPUs <= r.CPUs+roundingTolerance &&
		request.GPUs <= r.GPUs+roundingTolerance &&
		request.MemoryGB <= r.MemoryGB+roundingTolerance &&
		request.DiskGB <= r.DiskGB+roundingTolerance
}

// MaxCopies is how many requests fit side by side, at most limit. Disk is not divided: tasks on one machine share its
// images.
func (r Resources) MaxCopies(request Resources, limit int) int {
	n := float64(limit)
	dimensions := [...]struct{ available, requested float64 }{
		{r.CPUs, request.CPUs},
		{r.GPUs, request.GPUs},
		{r.MemoryGB, request.MemoryGB},
	}
	for _, d := range dimensions {
		if d.requested > 0 {
			n = min(n, math.Floor((d.available+roundingTolerance)/d.requested))
		}
	}
	return max(0, int(n))
}

// Add returns the resources with a request's processors, accelerators and memory added; disk stays.
func (r Resources) Add(request Resources) Resources {
	r.CPUs += request.CPUs
	r.GPUs += request.GPUs
	r.MemoryGB += request.MemoryGB
	return r
}

// Sub returns the resources without a request's processors, accelerators and memory; disk stays.
func (r Resources) Sub(request Resources) Resources {
	r.CPUs -= request.CPUs
	r.GPUs -= request.GPUs
	r.MemoryGB -= request.MemoryGB
	return r
}

// componentMin is the least of each resource.
func (r Resources) componentMin(other Resources) Resources {
	return Resources{
		min(r.CPUs, other.CPUs),
		min(r.GPUs, other.GPUs),
		min(r.MemoryGB, other.MemoryGB),
		min(r.DiskGB, other.DiskGB),
	}
}

// componentMax is the greatest of each resource.
func (r Resources) componentMax(other Resources) Resources {
	return Resources{
		max(r.CPUs, other.CPUs),
		max(r.GPUs, other.GPUs),
		max(r.MemoryGB, other.MemoryGB),
		max(r.DiskGB, other.DiskGB),
	}
}
