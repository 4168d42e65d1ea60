// Package rwtree is the tree of settings: one root and one subtree for each
// team. A Tree is immutable; Merge checks the whole and makes one.
//
// Each subtree is one object of the platform's API. Its metadata.generation, a
// number that the platform raises with each change of the spec, says which of
// two copies is newer. resourceVersion is opaque and is never compared.
package rwtree
