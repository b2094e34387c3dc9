package scheduler

import (
	"maps"
	"slices"
	"strings"

	"github.com/grebedock/grebedock/quota"
	"github.com/grebedock/grebedock/reconcile"
)

// Status is what the administration API shows of a member.
type Status struct {
	Member    string          `json:"member"`
	Authority bool            `json:"authority"`
	Leading   bool            `json:"leading"`
	Lead      string          `json:"lead"`
	Revision  uint64          `json:"revision"`
	Link      string          `json:"link"` // with the state service: up, doubtful, refused or silent
	Jobs      int             `json:"jobs"`
	Shards    []ShardStatus   `json:"shards"`
	Machines  []MachineStatus `json:"machines"`
	Teams     []TeamStatus    `json:"teams"`
	Counters  Counters        `json:"counters"`
}

// ShardStatus is a shard in a Status.
type ShardStatus struct {
	Shard  string `json:"shard"`
	Holder string `json:"holder"`
	Mine   bool   `json:"mine"`
	Ready  bool   `json:"ready"`
	Token  uint64 `json:"token,omitempty"`
	Queued int    `json:"queued"`
	Needs  int    `json:"needs"`
	// PlanGapS is how long the cost of the last plan asks to wait for the next.
	PlanGapS float64 `json:"plan_gap_s"`
	// Machines that may run tasks of earlier claims without our knowing it, those
	// of which the store says what they hold, and whether orders are paced.
	Unseen int  `json:"unseen"`
	Noted  int  `json:"noted"`
	Paced  bool `json:"paced"`
}

// MachineStatus is a machine in a Status.
type MachineStatus struct {
	ID       string `json:"id"`
	Shard    string `json:"shard"`
	Type     string `json:"type"`
	Zone     string `json:"zone"`
	Spot     bool   `json:"spot"`
	Up       bool   `json:"up"`
	Draining bool   `json:"draining"` // the lead is asked to return it; nothing undoes that
	Aside    bool   `json:"aside"`    // takes no starts, by an operator's wish
	Silent   bool   `json:"silent"`
	Tasks    int    `json:"tasks"`
}

// TeamStatus is a team in a Status: its guarantee and limit, and what its tasks
// use and wait for in this member's shards and in all.
type TeamStatus struct {
	Team    string  `json:"team"`
	CPUs    float64 `json:"cpus"`
	MaxCPUs float64 `json:"cpus_max"` // 0: none
	Used    float64 `json:"cpus_used"`
	Waiting float64 `json:"cpus_waiting"`

	Guarantee quota.Amounts `json:"guarantee"`
	Limit     quota.Amounts `json:"limit"`
	// Over all members that were heard lately, and how old the oldest of their figures is.
	Use  quota.Amounts `json:"use"`
	Wait quota.Amounts `json:"wait"`
	AgeS float64       `json:"age_s"`
	// Within is what unfinished jobs within the guarantee ask for, Below how far the team
	// is below its guarantee while as much of them waits.
	Within quota.Amounts `json:"within"`
	Below  quota.Amounts `json:"below"`
	// By shard, of a team with a limit.
	Parts map[string]quota.Amounts `json:"parts,omitempty"`
	Wants map[string]quota.Want    `json:"wants,omitempty"`
}

// Status tells how the member stands.
func (m *Member) Status(now Now) Status {
	m.now = now
	st := Status{Member: m.p.Member, Authority: m.authority(), Leading: m.fleet.leading, Lead: m.lead, Revision: m.rev, Link: m.acc.Link(now.Steady).String(), Jobs: len(m.jobs), Counters: m.Counters}
	for _, n := range m.members() {
		ss := ShardStatus{Shard: n, Holder: m.shards[n].Holder}
		if s := m.mine[n]; s != nil {
			ss.Mine, ss.Ready, ss.Token, ss.Needs, ss.PlanGapS = true, s.ready, s.token, len(s.needs), m.planGap(s)/1000
			ss.Unseen, ss.Noted, ss.Paced = len(s.squares.Unseen()), s.squares.Book.Len(), s.squares.Line.On(now.Steady)
			for _, g := range m.groups(s) {
				ss.Queued += g.Left
			}
		}
		st.Shards = append(st.Shards, ss)
	}
	use, wait := m.teamUse()
	for name, t := range inOrder(m.p.Teams) {
		st.Teams = append(st.Teams, m.teamStatus(name, t, use[name], wait[name]))
	}
	for id, mc := range m.machines {
		st.Machines = append(st.Machines, MachineStatus{ID: id, Shard: mc.rec.Shard, Type: mc.rec.Type, Zone: mc.rec.Zone, Spot: mc.rec.Spot,
			Up: mc.Up, Draining: mc.returning, Aside: mc.aside || slices.Contains(m.settings.Drain, id), Silent: mc.Standing() == reconcile.Silent, Tasks: mc.live})
	}
	slices.SortFunc(st.Machines, func(a, b MachineStatus) int { return strings.Compare(a.ID, b.ID) })
	return st
}

func (m *Member) teamStatus(name string, t Team, use, wait quota.Amounts) TeamStatus {
	ts := TeamStatus{Team: name, CPUs: t.CPUs, MaxCPUs: t.MaxCPUs, Used: use.CPUs, Waiting: wait.CPUs, Guarantee: guaranteeOf(t),
		Limit: quota.Amounts{CPUs: t.MaxCPUs, GPUs: t.MaxGPUs}}
	var age int64
	ts.Use, ts.Wait, age = m.watch.Others(name, m.now.Steady, m.now.Steady-m.freshFor())
	ts.Use, ts.Wait, ts.AgeS = ts.Use.Add(use), ts.Wait.Add(wait), float64(age)/1000
	for _, j := range inOrder(m.jobs) { // the same sum every time
		if j.rec.Job.Team == name && m.guaranteed(&j.rec.Job) {
			ts.Within = ts.Within.Add(sizeOf(&j.rec.Job))
		}
	}
	ts.Below = ts.Within.Min(ts.Guarantee).Sub(ts.Use).Min(ts.Wait).Max(quota.Amounts{})
	if b := m.books[name]; b != nil {
		ts.Parts = b.Parts()
		if rec := b.Record(); rec != nil {
			ts.Wants = maps.Clone(rec.Wants)
		}
	}
	return ts
}

// Settings returns the operators' settings that are in force.
func (m *Member) Settings() Settings {
	s := m.settings
	s.Drain, s.Disruption = slices.Clone(s.Drain), maps.Clone(s.Disruption)
	return s
}

// ChangeSettings stores new settings, which all members take up from the store;
// reply names the answer among the users'.
func (m *Member) ChangeSettings(now Now, reply uint64, s Settings) {
	m.now = now
	m.questions[reply] = &question{reply: reply, at: now.Steady, own: true, relayed: true} // this member's to answer
	if why := s.Check(); why != "" {
		m.reply(reply, UserAnswer{Status: 400, Error: why})
		return
	}
	if !m.acc.Synced() {
		m.reply(reply, unavailable("", "state service unavailable"))
		return
	}
	m.txn(Answers, []Guard{{settingsKey, m.revs[settingsKey]}}, []Change{{Key: settingsKey, Value: encode(s)}}, func(r StoreResult) {
		switch r.Outcome {
		case OK:
			m.log(Info, "settings changed")
			m.reply(reply, UserAnswer{Status: 200})
		case Conflict:
			m.reply(reply, UserAnswer{Status: 409, Error: "changed by somebody else meanwhile; read and try again"})
		default:
			m.reply(reply, unavailable("", "state service unavailable"))
		}
	})
}
