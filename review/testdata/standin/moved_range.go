package main

import (
	"fmt"
	"time"
)

// countTwice makes the start of a task that is on another machine a breach of ran_twice.
func countTwice(c *cluster) {
	f := c.fleet
	f.onStart = func(w *worker, t *task) {
		for other := range f.running[t.Chick] {
			if other != w && !other.dead && !other.gone {
				c.rec.breach("%s starts on %s while it is on %s", t.Chick, w.id, other.id)
			}
		}
	}
}

// movedRange: a machine with long tasks can't be reached, and the controller of its tasks ends and comes back.
func movedRange(record string) {
	const (
		firstRange = 24_576 // tasks that come first
		long       = 1024   // of these, the last ones run long: as many as eight machines hold
		owner      = 1
	)
	c := newCluster(record, cascadia())
	f := c.fleet
	f.capacity["claims-core seattle-west"] = 8
	f.runTime = func(j *job, index int) time.Duration {
		switch {
		case j.Shape == "sweep" && j.Chicks > 100 && index >= firstRange-long && index < firstRange:
			return 75 * time.Second
		case j.Chicks > 100:
			return 700 * time.Millisecond
		}
		return 100 * time.Second
	}
	countTwice(c)
	c.startAll()
	time.Sleep(2 * time.Second)
	dusk := 78.0
	c.submit(0, &job{
		Ref: "job-000398", Flock: "fraud-holds", Crew: "refund-ops", Shape: "sweep", Rank: "high", Chicks: 4,
		CPUs: 1, MemoryGB: 2, Plumage: "img-03", SizeGB: 0.5, Hulls: []string{"counter-edge"}, SwimS: 90,
	})
	c.submit(owner, &job{
		Ref: "job-000412", Flock: "member-settle", Crew: "refund-ops", Shape: "sweep", Rank: "standard", Chicks: 40_000,
		CPUs: 0.25, MemoryGB: 0.5, Plumage: "img-07", SizeGB: 0.1, SwimS: 2, DuskS: &dusk,
	})
	last := fmt.Sprintf("job-000412/%d", firstRange-1)
	var lost *worker
	for began := time.Now(); lost == nil; time.Sleep(50 * time.Millisecond) {
		if time.Since(began) > 70*time.Second {
			cannotRun("%s does not start", last)
		}
		f.mu.Lock()
		for m := range f.running[last] {
			lost = m
		}
		f.mu.Unlock()
	}
	time.Sleep(2 * time.Second)
	f.mu.Lock()
	c.rec.add("%s is on %s; %d starts so far", last, lost.id, f.starts)
	f.capacity["counter-edge portland-east"] = 1
	f.mu.Unlock()
	if c.trouble {
		c.cutFor(lost, 20*time.Second)
	}
	time.Sleep(4500 * time.Millisecond)
	if c.trouble {
		c.kill(owner)
	}
	time.Sleep(3 * time.Second)
	if c.trouble {
		c.start(owner)
	}
	for until := time.Now().Add(25 * time.Second); time.Now().Before(until) && len(c.rec.breaches()) == 0; {
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(time.Second)
	c.poll(0, "job-000412")
	c.finish("ran_twice")
}
