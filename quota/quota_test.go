package quota

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"testing"
)

func init() {
	// The same inputs every time, so that the verdict is the same.
	if err := errors.Join(flag.Set("rapid.seed", "1"), flag.Set("rapid.checks", "2000")); err != nil {
		panic(err)
	}
}

// Records of members from before wants told more than how much are read, and theirs by
// those: names that they do not know are ignored.
func TestOlderRecordsAreRead(t *testing.T) {
	var rec Record
	if err := json.Unmarshal([]byte(`{"parts":{"m0":{"cpus":40},"m1":{"cpus":24,"gpus":2}},"wants":{"m1":{"cpus":8}}}`), &rec); err != nil {
		t.Fatal(err)
	}
	b := NewBook(Amounts{CPUs: 64, GPUs: 2}, "m0")
	b.Heard(&rec, 7)
	w := b.Draft(1, "m0", Demand{Use: Amounts{CPUs: 30}})
	if w == nil || w.Record.Parts["m1"].CPUs != 32 || len(w.Record.Wants) != 0 {
		t.Fatalf("a want without a unit is met with %+v", w)
	}
	out, err := json.Marshal(Record{Parts: map[string]Amounts{"m0": {CPUs: 4}}, Wants: map[string]Want{"m1": {Amounts: Amounts{CPUs: 8}, Unit: Amounts{CPUs: 2}, Since: 5}}})
	if want := `{"parts":{"m0":{"cpus":4}},"wants":{"m1":{"cpus":8,"unit":{"cpus":2},"at":5}}}`; err != nil || string(out) != want {
		t.Errorf("written as %s, %v", out, err)
	}
}

// One demand is drafted as one record: what a shard gives to several others was taken off
// its part in the order of a map, and the last bits of the part differed from play to play.
func TestADraftIsTheSameEveryTime(t *testing.T) {
	rec := Record{Parts: map[string]Amounts{"m0": {CPUs: 64}}, Wants: map[string]Want{}}
	for i, n := range []float64{1.0 / 3, 10.0 / 7, 8.3, 2.77, 5.1} {
		rec.Wants[fmt.Sprintf("m%d", i+1)] = Want{Amounts: Amounts{CPUs: n}, Since: int64(i)}
	}
	first := Amounts{}
	for i := range 200 {
		b := NewBook(Amounts{CPUs: 64}, "m0")
		b.Heard(&rec, 7)
		w := b.Draft(9, "m0", Demand{Use: Amounts{CPUs: 30.3}})
		if w == nil {
			t.Fatal("nothing is given")
		}
		if i == 0 {
			first = w.Record.Parts["m0"]
		} else if p := w.Record.Parts["m0"]; p != first {
			t.Fatalf("draft %d leaves %v, the first %v", i, p, first)
		}
	}
}
