// Package cwl reads documents of the Common Workflow Language, version 1.2, and evaluates what they describe: processes
// with their types, the values of links and expressions, and the command line of a tool.
//
// # What it owns
//
// Nothing beyond a call. It runs no tools and uses no network; files are opened by the caller's function. [Load] reads
// a document and everything that it refers to, checks all of it, and returns a [Process]. [Pack] writes a process with
// all that it refers to as one JSON document, which Load reads back. Which parts of the specification are supported,
// refused or ignored is listed in docs/cwl.md.
//
// # What it may assume
//
// Values are what [DecodeJSON] gives: null, bool, string, int64, float64, []any and map[string]any. A Process does not
// change once it is loaded, and may then be used by several goroutines. Documents and expressions are not trusted.
//
// # What it promises
//
// All problems of a document, up to a bound, come back as [Errors], each with file, line, column and field. An
// expression has the same value every time: there is neither a clock nor randomness. It can't change the values that it
// reads.
//
// # Failures
//
// Hostile documents and expressions: [Limits] bound what a document costs its reader, and an evaluation ends after a
// time and an amount of memory, with an error. A process that includes or runs itself is an error.
package cwl

import (
	"fmt"
	"strings"
)

// Limits bound what a document may cost its reader: a value takes some 500 bytes while a document is read.
type Limits struct {
	Bytes int // of one file
	Nodes int // values in a document with all that it includes, aliases counted each time
	Depth int // of nested values, and of processes that run processes
}

// DefaultLimits are far above what people write, and low enough that a hostile document costs a reader with plenty of
// memory little.
var DefaultLimits = Limits{Bytes: 16 << 20, Nodes: 400_000, Depth: 200}

// maxErrors bounds the errors that are reported of a document.
const maxErrors = 20

// Pos is a position in a document; lines and columns count from 1.
type Pos struct {
	File         string
	Line, Column int
}

func (p Pos) String() string { return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column) }

// Error is one problem of a document. Field is the path of the field that has it, or empty.
type Error struct {
	Pos
	Field string
	Msg   string
}

func (e Error) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("%s: %s", e.Pos, e.Msg)
	}
	return fmt.Sprintf("%s: %s: %s", e.Pos, e.Field, e.Msg)
}

// Errors are the problems of a document, in the order found.
type Errors []Error

func (es Errors) Error() string {
	all := make([]string, len(es))
	for i, e := range es {
		all[i] = e.Error()
	}
	return strings.Join(all, "\n")
}
