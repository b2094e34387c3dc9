package availability

import "math"

// Odd factors that spread the bits of small numbers over a hash.
const (
	hashFactor      = 0x9e3779b97f4a7c15
	otherHashFactor = 0xc2b2ae3d27d4eb4f
)

// hashKind returns a hash of a kind and resources.
func hashKind(kind string, resources Resources) uint64 {
	h := uint64(len(kind))
	for i := range len(kind) {
		h = h*31 + uint64(kind[i])
	}
	h = mixHash(h, math.Float64bits(resources.CPUs)+math.Float64bits(resources.MemoryGB)*hashFactor)
	return mixHash(h, math.Float64bits(resources.GPUs)+math.Float64bits(resources.DiskGB)*hashFactor)
}

// mixHash mixes a number into a hash with the finalizer of MurmurHash3.
func mixHash(h, x uint64) uint64 {
	h ^= x
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	h = (h ^ h>>33) * 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

func hashQueue(kind string, resources Resources, q *Queue) uint64 {
	h := mixHash(hashKind(kind, resources), uint64(q.EarliestStart))
	for _, e := range q.entries {
		h = mixHash(h, uint64(e.Deadline)*hashFactor+uint64(e.Length)*otherHashFactor+uint64(e.Count))
	}
	return h
}

func hashFunction(f *Function) uint64 {
	h := hashKind(f.Kind, f.Resources)
	for _, s := range f.Samples {
		h = mixHash(h, uint64(s.TimeMS)*hashFactor+uint64(s.AvailableMS))
	}
	return h
}
