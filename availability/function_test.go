package availability

import (
	"errors"
	"flag"
	"sort"
	"testing"

	"pgregory.net/rapid"
)

func init() {
	// A fixed seed gives the same inputs and the same result in every run.
	if err := errors.Join(flag.Set("rapid.seed", "11"), flag.Set("rapid.checks", "400")); err != nil {
		panic(err)
	}
}

// genQueue draws a queue by admitting tasks, as callers do.
func genQueue(t *rapid.T) *Queue {
	q := &Queue{EarliestStart: rapid.Int64Range(0, 50).Draw(t, "earliest start")}
	for range rapid.IntRange(0, 8).Draw(t, "groups") {
		q.Admit(
			rapid.Int64Range(0, 300).Draw(t, "deadline"),
			rapid.Int64Range(1, 40).Draw(t, "length"),
			rapid.Int64Range(1, 4).Draw(t, "count"),
		)
	}
	return q
}

type task struct{ deadline, length int64 }

// meetsDeadlines runs tasks one after the other, earliest deadline first, after a start. It reports whether all meet
// their deadlines.
func meetsDeadlines(end int64, tasks []task) bool {
	sort.SliceStable(tasks, func(i, j int) bool { return tasks[i].deadline < tasks[j].deadline })
	for _, x := range tasks {
		end += x.length
		if end > x.deadline {
			return false
		}
	}
	return true
}

func tasksOf(q *Queue) []task {
	var tasks []task
	for _, e := range q.Entries() {
		for range e.Count {
			tasks = append(tasks, task{e.Deadline, e.Length})
		}
	}
	return tasks
}

func TestAdmittedDeadlinesAreMet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := genQueue(t)
		if !meetsDeadlines(q.EarliestStart, tasksOf(q)) {
			t.Fatalf("queue misses an admitted deadline: earliest start %d, %v", q.EarliestStart, q.Entries())
		}
	})
}

func TestAvailableIsTheLongestTaskThatFits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := genQueue(t)
		deadline := rapid.Int64Range(0, 350).Draw(t, "new")
		fits := func(length int64) bool {
			return meetsDeadlines(q.EarliestStart, append(tasksOf(q), task{deadline, length}))
		}
		want := int64(0)
		for fits(want + 1) {
			want++
		}
		if got := q.Available(deadline); got != want {
			t.Fatalf("got l(%d) = %d, want %d by brute force; earliest start %d, %v",
				deadline, got, want, q.EarliestStart, q.Entries())
		}
	})
}

func genFunction(t *rapid.T) Function {
	q := genQueue(t)
	amount := rapid.Float64Range(1, 64)
	return Function{Kind: "k", Count: rapid.Int64Range(1, 5).Draw(t, "machines"), Samples: q.Samples(400),
		Resources: Resources{
			CPUs:     amount.Draw(t, "cpus"),
			MemoryGB: amount.Draw(t, "memory"),
			DiskGB:   amount.Draw(t, "disk"),
		}}
}

func TestSamplesNeverExceedQueueAvailability(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := genQueue(t)
		f := Function{Samples: q.Samples(400)}
		for at := int64(0); at <= 450; at++ {
			want := float64(q.Available(min(at, 400)))
			if got := f.AvailableBy(at); got != want && (got > want || at >= q.EarliestStart) {
				t.Fatalf("at %d: got %v from the samples, want %v as in the queue; %v %v", at, got, want, q, f.Samples)
			}
		}
	})
}

// requireNotAbove fails if f promises more than g for any deadline.
func requireNotAbove(t *rapid.T, name string, f, g *Function) {
	t.Helper()
	for at := int64(0); at <= 450; at++ {
		if f.AvailableBy(at) > g.AvailableBy(at)+1e-6 {
			t.Fatalf("%s: got %v at %d, want at most %v\n%v\n%v",
				name, f.AvailableBy(at), at, g.AvailableBy(at), f.Samples, g.Samples)
		}
	}
}

func TestMergeNeverExceedsItsInputs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f, g := genFunction(t), genFunction(t)
		merged := Merge(f, g)
		requireNotAbove(t, "merged", &merged, &f)
		requireNotAbove(t, "merged", &merged, &g)
		if merged.Count != f.Count+g.Count || !f.Resources.Contains(merged.Resources) ||
			!g.Resources.Contains(merged.Resources) {
			t.Fatalf("got merged %+v of %+v and %+v", merged, f, g)
		}
	})
}

func TestReducedFunctionNeverExceedsOriginal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f, g := genFunction(t), genFunction(t)
		merged := Merge(f, g)
		before := Function{Samples: append([]Sample(nil), merged.Samples...)}
		limit := rapid.IntRange(2, 12).Draw(t, "limit")
		merged.Reduce(limit)
		if len(merged.Samples) > limit {
			t.Fatalf("got %d samples, want at most %d", len(merged.Samples), limit)
		}
		requireNotAbove(t, "reduced", &merged, &before)
	})
}

func TestReducedSummaryNeverPromisesMoreTasks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all Summary
		var machines int64
		for range rapid.IntRange(1, 8).Draw(t, "functions") {
			f := genFunction(t)
			machines += f.Count
			all = append(all, f)
		}
		request := Resources{
			CPUs:     rapid.Float64Range(0.5, 8).Draw(t, "cpus"),
			MemoryGB: rapid.Float64Range(0.5, 8).Draw(t, "memory"),
		}
		deadline, length := rapid.Int64Range(0, 450).Draw(t, "deadline"), rapid.Int64Range(1, 60).Draw(t, "length")
		count := func(s Summary) (n int, queues int64) {
			for i := range s {
				n += s[i].TaskCapacity(request, deadline, length, 1000)
				queues += s[i].Count
			}
			return n, queues
		}
		before, _ := count(all)
		limit := rapid.IntRange(1, 8).Draw(t, "limit")
		reduced := Reduce(all, limit, 6, 0)
		after, queues := count(reduced)
		if len(reduced) > limit || queues != machines || after > before {
			t.Fatalf("got %d functions, want at most %d; got %d machines, want %d; got %d tasks, want at most %d",
				len(reduced), limit, queues, machines, after, before)
		}
	})
}
