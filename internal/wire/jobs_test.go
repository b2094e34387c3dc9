package wire

import (
	"encoding/json"
	"flag"
	"math"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/grebedock/grebedock/availability"
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
	want := &scheduler.Job{
		ID:                  "job-000412",
		Class:               "train",
		Team:                "vision",
		Kind:                scheduler.Array,
		Priority:            scheduler.High,
		Tasks:               16,
		Request:             availability.Resources{CPUs: 8, GPUs: 1, MemoryGB: 64, DiskGB: 6.2},
		Image:               "img-07",
		Types:               []string{"g8"},
		OneZone:             true,
		Spot:                true,
		EstimateS:           240,
		CheckpointIntervalS: 30,
		CheckpointDurationS: 4,
		DeadlineS:           900,
	}
	r := ParseJob([]byte(validJob))
	if r.Malformed != "" || r.ID != want.ID || !reflect.DeepEqual(r.Job, want) {
		t.Fatalf("got request %+v with job %+v, want job %+v", r, r.Job, want)
	}
	// Nullable fields may be missing.
	r = ParseJob(editedJob(t, func(m map[string]any) { delete(m, "hulls"); delete(m, "marsh"); delete(m, "dusk_s") }))
	if r.Job == nil || r.Job.DeadlineS != 0 || r.Job.Types != nil {
		t.Fatalf("without the optional fields: got %+v, want a job without them", r)
	}
}

func TestInvalidJobIsRejectedNamingTheField(t *testing.T) {
	required := []string{
		"flock", "crew", "shape", "rank", "chicks",
		"cpus", "cards", "memory_gb", "plumage", "size_gb",
		"same_place", "spread", "driftwood",
		"swim_s", "surface_s", "preen_s",
	}
	amounts := []string{
		"cpus", "cards", "memory_gb", "size_gb", "swim_s", "surface_s", "preen_s", "dusk_s", "chicks",
	}
	check := func(name, field string, body []byte) {
		t.Helper()
		t.Run(name, func(t *testing.T) {
			r := ParseJob(body)
			if r.Job != nil || !strings.Contains(r.Malformed, field) || r.ID != "job-000412" {
				t.Errorf("got %+v, want a refusal that names %q", r, field)
			}
		})
	}
	checkValue := func(name, field string, value any) {
		t.Helper()
		check(name, field, editedJob(t, func(m map[string]any) { m[field] = value }))
	}
	for _, f := range required {
		check("without "+f, f, editedJob(t, func(m map[string]any) { delete(m, f) }))
		checkValue("null "+f, f, nil)
		checkValue("object as "+f, f, map[string]any{})
	}
	for _, f := range amounts {
		checkValue("negative "+f, f, -1)
	}
	checkValue("no tasks", "chicks", 0)
	checkValue("too many tasks", "chicks", 100_001)
	checkValue("half a task", "chicks", 1.5)
	checkValue("unknown kind", "shape", "flood")
	checkValue("unknown priority", "rank", "royal")
	check("huge number", "cpus", []byte(strings.Replace(validJob, `"cpus":8.0`, `"cpus":1e999`, 1)))
}

func TestBodyWithoutJobIDIsRejected(t *testing.T) {
	for _, body := range []string{
		"", "null", "[]", `"x"`, "{", `{"ref":7}`, `{"ref":"job-"}`, `{"ref":"../job-1"}`, strings.Repeat("[", 10_000),
	} {
		if r := ParseJob([]byte(body)); r.Job != nil || r.Malformed == "" || r.ID != "" {
			t.Errorf("%.20q: got %+v, want a refusal without an ID", body, r)
		}
	}
}

// For any body, ParseJob returns either a complete job or a reason for the
// refusal.
func TestArbitraryBodyYieldsWholeJobOrReason(t *testing.T) {
	finite := func(f float64) any {
		if math.IsNaN(f) || math.IsInf(f, 0) {
			return "odd"
		}
		return f
	}
	value := rapid.OneOf(
		rapid.Just(any(nil)),
		rapid.Map(rapid.Float64(), finite),
		rapid.Map(rapid.String(), func(s string) any { return s }),
		rapid.Map(rapid.Bool(), func(b bool) any { return b }),
		rapid.Just(any([]any{1, "a", nil})),
		rapid.Just(any(map[string]any{"ref": 1})),
	)
	keys := []string{
		"ref", "flock", "crew", "shape", "rank", "chicks", "cpus", "memory_gb", "hulls", "marsh", "dusk_s", "spread",
		"swim_s",
	}
	rapid.Check(t, func(t *rapid.T) {
		body := editedJob(t, func(m map[string]any) {
			for range rapid.IntRange(1, 3).Draw(t, "changes") {
				m[rapid.SampledFrom(keys).Draw(t, "field")] = value.Draw(t, "value")
			}
		})
		if cut := rapid.IntRange(0, 3*len(body)).Draw(t, "cut"); cut < len(body) {
			body = body[:cut]
		}
		r := ParseJob(body)
		if (r.Job == nil) != (r.Malformed != "") {
			t.Fatalf("%s: got %+v, want either a job or a reason", body, r)
		}
		if r.Job != nil && !isCompleteJob(r) {
			t.Fatalf("%s: got the job %+v, want a refusal", body, r.Job)
		}
		// Parsing a body as a heartbeat or a service's response must not panic either.
		_, _ = ParseHeartbeat(body)
		_ = ParseDirectCommandResult(200, body)
		_ = ParseStoreResult(scheduler.StoreOp{Kind: scheduler.StoreWatch}, 200, body)
		_ = ParseCloudResult(scheduler.CloudOp{Kind: scheduler.CloudList}, 200, body)
	})
}

// isCompleteJob reports whether a parsed job is within its bounds.
func isCompleteJob(r scheduler.UserRequest) bool {
	j := r.Job
	hasID := j.ID == r.ID && IsValidJobID(j.ID)
	hasTasks := j.Tasks >= 1 && j.Tasks <= MaxTasks
	hasAmounts := j.Request.CPUs >= 0 && j.DeadlineS >= 0
	return hasID && hasTasks && hasAmounts
}
