package cwl

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// Type is a CWL type. Name is one of primitives, or "array", "record", "enum" or "union".
type Type struct {
	Name    string
	Items   *Type       // element type of an array
	Fields  []TypeField // fields of a record
	Symbols []string    // symbols of an enum
	Union   []*Type     // members of a union; none of them is itself a union
	Binding *Binding    // binding of an array's items or of a record's fields
}

// TypeField is a field of a record type.
type TypeField struct {
	Name    string
	Type    *Type
	Binding *Binding
}

// primitives are the types that are not composed of other types, including Any.
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

// Optional reports whether a value of this type may be omitted.
func (t *Type) Optional() bool {
	return t.Name == "null" ||
		t.Name == "union" && slices.ContainsFunc(t.Union, func(u *Type) bool { return u.Name == "null" })
}

// options returns the members of a union, or the type itself if it is not a union.
func (t *Type) options() []*Type {
	if t.Name == "union" {
		return t.Union
	}
	return []*Type{t}
}

// compatibleWith reports whether some value of type t may also be a value of type u. A link between types without a
// common value is an error.
func (t *Type) compatibleWith(u *Type) bool {
	for _, a := range t.options() {
		for _, b := range u.options() {
			if a.nonUnionCompatibleWith(b) {
				return true
			}
		}
	}
	return false
}

// numberTypes are the numeric types. Each accepts the values of the types before it.
var numberTypes = []string{"int", "long", "float", "double"}

// nonUnionCompatibleWith is compatibleWith for types that are not unions.
func (t *Type) nonUnionCompatibleWith(u *Type) bool {
	from, to := slices.Index(numberTypes, t.Name), slices.Index(numberTypes, u.Name)
	switch {
	case t.Name == "Any" || u.Name == "Any":
		return t.Name != "null" && u.Name != "null"
	case from >= 0 && to >= 0:
		return from <= to || u.Name == "float" || u.Name == "double"
	case t.Name == "enum" && u.Name == "string" || t.Name == "string" && u.Name == "enum":
		return true
	case t.Name != u.Name:
		return false
	case t.Name == "array":
		return t.Items.compatibleWith(u.Items)
	case t.Name == "enum":
		return slices.ContainsFunc(t.Symbols, func(s string) bool { return slices.Contains(u.Symbols, s) })
	}
	return true
}

// schema returns the JSON schema of a type's values. The schema permits unknown fields in files and directories.
func (t *Type) schema() map[string]any {
	switch t.Name {
	case "Any":
		return map[string]any{"not": typeSchema("null")}
	case "int":
		return map[string]any{"type": "integer", "minimum": math.MinInt32, "maximum": math.MaxInt32}
	case "long":
		return typeSchema("integer")
	case "float", "double":
		return typeSchema("number")
	case "null", "boolean", "string":
		return typeSchema(t.Name)
	case "File", "Directory":
		return fileSchema(t.Name)
	case "array":
		return map[string]any{"type": "array", "items": t.Items.schema()}
	case "enum":
		symbols := make([]any, len(t.Symbols))
		for i, s := range t.Symbols {
			symbols[i] = s
		}
		return map[string]any{"enum": symbols}
	case "record":
		return t.recordSchema()
	}
	options := make([]any, len(t.Union))
	for i, u := range t.Union {
		options[i] = u.schema()
	}
	return map[string]any{"anyOf": options}
}

// typeSchema returns the JSON schema of all values of a JSON type.
func typeSchema(name string) map[string]any { return map[string]any{"type": name} }

// fileSchema returns the JSON schema of files or directories.
func fileSchema(class string) map[string]any {
	return map[string]any{"type": "object", "required": []any{"class"}, "properties": map[string]any{
		"class":          map[string]any{"const": class},
		"path":           typeSchema("string"),
		"location":       typeSchema("string"),
		"basename":       typeSchema("string"),
		"contents":       typeSchema("string"),
		"secondaryFiles": typeSchema("array"),
		"listing":        typeSchema("array"),
	}}
}

func (t *Type) recordSchema() map[string]any {
	properties, required := map[string]any{}, []any{}
	for _, f := range t.Fields {
		properties[f.Name] = f.Type.schema()
		if !f.Type.Optional() {
			required = append(required, f.Name)
		}
	}
	return map[string]any{
		"type":                 "object",
		"properties":           properties,
		"required":             required,
		"additionalProperties": false,
	}
}

