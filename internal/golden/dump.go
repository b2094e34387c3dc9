package golden

import (
	"encoding/json"
	"fmt"
	"reflect"
)

// Dump returns a value as JSON that contains no names of Go identifiers: structs
// are arrays of their exported fields, in order.
func Dump(v any) []byte { return dump(reflect.ValueOf(v)) }

func dump(v reflect.Value) []byte {
	b, err := json.Marshal(plain(v))
	if err != nil {
		panic(fmt.Sprintf("golden: cannot encode %v: %v", v.Type(), err))
	}
	return b
}

// plain converts a value to slices, maps and scalars, for encoding as JSON.
func plain(v reflect.Value) any {
	if !v.IsValid() {
		return nil
	}
	if v.Type() == rawMessage {
		return v.Interface()
	}
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		return plain(v.Elem())
	case reflect.Struct:
		return plainFields(v)
	case reflect.Slice, reflect.Array:
		if v.Kind() == reflect.Slice && v.IsNil() {
			return nil
		}
		elements := make([]any, v.Len())
		for i := range elements {
			elements[i] = plain(v.Index(i))
		}
		return elements
	case reflect.Map:
		entries := map[string]json.RawMessage{}
		for iter := v.MapRange(); iter.Next(); {
			entries[fmt.Sprint(iter.Key())] = dump(iter.Value())
		}
		return entries
	}
	return v.Interface()
}

// plainFields converts the exported fields of a struct, in order.
func plainFields(v reflect.Value) []any {
	fields := []any{}
	for i := range v.NumField() {
		if v.Type().Field(i).IsExported() {
			fields = append(fields, plain(v.Field(i)))
		}
	}
	return fields
}
