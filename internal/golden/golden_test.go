package golden

import (
	"encoding/json"
	"testing"
	"time"
)

type inner struct {
	A int
	B *string
}

type outer struct {
	A string
	B []inner
	C map[string]float64
	D json.RawMessage
	E time.Duration
	F bool
	G *outer
	H any
}

// TestFillGoesByOrderAndTypeAlone fills two types that differ in names only.
func TestFillGoesByOrderAndTypeAlone(t *testing.T) {
	type otherInner struct {
		Z int
		Y *string
	}
	type otherOuter struct {
		Z string
		Y []otherInner
		X map[string]float64
		W json.RawMessage
		V time.Duration
		U bool
		T *otherOuter
		S any
	}
	var a outer
	var b otherOuter
	Fill(&a)
	Fill(&b)
	if a.A != b.Z || len(a.B) != 2 || a.B[1].A != b.Y[1].Z || *a.B[1].B != *b.Y[1].Y ||
		len(a.C) != 2 || a.C["s6"] != b.X["s6"] ||
		string(a.D) != string(b.W) || !json.Valid(a.D) || a.E != b.V || !a.F || a.G != nil ||
		a.H != b.S {
		t.Errorf("%+v and %+v differ", a, b)
	}
}

func TestDumpHasNoNames(t *testing.T) {
	var v outer
	Fill(&v)
	const want = `["s1",[[2,"s3"],[4,"s5"]],{"s6":7.5,"s8":9.5},{"n":10},11,true,null,"s12"]`
	if got := string(Dump(v)); got != want {
		t.Errorf("%s, not %s", got, want)
	}
}
