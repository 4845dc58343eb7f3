/* Resumable streams while engines of two software versions serve: a stream
 * that routers continue within a response, and that its caller takes up again
 * at any router. Routers are killed and restart, copies and questions are
 * lost, listings are late, an address passes to an engine of the other
 * version, connections to the caller break before or after an event.
 *
 * Proved: the events that the caller has of one stream are all of one version.
 * Spin must find the fault that each of these brings back:
 * -DUNBOUND_RESPONSE (later attempts of a response may go anywhere),
 * -DGUESS_WHEN_UNKNOWN (nobody knows the stream, and it goes on somewhere),
 * -DTRUST_ADDRESS (what a listing says of an address is taken for the engine
 * that answers there), -DBIND_BY_LISTING (the version is recorded at placement
 * and not from the engine that brought the first event). */

#define ROUTERS 3
#define ADDRESSES 2
#define ATTEMPTS 3
#define SENDS 2
#ifndef KILLS
#define KILLS 2
#endif
#ifndef HANDOVERS
#define HANDOVERS 1
#endif
#define NONE 255

byte version[ADDRESSES];        /* of the engine that has the address now */
byte known[ROUTERS * ATTEMPTS]; /* by router and by the attempt that brought the first event: its version */
byte handovers = 0;             /* of addresses to engines of the other version */

byte callerVersion = NONE;      /* of the events that the caller has */
byte named = NONE;              /* the attempt that brought the caller's first event */
bool mixed = false;

/* An engine leaves, and one of the other version gets its address. */
proctype Release() {
    byte a;
    do
    :: handovers < HANDOVERS ->
        if
        :: a = 0
        :: a = 1
        fi;
        atomic { version[a] = 1 - version[a]; handovers++ }
    :: break
    od
}

/* Routers are killed and start again without what they knew. A kill in the middle of an attempt is a broken connection
 * to the caller, and one more kill before the next attempt. */
inline killSome() {
    atomic {
        router = 0;
        do
        :: router < ROUTERS ->
            if
            :: kills < KILLS ->
                kills++;
                peer = 0;
                do
                :: peer < ATTEMPTS -> known[router * ATTEMPTS + peer] = NONE; peer++
                :: else -> break
                od
            :: skip
            fi;
            router++
        :: else -> break
        od;
        router = 0;
        peer = 0
    }
}

/* Stores the origin at this router and at the others, each copy may be lost. */
inline record(router, attempt, origin) {
    atomic {
        known[router * ATTEMPTS + attempt] = origin;
        peer = 0;
        do
        :: peer < ROUTERS ->
            if
            :: peer != router -> known[peer * ATTEMPTS + attempt] = origin
            :: skip
            fi;
            peer++
        :: else -> break
        od;
        peer = 0
    }
}

/* Looks the origin up here and at the others, each question may be lost. */
inline locate(router, attempt, origin) {
    atomic {
        origin = known[router * ATTEMPTS + attempt];
        peer = 0;
        do
        :: peer < ROUTERS && origin == NONE ->
            if
            :: origin = known[peer * ATTEMPTS + attempt]
            :: skip
            fi;
            peer++
        :: else -> break
        od;
        peer = 0
    }
}

proctype Caller() {
    byte attempt = 0, router, peer, bound, send, a, chosen, answering, stream;
    byte kills = 0;
    bool connected;
    do
    :: attempt < ATTEMPTS ->
        killSome();
        atomic {
            select (router : 0 .. ROUTERS - 1);
            bound = NONE;
            stream = attempt;
            connected = true;
            send = 0
        }
        if
        :: callerVersion != NONE ->
            stream = named;
            locate(router, stream, bound);
#ifdef GUESS_WHEN_UNKNOWN
            skip
#else
            if
            :: bound == NONE -> send = SENDS /* refused */
            :: else -> skip
            fi
#endif
        :: else -> skip
        fi;
        do
        :: send < SENDS && connected ->
            send++;
            /* A listing may be of any age, and show either version at any address. */
            atomic { select (a : 0 .. ADDRESSES - 1); select (chosen : 0 .. 1) }
#ifndef UNBOUND_RESPONSE
            if
            :: bound != NONE && chosen != bound -> goto next
            :: else -> skip
            fi;
#endif
#ifdef BIND_BY_LISTING
            if
            :: bound == NONE -> bound = chosen; record(router, stream, bound)
            :: else -> skip
            fi;
#endif
            /* The engine answers 421 if it is not the one that was listed at its address. */
            answering = version[a];
#if !defined(TRUST_ADDRESS) && !defined(BIND_BY_LISTING)
            if
            :: answering != chosen -> goto next
            :: else -> skip
            fi;
#endif
            if
            :: skip -> /* it breaks before an event */
            :: skip -> /* it writes an event, and breaks after it */
                if
#ifdef TRUST_ADDRESS
                :: bound == NONE -> bound = chosen; record(router, stream, bound)
#else
                :: bound == NONE -> bound = answering; record(router, stream, bound)
#endif
                :: else -> skip
                fi;
                if
                :: connected = false /* the event is lost on the way to the caller */
                :: skip ->
                    atomic {
                        mixed = mixed || (callerVersion != NONE && callerVersion != answering);
                        named = (callerVersion == NONE -> attempt : named);
                        callerVersion = answering
                    }
                    assert(!mixed);
                    if
                    :: connected = false
                    :: skip
                    fi
                fi
            fi;
next:       skip
        :: else -> break
        od;
        attempt++
    :: else -> break
    od
}

init {
    atomic {
        byte i = 0;
        version[1] = 1;
        do
        :: i < ROUTERS * ATTEMPTS -> known[i] = NONE; i++
        :: else -> break
        od;
        run Release(); run Caller()
    }
}
