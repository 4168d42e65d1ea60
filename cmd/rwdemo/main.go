// Command rwdemo starts a small fleet on this machine, streams answers through it,
// kills an engine while they run, and checks that every answer is complete.
package main

import (
	"os"

	"ragwortwall/internal/rwcommand"
)

func main() {
	os.Exit(rwcommand.MainDemo(os.Args[1:], os.Stdout, os.Stderr))
}
