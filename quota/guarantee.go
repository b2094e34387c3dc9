package quota

import (
	"cmp"
	"math"
	"slices"
)

// Job is an unfinished job of a team.
type Job struct {
	ID   string
	At   int64   // when it came, time of day
	Size Amounts // of all its tasks
}

// Compare orders jobs as they came.
func (j Job) Compare(o Job) int { return cmp.Or(cmp.Compare(j.At, o.At), cmp.Compare(j.ID, o.ID)) }

// Within tells which of a team's unfinished jobs are within its guarantee: each that
// fits it together with all that came before. Members that see the same jobs agree.
func Within(guarantee Amounts, jobs []Job) map[string]bool {
	if !guarantee.some() {
		return nil
	}
	jobs = slices.Clone(jobs)
	slices.SortFunc(jobs, Job.Compare)
	out := map[string]bool{}
	var sum Amounts
	for _, j := range jobs {
		if sum = sum.Add(j.Size); !guarantee.Fits(sum) {
			break
		}
		out[j.ID] = true
	}
	return out
}

// Figures is what a member tells the others of what teams use in its shards.
type Figures struct {
	At    int64              `msgpack:"at"`    // rises with each
	Use   map[string]Amounts `msgpack:"use"`   // by team, without what is told to stop
	Wait  map[string]Amounts `msgpack:"wait"`  // by team
	Heard map[string]int64   `msgpack:"heard"` // by member: the newest of its figures that this one has
}

// Watch is what a member knows of the use of teams over all members, and what it may
// stop for others' guarantees.
type Watch struct {
	me      string
	born    int64 // figures of an earlier life are not newer
	at      int64
	names   []string // of the members that were heard, in order
	heard   map[string]figures
	stopped map[string]stops // by team
}

type figures struct {
	Figures
	steady int64 // when they came
}

// NewWatch returns the watch of a member that starts at a time of day, which has heard
// nobody.
func NewWatch(me string, wall int64) *Watch {
	return &Watch{me: me, born: wall, at: wall, heard: map[string]figures{}, stopped: map[string]stops{}}
}

// Tell returns the figures to send. wall is the time of day, which makes those of a
// member that starts again newer than those before.
func (w *Watch) Tell(wall int64, use, wait map[string]Amounts) Figures {
	w.at = max(w.at+1, wall)
	f := Figures{At: w.at, Use: use, Wait: wait, Heard: map[string]int64{}}
	for m, o := range w.heard {
		f.Heard[m] = o.At
	}
	return f
}

// Hear takes another member's figures, unless newer ones overtook them.
func (w *Watch) Hear(steady int64, from string, f Figures) {
	old, known := w.heard[from]
	if f.At <= old.At {
		return
	}
	if !known {
		at, _ := slices.BinarySearch(w.names, from)
		w.names = slices.Insert(w.names, at, from)
	}
	w.heard[from] = figures{f, steady}
}

// Others is what a team uses and waits for in the shards of the members that were heard
// since, and how old the oldest of these figures is.
func (w *Watch) Others(team string, now, since int64) (use, wait Amounts, age int64) {
	for _, m := range w.names {
		if f := w.heard[m]; f.steady >= since {
			use, wait, age = use.Add(f.Use[team]), wait.Add(f.Wait[team]), max(age, now-f.steady)
		}
	}
	return use, wait, age
}

// stops is what a member has stopped of a team since the others' figures were last
// complete: what else it may, by the figures of then.
type stops struct {
	at   int64 // the last of our figures before the last of them
	left Amounts
	own  Amounts // as little of it as may be left here
}

// last is what was stopped of a team last, and whether each member that was heard since a
// time has told what it uses after it heard of that. One that just started has others hear
// of it first: what its earlier life stopped they may not know.
func (w *Watch) last(team string, since int64) (s stops, heeded bool) {
	s, stopped := w.stopped[team]
	if !stopped {
		s.at = w.born
	}
	for _, f := range w.heard {
		if f.steady >= since && f.Heard[w.me] <= s.at {
			return s, false
		}
	}
	return s, true
}

// Excess is what this member may stop of a team that uses so much here, beyond its
// guarantee. Members not heard since a time count as using nothing. In a dimension in
// which nothing is guaranteed there is no bound.
func (w *Watch) Excess(team string, own, guarantee Amounts, since int64) Amounts {
	if s, heeded := w.last(team, since); !heeded {
		// What some say, they said before they heard of our last stop: they may stop
		// their parts by figures of before, and so may we, but no more.
		return s.left.Min(own.Sub(s.own)).Max(Amounts{})
	}
	use, _, _ := w.Others(team, 0, since)
	all := own.Add(use)
	part := func(own, all, guarantee float64) float64 {
		switch {
		case guarantee <= 0:
			return math.Inf(1)
		case all <= guarantee || own <= 0:
			return 0
		}
		return (all - guarantee) * own / all
	}
	return Amounts{part(own.CPUs, all.CPUs, guarantee.CPUs), part(own.GPUs, all.GPUs, guarantee.GPUs)}
}

// Stop takes what is to be stopped of a team off what may be, and says whether it may.
func (w *Watch) Stop(team string, own, guarantee Amounts, since int64, n Amounts) bool {
	e := w.Excess(team, own, guarantee, since)
	if !e.Fits(n) {
		return false
	}
	s, heeded := w.last(team, since)
	if heeded {
		s = stops{left: e, own: own.Sub(e)}
	}
	s.at, s.left = w.at, s.left.Sub(n)
	w.stopped[team] = s
	return true
}

// Dominant is a team's dominant share: the larger of what it uses of all processors and
// of all accelerators (Ghodsi et al., "Dominant Resource Fairness", NSDI 2011).
func Dominant(use, all Amounts) float64 {
	share := 0.0
	if all.CPUs > 0 {
		share = use.CPUs / all.CPUs
	}
	if all.GPUs > 0 {
		share = max(share, use.GPUs/all.GPUs)
	}
	return share
}

// Level says how far a team is beyond its guarantee, in halves of an equal share of all
// that there is: what is free goes to lower levels first. Within a level deadlines count,
// so that teams that are about even do not cost each other theirs.
func Level(use, guarantee, all Amounts, teams int) int {
	return int(Dominant(use.Sub(guarantee).Max(Amounts{}), all)*float64(2*teams) + small)
}
