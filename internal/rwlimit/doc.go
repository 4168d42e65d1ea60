// Package rwlimit keeps to the limits that backend servers name: the requests per second that
// a server takes from all instances together, for as long as its responses say so.
//
// Limiter.Observe learns limits from responses, and other instances learn them from its
// findings. One instance owns the limit of each server: the first by a hash of the server and
// the instances' names. It keeps a token bucket and grants tokens, which are valid for a short
// time, to the instances that ask for them. A request to a server with a limit takes a token,
// whether it is a first attempt or not.
//
// If the owner doesn't answer, the next instance by the hash grants tokens as its deputy, at a
// part of the rate: others may still reach the owner. An instance that reaches nobody keeps to
// an equal share. So about one and a third times the limit is granted while instances disagree
// on the owner, and a new owner begins without tokens.
//
// What it does not do: it doesn't choose servers, and it doesn't delay requests beyond the
// answer to one question.
package rwlimit
