package planner

import (
	"cmp"
	"maps"
	"math/bits"
	"slices"
)

// Image describes an image on a machine.
type Image struct {
	LastUsedMS int64 // wall-clock time, ms
	SizeGB     float64
}

// ImageCache holds the images that a machine's cache is expected to contain. It persists between rounds, unlike the
// machine's entry in the view. A nil cache contains no images.
type ImageCache struct {
	view         *ClusterView
	images       map[string]Image
	round        uint32 // last round in which the machine was in the view
	machineIndex int32  // index of the machine in that round
}

// imageIndex finds machines by the images in their caches.
type imageIndex struct {
	cachesByImage   map[string]map[*ImageCache]struct{}
	machinesByImage map[string]*imageMachines // this round's results of machinesWithImage
}

// NewImageCache returns the cache of a machine. The caller must call Remove after the machine is removed.
func (v *ClusterView) NewImageCache() *ImageCache { return &ImageCache{view: v} }

// Has reports whether the cache is expected to contain an image.
func (c *ImageCache) Has(image string) bool {
	if c == nil {
		return false
	}
	_, ok := c.images[image]
	return ok
}

// RecordUse records the use of an image, and evicts least recently used images that no longer fit the machine's cache
// (capacity in GB; 0: unbounded). Without eviction, the planner assumed that a long-running machine had every image it
// ever used, and starts expected to be immediate waited for a fetch.
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
	if capacityGB > 0 {
		c.evictBeyond(capacityGB, name)
	}
}

// evictBeyond evicts least recently used images, except kept, until the remaining images fit the capacity.
func (c *ImageCache) evictBeyond(capacityGB float64, kept string) {
	totalGB := 0.0
	for _, name := range slices.Sorted(maps.Keys(c.images)) { // sorted: floating-point rounding depends on the order
		totalGB += c.images[name].SizeGB
	}
	for totalGB > capacityGB && len(c.images) > 1 {
		oldest := c.leastRecentlyUsed(kept)
		totalGB -= c.images[oldest].SizeGB
		c.evict(oldest)
	}
}

// leastRecentlyUsed returns the least recently used image, excluding except. Images last used at the same time are
// ordered by name.
func (c *ImageCache) leastRecentlyUsed(except string) string {
	oldest := ""
	for name, image := range c.images {
		if name == except {
			continue
		}
		order := cmp.Or(cmp.Compare(image.LastUsedMS, c.images[oldest].LastUsedMS), cmp.Compare(name, oldest))
		if oldest == "" || order < 0 {
			oldest = name
		}
	}
	return oldest
}

func (c *ImageCache) evict(image string) {
	delete(c.images, image)
	if caches := c.view.cachesByImage[image]; caches != nil {
		if delete(caches, c); len(caches) == 0 {
			delete(c.view.cachesByImage, image)
		}
	}
}

// Remove removes a machine's images from the view. It is called after the machine is removed.
func (c *ImageCache) Remove() {
	if c == nil {
		return
	}
	for image := range c.images {
		c.evict(image)
	}
}

// imageMachines is the set of a round's machines that have an image, by index in the view.
type imageMachines struct {
	indexes []int32 // ascending
	bitmap  []uint64
}

func (m *imageMachines) contains(index int) bool {
	return m != nil && m.bitmap[index>>6]>>(index&63)&1 != 0
}

// machinesWithImage returns the machines that have an image, or nil if none has. It computes each result once per
// round.
func (v *ClusterView) machinesWithImage(image string) *imageMachines {
	machines, ok := v.machinesByImage[image]
	if ok {
		return machines
	}
	if caches := v.cachesByImage[image]; len(caches) > 0 {
		machines = v.indexMachines(caches)
	}
	v.machinesByImage[image] = machines
	return machines
}

// indexMachines returns the machines of this round to which the caches belong.
func (v *ClusterView) indexMachines(caches map[*ImageCache]struct{}) *imageMachines {
	machines := &imageMachines{bitmap: make([]uint64, (len(v.machines)+63)/64)}
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
	return machines
}
