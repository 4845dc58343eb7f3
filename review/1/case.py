"""Servers break off a few of their answers; where a peer router relays them, the consumer gets a wrong body that looks whole."""
import os
import random
import sys
import threading

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
from standins import *  # noqa: E402,F403

SERVERS = 3
GARBLING = 2  # of them: the share of 0.6
GARBLED = 0.03  # of their answers: a garbling server breaks off anywhere in the body, and ends the channel in order
BODY_BYTES = (200, 1400)  # 800 on the average
PAUSE_S = 0.35  # "A sound server may fall silent for a second or so and go on"
PAUSE_EVERY_S = 1.0  # the servers in turn
QUEUE = 2  # of new channels
RUN_S = 90.0
CONSUMERS_PER_ROUTER = 12
THINK_S = 0.03  # between two requests of a consumer


class Scheduler:
    """A server of plain requests with a short queue of new channels, which pauses and garbles."""

    def __init__(self, d, number):
        self.d, self.name, self.zone = d, "i-s%d" % number, d.zones[number]
        self.garbles = TROUBLE and number < GARBLING
        self.random = random.Random(number)
        self.paused = False
        self.address = ("127.0.0.2", free_port("127.0.0.2"))
        self.end = serve_pausing(self.address, self.connection, lambda: self.paused, QUEUE)
        self.sent = {}  # attempt -> the whole body
        d.store.write("servers", self.name, {"service": "s", "address": "%s:%d" % self.address, "zone": self.zone, "version": "1", "slots": 64,
                                             "state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": int(time.time() * 1000)})

    def wait(self):
        while self.paused:
            time.sleep(0.002)

    def connection(self, sock):
        wire = Wire(sock)
        while True:
            first, fields = wire.head()
            wire.body(fields)
            self.wait()
            time.sleep(0.02)
            self.wait()
            attempt = fields.get("yuccasaddle-attempt-id", "")
            if fields.get("yuccasaddle-expected-instance", self.name) != self.name:
                sock.sendall(response(421, {"Yuccasaddle-Attempt-Id": attempt, "Yuccasaddle-Not-Executed": "1"}))
                continue
            body = ("answer to %s " % attempt).ljust(self.random.randint(*BODY_BYTES), "x").encode()
            self.sent[attempt] = body
            out = response(200, {"Yuccasaddle-Attempt-Id": attempt, "Yuccasaddle-Response-Signature": "sig." + attempt}, body)
            if self.garbles and self.random.random() < GARBLED:
                missing = self.random.randint(1, len(body))
                self.d.record.add("server", self.name, "runs", attempt, "and breaks off its answer before the last", missing, "bytes")
                sock.sendall(out[:-missing])
                sock.shutdown(socket.SHUT_WR)
                sock.settimeout(1.0)
                while sock.recv(4096):
                    pass
                return
            self.d.record.add("server", self.name, "runs", attempt)
            sock.sendall(out)


def main():
    d = Deployment(__file__, ["austin-hall", "waco-hall", "temple-hall"])
    rec = d.record
    routes = [route("remind", "idempotent", "s", max_attempts=2), route("book", "non_idempotent", "s")]
    d.store.write("config", "main", configuration(3, routes, ["s"]))
    servers = [Scheduler(d, n) for n in range(SERVERS)]
    d.start()
    time.sleep(3.0)  # the routers hear each other
    over = threading.Event()
    lock = threading.Lock()
    counts = {"sent": 0, "200": 0, "wrong": 0}

    def consumer(n):
        router = d.routers[n % len(d.routers)]
        i = 0
        while not over.is_set():
            i += 1
            attempt = "c%d-%d" % (n, i)
            book = i % 2 == 0
            answer = ask(router.front, "POST" if book else "GET", "/%s/%d" % ("book" if book else "remind", i), attempt, timeout=3.0, body=b"{}" if book else b"")
            whole = answer.status == 200 and answer.complete
            wrong = whole and answer.body not in [s.sent.get(attempt) for s in servers]
            if wrong:
                rec.add("consumer", attempt, "at", router.name, "got 200 with a signature and a WRONG BODY of", len(answer.body), "bytes, ending in", answer.body[-24:].decode("latin-1"))
            else:
                rec.add("consumer", attempt, "got", answer.status or "no answer", "whole" if whole else "")
            with lock:
                counts["sent"] += 1
                counts["200"] += whole
                counts["wrong"] += wrong
            time.sleep(THINK_S)

    threads = [threading.Thread(target=consumer, args=(n,)) for n in range(CONSUMERS_PER_ROUTER * len(d.routers))]
    for t in threads:
        t.start()
    end = now() + RUN_S
    turn = 0
    while now() < end:
        time.sleep(PAUSE_EVERY_S - PAUSE_S)
        server = servers[turn % SERVERS]
        turn += 1
        server.paused = True  # in both kinds of run: it is no disruption
        time.sleep(PAUSE_S)
        server.paused = False
    over.set()
    for t in threads:
        t.join()
    for s in servers:
        s.end()
    cuts = sum(open(r.log.name, "rb").read().count(b'"PathCut"') for r in d.routers)
    d.end()
    broken = counts["wrong"] > 0
    for line in ("requests: %s; routers that took a path for cut: %d times" % (counts, cuts), "rule MIXED " + ("BROKEN" if broken else "held")):
        rec.add(line)
        print(line)
    if counts["200"] == 0:
        return 2  # nothing was served: the case did not run
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
