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

	"github.com/juju/errors"
)

// operatorOptions are the flags of all operators' commands.
type operatorOptions struct {
	URL  string `long:"url" env:"RAGWORTWALL_URL" default:"http://127.0.0.1:9000" description:"operators' interface of any instance"`
	Key  string `long:"key" env:"RAGWORTWALL_KEY" description:"operator's key"`
	JSON bool   `long:"json" description:"print JSON"`

	o output
}

const (
	operatorTimeout = 10 * time.Second
	waitTime        = 30 * time.Second
	waitPause       = 100 * time.Millisecond
)

// call sends a request to the operators' interface.
func (c *operatorOptions) call(method, path string, body, answer any) error {
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
		return rwerror.New(rwerror.KindUnavailable, "check --url, or name another instance", "%v", err)
	}
	defer response.Body.Close()
	content, err = io.ReadAll(response.Body)
	if err != nil {
		return errors.Trace(err)
	}
	if response.StatusCode >= http.StatusBadRequest {
		if e, ok := rwerror.FromAnswer(content); ok {
			return e
		}
		return errors.Errorf("status %d: %s", response.StatusCode, content)
	}
	return errors.Trace(json.Unmarshal(content, answer))
}

// print prints an answer as JSON, or in its human form.
func (c *operatorOptions) print(answer any, human func(w io.Writer)) error {
	if c.JSON {
		encoder := json.NewEncoder(c.o.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(answer)
	}
	w := tabwriter.NewWriter(c.o.out, 0, 0, 2, ' ', 0)
	human(w)
	return w.Flush()
}

// row prints one line of a table.
func row(w io.Writer, cells ...any) {
	for i, cell := range cells {
		if i > 0 {
			fmt.Fprint(w, "\t")
		}
		fmt.Fprint(w, cell)
	}
	fmt.Fprintln(w)
}
