package cwl

import (
	"errors"
	"fmt"
	"slices"
)

// Value joins the values of a link's sources.
func (l Link) Value(get func(source string) any) (any, error) {
	if len(l.Source) == 0 {
		return nil, nil
	}
	isSingle := len(l.Source) == 1 && l.Merge == ""
	if l.Pick == "" {
		if isSingle {
			return get(l.Source[0]), nil // even of a list of one source
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

// merged is the list of the sources' values; merge_flattened puts the items of lists in their place.
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

// picked is what pickValue leaves of a list.
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
