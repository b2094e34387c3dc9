package emulator

import (
	"maps"
	"math"
	"slices"

	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/internal/standin"
	"github.com/grebedock/grebedock/scheduler"
)

// Once all troubles are over, no job may be left waiting while a machine that fits has
// room and its team is under its limit. What machines hold decides, not what members
// believe of them.

const (
	leftWaitingMS  = 90_000
	progressLookMS = 1000 // between two looks
)

// occupied is what a machine has left, and which images its tasks keep there.
type occupied struct {
	host   *Host
	free   availability.Room // without the images
	images map[string]float64
}

// placed is what a job has on machines: tasks that wait for their image count too.
type placed struct {
	tasks map[string]bool
	zones map[string]int
}

// usage is what all machines hold at one moment.
type usage struct {
	machines []occupied
	jobs     map[string]*placed
	teams    map[string]availability.Room
}

// usage looks at all machines. Those that can take no work, or will be gone soon, are not
// among its machines, but what they hold counts.
func (w *World) usage() *usage {
	u := &usage{jobs: map[string]*placed{}, teams: map[string]availability.Room{}}
	for _, id := range w.IDs {
		h := w.Hosts[id]
		if h.Gone || !h.Up || h.Worker.Expired(h.Clock(w)) {
			continue
		}
		o := occupied{host: h, free: withoutImage(h.typ.Room), images: map[string]float64{}}
		for _, t := range h.Worker.Tasks() {
			if t.State != "exited" {
				o.take(t)
				u.note(h, t)
			}
		}
		if h.Worker.NoticeS == nil && (w.Faulty == nil || !w.Faulty(h)) {
			u.machines = append(u.machines, o)
		}
	}
	return u
}

// withoutImage leaves the disk out: an image is there once for all tasks that need it.
func withoutImage(r availability.Room) availability.Room {
	r.DiskGB = 0
	return r
}

func (o *occupied) take(t *standin.Task) {
	o.free = o.free.Sub(withoutImage(t.Job.Request))
	o.images[t.Job.Image] = t.Job.Request.DiskGB
}

func (u *usage) note(h *Host, t *standin.Task) {
	p := u.jobs[t.Job.ID]
	if p == nil {
		p = &placed{tasks: map[string]bool{}, zones: map[string]int{}}
		u.jobs[t.Job.ID] = p
	}
	if !p.tasks[t.Name] {
		p.tasks[t.Name] = true
		p.zones[h.Rental.Zone]++
	}
	u.teams[t.Job.Team] = u.teams[t.Job.Team].Add(t.Job.Request)
}

// copies is how many tasks of a job the machine has room for, as many as limit at most.
func (o *occupied) copies(j *scheduler.Job, limit int) int {
	r := o.host.Rental
	if r.Spot && !j.Spot || j.Zone != "" && j.Zone != r.Zone || len(j.Types) > 0 && !slices.Contains(j.Types, r.Type) {
		return 0
	}
	if _, there := o.images[j.Image]; !there {
		used := j.Request.DiskGB
		for _, image := range slices.Sorted(maps.Keys(o.images)) { // the same sum every time
			used += o.images[image]
		}
		if used > o.host.typ.Room.DiskGB {
			return 0 // the cache holds images that tasks there need
		}
	}
	return o.free.Copies(withoutImage(j.Request), limit)
}

// couldStart tells whether a job's next task, or all tasks that a gang still lacks, could
// start now, and tells of a machine where it could.
func (u *usage) couldStart(j *Job, limit scheduler.Team) (machine string, ok bool) {
	job := &j.Job
	on := u.jobs[job.ID]
	if on == nil {
		on = &placed{}
	}
	waiting := job.Tasks - len(j.Done)
	for task := range on.tasks {
		if !j.Done[task] {
			waiting--
		}
	}
	if waiting <= 0 {
		return "", false
	}
	need := 1
	if job.Kind == scheduler.Gang {
		need = waiting
	}
	used, n := u.teams[job.Team], float64(need)
	if limit.MaxCPUs > 0 && used.CPUs+n*job.Request.CPUs > limit.MaxCPUs || limit.MaxGPUs > 0 && used.GPUs+n*job.Request.GPUs > limit.MaxGPUs {
		return "", false
	}
	// How many tasks more each zone may have.
	zoneMost := func(zone string) int {
		switch {
		case job.OneZone && len(on.zones) > 0 && on.zones[zone] == 0:
			return 0
		case job.Spread:
			return max(0, (job.Tasks+1)/2-on.zones[zone])
		}
		return math.MaxInt
	}
	zones := map[string]int{}
	total := 0
	for i := range u.machines {
		o := &u.machines[i]
		zone := o.host.Rental.Zone
		n := o.copies(job, min(need, zoneMost(zone)-zones[zone]))
		if n <= 0 {
			continue
		}
		zones[zone] += n
		total += n
		if job.OneZone && zones[zone] >= need || !job.OneZone && total >= need {
			return o.host.Rental.ID, true
		}
	}
	return "", false
}

// calm tells whether all troubles are over, those of machines too.
func (w *World) calm() bool {
	if w.troubled() || w.lateOrders.until > w.Now || w.nextReports.until > w.Now {
		return false
	}
	for _, id := range w.IDs {
		h := w.Hosts[id]
		if !h.Gone && max(h.HungTill, h.deafTill, h.muteTill, h.commandsTill, h.answersTill) > w.Now {
			return false
		}
	}
	return true
}

// checkProgress looks at what each unfinished job waits for, again and again. A job that
// gets a task started, or can't get one, begins to wait anew.
func (w *World) checkProgress() {
	w.After(progressLookMS, w.checkProgress)
	if !w.calm() {
		w.waitsSince = map[string]int64{}
		return
	}
	u := w.usage()
	teams := w.Params.Teams
	if w.NewTeams != nil {
		teams = w.NewTeams
	}
	for _, id := range w.Order {
		j := w.Jobs[id]
		machine, could := "", false
		if j.Accepted && j.unfinished() {
			machine, could = u.couldStart(j, teams[j.Job.Team])
		}
		since, waits := w.waitsSince[id]
		if could && waits {
			w.LongestLeftMS = max(w.LongestLeftMS, w.Now-since)
		}
		switch {
		case !could:
			delete(w.waitsSince, id)
		case !waits:
			w.waitsSince[id] = w.Now
		case w.Now-since > leftWaitingMS:
			w.fail("left_waiting", "%s, %d of %d tasks done, waits for %d ms, while %s, for one, has room", id, len(j.Done), j.Job.Tasks, w.Now-since, machine)
		}
	}
}
