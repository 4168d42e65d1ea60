/*
 * Failover of a stream on the users' platform, between a server, the server that
 * holds the copy of its state, and the instance that relays the stream.
 *
 * A server sends events on the connection of an attempt. It may crash, be suspected
 * although it works, or start from a copy that is behind the caller's last event.
 * After a failure or suspicion the instance closes the connection and asks the
 * other server to continue after the last event that the caller has. Events that
 * the old server sent may still be in flight.
 *
 * Properties: the caller receives each event once and in order; a stream that ends
 * as complete is complete; no two servers have an open connection for the stream.
 *
 * Bounds: 3 events, 2 servers, 3 losses or false suspicions, 3 messages in flight.
 *
 * Broken variants, each of which must be rejected:
 *   NOORDER  the instance relays events that the caller already has
 *   NOCLOSE  the next attempt begins before the old connection is closed
 *   TORN     an interrupted stream is taken for a complete one
 */

#define EVENTS 3
#define LOSSES 3
#define ENDED 0
#define BROKEN 99

byte last = 0;          /* last event that the caller has */
byte attempt = 1;
byte which = 0;         /* server of the attempt */
byte begin = 0;         /* cursor in the request of the attempt */
byte conn[2];           /* attempt whose connection is open at each server; 0: none */
byte losses = 0;
bool over = false;      /* the caller's stream has ended as complete */

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
		:: a != attempt -> skip     /* from an earlier attempt, whose connection is closed */
		:: else ->
			if
			:: id == ENDED -> assert(last == EVENTS); over = true
#ifdef TORN
			:: id == BROKEN -> assert(last == EVENTS); over = true
#else
			:: id == BROKEN -> move()
#endif
#ifndef NOORDER
			:: id != ENDED && id <= last -> skip     /* the caller already has it */
			:: id != BROKEN && id > last + 1 -> move()  /* a gap */
			:: id == last + 1 -> deliver(id)
#else
			:: id != ENDED && id != BROKEN -> deliver(id)
#endif
			fi
		fi }
	/* a false suspicion: the server works, but is taken for failed */
	:: atomic { !over && losses < LOSSES -> losses++; move() }
	od
}

init {
	atomic { run Server(0); run Server(1); run Instance() }
}
