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

// TestFillDependsOnlyOnOrderAndTypes fills two types that differ only in names.
func TestFillDependsOnlyOnOrderAndTypes(t *testing.T) {
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
	if len(a.B) != 2 || len(b.Y) != 2 {
		t.Fatalf("got slices %+v and %+v, want two elements each", a.B, b.Y)
	}
	for name, ok := range map[string]bool{
		"strings are equal":             a.A == b.Z,
		"elements are equal":            a.B[1].A == b.Y[1].Z,
		"pointers' values are equal":    *a.B[1].B == *b.Y[1].Y,
		"a map has two keys":            len(a.C) == 2,
		"maps' values are equal":        a.C["s6"] == b.X["s6"],
		"raw JSON is equal":             string(a.D) == string(b.W),
		"raw JSON is valid":             json.Valid(a.D),
		"durations are equal":           a.E == b.V,
		"a boolean is true":             a.F,
		"a recursive pointer stays nil": a.G == nil,
		"interfaces are equal":          a.H == b.S,
	} {
		if !ok {
			t.Errorf("want that %s, got %+v and %+v", name, a, b)
		}
	}
}

func TestDumpHasNoNames(t *testing.T) {
	var v outer
	Fill(&v)
	want := `["s1",[[2,"s3"],[4,"s5"]],{"s6":7.5,"s8":9.5},{"n":10},11,true,null,"s12"]`
	if got := string(Dump(v)); got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}
