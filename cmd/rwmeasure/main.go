// Command rwmeasure measures what the users asked for and sets each figure
// against its target.
package main

import (
	"os"

	"ragwortwall/internal/rwcommand"
)

func main() {
	os.Exit(rwcommand.MainMeasure(os.Args[1:], os.Stdout, os.Stderr))
}
