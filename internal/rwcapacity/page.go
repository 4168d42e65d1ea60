package rwcapacity

import (
	"strings"

	"github.com/juju/errors"
)

// The markers in the page that enclose the generated tables.
const (
	tablesBegin = "<!-- tables: written by make slopes -->"
	tablesEnd   = "<!-- end of tables -->"
)

// ReplaceTables returns the page with the text between the markers replaced by
// tables. It returns an error if a marker is missing.
func ReplaceTables(page, tables string) (string, error) {
	head, rest, ok := strings.Cut(page, tablesBegin)
	_, tail, closed := strings.Cut(rest, tablesEnd)
	if !ok || !closed {
		return "", errors.Errorf("the page must contain the markers %q and %q, in this order", tablesBegin, tablesEnd)
	}
	return head + tablesBegin + "\n\n" + tables + "\n" + tablesEnd + tail, nil
}
