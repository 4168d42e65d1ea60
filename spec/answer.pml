/*
 * The answer: journal, copy, and resume.
 *
 * A primary samples tokens into its journal and sends them to the gateway, which
 * appends them to its copy and delivers them to the caller. The primary may be
 * paused or lost at any moment; the gateway then hands its copy to another
 * primary, which samples on from there. What the old primary sent late may still
 * arrive. The caller may come back with a cursor (offset and digest; here the
 * tokens themselves stand for the digest) at either primary.
 *
 * Property: each token that the caller gets was sampled after exactly the tokens
 * that the caller has: none is missing or repeated, and no two runs are mixed.
 *
 * Bounds: 3 tokens of 2 values, 2 primaries, 2 losses, channels of 2 messages.
 *
 * Broken variants, each of which must be rejected:
 *   NOSTREAM  the gateway takes chunks of a stream that it has left
 *   NODIGEST  a primary does not compare the copy, or cursor, with its journal
 */

#define TOKENS 3
#define LOSSES 2

typedef Journal {
	byte token[TOKENS];
	byte length;
}

Journal journal[2];      /* of each primary */
Journal copy;            /* of the gateway: what the caller has got */
bool    known[2];        /* the primary has the generation */
byte    follows = 0;     /* the primary whose stream the gateway reads */
byte    stream = 0;      /* the number of that stream */
byte    losses = 0;
byte    serves[2];       /* the stream that each primary sends on; 0 is none */

/* stream, offset, token, and the primary it comes from */
chan chunks = [2] of { byte, byte, byte, byte };

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
	/* sample one more token */
	:: atomic { known[p] && journal[p].length < TOKENS ->
		if
		:: journal[p].token[journal[p].length] = 0
		:: journal[p].token[journal[p].length] = 1
		fi;
		journal[p].length++ }
	/* a gateway reads anew, from what it has */
	:: atomic { serves[p] != mine -> mine = serves[p]; sent = copy.length }
	/* send one token; this may be late: the gateway may read elsewhere by now */
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
		/* the token was sampled after what the caller has */
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
		:: s != stream -> skip     /* of a stream that was left */
		:: else ->
#endif
			if
			:: offset == copy.length -> deliver(offset, token, p)
			:: else            /* a gap or a repeat: dropped */
			fi
#ifndef NOSTREAM
		fi
#endif
	}
	/* the primary is lost or silent: hand the copy to the other one, or come
	   back to one that has the generation */
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
		:: else -> goto lost       /* a typed final error: the rest is lost */
		fi }
	/* the gateway is lost: the caller's cursor is all that is left of it, and
	   the next gateway reads from it on, checked in the same way */
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
