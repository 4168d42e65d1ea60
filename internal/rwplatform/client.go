package rwplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"ragwortwall/internal/rwerror"
	"ragwortwall/internal/rwobject"

	"github.com/juju/errors"
)

const (
	basePath        = "/apis/ragwortwall/v1/"
	maxAnswerBytes  = 64 << 20
	retryAfterStore = 2 * time.Second
)

// ErrCompacted says that a watch or list asked for a revision that the platform
// no longer has. List anew and watch from there.
var ErrCompacted = rwerror.New(rwerror.KindConflict, "list anew and watch from the list's revision", "the platform no longer has this revision")

// Client calls the platform's API. Set the fields before first use.
type Client struct {
	URL     string        // scheme and address
	HTTP    *http.Client  // must not retry by itself
	Timeout time.Duration // for each call but a watch
}

// Get reads one object.
func (c *Client) Get(ctx context.Context, kind rwobject.Kind, name string) (rwobject.Object, error) {
	var o rwobject.Object
	err := c.call(ctx, http.MethodGet, objectPath(kind, name), nil, &o)
	return o, err
}

// List reads all objects of a kind and the revision that the list shows.
func (c *Client) List(ctx context.Context, kind rwobject.Kind) ([]rwobject.Object, string, error) {
	var l rwobject.List
	err := c.call(ctx, http.MethodGet, string(kind), nil, &l)
	return l.Items, l.Metadata.ResourceVersion, err
}

// ListLabel reads all objects of a kind that carry a label.
func (c *Client) ListLabel(ctx context.Context, kind rwobject.Kind, label, value string) ([]rwobject.Object, error) {
	var l rwobject.List
	err := c.call(ctx, http.MethodGet, string(kind)+"?labelSelector="+url.QueryEscape(label+"="+value), nil, &l)
	return l.Items, err
}

// Create makes an object that must not exist.
func (c *Client) Create(ctx context.Context, o rwobject.Object) (rwobject.Object, error) {
	var made rwobject.Object
	err := c.call(ctx, http.MethodPost, o.Kind, o, &made)
	return made, err
}

// Update replaces an object if its resourceVersion is still the given one.
func (c *Client) Update(ctx context.Context, o rwobject.Object) (rwobject.Object, error) {
	var made rwobject.Object
	err := c.call(ctx, http.MethodPut, objectPath(rwobject.Kind(o.Kind), o.Metadata.Name), o, &made)
	return made, err
}

// Delete removes an object if its resourceVersion is still the given one.
func (c *Client) Delete(ctx context.Context, o rwobject.Object) error {
	path := objectPath(rwobject.Kind(o.Kind), o.Metadata.Name) + "?resourceVersion=" + url.QueryEscape(o.Metadata.ResourceVersion)
	return c.call(ctx, http.MethodDelete, path, nil, nil)
}

func objectPath(kind rwobject.Kind, name string) string {
	return string(kind) + "/" + url.PathEscape(name)
}

func (c *Client) call(ctx context.Context, method, path string, body, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	response, err := c.send(ctx, method, path, body)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return unavailable(method, err)
	}
	if response.StatusCode >= http.StatusBadRequest {
		return statusError(method, path, response.StatusCode, content)
	}
	if answer == nil {
		return nil
	}
	if err := json.Unmarshal(content, answer); err != nil {
		return unavailable(method, err)
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
		// A reader that net/http can't rewind: it must never re-send a write.
		content = io.MultiReader(bytes.NewReader(b))
	}
	request, err := http.NewRequestWithContext(ctx, method, c.URL+basePath+path, content)
	if err != nil {
		return nil, errors.Trace(err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.HTTP.Do(request)
	if err != nil {
		return nil, unavailable(method, err)
	}
	return response, nil
}

func unavailable(method string, cause error) error {
	e := rwerror.New(rwerror.KindUnavailable, "come back when the platform answers again", "the platform's API did not answer: %v", cause)
	e.RetryAfter = retryAfterStore
	if method != http.MethodGet {
		e.Ran = rwerror.RanUnknown
	}
	return e
}

func statusError(method, path string, status int, content []byte) error {
	text := strings.TrimSpace(string(content[:min(len(content), 200)]))
	switch status {
	case http.StatusNotFound:
		return rwerror.New(rwerror.KindNotFound, "check the name, or create it first", "the platform has no object %s", path)
	case http.StatusConflict:
		return rwerror.New(rwerror.KindConflict, "read the current value and decide again", "another writer changed %s first", path)
	case http.StatusGone:
		return ErrCompacted
	case http.StatusBadRequest, http.StatusUnprocessableEntity, http.StatusRequestEntityTooLarge:
		return rwerror.New(rwerror.KindInvalid, "correct the object", "the platform refused %s: %s", path, text)
	}
	return unavailable(method, errors.Errorf("status %d: %s", status, text))
}

// Watch calls visit with each change of a kind after a revision until ctx ends,
// the stream breaks, or visit returns an error.
func (c *Client) Watch(ctx context.Context, kind rwobject.Kind, revision string, visit func(rwobject.Event) error) error {
	path := string(kind) + "?watch=true&resourceVersion=" + url.QueryEscape(revision)
	response, err := c.send(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		return statusError(http.MethodGet, path, response.StatusCode, nil)
	}
	decoder := json.NewDecoder(response.Body)
	for {
		var event rwobject.Event
		if err := decoder.Decode(&event); err != nil {
			return unavailable(http.MethodGet, err)
		}
		if event.Type == "ERROR" {
			return ErrCompacted
		}
		if err := visit(event); err != nil {
			return err
		}
	}
}
