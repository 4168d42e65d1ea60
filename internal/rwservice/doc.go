// Package rwservice routes calls to plain services of the own interface. What
// follows on a try is decided in package rwattempt, as for the platform's callers,
// and calls are sent by package rwlink. Its own part is the record: a call that
// must not run twice is written down before it is sent, and its outcome after.
package rwservice
