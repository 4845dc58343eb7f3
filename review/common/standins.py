"""Small stand-ins for one deployment on loopback: the platform's store, servers, consumers and the router processes.

They follow ../given/kit/more/system/PROTOCOL.md and DEPLOY.md; where those pages are silent they behave soundly.
Python's standard library only.
"""
import atexit
import json
import os
import re
import shutil
import signal
import socket
import socketserver
import subprocess
import tempfile
import threading
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def now():
    return time.monotonic()


# --- HTTP on a socket -------------------------------------------------------------------------------------------------

class Closed(Exception):
    pass


class Wire:
    """Reads HTTP/1.1 messages from a socket."""

    def __init__(self, sock):
        self.sock = sock
        self.buf = b""

    def fill(self):
        data = self.sock.recv(65536)
        if not data:
            raise Closed()
        self.buf += data

    def line(self):
        while b"\r\n" not in self.buf:
            self.fill()
        line, self.buf = self.buf.split(b"\r\n", 1)
        return line

    def head(self):
        """Returns the first line and the header fields (names in lower case)."""
        first = self.line().decode("latin-1")
        fields = {}
        while True:
            line = self.line()
            if not line:
                return first, fields
            name, _, value = line.partition(b":")
            fields[name.decode("latin-1").strip().lower()] = value.decode("latin-1").strip()

    def exact(self, n):
        while len(self.buf) < n:
            self.fill()
        out, self.buf = self.buf[:n], self.buf[n:]
        return out

    def chunk(self):
        """Returns the next chunk of a chunked body; empty at its end."""
        size = int(self.line().split(b";")[0], 16)
        if size == 0:
            while self.line():
                pass
            return b""
        data = self.exact(size)
        self.exact(2)
        return data

    def body(self, fields):
        if "chunked" in fields.get("transfer-encoding", ""):
            out = b""
            while True:
                part = self.chunk()
                if not part:
                    return out
                out += part
        return self.exact(int(fields.get("content-length", "0")))


def response(status, fields=None, body=b"", reason="X"):
    out = "HTTP/1.1 %d %s\r\n" % (status, reason)
    for name, value in (fields or {}).items():
        out += "%s: %s\r\n" % (name, value)
    out += "Content-Length: %d\r\n\r\n" % len(body)
    return out.encode("latin-1") + body


class Listener(socketserver.ThreadingTCPServer):
    allow_reuse_address = True
    daemon_threads = True
    request_queue_size = 512

    def handle_error(self, request, client_address):
        pass


