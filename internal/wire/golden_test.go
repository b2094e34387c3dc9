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
	for _, v := range []any{jobBody{}, userBody{}, reportBody{}, commandsBody{}, doBody{}, redirectBody{}, txnBody{}, stateBody{}, lifeBody{},
		catalogBody{}, rentBody{}, machinesBody{}, listBody{}, errorBody{}} {
		golden.CheckTags(t, "json", v)
	}
}

func TestUserRequestsKeepTheirForm(t *testing.T) {
	var j scheduler.Job
	golden.Fill(&j)
	j.ID, j.Kind, j.Priority, j.Run, j.MaxErrors, j.Once = "job-7", scheduler.Gang, scheduler.Production, "", 0, false
	encode := func(j scheduler.Job) ([]byte, error) { return JobRequest(&j).Body, nil }
	golden.RoundTrip(t, "job.json", j, encode, func(b []byte) (scheduler.Job, error) {
		r := ParseJob(b)
		if r.Bad != "" {
			return scheduler.Job{}, fmt.Errorf("refused: %s", r.Bad)
		}
		return *r.Job, nil
	})
	golden.Compare(t, "user_requests.txt", requests(JobRequest(&j), QueryRequest("job-7"), CancelRequest("job-7")))
}

// TestUserWordsKeepTheirForm holds the words for kinds and priorities of jobs.
func TestUserWordsKeepTheirForm(t *testing.T) {
	var out []byte
	for _, kind := range []scheduler.Kind{scheduler.Array, scheduler.Service, scheduler.Gang} {
		out = append(out, requests(JobRequest(&scheduler.Job{Kind: kind}))...)
	}
	for _, p := range []scheduler.Priority{scheduler.Low, scheduler.Normal, scheduler.High, scheduler.Production} {
		out = append(out, requests(JobRequest(&scheduler.Job{Priority: p}))...)
	}
	golden.Compare(t, "user_words.txt", out)
}

func TestUserAnswersKeepTheirForm(t *testing.T) {
	for _, s := range []scheduler.State{scheduler.Pending, scheduler.Running, scheduler.Done, scheduler.Cancelled} {
		a := scheduler.UserAnswer{ID: "job-7", State: s, Done: 3, Running: 4}
		golden.RoundTrip(t, "answer_"+string(s)+".json", a, func(a scheduler.UserAnswer) ([]byte, error) { return UserBody(a), nil },
			func(b []byte) (scheduler.UserAnswer, error) { return ParseUserAnswer(200, b), nil })
	}
	golden.RoundTrip(t, "answer_error.json", scheduler.UserAnswer{ID: "job-7", Error: "no such job"},
		func(a scheduler.UserAnswer) ([]byte, error) { return UserBody(a), nil },
		func(b []byte) (scheduler.UserAnswer, error) { return ParseUserAnswer(404, b), nil })
}

// TestReportsKeepTheirForm holds a worker's report and what is read of it.
func TestReportsKeepTheirForm(t *testing.T) {
	var b reportBody
	golden.Fill(&b)
	b.Tasks = nil
	for _, state := range []string{"fetching", "running", "gathering", "saving", "ended"} {
		b.Tasks = append(b.Tasks, taskBody{Task: "job-7/1", Attempt: 9, State: state})
	}
	for _, why := range []string{"done", "stopped", "error", "full", "in_use", "unknown", "mates_gone", "incomplete"} {
		b.Tasks = append(b.Tasks, taskBody{Task: "job-7/2", Attempt: 9, State: "ended", Why: why, Saved: true})
	}
	golden.RoundTrip(t, "report.json", b, func(b reportBody) ([]byte, error) { return must(b), nil },
		func(body []byte) (b reportBody, err error) { return b, unmarshal(body, &b) })
	r, err := ParseReport(golden.Read(t, "report.json"))
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "report_read.json", read(r))
}

