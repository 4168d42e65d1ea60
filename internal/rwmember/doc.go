// Package rwmember tracks the membership and liveness of instances, and places
// keys on the live ones by rendezvous hashing.
//
// Two sources are combined. The platform's list says which instances exist, but
// it lags. Failure detection says which of them answer now: instances exchange
// digests every ExchangeInterval, and a digest carries when its sender last heard
// from each other instance. An instance is down when neither this instance nor
// any that it can reach has heard from it for DownAfter. The list determines the
// majority; liveness determines where work is placed.
package rwmember
