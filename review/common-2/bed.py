# SPDX-License-Identifier: Apache-2.0
"""Test bed of the second review: stand-ins of the store, replicas and clients, and hosts as real processes.

Everything runs on loopback addresses. The stand-ins follow PROTOCOL.md and DEPLOY.md; a case switches the
disruption on. Only the standard library is used.
"""
import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

REPOSITORY = Path(__file__).resolve().parents[2]
# The bounds and limits of the example in DEPLOY.md, which are those of site cwmtawe-vault.
BOUNDS = {
    "seed-lag-s": 3, "addr-reuse-s": 2, "contact-ms": 3000, "ack-ms": 4000, "catch-up-s": 4, "drain-ms": 2000,
    "grace-s": 8, "loss-slack-ms": 200, "config-apply-ms": 2000, "rollback-slack-ms": 250, "outer-ms": 5000,
    "strict-revoke": "true", "revoke-ms": 5000, "retry-budget-ratio": 0.2, "retry-window-s": 10,
    "retry-slack": 202, "recovery-s": 12,
}
MEMORY_MB = 260
RESTART_DELAY_S = 1.0  # a process that ended is started again "after a short delay"
KEY = "n2ctnfzs989anu6wsjnb"


class Message:
    """A request or an answer with its headers in lower case."""

    def __init__(self, first, headers, body):
        self.first = first
        self.headers = headers
        self.body = body

    @property
    def method(self):
        return self.first.split(" ")[0]

    @property
    def target(self):
        return self.first.split(" ")[1]

    @property
    def path(self):
        return urlsplit(self.target).path

    def query(self, name, fallback=None):
        return parse_qs(urlsplit(self.target).query).get(name, [fallback])[0]


async def read_head(reader):
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = text.split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunks(reader, on_part=None):
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        part = await reader.readexactly(size + 2)
        if size == 0:
            return body
        body += part[:-2]
        if on_part:
            on_part(part[:-2])


async def read_request(reader):
    first, headers = await read_head(reader)
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = await read_chunks(reader)
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(first, headers, body)


def answer_bytes(status, headers, body=b""):
    reason = {200: "OK", 202: "Accepted"}.get(status, "Status")
    lines = [f"HTTP/1.1 {status} {reason}"] + [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Server:
    """HTTP/1.1 server. `handle(request, writer)` writes the whole answer; False closes the channel."""

    def __init__(self, handle):
        self.handle = handle
        self.writers = set()
        self.server = None
        self.address = None

    async def start(self, ip, port=0):
        self.server = await asyncio.start_server(self.serve, ip, port, backlog=512, limit=1 << 20)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()
        return self.address

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if await self.handle(request, writer) is False:
                    break
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self, reset=True):
        """Ends as a process that was killed: nothing listens, and channels are reset."""
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            raw = writer.get_extra_info("socket")
            if reset and raw is not None:
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
        self.server = None


