// Package rwcommand is the command line of the programs: flags in, one call
// into a package, exit code out.
package rwcommand
