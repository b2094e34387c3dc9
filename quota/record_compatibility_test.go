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
func TestRecordsWithoutRequestDetailsAreRead(t *testing.T) {
	var record Record
	if err := json.Unmarshal([]byte(`{"parts":{"m0":{"cpus":40},"m1":{"cpus":24,"gpus":2}},"wants":{"m1":{"cpus":8}}}`), &record); err != nil {
		t.Fatal(err)
	}
	ledger := NewLedger(Amounts{CPUs: 64, GPUs: 2}, "m0")
	ledger.Observe(&record, 7)
	write := ledger.Propose(1, "m0", Demand{Used: Amounts{CPUs: 30}})
	if write == nil || write.Record.Allocations["m1"].CPUs != 32 || len(write.Record.Requests) != 0 {
		t.Fatalf("a want without a unit is met with %+v", write)
	}
	encoded, err := json.Marshal(
		Record{
			Allocations: map[string]Amounts{"m0": {CPUs: 4}},
			Requests:    map[string]Request{"m1": {Amounts: Amounts{CPUs: 8}, MinIncrement: Amounts{CPUs: 2}, SinceMS: 5}},
		},
	)
	if want := `{"parts":{"m0":{"cpus":4}},"wants":{"m1":{"cpus":8,"unit":{"cpus":2},"at":5}}}`; err != nil ||
		string(encoded) != want {
		t.Errorf("written as %s, %v", encoded, err)
	}
}

// One demand is drafted as one record: what a shard gives to several others was taken off
// its part in the order of a map, and the last bits of the part differed from play to play.
func TestADraftIsTheSameEveryTime(t *testing.T) {
	rec := Record{Allocations: map[string]Amounts{"m0": {CPUs: 64}}, Requests: map[string]Request{}}
	for i, n := range []float64{1.0 / 3, 10.0 / 7, 8.3, 2.77, 5.1} {
		rec.Requests[fmt.Sprintf("m%d", i+1)] = Request{Amounts: Amounts{CPUs: n}, SinceMS: int64(i)}
	}
	first := Amounts{}
	for i := range 200 {
		b := NewLedger(Amounts{CPUs: 64}, "m0")
		b.Observe(&rec, 7)
		w := b.Propose(9, "m0", Demand{Used: Amounts{CPUs: 30.3}})
		if w == nil {
			t.Fatal("nothing is given")
		}
		if i == 0 {
			first = w.Record.Allocations["m0"]
		} else if p := w.Record.Allocations["m0"]; p != first {
			t.Fatalf("draft %d leaves %v, the first %v", i, p, first)
		}
	}
}
