// Package rwcursor makes and checks the cursors that stand in the id field of
// each event. A cursor names a place in one answer: generation, run, offset,
// and the digest of all tokens before it. It is authenticated together with the
// organisation's name, so nobody resumes another organisation's answer.
package rwcursor
