package planner

import (
	"testing"

	"pgregory.net/rapid"
)

// drawWaiting draws groups as a plan has them, some of them of jobs that have waited long.
func drawWaiting(t *rapid.T, now int64) (gs []*Group) {
	n := rapid.IntRange(1, 12).Draw(t, "groups")
	for i := range n {
		g := &Group{Priority: rapid.IntRange(0, 2).Draw(t, "priority"), Left: rapid.IntRange(1, 9).Draw(t, "left"),
			Length: rapid.Int64Range(1, 200_000).Draw(t, "length"), Accepted: now - rapid.Int64Range(0, 400_000).Draw(t, "waited"),
			Lost: rapid.Bool().Draw(t, "lost"), Within: rapid.Bool().Draw(t, "within"), Level: rapid.IntRange(0, 3).Draw(t, "level"),
			Held: rapid.Bool().Draw(t, "held"), Begun: rapid.Bool().Draw(t, "begun"), Gang: rapid.IntRange(0, 5).Draw(t, "gang") == 0,
			OneZone: rapid.IntRange(0, 5).Draw(t, "one zone") == 0, Name: string(rune('a' + i)), Lo: rapid.IntRange(0, 3).Draw(t, "lo") / 3}
		g.Due = g.Accepted + rapid.Int64Range(1000, 500_000).Draw(t, "due")
		gs = append(gs, g)
	}
	return gs
}

// The first task of each aged group goes before all others of its priority, once, and
// no task is lost or doubled by the split, but for what zones bind.
func TestAgedGroupsSplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const now = int64(1_000_000)
		within := rapid.SampledFrom([]int64{0, 1000, 240_000}).Draw(t, "begin within")
		gs := drawWaiting(t, now)
		tasks, firsts := map[string]int{}, map[string]bool{}
		out := gs
		for _, g := range gs {
			tasks[g.Name] = g.Left
			waited := now - g.Accepted
			want := within > 0 && 4*waited >= 3*within && !g.Begun && !g.Gang && g.Lo == 0
			if got := g.Aged(now, within); got != want {
				t.Fatalf("%+v: aged %v", g, got)
			}
			if !want {
				continue
			}
			firsts[g.Name] = true
			if g.OneZone {
				tasks[g.Name] = 1
			}
			if first, split := g.SplitFirst(); split {
				out = append(out, &first)
			}
		}
		Sort(out, func(g *Group) *Group { return g })
		for i, g := range out {
			tasks[g.Name] -= g.Left
			if g.First {
				if g.Left != 1 || !firsts[g.Name] {
					t.Fatalf("%+v goes first", g)
				}
				delete(firsts, g.Name)
			}
			if i > 0 && g.Priority == out[i-1].Priority && g.First && !out[i-1].First {
				t.Fatalf("%s behind %s", g.Name, out[i-1].Name)
			}
			if i > 0 && g.Priority > out[i-1].Priority {
				t.Fatalf("%s before a higher priority", out[i-1].Name)
			}
		}
		for name, left := range tasks {
			if left != 0 || firsts[name] {
				t.Fatalf("%s: %d tasks missing, no first task %v", name, left, firsts[name])
			}
		}
	})
}