func TestWorkerAnswersKeepTheirForm(t *testing.T) {
	commands := []scheduler.Command{{Kind: scheduler.Start, Task: "job-7/1", Attempt: 9}, {Kind: scheduler.Stop, Task: "job-7/2", Attempt: 9, GraceS: 4.5},
		{Kind: scheduler.Forget, Task: "job-7/3", Attempt: 9}}
	var out []byte
	for _, a := range []scheduler.WorkerAnswer{{Accepted: true, Token: 11, Commands: commands}, {Accepted: true}, {Redirect: "m1"}, {}} {
		status, body := WorkerBody(a)
		out = fmt.Appendf(out, "%d %s\n", status, body)
	}
	out = append(out, requests(DoRequest(scheduler.Do{ID: 1, Addr: "addr", Machine: "i-1", Token: 11, Session: 12, Commands: commands}))...)
	golden.Compare(t, "worker_answers.txt", out)
	var results []any
	for _, status := range []int{200, 400, 409, 503} {
		results = append(results, DoResult(status, golden.Read(t, "report.json")))
	}
	golden.Compare(t, "worker_results.jsonl", read(results...))
}

func TestStoreRequestsKeepTheirForm(t *testing.T) {
	var rs []Request
	for _, kind := range []scheduler.StoreKind{scheduler.StoreGet, scheduler.StoreList, scheduler.StoreTxn, scheduler.StoreHold, scheduler.StoreExtend, scheduler.StoreWatch} {
		var op scheduler.StoreOp
		golden.Fill(&op)
		op.Kind = kind
		op.Changes = append(op.Changes, scheduler.Change{Key: "l/removed"})
		rs = append(rs, StoreRequest(op))
		op.From = ""
		rs = append(rs, StoreRequest(op))
	}
	golden.Compare(t, "store_requests.txt", requests(rs...))
}

func TestStoreAnswersKeepTheirForm(t *testing.T) {
	body := []byte(`{"tide":1,"mooring":2,"more":true,"failed":["l/a"],"k":"l/b","v":{"n":3},"mark":4,` +
		`"items":[{"k":"l/c","v":{"n":5},"mark":6}],"log":[{"put":"l/d","v":{"n":7},"mark":8},{"remove":"l/e","mark":9}]}`)
	var results []any
	for _, status := range []int{0, 200, 400, 404, 409, 410, 429, 500, 503} {
		for _, kind := range []scheduler.StoreKind{scheduler.StoreGet, scheduler.StoreList} {
			results = append(results, StoreResult(scheduler.StoreOp{Kind: kind}, status, body))
		}
	}
	golden.Compare(t, "store_answers.jsonl", read(results...))
}

var cloudKinds = []scheduler.CloudKind{scheduler.CloudCatalog, scheduler.CloudList, scheduler.CloudRent, scheduler.CloudRelease}

func TestCloudRequestsKeepTheirForm(t *testing.T) {
	var rs []Request
	for _, kind := range cloudKinds {
		var op scheduler.CloudOp
		golden.Fill(&op)
		op.Kind = kind
		rs = append(rs, CloudRequest(op))
		op.From = ""
		rs = append(rs, CloudRequest(op))
	}
	golden.Compare(t, "cloud_requests.txt", requests(rs...))
}

// TestCloudAnswersKeepTheirForm reads the bodies that the decoder's types give
// when they are filled.
func TestCloudAnswersKeepTheirForm(t *testing.T) {
	var catalog catalogBody
	var list listBody
	var machines machinesBody
	for _, v := range []any{&catalog, &list, &machines} {
		golden.Fill(v)
	}
	list.Machines[0].State = "starting"
	bodies := map[scheduler.CloudKind]any{scheduler.CloudCatalog: catalog, scheduler.CloudList: list, scheduler.CloudRent: machines, scheduler.CloudRelease: struct{}{}}
	var sent []byte
	var results []any
	for _, kind := range cloudKinds {
		body, err := json.Marshal(bodies[kind])
		if err != nil {
			t.Fatal(err)
		}
		sent = append(append(sent, body...), '\n')
		for _, status := range []int{0, 200, 400, 503} {
			results = append(results, CloudResult(scheduler.CloudOp{Kind: kind}, status, body))
		}
	}
	results = append(results, CloudResult(scheduler.CloudOp{Kind: scheduler.CloudRent}, 503, []byte(`{"error":"no capacity"}`)))
	golden.Compare(t, "cloud_bodies.jsonl", sent)
	golden.Compare(t, "cloud_answers.jsonl", read(results...))
}
