package workflow

import (
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"regexp"
	"strconv"
	"strings"

	"github.com/klauspost/compress/zstd"

	"github.com/grebedock/grebedock/cwl"
	"github.com/grebedock/grebedock/extension"
	"github.com/grebedock/grebedock/scheduler"
)

// Keys in the state service. Live records are small, and every member has them in its state cache.
// Only the member that drives a run reads its document and its completed calls. Final results are
// kept after the run.
//
//	l/x/w/ID   live record of a run: its shard and its state
//	w/ID/d0    document and inputs, compressed, in pages
//	w/ID/s0    paths of completed calls, in pages
//	wf/ID      final result
const (
	LivePrefix  = scheduler.ExtensionPrefix + "w/"
	pagesPrefix = "w/"
	finalPrefix = "wf/"
)

func liveKey(id string) string { return LivePrefix + id }
func pageKey(id, kind string, n int) string {
	return fmt.Sprintf("%s%s/%s%d", pagesPrefix, id, kind, n)
}
func finalKey(id string) string { return finalPrefix + id }

var runIDPattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// State is the state of a run as users see it.
type State string

// The states of a run. A run in state Failing or Cancelling starts no more jobs and cancels those
// that are still live. Its final state is already decided.
const (
	Running    State = "running"
	Failing    State = "failing"
	Cancelling State = "cancelling"
	Done       State = "done"
	Failed     State = "failed"
	Cancelled  State = "cancelled"
)

// IsFinal reports whether a run in this state never changes again.
func (s State) IsFinal() bool { return s == Done || s == Failed || s == Cancelled }

// liveRecord is the record of a run that has not ended.
type liveRecord struct {
	Shard      string `json:"shard"`
	State      State  `json:"state"`
	Error      string `json:"error,omitempty"`
	AcceptedMS int64  `json:"at"` // wall-clock time, ms
	Pages      int    `json:"pages"`
	FirstJobID int64  `json:"first,omitempty"` // first of the job IDs that the submitter reserved; 0: none
}

// finalRecord is a run's final result.
type finalRecord struct {
	State      State          `json:"state"`
	Error      string         `json:"error,omitempty"`
	Outputs    map[string]any `json:"outputs,omitempty"`
	AcceptedMS int64          `json:"at"`
	EndedMS    int64          `json:"end"`
	Jobs       int            `json:"jobs"`
}

// Submission is a user's request to start a run. The document is either Document, as JSON, or
// Packed, its compressed form, because a request has at most 64 KiB.
type Submission struct {
	ID       string          `json:"id"`
	Document json.RawMessage `json:"document,omitempty"`
	Packed   []byte          `json:"packed,omitempty"` // zstd; base64 in JSON
	Inputs   map[string]any  `json:"inputs"`
	// Job contains the defaults for steps whose hints do not set them.
	Job *cwl.JobHint `json:"job,omitempty"`
	// Jobs reserves the IDs job-First to job-(First+Count-1) for the run's steps. Without it, the
	// run derives the job IDs from its own ID and the paths of the calls.
	Jobs *struct {
		First int64 `json:"first"`
		Count int   `json:"count"`
	} `json:"jobs,omitempty"`
}

var (
	compressor, _   = zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	decompressor, _ = zstd.NewReader(
		nil,
		zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderMaxMemory(uint64(cwl.DefaultLimits.Bytes)),
	)
)

// Pack compresses a document for a submission.
func Pack(document []byte) []byte { return compressor.EncodeAll(document, nil) }

// decompress reverses Pack. It returns an error if the document has more than limit bytes.
func decompress(b []byte, limit int) ([]byte, error) {
	d, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(uint64(limit)))
	if err != nil {
		return nil, err
	}
	defer d.Close()
	out, err := d.DecodeAll(b, nil)
	if errors.Is(err, zstd.ErrDecoderSizeExceeded) || errors.Is(err, zstd.ErrWindowSizeExceeded) {
		return nil, fmt.Errorf("packed: the document has more than %d bytes", limit)
	}
	if err != nil {
		return nil, fmt.Errorf("packed: %w", err)
	}
	return out, nil
}

