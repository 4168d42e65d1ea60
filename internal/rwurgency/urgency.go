// Package rwurgency holds how urgent a request is, as one immutable value. It answers load
// that competes for scarce room: the order of waiting, what servers are told, what is left
// for others and who is refused all follow from the same value.
//
// An organisation's priority comes before that of the route: requests are ordered by the
// organisation first, and those of organisations with the same priority by their route. See
// docs/QUESTIONS.md for the other reading.
package rwurgency

import (
	"cmp"
	"slices"
	"time"
)

const (
	// toldValues is how many values servers distinguish, from 0, the most urgent.
	toldValues = 10
	// defaultPriority is what servers assume of a request that names none.
	defaultPriority = 5
)

// Priority is that of an organisation. The zero value is none.
type Priority struct {
	Value int // 0 is the most urgent
	Set   bool
}

func (p Priority) value() int {
	if p.Set {
		return p.Value
	}
	return defaultPriority
}

// Scale holds the priorities that the requests for a service can have. It is immutable; the
// zero value has none.
type Scale struct {
	organisations, routes []int // different ones, in order
	shortest              time.Duration
}

// Route is a route of a service.
type Route struct {
	Priority int           // 0 is the most urgent
	Target   time.Duration // until the first event; 0 for none
}

// NewScale returns the scale of a service that has streams of the given routes and
// organisations.
func NewScale(organisations []Priority, routes []Route) Scale {
	priorities, shortest := make([]int, len(routes)), time.Duration(0)
	for n, r := range routes {
		priorities[n] = r.Priority
		if r.Target > 0 && (shortest == 0 || r.Target < shortest) {
			shortest = r.Target
		}
	}
	values := make([]int, len(organisations))
	for n, o := range organisations {
		values[n] = o.value()
	}
	return Scale{organisations: distinct(values), routes: distinct(priorities), shortest: shortest}
}

func distinct(values []int) []int {
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return slices.Compact(sorted)
}

// Graded reports whether the service's routes have different priorities. Without, requests
// are told apart by their organisation alone.
func (s Scale) Graded() bool { return len(s.routes) > 1 }

// Urgency is that of one request. Values compare by Compare.
type Urgency struct {
	scale        Scale
	organisation Priority
	route        Route
	deadline     time.Time
	begun        bool
}

// Of returns the urgency of a new request of an organisation for a route. deadline is the time
// by which the caller gets a final response.
func (s Scale) Of(organisation Priority, r Route, deadline time.Time) Urgency {
	return Urgency{scale: s, organisation: organisation, route: r, deadline: deadline}
}

// WithBegun returns the urgency of a request that has begun, or goes on after a loss.
func (u Urgency) WithBegun() Urgency {
	u.begun = true
	return u
}

// Graded reports whether the service's routes have different priorities.
func (u Urgency) Graded() bool { return u.scale.Graded() }

// Class returns the place of the request among the classes of its service, 0 for the most
// urgent, and how many there are. Whether it has begun makes no difference.
func (u Urgency) Class() (class, classes int) {
	grade, grades := u.Grade()
	o, _ := slices.BinarySearch(u.scale.organisations, u.organisation.value())
	o = min(o, max(0, len(u.scale.organisations)-1))
	return o*grades + grade, max(1, len(u.scale.organisations)) * grades
}

// Compare orders requests, the more urgent one first: by class, then those that have begun,
// then by their deadline. A caller that was refused and comes back has less time left than a
// new one, and so comes before it.
func (u Urgency) Compare(v Urgency) int {
	a, _ := u.Class()
	b, _ := v.Class()
	return cmp.Or(cmp.Compare(a, b), cmp.Compare(v.begunValue(), u.begunValue()), u.deadline.Compare(v.deadline))
}

func (u Urgency) begunValue() int {
	if u.begun {
		return 1
	}
	return 0
}

// Told returns the priority that servers are told, from 0, the most urgent, to 9. ok is false if
// they are told none. Where routes have the same priority it is the organisation's own.
func (u Urgency) Told() (priority int, ok bool) {
	if !u.Graded() {
		return u.organisation.Value, u.organisation.Set
	}
	class, classes := u.Class()
	level, levels := 2*class+1-u.begunValue(), 2*classes
	if levels > toldValues {
		level = level * toldValues / levels
	}
	return level, true
}

// LimitPriority returns the priority among requests that share a server's limit.
func (u Urgency) LimitPriority() int {
	if u.Graded() {
		class, _ := u.Class()
		return class
	}
	if u.organisation.Set {
		return u.organisation.Value
	}
	return u.route.Priority
}

// Grade returns the place of the request's route among those of its service, 0 for the most
// urgent, and how many there are.
func (u Urgency) Grade() (grade, grades int) {
	grades = max(1, len(u.scale.routes))
	grade, _ = slices.BinarySearch(u.scale.routes, u.route.Priority)
	return min(grade, grades-1), grades
}

// Rank returns the place of the request's route from 0, the most urgent, to 1, the least urgent.
func (u Urgency) Rank() float64 {
	grade, grades := u.Grade()
	if grades == 1 {
		return 0
	}
	return float64(grade) / float64(grades-1)
}

// Yield returns which part of the room that is kept for more urgent routes the request leaves
// free: 0 for the most urgent route, 1 for the least urgent one. A request that has begun leaves
// none. The organisation makes no difference: it orders those who wait, and says nothing of how
// long their work can wait.
func (u Urgency) Yield() float64 {
	if u.begun {
		return 0
	}
	return u.Rank()
}

// Shortest returns the shortest target of the service's routes, 0 if none names one.
func (u Urgency) Shortest() time.Duration { return u.scale.shortest }

// Target returns the time until the first event that callers want, 0 if the route names none.
func (u Urgency) Target() time.Duration { return u.route.Target }

// Deadline returns the time by which the caller gets a final response.
func (u Urgency) Deadline() time.Time { return u.deadline }
