"""Workers start the tasks of a service that lasts, and the answers to a few of the starts are lost.

The step allows one unavailable task. Does the system end tasks that are at work?"""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "..", "lib-2"))
from standins import Deployment, play  # noqa: E402

SERVICE = "5c0e7a21d94b36f8"
COUNT, MAX_UNAVAILABLE = 60, 1
WORKERS = 12
# `answer_lost` of the site: 0.457 of the workers lose the answer to 0.172 of the requests that they ran.
AFFECTED = 5
LOST_SHARE = 0.172
LOST_FOR_S = 4.57
TROUBLE = os.environ.get("TROUBLE") != "0"


def kind_of(task, spec):
    return {"lasting": True, "startup_s": 0.25}


async def case(deployment: Deployment, trouble):
    fleet, record = deployment.fleet, deployment.record
    broken = []
    ended_by_order = set()

    def is_at_work(task):
        now = time.monotonic()
        return any(run.percent(now) >= 100 and run.stopping is None for run in fleet.running(task))

    def on_stop(run):
        now = time.monotonic()
        if run.percent(now) < 100:
            return
        away = [task for task in ended_by_order if task != run.task and not is_at_work(task)]
        ended_by_order.add(run.task)
        text = f"a stop ends {run.task}, which has been at work on {run.worker.name}; others away: {away}"
        record.write(text)
        if len(away) >= MAX_UNAVAILABLE:
            broken.append(f"AVAIL: {text}")

    fleet.on_stop = on_stop
    await deployment.open(vms=3)
    for number in range(1, WORKERS + 1):
        machine = await fleet.add(f"m-00{number:02}", deployment.BACKEND, ["a", "r1-1"], cpu=16_000)
        if trouble and number <= AFFECTED:
            calls = {"all": 0, "lost": 0}

            def loses(path, wire, calls=calls):
                calls["all"] += 1
                calls.setdefault("until", time.monotonic() + LOST_FOR_S) if path == "/api/run-start" else None
                is_lost = (
                    path == "/api/run-start"
                    and time.monotonic() < calls["until"]
                    and calls["lost"] + 1 <= LOST_SHARE * calls["all"]
                )
                calls["lost"] += is_lost
                return is_lost

            machine.worker.loses_answer = loses
    await deployment.wait_ready()
    await asyncio.sleep(4.0)
    step = {
        "count": COUNT, "cpu": 1000, "mem-mb": 512, "est-runtime-ms": 1000, "long-running": True, "image": "front",
        "max-unavailable": MAX_UNAVAILABLE,
    }
    await deployment.submit(SERVICE, {"task-spec": "service", "steps": [step]})
    await asyncio.sleep(20.0)
    at_work = sum(is_at_work(f"{SERVICE}.0.0.{index}") for index in range(COUNT))
    record.write(f"{at_work} of {COUNT} tasks are at work")
    return broken[0] if broken else None


play(os.path.dirname(os.path.abspath(__file__)), case, kind_of=kind_of, stop_s=0.9)
