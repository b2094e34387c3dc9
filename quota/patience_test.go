package quota

import (
	"testing"

	"github.com/grebedock/grebedock/access"
)

// keepers are two shards of one limit of 64: a's next task needs 32, of which it has 25
// beside what it uses; b's tasks need 4 each, and it has room for one.
type keepers struct {
	book *Book
	rev  uint64
	now  int64
}

func newKeepers(patience int64) *keepers {
	k := &keepers{book: NewBook(Amounts{CPUs: 64}, "a"), rev: 1}
	k.book.Patience = patience
	k.book.Heard(&Record{Parts: map[string]Amounts{"a": {CPUs: 57}, "b": {CPUs: 7}}}, k.rev)
	return k
}

// step has both shards draft, and what they write carried out.
func (k *keepers) step(a Demand, b func() Demand) {
	k.now += 250
	k.draft("a", a)
	k.draft("b", b())
}

func (k *keepers) draft(shard string, d Demand) {
	if w := k.book.Draft(k.now, shard, d); w != nil {
		k.book.Ended(access.OK)
		k.rev++
		k.book.Heard(&w.Record, k.rev)
	}
}

// smallTasks is what a shard has of tasks of 4 that start as soon as its part has room.
func smallTasks(use, wait float64) Demand {
	return Demand{Use: Amounts{CPUs: use}, Wait: Amounts{CPUs: wait}, Soon: Amounts{CPUs: wait}, Unit: Amounts{CPUs: 4}}
}

// fourSmall is four tasks of b's, of which as many run as its part has room for.
func (k *keepers) fourSmall() Demand {
	use := min(16, float64(int(k.book.Part("b").CPUs/4)*4))
	return smallTasks(use, 16-use)
}

// What a shard keeps and can't use goes to a shard that can, after a while and not before;
// kept for ever, both waited (found by TestPairsOfTroubles: a job was left waiting for 91 s).
func TestWhatCannotBeUsedIsKeptForAWhile(t *testing.T) {
	large := Demand{Use: Amounts{CPUs: 32}, Wait: Amounts{CPUs: 32}, Soon: Amounts{CPUs: 32}, Unit: Amounts{CPUs: 32}}
	const patience = 30_000
	for _, p := range []int64{0, patience} {
		k := newKeepers(p)
		given := int64(0)
		for k.now < 100_000 && given == 0 {
			k.step(large, k.fourSmall)
			if k.book.Part("b").CPUs >= 16 {
				given = k.now
			}
		}
		if p == 0 && given != 0 || p > 0 && (given <= patience || given > patience+2000) {
			t.Errorf("patience %d: given after %d ms", p, given)
		}
		if sum := k.book.Part("a").Add(k.book.Part("b")); !(Amounts{CPUs: 64}).Fits(sum) {
			t.Errorf("the parts add up to %v", sum)
		}
	}
}

// The large task gets what it lacks when tasks end within the time for which it is kept,
// however many small ones wait.
func TestALargeTaskCollectsItsPart(t *testing.T) {
	k := newKeepers(30_000)
	large := Demand{Wait: Amounts{CPUs: 60}, Soon: Amounts{CPUs: 60}, Unit: Amounts{CPUs: 60}}
	for k.now < 200_000 && !k.book.Part("a").Fits(large.Unit) {
		k.step(large, func() Demand {
			// All of its part is used for small tasks; one of them ends each second.
			use := float64(int(k.book.Part("b").CPUs/4) * 4)
			if k.now%1000 == 0 {
				use = max(0, use-4)
			}
			return smallTasks(use, 400)
		})
	}
	if !k.book.Part("a").Fits(large.Unit) {
		t.Errorf("after %d ms the large task has %v of 60", k.now, k.book.Part("a"))
	}
}

// What is kept counts from when others want it: a spell in which nobody did ends the wait.
func TestPatienceBeginsAnewWhenNobodyWants(t *testing.T) {
	const patience = 30_000
	k := newKeepers(patience)
	large := Demand{Use: Amounts{CPUs: 32}, Wait: Amounts{CPUs: 32}, Soon: Amounts{CPUs: 32}, Unit: Amounts{CPUs: 32}}
	for k.now < 20_000 {
		k.step(large, k.fourSmall)
	}
	for k.now < 60_000 {
		k.step(large, func() Demand { return smallTasks(4, 0) })
	}
	again := k.now
	for k.now < again+patience {
		k.step(large, k.fourSmall)
		if part := k.book.Part("a"); part.CPUs < 57 {
			t.Fatalf("%d ms after it was wanted again, %v is left", k.now-again, part)
		}
	}
}
