"""The start of a task is held up on its way to a worker, which crashes and is back under its id before the start arrives.

A proxy stands before each worker. It holds one start, and hands it on some seconds later."""

import asyncio
import json
import os
import sys
import random
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "..", "lib-2"))
from standins import CannotRun, Deployment, Machine, Server, Worker, play  # noqa: E402

JOB = "5c0e7a21d94b36f8"
COUNT, WORKERS = 24, 8
# `applied_late`: 2 to 12 s later, a share of 0.055 of the orders. One start of the 24 is held (0.042).
HELD_S = 8.0
# `srv_crash`: a share of 0.14 of the workers, for 4.5 s. One of eight (0.125) is down for 3 s.
CRASH_AFTER_S, DOWN_S = 1.5, 3.0
RUN_S = 0.6


def kind_of(task, spec):
    return {"run_s": 0.3 + 0.9 * random.Random(task).random()}


class Hold:
    """The one start that a proxy holds."""

    wanted = False
    machine = None
    count = 0
    forgotten = []


class ProxiedMachine(Machine):
    """A machine whose worker is reached through a proxy, and starts again under its id at the same address."""

    proxy = None

    async def start(self):
        if self.proxy is None:
            self.proxy = await Server(self.forward).open()
        self.lives += 1
        worker = Worker(self.fleet, self, f"i-{self.name[2:]}")
        worker.server.address = self.proxy.address
        worker.beat()
        worker.tasks = [asyncio.create_task(worker.heartbeat()), asyncio.create_task(worker.tick())]
        self.worker, self.state = worker, "up"
        self.fleet.record.write(f"worker {worker.name} of {self.name} joins, born {worker.born}")

    async def forward(self, method, path, query, headers, body):
        wire = json.loads(body or b"{}")
        if path == "/api/hold" and Hold.wanted and wire.get("acked-through", 0) >= 200 and (
            Hold.machine is None or (Hold.machine is self and Hold.count < 4)
        ):
            Hold.machine = self
            Hold.count += 1
            self.fleet.record.write(f"the proxy of {self.name} holds the list request {wire}")
            await asyncio.sleep(HELD_S + 0.37 * Hold.count)
            if self.worker is not None:
                before = [end[1:4] for end in self.worker.ends if end[0] <= wire["acked-through"]]
                await self.worker.answer(method, path, query, headers, body)
                self.fleet.record.write(f"the proxy hands it on to {self.worker.name}, born {self.worker.born}; unlisted ends {before}")
                for task, attempt, how in before:
                    Hold.forgotten.append((task, attempt, how))
            return None
        if self.worker is None:
            return None
        life = self.worker
        reply = await life.answer(method, path, query, headers, body)
        return reply if life.alive else None

    async def crash_and_return(self):
        """The worker crashes and is back under its id. It is silent for less than its entry lasts."""
        self.fleet.record.write(f"the worker of {self.name} crashes")
        worker, self.worker, self.state = self.worker, None, "down"
        await worker.leave("crashed")
        for writer in list(self.proxy.writers):
            writer.transport.abort()
        await asyncio.sleep(DOWN_S)
        await self.start()


async def case(deployment: Deployment, trouble):
    fleet, record = deployment.fleet, deployment.record
    await deployment.open(vms=3)
    for number in range(1, WORKERS + 1):
        machine = ProxiedMachine(
            fleet, f"m-000{number}", deployment.BACKEND, ["a", "r1-1"], {"cpu": 16_000, "mem-mb": 32_768, "gpus": 0}
        )
        fleet.machines[machine.name] = machine
        await machine.start()
    await deployment.wait_ready()
    # The workers have been up for a while.
    await asyncio.sleep(11.0)
    step = {"count": 100, "cpu": 1000, "mem-mb": 128, "est-runtime-ms": 600}
    async def traffic():
        for n in range(60):
            await deployment.submit(f"{n + 1:016x}", {"task-spec": "text", "steps": [step]})
            await asyncio.sleep(0.45)
    t = asyncio.create_task(traffic())
    await asyncio.sleep(3.0)
    Hold.wanted = trouble
    if trouble:
        await deployment.until(lambda: Hold.machine is not None, 20.0, "a list request is held")
        await asyncio.sleep(CRASH_AFTER_S)
        await Hold.machine.crash_and_return()
    await t
    await asyncio.sleep(6.0)
    record.write(f"forgotten {Hold.forgotten}")
    for task, attempt, how in Hold.forgotten:
        again = [r for r in fleet.history if r.task == task and r.attempt > attempt]
        if how == "done" and again:
            return f"TWICE: {task} ended done, was noted, and was started again as attempt {again[0].attempt}"
    return None


def await_done(fleet):
    done = {run.task for run in fleet.history if run.cause == "done"}
    return len(done) == COUNT


play(os.path.dirname(os.path.abspath(__file__)), case, kind_of=kind_of, stop_s=0.9)
