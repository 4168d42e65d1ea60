// Package rwtree holds the settings tree: a root, a subtree for each team, and the
// version moves. A Tree is immutable; Merge validates the objects and builds one.
//
// Each subtree is one object of the platform's API. The platform increases its
// metadata.generation with each change of the spec, so of two copies the one with
// the higher generation is newer. resourceVersion is opaque and is never compared.
package rwtree
