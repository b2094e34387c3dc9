package wire

import (
	"bytes"
	"encoding/json"
	"fmt"

	fast "github.com/segmentio/encoding/json"
)

// maxQuickNesting bounds the objects and arrays in a body that the quick decoder
// takes. It follows them by recursion without a limit of depth, so that a
// hostile body of brackets would cost megabytes of stack; the standard decoder
// stops at a depth.
const maxQuickNesting = 1000

// decode reads what workers and services send. The standard decoder took an
// eighth of a small controller's processor for heartbeats alone; the quick one
// takes a quarter of that. Strings are copied out of the body.
func decode(body []byte, v any) error {
	if bytes.Count(body, []byte{'{'})+bytes.Count(body, []byte{'['}) > maxQuickNesting {
		return json.Unmarshal(body, v)
	}
	return fast.Unmarshal(body, v)
}

// mustEncode encodes a body of this package, whose types JSON can always hold.
func mustEncode(v any) []byte {
	out, err := fast.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("wire: %T does not encode: %v", v, err))
	}
	return out
}
