// Package rwmember is each instance's view of the other instances, and the
// placement that follows from it.
//
// The platform's list says which instances exist; it lags. What the instances
// see themselves says which of those answer now: each exchanges digests with
// its peers every interval, and digests carry when their sender last heard from
// others. An instance is down when nobody that this one can reach has heard
// from it for a while. The two views serve different ends: the list decides who
// counts towards a majority, the own view decides where work goes.
package rwmember
