// Command rwstandin runs a stand-in, for tests, of the platform, a model engine or a
// plain service.
package main

import (
	"os"

	"ragwortwall/internal/rwcommand"
)

func main() {
	os.Exit(rwcommand.MainStandin(os.Args[1:], os.Stdout, os.Stderr))
}
