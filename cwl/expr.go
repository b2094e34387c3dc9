package cwl

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"regexp"
	"strconv"
	"strings"

	"github.com/dop251/goja"
)

// Scope holds the values that expressions can read. Evaluation does not modify them.
type Scope struct {
	Inputs  map[string]any
	Self    any
	Runtime map[string]any
}

// paramRef matches a parameter reference, which is evaluated without JavaScript.
var paramRef = regexp.MustCompile(
	`^\s*(inputs|self|runtime|null)((\.[A-Za-z_]\w*)|(\['[^'\\]*'\])|(\["[^"\\]*"\])|(\[\d+\]))*\s*$`,
)

// refPart matches one segment of a parameter reference: a name, a quoted key or an index.
var refPart = regexp.MustCompile(`\.([A-Za-z_]\w*)|\['([^'\\]*)'\]|\["([^"\\]*)"\]|\[(\d+)\]`)

// partKind is the kind of a part of a string. For an expression, it is the opening bracket after the dollar sign.
type partKind byte

const (
	plainText    partKind = 0
	inBrackets   partKind = '(' // $(...): a parameter reference or a JavaScript expression
	functionBody partKind = '{' // ${...}: the body of a JavaScript function
)

// part is a piece of a string: plain text or an expression. For an expression, text is the content between the
// brackets.
type part struct {
	text string
	kind partKind
}

// split divides a string into plain text and expressions.
func split(s string) ([]part, error) {
	var out []part
	var plain strings.Builder
	flush := func() {
		if plain.Len() > 0 {
			out = append(out, part{text: plain.String()})
			plain.Reset()
		}
	}
	for i := 0; i < len(s); {
		next := byte(0)
		if i+1 < len(s) {
			next = s[i+1]
		}
		switch {
		case s[i] == '\\' && (next == '$' || next == '\\'):
			plain.WriteByte(next)
			i += 2
		case s[i] == '$' && (next == '(' || next == '{'):
			end, err := closing(s, i+1)
			if err != nil {
				return nil, err
			}
			flush()
			out = append(out, part{s[i+2 : end], partKind(next)})
			i = end + 1
		default:
			plain.WriteByte(s[i])
			i++
		}
	}
	flush()
	return out, nil
}

// openingOf maps each closing bracket to its opening bracket.
var openingOf = map[byte]byte{')': '(', ']': '[', '}': '{'}

// closing returns the position of the bracket that closes the one at start. It skips string literals, comments and
// nested brackets.
func closing(s string, start int) (int, error) {
	var open []byte
	for i := start; i < len(s); i++ {
		switch c := s[i]; c {
		case '(', '[', '{':
			open = append(open, c)
		case ')', ']', '}':
			if innermost := open[len(open)-1]; innermost != openingOf[c] {
				return 0, fmt.Errorf("%q does not close %q in the expression", c, innermost)
			}
			if open = open[:len(open)-1]; len(open) == 0 {
				return i, nil
			}
		case '"', '\'', '`':
			i = endOfText(s, i)
		case '/':
			i = endOfComment(s, i)
		}
	}
	return 0, errors.New("the expression does not end")
}

// endOfText returns the position of the closing quote of the string literal that begins at start. If the literal is
// not terminated, the result is at least len(s).
func endOfText(s string, start int) int {
	i := start + 1
	for i < len(s) && s[i] != s[start] {
		if s[i] == '\\' {
			i++
		}
		i++
	}
	return i
}

// endOfComment returns the last position of the comment that begins with the slash at start, or len(s) if the comment
// is not terminated. If the slash does not begin a comment, the result is start.
func endOfComment(s string, start int) int {
	rest := s[start:]
	length := 0
	switch {
	case strings.HasPrefix(rest, "//"):
		length = strings.IndexByte(rest, '\n')
	case strings.HasPrefix(rest, "/*"):
		if length = strings.Index(rest, "*/"); length >= 0 {
			length++
		}
	}
	if length < 0 {
		return len(s)
	}
	return start + length
}

