package cwl

import (
	"encoding/json"
	"errors"
	"fmt"
	"runtime/metrics"
	"time"

	"github.com/dop251/goja"
)

// Limits on one evaluation. The time limit is wall-clock time: whatever an expression does, its evaluation ends when
// the limit expires. Memory is sampled, so a single statement may exceed the limit until the next sample.
const (
	evalTime       = time.Second
	evalBytes      = 64 << 20
	evalStack      = 500
	evalResult     = 4 << 20 // maximum length of the resulting string, in bytes
	sampleInterval = time.Millisecond
)

// allocationLimits is JavaScript that restricts built-in functions with which a single statement could allocate too
// much memory between two samples.
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

// evalJS runs JavaScript code and returns its value. The same code in the same scope always gives the same value.
func evalJS(src string, sc Scope, lib []string) (any, error) {
	vm := newVM()
	stop := enforceLimits(vm)
	defer stop()
	v, err := runJS(vm, src, sc, lib)
	if err != nil {
		return nil, evalError(err)
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

// newVM returns a JavaScript engine whose clock is fixed and whose random numbers are a fixed sequence, so that
// evaluation is deterministic.
func newVM() *goja.Runtime {
	vm := goja.New()
	vm.SetMaxCallStackSize(evalStack)
	vm.SetTimeSource(func() time.Time { return time.Unix(0, 0).UTC() })
	seed := uint64(1)
	vm.SetRandSource(func() float64 {
		seed = seed*6364136223846793005 + 1442695040888963407
		return float64(seed>>11) / (1 << 53)
	})
	return vm
}

// runJS runs the library code and then src in a scope. It returns the value of src as JSON, or nil if src evaluates
// to null or undefined.
func runJS(vm *goja.Runtime, src string, sc Scope, lib []string) (goja.Value, error) {
	if _, err := vm.RunProgram(allocationLimitProgram); err != nil {
		return nil, err
	}
	for _, l := range lib {
		if _, err := vm.RunString(l); err != nil {
			return nil, fmt.Errorf("expressionLib: %w", err)
		}
	}
	for name, x := range map[string]any{"inputs": sc.Inputs, "self": sc.Self, "runtime": sc.Runtime} {
		if err := setCopy(vm, name, x); err != nil {
			return nil, err
		}
	}
	v, err := vm.RunString(src)
	if err != nil || goja.IsUndefined(v) || goja.IsNull(v) {
		return nil, err
	}
	// The conversion to JSON ensures that the result is a CWL value and not an object of the engine.
	return jsonFunction(vm, "stringify")(goja.Undefined(), v)
}

// setCopy sets a variable to a copy of a value, so that an expression that writes to the variable does not change the
// original.
func setCopy(vm *goja.Runtime, name string, x any) error {
	b, err := json.Marshal(x)
	if err != nil {
		return err
	}
	object, err := jsonFunction(vm, "parse")(goja.Undefined(), vm.ToValue(string(b)))
	if err != nil {
		return err
	}
	return vm.Set(name, object)
}

// jsonFunction returns a function of the engine's JSON object.
func jsonFunction(vm *goja.Runtime, name string) goja.Callable {
	f, _ := goja.AssertFunction(vm.Get("JSON").ToObject(vm).Get(name))
	return f
}

// evalError converts an error of the JavaScript engine to an error message of this package.
func evalError(err error) error {
	var interrupted *goja.InterruptedError
	if errors.As(err, &interrupted) {
		return fmt.Errorf("the expression %v", interrupted.Value())
	}
	var exception *goja.Exception
	if errors.As(err, &exception) {
		return fmt.Errorf("the expression throws %s", exception.Value().String())
	}
	return fmt.Errorf("the expression fails: %v", err)
}

// enforceLimits interrupts the engine when it exceeds the time or memory limit, until stop is called. Memory is
// measured as the growth of the heap of the whole Go process. Concurrent allocations by other goroutines therefore
// count towards the limit.
func enforceLimits(vm *goja.Runtime) (stop func()) {
	done := make(chan struct{})
	go func() {
		if reason := waitForExceededLimit(done); reason != "" {
			vm.Interrupt(reason)
		}
	}()
	return func() { close(done) }
}

// waitForExceededLimit waits until done is closed or a limit is exceeded. It returns a description of the exceeded
// limit, or an empty string.
func waitForExceededLimit(done <-chan struct{}) (reason string) {
	sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(sample)
	first := sample[0].Value.Uint64()
	end := time.NewTimer(evalTime)
	defer end.Stop()
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return ""
		case <-end.C:
			return fmt.Sprintf("ran for longer than %v", evalTime)
		case <-ticker.C:
			if metrics.Read(sample); sample[0].Value.Uint64() > first+evalBytes {
				return fmt.Sprintf("took more than %d MB", evalBytes>>20)
			}
		}
	}
}
