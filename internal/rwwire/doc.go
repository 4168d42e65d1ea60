// Package rwwire defines the protocol between instances: protobuf messages over
// DRPC, generated from rwwire.proto by "make generate".
package rwwire
