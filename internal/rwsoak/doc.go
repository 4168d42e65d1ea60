// Package rwsoak runs instances as processes against stand-ins and injects faults:
// signals to one instance or to all; servers that crash, stop answering or drain; a
// store that is down, slow or drops its history; and network faults between
// instances, store and servers: delay, resets, loss in one direction, loss in both.
// Faults follow each other and overlap. Beside them there are ordinary events, which
// excuse nothing: sound servers that are silent for about a second, responses without a
// length, and changes of settings. It checks only what callers and servers observe:
//
//   - a stream delivers each event once, in order and with the right content, and
//     does not look complete before its end;
//   - an order runs at most once, and not at all if its caller was told that it did
//     not run;
//   - a revoked key is refused standin.MaxRevocationDelay after its revocation;
//   - an order gets some answer before its timeout;
//   - a stream, or a plain request on a kept connection, gets a complete answer if a server
//     got it, also while the instance shuts down, unless a fault interrupts it;
//   - at least half of the callers are served after all faults have ended;
//   - a request, or a part of a prompt, that crashes servers is kept from them once it is
//     known, and sound requests with the same other parts are served;
//   - a server whose entry was removed gets no requests from instances in touch;
//   - a server that names a limit gets no more requests from instances in touch.
//
// The schedule of faults depends only on the seed and the duration.
package rwsoak
