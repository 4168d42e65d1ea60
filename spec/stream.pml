/*
 * A stream on the users' platform: it moves between a server, the server that
 * holds its copy, and the instance that relays it.
 *
 * A server sends events on the connection of an attempt. It may crash, be taken
 * for lost though it works, or begin at its copy, which may be behind the caller.
 * The instance then closes that connection and asks the other server to go on
 * after the last event that the caller has. What the old server sent may still be
 * on its way.
 *
 * Properties: the caller gets each event once and in order; what looks complete is
 * complete; no two servers have an open connection for the stream.
 *
 * Bounds: 3 events, 2 servers, 3 losses or false alarms, 3 messages on their way.
 *
 * Broken variants, each of which must be rejected:
 *   NOORDER  events that the caller has are handed on again
 *   NOCLOSE  the next attempt begins before the connection is closed
 *   TORN  a stream that broke off is taken for one that has ended
 */

#define EVENTS 3
#define LOSSES 3
#define ENDED 0
#define BROKEN 99

byte last = 0;          /* event that the caller has */
byte attempt = 1;
byte which = 0;         /* server of the attempt */
byte begin = 0;         /* cursor that the attempt was asked with */
byte conn[2];           /* open attempt at each server; 0 is none */
byte losses = 0;
bool over = false;      /* the caller's answer has ended as complete */

/* attempt, event */
chan line = [3] of { byte, byte };

proctype Server(byte s) {
	byte mine = 0;
	byte next = 0;
	bool works = false;
end:
	do
	:: over -> break
	:: atomic { !over && conn[s] != 0 && conn[s] != mine ->
		mine = conn[s];
		works = true;
		if
		:: next = begin + 1
		:: begin > 0 -> next = begin     /* its copy is behind the caller */
		fi }
	:: atomic { works && conn[s] == mine && next <= EVENTS && nfull(line) ->
		line!mine, next; next++ }
	:: atomic { works && conn[s] == mine && next > EVENTS && nfull(line) ->
		line!mine, ENDED; works = false }
	:: atomic { works && conn[s] == mine && losses < LOSSES && nfull(line) ->
		losses++; works = false; line!mine, BROKEN }
	:: atomic { works && conn[s] != mine -> works = false }
	od
}

inline move() {
#ifndef NOCLOSE
	conn[which] = 0;
#endif
	which = 1 - which;
	assert(conn[1 - which] == 0);
	attempt++;
	begin = last;
	conn[which] = attempt
}

inline deliver(id) {
	assert(id == last + 1);
	last = id
}

proctype Instance() {
	byte a, id;
	conn[which] = attempt;
	do
	:: over -> break
	:: atomic { line?a, id ->
		if
		:: a != attempt -> skip     /* of an attempt that was left: its connection is closed */
		:: else ->
			if
			:: id == ENDED -> assert(last == EVENTS); over = true
#ifdef TORN
			:: id == BROKEN -> assert(last == EVENTS); over = true
#else
			:: id == BROKEN -> move()
#endif
#ifndef NOORDER
			:: id != ENDED && id <= last -> skip     /* the caller has it */
			:: id != BROKEN && id > last + 1 -> move()  /* a gap */
			:: id == last + 1 -> deliver(id)
#else
			:: id != ENDED && id != BROKEN -> deliver(id)
#endif
			fi
		fi }
	/* a false alarm: the server works, and is taken for lost */
	:: atomic { !over && losses < LOSSES -> losses++; move() }
	od
}

init {
	atomic { run Server(0); run Server(1); run Instance() }
}
