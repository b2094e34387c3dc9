package scheduler

import (
	"encoding/json"
	"slices"
)

// finalsKept bounds the cache of final states; the store keeps them all.
const finalsKept = 2048

// remember keeps a final state, which never changes, for later questions.
func (m *Member) remember(id string, f finalRecord) {
	if _, ok := m.finals[id]; ok {
		return
	}
	m.finals[id] = f
	m.finalLog = append(m.finalLog, id)
	if len(m.finalLog) > finalsKept {
		delete(m.finals, m.finalLog[0])
		m.finalLog = slices.Delete(m.finalLog, 0, 1)
	}
}

func unavailable(id, why string) UserAnswer {
	return UserAnswer{Status: 503, ID: id, Error: why, RetryS: 1, fault: true}
}

func (f finalRecord) answer(id string) UserAnswer {
	a := UserAnswer{Status: 200, ID: id, State: f.State, Failed: f.Failed, Run: f.Run}
	if f.State == Done {
		a.Done = f.Tasks
	}
	return a
}

// lookup asks the store for a job: the live record first, then the final one,
// in the order in which a job moves, so that one is found whenever it exists.
// The mirror may lag, so it answers nothing here.
func (m *Member) lookup(id string, u Urgency, done func(UserAnswer, *Item)) {
	m.ask(StoreOp{Kind: StoreGet, Urgency: u, Key: jobKey(id)}, func(r StoreResult) {
		switch {
		case r.Outcome == OK && len(r.Items) == 1:
			var rec jobRecord
			if json.Unmarshal(r.Items[0].Value, &rec) != nil {
				// Known all the same: it was accepted, and is not over. Answered 503, it
				// would be forgotten, and its user could not even cancel it.
				done(UserAnswer{Status: 200, ID: id, State: Pending}, &r.Items[0])
				return
			}
			m.apply(r.Items[0])
			done(m.liveAnswer(id, &rec), &r.Items[0])
		case r.Outcome == NotFound:
			m.lookupFinal(id, u, func(a UserAnswer) { done(a, nil) })
		default:
			done(unavailable(id, "state service unavailable"), nil)
		}
	})
}

// lookupFinal asks the store for the end of a job that is not live.
func (m *Member) lookupFinal(id string, u Urgency, done func(UserAnswer)) {
	if f, ok := m.finals[id]; ok {
		done(f.answer(id))
		return
	}
	m.ask(StoreOp{Kind: StoreGet, Urgency: u, Key: finalKey(id)}, func(r StoreResult) {
		switch {
		case r.Outcome == OK && len(r.Items) == 1:
			var f finalRecord
			if json.Unmarshal(r.Items[0].Value, &f) != nil {
				done(unavailable(id, "record unreadable"))
				return
			}
			m.remember(id, f)
			done(f.answer(id))
		case r.Outcome == NotFound:
			done(UserAnswer{Status: 404, ID: id, Error: "no such job"})
		default:
			done(unavailable(id, "state service unavailable"))
		}
	})
}

// liveAnswer gives the state of a live job with what members last knew of it.
func (m *Member) liveAnswer(id string, rec *jobRecord) UserAnswer {
	a := UserAnswer{Status: 200, ID: id, State: Pending, Run: rec.Job.Run}
	left := 0
	for _, r := range rec.Ranges {
		left += r.Hi - r.Lo
	}
	a.Done = rec.Job.Tasks - left
	if j := m.jobs[id]; j != nil {
		for _, w := range j.works {
			a.Running += w.running
			a.Done += w.nDone
		}
	}
	for _, p := range m.peers {
		for _, sr := range p.msg.Shards {
			if m.mine[sr.Shard] == nil {
				c := sr.Running[id]
				a.Running += c.Running
				a.Done += c.Done
			}
		}
	}
	a.Done = min(a.Done, rec.Job.Tasks)
	if a.Running > 0 {
		a.State = Running
	}
	return a
}

