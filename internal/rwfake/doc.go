// Package rwfake implements an in-memory network for tests. It injects the
// faults of a network and its hosts: frozen and killed hosts, and partitions. It
// works under the virtual time of testing/synctest.
package rwfake
