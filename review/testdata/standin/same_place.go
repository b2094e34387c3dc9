package main

import "time"

// samePlace: a job all of whose tasks must be in one zone loses one of its two machines, and no other machine is
// to be had in that zone.
func samePlace(record string) {
	c := newCluster(record, siam())
	f := c.fleet
	f.capacity["billing-core bangkok-dc"] = 2
	f.runTime = func(*job, int) time.Duration { return 300 * time.Second }
	f.onStart = func(w *worker, t *task) {
		if !t.job.SamePlace {
			return
		}
		for _, other := range f.workers {
			if other.marsh == w.marsh {
				continue
			}
			for _, o := range other.tasks {
				if o.job == t.job && o.onMachine() {
					c.rec.breach("%s starts on %s in %s while %s is on %s in %s; %s has same_place",
						t.Chick, w.id, w.marsh, o.Chick, other.id, other.marsh, t.job.Ref)
					return
				}
			}
		}
	}
	dusk := 400.0
	c.startAll()
	time.Sleep(2 * time.Second)
	c.submit(0, &job{
		Ref: "job-000412", Flock: "disconnect-checks", Crew: "metering-ops-00", Shape: "sweep", Rank: "high", Chicks: 60_000,
		CPUs: 4, MemoryGB: 13, Plumage: "img-07", SizeGB: 1, SamePlace: true, SwimS: 300, DuskS: &dusk,
	})
	began := time.Now()
	var lost *worker
	for time.Since(began) < 70*time.Second && len(c.rec.breaches()) == 0 {
		time.Sleep(100 * time.Millisecond)
		f.mu.Lock()
		if time.Since(began) > 20*time.Second {
			f.capacity["field-sync chiangmai-dc"] = 8
		}
		if lost == nil && c.trouble && time.Since(began) > 25*time.Second {
			lost = f.busiest()
			lost.stopMachine()
		}
		f.mu.Unlock()
	}
	if f.starts == 0 {
		cannotRun("no task was started")
	}
	c.poll(1, "job-000412")
	c.finish("wrong_place")
}
