package wire

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"regexp"
	"strings"

	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/scheduler"
)

// MaxTasks bounds the number of tasks in a job.
const MaxTasks = 100_000

// minDeadlineS replaces a deadline of 0 seconds, which has already passed: in a
// job, 0 means no deadline.
const minDeadlineS = 0.001

var jobIDPattern = regexp.MustCompile(`^job-[0-9]{1,40}$`)

// IsValidJobID reports whether id has the form of a job ID.
func IsValidJobID(id string) bool { return jobIDPattern.MatchString(id) }

var jobStates = vocabulary[scheduler.JobState]{
	{scheduler.Pending, "pending"},
	{scheduler.Running, "running"},
	{scheduler.Done, "done"},
	{scheduler.Cancelled, "withdrawn"},
}

var priorities = vocabulary[scheduler.Priority]{
	{scheduler.Low, "low"},
	{scheduler.Normal, "standard"},
	{scheduler.High, "high"},
	{scheduler.Production, "production"},
}

var jobKinds = vocabulary[scheduler.JobKind]{
	{scheduler.Array, "sweep"},
	{scheduler.Service, "standing"},
	{scheduler.Gang, "gang"},
}

// jobBody is a submission without its ID. A nil pointer means that the field is
// missing or null.
type jobBody struct {
	jobIdentityBody
	jobResourcesBody
	jobPlacementBody
	jobTimesBody
}

type jobIdentityBody struct {
	Class    *string `json:"flock"`
	Team     *string `json:"crew"`
	Kind     *string `json:"shape"`
	Priority *string `json:"rank"`
	Tasks    *int    `json:"chicks"`
}

type jobResourcesBody struct {
	CPUs     *float64 `json:"cpus"`
	GPUs     *float64 `json:"cards"`
	MemoryGB *float64 `json:"memory_gb"`
	Image    *string  `json:"plumage"`
	ImageGB  *float64 `json:"size_gb"`
}

type jobPlacementBody struct {
	Types   []string `json:"hulls"`
	Zone    *string  `json:"marsh"`
	OneZone *bool    `json:"same_place"`
	Spread  *bool    `json:"spread"`
	Spot    *bool    `json:"driftwood"`
}

type jobTimesBody struct {
	EstimateS           *float64 `json:"swim_s"`
	CheckpointS         *float64 `json:"surface_s"`
	CheckpointDurationS *float64 `json:"preen_s"`
	DeadlineS           *float64 `json:"dusk_s"`
}

// ParseJob parses a submission. For a malformed submission it still returns the
// ID if that is valid: a repeated submission of a known job is recognized
// whatever its body contains.
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
	job, err := decodeJob(r.ID, body)
	if err != nil {
		r.Malformed = err.Error()
		return r
	}
	r.Job = job
	return r
}

// decodeJob parses the job in a submission. The texts of its errors are returned
// to the user.
func decodeJob(id string, body []byte) (*scheduler.Job, error) {
	var b jobBody
	if err := json.Unmarshal(body, &b); err != nil {
		return nil, describeTypeError(err)
	}
	if err := b.validate(); err != nil {
		return nil, err
	}
	return b.toJob(id)
}

// describeTypeError returns an error that names a field of the wrong type as the
// protocol does: the decoder prefixes the name with the names of embedded Go
// types.
func describeTypeError(err error) error {
	var typeError *json.UnmarshalTypeError
	if !errors.As(err, &typeError) {
		return errors.New("the body is not valid")
	}
	field := typeError.Field[strings.LastIndexByte(typeError.Field, '.')+1:]
	return fmt.Errorf("%s has the wrong type", field)
}

// validate checks that the required fields are present and that numbers are
// within their ranges.
func (b *jobBody) validate() error {
	required := []struct {
		name    string
		present bool
	}{
		{"flock", b.Class != nil},
		{"crew", b.Team != nil},
		{"shape", b.Kind != nil},
		{"rank", b.Priority != nil},
		{"chicks", b.Tasks != nil},
		{"plumage", b.Image != nil},
		{"same_place", b.OneZone != nil},
		{"spread", b.Spread != nil},
		{"driftwood", b.Spot != nil},
	}
	for _, field := range required {
		if !field.present {
			return missingError(field.name)
		}
	}
	numbers := []struct {
		name  string
		value *float64
	}{
		{"cpus", b.CPUs},
		{"cards", b.GPUs},
		{"memory_gb", b.MemoryGB},
		{"size_gb", b.ImageGB},
		{"swim_s", b.EstimateS},
		{"surface_s", b.CheckpointS},
		{"preen_s", b.CheckpointDurationS},
	}
	for _, field := range numbers {
		if field.value == nil {
			return missingError(field.name)
		}
		if !isNonNegative(*field.value) {
			return negativeError(field.name)
		}
	}
	if b.DeadlineS != nil && !isNonNegative(*b.DeadlineS) {
		return negativeError("dusk_s")
	}
	if *b.Tasks < 1 || *b.Tasks > MaxTasks {
		return fmt.Errorf("chicks must be from 1 to %d", MaxTasks)
	}
	return nil
}

