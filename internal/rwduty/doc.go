// Package rwduty decides which instance carries out the duties that exactly one instance
// has at a time, such as usage reports and orders of servers. Its holder is elected and
// fenced through one object of the platform's store, by conditional writes alone.
//
// It answers the loss, pause and cut of the holder: another instance takes over within about a
// lease, and calls of a former holder that are carried out late bear a lower fencing number.
// Lease stores, sends and times; machine decides, as a function of what it is told.
package rwduty
