package quota

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"testing"
)

func init() {
	// A fixed seed makes the inputs and the result reproducible.
	if err := errors.Join(flag.Set("rapid.seed", "1"), flag.Set("rapid.checks", "2000")); err != nil {
		panic(err)
	}
}

// Members of an older release, whose requests contain only amounts, share records with newer members. Each
// release reads the records of the other, and ignores unknown fields.
func TestRecordsWithoutRequestDetailsAreRead(t *testing.T) {
	var record Record
	const old = `{"parts":{"m0":{"cpus":40},"m1":{"cpus":24,"gpus":2}},"wants":{"m1":{"cpus":8}}}`
	if err := json.Unmarshal([]byte(old), &record); err != nil {
		t.Fatal(err)
	}
	ledger := NewLedger(Amounts{CPUs: 64, GPUs: 2}, "m0")
	ledger.Observe(&record, 7)
	write := ledger.Propose(1, "m0", Demand{Used: Amounts{CPUs: 30}})
	if write == nil || write.Record.Allocations["m1"].CPUs != 32 || len(write.Record.Requests) != 0 {
		t.Fatalf("request without a minimum increment: got %+v, want 32 CPUs for m1 and no requests", write)
	}
	got, err := json.Marshal(Record{
		Allocations: map[string]Amounts{"m0": {CPUs: 4}},
		Requests:    map[string]Request{"m1": {Amounts: Amounts{CPUs: 8}, MinIncrement: Amounts{CPUs: 2}, SinceMS: 5}},
	})
	const expected = `{"parts":{"m0":{"cpus":4}},"wants":{"m1":{"cpus":8,"unit":{"cpus":2},"at":5}}}`
	if err != nil || string(got) != expected {
		t.Errorf("got %s, %v, want %s", got, err, expected)
	}
}

// The same demand always produces the same record. When grants to several shards were subtracted from the
// allocation in map order, its last bits differed between runs.
func TestProposalIsDeterministic(t *testing.T) {
	record := Record{Allocations: map[string]Amounts{"m0": {CPUs: 64}}, Requests: map[string]Request{}}
	for i, cpus := range []float64{1.0 / 3, 10.0 / 7, 8.3, 2.77, 5.1} {
		record.Requests[fmt.Sprintf("m%d", i+1)] = Request{Amounts: Amounts{CPUs: cpus}, SinceMS: int64(i)}
	}
	first := Amounts{}
	for i := range 200 {
		ledger := NewLedger(Amounts{CPUs: 64}, "m0")
		ledger.Observe(&record, 7)
		write := ledger.Propose(9, "m0", Demand{Used: Amounts{CPUs: 30.3}})
		if write == nil {
			t.Fatal("proposal: got none, want grants")
		}
		got := write.Record.Allocations["m0"]
		if i == 0 {
			first = got
		}
		if got != first {
			t.Fatalf("allocation after proposal %d: got %v, want %v as in the first", i, got, first)
		}
	}
}
