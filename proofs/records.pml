/* A stream that is taken up at a router which knows no origin of it, while the
 * router's own view has one version of the service. The store holds the
 * entries of the engines and a record of the versions that streams may be of.
 * Another router lets a stream begin as soon as an engine of the second version
 * joins; the record is written late, the router's view is updated late, and
 * the router may start again in between. An engine leaves once its version is
 * recorded, and its version stays in the record for longer than a stream.
 *
 * Proved: the router binds no stream of the second version to the first.
 * Spin must find the fault that each of these brings back:
 * -DEARLIER_RECORD (the record may have been read before the stream was taken up),
 * -DOWN_VIEW (the router's view is not compared with the store),
 * -DRECORD_FIRST (the record is read before the view is compared),
 * -DLEAVES_UNRECORDED (an engine leaves before its version is recorded). */

#ifndef STARTS
#define STARTS 2
#endif

bool listed = false;    /* an engine of the second version has an entry */
bool recorded = false;  /* the second version is in the record */
bool begun = false;     /* a stream of the second version is under way */
bool seen = false;      /* the router's view has the second version, or had it since the router started */
bool taken = false;     /* the stream has been taken up at the router; it would end with the router */

/* An engine joins, a stream begins on it, and it leaves. */
proctype Engine() {
    listed = true;
    begun = true;
#ifndef LEAVES_UNRECORDED
    recorded;
#endif
    listed = false
}

/* The router that records versions, at any time after it has seen one. */
proctype Recorder() {
    listed;
    recorded = true
}

/* The router's view: changes arrive late or, with lost history, never, and a start loses what is listed no more. */
proctype View() {
    byte starts = 0;
    do
    :: listed -> atomic { seen = seen || listed }
    :: atomic { !taken && starts < STARTS -> seen = listed; starts++ }
    :: taken || starts == STARTS -> break
    od
}

inline readRecord(held) {
    held = recorded
}

inline compareView() {
#ifndef OWN_VIEW
    atomic { seen = seen || listed }
#else
    skip
#endif
}

proctype Taker() {
    bool held = false;
#ifdef EARLIER_RECORD
    readRecord(held);
#endif
    begun;
    taken = true;
#ifdef RECORD_FIRST
    readRecord(held);
    compareView();
#else
    compareView();
#ifndef EARLIER_RECORD
    readRecord(held);
#endif
#endif
    /* The stream goes on at the first version if nothing tells of the second. */
    assert(held || seen)
}

init {
    atomic {
        run Engine(); run Recorder(); run View(); run Taker()
    }
}
