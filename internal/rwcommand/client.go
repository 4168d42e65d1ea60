package rwcommand

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"ragwortwall/internal/rwerror"
	"ragwortwall/internal/rwlink"

	"github.com/juju/errors"
)

// operatorOptions are the flags that all commands for operators share.
type operatorOptions struct {
	URL  string `long:"url" env:"RAGWORTWALL_URL" default:"http://127.0.0.1:9000" description:"URL of the operators' interface of any instance"`
	Key  string `long:"key" env:"RAGWORTWALL_KEY" description:"key of the operator"`
	JSON bool   `long:"json" description:"print the result as JSON"`

	std stdio
}

const (
	operatorTimeout = 10 * time.Second // for one call of the operators' interface
	inForceTimeout  = 30 * time.Second // for a change to be in force at every instance
	pollInterval    = 100 * time.Millisecond
	maxAnswerBytes  = 64 << 20 // the whole settings tree
)

// callAPI sends body as JSON to the operators' interface and decodes the response
// into result. For an error response it returns the rwerror.Error that the body holds,
// if any.
func (c *operatorOptions) callAPI(method, path string, body, result any) error {
	content, err := json.Marshal(body)
	if err != nil {
		return errors.Trace(err)
	}
	request, err := http.NewRequest(method, c.URL+path, bytes.NewReader(content))
	if err != nil {
		return errors.Trace(err)
	}
	request.Header.Set("Operator-Key", c.Key)
	client := &http.Client{Timeout: operatorTimeout}
	response, err := client.Do(request)
	if err != nil {
		return rwerror.New(rwerror.KindUnavailable, "check --url, or specify another instance", "%v", err)
	}
	defer response.Body.Close()
	content, err = rwlink.ReadAll(response.Body, maxAnswerBytes)
	if err != nil {
		return errors.Trace(err)
	}
	if response.StatusCode < http.StatusOK || response.StatusCode >= http.StatusMultipleChoices {
		if e, ok := rwerror.FromAnswer(content); ok {
			return e
		}
		return errors.Errorf("status %d: %s", response.StatusCode, content)
	}
	return errors.Trace(json.Unmarshal(content, result))
}

// printResult prints a result as JSON with --json, otherwise as text by printText,
// whose tab-separated cells it aligns.
func (c *operatorOptions) printResult(result any, printText func(w io.Writer)) error {
	if c.JSON {
		encoder := json.NewEncoder(c.std.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(result)
	}
	w := tabwriter.NewWriter(c.std.out, 0, 0, 2, ' ', 0)
	printText(w)
	return w.Flush()
}

// printRow prints a table row with tab-separated cells.
func printRow(w io.Writer, cells ...any) {
	for i, cell := range cells {
		if i > 0 {
			fmt.Fprint(w, "\t")
		}
		fmt.Fprint(w, cell)
	}
	fmt.Fprintln(w)
}
