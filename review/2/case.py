"""One entry of another writer, whose field has another type, ends every router."""
import os
import sys
import threading

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
from standins import *  # noqa: E402,F403

LEVELS = 150000  # of nested lists: 300,000 bytes; an object may have value_bytes = 1,048,576
WRITTEN_AT, END_AT, RESTART_DELAY_S = 5.0, 20.0, 0.5


def main():
    d = Deployment(__file__, ["austin-hall", "waco-hall", "temple-hall"])
    rec = d.record
    d.store.write("config", "main", configuration(3, [route("remind", "idempotent", "s", max_attempts=2)], ["s"]))
    for i, zone in enumerate(d.zones):
        Server(d.store, rec, "i-s%d" % i, "s", zone, "1").start()
    d.start()
    begin = now()
    own_ends = {r.name: 0 for r in d.routers}
    counts = {"before": [0, 0], "after": [0, 0]}  # sent, served
    lock = threading.Lock()
    over = threading.Event()

    def platform(router):
        """Restarts a process that has ended."""
        while not over.is_set():
            if router.process.poll() is not None:
                own_ends[router.name] += 1
                rec.add("router", router.name, "ended by itself, status", router.process.returncode)
                time.sleep(RESTART_DELAY_S)
                if not over.is_set():
                    router.start()
            time.sleep(0.02)

    def consumer(n):
        i = 0
        while not over.is_set():
            i += 1
            attempt = "c%d-%d" % (n, i)
            usable = [r for r in d.routers if r.ready()] or d.routers
            at = now() - begin
            answer = ask(usable[(n + i) % len(usable)].front, "GET", "/remind/%d" % i, attempt, timeout=3.0)
            phase = "before" if at < WRITTEN_AT else "after" if at > WRITTEN_AT + 3.0 else None
            rec.add("consumer", attempt, "got", answer.status or "no answer")
            if phase:
                with lock:
                    counts[phase][0] += 1
                    counts[phase][1] += answer.status == 200
            time.sleep(0.1)

    threads = [threading.Thread(target=platform, args=(r,)) for r in d.routers] + [threading.Thread(target=consumer, args=(n,)) for n in range(6)]
    for t in threads:
        t.start()
    time.sleep(WRITTEN_AT)
    if TROUBLE:
        # Every field but one is as a server writes it; the zone is a list instead of a text.
        entry = '{"service":"s","address":"127.0.0.3:9","zone":%s,"version":"1","slots":6,"state":"ready","cold_remaining_ms":0,"sequence":1}'
        text = entry % ("[" * LEVELS + "]" * LEVELS)
        d.store.write("servers", "i-other", text)
        rec.add("another writer's entry, bytes:", len(text))
    time.sleep(END_AT - WRITTEN_AT)
    over.set()
    for t in threads:
        t.join()
    d.end()
    broken = sum(n >= 3 for n in own_ends.values()) >= 2
    for line in ("processes ended by themselves: %s" % own_ends,
                 "served before the entry: %d of %d; from 3 s after it: %d of %d" % (*counts["before"][::-1], *counts["after"][::-1]),
                 "rule Fault " + ("BROKEN" if broken else "held")):
        rec.add(line)
        print(line)
    if counts["before"][1] == 0:
        return 2  # nothing was served: the case did not run
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
