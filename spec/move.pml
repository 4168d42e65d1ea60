/*
 * Who decides a move: a lease in an object, with a fencing number for orders.
 *
 * Two deciders. Each step is a conditional write on the version that the decider
 * read. A decider may be paused for longer than its lease at any point; the other
 * takes the lease then, with a higher number. Orders to an engine may be under way
 * for a while. One engine refuses old numbers, the other ignores them; before
 * ordering that one a new decider waits until no older order can be under way.
 *
 * Properties: the move's object changes only by whoever holds the lease's newest
 * number; no engine carries out an older order after a newer one.
 *
 * Bounds: 2 deciders, 3 terms, 2 engines, 1 order under way an engine.
 *
 * Broken variants, each of which must be rejected:
 *   NOCONDITION  steps are written whatever the version
 *   NOFENCE      the engine that could refuse old numbers does not
 *   NOWAIT       the new decider does not wait out older orders
 */

#define TERMS 3

byte holder = 0;
byte number = 0;         /* fencing number: the term */
byte version = 0;        /* of the move's object */
byte writer = 0;         /* the term that wrote it last */
byte under[2];           /* the term of the order under way to each engine; 0 is none */
byte done[2];            /* the newest term whose order each engine carried out */

proctype Engine(byte e) {
	byte n;
end:
	do
	:: atomic { under[e] != 0 ->
		n = under[e]; under[e] = 0;
		if
#ifndef NOFENCE
		:: e == 0 && n < done[e] -> skip       /* refused */
#endif
		:: else ->
			assert(n >= done[e]);
			done[e] = n
		fi }
	od
}

proctype Decider(byte me) {
	byte term = 0;
	byte seen = 0;
	do
	/* take the lease when it has lapsed: at any time, since pauses are unbounded */
	:: atomic { holder != me && number < TERMS -> holder = me; number++; term = number; seen = version }
	/* read the object */
	:: atomic { term != 0 -> seen = version }
	/* write a step */
	:: atomic { term != 0 && version < 4 ->
		if
#ifndef NOCONDITION
		/* the lease and the object are one conditional write: an old term, or an
		   old version, fails */
		:: term != number || seen != version -> term = 0
#endif
		:: else ->
			assert(term >= writer);
			version++; writer = term; seen = version
		fi }
	/* order the engine that refuses old numbers; the lease may have lapsed */
	:: atomic { term != 0 && under[0] == 0 -> under[0] = term }
	/* order the engine that ignores them: only while the lease is sure to be
	   held, and after older orders can no longer be under way */
#ifdef NOWAIT
	:: atomic { term != 0 && under[1] == 0 -> under[1] = term }
#else
	:: atomic { term != 0 && term == number && under[1] == 0 -> under[1] = term }
#endif
	:: number == TERMS -> break
	od
}

init { atomic { run Engine(0); run Engine(1); run Decider(1); run Decider(2) } }
