/*
 * Delivery of the tokens of a generation: journal, gateway copy and resume.
 *
 * A primary samples tokens into its journal and sends them to the gateway, which
 * appends them to its copy and delivers them to the caller. The primary may pause
 * or fail at any moment; the gateway then sends its copy to another primary, which
 * continues sampling after it. Delayed messages of the old primary may still
 * arrive. The caller may reconnect to either primary with a cursor (offset and
 * digest; the model compares the tokens themselves instead of a digest).
 *
 * Property: each token that the caller receives was sampled after exactly the
 * tokens that the caller already has. None is missing or repeated, and tokens of
 * two runs are not mixed.
 *
 * Bounds: 3 tokens of 2 values, 2 primaries, 2 losses, a channel of 2 messages.
 *
 * Broken variants, each of which must be rejected:
 *   NOSTREAM  the gateway accepts chunks of a stream that it no longer reads
 *   NODIGEST  a primary does not compare the copy or cursor with its journal
 */

#define TOKENS 3
#define LOSSES 2

typedef Journal {
	byte token[TOKENS];
	byte length;
}

Journal journal[2];      /* one for each primary */
Journal copy;            /* the gateway's: the tokens delivered to the caller */
bool    known[2];        /* whether the primary holds the generation */
byte    follows = 0;     /* primary whose stream the gateway reads */
byte    stream = 0;      /* number of that stream */
byte    losses = 0;
byte    serves[2];       /* stream that each primary sends on; 0: none */

/* stream, offset, token, sending primary */
chan chunks = [2] of { byte, byte, byte, byte };

/* sets ok to whether the journal of primary p begins with the gateway's copy */
inline agree(p, ok) {
	byte i;
	ok = true;
	i = 0;
	do
	:: i < copy.length && i < journal[p].length ->
		if
		:: copy.token[i] != journal[p].token[i] -> ok = false
		:: else
		fi;
		i++
	:: else -> break
	od;
	if
	:: copy.length > journal[p].length -> ok = false
	:: else
	fi
}

proctype Primary(byte p) {
	byte sent = 0;
	byte mine = 0;
end:
	do
	/* samples one more token */
	:: atomic { known[p] && journal[p].length < TOKENS ->
		if
		:: journal[p].token[journal[p].length] = 0
		:: journal[p].token[journal[p].length] = 1
		fi;
		journal[p].length++ }
	/* the gateway opened a new stream, which starts after its copy */
	:: atomic { serves[p] != mine -> mine = serves[p]; sent = copy.length }
	/* sends one token, possibly late: the gateway may read another stream by now */
	:: atomic { mine != 0 && sent < journal[p].length && nfull(chunks) ->
		chunks!mine, sent, journal[p].token[sent], p; sent++ }
	:: copy.length == TOKENS -> break
	od
}

inline deliver(offset, token, p) {
	byte k;
	k = 0;
	do
	:: k < offset ->
		/* the token was sampled after the tokens that the caller has */
		assert(copy.token[k] == journal[p].token[k]);
		k++
	:: else -> break
	od;
	assert(offset == copy.length);
	copy.token[copy.length] = token;
	copy.length++
}

proctype Gateway() {
	byte s, offset, token, p;
	bool ok;
	do
	:: copy.length == TOKENS -> break
	:: atomic { chunks?s, offset, token, p ->
#ifndef NOSTREAM
		if
		:: s != stream -> skip     /* from a stream that the gateway no longer reads */
		:: else ->
#endif
			if
			:: offset == copy.length -> deliver(offset, token, p)
			:: else            /* a gap or a repeated token: dropped */
			fi
#ifndef NOSTREAM
		fi
#endif
	}
	/* the primary failed or stalled: the gateway sends its copy to the other
	   primary, or reads on if that one already holds the generation */
	:: atomic { losses < LOSSES && copy.length < TOKENS ->
		losses++;
		follows = 1 - follows;
		ok = true;
		if
		:: !known[follows] ->
			known[follows] = true;
			journal[follows].length = copy.length;
			p = 0;
			do
			:: p < copy.length -> journal[follows].token[p] = copy.token[p]; p++
			:: else -> break
			od
		:: else ->
#ifndef NODIGEST
			agree(follows, ok)
#endif
			skip
		fi;
		if
		:: ok -> stream++; serves[follows] = stream
		:: else -> goto lost       /* final error to the caller: the remaining tokens are lost */
		fi }
	/* a gateway failure needs no step of its own: the next gateway continues
	   from the caller's cursor, which is checked in the same way */
	od;
lost:
	skip
}

init {
	atomic {
		known[0] = true;
		stream = 1;
		serves[0] = 1;
		run Primary(0);
		run Primary(1);
		run Gateway()
	}
}
