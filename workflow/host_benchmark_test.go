package workflow

import (
	"fmt"
	"testing"
	"time"
)

// chainWorkflow returns a workflow of n steps, each of which depends on the previous one.
func chainWorkflow(n int) object {
	steps, last := object{}, "a"
	for i := range n {
		id := fmt.Sprintf("s%d", i)
		steps[id] = object{"run": sumTool, "in": object{"xs": object{"source": []any{last, "b"}}}, "out": []any{"z"}}
		last = id + "/z"
	}
	return object{
		"class":   "Workflow",
		"inputs":  object{"a": "int", "b": "int"},
		"steps":   steps,
		"outputs": object{"r": object{"type": "int", "outputSource": last}},
	}
}

func scatterWorkflow() object {
	return object{
		"class":   "Workflow",
		"inputs":  object{"l": "int[]", "b": "int"},
		"outputs": object{"r": object{"type": "int", "outputSource": "sum/z"}},
		"steps": object{
			"each": object{"run": addTool, "scatter": "x", "in": object{"x": "l", "y": "b"}, "out": []any{"z"}},
			"sum":  object{"run": sumTool, "in": object{"xs": "each/z"}, "out": []any{"z"}}},
	}
}

// runToEnd advances a simulation without faults until its runs have ended, and returns the time that
// its hosts took.
func runToEnd(t testing.TB, w *simulation, ids []string) (hostTime time.Duration) {
	remaining := map[string]bool{}
	for _, id := range ids {
		remaining[id] = true
	}
	for n := 0; len(remaining) > 0; n++ {
		if n > 100_000 {
			t.Fatalf("%d runs have not ended after 100,000 views", len(remaining))
		}
		w.now += 200
		for _, m := range w.members {
			w.refreshView(m)
			at := time.Now()
			w.hosts[m].Tick(w.clock(), w.views[m])
			hostTime += time.Since(at)
			w.dispatchOutputs(m)
		}
		for len(w.queue) > 0 {
			f := w.queue[0]
			w.queue = w.queue[1:]
			at := time.Now()
			f()
			hostTime += time.Since(at)
			for _, m := range w.members {
				w.dispatchOutputs(m)
			}
		}
		w.finishRandomJob()
		for id := range remaining {
			if w.store.Value(finalKey(id)) != nil {
				delete(remaining, id)
			}
		}
	}
	return hostTime
}

// BenchmarkChainOf1000 measures the cost of a step: the host's time, and the changes and bytes
// written to the state service in addition to those of its job.
func BenchmarkChainOf1000(b *testing.B) {
	_, doc := loadDocument(b, chainWorkflow(1000))
	for b.Loop() {
		w := newSimulation(b, 1, false)
		if a := w.request("m-0", Request{
			Kind: Submit,
			Body: submission("run", doc, map[string]any{"a": int64(1), "b": int64(38)}),
		}); a.Status != 201 {
			b.Fatal(a)
		}
		host := runToEnd(b, w, []string{"run"})
		if w.created != 1000 {
			b.Fatalf("got %d steps, want 1000", w.created)
		}
		b.ReportMetric(float64(w.created)/host.Seconds(), "steps/s")
		b.ReportMetric(float64(w.writes)/1000, "changes/step")
		b.ReportMetric(float64(w.bytes)/1000, "bytes/step")
	}
}

func BenchmarkScatterOf10000(b *testing.B) {
	_, doc := loadDocument(b, scatterWorkflow())
	l := make([]any, 10_000)
	for i := range l {
		l[i] = int64(i%9) * 41 // evaluateTool never fails for these
	}
	for b.Loop() {
		w := newSimulation(b, 1, false)
		if a := w.request("m-0", Request{
			Kind: Submit,
			Body: submission("run", doc, map[string]any{"l": l, "b": int64(1)}),
		}); a.Status != 201 {
			b.Fatal(a)
		}
		host := runToEnd(b, w, []string{"run"})
		b.ReportMetric(10_000/host.Seconds(), "tasks/s")
		b.ReportMetric(float64(w.writes), "changes")
		b.ReportMetric(float64(w.bytes), "bytes")
	}
}

// dispatchAll executes one host's requests until it sends no more.
func (w *simulation) dispatchAll(m string) (requests int, host time.Duration) {
	h := w.hosts[m]
	for {
		o := h.Take()
		for id, a := range o.Responses {
			w.responses[id] = a
		}
		if len(o.Store)+len(o.Core)+len(o.Requests) == 0 {
			return requests, host
		}
		requests += len(o.Store) + len(o.Core)
		for _, op := range o.Store {
			r := w.applyStoreOp(op)
			at := time.Now()
			h.StoreDone(w.clock(), op.ID, r)
			host += time.Since(at)
		}
		for _, c := range o.Core {
			a := w.handleCoreRequest(c.UserRequest)
			at := time.Now()
			h.CoreDone(w.clock(), c.ID, a)
			host += time.Since(at)
		}
		for _, d := range o.Requests {
			r := w.handleData(d.Body)
			at := time.Now()
			h.RequestDone(w.clock(), d.ID, r)
			host += time.Since(at)
		}
	}
}

// BenchmarkRecoveryOf1000Runs measures the cost to continue 1,000 live runs after a member claimed
// all shards: the time of its host, its requests, and the number of views until all runs have
// continued. The benchmark fails after ten views per run.
func BenchmarkRecoveryOf1000Runs(b *testing.B) {
	const runs = 1000
	_, doc := loadDocument(b, chainWorkflow(10))
	for b.Loop() {
		w := newSimulation(b, 1, false)
		for _, m := range w.members {
			w.claim(m, "m-0")
		}
		for i := range runs {
			w.hosts["m-0"].HandleRequest(
				w.clock(),
				uint64(i+1),
				Request{
					Kind: Submit,
					Body: submission(fmt.Sprintf("run-%d", i), doc, map[string]any{"a": int64(1), "b": int64(1)}),
				},
			)
			w.dispatchAll("m-0")
		}
		tickUntilRunning := func() (ticks, requests int, host time.Duration) {
			h := w.hosts["m-0"]
			w.refreshView("m-0")
			for ; len(h.WatchedJobs()) < runs; ticks++ {
				if ticks > 10*runs {
					b.Fatalf("%d of %d runs continued within ten views per run", len(h.WatchedJobs()), runs)
				}
				w.now += 200
				at := time.Now()
				h.Tick(w.clock(), w.views["m-0"])
				host += time.Since(at)
				n, d := w.dispatchAll("m-0")
				requests, host = requests+n, host+d
			}
			return ticks, requests, host
		}
		tickUntilRunning()
		w.startHost("m-0")
		ticks, requests, host := tickUntilRunning()
		b.ReportMetric(host.Seconds()*1000, "host-ms")
		b.ReportMetric(float64(requests), "requests")
		b.ReportMetric(float64(ticks), "views")
	}
}
