package cwl

import (
	"fmt"
	"slices"
	"strings"
)

// Version is the version of the language that is read.
const Version = "v1.2"

// JobHintClass is the class of grebedock's hint, as documents write it: with the
// namespace of the project, or with any prefix that is declared for it.
const JobHintClass = "https://grebedock.example/cwl#Job"

// builder turns values into processes.
type builder struct {
	*loader
	graph   map[string]*value // processes of a $graph, by id
	spaces  map[string]string // declared namespaces
	running []string          // processes that are being built
}

// Load reads the process that name names: a file, or a part of its $graph after
// a "#". What is wrong with it is an Errors.
func Load(name string, open Open) (*Process, error) { return DefaultLimits.Load(name, open) }

// Load is Load within these limits.
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

// process builds the process of a file.
func (l *loader) process(file, part string, from Pos, running []string) *Process {
	v := l.file(file, from)
	if v == nil {
		return nil
	}
	if v.kind != object {
		l.fail(v.Pos, "", "a process must be an object")
		return nil
	}
	b := &builder{loader: l, spaces: map[string]string{}, running: running}
	if ns := v.get("$namespaces"); ns != nil {
		for _, f := range ns.fields {
			if s, ok := f.v.text(); ok {
				b.spaces[f.key] = s
			}
		}
	}
	if s, ok := textOf(v.get("cwlVersion")); !ok {
		l.fail(v.Pos, "cwlVersion", "is missing")
	} else if s != Version {
		l.fail(v.get("cwlVersion").Pos, "cwlVersion", "is %q, only %s is taken", s, Version)
	}
	g := v.get("$graph")
	if g == nil {
		if part != "" {
			if id, _ := textOf(v.get("id")); shortID(id) != shortID(part) {
				l.fail(from, "", "%s has no process %q", file, part)
				return nil
			}
		}
		return b.processOf(v, file, Requirements{})
	}
	b.graph = map[string]*value{}
	for _, x := range g.items {
		id, _ := textOf(x.get("id"))
		if id == "" {
			l.fail(x.Pos, "$graph", "a process needs an id")
			continue
		}
		if b.graph[shortID(id)] != nil {
			l.fail(x.Pos, "$graph", "the id %q is there twice", id)
		}
		b.graph[shortID(id)] = x
	}
	if part == "" {
		part = "main"
		if len(g.items) == 1 {
			id, _ := textOf(g.items[0].get("id"))
			part = shortID(id)
		}
	}
	x := b.graph[shortID(part)]
	if x == nil {
		l.fail(from, "", "%s has no process %q", file, part)
		return nil
	}
	return b.processOf(x, file+"#"+shortID(part), Requirements{})
}

// known are the fields of the language by the kind of object.
var known = map[string][]string{
	"process": {
		"id",
		"class",
		"label",
		"doc",
		"inputs",
		"outputs",
		"requirements",
		"hints",
		"cwlVersion",
		"intent",
		"$namespaces",
		"$schemas",
		"$graph",
		"steps",
		"expression",
	},
	"tool": {
		"baseCommand",
		"arguments",
		"stdin",
		"stdout",
		"stderr",
		"successCodes",
		"temporaryFailCodes",
		"permanentFailCodes",
	},
	"input": {
		"id",
		"label",
		"doc",
		"type",
		"default",
		"inputBinding",
		"secondaryFiles",
		"streamable",
		"format",
		"loadContents",
		"loadListing",
	},
	"output": {
		"id",
		"label",
		"doc",
		"type",
		"outputBinding",
		"secondaryFiles",
		"streamable",
		"format",
		"outputSource",
		"linkMerge",
		"pickValue",
	},
	"step": {"id", "label", "doc", "in", "out", "run", "scatter", "scatterMethod", "when", "requirements", "hints"},
	"stepin": {
		"id",
		"label",
		"doc",
		"source",
		"linkMerge",
		"pickValue",
		"default",
		"valueFrom",
		"loadContents",
		"loadListing",
	},
}

func (b *builder) check(v *value, at string, kinds ...string) {
	for _, f := range v.fields {
		ok := strings.ContainsAny(f.key, ":") // extensions of others
		for _, k := range kinds {
			ok = ok || slices.Contains(known[k], f.key)
		}
		if !ok {
			b.fail(f.at, join(at, f.key), "is no field of %s", Version)
		}
	}
}