// parseType reads a type. defs are the types that SchemaDefRequirement defines, keyed by name. After an error, the
// result is Any.
func (b *builder) parseType(v *value, path string, defs map[string]*Type) *Type {
	bad := &Type{Name: "Any"}
	if v == nil {
		return bad
	}
	if s, ok := v.text(); ok {
		return b.namedType(v, path, s, defs)
	}
	switch v.kind {
	case array:
		return b.unionType(v, path, defs)
	case object:
		return b.objectType(v, path, defs)
	}
	b.fail(v.Pos, path, "must name a type")
	return bad
}

// unionType reads a union, which is written as a list of types.
func (b *builder) unionType(v *value, path string, defs map[string]*Type) *Type {
	u := &Type{Name: "union"}
	for _, x := range v.items {
		u.Union = append(u.Union, b.parseType(x, path, defs).options()...)
	}
	if len(u.Union) == 1 {
		return u.Union[0]
	}
	if len(u.Union) == 0 {
		b.fail(v.Pos, path, "names no type")
	}
	return u
}

// objectType reads a type that is written as an object.
func (b *builder) objectType(v *value, path string, defs map[string]*Type) *Type {
	name, _ := textOf(v.get("type"))
	switch name {
	case "array":
		return b.arrayType(v, path, defs)
	case "enum":
		return b.enumType(v, path)
	case "record":
		return b.recordType(v, path, defs)
	}
	b.itemBinding(v, path)
	if x := v.get("type"); x != nil {
		return b.parseType(x, path, defs)
	}
	b.fail(v.Pos, path, "a type needs type")
	return &Type{Name: "Any"}
}

// itemBinding reads the inputBinding of a type or field. It returns nil if there is none.
func (b *builder) itemBinding(v *value, path string) *Binding {
	x := v.get("inputBinding")
	if x == nil {
		return nil
	}
	return b.binding(x, path+".inputBinding")
}

func (b *builder) arrayType(v *value, path string, defs map[string]*Type) *Type {
	binding := b.itemBinding(v, path)
	items := v.get("items")
	if items == nil {
		b.fail(v.Pos, path, "an array needs items")
		return &Type{Name: "Any"}
	}
	return &Type{Name: "array", Items: b.parseType(items, path+".items", defs), Binding: binding}
}

func (b *builder) enumType(v *value, path string) *Type {
	b.itemBinding(v, path)
	t := &Type{Name: "enum"}
	if x := v.get("symbols"); x != nil {
		for _, s := range x.items {
			if symbol, ok := s.text(); ok {
				t.Symbols = append(t.Symbols, shortID(symbol))
			}
		}
	}
	if len(t.Symbols) == 0 {
		b.fail(v.Pos, path, "an enum needs symbols")
	}
	return t
}

func (b *builder) recordType(v *value, path string, defs map[string]*Type) *Type {
	t := &Type{Name: "record", Binding: b.itemBinding(v, path)}
	for _, e := range b.idMap(v.get("fields"), path+".fields", "name", "type") {
		fieldPath := path + "." + e.id
		t.Fields = append(t.Fields, TypeField{
			Name:    e.id,
			Type:    b.parseType(e.v.get("type"), fieldPath, defs),
			Binding: b.itemBinding(e.v, fieldPath),
		})
	}
	return t
}

// namedType reads a type given by name. The suffix ? marks an optional type, and the suffix [] marks an array of the
// named type.
func (b *builder) namedType(v *value, path, s string, defs map[string]*Type) *Type {
	if t, ok := strings.CutSuffix(s, "?"); ok {
		return optional(b.namedType(v, path, t, defs))
	}
	if t, ok := strings.CutSuffix(s, "[]"); ok {
		return &Type{Name: "array", Items: b.namedType(v, path, t, defs)}
	}
	if slices.Contains(primitives, s) {
		return &Type{Name: s}
	}
	if t := defs[shortID(s)]; t != nil {
		return t
	}
	b.fail(v.Pos, path, "%q is no type", s)
	return &Type{Name: "Any"}
}

// shortID returns the last part of an identifier, after the last # or /.
func shortID(s string) string {
	if i := strings.LastIndexAny(s, "#/"); i >= 0 {
		return s[i+1:]
	}
	return s
}

// textOf returns the string in a value that may be nil. ok is false if there is none.
func textOf(v *value) (string, bool) {
	if v == nil {
		return "", false
	}
	return v.text()
}

// typeName returns the name of the type of a value, as used in error messages.
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
