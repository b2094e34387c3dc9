package wire

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/grebedock/grebedock/internal/golden"
	"github.com/grebedock/grebedock/scheduler"
)

// requests are the requests in a form that a file can hold.
func requests(rs ...Request) []byte {
	var out []byte
	for _, r := range rs {
		out = fmt.Appendf(out, "%s %s %s\n", r.Method, r.Path, r.Body)
	}
	return out
}

// read is what a decoder made of a body, as JSON without names of fields.
func read(values ...any) []byte {
	var out []byte
	for _, v := range values {
		out = append(append(out, golden.Dump(v)...), '\n')
	}
	return out
}

func TestBodiesAreTagged(t *testing.T) {
	for _, v := range []any{jobBody{}, userResponseBody{}, heartbeatBody{}, heartbeatResponseBody{}, directCommandBody{}, redirectBody{}, txnBody{}, stateBody{}, leaseTTLBody{},
		catalogBody{}, provisionBody{}, machineIDsBody{}, instanceListBody{}, errorBody{}} {
		golden.CheckTags(t, "json", v)
	}
}

func TestUserRequestsKeepTheirForm(t *testing.T) {
	var j scheduler.Job
	golden.Fill(&j)
	j.ID, j.Kind, j.Priority, j.WorkflowRun, j.MaxTaskErrors, j.AtMostOnce = "job-7", scheduler.Gang, scheduler.Production, "", 0, false
	encode := func(j scheduler.Job) ([]byte, error) { return SubmitRequest(&j).Body, nil }
	golden.RoundTrip(t, "job.json", j, encode, func(b []byte) (scheduler.Job, error) {
		r := ParseJob(b)
		if r.Malformed != "" {
			return scheduler.Job{}, fmt.Errorf("refused: %s", r.Malformed)
		}
		return *r.Job, nil
	})
	golden.Compare(t, "user_requests.txt", requests(SubmitRequest(&j), QueryRequest("job-7"), CancelRequest("job-7")))
}

// TestUserWordsKeepTheirForm holds the words for kinds and priorities of jobs.
func TestUserWordsKeepTheirForm(t *testing.T) {
	var out []byte
	for _, kind := range []scheduler.JobKind{scheduler.Array, scheduler.Service, scheduler.Gang} {
		out = append(out, requests(SubmitRequest(&scheduler.Job{Kind: kind}))...)
	}
	for _, p := range []scheduler.Priority{scheduler.Low, scheduler.Normal, scheduler.High, scheduler.Production} {
		out = append(out, requests(SubmitRequest(&scheduler.Job{Priority: p}))...)
	}
	golden.Compare(t, "user_words.txt", out)
}

func TestUserAnswersKeepTheirForm(t *testing.T) {
	for _, s := range []scheduler.JobState{scheduler.Pending, scheduler.Running, scheduler.Done, scheduler.Cancelled} {
		a := scheduler.UserResponse{ID: "job-7", State: s, Done: 3, Running: 4}
		golden.RoundTrip(
			t,
			"answer_"+string(s)+".json",
			a,
			func(a scheduler.UserResponse) ([]byte, error) { return EncodeUserResponse(a), nil },
			func(b []byte) (scheduler.UserResponse, error) { return ParseUserResponse(200, b), nil },
		)
	}
	golden.RoundTrip(t, "answer_error.json", scheduler.UserResponse{ID: "job-7", Error: "no such job"},
		func(a scheduler.UserResponse) ([]byte, error) { return EncodeUserResponse(a), nil },
		func(b []byte) (scheduler.UserResponse, error) { return ParseUserResponse(404, b), nil })
}

