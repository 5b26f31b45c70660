"""The engine that answers a prompt of several engines goes dark; memory stays set aside at another."""

import asyncio
import json
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent.parent))
import lib

ENGINES = 18
DARK_AFTER_S = 0.5
PROMPT, ANSWER, EVENTS = 400000, 816, 16
# The service's figures as gsvas-accra states them.
FIGURES = {"slots": 16, "kv_capacity_tokens": 315000, "kv_bytes": 163840, "link_mbps": 400000.0,
           "stride": 51, "model_list": [{"name": "m"}], "step_ms": 0.85, "per_seq_ms": 0.00425,
           "context_per_k": 0.00285, "read_per_s": 177000.0, "pairs_per_m": 0.184, "chunk": 2048,
           "report_lag_ms": 200.0, "loads_per_s": 0.0, "loads_at_once": 8, "delays": [],
           "usual": {"prompt": 11104, "answer": 1622}, "hop_ms": 0.05}


class ModelEngine(lib.Engine):
    """An engine with memory that can be set aside. A dark one neither reads nor sends any more."""

    def __init__(self, *arguments, **more):
        super().__init__(*arguments, **more)
        self.dark = asyncio.Event()
        self.held = {}  # instance_id -> (tokens, end of its time)
        self.spans = {}  # instance_id -> [begin, end] of its being set aside

    async def beat(self):
        beats = asyncio.create_task(super().beat())
        await self.dark.wait()
        beats.cancel()

    def order(self, body):
        name, now = body["instance_id"], self.system.record.now()
        self.expire(now)
        if body["operation"] == "release":
            if name in self.held:
                self.spans[name][1] = now
                del self.held[name]
                self.system.record.write(f"engine {self.name}: {name} is released")
            return 200
        used = sum(tokens for other, (tokens, _) in self.held.items() if other != name)
        if body["token_count"] > FIGURES["kv_capacity_tokens"]:
            return 400
        if used + body["token_count"] > FIGURES["kv_capacity_tokens"]:
            return 409
        if name not in self.held:
            self.system.record.write(f"engine {self.name}: {body['token_count']} tokens are set "
                                     f"aside as {name} for {body['hold_ms']} ms")
            self.spans.setdefault(name, [now, now])
        self.held[name] = (body["token_count"], now + body["hold_ms"] / 1000)
        return 200

    def expire(self, now):
        for name, (_, end) in list(self.held.items()):
            if end <= now:
                self.spans[name][1] = end
                del self.held[name]
                self.system.record.write(f"engine {self.name}: {name} has run out")

    async def serve(self, reader, writer):
        try:
            while True:
                head = await self.unless_dark(reader.readuntil(b"\r\n\r\n"))
                lines = head.decode("latin-1").split("\r\n")
                method, path, _ = lines[0].split(" ")
                headers = {name.strip().lower(): value.strip() for name, _, value in
                           (line.partition(":") for line in lines[1:] if ":" in line)}
                body = await self.unless_dark(
                    reader.readexactly(int(headers.get("content-length", "0"))))
                request = {"method": method, "path": path, "headers": headers, "body": body,
                           "id": headers.get("attempt-id", "")}
                if path == "/pollenstall/order":
                    status = self.order(json.loads(body))
                    writer.write(f"HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n"
                                 "Content-Length: 2\r\n\r\n{}".encode())
                elif headers.get("expected-instance", self.instance) != self.instance:
                    writer.write(f"HTTP/1.1 421 -\r\nAttempt-Id: {request['id']}\r\n"
                                 "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode())
                else:
                    self.ran.append(request)
                    self.system.record.write(
                        f"engine {self.name} begins {request['id']} with the helpers "
                        f"{headers.get('helper-instances', 'none')}")
                    await self.unless_dark(self.run(self, request, writer))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            writer.close()

    async def unless_dark(self, work):
        """Completes the work; once the engine is dark, never."""
        task = asyncio.ensure_future(work)
        dark = asyncio.create_task(self.dark.wait())
        await asyncio.wait({task, dark}, return_when=asyncio.FIRST_COMPLETED)
        dark.cancel()
        if self.dark.is_set():
            task.cancel()
            await asyncio.Event().wait()
        return task.result()


async def answer(engine, request, writer):
    """Reads the prompt for a second, then writes the events."""
    await asyncio.sleep(1.0)
    writer.write(engine.head(request, "Content-Type: text/event-stream\r\n"
                                      "Transfer-Encoding: chunked\r\n"))
    first = int(request["headers"].get("last-event-id", "0")) + 1
    for number in range(first, EVENTS + 1):
        event = f"id: {number}\ndata: piece {number} of {request['id']}\n\n".encode()
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
        await asyncio.sleep(0.1)
    writer.write(b"0\r\n\r\n")


async def case(system, record):
    engines = [await ModelEngine(system, "huvo11a", f"e{at}", answer).start()
               for at in range(ENGINES)]
    service = lib.service("huvo11a", 434)
    service["engine"] = FIGURES
    route = lib.route("r-1", "/lohu930/", "huvo11a", kind="streaming", timeout_ms=15000,
                      target_latency_ms=3000, stream_resumption=True, sticky_sessions=True,
                      gap_aim_ms=1000)
    configuration = {"version": 3, "routes": [route], "services": [service],
                     "limits": lib.DEFAULT_LIMITS}
    if await lib.configure(system, configuration) != 200 or not await lib.wait_ready(system):
        return lib.CANNOT_RUN
    await asyncio.sleep(3)
    name = lib.attempt_id()
    headers = {"Attempt-Id": name, "Deadline-Ms": "15000", "Model-Name": "m",
               "Token-Usage": f"{PROMPT},{ANSWER}",
               "Prompt-Prefix": f"5c1e07a2:40,91bd3f06:{PROMPT - 40}"}
    record.write(f"client sends {name}, {PROMPT} tokens")
    client = asyncio.create_task(lib.call(system.edges[0].address("frontend"), "POST",
                                          "/lohu930/2f", "ficu95.example", headers, b"{}", 16.0))
    first = None
    while first is None and not client.done():
        await asyncio.sleep(0.01)
        first = next((engine for engine in engines if engine.ran), None)
    if first is None or "/" not in first.ran[0]["headers"].get("helper-instances", ""):
        record.write("no engine was asked to answer with memory that is set aside at another")
        return lib.CANNOT_RUN
    await asyncio.sleep(DARK_AFTER_S)
    dark_at = None
    if lib.TROUBLE:
        dark_at = record.now()
        first.dark.set()
        record.write(f"engine {first.name} goes dark")
    got = await client
    record.write(f"client: {name} {got if isinstance(got, str) else (got.status, got.whole)}")
    await asyncio.sleep(6)
    for engine in engines:
        if not engine.dark.is_set():
            engine.expire(record.now())
    release = lib.BOUNDS["release_ms"] / 1000
    stall = lib.BOUNDS["stall_ms"] / 1000
    broken = False
    # Until when a request used it: at the dark engine until it went dark, and where work depends
    # on that engine until stall_ms later; otherwise until the client has its answer.
    used_until = dark_at + stall if lib.TROUBLE else None
    tickets = first.ran[0]["headers"]["helper-instances"]
    for engine in engines:
        for ticket, (begin, end) in engine.spans.items():
            if ticket not in tickets or engine is first:
                continue
            if ticket in engine.held:
                end = record.now()
            past = end - used_until if used_until else 0.0
            record.write(f"engine {engine.name}: {ticket} was set aside from {begin:.2f} to "
                         f"{end:.2f}, {past:.2f} s after the last request that used it had ended")
            broken = broken or past > release
    return lib.BROKEN if broken else lib.HELD


lib.run_case(HERE, case)
