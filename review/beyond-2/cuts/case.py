"""The link to the only machine with accelerators fails again and again for some seconds. Its worker runs on throughout.

The job has one task that lasts, and no run of it ends `failed`. Is it shown as `failed`?"""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "..", "lib-2"))
from standins import Deployment, play  # noqa: E402

JOB = "5c0e7a21d94b36f8"
TASK = f"{JOB}.0.0.0"
CUT_S, CUTS = 5.5, 10


def kind_of(task, spec):
    return {"lasting": True, "startup_s": 0.5}


async def case(deployment: Deployment, trouble):
    fleet, record = deployment.fleet, deployment.record
    await deployment.open(vms=3)
    for number in range(1, 6):
        await fleet.add(f"m-000{number}", deployment.BACKEND, ["a", "r1-1"], cpu=16_000)
    large = await fleet.add("m-0006", deployment.BACKEND, ["b", "r1-2"], cpu=16_000, gpus=4)
    await deployment.wait_ready()
    await asyncio.sleep(4.0)
    step = {
        "count": 1, "cpu": 1000, "mem-mb": 512, "gpus": 1, "est-runtime-ms": 1000, "long-running": True,
        "image": "model",
    }
    await deployment.submit(JOB, {"task-spec": "text", "steps": [step]})
    port = int(large.worker.server.address.rsplit(":", 1)[1])
    for number in range(CUTS):
        is_at_work = lambda: any(run.percent(time.monotonic()) >= 100 for run in fleet.running(TASK))
        end = time.monotonic() + 20.0
        while not is_at_work() and time.monotonic() < end:
            await asyncio.sleep(0.05)
        await asyncio.sleep(1.0)
        state = await deployment.state(JOB)
        if state == "failed":
            causes = [run.cause for run in fleet.history if run.task == TASK]
            return f"LOST: the job is shown as failed; its runs ended {causes}, and no worker has crashed"
        if trouble:
            record.write(f"cut {number + 1}: {large.worker.name} is cut off from all VMs, its connections refused")
            await large.worker.server.close()
            await asyncio.sleep(CUT_S)
            await large.worker.server.open(port=port)
            record.write(f"cut {number + 1} has healed")
        else:
            await asyncio.sleep(CUT_S)
    return None


play(os.path.dirname(os.path.abspath(__file__)), case, kind_of=kind_of, stop_s=0.9, limit=116.0)
