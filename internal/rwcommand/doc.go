// Package rwcommand holds the command lines of the programs. A command parses its
// flags, calls one other package and returns an exit code.
package rwcommand
