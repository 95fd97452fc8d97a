"""Stand-ins for the review's scripts: the platform's store, runners, clients, and the record.

Everything listens on loopback addresses and lives in one process; the routers under test are
separate processes, started with the command of the deploy file. The stand-ins do what the users'
pages say and nothing else, except where a case makes a runner or a writer faulty on purpose.
"""

import asyncio
import base64
import json
import os
import signal
import socket
import struct
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
BEGAN = time.monotonic()


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """Writes `record.txt` in the folder of a case."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def line(self, text):
        self.file.write(f"{time.monotonic() - BEGAN:8.3f} {text}\n")
        self.file.flush()


def free_port(used=set()):
    """A port of the loopback address that nothing listens on."""
    while True:
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            port = sock.getsockname()[1]
        if port not in used:
            used.add(port)
            return port


# HTTP


async def read_message(reader):
    """Reads one request or answer: its first line, its headers in lower case, its body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                break
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


REASONS = {200: "OK", 202: "Accepted", 400: "Bad Request", 404: "Not Found", 409: "Conflict",
           410: "Gone", 421: "Misdirected Request", 429: "Too Many Requests",
           503: "Service Unavailable"}


def answer(status, body=b"", headers=()):
    """An answer with a length."""
    text = f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n"
    text += "".join(f"{name}: {value}\r\n" for name, value in headers)
    return text.encode() + f"Content-Length: {len(body)}\r\n\r\n".encode() + body


def json_answer(status, value, headers=()):
    headers = [("Content-Type", "application/json"), *headers]
    return answer(status, json.dumps(value).encode(), headers)


# The platform's store


class Topic:
    def __init__(self):
        self.records = []
        self.newest = {}

    def append(self, content):
        offset = len(self.records)
        self.records.append(content)
        key, value = content[1 : 1 + content[0]].decode(), content[1 + content[0] :]
        if value:
            self.newest[key] = (value, offset)
        else:
            self.newest.pop(key, None)
        return offset


class Store:
    """The platform's store: keyed topics, reads that wait, member groups."""

    PARTS = 8
    DELAY_S = 0.004

    def __init__(self):
        self.topics = {}
        self.changed = asyncio.Condition()
        self.members = {}
        self.generation = 0
        self.address = None

    async def start(self):
        port = free_port()
        self.server = await asyncio.start_server(self.connection, "127.0.0.1", port)
        self.address = f"127.0.0.1:{port}"

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    async def put(self, topic, key, value):
        """Writes `value` as the newest record of `key`; `None` removes it."""
        data = b"" if value is None else json.dumps(value).encode()
        async with self.changed:
            self.topic(topic).append(bytes([len(key)]) + key.encode() + data)
            self.changed.notify_all()

    async def connection(self, reader, writer):
        try:
            while True:
                line, _, body = await read_message(reader)
                target = line.split(" ")[1]
                path, _, query = target.partition("?")
                query = dict(pair.split("=", 1) for pair in query.split("&") if "=" in pair)
                await asyncio.sleep(self.DELAY_S)
                writer.write(await self.call(path, query, body))
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, ValueError):
            pass
        finally:
            writer.close()

    async def call(self, path, query, body):
        if path == "/v1/log-append":
            first = None
            async with self.changed:
                topic = self.topic(query["topic"])
                while body:
                    (size,) = struct.unpack(">I", body[:4])
                    offset = topic.append(body[4 : 4 + size])
                    first = offset if first is None else first
                    body = body[4 + size :]
                self.changed.notify_all()
            return json_answer(200, {"offset": first or 0, "end": len(topic.records)})
        if path == "/v1/log-read":
            return await self.read(query)
        if path == "/v1/log-newest":
            topic, after = self.topic(query["topic"]), query.get("after", "")
            keys = sorted(key for key in topic.newest if key > after)
            items = [
                {"key": key, "value": base64.b64encode(topic.newest[key][0]).decode(),
                 "offset": topic.newest[key][1]}
                for key in keys[:500]
            ]
            more = len(keys) > 500
            return json_answer(200, {"items": items, "hasMore": more, "end": len(topic.records)})
        if path == "/v1/log-join":
            return self.join(json.loads(body))
        if path == "/v1/log-leave":
            if self.members.pop(json.loads(body)["member"], None):
                self.generation += 1
            return json_answer(200, {})
        return answer(404)

    async def read(self, query):
        topic, at = self.topic(query["topic"]), int(query["from"])
        end = time.monotonic() + int(query.get("waitMs", 0)) / 1e3
        async with self.changed:
            while at >= len(topic.records) and time.monotonic() < end:
                try:
                    await asyncio.wait_for(self.changed.wait(), end - time.monotonic())
                except (asyncio.TimeoutError, TimeoutError):
                    break
        body = struct.pack(">QQ", len(topic.records), 0)
        for content in topic.records[at:]:
            body += struct.pack(">I", len(content)) + content
        return answer(200, body, [("Content-Type", "application/octet-stream")])

    def join(self, call):
        now = time.monotonic()
        for name in [name for name, (until, _) in self.members.items() if until <= now]:
            del self.members[name]
            self.generation += 1
        if call["member"] not in self.members:
            self.generation += 1
        self.members[call["member"]] = (now + call["ttlMs"] / 1e3, call["topics"])
        names = sorted(self.members)
        rows = [
            [topic, part, 0]
            for topic in call["topics"]
            for part in range(self.PARTS)
            if names[part % len(names)] == call["member"]
        ]
        return json_answer(
            200, {"generation": self.generation, "ttlMs": call["ttlMs"], "parts": rows}
        )


