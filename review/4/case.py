"""Takes all keys away by a configuration with an empty list of tenants, and sends requests."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import lib


def configuration(version, tenants):
    return {"version": version, "routes": [lib.route("r-1", "/lohu930/", "huvo11a")],
            "services": [lib.service("huvo11a")], "limits": lib.DEFAULT_LIMITS, "tenants": tenants}


async def send(system, record, edge, key):
    name = lib.attempt_id()
    headers = {"Attempt-Id": name, "Deadline-Ms": "3000"}
    if key:
        headers["Authorization"] = f"Bearer {key}"
    record.write(f"client sends {name} to {edge.name} with key {key}")
    answer = await lib.call(edge.address("frontend"), "POST", "/lohu930/2f", "ficu95.example",
                            headers, b"{}", 5.0)
    status = answer if isinstance(answer, str) else answer.status
    record.write(f"client: {name} answered {status}")
    return name, status


async def case(system, record):
    engines = [await lib.Engine(system, "huvo11a", f"e{at}", lib.plain_answer).start()
               for at in range(2)]
    tenants = [{"name": "hule930", "api_keys": ["n2ctnfzs989anu6wsjnb", "anfqasnmgkcuyj8pjbvk"],
                "priority": 1}]
    if await lib.configure(system, configuration(3, tenants)) != 200:
        return lib.CANNOT_RUN
    if not await lib.wait_ready(system):
        return lib.CANNOT_RUN
    await asyncio.sleep(3)
    for edge in system.edges:
        _, good = await send(system, record, edge, "n2ctnfzs989anu6wsjnb")
        _, unknown = await send(system, record, edge, "never-held-by-anyone")
        if good != 200 or unknown != 401:
            record.write("the system does not serve as it should before the change")
            return lib.CANNOT_RUN
    if lib.TROUBLE:
        tenants = []  # The only tenant leaves: both of its keys are taken away.
    if await lib.configure(system, configuration(8, tenants)) != 200:
        return lib.CANNOT_RUN
    await asyncio.sleep(lib.BOUNDS["revocation_ms"] / 1000 + 1)
    revoked, unheld = [], []
    for edge in system.edges:
        name, _ = await send(system, record, edge, "n2ctnfzs989anu6wsjnb")
        revoked.append(name)
        name, _ = await send(system, record, edge, "never-held-by-anyone")
        unheld.append(name)
    await asyncio.sleep(0.5)
    ran = {request["id"] for engine in engines for request in engine.ran}
    bad_revoked = [name for name in revoked if name in ran] if lib.TROUBLE else []
    bad_unheld = [name for name in unheld if name in ran]
    record.write(f"ran with a key that was taken away over {lib.BOUNDS['revocation_ms']} ms before: "
                 f"{bad_revoked}")
    record.write(f"ran with a key that no configuration ever held: {bad_unheld}")
    if not lib.TROUBLE and any(name not in ran for name in revoked):
        return lib.CANNOT_RUN
    return lib.BROKEN if bad_revoked or bad_unheld else lib.HELD


lib.run_case(HERE, case)
