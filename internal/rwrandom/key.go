// Package rwrandom makes secrets.
package rwrandom

import "crypto/rand"

// Key returns a new API key: 26 letters and digits, with 128 random bits.
func Key() string { return rand.Text() }
