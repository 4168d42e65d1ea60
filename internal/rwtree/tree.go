package rwtree

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"encoding/hex"
	"maps"
	"slices"
	"strings"

	"ragwortwall/internal/rwjson"
	"ragwortwall/internal/rwobject"

	"github.com/cespare/xxhash/v2"
)

// Tree is a validated settings tree. The zero value is empty.
type Tree struct {
	objects          map[string]rwobject.Object
	root             Root
	teams            map[string]Team
	callersByKeyHash map[string]Caller // keyed by the hex SHA-256 of an API key
	servers          map[string]NamedServer
	moves            map[string]Move
	revisions        map[string]rwobject.Revision
}

// Caller is the organisation that an API key belongs to.
type Caller struct {
	Team   string
	Name   string
	Weight int
}

// NamedServer is a backend server with its team and its full name: team and name
// joined by a slash.
type NamedServer struct {
	Server

	Name string
	Team string
}

// NamedRoute is a route with its name and team.
type NamedRoute struct {
	Route

	Name string
	Team string
}

// Key returns the route's key: team and name joined by a slash.
func (r NamedRoute) Key() string { return r.Team + "/" + r.Name }

// ServerNames returns the full names of the route's servers.
func (r NamedRoute) ServerNames() []string {
	names := make([]string, len(r.Servers))
	for i, name := range r.Servers {
		names[i] = r.Team + "/" + name
	}
	return names
}

// Merge decodes and validates settings objects and returns their tree. It validates
// each object on its own, so the result does not depend on the order in which
// changes of several operators arrive. An error names the object, the path in it, the
// reason and the remedy.
//
// An API key that two teams use belongs to the team that is first by name.
// CheckUniqueKeys rejects such a key before an operator's change is accepted.
func Merge(objects map[string]rwobject.Object) (Tree, error) {
	t := Tree{
		objects:          maps.Clone(objects),
		teams:            map[string]Team{},
		callersByKeyHash: map[string]Caller{},
		servers:          map[string]NamedServer{},
		moves:            map[string]Move{},
		revisions:        map[string]rwobject.Revision{},
	}
	for _, name := range sortedNames(objects) {
		if err := t.addObject(name, objects[name].Spec); err != nil {
			return Tree{}, err
		}
		t.revisions[name] = objects[name].Revision()
	}
	return t, t.check()
}

// addObject decodes an object and adds it to the tree. Objects must be added in order of
// their names: a key that two teams use belongs to the first.
func (t *Tree) addObject(name string, spec []byte) error {
	if name == RootName {
		return withObjectName(name, rwjson.Unmarshal(spec, &t.root))
	}
	if strings.HasPrefix(name, MovePrefix) {
		return t.addMove(name, spec)
	}
	var team Team
	if err := rwjson.Unmarshal(spec, &team); err != nil {
		return withObjectName(name, err)
	}
	t.teams[name] = team
	for server, s := range team.Servers {
		fullName := name + "/" + server
		t.servers[fullName] = NamedServer{Server: s, Name: fullName, Team: name}
	}
	for organisation, o := range team.Organisations {
		for _, key := range o.Keys {
			if _, taken := t.callersByKeyHash[key]; !taken {
				t.callersByKeyHash[key] = Caller{Team: name, Name: organisation, Weight: max(1, o.Weight)}
			}
		}
	}
	return nil
}

func (t *Tree) addMove(name string, spec []byte) error {
	var m Move
	if err := rwjson.Unmarshal(spec, &m); err != nil {
		return withObjectName(name, err)
	}
	t.moves[name] = m
	return m.check(name + " $")
}

// With returns a tree in which one object is added or replaced.
func (t Tree) With(o rwobject.Object) (Tree, error) {
	objects := maps.Clone(t.objects)
	if objects == nil {
		objects = map[string]rwobject.Object{}
	}
	objects[o.Metadata.Name] = o
	return Merge(objects)
}

// Empty reports whether the tree has no root yet.
func (t Tree) Empty() bool {
	_, ok := t.objects[RootName]
	return !ok
}

// Object returns the object with a name: the root, a team's subtree or a move.
func (t Tree) Object(name string) (rwobject.Object, bool) {
	o, ok := t.objects[name]
	return o, ok
}

// Names returns the names of all objects, including the root, in order.
func (t Tree) Names() []string { return sortedNames(t.objects) }

// Generation returns an object's generation, or 0 if there is no such object.
func (t Tree) Generation(name string) int64 { return t.revisions[name].Generation }

