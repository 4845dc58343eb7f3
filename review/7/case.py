"""A router that is the only one left reads the store's stale answers: a key that was taken away goes on being used, and a server that
has left goes on getting requests, long after the bound."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
import standins as s

STALE_S = 5.0  # calls with allow_stale "may return data that is seconds old"
KEYS = ["key-%d-2ctnfzs989anu6ws" % i for i in range(1, 6)]
FIRST_CHANGE_S, CHANGE_EACH_S, WATCHED_S = 20.0, 28.0, 9.0
APPLY_S, DRAIN_S = s.BOUNDS["config_apply_ms"] / 1000, s.BOUNDS["drain_ms"] / 1000


async def play(case):
    for i, zone in enumerate(["a", "b", "a", "b"]):
        case.server("i-%d" % (i + 1), "booking", "zone-" + zone, slots=6, run=s.plain_run(0.06))
    for server in case.servers:
        await server.start()
    routes = [s.route("book", "/book/", "non_idempotent", "booking", 3000, 300)]
    services = [s.service("booking")]

    def configure(version, keys):
        return case.configure(version, routes, services, [{"name": "tenant-%d" % KEYS.index(k), "api_keys": [k]} for k in keys])

    configure(1, KEYS)
    left, lost = case.router("front-a-1", "zone-a"), case.router("front-b-1", "zone-b")
    for router in (left, lost):
        await router.start()
    for router in (left, lost):
        await router.wait_ready()
    gone = {}  # key -> when the store confirmed the version without it
    sent = {}  # attempt id -> (key, time of sending)
    outcomes = {"served": 0, "other": 0}

    async def book(key):
        name = case.attempt_id()
        sent[name] = (key, time.monotonic())
        answer = await s.ask(left.address, "POST", "/book/2f", [("Host", "chat.example"), ("Yuccasaddle-Attempt-Id", name),
                                                                ("Yuccasaddle-Deadline-Ms", "3000"), ("X-Api-Key", key)], b"{}", 4.0)
        outcomes["served" if answer.status == 200 else "other"] += 1
        case.record.line("answer to %s with %s: %s" % (name, key[:5], answer.status))

    tasks = []

    async def traffic():
        number = 0
        while True:
            tasks.append(asyncio.ensure_future(book(KEYS[number % len(KEYS)])))
            number += 1
            await asyncio.sleep(0.05)

    load = asyncio.ensure_future(traffic())
    await asyncio.sleep(5.0)
    if case.trouble:
        lost.kill()
    await asyncio.sleep(FIRST_CHANGE_S)
    leaving = case.servers[0]
    drained_at = None
    for version, key in enumerate(KEYS[:3], 2):
        gone[key] = configure(version, [k for k in KEYS if k not in gone and k != key])
        drained_at = drained_at or leaving.drain()
        await asyncio.sleep(WATCHED_S)
        if leaving.up:
            await leaving.leave()
        if version < 4:
            await asyncio.sleep(CHANGE_EACH_S - WATCHED_S)
    load.cancel()
    await asyncio.gather(*tasks)
    if outcomes["served"] < 100:
        raise s.CannotRun("hardly anything was served: %s" % outcomes)

    for server in case.servers:
        for at, name, _, _ in server.arrivals:
            if name not in sent:
                continue
            key, sent_at = sent[name]
            if key in gone and sent_at > gone[key] + APPLY_S:
                case.violation("CONFIG: server %s runs %s, sent with %s %.2f s after the store confirmed the version without that key"
                               % (server.name, name, key[:5], sent_at - gone[key]))
            if server is leaving and sent_at > drained_at + DRAIN_S:
                case.violation("DRAIN: %s reaches server %s %.2f s after the store confirmed that it is draining" % (name, server.name, at - drained_at))
    late = {k[:5]: sum(1 for t in case.broken if k[:5] in t) for k in gone}
    case.record.say("served %d, other %d; runs too late by key: %s; too late at the leaving server: %d"
                    % (outcomes["served"], outcomes["other"], late, sum(1 for t in case.broken if t.startswith("DRAIN"))))


s.main(play, os.path.dirname(os.path.abspath(__file__)), ["zone-a", "zone-b"], STALE_S)
