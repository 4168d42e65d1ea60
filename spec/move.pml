/*
 * Election of the decider of a move by a lease. The lease is kept in a stored object
 * and has a fencing token, which orders to engines carry.
 *
 * There are two deciders. Each step is a write that is conditional on the object
 * version that the decider read. A decider may pause for longer than its lease at
 * any point; the other decider then takes the lease with a higher fencing token.
 * An order to an engine may be in flight for a while. One engine refuses orders
 * with an old fencing token, the other ignores the token; a new decider orders the
 * second one only when no older order can still be in flight.
 *
 * Properties: only the holder of the newest fencing token changes the move's
 * object; no engine executes an older order after a newer one.
 *
 * Bounds: 2 deciders, 3 terms, 2 engines, 1 order in flight to each engine.
 *
 * Broken variants, each of which must be rejected:
 *   NOCONDITION  steps are written whatever the object's version is
 *   NOFENCE      the engine that could refuse old fencing tokens does not
 *   NOWAIT       the new decider does not wait until older orders have expired
 */

#define TERMS 3

byte holder = 0;
byte number = 0;         /* fencing token of the lease: its term */
byte version = 0;        /* version of the move's object */
byte writer = 0;         /* term of the last write to that object */
byte under[2];           /* term of the order in flight to each engine; 0: none */
byte done[2];            /* newest term whose order each engine executed */

proctype Engine(byte e) {
	byte n;
end:
	do
	:: atomic { under[e] != 0 ->
		n = under[e]; under[e] = 0;
		if
#ifndef NOFENCE
		:: e == 0 && n < done[e] -> skip       /* refused: old fencing token */
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
	/* takes the expired lease; possible at any time, since pauses are unbounded */
	:: atomic { holder != me && number < TERMS -> holder = me; number++; term = number; seen = version }
	/* reads the object */
	:: atomic { term != 0 -> seen = version }
	/* writes a step */
	:: atomic { term != 0 && version < 4 ->
		if
#ifndef NOCONDITION
		/* one conditional write covers the lease and the object, so it fails with
		   an old term and with an old version */
		:: term != number || seen != version -> term = 0
#endif
		:: else ->
			assert(term >= writer);
			version++; writer = term; seen = version
		fi }
	/* orders the engine that refuses old fencing tokens; the lease may have expired */
	:: atomic { term != 0 && under[0] == 0 -> under[0] = term }
	/* orders the engine that ignores fencing tokens: only while the lease is
	   certainly held and no older order can still be in flight */
#ifdef NOWAIT
	:: atomic { term != 0 && under[1] == 0 -> under[1] = term }
#else
	:: atomic { term != 0 && term == number && under[1] == 0 -> under[1] = term }
#endif
	:: number == TERMS -> break
	od
}

init { atomic { run Engine(0); run Engine(1); run Decider(1); run Decider(2) } }
