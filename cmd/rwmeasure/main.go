// Command rwmeasure runs measurement scenarios and compares each figure with the
// target that the users set for it.
package main

import (
	"os"

	"ragwortwall/internal/rwcommand"
)

func main() {
	os.Exit(rwcommand.MainMeasure(os.Args[1:], os.Stdout, os.Stderr))
}
