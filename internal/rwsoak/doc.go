// Package rwsoak runs real instances as processes against stand-ins and hurts
// them: signals to one of them or to all, servers that crash, fall silent and
// leave, a store that is down, slow or forgets, and links to the store, to servers
// and between instances that delay, reset, lose one direction or go silent. Faults
// come in series and overlap. What it checks is seen from outside, by callers and
// servers alone:
//
//   - a stream brings each event once, in order and right, and does not look
//     complete before its end;
//   - an order runs at most once, and never where the caller was told that it did
//     not run;
//   - a key that was taken away opens nothing after its bound;
//   - an order is answered in time, whatever the answer;
//   - when all faults have ended, callers are served.
//
// A seed gives the same schedule of faults.
package rwsoak
