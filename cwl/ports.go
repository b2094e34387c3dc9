package cwl

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

func (b *builder) inputs(p *Process, v *value, defs map[string]*Type) {
	if v.get("inputs") == nil {
		b.fail(v.Pos, "inputs", "is missing")
	}
	for _, e := range b.idMap(v.get("inputs"), "inputs", "id", "type") {
		at := "inputs." + e.id
		b.check(e.v, at, "input")
		in := Input{Pos: e.at, ID: e.id, LoadContents: flag(e.v.get("loadContents"))}
		if s, _ := textOf(e.v.get("type")); s == "stdin" {
			in.Type = &Type{Name: "File"}
			p.Stdin = "$(inputs." + e.id + ".path)"
		} else if t := e.v.get("type"); t == nil {
			b.fail(e.at, at, "type is missing")
			in.Type = &Type{Name: "Any"}
		} else {
			in.Type = b.parseType(t, at, defs)
		}
		if d := e.v.get("default"); d != nil {
			in.Default, in.HasDefault = d.plain(), true
			if err := checkValue(in.Type, in.Default); err != nil && in.Default != nil {
				b.fail(d.Pos, at+".default", "%v", err)
			}
		}
		if x := e.v.get("inputBinding"); x != nil {
			in.Binding = b.binding(x, at+".inputBinding")
			b.expr(x.get("valueFrom"), at+".inputBinding.valueFrom", p.Req)
			in.LoadContents = in.LoadContents || in.Binding.LoadContents
		}
		in.Secondary = b.secondary(e.v.get("secondaryFiles"), at+".secondaryFiles", p.Req)
		p.Inputs = append(p.Inputs, in)
	}
}

func (b *builder) outputs(p *Process, v *value, defs map[string]*Type) {
	if v.get("outputs") == nil {
		b.fail(v.Pos, "outputs", "is missing")
	}
	for _, e := range b.idMap(v.get("outputs"), "outputs", "id", "type") {
		at := "outputs." + e.id
		b.check(e.v, at, "output")
		o := Output{Pos: e.at, ID: e.id, Secondary: b.secondary(e.v.get("secondaryFiles"), at+".secondaryFiles", p.Req)}
		switch s, _ := textOf(e.v.get("type")); s {
		case "stdout", "stderr":
			o.Type = &Type{Name: "File"}
			name := &p.Stdout
			if s == "stderr" {
				name = &p.Stderr
			}
			if src, ok := textOf(v.get(s)); ok {
				*name = src
			} else {
				*name = p.ID + "_" + e.id + "." + s
			}
			o.Glob = []string{*name}
		default:
			if e.v.get("type") == nil {
				b.fail(e.at, at, "type is missing")
			}
			o.Type = b.parseType(e.v.get("type"), at, defs)
		}
		if x := e.v.get("outputBinding"); x != nil {
			o.Glob = texts(x.get("glob"))
			o.LoadContents = flag(x.get("loadContents"))
			o.OutputEval, _ = textOf(x.get("outputEval"))
			b.expr(x.get("glob"), at+".outputBinding.glob", p.Req)
			b.expr(x.get("outputEval"), at+".outputBinding.outputEval", p.Req)
		}
		if p.Class == Flow {
			o.Link = b.link(e.v, "outputSource", at)
			if len(o.Link.Source) == 0 {
				b.fail(e.at, at, "outputSource is missing")
			}
		}
		p.Outputs = append(p.Outputs, o)
	}
}

func flag(v *value) bool {
	if v == nil {
		return false
	}
	ok, _ := v.data.(bool)
	return ok
}

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

func (b *builder) secondary(v *value, at string, req Requirements) []Secondary {
	if v == nil {
		return nil
	}
	items := v.items
	if v.kind != array {
		items = []*value{v}
	}
	var out []Secondary
	for _, x := range items {
		s := Secondary{}
		if text, ok := x.text(); ok {
			s.Pattern = text
			if t, opt := strings.CutSuffix(text, "?"); opt {
				s.Pattern, s.Required = t, "false"
			}
		} else if x.kind == object {
			s.Pattern, _ = textOf(x.get("pattern"))
			if r := x.get("required"); r != nil {
				s.Required = fmt.Sprint(r.data)
			}
		}
		if s.Pattern == "" {
			b.fail(x.Pos, at, "needs a pattern")
		}
		b.expr(&value{Pos: x.Pos, data: s.Pattern}, at, req)
		out = append(out, s)
	}
	return out
}

func (b *builder) binding(v *value, at string) *Binding {
	bd := &Binding{LoadContents: flag(v.get("loadContents"))}
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
		if !slices.Contains(
			[]string{"position", "prefix", "separate", "itemSeparator", "valueFrom", "shellQuote", "loadContents"},
			f.key,
		) {
			b.fail(f.at, join(at, f.key), "is no field of %s", Version)
		}
	}
	return bd
}

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

// schemaDefs reads the types that a document names itself.
func (b *builder) schemaDefs(v *value) map[string]*Type {
	defs := map[string]*Type{}
	for _, list := range []string{"hints", "requirements"} {
		for _, e := range b.idMap(v.get(list), list, "class", "") {
			if e.id != "SchemaDefRequirement" || e.v.get("types") == nil {
				continue
			}
			for _, x := range e.v.get("types").items {
				if name, ok := textOf(x.get("name")); ok {
					defs[shortID(name)] = b.parseType(x, list+".SchemaDefRequirement."+shortID(name), defs)
				}
			}
		}
	}
	return defs
}
