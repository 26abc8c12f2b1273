"""Stand-ins and process control for the cases of the third review: the platform's store, servers
(engines and plain services) and requesters, on loopback addresses and the real clock."""
import asyncio
import json
import os
import pathlib
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
START = time.monotonic()


def now():
    return time.monotonic() - START


def free_ports(count):
    """Ports that are free at all loopback addresses, each with a free one behind it."""
    socks, ports = [], []
    while len(ports) < count:
        first, second = socket.socket(), socket.socket()
        first.bind(("0.0.0.0", 0))
        socks += [first, second]
        port = first.getsockname()[1]
        try:
            second.bind(("0.0.0.0", port + 1))
            ports.append(port)
        except (OSError, OverflowError):
            pass
    for sock in socks:
        sock.close()
    return ports


class Record:
    """record.txt: what was sent, answered and run, with the time of the test."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")

    def __call__(self, text):
        self.file.write(f"{now():9.3f}  {text}\n")
        self.file.flush()


# --- HTTP ---

REASONS = {200: "OK", 201: "Created", 400: "Bad Request", 404: "Not Found", 409: "Conflict",
           410: "Gone", 421: "Misdirected Request", 429: "Too Many Requests",
           500: "Internal Server Error", 502: "Bad Gateway", 503: "Service Unavailable"}


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_request(reader):
    first, headers = await read_head(reader)
    method, target, _ = first.split(" ", 2)
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).strip(), 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                break
    return method, target, headers, body


def response(status, headers, body=b""):
    text = f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n"
    for name, value in headers.items():
        text += f"{name}: {value}\r\n"
    text += f"Content-Length: {len(body)}\r\n\r\n"
    return text.encode() + body


class Answer:
    """What a requester got."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.complete = False
        self.error = ""
        self.raw = b""

    def seal(self):
        return self.headers.get("response-seal")


async def ask(address, port, method, path, headers, body=b"", timeout=10.0, on_data=None):
    """Sends one request on a new channel and reads the answer."""
    answer = Answer()
    writer = None

    async def run():
        nonlocal writer
        reader, writer = await asyncio.open_connection(address, port)
        text = f"{method} {path} HTTP/1.1\r\n"
        for name, value in headers.items():
            text += f"{name}: {value}\r\n"
        if method in ("POST", "PUT") or body:
            text += f"Content-Length: {len(body)}\r\n"
        writer.write(text.encode() + b"\r\n" + body)
        await writer.drain()
        first, answer.headers = await read_head(reader)
        answer.status = int(first.split(" ")[1])
        if answer.headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                line = await reader.readline()
                if not line.endswith(b"\n"):
                    answer.error = "closed"
                    return
                size = int(line.strip().split(b";")[0], 16)
                if size == 0:
                    await reader.readline()
                    answer.complete = True
                    return
                answer.body += await reader.readexactly(size)
                await reader.readexactly(2)
                if on_data:
                    on_data(answer)
        elif "content-length" in answer.headers:
            answer.body = await reader.readexactly(int(answer.headers["content-length"]))
            answer.complete = True
        else:
            answer.body = await reader.read(-1)
            answer.complete = True

    try:
        await asyncio.wait_for(run(), timeout)
    except asyncio.TimeoutError:
        answer.error = "timeout"
    except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError) as error:
        answer.error = type(error).__name__
    finally:
        if writer is not None:
            writer.close()
    return answer


# --- the platform's store ---


