package scheduler

import (
	"encoding/json"
	"slices"

	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/indoubt"
	"github.com/grebedock/grebedock/quota"
	"github.com/grebedock/grebedock/reconcile"
)

// A team's limit is split among the shards by a record in the store; a start
// needs room in its shard's part, so the limit holds whatever the shards know
// of each other (package quota). Without a record all of it is with the team's home, the shard
// that the team's jobs go to: in equal parts, a team's jobs waited on one shard
// for what lay unused on another, and the earliest deadline was the earliest of
// its shard only.

func (m *Member) part(s *shard, team string) (quota.Amounts, Team, bool) {
	t := m.p.Teams[team]
	if b := m.books[team]; b != nil {
		return b.Part(s.name), t, true
	}
	return quota.Amounts{}, t, false
}

// openTeams gives the teams that have a limit their homes, and opens their books.
func (m *Member) openTeams() {
	m.homes, m.books = teamHomes(m.p.Teams, m.members()), map[string]*quota.Book{}
	for name, home := range m.homes {
		t := m.p.Teams[name]
		var others []string
		if m.p.Quota {
			others = slices.DeleteFunc(m.members(), func(s string) bool { return s == home })
		}
		m.books[name] = quota.NewBook(quota.Amounts{CPUs: t.MaxCPUs, GPUs: t.MaxGPUs}, home, others...)
	}
}

// teamHomes spreads the teams that have a limit over the shards. All members
// have the same settings, so they agree.
func teamHomes(teams map[string]Team, members []string) map[string]string {
	homes := map[string]string{}
	i := 0
	for name, t := range inOrder(teams) {
		if t.MaxCPUs > 0 || t.MaxGPUs > 0 {
			homes[name] = members[i%len(members)]
			i++
		}
	}
	return homes
}

// lendable tells whether all that a shard has of a limited team's work fits its
// part: then some may go to a peer, which asks for the part that it needs.
func (m *Member) lendable(s *shard, team string) bool {
	r, limited := m.teamRoom(s, team)
	if !limited {
		return true
	}
	q := s.queued(team)
	return q.CPUs <= r.CPUs && q.GPUs <= r.GPUs
}

// queued is what a team's tasks that do not run yet ask for.
func (s *shard) queued(team string) availability.Room {
	var q availability.Room
	for _, w := range s.works {
		if j := &w.job.rec.Job; j.Team == team {
			q.CPUs += float64(w.pending()) * j.Request.CPUs
			q.GPUs += float64(w.pending()) * j.Request.GPUs
		}
	}
	return q
}

// mayUse is what a team's tasks may use of a shard's machines without our knowing
// it. A machine that is unseen has at most what its note says, or what it has room
// for. So does one with tasks that are not ours to keep: whose they are is no
// longer known, and until they are stopped they may be this team's.
func (m *Member) mayUse(s *shard, team string) (sum reconcile.Amounts) {
	for _, u := range s.squares.Unseen() {
		if n, noted := s.squares.Book.Holds(u.ID); noted {
			sum = sum.Add(n.Use[team])
			continue
		}
		sum = sum.Add(m.capacity(m.machines[u.ID]))
	}
	if s.strays > 0 {
		for _, mc := range s.machines {
			if mc.strays > 0 && mc.Squared() {
				c := m.capacity(mc)
				sum = sum.Add(reconcile.Amounts{CPUs: c.CPUs - mc.use.CPUs, GPUs: c.GPUs - mc.use.GPUs})
			}
		}
	}
	return sum
}

// capacity bounds what all tasks on a machine use: workers refuse more.
func (m *Member) capacity(mc *machine) reconcile.Amounts {
	if mc == nil || m.types[mc.rec.Type] == nil {
		return reconcile.Amounts{CPUs: 1e12, GPUs: 1e12}
	}
	r := m.types[mc.rec.Type].Room
	return reconcile.Amounts{CPUs: r.CPUs, GPUs: r.GPUs}
}

// teamRoom is what a team may still start in a shard.
func (m *Member) teamRoom(s *shard, team string) (availability.Room, bool) {
	p, t, limited := m.part(s, team)
	if !limited {
		return availability.Room{}, false
	}
	use, unseen := s.use[team], m.mayUse(s, team)
	r := availability.Room{CPUs: p.CPUs - use.CPUs - unseen.CPUs, GPUs: p.GPUs - use.GPUs - unseen.GPUs, MemoryGB: 1e12}
	if t.MaxCPUs <= 0 {
		r.CPUs = 1e12
	}
	if t.MaxGPUs <= 0 {
		r.GPUs = 1e12
	}
	return r, true
}