// TestReportsKeepTheirForm holds a worker's report and what is read of it.
func TestReportsKeepTheirForm(t *testing.T) {
	var b heartbeatBody
	golden.Fill(&b)
	b.Tasks = nil
	for _, state := range []string{"fetching", "running", "gathering", "saving", "ended"} {
		b.Tasks = append(b.Tasks, taskStatusBody{Task: "job-7/1", Attempt: 9, State: state})
	}
	for _, why := range []string{"done", "stopped", "error", "full", "in_use", "unknown", "mates_gone", "incomplete"} {
		b.Tasks = append(
			b.Tasks,
			taskStatusBody{Task: "job-7/2", Attempt: 9, State: "ended", Reason: why, Checkpointed: true},
		)
	}
	golden.RoundTrip(t, "report.json", b, func(b heartbeatBody) ([]byte, error) { return mustEncode(b), nil },
		func(body []byte) (b heartbeatBody, err error) { return b, decode(body, &b) })
	r, err := ParseHeartbeat(golden.Read(t, "report.json"))
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "report_read.json", read(r))
}

func TestWorkerAnswersKeepTheirForm(t *testing.T) {
	commands := []scheduler.Command{
		{Kind: scheduler.CommandStart, Task: "job-7/1", Attempt: 9},
		{Kind: scheduler.CommandStop, Task: "job-7/2", Attempt: 9, GraceS: 4.5},
		{Kind: scheduler.CommandForget, Task: "job-7/3", Attempt: 9},
	}
	var out []byte
	for _, a := range []scheduler.HeartbeatResponse{{Accepted: true, Token: 11, Commands: commands}, {Accepted: true}, {RedirectTo: "m1"}, {}} {
		status, body := EncodeHeartbeatResponse(a)
		out = fmt.Appendf(out, "%d %s\n", status, body)
	}
	out = append(
		out,
		requests(
			DirectCommandRequest(
				scheduler.DirectCommand{ID: 1, Addr: "addr", Machine: "i-1", Token: 11, Incarnation: 12, Commands: commands},
			),
		)...)
	golden.Compare(t, "worker_answers.txt", out)
	var results []any
	for _, status := range []int{200, 400, 409, 503} {
		results = append(results, ParseDirectCommandResult(status, golden.Read(t, "report.json")))
	}
	golden.Compare(t, "worker_results.jsonl", read(results...))
}

func TestStoreRequestsKeepTheirForm(t *testing.T) {
	var rs []Request
	for _, kind := range []scheduler.StoreOpKind{scheduler.StoreGet, scheduler.StoreList, scheduler.StoreTxn, scheduler.StoreGrantLease, scheduler.StoreRenewLease, scheduler.StoreWatch} {
		var op scheduler.StoreOp
		golden.Fill(&op)
		op.Kind = kind
		op.Changes = append(op.Changes, scheduler.Change{Key: "l/removed"})
		rs = append(rs, StoreRequest(op))
		op.StartAfter = ""
		rs = append(rs, StoreRequest(op))
	}
	golden.Compare(t, "store_requests.txt", requests(rs...))
}

func TestStoreAnswersKeepTheirForm(t *testing.T) {
	body := []byte(`{"tide":1,"mooring":2,"more":true,"failed":["l/a"],"k":"l/b","v":{"n":3},"mark":4,` +
		`"items":[{"k":"l/c","v":{"n":5},"mark":6}],"log":[{"put":"l/d","v":{"n":7},"mark":8},{"remove":"l/e","mark":9}]}`)
	var results []any
	for _, status := range []int{0, 200, 400, 404, 409, 410, 429, 500, 503} {
		for _, kind := range []scheduler.StoreOpKind{scheduler.StoreGet, scheduler.StoreList} {
			results = append(results, ParseStoreResult(scheduler.StoreOp{Kind: kind}, status, body))
		}
	}
	golden.Compare(t, "store_answers.jsonl", read(results...))
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
	golden.Compare(t, "cloud_requests.txt", requests(rs...))
}

// TestCloudAnswersKeepTheirForm reads the bodies that the decoder's types give
// when they are filled.
func TestCloudAnswersKeepTheirForm(t *testing.T) {
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
	results = append(
		results,
		ParseCloudResult(scheduler.CloudOp{Kind: scheduler.CloudProvision}, 503, []byte(`{"error":"no capacity"}`)),
	)
	golden.Compare(t, "cloud_bodies.jsonl", sent)
	golden.Compare(t, "cloud_answers.jsonl", read(results...))
}
