package quota

// Amounts holds the amounts of the resources to which limits and guarantees apply.
type Amounts struct {
	CPUs float64 `json:"cpus,omitempty" msgpack:"CPUs"`
	GPUs float64 `json:"gpus,omitempty" msgpack:"GPUs"`
}

// Add returns the sum.
func (a Amounts) Add(b Amounts) Amounts { return Amounts{a.CPUs + b.CPUs, a.GPUs + b.GPUs} }

// Sub returns a minus b. Dimensions of the result may be negative.
func (a Amounts) Sub(b Amounts) Amounts { return Amounts{a.CPUs - b.CPUs, a.GPUs - b.GPUs} }

// Scale returns a times factor.
func (a Amounts) Scale(factor float64) Amounts { return Amounts{a.CPUs * factor, a.GPUs * factor} }

// Min returns the smaller value of each dimension.
func (a Amounts) Min(b Amounts) Amounts { return Amounts{min(a.CPUs, b.CPUs), min(a.GPUs, b.GPUs)} }

// Max returns the larger value of each dimension.
func (a Amounts) Max(b Amounts) Amounts { return Amounts{max(a.CPUs, b.CPUs), max(a.GPUs, b.GPUs)} }

// nonNegative returns a with negative dimensions replaced by 0.
func (a Amounts) nonNegative() Amounts { return a.Max(Amounts{}) }

// roundingTolerance bounds the error of sums of fractions.
const roundingTolerance = 1e-6

// isSignificant reports whether any dimension exceeds the rounding tolerance and so justifies a write.
func (a Amounts) isSignificant() bool {
	return a.CPUs > roundingTolerance || a.GPUs > roundingTolerance
}

// Contains reports whether b fits within a in each dimension, up to the rounding tolerance.
func (a Amounts) Contains(b Amounts) bool {
	return b.CPUs <= a.CPUs+roundingTolerance && b.GPUs <= a.GPUs+roundingTolerance
}

// dimension gives access to one field of Amounts, for rules that apply to each field separately.
type dimension struct {
	value   func(Amounts) float64
	amounts func(float64) Amounts // sets this dimension, leaving the others 0
}

var dimensions = []dimension{
	{
		value:   func(a Amounts) float64 { return a.CPUs },
		amounts: func(v float64) Amounts { return Amounts{CPUs: v} },
	},
	{
		value:   func(a Amounts) float64 { return a.GPUs },
		amounts: func(v float64) Amounts { return Amounts{GPUs: v} },
	},
}
