package availability

import (
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// queueSet is a set of queues that change from round to round.
type queueSet struct {
	queues    []*Queue
	resources []Resources
	kinds     []string
}

func (s *queueSet) drawChanges(t *rapid.T, now int64) {
	for range rapid.IntRange(0, 40).Draw(t, "joining") {
		s.queues = append(s.queues, genQueue(t))
		cpus := rapid.SampledFrom([]float64{1, 4, 16}).Draw(t, "cpus")
		s.resources = append(s.resources, Resources{CPUs: cpus, MemoryGB: 8})
		s.kinds = append(s.kinds, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "kind"))
	}
	for _, q := range s.queues {
		switch rapid.IntRange(0, 7).Draw(t, "queue") {
		case 0:
			q.Reset(now + rapid.Int64Range(0, 60).Draw(t, "earliest start after"))
		case 1:
			q.Admit(now+rapid.Int64Range(0, 300).Draw(t, "deadline"), rapid.Int64Range(1, 40).Draw(t, "length"), 2)
		}
	}
}

func (s *queueSet) reduce(r *Reducer, functions int, now int64) Summary {
	r.Begin(functions, 6, now, 1<<16) // the horizon is the same in most rounds
	for i, q := range s.queues {
		r.AddQueue(s.kinds[i], s.resources[i], q)
	}
	return r.Summary()
}

// Tests that a reducer with a cache from earlier rounds returns, in each round, a summary bit-identical to that of a
// new reducer, and that the summary never promises more than the queues.
func TestIncrementalSummaryEqualsFreshSummary(t *testing.T) {
	kept, rounds := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		var set queueSet
		r := Reducer{CoarseStarts: rapid.Bool().Draw(t, "coarse")}
		now := int64(0)
		for range rapid.IntRange(1, 6).Draw(t, "rounds") {
			set.drawChanges(t, now)
			functions := rapid.SampledFrom([]int{1, 3, 8}).Draw(t, "functions")
			fresh := Reducer{CoarseStarts: r.CoarseStarts}
			got, want := set.reduce(&r, functions, now), set.reduce(&fresh, functions, now)
			if !reflect.DeepEqual(got, want) {
				t.Fatalf("at %d:\ngot  %+v\nwant %+v as from a new reducer", now, got, want)
			}
			again := set.reduce(&r, functions, now)
			if !reflect.DeepEqual(again, want) || r.Recomputed > 0 {
				t.Fatalf("without a change: got %d functions and merges recomputed, want 0:\ngot  %+v\nwant %+v",
					r.Recomputed, again, want)
			}
			request, length := Resources{CPUs: 1, MemoryGB: 1}, rapid.Int64Range(1, 60).Draw(t, "length")
			for deadline := now; deadline < now+600; deadline += 25 {
				tasks, all := 0, 0
				for i := range got {
					tasks += got[i].TaskCapacity(request, deadline, length, 1<<20)
				}
				for i, q := range set.queues {
					all += int(q.Available(deadline) / length * int64(set.resources[i].MaxCopies(request, 1<<20)))
				}
				if tasks > all {
					t.Fatalf("got %d tasks promised by %d, want at most %d as in the queues", tasks, deadline, all)
				}
			}
			queues := int64(0)
			for i := range got {
				queues += got[i].Count
			}
			if queues != int64(len(set.queues)) {
				t.Fatalf("got %d queues, want %d", queues, len(set.queues))
			}
			rounds++
			kept += len(got)
			now += rapid.Int64Range(0, 200).Draw(t, "passes")
		}
	})
	if rounds < 200 || kept < rounds {
		t.Errorf("got %d functions in %d rounds, want at least 200 rounds with a function each", kept, rounds)
	}
}

// Tests that two functions with the same hash have a node each.
func TestFunctionsOfEqualHashStayDistinct(t *testing.T) {
	var r Reducer
	r.Begin(8, 6, 0, 1024)
	a := Function{Kind: "k", Count: 1, Samples: []Sample{{0, 0}, {100, 100}}}
	b := Function{Kind: "k", Count: 1, Samples: []Sample{{0, 0}, {200, 200}}}
	n := r.intern(a)
	delete(r.nodes.current, n.hash)
	other := r.intern(b)
	r.nodes.current[other.hash], r.nodes.current[other.hash+1] = n, other // simulates a collision of hashes
	if r.intern(b) != other {
		t.Error("got the node of another function with the same hash")
	}
}
