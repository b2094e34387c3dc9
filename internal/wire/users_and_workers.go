// Package wire holds the deployment's names: the JSON bodies that users,
// workers, the cloud and the state service speak. Everything behind it uses
// the field's own terms.
package wire

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"regexp"

	fast "github.com/segmentio/encoding/json"

	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/scheduler"
)

// MaxBody bounds the body of a request.
const MaxBody = 64 << 10

// MaxTasks bounds the tasks of a job.
const MaxTasks = 100_000

// maxCommands keeps an answer to a worker under the limit of a line.
const maxCommands = 400

var jobIDPattern = regexp.MustCompile(`^job-[0-9]{1,40}$`)

// IsValidJobID tells whether a job can have this id.
func IsValidJobID(id string) bool { return jobIDPattern.MatchString(id) }

var stateNames = map[scheduler.JobState]string{
	scheduler.Pending: "pending", scheduler.Running: "running", scheduler.Done: "done", scheduler.Cancelled: "withdrawn",
}

var prioritiesByName = map[string]scheduler.Priority{
	"low": scheduler.Low, "standard": scheduler.Normal, "high": scheduler.High, "production": scheduler.Production,
}

var jobKindsByName = map[string]scheduler.JobKind{
	"sweep":    scheduler.Array,
	"standing": scheduler.Service,
	"gang":     scheduler.Gang,
}

type jobBody struct {
	Class               *string  `json:"flock"`
	Team                *string  `json:"crew"`
	Kind                *string  `json:"shape"`
	Priority            *string  `json:"rank"`
	Tasks               *int     `json:"chicks"`
	CPUs                *float64 `json:"cpus"`
	GPUs                *float64 `json:"cards"`
	MemoryGB            *float64 `json:"memory_gb"`
	Image               *string  `json:"plumage"`
	ImageGB             *float64 `json:"size_gb"`
	Types               []string `json:"hulls"`
	Zone                *string  `json:"marsh"`
	OneZone             *bool    `json:"same_place"`
	Spread              *bool    `json:"spread"`
	Spot                *bool    `json:"driftwood"`
	EstimateS           *float64 `json:"swim_s"`
	CheckpointS         *float64 `json:"surface_s"`
	CheckpointDurationS *float64 `json:"preen_s"`
	DeadlineS           *float64 `json:"dusk_s"`
}

// ParseJob reads a submission. A body that is no good still yields its id where
// that can be read, since a known job is known whatever a repeated body says.
func ParseJob(body []byte) scheduler.UserRequest {
	r := scheduler.UserRequest{Kind: scheduler.SubmitJob}
	if !bytes.HasPrefix(bytes.TrimLeft(body, " \t\r\n"), []byte("{")) || !json.Valid(body) {
		r.Malformed = "the body is not a JSON object"
		return r
	}
	var id struct {
		ID *string `json:"ref"`
	}
	if json.Unmarshal(body, &id) != nil || id.ID == nil || !IsValidJobID(*id.ID) {
		r.Malformed = "ref is missing or no job id"
		return r
	}
	r.ID = *id.ID
	var b jobBody
	if err := json.Unmarshal(body, &b); err != nil {
		if te, ok := err.(*json.UnmarshalTypeError); ok {
			r.Malformed = fmt.Sprintf("%s has the wrong type", te.Field)
		} else {
			r.Malformed = "the body is not valid"
		}
		return r
	}
	j, reason := b.toJob(r.ID)
	r.Malformed = reason
	if reason == "" {
		r.Job = j
	}
	return r
}

