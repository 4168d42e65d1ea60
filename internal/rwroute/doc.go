// Package rwroute is the desired state as the forwarder reads it: routes,
// services, organisations and limits, in one immutable table that is replaced
// whole. It decides which route a request takes, whose request it is, and which
// service runs it. It knows no server and does no input or output.
package rwroute