func (m *Member) teamAllows(s *shard, j *Job) bool {
	r, limited := m.teamRoom(s, j.Team)
	return !limited || r.Sub(m.owedTo(s, j)).Holds(withoutDisk(j.Request))
}

// teamCopies is how many tasks of a job its team's part takes now, beside what
// else of the team is about to start.
func (m *Member) teamCopies(s *shard, j *Job, begun availability.Room) int {
	r, limited := m.teamRoom(s, j.Team)
	if !limited {
		return j.Tasks
	}
	return r.Sub(begun).Sub(m.owedTo(s, j)).Copies(withoutDisk(j.Request), j.Tasks)
}

// demandsOf is what a shard has of limited teams' work: what runs and waits now, and
// what of it had room at the last plan.
func (m *Member) demandsOf(s *shard) map[string]quota.Demand {
	out := make(map[string]quota.Demand, len(m.books))
	for name := range m.books {
		unseen := m.mayUse(s, name)
		use := s.use[name]
		out[name] = quota.Demand{Use: quota.Amounts{CPUs: use.CPUs + unseen.CPUs, GPUs: use.GPUs + unseen.GPUs}, Blind: unseen != (reconcile.Amounts{})}
	}
	for _, w := range s.works {
		j := &w.job.rec.Job
		d, limited := out[j.Team]
		if !limited {
			continue
		}
		req := amountsOf(j.Request)
		d.Large = d.Large.Max(req)
		if n := w.pending(); n > 0 {
			d.Wait, d.Unit = d.Wait.Add(req.Times(float64(n))), d.Unit.Max(req)
		}
		out[j.Team] = d
	}
	for name, soon := range s.soon {
		d := out[name]
		d.Soon = soon.Min(d.Wait)
		out[name] = d
	}
	return out
}

// couldUse notes how much of a group that its team's limit holds up has room on
// machines, up or booting.
func (m *Member) couldUse(s *shard, g *group) {
	n := s.board.CouldStart(&g.Group, g.Left)
	s.soon[g.j.Team] = s.soon[g.j.Team].Add(amountsOf(g.j.Request).Times(float64(n)))
}

// draftTeams writes what the demands of a shard ask of its teams' records: what it
// lacks, and what it gives to shards that lack more.
func (m *Member) draftTeams(s *shard) {
	if m.now.Steady < s.nextDraft || !m.authority() {
		return
	}
	s.nextDraft = m.now.Steady + ms(m.settings.SummaryS)/draftsIn
	demands := m.demandsOf(s)
	for name, b := range inOrder(m.books) {
		b.Patience = keepsIn * ms(m.settings.SummaryS)
		if w := b.Draft(m.now.Wall, s.name, demands[name]); w != nil {
			s.dirty = true
			m.sendBook(s, name, b, w)
		}
	}
}

// draftsIn is how often a shard looks at its teams' records in the time between two
// summaries. A write follows only what changed.
const draftsIn = 4

// keepsIn is for how many times the time between two summaries a shard keeps a part of a
// limit that its next task does not fit in, while others want it.
const keepsIn = 30

// sendBook writes a team's record until the outcome is certain (package quota).
func (m *Member) sendBook(s *shard, team string, b *quota.Book, w *quota.Write) {
	key := teamKey(team)
	m.settleWrite(key, settling{
		holds: func() bool { return m.mine[s.name] == s },
		send: func(done func(StoreResult)) {
			m.txn(Answers, []Guard{{shardKey(s.name), s.token}, {key, w.Rev}}, []Change{{Key: key, Value: encode(w.Record)}}, func(r StoreResult) {
				m.log(Debug, "team record written", "team", team, "shard", s.name, "outcome", r.Outcome, "parts", w.Record.Parts, "wants", w.Record.Wants)
				done(r)
			})
		},
		ended: b.Ended,
		read: func(r StoreResult) indoubt.Next {
			if r.Outcome == OK && len(r.Items) == 1 {
				var rec quota.Record
				if json.Unmarshal(r.Items[0].Value, &rec) == nil {
					return b.Back(OK, &rec, r.Items[0].Rev)
				}
				return b.Back(Unknown, nil, 0)
			}
			return b.Back(r.Outcome, nil, 0)
		},
		settled: m.dirtyAll,
		left:    b.Abandon, // the shard went
	})
}
