"""An engine crashes in the middle of a stream whose event ids begin with 0; the stream is resumed."""

import asyncio
import pathlib
import re
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent.parent))
import lib

EVENTS = 6
crashed = set()


async def stream(engine, request, writer):
    """Sends the events after Last-Event-Id. The first run of each request ends with the engine's
    crash after its first event, if the disruption is on."""
    last = request["headers"].get("last-event-id")
    writer.write(engine.head(request, "Content-Type: text/event-stream\r\n"
                                      "Transfer-Encoding: chunked\r\n"))
    for number in range(0 if last is None else int(last) + 1, EVENTS):
        event = f"id: {number}\ndata: piece {number} of {request['id']}\n\n".encode()
        writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
        await writer.drain()
        await asyncio.sleep(0.1)
        if lib.TROUBLE and request["id"] not in crashed:
            crashed.add(request["id"])
            engine.system.record.write(f"engine {engine.name} crashes after event {number}")
            await engine.stop()  # It sends no more heartbeats and takes no connections.
            writer.transport.abort()
            return
    writer.write(b"0\r\n\r\n")


async def case(system, record):
    for at in range(6):
        await lib.Engine(system, "huvo11a", f"e{at}", stream).start()
    configuration = {
        "version": 3, "services": [lib.service("huvo11a")], "limits": lib.DEFAULT_LIMITS,
        "routes": [lib.route("r-1", "/lohu930/", "huvo11a", "streaming", stream_resumption=True,
                             gap_aim_ms=250, sticky_sessions=True)]}
    if await lib.configure(system, configuration) != 200 or not await lib.wait_ready(system):
        return lib.CANNOT_RUN
    await asyncio.sleep(15)  # The retry budget counts as used for a window after a start.
    name = lib.attempt_id()
    record.write(f"client sends {name}")
    answer = await lib.call(system.edges[0].address("frontend"), "POST", "/lohu930/2f",
                            "ficu95.example",
                            {"Attempt-Id": name, "Deadline-Ms": "8000", "Model-Name": "m",
                             "Token-Usage": "100,10"}, b"{}", 9.0)
    if isinstance(answer, str):
        record.write(f"client: {name} {answer}")
        return lib.CANNOT_RUN
    pieces = re.findall(r"data: (.*)", answer.body.decode())
    record.write(f"client: {name} answered {answer.status}, "
                 f"{'complete' if answer.whole else 'cut'}: {pieces}")
    twice = len(pieces) != len(set(pieces))
    missing = answer.whole and len(set(pieces)) < EVENTS
    record.write(f"a piece comes twice: {twice}; one is missing in a complete answer: {missing}")
    if not answer.whole and not twice:
        return lib.CANNOT_RUN  # The stream was not resumed.
    return lib.BROKEN if twice or missing else lib.HELD


lib.run_case(HERE, case)
