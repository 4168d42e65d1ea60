package rwpart

import (
	"cmp"
	"net/url"
	"path"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Bounds on the traits of one request.
const (
	maxDirectories = 4
	maxParameters  = 8
	maxQueryLen    = 4 << 10 // bytes; a longer query has no traits
	maxLabelLen    = 32      // bytes of a parameter's name in a label
)

// Target is what requests without a prompt are compared by.
type Target struct {
	Organisation, Service string
	Method, Host          string
	Prefix                string // of the paths of its route; ends with a slash
	Path, Query           string
	Body                  []byte
}

// Trait is something that different requests may have in common and that may be why they
// crash servers. Like a part of a prompt it is identified by its key.
type Trait struct {
	Key   Key
	Label string // for log lines; without values, which may be secret
}

// Traits returns what callers leave unchanged if they change something else with each
// repeat: the path, its directories below the route's prefix, each parameter of the query, and
// the body.
func (t Target) Traits() []Trait {
	traits := []Trait{t.trait("path", t.Path)}
	directory := path.Dir(t.Path)
	for n := 0; n < maxDirectories && len(directory) >= len(t.Prefix); n++ {
		traits = append(traits, t.trait("directory", directory))
		directory = path.Dir(directory)
	}
	for _, p := range parameters(t.Query) {
		traits = append(traits, t.trait("parameter "+p.name[:min(len(p.name), maxLabelLen)], p.name, p.values))
	}
	if len(t.Body) > 0 {
		traits = append(traits, t.trait("body", strconv.FormatUint(xxhash.Sum64(t.Body), 16)))
	}
	return traits
}

func (t Target) trait(label string, values ...string) Trait {
	texts := append([]string{"trait", t.Organisation, t.Service, t.Method, t.Host, label}, values...)
	return Trait{Key(digest(texts...)), label}
}

// parameter is a parameter of a query with all its values.
type parameter struct{ name, values string }

// parameters returns the first parameters of a query, in order of their names.
func parameters(query string) []parameter {
	if query == "" || len(query) > maxQueryLen {
		return nil
	}
	values, _ := url.ParseQuery(query) // what can't be parsed has no traits
	all := make([]parameter, 0, len(values))
	for name, v := range values {
		all = append(all, parameter{name, strings.Join(v, "\x00")})
	}
	slices.SortFunc(all, func(a, b parameter) int { return cmp.Compare(a.name, b.name) })
	return all[:min(len(all), maxParameters)]
}