// counts is how far each live job is in a shard.
func (m *Member) counts(s *shard) map[string]Counts {
	out := map[string]Counts{}
	for _, w := range s.works {
		if w.running > 0 || w.nDone > 0 {
			c := out[w.job.rec.Job.ID]
			c.Running += w.running
			c.Done += w.nDone
			out[w.job.rec.Job.ID] = c
		}
	}
	return out
}

// impossible says why a job can never run, or nothing. known is false while
// that cannot be decided.
func (m *Member) impossible(j *Job) (why string, known bool) {
	t, ok := m.p.Teams[j.Team]
	if !ok {
		return "unknown team", true
	}
	n := 1.0
	if j.Kind != Array {
		n = float64(j.Tasks)
	}
	if t.MaxCPUs > 0 && n*j.Request.CPUs > t.MaxCPUs || t.MaxGPUs > 0 && n*j.Request.GPUs > t.MaxGPUs {
		return "needs more than the team's limit", true
	}
	if len(m.types) == 0 {
		return "", false
	}
	for _, t := range m.types {
		if m.fitsType(j, t) {
			return "", true
		}
	}
	return "a task fits no allowed machine type", true
}

func (m *Member) submit(reply uint64, r UserRequest) {
	refuse := func(a UserAnswer) {
		if r.ID == "" {
			m.reply(reply, a)
			return
		}
		// A repeated submission of a known job is welcome whatever its
		// body says now.
		m.lookup(r.ID, Answers, func(known UserAnswer, _ *Item) {
			if known.Status == 404 {
				known = a
			}
			m.reply(reply, known)
		})
	}
	if r.Job == nil {
		refuse(UserAnswer{Status: 400, ID: r.ID, Error: r.Bad})
		return
	}
	why, known := m.impossible(r.Job)
	if why != "" {
		refuse(UserAnswer{Status: 422, ID: r.ID, Error: why})
		return
	}
	if !known {
		refuse(unavailable(r.ID, "machine types not known yet"))
		return
	}
	if len(encode(jobRecord{Job: *r.Job, Accepted: m.now.Wall, Ranges: []Range{{0, r.Job.Tasks, m.p.Member, false}}})) > m.p.ValueBytes {
		// No value of the store holds it, however often it is sent.
		refuse(UserAnswer{Status: 400, ID: r.ID, Error: "the job's names are too long"})
		return
	}
	if m.jobs[r.ID] == nil {
		m.offer(reply, r)
		return
	}
	// Known already: a write would only fail.
	m.lookup(r.ID, Answers, func(a UserAnswer, _ *Item) {
		if a.Status == 404 {
			m.offer(reply, r)
			return
		}
		m.reply(reply, a)
	})
}

func (m *Member) cancel(reply uint64, id string, tries int) {
	m.lookup(id, Answers, func(a UserAnswer, it *Item) {
		if it == nil {
			m.reply(reply, a)
			return
		}
		var rec jobRecord
		if err := json.Unmarshal(it.Value, &rec); err != nil {
			m.log(Warn, "record unreadable", "key", it.Key, "error", err)
		}
		f := finalRecord{State: Cancelled, Tasks: rec.Job.Tasks, Run: rec.Job.Run}
		changes := []Change{{Key: jobKey(id)}, {Key: finalKey(id), Value: encode(f)}}
		m.txn(Answers, []Guard{{jobKey(id), it.Rev}, {finalKey(id), 0}}, changes, func(r StoreResult) {
			switch {
			case r.Outcome == OK:
				m.remember(id, f)
				m.log(Info, "job cancelled", "job", id)
				m.reply(reply, f.answer(id))
			case (r.Outcome == Conflict || r.Outcome == Unknown) && tries > 0:
				m.cancel(reply, id, tries-1)
			default:
				m.reply(reply, unavailable(id, "state service unavailable"))
			}
		})
	})
}
