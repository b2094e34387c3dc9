package cwl

import (
	"errors"
	"fmt"
	"slices"
)

// Value returns the value of a link. It combines the values of the link's sources as linkMerge and pickValue specify.
func (l Link) Value(get func(source string) any) (any, error) {
	if len(l.Source) == 0 {
		return nil, nil
	}
	isSingle := len(l.Source) == 1 && l.Merge == ""
	if l.Pick == "" {
		if isSingle {
			return get(l.Source[0]), nil // also if the source is written as a list of one
		}
		return l.merged(get), nil
	}
	if !isSingle || l.Listed {
		return l.picked(l.merged(get))
	}
	v := get(l.Source[0])
	list, ok := v.([]any)
	if !ok {
		return nil, fmt.Errorf("pickValue needs a list, not %s", typeName(v))
	}
	return l.picked(list)
}

// merged returns the list of the values of the sources. With merge_flattened, a source that is a list contributes its
// items instead of itself.
func (l Link) merged(get func(source string) any) []any {
	list := []any{}
	for _, s := range l.Source {
		x := get(s)
		if inner, ok := x.([]any); ok && l.Merge == "merge_flattened" {
			list = append(list, inner...)
		} else {
			list = append(list, x)
		}
	}
	return list
}

// picked applies pickValue to a list.
func (l Link) picked(list []any) (any, error) {
	nonNull := slices.DeleteFunc(slices.Clone(list), func(x any) bool { return x == nil })
	switch l.Pick {
	case "all_non_null":
		return nonNull, nil
	case "the_only_non_null":
		if len(nonNull) != 1 {
			return nil, fmt.Errorf("the_only_non_null: %d of %d values are not null", len(nonNull), len(list))
		}
	case "first_non_null":
		if len(nonNull) == 0 {
			return nil, errors.New("first_non_null: all values are null")
		}
	}
	return nonNull[0], nil
}
