"""Request bodies that the operator's limits allow are held twice and without a bound over all requests: a burst makes the routers
exceed their memory, for which the platform kills them, with all that they serve."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
import standins as s

MEMORY_MB = 260.0  # of a front machine
MAX_BODY = 4194304  # max_body_bytes of the configuration
BODY = b"x" * (MAX_BODY - 4096)
EACH_S = 1 / 4.2  # requests to a router, without a burst
EVENTS, FIRST_S, GAP_S = 36, 0.4, 0.1  # about 4 s for a stream
BURST_X, BURST_S, BURSTS, PAUSE_S = 1.7, 3.0, 5, 12.0
RESTART_S = 0.5


async def play(case):
    for i in range(6):
        case.server("i-%d" % (i + 1), "advice", "zone-" + "ab"[i % 2], slots=64, run=s.stream_run(FIRST_S, GAP_S, EVENTS))
    for server in case.servers:
        await server.start()
    case.configure(1, [s.route("answer", "/answer/", "streaming", "advice", 12000, 1200, attempts=2, resumable=True, gap_aim_ms=600)],
                   [s.service("advice", 360)], [{"name": "tenant-1", "api_keys": ["key-1"]}], MAX_BODY)
    routers = [case.router("front-a-1", "zone-a"), case.router("front-b-1", "zone-b")]
    for router in routers:
        await router.start()
    for router in routers:
        await router.wait_ready()
    peak = {router.name: 0.0 for router in routers}
    kills = {router.name: 0 for router in routers}
    ended = {"whole": 0, "503": 0, "no connection": 0, "cut": 0}
    pace = {"x": 1.0}

    async def watch_memory(router):
        """The platform kills a process that exceeds its memory, and starts it again after a short delay."""
        while True:
            await asyncio.sleep(0.05)
            used = router.rss_mb()
            peak[router.name] = max(peak[router.name], used)
            if used > MEMORY_MB:
                kills[router.name] += 1
                case.record.say("router %s uses %.0f MB of %.0f MB: the platform kills it" % (router.name, used, MEMORY_MB))
                router.kill()
                await router.process.wait()
                await asyncio.sleep(RESTART_S)
                await router.start()

    async def chat(router):
        name = case.attempt_id()
        answer = await s.ask(router.address, "POST", "/answer/2f", [("Host", "chat.example"), ("Yuccasaddle-Attempt-Id", name),
                             ("Yuccasaddle-Deadline-Ms", "12000"), ("X-Api-Key", "key-1")], BODY, 13.0)
        reached = any(name in server.runs for server in case.servers)
        how = "whole" if answer.whole and answer.status == 200 else "503" if answer.status else "cut" if reached else "no connection"
        how = "cut" if answer.status == 200 and not answer.whole else how
        ended[how] += 1
        case.record.line("answer to %s: %s, %s" % (name, answer.status, how))

    tasks = []

    async def traffic(router, offset):
        await asyncio.sleep(offset)
        while True:
            tasks.append(asyncio.ensure_future(chat(router)))
            await asyncio.sleep(EACH_S / pace["x"])

    background = [asyncio.ensure_future(watch_memory(router)) for router in routers]
    load = [asyncio.ensure_future(traffic(router, i * EACH_S / 2)) for i, router in enumerate(routers)]
    await asyncio.sleep(12.0)
    for _ in range(BURSTS):
        if case.trouble:
            case.record.say("burst: x %.1f for %.1f s" % (BURST_X, BURST_S))
            pace["x"] = BURST_X
        await asyncio.sleep(BURST_S)
        pace["x"] = 1.0
        await asyncio.sleep(PAUSE_S)
    for task in load:
        task.cancel()
    await asyncio.gather(*tasks)
    for task in background:
        task.cancel()
    if ended["whole"] < 100:
        raise s.CannotRun("hardly anything was served: %s" % ended)
    case.record.say("peak %s MB; killed for memory: %s; requests: %s" % ({n: round(p) for n, p in peak.items()}, kills, ended))
    if sum(1 for count in kills.values() if count >= 3) >= 2:
        case.violation("Fault: processes end for their memory three times or more on two machines: %s" % kills)


s.main(play, os.path.dirname(os.path.abspath(__file__)), ["zone-a", "zone-b"])
