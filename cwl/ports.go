package cwl

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// inputs reads the inputs of a process. defs are the types that the process defines.
func (b *builder) inputs(p *Process, v *value, defs map[string]*Type) {
	if v.get("inputs") == nil {
		b.fail(v.Pos, "inputs", "is missing")
	}
	for _, e := range b.idMap(v.get("inputs"), "inputs", "id", "type") {
		p.Inputs = append(p.Inputs, b.input(p, e, defs))
	}
}

func (b *builder) input(p *Process, e entry, defs map[string]*Type) Input {
	path := "inputs." + e.id
	b.check(e.v, path, inputObject)
	in := Input{Pos: e.at, ID: e.id, LoadContents: boolOf(e.v.get("loadContents"))}
	t := e.v.get("type")
	name, _ := textOf(t)
	switch {
	case name == "stdin":
		in.Type = &Type{Name: "File"}
		p.Stdin = "$(inputs." + e.id + ".path)"
	case t == nil:
		b.fail(e.at, path, "type is missing")
		in.Type = &Type{Name: "Any"}
	default:
		in.Type = b.parseType(t, path, defs)
	}
	if d := e.v.get("default"); d != nil {
		in.Default, in.HasDefault = d.plain(), true
		if err := checkValue(in.Type, in.Default); err != nil && in.Default != nil {
			b.fail(d.Pos, path+".default", "%v", err)
		}
	}
	if x := e.v.get("inputBinding"); x != nil {
		in.Binding = b.binding(x, path+".inputBinding")
		b.expr(x.get("valueFrom"), path+".inputBinding.valueFrom", p.Req)
		in.LoadContents = in.LoadContents || in.Binding.LoadContents
	}
	in.Secondary = b.secondary(e.v.get("secondaryFiles"), path+".secondaryFiles", p.Req)
	return in
}

// outputs reads the outputs of a process. defs are the types that the process defines.
func (b *builder) outputs(p *Process, v *value, defs map[string]*Type) {
	if v.get("outputs") == nil {
		b.fail(v.Pos, "outputs", "is missing")
	}
	for _, e := range b.idMap(v.get("outputs"), "outputs", "id", "type") {
		p.Outputs = append(p.Outputs, b.output(p, v, e, defs))
	}
}

// output reads an output of the process whose source is v.
func (b *builder) output(p *Process, v *value, e entry, defs map[string]*Type) Output {
	path := "outputs." + e.id
	b.check(e.v, path, outputObject)
	o := Output{Pos: e.at, ID: e.id}
	o.Secondary = b.secondary(e.v.get("secondaryFiles"), path+".secondaryFiles", p.Req)
	t := e.v.get("type")
	switch name, _ := textOf(t); name {
	case "stdout":
		o.Type, o.Glob = &Type{Name: "File"}, []string{streamFile(&p.Stdout, v, name, p.ID, e.id)}
	case "stderr":
		o.Type, o.Glob = &Type{Name: "File"}, []string{streamFile(&p.Stderr, v, name, p.ID, e.id)}
	default:
		if t == nil {
			b.fail(e.at, path, "type is missing")
		}
		o.Type = b.parseType(t, path, defs)
	}
	if x := e.v.get("outputBinding"); x != nil {
		o.Glob = texts(x.get("glob"))
		o.LoadContents = boolOf(x.get("loadContents"))
		o.OutputEval, _ = textOf(x.get("outputEval"))
		b.expr(x.get("glob"), path+".outputBinding.glob", p.Req)
		b.expr(x.get("outputEval"), path+".outputBinding.outputEval", p.Req)
	}
	if p.Class == Flow {
		o.Link = b.link(e.v, "outputSource", path)
		if len(o.Link.Source) == 0 {
			b.fail(e.at, path, "outputSource is missing")
		}
	}
	return o
}

// streamFile sets and returns the file name of a standard stream that is used as an output. It is the name given in
// the tool v, or else a name derived from the process and the output.
func streamFile(name *string, v *value, stream, process, output string) string {
	*name = process + "_" + output + "." + stream
	if given, ok := textOf(v.get(stream)); ok {
		*name = given
	}
	return *name
}

