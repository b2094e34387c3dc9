package cwl

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Command is what a tool runs for given inputs.
type Command struct {
	Args                  []string
	Shell                 bool // Args is one text for a shell
	Env                   []EnvVar
	Stdin, Stdout, Stderr string
	TimeLimitS            float64 // 0: none
	Files                 []Staged
}

// Staged is something that lies in the tool's directory when it starts: a text,
// or what stands at a path.
type Staged struct {
	Name     string
	Text     string
	Path     string
	Writable bool
}

// word is a part of a command line with its place.
type word struct {
	key  []any // numbers and texts, compared in order
	text []string
	raw  bool
}

// CommandLine builds a tool's command line. runtime has outdir, tmpdir, cores
// and ram, as expressions see them.
func (p *Process) CommandLine(in, runtime map[string]any) (*Command, error) {
	sc := Scope{Inputs: in, Runtime: runtime}
	c := &Command{Shell: p.Req.Shell}
	words, err := p.words(in, sc)
	if err != nil {
		return nil, err
	}
	c.Args = p.joined(words)
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

// words are the parts of a command line behind the base command, in order.
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
		if ws := bind(&a, &Type{Name: "Any"}, v); ws != nil {
			words = append(words, word{[]any{pos, float64(i)}, ws, a.NoQuote})
		}
	}
	for _, x := range p.Inputs {
		ws, err := inputWords(p, x.ID, x.Type, x.Binding, in[x.ID], nil, sc)
		if err != nil {
			return nil, fmt.Errorf("inputs.%s: %w", x.ID, err)
		}
		words = append(words, ws...)
	}
	slices.SortStableFunc(words, func(a, b word) int { return compareKeys(a.key, b.key) })
	return words, nil
}

