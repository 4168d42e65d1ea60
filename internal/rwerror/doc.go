// Package rwerror defines the typed errors that callers, operators and other
// instances see. Each kind has an HTTP status; each error says what is wrong,
// what to do next, and whether the request ran.
package rwerror