def serve_pausing(address, handle, paused, backlog):
    """As serve(), with a short queue of new channels; while paused() nothing is accepted. Returns a function that ends it."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(address)
    listener.listen(backlog)
    listener.settimeout(0.02)
    ended = threading.Event()

    def run(sock):
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            handle(sock)
        except (Closed, OSError, ValueError):
            pass
        finally:
            sock.close()

    def accept():
        while not ended.is_set():
            if paused():
                time.sleep(0.002)
                continue
            try:
                sock, _ = listener.accept()
            except socket.timeout:
                continue
            except OSError:
                return
            sock.settimeout(None)
            threading.Thread(target=run, args=(sock,), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()

    def end():
        ended.set()
        listener.close()

    return end


def serve(address, handle):
    """Calls handle(socket) on a thread of its own for each connection."""

    class Handler(socketserver.BaseRequestHandler):
        def handle(self):
            self.request.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            try:
                handle(self.request)
            except (Closed, OSError, ValueError):
                pass

    server = Listener(address, Handler)
    threading.Thread(target=server.serve_forever, kwargs={"poll_interval": 0.05}, daemon=True).start()
    return server


def free_port(host):
    with socket.socket() as s:
        s.bind((host, 0))
        return s.getsockname()[1]


def free_block(size):
    """Returns the first of some ports in a row that are free on 127.0.0.1, below those that the system hands out."""
    for base in range(12000 + os.getpid() % 190 * 100, 32000, size):
        held = []
        try:
            for port in range(base, base + size):
                s = socket.socket()
                held.append(s)
                s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                s.bind(("127.0.0.1", port))
            return base
        except OSError:
            pass
        finally:
            for s in held:
                s.close()
    raise SystemExit(2)


# --- The platform's store ---------------------------------------------------------------------------------------------

class Store:
    """Objects by kind and name, with lists, watches and conditional writes. A spec is kept as JSON text."""

    def __init__(self, host="127.0.0.1"):
        self.lock = threading.Condition()
        self.rev = 100
        self.objects = {}  # kind -> name -> dict(name, rev, created, finalizers, spec text, status text)
        self.events = {}  # kind -> [(rev, deleted, object text)]
        self.server = serve((host, 0), self.connection)
        self.address = "%s:%d" % self.server.server_address

    @staticmethod
    def text(o):
        return ('{"metadata":{"name":%s,"revision":%d,"created_rev":%d,"finalizers":%s,"deleting":false},"spec":%s,"status":%s}'
                % (json.dumps(o["name"]), o["rev"], o["created"], json.dumps(o["finalizers"]), o["spec"], o["status"]))

    def write(self, kind, name, spec):
        """Writes an object as its owner does; spec is an object or JSON text. Returns the revision."""
        spec = spec if isinstance(spec, str) else json.dumps(spec)
        with self.lock:
            held = self.objects.setdefault(kind, {}).get(name)
            if held and held["spec"] == spec:
                return held["rev"]
            self.rev += 1
            o = dict(name=name, rev=self.rev, created=held["created"] if held else self.rev, finalizers=[], spec=spec, status="null")
            self.objects[kind][name] = o
            self.events.setdefault(kind, []).append((self.rev, False, self.text(o)))
            self.lock.notify_all()
            return self.rev

    def remove(self, kind, name):
        with self.lock:
            held = self.objects.get(kind, {}).pop(name, None)
            if held:
                self.rev += 1
                held["rev"] = self.rev
                self.events.setdefault(kind, []).append((self.rev, True, self.text(held)))
                self.lock.notify_all()

    def connection(self, sock):
        wire = Wire(sock)
        while True:
            first, fields = wire.head()
            body = wire.body(fields)
            method, target, _ = first.split(" ", 2)
            status, out = self.call(method, target, body)
            sock.sendall(response(status, {"Content-Type": "application/json"}, out.encode()))

    def call(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        parts = [urllib.parse.unquote(p) for p in url.path.split("/")[3:]]
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        if method == "GET" and name:
            with self.lock:
                o = self.objects.get(kind, {}).get(name)
                return (200, self.text(o)) if o else (404, "{}")
        if method == "GET" and "watch" in query:
            return self.watch(kind, int(query["watch"]), int(query.get("wait_ms", "0")) / 1000)
        if method == "GET":
            with self.lock:
                after = query.get("after_rev", "")
                items = [self.text(o) for n, o in sorted(self.objects.get(kind, {}).items()) if n > after]
                return 200, '{"items":[%s],"has_more":false,"store_revision":%d}' % (",".join(items), self.rev)
        return self.change(method, kind, name, query, body)

    def watch(self, kind, since, wait):
        until = now() + min(wait, 30)
        with self.lock:
            while True:
                events = [(d, t) for r, d, t in self.events.get(kind, []) if r > since]
                left = until - now()
                if events or left <= 0:
                    shown = ",".join('{"object":%s,"deleted":%s}' % (t, "true" if d else "false") for d, t in events)
                    return 200, '{"events":[%s],"store_revision":%d}' % (shown, self.rev)
                self.lock.wait(left)

    def change(self, method, kind, name, query, body):
        document = json.loads(body) if body else {}
        metadata = document.get("metadata", {})
        name = name or metadata.get("name")
        with self.lock:
            held = self.objects.get(kind, {}).get(name)
            wanted = metadata.get("revision", int(query["revision"]) if "revision" in query else None)
            if method == "POST" and held:
                return 409, self.text(held)
            if method != "POST" and not held:
                return 404, "{}"
            if held and wanted is not None and wanted != held["rev"]:
                return 409, self.text(held)
        if method == "DELETE":
            self.remove(kind, name)
            return 200, "{}"
        self.write(kind, name, document.get("spec"))
        with self.lock:
            return 200, self.text(self.objects[kind][name])


# --- Settings of a router, filled in from the project's template ------------------------------------------------------

BOUNDS = {"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8,
          "loss_slack_ms": 200, "config_apply_ms": 2000, "downgrade_slack_ms": 250, "outer_ms": 5000, "fail_closed": False,
          "revoke_ms": 5000, "retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_budget_slack": 54, "recovery_s": 12,
          "pass_ms": 120, "reuse_window_s": 10, "cap_x": 2}


def render(template, fields):
    """Fills in a template as DEPLOY.md describes it (the placeholders that the project's template uses)."""

    def look(path, scopes):
        if path == ".":
            return scopes[-1]
        for scope in reversed(scopes):
            value = scope
            for key in path.split("."):
                if isinstance(value, list) and key.isdigit() and int(key) < len(value):
                    value = value[int(key)]
                elif isinstance(value, dict) and key in value:
                    value = value[key]
                else:
                    value = None
                    break
            if value is not None:
                return value
        return None

    def fill(text, scopes, key, last):
        def section(match):
            mark, path, inner = match.group(1), match.group(2), match.group(3)
            value = look(path, scopes)
            if mark == "^":
                return fill(inner, scopes, key, last) if not value else ""
            if isinstance(value, dict):
                entries = list(value.items())
                return "".join(fill(inner, scopes + [v], k, i == len(entries) - 1) for i, (k, v) in enumerate(entries))
            if isinstance(value, list):
                return "".join(fill(inner, scopes + [v], i, i == len(value) - 1) for i, v in enumerate(value))
            return fill(inner, scopes, key, last) if value is not None and value is not False else ""

        text = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, text, flags=re.S)

        def value(match):
            path, as_json = match.group(1), match.group(2)
            if path == ",":
                return "" if last else ","
            found = key if path == "@" else look(path, scopes)
            if as_json or isinstance(found, (dict, bool)):
                return json.dumps(found)
            if isinstance(found, list):
                return ",".join(map(str, found))
            return "" if found is None else str(found)

        return re.sub(r"\{\{([\w.,@]+)(\|json)?\}\}", value, text)

    return fill(template, [fields], None, True)


