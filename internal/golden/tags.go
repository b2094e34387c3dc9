package golden

import (
	"reflect"
	"strings"
	"testing"
)

// CheckTags reports a test error for each exported field that has no name in the
// tag with the given key, because renaming the field would change its encoded
// name. It checks the type of v and the types nested in it, except types with an
// encoding method of their own.
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
// fields are encoded as fields of the outer type.
func checkField(t testing.TB, key string, typ reflect.Type, field reflect.StructField, seen map[reflect.Type]bool) {
	t.Helper()
	name, _, _ := strings.Cut(field.Tag.Get(key), ",")
	isEncoded := field.IsExported() || field.Anonymous
	if name == "-" || !isEncoded {
		return
	}
	if name == "" && !field.Anonymous {
		t.Errorf("field %v.%s has no name in a %q tag", typ, field.Name, key)
	}
	checkTags(t, key, field.Type, seen)
}

// encodesItself reports whether a type, or a pointer to it, has an encoding method
// of its own.
func encodesItself(typ reflect.Type) bool {
	for _, name := range []string{"MarshalJSON", "MarshalText", "EncodeMsgpack"} {
		if _, ok := reflect.PointerTo(typ).MethodByName(name); ok {
			return true
		}
	}
	return false
}