func join(at, key string) string {
	if at == "" {
		return key
	}
	return at + "." + key
}

func (b *builder) processOf(v *value, name string, outer Requirements) *Process {
	if slices.Contains(b.running, name) {
		b.fail(v.Pos, "run", "runs itself: %s", strings.Join(append(b.running, name), ", "))
		return nil
	}
	if len(b.running) > b.limits.Depth {
		b.fail(v.Pos, "run", "processes run each other more than %d deep", b.limits.Depth)
		return nil
	}
	b.running = append(b.running, name)
	defer func() { b.running = b.running[:len(b.running)-1] }()
	p := &Process{Pos: v.Pos, src: v}
	class, _ := textOf(v.get("class"))
	p.Class = Class(class)
	id, _ := textOf(v.get("id"))
	p.ID = shortID(id)
	switch p.Class {
	case Tool:
		b.check(v, "", "process", "tool")
	case Expression:
		b.check(v, "", "process")
	case Flow:
		b.check(v, "", "process")
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

type entry struct {
	id string
	v  *value
	at Pos
}

// idMap reads a list of objects with ids, or an object by id whose values may be
// short for one field.
func (b *builder) idMap(v *value, at, idKey, short string) []entry {
	if v == nil || v.kind == scalar && v.data == nil {
		return nil
	}
	var out []entry
	switch v.kind {
	case array:
		for _, x := range v.items {
			id, ok := textOf(x.get(idKey))
			if x.kind != object || !ok {
				if s, isText := x.text(); isText && short == "" {
					out = append(out, entry{shortID(s), &value{Pos: x.Pos, kind: object}, x.Pos})
					continue
				}
				b.fail(x.Pos, at, "needs %s", idKey)
				continue
			}
			if idKey == "id" || idKey == "name" {
				id = shortID(id)
			}
			out = append(out, entry{id, x, x.Pos})
		}
	case object:
		for _, f := range v.fields {
			x := f.v
			if x.kind != object || short == "type" && x.get("type") == nil {
				x = &value{Pos: x.Pos, kind: object, fields: []field{{short, f.at, f.v}}}
				if short == "" || f.v.kind == scalar && f.v.data == nil {
					x.fields = nil
				}
			}
			out = append(out, entry{f.key, x, f.at})
		}
	default:
		b.fail(v.Pos, at, "must be a list or an object")
	}
	seen := map[string]bool{}
	for _, e := range out {
		if seen[e.id] && idKey != "class" {
			b.fail(e.at, at, "%q is there twice", e.id)
		}
		seen[e.id] = true
	}
	return out
}

func (b *builder) tool(p *Process, v *value) {
	p.BaseCommand = texts(v.get("baseCommand"))
	if x := v.get("arguments"); x != nil {
		for i, a := range x.items {
			at := fmt.Sprintf("arguments[%d]", i)
			if a.kind == object {
				bd := b.binding(a, at)
				if a.get("valueFrom") == nil {
					b.fail(a.Pos, at, "an argument needs valueFrom")
				}
				b.expr(a.get("valueFrom"), at+".valueFrom", p.Req)
				p.Arguments = append(p.Arguments, *bd)
				continue
			}
			b.expr(a, at, p.Req)
			p.Arguments = append(p.Arguments, Binding{ValueFrom: scalarText(a.data)})
		}
	}
	if len(p.BaseCommand) == 0 && len(p.Arguments) == 0 {
		b.fail(v.Pos, "baseCommand", "is missing, and so is arguments")
	}
	for _, f := range []struct {
		name string
		to   *string
	}{{"stdin", &p.Stdin}, {"stdout", &p.Stdout}, {"stderr", &p.Stderr}} {
		if s, ok := textOf(v.get(f.name)); ok {
			*f.to = s
			b.expr(v.get(f.name), f.name, p.Req)
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

// Walk visits a process and all that its steps run.
func (p *Process) Walk(visit func(*Process)) {
	visit(p)
	for _, s := range p.Steps {
		if s.Run != nil {
			s.Run.Walk(visit)
		}
	}
}