// joined is the command line of the base command and these words: for a shell
// one text, in which all is quoted that is not to be left as it is.
func (p *Process) joined(words []word) []string {
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

// redirect works out which files stand for a command's standard streams.
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

func compareKeys(a, b []any) int {
	for i := range min(len(a), len(b)) {
		x, xn := a[i].(float64)
		y, yn := b[i].(float64)
		switch {
		case xn && yn && x != y:
			return cmp.Compare(x, y)
		case xn != yn: // numbers before texts
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

// inputWords is what an input adds, its items and fields with bindings of their
// own among it.
func inputWords(p *Process, name string, t *Type, b *Binding, v any, key []any, sc Scope) ([]word, error) {
	if v == nil {
		return nil, nil
	}
	t = pick(t, v)
	sc.Self = v
	var out []word
	if b != nil {
		pos, err := position(b, sc, p.Req)
		if err != nil {
			return nil, err
		}
		key = append(slices.Clone(key), pos, name)
		if b.ValueFrom != "" {
			if v, err = Eval(b.ValueFrom, sc, p.Req); err != nil {
				return nil, err
			}
			t = &Type{Name: "Any"}
		}
		inner := t.Binding != nil || t.Name == "record"
		if !inner || b.ValueFrom != "" {
			if ws := bind(b, t, v); ws != nil {
				out = append(out, word{key, ws, b.NoQuote})
			}
			return out, nil
		}
		if b.Prefix != "" {
			out = append(out, word{key, []string{b.Prefix}, b.NoQuote})
		}
	}
	switch {
	case t.Name == "array" && t.Binding != nil:
		list, _ := v.([]any)
		for i, x := range list {
			ws, err := inputWords(p, name, t.Items, t.Binding, x, append(slices.Clone(key), float64(i)), sc)
			if err != nil {
				return nil, err
			}
			out = append(out, ws...)
		}
	case t.Name == "record":
		m, _ := v.(map[string]any)
		for _, f := range t.Fields {
			ws, err := inputWords(p, f.Name, f.Type, f.Binding, m[f.Name], key, sc)
			if err != nil {
				return nil, err
			}
			out = append(out, ws...)
		}
	}
	return out, nil
}

// pick is the part of a union that a value is of.
func pick(t *Type, v any) *Type {
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

// bind is the words that a value makes.
func bind(b *Binding, t *Type, v any) []string {
	with := func(s string) []string {
		switch {
		case b.Prefix == "":
			return []string{s}
		case b.NoSeparate:
			return []string{b.Prefix + s}
		}
		return []string{b.Prefix, s}
	}
	switch v := v.(type) {
	case nil:
		return nil
	case bool:
		if v && b.Prefix != "" {
			return []string{b.Prefix}
		}
		return nil
	case []any:
		if len(v) == 0 {
			return nil
		}
		var items []string
		for _, x := range v {
			if s, ok := wordOf(x); ok {
				items = append(items, s)
			}
		}
		if b.HasSeparator {
			return with(strings.Join(items, b.ItemSeparator))
		}
		if b.Prefix != "" {
			return append([]string{b.Prefix}, items...)
		}
		return items
	default:
		s, ok := wordOf(v)
		if !ok {
			if b.Prefix != "" {
				return []string{b.Prefix}
			}
			return nil
		}
		return with(s)
	}
}

func wordOf(v any) (string, bool) {
	if m, ok := v.(map[string]any); ok {
		s, ok := m["path"].(string)
		return s, ok
	}
	return scalarText(v), v != nil
}

// Quote makes one word of a text for a shell.
func Quote(s string) string {
	if s != "" && !strings.ContainsAny(s, " \t\n\"'\\$&|;<>()*?[]{}~#`!=%") {
		return s
	}
	return "'" + strings.ReplaceAll(s, "'", `'\''`) + "'"
}

// staged evaluates InitialWorkDirRequirement.
func (p *Process) staged(sc Scope) ([]Staged, error) {
	list := p.Req.WorkDir
	if p.Req.WorkDirAll != "" {
		list = []Dirent{{Entry: p.Req.WorkDirAll}}
	}
	var out []Staged
	for i, d := range list {
		at := fmt.Sprintf("InitialWorkDirRequirement.listing[%d]", i)
		v, err := Eval(d.Entry, sc, p.Req)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", at, err)
		}
		name := ""
		if d.Name != "" {
			if name, err = EvalText(d.Name, sc, p.Req); err != nil {
				return nil, fmt.Errorf("%s: %w", at, err)
			}
		}
		items, isList := v.([]any)
		if !isList {
			items = []any{v}
		}
		for _, x := range items {
			s := Staged{Name: name, Writable: d.Writable}
			switch x := x.(type) {
			case nil:
				continue
			case map[string]any:
				if x["class"] == "File" || x["class"] == "Directory" {
					s.Path, _ = x["path"].(string)
					s.Text, _ = x["contents"].(string)
					if s.Name == "" {
						s.Name, _ = x["basename"].(string)
					}
				} else if e, ok := x["entryname"].(string); ok {
					s.Name = e
					s.Text, _ = x["entry"].(string)
				}
			case string:
				s.Text = x
			default:
				s.Text = scalarText(x)
			}
			if s.Name == "" || strings.HasPrefix(s.Name, "/") || slices.Contains(strings.Split(s.Name, "/"), "..") {
				return nil, fmt.Errorf("%s: %q is no name within the tool's directory", at, s.Name)
			}
			out = append(out, s)
		}
	}
	return out, nil
}

// Resources is what a tool asks for, in cores and gigabytes.
type Resources struct{ CPUs, MemoryGB, DiskGB float64 }

// ResourcesVary tells whether what a tool asks for hangs on its inputs.
func (p *Process) ResourcesVary() bool {
	for _, v := range p.Req.Resources {
		if s, ok := v.(string); ok && HasExpr(s) {
			return true
		}
	}
	return false
}

// Resources evaluates ResourceRequirement. The specification's defaults are one
// core, 256 MiB of memory and 1 GiB each for temporary files and results.
func (p *Process) Resources(in map[string]any) (Resources, error) {
	sc := Scope{Inputs: in}
	get := func(name string, or float64) (float64, error) {
		for _, k := range []string{name + "Min", name + "Max"} {
			if x := p.Req.Resources[k]; x != nil {
				v, err := Number(x, sc, p.Req)
				if err != nil || v < 0 {
					return 0, fmt.Errorf("ResourceRequirement.%s: %v is no amount", k, x)
				}
				return v, nil
			}
		}
		return or, nil
	}
	var r Resources
	var err, e2, e3, e4 error
	var tmp, out float64
	r.CPUs, err = get("cores", 1)
	r.MemoryGB, e2 = get("ram", 256)
	tmp, e3 = get("tmpdir", 1024)
	out, e4 = get("outdir", 1024)
	const mib = 1 << 20 / 1e9
	r.MemoryGB *= mib
	r.DiskGB = (tmp + out) * mib
	for _, e := range []error{e2, e3, e4} {
		if err == nil {
			err = e
		}
	}
	return r, err
}
