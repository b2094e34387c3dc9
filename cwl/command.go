package cwl

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Command is the command line and the environment of a tool for given inputs.
type Command struct {
	Args                  []string
	Shell                 bool // Args is a single string, to be run by a shell
	Env                   []EnvVar
	Stdin, Stdout, Stderr string  // file names; empty if none is given
	TimeLimitS            float64 // in seconds; 0 means no limit
	Files                 []Staged
}

// Staged is a file or directory that is placed in the tool's working directory before the tool starts. Its source is
// either Text or the file or directory at Path.
type Staged struct {
	Name     string // path relative to the tool's working directory, and within it
	Text     string // content of the file, used if Path is empty
	Path     string
	Writable bool // the tool may modify it, so it must be a copy and not a link
}

// sortKey determines the order of the arguments of a command line. Its elements are float64 or string and are
// compared one by one.
type sortKey []any

// word holds the arguments that one entry of arguments, one input or one field adds to a command line.
type word struct {
	key  sortKey
	text []string
	raw  bool // not quoted for the shell
}

// CommandLine builds a tool's command line. in are the inputs as returned by CheckInputs. runtime holds the values
// that expressions read as runtime, such as outdir, tmpdir, cores and ram. The error names the argument, input or
// requirement whose expression fails.
func (p *Process) CommandLine(in, runtime map[string]any) (*Command, error) {
	sc := Scope{Inputs: in, Runtime: runtime}
	c := &Command{Shell: p.Req.Shell}
	words, err := p.words(in, sc)
	if err != nil {
		return nil, err
	}
	c.Args = p.joinWords(words)
	if err := p.redirect(c, sc); err != nil {
		return nil, err
	}
	for _, e := range p.Req.Env {
		s, err := EvalText(e.Value, sc, p.Req)
		if err != nil {
			return nil, fmt.Errorf("EnvVarRequirement.%s: %w", e.Name, err)
		}
		c.Env = append(c.Env, EnvVar{e.Name, s})
	}
	if p.Req.TimeLimit != nil {
		s, err := Number(p.Req.TimeLimit, sc, p.Req)
		if err != nil || s < 0 {
			return nil, fmt.Errorf("ToolTimeLimit: %v is no time", p.Req.TimeLimit)
		}
		c.TimeLimitS = s
	}
	c.Files, err = p.staged(sc)
	return c, err
}

// words returns the arguments that follow the base command, in order.
func (p *Process) words(in map[string]any, sc Scope) ([]word, error) {
	var words []word
	for i, a := range p.Arguments {
		pos, err := position(&a, sc, p.Req)
		if err != nil {
			return nil, fmt.Errorf("arguments[%d]: %w", i, err)
		}
		v, err := Eval(a.ValueFrom, sc, p.Req)
		if err != nil {
			return nil, fmt.Errorf("arguments[%d]: %w", i, err)
		}
		if ws := a.bind(v); ws != nil {
			words = append(words, word{sortKey{pos, float64(i)}, ws, a.NoQuote})
		}
	}
	for _, x := range p.Inputs {
		ws, err := p.inputWords(boundValue{x.ID, x.Type, x.Binding, in[x.ID]}, nil, sc)
		if err != nil {
			return nil, fmt.Errorf("inputs.%s: %w", x.ID, err)
		}
		words = append(words, ws...)
	}
	slices.SortStableFunc(words, func(a, b word) int { return compareKeys(a.key, b.key) })
	return words, nil
}

// joinWords returns the command line: the base command followed by these words. For a shell, it is a single string in
// which all words except raw ones are quoted.
func (p *Process) joinWords(words []word) []string {
	args := slices.Clone(p.BaseCommand)
	shell := p.Req.Shell
	for _, w := range words {
		for _, t := range w.text {
			if shell && !w.raw {
				t = Quote(t)
			}
			args = append(args, t)
		}
	}
	if !shell {
		return args
	}
	for i, b := range p.BaseCommand {
		args[i] = Quote(b)
	}
	return []string{strings.Join(args, " ")}
}

// redirect evaluates the file names of the command's standard streams.
func (p *Process) redirect(c *Command, sc Scope) error {
	for _, f := range []struct {
		from string
		to   *string
	}{{p.Stdin, &c.Stdin}, {p.Stdout, &c.Stdout}, {p.Stderr, &c.Stderr}} {
		if f.from == "" {
			continue
		}
		s, err := EvalText(f.from, sc, p.Req)
		if err != nil {
			return err
		}
		*f.to = s
	}
	return nil
}

// compareKeys orders numbers before strings, and a key before the longer keys of which it is a prefix.
func compareKeys(a, b sortKey) int {
	for i := range min(len(a), len(b)) {
		x, xn := a[i].(float64)
		y, yn := b[i].(float64)
		switch {
		case xn && yn && x != y:
			return cmp.Compare(x, y)
		case xn != yn:
			if xn {
				return -1
			}
			return 1
		case !xn:
			if c := strings.Compare(a[i].(string), b[i].(string)); c != 0 {
				return c
			}
		}
	}
	return cmp.Compare(len(a), len(b))
}

