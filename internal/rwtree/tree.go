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

// Tree is a checked tree of settings. The zero value is empty.
type Tree struct {
	objects map[string]rwobject.Object
	root    Root
	teams   map[string]Team
	keys    map[string]Caller // by the SHA-256 of an API key in hex
	servers map[string]NamedServer
	moves   map[string]Move
}

// Caller is an organisation that an API key belongs to.
type Caller struct {
	Team   string
	Name   string
	Weight int
}

// NamedServer is a backend server with its full name, team and name joined by a
// slash.
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

// Key identifies the route among all teams.
func (r NamedRoute) Key() string { return r.Team + "/" + r.Name }

// ServerNames returns the full names of the route's servers.
func (r NamedRoute) ServerNames() []string {
	names := make([]string, len(r.Servers))
	for i, name := range r.Servers {
		names[i] = r.Team + "/" + name
	}
	return names
}

// Merge reads and checks the settings objects, each by itself: whatever order
// two operators' changes arrive in, the same tree results. Its error names the
// object, the path in it, what is wrong, and the remedy. A key that two teams
// have belongs to the first by name; CheckAcross refuses it beforehand.
func Merge(objects map[string]rwobject.Object) (Tree, error) {
	t := Tree{
		objects: maps.Clone(objects),
		teams:   map[string]Team{},
		keys:    map[string]Caller{},
		servers: map[string]NamedServer{},
		moves:   map[string]Move{},
	}
	for _, name := range sortedNames(objects) {
		if err := t.add(name, objects[name].Spec); err != nil {
			return Tree{}, err
		}
	}
	return t, t.check()
}

func (t *Tree) add(name string, spec []byte) error {
	if name == RootName {
		return prefixed(name, rwjson.Unmarshal(spec, &t.root))
	}
	if strings.HasPrefix(name, MovePrefix) {
		return t.addMove(name, spec)
	}
	var team Team
	if err := rwjson.Unmarshal(spec, &team); err != nil {
		return prefixed(name, err)
	}
	t.teams[name] = team
	for server, s := range team.Servers {
		full := name + "/" + server
		t.servers[full] = NamedServer{Server: s, Name: full, Team: name}
	}
	for organisation, o := range team.Organisations {
		for _, key := range o.Keys {
			if _, taken := t.keys[key]; !taken {
				t.keys[key] = Caller{Team: name, Name: organisation, Weight: max(1, o.Weight)}
			}
		}
	}
	return nil
}

func (t *Tree) addMove(name string, spec []byte) error {
	var m Move
	if err := rwjson.Unmarshal(spec, &m); err != nil {
		return prefixed(name, err)
	}
	t.moves[name] = m
	return m.check(name + " $")
}

// With returns a tree in which one object is replaced.
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

// Object returns the object of a subtree.
func (t Tree) Object(name string) (rwobject.Object, bool) {
	o, ok := t.objects[name]
	return o, ok
}

// Names returns the names of all subtrees, the root among them.
func (t Tree) Names() []string { return sortedNames(t.objects) }

// Generation is the number of a subtree's spec, or zero when there is none.
func (t Tree) Generation(name string) int64 {
	return t.objects[name].Metadata.Generation
}

// Digest is a hash over the names and generations of all subtrees.
func (t Tree) Digest() uint64 {
	h := xxhash.New()
	for _, name := range t.Names() {
		_, _ = h.WriteString(name)
		var b [8]byte
		binary.LittleEndian.PutUint64(b[:], uint64(t.Generation(name)))
		_, _ = h.Write(b[:])
	}
	return h.Sum64()
}

// HashKey is the form in which settings hold a key.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Caller returns the organisation of an API key. The table is looked up by the
// key's SHA-256, so the time that a look-up takes tells nothing of a key that
// is nearly right.
func (t Tree) Caller(key string) (Caller, bool) {
	hashed := HashKey(key)
	caller, ok := t.keys[hashed]
	return caller, ok
}

// Operator returns the operator of a key.
func (t Tree) Operator(key string) (string, Operator, bool) {
	hashed := []byte(HashKey(key))
	for name, o := range t.root.Operators {
		if subtle.ConstantTimeCompare([]byte(o.Key), hashed) == 1 {
			return name, o, true
		}
	}
	return "", Operator{}, false
}

// May reports whether the operator may change a subtree.
func (o Operator) May(subtree string) bool {
	return slices.Contains(o.Teams, "*") || subtree != RootName && slices.Contains(o.Teams, subtree)
}

// Signing returns the keys for cursors, newest first.
func (t Tree) Signing() [][]byte {
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

// Servers returns all backend servers, by name.
func (t Tree) Servers() []NamedServer {
	var all []NamedServer
	for _, name := range slices.Sorted(maps.Keys(t.servers)) {
		all = append(all, t.servers[name])
	}
	return all
}

// Route returns a route by its key, team and name joined by a slash.
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

// Models returns the names of the models that a team has routes for.
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

// ServiceRoute returns a team's route with the longest prefix of a path.
func (t Tree) ServiceRoute(team, path string) (NamedRoute, bool) {
	var best NamedRoute
	for name, r := range t.teams[team].Routes {
		if r.Path != "" && strings.HasPrefix(path, r.Path) && len(r.Path) > len(best.Path) {
			best = NamedRoute{Route: r, Name: name, Team: team}
		}
	}
	return best, best.Path != ""
}

// Routes returns all routes of all teams, ordered by key.
func (t Tree) Routes() []NamedRoute {
	var all []NamedRoute
	for team, subtree := range t.teams {
		for name, r := range subtree.Routes {
			all = append(all, NamedRoute{Route: r, Name: name, Team: team})
		}
	}
	slices.SortFunc(all, func(a, b NamedRoute) int { return strings.Compare(a.Key(), b.Key()) })
	return all
}

func sortedNames(objects map[string]rwobject.Object) []string {
	return slices.Sorted(maps.Keys(objects))
}
