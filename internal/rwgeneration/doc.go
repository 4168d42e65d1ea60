// Package rwgeneration runs generations at their primary.
//
// Each generation has one primary among the instances, found by rendezvous hash
// of its identity, and one gateway, which has the caller's connection. The
// primary gets a slot from the owner of a backend server, reads the tokens from
// the engine, writes them to its journal, and streams the journal to the
// gateway, which keeps a copy. Each is the other's replica:
//
//   - the engine is lost: the primary goes on from its journal on another server
//     of the same version;
//   - the primary is lost: the gateway hands its copy to a new primary, which
//     takes over the engine's stream, or goes on from the copy;
//   - the gateway is lost: the caller comes back anywhere with its cursor, and
//     that instance finds the primary.
//
// A generation has a run, which names one lineage of tokens, and is pinned to a
// version as soon as its journal holds a token. Whoever joins says what it holds
// by offset and digest; a copy that differs is refused, never merged.
package rwgeneration
