/* One request that a router sends to an endpoint over a path that may be cut,
 * or through a tunnel of a peer: tunnels that are refused, peers that die at
 * any step, cuts at any step, bytes that are lost or arrive late.
 *
 * Proved: a request that may run once runs at most once, an answer that says
 * "not executed" is never followed by a run, and a response whose end is the
 * end of the connection is taken for complete only if all of it arrived.
 * Spin must find the fault that each of these brings back:
 * -DRESEND_AFTER_SEND, -DNOT_RUN_AFTER_SEND, -DNO_END_MARKER. */

#define PEERS 2

mtype = { none, success, notExecuted, unknown };

byte arrived = 0;        /* requests that reached the endpoint */
byte inTransit = 0;      /* requests on their way, whatever becomes of their sender */
byte finished = 0;       /* responses that the endpoint has sent whole */
bool reset = false;      /* the sender has discarded what was not delivered */
mtype answer = none;
bool completeAnswer = false;

/* The path delivers a request or loses it; a reset of the sender discards it. */
active proctype Network() {
end:
    do
    :: atomic { inTransit > 0 -> inTransit--; arrived++ }
    :: atomic { inTransit > 0 -> inTransit-- }
    od
}

active proctype Endpoint() {
end:
    do
    :: atomic { arrived > finished -> finished++ }
    od
}

/* What the sender sees of a request that it sent over an open connection: the
 * whole response, a part of it and then the end of the connection, or nothing.
 * The end of a peer that died looks like an orderly end. */
inline awaitResponse(relayed) {
    if
    :: finished > 0 -> answer = success; completeAnswer = true
    :: arrived > 0 ->            /* part of the response, then the end */
        if
        :: relayed ->
#ifdef NO_END_MARKER
            answer = success; completeAnswer = false
#else
            answer = unknown
#endif
        :: else -> answer = unknown
        fi
    :: skip -> answer = unknown  /* silence or a reset */
    fi
}

active proctype Router() {
    byte asked = 0;
    bool sent = false;

    /* Direct: the connection fails, and nothing is sent; or it opens. */
    if
    :: skip -> sent = true; inTransit++; awaitResponse(false); goto ended
    :: skip                      /* refused or unanswered */
    fi;

    /* Tunnels: a peer refuses, dies or can't reach the endpoint before it
     * accepts; only then is the request sent. */
    do
    :: asked < PEERS ->
        asked++;
        if
        :: skip                  /* no tunnel: nothing was sent */
        :: skip ->
            sent = true; inTransit++; awaitResponse(true);
#ifdef RESEND_AFTER_SEND
            if
            :: answer == unknown && asked < PEERS -> skip
            :: else -> goto ended
            fi
#else
            goto ended
#endif
        fi
    :: asked == PEERS -> break
    od;
ended:
    if
    :: !sent -> answer = notExecuted
#ifdef NOT_RUN_AFTER_SEND
    :: sent && answer == unknown -> answer = notExecuted
#endif
    :: else -> skip
    fi
}

active proctype Monitor() {
    assert(arrived <= 1 && !(answer == notExecuted && arrived > 0) && !(answer == success && !completeAnswer && finished == 0))
}