def deploy_run():
    """The program and the template of the deploy file's role."""
    text = open(os.path.join(ROOT, "deploy", "system.toml")).read()
    run = re.search(r'^run = "([^"]+)"', text, re.M).group(1).split()
    template = re.search(r'^template = "([^"]+)"', text, re.M).group(1)
    return run, open(os.path.join(ROOT, template)).read()


class Router:
    """One router process. All are at one address, as a channel to a peer must come from the address that the peer is listed with."""

    def __init__(self, folder, number, zone, zones, store, base_port):
        self.ip = "127.0.0.1"
        base_port += 20 * number
        self.name = "front-%s-%d" % (zone, number)
        self.front = (self.ip, base_port)
        self.ready_at = (self.ip, base_port + 1)
        fields = {"node": self.name, "zone": zone, "ip": self.ip, "zones": {z: "tx-central" for z in zones},
                  "listen": {"front": "%s:%d" % self.front, "ready": "%s:%d" % self.ready_at},
                  "internal_ports": [base_port + 2, base_port + 17], "bounds": BOUNDS, "platform": {"address": store}}
        run, template = deploy_run()
        self.settings = os.path.join(folder, self.name + ".json")
        with open(self.settings, "w") as f:
            f.write(render(template, fields))
        self.command = [os.path.join(ROOT, run[0])] + [self.settings if a.startswith("/etc/") else a for a in run[1:]]
        self.log = open(os.path.join(folder, self.name + ".log"), "ab")
        self.process = None
        self.starts = 0

    def start(self):
        self.starts += 1
        self.process = subprocess.Popen(self.command, cwd=ROOT, stdout=self.log, stderr=self.log,
                                        env={"PATH": os.environ.get("PATH", "/usr/bin:/bin"), "HOME": "/tmp", "LANG": "C"})
        return self

    def kill(self, sig=signal.SIGKILL):
        if self.process and self.process.poll() is None:
            self.process.send_signal(sig)

    def ready(self):
        try:
            with socket.create_connection(self.ready_at, 0.5) as s:
                s.settimeout(0.5)
                s.sendall(b"GET /api/ready HTTP/1.1\r\nHost: r\r\n\r\n")
                return s.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False


