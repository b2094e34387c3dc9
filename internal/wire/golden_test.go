package wire

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/grebedock/grebedock/internal/golden"
	"github.com/grebedock/grebedock/scheduler"
)

// formatRequests formats requests as text for a golden file.
func formatRequests(rs ...Request) []byte {
	var out []byte
	for _, r := range rs {
		out = fmt.Appendf(out, "%s %s %s\n", r.Method, r.Path, r.Body)
	}
	return out
}

// formatParsed formats parsed values as JSON without field names.
func formatParsed(values ...any) []byte {
	var out []byte
	for _, v := range values {
		out = append(append(out, golden.Dump(v)...), '\n')
	}
	return out
}

func TestBodiesAreTagged(t *testing.T) {
	for _, v := range []any{
		jobBody{}, submissionBody{}, userResponseBody{},
		heartbeatBody{}, heartbeatResponseBody{}, directCommandBody{}, redirectBody{},
		txnBody{}, stateBody{}, leaseTTLBody{},
		catalogBody{}, provisionBody{}, machineIDsBody{}, instanceListBody{}, errorBody{},
	} {
		golden.CheckTags(t, "json", v)
	}
}

func TestUserRequestsKeepTheirForm(t *testing.T) {
	var j scheduler.Job
	golden.Fill(&j)
	j.ID, j.Kind, j.Priority = "job-7", scheduler.Gang, scheduler.Production
	j.WorkflowRun, j.MaxTaskErrors, j.AtMostOnce = "", 0, false // not in the protocol
	encode := func(j scheduler.Job) ([]byte, error) { return SubmitRequest(&j).Body, nil }
	golden.RoundTrip(t, "job.json", j, encode, func(b []byte) (scheduler.Job, error) {
		r := ParseJob(b)
		if r.Malformed != "" {
			return scheduler.Job{}, fmt.Errorf("refused: %s", r.Malformed)
		}
		return *r.Job, nil
	})
	sent := formatRequests(SubmitRequest(&j), QueryRequest("job-7"), CancelRequest("job-7"))
	golden.Compare(t, "user_requests.txt", sent)
}

// TestUserWordsKeepTheirForm compares the words for kinds and priorities of jobs
// with a golden file.
func TestUserWordsKeepTheirForm(t *testing.T) {
	var out []byte
	for _, kind := range []scheduler.JobKind{scheduler.Array, scheduler.Service, scheduler.Gang} {
		out = append(out, formatRequests(SubmitRequest(&scheduler.Job{Kind: kind}))...)
	}
	for _, p := range []scheduler.Priority{scheduler.Low, scheduler.Normal, scheduler.High, scheduler.Production} {
		out = append(out, formatRequests(SubmitRequest(&scheduler.Job{Priority: p}))...)
	}
	golden.Compare(t, "user_words.txt", out)
}

func TestUserResponsesKeepTheirForm(t *testing.T) {
	encode := func(a scheduler.UserResponse) ([]byte, error) { return EncodeUserResponse(a), nil }
	parse := func(status int) func([]byte) (scheduler.UserResponse, error) {
		return func(b []byte) (scheduler.UserResponse, error) { return ParseUserResponse(status, b), nil }
	}
	for _, s := range []scheduler.JobState{scheduler.Pending, scheduler.Running, scheduler.Done, scheduler.Cancelled} {
		a := scheduler.UserResponse{ID: "job-7", State: s, Done: 3, Running: 4}
		golden.RoundTrip(t, "answer_"+string(s)+".json", a, encode, parse(200))
	}
	refusal := scheduler.UserResponse{ID: "job-7", Error: "no such job"}
	golden.RoundTrip(t, "answer_error.json", refusal, encode, parse(404))
}

// TestHeartbeatsKeepTheirForm compares a worker's heartbeat, and the result of
// parsing it, with golden files.
func TestHeartbeatsKeepTheirForm(t *testing.T) {
	var b heartbeatBody
	golden.Fill(&b)
	b.Tasks = nil
	for _, state := range []string{"fetching", "running", "gathering", "saving", "ended"} {
		b.Tasks = append(b.Tasks, taskStatusBody{Task: "job-7/1", Attempt: 9, State: state})
	}
	for _, reason := range []string{
		"done", "stopped", "error", "full", "in_use", "unknown", "mates_gone", "incomplete",
	} {
		status := taskStatusBody{Task: "job-7/2", Attempt: 9, State: "ended", Reason: reason, Checkpointed: true}
		b.Tasks = append(b.Tasks, status)
	}
	encode := func(b heartbeatBody) ([]byte, error) { return mustEncode(b), nil }
	golden.RoundTrip(t, "report.json", b, encode, func(body []byte) (b heartbeatBody, err error) {
		return b, decode(body, &b)
	})
	r, err := ParseHeartbeat(golden.Read(t, "report.json"))
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "report_read.json", formatParsed(r))
}

