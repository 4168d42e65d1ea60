package rwjson

// Prune replaces each array or object that is nested deeper than maxDepth by null, and returns
// the result. The outermost value has depth 1. encoding/json decodes no part of a text that is
// nested too deeply anywhere, so that one object of a list would hide all others. Prune
// checks nothing else; text that is no JSON stays so. It returns the argument if nothing is
// nested too deeply.
func Prune(text []byte, maxDepth int) []byte {
	if depthOf(text) <= maxDepth {
		return text
	}
	out := make([]byte, 0, len(text))
	depth, kept := 0, 0
	scan(text, func(at int) {
		switch text[at] {
		case '[', '{':
			if depth++; depth == maxDepth+1 {
				out = append(append(out, text[kept:at]...), "null"...)
				kept = len(text)
			}
		case ']', '}':
			if depth--; depth == maxDepth {
				kept = at + 1
			}
		}
	})
	return append(out, text[min(kept, len(text)):]...)
}

// depthOf returns how deeply arrays and objects are nested.
func depthOf(text []byte) int {
	depth, deepest := 0, 0
	scan(text, func(at int) {
		switch text[at] {
		case '[', '{':
			depth++
			deepest = max(deepest, depth)
		case ']', '}':
			depth--
		}
	})
	return deepest
}

// scan calls visit with the index of each byte outside of strings.
func scan(text []byte, visit func(at int)) {
	for at := 0; at < len(text); at++ {
		if text[at] != '"' {
			visit(at)
			continue
		}
		for at++; at < len(text) && text[at] != '"'; at++ {
			if text[at] == '\\' {
				at++
			}
		}
	}
}
