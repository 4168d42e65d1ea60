package rwcommand

import (
	"fmt"

	"ragwortwall/internal/rwtree"
)

type hashCommand struct {
	Arguments struct {
		Key string `positional-arg-name:"key" required:"yes"`
	} `positional-args:"yes"`

	o output
}

// Execute prints the hash.
func (c *hashCommand) Execute([]string) error {
	_, err := fmt.Fprintln(c.o.out, rwtree.HashKey(c.Arguments.Key))
	return err
}
