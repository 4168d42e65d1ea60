package rwtoken

import "unicode/utf8"

// CompletePrefixLen returns the length of the longest prefix of b that does not end within a
// UTF-8 character. Invalid bytes that no further bytes could complete are included.
func CompletePrefixLen(b []byte) int {
	for back := 1; back <= utf8.UTFMax-1 && back <= len(b); back++ {
		start := len(b) - back
		if !utf8.RuneStart(b[start]) {
			continue
		}
		if utf8.FullRune(b[start:]) {
			return len(b)
		}
		return start
	}
	return len(b)
}
