// Package quota keeps teams' limits and guarantees while several controllers decide
// for themselves, at the same moment, with some of them away. It is pure: what is used,
// what waits and what others said comes in; what may be used, written or stopped goes
// out. Times are milliseconds.
//
// A limit is divided among the shards by one record a team in the state service (Book):
//
//	parts    what each shard may use; over all shards never more than the limit
//	wants    what shards lack: how much, how much of it at once, the smallest use, since when
//
// A write is a shard's, under its claim and the record's revision. It lowers the writer's
// own part by what it gives to shards that want it, and says what the writer lacks itself,
// so at any revision the parts add up to the limit, whoever writes, in whatever order, and
// a write that comes late is refused. What one member counts on for a shard of its own:
//
//	the record's part          no write of the shard is under way
//	the smaller of both        a write is under way: sent, unanswered, or answered by nobody
//	the record's part          a newer revision is known: the write was applied or is void
//
// A write that nobody answered is in doubt until it is settled (package indoubt): a refusal
// of a further try says nothing of the first. Without a record the whole limit
// is the home's, the shard that the team's jobs go to. Where the limit in force is lower
// than what the parts add up to, all are taken in proportion; where it is higher, the rest
// is the home's. So members whose settings differ for a while keep to the larger limit.
//
// What a giver has beyond its use goes first to what can start at once, here and there,
// the smallest use of the longest waiting first, so that one large task is not starved by
// halves; then to the rest, in proportion to what waits (Divide). What it keeps and can't
// use, since its next task is larger, it keeps for a while only (Patience): then others
// have it, and its own task waits anew.
//
// A guarantee needs no record. Which jobs are within it follows from the jobs themselves,
// which every member mirrors (Within): a team's unfinished jobs in the order in which they
// came, as far as they fit together. A task of such a job is in one shard's hands, so it
// is asked for once, and all that is asked for is no more than the guarantee.
//
// What may be stopped for it is what teams use beyond their own guarantees, over all
// members (Watch). Each may stop its part of the excess, in proportion to what it has;
// and having stopped something, no more than that part until each of the others has
// said what it uses after it heard of that. So decisions that know nothing of each other rest
// on the same figures, and no team is pushed below its guarantee. A member that is not
// heard counts as using nothing, which leaves less to stop.
package quota

import (
	"maps"
	"slices"

	"github.com/grebedock/grebedock/access"
	"github.com/grebedock/grebedock/indoubt"
)

// Amounts is what limits and guarantees count.
type Amounts struct {
	CPUs float64 `json:"cpus,omitempty" msgpack:"CPUs"`
	GPUs float64 `json:"gpus,omitempty" msgpack:"GPUs"`
}

// Add adds up.
func (a Amounts) Add(b Amounts) Amounts { return Amounts{a.CPUs + b.CPUs, a.GPUs + b.GPUs} }

// Sub takes b off a.
func (a Amounts) Sub(b Amounts) Amounts { return Amounts{a.CPUs - b.CPUs, a.GPUs - b.GPUs} }

// Times is n of a.
func (a Amounts) Times(n float64) Amounts { return Amounts{a.CPUs * n, a.GPUs * n} }

// Min is the smaller of both, each dimension by itself.
func (a Amounts) Min(b Amounts) Amounts { return Amounts{min(a.CPUs, b.CPUs), min(a.GPUs, b.GPUs)} }

// Max is the larger of both, each dimension by itself.
func (a Amounts) Max(b Amounts) Amounts { return Amounts{max(a.CPUs, b.CPUs), max(a.GPUs, b.GPUs)} }

// some tells whether there is anything worth a write.
func (a Amounts) some() bool { return a.CPUs > small || a.GPUs > small }

// small is what sums of fractions are off by.
const small = 1e-6

// Fits tells whether b has room in a.
func (a Amounts) Fits(b Amounts) bool { return b.CPUs <= a.CPUs+small && b.GPUs <= a.GPUs+small }

// Want is what a shard lacks of a limit.
type Want struct {
	Amounts
	Soon  Amounts `json:"soon,omitzero"` // of it, what has room on machines
	Unit  Amounts `json:"unit,omitzero"` // the smallest addition that is of use
	Since int64   `json:"at,omitempty"`  // time of day
}

