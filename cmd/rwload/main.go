// Command rwload sends load to instances and checks every answer.
package main

import (
	"os"

	"ragwortwall/internal/rwcommand"
)

func main() {
	os.Exit(rwcommand.MainLoad(os.Args[1:], os.Stdout, os.Stderr))
}
