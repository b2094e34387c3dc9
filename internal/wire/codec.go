package wire

import (
	"bytes"
	"encoding/json"
	"fmt"

	fast "github.com/segmentio/encoding/json"
)

// maxQuickNesting bounds the objects and arrays in a body for the quick decoder.
// That decoder recurses without a depth limit, so a malicious body of brackets
// would cost megabytes of stack; the standard decoder has a depth limit.
const maxQuickNesting = 1000

// decode parses bodies from workers and services. The standard decoder took an
// eighth of a small controller's CPU time for heartbeats alone; the quick decoder
// takes a quarter of that. Strings are copied out of the body.
func decode(body []byte, v any) error {
	if bytes.Count(body, []byte{'{'})+bytes.Count(body, []byte{'['}) > maxQuickNesting {
		return json.Unmarshal(body, v)
	}
	return fast.Unmarshal(body, v)
}

// mustEncode encodes a body of this package. All its types can be encoded as
// JSON.
func mustEncode(v any) []byte {
	out, err := fast.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("wire: cannot encode %T: %v", v, err))
	}
	return out
}
