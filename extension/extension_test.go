package extension

import (
	"fmt"
	"slices"
	"testing"

	"github.com/grebedock/grebedock/scheduler"
)

var now = scheduler.Now{MonotonicMS: 1}

// base is an extension that asks in strings, hears numbers and answers errors.
type base = Base[string, int, error]

// Each answer reaches who waits for it, once; an unknown one reaches nobody.
func TestEachResponseIsDeliveredOnce(t *testing.T) {
	var b base
	var got []string
	b.SendStore(
		scheduler.StoreOp{Key: "k"},
		func(r scheduler.StoreResult) { got = append(got, fmt.Sprint("store ", r.Rev)) },
	)
	b.SendCore(
		scheduler.UserRequest{ID: "job-1"},
		func(a scheduler.UserResponse) { got = append(got, fmt.Sprint("core ", a.Status)) },
	)
	b.SendRequest("q", func(n int) { got = append(got, fmt.Sprint("own ", n)) })
	o := b.Take()
	if len(o.Store) != 1 || len(o.Core) != 1 || len(o.Requests) != 1 || o.Requests[0].Body != "q" {
		t.Fatalf("asked %+v", o)
	}
	ids := []uint64{o.Store[0].ID, o.Core[0].ID, o.Requests[0].ID}
	if ids[0] == ids[1] || ids[1] == ids[2] || ids[0] == ids[2] {
		t.Errorf("numbers are used twice: %v", ids)
	}
	for range 2 {
		b.RequestDone(now, ids[2], 7)
		b.CoreDone(now, ids[1], scheduler.UserResponse{Status: 201})
		b.StoreDone(now, ids[0], scheduler.StoreResult{Rev: 5})
	}
	b.StoreDone(now, 99, scheduler.StoreResult{})
	if want := []string{"own 7", "core 201", "store 5"}; !slices.Equal(got, want) {
		t.Errorf("heard %v, not %v", got, want)
	}
	if b.Now != now {
		t.Errorf("the time is %+v, not the last input's", b.Now)
	}
	if o := b.Take(); len(o.Store)+len(o.Core)+len(o.Requests) != 0 {
		t.Errorf("taken twice: %+v", o)
	}
}

// Users' answers and lines are handed out once.
func TestTakeReturnsOutputsOnce(t *testing.T) {
	var b base
	b.Respond(3, fmt.Errorf("no"))
	b.Log("line", "key", 1)
	if o := b.Take(); o.Responses[3] == nil || len(o.Logs) != 1 || o.Logs[0].Message != "line" {
		t.Errorf("took %+v", o)
	}
	if o := b.Take(); len(o.Responses)+len(o.Logs) != 0 {
		t.Errorf("taken twice: %+v", o)
	}
}

// A record that is not there differs from a state service that does not say.
func TestGetDistinguishesMissingFromUnavailable(t *testing.T) {
	for _, c := range []struct {
		result scheduler.StoreResult
		rev    uint64
		ok     bool
	}{
		{scheduler.StoreResult{Outcome: scheduler.OK, KVs: []scheduler.KeyValue{{Key: "k", Rev: 4}}}, 4, true},
		{scheduler.StoreResult{Outcome: scheduler.NotFound}, 0, true},
		{scheduler.StoreResult{Outcome: scheduler.Unknown}, 0, false},
		{scheduler.StoreResult{Outcome: scheduler.Refused}, 0, false},
	} {
		var b base
		calls := 0
		b.Get(scheduler.UrgencyRead, "k", func(it scheduler.KeyValue, ok bool) {
			calls++
			if it.Rev != c.rev || ok != c.ok {
				t.Errorf("%+v gives revision %d, %v", c.result, it.Rev, ok)
			}
		})
		b.StoreDone(now, b.Take().Store[0].ID, c.result)
		if calls != 1 {
			t.Errorf("%+v is handed on %d times", c.result, calls)
		}
	}
}

// A list goes on behind the last key of a page, until all is read, a page is
// refused, or nobody wants more.
func TestListReadsAllPagesOrStops(t *testing.T) {
	page := func(key string, more bool) scheduler.StoreResult {
		return scheduler.StoreResult{Outcome: scheduler.OK, KVs: []scheduler.KeyValue{{Key: key}}, More: more}
	}
	for name, c := range map[string]struct {
		results []scheduler.StoreResult
		limit   int // pages that are wanted
		keys    []string
		done    string
	}{
		"all":     {[]scheduler.StoreResult{page("a", true), page("b", true), page("c", false)}, 9, []string{"a", "b", "c"}, "true"},
		"refused": {[]scheduler.StoreResult{page("a", true), {Outcome: scheduler.Unknown}}, 9, []string{"a"}, "false"},
		"early":   {[]scheduler.StoreResult{page("a", true), page("b", true)}, 2, []string{"a", "b"}, ""},
		"empty":   {[]scheduler.StoreResult{{Outcome: scheduler.OK}}, 9, nil, "true"},
	} {
		var b base
		var keys []string
		done, from := "", ""
		b.List(scheduler.UrgencyRead, "p/", func(items []scheduler.KeyValue) bool {
			for _, it := range items {
				keys = append(keys, it.Key)
			}
			return len(keys) < c.limit
		}, func(ok bool) { done += fmt.Sprint(ok) })
		for _, r := range c.results {
			ops := b.Take().Store
			if len(ops) != 1 || ops[0].StartAfter != from || ops[0].Key != "p/" {
				t.Fatalf("%s: asked %+v, not from %q", name, ops, from)
			}
			b.StoreDone(now, ops[0].ID, r)
			if len(r.KVs) > 0 {
				from = r.KVs[0].Key
			}
		}
		if !slices.Equal(keys, c.keys) || done != c.done || len(b.Take().Store) != 0 {
			t.Errorf("%s: read %v, done %q", name, keys, done)
		}
	}
}

// Members of different versions have to agree on the shard of an id: the values
// are those of the first version.
func TestShardOfIsStableAcrossVersions(t *testing.T) {
	shards := []string{"m-0", "m-1", "m-2"}
	for id, want := range map[string]string{"run-0": "m-0", "run-1": "m-1", "nightly": "m-1", "run-3": "m-2", "hourly": "m-2"} {
		if got := ShardOf(shards, id); got != want {
			t.Errorf("%q is driven by %s, not %s", id, got, want)
		}
	}
}
