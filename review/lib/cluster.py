"""Stand-ins of the platform and of workers, callers, and the entry VMs as child processes, for the scripts of the cases.

All stand-ins run in this process, on loopback addresses and on the real clock. They follow PROTOCOL.md, and behave like a
sound platform unless a case says otherwise. The entry VMs are started with the command of the deploy file.
"""

import asyncio
import base64
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "target/release/coriandertackd"

# Bounds of the site files, in milliseconds.
HEARTBEAT_MS = 1_500
HOLD_MAX_MS = 10_000
STOP_MS = 200
APPEND_MS = 4
ANSWER_MS = 4
MAX_ENDS = 500
MAX_RECORD_BYTES = 262_144
MAX_CALL_BYTES = 2_097_152
SERVICE = "vans"
HOST = "vans.example"


class CannotRun(Exception):
    """The case could not run; this says nothing about the rule."""


class Endpoint:
    """An HTTP/1.1 server on a free loopback port, whose connections can be made to fall silent or to be refused with 503."""

    def __init__(self, handler):
        self.handler = handler
        self.mode = None
        self.requests = 0
        self.tasks = set()
        self.address = None

    async def start(self):
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", 0, backlog=256, limit=1 << 22)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self

    async def _accept(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            await self._serve(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            self.tasks.discard(task)
            writer.close()

    async def _serve(self, reader, writer):
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            lines = head.split("\r\n")
            method, target, _ = lines[0].split(" ", 2)
            headers = {}
            for line in lines[1:]:
                name, _, value = line.partition(":")
                headers[name.strip().lower()] = value.strip()
            body = await reader.readexactly(int(headers.get("content-length", 0) or 0))
            self.requests += 1
            reply = None
            if self.mode == "busy":
                reply = (503, b"{}")
            elif self.mode is None:
                path, _, query = target.partition("?")
                query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
                reply = await self.handler(method, path, query, headers, body)
            if reply is None or self.mode == "silent":
                # A connection on which a response was lost returns nothing further.
                while await reader.read(1 << 16):
                    pass
                return
            status, content = reply
            kind = "application/octet-stream" if isinstance(content, bytearray) else "application/json"
            writer.write(
                f"HTTP/1.1 {status} X\r\ncontent-type: {kind}\r\ncontent-length: {len(content)}\r\n\r\n".encode()
                + bytes(content)
            )
            await writer.drain()

    def stop(self):
        self.server.close()
        for task in list(self.tasks):
            task.cancel()


def fence_of(query):
    return {"epoch": query["epoch"]} if "epoch" in query else {}


def reply_json(status, value):
    return status, json.dumps(value).encode()


class Topic:
    def __init__(self):
        self.records = []
        self.newest = {}
        self.producers = {}
        self.lock = asyncio.Lock()
        self.changed = asyncio.Event()

    def push(self, record):
        offset = len(self.records)
        self.records.append(record)
        size = record[0]
        key, value = record[1 : 1 + size].decode(), record[1 + size :]
        if value:
            self.newest[key] = (offset, value)
        else:
            self.newest.pop(key, None)

    def announce(self):
        self.changed.set()
        self.changed = asyncio.Event()


class Store:
    """The platform's store. Each VM has an endpoint of its own, so that the store can turn single VMs away."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.topics = {}
        self.endpoints = {}
        # Number of appends that were refused because they or a record of theirs are larger than the store allows.
        self.too_large = 0
        # Name of the VM whose fenced append succeeded last: the one that leads.
        self.last_leader, self.last_epoch = None, 0
        # How many times as long as usual the answers take.
        self.slowness = 1
        # Calls of VMs, each with its time: reads of all workers' entries, and appends under a condition.
        self.listings, self.conditional = [], []

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    async def endpoint(self, vm):
        async def handler(method, path, query, headers, body):
            return await self.handle(vm, path, query, body)

        self.endpoints[vm] = await Endpoint(handler).start()
        return self.endpoints[vm]

    def put(self, topic, key, value):
        key = key.encode()
        topic = self.topic(topic)
        topic.push(bytes([len(key)]) + key + value)
        topic.announce()

    async def handle(self, vm, path, query, body):
        topic = self.topic(query["topic"])
        if path == "/api/log-newest" and query["topic"] == "keyed.servers":
            self.listings.append((time.monotonic(), vm))
        if path == "/api/log-append" and "at" in query:
            self.conditional.append((time.monotonic(), vm))
        await asyncio.sleep(ANSWER_MS * self.slowness / 1000)
        if path == "/api/log-append":
            return await self.append(vm, topic, query, body)
        if path == "/api/log-read":
            return await self.read(topic, query)
        if path == "/api/log-newest":
            return self.read_newest(topic, query)
        return reply_json(404, {})

    async def append(self, vm, topic, query, body):
        async with topic.lock:
            await asyncio.sleep(APPEND_MS * (self.slowness - 1) / 1000)
            producer = None
            if "producer" in query:
                epoch, number = int(query["epoch"]), int(query["seq-no"])
                producer = topic.producers.setdefault(query["producer"], {"epoch": 0, "last": None, "recent": []})
                if epoch < producer["epoch"]:
                    return reply_json(409, {"reason": "fenced"})
                if epoch == producer["epoch"] and producer["last"] is not None:
                    for known, reply in producer["recent"]:
                        if known == number:
                            return reply
                    if number != producer["last"] + 1:
                        return reply_json(409, {"reason": "seq", "seq-no": producer["last"] + 1})
            end = len(topic.records)
            if "at" in query and int(query["at"]) != end:
                return reply_json(412, {"end-offset": end})
            records, at = [], 0
            while at + 4 <= len(body):
                size = int.from_bytes(body[at : at + 4], "big")
                records.append(body[at + 4 : at + 4 + size])
                at += 4 + size
            # Records are appended all or nothing.
            largest = max(map(len, records), default=0)
            if largest > MAX_RECORD_BYTES or len(body) > MAX_CALL_BYTES:
                self.too_large += 1
                self.cluster.note("append_too_large", vm=vm, largest=largest, call=len(body), **fence_of(query))
                return reply_json(413, {})
            for record in records:
                topic.push(record)
            reply = reply_json(200, {"offset": end, "end-offset": len(topic.records)})
            if producer is not None:
                if epoch > producer["epoch"]:
                    producer["recent"] = []
                producer["epoch"], producer["last"] = epoch, number
                producer["recent"] = (producer["recent"] + [(number, reply)])[-5:]
                if query["topic"] == "keyed.progress":
                    self.last_leader, self.last_epoch = vm, epoch
            topic.announce()
            return reply

    async def read(self, topic, query):
        start = int(query["from"])
        until = time.monotonic() + int(query.get("wait-ms", 0)) / 1000
        limit = int(query.get("max-fetch-kb", 1024)) * 1024
        while len(topic.records) <= start and time.monotonic() < until:
            changed = topic.changed
            try:
                await asyncio.wait_for(changed.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                break
        out = bytearray(len(topic.records).to_bytes(8, "big") + (0).to_bytes(8, "big"))
        for record in topic.records[start:]:
            if len(out) > 16 and len(out) + 4 + len(record) > limit:
                break
            out += len(record).to_bytes(4, "big") + record
        return 200, out

    def read_newest(self, topic, query):
        after = query.get("depends-on")
        keys = sorted(key for key in topic.newest if after is None or key > after)
        items = []
        for key in keys[:500]:
            offset, value = topic.newest[key]
            items.append({"key": key, "value": base64.b64encode(value).decode(), "offset": offset})
        more = len(keys) > len(items)
        return reply_json(200, {"items": items, "has-more": more, "end-offset": len(topic.records)})


class Advice:
    """The advice service. `allows(step, worker)` says whether a worker may run a step, which does not change."""

    def __init__(self, cluster, allows, decision_ms, period_ms, validity_ms):
        self.cluster = cluster
        self.allows = allows
        self.decision_ms, self.period_ms, self.validity_ms = decision_ms, period_ms, validity_ms

    async def start(self):
        self.endpoint = await Endpoint(self.handle).start()
        return self

    async def handle(self, method, path, query, headers, body):
        call = json.loads(body)
        await asyncio.sleep((self.decision_ms + self.period_ms * len(call["workers"])) / 1000)
        issued = int(time.monotonic() * 1000)
        rows = [[w, f"{call['step']}/{w}/{issued}"] for w in call["workers"] if self.allows(call["step"], w)]
        self.cluster.note("advice", step=call["step"], named=len(call["workers"]), eligible=[row[0] for row in rows])
        return reply_json(200, {"eligible": rows, "validity-ms": self.validity_ms})

    def is_valid(self, ticket, step, worker):
        try:
            for_step, for_worker, issued = ticket.split("/")
        except (AttributeError, ValueError):
            return False
        age = time.monotonic() * 1000 - int(issued)
        return (for_step, for_worker) == (step, worker) and age <= self.validity_ms


class Worker:
    """A worker. The payload of a job is a JSON object: `ms` is how long each of its tasks runs, `spread_ms` how much longer
    for each index, `lasts` whether they run until they are stopped."""

    def __init__(self, cluster, name, cpu, mem_mb, labels):
        self.cluster, self.name = cluster, name
        self.cpu, self.mem_mb, self.labels = cpu, mem_mb, labels
        self.born = int(time.time() * 1000)
        self.origin = time.monotonic()
        self.token = 0
        self.lease_end = 0.0
        self.running = {}
        self.closed = {}
        self.ended = []
        self.last_end = 0
        self.beats = 0
        self.changed = asyncio.Event()
        self.holds = 0
        self.last_hold = 0.0
        self.gone = False

    async def start(self):
        self.endpoint = await Endpoint(self.handle).start()
        self.jobs = [asyncio.ensure_future(self.beat()), asyncio.ensure_future(self.watch_lease())]
        return self

    def clock_ms(self):
        return int((time.monotonic() - self.origin) * 1000)

    async def beat(self):
        while True:
            self.beats += 1
            entry = {
                "backend": SERVICE, "address": self.endpoint.address, "zone": "split", "revision": "v1", "slots": 8,
                "state": "ready", "cold-remaining-ms": 0,
                "capacity": {"cpu": self.cpu, "mem-mb": self.mem_mb, "gpus": 0}, "labels": self.labels,
                "clock-ms": self.clock_ms(), "born": self.born, "seq-no": self.beats,
            }
            self.cluster.store.put("keyed.servers", self.name, json.dumps(entry).encode())
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    async def watch_lease(self):
        while True:
            await asyncio.sleep(0.02)
            if time.monotonic() >= self.lease_end:
                for run in self.ended:
                    run["lapsed_since"] = True
                for run in list(self.running.values()):
                    self.end(run, "lapsed")

    def announce(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def end(self, run, how):
        key = (run["task"], run["attempt"])
        if self.running.pop(key, None) is None:
            return
        self.last_end += 1
        run.update(ended=time.monotonic(), how=how, number=self.last_end)
        self.closed[run["task"]] = max(self.closed.get(run["task"], 0), run["attempt"])
        self.ended.append(run)
        self.cluster.note("ended", task=run["task"], attempt=run["attempt"], worker=self.name, how=how)
        self.announce()

    def crash(self):
        """The worker's machine loses power: what runs ends without a trace, and nothing answers."""
        self.endpoint.mode = "silent"
        self.jobs[0].cancel()
        for run in self.running.values():
            run.update(ended=time.monotonic(), how="crashed")
        self.running = {}
        self.cluster.note("worker_crashed", worker=self.name)

    def start_again(self):
        """The worker starts again under the id that it had. It holds and knows nothing of before."""
        self.born, self.origin = int(time.time() * 1000), time.monotonic()
        self.token, self.lease_end, self.last_end, self.beats = 0, 0.0, 0, 0
        self.closed, self.ended = {}, []
        self.endpoint.mode = None
        self.jobs[0] = asyncio.ensure_future(self.beat())
        self.cluster.note("worker_started_again", worker=self.name, born=self.born)

    def lose(self):
        """The worker is gone for good: what it ran ends without a trace, and its entry lapses after three heartbeats."""
        self.endpoint.stop()
        for job in self.jobs:
            job.cancel()
        for run in self.running.values():
            run.update(ended=time.monotonic(), how="lost")
        self.running, self.gone = {}, True
        self.cluster.note("worker_lost", worker=self.name)
        lapse = lambda: self.cluster.store.put("keyed.servers", self.name, b"")
        asyncio.get_running_loop().call_later(3 * HEARTBEAT_MS / 1000, lapse)

    def extend(self, until_ms):
        if until_ms is not None:
            until = min(self.origin + until_ms / 1000, time.monotonic() + HOLD_MAX_MS / 1000)
            self.lease_end = max(self.lease_end, until)

    async def handle(self, method, path, query, headers, body):
        call = json.loads(body)
        refuse = lambda reason: reply_json(409, {"clock-ms": self.clock_ms(), "reason": reason})
        if headers.get("expect-instance", self.name) != self.name:
            return reply_json(421, {"clock-ms": self.clock_ms()})
        token = call.get("fencing-token", 0)
        if token < self.token:
            return refuse("fence")
        self.token = token
        if path == "/api/run-start":
            return self.run_start(call, refuse)
        if path == "/api/run-stop":
            return self.run_stop(call)
        if path == "/api/hold":
            return await self.hold(call)
        return reply_json(404, {})

    def run_start(self, call, refuse):
        task, attempt = call["task"], call["attempt"]
        ok = reply_json(200, {"clock-ms": self.clock_ms()})
        if (task, attempt) in self.running:
            return ok
        job, occurrence, step, index = task.split(".")
        self_until = call["until-ms"]
        if attempt <= self.closed.get(task, 0):
            self.extend(self_until)
            return refuse("old")
        if self_until <= self.clock_ms():
            return refuse("late")
        advice = self.cluster.advice
        if advice and job in self.cluster.advised and not advice.is_valid(call.get("ticket"), f"{job}.{occurrence}.{step}", self.name):
            return refuse("ticket")
        self.extend(self_until)
        payload = json.loads(call["task-spec"])
        run = {
            "task": task, "attempt": attempt, "worker": self.name, "began": time.monotonic(), "ended": None, "how": None,
            "noted": False, "noted_at": None, "lapsed_since": False, "payload": payload,
        }
        run["ms"] = payload.get("ms", 0) + payload.get("spread_ms", 0) * int(index)
        self.running[(task, attempt)] = run
        self.cluster.runs.append(run)
        self.cluster.note("started", task=task, attempt=attempt, worker=self.name, token=call.get("fencing-token"))
        if not payload.get("lasts"):
            asyncio.get_running_loop().call_later(run["ms"] / 1000, self.end, run, "done")
        return ok

    def run_stop(self, call):
        task, attempt = call["task"], call["attempt"]
        self.cluster.note("stop", task=task, attempt=attempt, worker=self.name)
        run = self.running.get((task, attempt))
        if run is None:
            self.closed[task] = max(self.closed.get(task, 0), attempt)
        else:
            asyncio.get_running_loop().call_later(STOP_MS / 2000, self.end, run, "stopped")
        return reply_json(200, {"clock-ms": self.clock_ms()})

    async def hold(self, call):
        self.holds += 1
        self.last_hold = time.monotonic()
        self.extend(call.get("until-ms"))
        acked = call.get("acked-through", 0)
        for run in self.ended:
            if run["number"] <= acked:
                # An end counts as taken note of unless the lease lapsed in between.
                run["noted"], run["noted_at"] = not run["lapsed_since"], time.monotonic()
        self.ended = [run for run in self.ended if run["number"] > acked]
        until = time.monotonic() + call.get("wait-ms", 0) / 1000
        while not self.ended and time.monotonic() < until:
            try:
                await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                break
        now = time.monotonic()
        percent = lambda run: 100 if run["payload"].get("lasts") else min(99, int((now - run["began"]) * 1e5 / max(run["ms"], 1)))
        running = [[run["task"], run["attempt"], "", percent(run), 0] for run in self.running.values()]
        ended = [[run["number"], run["task"], run["attempt"], run["how"], ""] for run in self.ended[:MAX_ENDS]]
        return reply_json(200, {"clock-ms": self.clock_ms(), "born": self.born, "running": running, "ended": ended})


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class Vm:
    """An entry VM: a process of the project, started with the command of the deploy file."""

    def __init__(self, cluster, name):
        self.cluster, self.name = cluster, name
        # A loopback address of its own, so that no outgoing connection takes a port while the VM is down.
        ip = f"127.78.{os.getpid() % 250 + 1}.{len(cluster.vms) + 1}"
        self.callers, self.ready, self.link = (f"{ip}:{free_port(ip)}" for _ in range(3))
        self.child = None

    async def prepare(self):
        store = await self.cluster.store.endpoint(self.name)
        advice = self.cluster.advice.endpoint.address if self.cluster.advice else ""
        self.settings = self.cluster.folder / f"{self.name}.toml"
        self.settings.write_text(
            f'[vm]\nname = "{self.name}"\nzone = "split"\ncallers = "{self.callers}"\nready = "{self.ready}"\n'
            f'link = "{self.link}"\ncores = 0.25\n\n[platform]\nstore = "{store.address}"\nadvice = "{advice}"\n'
            'machines = ""\n\n[bounds]\nstatus_s = 120\nlease_ms = 3000\n\n[logging]\nlevel = "info"\n'
        )

    def start(self):
        if self.child and self.child.poll() is None:
            return
        log = open(self.cluster.folder / f"{self.name}.log", "ab")
        self.child = subprocess.Popen(
            [str(PROGRAM), "--platform", "--settings", str(self.settings)], stdin=subprocess.DEVNULL, stdout=log, stderr=log
        )
        self.cluster.note("vm_started", vm=self.name)

    def signal(self, number):
        self.cluster.note("vm_signalled", vm=self.name, signal=signal.Signals(number).name)
        self.child.send_signal(number)
        if number == signal.SIGKILL:
            self.child.wait()

    def stop(self):
        if self.child and self.child.poll() is None:
            self.child.kill()
            self.child.wait()


class Cluster:
    def __init__(self):
        self.began = time.monotonic()
        self.lines = []
        self.runs = []
        self.advised = set()
        # Prefix of tasks whose starts and ends are not written to the record, because there are too many.
        self.quiet = None
        self.advice = None
        self.store = Store(self)
        self.workers, self.vms = [], []
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))

    def note(self, event, **fields):
        if self.quiet and str(fields.get("task", fields.get("step", ""))).startswith(self.quiet):
            return
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self.lines.append(f"{time.monotonic() - self.began:8.3f} {event} {text}")

    def publish_config(self, routes, revision=2):
        rows = []
        for name, options in routes.items():
            row = {
                "name": name, "hostname": HOST, "path-prefix": f"/{name}/", "route-type": "unsafe", "timeout-ms": 3000,
                "slo-ms": 1000, "priority": 1, "backend": SERVICE, "attempts": 3, "stretch": 2.0,
            }
            row.update(options)
            rows.append(row)
        config = {
            "revision": revision, "routes": rows,
            "services": [{
                "name": SERVICE, "health-path": "/healthz", "max-conns": 64, "protocol": "h1", "tls": False,
                "enforces-capacity": False, "standby": False,
            }],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
        }
        self.store.put("keyed.op", "config", json.dumps(config).encode())

    async def add_worker(self, name, cpu=16000, mem_mb=32768, labels=("a", "r1-1")):
        self.workers.append(await Worker(self, name, cpu, mem_mb, list(labels)).start())
        return self.workers[-1]

    async def start_vms(self, count):
        for index in range(count):
            vm = Vm(self, f"vm-{index + 1}")
            await vm.prepare()
            self.vms.append(vm)
        for vm in self.vms:
            vm.start()
        await self.wait("all VMs serve", 20, self.all_serve)

    async def all_serve(self):
        for vm in self.vms:
            answer = await self.call(vm, "GET", "/plain/", quiet=True)
            if answer is None or answer[0] != 200:
                return False
        return self.store.last_leader is not None

    async def wait(self, what, limit_s, holds):
        until = time.monotonic() + limit_s
        while True:
            result = holds()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return result
            if time.monotonic() > until:
                raise CannotRun(f"{what}: not within {limit_s} s")
            await asyncio.sleep(0.02)

    def leader(self):
        return next(vm for vm in self.vms if vm.name == self.store.last_leader)

    async def call(self, vm, method, path, body=None, deadline_ms=3000, quiet=False):
        """Sends a request. Returns the status and body, or None if there was no answer before the deadline."""
        content = b"" if body is None else json.dumps(body).encode()
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nContent-Type: application/json\r\n"
            f"Request-Deadline: {deadline_ms}\r\nContent-Length: {len(content)}\r\nConnection: close\r\n\r\n"
        )

        async def exchange():
            host, port = vm.callers.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(head.encode() + content)
                await writer.drain()
                answer = await reader.read()
            finally:
                writer.close()
            head_part, _, rest = answer.partition(b"\r\n\r\n")
            return int(head_part.split(b" ", 2)[1]), rest.decode()

        try:
            answer = await asyncio.wait_for(exchange(), deadline_ms / 1000)
        except (OSError, asyncio.TimeoutError, IndexError, ValueError):
            answer = None
        if not quiet:
            shown = "none" if answer is None else f"{answer[0]} {answer[1]}"
            self.note("call", vm=vm.name, request=f"{method} {path}", answer=shown)
        return answer

    async def state(self, vm, path):
        answer = await self.call(vm, "GET", path)
        return json.loads(answer[1])["state"] if answer and answer[0] == 200 else None

    def started(self, prefix):
        return [run for run in self.runs if run["task"].startswith(prefix)]

    def twice(self):
        """Returns the breaks of TWICE: two runs of a task at the same time, or a start after a run has ended `done`, if that
        end was taken note of then or later."""
        breaks, by_task = [], {}
        for run in self.runs:
            by_task.setdefault(run["task"], []).append(run)
        for task, runs in by_task.items():
            runs.sort(key=lambda run: run["began"])
            for at, run in enumerate(runs):
                for earlier in runs[:at]:
                    if earlier["ended"] is None or earlier["ended"] > run["began"]:
                        breaks.append(("two runs at the same time", task, earlier, run))
                    elif earlier["how"] == "done" and earlier["noted"] and not earlier["payload"].get("lasts"):
                        breaks.append(("a start after an end `done` that was taken note of", task, earlier, run))
        return breaks

    def describe(self, run):
        at = lambda moment: "-" if moment is None else f"{moment - self.began:.3f}"
        return f"run {run['attempt']} on {run['worker']} from {at(run['began'])} to {at(run['ended'])} {run['how']}"

    def close(self, record):
        for vm in self.vms:
            vm.stop()
        for name in ("KEEP_LOGS",):
            if os.environ.get(name):
                shutil.copytree(self.folder, os.environ[name], dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)
        pathlib.Path(record).write_text("\n".join(self.lines) + "\n")


def run_case(case, record, limit_s=110):
    """Runs `case(cluster, trouble)`, which returns a list of breaks. Exits with 1 if there are any, 0 if there are none, and
    2 if the case could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    if not PROGRAM.exists():
        print("the program is not built")
        sys.exit(2)

    async def main():
        cluster = Cluster()
        try:
            breaks = await asyncio.wait_for(case(cluster, trouble), limit_s)
            for line in breaks:
                cluster.note("BROKEN", what=line)
                print("BROKEN", line)
            cluster.note("result", breaks=len(breaks), trouble=trouble)
            return 1 if breaks else 0
        except (CannotRun, asyncio.TimeoutError) as error:
            cluster.note("cannot_run", reason=repr(error))
            print("cannot run:", repr(error))
            return 2
        finally:
            cluster.close(record)

    def interrupt(number, frame):
        raise KeyboardInterrupt

    signal.signal(signal.SIGTERM, interrupt)
    code = 2
    try:
        code = asyncio.run(main())
    finally:
        sys.stdout.flush()
        # Tasks of the stand-ins may still wait for a peer.
        os._exit(code)
