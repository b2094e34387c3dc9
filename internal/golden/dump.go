package golden

import (
	"encoding/json"
	"fmt"
	"reflect"
)

// Dump writes a value as JSON without any name of a Go identifier: structs are
// arrays of their exported fields, in order.
func Dump(v any) []byte {
	b, err := json.Marshal(plain(reflect.ValueOf(v)))
	if err != nil {
		panic(fmt.Sprintf("golden: %T does not encode: %v", v, err))
	}
	return b
}

// plain is a value made of slices, maps and scalars alone.
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
		fields := []any{}
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				fields = append(fields, plain(v.Field(i)))
			}
		}
		return fields
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
		entries := map[string]any{}
		for iter := v.MapRange(); iter.Next(); {
			entries[fmt.Sprint(iter.Key())] = plain(iter.Value())
		}
		return entries
	}
	return v.Interface()
}
