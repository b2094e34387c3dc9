package cwl

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// Type is a type of the language.
type Type struct {
	Name    string // null, boolean, int, long, float, double, string, File, Directory, Any, array, record, enum, union
	Items   *Type
	Fields  []TypeField
	Symbols []string
	Union   []*Type
	Binding *Binding // of an array's items or a record's fields
}

// TypeField is a field of a record.
type TypeField struct {
	Name    string
	Type    *Type
	Binding *Binding
}

var primitives = []string{"null", "boolean", "int", "long", "float", "double", "string", "File", "Directory", "Any"}

func (t *Type) String() string {
	switch t.Name {
	case "array":
		return t.Items.String() + "[]"
	case "union":
		parts := make([]string, len(t.Union))
		for i, u := range t.Union {
			parts[i] = u.String()
		}
		return strings.Join(parts, "|")
	}
	return t.Name
}

// Optional tells whether a value may be missing.
func (t *Type) Optional() bool {
	return t.Name == "null" ||
		t.Name == "union" && slices.ContainsFunc(t.Union, func(u *Type) bool { return u.Name == "null" })
}

func (t *Type) options() []*Type {
	if t.Name == "union" {
		return t.Union
	}
	return []*Type{t}
}

// feeds tells whether some value of type t may be one of type u: a link between
// types that share nothing is a mistake.
func (t *Type) feeds(u *Type) bool {
	for _, a := range t.options() {
		for _, b := range u.options() {
			if a.feedsOne(b) {
				return true
			}
		}
	}
	return false
}

func (t *Type) feedsOne(u *Type) bool {
	number := func(n string) int { return slices.Index([]string{"int", "long", "float", "double"}, n) }
	switch {
	case t.Name == "Any" || u.Name == "Any":
		return t.Name != "null" && u.Name != "null"
	case number(t.Name) >= 0 && number(u.Name) >= 0:
		return number(t.Name) <= number(u.Name) || number(u.Name) >= 2
	case t.Name == "enum" && u.Name == "string" || t.Name == "string" && u.Name == "enum":
		return true
	case t.Name != u.Name:
		return false
	case t.Name == "array":
		return t.Items.feeds(u.Items)
	case t.Name == "enum":
		return slices.ContainsFunc(t.Symbols, func(s string) bool { return slices.Contains(u.Symbols, s) })
	}
	return true
}

// schema is the JSON schema of a type's values. Keys that CWL adds to files are
// let be.
func (t *Type) schema() map[string]any {
	str := func(k, v string) map[string]any { return map[string]any{k: v} }
	switch t.Name {
	case "Any":
		return map[string]any{"not": str("type", "null")}
	case "int":
		return map[string]any{"type": "integer", "minimum": math.MinInt32, "maximum": math.MaxInt32}
	case "long":
		return str("type", "integer")
	case "float", "double":
		return str("type", "number")
	case "null", "boolean", "string":
		return str("type", t.Name)
	case "File", "Directory":
		return map[string]any{"type": "object", "required": []any{"class"}, "properties": map[string]any{
			"class": map[string]any{"const": t.Name}, "path": str("type", "string"), "location": str("type", "string"),
			"basename": str(
				"type",
				"string",
			), "contents": str("type", "string"), "secondaryFiles": str("type", "array"), "listing": str("type", "array"),
		}}
	case "array":
		return map[string]any{"type": "array", "items": t.Items.schema()}
	case "enum":
		l := make([]any, len(t.Symbols))
		for i, s := range t.Symbols {
			l[i] = s
		}
		return map[string]any{"enum": l}
	case "record":
		props, req := map[string]any{}, []any{}
		for _, f := range t.Fields {
			props[f.Name] = f.Type.schema()
			if !f.Type.Optional() {
				req = append(req, f.Name)
			}
		}
		return map[string]any{"type": "object", "properties": props, "required": req, "additionalProperties": false}
	}
	l := make([]any, len(t.Union))
	for i, u := range t.Union {
		l[i] = u.schema()
	}
	return map[string]any{"anyOf": l}
}

