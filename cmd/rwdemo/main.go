// Command rwdemo runs a small fleet on this machine, streams an answer through
// it, kills the engine in the middle, and checks the whole answer.
package main

import (
	"os"

	"ragwortwall/internal/rwcommand"
)

func main() {
	os.Exit(rwcommand.MainDemo(os.Args[1:], os.Stdout, os.Stderr))
}