// Record is a team's, in the state service.
type Record struct {
	Parts map[string]Amounts `json:"parts"`
	Wants map[string]Want    `json:"wants,omitempty"`
}

// Demand is what a shard has of a team's work.
type Demand struct {
	Use   Amounts // what runs, or may run without our knowing it
	Wait  Amounts // what does not
	Soon  Amounts // of it, what has room on machines
	Unit  Amounts // the largest task of it
	Large Amounts // the largest task of all, waiting or not
	Blind bool    // what is not seen may show room by itself: nothing is asked for
}

// Write is a change of a team's record that a shard's holder sends, guarded by its
// claim and by the record's revision; 0: there is none.
type Write struct {
	Shard  string
	Record Record
	indoubt.Write
}

// Book is a team's record as one member knows it, and the write that it has under way.
type Book struct {
	limit Amounts
	home  string
	all   []string // the other shards
	rec   *Record  // nil: none
	rev   uint64
	out   *Write
	parts map[string]Amounts // of the record; nil: not worked out yet
	// Patience is how long a shard keeps what its next task does not fit in while others
	// want it; 0: for ever.
	Patience int64
	idle     map[string]int64 // shard: since when it keeps such an amount
}

// NewBook opens the book of a team whose record is not known yet, or does not exist.
// A limit of 0 in a dimension means none. With other shards named, the home lends them
// standing parts while it has no use for them (see lend).
func NewBook(limit Amounts, home string, others ...string) *Book {
	return &Book{limit: limit, home: home, all: others}
}

// Heard takes the store's word; nil says that there is no record.
func (b *Book) Heard(rec *Record, rev uint64) {
	b.parts = nil
	switch {
	case rec == nil:
		b.rec, b.rev = nil, 0
	case rev >= b.rev:
		b.rec, b.rev = rec, rev
	}
}

// Record is the record as the store was last heard, nil if there is none.
func (b *Book) Record() *Record { return b.rec }

// Parts are all shards' parts: what the record, if there is one, means under the limit
// in force.
func (b *Book) Parts() map[string]Amounts { return maps.Clone(b.divided()) }

// divided works the parts out once for each record: every start asks for one.
func (b *Book) divided() map[string]Amounts {
	if b.parts == nil {
		b.parts = b.divide()
	}
	return b.parts
}

func (b *Book) divide() map[string]Amounts {
	if b.rec == nil || len(b.rec.Parts) == 0 {
		return map[string]Amounts{b.home: b.limit}
	}
	var sum Amounts
	for _, s := range slices.Sorted(maps.Keys(b.rec.Parts)) { // the same sum every time
		sum = sum.Add(b.rec.Parts[s])
	}
	out := maps.Clone(b.rec.Parts)
	scale := func(sum, limit float64) (times, rest float64) {
		if sum > limit && sum > 0 {
			return limit / sum, 0
		}
		return 1, limit - sum
	}
	ct, cr := scale(sum.CPUs, b.limit.CPUs)
	gt, gr := scale(sum.GPUs, b.limit.GPUs)
	if ct == 1 && gt == 1 && cr < small && gr < small {
		return out
	}
	for s, p := range out {
		out[s] = Amounts{p.CPUs * ct, p.GPUs * gt}
	}
	out[b.home] = out[b.home].Add(Amounts{cr, gr})
	return out
}

// Part is what a shard may use.
func (b *Book) Part(shard string) Amounts {
	p := b.divided()[shard]
	if b.out != nil && b.out.Shard == shard && b.rev <= b.out.Rev {
		p = p.Min(b.out.Record.Parts[shard])
	}
	return p
}

// riseWorth and fallWorth are by how much a want must change to be written anew: wants
// follow queues, which change with every task.
const (
	riseWorth = 1.25
	fallWorth = 0.5
)

