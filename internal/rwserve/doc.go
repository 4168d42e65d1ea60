// Package rwserve puts the parts of an entry instance together and runs them:
// the callers' HTTP interface, the operators', the protocol between instances,
// and the loops that keep the view of members, settings and load.
package rwserve
