package main

import (
	"fmt"
	"sync"
	"time"
)

// cases are the cases by name; each returns the rule that it checks.
var cases = map[string]func(*rig) string{
	"renewed-by-notice": renewedByNotice,
	"late-read":         lateRead,
}

// siam sets the figures of the smaller deployment for meter reads.
func (r *rig) siam() (settings string) {
	r.report, r.lease, r.cancel, r.listLag = 0.8, 11, 36, 6
	r.zones = []string{"bangkok-dc", "chiangmai-dc"}
	r.teams = []team{{"metering-ops-00", 128, 384, 0, 0}, {"metering-ops-01", 128, 384, 0, 0}}
	r.cloud.types = []machineType{
		{"field-sync", 16, 0, 64, 0.74, 0.19, 1, r.zones},
		{"billing-core", 64, 0, 256, 3.22, 0.93, 1, []string{"bangkok-dc"}},
	}
	r.cloud.capacity = func(hull, _ string, spot bool) int {
		switch {
		case hull == "field-sync" && spot:
			return 9
		case hull == "field-sync":
			return 4
		}
		return 2
	}
	return "[cluster.state]\nrps = 150.0\nwrite_rps = 20.0\nvalue_kb = 16.0\ntxn_ops = 16\n" +
		"[cluster.cloud]\nrps = 4.0\nlist_lag_s = 6.0\n" +
		"[cluster.machine_limits]\ncpu_share = 0.12\nram_mb = 70.0\nmax_sockets = 600\n"
}

func readJob(ref string, chicks int, runS float64) job {
	return job{
		Ref: ref, Flock: "route-reads", Crew: "metering-ops-00", Shape: "sweep", Rank: "standard",
		Chicks: chicks, CPUs: 4, MemoryGB: 8, Plumage: "img-1", SizeGB: 1, Driftwood: true, SwimS: runS, runS: runS,
	}
}

// renewedByNotice: the owner of a shard is refused by the state service alone while a job is
// cancelled through another controller. The next owner answers the first report of a machine with
// its token alone, and the machine loses the network after that answer.
func renewedByNotice(r *rig) string {
	settings := r.siam()
	r.startNodes(3, settings)
	r.cloud.mu.Lock()
	for range 3 {
		r.cloud.add("field-sync", "bangkok-dc", false, 0)
		r.cloud.add("field-sync", "chiangmai-dc", false, 0)
	}
	r.cloud.mu.Unlock()
	if !r.until(20*time.Second, func() bool {
		for _, m := range r.cloud.all() {
			if m.worker.token() == 0 {
				return false
			}
		}
		return true
	}) {
		r.fail("the machines did not all get an answer")
	}
	for round := range 2 {
		j := readJob(fmt.Sprintf("job-%06d", round+1), 8, 400)
		j.Driftwood = false
		r.cancelAtRefusal(j)
		if r.countOf("ran_cancelled") > 0 || !r.trouble {
			break
		}
		time.Sleep(time.Until(r.refusedUntil) + 4*time.Second) // the shard returns to its own controller
	}
	return "ran_cancelled"
}

