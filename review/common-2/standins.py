"""Stand-ins for the platform, its servers and its clients, on loopback, and the start of the project's routers.

Everything runs in one process on one event loop, besides the routers, which are the program that the deploy file builds and runs.
The stand-ins speak what PROTOCOL.md says and, where it says nothing, do what a sound server, client or platform does.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
HOST = "127.0.0.1"
BOUNDS = {  # of the small site files
    "contact_ms": 3000, "drain_ms": 2000, "grace_s": 8, "config_apply_ms": 2000, "retry_budget_ratio": 0.2,
    "budget_window_s": 10, "retry_budget_slack": 54, "recovery_s": 12, "cap_x": 2,
}
HEARTBEAT_S = 1.2
PORTS = (15000, 32000)


class CannotRun(Exception):
    """The case could not be played: this says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run, each line with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.begun = time.monotonic()

    def now(self):
        return time.monotonic() - self.begun

    def line(self, text):
        self.file.write("%9.3f %s\n" % (self.now(), text))

    def say(self, text):
        self.line(text)
        self.file.flush()
        print("%9.3f %s" % (self.now(), text), flush=True)


def free_ports(count):
    """Ports that are free for TCP and UDP, below those that the system gives to outgoing connections."""
    ports, held = [], []
    while len(ports) < count:
        port = random.randrange(*PORTS)
        sockets = [socket.socket(socket.AF_INET, kind) for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM)]
        held += sockets
        try:
            for s in sockets:
                s.bind((HOST, port))
        except OSError:
            continue
        ports.append(port)
    for s in held:
        s.close()
    return ports


# HTTP/1.1, as far as both sides need it

async def read_head(reader):
    """Returns the first line and the header fields, names in lower case; nothing at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = [(n.strip().lower(), v.strip()) for n, _, v in (line.partition(":") for line in lines[1:] if line)]
    return lines[0], fields


def field(fields, name, default=""):
    for n, v in fields:
        if n == name:
            return v
    return default


def message(status, body=b"", headers=(), reason="OK"):
    lines = ["HTTP/1.1 %d %s" % (status, reason), "Content-Length: %d" % len(body)]
    lines += ["%s: %s" % (n, v) for n, v in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def reset(writer):
    """Closes a connection with a reset, as the host of a process that was killed does."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            pass
    writer.transport.abort()


