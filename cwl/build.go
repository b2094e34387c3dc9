package cwl

import (
	"fmt"
	"slices"
	"strings"
)

// Version is the supported version of CWL.
const Version = "v1.2"

// JobHintClass is the full class name of the grebedock job hint. Documents write it with any prefix that they declare
// for the project's namespace.
const JobHintClass = "https://grebedock.example/cwl#Job"

// builder converts the values of one file into processes.
type builder struct {
	*loader
	graph        map[string]*value // processes of the $graph, keyed by ID
	namespaces   map[string]string // declared namespaces, keyed by prefix
	processStack []string          // names of the processes that are being built, outermost first; detects cycles
}

// Load reads a process. name is a file name, optionally followed by "#" and the ID of a process in the $graph of the
// file. The returned error is of type Errors.
func Load(name string, open Open) (*Process, error) { return DefaultLimits.Load(name, open) }

// Load reads a process within these limits; see the function Load.
func (limits Limits) Load(name string, open Open) (*Process, error) {
	file, part, _ := strings.Cut(name, "#")
	l := &loader{open: open, limits: limits, files: map[string]*value{}}
	p := l.process(file, part, Pos{file, 1, 1}, nil)
	if len(l.errs) == 0 && p == nil {
		l.fail(Pos{file, 1, 1}, "", "no process")
	}
	if len(l.errs) > 0 {
		return nil, l.errs
	}
	return p, nil
}

// process builds the process of a file, or one process of its $graph. from is the position of the reference, for
// errors.
func (l *loader) process(file, part string, from Pos, running []string) *Process {
	v := l.file(file, from)
	if v == nil {
		return nil
	}
	if v.kind != object {
		l.fail(v.Pos, "", "a process must be an object")
		return nil
	}
	b := &builder{loader: l, namespaces: namespacesOf(v), processStack: running}
	if s, ok := textOf(v.get("cwlVersion")); !ok {
		l.fail(v.Pos, "cwlVersion", "is missing")
	} else if s != Version {
		l.fail(v.get("cwlVersion").Pos, "cwlVersion", "is %q, only %s is taken", s, Version)
	}
	graph := v.get("$graph")
	if graph != nil {
		return b.graphProcess(graph, file, part, from)
	}
	if part != "" {
		if id, _ := textOf(v.get("id")); shortID(id) != shortID(part) {
			l.fail(from, "", "%s has no process %q", file, part)
			return nil
		}
	}
	return b.processOf(v, file, Requirements{})
}

// namespacesOf returns the namespaces that a document declares, keyed by prefix.
func namespacesOf(v *value) map[string]string {
	spaces := map[string]string{}
	declared := v.get("$namespaces")
	if declared == nil {
		return spaces
	}
	for _, f := range declared.fields {
		if s, ok := f.v.text(); ok {
			spaces[f.key] = s
		}
	}
	return spaces
}

// graphProcess builds one process of a $graph. If part is empty, it builds the only process or else the one named
// "main".
func (b *builder) graphProcess(graph *value, file, part string, from Pos) *Process {
	b.graph = map[string]*value{}
	for _, x := range graph.items {
		id, _ := textOf(x.get("id"))
		if id == "" {
			b.fail(x.Pos, "$graph", "a process needs an id")
			continue
		}
		if b.graph[shortID(id)] != nil {
			b.fail(x.Pos, "$graph", "the id %q is there twice", id)
		}
		b.graph[shortID(id)] = x
	}
	if part == "" {
		part = "main"
		if len(graph.items) == 1 {
			id, _ := textOf(graph.items[0].get("id"))
			part = shortID(id)
		}
	}
	x := b.graph[shortID(part)]
	if x == nil {
		b.fail(from, "", "%s has no process %q", file, part)
		return nil
	}
	return b.processOf(x, file+"#"+shortID(part), Requirements{})
}

// objectKind is a kind of CWL object, which determines the permitted fields.
type objectKind string

