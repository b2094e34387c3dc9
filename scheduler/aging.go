package scheduler

import "github.com/grebedock/grebedock/availability"

// Aging is the exception for large jobs under more work than there is room for. Admission
// serves as many jobs in time as it can: what can't be in time any more goes behind whatever
// comes, earlier deadlines go first, and a job that does not fit its team's guarantee goes
// behind those that do. All three put off the largest and the longest of a class. Once such
// a job has waited for most of the time in which jobs are to begin, its first task, and no
// more, goes before its equals.

// age puts the first tasks of large jobs that waited too long to begin before their equals.
func (m *Member) age(gs []*group) []*group {
	if !m.p.Aging {
		return gs
	}
	within := ms(m.settings.BeginWithinS)
	aged := false
	for _, g := range gs {
		if !g.Aged(m.now.Wall, within) || !m.large(g.j) {
			continue
		}
		aged = true
		if first, split := g.SplitFirst(); split {
			gs = append(gs, &group{Group: first, w: g.w, j: g.j})
		}
	}
	if aged {
		sortGroups(gs)
	}
	return gs
}

// volumes is the mean volume of the live jobs of each class, as of a moment.
type volumes struct {
	at    int64 // steady time; 0: never
	means map[string]float64
}

// large tells whether a job has at least the mean volume of its class's live jobs, in all
// shards. The means are counted once between two summaries: they need no more exactness.
func (m *Member) large(j *Job) bool {
	if m.volumes.at == 0 || m.now.Steady-m.volumes.at > ms(m.settings.SummaryS) {
		m.volumes = volumes{at: m.now.Steady, means: m.meanVolumes()}
	}
	return m.volume(j) >= m.volumes.means[j.Class]
}

// volume is what all tasks of a job take together: processors, times milliseconds.
func (m *Member) volume(j *Job) float64 {
	return float64(j.Tasks) * j.Request.CPUs * float64(m.length(j))
}

func (m *Member) meanVolumes() map[string]float64 {
	means, jobs := map[string]float64{}, map[string]float64{}
	for _, j := range inOrder(m.jobs) { // the same sum every time
		class := j.rec.Job.Class
		means[class] += m.volume(&j.rec.Job)
		jobs[class]++
	}
	for class, n := range jobs {
		means[class] /= n
	}
	return means
}

// keep keeps room of a team's limit together for the first task of a job that waited too
// long to begin, one at a time. Otherwise smaller tasks would take what others give back
// before it is enough. A machine is asked for too, since what a limit holds up asks for none.
func (m *Member) keep(s *shard, g *group) {
	if s.kept[g.j.Team] != nil {
		return
	}
	part, _, _ := m.part(s, g.j.Team)
	if !part.Fits(amountsOf(g.j.Request)) {
		return
	}
	s.kept[g.j.Team] = g.j
	if s.board.CouldStart(&g.Group, 1) == 0 {
		s.needs = append(s.needs, Need{Job: g.j.ID, Count: 1, Deadline: g.Due, Length: g.Length})
	}
}

// keptFrom is what a job must leave of its team's limit to a first task for which room
// is kept there.
func (s *shard) keptFrom(j *Job) availability.Room {
	k := s.kept[j.Team]
	if k == nil || k.ID == j.ID || j.Priority > k.Priority {
		return availability.Room{}
	}
	return availability.Room{CPUs: k.Request.CPUs, GPUs: k.Request.GPUs}
}
