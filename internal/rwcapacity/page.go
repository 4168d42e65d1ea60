package rwcapacity

import (
	"strings"

	"github.com/juju/errors"
)

// The marks between which the page's tables stand.
const (
	begin = "<!-- tables: written by make slopes -->"
	end   = "<!-- end of tables -->"
)

// Rewrite returns the page with its tables replaced.
func Rewrite(page, tables string) (string, error) {
	head, rest, ok := strings.Cut(page, begin)
	_, tail, closed := strings.Cut(rest, end)
	if !ok || !closed {
		return "", errors.Errorf("the page lacks the marks %q and %q", begin, end)
	}
	return head + begin + "\n\n" + tables + "\n" + end + tail, nil
}