// Revision returns an object's revision, or the zero Revision if there is no such object.
func (t Tree) Revision(name string) rwobject.Revision { return t.revisions[name] }

// Digest returns a hash of the names and revisions of all objects. Equal digests
// mean that two instances have the same settings in force.
func (t Tree) Digest() uint64 {
	h := xxhash.New()
	for _, name := range t.Names() {
		_, _ = h.WriteString(name)
		var b [16]byte
		binary.LittleEndian.PutUint64(b[:8], uint64(t.Generation(name)))
		binary.LittleEndian.PutUint64(b[8:], t.Revision(name).Content)
		_, _ = h.Write(b[:])
	}
	return h.Sum64()
}

// HashKey returns the SHA-256 of a key in hex, the form in which settings hold keys.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Caller returns the organisation that an API key belongs to. The lookup uses the
// key's SHA-256, so its timing does not reveal whether a guessed key is close to a
// valid one.
func (t Tree) Caller(key string) (Caller, bool) {
	hash := HashKey(key)
	caller, ok := t.callersByKeyHash[hash]
	return caller, ok
}

// Operator returns the name and the settings of the operator that a key belongs to.
func (t Tree) Operator(key string) (string, Operator, bool) {
	hash := []byte(HashKey(key))
	for name, o := range t.root.Operators {
		if subtle.ConstantTimeCompare([]byte(o.Key), hash) == 1 {
			return name, o, true
		}
	}
	return "", Operator{}, false
}

// MayChange reports whether the operator may change a subtree.
func (o Operator) MayChange(subtree string) bool {
	return slices.Contains(o.Teams, "*") || subtree != RootName && slices.Contains(o.Teams, subtree)
}

// SigningKeys returns the keys that sign cursors, newest first.
func (t Tree) SigningKeys() [][]byte {
	var keys [][]byte
	for _, text := range t.root.Signing {
		key, _ := hex.DecodeString(text)
		keys = append(keys, key)
	}
	return keys
}

// Server returns a backend server by its full name.
func (t Tree) Server(name string) (NamedServer, bool) {
	s, ok := t.servers[name]
	return s, ok
}

// Servers returns all backend servers, ordered by full name.
func (t Tree) Servers() []NamedServer {
	var servers []NamedServer
	for _, name := range slices.Sorted(maps.Keys(t.servers)) {
		servers = append(servers, t.servers[name])
	}
	return servers
}

// Route returns a route by its key: team and name joined by a slash.
func (t Tree) Route(key string) (NamedRoute, bool) {
	team, name, _ := strings.Cut(key, "/")
	r, ok := t.teams[team].Routes[name]
	return NamedRoute{Route: r, Name: name, Team: team}, ok
}

// ModelRoute returns a team's route for a model.
func (t Tree) ModelRoute(team, model string) (NamedRoute, bool) {
	for name, r := range t.teams[team].Routes {
		if r.Model == model && model != "" {
			return NamedRoute{Route: r, Name: name, Team: team}, true
		}
	}
	return NamedRoute{}, false
}

// Models returns the sorted names of the models that a team has routes for.
func (t Tree) Models(team string) []string {
	var models []string
	for _, r := range t.teams[team].Routes {
		if r.Model != "" {
			models = append(models, r.Model)
		}
	}
	slices.Sort(models)
	return models
}

// ServiceRoute returns the team's service route whose path is the longest prefix of
// the given path.
func (t Tree) ServiceRoute(team, path string) (NamedRoute, bool) {
	var longest NamedRoute
	for name, r := range t.teams[team].Routes {
		if r.Path != "" && strings.HasPrefix(path, r.Path) && len(r.Path) > len(longest.Path) {
			longest = NamedRoute{Route: r, Name: name, Team: team}
		}
	}
	return longest, longest.Path != ""
}

// Routes returns all routes of all teams, ordered by key.
func (t Tree) Routes() []NamedRoute {
	var routes []NamedRoute
	for team, subtree := range t.teams {
		for name, r := range subtree.Routes {
			routes = append(routes, NamedRoute{Route: r, Name: name, Team: team})
		}
	}
	slices.SortFunc(routes, func(a, b NamedRoute) int { return strings.Compare(a.Key(), b.Key()) })
	return routes
}

func sortedNames(objects map[string]rwobject.Object) []string {
	return slices.Sorted(maps.Keys(objects))
}
