package workflow

import (
	"encoding/json"

	"github.com/grebedock/grebedock/cwl"
	"github.com/grebedock/grebedock/extension"
)

// Data is a request to the storage of job descriptions and outputs. With a Description it is
// written, otherwise the outputs of all tasks are read.
type Data struct {
	Job         string
	Description []byte
	Tasks       int
}

// DataResult is the response to a Data request. Missing reports that there is no such data, which
// a retry does not change.
type DataResult struct {
	Outputs []map[string]any
	Missing string
	Err     error
}

// description is what a worker needs to run a call's tasks.
type description struct {
	Tool   map[string]any   `json:"tool"`
	Inputs []map[string]any `json:"inputs"`
}

// EncodeDescription encodes a call for the workers.
func EncodeDescription(c *Call) []byte {
	return extension.Encode(description{cwl.Pack(c.Tool), c.Inputs})
}

// DecodeDescription decodes what EncodeDescription wrote.
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
