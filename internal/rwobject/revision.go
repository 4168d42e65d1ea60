package rwobject

// Revision identifies one content of a settings object. The generation alone doesn't: two
// instances may have written different contents with the same generation, one before and
// one after the platform came back from an older copy.
type Revision struct {
	Generation int64
	Content    uint64 // hash of the spec
}

// Before reports whether r is older than other. Of two contents with the same generation,
// the one with the lower hash counts as older, so that all instances choose the same.
func (r Revision) Before(other Revision) bool {
	return r.Generation < other.Generation || r.Generation == other.Generation && r.Content < other.Content
}
