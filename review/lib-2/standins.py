"""Stand-ins for review cases: the platform's store, runners, callers, links and
processes of the router. They follow PROTOCOL.md and DEPLOY.md. Python's standard
library only; one asyncio loop; loopback addresses only."""

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
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
START = time.monotonic()


def now():
    return time.monotonic() - START


class Record:
    """record.txt: what was sent, answered and run, one line an event."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def __call__(self, *words):
        self.file.write("%9.3f  %s\n" % (now(), " ".join(str(w) for w in words)))
        self.file.flush()


# --- HTTP -----------------------------------------------------------------

class Message:
    def __init__(self, line, headers, body=b""):
        self.line, self.headers, self.body = line, headers, body
        self.parts = line.split(" ", 2)

    @property
    def method(self):
        return self.parts[0]

    @property
    def target(self):
        return self.parts[1]

    @property
    def path(self):
        return self.target.split("?")[0]

    @property
    def query(self):
        return dict(urllib.parse.parse_qsl(urllib.parse.urlsplit(self.target).query))

    @property
    def status(self):
        return int(self.parts[1])

    def get(self, name, default=None):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0], headers)


async def read_chunks(reader):
    """The chunks of a body, until its end."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size)
        await reader.readexactly(2)
        if size == 0:
            return
        yield data


async def read_message(reader):
    message = await read_head(reader)
    if message.get("transfer-encoding", "").lower() == "chunked":
        message.body = b"".join([data async for data in read_chunks(reader)])
    else:
        message.body = await reader.readexactly(int(message.get("content-length", "0")))
    return message


def encode(line, headers, body=b""):
    text = line + "\r\n" + "".join("%s: %s\r\n" % pair for pair in headers)
    return text.encode() + b"Content-Length: %d\r\n\r\n" % len(body) + body


def answer(status, headers=(), body=b""):
    return encode("HTTP/1.1 %d X" % status, headers, body)


def json_answer(status, value):
    return answer(status, [("Content-Type", "application/json")], json.dumps(value).encode())


