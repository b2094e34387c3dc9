package workflow

import (
	"fmt"
	"testing"
	"time"
)

// chain is a workflow of steps that follow each other; wide scatters one step.
func chain(n int) obj {
	steps, last := obj{}, "a"
	for i := range n {
		id := fmt.Sprintf("s%d", i)
		steps[id] = obj{"run": sumTool, "in": obj{"xs": obj{"source": []any{last, "b"}}}, "out": []any{"z"}}
		last = id + "/z"
	}
	return obj{"class": "Workflow", "inputs": obj{"a": "int", "b": "int"}, "steps": steps, "outputs": obj{"r": obj{"type": "int", "outputSource": last}}}
}

func wide() obj {
	return obj{"class": "Workflow", "inputs": obj{"l": "int[]", "b": "int"}, "outputs": obj{"r": obj{"type": "int", "outputSource": "sum/z"}}, "steps": obj{
		"each": obj{"run": addTool, "scatter": "x", "in": obj{"x": "l", "y": "b"}, "out": []any{"z"}},
		"sum":  obj{"run": sumTool, "in": obj{"xs": "each/z"}, "out": []any{"z"}}}}
}

// drive plays a world without faults until its runs are over; the time that its
// hosts take is what is measured.
func drive(t testing.TB, w *world, ids []string) (host time.Duration) {
	left := map[string]bool{}
	for _, id := range ids {
		left[id] = true
	}
	for n := 0; len(left) > 0; n++ {
		if n > 100_000 {
			t.Fatalf("%d runs do not end", len(left))
		}
		w.now += 200
		for _, m := range w.members {
			w.view(m)
			at := time.Now()
			w.hosts[m].Tick(w.time(), w.views[m])
			host += time.Since(at)
			w.take(m)
		}
		for len(w.queue) > 0 {
			f := w.queue[0]
			w.queue = w.queue[1:]
			at := time.Now()
			f()
			host += time.Since(at)
			for _, m := range w.members {
				w.take(m)
			}
		}
		w.finish()
		for id := range left {
			if w.store.Value(finalKey(id)) != nil {
				delete(left, id)
			}
		}
	}
	return host
}

// What a step costs: the host's time, and changes and bytes in the state service
// beside those of its job.
func BenchmarkChainOf1000(b *testing.B) {
	_, doc := document(b, chain(1000))
	for b.Loop() {
		w := newWorld(b, 1, false)
		if a := w.user("m-0", Request{Kind: Submit, Body: submission("run", doc, map[string]any{"a": int64(1), "b": int64(38)})}); a.Status != 201 {
			b.Fatal(a)
		}
		host := drive(b, w, []string{"run"})
		if w.created != 1000 {
			b.Fatalf("%d of 1000 steps ran", w.created)
		}
		b.ReportMetric(float64(w.created)/host.Seconds(), "steps/s")
		b.ReportMetric(float64(w.writes)/1000, "changes/step")
		b.ReportMetric(float64(w.bytes)/1000, "bytes/step")
	}
}

func BenchmarkScatterOf10000(b *testing.B) {
	_, doc := document(b, wide())
	l := make([]any, 10_000)
	for i := range l {
		l[i] = int64(i%9) * 41 // none of them fails
	}
	for b.Loop() {
		w := newWorld(b, 1, false)
		if a := w.user("m-0", Request{Kind: Submit, Body: submission("run", doc, map[string]any{"l": l, "b": int64(1)})}); a.Status != 201 {
			b.Fatal(a)
		}
		host := drive(b, w, []string{"run"})
		b.ReportMetric(10_000/host.Seconds(), "tasks/s")
		b.ReportMetric(float64(w.writes), "changes")
		b.ReportMetric(float64(w.bytes), "bytes")
	}
}

// pump answers one host's requests until it has none.
func (w *world) pump(m string) (requests int, host time.Duration) {
	h := w.hosts[m]
	for {
		o := h.Take()
		for id, a := range o.Answers {
			w.answers[id] = a
		}
		if len(o.Store)+len(o.Core)+len(o.Requests) == 0 {
			return requests, host
		}
		requests += len(o.Store) + len(o.Core)
		for _, op := range o.Store {
			r := w.do(op)
			at := time.Now()
			h.StoreDone(w.time(), op.ID, r)
			host += time.Since(at)
		}
		for _, c := range o.Core {
			a := w.core(c.Request)
			at := time.Now()
			h.CoreDone(w.time(), c.ID, a)
			host += time.Since(at)
		}
		for _, d := range o.Requests {
			r := w.data(d.Body)
			at := time.Now()
			h.RequestDone(w.time(), d.ID, r)
			host += time.Since(at)
		}
	}
}

// What a member does to go on with 1,000 live runs after it took over all
// shards: the time of its host, its requests, and how long that takes at ten
// views for a claim's worth of loads.
func BenchmarkRecoveryOf1000Runs(b *testing.B) {
	const runs = 1000
	_, doc := document(b, chain(10))
	for b.Loop() {
		w := newWorld(b, 1, false)
		for _, m := range w.members {
			w.claim(m, "m-0")
		}
		for i := range runs {
			w.hosts["m-0"].User(w.time(), uint64(i+1), Request{Kind: Submit, Body: submission(fmt.Sprintf("run-%d", i), doc, map[string]any{"a": int64(1), "b": int64(1)})})
			w.pump("m-0")
		}
		begin := func() (ticks, requests int, host time.Duration) {
			h := w.hosts["m-0"]
			w.view("m-0")
			for ; len(h.Watched()) < runs; ticks++ {
				if ticks > 10*runs {
					b.Fatalf("%d of %d runs go on", len(h.Watched()), runs)
				}
				w.now += 200
				at := time.Now()
				h.Tick(w.time(), w.views["m-0"])
				host += time.Since(at)
				n, d := w.pump("m-0")
				requests, host = requests+n, host+d
			}
			return ticks, requests, host
		}
		begin()
		w.start("m-0")
		ticks, requests, host := begin()
		b.ReportMetric(host.Seconds()*1000, "host-ms")
		b.ReportMetric(float64(requests), "requests")
		b.ReportMetric(float64(ticks), "views")
	}
}
