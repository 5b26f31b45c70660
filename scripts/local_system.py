"""Starts a whole pollenstall system with stand-ins on loopback, for the demo and the bench."""

import hashlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
FLEET = "demo"
CALLER_KEY = "demo-key"
OPERATOR_KEY = "demo-operator-key"
FLEET_KEY = "demo-fleet-key"
MODEL = "demo-7b"
SERVICE_PATH = "/app"
DOMAINS = ["dom-a", "dom-b", "dom-c"]
START_LIMIT_S = 60


class SystemFailure(Exception):
    """The system did not do what was expected; the text says what."""


def sha256(text):
    return hashlib.sha256(text.encode()).hexdigest()


def free_ports(count, kind=socket.SOCK_STREAM):
    """Ports given by the kernel; held together until all are drawn, so that they differ."""
    held = [socket.socket(socket.AF_INET, kind) for _ in range(count)]
    for one in held:
        one.bind(("127.0.0.1", 0))
    ports = [one.getsockname()[1] for one in held]
    for one in held:
        one.close()
    return ports


def to_toml(settings):
    """A flat dict of dotted keys as TOML."""
    return "".join(f"{key} = {json.dumps(value)}\n" for key, value in settings.items())


def call(url, method="GET", body=None, headers=None, timeout=30):
    """One HTTP call; gives status, headers and body, also of errors."""
    data = body.encode() if isinstance(body, str) else body
    request = urllib.request.Request(url, data=data, method=method, headers=headers or {})
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, dict(answer.headers), answer.read()
    except urllib.error.HTTPError as error:
        return error.code, dict(error.headers), error.read()


def wait_until(condition, what, limit_s=START_LIMIT_S):
    """Polls a condition; raises SystemFailure naming it when the limit is over."""
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        try:
            found = condition()
        except (OSError, ValueError):
            found = None
        if found:
            return found
        time.sleep(0.05)
    raise SystemFailure(f"waited {limit_s} s in vain: {what}")