// position returns the position of a binding, or 0 if none is given.
func position(b *Binding, sc Scope, req Requirements) (float64, error) {
	if b == nil || b.Position == "" {
		return 0, nil
	}
	if HasExpr(b.Position) {
		return Number(b.Position, sc, req)
	}
	var f float64
	if _, err := fmt.Sscanf(b.Position, "%g", &f); err != nil {
		return 0, fmt.Errorf("position %q is no number", b.Position)
	}
	return f, nil
}

// boundValue is a value that may be added to a command line: an input, an item of an array or a field of a record.
type boundValue struct {
	name    string
	typ     *Type
	binding *Binding // may be nil
	value   any
}

// inputWords returns the words that a value adds to the command line, including those of its items and fields that
// have bindings of their own. key is the sort key of the enclosing value.
func (p *Process) inputWords(bound boundValue, key sortKey, sc Scope) ([]word, error) {
	v, b := bound.value, bound.binding
	if v == nil {
		return nil, nil
	}
	t := matchingType(bound.typ, v)
	sc.Self = v
	if b == nil {
		return p.innerWords(bound.name, t, v, key, sc)
	}
	pos, err := position(b, sc, p.Req)
	if err != nil {
		return nil, err
	}
	key = append(slices.Clone(key), pos, bound.name)
	if b.ValueFrom != "" {
		if v, err = Eval(b.ValueFrom, sc, p.Req); err != nil {
			return nil, err
		}
		return b.words(v, key), nil
	}
	if t.Binding == nil && t.Name != "record" {
		return b.words(v, key), nil
	}
	inner, err := p.innerWords(bound.name, t, v, key, sc)
	if err != nil || b.Prefix == "" {
		return inner, err
	}
	return append([]word{{key, []string{b.Prefix}, b.NoQuote}}, inner...), nil
}

// words returns the words that a binding produces for a whole value.
func (b *Binding) words(v any, key sortKey) []word {
	text := b.bind(v)
	if text == nil {
		return nil
	}
	return []word{{key, text, b.NoQuote}}
}

// innerWords returns the words of an array's items or a record's fields that have bindings of their own.
func (p *Process) innerWords(name string, t *Type, v any, key sortKey, sc Scope) ([]word, error) {
	var out []word
	switch {
	case t.Name == "array" && t.Binding != nil:
		list, _ := v.([]any)
		for i, x := range list {
			itemKey := append(slices.Clone(key), float64(i))
			ws, err := p.inputWords(boundValue{name, t.Items, t.Binding, x}, itemKey, sc)
			if err != nil {
				return nil, err
			}
			out = append(out, ws...)
		}
	case t.Name == "record":
		m, _ := v.(map[string]any)
		for _, f := range t.Fields {
			ws, err := p.inputWords(boundValue{f.Name, f.Type, f.Binding, m[f.Name]}, key, sc)
			if err != nil {
				return nil, err
			}
			out = append(out, ws...)
		}
	}
	return out, nil
}

// matchingType returns the first member of a union that accepts the value, or Any if there is none. A type that is
// not a union is returned unchanged.
func matchingType(t *Type, v any) *Type {
	if t.Name != "union" {
		return t
	}
	for _, u := range t.Union {
		if checkValue(u, v) == nil {
			return u
		}
	}
	return &Type{Name: "Any"}
}

// bind returns the arguments that a binding produces for a value, or nil if there are none.
func (b *Binding) bind(v any) []string {
	switch v := v.(type) {
	case nil:
		return nil
	case bool:
		if !v {
			return nil
		}
		return b.prefixAlone()
	case []any:
		return b.bindList(v)
	}
	s, ok := wordOf(v)
	if !ok {
		return b.prefixAlone()
	}
	return b.withPrefix(s)
}

func (b *Binding) bindList(list []any) []string {
	if len(list) == 0 {
		return nil
	}
	var items []string
	for _, x := range list {
		if s, ok := wordOf(x); ok {
			items = append(items, s)
		}
	}
	if b.HasSeparator {
		return b.withPrefix(strings.Join(items, b.ItemSeparator))
	}
	if b.Prefix != "" {
		return append([]string{b.Prefix}, items...)
	}
	return items
}

func (b *Binding) prefixAlone() []string {
	if b.Prefix == "" {
		return nil
	}
	return []string{b.Prefix}
}

func (b *Binding) withPrefix(s string) []string {
	switch {
	case b.Prefix == "":
		return []string{s}
	case b.NoSeparate:
		return []string{b.Prefix + s}
	}
	return []string{b.Prefix, s}
}

// wordOf returns the argument for a value on a command line; for a file or directory it is the path. ok is false for
// null and for a record.
func wordOf(v any) (string, bool) {
	if m, ok := v.(map[string]any); ok {
		s, ok := m["path"].(string)
		return s, ok
	}
	return scalarText(v), v != nil
}

// Quote returns a string quoted for a shell, if necessary, so that the shell reads it as one word.
func Quote(s string) string {
	if s != "" && !strings.ContainsAny(s, " \t\n\"'\\$&|;<>()*?[]{}~#`!=%") {
		return s
	}
	return "'" + strings.ReplaceAll(s, "'", `'\''`) + "'"
}