class Store:
    def __init__(self):
        self.kinds = {}
        self.revision = 500
        self.era = 1
        self.events = []  # (revision, kind, object, deleted)
        self.changed = asyncio.Condition()
        self.floor = 500  # a watch from below gets 410
        self.server = None
        self.port = 0
        self.up = True
        self.blocked = set()  # addresses of machines that get no answer
        self.tasks = set()

    async def start(self, address="127.0.0.1", port=0):
        self.server = await asyncio.start_server(self.serve, address, port, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]

    def object(self, kind, name):
        return self.kinds.get(kind, {}).get(name)

    async def put(self, kind, name, spec=None, status=None):
        objects = self.kinds.setdefault(kind, {})
        old = objects.get(name)
        if old is not None and (spec is None or old["spec"] == spec) and \
                (status is None or old["status"] == status):
            return old
        self.revision += 1
        meta = {"name": name, "revision": self.revision,
                "created_rev": old["metadata"]["created_rev"] if old else self.revision,
                "finalizers": [], "deleting": False}
        new = {"metadata": meta, "spec": spec if spec is not None else (old or {}).get("spec"),
               "status": status if status is not None else (old or {}).get("status")}
        objects[name] = new
        await self.event(kind, new, False)
        return new

    async def delete(self, kind, name):
        old = self.kinds.get(kind, {}).pop(name, None)
        if old is None:
            return None
        self.revision += 1
        old = json.loads(json.dumps(old))
        old["metadata"]["revision"] = self.revision
        await self.event(kind, old, True)
        return old

    async def event(self, kind, obj, deleted):
        self.events.append((self.revision, kind, obj, deleted))
        async with self.changed:
            self.changed.notify_all()

    def snapshot(self):
        return json.loads(json.dumps(self.kinds)), self.revision

    async def restore(self, snapshot):
        """The store comes back from a copy; what was written since is gone."""
        self.kinds, self.revision = json.loads(json.dumps(snapshot[0])), snapshot[1]
        self.events = [e for e in self.events if e[0] <= self.revision]
        self.floor = self.revision
        self.era += 1
        async with self.changed:
            self.changed.notify_all()

    async def serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        peer = writer.get_extra_info("peername")[0]
        try:
            while True:
                method, target, headers, body = await read_request(reader)
                while not self.up or peer in self.blocked:
                    await asyncio.sleep(0.05)
                status, out = await self.call(method, target, body)
                while not self.up or peer in self.blocked:
                    await asyncio.sleep(0.05)
                writer.write(response(status, {"Content-Type": "application/json",
                                               "Store-Era": self.era},
                                      json.dumps(out).encode()))
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    return
        except (OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            writer.close()

    async def call(self, method, target, body):
        path, _, query = target.partition("?")
        parts = path.strip("/").split("/")
        params = dict(p.split("=", 1) for p in query.split("&") if "=" in p)
        if parts[0] != "objects" or len(parts) < 2:
            return 404, {}
        kind = parts[1]
        name = parts[2] if len(parts) > 2 else None
        await asyncio.sleep(0.004)
        if method == "GET" and name is None and "watch" in params:
            return await self.watch(kind, int(params["watch"]), int(params.get("wait_ms", 0)))
        objects = self.kinds.setdefault(kind, {})
        if method == "GET" and name is None:
            names = sorted(n for n in objects if n > params.get("after", ""))
            return 200, {"items": [objects[n] for n in names[:500]],
                         "has_more": len(names) > 500, "store_revision": self.revision}
        if method == "GET":
            return (200, objects[name]) if name in objects else (404, {})
        data = json.loads(body) if body else {}
        if method == "POST":
            new = data["metadata"]["name"]
            if new in objects:
                return 409, objects[new]
            return 200, await self.put(kind, new, data.get("spec"))
        if name not in objects:
            return 404, {}
        wanted = (data.get("metadata") or {}).get("revision") or params.get("revision")
        if wanted and int(wanted) != objects[name]["metadata"]["revision"]:
            return 409, objects[name]
        if method == "DELETE":
            return 200, await self.delete(kind, name)
        if len(parts) > 3:
            return 200, await self.put(kind, name, status=data.get("status"))
        return 200, await self.put(kind, name, data.get("spec"))

    async def watch(self, kind, since, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        era = self.era
        while True:
            if era != self.era or since < self.floor or since > self.revision:
                return 410, {}
            found = [e for e in self.events if e[0] > since and e[1] == kind]
            left = end - time.monotonic()
            if found or left <= 0:
                return 200, {"events": [{"deleted": e[3], "object": e[2]} for e in found],
                             "store_revision": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass


# --- processes of the system ---


def deploy():
    with open(ROOT / "deploy/system.toml", "rb") as file:
        return tomllib.load(file)["roles"]["node"]


class Node:
    """One machine: dogwoodplank-node, started with the command of the deploy file."""

    def __init__(self, cluster, index, zone):
        self.cluster = cluster
        self.index = index
        self.name = f"front-{zone}-{index}"
        self.zone = zone
        self.address = f"127.0.{cluster.net}.{index}"
        self.process = None
        self.starts = 0
        self.log = None

    def settings(self):
        c = self.cluster
        seeds = ",".join(f"{n.address}:{c.control}" for n in c.nodes[:3])
        return {"name": self.name, "address": self.address, "data_centre": self.zone,
                "agent_bus_port": c.bus, "operator_port": c.operator,
                "caller_listen": f"{self.address}:{c.front}",
                "ready_listen": f"{self.address}:{c.ready}",
                "store": f"{c.store_address}:{c.store_port}", "seeds": seeds,
                "processor_share": "0.17", "descriptors_max": "2870",
                "target_heartbeat_ms": "1200", "stop_time_s": "8", "retry_ratio": "0.2",
                "retry_slack": "104", "retry_window_s": "10",
                "first_start": "true" if self.starts == 0 else "false",
                "quota_window_s": "8", "quota_slack": "110000",
                "memory_mb": "96", "link_mbps": "700.0", "expose_share": "", "expose_slack": "",
                "rollback_ms": ""}

    async def start(self):
        path = self.cluster.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings()))
        self.starts += 1
        self.log = open(self.cluster.folder / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            *self.cluster.command, cwd=ROOT, stdout=self.log, stderr=self.log,
            env={**{k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")},
                 "DOGWOODPLANK_BOOT": str(path)})

    async def kill(self):
        self.process.send_signal(signal.SIGKILL)
        await self.process.wait()

    def send_signal(self, number):
        self.process.send_signal(number)

    def rss_mb(self):
        try:
            for line in open(f"/proc/{self.process.pid}/status", encoding="ascii"):
                if line.startswith("VmRSS"):
                    return int(line.split()[1]) / 1000
        except OSError:
            pass
        return 0

    def text(self):
        return (self.cluster.folder / f"{self.name}.log").read_text(errors="replace")


class Cluster:
    def __init__(self, count, zones=("lj-a", "lj-b", "kr-a")):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-3-"))
        self.net = 16 + os.getpid() % 200
        (self.front, self.ready, self.control, self.bus, self.operator,
         self.store_port) = free_ports(6)
        self.store_address = "127.0.0.1"
        words = deploy()["run"].split()
        self.command = [str(ROOT / words[0])] + words[1:]
        self.store = Store()
        self.nodes = []
        self.nodes = [Node(self, i + 1, zones[i % len(zones)]) for i in range(count)]
        self.servers = []

    async def start(self, config):
        await self.store.start(self.store_address, self.store_port)
        await self.store.put("config", "main", config)
        for server in self.servers:
            await server.start()
        for node in self.nodes:
            await node.start()
        for node in self.nodes:
            if not await self.wait_ready(node):
                raise RuntimeError(f"{node.name} isn't ready")

    async def wait_ready(self, node, seconds=15):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            answer = await ask(node.address, self.ready, "GET", "/ready", {"Host": "x"}, timeout=2)
            if answer.status == 200:
                return True
            await asyncio.sleep(0.1)
        return False

    async def stop(self):
        for node in self.nodes:
            if node.process is not None and node.process.returncode is None:
                node.process.kill()
                await node.process.wait()
        for server in self.servers:
            server.close()
        shutil.rmtree(self.folder, ignore_errors=True)


# --- servers ---


class Server:
    """A server that registers itself in the store. `handle` writes the answer."""

    def __init__(self, cluster, ident, service, zone="lj-a", version="v1", slots=5, handle=None,
                 record=None):
        self.cluster, self.ident, self.service = cluster, ident, service
        self.zone, self.version, self.slots = zone, version, slots
        self.handle = handle or plain
        self.record = record or (lambda text: None)
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.server = None
        self.port = 0
        self.beats = None
        self.runs = []  # (time, request id, headers)
        self.writers = set()
        self.extra = {}

    def spec(self):
        return {"service": self.service, "address": f"127.0.0.1:{self.port}", "zone": self.zone,
                "version": self.version, "slots": self.slots, "state": self.state,
                "cold_remaining_ms": 0, "sequence": self.sequence, "born": self.born}

    async def start(self, register=True):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]
        if register:
            self.beats = asyncio.create_task(self.beat())

    async def beat(self):
        while True:
            if self.cluster.store.up:
                self.sequence += 1
                await self.cluster.store.put("servers", self.ident, self.spec())
            await asyncio.sleep(1.2)

    def close(self):
        if self.beats:
            self.beats.cancel()
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                method, target, headers, body = await read_request(reader)
                if headers.get("expect-instance", self.ident) != self.ident:
                    writer.write(response(421, {"Instance-Id": self.ident, "Not-Executed": 1,
                                                "Request-Id": headers.get("request-id", "")}))
                    continue
                if target == "/health":
                    writer.write(response(200, {"Instance-Id": self.ident}))
                    continue
                self.runs.append((now(), headers.get("request-id"), headers))
                self.record(f"{self.ident} ({self.version}) runs {headers.get('request-id')} "
                            f"{method} {target} after={headers.get('last-event-id')}")
                if await self.handle(self, method, target, headers, body, writer) is False:
                    return
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    return
        except (OSError, asyncio.IncompleteReadError, ValueError, asyncio.LimitOverrunError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


def seal(server, request_id):
    return f"seal.{server.ident}.{request_id}"


async def plain(server, method, target, headers, body, writer):
    ident = headers.get("request-id", "")
    text = json.dumps({"server": server.ident, "request": ident, "bytes": len(body)}).encode()
    await asyncio.sleep(0.01)
    writer.write(response(200, {"Request-Id": ident, "Response-Seal": seal(server, ident),
                                **server.extra}, text))


def event(number, text):
    return f"id: {number}\ndata: {text}\n\n".encode()


def chunk(data):
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def config(version=7, engine="plank-pool", app="rota-app", tenants=None):
    route = {"host": "a.example", "public": False}
    return {
        "version": version,
        "routes": [
            {**route, "name": "r-stream", "path_prefix": "/stream/", "kind": "streaming",
             "timeout_ms": 10000, "target_latency_ms": 600, "priority": 1, "service": engine,
             "max_attempts": 2, "sticky_sessions": True, "stream_resume": True,
             "gap_aim_ms": 200},
            {**route, "name": "r-once", "path_prefix": "/once/", "kind": "streaming",
             "timeout_ms": 2500, "target_latency_ms": 500, "priority": 1, "service": engine,
             "max_attempts": 1, "sticky_sessions": True, "stream_resume": False,
             "gap_aim_ms": 200},
            {**route, "name": "r-book", "path_prefix": "/book/", "kind": "unsafe",
             "timeout_ms": 1200, "target_latency_ms": 150, "priority": 2, "service": app,
             "max_attempts": 1, "sticky_sessions": False, "stream_resume": False},
            {**route, "name": "r-look", "path_prefix": "/look/", "kind": "safe",
             "timeout_ms": 1200, "target_latency_ms": 150, "priority": 2, "service": app,
             "max_attempts": 2, "sticky_sessions": False, "stream_resume": False}],
        "services": [
            {"name": engine, "health_path": "/health", "max_connections": 320,
             "protocol": "h1", "tls": False,
             "engine": {"slots": 5, "kv_tokens": 507081, "kv_bytes": 18432,
                        "link_mbps": 370000.0, "moves": True, "backups": True, "stride": 7,
                        "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0,
                        "models": [{"name": "m"}]}},
            {"name": app, "health_path": "/health", "max_connections": 192, "protocol": "h1",
             "tls": False}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": tenants or [{"name": "hule930", "api_keys": ["key-one", "key-two"],
                                "priority": 1, "unit": "tokens", "plain_tokens": 200,
                                "rate_per_s": 382297, "burst": 382297}]}


def headers_of(ident, deadline=4000, key="key-one", **more):
    return {"Host": "a.example", "Request-Id": ident, "Deadline-Ms": deadline,
            "Authorization": f"Bearer {key}", **more}


def disrupted():
    return os.environ.get("TROUBLE", "1") != "0"


# --- model engines ---


class Engine(Server):
    """A model engine: streams of numbered events, each of which names engine and version."""

    def __init__(self, cluster, ident, version, zone="lj-a", events=40, pause=0.1, record=None):
        super().__init__(cluster, ident, "plank-pool", zone, version, 5, stream, record)
        self.events = events
        self.pause = pause

    def crash(self):
        """The process ends: its channels are reset, nothing listens, it writes no status."""
        self.close()
        self.server = None

    async def restart(self, ident, version=None):
        """A new lifetime, with a new id, at the same address."""
        self.ident = ident
        self.version = version or self.version
        self.born = int(time.time() * 1000)
        self.sequence = 0
        await self.start()


async def stream(server, method, target, headers, body, writer):
    ident = headers.get("request-id", "")
    head = (f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            f"Transfer-Encoding: chunked\r\nRequest-Id: {ident}\r\n"
            f"Response-Seal: {seal(server, ident)}\r\nWeight-Versions: 1\r\n\r\n")
    writer.write(head.encode())
    number = int(headers.get("last-event-id") or 0)
    while number < server.events:
        await asyncio.sleep(server.pause)
        number += 1
        writer.write(chunk(event(number, f"{server.ident} {server.version}")))
        await writer.drain()
    writer.write(chunk(event(number + 1, "end")) + b"0\r\n\r\n")


class Stream:
    """A requester's stream over all its attempts: it takes it up again when it breaks off."""

    def __init__(self, cluster, number, record, tries=1, wait=0.3, deadline=10.0):
        self.cluster, self.number, self.record = cluster, number, record
        self.tries, self.wait, self.deadline = tries, wait, deadline
        self.events = []  # (id, engine, version, attempt)
        self.first = None  # Request-Id of the attempt that brought the first event
        self.attempts = []  # (request id, status, error)
        self.complete = False

    def take(self, answer, ident):
        """Reads the complete events of the answer so far."""
        for text in answer.body.decode().split("\n\n")[answer.taken:-1]:
            answer.taken += 1
            fields = dict(line.split(": ", 1) for line in text.split("\n") if ": " in line)
            if fields.get("data") == "end":
                self.events.append((int(fields["id"]), "", "", ident))
                continue
            engine, version = fields["data"].split(" ", 1)
            self.first = self.first or ident
            self.events.append((int(fields["id"]), engine, version, ident))

    async def run(self):
        end = time.monotonic() + self.deadline
        nodes = self.cluster.nodes
        for attempt in range(1 + self.tries):
            left = end - time.monotonic()
            if left < 0.2:
                break
            ident = f"{self.number:08x}{attempt:08x}"
            node = nodes[(self.number + attempt) % len(nodes)]
            more = {"Model": "m", "Token-Count": "600,80",
                    "Prefix-Hash": f"5c1e07a2:60,{self.number + 4096:x}:540"}
            if self.events:
                more["Last-Event-Id"] = self.events[-1][0]
                more["Resumes"] = self.first
            self.record(f"{ident} sent to {node.name} after={more.get('Last-Event-Id')} "
                        f"resumes={more.get('Resumes')}")
            answer = Answer()
            answer.taken = 0

            def on_data(got, ident=ident):
                got.taken = getattr(got, "taken", 0)
                self.take(got, ident)

            answer = await ask(node.address, self.cluster.front, "POST", "/stream/a",
                               headers_of(ident, int(left * 1000), **more), b"x" * 700,
                               left, on_data)
            self.attempts.append((ident, answer.status, answer.error))
            self.record(f"{ident} got {answer.status} complete={answer.complete} "
                        f"{answer.error} events {[e[0] for e in self.events if e[3] == ident]}")
            if answer.status == 200 and answer.complete:
                self.complete = True
                return
            await asyncio.sleep(self.wait)

    def versions(self):
        return sorted({e[2] for e in self.events if e[2]})


def order_broken(streams, record):
    """ORDER: more than two streams hold events from engines of two software versions."""
    mixed = [s for s in streams if len(s.versions()) > 1]
    for s in mixed:
        parts = []
        for e in s.events:
            if e[2] and (not parts or parts[-1][1] != e[2]):
                parts.append((e[0], e[2]))
        record(f"MIXED stream {s.number}: " +
               ", ".join(f"from event {n} by {v}" for n, v in parts))
    record(f"streams {len(streams)}, complete {sum(s.complete for s in streams)}, "
           f"of two versions {len(mixed)} (more than 2 break ORDER)")
    return len(mixed) > 2


def main(case, path):
    """Runs a case, which is recorded at the path; its result is the exit status."""
    record = Record(path)

    async def guarded():
        return await asyncio.wait_for(case(record), 110)

    try:
        broken = asyncio.run(guarded())
    except Exception as error:  # pylint: disable=broad-except
        record(f"could not run: {type(error).__name__} {error}")
        print(f"could not run: {type(error).__name__} {error}")
        sys.exit(2)
    record("the rule was broken" if broken else "the rule held")
    print("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)
