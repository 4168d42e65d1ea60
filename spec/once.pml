/*
 * A call that runs at most once.
 *
 * Two instances have the same call from one caller (a repeat through another
 * instance). Each writes a record conditionally, with a nonce of its own, before
 * it sends. The store's answer to a write may be lost after, or before, the write
 * took effect; the writer then reads back and looks for its nonce. An instance may
 * be paused between any two steps. The service's answer may be lost.
 *
 * Properties: the call runs at most once; a caller that is told "not run" by an
 * instance has not been run by it, then or later; and once an outcome is recorded
 * the call has run.
 *
 * Bounds: 2 instances, 2 lost store answers, 1 lost answer of the service.
 *
 * Broken variants, each of which must be rejected:
 *   NONONCE   a record that is found after a lost answer is taken for one's own
 *   TAKEOVER  a record that has been "sent" for long is taken over
 *   NORECORD  the call is sent although the record could not be written
 */

#define NONE   0
#define SENT   1
#define DONE   2
#define NOTRUN 3

byte state = NONE;       /* of the record */
byte nonce = 0;          /* of its writer */
byte runs = 0;           /* at the service */
byte lost = 0;           /* store answers lost */
bool told[3];            /* instance told its caller "not run" */
bool ran[3];             /* instance sent the call */

proctype Instance(byte me) {
	byte tries = 0;
create:
	atomic {
		if
		/* the write takes effect and is answered */
		:: state == NONE || state == NOTRUN ->
			state = SENT; nonce = me; goto send
		/* the write takes effect, its answer is lost */
		:: (state == NONE || state == NOTRUN) && lost < 2 ->
			lost++; state = SENT; nonce = me; goto unsure
		/* the write is lost on its way */
		:: lost < 2 -> lost++; goto unsure
		/* another has the record */
		:: state == SENT || state == DONE -> goto taken
		fi
	};
unsure:
#ifdef NORECORD
	goto send;
#endif
	atomic {
		if
#ifdef NONONCE
		:: state == SENT -> goto send
#else
		:: state == SENT && nonce == me -> goto send
		:: state == SENT && nonce != me -> goto taken
#endif
		:: state == DONE -> goto taken
		:: (state == NONE || state == NOTRUN) && tries == 0 -> tries++; goto create
		/* the store does not answer in time: nothing is sent, and the record,
		   should it appear, is voided by its nonce */
		:: state == NONE || state == NOTRUN -> told[me] = true; goto end
		fi
	};
taken:
#ifdef TAKEOVER
	atomic { if :: state == SENT -> nonce = me; goto send :: else -> skip fi };
#endif
	goto end;            /* the outcome, or "outcome unknown" */
send:
	if
	/* no connection: proved not to have run */
	:: atomic { state == SENT && nonce == me -> state = NOTRUN; told[me] = true }; goto end
	:: skip
	fi;
	atomic { runs++; ran[me] = true };
	if
	:: atomic { if :: state == SENT && nonce == me -> state = DONE :: else -> skip fi }
	:: skip              /* the service's answer, or the last write, is lost */
	fi;
end:
	assert(runs <= 1);
	assert(!(told[me] && ran[me]));
	assert(state != DONE || runs == 1)
}

init { atomic { run Instance(1); run Instance(2) } }