// Draft returns the write that a shard's demand asks for, and takes it for sent; nil
// if there is none. It gives what others want of what this shard does not need, and
// tells what it lacks.
func (b *Book) Draft(now int64, shard string, d Demand) *Write {
	if b.out != nil {
		return nil
	}
	var wants map[string]Want
	if b.rec != nil {
		wants = b.rec.Wants
	}
	mine, asked := wants[shard]
	part := b.divided()[shard]
	spare := part.Sub(d.Use).Max(Amounts{})
	gifts := b.divideSpare(now, shard, d, spare)
	if len(wants) == 0 && shard == b.home {
		b.lend(gifts, spare, d)
	}
	given := Amounts{}
	for _, s := range slices.Sorted(maps.Keys(gifts)) {
		given = given.Add(gifts[s])
	}
	lack := d.Use.Add(d.Wait).Sub(part.Sub(given)).Max(Amounts{}).Min(b.limit.Sub(part.Sub(given)).Max(Amounts{}))
	told := false
	switch {
	case !lack.some():
		told = asked
	case d.Blind:
		lack = mine.Amounts
	default:
		told = !asked || lack.CPUs > mine.CPUs*riseWorth+small || lack.GPUs > mine.GPUs*riseWorth+small ||
			lack.CPUs < mine.CPUs*fallWorth-small || lack.GPUs < mine.GPUs*fallWorth-small
	}
	if len(gifts) == 0 && !told {
		return nil
	}
	rec := Record{Parts: b.Parts(), Wants: maps.Clone(wants)}
	if rec.Wants == nil {
		rec.Wants = map[string]Want{}
	}
	for _, s := range slices.Sorted(maps.Keys(gifts)) { // the same difference every time
		g := gifts[s]
		rec.Parts[shard] = rec.Parts[shard].Sub(g)
		rec.Parts[s] = rec.Parts[s].Add(g)
		w := wants[s]
		w.Amounts, w.Soon, w.Unit = w.Sub(g).Max(Amounts{}), w.Soon.Sub(g).Max(Amounts{}), w.Unit.Sub(g).Max(Amounts{})
		if !w.some() {
			delete(rec.Wants, s)
		} else {
			rec.Wants[s] = w
		}
	}
	if told {
		if lack.some() {
			since := now
			if asked {
				since = mine.Since
			}
			free := part.Sub(given).Sub(d.Use).Max(Amounts{})
			rec.Wants[shard] = Want{lack, lack.Min(d.Soon.Sub(free).Max(Amounts{})), d.Unit.Sub(free).Max(Amounts{}).Min(lack), since}
		} else {
			delete(rec.Wants, shard)
		}
	}
	b.out = &Write{Shard: shard, Record: rec, Write: indoubt.Write{Rev: b.rev}}
	return b.out
}

// divideSpare gives what others want of what a shard does not use, in the order of Divide.
func (b *Book) divideSpare(now int64, shard string, d Demand, spare Amounts) map[string]Amounts {
	var wants map[string]Want
	if b.rec != nil {
		wants = b.rec.Wants
	}
	own := Claim{Shard: shard, Soon: d.Soon.Min(d.Wait), All: d.Wait, Unit: d.Unit, Since: now}
	if mine, asked := wants[shard]; asked {
		own.Since = mine.Since
	}
	var others []Claim
	for s, w := range wants {
		if s != shard {
			others = append(others, Claim{s, w.Soon.Min(w.Amounts), w.Amounts, w.Unit, w.Since})
		}
	}
	if !spare.some() || len(others) == 0 {
		delete(b.idle, shard) // nobody waits for what it keeps
		return map[string]Amounts{}
	}
	gifts := Divide(spare, append([]Claim{own}, others...))
	if b.keptTooLong(now, shard, gifts[shard], d.Unit) {
		gifts = Divide(spare, others)
	}
	delete(gifts, shard)
	maps.DeleteFunc(gifts, func(_ string, g Amounts) bool { return !g.some() })
	return gifts
}

// keptTooLong tells whether a shard has kept less than its next task needs for too long.
// What it then gives away it collects anew.
func (b *Book) keptTooLong(now int64, shard string, kept, unit Amounts) bool {
	if b.Patience == 0 || !kept.some() || kept.Fits(unit) {
		delete(b.idle, shard)
		return false
	}
	since, known := b.idle[shard]
	if !known {
		if b.idle == nil {
			b.idle = map[string]int64{}
		}
		b.idle[shard] = now
		return false
	}
	if now-since <= b.Patience {
		return false
	}
	delete(b.idle, shard)
	return true
}

// standIn is which part of a limit stands with other shards while its home has no use for
// it: half, in equal shares. With it they go on while the home's holder is away, which
// they could not ask then.
const standIn = 2