// boolOf returns the boolean in a value, or false if the value is not a boolean.
func boolOf(v *value) bool {
	if v == nil {
		return false
	}
	ok, _ := v.data.(bool)
	return ok
}

// texts returns the strings in a value that is a string or a list.
func texts(v *value) []string {
	if v == nil {
		return nil
	}
	if s, ok := v.text(); ok {
		return []string{s}
	}
	var out []string
	for _, x := range v.items {
		if s, ok := x.text(); ok {
			out = append(out, s)
		}
	}
	return out
}

// secondary reads secondaryFiles.
func (b *builder) secondary(v *value, path string, req Requirements) []Secondary {
	if v == nil {
		return nil
	}
	items := v.items
	if v.kind != array {
		items = []*value{v}
	}
	var out []Secondary
	for _, x := range items {
		s := secondaryOf(x)
		if s.Pattern == "" {
			b.fail(x.Pos, path, "needs a pattern")
		}
		b.expr(&value{Pos: x.Pos, data: s.Pattern}, path, req)
		out = append(out, s)
	}
	return out
}

// secondaryOf reads one entry of secondaryFiles: an object, or a pattern to which ? is appended if the file is
// optional.
func secondaryOf(x *value) (s Secondary) {
	if text, ok := x.text(); ok {
		if pattern, isOptional := strings.CutSuffix(text, "?"); isOptional {
			return Secondary{Pattern: pattern, Required: "false"}
		}
		return Secondary{Pattern: text}
	}
	if x.kind != object {
		return Secondary{}
	}
	s.Pattern, _ = textOf(x.get("pattern"))
	if r := x.get("required"); r != nil {
		s.Required = fmt.Sprint(r.data)
	}
	return s
}

// bindingFields are the fields of a CommandLineBinding.
var bindingFields = []string{
	"position", "prefix", "separate", "itemSeparator", "valueFrom", "shellQuote", "loadContents",
}

// binding reads a CommandLineBinding.
func (b *builder) binding(v *value, path string) *Binding {
	bd := &Binding{LoadContents: boolOf(v.get("loadContents"))}
	if p := v.get("position"); p != nil {
		bd.Position = fmt.Sprint(p.data)
	}
	bd.Prefix, _ = textOf(v.get("prefix"))
	if s := v.get("separate"); s != nil {
		bd.NoSeparate = s.data == false
	}
	bd.ItemSeparator, bd.HasSeparator = textOf(v.get("itemSeparator"))
	if x := v.get("valueFrom"); x != nil {
		bd.ValueFrom = scalarText(x.data)
	}
	if s := v.get("shellQuote"); s != nil {
		bd.NoQuote = s.data == false
	}
	for _, f := range v.fields {
		if !slices.Contains(bindingFields, f.key) {
			b.fail(f.at, joinPath(path, f.key), "is no field of %s", Version)
		}
	}
	return bd
}

// scalarText returns a scalar as a string.
func scalarText(x any) string {
	switch x := x.(type) {
	case nil:
		return ""
	case string:
		return x
	case float64:
		return strconv.FormatFloat(x, 'f', -1, 64)
	}
	return fmt.Sprint(x)
}

// schemaDefs reads the types that a process defines in SchemaDefRequirement, keyed by name.
func (b *builder) schemaDefs(v *value) map[string]*Type {
	defs := map[string]*Type{}
	for _, list := range []string{"hints", "requirements"} {
		for _, e := range b.idMap(v.get(list), list, "class", "") {
			if types := e.v.get("types"); e.id == "SchemaDefRequirement" && types != nil {
				b.addSchemaDefs(defs, types.items, list+".SchemaDefRequirement")
			}
		}
	}
	return defs
}

// addSchemaDefs reads named types into defs. A type may refer to the types defined before it.
func (b *builder) addSchemaDefs(defs map[string]*Type, types []*value, path string) {
	for _, x := range types {
		if name, ok := textOf(x.get("name")); ok {
			id := shortID(name)
			defs[id] = b.parseType(x, path+"."+id, defs)
		}
	}
}
