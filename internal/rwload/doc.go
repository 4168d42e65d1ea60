// Package rwload is an open-loop load generator that verifies every answer. The
// stand-in engine's model is deterministic, so the text of each answer is
// compared with what that model generates for the same prompt and version.
package rwload
