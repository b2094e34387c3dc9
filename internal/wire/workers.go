package wire

import (
	"errors"
	"net/http"

	"github.com/grebedock/grebedock/scheduler"
)

// maxCommands keeps a response to a worker below the maximum line length that a
// worker reads.
const maxCommands = 400

// errMissingIdentity is returned to the worker as text.
var errMissingIdentity = errors.New("berth or dive is missing")

var taskStates = vocabulary[string]{
	{"waiting", "gathering"},
	{"exited", "ended"},
}

var exitReasons = vocabulary[string]{
	{"no_room", "full"},
	{"busy", "in_use"},
	{"peers", "mates_gone"},
	{"alone", "incomplete"},
}

var commandKinds = vocabulary[scheduler.CommandKind]{
	{scheduler.CommandStart, "launch"},
	{scheduler.CommandStop, "halt"},
	{scheduler.CommandClear, "clear"},
}

type heartbeatBody struct {
	Machine     string           `json:"berth"`
	Addr        string           `json:"addr"`
	Type        string           `json:"hull"`
	Zone        string           `json:"marsh"`
	Spot        bool             `json:"driftwood"`
	Incarnation uint64           `json:"dive"`
	Seq         uint64           `json:"tally"`
	Token       uint64           `json:"baton"`
	NoticeS     *float64         `json:"ebb_s"`
	Tasks       []taskStatusBody `json:"chicks"`
}

type taskStatusBody struct {
	Task         string `json:"chick"`
	Attempt      uint64 `json:"try"`
	State        string `json:"stance"`
	Reason       string `json:"cause,omitempty"`
	Checkpointed bool   `json:"kept,omitempty"`
}

// ParseHeartbeat parses a worker's heartbeat. It does not retain body. The text
// of an error is returned to the worker.
func ParseHeartbeat(body []byte) (scheduler.Heartbeat, error) {
	var b heartbeatBody
	if err := decode(body, &b); err != nil {
		return scheduler.Heartbeat{}, err
	}
	if b.Machine == "" || b.Incarnation == 0 {
		return scheduler.Heartbeat{}, errMissingIdentity
	}
	r := scheduler.Heartbeat{
		Machine:            b.Machine,
		Addr:               b.Addr,
		Type:               b.Type,
		Zone:               b.Zone,
		Spot:               b.Spot,
		Incarnation:        b.Incarnation,
		Seq:                b.Seq,
		Token:              b.Token,
		TerminationNoticeS: b.NoticeS,
	}
	for _, t := range b.Tasks {
		r.Tasks = append(r.Tasks, t.toTaskStatus())
	}
	return r, nil
}

func (t *taskStatusBody) toTaskStatus() scheduler.TaskStatus {
	return scheduler.TaskStatus{
		Task:         t.Task,
		Attempt:      t.Attempt,
		State:        termOrSame(taskStates, t.State),
		Reason:       termOrSame(exitReasons, t.Reason),
		Checkpointed: t.Checkpointed,
	}
}

type commandBody struct {
	Kind    string   `json:"call"`
	Task    string   `json:"chick"`
	Attempt uint64   `json:"try"`
	GraceS  *float64 `json:"slack_s,omitempty"` // nil unless the command stops the task
}

// encodeCommands maps the first maxCommands commands and drops the others.
func encodeCommands(commands []scheduler.Command) []commandBody {
	out := []commandBody{}
	for _, c := range commands[:min(len(commands), maxCommands)] {
		b := commandBody{Kind: commandKinds.word(c.Kind), Task: c.Task, Attempt: c.Attempt}
		if c.Kind == scheduler.CommandStop {
			b.GraceS = &c.GraceS
		}
		out = append(out, b)
	}
	return out
}

type heartbeatResponseBody struct {
	Token    uint64        `json:"baton"`
	Commands []commandBody `json:"calls"`
}

type redirectBody struct {
	Member string `json:"harbor,omitempty"`
}

// EncodeHeartbeatResponse returns the status and the body of a response to a
// heartbeat: commands, a redirect to the owner of the machine's shard, or a
// refusal.
func EncodeHeartbeatResponse(a scheduler.HeartbeatResponse) (int, []byte) {
	switch {
	case a.Accepted:
		return http.StatusOK, mustEncode(heartbeatResponseBody{Token: a.Token, Commands: encodeCommands(a.Commands)})
	case a.RedirectTo != "":
		return http.StatusMisdirectedRequest, mustEncode(redirectBody{Member: a.RedirectTo})
	}
	return http.StatusServiceUnavailable, mustEncode(userResponseBody{Error: "not in charge"})
}

type directCommandBody struct {
	Token       uint64        `json:"baton"`
	Incarnation uint64        `json:"dive"`
	Commands    []commandBody `json:"calls"`
}

// DirectCommandRequest encodes commands that are sent to a worker without waiting
// for its heartbeat.
func DirectCommandRequest(d scheduler.DirectCommand) Request {
	b := directCommandBody{Token: d.Token, Incarnation: d.Incarnation, Commands: encodeCommands(d.Commands)}
	return Request{Method: http.MethodPost, Path: "/do", Body: mustEncode(b)}
}

// ParseDirectCommandResult parses a worker's response to direct commands, which
// contains a heartbeat even if the worker refuses the commands. After any other
// status it is unknown whether they were carried out.
func ParseDirectCommandResult(status int, body []byte) scheduler.DirectCommandResult {
	var r scheduler.DirectCommandResult
	switch status {
	case http.StatusOK:
		r.Outcome = scheduler.OK
	case http.StatusBadRequest, http.StatusConflict:
		r.Outcome = scheduler.Conflict
	default:
		r.Outcome = scheduler.Unknown
		return r
	}
	if heartbeat, err := ParseHeartbeat(body); err == nil {
		r.Heartbeat = &heartbeat
	}
	return r
}
