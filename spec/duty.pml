/*
 * The lease of the duties: two claimants, one object of the store, one platform that takes
 * calls. Time passes in ticks that all timers count alike; nobody compares readings of two
 * clocks.
 *
 * A claimant may pause at any point for any time, or be cut off: it then does nothing. A write
 * is sent under the condition of the version that was read; it may be done at once, later if its
 * condition still holds, or never, and its answer may be lost. A call is sent only while the
 * sender's own time of holding lasts, and arrives at most MARGIN after that; where the platform
 * checks numbers it may arrive at any time later.
 *
 * A write under an outdated condition does nothing, and is left out: a count in the object tells
 * the holder which of its writes the object holds.
 *
 * Properties: numbers of accepted calls never fall; two claimants never use one number. Both
 * with a platform that checks numbers and with one that doesn't.
 *
 * Bounds: 2 claimants, 3 numbers, 1 write and 1 call of each on their way; any number of
 * renewals and any length of time.
 *
 * Broken variants, each of which must be rejected:
 *   NOCONDITION  a write is done whatever the version is
 *   AFTERWARDS   the holder counts its time from the answer, not from before it sent the write
 *   NOWAIT       a claimant doesn't wait until the lease that it read is over
 *   NOMARGIN     the holder calls until the others may take the lease
 *   NOCOUNT      the holder takes the write that it finds for its last one, which came to nothing
 *   NOREFUSAL    calls may arrive late, and the platform doesn't refuse old numbers
 */

#define LENGTH 3       /* others wait this long after they have read */
#ifdef NOMARGIN
#define HOLD 3
#else
#define HOLD 2         /* the holder calls this long after it began its write */
#endif
#define MARGIN 1       /* LENGTH - HOLD of the sound model */
#define NUMBERS 3
#define NOBODY 2

#ifdef NOREFUSAL
#define refuses(n) false
#define urgent(me) false
#else
#define refuses(n) (checks && n < highest)
/* the call on its way arrives before time passes */
#define urgent(me) (!checks && calling[me] != 0 && travel[me] == 0)
#endif
#ifdef NOWAIT
#define waited(me) true
#else
#define waited(me) (number == 0 || wait[me] == 0)
#endif

bool checks = false;            /* whether the platform checks numbers: drawn at the start */

byte holder = NOBODY;           /* what the object says */
byte number = 0;

byte highest = 0;               /* that the platform has seen */
byte user[NUMBERS + 1] = NOBODY;

byte own[2];                    /* number under which a claimant holds the lease; 0: it doesn't */
byte hold[2];                   /* rest of its time to call */
byte wait[2];                   /* rest of its wait */
bool current[2];                /* it has read the object, which hasn't changed since */
byte asked[2];                  /* number of its last write */
byte age[2] = HOLD;             /* time since it began that, at most HOLD */
bool writing[2];                /* the write is on its way */
bool valid[2];                  /* its condition still holds */
byte calling[2];                /* number of the call on its way; 0: none */
byte travel[2];                 /* rest of its travel, where that is bounded */

inline pass(me) {
	if :: hold[me] > 0 -> hold[me]-- :: else fi;
	if :: wait[me] > 0 -> wait[me]-- :: else fi;
	if :: age[me] < HOLD -> age[me]++ :: else fi;
	if :: travel[me] > 0 -> travel[me]-- :: else fi
}

inline perform(me) {
	writing[me] = false;
	done = false;
	if
#ifndef NOCONDITION
	:: !valid[me] -> skip
#endif
	:: else ->
		holder = me; number = asked[me]; done = true;
		valid[0] = false; valid[1] = false;
		current[0] = false; current[1] = false
	fi
}

/* it is the holder by its last write */
inline adopt(me) {
	own[me] = number;
#ifdef AFTERWARDS
	hold[me] = HOLD
#else
	hold[me] = HOLD - age[me]
#endif
}

inline arrive(me) {
	n = calling[me]; calling[me] = 0; travel[me] = 0;
	if
	:: refuses(n) -> skip
	:: else ->
		assert(n >= highest);
		assert(user[n] == NOBODY || user[n] == me);
		highest = n; user[n] = me
	fi;
	n = 0
}

/* time, and what is on its way: late writes, lost writes, calls */
proctype World() {
	bool done;
	byte n;
end:
	do
	:: atomic { !urgent(0) && !urgent(1) -> pass(0); pass(1) }
	:: atomic { writing[0] -> perform(0); done = false }
	:: atomic { writing[1] -> perform(1); done = false }
	:: atomic { writing[0] -> writing[0] = false }
	:: atomic { writing[1] -> writing[1] = false }
	:: atomic { calling[0] != 0 -> arrive(0) }
	:: atomic { calling[1] != 0 -> arrive(1) }
	od
}

proctype Claimant(byte me) {
	bool done;
end:
	do
	/* it reads the object, also to learn what became of a write without an answer */
	:: atomic { !current[me] ->
		current[me] = true; wait[me] = LENGTH; own[me] = 0;
		if
		:: holder == me && number == asked[me] -> adopt(me)
		:: else -> skip
		fi }
	/* it begins a renewal */
	:: atomic { own[me] != 0 && current[me] && !writing[me] ->
		asked[me] = own[me]; age[me] = 0; writing[me] = true; valid[me] = true }
#ifdef NOCOUNT
	/* it begins a renewal under an outdated condition */
	:: atomic { own[me] != 0 && !current[me] && !writing[me] ->
		asked[me] = own[me]; age[me] = 0; writing[me] = true; valid[me] = false }
#endif
	/* it begins to take the lease */
	:: atomic { own[me] == 0 && current[me] && !writing[me] && number < NUMBERS && waited(me) ->
		asked[me] = number + 1; age[me] = 0; writing[me] = true; valid[me] = true }
	/* its write is done at once, and it gets the answer */
	:: atomic { writing[me] -> perform(me);
		if
		:: done -> current[me] = true; wait[me] = LENGTH; adopt(me)
		:: else -> current[me] = false; own[me] = 0
		fi;
		done = false }
	/* it calls */
	:: atomic { own[me] != 0 && hold[me] > 0 && calling[me] == 0 ->
		calling[me] = own[me]; travel[me] = hold[me] + MARGIN - 1 }
	od
}

init { atomic {
	if
	:: checks = true
	:: checks = false
	fi;
	run World(); run Claimant(0); run Claimant(1)
} }
