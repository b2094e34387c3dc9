package cwl

import (
	"bytes"
	"fmt"
	"path"
	"slices"
	"strings"

	"go.yaml.in/yaml/v3"
)

// value is a value in a document, with its position. Depending on kind, its content is in data (a scalar, nil for
// null), fields or items.
type value struct {
	Pos
	data   any
	fields []field
	items  []*value
	kind   valueKind
}

// valueKind determines which field of a value holds its content.
type valueKind uint8

const (
	scalar valueKind = iota
	object
	array
)

// field is a field of an object. at is the position of its key.
type field struct {
	key string
	at  Pos
	v   *value
}

// get returns the value of an object's field, or nil if there is no such field.
func (v *value) get(key string) *value {
	for _, f := range v.fields {
		if f.key == key {
			return f.v
		}
	}
	return nil
}

// text returns the string in a value. ok is false if the value is not a string.
func (v *value) text() (string, bool) {
	s, ok := v.data.(string)
	return s, ok && v.kind == scalar
}

// plain converts a value to the types that encoding/json decodes to, except that whole numbers are int64.
func (v *value) plain() any {
	switch v.kind {
	case object:
		m := make(map[string]any, len(v.fields))
		for _, f := range v.fields {
			m[f.key] = f.v.plain()
		}
		return m
	case array:
		l := make([]any, len(v.items))
		for i, x := range v.items {
			l[i] = x.plain()
		}
		return l
	}
	return v.data
}

// Open returns the content of a file that a document refers to. The text of its error is included in the resulting
// Error.
type Open func(name string) ([]byte, error)

// loader reads files into values and resolves $import and $include.
type loader struct {
	open      Open
	limits    Limits
	nodes     int
	files     map[string]*value // files already read, keyed by name
	fileStack []string          // names of the files that are being read, outermost first; detects cycles
	errs      Errors
}

// fail records a problem, unless maxErrors problems are already recorded.
func (l *loader) fail(p Pos, field, format string, a ...any) {
	if len(l.errs) < maxErrors {
		l.errs = append(l.errs, Error{p, field, fmt.Sprintf(format, a...)})
	}
}

// file reads a file, or returns its value if the file was read before. It returns nil after an error. from is the
// position of the reference to the file.
func (l *loader) file(name string, from Pos) *value {
	if v, ok := l.files[name]; ok {
		return v
	}
	if slices.Contains(l.fileStack, name) {
		l.fail(from, "", "%s includes itself: %s", name, strings.Join(append(l.fileStack, name), ", "))
		return nil
	}
	b, err := l.open(name)
	if err != nil {
		l.fail(from, "", "cannot read %s: %v", name, err)
		return nil
	}
	if len(b) > l.limits.Bytes {
		l.fail(Pos{name, 1, 1}, "", "the document has %d bytes, more than %d", len(b), l.limits.Bytes)
		return nil
	}
	var n yaml.Node
	dec := yaml.NewDecoder(bytes.NewReader(b))
	if err := dec.Decode(&n); err != nil {
		l.fail(yamlPos(name, err), "", "%s", strings.TrimPrefix(err.Error(), "yaml: "))
		return nil
	}
	if err := dec.Decode(new(yaml.Node)); err == nil {
		l.fail(Pos{name, 1, 1}, "", "more than one document in the file")
		return nil
	}
	l.fileStack = append(l.fileStack, name)
	v := l.value(name, &n, 0)
	l.fileStack = l.fileStack[:len(l.fileStack)-1]
	l.files[name] = v
	return v
}

// yamlPos extracts the line number from an error message of the YAML parser, whose errors have no field for it.
func yamlPos(file string, err error) Pos {
	p := Pos{file, 1, 1}
	if _, rest, ok := strings.Cut(err.Error(), "line "); ok {
		fmt.Sscanf(rest, "%d", &p.Line)
	}
	return p
}