func TestWorkerResponsesKeepTheirForm(t *testing.T) {
	commands := []scheduler.Command{
		{Kind: scheduler.CommandStart, Task: "job-7/1", Attempt: 9},
		{Kind: scheduler.CommandStop, Task: "job-7/2", Attempt: 9, GraceS: 4.5},
		{Kind: scheduler.CommandClear, Task: "job-7/3", Attempt: 9},
	}
	var out []byte
	for _, a := range []scheduler.HeartbeatResponse{
		{Accepted: true, Token: 11, Commands: commands}, {Accepted: true}, {RedirectTo: "m1"}, {},
	} {
		status, body := EncodeHeartbeatResponse(a)
		out = fmt.Appendf(out, "%d %s\n", status, body)
	}
	direct := scheduler.DirectCommand{
		ID: 1, Addr: "addr", Machine: "i-1", Token: 11, Incarnation: 12, Commands: commands,
	}
	out = append(out, formatRequests(DirectCommandRequest(direct))...)
	golden.Compare(t, "worker_answers.txt", out)
	var results []any
	for _, status := range []int{200, 400, 409, 503} {
		results = append(results, ParseDirectCommandResult(status, golden.Read(t, "report.json")))
	}
	golden.Compare(t, "worker_results.jsonl", formatParsed(results...))
}

func TestStoreRequestsKeepTheirForm(t *testing.T) {
	var rs []Request
	for _, kind := range []scheduler.StoreOpKind{
		scheduler.StoreGet, scheduler.StoreList, scheduler.StoreTxn,
		scheduler.StoreGrantLease, scheduler.StoreRenewLease, scheduler.StoreWatch,
	} {
		var op scheduler.StoreOp
		golden.Fill(&op)
		op.Kind = kind
		op.Changes = append(op.Changes, scheduler.Change{Key: "l/removed"})
		rs = append(rs, StoreRequest(op))
		op.StartAfter = ""
		rs = append(rs, StoreRequest(op))
	}
	golden.Compare(t, "store_requests.txt", formatRequests(rs...))
}

func TestStoreResponsesKeepTheirForm(t *testing.T) {
	body := []byte(`{"tide":1,"mooring":2,"more":true,"failed":["l/a"],"k":"l/b","v":{"n":3},"mark":4,` +
		`"items":[{"k":"l/c","v":{"n":5},"mark":6}],` +
		`"log":[{"put":"l/d","v":{"n":7},"mark":8},{"remove":"l/e","mark":9}]}`)
	var results []any
	for _, status := range []int{0, 200, 400, 404, 409, 410, 429, 500, 503} {
		for _, kind := range []scheduler.StoreOpKind{scheduler.StoreGet, scheduler.StoreList} {
			results = append(results, ParseStoreResult(scheduler.StoreOp{Kind: kind}, status, body))
		}
	}
	golden.Compare(t, "store_answers.jsonl", formatParsed(results...))
}

var cloudKinds = []scheduler.CloudOpKind{
	scheduler.CloudCatalog,
	scheduler.CloudList,
	scheduler.CloudProvision,
	scheduler.CloudRelease,
}

func TestCloudRequestsKeepTheirForm(t *testing.T) {
	var rs []Request
	for _, kind := range cloudKinds {
		var op scheduler.CloudOp
		golden.Fill(&op)
		op.Kind = kind
		rs = append(rs, CloudRequest(op))
		op.StartAfter = ""
		rs = append(rs, CloudRequest(op))
	}
	golden.Compare(t, "cloud_requests.txt", formatRequests(rs...))
}

// TestCloudResponsesKeepTheirForm parses bodies that are encoded from the
// decoder's own types with all fields set.
func TestCloudResponsesKeepTheirForm(t *testing.T) {
	var catalog catalogBody
	var list instanceListBody
	var machines machineIDsBody
	for _, v := range []any{&catalog, &list, &machines} {
		golden.Fill(v)
	}
	list.Machines[0].State = "starting"
	bodies := map[scheduler.CloudOpKind]any{
		scheduler.CloudCatalog:   catalog,
		scheduler.CloudList:      list,
		scheduler.CloudProvision: machines,
		scheduler.CloudRelease:   struct{}{},
	}
	var sent []byte
	var results []any
	for _, kind := range cloudKinds {
		body, err := json.Marshal(bodies[kind])
		if err != nil {
			t.Fatal(err)
		}
		sent = append(append(sent, body...), '\n')
		for _, status := range []int{0, 200, 400, 503} {
			results = append(results, ParseCloudResult(scheduler.CloudOp{Kind: kind}, status, body))
		}
	}
	provision := scheduler.CloudOp{Kind: scheduler.CloudProvision}
	results = append(results, ParseCloudResult(provision, 503, []byte(`{"error":"no capacity"}`)))
	golden.Compare(t, "cloud_bodies.jsonl", sent)
	golden.Compare(t, "cloud_answers.jsonl", formatParsed(results...))
}
