// Package rwattempt decides what follows on a try of a request: its answer, another
// server, or the end. It is the one place where "at most once" is decided, for the
// platform's callers and for those of the own interface. It sends nothing: the tries
// are functions that its users bring.
package rwattempt
