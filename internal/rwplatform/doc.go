// Package rwplatform is the client of the platform's versioned object API.
//
// The platform's response can be lost after a write has taken effect.
// WriteConditionally detects this by a nonce that it writes with the object and
// compares when it reads the object back. Client.Create and Client.Update do not: they report such
// a write as an error of kind unavailable with Ran unknown.
package rwplatform
