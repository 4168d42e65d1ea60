// Package rwonce keeps the records by which a call of a plain service runs at
// most once.
//
// A record is written conditionally in the platform's API before the first byte
// of the call leaves, and gets the outcome afterwards. A record that reached the
// state sent is never taken over: whoever repeats the call is told the outcome,
// or that it is unknown.
//
// Many records share an object, a segment, so that one conditional write commits
// all that came in a short while. Keys are spread over a few buckets; each
// bucket is a sequence of segments of which only the last takes new keys. Each
// bucket's keys are led to one instance to keep conflicts rare, but correctness
// comes from the conditional write alone: a writer that has not seen the last
// segment as it is fails, and reads the bucket anew.
package rwonce
