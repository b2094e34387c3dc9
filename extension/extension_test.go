package extension

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"github.com/grebedock/grebedock/scheduler"
)

var now = scheduler.Now{MonotonicMS: 1}

// base is a Base whose own requests are strings with integers as results. Its responses to users are errors.
type base = Base[string, int, error]

// Each response is passed to its callback once. A response to an unknown request is ignored.
func TestEachResponseIsDeliveredOnce(t *testing.T) {
	var b base
	var got []string
	b.SendStore(scheduler.StoreOp{Key: "k"}, func(result scheduler.StoreResult) {
		got = append(got, fmt.Sprint("store ", result.Rev))
	})
	b.SendCore(scheduler.UserRequest{ID: "job-1"}, func(response scheduler.UserResponse) {
		got = append(got, fmt.Sprint("core ", response.Status))
	})
	b.SendRequest("q", func(n int) { got = append(got, fmt.Sprint("own ", n)) })
	outputs := b.Take()
	if len(outputs.Store) != 1 || len(outputs.Core) != 1 || len(outputs.Requests) != 1 {
		t.Fatalf("got outputs %+v, want one request of each kind", outputs)
	}
	if got := outputs.Requests[0].Body; got != "q" {
		t.Fatalf("got own request %q, want %q", got, "q")
	}
	storeID, coreID, ownID := outputs.Store[0].ID, outputs.Core[0].ID, outputs.Requests[0].ID
	if storeID == coreID || coreID == ownID || storeID == ownID {
		t.Errorf("got IDs %d, %d, %d, want unique IDs", storeID, coreID, ownID)
	}
	for range 2 {
		b.RequestDone(now, ownID, 7)
		b.CoreDone(now, coreID, scheduler.UserResponse{Status: 201})
		b.StoreDone(now, storeID, scheduler.StoreResult{Rev: 5})
	}
	b.StoreDone(now, 99, scheduler.StoreResult{})
	if want := []string{"own 7", "core 201", "store 5"}; !slices.Equal(got, want) {
		t.Errorf("got responses %v, want %v", got, want)
	}
	if b.Now != now {
		t.Errorf("got time %+v, want %+v, that of the last input", b.Now, now)
	}
	if again := b.Take(); len(again.Store)+len(again.Core)+len(again.Requests) != 0 {
		t.Errorf("second Take: got %+v, want no requests", again)
	}
}

// Take returns each response to a user and each log line once.
func TestTakeReturnsOutputsOnce(t *testing.T) {
	var b base
	response := errors.New("no")
	b.Respond(3, response)
	b.Log("line", "key", 1)
	outputs := b.Take()
	if got := outputs.Responses[3]; got != response {
		t.Errorf("got response %v, want %v", got, response)
	}
	if len(outputs.Logs) != 1 || outputs.Logs[0].Message != "line" {
		t.Errorf("got log %+v, want one line %q", outputs.Logs, "line")
	}
	if again := b.Take(); len(again.Responses)+len(again.Logs) != 0 {
		t.Errorf("second Take: got %+v, want no responses and no log lines", again)
	}
}

// Get distinguishes a record that does not exist from a state service that returns no usable response.
func TestGetDistinguishesMissingFromUnavailable(t *testing.T) {
	found := scheduler.StoreResult{Outcome: scheduler.OK, KVs: []scheduler.KeyValue{{Key: "k", Rev: 4}}}
	for _, tc := range []struct {
		name     string
		result   scheduler.StoreResult
		revision uint64
		ok       bool
	}{
		{"found", found, 4, true},
		{"missing", scheduler.StoreResult{Outcome: scheduler.NotFound}, 0, true},
		{"unknown", scheduler.StoreResult{Outcome: scheduler.Unknown}, 0, false},
		{"refused", scheduler.StoreResult{Outcome: scheduler.Refused}, 0, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var b base
			calls := 0
			b.Get(scheduler.UrgencyRead, "k", func(record scheduler.KeyValue, ok bool) {
				calls++
				if record.Rev != tc.revision || ok != tc.ok {
					t.Errorf("got revision %d, ok %v, want %d, %v", record.Rev, ok, tc.revision, tc.ok)
				}
			})
			b.StoreDone(now, b.Take().Store[0].ID, tc.result)
			if calls != 1 {
				t.Errorf("got %d calls of onResult, want 1", calls)
			}
		})
	}
}

func page(key string, more bool) scheduler.StoreResult {
	return scheduler.StoreResult{Outcome: scheduler.OK, KVs: []scheduler.KeyValue{{Key: key}}, More: more}
}

// List continues after the last key of a page until all records are read, a page fails, or the caller stops.
func TestListReadsAllPagesOrStops(t *testing.T) {
	failed := scheduler.StoreResult{Outcome: scheduler.Unknown}
	for _, tc := range []struct {
		name     string
		results  []scheduler.StoreResult
		maxPages int
		keys     []string
		done     string // concatenated arguments of the calls of onDone
	}{
		{
			"all pages", []scheduler.StoreResult{page("a", true), page("b", true), page("c", false)}, 9,
			[]string{"a", "b", "c"}, "true",
		},
		{"page failed", []scheduler.StoreResult{page("a", true), failed}, 9, []string{"a"}, "false"},
		{"caller stops", []scheduler.StoreResult{page("a", true), page("b", true)}, 2, []string{"a", "b"}, ""},
		{"no records", []scheduler.StoreResult{{Outcome: scheduler.OK}}, 9, nil, "true"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var b base
			var keys []string
			done, after := "", ""
			onPage := func(records []scheduler.KeyValue) bool {
				for _, record := range records {
					keys = append(keys, record.Key)
				}
				return len(keys) < tc.maxPages
			}
			b.List(scheduler.UrgencyRead, "p/", onPage, func(ok bool) { done += fmt.Sprint(ok) })
			for _, result := range tc.results {
				ops := b.Take().Store
				if len(ops) != 1 || ops[0].StartAfter != after || ops[0].Key != "p/" {
					t.Fatalf("got requests %+v, want one for %q after %q", ops, "p/", after)
				}
				b.StoreDone(now, ops[0].ID, result)
				if len(result.KVs) > 0 {
					after = result.KVs[0].Key
				}
			}
			if !slices.Equal(keys, tc.keys) || done != tc.done {
				t.Errorf("got keys %v, done %q, want %v, %q", keys, done, tc.keys, tc.done)
			}
			if ops := b.Take().Store; len(ops) != 0 {
				t.Errorf("got requests %+v after the last page, want none", ops)
			}
		})
	}
}

// Members of different versions must agree on the shard of an ID. The expected values are those of the first
// version.
func TestShardOfIsStableAcrossVersions(t *testing.T) {
	shards := []string{"m-0", "m-1", "m-2"}
	for id, want := range map[string]string{
		"run-0":   "m-0",
		"run-1":   "m-1",
		"nightly": "m-1",
		"run-3":   "m-2",
		"hourly":  "m-2",
	} {
		if got := ShardOf(shards, id); got != want {
			t.Errorf("shard of %q: got %s, want %s", id, got, want)
		}
	}
}