class Store:
    """The platform's store in its log form, linearizable and without faults of its own."""

    def __init__(self):
        self.topics = {}
        self.members = {}
        self.generation = 0
        self.changed = asyncio.Condition()
        self.pages_read = 0
        self.server = Server(self.handle)

    async def start(self, ip):
        return await self.server.start(ip)

    def topic(self, name):
        return self.topics.setdefault(name, {"records": [], "newest": {}})

    async def put(self, topic, key, value):
        """Appends a record as operators and replicas do; an empty value drops the key."""
        state = self.topic(topic)
        state["records"].append((key, value))
        if value:
            state["newest"][key] = (value, len(state["records"]) - 1)
        else:
            state["newest"].pop(key, None)
        async with self.changed:
            self.changed.notify_all()

    async def handle(self, request, writer):
        action = {
            "/api/log-read": self.read, "/api/log-newest": self.newest, "/api/log-append": self.append,
            "/api/log-join": self.join, "/api/log-leave": self.leave,
        }.get(request.path)
        status, body = await action(request) if action else (404, b"")
        headers = [] if request.path == "/api/log-read" else [("Content-Type", "application/json")]
        writer.write(answer_bytes(status, headers, body))

    async def read(self, request):
        state = self.topic(request.query("topic"))
        start = int(request.query("from", "0"))
        wait = int(request.query("wait-ms", "0")) / 1000
        if start > len(state["records"]):
            return 410, b'{"first":0}'
        if wait and start == len(state["records"]):
            try:
                async with self.changed:
                    await asyncio.wait_for(
                        self.changed.wait_for(lambda: len(state["records"]) > start), wait)
            except asyncio.TimeoutError:
                pass
        body = struct.pack(">QQ", len(state["records"]), 0)
        for key, value in state["records"][start:]:
            content = bytes([len(key)]) + key.encode() + value
            body += struct.pack(">I", len(content)) + content
            if len(body) > 1 << 20:
                break
        return 200, body

    async def newest(self, request):
        self.pages_read += 1
        state = self.topic(request.query("topic"))
        after = request.query("after", "")
        items, size, more = [], 0, False
        for key in sorted(state["newest"]):
            if key <= after:
                continue
            value, offset = state["newest"][key]
            if len(items) == 500 or size > 1 << 20:
                more = True
                break
            items.append({"tls-key": key, "value": base64.b64encode(value).decode(), "offset": offset})
            size += len(value)
        body = {"items": items, "more": more, "end": len(state["records"])}
        return 200, json.dumps(body).encode()

    async def append(self, request):
        topic = request.query("topic")
        if topic in ("keyed.servers", "keyed.op"):
            return 403, b"{}"
        state = self.topic(topic)
        end = len(state["records"])
        at = request.query("at")
        if at is not None and int(at) != end:
            return 412, json.dumps({"end": end}).encode()
        left = request.body
        while left:
            size = struct.unpack(">I", left[:4])[0]
            content = left[4:4 + size]
            left = left[4 + size:]
            await self.put(topic, content[1:1 + content[0]].decode(), content[1 + content[0]:])
        return 200, json.dumps({"offset": end, "end": len(state["records"])}).encode()

    async def join(self, request):
        asked = json.loads(request.body)
        now = time.monotonic()
        silent = [name for name, (heard, ttl) in self.members.items() if now - heard > ttl]
        for name in silent:
            del self.members[name]
        is_new = asked["member"] not in self.members
        self.generation += len(silent) + is_new
        self.members[asked["member"]] = (now, asked["ttl_ms"] / 1000)
        names = sorted(self.members)
        rank = names.index(asked["member"])
        rows = [[asked["topics"][0], part, 0] for part in range(12) if part % len(names) == rank]
        return 200, json.dumps({"generation": self.generation, "parts": rows}).encode()

    async def leave(self, request):
        asked = json.loads(request.body)
        self.generation += self.members.pop(asked["member"], None) is not None
        return 200, b"{}"


class Replica:
    """A plain service's replica: answers each request after `work_s` with its proof."""

    slots = 6

    def __init__(self, bed, service, name, zone, ip, work_s=0.06):
        self.bed, self.service, self.name, self.zone, self.ip = bed, service, name, zone, ip
        self.work_s = work_s
        self.server = None
        self.address = None
        self.sequence = 0
        self.running = 0
        self.beat_task = None

    async def start(self):
        """Begins a new lifetime under the same id."""
        self.born = int(time.time() * 1000)
        self.server = Server(self.handle)
        port = int(self.address.rsplit(":", 1)[1]) if self.address else 0
        self.address = await self.server.start(self.ip, port)
        self.running = 0
        await self.write_entry()
        if self.beat_task is None:
            self.beat_task = asyncio.create_task(self.beat())

    async def beat(self):
        while True:
            await asyncio.sleep(1.2)
            if self.server.server is not None:
                self.sequence += 1
                await self.write_entry()

    def entry(self):
        return {
            "service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
            "slots": self.slots, "state": "ready", "cold-remaining-ms": 0, "sequence": self.sequence,
            "born": self.born,
        }

    async def write_entry(self):
        await self.bed.store.put("keyed.servers", self.name, json.dumps(self.entry()).encode())

    def crash(self):
        self.server.stop()

    async def handle(self, request, writer):
        target = request.headers.get("x-target-instance")
        attempt = request.headers.get("x-attempt-id")
        if target and target != self.name:
            writer.write(answer_bytes(421, [("X-Not-Executed", "1"), ("X-Attempt-Id", attempt or "")]))
            return True
        if request.path in ("/healthz", "/api/report"):
            status = 200 if request.path == "/healthz" else 404
            writer.write(answer_bytes(status, [("X-Instance-Id", self.name)]))
            return True
        if not attempt:
            writer.write(answer_bytes(400, [("X-Not-Executed", "1")]))
            return True
        self.bed.note("arrival", replica=self.name, request=attempt)
        return await self.run(request, attempt, writer)

    async def run(self, request, attempt, writer):
        if self.running >= self.slots:
            writer.write(answer_bytes(503, [("X-Not-Executed", "1"), ("X-Attempt-Id", attempt)]))
            return True
        self.running += 1
        try:
            return await self.work(request, attempt, writer)
        finally:
            self.running -= 1

    async def work(self, request, attempt, writer):
        await asyncio.sleep(self.work_s)
        writer.write(answer_bytes(200, self.proof(attempt), b"b" * 800))
        return True

    def proof(self, attempt):
        return [("X-Attempt-Id", attempt), ("X-Response-Signature", f"{self.name}.{attempt}"), ("Versions", "1")]


