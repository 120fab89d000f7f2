"""Stand-ins of the platform for the scripts of the second review: the store, workers, the machine interface, and callers.

They follow PROTOCOL.md and DEPLOY.md, and use loopback addresses only. All of them run in one event loop; the entry VMs
are separate processes, started with the command of deploy/system.toml and with settings rendered from its template.
"""

import asyncio
import base64
import json
import os
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
MAX_RECORD_BYTES = 262_144
MAX_CALL_BYTES = 2_097_152


class CannotRun(Exception):
    """The case could not be played, so it says nothing about the rule."""


def unix_ms():
    return int(time.time() * 1000)


class Record:
    """What was sent, answered and run, in the order of the events."""

    def __init__(self, path):
        self.began = time.monotonic()
        self.file = open(path, "w")

    def now(self):
        return time.monotonic() - self.began

    def write(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


# --- HTTP -------------------------------------------------------------------------------------------------------------


async def read_message(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return lines[0], headers, body


class Server:
    """An HTTP server whose `answer(method, path, query, headers, body)` returns a status and a body, or `None` to end
    the connection without a response."""

    def __init__(self, answer):
        self.answer = answer
        self.writers = set()
        self.server = None
        self.address = None

    async def open(self, host="127.0.0.1", port=0):
        self.server = await asyncio.start_server(self.serve, host, port, limit=1 << 22)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        return self

    async def close(self):
        """Stops listening and resets all connections."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()
        self.writers.clear()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(" ", 2)
                url = urlsplit(target)
                query = {key: values[0] for key, values in parse_qs(url.query).items()}
                reply = await self.answer(method, url.path, query, headers, body)
                if reply is None:
                    writer.transport.abort()
                    return
                status, content = reply
                kind = "application/octet-stream" if isinstance(content, bytes) else "application/json"
                if not isinstance(content, bytes):
                    content = json.dumps(content).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\ncontent-type: {kind}\r\ncontent-length: {len(content)}\r\n\r\n".encode()
                    + content
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def call(address, method, path, headers=None, body=None, limit=3.0):
    """Makes one request on a new connection. Returns its status and JSON body; the status is 0 without a response."""
    host, port = address.rsplit(":", 1)
    data = b"" if body is None else json.dumps(body).encode()
    lines = {"host": address, "content-length": str(len(data)), "connection": "close", **(headers or {})}
    if data:
        lines["content-type"] = "application/json"

    async def exchange():
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            head = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
            writer.write(f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + data)
            await writer.drain()
            line, _, content = await read_message(reader)
            return int(line.split(" ")[1]), (json.loads(content) if content else None)
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), limit)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, None


# --- The store --------------------------------------------------------------------------------------------------------


class Topic:
    def __init__(self):
        self.records = []
        self.newest = {}
        self.epoch, self.number, self.answers = 0, None, []
        self.changed = asyncio.Event()
        self.append_lock = asyncio.Lock()

    def add(self, record):
        offset = len(self.records)
        self.records.append(record)
        length = record[0]
        key, value = record[1 : 1 + length].decode(), record[1 + length :]
        if value:
            self.newest[key] = (value, offset)
        else:
            self.newest.pop(key, None)

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()


class Store:
    """The metadata store: a log with keyed topics, each of one partition."""

    APPEND_S = 0.004

    def __init__(self):
        self.topics = {}
        self.server = Server(self.answer)

    async def open(self):
        await self.server.open()
        return self

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def put(self, name, key, value):
        """Writes a record as the operator or a worker does; `None` deletes the key."""
        data = b"" if value is None else json.dumps(value).encode()
        topic = self.topic(name)
        topic.add(bytes([len(key)]) + key.encode() + data)
        topic.wake()

    def value(self, name, key):
        found = self.topic(name).newest.get(key)
        return json.loads(found[0]) if found else None

    async def answer(self, method, path, query, headers, body):
        name = query.get("topic", "")
        if path == "/api/log-append":
            return await self.append(name, query, body)
        if path == "/api/log-read":
            return await self.read(name, query)
        if path == "/api/log-newest":
            return self.list_newest(name, query)
        return 404, {}

    async def append(self, name, query, body):
        if name in ("keyed.op", "keyed.servers"):
            return 403, {}
        records, rest = [], body
        while rest:
            (length,) = struct.unpack(">I", rest[:4])
            records.append(rest[4 : 4 + length])
            rest = rest[4 + length :]
        if any(len(record) > MAX_RECORD_BYTES for record in records) or sum(map(len, records)) > MAX_CALL_BYTES:
            return 413, {}
        topic = self.topic(name)
        async with topic.append_lock:
            await asyncio.sleep(self.APPEND_S)
            first = len(topic.records)
            if "producer" in query:
                epoch, number = int(query["epoch"]), int(query.get("seq-no", 0))
                if epoch < topic.epoch:
                    return 409, {"reason": "fenced"}
                if epoch == topic.epoch:
                    for known, answer in topic.answers:
                        if known == number:
                            return answer
                    if topic.number is not None and number != topic.number + 1:
                        return 409, {"reason": "seq", "seq-no": topic.number + 1}
            if "at" in query and int(query["at"]) != first:
                return 412, {"end-offset": first}
            for record in records:
                topic.add(record)
            answer = 200, {"offset": first, "end-offset": len(topic.records)}
            if "producer" in query:
                if epoch > topic.epoch:
                    topic.answers = []
                topic.epoch, topic.number = epoch, number
                topic.answers = [*topic.answers, (number, answer)][-5:]
            topic.wake()
            return answer

    async def read(self, name, query):
        topic, start = self.topic(name), int(query["from"])
        until = time.monotonic() + min(int(query.get("wait-ms", 0)), 30_000) / 1000
        await asyncio.sleep(0.002)
        while start >= len(topic.records):
            left = until - time.monotonic()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(topic.changed.wait(), left)
            except asyncio.TimeoutError:
                break
        limit = int(query.get("max-fetch-kb", 1024)) * 1024
        out, size = [struct.pack(">QQ", len(topic.records), 0)], 0
        for record in topic.records[start:]:
            if size and size + len(record) + 4 > limit:
                break
            size += len(record) + 4
            out.append(struct.pack(">I", len(record)) + record)
        return 200, b"".join(out)

    def list_newest(self, name, query):
        topic, after = self.topic(name), query.get("depends-on", "")
        keys = sorted(key for key in topic.newest if key > after)
        items = [
            {"key": key, "value": base64.b64encode(topic.newest[key][0]).decode(), "offset": topic.newest[key][1]}
            for key in keys[:500]
        ]
        return 200, {"items": items, "has-more": len(keys) > 500, "end-offset": len(topic.records)}


# --- Workers ----------------------------------------------------------------------------------------------------------


class Run:
    def __init__(self, worker, task, attempt, kind, began):
        self.worker, self.task, self.attempt, self.kind = worker, task, attempt, kind
        self.began, self.ended, self.cause = began, None, None
        self.stopping = None

    def percent(self, now):
        """Percentage done; a task that lasts shows 100 while it is at work."""
        if self.kind.get("lasting"):
            return 100 if now - self.began >= self.kind["startup_s"] else 0
        return min(99, int(100 * (now - self.began) / self.kind["run_s"]))

    def at_work_since(self):
        return self.began + self.kind.get("startup_s", 0.0)


class Worker:
    """One life of a machine. `kind_of(task, spec)` tells how a task behaves: `run_s`, or `lasting` and `startup_s`;
    `crash_s` if it crashes its worker so long after its start, and `fail_s` if it fails then."""

    HEARTBEAT_S = 1.5

    def __init__(self, fleet, machine, name, token=0):
        self.fleet, self.machine, self.name = fleet, machine, name
        self.born, self.clock_zero = unix_ms(), time.monotonic()
        self.token, self.lease_until = 0, None
        self.runs, self.closed, self.ends, self.last_end = {}, {}, [], 0
        self.changed = asyncio.Event()
        self.alive, self.sequence = True, 0
        self.server = Server(self.answer)
        self.tasks = []
        # Hooks of a case: whether the answer to a call that was carried out is lost.
        self.loses_answer = lambda path, body: False

    async def open(self, port=0):
        await self.server.open(port=port)
        self.beat()
        self.tasks = [asyncio.create_task(self.heartbeat()), asyncio.create_task(self.tick())]
        return self

    def clock_ms(self):
        return 1_000 + int((time.monotonic() - self.clock_zero) * 1000)

    def beat(self):
        self.sequence += 1
        entry = {
            "backend": self.machine.pool,
            "address": self.server.address,
            "zone": "split",
            "revision": "v1",
            "slots": 8,
            "state": "ready",
            "cold-remaining-ms": 0,
            "capacity": self.machine.capacity,
            "labels": self.machine.labels,
            "clock-ms": self.clock_ms(),
            "born": self.born,
            "seq-no": self.sequence,
        }
        self.fleet.store.put("keyed.servers", self.name, entry)

    async def heartbeat(self):
        while True:
            await asyncio.sleep(self.HEARTBEAT_S)
            self.beat()

    def note_change(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def end(self, run, cause):
        if self.runs.pop((run.task, run.attempt), None) is None:
            return
        run.ended, run.cause = time.monotonic(), cause
        self.closed[run.task] = max(self.closed.get(run.task, 0), run.attempt)
        self.last_end += 1
        self.ends.append([self.last_end, run.task, run.attempt, cause, ""])
        self.fleet.record.write(f"end {run.task} attempt={run.attempt} worker={self.name} cause={cause}")
        self.note_change()

    async def tick(self):
        while True:
            await asyncio.sleep(0.01)
            now = time.monotonic()
            if self.lease_until is not None and self.clock_ms() >= self.lease_until:
                self.lease_until = None
                for run in list(self.runs.values()):
                    self.end(run, "lapsed")
            for run in list(self.runs.values()):
                crash_s = run.kind.get("crash_s")
                if crash_s is not None and now - run.began >= crash_s:
                    self.fleet.record.write(f"crash worker={self.name} under {run.task} attempt={run.attempt}")
                    asyncio.create_task(self.machine.crash())
                    return
                if run.stopping is not None and now >= run.stopping:
                    self.end(run, "stopped")
                elif "fail_s" in run.kind and now - run.began >= run.kind["fail_s"]:
                    self.end(run, "failed")
                elif not run.kind.get("lasting") and now - run.began >= run.kind["run_s"]:
                    self.end(run, "done")

    async def leave(self, cause):
        """Ends this life at once, with all that runs."""
        self.alive = False
        for task in self.tasks:
            task.cancel()
        for run in list(self.runs.values()):
            self.runs.pop((run.task, run.attempt))
            run.ended, run.cause = time.monotonic(), cause
            self.fleet.record.write(f"end {run.task} attempt={run.attempt} worker={self.name} cause={cause}")
        await self.server.close()

    def extend_lease(self, until_ms):
        if until_ms is None:
            return
        until_ms = min(until_ms, self.clock_ms() + self.fleet.bounds["hold-max-ms"])
        if until_ms > self.clock_ms():
            self.lease_until = max(self.lease_until or 0, until_ms)

    async def answer(self, method, path, query, headers, body):
        if headers.get("expect-instance", self.name) != self.name:
            return 421, {"clock-ms": self.clock_ms()}
        wire = json.loads(body or b"{}")
        token = wire.get("fencing-token", 0)
        if token < self.token:
            return 409, {"clock-ms": self.clock_ms(), "reason": "fence"}
        self.token = token
        if path == "/api/hold":
            reply = await self.hold(wire)
        elif path == "/api/run-start":
            reply = self.start(wire)
        elif path == "/api/run-stop":
            reply = self.stop(wire)
        else:
            reply = 404, {}
        if self.loses_answer(path, wire):
            self.fleet.record.write(f"answer lost worker={self.name} call={path} {wire.get('task', '')}")
            await asyncio.sleep(30)
            return None
        return reply

    def start(self, wire):
        task, attempt, until = wire["task"], wire["attempt"], wire["until-ms"]
        reply = lambda status, **more: (status, {"clock-ms": self.clock_ms(), **more})
        if (task, attempt) in self.runs:
            self.extend_lease(until)
            return reply(200)
        if attempt <= self.closed.get(task, 0):
            self.extend_lease(until)
            return reply(409, reason="old")
        if until <= self.clock_ms():
            return reply(409, reason="late")
        self.extend_lease(until)
        run = Run(self, task, attempt, self.fleet.kind_of(task, wire["task-spec"]), time.monotonic())
        self.runs[(task, attempt)] = run
        self.fleet.history.append(run)
        self.fleet.record.write(f"start {task} attempt={attempt} worker={self.name} token={wire.get('fencing-token')}")
        return reply(200)

    def stop(self, wire):
        task, attempt = wire["task"], wire["attempt"]
        self.closed[task] = max(self.closed.get(task, 0), attempt)
        run = self.runs.get((task, attempt))
        if run is not None and run.stopping is None:
            run.stopping = time.monotonic() + self.fleet.stop_s
            self.fleet.record.write(f"stop {task} attempt={attempt} worker={self.name}")
            self.fleet.on_stop(run)
        return 200, {"clock-ms": self.clock_ms()}

    async def hold(self, wire):
        acknowledged = wire.get("acked-through", 0)
        self.ends = [end for end in self.ends if end[0] > acknowledged]
        self.extend_lease(wire.get("until-ms"))
        until = time.monotonic() + min(wire.get("wait-ms", 0), 2_000) / 1000
        while not self.ends:
            left = until - time.monotonic()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                break
        now = time.monotonic()
        running = [[run.task, run.attempt, "", run.percent(now), 0] for run in self.runs.values()]
        return 200, {"clock-ms": self.clock_ms(), "born": self.born, "running": running, "ended": self.ends[:500]}


class Machine:
    def __init__(self, fleet, name, pool, labels, capacity):
        self.fleet, self.name, self.pool, self.labels, self.capacity = fleet, name, pool, labels, capacity
        self.state, self.worker, self.lives, self.waves, self.token = "up", None, 0, {}, 0

    async def start(self):
        self.lives += 1
        self.worker = await Worker(self.fleet, self, f"i-{self.name[2:]}-{self.lives}").open()
        self.state = "up"
        self.fleet.record.write(f"worker {self.worker.name} of {self.name} joins")

    async def crash(self, back_s=3.0):
        """The worker crashes, and is back after some seconds as another life of the machine."""
        worker, self.worker, self.state = self.worker, None, "down"
        await worker.leave("crashed")
        asyncio.create_task(self.expire(worker))
        await asyncio.sleep(back_s)
        await self.start()

    async def expire(self, worker):
        """A worker that sends nothing loses its entry after three heartbeat intervals."""
        await asyncio.sleep(3 * Worker.HEARTBEAT_S)
        self.fleet.store.put("keyed.servers", worker.name, None)

    async def upkeep(self, wave):
        worker, self.worker, self.state = self.worker, None, "upkeep"
        self.waves[wave] = "begun"
        self.fleet.on_upkeep(self, [run for run in worker.runs.values()])
        await worker.leave("upkeep")
        self.fleet.store.put("keyed.servers", worker.name, None)
        await asyncio.sleep(self.fleet.bounds["maintenance-s"])
        self.waves[wave] = "done"
        await self.start()


class Fleet:
    """Machines and their workers, with the machine interface."""

    def __init__(self, store, record, bounds, kind_of, stop_s):
        self.store, self.record, self.bounds, self.kind_of, self.stop_s = store, record, bounds, kind_of, stop_s
        self.machines, self.history = {}, []
        self.on_stop = lambda run: None
        self.on_upkeep = lambda machine, runs: None
        self.orders = []
        self.server = Server(self.answer)

    async def open(self):
        await self.server.open()
        return self

    async def add(self, name, pool, labels, cpu, mem_mb=32_768, gpus=0):
        machine = Machine(self, name, pool, labels, {"cpu": cpu, "mem-mb": mem_mb, "gpus": gpus})
        self.machines[name] = machine
        await machine.start()
        return machine

    async def answer(self, method, path, query, headers, body):
        await asyncio.sleep(0.004)
        if path == "/api/machines":
            rows = [
                {
                    "machine-id": machine.name,
                    "pool": machine.pool,
                    "state": machine.state,
                    "zone": "split",
                    "labels": machine.labels,
                    "capacity": machine.capacity,
                    "id": machine.worker.name if machine.worker else None,
                }
                for machine in self.machines.values()
            ]
            return 200, {"machines": rows, "next-token": None}
        if path == "/api/machine-upkeep":
            reply = self.order(headers, json.loads(body))
            self.record.write(f"upkeep ordered by {headers.get('lease-holder')} {body.decode()} -> {reply}")
            return reply
        return 404, {}

    def order(self, headers, wire):
        machine = self.machines.get(wire["machine-id"])
        if machine is None:
            return 400, {}
        token = int(headers.get("fencing-token", 0))
        if token < machine.token:
            return 409, {"reason": "fence"}
        machine.token = token
        self.orders.append((time.monotonic(), headers.get("lease-holder"), machine.name))
        if machine.waves.get(wire["wave"]) == "done":
            return 200, {}
        if machine.state != "up":
            return 409, {"reason": "busy"}
        asyncio.create_task(machine.upkeep(wire["wave"]))
        return 200, {}

    def running(self, task=None):
        runs = [run for machine in self.machines.values() if machine.worker for run in machine.worker.runs.values()]
        return [run for run in runs if task is None or run.task == task]


# --- Entry VMs --------------------------------------------------------------------------------------------------------


def deploy_role():
    with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
        return tomllib.load(file)["roles"]["entry"]


def render(template, fields):
    """Renders the part of the template language that the project's template uses."""

    def lookup(name):
        value = fields
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
        return value

    section = re.compile(r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}", re.S)
    text = section.sub(lambda m: m[2] if lookup(m[1]) else "", template)
    return re.sub(r"\{\{([^}#/^]+)\}\}", lambda m: "" if lookup(m[1]) is None else str(lookup(m[1])), text)


def free_ports(host, count):
    """Returns different ports that are free now."""
    probes = [socket.socket() for _ in range(count)]
    for probe in probes:
        probe.bind((host, 0))
    ports = [probe.getsockname()[1] for probe in probes]
    for probe in probes:
        probe.close()
    return ports


class Vm:
    def __init__(self, deployment, number):
        self.deployment, self.name = deployment, f"edge-split-{number}"
        self.ip = f"127.{90 + os.getpid() % 100}.{os.getpid() // 100 % 250 + 1}.{number}"
        names = ("front", "ready", "link")
        ports = dict(zip(names, free_ports(self.ip, len(names))))
        self.front, self.ready = f"{self.ip}:{ports['front']}", f"{self.ip}:{ports['ready']}"
        self.file = os.path.join(deployment.folder, f"{self.name}.toml")
        self.log = os.path.join(deployment.folder, f"{self.name}.log")
        self.child = None
        fields = {
            "node-name": self.name,
            "role": "entry",
            "machine-class": "edge",
            "serves": ["edge"],
            "ip": self.ip,
            "zone": "split",
            "region": "dalmacija",
            "bind-addrs": {"front": self.front, "ready": self.ready},
            "port-range": [ports["link"], ports["link"]],
            "bootstrap": True,
            "limits": {"cpu-share": 0.25, "cores": 1, "memory-mb": 260, "max-fds": 4100, "link-mbps": 1000.0},
            "bounds": deployment.bounds,
            "commands": "rpc",
            "advice": "",
            "platform": {"address": deployment.store.server.address, "form": "log"},
            "cloud-api": {"address": deployment.fleet.server.address},
        }
        with open(os.path.join(ROOT, deployment.role["template"])) as file:
            text = render(file.read(), fields)
        with open(self.file, "w") as file:
            file.write(text)

    def start(self):
        words = self.deployment.role["run"].replace("/etc/coriandertack/node.json", self.file).split()
        words[0] = os.path.join(ROOT, words[0])
        if not os.path.exists(words[0]):
            raise CannotRun("the program of the deploy file is not built")
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["CORIANDERTACK_CONFIG"] = self.file
        with open(self.log, "ab") as log:
            self.child = subprocess.Popen(words, stdout=log, stderr=log, stdin=subprocess.DEVNULL, cwd=ROOT, env=env)

    def kill(self):
        if self.child is not None and self.child.poll() is None:
            self.child.kill()
            self.child.wait()


class Deployment:
    """A small deployment: the platform's services, workers, and entry VMs."""

    HOST, PREFIX, BACKEND = "nony24.example", "/lohu930/", "huvo11a"

    def __init__(self, record, kind_of, bounds, stop_s):
        self.record, self.bounds, self.role = record, bounds, deploy_role()
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = Store()
        self.fleet = Fleet(self.store, record, bounds, kind_of, stop_s)
        self.vms = []

    async def open(self, vms, attempts=3):
        await self.store.open()
        await self.fleet.open()
        route = {
            "name": "r-3hwrr6x", "hostname": self.HOST, "path-prefix": self.PREFIX, "route-type": "unsafe",
            "timeout-ms": 3000, "slo-ms": 3000, "priority": 1, "backend": self.BACKEND, "attempts": attempts,
            "stretch": 4.0,
        }
        service = {
            "name": self.BACKEND, "health-path": "/healthz", "max-conns": 64, "protocol": "h1", "tls": False,
            "enforces-capacity": False, "standby": False,
        }
        limits = {
            "max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000,
        }
        config = {"revision": 7, "routes": [route], "services": [service], "limits": limits}
        self.store.put("keyed.op", "config", config)
        self.vms = [Vm(self, number) for number in range(1, vms + 1)]
        for vm in self.vms:
            vm.start()

    async def wait_ready(self, limit=15.0):
        until = time.monotonic() + limit
        for vm in self.vms:
            while (await call(vm.ready, "GET", "/api/ready", limit=1.0))[0] != 200:
                if time.monotonic() > until:
                    raise CannotRun(f"{vm.name} does not become ready")
                await asyncio.sleep(0.1)

    async def request(self, vm, method, path, body=None):
        headers = {"host": self.HOST, "request-deadline": "3000"}
        status, content = await call(vm.front, method, self.PREFIX + path, headers, body)
        shown = "" if body is None else " " + json.dumps(body)
        self.record.write(f"{method} {path} at {vm.name}{shown} -> {status} {json.dumps(content)}")
        return status, content

    async def submit(self, job, body, tries=8):
        """Submits a job as a sound client does: without an answer or with 503 it asks again, at another VM."""
        for attempt in range(tries):
            vm = self.vms[attempt % len(self.vms)]
            if vm.child.poll() is not None:
                continue
            status, _ = await self.request(vm, "POST", job, body)
            if 200 <= status < 300:
                return
            if status in (400, 404):
                break
            await asyncio.sleep(0.5)
        raise CannotRun(f"job {job} was not accepted")

    async def state(self, job):
        """Asks the VMs that run for the state of a job."""
        for vm in self.vms:
            if vm.child.poll() is None:
                status, content = await self.request(vm, "GET", job)
                if status == 200:
                    return content["state"]
                if status == 410:
                    return "unknown"
        return None

    async def until(self, condition, limit, what):
        end = time.monotonic() + limit
        while not condition():
            if time.monotonic() > end:
                raise CannotRun(f"not within {limit} s: {what}")
            await asyncio.sleep(0.02)

    async def close(self):
        for vm in self.vms:
            vm.kill()
        for machine in self.fleet.machines.values():
            if machine.worker:
                await machine.worker.leave("closed")
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for vm in self.vms:
                shutil.copy(vm.log, keep)
        shutil.rmtree(self.folder, ignore_errors=True)


def play(case_folder, case, *, kind_of, bounds=None, stop_s=0.15, limit=110.0):
    """Runs `case(deployment, trouble)`, which returns the broken rule as text, or `None`. Exits as the issue asks."""
    record = Record(os.path.join(case_folder, "record.txt"))
    trouble = os.environ.get("TROUBLE") != "0"
    record.write(f"trouble={trouble}")
    all_bounds = {
        "status_s": 120, "lease-ms": 3000, "hold-max-ms": 10000, "config-apply-ms": 2000, "maintenance-s": 2.0,
        **(bounds or {}),
    }

    async def main():
        deployment = Deployment(record, kind_of, all_bounds, stop_s)
        try:
            return await asyncio.wait_for(case(deployment, trouble), limit)
        finally:
            await deployment.close()

    def interrupted(*_):
        raise CannotRun("interrupted")

    signal.signal(signal.SIGTERM, interrupted)
    try:
        broken = asyncio.run(main())
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        record.write(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        sys.exit(2)
    text = f"rule broken: {broken}" if broken else "rule held"
    record.write(text)
    print(text)
    sys.exit(1 if broken else 0)