class Record:
    """record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.lock = threading.Lock()
        self.begin = now()

    def add(self, *words):
        with self.lock:
            self.file.write("%8.3f %s\n" % (now() - self.begin, " ".join(map(str, words))))


# --- Servers ----------------------------------------------------------------------------------------------------------

class Server:
    """One server of a service: registers itself, answers requests or streams events, and can end and start again."""

    def __init__(self, store, record, name, service, zone, version, host="127.0.0.2", events=0, gap_s=0.05, work_s=0.03, heartbeat_s=1.2):
        self.store, self.record, self.name, self.service, self.zone, self.version = store, record, name, service, zone, version
        self.events, self.gap_s, self.work_s, self.heartbeat_s = events, gap_s, work_s, heartbeat_s
        self.host, self.port = host, free_port(host)
        self.lock = threading.Lock()
        self.state, self.up, self.listener, self.sockets, self.born = "ready", False, None, set(), 0
        self.starts = 0
        self.cut = False  # from the store

    def start(self, version=None):
        """Starts, under the name that it had before if it is not the first time. Registers at once, then with each heartbeat."""
        self.version = version or self.version
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.starts += 1
        self.up = True
        self.listener = serve((self.host, self.port), self.connection)
        self.record.add("server", self.name, "starts, version", self.version, "born", self.born)
        threading.Thread(target=self.beat, args=(self.starts,), daemon=True).start()
        return self

    def entry(self, state):
        # The store's entry changes when more than its sequence changes: the sequence is that of the last such change.
        return {"service": self.service, "address": "%s:%d" % (self.host, self.port), "zone": self.zone, "version": self.version, "slots": 64,
                "state": state, "cold_remaining_ms": 0, "sequence": 1, "born": self.born}

    def beat(self, start):
        shown = None
        while self.up and self.starts == start:
            if self.cut:
                time.sleep(0.02)
                continue
            self.store.write("servers", self.name, self.entry(self.state))
            if shown != self.state:
                shown = self.state
                self.record.add("server", self.name, "is listed as", shown, "version", self.version, "born", self.born)
            until = now() + self.heartbeat_s
            while now() < until and self.state == shown and self.up:
                time.sleep(0.02)

    def drain(self):
        self.state = "draining"

    def crash(self):
        """Ends at once: its listener is gone and its channels are reset."""
        self.record.add("server", self.name, "crashes")
        self.up = False
        self.listener.shutdown()
        self.listener.server_close()
        with self.lock:
            for sock in list(self.sockets):
                try:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00")
                    sock.shutdown(socket.SHUT_RD)
                    sock.close()
                except OSError:
                    pass
            self.sockets.clear()

    def leave(self):
        """Ends as planned: its entry is removed."""
        self.store.remove("servers", self.name)
        self.crash()

    def connection(self, sock):
        with self.lock:
            self.sockets.add(sock)
        start = self.starts
        wire = Wire(sock)
        try:
            while self.up and self.starts == start:
                first, fields = wire.head()
                wire.body(fields)
                if not self.answer(sock, first, fields, start):
                    return
        finally:
            with self.lock:
                self.sockets.discard(sock)

    def answer(self, sock, first, fields, start):
        attempt = fields.get("yuccasaddle-attempt-id", "")
        expected = fields.get("yuccasaddle-expected-instance", self.name)
        own = {"Yuccasaddle-Attempt-Id": attempt}
        if self.state == "draining":
            own["Server-Leaving"] = "1"
        if expected != self.name:
            sock.sendall(response(421, {**own, "Yuccasaddle-Not-Executed": "1"}))
            return True
        version = self.version
        own["Yuccasaddle-Response-Signature"] = "sig." + attempt
        after = int(fields.get("last-event-id", "0"))
        self.record.add("server", self.name, "version", version, "runs", attempt, "after", after)
        if not self.events:
            time.sleep(self.work_s)
            sock.sendall(response(200, own, ("answer to %s" % attempt).encode()))
            return True
        head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
        sock.sendall((head + "".join("%s: %s\r\n" % f for f in own.items()) + "\r\n").encode())
        for n in range(after + 1, self.events + 1):
            time.sleep(self.gap_s)
            if not self.up or self.starts != start:
                return False
            event = ("id: %d\ndata: %s %s %d\n\n" % (n, version, self.name, n)).encode()
            sock.sendall(b"%x\r\n%s\r\n" % (len(event), event))
        sock.sendall(b"0\r\n\r\n")
        return True


# --- Consumers --------------------------------------------------------------------------------------------------------

class Answer:
    """What a consumer saw of one attempt."""

    def __init__(self):
        self.status, self.events, self.complete, self.read, self.body = 0, [], False, False, b""


def ask(address, method, path, attempt, key="key-1", fields=None, timeout=12.0, body=b"", deadline_ms=None):
    """Sends one request on a new channel and reads its answer. events: [(id, data)]."""
    out = Answer()
    head = "%s %s HTTP/1.1\r\nHost: h.example\r\nYuccasaddle-Attempt-Id: %s\r\nX-Api-Key: %s\r\n" % (method, path, attempt, key)
    head += "Yuccasaddle-Deadline-Ms: %d\r\n" % (deadline_ms or int(timeout * 1000))
    for name, value in (fields or {}).items():
        head += "%s: %s\r\n" % (name, value)
    head += "Content-Length: %d\r\n\r\n" % len(body)
    try:
        with socket.create_connection(address, 1.0) as sock:
            sock.settimeout(timeout)
            sock.sendall(head.encode() + body)
            wire = Wire(sock)
            first, got = wire.head()
            out.status, out.read = int(first.split()[1]), True
            out.fields = got
            if "chunked" not in got.get("transfer-encoding", ""):
                out.body = wire.body(got)
                out.complete = True
                return out
            held = b""
            while True:
                part = wire.chunk()
                if not part:
                    out.complete = not held
                    return out
                held += part
                while b"\n\n" in held:
                    event, held = held.split(b"\n\n", 1)
                    lines = dict(l.split(": ", 1) for l in event.decode().split("\n"))
                    out.events.append((int(lines["id"]), lines["data"]))
    except (OSError, Closed, ValueError):
        return out


class Deployment:
    """A store, routers in zones, and a record; ends everything that it started."""

    def __init__(self, case_file, zones, routers_per_zone=1):
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.routers = []
        atexit.register(self.end)
        signal.signal(signal.SIGTERM, lambda *_: os._exit(self.end() or 2))
        self.record = Record(os.path.join(os.path.dirname(os.path.abspath(case_file)), "record.txt"))
        self.store = Store()
        self.zones = zones
        run, _ = deploy_run()
        if not os.access(os.path.join(ROOT, run[0]), os.X_OK):
            print("the build of the deploy file is missing")
            raise SystemExit(2)
        base = free_block(20 * (len(zones) * routers_per_zone + 1))
        for i in range(len(zones) * routers_per_zone):
            self.routers.append(Router(self.folder, i + 1, zones[i % len(zones)], zones, self.store.address, base))

    def start(self):
        for r in self.routers:
            r.start()
        until = now() + 10
        while now() < until and not all(r.ready() for r in self.routers):
            time.sleep(0.1)
        if not all(r.ready() for r in self.routers):
            print("the routers did not become ready")
            raise SystemExit(2)

    def end(self):
        """Ends all processes and removes their folder."""
        for r in self.routers:
            r.kill()
        for r in self.routers:
            if r.process:
                r.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True) if not os.environ.get("KEEP") else print(self.folder)


def configuration(version, routes, services, keys=("key-1",)):
    return {"version": version, "routes": routes, "services": [{"name": s, "health_path": "/health", "max_conns": 360} for s in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": "north", "api_keys": list(keys)}]}


def route(name, kind, service, **more):
    out = {"name": name, "host": "h.example", "path_prefix": "/%s/" % name, "kind": kind, "timeout_ms": 3000, "target_latency_ms": 300,
           "priority": 2, "service": service, "max_attempts": 1}
    out.update(more)
    return out
