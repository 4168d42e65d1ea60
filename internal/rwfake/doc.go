// Package rwfake is an in-memory network for tests, with the faults that a
// network and the hosts on it show. It runs under virtual time.
package rwfake