def reset(writer):
    """Closes a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            pass
    writer.transport.abort()


async def serve(handler, ip="127.0.0.1", port=0):
    """Serves connections; returns the server and its port."""

    async def connection(reader, writer):
        try:
            await handler(reader, writer)
        except (asyncio.IncompleteReadError, OSError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(connection, ip, port, limit=1 << 20)
    return server, server.sockets[0].getsockname()[1]


# --- the platform's store ---------------------------------------------------

class Topic:
    def __init__(self):
        self.records, self.newest = [], {}


class Store:
    """The store in its form as a log: keyed topics with one partition, and groups with
    one partition. `refused` holds source addresses; `lost` is asked for each call."""

    def __init__(self, record):
        self.record, self.topics, self.groups = record, {}, {}
        self.changed = asyncio.Event()
        self.addr, self.server = None, None
        self.waits = {}
        self.fault = None  # fault(message) -> None, "silent", "busy" or "lost"

    async def start(self):
        self.server, port = await serve(self.connection)
        self.addr = "127.0.0.1:%d" % port

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def put(self, topic, key, value):
        """Writes a record; returns its offset. A value of None drops the key."""
        data = b"" if value is None else value if isinstance(value, bytes) else json.dumps(value).encode()
        return self.append(topic, bytes([len(key)]) + key.encode() + data)

    def append(self, name, raw):
        topic = self.topic(name)
        offset = len(topic.records)
        topic.records.append(raw)
        key, value = raw[1:1 + raw[0]].decode(), raw[1 + raw[0]:]
        if value:
            topic.newest[key] = (value, offset)
        else:
            topic.newest.pop(key, None)
        self.changed.set()
        self.changed = asyncio.Event()
        return offset

    async def connection(self, reader, writer):
        while True:
            call = await read_message(reader)
            fault = self.fault and self.fault(call)
            if fault == "silent":
                await asyncio.sleep(60)
                return
            if fault == "busy":
                writer.write(answer(503))
                await writer.drain()
                continue
            reply = await self.reply(call)
            if fault == "lost":
                await asyncio.sleep(60)
                return
            await asyncio.sleep(0.004)
            writer.write(reply)
            await writer.drain()

    async def reply(self, call):
        query = call.query
        if call.path == "/v1/log-read":
            return await self.read(query["topic"], int(query["from"]), int(query.get("waitMs", 0)) / 1e3)
        if call.path == "/v1/log-newest":
            topic = self.topic(query["topic"])
            items = [{"key": k, "value": base64.b64encode(v).decode(), "offset": o}
                     for k, (v, o) in sorted(topic.newest.items()) if k > query.get("after", "")]
            return json_answer(200, {"items": items[:500], "hasMore": len(items) > 500,
                                     "end": len(topic.records)})
        if call.path == "/v1/log-append":
            body, first = call.body, None
            if query["topic"] in ("keyed.op", "keyed.servers"):
                return answer(403)
            while body:
                size = struct.unpack(">I", body[:4])[0]
                offset = self.append(query["topic"], body[4:4 + size])
                first, body = offset if first is None else first, body[4 + size:]
            end = len(self.topic(query["topic"]).records)
            return json_answer(200, {"offset": end if first is None else first, "end": end})
        if call.path in ("/v1/log-join", "/v1/log-leave"):
            return self.join(json.loads(call.body), call.path.endswith("leave"))
        if call.path == "/v1/log-owners":
            group = self.groups.get(query["group"], {"owner": None, "topic": ""})
            rows = [[group["topic"], 0, group["owner"], 0]] if group["owner"] else []
            return json_answer(200, {"rows": rows})
        return answer(404)

    async def read(self, name, start, wait):
        topic, end = self.topic(name), time.monotonic() + wait
        if start > len(topic.records):
            return json_answer(410, {"first": 0})
        while start >= len(topic.records) and time.monotonic() < end:
            try:
                await asyncio.wait_for(self.changed.wait(), max(0.001, end - time.monotonic()))
            except asyncio.TimeoutError:
                pass
        body = struct.pack(">QQ", len(topic.records), 0)
        for raw in topic.records[start:]:
            body += struct.pack(">I", len(raw)) + raw
        return answer(200, [], body)

    def join(self, call, leaves):
        """A group with one partition. It goes to another member when its owner leaves or
        falls silent; then the generation grows."""
        group = self.groups.setdefault(call["group"], {"generation": 0, "members": {}, "owner": None, "topic": ""})
        at, members = time.monotonic(), group["members"]
        gone = [m for m, until in members.items() if until <= at]
        if leaves:
            gone += [m for m in members if m == call["member"]]
        for member in set(gone):
            del members[member]
            group["generation"] += 1
        if leaves:
            if group["owner"] not in members:
                group["owner"] = next(iter(members), None)
            return json_answer(200, {})
        if call["member"] not in members:
            group["generation"] += 1
        members[call["member"]] = at + call["ttlMs"] / 1e3
        group["topic"] = call["topics"][0]
        if group["owner"] not in members:
            group["owner"] = call["member"]
        parts = [[group["topic"], 0, 0]] if group["owner"] == call["member"] else []
        return json_answer(200, {"generation": group["generation"], "parts": parts})


# --- runners ------------------------------------------------------------------

class Runner:
    """A plain server. Subclasses change `run`. Each start is an incarnation with its own id."""

    def __init__(self, record, store, service, ident, slots=64, zone="hall-a", ip="127.0.0.1"):
        self.record, self.store, self.service, self.ident = record, store, service, ident
        self.slots, self.zone, self.ip, self.sequence, self.state = slots, zone, ip, 0, "ready"
        self.work, self.runs, self.conns = 0.01, [], set()
        self.addr = self.server = self.beats = None
        self.born = int(time.time() * 1000)

    async def start(self, register=True):
        self.server, port = await serve(self.connection, self.ip)
        self.addr = "%s:%d" % (self.ip, port)
        if register:
            self.register()

    def register(self):
        self.beats = asyncio.ensure_future(self.beat())

    def entry(self):
        return {"service": self.service, "address": self.addr, "zone": self.zone, "version": "v1",
                "slots": self.slots, "state": self.state, "coldLeftMs": 0, "sequence": self.sequence, "born": self.born}

    def write_entry(self):
        self.sequence += 1
        self.store.put("keyed.servers", self.ident, self.entry())

    async def beat(self):
        while True:
            self.write_entry()
            await asyncio.sleep(1.2)

    def crash(self):
        """Ends at once; its entry is removed after three heartbeats of silence."""
        self.record(self.ident, "crashes")
        self.beats.cancel()
        self.server.close()
        for writer in list(self.conns):
            reset(writer)

        async def expire():
            await asyncio.sleep(3.6)
            self.store.put("keyed.servers", self.ident, None)

        asyncio.ensure_future(expire())

    async def connection(self, reader, writer):
        self.conns.add(writer)
        try:
            while True:
                request = await read_message(reader)
                expected = request.get("Expect-Instance")
                if expected not in (None, self.ident):
                    writer.write(answer(421, [("Instance-Id", self.ident)]))
                elif request.path == "/health":
                    writer.write(answer(200, [("Instance-Id", self.ident)]))
                elif request.path.startswith("/v1/"):
                    reply = await self.control(request)
                    writer.write(reply)
                else:
                    await self.run(request, reader, writer)
                await writer.drain()
        finally:
            self.conns.discard(writer)

    async def control(self, request):
        return answer(404)

    def seal(self, request):
        return [("Attempt-Id", request.get("Attempt-Id", "")), ("Response-Seal", "seal-" + self.ident)]

    def note(self, request, what="runs"):
        self.runs.append((now(), request))
        self.record(self.ident, what, request.get("Attempt-Id"), request.target)

    async def run(self, request, reader, writer):
        self.note(request)
        await asyncio.sleep(self.work)
        writer.write(answer(200, self.seal(request), ("done by " + self.ident).encode()))


class Engine(Runner):
    """A model runner: streams, reports, orders and kept parts under their salts."""

    def __init__(self, *args, model="m0", **more):
        super().__init__(*args, **more)
        self.model, self.weights, self.orders, self.changing = model, 1, 0, False
        self.kept = {}  # (salt, part id) -> (tenant, weights) that made it
        self.events, self.uses = 3, []

    def entry(self):
        models = [{"name": self.model, "version": self.weights, "adapters": []}]
        return dict(super().entry(), stage="both", models=models)

    async def control(self, request):
        if request.path == "/v1/report":
            return json_answer(200, {"stage": "both", "models": self.entry()["models"], "busy": self.changing,
                                     "sequence": self.orders, "queued": 0, "active": 0, "kvUsed": 0,
                                     "kvTotal": 90000, "handles": 0, "born": self.born})
        if request.path == "/v1/kv-events":
            await asyncio.sleep(min(int(request.get("Wait-Ms", "0")), 1000) / 1e3)
            return json_answer(200, {"bootEpoch": 1, "nextToken": 1, "lost": False, "events": [],
                                     "born": self.born})
        if request.path == "/v1/kv-list":
            return json_answer(200, {"bootEpoch": 1, "nextToken": 1, "held": [], "born": self.born})
        if request.path == "/v1/order":
            return self.order(json.loads(request.body))
        return answer(404)

    def order(self, order):
        self.record(self.ident, "order", json.dumps(order))
        if "holder" not in order or "fence" not in order:
            return answer(400)
        if self.changing or order.get("expect", self.orders) != self.orders:
            return answer(409)
        if order["version"] == self.weights:
            return answer(200)
        self.orders, self.changing = self.orders + 1, True
        asyncio.ensure_future(self.change(order["version"]))
        return answer(202)

    async def change(self, version):
        await asyncio.sleep(0.3)
        self.weights, self.changing = version, False
        self.kept.clear()
        self.write_entry()

    async def run(self, request, reader, writer):
        wanted = request.get("Expect-Version")
        if wanted is not None and int(wanted) != self.weights:
            writer.write(answer(421, [("Attempt-Id", request.get("Attempt-Id", "")),
                                      ("Weight-Versions", self.weights)]))
            return
        if self.changing:
            writer.write(answer(503, [("Attempt-Id", request.get("Attempt-Id", "")), ("Not-Executed", "1")]))
            return
        self.note(request, "runs (salt %r, tenant %r)" % (request.get("Cache-Salt"), request.get("Tenant")))
        self.use_parts(request)
        head = "HTTP/1.1 200 OK\r\n" + "".join("%s: %s\r\n" % h for h in self.seal(request))
        head += "Weight-Versions: %d\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" % self.weights
        writer.write(head.encode())
        first = int(request.get("Last-Event-Id", "0")) + 1
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.work)
            event = ("id: %d\ndata: piece %d of %s\n\n" % (number, number, request.get("Attempt-Id"))).encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")

    def use_parts(self, request):
        """A part is found only under the same salt and model, if all parts before it are."""
        tenant, found = request.get("Tenant"), True
        for text in request.get("Prompt-Prefix", "").split(","):
            ident = text.split(":")[0]
            key = (request.get("Cache-Salt"), ident, request.get("Model"))
            if found and key in self.kept:
                maker = self.kept[key]
                self.uses.append((request.get("Attempt-Id"), ident, tenant, maker))
                self.record(self.ident, "uses part", ident, "for", request.get("Attempt-Id"), "of tenant", tenant,
                            "made by a request of tenant", maker[0], "on weights", maker[1])
            else:
                found = False
                self.kept[key] = (tenant, self.weights)


# --- the router ---------------------------------------------------------------

BOUNDS = """seedLagS = 3
addrReuseS = 2
stableWindowMs = 4000
ackMs = 6000
catchUpS = 6
drainMs = 3000
graceS = 8
lossSlackMs = 200
configApplyMs = 3000
downgradeSlackMs = 250
maxStretchMs = 6000
strictRevoke = false
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 190
quotaWindowS = 8
quotaOverage = 0.1
quotaSlack = 190000
recoveryS = 15
transitMs = 200
reuseWindowS = 10
requireFencing = false
leaseMs = 3000
thawMs = 300
versionMs = 12000
versionAllMs = 17000
ttl_max_s = 5
"""


def command():
    """The command of the deploy file."""
    for line in open(os.path.join(ROOT, "deploy/system.toml")):
        if line.startswith("run = "):
            words = line.split('"')[1].split()
            return [os.path.join(ROOT, words[0])] + words[1:]
    raise RuntimeError("no command in the deploy file")


class Router:
    """One machine with one process, at a loopback address of its own."""

    def __init__(self, record, folder, number, store_addr, port, seeds=1):
        self.record, self.name, self.ip = record, "front-hall-a-%d" % number, "127.0.66.%d" % number
        self.port, self.process = port, None
        self.path = os.path.join(folder, self.name + ".toml")
        self.log = os.path.join(folder, self.name + ".log")
        addr = lambda n: "%s:%d" % (self.ip, port + n)
        with open(self.path, "w") as file:
            file.write('nodeName = "%s"\nrole = "router"\nmachineClass = "front"\n' % self.name)
            file.write('serves = ["front","directory"]\nip = "%s"\nzone = "hall-a"\nregion = "r"\n' % self.ip)
            file.write("internalPorts = [%d,%d]\nseeds = []\nbootstrap = true\nfaultCounted = false\n" % (port + 10, port + 25))
            file.write('discovery = "platform"\nentry = "directory"\nheartbeatMs = 1200\n')
            file.write('contracts = ["base","drain","config","cost","retry","recover","health","pool","kvcache","stream","engine","tenants","quota","pressure","platform"]\n')
            file.write('[zones]\nhall-a = "r"\n[listen]\nfront = "%s"\nreadyAddr = "%s"\ndirectory = "%s"\n' % (addr(0), addr(1), addr(2)))
            file.write("[limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = 260\nmaxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0\n")
            file.write("[faultTolerance]\nmachines = 1\nzones = 0\nregions = 0\n[bounds]\n" + BOUNDS)
            file.write('[platform]\naddress = "%s"\nform = "log"\nwritesPerS = 400\nreadsPerS = 2000\nparts = 8\nappendMs = 4.0\n' % store_addr)
            file.write("partMbS = 20.0\nreadMbS = 80.0\nrecordBytes = 262144\ncallBytes = 2097152\nkeep_s = 300\npartMb = 200\nttlMinMs = 1000\n")

    async def start(self):
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["MARJORAMSPRING_SETTINGS"] = self.path
        log = open(self.log, "ab")
        self.process = await asyncio.create_subprocess_exec(*command(), cwd=ROOT, env=env, stdout=log, stderr=log)
        log.close()
        self.record(self.name, "started")

    def signal(self, number):
        if self.process.returncode is None:
            self.record(self.name, "gets", signal.Signals(number).name)
            self.process.send_signal(number)

    async def ready(self, limit=12):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            try:
                reply = await call(self.ip, self.port + 1, encode("GET /v1/ready HTTP/1.1", [("Host", "h")]), 1)
                if reply.status == 200:
                    self.record(self.name, "is ready")
                    return
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.05)
        raise RuntimeError(self.name + " does not get ready")


def free_port():
    """A base port below the range of outgoing connections; all machines use the same."""
    for base in range(12000 + os.getpid() % 500 * 40, 32000, 40):
        try:
            for number in range(1, 10):
                for offset in (0, 1, 2, 10):
                    with socket.socket() as sock:
                        sock.bind(("127.0.66.%d" % number, base + offset))
            return base
        except OSError:
            continue
    raise RuntimeError("no free ports")


async def call(ip, port, data, limit):
    """Sends one request on a new connection and reads the answer."""

    async def exchange():
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            writer.write(data)
            return await read_message(reader)
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), limit)


def main(folder, case, trouble):
    """Runs `case(record, temporary folder, trouble, routers)`; it returns the broken promises."""
    record = Record(folder)
    record("trouble" if trouble else "no trouble")
    code = 2
    routers = []
    with tempfile.TemporaryDirectory() as temporary:
        async def play():
            return await asyncio.wait_for(case(record, temporary, trouble, routers), 110)
        try:
            broken = asyncio.run(play())
            for line in broken:
                record("BROKEN:", line)
                print("broken:", line)
            code = 1 if broken else 0
        except Exception as error:  # the case could not run
            record("could not run:", repr(error))
            print("could not run:", repr(error))
        finally:
            for router in routers:
                if router.process is not None and router.process.returncode is None:
                    try:
                        os.kill(router.process.pid, signal.SIGCONT)
                        os.kill(router.process.pid, signal.SIGKILL)
                    except ProcessLookupError:
                        pass
                if os.environ.get("KEEP_LOGS") and os.path.exists(router.log):
                    os.system("cp %s %s" % (router.log, os.environ["KEEP_LOGS"]))
    record("exit", code)
    sys.exit(code)