// parseType reads a type. defs are those that SchemaDefRequirement names.
func (b *builder) parseType(v *value, at string, defs map[string]*Type) *Type {
	bad := &Type{Name: "Any"}
	if v == nil {
		return bad
	}
	if s, ok := v.text(); ok {
		return b.namedType(v, at, s, defs)
	}
	switch v.kind {
	case array:
		return b.unionType(v, at, defs)
	case object:
		return b.objectType(v, at, defs)
	}
	b.fail(v.Pos, at, "must name a type")
	return bad
}

// unionType reads a list of types.
func (b *builder) unionType(v *value, at string, defs map[string]*Type) *Type {
	u := &Type{Name: "union"}
	for _, x := range v.items {
		u.Union = append(u.Union, b.parseType(x, at, defs).options()...)
	}
	if len(u.Union) == 1 {
		return u.Union[0]
	}
	if len(u.Union) == 0 {
		b.fail(v.Pos, at, "names no type")
	}
	return u
}

// objectType reads a type that is written out.
func (b *builder) objectType(v *value, at string, defs map[string]*Type) *Type {
	bad := &Type{Name: "Any"}
	name, _ := textOf(v.get("type"))
	var bind *Binding
	if x := v.get("inputBinding"); x != nil {
		bind = b.binding(x, at+".inputBinding")
	}
	switch name {
	case "array":
		if v.get("items") == nil {
			b.fail(v.Pos, at, "an array needs items")
			return bad
		}
		return &Type{Name: "array", Items: b.parseType(v.get("items"), at+".items", defs), Binding: bind}
	case "enum":
		t := &Type{Name: "enum"}
		if x := v.get("symbols"); x != nil {
			for _, s := range x.items {
				if str, ok := s.text(); ok {
					t.Symbols = append(t.Symbols, shortID(str))
				}
			}
		}
		if len(t.Symbols) == 0 {
			b.fail(v.Pos, at, "an enum needs symbols")
		}
		return t
	case "record":
		t := &Type{Name: "record", Binding: bind}
		for _, e := range b.idMap(v.get("fields"), at+".fields", "name", "type") {
			f := TypeField{Name: e.id, Type: b.parseType(e.v.get("type"), at+"."+e.id, defs)}
			if x := e.v.get("inputBinding"); x != nil {
				f.Binding = b.binding(x, at+"."+e.id+".inputBinding")
			}
			t.Fields = append(t.Fields, f)
		}
		return t
	}
	if x := v.get("type"); x != nil {
		return b.parseType(x, at, defs)
	}
	b.fail(v.Pos, at, "a type needs type")
	return bad
}

func (b *builder) namedType(v *value, at, s string, defs map[string]*Type) *Type {
	if t, ok := strings.CutSuffix(s, "?"); ok {
		return &Type{Name: "union", Union: append([]*Type{{Name: "null"}}, b.namedType(v, at, t, defs).options()...)}
	}
	if t, ok := strings.CutSuffix(s, "[]"); ok {
		return &Type{Name: "array", Items: b.namedType(v, at, t, defs)}
	}
	if slices.Contains(primitives, s) {
		return &Type{Name: s}
	}
	if t := defs[shortID(s)]; t != nil {
		return t
	}
	b.fail(v.Pos, at, "%q is no type", s)
	return &Type{Name: "Any"}
}

// shortID is the last part of an identifier.
func shortID(s string) string {
	if i := strings.LastIndexAny(s, "#/"); i >= 0 {
		return s[i+1:]
	}
	return s
}

func textOf(v *value) (string, bool) {
	if v == nil {
		return "", false
	}
	return v.text()
}

func typeName(x any) string {
	switch x := x.(type) {
	case nil:
		return "null"
	case bool:
		return "boolean"
	case string:
		return "string"
	case int64, float64, int:
		return "number"
	case []any:
		return "array"
	case map[string]any:
		if c, ok := x["class"].(string); ok {
			return c
		}
		return "record"
	}
	return fmt.Sprintf("%T", x)
}
