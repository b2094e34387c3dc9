package cwl

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"regexp"
	"runtime/metrics"
	"strconv"
	"strings"
	"time"

	"github.com/dop251/goja"
)

// Limits on one evaluation. Time is the wall clock's: whatever an expression
// does, its evaluator is free again after it. Memory is looked at every
// millisecond, so a single statement may pass the bound for that long.
const (
	evalTime   = time.Second
	evalBytes  = 64 << 20
	evalStack  = 500
	evalResult = 4 << 20 // characters of a text
)

// Scope is what expressions see.
type Scope struct {
	Inputs  map[string]any
	Self    any
	Runtime map[string]any
}

var paramRef = regexp.MustCompile(
	`^\s*(inputs|self|runtime|null)((\.[A-Za-z_]\w*)|(\['[^'\\]*'\])|(\["[^"\\]*"\])|(\[\d+\]))*\s*$`,
)
var refPart = regexp.MustCompile(`\.([A-Za-z_]\w*)|\['([^'\\]*)'\]|\["([^"\\]*)"\]|\[(\d+)\]`)

// part is a piece of a text: plain, a reference or code in parentheses, or the
// body of a function.
type part struct {
	text string
	kind byte // 0, '(' or '{'
}

// split cuts a text into plain parts and expressions.
func split(s string) ([]part, error) {
	var out []part
	var plain strings.Builder
	for i := 0; i < len(s); {
		switch {
		case s[i] == '\\' && i+1 < len(s) && (s[i+1] == '$' || s[i+1] == '\\'):
			// Only before an expression does a backslash mean anything.
			if s[i+1] == '$' {
				plain.WriteByte('$')
			} else {
				plain.WriteString(`\`)
			}
			i += 2
		case s[i] == '$' && i+1 < len(s) && (s[i+1] == '(' || s[i+1] == '{'):
			end, err := closing(s, i+1)
			if err != nil {
				return nil, err
			}
			if plain.Len() > 0 {
				out = append(out, part{text: plain.String()})
				plain.Reset()
			}
			out = append(out, part{s[i+2 : end], s[i+1]})
			i = end + 1
		default:
			plain.WriteByte(s[i])
			i++
		}
	}
	if plain.Len() > 0 {
		out = append(out, part{text: plain.String()})
	}
	return out, nil
}

// closing finds the bracket that ends the one at start, past texts, comments
// and nested brackets.
func closing(s string, start int) (int, error) {
	var open []byte
	for i := start; i < len(s); i++ {
		switch c := s[i]; c {
		case '(', '[', '{':
			open = append(open, c)
		case ')', ']', '}':
			want := map[byte]byte{')': '(', ']': '[', '}': '{'}[c]
			if open[len(open)-1] != want {
				return 0, fmt.Errorf("%q does not close %q in the expression", c, open[len(open)-1])
			}
			if open = open[:len(open)-1]; len(open) == 0 {
				return i, nil
			}
		case '"', '\'', '`':
			j := i + 1
			for j < len(s) && s[j] != c {
				if s[j] == '\\' {
					j++
				}
				j++
			}
			i = j
		case '/':
			if strings.HasPrefix(s[i:], "//") {
				if nl := strings.IndexByte(s[i:], '\n'); nl >= 0 {
					i += nl
				} else {
					i = len(s)
				}
			} else if strings.HasPrefix(s[i:], "/*") {
				if e := strings.Index(s[i:], "*/"); e >= 0 {
					i += e + 1
				} else {
					i = len(s)
				}
			}
		}
	}
	return 0, errors.New("the expression does not end")
}

// checkExpr says what is wrong with a text's expressions before it is used.
func checkExpr(s string, req Requirements) error {
	parts, err := split(s)
	if err != nil {
		return err
	}
	for _, p := range parts {
		switch {
		case p.kind == 0, p.kind == '(' && paramRef.MatchString(p.text):
			continue
		case !req.JS:
			return fmt.Errorf("%q needs InlineJavascriptRequirement", p.text)
		}
		if _, err := goja.Compile("expression", code(p), true); err != nil {
			return fmt.Errorf("the expression is no JavaScript: %v", err)
		}
	}
	return nil
}

func code(p part) string {
	if p.kind == '{' {
		return "(function(){" + p.text + "\n})()"
	}
	return "(" + p.text + "\n)"
}

// HasExpr tells whether a text holds an expression.
func HasExpr(s string) bool { return strings.Contains(s, "$(") || strings.Contains(s, "${") }

// Eval gives the value of a text: itself, the value of the one expression that
// it is, or a text with its expressions' values filled in.
func Eval(s string, sc Scope, req Requirements) (any, error) {
	if !HasExpr(s) {
		return strings.ReplaceAll(s, `\$`, `$`), nil
	}
	parts, err := split(s)
	if err != nil {
		return nil, err
	}
	trimmed := parts
	if len(parts) > 1 {
		// Space round a single expression is no text.
		trimmed = nil
		for _, p := range parts {
			if p.kind != 0 || strings.TrimSpace(p.text) != "" {
				trimmed = append(trimmed, p)
			}
		}
	}
	if len(trimmed) == 1 && trimmed[0].kind != 0 {
		return evalPart(trimmed[0], sc, req)
	}
	var b strings.Builder
	for _, p := range parts {
		if p.kind == 0 {
			b.WriteString(p.text)
			continue
		}
		v, err := evalPart(p, sc, req)
		if err != nil {
			return nil, err
		}
		if t, ok := v.(string); ok {
			b.WriteString(t)
		} else if j, err := json.Marshal(v); err == nil {
			b.Write(j)
		}
		if b.Len() > evalResult {
			return nil, fmt.Errorf("the text is longer than %d characters", evalResult)
		}
	}
	return b.String(), nil
}

// EvalText is Eval for what must be a text or a number.
func EvalText(s string, sc Scope, req Requirements) (string, error) {
	v, err := Eval(s, sc, req)
	if err != nil {
		return "", err
	}
	switch v.(type) {
	case []any, map[string]any:
		return "", fmt.Errorf("%q gives %s, not a text", s, typeName(v))
	}
	return scalarText(v), nil
}

// Number gives the value of a number or of an expression that gives one.
func Number(x any, sc Scope, req Requirements) (float64, error) {
	if s, ok := x.(string); ok {
		v, err := Eval(s, sc, req)
		if err != nil {
			return 0, err
		}
		x = v
	}
	f, ok := toFloat(x)
	if !ok || math.IsNaN(f) || math.IsInf(f, 0) {
		return 0, fmt.Errorf("%v is no number", x)
	}
	return f, nil
}

func toFloat(x any) (float64, bool) {
	switch x := x.(type) {
	case int64:
		return float64(x), true
	case int:
		return float64(x), true
	case float64:
		return x, true
	}
	return 0, false
}

func evalPart(p part, sc Scope, req Requirements) (any, error) {
	if p.kind == '(' && paramRef.MatchString(p.text) {
		return reference(strings.TrimSpace(p.text), sc)
	}
	if !req.JS {
		return nil, fmt.Errorf("%q needs InlineJavascriptRequirement", p.text)
	}
	return evalJS(code(p), sc, req.Lib)
}

func reference(s string, sc Scope) (any, error) {
	var v any
	switch {
	case strings.HasPrefix(s, "inputs"):
		v = any(sc.Inputs)
	case strings.HasPrefix(s, "self"):
		v = sc.Self
	case strings.HasPrefix(s, "runtime"):
		v = any(sc.Runtime)
	default:
		return nil, nil
	}
	for _, m := range refPart.FindAllStringSubmatch(s, -1) {
		key := m[1] + m[2] + m[3]
		switch x := v.(type) {
		case map[string]any:
			if m[4] != "" {
				return nil, fmt.Errorf("%s: %s has no element %s", s, typeName(v), m[4])
			}
			e, ok := x[key]
			if !ok {
				return nil, fmt.Errorf("%s: there is no %q", s, key)
			}
			v = e
		case []any:
			if key == "length" {
				v = int64(len(x))
				continue
			}
			i, err := strconv.Atoi(m[4])
			if err != nil || i >= len(x) {
				return nil, fmt.Errorf("%s: a list of %d has no element %s%s", s, len(x), m[4], key)
			}
			v = x[i]
		default:
			if key == "length" {
				if t, ok := v.(string); ok {
					v = int64(len([]rune(t)))
					continue
				}
			}
			return nil, fmt.Errorf("%s: %s has no %s%s", s, typeName(v), key, m[4])
		}
	}
	return v, nil
}

// allocationLimits keep single statements from allocating what no sampling would see in
// time.
const allocationLimits = `(function(){
var max = 4194304;
["repeat","padStart","padEnd"].forEach(function(n){
  var f = String.prototype[n];
  Object.defineProperty(String.prototype, n, {value: function(a, b){
    var len = n === "repeat" ? this.length * a : a;
    if (len > max) throw new RangeError("a text of " + len + " characters is too long");
    return f.call(this, a, b);
  }});
});
["fill","join","concat"].forEach(function(n){
  var f = Array.prototype[n];
  Object.defineProperty(Array.prototype, n, {value: function(){
    if (this.length > max) throw new RangeError("a list of " + this.length + " is too long");
    return f.apply(this, arguments);
  }});
});
})();`

var allocationLimitProgram = goja.MustCompile("guards", allocationLimits, false)

// evalJS runs code. The same code in the same scope gives the same value: there
// is no clock but a fixed one and no chance but a fixed sequence.
func evalJS(src string, sc Scope, lib []string) (any, error) {
	vm := goja.New()
	vm.SetMaxCallStackSize(evalStack)
	vm.SetTimeSource(func() time.Time { return time.Unix(0, 0).UTC() })
	seed := uint64(1)
	vm.SetRandSource(func() float64 {
		seed = seed*6364136223846793005 + 1442695040888963407
		return float64(seed>>11) / (1 << 53)
	})
	stop := watch(vm)
	defer stop()
	v, err := func() (v goja.Value, err error) {
		if _, err := vm.RunProgram(allocationLimitProgram); err != nil {
			return nil, err
		}
		for _, l := range lib {
			if _, err := vm.RunString(l); err != nil {
				return nil, fmt.Errorf("expressionLib: %w", err)
			}
		}
		for k, x := range map[string]any{"inputs": sc.Inputs, "self": sc.Self, "runtime": sc.Runtime} {
			// A copy of its own: an expression that writes to its inputs
			// changes nobody else's.
			b, err := json.Marshal(x)
			if err != nil {
				return nil, err
			}
			parse, _ := goja.AssertFunction(vm.Get("JSON").ToObject(vm).Get("parse"))
			o, err := parse(goja.Undefined(), vm.ToValue(string(b)))
			if err != nil {
				return nil, err
			}
			if err := vm.Set(k, o); err != nil {
				return nil, err
			}
		}
		v, err = vm.RunString(src)
		if err != nil || goja.IsUndefined(v) || goja.IsNull(v) {
			return nil, err
		}
		// Through JSON, so that what comes out is a value of the language
		// and not an object of the engine.
		str, _ := goja.AssertFunction(vm.Get("JSON").ToObject(vm).Get("stringify"))
		return str(goja.Undefined(), v)
	}()
	if err != nil {
		var in *goja.InterruptedError
		if errors.As(err, &in) {
			return nil, fmt.Errorf("the expression %v", in.Value())
		}
		var ex *goja.Exception
		if errors.As(err, &ex) {
			return nil, fmt.Errorf("the expression throws %s", ex.Value().String())
		}
		return nil, fmt.Errorf("the expression fails: %v", err)
	}
	if v == nil || goja.IsUndefined(v) {
		return nil, nil
	}
	text := v.String()
	if len(text) > evalResult {
		return nil, fmt.Errorf("the value has %d characters, more than %d", len(text), evalResult)
	}
	return decode([]byte(text))
}

// DecodeJSON reads JSON with whole numbers as such, as values of the language
// have them.
func DecodeJSON(b []byte) (any, error) { return decode(b) }

func decode(b []byte) (any, error) {
	d := json.NewDecoder(strings.NewReader(string(b)))
	d.UseNumber()
	var v any
	if err := d.Decode(&v); err != nil {
		return nil, err
	}
	return numbers(v), nil
}

func numbers(v any) any {
	switch v := v.(type) {
	case json.Number:
		if i, err := v.Int64(); err == nil {
			return i
		}
		f, _ := v.Float64()
		if f == math.Trunc(f) && math.Abs(f) < 1<<53 {
			return int64(f)
		}
		return f
	case []any:
		for i := range v {
			v[i] = numbers(v[i])
		}
	case map[string]any:
		for k := range v {
			v[k] = numbers(v[k])
		}
	}
	return v
}

// watch interrupts what runs too long or takes too much.
func watch(vm *goja.Runtime) (stop func()) {
	done := make(chan struct{})
	go func() {
		sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
		metrics.Read(sample)
		first := sample[0].Value.Uint64()
		end := time.NewTimer(evalTime)
		defer end.Stop()
		every := time.NewTicker(time.Millisecond)
		defer every.Stop()
		for {
			select {
			case <-done:
				return
			case <-end.C:
				vm.Interrupt(fmt.Sprintf("ran for longer than %v", evalTime))
				return
			case <-every.C:
				metrics.Read(sample)
				if n := sample[0].Value.Uint64(); n > first+evalBytes {
					vm.Interrupt(fmt.Sprintf("took more than %d MB", evalBytes>>20))
					return
				}
			}
		}
	}()
	return func() { close(done) }
}