// value converts a YAML node and its children to a value, within the limits.
func (l *loader) value(file string, n *yaml.Node, depth int) *value {
	at := Pos{file, max(1, n.Line), max(1, n.Column)}
	if !l.isWithinLimits(at, depth) {
		return &value{Pos: at}
	}
	switch n.Kind {
	case yaml.DocumentNode:
		return l.value(file, n.Content[0], depth)
	case yaml.AliasNode:
		return l.value(file, n.Alias, depth+1)
	case yaml.SequenceNode:
		v := &value{Pos: at, kind: array, items: []*value{}}
		for _, c := range n.Content {
			v.items = append(v.items, l.value(file, c, depth+1))
		}
		return v
	case yaml.MappingNode:
		v := &value{Pos: at, kind: object, fields: l.mappingFields(file, n, depth)}
		return l.directive(file, v)
	case yaml.ScalarNode:
		return &value{Pos: at, data: l.scalarData(n, at)}
	}
	return &value{Pos: at}
}

// isWithinLimits counts a value and reports whether the limits on count and depth are still met.
func (l *loader) isWithinLimits(at Pos, depth int) bool {
	l.nodes++
	if l.nodes == l.limits.Nodes+1 {
		l.fail(at, "", "the document has more than %d values once its aliases are followed", l.limits.Nodes)
	}
	if l.nodes > l.limits.Nodes {
		return false
	}
	if depth > l.limits.Depth {
		l.fail(at, "", "values are nested more than %d deep", l.limits.Depth)
		return false
	}
	return true
}

// mappingFields reads the fields of an object. Fields with an invalid key are omitted.
func (l *loader) mappingFields(file string, n *yaml.Node, depth int) (fields []field) {
	seen := map[string]bool{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		key := n.Content[i]
		at := Pos{file, key.Line, key.Column}
		switch {
		case key.Kind != yaml.ScalarNode:
			l.fail(at, "", "a key must be a text")
			continue
		case key.Tag == "!!merge":
			l.fail(at, "<<", "merge keys are not taken")
			continue
		case seen[key.Value]:
			l.fail(at, key.Value, "the key stands here twice")
			continue
		}
		seen[key.Value] = true
		fields = append(fields, field{key.Value, at, l.value(file, n.Content[i+1], depth+1)})
	}
	return fields
}

// scalarData returns the content of a scalar. A whole number that does not fit in an int64 becomes a float64.
func (l *loader) scalarData(n *yaml.Node, at Pos) (data any) {
	switch n.Tag {
	case "!!null":
		return nil
	case "!!bool", "!!int", "!!float":
	default:
		return n.Value
	}
	if err := n.Decode(&data); err != nil {
		l.fail(at, "", "%q is no number", n.Value)
	}
	switch x := data.(type) {
	case int:
		return int64(x)
	case uint64:
		return float64(x)
	}
	return data
}

// directive replaces an $import or $include object with the content of the file that it refers to.
func (l *loader) directive(file string, v *value) *value {
	if len(v.fields) != 1 {
		return v
	}
	f := v.fields[0]
	if f.key != "$import" && f.key != "$include" && f.key != "$mixin" {
		return v
	}
	name, ok := f.v.text()
	if !ok {
		l.fail(f.at, f.key, "must name a file")
		return v
	}
	if f.key == "$mixin" {
		l.fail(f.at, f.key, "is not taken")
		return v
	}
	name = l.name(file, name, f.at)
	if name == "" {
		return v
	}
	if f.key == "$import" {
		if imported := l.file(name, f.at); imported != nil {
			return imported
		}
		return v
	}
	b, err := l.open(name)
	if err != nil {
		l.fail(f.at, f.key, "cannot read %s: %v", name, err)
		return v
	}
	return &value{Pos: v.Pos, data: string(b)}
}

// name resolves a reference from one file to another, and returns the name of the referenced file. It returns an
// empty string after an error.
func (l *loader) name(from, name string, at Pos) string {
	if strings.Contains(name, "://") {
		l.fail(at, "", "%s: documents are not fetched from the network", name)
		return ""
	}
	if path.IsAbs(name) {
		return path.Clean(name)
	}
	return path.Join(path.Dir(from), name)
}
