// Package rwduty decides which instance carries out the duties that exactly one instance
// has at a time, such as usage reports and orders of servers. Its holder is elected and
// fenced through one object of the platform's store, by conditional writes alone.
package rwduty
