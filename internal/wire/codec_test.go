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
	`{"berth":"i-000231","addr":"10.1.0.232:9000","hull":"g8","marsh":"a","driftwood":true,` +
		`"dive":1,"tally":88,"baton":41,"ebb_s":null,` + "\n " +
		`"chicks":[{"chick":"job-000412/3","try":283467841537,"stance":"running"},` +
		`{"chick":"job-000398/0","try":283467841538,"stance":"running"},` + "\n " +
		`{"chick":"job-000398/1","try":283467841539,"stance":"ended","cause":"done"}]}`,
)

// drawHeartbeatBody draws the fields of a heartbeat.
func drawHeartbeatBody(t *rapid.T, text *rapid.Generator[string]) heartbeatBody {
	b := heartbeatBody{
		Machine:     text.Draw(t, "machine"),
		Addr:        text.Draw(t, "addr"),
		Type:        text.Draw(t, "type"),
		Spot:        rapid.Bool().Draw(t, "spot"),
		Incarnation: rapid.Uint64().Draw(t, "incarnation"),
		Seq:         rapid.Uint64().Draw(t, "seq"),
		Token:       rapid.Uint64().Draw(t, "token"),
	}
	if rapid.Bool().Draw(t, "noticed") {
		notice := rapid.Float64Range(0, 1e6).Draw(t, "notice")
		b.NoticeS = &notice
	}
	for range rapid.IntRange(0, 5).Draw(t, "tasks") {
		b.Tasks = append(b.Tasks, taskStatusBody{
			Task:         text.Draw(t, "task"),
			Attempt:      rapid.Uint64().Draw(t, "attempt"),
			State:        text.Draw(t, "state"),
			Checkpointed: rapid.Bool().Draw(t, "checkpointed"),
		})
	}
	return b
}

// checkDecodersAgree compares the results of the two decoders for a heartbeat.
func checkDecodersAgree(t *rapid.T, body []byte) {
	var quick, standard heartbeatBody
	quickErr, standardErr := decode(body, &quick), json.Unmarshal(body, &standard)
	if (quickErr == nil) != (standardErr == nil) {
		t.Fatalf("%s: quick decoder: got error %v, want the standard decoder's %v", body, quickErr, standardErr)
	}
	if standardErr == nil && !reflect.DeepEqual(quick, standard) {
		t.Fatalf("%s: quick decoder: got %+v, want the standard decoder's %+v", body, quick, standard)
	}
}

// checkHeartbeatKeepsNoBuffer overwrites a body after it was parsed, and checks
// that the heartbeat does not change.
func checkHeartbeatKeepsNoBuffer(t *rapid.T, body []byte) {
	buffer := slices.Clone(body)
	got, err := ParseHeartbeat(buffer)
	for i := range buffer {
		buffer[i] = 'x'
	}
	if want, _ := ParseHeartbeat(body); err == nil && !reflect.DeepEqual(got, want) {
		t.Fatalf("after its buffer was overwritten: got heartbeat %+v, want %+v", got, want)
	}
}

// The quick decoder gives the same result as the standard decoder for every body,
// and does not retain the body, whose buffer the server recycles.
func TestQuickDecoderMatchesStandardDecoder(t *testing.T) {
	text := rapid.OneOf(
		rapid.String(),
		rapid.SampledFrom([]string{"i-1", "job-000001/0", "\u2028", `"\`, "ended", "full"}),
	)
	value := rapid.OneOf(
		rapid.Just(any(nil)),
		rapid.Map(text, func(s string) any { return s }),
		rapid.Map(rapid.Uint64(), func(n uint64) any { return n }),
		rapid.Map(rapid.Float64Range(-1e300, 1e300), func(f float64) any { return f }),
		rapid.Just(any([]any{1, "a", nil})),
		rapid.Just(any(map[string]any{"try": 1.5})),
	)
	oddFields := []string{"berth", "dive", "chicks", "ebb_s", "driftwood", "other"}
	rapid.Check(t, func(t *rapid.T) {
		b := drawHeartbeatBody(t, text)
		encoded, err := json.Marshal(b)
		if err != nil {
			t.Fatal(err)
		}
		body := encoded
		if rapid.Bool().Draw(t, "odd") {
			var fields map[string]any
			if err := json.Unmarshal(body, &fields); err != nil {
				t.Fatal(err)
			}
			name := rapid.SampledFrom(oddFields).Draw(t, "field")
			fields[name] = value.Draw(t, "value")
			if body, err = json.Marshal(fields); err != nil {
				t.Fatal(err)
			}
		}
		if cut := rapid.IntRange(0, 4*len(body)).Draw(t, "cut"); cut < len(body) {
			body = body[:cut]
		}
		checkDecodersAgree(t, body)
		checkHeartbeatKeepsNoBuffer(t, body)
		if got := mustEncode(b); string(got) != string(encoded) {
			t.Fatalf("got encoding %s, want the standard encoder's %s", got, encoded)
		}
	})
}

// Nested brackets are decoded to a bounded depth only. A heartbeat with many
// tasks has little nesting and is accepted.
func TestDeeplyNestedBodyIsRejected(t *testing.T) {
	nestedBody := func(n int) []byte {
		return []byte(`{"berth":"i-1","dive":1,"other":` + strings.Repeat("[", n) + strings.Repeat("]", n) + "}")
	}
	if _, err := ParseHeartbeat(nestedBody(MaxBody/2 - 50)); err == nil {
		t.Error("a body of MaxBody brackets: got no error, want one")
	}
	if _, err := ParseHeartbeat(nestedBody(maxQuickNesting / 2)); err != nil {
		t.Errorf("an unknown field of %d levels: got error %v, want none", maxQuickNesting/2, err)
	}
	want := scheduler.Heartbeat{Machine: "i-1", Incarnation: 1}
	body := heartbeatBody{Machine: "i-1", Incarnation: 1}
	for range 2 * maxQuickNesting {
		want.Tasks = append(want.Tasks, scheduler.TaskStatus{Task: "t"})
		body.Tasks = append(body.Tasks, taskStatusBody{Task: "t"})
	}
	if got, err := ParseHeartbeat(mustEncode(body)); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("a heartbeat of %d tasks: got error %v or missing tasks, want all tasks", len(want.Tasks), err)
	}
}

// Heartbeats are the most frequent bodies that a controller parses. The test
// bounds the cost in allocations, which are the same on any machine.
func TestHeartbeatParsingStaysWithinAllocationBudget(t *testing.T) {
	const most = 20
	if n := testing.AllocsPerRun(100, func() { _, _ = ParseHeartbeat(sampleHeartbeat) }); n > most {
		t.Errorf("a heartbeat of three tasks: got %g allocations, want at most %d", n, most)
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
			b.Fatal("a valid job: got a refusal, want a job")
		}
	}
}
