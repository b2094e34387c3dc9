package planner

import (
	"maps"
	"math/bits"
	"slices"
)

// Image is what is known of an image on a machine.
type Image struct {
	LastUsedMS int64 // time of day, ms
	SizeGB     float64
}

// ImageCache is what a machine has of its own on a board from round to round: the images
// that its cache should hold. A nil seat has none.
type ImageCache struct {
	view         *ClusterView
	images       map[string]Image
	round        uint32 // the last in which it had a place
	machineIndex int32
}

// NewImageCache gives a machine a seat. Leave gives it back.
func (v *ClusterView) NewImageCache() *ImageCache { return &ImageCache{view: v} }

// Has tells whether an image should be there.
func (c *ImageCache) Has(image string) bool {
	if c == nil {
		return false
	}
	_, ok := c.images[image]
	return ok
}

// RecordUse notes the use of an image, and forgets those that the machine's cache (GB; 0:
// without bounds) has dropped for it, which are the ones used longest ago. A machine that was up for
// a while was taken to have every image it ever used, and starts there that were
// to be at once waited for a fetch.
func (c *ImageCache) RecordUse(name string, image Image, capacityGB float64) {
	if c.images == nil {
		c.images = map[string]Image{}
	}
	_, known := c.images[name]
	c.images[name] = image
	if known {
		return
	}
	caches := c.view.cachesByImage[name]
	if caches == nil {
		caches = map[*ImageCache]struct{}{}
		c.view.cachesByImage[name] = caches
	}
	caches[c] = struct{}{}
	if capacityGB <= 0 {
		return
	}
	totalGB := 0.0
	for _, otherName := range slices.Sorted(maps.Keys(c.images)) { // the same sum every time
		totalGB += c.images[otherName].SizeGB
	}
	for totalGB > capacityGB && len(c.images) > 1 {
		oldest := ""
		for otherName, other := range c.images {
			if previous := c.images[oldest]; otherName != name &&
				(oldest == "" || other.LastUsedMS < previous.LastUsedMS || other.LastUsedMS == previous.LastUsedMS && otherName < oldest) {
				oldest = otherName
			}
		}
		totalGB -= c.images[oldest].SizeGB
		c.evict(oldest)
	}
}

func (c *ImageCache) evict(image string) {
	delete(c.images, image)
	if caches := c.view.cachesByImage[image]; caches != nil {
		if delete(caches, c); len(caches) == 0 {
			delete(c.view.cachesByImage, image)
		}
	}
}

// Remove takes a machine's images off the board.
func (c *ImageCache) Remove() {
	if c == nil {
		return
	}
	for image := range c.images {
		c.evict(image)
	}
}

// imageMachines are the machines of a round with an image, in their places.
type imageMachines struct {
	indexes []int32
	bitmap  []uint64
}

func (m *imageMachines) contains(index int) bool {
	return m != nil && m.bitmap[index>>6]>>(index&63)&1 != 0
}

// machinesWithImage looks up, once a round, who has an image; nil: nobody.
func (v *ClusterView) machinesWithImage(image string) *imageMachines {
	machines, ok := v.machinesByImage[image]
	if ok {
		return machines
	}
	if caches := v.cachesByImage[image]; len(caches) > 0 {
		machines = &imageMachines{bitmap: make([]uint64, (len(v.machines)+63)/64)}
		for cache := range caches {
			if cache.round == v.round {
				machines.bitmap[cache.machineIndex>>6] |= 1 << (cache.machineIndex & 63)
			}
		}
		machines.indexes = make([]int32, 0, len(caches))
		for i, word := range machines.bitmap {
			for ; word != 0; word &= word - 1 {
				machines.indexes = append(machines.indexes, int32(i<<6+bits.TrailingZeros64(word)))
			}
		}
		machines.indexes = slices.Clip(machines.indexes)
		v.Examined += len(machines.indexes)
	}
	v.machinesByImage[image] = machines
	return machines
}
