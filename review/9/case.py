"""Callers turn to a new page; all servers of its service crash once while its first requests run.
Later all routers are killed and started again."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
import standins as s

HOST = "site.example"
RUNNERS, HOSTS, RATE, WORK = 7, 3, 20, 0.7
RECOVERY = 15.0  # recoveryS


def config():
    page = {"name": "lookup", "host": HOST, "pathPrefix": "/bookings/", "kind": "idempotent", "timeoutMs": 1500,
            "targetLatencyMs": 300, "priority": 2, "service": "booking", "maxAttempts": 2, "public": False,
            "sticky": False, "resumable": False}
    return {"version": 3, "routes": [page],
            "services": [{"name": "booking", "healthPath": "/health", "maxConns": 510}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": [{"name": "acme", "apiKeys": ["key-a"]}]}


async def case(record, folder, trouble, routers):
    store = s.Store(record)
    await store.start()
    store.put("keyed.op", "config", config())

    async def start_runners(generation):
        runners = [s.Runner(record, store, "booking", "p-%d-%d" % (generation, n), slots=6) for n in range(RUNNERS)]
        for runner in runners:
            runner.work = WORK
            await runner.start()
        return runners

    runners = await start_runners(1)
    port = s.free_port()
    for number in range(1, HOSTS + 1):
        routers.append(s.Router(record, folder, number, store.addr, port))
        await routers[-1].start()
    for router in routers:
        await router.ready()
    results, tasks, page, number = [], [], "/bookings/week-1", 0

    async def ask(number, page):
        sent, router, ident = s.now(), routers[number % HOSTS], "r-%d" % number
        request = s.encode("GET %s HTTP/1.1" % page, [("Host", HOST), ("Attempt-Id", ident), ("Deadline-Ms", "1500"),
                                                      ("Authorization", "Bearer key-a")])
        request = request.replace(b"Content-Length: 0\r\n", b"")
        try:
            reply = await s.call(router.ip, router.port, request, 3)
            status, good = reply.status, reply.status == 200 and reply.get("Response-Seal") is not None
            why = "" if good else reply.body[:60]
        except (OSError, EOFError, asyncio.TimeoutError) as error:
            status, good, why = type(error).__name__, False, ""
        results.append((sent, page, good))
        record("client sends", ident, page, "at %.3f" % sent, "to", router.name, "and gets", status, why)

    async def traffic(seconds):
        nonlocal number
        end = s.now() + seconds
        while s.now() < end:
            tasks.append(asyncio.ensure_future(ask(number, page)))
            number += 1
            await asyncio.sleep(1 / RATE)

    await traffic(10)
    page = "/bookings/week-2"
    await traffic(0.5)
    if trouble:
        for runner in runners:
            runner.crash()  # all servers of the service, once
        await traffic(5)
        await start_runners(2)
        await traffic(2)
        fault = s.now()
        for router in routers:
            router.signal(signal.SIGKILL)
            await router.process.wait()
        await traffic(1.2)
        for router in routers:
            await router.start()
        await asyncio.gather(traffic(1), *[router.ready() for router in routers])
    else:
        await traffic(7)
        fault = s.now()
    back = s.now()
    record("the machines are back")
    await traffic(RECOVERY + 5)
    await asyncio.gather(*tasks)
    before = [good for sent, _, good in results if sent < fault]
    after = [good for sent, _, good in results if sent > back + RECOVERY]
    record("served before the final fault:", sum(before), "of", len(before),
           "later than recoveryS after it:", sum(after), "of", len(after))
    if sum(before) * 4 < len(before) or len(after) < 50:
        raise RuntimeError("too little was served or sent to judge")
    return ["RECOVER: %d of %d requests served later than recoveryS after the machines were back, %d of %d before the "
            "final fault" % (sum(after), len(after), sum(before), len(before))] if sum(after) * 4 < len(after) else []


# Without the disruption if TROUBLE=0.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

s.main(os.path.dirname(os.path.abspath(__file__)), case, TROUBLE)
