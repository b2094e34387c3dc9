package quota

// Amounts is what limits and guarantees count.
type Amounts struct {
	CPUs float64 `json:"cpus,omitempty" msgpack:"CPUs"`
	GPUs float64 `json:"gpus,omitempty" msgpack:"GPUs"`
}

// Add returns the sum.
func (a Amounts) Add(b Amounts) Amounts { return Amounts{a.CPUs + b.CPUs, a.GPUs + b.GPUs} }

// Sub returns a less b; dimensions may become negative.
func (a Amounts) Sub(b Amounts) Amounts { return Amounts{a.CPUs - b.CPUs, a.GPUs - b.GPUs} }

// Scale returns a times factor.
func (a Amounts) Scale(factor float64) Amounts { return Amounts{a.CPUs * factor, a.GPUs * factor} }

// Min returns the smaller value of each dimension.
func (a Amounts) Min(b Amounts) Amounts { return Amounts{min(a.CPUs, b.CPUs), min(a.GPUs, b.GPUs)} }

// Max returns the larger value of each dimension.
func (a Amounts) Max(b Amounts) Amounts { return Amounts{max(a.CPUs, b.CPUs), max(a.GPUs, b.GPUs)} }

// nonNegative returns a with 0 in place of negative dimensions.
func (a Amounts) nonNegative() Amounts { return a.Max(Amounts{}) }

// roundingTolerance bounds the error of sums of fractions.
const roundingTolerance = 1e-6

// isSignificant reports whether any dimension is above the rounding tolerance, and so worth a write.
func (a Amounts) isSignificant() bool {
	return a.CPUs > roundingTolerance || a.GPUs > roundingTolerance
}

// Contains reports whether b fits within a in each dimension, up to the rounding tolerance.
func (a Amounts) Contains(b Amounts) bool {
	return b.CPUs <= a.CPUs+roundingTolerance && b.GPUs <= a.GPUs+roundingTolerance
}

// dimension is one of Amounts' fields, for rules that hold for each by itself.
type dimension struct {
	of      func(Amounts) float64
	amounts func(float64) Amounts // that much of it, and nothing of the others
}

var dimensions = []dimension{
	{
		of:      func(a Amounts) float64 { return a.CPUs },
		amounts: func(v float64) Amounts { return Amounts{CPUs: v} },
	},
	{
		of:      func(a Amounts) float64 { return a.GPUs },
		amounts: func(v float64) Amounts { return Amounts{GPUs: v} },
	},
}