// checkExpr returns the first error in the expressions of a string that can be detected without evaluating them.
func checkExpr(s string, req Requirements) error {
	parts, err := split(s)
	if err != nil {
		return err
	}
	for _, p := range parts {
		switch {
		case p.kind == plainText, p.isReference():
			continue
		case !req.JS:
			return fmt.Errorf("%q needs InlineJavascriptRequirement", p.text)
		}
		if _, err := goja.Compile("expression", p.code(), true); err != nil {
			return fmt.Errorf("the expression is no JavaScript: %v", err)
		}
	}
	return nil
}

// isReference reports whether a part is a parameter reference.
func (p part) isReference() bool { return p.kind == inBrackets && paramRef.MatchString(p.text) }

// code returns the JavaScript source of an expression.
func (p part) code() string {
	if p.kind == functionBody {
		return "(function(){" + p.text + "\n})()"
	}
	return "(" + p.text + "\n)"
}

// HasExpr reports whether a string contains an expression.
func HasExpr(s string) bool { return strings.Contains(s, "$(") || strings.Contains(s, "${") }

// Eval evaluates a string that may contain expressions. A string without expressions evaluates to itself, with
// escaped dollar signs unescaped. A string that consists of a single expression evaluates to the value of the
// expression. In any other string, each expression is replaced by its value. The error describes the invalid
// expression or names the limit that the evaluation exceeded.
func Eval(s string, sc Scope, req Requirements) (any, error) {
	if !HasExpr(s) {
		return strings.ReplaceAll(s, `\$`, `$`), nil
	}
	parts, err := split(s)
	if err != nil {
		return nil, err
	}
	if single, ok := singleExpr(parts); ok {
		return evalPart(single, sc, req)
	}
	var b strings.Builder
	for _, p := range parts {
		if p.kind == plainText {
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

// singleExpr returns the expression if the parts consist of a single one, apart from surrounding white space.
func singleExpr(parts []part) (expr part, ok bool) {
	for _, p := range parts {
		if p.kind == plainText && strings.TrimSpace(p.text) == "" {
			continue
		}
		if ok || p.kind == plainText {
			return part{}, false
		}
		expr, ok = p, true
	}
	return expr, ok
}

// EvalText evaluates a string like Eval, and returns the result as a string. A result that is a list or an object is
// an error.
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

// Number evaluates a number, or an expression that evaluates to one. An infinite number or NaN is an error.
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
	if p.isReference() {
		return reference(strings.TrimSpace(p.text), sc)
	}
	if !req.JS {
		return nil, fmt.Errorf("%q needs InlineJavascriptRequirement", p.text)
	}
	return evalJS(p.code(), sc, req.Lib)
}

// reference evaluates a parameter reference such as inputs.file.path.
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
		key, index := m[1]+m[2]+m[3], m[4]
		element, err := elementOf(v, key, index)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", s, err)
		}
		v = element
	}
	return v, nil
}

// elementOf returns the element of a value with the given key or index. One of key and index is empty.
func elementOf(v any, key, index string) (any, error) {
	switch x := v.(type) {
	case map[string]any:
		if index != "" {
			return nil, fmt.Errorf("%s has no element %s", typeName(v), index)
		}
		element, ok := x[key]
		if !ok {
			return nil, fmt.Errorf("there is no %q", key)
		}
		return element, nil
	case []any:
		if key == "length" {
			return int64(len(x)), nil
		}
		i, err := strconv.Atoi(index)
		if err != nil || i >= len(x) {
			return nil, fmt.Errorf("a list of %d has no element %s%s", len(x), index, key)
		}
		return x[i], nil
	case string:
		if key == "length" {
			return int64(len([]rune(x))), nil
		}
	}
	return nil, fmt.Errorf("%s has no %s%s", typeName(v), key, index)
}

// DecodeJSON decodes JSON to values as this package uses them, with whole numbers as int64.
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

// numbers converts the numbers in a decoded value to int64 or float64, in place. A float without a fraction becomes
// an int64 if its magnitude is below 2^53.
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
