package access

import (
	"errors"
	"flag"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func init() {
	// The same inputs every time, so that the verdict is the same.
	if err := errors.Join(flag.Set("rapid.seed", "1"), flag.Set("rapid.checks", "2000")); err != nil {
		panic(err)
	}
}

var settings = Settings{Life: 8000, Drift: 0.002, Slack: 50, Timeout: 2000}

// The transitions of the package's comment.
var (
	holds = map[Hold][]Hold{NoHold: {Asking}, Asking: {NoHold, Kept}, Kept: {Extending}, Extending: {Kept, NoHold}}
	looks = map[Mirror][]Mirror{Unread: {Reading}, Reading: {Read, Unread}, Read: {Watching, Unread}, Watching: {Read, Unread}}
	links = map[Link][]Link{Up: {Doubtful, RefusedHere, Silent}, Doubtful: {Up, RefusedHere, Silent}, RefusedHere: {Up, Silent}, Silent: {Up, RefusedHere}}
)

type request struct {
	ticket Ticket
	sent   int64
	kind   string
	look   uint64
}

// A service that answers, refuses, is silent and forgets holds, in any order:
// whatever it does, only listed transitions happen, no request of the hold or of
// the mirror goes out beside another, authority rests on two proofs that are
// young enough, and nothing gets stuck.
func TestWhateverTheServiceDoes(t *testing.T) {
	seen := map[any]bool{}
	rapid.Check(t, func(t *rapid.T) {
		a := New(settings)
		now := int64(1)
		var open []request
		var proofHold, proofLook int64
		outcomes := []Outcome{OK, OK, OK, NotFound, Conflict, Gone, Refused, Throttled, Unknown}
		check := func(was Access) {
			if a.hold != was.hold && !slices.Contains(holds[was.hold], a.hold) {
				t.Fatalf("hold: %v to %v", was.hold, a.hold)
			}
			if a.mirror != was.mirror && !slices.Contains(looks[was.mirror], a.mirror) {
				t.Fatalf("mirror: %v to %v", was.mirror, a.mirror)
			}
			if a.link != was.link && !slices.Contains(links[was.link], a.link) {
				t.Fatalf("link: %v to %v", was.link, a.link)
			}
			seen[[2]Hold{was.hold, a.hold}], seen[[2]Mirror{was.mirror, a.mirror}], seen[[2]Link{was.link, a.link}] = true, true, true
			if limit := min(proofHold, proofLook) + settings.Life - int64(float64(settings.Life)*settings.Drift) - settings.Slack; a.Authority(now) && now >= limit {
				t.Fatalf("authority at %d, proofs at %d and %d", now, proofHold, proofLook)
			}
		}
		send := func(kind string, look uint64) {
			for _, r := range open {
				if r.kind == kind && kind != "other" && !(kind == "look" && r.look < look) {
					t.Fatalf("two requests %s at once", kind)
				}
			}
			r := request{sent: now, kind: kind, look: look}
			r.ticket = a.Sent(now)
			open = append(open, r)
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			was := *a
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0, 1:
				now += rapid.Int64Range(0, 1500).Draw(t, "ms")
				ask := a.Tick(now)
				if ask.Hold || ask.Extend != 0 {
					send("hold", 0)
				}
				if ask.List || ask.Watch {
					send("look", ask.Look)
				}
			case 2:
				send("other", 0)
			case 3:
				a.Reread(now)
			case 4:
				a.Link(now)
			case 5:
				if len(open) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(open)-1).Draw(t, "which")
				r := open[i]
				open = slices.Delete(open, i, i+1)
				o := rapid.SampledFrom(outcomes).Draw(t, "outcome")
				a.Ended(now, r.ticket, 0, o)
				if o.Answered() && a.link != Up {
					t.Fatalf("an answer leaves the link %v", a.link)
				}
				check(was)
				was = *a
				switch r.kind {
				case "hold":
					extended := a.hold == Extending
					lost := a.Held(now, o, 7)
					if o == OK {
						proofHold = r.sent
					}
					if lost != (extended && (o == NotFound || o == Gone)) {
						t.Fatalf("lost %v after %v", lost, o)
					}
				case "look":
					if a.Looked(now, r.look, o, 0.5) && o == OK {
						proofLook = max(proofLook, r.sent)
					}
				}
			}
			check(was)
		}
		// All that is open ends; then whatever it was, it goes on.
		for _, r := range open {
			a.Ended(now, r.ticket, 0, Unknown)
			switch r.kind {
			case "hold":
				a.Held(now, Unknown, 0)
			case "look":
				a.Looked(now, r.look, Unknown, 0.5)
			}
		}
		now += a.Step() + settings.Timeout
		ask := a.Tick(now)
		if !ask.Hold && ask.Extend == 0 || !ask.List && !ask.Watch {
			t.Fatalf("stuck with hold %v, mirror %v", a.hold, a.mirror)
		}
		if _, ok := a.open.oldest(0); ok {
			t.Fatal("a request is still thought to be under way")
		}
	})
	for from, tos := range links {
		for _, to := range tos {
			if !seen[[2]Link{from, to}] {
				t.Errorf("link: never from %v to %v", from, to)
			}
		}
	}
	for from, tos := range holds {
		for _, to := range tos {
			if !seen[[2]Hold{from, to}] {
				t.Errorf("hold: never from %v to %v", from, to)
			}
		}
	}
	for from, tos := range looks {
		for _, to := range tos {
			if !seen[[2]Mirror{from, to}] {
				t.Errorf("mirror: never from %v to %v", from, to)
			}
		}
	}
}