class Engine(Replica):
    """A model replica: holds layers, obeys orders and streams events at a steady pace."""

    slots = 192

    def __init__(self, bed, service, name, zone, ip, layers=8, events=77, interval_s=0.02):
        super().__init__(bed, service, name, zone, ip)
        self.layers, self.events, self.interval_s = layers, events, interval_s
        self.held = (0, 0)
        self.orders = 0
        self.fence = 0

    async def start(self):
        self.held, self.orders, self.fence = (0, 0), 0, 0
        await super().start()

    def tell(self):
        model = {"name": "m0", "version": 1, "adapters": []}
        held = {"from": self.held[0], "target-version": self.held[1], "version": 1}
        return {"stage": "dual", "kind": "a100s", "models": [model], "layers": held, "born": self.born}

    def entry(self):
        return super().entry() | self.tell()

    async def handle(self, request, writer):
        target = request.headers.get("x-target-instance")
        if target and target != self.name:
            return await super().handle(request, writer)
        if request.path == "/api/report":
            body = self.tell() | {
                "busy": False, "sequence": self.orders, "queued": 0, "in-flight": self.running, "kv-used": 0,
                "kv-total": 100000, "handles": 0, "pace": 1.0}
            writer.write(answer_bytes(200, [("Content-Type", "application/json")], json.dumps(body).encode()))
            return True
        if request.path == "/api/order":
            return await self.take_order(json.loads(request.body), writer)
        return await super().handle(request, writer)

    async def take_order(self, order, writer):
        if order["op"] != "place":
            writer.write(answer_bytes(404 if order["op"] == "repath" else 400, []))
            return True
        if order.get("fence", 0) < self.fence:
            writer.write(answer_bytes(412, []))
            return True
        self.fence = order.get("fence", 0)
        if order.get("expected-revision", self.orders) != self.orders:
            writer.write(answer_bytes(409, []))
            return True
        self.orders += 1
        writer.write(answer_bytes(202, []))

        async def load(born=self.born):
            await asyncio.sleep(0.3)
            if born == self.born:
                self.held = (order["from"], order["target-version"])
                await self.write_entry()

        asyncio.create_task(load())
        return True

    async def work(self, request, attempt, writer):
        parts = [re.fullmatch(r"(.+)=(\d+)-(\d+)", part) for part in request.headers.get("path", "").split(",")]
        for part in parts:
            if part is None:
                continue
            engine = self.bed.by_address.get(part[1])
            if engine is None or engine.server.server is None or int(part[2]) < engine.held[0] or int(
                    part[3]) > engine.held[1]:
                writer.write(answer_bytes(
                    503, [("X-Not-Executed", "1"), ("X-Attempt-Id", attempt), ("At-Server", part[1])]))
                return True
        await asyncio.sleep(0.05)
        head = [f"{name}: {value}" for name, value in self.proof(attempt)]
        writer.write(("HTTP/1.1 200 OK\r\n" + "\r\n".join(head)
                      + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").encode())
        first = int(request.headers.get("last-event-id", "0") or 0) + 1
        self.begin(request, attempt)
        for number in range(first, self.events + 1):
            event = f"id: {number}\ndata: t\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.interval_s)
        writer.write(b"0\r\n\r\n")
        return True

    def begin(self, request, attempt):
        """Hook of a case, as the request begins to run."""


class Host:
    """One sailtillerd with the command and the settings of the deploy file."""

    def __init__(self, bed, number, zone):
        self.bed, self.number, self.zone = bed, number, zone
        self.name = f"edge-{zone}-{number}"
        self.ip = f"{bed.prefix}.{10 + number}"
        ports = free_ports(self.ip, 4)
        self.frontend = f"{self.ip}:{ports[0]}"
        self.readiness = f"{self.ip}:{ports[1]}"
        self.internal = ports[2:]
        self.process = None
        self.own_ends = []  # times at which the process ended by itself
        self.memory_ends = []  # times at which it was killed for its memory
        self.most_memory_mb = 0
        self.starts = 0
        self.starting = None
        self.stopping = False

    def fields(self):
        return {
            "node-name": self.name, "zone": self.zone, "ip": self.ip, "listen.frontend": self.frontend,
            "listen.readiness": self.readiness, "internal-ports.0": self.internal[0],
            "internal-ports.1": self.internal[1], "platform.address": self.bed.store_address,
        } | {f"bounds.{name}": value for name, value in BOUNDS.items()}

    def write_settings(self):
        text = (REPOSITORY / "deploy/settings.template").read_text()
        fields = self.fields()
        text = re.sub(r"\{\{([\w.-]+)\}\}", lambda gap: str(fields[gap[1]]), text)
        path = self.bed.folder / f"{self.name}.conf"
        path.write_text(text)
        return path

    async def start(self):
        deploy = (REPOSITORY / "deploy/system.toml").read_text()
        command = re.search(r'^run = "([^"]+)"', deploy, re.MULTILINE)[1].split()
        log = open(self.bed.folder / f"{self.name}-{self.starts}.log", "wb")
        self.starts += 1
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["SAILTILLER_CONFIG"] = str(self.write_settings())
        self.process = await asyncio.create_subprocess_exec(
            *command, cwd=REPOSITORY, env=environment, stdout=log, stderr=log, stdin=asyncio.subprocess.DEVNULL)
        log.close()
        if self.bed.is_over:
            self.process.kill()
            return
        self.bed.note("start", host=self.name)
        asyncio.create_task(self.watch(self.process))

    async def watch(self, process):
        code = await process.wait()
        if self.bed.is_over or self.stopping:
            return
        if self.process is process:
            kind = "ended by itself"
            if process in self.bed.killed:
                kind = self.bed.killed[process]
            if kind == "ended by itself":
                self.own_ends.append(time.monotonic())
            self.bed.note("end", host=self.name, code=code, why=kind)
            await asyncio.sleep(RESTART_DELAY_S)
            if not self.bed.is_over:
                # Shielded, so that the end of the case can't leave a process that nobody knows.
                self.starting = asyncio.ensure_future(self.start())
                await asyncio.shield(self.starting)

    def kill(self, why):
        self.bed.killed[self.process] = why
        self.process.send_signal(signal.SIGKILL)

    def memory_mb(self):
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
            return int(re.search(r"VmRSS:\s+(\d+) kB", text)[1]) / 1024
        except (OSError, TypeError):
            return 0.0

    async def is_ready(self):
        answer = await call(self.readiness, "GET", "/readyz", {}, b"", 1.0)
        return answer["status"] == 200


def free_ports(ip, count):
    sockets = []
    for _ in range(count):
        item = socket.socket()
        item.bind((ip, 0))
        sockets.append(item)
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports


async def call(address, method, target, headers, body, limit_s, channel=None, on_part=None):
    """One request on a channel of its own. `ending` tells whether the answer came whole."""
    ip, port = address.rsplit(":", 1)
    result = {"status": 0, "headers": {}, "body": b"", "ending": "no channel"}
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(ip, int(port), limit=1 << 20)
        result["ending"] = "no answer"
        lines = [f"{method} {target} HTTP/1.1"] + [f"{name}: {value}" for name, value in headers.items()]
        if body or method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await writer.drain()
        first, result["headers"] = await read_head(reader)
        result["status"] = int(first.split(" ")[1])
        result["ending"] = "cut"
        if result["headers"].get("transfer-encoding", "").lower() == "chunked":
            def take(part):
                result["body"] += part
                if on_part:
                    on_part(part)
            await read_chunks(reader, take)
        else:
            result["body"] = await reader.readexactly(int(result["headers"].get("content-length", "0")))
        result["ending"] = "whole"

    try:
        await asyncio.wait_for(exchange(), limit_s)
    except asyncio.TimeoutError:
        result["ending"] += ", given up"
    except (ConnectionError, OSError, asyncio.IncompleteReadError, ValueError):
        pass
    if writer:
        writer.close()
    return result


class Bed:
    """A small deployment: store, replicas, hosts and the record of what happened."""

    def __init__(self, hosts=3):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = Path(tempfile.mkdtemp(prefix="sailtiller-review-"))
        self.case = Path(sys.argv[0]).resolve().parent
        self.began = time.monotonic()
        self.lines = []
        self.killed = {}
        self.is_over = False
        self.by_address = {}
        self.replicas = []
        self.version = 0
        self.attempts = 0
        self.prefix = "127.%d.%d" % (random.randint(20, 219), random.randint(1, 250))
        self.store = Store()
        self.store_address = None
        self.host_count = hosts
        self.hosts = []
        self.readiness = {}

    def note(self, what, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.lines.append(f"{time.monotonic() - self.began:9.3f} {what} {text}")

    async def start(self, services, routes, tenants=None, limits=None):
        self.store_address = await self.store.start(f"{self.prefix}.2")
        self.config = {
            "routes": routes, "services": services,
            "tenants": tenants or [{"name": "hule930", "api-keys": [KEY]}],
            "limits": limits or {
                "max-header-bytes": 32768, "max-body-bytes": 4194304, "header-timeout-ms": 3000,
                "idle-timeout-ms": 15000},
        }
        await self.write_config()
        for replica in self.replicas:
            await replica.start()
            self.by_address[replica.address] = replica
        zones = ["abertawe-a", "abertawe-b", "castell-nedd"]
        self.hosts = [Host(self, number, zones[number % 3]) for number in range(self.host_count)]
        for host in self.hosts:
            await host.start()
        asyncio.create_task(self.ask_readiness())

    async def write_config(self):
        self.version += 3
        await self.store.put("keyed.op", "config", json.dumps(self.config | {"version": self.version}).encode())

    async def ask_readiness(self):
        """Asks each host every second, as the entry does."""
        while not self.is_over:
            for host in self.hosts:
                was = self.readiness.get(host.name)
                now = await host.is_ready()
                self.readiness[host.name] = now
                if was != now:
                    self.note("ready" if now else "not ready", host=host.name)
            await asyncio.sleep(1.0)

    def new_attempt(self):
        self.attempts += 1
        return "%08x%08x" % (os.getpid(), self.attempts)

    async def send(self, host, target, body=b"", limit_ms=3000, more=None, method="POST", on_part=None):
        """One client attempt at a host; a client that has no answer at its time limit leaves."""
        attempt = self.new_attempt()
        headers = {
            "Host": "ficu95.example", "X-Attempt-Id": attempt, "X-Deadline-Ms": limit_ms,
            "Authorization": f"Bearer {KEY}"} | (more or {})
        self.note("sent", host=host.name, request=attempt, target=target, bytes=len(body))
        result = await call(host.frontend, method, target, headers, body, limit_ms / 1000 + 0.5, on_part=on_part)
        result["attempt"] = attempt
        self.note(
            "answer", host=host.name, request=attempt, status=result["status"], ending=result["ending"].replace(" ", "-"),
            bytes=len(result["body"]), proof=result["headers"].get("x-response-signature", "none"))
        return result

    async def wait_until(self, is_done, limit_s, what):
        end = time.monotonic() + limit_s
        while not await is_done():
            if time.monotonic() > end:
                raise CannotRun(f"{what} within {limit_s} s")
            await asyncio.sleep(0.1)

    async def wait_until_ready(self):
        async def all_ready():
            return all([await host.is_ready() for host in self.hosts])
        await self.wait_until(all_ready, 20, "not all hosts were ready")

    async def stop(self):
        self.is_over = True
        for host in self.hosts:
            host.stopping = True
            if host.starting:
                await host.starting
            if host.process and host.process.returncode is None:
                host.process.kill()
                await host.process.wait()


class CannotRun(Exception):
    """The case could not be brought to the moment of the disruption."""


def run_case(bed, scenario):
    """Runs a case. `scenario` returns the findings: a list of texts, empty if the rule held."""

    async def whole():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda loop, context: None)
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, asyncio.current_task().cancel)
        try:
            return await asyncio.wait_for(scenario(bed), 115)
        finally:
            await bed.stop()

    code, verdict = 2, ""
    try:
        findings = asyncio.run(whole())
        code = 1 if findings else 0
        verdict = "BROKEN: " + "; ".join(findings) if findings else "the rule held"
    except (Exception, asyncio.CancelledError) as fault:  # whatever it is, it shows nothing of the rule
        verdict = f"could not run: {type(fault).__name__} {fault}"
    record = "\n".join([f"TROUBLE={int(bed.trouble)}"] + bed.lines + [verdict]) + "\n"
    (bed.case / "record.txt").write_text(record)
    print(verdict)
    if os.environ.get("KEEP_LOGS"):
        print(bed.folder)
    else:
        shutil.rmtree(bed.folder, ignore_errors=True)
    sys.exit(code)


def plain_service(name="pull-through"):
    return {"name": name, "health-path": "/healthz", "max-connections": 110, "slots": 6}


def plain_route(name, kind, service="pull-through", objective=300, limit=3000, attempts=2):
    return {
        "name": name, "host": "ficu95.example", "path-prefix": f"/{name}/", "kind": kind, "timeout-ms": limit,
        "target-latency-ms": objective, "priority": 2, "max-attempts": attempts if kind == "safe" else 1,
        "service": service}
