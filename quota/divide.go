package quota

import (
	"cmp"
	"slices"
)

// Claim is a shard's claim on an amount that is to be divided.
type Claim struct {
	Shard        string
	Startable    Amounts // what can start at once
	Total        Amounts // all pending work, Startable included
	MinIncrement Amounts // the smallest useful grant
	SinceMS      int64   // time of day since when the claim has waited
}

// compare orders claims by age, then by shard.
func (c Claim) compare(other Claim) int {
	return cmp.Or(cmp.Compare(c.SinceMS, other.SinceMS), cmp.Compare(c.Shard, other.Shard))
}

// Divide divides an amount among claims of different shards and returns the grant of each.
// What can start at once goes before what would wait for machines in any case. Within each, the
// smallest useful grant of each claim goes first, the oldest claim before the others, and the
// rest in proportion to what is still unmet.
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

// division is a run of Divide: what is left, and what each claim has by now.
type division struct {
	pool   Amounts
	claims []Claim // the oldest first
	grants map[string]Amounts
}

// distribute grants up to requested(claim) in total to each claim.
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
	d.pool = d.pool.Sub(amount).nonNegative() // rounding may leave less than nothing
}

// grantableRatio returns the share of what is unmet that the pool has.
func grantableRatio(pool, unmet float64) float64 {
	if unmet <= pool {
		return 1
	}
	return pool / unmet
}
