/*
 * At-most-once execution of a call.
 *
 * Two instances receive the same call, since the caller repeated it through another
 * instance. Before it sends the call, each instance writes a record with its own
 * nonce, conditionally. A write's answer from the store may be lost, whether or not
 * the write took effect; the writer then reads the record and compares the nonce.
 * An instance may pause between any two steps. The service's answer may be lost.
 *
 * Properties: the call runs at most once; an instance that told its caller "not
 * run" has not sent the call and never sends it; a call whose outcome is recorded
 * has run.
 *
 * Bounds: 2 instances, 2 lost store writes or answers, 1 lost service answer.
 *
 * Broken variants, each of which must be rejected:
 *   NONONCE   after a lost answer, an instance takes any record for its own
 *   TAKEOVER  an instance takes over a record in state "sent"
 *   NORECORD  the call is sent although the record could not be written
 */

#define NONE   0
#define SENT   1
#define DONE   2
#define NOTRUN 3

byte state = NONE;       /* state of the record */
byte nonce = 0;          /* nonce of the record's writer */
byte runs = 0;           /* executions at the service */
byte lost = 0;           /* store writes and answers lost */
bool told[3];            /* the instance told its caller "not run" */
bool ran[3];             /* the instance sent the call */

proctype Instance(byte me) {
	byte tries = 0;
create:
	atomic {
		if
		/* the write takes effect and is answered */
		:: state == NONE || state == NOTRUN ->
			state = SENT; nonce = me; goto send
		/* the write takes effect, but its answer is lost */
		:: (state == NONE || state == NOTRUN) && lost < 2 ->
			lost++; state = SENT; nonce = me; goto unsure
		/* the write does not reach the store */
		:: lost < 2 -> lost++; goto unsure
		/* another instance wrote the record */
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
		/* the store does not answer in time: nothing is sent, and a record that
		   appears later is recognised by its nonce and voided */
		:: state == NONE || state == NOTRUN -> told[me] = true; goto end
		fi
	};
taken:
#ifdef TAKEOVER
	atomic { if :: state == SENT -> nonce = me; goto send :: else -> skip fi };
#endif
	goto end;            /* the caller gets the recorded outcome or "outcome unknown" */
send:
	if
	/* no connection to the service: the call certainly did not run */
	:: atomic { state == SENT && nonce == me -> state = NOTRUN; told[me] = true }; goto end
	:: skip
	fi;
	atomic { runs++; ran[me] = true };
	if
	:: atomic { if :: state == SENT && nonce == me -> state = DONE :: else -> skip fi }
	:: skip              /* the service's answer or the final write is lost */
	fi;
end:
	assert(runs <= 1);
	assert(!(told[me] && ran[me]));
	assert(state != DONE || runs == 1)
}

init { atomic { run Instance(1); run Instance(2) } }
