// Command ragwortwall runs an entry instance and the operators' commands.
package main

import (
	"os"

	"ragwortwall/internal/rwcommand"
)

func main() {
	os.Exit(rwcommand.Main(os.Args[1:], os.Stdout, os.Stderr))
}