class Platform:
    """The platform's metadata store. Answers to calls with allow_stale show the state of stale_s ago."""

    def __init__(self, record, stale_s=0.0):
        self.record = record
        self.stale_s = stale_s
        self.revision = 100
        self.log = []  # (time, revision, kind, name, object or None)
        self.objects = {}  # kind -> name -> object
        self.changed = asyncio.Event()
        self.address = None
        self.delay_s = 0.004

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0, limit=1 << 22)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    def write(self, kind, name, spec):
        """A write by the operator or a server. Returns the time of the confirmation. A write that changes nothing makes no event."""
        held = self.objects.get(kind, {}).get(name)
        if held is None or held["spec"] != spec:
            self.store(kind, name, spec, held)
        return time.monotonic()

    def store(self, kind, name, spec, held, status=None, finalizers=()):
        self.revision += 1
        created = held["metadata"]["created_rev"] if held else self.revision
        obj = {"metadata": {"name": name, "revision": self.revision, "created_rev": created, "finalizers": list(finalizers),
                            "deleting": False}, "spec": spec, "status": status}
        self.objects.setdefault(kind, {})[name] = obj
        self.note(kind, name, obj)
        return obj

    def remove(self, kind, name):
        if self.objects.get(kind, {}).pop(name, None) is not None:
            self.revision += 1
            self.note(kind, name, None)

    def note(self, kind, name, obj):
        self.log.append((time.monotonic(), self.revision, kind, name, obj))
        self.changed.set()
        self.changed = asyncio.Event()

    def horizon(self, stale):
        return time.monotonic() - (self.stale_s if stale else 0)

    def view(self, kind, stale):
        until, state, revision = self.horizon(stale), {}, 100
        for at, rev, k, name, obj in self.log:
            if at > until:
                break
            revision = rev
            if k == kind:
                if obj is None:
                    state.pop(name, None)
                else:
                    state[name] = obj
        return state, revision

    async def watch(self, kind, since, wait_ms, stale):
        end = time.monotonic() + wait_ms / 1000
        while True:
            until = self.horizon(stale)
            seen = [entry for entry in self.log if entry[0] <= until]
            events = [{"deleted": obj is None, "object": obj or self.last_object(kind, name, rev)}
                      for _, rev, k, name, obj in seen if k == kind and rev > since]
            left = end - time.monotonic()
            if events or left <= 0:
                return {"events": events, "store_revision": seen[-1][1] if seen else 100}
            waiter = self.changed.wait()
            try:
                await asyncio.wait_for(waiter, min(left, 0.05 if stale and self.stale_s else left))
            except asyncio.TimeoutError:
                pass

    def last_object(self, kind, name, revision):
        for _, rev, k, n, obj in reversed(self.log):
            if k == kind and n == name and rev < revision and obj:
                return dict(obj, metadata=dict(obj["metadata"], revision=revision))
        return {"metadata": {"name": name, "revision": revision}}

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                line, fields = head
                body = await reader.readexactly(int(field(fields, "content-length", "0")))
                method, target, _ = line.split(" ", 2)
                status, answer = await self.call(method, target, body)
                await asyncio.sleep(self.delay_s)
                data = json.dumps(answer).encode()
                writer.write(message(status, data, [("Content-Type", "application/json")]))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def call(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        parts = [urllib.parse.unquote(p) for p in url.path.strip("/").split("/")]
        if parts[:2] != ["api", "objects"] or len(parts) < 3:
            return 404, {}
        kind, name = parts[2], parts[3] if len(parts) > 3 else None
        stale = query.get("allow_stale") == "1"
        if method == "GET" and "watch" in query:
            return 200, await self.watch(kind, int(query["watch"]), int(query.get("wait_ms", "0")), stale)
        if method == "GET":
            state, revision = self.view(kind, stale)
            if name is not None:
                return (200, state[name]) if name in state else (404, {})
            after = query.get("after_rev", "")
            items = [state[n] for n in sorted(state) if n > after]
            return 200, {"items": items[:500], "has_more": len(items) > 500, "store_revision": revision}
        return self.write_call(method, kind, name, parts, query, json.loads(body) if body else {})

    def write_call(self, method, kind, name, parts, query, sent):
        name = name or sent.get("metadata", {}).get("name")
        held = self.objects.get(kind, {}).get(name)
        condition = query.get("revision") or sent.get("metadata", {}).get("revision")
        if method == "POST":
            return (409, held) if held else (200, self.store(kind, name, sent.get("spec"), None))
        if held is None:
            return 404, {}
        if condition and int(condition) != held["metadata"]["revision"]:
            return 409, held
        if method == "DELETE":
            self.remove(kind, name)
            return 200, held
        if len(parts) > 4 and parts[4] == "status":
            return 200, self.store(kind, name, held["spec"], held, sent.get("status"))
        if held["spec"] == sent.get("spec"):
            return 200, held
        return 200, self.store(kind, name, sent.get("spec"), held)


class Server:
    """A server of a service. It runs slots requests at once, drops those whose channel closes, and tells its load."""

    def __init__(self, platform, record, name, service, zone, slots=64, stream=False, run=None):
        self.platform, self.record = platform, record
        self.name, self.service, self.zone, self.slots, self.stream = name, service, zone, slots, stream
        self.run = run  # coroutine function (server, request, writer)
        self.port = free_ports(1)[0]
        self.state = "ready"
        self.leaving = False
        self.register = True
        self.born = None
        self.up = False
        self.connections = set()
        self.running = 0
        self.arrivals = []  # (time, attempt id, headers)
        self.runs = {}  # attempt id -> how it ended
        self.extra_headers = []
        self.version = "v1"
        self.sequence = 0

    def entry(self):
        out = {"service": self.service, "address": "%s:%d" % (HOST, self.port), "zone": self.zone, "version": self.version, "slots": self.slots,
               "state": self.state, "cold_remaining_ms": 0, "stage": "unified", "models": [], "sequence": 0, "born": self.born}
        return out

    async def start(self, first_heartbeat_s=0.0):
        self.born = int(time.time() * 1000)
        self.up = True
        self.listener = await asyncio.start_server(self.serve, HOST, self.port, limit=1 << 23)
        self.record.line("server %s starts, born %d" % (self.name, self.born))
        self.heartbeats = asyncio.ensure_future(self.beat(first_heartbeat_s))

    async def beat(self, first_s):
        await asyncio.sleep(first_s)
        while True:
            if self.register:
                self.platform.write("servers", self.name, self.entry())
            await asyncio.sleep(HEARTBEAT_S)

    def drain(self):
        """Reports that it leaves. Returns when the store accepted that."""
        self.state = "draining"
        at = self.platform.write("servers", self.name, self.entry())
        self.record.say("the store accepts that server %s is draining" % self.name)
        return at

    def crash(self):
        """Ends at once, as by SIGKILL: connections are reset, and nobody listens."""
        self.up = False
        for name, state in self.runs.items():
            if state == "begun":
                self.runs[name] = "crashed"
        self.heartbeats.cancel()
        self.listener.close()
        for writer in list(self.connections):
            reset(writer)
        self.record.say("server %s ends, %d requests were running" % (self.name, self.running))

    async def leave(self):
        self.crash()
        self.platform.remove("servers", self.name)

    def load_headers(self):
        return [("Yuccasaddle-Server-Load", "%d,0,%d" % (self.running, self.slots))] + self.extra_headers

    async def serve(self, reader, writer):
        self.connections.add(writer)
        next_head = asyncio.ensure_future(read_head(reader))
        try:
            while True:
                head = await next_head
                if head is None:
                    break
                line, fields = head
                body = await reader.readexactly(int(field(fields, "content-length", "0")))
                request = {"line": line, "fields": fields, "body": body, "id": field(fields, "yuccasaddle-attempt-id")}
                self.arrivals.append((time.monotonic(), request["id"], fields, writer.get_extra_info("peername")))
                next_head = asyncio.ensure_future(read_head(reader))
                work = asyncio.ensure_future(self.handle(request, writer))
                await asyncio.wait({work, next_head}, return_when=asyncio.FIRST_COMPLETED)
                if not work.done() and next_head.done() and next_head.result() is None:
                    work.cancel()  # the channel is closed
                try:
                    await work
                except asyncio.CancelledError:
                    break
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            pass
        finally:
            next_head.cancel()
            self.connections.discard(writer)
            writer.close()

    async def handle(self, request, writer):
        expected = field(request["fields"], "yuccasaddle-expected-instance")
        if expected and expected != self.name:
            writer.write(message(421, b"", [("Yuccasaddle-Instance-Id", self.name), ("Yuccasaddle-Attempt-Id", request["id"])], "Misdirected Request"))
            return
        if request["line"].split(" ")[1].startswith("/health"):
            writer.write(message(200, b"", [("Yuccasaddle-Instance-Id", self.name)]))
            return
        if self.running >= self.slots:
            writer.write(message(503, b"", [("Yuccasaddle-Not-Executed", "1"), ("Yuccasaddle-Attempt-Id", request["id"])] + self.load_headers(),
                                 "Service Unavailable"))
            return
        self.running += 1
        self.runs[request["id"]] = "begun"
        self.record.line("server %s runs %s" % (self.name, request["id"]))
        try:
            await self.run(self, request, writer)
            if self.runs.get(request["id"]) == "begun":
                self.runs[request["id"]] = "whole"
        except asyncio.CancelledError:
            if self.runs.get(request["id"]) == "begun":
                self.runs[request["id"]] = "channel closed"
                self.record.line("server %s drops %s: its channel was closed" % (self.name, request["id"]))
            raise
        finally:
            self.running -= 1

    def answer_headers(self, request):
        return [("Yuccasaddle-Attempt-Id", request["id"]), ("Yuccasaddle-Response-Signature", "3e1b." + request["id"])] + self.load_headers()


def plain_run(work_s, body_bytes=800):
    async def run(server, request, writer):
        await asyncio.sleep(work_s)
        writer.write(message(200, (request["id"] + "x" * body_bytes).encode()[:body_bytes], server.answer_headers(request)))
        await writer.drain()
    return run


def stream_run(first_s, gap_s, events):
    """A model server: first_s until the first event, then an event each gap_s. Goes on after Last-Event-Id."""
    async def run(server, request, writer):
        after = int(field(request["fields"], "last-event-id", "0") or "0")
        await asyncio.sleep(first_s)
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        head += ["%s: %s" % pair for pair in server.answer_headers(request)]
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        for number in range(after + 1, events + 1):
            data = ("id: %d\ndata: %s %d\n\n" % (number, request["id"], number)).encode()
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))
            await writer.drain()
            await asyncio.sleep(gap_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
    return run


class Answer:
    """What a client got: no status if the channel ended before an answer; whole is false if the answer broke off."""

    def __init__(self):
        self.status = None
        self.fields = []
        self.body = b""
        self.whole = False
        self.first_at = None


async def connect(address):
    host, port = address.rsplit(":", 1)
    return await asyncio.wait_for(asyncio.open_connection(host, int(port), limit=1 << 22), 1.0)


async def ask(address, method, path, headers, body=b"", timeout_s=10.0, leave_after_s=None, connection=None, keep=False):
    """Sends one request on a new channel, or on the given one, and reads its answer. The channel stays open only if it is kept and the
    answer is whole. A client that leaves closes the channel."""
    out = Answer()
    writer = None
    try:
        if connection is None:
            connection = await connect(address)
        reader, writer = connection
        lines = ["%s %s HTTP/1.1" % (method, path)] + ["%s: %s" % pair for pair in headers]
        if body or method == "POST":
            lines.append("Content-Length: %d" % len(body))
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await writer.drain()
        await asyncio.wait_for(read_answer(reader, out), leave_after_s if leave_after_s is not None else timeout_s)
    except (asyncio.TimeoutError, ConnectionError, OSError, asyncio.IncompleteReadError, ValueError):
        pass
    finally:
        if writer is not None and not (keep and out.whole):
            writer.close()
    return out


async def read_answer(reader, out):
    head = await read_head(reader)
    if head is None:
        return
    line, out.fields = head
    out.status = int(line.split(" ")[1])
    if field(out.fields, "transfer-encoding") == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if size == 0:
                break
            out.first_at = out.first_at or time.monotonic()
            out.body += part[:-2]
    else:
        out.body = await reader.readexactly(int(field(out.fields, "content-length", "0")))
    out.whole = True


class Router:
    """A router, started with the command of the deploy file and settings as its template gives them on a small deployment."""

    def __init__(self, case, name, zone):
        self.case, self.name, self.zone = case, name, zone
        traffic, ready, metrics, peers = free_ports(4)
        self.address = "%s:%d" % (HOST, traffic)
        self.ready = "%s:%d" % (HOST, ready)
        self.metrics = "%s:%d" % (HOST, metrics)
        self.peers = "%s:%d" % (HOST, peers)
        self.process = None
        self.started = 0

    def settings(self):
        return {"interface": "platform", "id": self.name, "failureDomain": self.zone, "traffic": self.address, "readiness": self.ready,
                "metrics": self.metrics, "peers": self.peers, "retryRatio": BOUNDS["retry_budget_ratio"],
                "retrySlack": BOUNDS["retry_budget_slack"], "retryWindowS": BOUNDS["budget_window_s"],
                "configurationBoundMs": BOUNDS["config_apply_ms"], "drainBoundMs": BOUNDS["drain_ms"],
                "regions": {z: "region-1" for z in self.case.zones}, "loadFactor": BOUNDS["cap_x"], "stopGraceS": BOUNDS["grace_s"],
                "store": self.case.platform.address}

    async def start(self):
        program = os.path.join(ROOT, "target", "yucca-router")
        if not os.path.exists(program):
            raise CannotRun("target/yucca-router is not built")
        path = os.path.join(self.case.folder, self.name + ".json")
        with open(path, "w") as f:
            json.dump(self.settings(), f)
        out = open(os.path.join(self.case.folder, self.name + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(program, "--config", path, cwd=ROOT, stdout=out, stderr=out, stdin=asyncio.subprocess.DEVNULL)
        out.close()
        self.started += 1
        self.case.record.say("router %s starts" % self.name)

    async def wait_ready(self, timeout_s=10.0):
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            answer = await ask(self.ready, "GET", "/api/ready", [("Host", "ready")], timeout_s=1.0)
            if answer.status == 200:
                return
            await asyncio.sleep(0.1)
        raise CannotRun("router %s does not become ready" % self.name)

    def kill(self):
        self.case.record.say("router %s is killed" % self.name)
        self.process.send_signal(signal.SIGKILL)

    def rss_mb(self):
        with open("/proc/%d/status" % self.process.pid) as f:
            for line in f:
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024.0
        return 0.0

    async def stop(self):
        if self.process is not None and self.process.returncode is None:
            try:
                self.process.kill()
            except ProcessLookupError:
                pass
        if self.process is not None:
            await self.process.wait()


class Case:
    """A case: its stand-ins, its routers, its record and its end."""

    def __init__(self, folder, zones, stale_s=0.0):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(os.path.join(folder, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.zones = zones
        self.platform = Platform(self.record, stale_s)
        self.routers, self.servers, self.next_id = [], [], 0
        self.broken = []

    def router(self, name, zone):
        self.routers.append(Router(self, name, zone))
        return self.routers[-1]

    def server(self, *args, **kwargs):
        self.servers.append(Server(self.platform, self.record, *args, **kwargs))
        return self.servers[-1]

    def attempt_id(self):
        self.next_id += 1
        return "%016x" % (0x9C41D07B00000000 + self.next_id)

    def configure(self, version, routes, services, tenants, max_body_bytes=4194304):
        spec = {"version": version, "routes": routes, "services": services,
                "limits": {"max_header_bytes": 16384, "max_body_bytes": max_body_bytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
                "tenants": tenants}
        at = self.platform.write("config", "main", spec)
        self.record.say("the store confirms configuration %d" % version)
        return at

    def violation(self, text):
        self.broken.append(text)
        self.record.line("BROKEN: " + text)

    async def close(self):
        for router in self.routers:
            await router.stop()
        for server in self.servers:
            if server.up:
                server.crash()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def route(name, prefix, kind, service, timeout_ms, aim_ms, attempts=1, **more):
    return dict({"name": name, "host": "chat.example", "path_prefix": prefix, "kind": kind, "timeout_ms": timeout_ms, "target_latency_ms": aim_ms,
                 "priority": 1, "service": service, "max_attempts": attempts, "public": False, "sticky": False}, **more)


def service(name, max_conns=100, **more):
    return dict({"name": name, "health_path": "/health", "max_conns": max_conns, "protocol": "h1", "tls": False}, **more)


def main(play, folder, zones, stale_s=0.0):
    """Plays a case: 0 if the rule held, 1 if it was broken, 2 if the case could not run."""
    async def run():
        case = Case(folder, zones, stale_s)
        case.record.say("trouble: %s" % ("yes" if case.trouble else "no"))
        try:
            await case.platform.start()
            await play(case)
        except CannotRun as why:
            case.record.say("cannot run: %s" % why)
            return 2
        finally:
            await case.close()
        for text in case.broken[:20]:
            print("BROKEN: " + text)
        case.record.say("result: %s, %d violations" % ("broken" if case.broken else "held", len(case.broken)))
        return 1 if case.broken else 0
    try:
        code = asyncio.run(asyncio.wait_for(run(), 115))
    except asyncio.TimeoutError:
        print("cannot run: it took too long")
        code = 2
    sys.stdout.flush()
    os._exit(code)
