"""Stand-ins and process control for the review scripts.

Starts the programs of the deploy file on loopback addresses, with the settings templates of the
deploy folder filled in as DEPLOY.md describes. Engines, clients and the operator are small stand-ins
that follow PROTOCOL.md. Everything that is sent, answered and run goes to record.txt.
"""

import asyncio
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, CANNOT_RUN = 0, 1, 2


# ---- The record. -------------------------------------------------------------------------------

class Record:
    def __init__(self, path):
        self.file = open(path, "w")
        self.start = time.monotonic()
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        with self.lock:
            self.file.write(f"{self.now():8.3f} s  {text}\n")
            self.file.flush()


# ---- Settings. ---------------------------------------------------------------------------------

def lookup(fields, name):
    value = fields
    for part in name.split("."):
        if isinstance(value, list) and part.isdigit() and int(part) < len(value):
            value = value[int(part)]
        elif isinstance(value, dict) and part in value:
            value = value[part]
        else:
            return None
    return value


def as_text(value):
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(as_text(item) for item in value)
    if isinstance(value, dict):
        return json.dumps(value)
    return str(value)


def render(text, fields):
    """Fills in a template: {{a.b}}, {{#a}}..{{/a}}, {{^a}}..{{/a}}, {{.}} and {{,}}."""
    section = re.compile(r"\{\{([#^])([^}]+)\}\}(.*?)\{\{/\2\}\}", re.S)

    def expand(match):
        kind, name, body = match.groups()
        value = lookup(fields, name)
        present = value is not None and value is not False and value != ""
        if kind == "^":
            return "" if present else render(body, fields)
        if not present:
            return ""
        if isinstance(value, list):
            parts = []
            for at, item in enumerate(value):
                part = body.replace("{{.}}", as_text(item))
                part = part.replace("{{,}}", "," if at + 1 < len(value) else "")
                parts.append(render(part, fields))
            return "".join(parts)
        return render(body, fields)

    text = section.sub(expand, text)
    return re.sub(r"\{\{([^}]+)\}\}", lambda match: as_text(lookup(fields, match.group(1))), text)


# The bounds and machine limits of a small deployment (gsvas-accra), as its sheet states them.
BOUNDS = {"seed_lag_s": 3, "address_reuse_s": 2, "connectivity_window_ms": 3000, "ack_ms": 4000,
          "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200,
          "config_apply_ms": 2000, "rollback_slack_ms": 250, "outer_bound_ms": 5000,
          "strict_revocation": True, "revocation_ms": 5000, "retry_budget_ratio": 0.2,
          "budget_window_s": 10, "retry_budget_extra": 104, "recovery_s": 12, "pass_ms": 120,
          "retry_after_s": 0, "stall_ms": 1500, "max_hold_ms": 20000, "release_ms": 4000,
          "idle_max_ms": 9000}
LIMITS = {"edge": {"cpu_fraction": 0.25, "cpu_cores": 1, "memory_mb": 260,
                   "file_descriptors": 4100, "link_mbps": 1000.0, "disk_mb": 0},
          "core": {"cpu_fraction": 0.3, "cpu_cores": 1, "memory_mb": 256,
                   "file_descriptors": 4096, "link_mbps": 170.0, "disk_mb": 128}}


# ---- The system's processes. --------------------------------------------------------------------

