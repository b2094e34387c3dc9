package wire

import (
	"math"
	"reflect"
	"testing"

	"github.com/grebedock/grebedock/scheduler"
)

func TestHeartbeatIsParsedWithAllFields(t *testing.T) {
	got, err := ParseHeartbeat([]byte(`{"berth":"i-000231","addr":"10.1.0.232:9000","hull":"g8","marsh":"a",
     "driftwood":true,"dive":1,"tally":88,"baton":18446744073709551615,"ebb_s":12.5,
     "chicks":[{"chick":"job-000412/3","try":2,"stance":"running"},
      {"chick":"job-000398/0","try":1,"stance":"ended","cause":"full","kept":true}]}`))
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
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Fatalf("got %+v, %v, want %+v", got, err, want)
	}
}

func TestHeartbeatResponseIsEncoded(t *testing.T) {
	commands := []scheduler.Command{
		{Kind: scheduler.CommandStart, Task: "job-000001/0", Attempt: 5},
		{Kind: scheduler.CommandStop, Task: "job-000002/0", Attempt: 6},
		{Kind: scheduler.CommandClear, Task: "job-000003/0", Attempt: 7},
	}
	for _, c := range []struct {
		name     string
		response scheduler.HeartbeatResponse
		status   int
		body     string
	}{
		{
			name:     "commands",
			response: scheduler.HeartbeatResponse{Accepted: true, Token: 41, Commands: commands},
			status:   200,
			body: `{"baton":41,"calls":[{"call":"launch","chick":"job-000001/0","try":5},` +
				`{"call":"halt","chick":"job-000002/0","try":6,"slack_s":0},` +
				`{"call":"clear","chick":"job-000003/0","try":7}]}`,
		},
		{
			name:     "redirect",
			response: scheduler.HeartbeatResponse{RedirectTo: "m-2"},
			status:   421,
			body:     `{"harbor":"m-2"}`,
		},
		{
			name:   "refusal",
			status: 503,
			body:   `{"error":"not in charge"}`,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			if status, body := EncodeHeartbeatResponse(c.response); status != c.status || string(body) != c.body {
				t.Errorf("got %d %s, want %d %s", status, body, c.status, c.body)
			}
		})
	}
}

// The length of a response stays within the maximum line length that a worker
// reads, whatever the number of commands.
func TestHeartbeatResponseStaysWithinLineLimit(t *testing.T) {
	commands := make([]scheduler.Command, 5000)
	for i := range commands {
		commands[i] = scheduler.Command{
			Kind:    scheduler.CommandStop,
			Task:    "job-000000000000000000000000000001/99999",
			Attempt: math.MaxUint64,
		}
	}
	_, body := EncodeHeartbeatResponse(scheduler.HeartbeatResponse{Accepted: true, Commands: commands})
	if len(body) > MaxBody {
		t.Errorf("got %d bytes, want at most %d", len(body), MaxBody)
	}
}
