"""Two software versions with long names serve side by side: streams that broke off with their router are not taken up at another one."""

import asyncio
import os
import random
import re
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
import standins as s

# The digest of the server's image, 71 characters; SHORT=1 (beside the case) names the versions by 12 of them
LENGTH = 5 if os.environ.get("SHORT") else 64
VERSIONS = ["sha256:" + "4be1a0c7" * 8, "sha256:" + "93d20f5e" * 8]
CLIENTS, EVENTS, FIRST_S, GAP_S = 90, 60, 0.1, 0.1  # streams of 6 s
BEGIN_S, TAKE_UP_S = 3.0, 8.0


async def play(case):
    luck = random.Random(70)

    async def stream(server, request, writer):
        await s.stream_run(FIRST_S, GAP_S, EVENTS)(server, request, writer)

    for i in range(6):  # three of each version
        server = case.server("i-%d" % (i + 1), "advice", "zone-" + "abc"[i % 3], slots=64, run=stream)
        server.version = VERSIONS[i % 2][:7 + LENGTH]
    for server in case.servers:
        await server.start()
    case.configure(1, [s.route("answer", "/answer/", "streaming", "advice", 12000, 1200, attempts=2, resumable=True, gap_aim_ms=600)],
                   [s.service("advice", 360)], [{"name": "tenant-1", "api_keys": ["key-1"]}])
    routers = [case.router("front-%s-1" % zone, "zone-" + zone) for zone in "abc"]
    for router in routers:
        await router.start()
    for router in routers:
        await router.wait_ready()
    await asyncio.sleep(6.0)  # all routers know each other and both versions
    killed = routers[-1]
    begun = {"asked": 0, "begun": 0}
    taken_up = {"asked": 0, "went on": 0, "whole": 0}

    def headers(name, more=()):
        return [("Host", "chat.example"), ("Yuccasaddle-Attempt-Id", name), ("Yuccasaddle-Deadline-Ms", "12000"), ("X-Api-Key", "key-1"), *more]

    async def take_up(first, last, router):
        """Takes a stream up at another router; once more after the Retry-After of a refusal."""
        others = [r for r in routers if r is not router]
        luck.shuffle(others)
        for other in others:
            name = case.attempt_id()
            answer = await s.ask(other.address, "POST", "/answer/2f", headers(name, [("Last-Event-Id", str(last)), ("Resumes", first)]), b"{}", 13.0)
            ids = [int(n) for n in re.findall(r"id: (\d+)", answer.body.decode())]
            case.record.line("%s takes %s up after event %d at %s: %s %s, %d events" % (name, first, last, other.name, answer.status,
                             answer.body[:30] if answer.status == 503 else "", len(ids)))
            if answer.status == 200:
                return ids[:1] == [last + 1], answer.whole
            await asyncio.sleep(float(s.field(answer.fields, "retry-after", "0.1") or 0.1))
        return False, False

    async def client(number):
        await asyncio.sleep(luck.uniform(0, BEGIN_S))
        router = routers[number % len(routers)]
        name = case.attempt_id()
        begun["asked"] += 1
        answer = await s.ask(router.address, "POST", "/answer/2f", headers(name), b"{}", 13.0)
        ids = [int(n) for n in re.findall(r"id: (\d+)", answer.body.decode())]
        begun["begun"] += bool(ids)
        case.record.line("stream %s at %s: %s, %s, %d events" % (name, router.name, answer.status, "whole" if answer.whole else "broken off", len(ids)))
        if ids and not answer.whole:
            taken_up["asked"] += 1
            went_on, whole = await take_up(name, ids[-1], router)
            taken_up["went on"] += went_on
            taken_up["whole"] += whole

    tasks = [asyncio.ensure_future(client(number)) for number in range(CLIENTS)]
    await asyncio.sleep(BEGIN_S + 1.0)
    if case.trouble:
        killed.kill()
    # New streams begin at the other routers meanwhile
    end = time.monotonic() + TAKE_UP_S
    number = 0
    while time.monotonic() < end:
        number += 1
        tasks.append(asyncio.ensure_future(client(number % (len(routers) - 1) + len(routers) * number)))
        await asyncio.sleep(0.2)
    await asyncio.gather(*tasks)
    case.record.say("streams taken up that went on: %d of %d (%d to their end); new streams that began: %d of %d"
                    % (taken_up["went on"], taken_up["asked"], taken_up["whole"], begun["begun"], begun["asked"]))
    if begun["begun"] < 60:
        raise s.CannotRun("too few streams began")
    if taken_up["asked"] >= 12 and taken_up["went on"] / taken_up["asked"] < begun["begun"] / begun["asked"] / 2:
        case.violation("LOST: %d of %d streams go on where their clients take them up, %d of %d new ones begin; three servers of each version serve"
                       % (taken_up["went on"], taken_up["asked"], begun["begun"], begun["asked"]))


s.main(play, os.path.dirname(os.path.abspath(__file__)), ["zone-a", "zone-b", "zone-c"])
