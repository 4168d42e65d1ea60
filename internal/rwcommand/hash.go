package rwcommand

import (
	"fmt"

	"ragwortwall/internal/rwtree"
)

type hashCommand struct {
	Arguments struct {
		Key string `positional-arg-name:"key" required:"yes"`
	} `positional-args:"yes"`

	std stdio
}

// Execute prints the hash of the key.
func (c *hashCommand) Execute([]string) error {
	_, err := fmt.Fprintln(c.std.out, rwtree.HashKey(c.Arguments.Key))
	return err
}
