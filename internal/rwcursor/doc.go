// Package rwcursor signs and verifies the cursors in the id field of each server-sent
// event.
//
// A cursor is a position in an answer: generation, run, offset, and the digest of
// all tokens before the offset. Its MAC also covers the organisation's name, so an
// organisation can't resume the answer of another.
package rwcursor