// cancelAtRefusal is one round of renewedByNotice.
func (r *rig) cancelAtRefusal(j job) {
	r.submit(r.nodes[1], j)
	if !r.until(20*time.Second, func() bool { return r.onMachines(j.Ref) == j.Chicks }) {
		r.fail("%d of %d tasks run", r.onMachines(j.Ref), j.Chicks)
	}
	time.Sleep(time.Second)
	owner := r.ownerOf(j.Ref)
	if owner == nil {
		r.fail("no owner of the job found")
	}
	other := r.nodes[(r.nodeIndex(owner.name)+1)%3]
	r.note("rig", "%s owns the job; its user cancels at %s", owner.name, other.name)
	renewed := make(chan struct{})
	var once sync.Once
	r.state.mu.Lock()
	r.state.afterExtend = func(n string) {
		if n == owner.name {
			once.Do(func() {
				if r.trouble {
					r.state.refuse(owner.name, true)
				}
				close(renewed)
			})
		}
	}
	r.state.mu.Unlock()
	<-renewed
	if r.trouble {
		r.note("state", "refuses %s alone from now on, for 35 s", owner.name)
		r.refusedUntil = time.Now().Add(35 * time.Second)
		time.AfterFunc(35*time.Second, func() {
			r.state.refuse(owner.name, false)
			r.note("state", "serves %s again", owner.name)
		})
	}
	if s, _ := r.user(other, "POST", "/work/"+j.Ref+"/abort", nil, 5*time.Second); s != 200 {
		r.fail("the cancellation got %d", s)
	}
	told := time.Now()
	var cut sync.Once // one machine, for 15 s
	for _, m := range r.cloud.all() {
		m.worker.observe(func(w *worker, sent time.Time, raised bool, stops int) {
			notice := raised && stops == 0 && w.running(j.Ref) > 0
			if notice {
				r.note(w.m.id, "gets a higher token and no command, %.2f s after the answer to the user", sent.Sub(told).Seconds())
			}
			if r.trouble && notice && sent.Sub(told).Seconds() > r.cancel-r.lease {
				cut.Do(func() {
					w.cutOff()
					time.AfterFunc(15*time.Second, w.reconnect)
				})
			}
		})
	}
	for r.onMachines(j.Ref) > 0 && time.Since(told).Seconds() < r.cancel+12 {
		time.Sleep(100 * time.Millisecond)
	}
}

func (r *rig) countOf(rule string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.breaks[rule]
}

// running returns the number of a job's tasks that are on the machine.
func (w *worker) running(ref string) (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.chicks {
		if c.job == ref && c.state != "ended" && c.state != "fetching" {
			n++
		}
	}
	return n
}

// ownerOf returns the controller that reports the job's tasks as its own: the one that answers the
// machines which run them.
func (r *rig) ownerOf(ref string) *node {
	counts := map[string]int{}
	for _, m := range r.cloud.all() {
		if n := m.worker.running(ref); n > 0 {
			m.worker.mu.Lock()
			counts[m.worker.answeredBy] += n
			m.worker.mu.Unlock()
		}
	}
	best := ""
	for name, n := range counts {
		if best == "" || n > counts[best] {
			best = name
		}
	}
	r.note("rig", "tasks by the controller that answers their machine: %v", counts)
	if i := r.nodeIndex(best); i >= 0 {
		return r.nodes[i]
	}
	return nil
}

// lateRead: one answer of the state service to a read takes some hundred milliseconds while the user
// polls and cancels the job at one controller.
func lateRead(r *rig) string {
	settings := r.siam()
	r.startNodes(3, settings)
	r.cloud.mu.Lock()
	r.cloud.add("field-sync", "bangkok-dc", false, 0)
	r.cloud.add("field-sync", "chiangmai-dc", false, 0)
	r.cloud.mu.Unlock()
	n := r.nodes[0]
	for i := range 3 {
		j := readJob(fmt.Sprintf("job-%06d", i+1), 2, 300)
		r.submit(n, j)
		if !r.until(20*time.Second, func() bool { return r.onMachines(j.Ref) == j.Chicks }) {
			r.fail("the tasks do not run")
		}
		var once sync.Once
		r.state.mu.Lock()
		r.state.answerDelay = func(by, key string) (d time.Duration) {
			if r.trouble && by == n.name && key == "l/j/"+j.Ref {
				once.Do(func() { d = 400 * time.Millisecond })
			}
			return d
		}
		r.state.mu.Unlock()
		polled := make(chan struct{})
		go func() {
			r.user(n, "GET", "/work/"+j.Ref, nil, 2*time.Second)
			close(polled)
		}()
		time.Sleep(50 * time.Millisecond)
		r.user(n, "POST", "/work/"+j.Ref+"/abort", nil, 5*time.Second)
		<-polled
		time.Sleep(time.Second)
		r.user(n, "GET", "/work/"+j.Ref, nil, 2*time.Second)
	}
	return "went_back"
}
