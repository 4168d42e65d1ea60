/*
 * Settings that never revert.
 *
 * Operators raise the generation of a subtree at the store. Two instances take
 * copies from the watch, from lists that may be stale, and from each other; an
 * instance may restart with nothing and ask its peer. Messages may be late.
 *
 * Properties: the generation in force at an instance never goes down while it
 * runs; and what was accepted comes into force at both, once messages flow.
 *
 * Bounds: 4 generations, 2 instances, 1 restart, a channel of 2 an instance.
 *
 * Broken variants, each of which must be rejected:
 *   ANYCOPY   an instance applies whatever copy arrives
 *   NOEXCHANGE (by deadlock) peers do not compare what they have, and the watch
 *             may lose a change
 */

#define LAST 3

byte store = 0;
byte force[2];
byte restarts = 0;
bool quiet = false;      /* the operators are done */

chan inbox[2] = [2] of { byte };

inline apply(i, g) {
#ifdef ANYCOPY
	assert(g >= force[i]);
	force[i] = g
#else
	if
	:: g > force[i] -> force[i] = g
	:: else
	fi
#endif
}

proctype Operators() {
	do
	:: atomic { store < LAST -> store++;
		/* the watch may lose a change */
		if :: nfull(inbox[0]) -> inbox[0]!store :: skip fi }
	:: store == LAST -> break
	od;
	quiet = true
}

proctype Instance(byte i) {
	byte g;
	do
	:: inbox[i]?g -> apply(i, g)
	/* a list, which may be stale */
	:: atomic { store > 0 && i == 0 && force[0] < LAST ->
		if :: g = store :: g = store - 1 fi; apply(i, g) }
#ifndef NOEXCHANGE
	/* an exchange with the peer: what is newer there is fetched */
	:: atomic { force[1 - i] > force[i] -> apply(i, force[1 - i]) }
#endif
	/* late messages of a peer */
	:: atomic { nfull(inbox[1 - i]) && force[i] > 0 && !quiet -> inbox[1 - i]!force[i] }
	:: atomic { restarts < 1 && !quiet -> restarts++; force[i] = 0 }
	:: atomic { quiet && force[i] == LAST && empty(inbox[i]) -> break }
	od
}

init { atomic { run Operators(); run Instance(0); run Instance(1) } }
