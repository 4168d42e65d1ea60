// Package rwonce keeps the records that make a call of a plain service run at
// most once. A plain service is a backend server that is not a model engine.
//
// A record is written to the platform's API with a conditional write before the
// first byte of the call is sent, and is updated with the outcome afterwards. A
// record in StateSent is never taken over by another writer: a repeat of the call
// gets the recorded outcome, or an error that says that the outcome is unknown.
//
// Records are grouped into segments, one API object each, so that a single
// conditional write commits all operations of an interval. Keys are hashed into a
// fixed number of buckets; each bucket is a sequence of segments of which only the
// last accepts new keys. All instances route a bucket's keys to the same instance
// to keep write conflicts rare, but correctness depends on the conditional write
// alone: a writer whose copy of the last segment is stale fails and reloads the
// bucket.
//
// The platform may come back from an older copy of its contents and lack records that it
// has acknowledged. An instance that had loaded them notices when it reloads the bucket,
// and writes them again. If none that had them is alive, a repeat of such a call runs
// again: nothing tells the others that there was a record.
package rwonce