const (
	processObject   objectKind = "process"
	toolObject      objectKind = "tool"
	inputObject     objectKind = "input"
	outputObject    objectKind = "output"
	stepObject      objectKind = "step"
	stepInputObject objectKind = "stepin"
)

// allowedFields are the permitted fields for each kind of object.
var allowedFields = map[objectKind][]string{
	processObject: {
		"id", "class", "label", "doc", "inputs", "outputs", "requirements", "hints", "cwlVersion",
		"intent", "$namespaces", "$schemas", "$graph", "steps", "expression",
	},
	toolObject: {
		"baseCommand", "arguments", "stdin", "stdout", "stderr", "successCodes",
		"temporaryFailCodes", "permanentFailCodes",
	},
	inputObject: {
		"id", "label", "doc", "type", "default", "inputBinding", "secondaryFiles", "streamable",
		"format", "loadContents", "loadListing",
	},
	outputObject: {
		"id", "label", "doc", "type", "outputBinding", "secondaryFiles", "streamable", "format",
		"outputSource", "linkMerge", "pickValue",
	},
	stepObject: {
		"id", "label", "doc", "in", "out", "run", "scatter", "scatterMethod", "when",
		"requirements", "hints",
	},
	stepInputObject: {
		"id", "label", "doc", "source", "linkMerge", "pickValue", "default", "valueFrom",
		"loadContents", "loadListing",
	},
}

// check reports the fields of an object that none of the kinds permits. It accepts extension fields, whose names
// contain a prefix.
func (b *builder) check(v *value, path string, kinds ...objectKind) {
	for _, f := range v.fields {
		ok := strings.ContainsAny(f.key, ":")
		for _, k := range kinds {
			ok = ok || slices.Contains(allowedFields[k], f.key)
		}
		if !ok {
			b.fail(f.at, joinPath(path, f.key), "is no field of %s", Version)
		}
	}
}

// joinPath returns the path of the field key of the object at a path.
func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// processOf builds a process. Its name must differ from those of the processes that are being built, so that a
// process that runs itself is detected. outer are the requirements that the process inherits.
func (b *builder) processOf(v *value, name string, outer Requirements) *Process {
	if slices.Contains(b.processStack, name) {
		b.fail(v.Pos, "run", "runs itself: %s", strings.Join(append(b.processStack, name), ", "))
		return nil
	}
	if len(b.processStack) > b.limits.Depth {
		b.fail(v.Pos, "run", "processes run each other more than %d deep", b.limits.Depth)
		return nil
	}
	b.processStack = append(b.processStack, name)
	defer func() { b.processStack = b.processStack[:len(b.processStack)-1] }()
	p := &Process{Pos: v.Pos, src: v}
	class, _ := textOf(v.get("class"))
	p.Class = Class(class)
	id, _ := textOf(v.get("id"))
	p.ID = shortID(id)
	switch p.Class {
	case Tool:
		b.check(v, "", processObject, toolObject)
	case Expression:
		b.check(v, "", processObject)
	case Flow:
		b.check(v, "", processObject)
	case "Operation":
		b.fail(v.Pos, "class", "an Operation has nothing to run")
		return nil
	default:
		b.fail(v.Pos, "class", "%q is no process", class)
		return nil
	}
	p.Req = b.requirements(v, outer)
	defs := b.schemaDefs(v)
	b.inputs(p, v, defs)
	b.outputs(p, v, defs)
	switch p.Class {
	case Tool:
		b.tool(p, v)
	case Expression:
		e, ok := textOf(v.get("expression"))
		if !ok {
			b.fail(v.Pos, "expression", "is missing")
		}
		p.Expression = e
		b.expr(v.get("expression"), "expression", p.Req)
	case Flow:
		b.flow(p, v, name)
	}
	return p
}

// entry is an object with an ID.
type entry struct {
	id string
	v  *value
	at Pos
}

