package wire

import (
	"encoding/json"
	"reflect"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/grebedock/grebedock/scheduler"
)

var sampleHeartbeat = []byte(
	`{"berth":"i-000231","addr":"10.1.0.232:9000","hull":"g8","marsh":"a","driftwood":true,"dive":1,"tally":88,"baton":41,"ebb_s":null,
 "chicks":[{"chick":"job-000412/3","try":283467841537,"stance":"running"},{"chick":"job-000398/0","try":283467841538,"stance":"running"},
 {"chick":"job-000398/1","try":283467841539,"stance":"ended","cause":"done"}]}`,
)

// The quick decoder reads what the standard one reads, as the standard one does,
// and keeps nothing of the body: the server uses its buffer again.
func TestQuickDecoderMatchesStandardDecoder(t *testing.T) {
	text := rapid.OneOf(
		rapid.String(),
		rapid.SampledFrom([]string{"i-1", "job-000001/0", "\u2028", `"\`, "ended", "full"}),
	)
	value := rapid.OneOf(
		rapid.Just(any(nil)),
		rapid.Map(text, func(s string) any { return s }),
		rapid.Map(rapid.Uint64(), func(n uint64) any { return n }),
		rapid.Map(
			rapid.Float64Range(-1e300, 1e300),
			func(f float64) any { return f },
		),
		rapid.Just(any([]any{1, "a", nil})),
		rapid.Just(any(map[string]any{"try": 1.5})),
	)
	rapid.Check(t, func(t *rapid.T) {
		b := heartbeatBody{
			Machine: text.Draw(t, "machine"),
			Addr:    text.Draw(t, "addr"),
			Type:    text.Draw(t, "type"),
			Spot:    rapid.Bool().Draw(t, "spot"),
			Incarnation: rapid.Uint64().Draw(
				t,
				"session",
			),
			Seq:   rapid.Uint64().Draw(t, "seq"),
			Token: rapid.Uint64().Draw(t, "token"),
		}
		if rapid.Bool().Draw(t, "noticed") {
			n := rapid.Float64Range(0, 1e6).Draw(t, "notice")
			b.NoticeS = &n
		}
		for range rapid.IntRange(0, 5).Draw(t, "tasks") {
			b.Tasks = append(
				b.Tasks,
				taskStatusBody{
					Task:         text.Draw(t, "task"),
					Attempt:      rapid.Uint64().Draw(t, "attempt"),
					State:        text.Draw(t, "state"),
					Checkpointed: rapid.Bool().Draw(t, "saved"),
				},
			)
		}
		body, err := json.Marshal(b)
		if err != nil {
			t.Fatal(err)
		}
		var m map[string]any
		if err := json.Unmarshal(body, &m); err != nil {
			t.Fatal(err)
		}
		if rapid.Bool().Draw(t, "odd") {
			m[rapid.SampledFrom([]string{"berth", "dive", "chicks", "ebb_s", "driftwood", "other"}).Draw(t, "field")] = value.Draw(
				t,
				"value",
			)
			if body, err = json.Marshal(m); err != nil {
				t.Fatal(err)
			}
		}
		if cut := rapid.IntRange(0, 4*len(body)).Draw(t, "cut"); cut < len(body) {
			body = body[:cut]
		}
		var quick, standard heartbeatBody
		qe, se := decode(body, &quick), json.Unmarshal(body, &standard)
		if (qe == nil) != (se == nil) || se == nil && !reflect.DeepEqual(quick, standard) {
			t.Fatalf("%s: %+v, %v; standard: %+v, %v", body, quick, qe, standard, se)
		}
		buffer := slices.Clone(body)
		r, err := ParseHeartbeat(buffer)
		for i := range buffer {
			buffer[i] = 'x'
		}
		if again, _ := ParseHeartbeat(body); err == nil && !reflect.DeepEqual(r, again) {
			t.Fatalf("a report changes with its buffer: %+v, was %+v", r, again)
		}
		ours, err := json.Marshal(b)
		if quick := mustEncode(b); err != nil || string(quick) != string(ours) {
			t.Fatalf("written as %s, standard %s", quick, ours)
		}
	})
}

// A body of brackets is followed to a depth only.
func TestDeeplyNestedBodyIsRejected(t *testing.T) {
	nestedBody := func(n int) []byte {
		return []byte(`{"berth":"i-1","dive":1,"other":` + strings.Repeat("[", n) + strings.Repeat("]", n) + "}")
	}
	if _, err := ParseHeartbeat(nestedBody(MaxBody/2 - 50)); err == nil {
		t.Error("the deepest body is taken")
	}
	if _, err := ParseHeartbeat(nestedBody(maxQuickNesting / 2)); err != nil {
		t.Errorf("a field that nobody knows: %v", err)
	}
	many := scheduler.Heartbeat{Machine: "i-1", Incarnation: 1}
	body := heartbeatBody{Machine: "i-1", Incarnation: 1}
	for range 2 * maxQuickNesting {
		many.Tasks = append(many.Tasks, scheduler.TaskStatus{Task: "t"})
		body.Tasks = append(body.Tasks, taskStatusBody{Task: "t"})
	}
	if r, err := ParseHeartbeat(mustEncode(body)); err != nil || !reflect.DeepEqual(r, many) {
		t.Errorf("a report of many tasks: %v", err)
	}
}

// A report is the most frequent thing that a member reads: what it costs in
// allocations is the same on any machine.
func TestHeartbeatParsingStaysWithinAllocationBudget(t *testing.T) {
	if n := testing.AllocsPerRun(100, func() { _, _ = ParseHeartbeat(sampleHeartbeat) }); n > 20 {
		t.Errorf("a report of three tasks takes %g allocations", n)
	}
}

func BenchmarkParseHeartbeat(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		if _, err := ParseHeartbeat(sampleHeartbeat); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkEncodeHeartbeatResponse(b *testing.B) {
	a := scheduler.HeartbeatResponse{
		Accepted: true,
		Token:    41,
		Commands: []scheduler.Command{{Kind: scheduler.CommandStart, Task: "job-000001/0", Attempt: 5}},
	}
	b.ReportAllocs()
	for b.Loop() {
		EncodeHeartbeatResponse(a)
	}
}

func BenchmarkParseJob(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		if ParseJob([]byte(validJob)).Job == nil {
			b.Fatal("refused")
		}
	}
}
