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
	"left-waiting":      leftWaiting,
	"cheap-queue":       cheapQueue,
	"no-cheap-machine":  noCheapMachine,
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

// leftWaiting: the only machine of a controller's shard, a cheap one, is taken back, and the cloud has no
// capacity for another. Two jobs lose their tasks: one whose team was at its limit there, and one bound to
// one zone. Machines of other controllers fit both and have room.
func leftWaiting(r *rig) string {
	settings := r.siam()
	r.teams = append(r.teams, team{"metering-ops-02", 128, 384, 0, 0}, team{"metering-ops-03", 8, 8, 0, 0})
	r.cloud.capacity = func(string, string, bool) int { return 0 }
	r.startNodes(3, settings)
	r.cloud.mu.Lock()
	for i := range 3 {
		r.cloud.add("field-sync", r.zones[i%2], true, 0)
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
	// One machine belongs to each controller; two tasks of the first job run, since its team's limit is 8 CPUs.
	atLimit, bound := readJob("job-000001", 3, 600), readJob("job-000002", 2, 600)
	atLimit.Crew, bound.Crew, bound.SamePlace = "metering-ops-03", "metering-ops-00", true
	others := []job{readJob("job-000003", 1, 600), readJob("job-000004", 1, 600)}
	others[0].Crew, others[1].Crew = "metering-ops-01", "metering-ops-02"
	others[0].SamePlace, others[1].SamePlace = true, true // so that they stay with their own controllers
	for _, j := range append(others, atLimit, bound) {
		r.submit(r.nodes[1], j)
	}
	if !r.until(20*time.Second, func() bool {
		return r.onMachines(atLimit.Ref) == 2 && r.onMachines(bound.Ref) == 2 &&
			r.onMachines(others[0].Ref) == 1 && r.onMachines(others[1].Ref) == 1
	}) {
		r.fail("the jobs have %d, %d tasks on machines", r.onMachines(atLimit.Ref), r.onMachines(bound.Ref))
	}
	time.Sleep(2 * time.Second)
	var lost *machine
	for _, m := range r.cloud.all() {
		w := m.worker
		r.note(m.id, "%s runs %d, %d, %d, %d tasks of the four jobs", w.answeredBy, w.running(atLimit.Ref), w.running(bound.Ref), w.running(others[0].Ref), w.running(others[1].Ref))
		if w.running(atLimit.Ref) == 2 && w.running(bound.Ref) == 2 {
			lost = m
		}
	}
	if lost == nil {
		r.fail("the two jobs don't run on one machine")
	}
	if r.trouble {
		r.cloud.mu.Lock()
		delete(r.cloud.machines, lost.id)
		r.cloud.mu.Unlock()
		r.note("cloud", "takes %s back, without notice", lost.id)
		lost.worker.end("machine taken back")
	}
	r.watchWaiting(atLimit, bound)
	return "left_waiting"
}

// watchWaiting checks left_waiting for some jobs.
func (r *rig) watchWaiting(jobs ...job) {
	over := time.Now().Add(time.Duration(r.lease * float64(time.Second))) // the leases given before have ended
	since := map[string]time.Time{}
	for end := over.Add(92 * time.Second); time.Now().Before(end) && r.countOf("left_waiting") == 0; time.Sleep(200 * time.Millisecond) {
		for _, j := range jobs {
			room := r.roomFor(&j)
			switch {
			case time.Now().Before(over):
			case r.onMachines(j.Ref) > 0 || room == "":
				delete(since, j.Ref)
			case since[j.Ref].IsZero():
				since[j.Ref] = time.Now()
				r.note("rig", "%s waits; %s", j.Ref, room)
			case time.Since(since[j.Ref]) > 90*time.Second:
				r.broken("left_waiting", "%s has waited for 90 s on end; %s", j.Ref, room)
			}
		}
		if !r.trouble && time.Now().After(over.Add(10*time.Second)) {
			break
		}
		if time.Until(end).Milliseconds()%10_000 < 200 {
			for _, j := range jobs {
				r.user(r.nodes[0], "GET", "/work/"+j.Ref, nil, 2*time.Second)
			}
		}
	}
}

// roomFor names a machine that fits a job and has room for one of its tasks, if its team is under its limit.
func (r *rig) roomFor(j *job) string {
	used := 0.0
	r.mu.Lock()
	for _, set := range r.on {
		for c := range set {
			if c.spec.Crew == j.Crew {
				used += c.spec.CPUs
			}
		}
	}
	r.mu.Unlock()
	if used+j.CPUs > r.teamOf(j.Crew).cpusMax {
		return ""
	}
	for _, m := range r.cloud.all() {
		cpus, mem := m.worker.free()
		if cpus >= j.CPUs && mem >= j.MemoryGB && (j.Driftwood || !m.spot) {
			return fmt.Sprintf("%s (%s, %s, spot %v) has %.0f CPUs and %.0f GB free; its team uses %.0f of %.0f CPUs", m.id, m.hull, m.zone, m.spot, cpus, mem, used, r.teamOf(j.Crew).cpusMax)
		}
	}
	return ""
}

// cheapQueue: one of two cheap machines of a controller is taken back, and the cloud has no capacity for
// another. The tasks that ran there wait behind the long tasks of the other cheap machine, while an
// ordinary machine of the same controller has room.
func cheapQueue(r *rig) string {
	settings := r.siam()
	r.teams = append(r.teams, team{"metering-ops-02", 128, 384, 0, 0})
	r.cloud.capacity = func(string, string, bool) int { return 0 }
	r.startNodes(3, settings)
	answered := func() bool {
		for _, m := range r.cloud.all() {
			if m.worker.token() == 0 {
				return false
			}
		}
		return true
	}
	// Three rounds, so that each controller has one ordinary machine and two cheap ones.
	for round := range 3 {
		r.cloud.mu.Lock()
		for i := range 3 {
			r.cloud.add("field-sync", r.zones[i%2], round > 0, 0)
		}
		r.cloud.mu.Unlock()
		if !r.until(10*time.Second, answered) {
			r.fail("the machines did not all get an answer")
		}
	}
	n := 0
	start := func(jobs ...job) (last job) {
		for i := range jobs {
			n++
			jobs[i].Ref = fmt.Sprintf("job-%06d", n)
			r.submit(r.nodes[1], jobs[i])
		}
		for _, j := range jobs {
			if !r.until(15*time.Second, func() bool { return r.onMachines(j.Ref) == j.Chicks }) {
				r.fail("%s has %d tasks on machines", j.Ref, r.onMachines(j.Ref))
			}
		}
		return jobs[len(jobs)-1]
	}
	work := func(crew, chicks int, cheap bool) job {
		j := readJob("", chicks, 300)
		j.Crew, j.Driftwood = fmt.Sprintf("metering-ops-%02d", crew), cheap
		j.SamePlace = true // so that it stays with its team's own controller
		return j
	}
	// All machines are filled, but for the ordinary one of the first team's controller.
	start(work(0, 1, false), work(1, 4, false), work(2, 4, false))
	start(work(0, 4, true), work(1, 4, true), work(2, 4, true))
	start(work(1, 4, true), work(2, 4, true))
	plain := work(0, 4, true)
	plain.SamePlace = false
	last := start(plain)
	var lost *machine
	for _, m := range r.cloud.all() {
		r.note(m.id, "spot %v, owner %s, runs %d tasks of %s", m.spot, m.worker.answeredBy, m.worker.running(last.Ref), last.Ref)
		if m.worker.running(last.Ref) > 0 {
			lost = m
		}
	}
	if r.trouble {
		r.cloud.mu.Lock()
		delete(r.cloud.machines, lost.id)
		r.cloud.mu.Unlock()
		r.note("cloud", "takes %s back, without notice", lost.id)
		lost.worker.end("machine taken back")
	}
	r.watchWaiting(last)
	return "left_waiting"
}

// noCheapMachine: the cloud has no cheap machine of the only type that fits, and has ordinary ones. Users
// submit jobs of one task that may use cheap machines.
func noCheapMachine(r *rig) string {
	settings := r.siam()
	for i := range r.cloud.types {
		r.cloud.types[i].boot = []float64{20, 30}[i]
	}
	r.cloud.capacity = func(hull, _ string, cheap bool) int {
		switch {
		case hull == "field-sync" && cheap:
			return 9
		case hull == "field-sync":
			return 4
		case cheap && r.trouble:
			return 0
		case cheap:
			return 3
		}
		return 2
	}
	r.startNodes(3, settings)
	r.cloud.mu.Lock()
	r.cloud.add("field-sync", "bangkok-dc", false, 0)
	r.cloud.add("field-sync", "chiangmai-dc", false, 0)
	r.cloud.mu.Unlock()
	time.Sleep(2 * time.Second)
	began := time.Now()
	for i := 0; time.Since(began) < 105*time.Second; i++ {
		if i%10 == 0 && i < 40 {
			j := readJob(fmt.Sprintf("job-%06d", i/10+1), 1, 50)
			dusk := 180.0
			j.CPUs, j.MemoryGB, j.SizeGB, j.SurfaceS, j.PreenS, j.DuskS = 32, 96, 4, 20, 1, &dusk
			j.Crew = fmt.Sprintf("metering-ops-%02d", i/10%2)
			r.submit(r.nodes[i/10%3], j)
		}
		time.Sleep(time.Second)
		if i%15 == 14 {
			r.user(r.nodes[0], "GET", "/work/job-000001", nil, 2*time.Second)
		}
		if r.countStarts() > 0 {
			return "nothing_ran"
		}
	}
	r.broken("nothing_ran", "no task was started for %.0f s after the first of four jobs was accepted; the cloud had 2 ordinary machines of the type that fits", time.Since(began).Seconds())
	return "nothing_ran"
}

func (r *rig) countStarts() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.started
}