func (b *jobBody) toJob(id string) (*scheduler.Job, string) {
	for _, f := range []struct {
		name string
		ok   bool
	}{
		{"flock", b.Class != nil}, {"crew", b.Team != nil}, {"shape", b.Kind != nil}, {"rank", b.Priority != nil}, {"chicks", b.Tasks != nil},
		{"plumage", b.Image != nil}, {"same_place", b.OneZone != nil}, {"spread", b.Spread != nil}, {"driftwood", b.Spot != nil},
	} {
		if !f.ok {
			return nil, f.name + " is missing"
		}
	}
	for _, f := range []struct {
		name string
		v    *float64
	}{
		{"cpus", b.CPUs}, {"cards", b.GPUs}, {"memory_gb", b.MemoryGB}, {"size_gb", b.ImageGB},
		{"swim_s", b.EstimateS}, {"surface_s", b.CheckpointS}, {"preen_s", b.CheckpointDurationS},
	} {
		if f.v == nil {
			return nil, f.name + " is missing"
		}
		if *f.v < 0 || math.IsInf(*f.v, 0) || math.IsNaN(*f.v) {
			return nil, f.name + " must not be negative"
		}
	}
	if b.DeadlineS != nil && (*b.DeadlineS < 0 || math.IsInf(*b.DeadlineS, 0)) {
		return nil, "dusk_s must not be negative"
	}
	if *b.Tasks < 1 || *b.Tasks > MaxTasks {
		return nil, fmt.Sprintf("chicks must be from 1 to %d", MaxTasks)
	}
	kind, ok := jobKindsByName[*b.Kind]
	if !ok {
		return nil, "shape is unknown"
	}
	prio, ok := prioritiesByName[*b.Priority]
	if !ok {
		return nil, "rank is unknown"
	}
	j := &scheduler.Job{
		ID: id, Class: *b.Class, Team: *b.Team, Kind: kind, Priority: prio, Tasks: *b.Tasks,
		Request: availability.Resources{CPUs: *b.CPUs, GPUs: *b.GPUs, MemoryGB: *b.MemoryGB, DiskGB: *b.ImageGB},
		Image:   *b.Image, Types: b.Types, OneZone: *b.OneZone, Spread: *b.Spread, Spot: *b.Spot,
		EstimateS: *b.EstimateS, CheckpointIntervalS: *b.CheckpointS, CheckpointDurationS: *b.CheckpointDurationS,
	}
	if b.Zone != nil {
		j.Zone = *b.Zone
	}
	if b.DeadlineS != nil {
		// A deadline of nothing is one that has passed, not none.
		j.DeadlineS = max(*b.DeadlineS, 0.001)
	}
	return j, ""
}

// SubmitRequest submits a job.
func SubmitRequest(j *scheduler.Job) Request {
	kind, rank := "", ""
	for name, k := range jobKindsByName {
		if k == j.Kind {
			kind = name
		}
	}
	for name, p := range prioritiesByName {
		if p == j.Priority {
			rank = name
		}
	}
	b := struct {
		ID string `json:"ref"`
		jobBody
	}{j.ID, jobBody{Class: &j.Class, Team: &j.Team, Kind: &kind, Priority: &rank, Tasks: &j.Tasks, CPUs: &j.Request.CPUs, GPUs: &j.Request.GPUs,
		MemoryGB: &j.Request.MemoryGB, Image: &j.Image, ImageGB: &j.Request.DiskGB, Types: j.Types, OneZone: &j.OneZone, Spread: &j.Spread, Spot: &j.Spot,
		EstimateS: &j.EstimateS, CheckpointS: &j.CheckpointIntervalS, CheckpointDurationS: &j.CheckpointDurationS}}
	if j.Zone != "" {
		b.Zone = &j.Zone
	}
	if j.DeadlineS > 0 {
		b.DeadlineS = &j.DeadlineS
	}
	return Request{Method: "POST", Path: "/work", Body: mustEncode(b)}
}

// QueryRequest asks for a job.
func QueryRequest(id string) Request { return Request{Method: "GET", Path: "/work/" + id} }

// CancelRequest cancels a job.
func CancelRequest(id string) Request {
	return Request{Method: "POST", Path: "/work/" + id + "/abort"}
}

// ParseUserResponse reads an answer to a user.
func ParseUserResponse(status int, body []byte) scheduler.UserResponse {
	var b userResponseBody
	a := scheduler.UserResponse{Status: status}
	if decode(body, &b) != nil {
		return a
	}
	a.ID, a.Error = b.ID, b.Error
	for s, name := range stateNames {
		if name == b.State {
			a.State = s
		}
	}
	if b.Done != nil {
		a.Done = *b.Done
	}
	if b.Running != nil {
		a.Running = *b.Running
	}
	return a
}

type userResponseBody struct {
	ID      string `json:"ref,omitempty"`
	State   string `json:"stance,omitempty"`
	Done    *int   `json:"done,omitempty"`
	Running *int   `json:"running,omitempty"`
	Error   string `json:"error,omitempty"`
}

// EncodeUserResponse writes an answer to a user.
func EncodeUserResponse(a scheduler.UserResponse) []byte {
	b := userResponseBody{ID: a.ID, State: stateNames[a.State], Error: a.Error}
	if a.Error == "" {
		b.Done, b.Running = &a.Done, &a.Running
	}
	return mustEncode(b)
}

