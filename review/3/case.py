"""A deployment that is to bear the loss of one zone loses the disks of one zone after an
acknowledgement."""

import asyncio
import json
import pathlib
import shutil
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import lib

# Five machines of the core: two in accra-a, two in accra-b, one in accra-c.
TOLERANCE = {"machines": 0, "zones": 1, "regions": 0}
ZONE = "accra-a"
DOWN_S = 1.0


async def read_back(system, record, seconds):
    """The operator reads the configuration from all nodes again and again."""
    end = record.now() + seconds
    results = []
    while record.now() < end:
        for core in system.cores:
            answer = await lib.operator_call(system, "GET", "/pollenstall/configuration", None, 2.0)
            version = json.loads(answer.body)["version"] if answer and answer.status == 200 else None
            results.append(version)
        await asyncio.sleep(0.2)
    record.write(f"operator reads back: {[(one, results.count(one)) for one in set(results)]}")
    return results


async def case(system, record):
    engine = await lib.Engine(system, "huvo11a", "e0", lib.plain_answer).start()
    configuration = {"version": 3, "routes": [lib.route("r-1", "/lohu930/", "huvo11a")],
                     "services": [lib.service("huvo11a")], "limits": lib.DEFAULT_LIMITS}
    if await lib.configure(system, configuration) != 200 or not await lib.wait_ready(system):
        return lib.CANNOT_RUN
    await asyncio.sleep(10)
    configuration["version"] = 8
    if await lib.configure(system, configuration) != 200:
        return lib.CANNOT_RUN
    if lib.TROUBLE:
        lost = [core for core in system.cores if core.fields(False)["zone"] == ZONE]
        for core in lost:
            core.signal(signal.SIGKILL)
            core.process.wait()
            shutil.rmtree(core.fields(False)["data_directory"])
            record.write(f"{core.name} of {ZONE} loses its disk")
        await asyncio.sleep(DOWN_S)
        for core in lost:
            core.start(bootstrap=False)
    # The machines are back and have had recovery_s.
    await asyncio.sleep(lib.BOUNDS["recovery_s"] + lib.BOUNDS["catch_up_s"])
    results = await read_back(system, record, 10.0)
    name = lib.attempt_id()
    answer = await lib.call(system.edges[0].address("frontend"), "POST", "/lohu930/2f",
                            "ficu95.example", {"Attempt-Id": name, "Deadline-Ms": "3000"}, b"{}", 4)
    record.write(f"client: {name} answered {answer if isinstance(answer, str) else answer.status}")
    record.write(f"processes that run: "
                 f"{[core.name for core in system.machines() if core.alive()]}")
    held = results and all(version == 8 for version in results)
    return lib.HELD if held else lib.BROKEN


lib.run_case(HERE, case, fault_tolerance=TOLERANCE)
