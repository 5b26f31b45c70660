"""Many users come at once, each with a body of the largest size that the configuration allows.

The stand-in for the platform kills a process that uses more than memory_mb, and starts it again.
"""

import asyncio
import os
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent.parent))
import lib

BODY = b"x" * lib.DEFAULT_LIMITS["max_body_bytes"]
USUAL = 28                 # requests in WINDOW_S without the disruption
BURST_X = 2.8              # the site's largest burst of one kind of request
WINDOW_S = 4.0             # 78 bodies of 4 MiB in 4 s are 82 MB/s; the link carries 125 MB/s
WORK_S = 5.0               # the time that the engine works on a request


async def slow_answer(engine, request, writer):
    if len(request["body"]) > 1000:
        await asyncio.sleep(WORK_S)
    await lib.plain_answer(engine, request, writer)


async def watch_memory(edge, record, kills):
    """The platform: kills the process above memory_mb and restarts it after a short delay."""
    limit = lib.LIMITS["edge"]["memory_mb"] * 1024 * 1024 / 1e6
    peak = 0
    while True:
        await asyncio.sleep(0.02)
        used = edge.rss_mb()
        if used > peak + 20:
            peak = used
            record.write(f"{edge.name} uses {used:.0f} MB")
        if used > limit:
            record.write(f"{edge.name} uses {used:.0f} MB of {limit:.0f} MB: the platform kills it")
            edge.signal(signal.SIGKILL)
            edge.process.wait()
            kills.append(record.now())
            await asyncio.sleep(0.5)
            edge.start()


async def client(system, record, edge, at, results):
    """A kept connection: a small request, answered, then the large one."""
    ip, port = edge.address("frontend").rsplit(":", 1)
    reader, writer = await asyncio.open_connection(ip, int(port), limit=1 << 22)
    name = ""
    try:
        for body in (b"{}", BODY):
            if body is BODY:
                await asyncio.sleep(at)
            name = lib.attempt_id()
            writer.write(lib.request_head("POST", "/lohu930/2f", "ficu95.example",
                                          {"Attempt-Id": name, "Deadline-Ms": "10000"}, len(body)))
            writer.write(body)
            await writer.drain()
            async with asyncio.timeout(11):
                answer = await lib.read_answer(reader)
        results[name] = answer.status if answer.whole else "cut"
    except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
        results[name] = f"closed without an answer ({type(error).__name__})"
    finally:
        writer.close()


async def case(system, record):
    engines = [await lib.Engine(system, "huvo11a", f"e{at}", slow_answer, slots=48).start()
               for at in range(3)]
    configuration = {"version": 3, "routes": [lib.route("r-1", "/lohu930/", "huvo11a")],
                     "services": [lib.service("huvo11a")], "limits": lib.DEFAULT_LIMITS}
    if await lib.configure(system, configuration) != 200 or not await lib.wait_ready(system):
        return lib.CANNOT_RUN
    await asyncio.sleep(3)
    edge, kills, results = system.edges[0], [], {}
    watch = asyncio.create_task(watch_memory(edge, record, kills))
    count = int(USUAL * (BURST_X if lib.TROUBLE else 1))
    record.write(f"{count} clients send {len(BODY)} bytes each in {WINDOW_S} s to {edge.name}")
    await asyncio.gather(*(client(system, record, edge, 1 + WINDOW_S * at / count, results)
                           for at in range(count)))
    watch.cancel()
    ran = {request["id"] for engine in engines for request in engine.ran}
    for name, result in results.items():
        record.write(f"client: {name} {result}{', was passed on to an engine' if name in ran else ''}")
    lost = [name for name, result in results.items() if name in ran and not isinstance(result, int)]
    record.write(f"killed for memory: {len(kills)}; passed on to a sound engine and closed without "
                 f"an answer: {len(lost)} of {count}")
    if not lib.TROUBLE and any(result != 200 for result in results.values()):
        return lib.CANNOT_RUN
    return lib.BROKEN if len(lost) > 3 else lib.HELD


lib.run_case(HERE, case)
