package golden

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"time"
)

// Filler fills values. Its numbers rise from one value to the next.
type Filler struct {
	// Keys is the number of keys of each map. An encoder that does not sort keys
	// gives the same bytes again only with one.
	Keys int

	last int64
	path []reflect.Type // the struct types around the value; pointers to them stay nil
}

// Fill sets all that v points to: numbers and strings ("s1", "s2"...) by a
// counter, booleans to true, slices to two elements and maps to two keys.
func Fill(v any) { (&Filler{Keys: 2}).Fill(v) }

// Fill sets all that v points to.
func (f *Filler) Fill(v any) { f.set(reflect.ValueOf(v).Elem()) }

func (f *Filler) next() int64 {
	f.last++
	return f.last
}

var (
	rawMessage = reflect.TypeFor[json.RawMessage]()
	timeType   = reflect.TypeFor[time.Time]()
)

func (f *Filler) set(v reflect.Value) {
	switch v.Type() {
	case rawMessage:
		v.SetBytes(fmt.Appendf(nil, `{"n":%d}`, f.next()))
		return
	case timeType:
		v.Set(reflect.ValueOf(time.Unix(f.next(), 0).UTC()))
		return
	}
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(f.next())
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(f.next()))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(f.next()) + 0.5)
	case reflect.String:
		v.SetString(fmt.Sprintf("s%d", f.next()))
	case reflect.Interface:
		if v.NumMethod() == 0 {
			v.Set(reflect.ValueOf(fmt.Sprintf("s%d", f.next())))
		}
	default:
		f.setCompound(v)
	}
}

func (f *Filler) setCompound(v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer:
		if !slices.Contains(f.path, v.Type().Elem()) {
			v.Set(reflect.New(v.Type().Elem()))
			f.set(v.Elem())
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		f.setElements(v)
	case reflect.Array:
		f.setElements(v)
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		for range f.Keys {
			key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
			f.set(key)
			f.set(value)
			v.SetMapIndex(key, value)
		}
	case reflect.Struct:
		f.path = append(f.path, v.Type())
		for i := range v.NumField() {
			if v.Field(i).CanSet() {
				f.set(v.Field(i))
			}
		}
		f.path = f.path[:len(f.path)-1]
	}
}

func (f *Filler) setElements(v reflect.Value) {
	for i := range v.Len() {
		f.set(v.Index(i))
	}
}
