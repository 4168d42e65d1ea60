package rwcommand_test

import (
	"bytes"
	"io"
	"testing"

	"ragwortwall/internal/rwcommand"

	"github.com/stretchr/testify/require"
)

// TestHelp checks that --help only prints the usage. Programs that went on to their
// work after it left processes running when the reader of their output closed it.
func TestHelp(t *testing.T) {
	for name, program := range map[string]func([]string, io.Writer, io.Writer) int{
		"ragwortwall": rwcommand.Main, "rwdemo": rwcommand.MainDemo, "rwload": rwcommand.MainLoad,
		"rwmeasure": rwcommand.MainMeasure, "rwstandin": rwcommand.MainStandin,
	} {
		t.Run(name, func(t *testing.T) {
			var out, err bytes.Buffer
			require.Zero(t, program([]string{"--help"}, &out, &err))
			require.Contains(t, out.String(), "Usage:")
			require.NotContains(t, out.String(), "{", "the program did its work and printed a report")
			require.Empty(t, err.String())
			require.Equal(t, 2, program([]string{"--no-such-option"}, &out, &err))
		})
	}
}
