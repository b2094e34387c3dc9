// Package golden holds encoded forms fixed: what is stored, sent or printed is
// compared byte for byte with files that are kept beside the tests. Only tests
// import it.
//
// Values to encode are filled by reflection, by the order and the types of
// their fields and never by a name, so that renaming Go identifiers changes
// neither the values nor the files.
package golden

import (
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"
)

var update = flag.Bool("update-golden", false, "write the golden files instead of comparing with them")

// Dir is the directory of a package's golden files.
const Dir = "testdata/golden"

// Filler fills values. Its numbers rise from one value to the next.
type Filler struct {
	// Keys is the number of keys of each map. An encoder that does not sort the
	// keys gives the same bytes again only with one.
	Keys int

	last int64
	path []reflect.Type // the struct types around the value
}

// Fill sets all that v points to: numbers and strings ("s1", "s2"...) by a
// counter, booleans to true, slices of two elements and maps of two keys.
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

// Compare compares with the file at path below testdata/golden, or writes it
// with -update-golden.
func Compare(t testing.TB, path string, got []byte) {
	t.Helper()
	path = filepath.Join(Dir, path)
	if *update {
		err := os.MkdirAll(filepath.Dir(path), 0o755)
		if err = errors.Join(err, os.WriteFile(path, got, 0o644)); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s: the encoded form has changed\n got %q\nwant %q", path, got, want)
	}
}

// Read reads the file at path below testdata/golden.
func Read(t testing.TB, path string) []byte {
	t.Helper()
	b, err := os.ReadFile(filepath.Join(Dir, path))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// RoundTrip compares the encoded form of v with a golden file, and what the
// decoder reads from that file, encoded again, with the file once more.
func RoundTrip[T any](t testing.TB, path string, v T, encode func(T) ([]byte, error), decode func([]byte) (T, error)) {
	t.Helper()
	got, err := encode(v)
	if err != nil {
		t.Fatalf("%s: %v", path, err)
	}
	Compare(t, path, got)
	read, err := decode(Read(t, path))
	if err != nil {
		t.Fatalf("%s: %v", path, err)
	}
	if got, err = encode(read); err != nil {
		t.Fatalf("%s: %v", path, err)
	}
	Compare(t, path, got)
}

// JSON is RoundTrip of a filled T with the standard JSON encoder and decoder.
// Each of the functions may then set fields of the filled value. All fields of
// T and of what it holds must be tagged.
func JSON[T any](t testing.TB, path string, sets ...func(*T)) {
	t.Helper()
	var v T
	Fill(&v)
	for _, set := range sets {
		set(&v)
	}
	CheckTags(t, "json", v)
	RoundTrip(t, path, v, func(v T) ([]byte, error) { return json.Marshal(v) },
		func(b []byte) (v T, err error) { return v, json.Unmarshal(b, &v) })
}

// CheckTags fails for each exported field, of the type of v or of one within
// it, that has no tag under this key: a rename of the field would change its
// encoded name. It does not look into types that encode themselves.
func CheckTags(t testing.TB, key string, v any) {
	t.Helper()
	checkTags(t, key, reflect.TypeOf(v), map[reflect.Type]bool{})
}

func checkTags(t testing.TB, key string, typ reflect.Type, seen map[reflect.Type]bool) {
	t.Helper()
	if seen[typ] || encodesItself(typ) {
		return
	}
	seen[typ] = true
	switch typ.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Array:
		checkTags(t, key, typ.Elem(), seen)
	case reflect.Map:
		checkTags(t, key, typ.Elem(), seen)
	case reflect.Struct:
		for i := range typ.NumField() {
			field := typ.Field(i)
			name, _, _ := strings.Cut(field.Tag.Get(key), ",")
			if name == "-" || !field.IsExported() && !field.Anonymous {
				continue
			}
			if name == "" && !field.Anonymous {
				t.Errorf("%v.%s has no name under %q", typ, field.Name, key)
			}
			checkTags(t, key, field.Type, seen)
		}
	}
}

func encodesItself(typ reflect.Type) bool {
	for _, name := range []string{"MarshalJSON", "MarshalText", "EncodeMsgpack"} {
		if _, ok := reflect.PointerTo(typ).MethodByName(name); ok {
			return true
		}
	}
	return false
}
