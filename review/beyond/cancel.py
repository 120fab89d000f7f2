"""A job starts seconds after its cancelling was acknowledged, because a VM goes on trying to store its submission."""

import asyncio
import pathlib
import sys
import time

sys.dont_write_bytecode = True
HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

from cluster import run_case  # noqa: E402

JOBS = 20
DOWN_S = 7.0
CANCEL_MS = 3_000


async def case(cluster, trouble):
    cluster.publish_config({"plain": {}})
    for index in range(4):
        await cluster.add_worker(f"w-{index}", labels=("a", f"r1-{index}"))
    await cluster.start_vms(3)
    await asyncio.sleep(3)
    leader = cluster.leader()
    others = [vm for vm in cluster.vms if vm is not leader]
    acknowledged = {}

    async def caller(number):
        """Hands a job in. If it doesn't learn whether it was accepted, it gives the job up, and cancels it."""
        await asyncio.sleep(number * 0.1)
        name = f"{0xD000 + number:016x}"
        job = {"task-spec": '{"ms":500}', "steps": [{"count": 1, "cpu": 1000, "mem-mb": 256, "est-runtime-ms": 500}]}
        answer = await cluster.call(leader, "POST", f"/plain/{name}", job)
        if answer and answer[0] in (200, 429, 503, 404):
            return
        for attempt in range(3):
            answer = await cluster.call(others[attempt % 2], "DELETE", f"/plain/{name}")
            if answer and (answer[0] // 100 == 2 or answer[0] == 410):
                acknowledged[name] = time.monotonic()
                return
            await asyncio.sleep(0.5)

    if trouble:
        cluster.store.endpoints[leader.name].mode = "silent"
        cluster.note("store_silent", vm=leader.name)
    callers = [asyncio.ensure_future(caller(number)) for number in range(JOBS)]
    await asyncio.sleep(DOWN_S)
    cluster.store.endpoints[leader.name].mode = None
    cluster.note("store_answers", vm=leader.name)
    await asyncio.gather(*callers)
    await asyncio.sleep(12)
    breaks = []
    for name, at in acknowledged.items():
        for run in cluster.started(name):
            late_ms = (run["began"] - at) * 1000
            if late_ms > CANCEL_MS:
                breaks.append(f"UNASKED: {run['task']} started {late_ms:.0f} ms after its cancelling was acknowledged: {cluster.describe(run)}")
    return breaks


run_case(case, HERE / "cancel.txt")
