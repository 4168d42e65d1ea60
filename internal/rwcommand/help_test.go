package rwcommand_test

import (
	"bytes"
	"io"
	"testing"

	"ragwortwall/internal/rwcommand"

	"github.com/stretchr/testify/require"
)

// TestHelp guards against programs that continue after printing the usage for --help:
// they left processes running when the reader of their output closed the pipe. It also
// checks the exit code for an unknown flag.
func TestHelp(t *testing.T) {
	for name, program := range map[string]func([]string, io.Writer, io.Writer) int{
		"ragwortwall": rwcommand.Main, "rwdemo": rwcommand.MainDemo, "rwload": rwcommand.MainLoad,
		"rwmeasure": rwcommand.MainMeasure, "rwstandin": rwcommand.MainStandin,
	} {
		t.Run(name, func(t *testing.T) {
			var stdout, stderr bytes.Buffer
			require.Zero(t, program([]string{"--help"}, &stdout, &stderr))
			require.Contains(t, stdout.String(), "Usage:")
			require.NotContains(t, stdout.String(), "{", "the program continued after the usage and printed a report")
			require.Empty(t, stderr.String())
			require.Equal(t, 2, program([]string{"--no-such-option"}, &stdout, &stderr))
		})
	}
}