class LocalSystem:
    """Control hosts, entries, engines and a plain service as processes of this machine."""

    def __init__(self, folder, build=ROOT / "build", controls=3, entries=3, engines=4, engine_settings=None):
        self.folder = pathlib.Path(folder)
        self.bin = pathlib.Path(build) / "bin"
        self.counts = (controls, entries, engines)
        self.engine_settings = engine_settings or {}
        self.processes = {}
        self.control, self.entries, self.backends = [], [], []

    # ---- start and stop -------------------------------------------------------------------------

    def start(self, declaration):
        self.folder.mkdir(parents=True, exist_ok=True)
        self._write_keys()
        self._start_control()
        self._start_entries()
        self._start_backends()
        wait_until(self._leader_known, "a leader of the control hosts")
        self.apply(declaration, base_revision=0)
        for entry in self.entries:
            wait_until(lambda e=entry: call(e["operator_url"] + "/readyz")[0] == 200,
                       f"{entry['url']} to be ready")
        wait_until(self._backends_seen, "every entry to see every backend server")
        self.write_endpoints()

    def stop(self):
        """SIGTERM to every process that is left; gives the exit codes by name."""
        codes = {}
        order = sorted(self.processes, key=lambda name: not name.startswith("entry"))
        for name in order:
            self.processes[name].send_signal(signal.SIGTERM)
            try:
                codes[name] = self.processes[name].wait(timeout=40)
            except subprocess.TimeoutExpired:
                self.processes[name].kill()
                codes[name] = "killed"
        return codes

    def _write_keys(self):
        (self.folder / "operator.key").write_text(OPERATOR_KEY)
        (self.folder / "operator.hash").write_text(sha256(OPERATOR_KEY))
        (self.folder / "fleet.key").write_text(FLEET_KEY)

    def _spawn(self, name, binary, settings):
        config = self.folder / f"{name}.toml"
        config.write_text(to_toml(settings))
        log = open(self.folder / f"{name}.log", "wb")
        self.processes[name] = subprocess.Popen(
            [self.bin / binary, "--config", config], stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()
        return self.processes[name]

    def _address_file(self, name):
        path = self.folder / f"{name}.addresses"
        text = wait_until(lambda: path.exists() and path.read_text().strip(), f"{name} to listen")
        return text

    def _start_control(self):
        count = self.counts[0]
        ports = free_ports(3 * count)
        peers = [f"{index + 1}=127.0.0.1:{ports[index]}" for index in range(count)]
        self.control_addresses = [f"127.0.0.1:{ports[count + index]}" for index in range(count)]
        for index in range(count):
            name = f"control-{index + 1}"
            operators = f"127.0.0.1:{ports[2 * count + index]}"
            data = self.folder / f"{name}.data"
            process = self._spawn(name, "pollenstall-control", {
                "host.name": name, "host.failure_domain": DOMAINS[index % len(DOMAINS)],
                "fleet": FLEET, "member_id": index + 1, "data.folder": str(data),
                "listen.peers": peers[index].split("=")[1], "listen.entries": self.control_addresses[index],
                "listen.operators": operators, "peers": peers, "bootstrap": index == 0,
                "listen.address_file": str(self.folder / f"{name}.addresses"),
                "operators.key_hash_file": str(self.folder / "operator.hash")})
            self.control.append({"operator_url": f"http://{operators}", "pid": process.pid, "data": str(data)})

    def _start_entries(self):
        count = self.counts[1]
        ports = free_ports(3 * count)
        gossip = free_ports(count, socket.SOCK_DGRAM)
        self.announce = [f"127.0.0.1:{ports[2 * count + index]}" for index in range(count)]
        for index in range(count):
            name = f"entry-{index + 1}"
            callers, operators = f"127.0.0.1:{ports[index]}", f"127.0.0.1:{ports[count + index]}"
            process = self._spawn(name, "pollenstall-entry", {
                "host.name": name, "host.failure_domain": DOMAINS[index % len(DOMAINS)],
                "fleet.name": FLEET, "fleet.key_file": str(self.folder / "fleet.key"),
                "operators.key_hash": sha256(OPERATOR_KEY), "listen.callers": callers,
                "listen.operators": operators, "listen.announcements": self.announce[index],
                "listen.gossip": f"127.0.0.1:{gossip[index]}",
                "listen.address_file": str(self.folder / f"{name}.addresses"),
                "gossip.seeds": [f"127.0.0.1:{port}" for port in gossip],
                "announcements.peers": self.announce, "control.addresses": self.control_addresses})
            self.entries.append({"url": f"http://{callers}", "operator_url": f"http://{operators}",
                                 "pid": process.pid})

    def _start_backends(self):
        for index in range(self.counts[2]):
            track = "canary" if index == self.counts[2] - 1 and index > 0 else "stable"
            self.start_backend(f"engine-{index + 1}", index, {
                "service": "demo-llm", "kind": "model", "models": [MODEL], "labels": [f"track={track}"],
                "memory.blocks": 65536, **self.engine_settings})
        self.start_backend("plain-1", 0, {"service": "demo-app", "kind": "plain"})

    def start_backend(self, name, index, settings):
        process = self._spawn(name, "pollenstall-fake-backend", {
            "listen.address": "127.0.0.1:0", "listen.address_file": str(self.folder / f"{name}.addresses"),
            "fleet": FLEET, "failure_domain": DOMAINS[index % len(DOMAINS)],
            "announce.to": self.announce, "announce.key_file": str(self.folder / "fleet.key"), **settings})
        address = self._address_file(name)
        self.backends.append({"name": name, "url": f"http://{address}", "pid": process.pid,
                              "kind": settings["kind"], "labels": settings.get("labels", [])})

    # ---- what is asked of it --------------------------------------------------------------------

    def operator_headers(self):
        return {"Authorization": f"Bearer {OPERATOR_KEY}"}

    def _leader_known(self):
        for host in self.control:
            status, _, _ = call(host["operator_url"] + "/readyz", timeout=2)
            if status == 200:
                return True
        return False

    def _backends_seen(self):
        wanted = [backend["url"].removeprefix("http://") for backend in self.backends]
        for entry in self.entries:
            status, _, body = call(entry["operator_url"] + "/dump", headers=self.operator_headers())
            if status != 200 or not all(address in body.decode() for address in wanted):
                return False
        return True

    def ctl(self):
        urls = ",".join(host["operator_url"] for host in self.control)
        return [str(self.bin / "pollenstallctl"), "--control", urls, "--key-file",
                str(self.folder / "operator.key")]

    def run_ctl(self, *words):
        done = subprocess.run(self.ctl() + list(words), capture_output=True, text=True, timeout=120)
        return done.returncode, done.stdout + done.stderr

    def apply(self, declaration, base_revision=None):
        words = ["apply", str(declaration), "--wait"]
        if base_revision is not None:
            words += ["--base-revision", str(base_revision)]
        code, text = self.run_ctl(*words)
        if code != 0:
            raise SystemFailure(f"apply ended with {code}: {text}")
        return text

    def write_endpoints(self):
        path = self.folder / "endpoints.json"
        draft = path.with_suffix(".new")
        draft.write_text(json.dumps({
            "entries": self.entries, "control": self.control,
            "backends": [{key: backend[key] for key in ("url", "pid", "kind")} for backend in self.backends],
            "key": CALLER_KEY, "model": MODEL, "service_path": SERVICE_PATH,
            "ctl": " ".join(self.ctl())}, indent=1))
        os.replace(draft, path)
        return path