# Runners


class Runner:
    """A model runner with a cache of prompt parts, which registers itself in the store."""

    HEARTBEAT_S = 1.2
    LOAD_S = 0.57
    REPORT_LAG_S = 0.2

    def __init__(self, store, record, name, service, model, version=1):
        self.store, self.record, self.id, self.service = store, record, name, service
        self.model, self.version = model, version
        self.beats, self.next_beat = 0, 0.0
        self.orders, self.busy, self.history = 0, False, []
        self.cached = {}  # (salt, part) -> (tenant, version) of the request that made it
        self.events, self.boot = [], int(time.time()) % 100000
        self.runs, self.answers = [], 0
        self.refused_versions = 0
        self.spoil = None  # called with (headers, answer bytes); the late extra answer, or None
        self.loaded = asyncio.Event()
        self.state, self.arrivals, self.writers, self.stream_s = "ready", [], set(), 0.03

    async def start(self):
        port = free_port()
        self.server = await asyncio.start_server(self.connection, "127.0.0.1", port)
        self.address = f"127.0.0.1:{port}"
        self.note_state()
        await self.beat()
        self.task = asyncio.create_task(self.keep_beating())

    def entry(self):
        """What it says of itself in the list of runners."""
        return {"service": self.service, "address": self.address, "zone": "hall-a",
                "version": "v1", "slots": 64, "state": self.state, "coldLeftMs": 0, "stage": "both",
                "models": [{"name": self.model, "version": self.version, "adapters": []}],
                "sequence": self.beats}

    async def beat(self):
        self.beats += 1
        self.next_beat = time.monotonic() + self.HEARTBEAT_S
        await self.store.put("keyed.servers", self.id, self.entry())
        self.record.line(f"runner {self.id} registers: {json.dumps(self.entry())}")

    async def keep_beating(self):
        while True:
            await asyncio.sleep(max(0, self.next_beat - time.monotonic()))
            await self.beat()

    async def drain(self):
        """Reports that it is leaving; returns when the store has accepted that."""
        self.state = "draining"
        await self.beat()
        return time.monotonic()

    async def leave(self):
        """Ends: its connections close, and its entry is removed."""
        self.task.cancel()
        self.server.close()
        self.record.line(f"runner {self.id} has left, with {len(self.writers)} connections open")
        for writer in list(self.writers):
            writer.transport.abort()
        await self.store.put("keyed.servers", self.id, None)

    def note_state(self):
        self.history.append((time.monotonic(), self.version, self.busy, self.orders))

    def report(self):
        """Its state as of some hundred ms ago."""
        then = time.monotonic() - self.REPORT_LAG_S
        _, version, busy, orders = [s for s in self.history if s[0] <= then or s is self.history[0]][-1]
        models = [{"name": self.model, "version": version, "adapters": []}]
        return {"stage": "both", "models": models, "busy": busy, "sequence": orders, "queued": 0,
                "active": 0, "kvUsed": 0, "kvTotal": 165614, "handles": 0}

    async def load(self, version):
        self.busy = True
        self.note_state()
        await asyncio.sleep(self.LOAD_S)
        self.version, self.busy = version, False
        self.cached.clear()
        self.note_state()
        self.record.line(f"runner {self.id} has loaded version {version}")
        self.loaded.set()

    def order(self, order):
        self.record.line(f"runner {self.id} gets the order {json.dumps(order)}")
        if order["version"] == self.version:
            return 200
        if self.busy or order.get("expect", self.orders) != self.orders:
            return 409
        self.orders += 1
        asyncio.create_task(self.load(order["version"]))
        return 202

    async def connection(self, reader, writer):
        late = None
        self.writers.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(" ")
                if late is not None:
                    # The extra answer comes where the next one is expected.
                    writer.write(late)
                    late = None
                late = await self.serve(method, target, headers, body, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve(self, method, target, headers, body, writer):
        path = target.partition("?")[0]
        if headers.get("expect-instance", self.id) != self.id:
            writer.write(answer(421, b"", [("Instance-Id", self.id), ("Not-Executed", "1")]))
        elif path == "/health":
            writer.write(answer(200, b"", [("Instance-Id", self.id)]))
        elif path == "/v1/report":
            writer.write(json_answer(200, self.report()))
        elif path == "/v1/order":
            writer.write(json_answer(self.order(json.loads(body)), {}))
        elif path == "/v1/kv-events":
            await asyncio.sleep(min(int(headers.get("wait-ms", 0)), 1000) / 1e3)
            page = {"bootEpoch": self.boot, "nextToken": 0, "lost": False, "events": []}
            writer.write(json_answer(200, page))
        else:
            return await self.prompt(method, target, headers, writer)

    async def prompt(self, method, target, headers, writer):
        attempt = headers["attempt-id"]
        common = [("Attempt-Id", attempt), ("Weight-Versions", self.version)]
        sent_for = headers.get("expect-version")
        note = (f"runner {self.id} gets {method} {target} Attempt-Id {attempt} "
                f"Tenant {headers.get('tenant')} Expect-Version {sent_for} "
                f"Cache-Salt {headers.get('cache-salt')}")
        self.arrivals.append((time.monotonic(), attempt))
        refused = None
        if sent_for is not None and sent_for != str(self.version):
            refused = answer(421, b"", [*common, ("Instance-Id", self.id), ("Not-Executed", "1")])
            self.refused_versions += 1
        elif self.busy:
            refused = answer(503, b"", [*common, ("Not-Executed", "1")])
        self.answers += 1
        if refused is not None:
            status = refused.split(b" ")[1].decode()
            self.record.line(f"{note}: answers {status}, does not run it")
            writer.write(refused)
            late = self.spoil(headers, refused) if self.spoil else None
            if late is not None:
                self.record.line(f"runner {self.id} will send that {status} once more, late, "
                                 "where the next answer on this connection is expected")
            return late
        self.run(attempt, headers, note)
        head = "".join(f"{name}: {value}\r\n" for name, value in
                       [*common, ("Response-Seal", f"{attempt}.{self.id}"),
                        ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")])
        writer.write(f"HTTP/1.1 200 OK\r\n{head}\r\n".encode())
        for number in range(1, 6):
            event = f"id: {number}\ndata: {attempt} {number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(self.stream_s / 6)
        writer.write(b"0\r\n\r\n")
        return None

    def run(self, attempt, headers, note):
        """Runs a request: finds and keeps the parts of its prompt under their salt."""
        tenant, salt = headers.get("tenant"), headers.get("cache-salt")
        used = []
        for part in headers["prompt-prefix"].split(","):
            part = part.split(":")[0]
            made = self.cached.setdefault((salt, part), (tenant, self.version))
            if made[0] != tenant:
                used.append((part, made[0]))
        self.runs.append({"attempt": attempt, "tenant": tenant, "salt": salt, "foreign": used})
        foreign = "".join(f"; uses part {part} that a request of {maker} made"
                          for part, maker in used)
        self.record.line(f"{note}: runs it{foreign}")


class PlainRunner:
    """A runner of a service without a model: a few slots, a short queue, a fixed time of work."""

    HEARTBEAT_S = 1.2

    def __init__(self, store, record, name, service, slots=6, queue=24, work_s=0.06):
        self.store, self.record, self.id, self.service = store, record, name, service
        self.slots, self.queue, self.work_s = slots, queue, work_s
        self.places, self.waiting, self.running = asyncio.Semaphore(slots), 0, 0
        self.beats, self.writers, self.served = 0, set(), 0

    async def start(self):
        port = free_port()
        self.server = await asyncio.start_server(self.connection, "127.0.0.1", port)
        self.address = f"127.0.0.1:{port}"
        self.task = asyncio.create_task(self.keep_beating())

    async def keep_beating(self):
        while True:
            self.beats += 1
            entry = {"service": self.service, "address": self.address, "zone": "hall-a",
                     "version": "v1", "slots": self.slots, "state": "ready", "coldLeftMs": 0,
                     "sequence": self.beats}
            await self.store.put("keyed.servers", self.id, entry)
            self.last_beat = time.monotonic()
            await asyncio.sleep(self.HEARTBEAT_S)

    def crash(self):
        """Ends at once, like a process that is killed, and sends nothing more."""
        self.record.line(f"runner {self.id} crashes with {self.running} requests at work")
        self.task.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        return asyncio.create_task(self.expire())

    async def expire(self):
        """The store removes its entry after three heartbeat intervals of silence."""
        await asyncio.sleep(self.last_beat + 3 * self.HEARTBEAT_S - time.monotonic())
        await self.store.put("keyed.servers", self.id, None)
        self.record.line(f"the entry of runner {self.id} is removed")

    async def connection(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers, _ = await read_message(reader)
                _, target, _ = line.split(" ")
                if headers.get("expect-instance", self.id) != self.id:
                    writer.write(answer(421, b"", [("Instance-Id", self.id), ("Not-Executed", "1")]))
                elif target == "/health":
                    writer.write(answer(200, b"", [("Instance-Id", self.id)]))
                else:
                    writer.write(await self.work(headers))
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def work(self, headers):
        attempt = headers["attempt-id"]
        if self.waiting >= self.queue:
            return answer(503, b"", [("Attempt-Id", attempt), ("Not-Executed", "1")])
        self.waiting += 1
        async with self.places:
            self.waiting -= 1
            self.running += 1
            try:
                await asyncio.sleep(self.work_s)
            finally:
                self.running -= 1
        self.served += 1
        body = f"{attempt} of {self.id}".encode()
        return answer(200, body, [("Attempt-Id", attempt), ("Response-Seal", f"{attempt}.{self.id}")])


# Routers


def config(version, service, model, attempts=1, isolated=()):
    """A small configuration: one service of model runners, two routes, two tenants."""
    route = {"host": "site.example", "kind": "streaming", "timeoutMs": 5000,
             "targetLatencyMs": 400, "service": service, "public": False, "sticky": True,
             "targetGapMs": 300}
    engine = {"slots": 64, "kvCapacity": 165614, "tokenKvBytes": 163840, "linkMbps": 550000.0,
              "moves": True, "backups": True, "stride": 4, "maxConcurrency": 12, "pinMs": 4000.0,
              "holdMs": 2000.0, "handle_s": 5.0, "models": [{"name": model}]}
    return {
        "version": version,
        "routes": [
            {**route, "name": "r-once", "pathPrefix": "/once/", "priority": 0,
             "maxAttempts": attempts, "resumable": False},
            {**route, "name": "r-resume", "pathPrefix": "/resume/", "priority": 1,
             "maxAttempts": 2, "resumable": True},
        ],
        "services": [{"name": service, "healthPath": "/health", "maxConns": 370, "protocol": "h1",
                      "tls": False, "engine": engine}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000},
        "tenants": [
            {"name": "tenant-a", "apiKeys": ["key-a"], "priority": 1, "isolated": "tenant-a" in isolated},
            {"name": "tenant-b", "apiKeys": ["key-b"], "priority": 1, "isolated": "tenant-b" in isolated},
        ],
    }


SETTINGS = """nodeName = "{name}"
role = "router"
machineClass = "front"
serves = ["front","directory"]
ip = "127.0.0.1"
zone = "hall-a"
region = "region-a"
internalPorts = [{internal},{internal}]
seeds = []
bootstrap = true
faultCounted = false
discovery = "platform"
entry = "directory"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","kvcache","stream","engine","tenants","platform"]
[zones]
hall-a = "region-a"
[listen]
front = "127.0.0.1:{front}"
readyAddr = "127.0.0.1:{ready}"
directory = "127.0.0.1:{directory}"
[limits]
cpuShare = 0.25
cores = 1
memoryMb = 260
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seedLagS = 3
addrReuseS = 2
stableWindowMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
downgradeSlackMs = 250
maxStretchMs = 5000
strictRevoke = false
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 58
recoveryS = 12
transitMs = 120
reuseWindowS = 10
requireFencing = false
leaseMs = 3000
thawMs = 300
versionMs = 8000
versionAllMs = 11000
ttl_max_s = 5
[platform]
address = "{store}"
form = "log"
writesPerS = 400
readsPerS = 2000
parts = 8
appendMs = 4.0
partMbS = 20.0
readMbS = 80.0
recordBytes = 262144
callBytes = 2097152
keep_s = 300
partMb = 200
ttlMinMs = 1000
"""


class Router:
    """A router process on a machine of its own, started as in the deploy file."""

    def __init__(self, name, store, folder, record):
        self.name, self.record, self.process = name, record, None
        ports = {key: free_port() for key in ("front", "ready", "directory", "internal")}
        self.front, self.ready = ports["front"], ports["ready"]
        self.settings = os.path.join(folder, f"{name}.toml")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(SETTINGS.format(name=name, store=store.address, **ports))
        self.log = open(os.path.join(folder, f"{name}.log"), "ab")

    async def start(self):
        program = os.path.join(ROOT, "target", "release", "marjoram")
        if not os.path.exists(program):
            raise CannotRun("target/release/marjoram is not built")
        # The command of deploy/system.toml; a free port for the metrics.
        self.process = await asyncio.create_subprocess_exec(
            program, "proxy", "--metrics-port", str(free_port()), cwd=ROOT,
            env={"MARJORAMSPRING_SETTINGS": self.settings, "PATH": os.environ.get("PATH", "")},
            stdout=self.log, stderr=self.log)
        self.record.line(f"router {self.name} started, process {self.process.pid}")

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ready)
            writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
            line, _, _ = await read_message(reader)
            writer.close()
            return line.split(" ")[1] == "200"
        except (OSError, asyncio.IncompleteReadError):
            return False

    async def wait_ready(self, limit=10):
        end = time.monotonic() + limit
        while not await self.is_ready():
            if time.monotonic() > end:
                raise CannotRun(f"router {self.name} is not ready")
            await asyncio.sleep(0.01)
        self.record.line(f"router {self.name} is ready")

    async def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        await self.signal(signal.SIGKILL)
        if self.process:
            await self.process.wait()
            self.record.line(f"router {self.name} killed")


async def get(router, attempt, path, key, deadline_ms=1500):
    """Sends one GET as a client of the pages does, on a new connection; returns the status, and
    whether the answer is a runner's."""
    head = (f"GET {path} HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: {attempt}\r\n"
            f"Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {key}\r\n\r\n")
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", router.front)
        writer.write(head.encode())
        line, headers, body = await asyncio.wait_for(read_message(reader), deadline_ms / 1e3)
        writer.close()
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, TimeoutError) as error:
        return type(error).__name__, False, b""
    return int(line.split(" ")[1]), "response-seal" in headers, body


async def send(router, record, attempt, path, key, model, parts, deadline_ms=5000, limit_s=8):
    """Sends one request as a client of the pages does; returns status, headers and body."""
    total = sum(int(part.split(":")[1]) for part in parts.split(","))
    body = b"x" * 770
    head = (f"POST {path} HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: {attempt}\r\n"
            f"Model: {model}\r\nToken-Usage: {total},11\r\nPrompt-Prefix: {parts}\r\n"
            f"Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {key}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n")
    record.line(f"client sends POST {path} Attempt-Id {attempt} key {key} parts {parts}")
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", router.front)
        writer.write(head.encode() + body)
        line, headers, body = await asyncio.wait_for(read_message(reader), limit_s)
        writer.close()
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, TimeoutError) as error:
        record.line(f"client gets no complete answer to {attempt}: {type(error).__name__}")
        return None, {}, b""
    status = int(line.split(" ")[1])
    shown = {name: headers[name] for name in ("response-seal", "retry-after") if name in headers}
    text = body.decode("latin-1") if "response-seal" not in headers else f"{len(body)} bytes"
    record.line(f"client gets {status} for {attempt} {shown} {text}")
    return status, headers, body


def main(folder, case):
    """Runs `case(record, temporary folder, trouble)`, which returns whether the rule held."""
    folder = os.path.dirname(os.path.abspath(folder))
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.line(f"TROUBLE={int(trouble)}")
    routers = []

    async def play():
        with tempfile.TemporaryDirectory(prefix="marjoram-review-") as temporary:
            try:
                return await asyncio.wait_for(case(record, temporary, trouble, routers), 110)
            finally:
                for router in routers:
                    await router.kill()
                keep = os.environ.get("REVIEW_LOGS")
                for router in routers:
                    if keep:
                        os.replace(router.log.name, os.path.join(keep, f"{router.name}.log"))

    try:
        held = asyncio.run(play())
        code = 0 if held else 1
    except (CannotRun, asyncio.TimeoutError, TimeoutError, OSError) as error:
        record.line(f"the case could not run: {type(error).__name__} {error}")
        code = 2
    record.line(f"exit {code}: " + {0: "the rule held", 1: "the rule was broken",
                                    2: "the case could not run"}[code])
    print(f"exit {code}; see record.txt")
    sys.exit(code)
