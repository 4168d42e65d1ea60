// Package rwservice routes calls to plain services. Idempotent calls are
// repeated within the route's retry budget. Any other call runs at most once: its
// record is written before it is sent, it is sent on a connection of its own
// that is never used again, and it is not repeated unless it is proved that no
// byte of it left.
package rwservice
