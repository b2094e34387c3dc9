package main

// cases are the cases of the review by name.
var cases = map[string]func(record string){
	"moved-range": movedRange,
	"same-place":  samePlace,
}
