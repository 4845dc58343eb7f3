/* The claim protocol of idempotency::Guard, model-checked with spin: two
 * routers, each retried by the caller, on one idempotency key, against a
 * store whose answers get lost, whose writes may take effect late, and with
 * routers that crash at any step and are replaced under the same name.
 *
 * Proved: the call runs at most once. With -DNONCE_REUSED a replaced router
 * draws its predecessor's nonce again, the fault of an earlier version: spin
 * must then find the second run. */

#define NONE 0
#define STARTED 1
#define NOT_RUN 2
#define DONE 3

#define ROUTERS 2
#define ATTEMPTS 2
#define TRIES 2

byte state = NONE;    /* the record, its version and its claimant's nonce */
byte version = 0;
byte nonce = 0;
byte runs = 0;        /* executions at the service */

/* One write whose answer was lost and that may still take effect. */
byte lateNonce[ROUTERS];
byte lateVersion[ROUTERS];
byte lateState[ROUTERS];

/* A conditional write: takes effect when the version is the expected one. */
inline write(newState, newNonce, expected, result) {
    if
    :: version == expected ->
        state = newState; nonce = newNonce; version++; result = 1
    :: else -> result = 0
    fi
}

/* What the sender of a write sees: 1 applied, 0 conflict, 2 no answer (the
 * write took effect, did not, or will later), 3 refused by an outage. */
inline send(me, newState, newNonce, expected, seen) {
    atomic {
        if
        :: skip; write(newState, newNonce, expected, seen)
        :: skip; write(newState, newNonce, expected, seen); seen = 2
        :: seen = 2; lateState[me] = newState; lateNonce[me] = newNonce; lateVersion[me] = expected
        :: seen = 3
        fi
    }
}

/* The store carries out a late write if its condition still holds. */
active proctype Late() {
    byte ignored;
end:
    do
    :: atomic { lateState[0] != NONE -> write(lateState[0], lateNonce[0], lateVersion[0], ignored); lateState[0] = NONE }
    :: atomic { lateState[1] != NONE -> write(lateState[1], lateNonce[1], lateVersion[1], ignored); lateState[1] = NONE }
    od
}

proctype Router(byte me) {
    byte attempt = 0;
    byte try, seen, mine, expected, settled;
    do
    :: attempt < ATTEMPTS ->
        attempt++;
#ifdef NONCE_REUSED
        mine = 1 + me;                          /* the same after each restart */
#else
        mine = 1 + me + ROUTERS * attempt;
#endif
        try = 0; expected = 0;
        do
        :: try < TRIES ->
            try++;
            send(me, STARTED, mine, expected, seen);
            if
            :: seen == 1 -> goto call
            :: seen == 3 -> goto answered       /* told not run */
            :: else
            fi;
            atomic {                            /* read what stands now */
                if
                :: state == NONE -> expected = 0
                :: state == STARTED && nonce == mine -> goto call
                :: state == NOT_RUN -> expected = version
                :: else -> goto answered        /* replayed, or told unknown */
                fi
            }
        :: else -> goto answered                /* told not run */
        od;
call:
        settled = version;
        if
        :: goto answered                        /* crashed before the call */
        :: send(me, NOT_RUN, mine, settled, seen) /* the service refused the connection */
        :: atomic { runs++; assert(runs <= 1) };
            if
            :: send(me, DONE, mine, settled, seen)
            :: skip                             /* crashed after the call, or its answer was lost */
            fi
        fi;
answered:
        skip
    :: else -> break
    od
}

init {
    atomic { run Router(0); run Router(1) }
}
