package quota

import (
	"cmp"
	"slices"
)

// Claim is a shard's claim on a part of an amount to divide.
type Claim struct {
	Shard        string
	Startable    Amounts // tasks that can start at once
	Total        Amounts // all pending work, Startable included
	MinIncrement Amounts // the smallest useful grant
	SinceMS      int64   // wall-clock time at which the claim began to wait
}

// compare orders claims by age, oldest first, then by shard.
func (c Claim) compare(other Claim) int {
	return cmp.Or(cmp.Compare(c.SinceMS, other.SinceMS), cmp.Compare(c.Shard, other.Shard))
}

// Divide divides an amount among claims of different shards and returns the grant of each shard.
// It serves tasks that can start at once before tasks that would wait for machines anyway. In both
// steps it first grants each claim its smallest useful amount, oldest claim first. It then divides
// the remainder in proportion to the unmet amounts.
func Divide(pool Amounts, claims []Claim) map[string]Amounts {
	d := division{pool: pool, claims: slices.Clone(claims), grants: map[string]Amounts{}}
	slices.SortFunc(d.claims, Claim.compare)
	for _, c := range d.claims {
		d.grants[c.Shard] = Amounts{}
	}
	d.distribute(func(c Claim) Amounts { return c.Startable })
	d.distribute(func(c Claim) Amounts { return c.Total })
	return d.grants
}

// division is the state of a Divide call: the remaining pool and the grants so far.
type division struct {
	pool   Amounts
	claims []Claim // oldest first
	grants map[string]Amounts
}

// distribute raises the grant of each claim up to a total of requested(claim).
func (d *division) distribute(requested func(Claim) Amounts) {
	unmet := func(c Claim) Amounts { return requested(c).Sub(d.grants[c.Shard]) }
	for _, c := range d.claims {
		increment := c.MinIncrement.Sub(d.grants[c.Shard])
		d.grant(c.Shard, unmet(c).Min(increment).nonNegative().Min(d.pool))
	}
	var totalUnmet Amounts
	for _, c := range d.claims {
		totalUnmet = totalUnmet.Add(unmet(c).nonNegative())
	}
	cpuRatio := grantableRatio(d.pool.CPUs, totalUnmet.CPUs)
	gpuRatio := grantableRatio(d.pool.GPUs, totalUnmet.GPUs)
	for _, c := range d.claims {
		rest := unmet(c).nonNegative()
		d.grant(c.Shard, Amounts{rest.CPUs * cpuRatio, rest.GPUs * gpuRatio})
	}
}

func (d *division) grant(shard string, amount Amounts) {
	d.grants[shard] = d.grants[shard].Add(amount)
	d.pool = d.pool.Sub(amount).nonNegative() // rounding errors may make the result negative
}

// grantableRatio returns the fraction of the unmet amount that the pool can serve.
func grantableRatio(pool, unmet float64) float64 {
	if unmet <= pool {
		return 1
	}
	return pool / unmet
}
