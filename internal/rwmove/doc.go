// Package rwmove moves a route's traffic from one version to another by a
// deadline, or takes the new version back.
//
// A move is an object of the settings tree; its share says how much of the
// route's traffic the new version gets, by a hash of the generation's identity
// that is the same at every instance. One instance at a time decides, by a lease
// in the object; each step is a conditional write. Every instance gathers
// evidence and tells it; whoever finds the new version bad contains it at once and
// tells the others, which needs no store: containment only ever moves towards
// the version that is known.
package rwmove
