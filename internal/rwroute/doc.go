// Package rwroute holds the desired state that the forwarder works with: routes,
// services, organisations and limits, in one immutable table that is replaced as a
// whole. The table finds the route of a request, its organisation and the service that
// runs it. The package holds no state of servers and does no input or output.
package rwroute