// idMap reads either a list of objects that hold their IDs in the field idKey, or an object keyed by ID. In an object
// keyed by ID, a value that is not an object is shorthand for an entry whose only field is short. If short is empty,
// the entry has no fields.
func (b *builder) idMap(v *value, path, idKey, short string) []entry {
	if v == nil || v.kind == scalar && v.data == nil {
		return nil
	}
	var out []entry
	switch v.kind {
	case array:
		for _, x := range v.items {
			if e, ok := b.listEntry(x, path, idKey, short); ok {
				out = append(out, e)
			}
		}
	case object:
		for _, f := range v.fields {
			out = append(out, fieldEntry(f, short))
		}
	default:
		b.fail(v.Pos, path, "must be a list or an object")
	}
	seen := map[string]bool{}
	for _, e := range out {
		if seen[e.id] && idKey != "class" {
			b.fail(e.at, path, "%q is there twice", e.id)
		}
		seen[e.id] = true
	}
	return out
}

// listEntry reads an entry of a list. If short is empty, a string is shorthand for an object that has only this ID.
func (b *builder) listEntry(x *value, path, idKey, short string) (e entry, ok bool) {
	id, hasID := textOf(x.get(idKey))
	if x.kind == object && hasID {
		if idKey == "id" || idKey == "name" {
			id = shortID(id)
		}
		return entry{id, x, x.Pos}, true
	}
	if s, isText := x.text(); isText && short == "" {
		return entry{shortID(s), &value{Pos: x.Pos, kind: object}, x.Pos}, true
	}
	b.fail(x.Pos, path, "needs %s", idKey)
	return entry{}, false
}

// fieldEntry reads an entry of an object keyed by ID.
func fieldEntry(f field, short string) entry {
	x := f.v
	isTypeItself := short == "type" && x.get("type") == nil // x is a type, not an entry with a type field
	if x.kind == object && !isTypeItself {
		return entry{f.key, x, f.at}
	}
	v := &value{Pos: x.Pos, kind: object}
	isNull := x.kind == scalar && x.data == nil
	if short != "" && !isNull {
		v.fields = []field{{short, f.at, x}}
	}
	return entry{f.key, v, f.at}
}

// tool reads the fields that are specific to a CommandLineTool.
func (b *builder) tool(p *Process, v *value) {
	p.BaseCommand = texts(v.get("baseCommand"))
	if x := v.get("arguments"); x != nil {
		for i, a := range x.items {
			p.Arguments = append(p.Arguments, b.argument(a, fmt.Sprintf("arguments[%d]", i), p.Req))
		}
	}
	if len(p.BaseCommand) == 0 && len(p.Arguments) == 0 {
		b.fail(v.Pos, "baseCommand", "is missing, and so is arguments")
	}
	for _, stream := range []struct {
		name string
		to   *string
	}{{"stdin", &p.Stdin}, {"stdout", &p.Stdout}, {"stderr", &p.Stderr}} {
		if s, ok := textOf(v.get(stream.name)); ok {
			*stream.to = s
			b.expr(v.get(stream.name), stream.name, p.Req)
		}
	}
	if x := v.get("successCodes"); x != nil {
		for _, c := range x.items {
			if n, ok := c.data.(int64); ok {
				p.SuccessCodes = append(p.SuccessCodes, int(n))
			}
		}
	}
}

// argument reads an argument of a tool: a string, a number, or a binding with valueFrom.
func (b *builder) argument(a *value, path string, req Requirements) Binding {
	if a.kind != object {
		b.expr(a, path, req)
		return Binding{ValueFrom: scalarText(a.data)}
	}
	binding := b.binding(a, path)
	if a.get("valueFrom") == nil {
		b.fail(a.Pos, path, "an argument needs valueFrom")
	}
	b.expr(a.get("valueFrom"), path+".valueFrom", req)
	return *binding
}

// Walk visits a process and all processes that its steps run. It visits a workflow before the processes of its steps.
func (p *Process) Walk(visit func(*Process)) {
	visit(p)
	for _, s := range p.Steps {
		if s.Run != nil {
			s.Run.Walk(visit)
		}
	}
}
