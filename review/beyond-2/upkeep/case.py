"""A wave takes two machines, whose workers each run a task of a service that lasts. Clients cancel batch jobs meanwhile.

The step allows one unavailable task. While the first task is away because of the wave, the second may not be ended."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "..", "lib-2"))
from standins import Deployment, play  # noqa: E402

SERVICE = "5c0e7a21d94b36f8"
MAX_UNAVAILABLE = 1
TASKS = [f"{SERVICE}.0.0.{index}" for index in range(2)]
BATCH = [f"00000000000000{number:02x}" for number in range(1, 76)]
# The share of the clients that cancel: `give_up` has 0.4 at most in the site file.
CANCELLED = BATCH[:30]
AT_ONCE = 5


def kind_of(task, spec):
    if task.startswith(SERVICE):
        return {"lasting": True, "startup_s": 1.0}
    return {"run_s": 40.0}


class Availability:
    """Checks AVAIL as orders arrive."""

    NOTICE_S = 4.5

    def __init__(self, deployment):
        self.deployment, self.broken = deployment, None
        # When a stop, move or upkeep ended each task; it is away until it is at work again.
        self.ended_by_order = {}

    def at_work(self, task, now):
        runs = self.deployment.fleet.running(task)
        return any(run.percent(now) >= 100 and run.stopping is None for run in runs)

    def away(self, task, now):
        """Whether an order ended the task, or it has not been at work for `notice-ms`. Only the former occurs here."""
        return task in self.ended_by_order and not self.at_work(task, now)

    def end(self, runs, order):
        now = time.monotonic()
        for run in runs:
            if run.task not in TASKS or run.percent(now) < 100:
                continue
            others = [task for task in TASKS if task != run.task and self.away(task, now)]
            self.ended_by_order[run.task] = now
            text = f"{order} ends {run.task}, which is at work on {run.worker.name}; others away: {others}"
            self.deployment.record.write(text)
            if len(others) >= MAX_UNAVAILABLE:
                self.broken = self.broken or f"AVAIL: {text}"


async def case(deployment: Deployment, trouble):
    record, fleet = deployment.record, deployment.fleet
    availability = Availability(deployment)
    fleet.on_stop = lambda run: availability.end([run], "a stop")
    fleet.on_upkeep = lambda machine, runs: availability.end(
        [run for run in runs if run.stopping is None], f"the upkeep of {machine.name}"
    )
    await deployment.open(vms=3)
    pool = deployment.BACKEND
    first = await fleet.add("m-0001", pool, ["a", "r1-1"], cpu=8_000)
    second = await fleet.add("m-0002", pool, ["b", "r1-1"], cpu=8_000)
    await fleet.add("m-0003", pool, ["c", "r1-2"], cpu=8_000)
    await deployment.wait_ready()
    await asyncio.sleep(4.0)
    lasting = {
        "count": 2, "cpu": 6000, "mem-mb": 1024, "est-runtime-ms": 1000, "constraints": "r1-1", "long-running": True,
        "image": "front", "max-unavailable": MAX_UNAVAILABLE,
    }
    await deployment.submit(SERVICE, {"task-spec": "service", "steps": [lasting]})
    batch = {"count": 1, "cpu": 20, "mem-mb": 16, "est-runtime-ms": 40000, "constraints": "b"}
    for job in BATCH:
        await deployment.submit(job, {"task-spec": "batch", "steps": [batch]})
    # One batch job on the first machine, too, so that the wave has to wait for it as long as its time allows.
    other = {**batch, "constraints": "a"}
    await deployment.submit("00000000000000ff", {"task-spec": "batch", "steps": [other]})
    await deployment.until(
        lambda: all(availability.at_work(task, time.monotonic()) for task in TASKS)
        and len(second.worker.runs) == 1 + len(BATCH) and len(first.worker.runs) == 2,
        15.0, "all tasks are at work",
    )
    await asyncio.sleep(1.0)
    duration_s = 10
    wave = {"wave": 1, "machines": [first.name, second.name], "duration-s": duration_s, "cap": 2}
    deployment.store.put("keyed.op", "wave/1", wave)
    published = time.monotonic()
    record.write(f"operator writes op/wave/1 {wave}")
    if trouble:
        # Clients cancel some of their jobs while the wave nears its end.
        await asyncio.sleep(duration_s - 3.5)
        for first_job in range(0, len(CANCELLED), AT_ONCE):
            jobs = enumerate(CANCELLED[first_job : first_job + AT_ONCE])
            await asyncio.gather(
                *(deployment.request(deployment.vms[at % len(deployment.vms)], "DELETE", job) for at, job in jobs)
            )
            await asyncio.sleep(0.9)
    # The wave may be late; what counts is how its orders end the tasks of the service.
    await asyncio.sleep(max(0.0, published + 25.0 - time.monotonic()))
    record.write(f"status/wave/1: {deployment.store.value('keyed.status', 'wave/1')}")
    return availability.broken


play(os.path.dirname(os.path.abspath(__file__)), case, kind_of=kind_of, stop_s=0.8)