// staged evaluates InitialWorkDirRequirement.
func (p *Process) staged(sc Scope) ([]Staged, error) {
	list := p.Req.WorkDir
	if p.Req.WorkDirExpr != "" {
		list = []Dirent{{Entry: p.Req.WorkDirExpr}}
	}
	var out []Staged
	for i, d := range list {
		staged, err := p.stagedEntry(d, sc)
		if err != nil {
			return nil, fmt.Errorf("InitialWorkDirRequirement.listing[%d]: %w", i, err)
		}
		out = append(out, staged...)
	}
	return out, nil
}

// stagedEntry evaluates one entry of the listing, which may produce any number of files and directories.
func (p *Process) stagedEntry(d Dirent, sc Scope) ([]Staged, error) {
	v, err := Eval(d.Entry, sc, p.Req)
	if err != nil {
		return nil, err
	}
	name := ""
	if d.Name != "" {
		if name, err = EvalText(d.Name, sc, p.Req); err != nil {
			return nil, err
		}
	}
	items, isList := v.([]any)
	if !isList {
		items = []any{v}
	}
	var out []Staged
	for _, x := range items {
		if x == nil {
			continue
		}
		s := stagedItem(x)
		s.Writable = d.Writable
		if name != "" && !isNamedEntry(x) {
			s.Name = name
		}
		if s.Name == "" || strings.HasPrefix(s.Name, "/") || slices.Contains(strings.Split(s.Name, "/"), "..") {
			return nil, fmt.Errorf("%q is no name within the tool's directory", s.Name)
		}
		out = append(out, s)
	}
	return out, nil
}

// isNamedEntry reports whether a value is a Dirent object with an entryname, which an expression may return.
func isNamedEntry(x any) bool {
	m, ok := x.(map[string]any)
	if !ok || isFileOrDirectory(m) {
		return false
	}
	_, ok = m["entryname"].(string)
	return ok
}

func isFileOrDirectory(m map[string]any) bool {
	return m["class"] == "File" || m["class"] == "Directory"
}

// stagedItem returns the file or directory that a value places in the tool's working directory. It uses the name that
// the value itself contains, if any.
func stagedItem(x any) Staged {
	m, isObject := x.(map[string]any)
	var s Staged
	switch {
	case !isObject:
		s.Text = scalarText(x)
	case isFileOrDirectory(m):
		s.Path, _ = m["path"].(string)
		s.Text, _ = m["contents"].(string)
		s.Name, _ = m["basename"].(string)
	case isNamedEntry(x):
		s.Name, _ = m["entryname"].(string)
		s.Text, _ = m["entry"].(string)
	}
	return s
}

// Resources are the resources that a tool requests. Memory and disk are in gigabytes.
type Resources struct{ CPUs, MemoryGB, DiskGB float64 }

// ResourcesVary reports whether the tool's resource request contains an expression and so may depend on the inputs.
func (p *Process) ResourcesVary() bool {
	for _, v := range p.Req.Resources {
		if s, ok := v.(string); ok && HasExpr(s) {
			return true
		}
	}
	return false
}

// Default values of ResourceRequirement in the CWL specification, in cores and MiB.
const (
	defaultCores     = 1
	defaultRAMMiB    = 256
	defaultTmpMiB    = 1024
	defaultOutputMiB = 1024
)

// gbPerMiB converts MiB, the unit of the specification, to gigabytes.
const gbPerMiB = 1 << 20 / 1e9

// Resources evaluates ResourceRequirement for the given inputs. The defaults of the specification are one core, 256
// MiB of memory, and 1 GiB each for temporary files and results. The error names the field whose value is not a
// non-negative number.
func (p *Process) Resources(in map[string]any) (Resources, error) {
	sc := Scope{Inputs: in}
	cpus, cpusErr := p.resourceAmount("cores", defaultCores, sc)
	memory, memoryErr := p.resourceAmount("ram", defaultRAMMiB, sc)
	tmp, tmpErr := p.resourceAmount("tmpdir", defaultTmpMiB, sc)
	out, outErr := p.resourceAmount("outdir", defaultOutputMiB, sc)
	r := Resources{CPUs: cpus, MemoryGB: memory * gbPerMiB, DiskGB: (tmp + out) * gbPerMiB}
	return r, cmp.Or(cpusErr, memoryErr, tmpErr, outErr)
}

// resourceAmount evaluates the minimum that ResourceRequirement gives for a resource, or the maximum if there is no
// minimum.
func (p *Process) resourceAmount(resource string, byDefault float64, sc Scope) (float64, error) {
	for _, field := range []string{resource + "Min", resource + "Max"} {
		x := p.Req.Resources[field]
		if x == nil {
			continue
		}
		v, err := Number(x, sc, p.Req)
		if err != nil || v < 0 {
			return 0, fmt.Errorf("ResourceRequirement.%s: %v is no amount", field, x)
		}
		return v, nil
	}
	return byDefault, nil
}
