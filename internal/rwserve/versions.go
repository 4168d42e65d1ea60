package rwserve

import (
	"ragwortwall/internal/rwcursor"
	"ragwortwall/internal/rwgeneration"
	"ragwortwall/internal/rwtree"
)

// staticVersions serves each route with the version that its settings name.
type staticVersions struct{}

// Pick returns the route's version.
func (staticVersions) Pick(route rwtree.NamedRoute, _ rwcursor.ID) string { return route.Version }

// Contained reports that no version is contained.
func (staticVersions) Contained(string, string) bool { return false }

// Observe has no use for samples.
func (staticVersions) Observe(rwgeneration.Sample) {}
