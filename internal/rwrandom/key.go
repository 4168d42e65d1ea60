// Package rwrandom generates random secrets.
package rwrandom

import "crypto/rand"

// NewAPIKey returns a new random API key of 26 letters and digits with at least 128
// bits of entropy.
func NewAPIKey() string { return rand.Text() }