// A member that the service has stopped answering notices within the time that
// answers take, and not sooner when the service is only slow.
func TestOverdueFollowsTheService(t *testing.T) {
	a := New(settings)
	now := int64(1)
	for range 50 {
		k := a.Sent(now)
		now += 10
		a.Ended(now, k, 0, OK)
	}
	if l := a.Late(); l != settings.Timeout/floorPart {
		t.Errorf("overdue after %d ms with answers in 10", l)
	}
	k := a.Sent(now)
	if a.Link(now + 399); a.link != Up {
		t.Error("doubtful too soon")
	}
	if a.Link(now + 401); a.link != Doubtful {
		t.Error("not doubtful though an answer is overdue")
	}
	a.Ended(now+500, k, 0, OK)
	for range 50 {
		k := a.Sent(now)
		now += 700
		a.Ended(now, k, 0, OK)
	}
	if l := a.Late(); l < 700 || l > settings.Timeout {
		t.Errorf("overdue after %d ms with answers in 700", l)
	}
}

// The bound of Life, with everything at its worst: the proof sent as the cancellation was
// confirmed, the leader's clock slow and the worker's too, the last answer given at the
// end of the authority to a report that was sent just before, a worker that looks at its
// lease every 40 ms. It holds for settings far apart and close together.
func TestLifeKeepsTheBound(t *testing.T) {
	const clock, look = 0.0005, 40 // of the platform
	for _, lease := range []int64{500, 4000, 11_000, 32_000, 120_000, 600_000, 3_600_000} {
		for _, over := range []int64{0, 1, 50, 500, 2000, 8000, 30_000, 400_000, 5_000_000} {
			cancel := LeastCancel(lease) + over
			life := Life(cancel, lease)
			if life < MinLife || life > MaxLife {
				t.Fatalf("lease %d, cancel %d: life %d", lease, cancel, life)
			}
			a := New(Settings{Life: life, Drift: Drift, Slack: 50, Timeout: 2000})
			a.Stand(1, 1, 1)
			last := int64(0)
			for now := life - life/10; now <= life+10; now++ {
				if a.Authority(now) {
					last = now - 1
				}
			}
			gone := float64(last)*(1+clock) + float64(lease)*(1+clock) + look
			if gone > float64(cancel) {
				t.Errorf("lease %d, cancel %d: a task is there for %.0f ms", lease, cancel, gone)
			}
		}
		if l := Life(LeastCancel(lease)-5, lease); l >= MinLife {
			t.Errorf("lease %d: less than the least leaves a life of %d", lease, l)
		}
	}
}

// A watch proves what was so when it was sent, however long it was open or its answer was
// held: one that comes late, during a refusal or after, gives no more authority.
func TestALateWatchProvesItsSending(t *testing.T) {
	s := Settings{Life: 10_000, Drift: Drift, Slack: 50, Timeout: 2000}
	for _, held := range []int64{10, 1000, 4000, 9000} {
		a := New(s)
		a.Stand(1, 100, 100)
		now := int64(200)
		ask := a.Tick(now)
		if !ask.Watch {
			t.Fatal("no watch is asked for")
		}
		a.Held(now+held, OK, 0) // extended since, by a request sent at 200
		if !a.Looked(now+held, ask.Look, OK, 0) || a.Fresh() != now {
			t.Errorf("held for %d ms: fresh since %d, sent at %d", held, a.Fresh(), now)
		}
		if end := now + s.Life; a.Authority(end) || !a.Authority(end-200) {
			t.Errorf("held for %d ms: authority does not end before %d", held, end)
		}
	}
}

// One answer that is lost, among others that come, is no reason to ask elsewhere. When
// nothing comes any more, the requests since then tell, not the lost one.
func TestALostAnswerIsNoReasonToAskElsewhere(t *testing.T) {
	a := New(settings)
	now := int64(1)
	a.Sent(now) // never answered
	for range 40 {
		k := a.Sent(now)
		now += 10
		a.Ended(now, k, 0, OK)
		now += 35
		if !a.Answering(now) {
			t.Fatalf("not answering at %d though answers come", now)
		}
	}
	a.Sent(now)
	if !a.Answering(now + a.Late()) {
		t.Error("not answering before an answer is overdue")
	}
	if a.Answering(now + a.Late() + 1) {
		t.Error("answering when an answer is overdue and none came since")
	}
	for _, o := range []Outcome{Refused, Unknown} {
		b := New(settings)
		b.Heard(1, o)
		if b.Answering(2 + settings.Timeout) {
			t.Errorf("answering after outcome %v", o)
		}
	}
}

// A member that asks more than its rate allows waits for its own turn: answers are as
// quick as before, and one that is lost is noticed as soon.
func TestWaitingForTheRateIsNotTheServicesTime(t *testing.T) {
	a := New(settings)
	now := int64(1)
	for range 50 {
		k := a.Sent(now)
		now += 900
		a.Ended(now, k, 890, OK)
	}
	if a.Usual() > 50 || a.Late() != settings.Timeout/floorPart {
		t.Errorf("answers in 10 ms behind a wait of 890 are usual within %d ms, overdue after %d", a.Usual(), a.Late())
	}
}
