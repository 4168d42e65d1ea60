// Package rwwire is the protocol between instances: protobuf messages over
// drpc, generated from rwwire.proto by "make generate".
package rwwire