// lend adds the home's standing loans to what it gives: when half of the limit is idle,
// to each shard whose part has come down to half of a standing one. A part that is smaller
// than a task would be of no use to anyone.
func (b *Book) lend(gifts map[string]Amounts, spare Amounts, d Demand) {
	if len(b.all) == 0 || !d.Large.some() {
		return
	}
	part := b.limit.Times(1 / float64(standIn*(len(b.all)+1)))
	idle := spare.Sub(d.Wait).Max(Amounts{})
	parts := b.Parts()
	of := func(part, limit, idle, large float64, have func(string) float64, give func(string, float64)) {
		if limit <= 0 || large > part || idle < limit/standIn {
			return
		}
		for _, s := range b.all {
			if h := have(s); h < part/2 {
				give(s, part-h)
			}
		}
	}
	of(part.CPUs, b.limit.CPUs, idle.CPUs, d.Large.CPUs, func(s string) float64 { return parts[s].CPUs }, func(s string, n float64) {
		gifts[s] = gifts[s].Add(Amounts{CPUs: n})
	})
	of(part.GPUs, b.limit.GPUs, idle.GPUs, d.Large.GPUs, func(s string) float64 { return parts[s].GPUs }, func(s string, n float64) {
		gifts[s] = gifts[s].Add(Amounts{GPUs: n})
	})
}

// Ended tells how a try of the write that is under way ended.
func (b *Book) Ended(o access.Outcome) indoubt.Next {
	next := b.out.Ended(o)
	if next == indoubt.Settled {
		b.out = nil
	}
	return next
}

// Back takes what reading the record brought, nil with revision 0 if there is none.
func (b *Book) Back(o access.Outcome, rec *Record, rev uint64) indoubt.Next {
	next := b.out.Read(o, rev)
	if next == indoubt.Settled {
		b.out = nil
		b.Heard(rec, rev)
	}
	return next
}

// Abandon leaves a write behind whose shard is no longer this member's. Whatever became
// of it, the record says so when it is heard; until then a further write is refused for
// its revision.
func (b *Book) Abandon() { b.out = nil }

// Claim is a shard's claim on what is to be divided.
type Claim struct {
	Shard string
	Soon  Amounts // what can start at once
	All   Amounts // what waits, with that
	Unit  Amounts // the smallest use
	Since int64
}

// Divide divides an amount among claims. What can start at once goes before what would
// wait for machines all the same; within each, the smallest use of each claim goes first,
// the oldest claim before the others, and the rest in proportion.
func Divide(pool Amounts, claims []Claim) map[string]Amounts {
	claims = slices.Clone(claims)
	slices.SortFunc(claims, func(a, b Claim) int {
		if a.Since != b.Since {
			return int(min(1, max(-1, a.Since-b.Since)))
		}
		if a.Shard < b.Shard {
			return -1
		}
		return 1
	})
	out := map[string]Amounts{}
	for _, c := range claims {
		out[c.Shard] = Amounts{}
	}
	round := func(of func(Claim) Amounts) {
		for _, c := range claims {
			g := of(c).Sub(out[c.Shard]).Min(c.Unit.Sub(out[c.Shard])).Max(Amounts{}).Min(pool)
			out[c.Shard] = out[c.Shard].Add(g)
			pool = pool.Sub(g)
		}
		var sum Amounts
		rest := map[string]Amounts{}
		for _, c := range claims {
			rest[c.Shard] = of(c).Sub(out[c.Shard]).Max(Amounts{})
			sum = sum.Add(rest[c.Shard])
		}
		part := func(pool, sum float64) float64 {
			if sum <= pool {
				return 1
			}
			return pool / sum
		}
		pc, pg := part(pool.CPUs, sum.CPUs), part(pool.GPUs, sum.GPUs)
		for _, c := range claims {
			g := Amounts{rest[c.Shard].CPUs * pc, rest[c.Shard].GPUs * pg}
			out[c.Shard] = out[c.Shard].Add(g)
			pool = pool.Sub(g).Max(Amounts{})
		}
	}
	round(func(c Claim) Amounts { return c.Soon })
	round(func(c Claim) Amounts { return c.All })
	return out
}
