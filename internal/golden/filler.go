package golden

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"time"
)

// Filler fills values with test data from a counter, which increases with each
// number or string.
type Filler struct {
	// Keys is the number of keys of each map. With an encoder that does not sort
	// keys, the encoded form is reproducible only with one key.
	Keys int

	last int64
	path []reflect.Type // struct types that contain the current value; pointers to them stay nil
}

// Fill sets the value that v points to, including all nested values: numbers and
// strings ("s1", "s2"...) from a counter, booleans to true, slices to two elements
// and maps to two keys.
func Fill(v any) { (&Filler{Keys: 2}).Fill(v) }

// Fill sets the value that v points to, including all nested values.
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