class Machine:
    def __init__(self, system, role, machine_class, index, ip):
        self.system, self.role, self.machine_class, self.index, self.ip = (
            system, role, machine_class, index, ip)
        self.name = f"{machine_class}-{index + 1}"
        self.process = None

    def address(self, port):
        return f"{self.ip}:{self.system.ports[port]}"

    def fields(self, bootstrap):
        system = self.system
        fields = {"node_name": self.name, "machine_class": self.machine_class,
                  "ip_address": self.ip, "zone": f"accra-{'abc'[self.index % 3]}",
                  "region": "accra",
                  "internal_port_range": [system.ports["inner0"], system.ports["inner1"]],
                  "seed_nodes": [core.address("control_plane") for core in system.cores[:3]],
                  "is_bootstrap": bootstrap, "heartbeat_interval_ms": 1200,
                  "limits": LIMITS[self.machine_class],
                  "fault_tolerance": system.fault_tolerance,
                  "bounds": BOUNDS}
        if self.machine_class == "edge":
            fields["listen_addresses"] = {"frontend": self.address("frontend"),
                                          "ready": self.address("ready")}
        else:
            fields["listen_addresses"] = {"control_plane": self.address("control_plane")}
            fields["data_directory"] = str(system.folder / f"{self.name}.data")
        return fields

    def start(self, bootstrap=False):
        role = self.system.deploy["roles"][self.role]
        template = (ROOT / role["template"]).read_text()
        settings = self.system.folder / f"{self.name}.toml"
        settings.write_text(render(template, self.fields(bootstrap)))
        words = [word.replace("/etc/pollenstall/node.toml", str(settings))
                 for word in role["run"].split(" ")]
        words[0] = str(ROOT / words[0])
        log = open(self.system.folder / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(words, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log,
                                        stderr=log, env={"PATH": os.environ.get("PATH", ""),
                                                         "HOME": str(self.system.folder)})
        log.close()
        self.system.record.write(f"{self.name} starts as {self.role}")

    def signal(self, number):
        self.system.record.write(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def alive(self):
        return self.process is not None and self.process.poll() is None

    def rss_mb(self):
        """Resident memory, as the platform's memory limit counts it."""
        with open(f"/proc/{self.process.pid}/statm") as file:
            return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


class System:
    def __init__(self, record, cores=5, edges=2):
        self.record = record
        self.deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.wire = tomllib.loads((ROOT / "deploy/wire.toml").read_text()).get("calls", {})
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.fault_tolerance = {"machines": cores // 2, "zones": 0, "regions": 0}
        # All machines have the same ports, so each has a loopback address of its own.
        base = 1 + os.getpid() % 60000
        net = f"127.{100 + base // 250 % 100}.{base % 250}"
        self.ports = {}
        held = []
        for name in ("inner0", "inner1", "frontend", "ready", "control_plane"):
            one = socket.socket()
            one.bind((f"{net}.10", 0))
            held.append(one)
            self.ports[name] = one.getsockname()[1]
        for one in held:
            one.close()
        self.cores = [Machine(self, "control", "core", at, f"{net}.{10 + at}")
                      for at in range(cores)]
        self.edges = [Machine(self, "entry", "edge", at, f"{net}.{30 + at}")
                      for at in range(edges)]
        self.engine_ip = f"{net}.60"

    def machines(self):
        return self.edges + self.cores

    def start(self):
        for machine in self.cores:
            machine.start(bootstrap=True)
        for machine in self.edges:
            machine.start(bootstrap=True)

    def stop(self):
        for machine in self.machines():
            if machine.alive():
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
        for machine in self.machines():
            if machine.process:
                machine.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    def readiness_path(self):
        return self.wire.get("GET /pollenstall/readiness", "GET /pollenstall/readiness").split(" ")[1]


# ---- A small HTTP client. -----------------------------------------------------------------------

class Answer:
    def __init__(self, status, headers, body, whole):
        self.status, self.headers, self.body, self.whole = status, headers, body, whole


async def read_answer(reader, on_part=None):
    """Reads one answer. `whole` is false where the connection ended before the answer did."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    status = int(lines[0].split(" ")[1])
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                part = await reader.readexactly(size + 2)
                if size == 0:
                    return Answer(status, headers, body, True)
                body += part[:-2]
                if on_part:
                    on_part(part[:-2])
        elif "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        return Answer(status, headers, body, True)
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        return Answer(status, headers, body + getattr(error, "partial", b""), False)


def request_head(method, path, host, headers, length):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if length is not None:
        lines.append(f"Content-Length: {length}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def call(address, method, path, host="x", headers=None, body=None, timeout=10.0,
               on_part=None):
    """One request on a new connection. Returns the answer, or the text of what went wrong."""
    ip, port = address.rsplit(":", 1)
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(ip, int(port), limit=1 << 22)
            writer.write(request_head(method, path, host, headers or {},
                                      None if body is None else len(body)))
            if body:
                writer.write(body)
            await writer.drain()
            return await read_answer(reader, on_part)
    except TimeoutError:
        return "deadline"
    except (OSError, asyncio.IncompleteReadError) as error:
        return f"closed without an answer ({type(error).__name__})"
    finally:
        if writer:
            writer.close()


# ---- The operator. ------------------------------------------------------------------------------

async def operator_call(system, method, path, body=None, limit=30.0):
    """As the operator calls: any node, follows a 307 twice, moves on after a 5xx or a second."""
    end = time.monotonic() + limit
    at = 0
    while time.monotonic() < end:
        address = system.cores[at % len(system.cores)].address("control_plane")
        at += 1
        for _ in range(3):
            answer = await call(address, method, path, headers={"Content-Type": "application/json"},
                                body=body, timeout=1.0)
            if isinstance(answer, str) or answer.status != 307:
                break
            address = answer.headers["location"].split("//")[1].split("/")[0]
        if not isinstance(answer, str) and (answer.status < 500 and answer.status not in (408, 429)):
            return answer
        await asyncio.sleep(0.05)
    return None


async def configure(system, configuration, limit=30.0):
    system.record.write(f"operator sends configuration {configuration['version']}: "
                        + json.dumps(configuration)[:400])
    answer = await operator_call(system, "PUT", "/pollenstall/configuration",
                                 json.dumps(configuration).encode(), limit)
    status = answer.status if answer else "none"
    system.record.write(f"operator: configuration {configuration['version']} answered {status}")
    return status


async def wait_ready(system, limit=30.0):
    end = time.monotonic() + limit
    for edge in system.edges:
        while True:
            answer = await call(edge.address("ready"), "GET", system.readiness_path(), timeout=1.0)
            if not isinstance(answer, str) and answer.status == 200:
                break
            if time.monotonic() > end:
                return False
            await asyncio.sleep(0.05)
    return True


async def two_on_one_connection(edge, path, results):
    """Sends a request, and on the same kept connection another. Puts into results, for each, its
    status or how it was lost."""
    ip, port = edge.address("frontend").rsplit(":", 1)
    reader, writer = await asyncio.open_connection(ip, int(port))
    name = None
    try:
        for name in (attempt_id(), attempt_id()):
            writer.write(request_head("POST", path, "ficu95.example",
                                      {"Attempt-Id": name, "Deadline-Ms": "8000"}, 2) + b"{}")
            async with asyncio.timeout(9):
                results[name] = (await read_answer(reader)).status
    except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
        results[name] = f"closed without an answer ({type(error).__name__})"
    finally:
        writer.close()


async def restart_ended(system, ends):
    """As the platform does, starts a process again that has ended. Notes who ended, and how."""
    while True:
        for edge in system.edges:
            if not edge.alive():
                ends.append((edge.name, edge.process.returncode))
                system.record.write(f"{edge.name} has ended by itself, {edge.process.returncode}")
                edge.start()
        await asyncio.sleep(0.05)


def record_lost(record, results, engines, ends):
    """Writes what became of the requests, and returns those that were passed on and lost."""
    ran = {request["id"] for engine in engines for request in engine.ran}
    lost = [name for name, result in results.items() if name in ran and not isinstance(result, int)]
    for name in lost:
        record.write(f"client: {name} {results[name]}; it was passed on to an engine")
    record.write(f"processes that ended by themselves: {ends}")
    record.write(f"requests on kept connections: {len(results)}; passed on to a sound engine and "
                 f"closed without an answer: {len(lost)}")
    return lost


# ---- Engines. -----------------------------------------------------------------------------------

class Engine:
    """A server that registers itself. `run` is a coroutine function (engine, request, writer) that
    answers a request which it has begun to work on."""

    def __init__(self, system, service, name, run, slots=16, extra=None):
        self.system, self.service, self.name, self.run = system, service, name, run
        self.slots, self.extra = slots, extra or {}
        self.instance = f"i-{random.getrandbits(32):08x}"
        self.sequence = 0
        self.state = "ready"
        self.ran = []  # requests that it began to work on
        self.acknowledged = 0  # heartbeats that were acknowledged
        self.server = None
        self.beats = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.system.engine_ip, 0, limit=1 << 23)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"{self.system.engine_ip}:{self.port}"
        self.beats = asyncio.create_task(self.beat())
        return self

    async def stop(self):
        self.beats.cancel()
        self.server.close()

    async def beat(self):
        preferred = None
        while True:
            self.sequence += 1
            body = {"service": self.service, "address": self.address, "zone": "accra-a",
                    "version": "v1", "slots": self.slots, "state": self.state,
                    "cold_remaining_ms": 0, "sequence": self.sequence, **self.extra}
            path = f"/pollenstall/instances/{self.instance}"
            answer = None
            if preferred:
                answer = await call(preferred, "PUT", path, body=json.dumps(body).encode(),
                                    headers={"Content-Type": "application/json"}, timeout=1.0)
            if not preferred or isinstance(answer, str) or answer.status != 200:
                answer = await operator_call(self.system, "PUT", path, json.dumps(body).encode(), 3.0)
            try:
                preferred = json.loads(answer.body).get("heartbeat_address")
            except (AttributeError, ValueError):
                preferred = None
            if not isinstance(answer, str) and answer is not None and answer.status == 200:
                self.acknowledged += 1
            await asyncio.sleep(1.2)

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, path, _ = lines[0].split(" ")
                headers = {}
                for line in lines[1:]:
                    if ":" in line:
                        name, value = line.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                if path.startswith("/health"):
                    writer.write(f"HTTP/1.1 200 OK\r\nInstance-Id: {self.instance}\r\n"
                                 "Content-Length: 0\r\n\r\n".encode())
                    continue
                request = {"method": method, "path": path, "headers": headers, "body": body,
                           "id": headers.get("attempt-id", "")}
                expected = headers.get("expected-instance")
                if expected and expected != self.instance:
                    writer.write(f"HTTP/1.1 421 Misdirected\r\nAttempt-Id: {request['id']}\r\n"
                                 "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode())
                    continue
                self.ran.append(request)
                self.system.record.write(
                    f"engine {self.name} runs {request['id']} (Tenant-Name "
                    f"{headers.get('tenant-name', 'none')}, Last-Event-Id "
                    f"{headers.get('last-event-id', 'none')})")
                await self.run(self, request, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            writer.close()

    def head(self, request, extra, status="200 OK"):
        return (f"HTTP/1.1 {status}\r\nAttempt-Id: {request['id']}\r\n"
                f"Response-Signature: sig.{self.instance}.{request['id']}\r\n" + extra
                + "\r\n").encode()


async def plain_answer(engine, request, writer):
    body = f"answer to {request['id']}".encode()
    writer.write(engine.head(request, f"Content-Length: {len(body)}\r\n") + body)


# ---- Configurations. ----------------------------------------------------------------------------

DEFAULT_LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                  "idle_timeout_ms": 15000}


def route(name, prefix, service, kind="non_idempotent", **more):
    return {"name": name, "host": "ficu95.example", "path_prefix": prefix, "kind": kind,
            "timeout_ms": 10000, "target_latency_ms": 1000, "priority": 1, "service": service,
            "max_attempts": 2, "anonymous": False, **more}


def service(name, connection_limit=400):
    return {"name": name, "health_check_path": "/health", "connection_limit": connection_limit,
            "protocol": "h1", "tls_enabled": False}


def attempt_id():
    return f"{random.getrandbits(64):016x}"


# ---- Running a case. ----------------------------------------------------------------------------

def run_case(folder, case, cores=5, edges=2, fault_tolerance=None):
    """Runs the coroutine case(system, record); it returns HELD, BROKEN or CANNOT_RUN."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(CANNOT_RUN))  # Ends what was started, too.
    record = Record(pathlib.Path(folder) / "record.txt")
    record.write(f"TROUBLE={'1' if TROUBLE else '0'}")
    if not (ROOT / "target/bin/pollenstall-entry").exists():
        record.write("the programs are not built")
        sys.exit(CANNOT_RUN)
    system = System(record, cores, edges)
    if fault_tolerance:
        system.fault_tolerance = fault_tolerance
    result = CANNOT_RUN
    try:
        async def bounded():
            async with asyncio.timeout(116):
                system.start()
                return await case(system, record)
        result = asyncio.run(bounded())
    except Exception as error:  # The case could not run.
        record.write(f"error: {type(error).__name__}: {error}")
        if os.environ.get("KEEP_LOGS"):
            raise
    finally:
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(system.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        system.stop()
        record.write(f"result {result}")
    print({HELD: "held", BROKEN: "broken", CANNOT_RUN: "could not run"}[result])
    sys.exit(result)
