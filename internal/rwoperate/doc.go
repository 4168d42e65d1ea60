// Package rwoperate applies operators' changes to the settings tree. It validates
// the whole tree with the change, writes the subtree's object conditionally, keeps
// the history of a subtree's specs in the object's status, and pushes the change to
// all instances.
package rwoperate
