package availability

import "math"

// Resources is the resources of a machine that a queue's tasks may use, or that a task requests. The paper has memory
// and disk. This package adds CPUs and GPUs, since tasks that request different amounts of them share a machine.
type Resources struct {
	CPUs     float64 `json:"CPUs"     msgpack:"CPUs"`
	GPUs     float64 `json:"GPUs"     msgpack:"GPUs"`
	MemoryGB float64 `json:"MemoryGB" msgpack:"MemoryGB"`
	DiskGB   float64 `json:"DiskGB"   msgpack:"DiskGB"`
}

// roundingTolerance absorbs the rounding of sums of decimal amounts.
const roundingTolerance = 1e-6

// Contains reports whether the resources are sufficient for a request.
func (r Resources) Contains(request Resources) bool {
	return request.CPUs <= r.CPUs+roundingTolerance &&
		request.GPUs <= r.GPUs+roundingTolerance &&
		request.MemoryGB <= r.MemoryGB+roundingTolerance &&
		request.DiskGB <= r.DiskGB+roundingTolerance
}

// MaxCopies returns the number of equal requests, at most limit, that fit at the same time. Disk is not divided, since
// tasks on one machine share its images.
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

// Add returns the resources plus the CPUs, GPUs and memory of a request. Disk stays the same.
func (r Resources) Add(request Resources) Resources {
	r.CPUs += request.CPUs
	r.GPUs += request.GPUs
	r.MemoryGB += request.MemoryGB
	return r
}

// Sub returns the resources minus the CPUs, GPUs and memory of a request. Disk stays the same.
func (r Resources) Sub(request Resources) Resources {
	r.CPUs -= request.CPUs
	r.GPUs -= request.GPUs
	r.MemoryGB -= request.MemoryGB
	return r
}

// componentMin returns the minimum of each resource.
func (r Resources) componentMin(other Resources) Resources {
	return Resources{
		min(r.CPUs, other.CPUs),
		min(r.GPUs, other.GPUs),
		min(r.MemoryGB, other.MemoryGB),
		min(r.DiskGB, other.DiskGB),
	}
}

// componentMax returns the maximum of each resource.
func (r Resources) componentMax(other Resources) Resources {
	return Resources{
		max(r.CPUs, other.CPUs),
		max(r.GPUs, other.GPUs),
		max(r.MemoryGB, other.MemoryGB),
		max(r.DiskGB, other.DiskGB),
	}
}