// mustEncode encodes a body of ours, which holds nothing that JSON cannot.
func mustEncode(v any) []byte {
	out, err := fast.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("wire: %T does not encode: %v", v, err))
	}
	return out
}

type taskStatusBody struct {
	Task         string `json:"chick"`
	Attempt      uint64 `json:"try"`
	State        string `json:"stance"`
	Reason       string `json:"cause,omitempty"`
	Checkpointed bool   `json:"kept,omitempty"`
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

var taskStateNames = map[string]string{"gathering": "waiting", "ended": "exited"}

var exitReasonNames = map[string]string{
	"full":       "no_room",
	"in_use":     "busy",
	"mates_gone": "peers",
	"incomplete": "alone",
}

func translate(names map[string]string, s string) string {
	if t, ok := names[s]; ok {
		return t
	}
	return s
}

// ParseHeartbeat reads a worker's report.
func ParseHeartbeat(body []byte) (scheduler.Heartbeat, error) {
	var b heartbeatBody
	if err := decode(body, &b); err != nil {
		return scheduler.Heartbeat{}, err
	}
	if b.Machine == "" || b.Incarnation == 0 {
		return scheduler.Heartbeat{}, fmt.Errorf("berth or dive is missing")
	}
	r := scheduler.Heartbeat{Machine: b.Machine, Addr: b.Addr, Type: b.Type, Zone: b.Zone, Spot: b.Spot,
		Incarnation: b.Incarnation, Seq: b.Seq, Token: b.Token, TerminationNoticeS: b.NoticeS}
	for _, t := range b.Tasks {
		r.Tasks = append(r.Tasks, scheduler.TaskStatus{Task: t.Task, Attempt: t.Attempt,
			State: translate(
				taskStateNames,
				t.State,
			), Reason: translate(exitReasonNames, t.Reason), Checkpointed: t.Checkpointed})
	}
	return r, nil
}

type commandBody struct {
	Op      string   `json:"call"`
	Task    string   `json:"chick"`
	Attempt uint64   `json:"try"`
	GraceS  *float64 `json:"slack_s,omitempty"`
}

type heartbeatResponseBody struct {
	Token    uint64        `json:"baton"`
	Commands []commandBody `json:"calls"`
}

func encodeCommands(cs []scheduler.Command) []commandBody {
	out := []commandBody{}
	for _, c := range cs[:min(len(cs), maxCommands)] {
		cb := commandBody{Op: commandNames[c.Kind], Task: c.Task, Attempt: c.Attempt}
		if c.Kind == scheduler.CommandStop {
			cb.GraceS = &c.GraceS
		}
		out = append(out, cb)
	}
	return out
}

type directCommandBody struct {
	Token       uint64        `json:"baton"`
	Incarnation uint64        `json:"dive"`
	Commands    []commandBody `json:"calls"`
}

// DirectCommandRequest writes commands that go straight to a worker.
func DirectCommandRequest(d scheduler.DirectCommand) Request {
	return Request{
		Method: "POST",
		Path:   "/do",
		Body:   mustEncode(directCommandBody{d.Token, d.Incarnation, encodeCommands(d.Commands)}),
	}
}

// ParseDirectCommandResult reads a worker's answer to them.
func ParseDirectCommandResult(status int, body []byte) scheduler.DirectCommandResult {
	var r scheduler.DirectCommandResult
	switch status {
	case 200:
		r.Outcome = scheduler.OK
	case 400, 409:
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

type redirectBody struct {
	Member string `json:"harbor,omitempty"`
}

var commandNames = map[scheduler.CommandKind]string{
	scheduler.CommandStart:  "launch",
	scheduler.CommandStop:   "halt",
	scheduler.CommandForget: "clear",
}

// EncodeHeartbeatResponse writes the status and body of an answer to a report.
func EncodeHeartbeatResponse(a scheduler.HeartbeatResponse) (int, []byte) {
	switch {
	case a.Accepted:
		return 200, mustEncode(heartbeatResponseBody{a.Token, encodeCommands(a.Commands)})
	case a.RedirectTo != "":
		return 421, mustEncode(redirectBody{a.RedirectTo})
	}
	return 503, mustEncode(userResponseBody{Error: "not in charge"})
}
