package rwset

import (
	"cmp"
	"slices"
)

// Set is a set of comparable values. The zero value is an empty set that can be
// read, but Add panics on it; use New for a set to add to.
type Set[T comparable] map[T]struct{}

// New returns a set that holds the given values.
func New[T comparable](values ...T) Set[T] {
	s := make(Set[T], len(values))
	for _, v := range values {
		s.Add(v)
	}
	return s
}

// Add adds v to the set. It panics on the zero value of Set.
func (s Set[T]) Add(v T) { s[v] = struct{}{} }

// Remove removes v from the set, if present.
func (s Set[T]) Remove(v T) { delete(s, v) }

// Clear removes all values from the set.
func (s Set[T]) Clear() { clear(s) }

// Has reports whether v is in the set.
func (s Set[T]) Has(v T) bool {
	_, ok := s[v]
	return ok
}

// Sorted returns the values of s in ascending order.
func Sorted[T cmp.Ordered](s Set[T]) []T {
	values := make([]T, 0, len(s))
	for v := range s {
		values = append(values, v)
	}
	slices.Sort(values)
	return values
}
