// Package rwoperate accepts operators' changes: it checks authority and the whole
// tree, writes conditionally, keeps a history, and tells when a change is in
// force at every instance.
package rwoperate
