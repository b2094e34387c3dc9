package wire

// word pairs a term of the core with the protocol's word for it.
type word[T comparable] struct {
	term     T
	protocol string
}

// vocabulary maps the values of an enumeration, each once, to the protocol's
// words and back.
type vocabulary[T comparable] []word[T]

// word returns the protocol's word, or "" for an unknown term.
func (v vocabulary[T]) word(term T) string {
	for _, w := range v {
		if w.term == term {
			return w.protocol
		}
	}
	return ""
}

// term returns the core's term, or false for an unknown word.
func (v vocabulary[T]) term(protocol string) (T, bool) {
	for _, w := range v {
		if w.protocol == protocol {
			return w.term, true
		}
	}
	var none T
	return none, false
}

// termOrSame returns the core's term for a word. A word that is not in v is the
// same in both.
func termOrSame(v vocabulary[string], protocol string) string {
	if term, ok := v.term(protocol); ok {
		return term
	}
	return protocol
}
