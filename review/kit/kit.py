"""Stand-ins for the platform's store, engines and requesters, and the start of nodes.

Written from PROTOCOL.md and DEPLOY.md of the users. One asyncio process plays all of them on
loopback addresses; the nodes are the project's own program, started with the command of
deploy/system.toml.
"""
import asyncio
import json
import os
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = "target/dogwoodplank-node"  # `run` of deploy/system.toml
TEMPLATE = "deploy/node.json.template"
STARTED = time.monotonic()
PROCESSES = []  # all that were started
FOLDERS = []  # temporary ones


class Record:
    """The file that says what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")

    def __call__(self, *words):
        line = "%8.3f  %s" % (time.monotonic() - STARTED, " ".join(str(w) for w in words))
        print(line, file=self.file, flush=True)


def free_ports(address, count):
    sockets = []
    for _ in range(count):
        s = socket.socket()
        s.bind((address, 0))
        sockets.append(s)
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return ports


class Head:
    def __init__(self, raw):
        self.raw = raw
        lines = raw.decode("latin-1").split("\r\n")
        self.first = lines[0]
        self.headers = []
        for line in lines[1:]:
            if line:
                name, _, value = line.partition(":")
                self.headers.append((name, value.strip()))

    def get(self, name, default=None):
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return default


async def read_head(reader):
    return Head(await reader.readuntil(b"\r\n\r\n"))


async def read_chunked(reader, sink=None):
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return body
        body += data[:-2]
        if sink:
            sink(data[:-2])


async def read_request_body(reader, head):
    if (head.get("Transfer-Encoding") or "").lower() == "chunked":
        return await read_chunked(reader)
    return await reader.readexactly(int(head.get("Content-Length") or 0))


class Answer:
    """What a requester got: `complete` only if the body ended as its framing says."""

    def __init__(self):
        self.status = 0
        self.head = None
        self.body = b""
        self.complete = False
        self.error = ""


async def read_answer(reader, answer=None):
    answer = answer or Answer()
    try:
        while True:
            answer.head = await read_head(reader)
            answer.status = int(answer.head.first.split(" ")[1])
            if answer.status >= 200:
                break
        if (answer.head.get("Transfer-Encoding") or "").lower() == "chunked":
            def sink(data):
                answer.body += data
            await read_chunked(reader, sink)
        elif answer.head.get("Content-Length") is not None:
            answer.body = await reader.readexactly(int(answer.head.get("Content-Length")))
        else:
            answer.body = await reader.read()
        answer.complete = True
    except (asyncio.IncompleteReadError, ConnectionError, OSError) as error:
        answer.error = type(error).__name__
    return answer


# --- the platform's store -------------------------------------------------------------------


class Store:
    def __init__(self, record):
        self.record = record
        self.objects = {}
        self.revision = 100
        self.events = []  # (revision, kind, event)
        self.changed = asyncio.Event()
        self.writes = []

    async def start(self, address, port):
        self.server = await asyncio.start_server(self.serve, address, port, limit=1 << 22)

    def notify(self, kind, event):
        self.events.append((self.revision, kind, event))
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, kind, name, spec=None, status=None, finalizers=None):
        rows = self.objects.setdefault(kind, {})
        old = rows.get(name)
        self.revision += 1
        new = {"metadata": {"name": name, "revision": self.revision,
                            "created_rev": old["metadata"]["created_rev"] if old else self.revision,
                            "finalizers": finalizers or [], "deleting": False},
               "spec": spec, "status": status if status is not None else old and old["status"]}
        rows[name] = new
        self.notify(kind, {"deleted": False, "object": new})
        return new

    def delete(self, kind, name):
        old = self.objects.get(kind, {}).pop(name, None)
        if old is not None:
            self.revision += 1
            gone = json.loads(json.dumps(old))
            gone["metadata"]["revision"] = self.revision
            self.notify(kind, {"deleted": True, "object": gone})

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                body = await read_request_body(reader, head)
                status, reply = await self.call(head, body)
                data = json.dumps(reply).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nStore-Era: 1\r\n"
                             b"Content-Length: %d\r\n\r\n" % (status, len(data)) + data)
                await writer.drain()
                if (head.get("Connection") or "").lower() == "close":
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def call(self, head, body):
        method, target, _ = head.first.split(" ")
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        parts = [urllib.parse.unquote(p) for p in url.path.strip("/").split("/")][1:]
        kind = parts[0]
        rows = self.objects.setdefault(kind, {})
        await asyncio.sleep(0.004)
        if method == "GET" and len(parts) == 1 and "watch" in query:
            return await self.watch(kind, int(query["watch"]), int(query.get("wait_ms", 0)))
        if method == "GET" and len(parts) == 1:
            names = sorted(n for n in rows if n > query.get("after", ""))
            return 200, {"items": [rows[n] for n in names], "has_more": False,
                         "store_revision": self.revision}
        if method == "GET":
            return (200, rows[parts[1]]) if parts[1] in rows else (404, {})
        document = json.loads(body) if body else {}
        metadata = document.get("metadata") or {}
        name = parts[1] if len(parts) > 1 else metadata.get("name")
        self.writes.append((method, kind, name))
        given = metadata.get("revision", query.get("revision"))
        current = rows.get(name)
        if method == "POST":
            if current is not None:
                return 409, current
            return 200, self.put(kind, name, document.get("spec"), None, metadata.get("finalizers"))
        if current is None:
            return 404, {}
        if given is not None and int(given) != current["metadata"]["revision"]:
            return 409, current
        if method == "DELETE":
            self.delete(kind, name)
            return 200, current
        if len(parts) > 2:
            return 200, self.put(kind, name, current["spec"], document.get("status"),
                                 current["metadata"]["finalizers"])
        if document.get("spec") == current["spec"]:
            return 200, current
        return 200, self.put(kind, name, document.get("spec"), None, metadata.get("finalizers"))

    async def watch(self, kind, since, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        while True:
            changed = self.changed
            events = [e for r, k, e in self.events if r > since and k == kind]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass


# --- engines ----------------------------------------------------------------------------------


class Engine:
    """An engine of a service. `behave(engine, request, writer)` may answer in its own way and
    returns True then; else the engine is sound."""

    def __init__(self, site, service, zone, name, address, slots=6, work_s=0.03, behave=None):
        self.site, self.service, self.zone, self.id = site, service, zone, name
        self.address = address
        self.port = free_ports(address, 1)[0]
        self.slots, self.work_s, self.behave = slots, work_s, behave
        self.born = int(time.time() * 1000)
        self.runs = []  # Request-Id of each run
        self.requests = []  # Head and body of each
        self.sequence = 0

    def entry(self, state="ready"):
        return {"service": self.service, "address": "%s:%d" % (self.address, self.port),
                "zone": self.zone, "version": "v1", "slots": self.slots, "state": state,
                "cold_remaining_ms": 0, "sequence": self.sequence, "born": self.born}

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.address, self.port,
                                                 limit=1 << 23, backlog=1024)
        self.site.store.put("servers", self.id, self.entry())

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                body = await read_request_body(reader, head)
                if not await self.answer(head, body, writer):
                    break
                if (head.get("Connection") or "").lower() == "close":
                    break
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError, ValueError):
            pass
        finally:
            writer.close()

    def seal(self, head):
        return "seal-%s-%s" % (self.id, head.get("Request-Id"))

    async def answer(self, head, body, writer):
        method, target, _ = head.first.split(" ")
        if target == "/health":
            writer.write(b"HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n" % self.id.encode())
            await writer.drain()
            return True
        if target == "/report":
            writer.write(b"HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n")
            await writer.drain()
            return True
        if head.get("Expect-Instance", self.id) != self.id:
            writer.write(b"HTTP/1.1 421 X\r\nInstance-Id: %s\r\nNot-Executed: 1\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n"
                         % (self.id.encode(), (head.get("Request-Id") or "").encode()))
            await writer.drain()
            return True
        request_id = head.get("Request-Id") or ""
        if any(name != name.strip() for name, _ in head.headers):
            # RFC 9112, 5.1: no server takes a field name that is followed by white space.
            self.site.record("engine", self.id, "rejects", request_id, "as malformed")
            writer.write(b"HTTP/1.1 400 X\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                         % request_id.encode())
            await writer.drain()
            return True
        self.runs.append(request_id)
        self.requests.append((head, body))
        self.site.record("engine", self.id, "runs", request_id, head.first, "tenant", head.get("Tenant-Id"),
                         "body", len(body))
        if self.behave is not None and await self.behave(self, head, writer):
            return False
        await asyncio.sleep(self.work_s)
        reply = b'{"by":"%s","id":"%s"}' % (self.id.encode(), request_id.encode())
        writer.write(b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: %s\r\nContent-Type: application/json\r\n"
                     b"Content-Length: %d\r\n\r\n" % (request_id.encode(), self.seal(head).encode(), len(reply)) + reply)
        await writer.drain()
        return True


# --- nodes --------------------------------------------------------------------------------------


class Node:
    def __init__(self, site, name, zone, address):
        self.site, self.name, self.zone, self.address = site, name, zone, address
        self.process = None

    def settings(self):
        site = self.site
        values = {"node_name": self.name, "ip": self.address, "zone": self.zone,
                  "internal_ports.0": site.ports[0], "internal_ports.1": site.ports[1],
                  "listen.front": "%s:%d" % (self.address, site.ports[2]),
                  "listen.ready": "%s:%d" % (self.address, site.ports[3]),
                  "platform.address": "%s:%d" % (site.store_address, site.store_port),
                  "seeds": ",".join("%s:%d" % (n.address, site.ports[4]) for n in site.nodes[:3]),
                  "limits.cpu_share": 0.17, "limits.max_fds": 2870, "heartbeat_ms": 1200,
                  "bounds.grace_s": 8, "bounds.budget_ratio": 0.2, "bounds.budget_slack": 104,
                  "bounds.budget_window_s": 10, "bootstrap": "true", "bounds.quota_window_s": 8,
                  "bounds.quota_slack": 110000, "limits.memory_mb": site.memory_mb}
        with open(os.path.join(ROOT, TEMPLATE), encoding="utf-8") as file:
            text = file.read()
        return re.sub(r"\{\{([^}]*)\}\}", lambda m: str(values[m.group(1)]), text)

    async def start(self):
        path = os.path.join(self.site.work, self.name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings())
        self.log = open(os.path.join(self.site.work, self.name + ".log"), "ab")
        environment = {"DOGWOODPLANK_BOOT": path, "PATH": os.environ.get("PATH", "")}
        self.process = await asyncio.create_subprocess_exec(
            os.path.join(ROOT, PROGRAM), cwd=ROOT, env=environment, stdout=self.log, stderr=self.log)
        PROCESSES.append(self.process)
        self.site.record("node", self.name, "started, process", self.process.pid)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.address, self.site.ports[3])
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            answer = await asyncio.wait_for(read_answer(reader), 1)
            writer.close()
            return answer.status == 200
        except (OSError, asyncio.TimeoutError):
            return False

    def memory_mb(self):
        try:
            with open("/proc/%d/status" % self.process.pid, encoding="utf-8") as file:
                return int(re.search(r"VmRSS:\s+(\d+)", file.read()).group(1)) * 1024 / 1e6
        except (OSError, AttributeError):
            return 0.0

    def signal(self, number):
        if self.process.returncode is None:
            self.process.send_signal(number)


class Site:
    """A small site as in SYSTEM.md: nodes, the store, engines of services."""

    def __init__(self, record_path, net, zones, memory_mb=96):
        self.record = Record(record_path)
        self.work = tempfile.mkdtemp(prefix="review-")
        FOLDERS.append(self.work)
        self.net = net
        self.memory_mb = memory_mb
        self.store_address = net + ".200"
        self.store = Store(self.record)
        self.ports = free_ports("127.0.0.1", 5)
        self.store_port = free_ports(self.store_address, 1)[0]
        self.nodes = [Node(self, "front-%s-%d" % (zone, i + 1), zone, "%s.%d" % (net, i + 1))
                      for i, zone in enumerate(zones)]
        self.engines = []

    def add_engine(self, service, zone, **options):
        number = len(self.engines)
        engine = Engine(self, service, zone, "i-%08x" % (0x7f3a0000 + number),
                        "%s.%d" % (self.net, 100 + number), **options)
        self.engines.append(engine)
        return engine

    async def start(self, config):
        await self.store.start(self.store_address, self.store_port)
        self.store.put("config", "main", config)
        for engine in self.engines:
            await engine.start()
        self.beats = asyncio.ensure_future(self.beat())
        for node in self.nodes:
            await node.start()
        end = time.monotonic() + 20
        while time.monotonic() < end:
            if all([await node.is_ready() for node in self.nodes]):
                await asyncio.sleep(1.0)
                return True
            await asyncio.sleep(0.1)
        return False

    async def beat(self):
        while True:
            await asyncio.sleep(1.2)
            for engine in self.engines:
                if engine.id in self.store.objects.get("servers", {}):
                    engine.sequence += 1
                    self.store.put("servers", engine.id, engine.entry())

    async def connect(self, node):
        return await asyncio.open_connection(node.address, self.ports[2], limit=1 << 23)

    async def stop(self):
        self.beats.cancel()
        for node in self.nodes:
            if node.process is not None and node.process.returncode is None:
                node.process.kill()
        for node in self.nodes:
            if node.process is not None:
                await node.process.wait()


HOST = "ficu95.example"
KEY = "i9n73hh2b9wu3fexd9dn"
KEY_OTHER = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"


def small_config():
    """The routes of the two services of a small site; no limits for tenants."""
    limits = {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
              "idle_timeout_ms": 15000}
    route = {"host": HOST, "priority": 0, "public": False, "sticky_sessions": False}
    return {
        "version": 7,
        "routes": [
            dict(route, name="r-stream", path_prefix="/draft/", kind="streaming", timeout_ms=4000,
                 target_latency_ms=250, service="pool", max_attempts=2, sticky_sessions=True,
                 stream_resume=True, gap_aim_ms=200),
            dict(route, name="r-sum", path_prefix="/sum/", kind="streaming", timeout_ms=2500,
                 target_latency_ms=500, service="pool", max_attempts=1, sticky_sessions=True,
                 stream_resume=False, gap_aim_ms=200),
            dict(route, name="r-book", path_prefix="/book/", kind="unsafe", timeout_ms=1200,
                 target_latency_ms=150, service="app", max_attempts=1),
            dict(route, name="r-look", path_prefix="/look/", kind="safe", timeout_ms=1200,
                 target_latency_ms=150, service="app", max_attempts=2)],
        "services": [
            {"name": "pool", "health_path": "/health", "max_connections": 320, "protocol": "h1", "tls": False,
             "engine": {"slots": 5, "kv_tokens": 507081, "kv_bytes": 18432, "link_mbps": 370000.0,
                        "moves": True, "backups": True, "stride": 7, "most": 12, "pin_ms": 4000.0,
                        "hold_ms": 2000.0, "handle_s": 5.0, "models": [{"name": "m"}]}},
            {"name": "app", "health_path": "/health", "max_connections": 192, "protocol": "h1", "tls": False}],
        "limits": limits,
        "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1, "unit": "tokens", "plain_tokens": 200,
                     "rate_per_s": 0, "burst": 0},
                    {"name": "other77", "api_keys": [KEY_OTHER], "priority": 1, "unit": "tokens",
                     "plain_tokens": 200, "rate_per_s": 0, "burst": 0}]}


def request_bytes(method, path, request_id, body=b"", key=KEY, extra=(), deadline_ms=2500):
    lines = ["%s %s HTTP/1.1" % (method, path), "Host: " + HOST, "Request-Id: " + request_id,
             "Deadline-Ms: %d" % deadline_ms]
    if key:
        lines.append("Authorization: Bearer " + key)
    if body or method == "POST":
        lines.append("Content-Length: %d" % len(body))
    lines.extend(extra)
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def main(case):
    """Runs `case(folder, trouble)`: 1 the rule was broken, 0 it held, 2 it couldn't run."""
    folder = os.path.abspath(os.path.dirname(sys.argv[0]))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    if not os.path.exists(os.path.join(ROOT, PROGRAM)):
        print("not built: " + PROGRAM)
        sys.exit(2)
    try:
        status = asyncio.run(asyncio.wait_for(case(folder, trouble), 110))
    except asyncio.TimeoutError:
        print("the case took too long")
        status = 2
    finally:
        for process in PROCESSES:
            if process.returncode is None:
                process.kill()
        for name in FOLDERS:
            if os.environ.get("KEEP") is None:
                shutil.rmtree(name, ignore_errors=True)
    sys.stdout.flush()
    os._exit(status)  # open channels are left to the kernel
