package rwplatform

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"ragwortwall/internal/rwerror"
	"ragwortwall/internal/rwjson"
	"ragwortwall/internal/rwobject"

	"github.com/juju/errors"
)

const (
	basePath              = "/apis/ragwortwall/v1/"
	maxResponseBytes      = 64 << 20
	maxEventBytes         = 8 << 20 // an object has about a megabyte at most
	unavailableRetryAfter = 2 * time.Second
	// maxNesting is how deeply a response may be nested. What is deeper is left out, so that
	// one object does not hide the others.
	maxNesting = 64
)

// ErrCompacted is returned for a watch or list from a revision that the platform
// no longer has. The caller must list again and watch from the new list's revision.
var ErrCompacted = rwerror.New(rwerror.KindConflict, "list again and watch from the revision of the new list", "the platform no longer has this revision")

// Client calls the platform's API. Set the fields before first use.
type Client struct {
	URL     string        // scheme and address
	HTTP    *http.Client  // must not retry requests
	Timeout time.Duration // of each call except a watch
}

// Get reads one object. It fails with kind notfound if the object does not exist.
func (c *Client) Get(ctx context.Context, kind rwobject.Kind, name string) (rwobject.Object, error) {
	var o rwobject.Object
	err := c.call(ctx, http.MethodGet, objectPath(kind, name), nil, &o)
	return o, err
}

// List reads all objects of a kind, and the revision to watch them from.
func (c *Client) List(ctx context.Context, kind rwobject.Kind) ([]rwobject.Object, string, error) {
	var l rwobject.List
	err := c.call(ctx, http.MethodGet, string(kind), nil, &l)
	return l.Items, l.Metadata.ResourceVersion, err
}

// ListLabel reads all objects of a kind that have a label with the given value.
func (c *Client) ListLabel(ctx context.Context, kind rwobject.Kind, label, value string) ([]rwobject.Object, error) {
	var l rwobject.List
	err := c.call(ctx, http.MethodGet, string(kind)+"?labelSelector="+url.QueryEscape(label+"="+value), nil, &l)
	return l.Items, err
}

// Create creates an object. It fails with kind conflict if the object exists.
func (c *Client) Create(ctx context.Context, o rwobject.Object) (rwobject.Object, error) {
	var stored rwobject.Object
	err := c.call(ctx, http.MethodPost, o.Kind, o, &stored)
	return stored, err
}

// Update replaces an object. It fails with kind conflict if the object's
// resourceVersion has changed.
func (c *Client) Update(ctx context.Context, o rwobject.Object) (rwobject.Object, error) {
	var stored rwobject.Object
	err := c.call(ctx, http.MethodPut, objectPath(rwobject.Kind(o.Kind), o.Metadata.Name), o, &stored)
	return stored, err
}

// Delete removes an object. It fails with kind conflict if the object's
// resourceVersion has changed.
func (c *Client) Delete(ctx context.Context, o rwobject.Object) error {
	path := objectPath(rwobject.Kind(o.Kind), o.Metadata.Name) + "?resourceVersion=" + url.QueryEscape(o.Metadata.ResourceVersion)
	return c.call(ctx, http.MethodDelete, path, nil, nil)
}

func objectPath(kind rwobject.Kind, name string) string {
	return string(kind) + "/" + url.PathEscape(name)
}

func (c *Client) call(ctx context.Context, method, path string, body, result any) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	response, err := c.send(ctx, method, path, body)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return unavailableError(method, err)
	}
	if response.StatusCode >= http.StatusBadRequest {
		return statusError(method, path, response.StatusCode, content)
	}
	if result == nil {
		return nil
	}
	if err := json.Unmarshal(rwjson.Prune(content, maxNesting), result); err != nil {
		return unavailableError(method, err)
	}
	return nil
}

func (c *Client) send(ctx context.Context, method, path string, body any) (*http.Response, error) {
	var content io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return nil, errors.Trace(err)
		}
		// net/http can't rewind a MultiReader, so it never sends a write twice.
		content = io.MultiReader(bytes.NewReader(b))
	}
	request, err := http.NewRequestWithContext(ctx, method, c.URL+basePath+path, content)
	if err != nil {
		return nil, errors.Trace(err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.HTTP.Do(request)
	if err != nil {
		return nil, unavailableError(method, err)
	}
	return response, nil
}

func unavailableError(method string, cause error) error {
	unavailable := rwerror.New(rwerror.KindUnavailable, "retry after the time in Retry-After", "the call to the platform's API failed: %v", cause)
	unavailable.RetryAfter = unavailableRetryAfter
	if method != http.MethodGet {
		unavailable.Ran = rwerror.RanUnknown
	}
	return unavailable
}

func statusError(method, path string, status int, content []byte) error {
	text := strings.TrimSpace(string(content[:min(len(content), 200)]))
	switch status {
	case http.StatusNotFound:
		return rwerror.New(rwerror.KindNotFound, "check the name, or create the object first", "the platform has no object %s", path)
	case http.StatusConflict:
		return rwerror.New(rwerror.KindConflict, "read the current value and decide again", "another writer changed %s first", path)
	case http.StatusGone:
		return ErrCompacted
	case http.StatusBadRequest, http.StatusUnprocessableEntity, http.StatusRequestEntityTooLarge:
		return rwerror.New(rwerror.KindInvalid, "correct the object", "the platform refused %s: %s", path, text)
	}
	return unavailableError(method, errors.Errorf("status %d: %s", status, text))
}

// scanWholeLines is a bufio.SplitFunc for lines that end with a newline. Anything but white space
// after the last one is an error.
func scanWholeLines(data []byte, atEOF bool) (advance int, line []byte, err error) {
	if n := bytes.IndexByte(data, '\n'); n >= 0 {
		return n + 1, data[:n+1], nil
	}
	if atEOF && len(bytes.TrimSpace(data)) > 0 {
		return 0, nil, io.ErrUnexpectedEOF
	}
	return 0, nil, nil
}

// Watch calls visit with each change to the objects of a kind after a revision. It
// returns nil when the platform ends the watch after about period, and an error when ctx
// ends, the stream breaks or visit returns one, and ErrCompacted when the platform no
// longer has the revision.
func (c *Client) Watch(ctx context.Context, kind rwobject.Kind, revision string, period time.Duration, visit func(rwobject.Event) error) error {
	path := string(kind) + "?watch=true&resourceVersion=" + url.QueryEscape(revision) + "&timeoutSeconds=" + strconv.Itoa(int(period.Seconds()))
	response, err := c.send(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		return statusError(http.MethodGet, path, response.StatusCode, nil)
	}
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, maxEventBytes)
	lines.Split(scanWholeLines)
	for {
		if !lines.Scan() {
			if err := lines.Err(); err != nil {
				return unavailableError(http.MethodGet, err)
			}
			return nil
		}
		var event rwobject.Event
		if err := json.Unmarshal(rwjson.Prune(lines.Bytes(), maxNesting), &event); err != nil {
			return unavailableError(http.MethodGet, err)
		}
		if event.Type == "ERROR" {
			return ErrCompacted
		}
		if err := visit(event); err != nil {
			return err
		}
	}
}
