// Package cwl reads documents of the Common Workflow Language (CWL), version 1.2, and evaluates them: processes and
// their types, the values of links and expressions, and the command lines of tools.
//
// # Scope
//
// The package keeps no state between calls. It runs no tools and does not use the network; the caller supplies the
// function that opens files. [Load] reads a document and everything that the document refers to, checks all of it, and
// returns a [Process]. [Pack] writes a process and everything that it refers to as one JSON document, which Load can
// read. docs/cwl.md lists the parts of the specification that are supported, rejected or ignored.
//
// # Assumptions
//
// Values have the types that [DecodeJSON] returns: null, bool, string, int64, float64, []any and map[string]any. A
// Process is immutable once loaded and is safe for concurrent use. Documents and expressions are untrusted.
//
// # Guarantees
//
// Load returns all problems of a document, up to a limit, as [Errors], each with file, line, column and field. An
// expression always evaluates to the same value, because it has access to neither a clock nor randomness. An expression
// cannot modify the values that it reads.
//
// # Failures
//
// Documents and expressions may be hostile. [Limits] bound the cost of reading a document. The evaluation of an
// expression stops with an error when it exceeds its time or memory limit. A process that includes or runs itself is
// rejected with an error.
package cwl

import (
	"fmt"
	"strings"
)

// Limits bound the cost of reading a document. A value takes about 500 bytes of memory while a document is read.
type Limits struct {
	Bytes int // maximum size of one file
	Nodes int // maximum number of values in a document and its included files; an alias counts at each use
	Depth int // maximum nesting depth, both of values and of processes that run other processes
}

// DefaultLimits are far above the size of documents written by people. They are low enough that a hostile document
// uses little of the memory of a machine with plenty of it.
var DefaultLimits = Limits{Bytes: 16 << 20, Nodes: 400_000, Depth: 200}

// maxErrors is the maximum number of errors reported for one document.
const maxErrors = 20

// Pos is a position in a document. Lines and columns start at 1.
type Pos struct {
	File         string
	Line, Column int
}

func (p Pos) String() string { return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column) }

// Error is one problem in a document. Field is the path of the affected field, or empty.
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

// Errors are the problems of a document, in the order in which they were found.
type Errors []Error

func (es Errors) Error() string {
	all := make([]string, len(es))
	for i, e := range es {
		all[i] = e.Error()
	}
	return strings.Join(all, "\n")
}
