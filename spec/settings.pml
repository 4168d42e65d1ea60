/*
 * Propagation of settings: an instance never returns to older settings.
 *
 * Operators raise the generation of a settings subtree in the store. Two instances
 * receive copies from the watch, from list responses that may be stale, and from
 * each other; an instance may restart without settings and fetch them from its
 * peer. Messages may be delayed.
 *
 * Properties: the generation in force at an instance never decreases while it runs;
 * the last accepted generation takes effect at both instances once messages are
 * delivered.
 *
 * Bounds: 4 generations (0 to 3), 2 instances, 1 restart, a channel of 2 messages for
 * each instance.
 *
 * Broken variants, each of which must be rejected:
 *   ANYCOPY    an instance applies any copy that arrives
 *   NOEXCHANGE (by deadlock) peers do not compare their generations, and the watch
 *              may lose a change
 */

#define LAST 3

byte store = 0;          /* generation in the store */
byte force[2];           /* generation in force at each instance; 0: no settings */
byte restarts = 0;
bool quiet = false;      /* the operators make no further change */

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
	/* a list response, which may be stale */
	:: atomic { store > 0 && i == 0 && force[0] < LAST ->
		if :: g = store :: g = store - 1 fi; apply(i, g) }
#ifndef NOEXCHANGE
	/* an exchange with the peer fetches the peer's newer generation */
	:: atomic { force[1 - i] > force[i] -> apply(i, force[1 - i]) }
#endif
	/* sends its generation to the peer, which may receive it late */
	:: atomic { nfull(inbox[1 - i]) && force[i] > 0 && !quiet -> inbox[1 - i]!force[i] }
	:: atomic { restarts < 1 && !quiet -> restarts++; force[i] = 0 }
	:: atomic { quiet && force[i] == LAST && empty(inbox[i]) -> break }
	od
}

init { atomic { run Operators(); run Instance(0); run Instance(1) } }
