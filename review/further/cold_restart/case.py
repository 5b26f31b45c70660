"""A server starts again under its name, and cold; its first heartbeat is late."""

import asyncio
import json
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent.parent))
import lib

# As the sheet of lydspor-cph-grown states them.
COLD_START_S, COLD_PER_S, OVERSHOOT, TOLERANCE = 3.0, 17.0, 1.5, 5
BOUND = COLD_PER_S * OVERSHOOT + TOLERANCE
LATE_S = 2.5       # How late the first heartbeat is.
RATE = 150         # Requests a second, for three servers.
lib.BOUNDS.update(cold_overshoot=OVERSHOOT, cold_tolerance=TOLERANCE)


class ColdServer(lib.Engine):
    def __init__(self, *arguments, **more):
        super().__init__(*arguments, **more)
        self.port, self.open, self.cold_until, self.late_s, self.ran_cold = 0, set(), 0.0, 0.0, []

    async def start(self):
        """Starts, or starts again at the same address under the same name."""
        self.extra, self.sequence = {"born": int(time.time() * 1000)}, 0
        self.server = await asyncio.start_server(self.serve_open, self.system.engine_ip, self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"{self.system.engine_ip}:{self.port}"
        self.beats = asyncio.create_task(self.beat())
        return self

    async def serve_open(self, reader, writer):
        self.open.add(writer)
        await self.serve(reader, writer)
        self.open.discard(writer)

    def crash(self):
        self.beats.cancel()
        self.server.close()
        for writer in list(self.open):
            writer.transport.abort()

    async def beat(self):
        await asyncio.sleep(self.late_s)
        while True:
            self.sequence += 1
            cold_ms = max(0, int((self.cold_until - self.system.record.now()) * 1000))
            body = {"service": self.service, "address": self.address, "zone": "accra-a",
                    "version": "v1", "slots": self.slots, "state": "ready",
                    "cold_remaining_ms": cold_ms, "sequence": self.sequence, **self.extra}
            await lib.operator_call(self.system, "PUT", f"/pollenstall/instances/{self.instance}",
                                    json.dumps(body).encode(), 3.0)
            self.system.record.write(f"heartbeat {self.sequence} of {self.name}, cold {cold_ms} ms")
            await asyncio.sleep(1.2)


async def answer(server, request, writer):
    now = server.system.record.now()
    if now < server.cold_until:
        server.ran_cold.append(now)
    await asyncio.sleep(0.02)
    await lib.plain_answer(server, request, writer)


async def load(system, statuses, stop):
    async def one(edge):
        got = await lib.call(edge.address("frontend"), "POST", "/lohu930/2f", "ficu95.example",
                             {"Attempt-Id": lib.attempt_id(), "Deadline-Ms": "3000"}, b"{}", 4.0)
        status = got if isinstance(got, str) else got.status
        statuses[status] = statuses.get(status, 0) + 1

    calls = []
    while not stop.is_set():
        calls.append(asyncio.create_task(one(system.edges[len(calls) % 2])))
        await asyncio.sleep(1 / RATE)
    await asyncio.gather(*calls)


async def case(system, record):
    servers = [await ColdServer(system, "huvo11a", f"e{at}", answer, slots=12).start()
               for at in range(3)]
    service = {**lib.service("huvo11a", 618), "cold_start_s": COLD_START_S, "cold_per_s": COLD_PER_S}
    configuration = {"version": 3, "services": [service], "limits": lib.DEFAULT_LIMITS,
                     "routes": [lib.route("r-1", "/lohu930/", "huvo11a", kind="idempotent")]}
    if await lib.configure(system, configuration) != 200 or not await lib.wait_ready(system):
        return lib.CANNOT_RUN
    await asyncio.sleep(3)
    statuses, stop = {}, asyncio.Event()
    sending = asyncio.create_task(load(system, statuses, stop))
    await asyncio.sleep(3)
    first = servers[0]
    first.crash()
    record.write(f"server {first.name} crashes")
    await asyncio.sleep(0.5)
    first.cold_until = record.now() + COLD_START_S
    first.late_s = LATE_S if lib.TROUBLE else 0.0
    await first.start()
    record.write(f"server {first.name} starts again under its name, cold for {COLD_START_S} s")
    await asyncio.sleep(6)
    stop.set()
    await sending
    times = first.ran_cold
    most = max((sum(1 for at in times if begin <= at < begin + 1) for begin in times), default=0)
    record.write(f"answers: {statuses}")
    record.write(f"requests while cold: {len(times)}, at most {most} in one second, allowed {BOUND}")
    return lib.BROKEN if most > BOUND else lib.HELD


lib.run_case(HERE, case)
