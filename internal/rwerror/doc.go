// Package rwerror defines the typed errors that are returned to callers, operators
// and other instances. Each kind maps to an HTTP status. Each error says what went
// wrong, what to do next, and whether the request ran.
package rwerror
