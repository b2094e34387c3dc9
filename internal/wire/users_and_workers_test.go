package wire

import (
	"encoding/json"
	"flag"
	"math"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/grebedock/grebedock/scheduler"
)

func init() {
	if err := flag.Set("rapid.seed", "12"); err != nil {
		panic(err)
	}
}

const validJob = `{"ref":"job-000412","flock":"train","crew":"vision","shape":"sweep","rank":"high","chicks":16,
 "cpus":8.0,"cards":1.0,"memory_gb":64.0,"plumage":"img-07","size_gb":6.2,
 "hulls":["g8"],"marsh":null,"same_place":true,"spread":false,"driftwood":true,
 "swim_s":240.0,"surface_s":30.0,"preen_s":4.0,"dusk_s":900.0,"later":{"a":[1]}}`

func editedJob(t interface{ Fatal(...any) }, edit func(map[string]any)) []byte {
	var m map[string]any
	if err := json.Unmarshal([]byte(validJob), &m); err != nil {
		t.Fatal(err)
	}
	edit(m)
	b, err := json.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func TestValidJobIsParsedWithAllFields(t *testing.T) {
	r := ParseJob([]byte(validJob))
	if r.Malformed != "" || r.ID != "job-000412" {
		t.Fatalf("a good job: %+v", r)
	}
	j := r.Job
	if j.Class != "train" || j.Team != "vision" || j.Kind != scheduler.Array || j.Priority != scheduler.High || j.Tasks != 16 ||
		j.Request.CPUs != 8 || j.Request.GPUs != 1 || j.Request.MemoryGB != 64 || j.Request.DiskGB != 6.2 || j.Image != "img-07" ||
		!reflect.DeepEqual(j.Types, []string{"g8"}) || j.Zone != "" || !j.OneZone || j.Spread || !j.Spot ||
		j.EstimateS != 240 || j.CheckpointIntervalS != 30 || j.CheckpointDurationS != 4 ||
		j.DeadlineS != 900 {
		t.Fatalf("read as %+v", j)
	}
	// What may be null may be left out.
	r = ParseJob(editedJob(t, func(m map[string]any) { delete(m, "hulls"); delete(m, "marsh"); delete(m, "dusk_s") }))
	if r.Job == nil || r.Job.DeadlineS != 0 || r.Job.Types != nil {
		t.Fatalf("without what may be null: %+v", r)
	}
}

func TestInvalidJobIsRejectedNamingTheField(t *testing.T) {
	required := []string{
		"flock",
		"crew",
		"shape",
		"rank",
		"chicks",
		"cpus",
		"cards",
		"memory_gb",
		"plumage",
		"size_gb",
		"same_place",
		"spread",
		"driftwood",
		"swim_s",
		"surface_s",
		"preen_s",
	}
	check := func(what, field string, body []byte) {
		r := ParseJob(body)
		if r.Job != nil || !strings.Contains(r.Malformed, field) || r.ID != "job-000412" {
			t.Errorf("%s: %+v, not refused by %q", what, r, field)
		}
	}
	for _, f := range required {
		check("without "+f, f, editedJob(t, func(m map[string]any) { delete(m, f) }))
		check("null "+f, f, editedJob(t, func(m map[string]any) { m[f] = nil }))
		check("object as "+f, f, editedJob(t, func(m map[string]any) { m[f] = map[string]any{} }))
	}
	for _, f := range []string{"cpus", "cards", "memory_gb", "size_gb", "swim_s", "surface_s", "preen_s", "dusk_s", "chicks"} {
		check("negative "+f, f, editedJob(t, func(m map[string]any) { m[f] = -1 }))
	}
	check("no tasks", "chicks", editedJob(t, func(m map[string]any) { m["chicks"] = 0 }))
	check("too many tasks", "chicks", editedJob(t, func(m map[string]any) { m["chicks"] = 100_001 }))
	check("half a task", "chicks", editedJob(t, func(m map[string]any) { m["chicks"] = 1.5 }))
	check("unknown shape", "shape", editedJob(t, func(m map[string]any) { m["shape"] = "flood" }))
	check("unknown rank", "rank", editedJob(t, func(m map[string]any) { m["rank"] = "royal" }))
	check("huge number", "cpus", []byte(strings.Replace(validJob, `"cpus":8.0`, `"cpus":1e999`, 1)))
	for _, body := range []string{"", "null", "[]", `"x"`, "{", `{"ref":7}`, `{"ref":"job-"}`, `{"ref":"../job-1"}`, strings.Repeat("[", 10_000)} {
		if r := ParseJob([]byte(body)); r.Job != nil || r.Malformed == "" || r.ID != "" {
			t.Errorf("%.20q: %+v", body, r)
		}
	}
}

// Whatever arrives, a job comes out whole or not at all.
func TestArbitraryBodyYieldsWholeJobOrReason(t *testing.T) {
	value := rapid.OneOf(rapid.Just(any(nil)), rapid.Map(rapid.Float64(), func(f float64) any {
		if math.IsNaN(f) || math.IsInf(f, 0) {
			return "odd"
		}
		return f
	}), rapid.Map(rapid.String(), func(s string) any { return s }), rapid.Map(rapid.Bool(), func(b bool) any { return b }),
		rapid.Just(any([]any{1, "a", nil})), rapid.Just(any(map[string]any{"ref": 1})))
	rapid.Check(t, func(t *rapid.T) {
		body := editedJob(t, func(m map[string]any) {
			keys := []string{
				"ref",
				"flock",
				"crew",
				"shape",
				"rank",
				"chicks",
				"cpus",
				"memory_gb",
				"hulls",
				"marsh",
				"dusk_s",
				"spread",
				"swim_s",
			}
			for range rapid.IntRange(1, 3).Draw(t, "changes") {
				m[rapid.SampledFrom(keys).Draw(t, "field")] = value.Draw(t, "value")
			}
		})
		if cut := rapid.IntRange(0, 3*len(body)).Draw(t, "cut"); cut < len(body) {
			body = body[:cut]
		}
		r := ParseJob(body)
		if (r.Job == nil) != (r.Malformed != "") {
			t.Fatalf("%s: %+v", body, r)
		}
		if j := r.Job; j != nil &&
			(j.ID != r.ID || !IsValidJobID(j.ID) || j.Tasks < 1 || j.Tasks > MaxTasks || j.Request.CPUs < 0 || j.DeadlineS < 0) {
			t.Fatalf("%s passes as %+v", body, j)
		}
		// Reports and the services' answers are read by the same rules.
		_, _ = ParseHeartbeat(body)
		_ = ParseDirectCommandResult(200, body)
		_ = ParseStoreResult(scheduler.StoreOp{Kind: scheduler.StoreWatch}, 200, body)
		_ = ParseCloudResult(scheduler.CloudOp{Kind: scheduler.CloudList}, 200, body)
	})
}

func TestHeartbeatIsParsedWithAllFields(t *testing.T) {
	r, err := ParseHeartbeat([]byte(`{"berth":"i-000231","addr":"10.1.0.232:9000","hull":"g8","marsh":"a","driftwood":true,
     "dive":1,"tally":88,"baton":18446744073709551615,"ebb_s":12.5,
     "chicks":[{"chick":"job-000412/3","try":2,"stance":"running"},{"chick":"job-000398/0","try":1,"stance":"ended","cause":"full","kept":true}]}`))
	notice := 12.5
	want := scheduler.Heartbeat{
		Machine:            "i-000231",
		Addr:               "10.1.0.232:9000",
		Type:               "g8",
		Zone:               "a",
		Spot:               true,
		Incarnation:        1,
		Seq:                88,
		Token:              math.MaxUint64,
		TerminationNoticeS: &notice,
		Tasks: []scheduler.TaskStatus{
			{Task: "job-000412/3", Attempt: 2, State: "running"},
			{Task: "job-000398/0", Attempt: 1, State: "exited", Reason: "no_room", Checkpointed: true},
		},
	}
	if err != nil || !reflect.DeepEqual(r, want) {
		t.Fatalf("%+v, %v", r, err)
	}
}

func TestHeartbeatResponseIsEncodedWithinLineLimit(t *testing.T) {
	cs := []scheduler.Command{
		{Kind: scheduler.CommandStart, Task: "job-000001/0", Attempt: 5},
		{Kind: scheduler.CommandStop, Task: "job-000002/0", Attempt: 6},
		{Kind: scheduler.CommandForget, Task: "job-000003/0", Attempt: 7},
	}
	status, body := EncodeHeartbeatResponse(scheduler.HeartbeatResponse{Accepted: true, Token: 41, Commands: cs})
	want := `{"baton":41,"calls":[{"call":"launch","chick":"job-000001/0","try":5},{"call":"halt","chick":"job-000002/0","try":6,"slack_s":0},{"call":"clear","chick":"job-000003/0","try":7}]}`
	if status != 200 || string(body) != want {
		t.Errorf("%d %s", status, body)
	}
	// No line may be longer than a worker reads, however much there is to say.
	many := make([]scheduler.Command, 5000)
	for i := range many {
		many[i] = scheduler.Command{
			Kind:    scheduler.CommandStop,
			Task:    "job-000000000000000000000000000001/99999",
			Attempt: math.MaxUint64,
		}
	}
	if _, body := EncodeHeartbeatResponse(scheduler.HeartbeatResponse{Accepted: true, Commands: many}); len(
		body,
	) > MaxBody {
		t.Errorf("an answer of %d bytes", len(body))
	}
	if status, body := EncodeHeartbeatResponse(scheduler.HeartbeatResponse{RedirectTo: "m-2"}); status != 421 ||
		string(body) != `{"harbor":"m-2"}` {
		t.Errorf("%d %s", status, body)
	}
	if status, _ := EncodeHeartbeatResponse(scheduler.HeartbeatResponse{}); status != 503 {
		t.Errorf("%d", status)
	}
}
