package golden

import (
	"reflect"
	"strings"
	"testing"
)

// CheckTags fails for each exported field, of the type of v or of one within
// it, that has no tag under this key: a rename of the field would change its
// encoded name. Types that encode themselves are not checked.
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
	case reflect.Pointer, reflect.Slice, reflect.Array, reflect.Map:
		checkTags(t, key, typ.Elem(), seen)
	case reflect.Struct:
		for i := range typ.NumField() {
			checkField(t, key, typ, typ.Field(i), seen)
		}
	}
}

// checkField checks a field of typ. An embedded struct needs no tag, since its
// fields are encoded as the outer type's.
func checkField(t testing.TB, key string, typ reflect.Type, field reflect.StructField, seen map[reflect.Type]bool) {
	t.Helper()
	name, _, _ := strings.Cut(field.Tag.Get(key), ",")
	isEncoded := field.IsExported() || field.Anonymous
	if name == "-" || !isEncoded {
		return
	}
	if name == "" && !field.Anonymous {
		t.Errorf("%v.%s has no name under %q", typ, field.Name, key)
	}
	checkTags(t, key, field.Type, seen)
}

// encodesItself reports whether a type decides its own encoded form.
func encodesItself(typ reflect.Type) bool {
	for _, name := range []string{"MarshalJSON", "MarshalText", "EncodeMsgpack"} {
		if _, ok := reflect.PointerTo(typ).MethodByName(name); ok {
			return true
		}
	}
	return false
}