// maxStoredChars bounds the characters of a run's compressed document and inputs in the state
// service, because one transaction of at most 64 KiB writes all of them.
const maxStoredChars = 48 << 10

// encodePages encodes a submission as values of at most valueBytes for the state service.
func encodePages(s *Submission, valueBytes int) ([]json.RawMessage, error) {
	text := base64.StdEncoding.EncodeToString(compressor.EncodeAll(extension.Encode(s), nil))
	if len(text) > maxStoredChars {
		return nil, fmt.Errorf("document and inputs take %d bytes compressed, more than %d", len(text), maxStoredChars)
	}
	var out []json.RawMessage
	for size := valueBytes - 2; len(text) > 0; {
		n := min(size, len(text))
		out = append(out, extension.Encode(text[:n]))
		text = text[n:]
	}
	return out, nil
}

// decodePages decodes the output of encodePages.
func decodePages(values []json.RawMessage) (*Submission, error) {
	var text strings.Builder
	for _, v := range values {
		var s string
		if err := json.Unmarshal(v, &s); err != nil {
			return nil, err
		}
		text.WriteString(s)
	}
	b, err := base64.StdEncoding.DecodeString(text.String())
	if err != nil {
		return nil, err
	}
	if b, err = decompressor.DecodeAll(b, nil); err != nil {
		return nil, err
	}
	var s Submission
	return &s, decodeSubmission(b, &s)
}

// decodeSubmission decodes a submission from JSON. Integers in the inputs stay integers.
func decodeSubmission(b []byte, s *Submission) error {
	if err := json.Unmarshal(b, s); err != nil {
		return err
	}
	var raw struct {
		Inputs json.RawMessage `json:"inputs"`
	}
	if err := json.Unmarshal(b, &raw); err != nil || raw.Inputs == nil {
		return err
	}
	v, err := cwl.DecodeJSON(raw.Inputs)
	if m, ok := v.(map[string]any); ok {
		s.Inputs = m
	}
	return err
}

// loadDocument parses a submission's document. It first decompresses a packed one into Document.
func (s *Submission) loadDocument(limits cwl.Limits) (*cwl.Process, error) {
	if len(s.Packed) > 0 {
		b, err := decompress(s.Packed, limits.Bytes)
		if err != nil {
			return nil, err
		}
		if !json.Valid(b) {
			return nil, errors.New("packed: the document is no JSON")
		}
		s.Document, s.Packed = b, nil
	}
	return limits.Load("document", func(name string) ([]byte, error) {
		if name != "document" {
			return nil, fmt.Errorf("a submission is one document; pack it first")
		}
		return s.Document, nil
	})
}

// jobIDOf returns the ID of a call's job: the reserved ID at the call's number if first is positive,
// otherwise an ID derived from the run and the path.
func jobIDOf(run, path string, first int64, numbers map[string]int) string {
	if first > 0 {
		return "job-" + strconv.FormatInt(first+int64(numbers[path]), 10)
	}
	h := fnv.New64a()
	h.Write([]byte(run))
	h.Write([]byte{0})
	h.Write([]byte(path))
	return "job-" + strconv.FormatUint(1e15+h.Sum64()%9e15, 10)
}

// numberTools numbers the tools that a process's steps run, by path. It returns an error for a
// scattered subworkflow, because the number of its tools depends on the inputs.
func numberTools(p *cwl.Process, path string, numbers map[string]int) error {
	if p.Class != cwl.Flow {
		p = singleStepWorkflow(p)
	}
	for _, s := range p.Steps {
		stepPath := s.ID
		if path != "" {
			stepPath = path + "/" + stepPath
		}
		switch s.Run.Class {
		case cwl.Tool:
			numbers[stepPath] = len(numbers)
		case cwl.Flow:
			if len(s.Scatter) > 0 {
				return fmt.Errorf(
					"step %s scatters a workflow: its jobs cannot be counted beforehand, so none can be reserved",
					stepPath,
				)
			}
			if err := numberTools(s.Run, stepPath, numbers); err != nil {
				return err
			}
		}
	}
	return nil
}
