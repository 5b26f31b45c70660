"""Heartbeats of another writer, for a service that isn't named, state the addresses of engines."""

import asyncio
import json
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent.parent))
import lib

NAMED, OTHER = "/lohu930/", "/puxa403/"
STRAY_TIMES, STRAY_PAUSE_S = 5, 0.5
# Long after the last stray heartbeat: ten times the interval of the engines' own.
AFTER_S = 12.0
REQUESTS = 10


async def send(system, record, edge, prefix):
    name = lib.attempt_id()
    answer = await lib.call(edge.address("frontend"), "POST", prefix + "2f", "ficu95.example",
                            {"Attempt-Id": name, "Deadline-Ms": "3000"}, b"{}", 4.0)
    status = answer if isinstance(answer, str) else answer.status
    record.write(f"client: {prefix} {name} answered {status}")
    return status


async def stray(system, record, engine, number):
    """One heartbeat of another writer. Its service is unknown, and the field born is missing."""
    body = {"service": "old-name", "address": engine.address, "zone": "accra-a", "version": "v0",
            "slots": 16, "state": "ready", "cold_remaining_ms": 0, "sequence": number}
    answer = await lib.operator_call(system, "PUT", f"/pollenstall/instances/agent-{engine.name}",
                                     json.dumps(body).encode(), 3.0)
    record.write(f"another writer: heartbeat {number} of agent-{engine.name} with the address of "
                 f"{engine.name} and the service old-name, answered "
                 f"{answer.status if answer else 'none'}")


async def case(system, record):
    engines = []
    for at in range(6):
        engine = lib.Engine(system, "wuno96b" if at % 2 else "huvo11a", f"e{at}", lib.plain_answer,
                            extra={"born": int(time.time() * 1000)})
        engines.append(await engine.start())
    configuration = {"version": 3, "routes": [lib.route("r-1", NAMED, "huvo11a"),
                                              lib.route("r-2", OTHER, "wuno96b")],
                     "services": [lib.service("huvo11a"), lib.service("wuno96b")],
                     "limits": lib.DEFAULT_LIMITS}
    if await lib.configure(system, configuration) != 200 or not await lib.wait_ready(system):
        return lib.CANNOT_RUN
    await asyncio.sleep(3)
    for prefix in (NAMED, OTHER):
        if await send(system, record, system.edges[0], prefix) != 200:
            return lib.CANNOT_RUN
    if lib.TROUBLE:
        for number in range(1, STRAY_TIMES + 1):
            for engine in engines:
                if engine.service == "huvo11a":
                    await stray(system, record, engine, number)
            await asyncio.sleep(STRAY_PAUSE_S)
    beats = {engine.name: engine.acknowledged for engine in engines}
    await asyncio.sleep(AFTER_S)
    served = {NAMED: 0, OTHER: 0}
    for at in range(REQUESTS):
        for prefix in served:
            status = await send(system, record, system.edges[at % 2], prefix)
            served[prefix] += 1 if status == 200 else 0
    for engine in engines:
        record.write(f"engine {engine.name} of {engine.service}: "
                     f"{engine.acknowledged - beats[engine.name]} of its own heartbeats were "
                     f"acknowledged since")
    record.write(f"served of {REQUESTS} requests each: {served}")
    share = sum(served.values()) / (2 * REQUESTS)
    return lib.BROKEN if served[NAMED] / REQUESTS < share / 4 else lib.HELD


lib.run_case(HERE, case)
