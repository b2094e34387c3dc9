package workflow

import (
	"encoding/json"

	"github.com/grebedock/grebedock/cwl"
	"github.com/grebedock/grebedock/extension"
)

// Data is a request to the storage of job descriptions and outputs. It writes Description if that
// is set, and otherwise reads the outputs of all tasks of the job.
type Data struct {
	Job         string
	Description []byte
	Tasks       int
}

// DataResult is the response to a Data request. Missing is the reason why outputs are missing or
// unreadable, which a retry does not change. After Err, a retry may succeed.
type DataResult struct {
	Outputs []map[string]any
	Missing string
	Err     error
}

// description is the stored form of a call, from which workers run its tasks.
type description struct {
	Tool   map[string]any   `json:"tool"`
	Inputs []map[string]any `json:"inputs"`
}

// EncodeDescription encodes a call for the workers.
func EncodeDescription(c *Call) []byte {
	return extension.Encode(description{cwl.Pack(c.Tool), c.Inputs})
}

// DecodeDescription decodes the output of EncodeDescription: the tool and the inputs of its tasks.
func DecodeDescription(b []byte) (*cwl.Process, []map[string]any, error) {
	var d struct {
		Tool   json.RawMessage `json:"tool"`
		Inputs json.RawMessage `json:"inputs"`
	}
	if err := json.Unmarshal(b, &d); err != nil {
		return nil, nil, err
	}
	p, err := cwl.Load("tool", func(string) ([]byte, error) { return d.Tool, nil })
	if err != nil {
		return nil, nil, err
	}
	v, err := cwl.DecodeJSON(d.Inputs)
	if err != nil {
		return nil, nil, err
	}
	list, _ := v.([]any)
	ins := make([]map[string]any, len(list))
	for i := range list {
		ins[i], _ = list[i].(map[string]any)
	}
	return p, ins, nil
}