// isNonNegative reports whether v is a finite number that is not negative.
func isNonNegative(v float64) bool { return v >= 0 && !math.IsInf(v, 0) }

func missingError(field string) error { return fmt.Errorf("%s is missing", field) }

func negativeError(field string) error { return fmt.Errorf("%s must not be negative", field) }

// toJob maps a validated body to a job.
func (b *jobBody) toJob(id string) (*scheduler.Job, error) {
	kind, ok := jobKinds.term(*b.Kind)
	if !ok {
		return nil, errors.New("shape is unknown")
	}
	priority, ok := priorities.term(*b.Priority)
	if !ok {
		return nil, errors.New("rank is unknown")
	}
	job := &scheduler.Job{
		ID:       id,
		Class:    *b.Class,
		Team:     *b.Team,
		Kind:     kind,
		Priority: priority,
		Tasks:    *b.Tasks,
		Request: availability.Resources{
			CPUs:     *b.CPUs,
			GPUs:     *b.GPUs,
			MemoryGB: *b.MemoryGB,
			DiskGB:   *b.ImageGB,
		},
		Image:               *b.Image,
		Types:               b.Types,
		OneZone:             *b.OneZone,
		Spread:              *b.Spread,
		Spot:                *b.Spot,
		EstimateS:           *b.EstimateS,
		CheckpointIntervalS: *b.CheckpointS,
		CheckpointDurationS: *b.CheckpointDurationS,
	}
	if b.Zone != nil {
		job.Zone = *b.Zone
	}
	if b.DeadlineS != nil {
		job.DeadlineS = max(*b.DeadlineS, minDeadlineS)
	}
	return job, nil
}

// submissionBody is a submission: the ID, then the other fields.
type submissionBody struct {
	ID string `json:"ref"`
	jobBody
}

func newJobBody(j *scheduler.Job) jobBody {
	kind, priority := jobKinds.word(j.Kind), priorities.word(j.Priority)
	b := jobBody{
		jobIdentityBody: jobIdentityBody{
			Class:    &j.Class,
			Team:     &j.Team,
			Kind:     &kind,
			Priority: &priority,
			Tasks:    &j.Tasks,
		},
		jobResourcesBody: jobResourcesBody{
			CPUs:     &j.Request.CPUs,
			GPUs:     &j.Request.GPUs,
			MemoryGB: &j.Request.MemoryGB,
			Image:    &j.Image,
			ImageGB:  &j.Request.DiskGB,
		},
		jobPlacementBody: jobPlacementBody{
			Types:   j.Types,
			OneZone: &j.OneZone,
			Spread:  &j.Spread,
			Spot:    &j.Spot,
		},
		jobTimesBody: jobTimesBody{
			EstimateS:           &j.EstimateS,
			CheckpointS:         &j.CheckpointIntervalS,
			CheckpointDurationS: &j.CheckpointDurationS,
		},
	}
	if j.Zone != "" {
		b.Zone = &j.Zone
	}
	if j.DeadlineS > 0 {
		b.DeadlineS = &j.DeadlineS
	}
	return b
}

// SubmitRequest encodes the request that submits a job.
func SubmitRequest(j *scheduler.Job) Request {
	return Request{
		Method: http.MethodPost,
		Path:   "/work",
		Body:   mustEncode(submissionBody{ID: j.ID, jobBody: newJobBody(j)}),
	}
}

// QueryRequest encodes the request that queries the state of a job.
func QueryRequest(id string) Request { return Request{Method: http.MethodGet, Path: "/work/" + id} }

// CancelRequest encodes the request that cancels a job.
func CancelRequest(id string) Request {
	return Request{Method: http.MethodPost, Path: "/work/" + id + "/abort"}
}

// userResponseBody is a response to a user, and the body of any error.
type userResponseBody struct {
	ID      string `json:"ref,omitempty"`
	State   string `json:"stance,omitempty"`
	Done    *int   `json:"done,omitempty"`
	Running *int   `json:"running,omitempty"`
	Error   string `json:"error,omitempty"`
}

// EncodeUserResponse encodes the body of a response to a user. A response with an
// error has no task counts.
func EncodeUserResponse(a scheduler.UserResponse) []byte {
	b := userResponseBody{ID: a.ID, State: jobStates.word(a.State), Error: a.Error}
	if a.Error == "" {
		b.Done, b.Running = &a.Done, &a.Running
	}
	return mustEncode(b)
}

// ParseUserResponse parses a response to a user. If the body is not valid JSON,
// the result has only a status.
func ParseUserResponse(status int, body []byte) scheduler.UserResponse {
	var b userResponseBody
	a := scheduler.UserResponse{Status: status}
	if decode(body, &b) != nil {
		return a
	}
	a.ID, a.Error = b.ID, b.Error
	a.State, _ = jobStates.term(b.State)
	if b.Done != nil {
		a.Done = *b.Done
	}
	if b.Running != nil {
		a.Running = *b.Running
	}
	return a
}
