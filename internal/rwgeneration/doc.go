// Package rwgeneration runs generations at their primary.
//
// Each generation has one primary, an instance chosen by rendezvous hashing of the
// generation's ID, and one gateway, the instance that holds the caller's
// connection. The primary acquires a slot from the owner of a backend server, reads
// tokens from the engine, appends them to its journal, and streams the journal to
// the gateway, which keeps a copy. Primary and gateway are replicas of each other:
//
//   - If the engine fails, the primary continues from its journal on another server
//     with the same version.
//   - If the primary fails, the gateway sends its copy to a new primary, which
//     resumes the engine's stream or continues from the copy.
//   - If the gateway fails, the caller reconnects to any instance with its cursor,
//     and that instance finds the primary.
//
// Each sequence of tokens of a generation has a run ID. A generation is pinned to a
// version once its journal holds a token. A reader that joins sends the offset and
// the digest of its copy; a copy that differs is rejected, never merged.
package rwgeneration
