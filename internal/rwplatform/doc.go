// Package rwplatform is the client of the platform's versioned object API.
//
// An answer of the platform can be lost after the change has taken effect.
// Apply resolves this by a nonce that it writes with the object and looks for
// when it reads the object back. Bare Create and Update report such a write as
// unavailable with Ran unknown.
package rwplatform
