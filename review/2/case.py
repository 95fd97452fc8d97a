"""REFUSED: a late second copy of a 421 is taken for the answer to the same request's next send."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import standins as s

SERVICE, MODEL = "model-servers", "m0"
#: How long after the change of weights the new machine starts: its leader has announced the
#: change to the machines that it knew then.
AFTER_S = 0.5
#: Least time from then until the runner's next record.
LEFT_S = 0.2
#: Requests before the change of weights: one extra answer in these is below 3 in 100.
USUAL = 50


async def case(record, folder, trouble, routers):
    store = s.Store()
    await store.start()
    await store.put("keyed.op", "config", s.config(1, SERVICE, MODEL))
    runner = s.Runner(store, record, "i-7f3a91c2", SERVICE, MODEL)
    await runner.start()
    first = s.Router("front-hall-a-1", store, folder, record)
    routers.append(first)
    await first.start()
    await first.wait_ready()
    for number in range(USUAL):
        await s.send(first, record, f"usual-{number}", "/once/1", "key-b", MODEL,
                     "5c1e07a2:60,e4402b7d:40")
    await asyncio.sleep(5)  # Until the router leads rollouts.

    version = 1
    while True:
        version += 1
        if version > 9:
            raise s.CannotRun("the runner's record was never older than its weights for long enough")
        # The operator names new weights; the router orders the runner to load them.
        runner.loaded.clear()
        await asyncio.sleep((runner.next_beat - time.monotonic() - 0.5) % runner.HEARTBEAT_S)
        await store.put("keyed.op", f"version/{MODEL}", {"model": MODEL, "version": version})
        record.line(f"operator names version {version} of {MODEL}")
        await asyncio.wait_for(runner.loaded.wait(), 15)
        if runner.next_beat - time.monotonic() >= AFTER_S + LEFT_S:
            break
        record.line("the runner's next record comes too soon; waits for the next version")
        await asyncio.sleep(3)
    await asyncio.sleep(AFTER_S)
    # A machine is added. The runner's newest record still has the former version: it writes one
    # every 1.2 s.
    second = s.Router("front-hall-a-2", store, folder, record)
    routers.append(second)
    await second.start()
    await second.wait_ready()

    spoiled = []

    def late_extra(headers, refused):
        # A faulty runner sends a second answer, once, late.
        if trouble and not spoiled:
            spoiled.append(headers["attempt-id"])
            return refused
        return None

    runner.spoil = late_extra
    status, headers, _ = await s.send(second, record, "asked-1", "/once/1", "key-b", MODEL,
                                      "5c1e07a2:60,e4402b7d:40")
    await asyncio.sleep(0.5)
    runs = [run for run in runner.runs if run["attempt"] == "asked-1"]
    sealed = "response-seal" in headers
    record.line(f"asked-1: status {status}, seal {sealed}, runs {len(runs)}, "
                f"extra answers {len(spoiled)}")
    if not runner.refused_versions:
        raise s.CannotRun("the added machine knew the runner's weights")
    if len(runs) > 1 or (runs and not sealed and status in (408, 421, 429, 503)):
        record.line(f"REFUSED broken: asked-1 may run once at most, was answered {status} and ran "
                    f"{len(runs)} time(s)")
        return False
    return True


s.main(__file__, case)
